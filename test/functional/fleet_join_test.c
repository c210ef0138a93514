/*
 * Membership of a fleet's control group with real processes: members are
 * replaced or lose their disks while the settings name only control instances
 * without a disk.
 */
#include "../unit/unit.h"

#include <sodium.h>
#include <string.h>

#include "harness/fleet_rig.h"
#include "harness/harness.h"
#include "harness/http.h"
#include "wisteria/base/clock.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/link.h"
#include "wisteria/net/net.h"

#define MEMBERS 3
#define OTHERS 3 /* control instances without a disk */
#define SUCCESSORS 3
#define CONTROLS (MEMBERS + OTHERS + SUCCESSORS)
#define FIRST_SUCCESSOR (MEMBERS + OTHERS) /* the index of its settings */
/* From the loss of a member to the start of its successor. */
#define SUCCESSOR_START_MS 1000
#define REJOIN_WAIT_MS 12000
#define GONE 1000 /* earlier members */
#define TELL_MS 700
#define LOG_TIME_BYTES sizeof("ts=2000-01-01T00:00:00.000Z")

static harness_t harness;
static http_client_t client;

typedef struct {
	const char *name;
	fleet_rig_t rig;
	fleet_rig_control_t settings[CONTROLS];
	harness_process_t *controls[CONTROLS]; /* NULL: not started */
	harness_process_t *entry;
	unsigned version;
} fleet_t;

static const char configuration_format[] =
	"{\"version\":%u,\"routes\":["
	"{\"name\":\"look\",\"host\":\"shop.example\",\"pathPrefix\":"
	"\"/look/\",\"kind\":\"idempotent\",\"timeoutMs\":5000,"
	"\"goalMs\":3000,\"priority\":1,\"service\":\"orders\","
	"\"maxAttempts\":2,\"allowAnonymous\":true}],\"services\":["
	"{\"name\":\"orders\",\"healthPath\":\"/health\",\"maxConns\":50,"
	"\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000000,"
	"\"headerTimeoutMs\":5000,\"idleTimeoutMs\":30000}}";

static long call_status(const char *address, const char *path, const char *body)
{
	const http_params_t params = {
		.url = harness_string(&harness, "http://%s%s", address, path),
		.body = body,
	};

	return http_call_status(&client, &params, HARNESS_WAIT_MS);
}

/* Returns whether a running control instance answers the call with 200. */
static bool is_answered(const fleet_t *fleet, const char *path,
			const char *body)
{
	for (size_t i = 0; i < CONTROLS; i++)
		if (fleet->controls[i] != NULL &&
		    call_status(fleet->rig.control_addresses[i], path, body) ==
			    200)
			return true;
	return false;
}

static bool accepts_configuration(void *user)
{
	fleet_t *fleet = user;
	char *text = g_strdup_printf(configuration_format, fleet->version);
	bool accepted =
		is_answered(fleet, "/wisteriadrift/config/replace", text);

	g_free(text);
	return accepted;
}

static bool reads_configuration(void *user)
{
	return is_answered(user, "/wisteriadrift/config/get", NULL);
}

/* Puts the next version and waits until it is in force at the entry. */
static bool configure(fleet_t *fleet)
{
	fleet->version++;
	return harness_wait_until(accepts_configuration, fleet,
				  HARNESS_WAIT_MS) &&
	       harness_wait_log(
		       fleet->entry,
		       harness_string(&harness,
				      "event=revision_in_force revision=%u ",
				      fleet->version),
		       HARNESS_WAIT_MS);
}

static void init_control(fleet_t *fleet, size_t index)
{
	bool is_other = index >= MEMBERS && index < MEMBERS + OTHERS;

	fleet->settings[index] = (fleet_rig_control_t){
		.name = harness_string(&harness, "%s-%s-%zu", fleet->name,
				       is_other ? "other" : "disk", index),
		.index = index,
		.has_disk = !is_other,
		.bootstrap = true,
	};
}

static void start_control(fleet_t *fleet, size_t index)
{
	fleet->controls[index] = fleet_rig_start_control_as(
		&fleet->rig, &fleet->settings[index]);
}

static void lose_control(fleet_t *fleet, size_t index)
{
	harness_kill(fleet->controls[index]);
	fleet->controls[index] = NULL;
}

/*
 * From now on the settings name the instances without a disk as seeds.  Waits
 * until the running control instances have read them, without a signal.
 */
static void exchange_seeds(fleet_t *fleet)
{
	fleet->rig.seed_count = OTHERS;
	for (size_t i = 0; i < OTHERS; i++)
		fleet->rig.seeds[i] = fleet->rig.control_addresses[MEMBERS + i];
	for (size_t i = 0; i < CONTROLS; i++) {
		fleet->settings[i].bootstrap = false;
		if (fleet->controls[i] == NULL)
			continue;
		fleet_rig_write_settings(&fleet->rig, &fleet->settings[i]);
		CU_ASSERT(harness_wait_log(fleet->controls[i],
					   "event=reloaded ", HARNESS_WAIT_MS));
	}
}

/* Starts the members, the other control instances and an entry. */
static void start_fleet(fleet_t *fleet, const char *name)
{
	memset(fleet, 0, sizeof(*fleet));
	fleet->name = name;
	fleet_rig_init(&fleet->rig, &harness, CONTROLS);
	for (size_t i = 0; i < CONTROLS; i++)
		init_control(fleet, i);
	for (size_t i = 0; i < MEMBERS + OTHERS; i++)
		start_control(fleet, i);
	fleet->entry = fleet_rig_start_entry(
		&fleet->rig, harness_string(&harness, "%s-entry", name),
		harness_address(&harness));
	CU_ASSERT_FATAL(configure(fleet));
	exchange_seeds(fleet);
}

static void stop_fleet(fleet_t *fleet)
{
	for (size_t i = 0; i < CONTROLS; i++)
		if (fleet->controls[i] != NULL)
			lose_control(fleet, i);
	harness_kill(fleet->entry);
}

typedef struct {
	const fleet_t *fleet;
	const char *text;
} change_t;

static bool is_logged(void *user)
{
	const change_t *change = user;
	bool found = false;

	for (size_t i = 0; !found && i < CONTROLS; i++)
		if (change->fleet->controls[i] != NULL)
			found = harness_wait_log(change->fleet->controls[i],
						 change->text, 0);
	return found;
}

/* Returns what a leader logs of the member that is control instance "index". */
static const char *change_text(const fleet_t *fleet, const char *event,
			       size_t index)
{
	const char *address = fleet->rig.control_addresses[index];

	return harness_string(&harness, "event=%s member=%.*s:%s ", event,
			      (int)strcspn(address, ":"), address,
			      fleet->rig.peer_port);
}

/*
 * Waits until a running leader has logged "event" of the member that is control
 * instance "index".
 */
static bool wait_change(const fleet_t *fleet, const char *event, size_t index)
{
	change_t change = {
		.fleet = fleet,
		.text = change_text(fleet, event, index),
	};

	return harness_wait_until(is_logged, &change, REJOIN_WAIT_MS);
}

/* Finds the time, in "at", of the first line of a log that contains "text". */
static bool find_time(const harness_process_t *control, const char *text,
		      char at[LOG_TIME_BYTES])
{
	char *log = harness_read_file(control->log_path);
	const char *found = strstr(log, text);
	const char *line = found;

	while (line != NULL && line > log && line[-1] != '\n')
		line--;
	if (line != NULL)
		g_strlcpy(at, line, LOG_TIME_BYTES);
	g_free(log);
	return line != NULL;
}

/* Returns whether the running instances log "first" before "second". */
static bool is_before(const fleet_t *fleet, const char *first,
		      const char *second)
{
	char earliest[2][LOG_TIME_BYTES] = { "", "" };
	const char *texts[2] = { first, second };

	for (size_t i = 0; i < CONTROLS; i++)
		for (size_t j = 0; j < 2; j++) {
			char at[LOG_TIME_BYTES];

			if (fleet->controls[i] != NULL &&
			    find_time(fleet->controls[i], texts[j], at) &&
			    (earliest[j][0] == '\0' ||
			     strcmp(at, earliest[j]) < 0))
				g_strlcpy(earliest[j], at, LOG_TIME_BYTES);
		}
	CU_ASSERT_EQUAL(strncmp(earliest[0], "ts=", 3), 0);
	CU_ASSERT_EQUAL(strncmp(earliest[1], "ts=", 3), 0);
	return strcmp(earliest[0], earliest[1]) < 0;
}

/*
 * Replaces all members, one after the other.  A successor that starts when its
 * predecessor is known to be silent is not promoted beside it.
 */
static void replace_members(fleet_t *fleet)
{
	for (size_t i = 0; i < MEMBERS; i++) {
		size_t successor = MEMBERS + OTHERS + i;

		lose_control(fleet, i);
		g_usleep((gulong)SUCCESSOR_START_MS * 1000);
		start_control(fleet, successor);
		CU_ASSERT(wait_change(fleet, "member_promoted", successor));
		CU_ASSERT(wait_change(fleet, "member_removed", i));
		CU_ASSERT(is_before(
			fleet, change_text(fleet, "member_removed", i),
			change_text(fleet, "member_promoted", successor)));
	}
}

/* Failure: successors whose seeds have no disk do not join the group. */
static void test_successors_join_through_seeds_without_disks(void)
{
	fleet_t fleet;

	start_fleet(&fleet, "replace");
	replace_members(&fleet);
	CU_ASSERT(harness_wait_until(reads_configuration, &fleet,
				     REJOIN_WAIT_MS));
	CU_ASSERT(configure(&fleet));
	stop_fleet(&fleet);
}

/* Failure: a member knows only members that were replaced while it was down. */
static void test_member_returns_after_all_others_were_replaced(void)
{
	fleet_t fleet;

	start_fleet(&fleet, "return");
	replace_members(&fleet);
	start_control(&fleet, 0);
	CU_ASSERT(wait_change(&fleet, "member_promoted", 0));
	CU_ASSERT(configure(&fleet));
	stop_fleet(&fleet);
}

/* Failure: a member that lost its disk does not join if its seeds have none. */
static void test_member_without_disk_rejoins_after_seeds_changed(void)
{
	fleet_t fleet;

	start_fleet(&fleet, "wipe");
	lose_control(&fleet, 2);
	harness_remove_tree(
		fleet_rig_data_dir(&fleet.rig, fleet.settings[2].name));
	g_usleep((gulong)SUCCESSOR_START_MS * 1000);
	start_control(&fleet, 2);
	CU_ASSERT(wait_change(&fleet, "member_promoted", 2));
	lose_control(&fleet, 1);
	CU_ASSERT(harness_wait_until(reads_configuration, &fleet,
				     REJOIN_WAIT_MS));
	CU_ASSERT(configure(&fleet));
	stop_fleet(&fleet);
}

/* Starts a fleet, and the successor of a member that is not lost yet. */
static void start_fleet_with_successor(fleet_t *fleet, const char *name)
{
	start_fleet(fleet, name);
	start_control(fleet, FIRST_SUCCESSOR);
	CU_ASSERT(wait_change(fleet, "member_promoted", FIRST_SUCCESSOR));
}

/* A lost member comes back at its address, without its disk. */
static void start_without_disk(fleet_t *fleet, size_t index)
{
	harness_remove_tree(
		fleet_rig_data_dir(&fleet->rig, fleet->settings[index].name));
	start_control(fleet, index);
}

/*
 * Failure: the group has no quorum for good if a disk is lost right after a
 * planned replacement, since the member that was replaced still counts.
 */
static void test_disk_lost_after_a_replacement(void)
{
	fleet_t fleet;

	start_fleet_with_successor(&fleet, "planned");
	lose_control(&fleet, 0);
	CU_ASSERT(configure(&fleet));
	lose_control(&fleet, 1);
	g_usleep((gulong)SUCCESSOR_START_MS * 1000);
	start_without_disk(&fleet, 1);
	CU_ASSERT(harness_wait_until(reads_configuration, &fleet,
				     REJOIN_WAIT_MS));
	CU_ASSERT(wait_change(&fleet, "member_promoted", 1));
	CU_ASSERT(configure(&fleet));
	stop_fleet(&fleet);
}

/* Failure: as above, when all others lose power with the disk. */
static void test_disk_and_power_lost_after_a_replacement(void)
{
	fleet_t fleet;

	start_fleet_with_successor(&fleet, "power");
	CU_ASSERT(configure(&fleet));
	for (size_t i = 0; i <= FIRST_SUCCESSOR; i++)
		lose_control(&fleet, i);
	start_without_disk(&fleet, FIRST_SUCCESSOR);
	for (size_t i = 1; i < FIRST_SUCCESSOR; i++)
		start_control(&fleet, i);
	CU_ASSERT(harness_wait_until(reads_configuration, &fleet,
				     REJOIN_WAIT_MS));
	CU_ASSERT(configure(&fleet));
	stop_fleet(&fleet);
}

/* Starts a fleet, and two successors of members that are not lost yet. */
static void start_fleet_with_two_successors(fleet_t *fleet, const char *name)
{
	start_fleet_with_successor(fleet, name);
	start_control(fleet, FIRST_SUCCESSOR + 1);
	CU_ASSERT(wait_change(fleet, "member_promoted", FIRST_SUCCESSOR + 1));
}

/* Tells control instances to stop, all at the same time. */
static void stop_controls(fleet_t *fleet, size_t first, size_t count)
{
	for (size_t i = first; i < first + count; i++)
		harness_signal(fleet->controls[i], SIGTERM);
	for (size_t i = first; i < first + count; i++) {
		CU_ASSERT(
			harness_wait_exit(fleet->controls[i], HARNESS_WAIT_MS));
		fleet->controls[i] = NULL;
	}
}

/* Member 2 loses its disk; the fleet has to work and to remember. */
static void check_lost_disk(fleet_t *fleet)
{
	CU_ASSERT(configure(fleet));
	lose_control(fleet, 2);
	g_usleep((gulong)SUCCESSOR_START_MS * 1000);
	start_without_disk(fleet, 2);
	CU_ASSERT(
		harness_wait_until(reads_configuration, fleet, REJOIN_WAIT_MS));
	CU_ASSERT(wait_change(fleet, "member_promoted", 2));
	CU_ASSERT(configure(fleet));
}

/*
 * Failure: the group has no quorum for good if a disk is lost after two planned
 * replacements, as five voters keep the two that are gone for 8 s.
 */
static void test_disk_lost_after_two_replacements(void)
{
	fleet_t fleet;

	start_fleet_with_two_successors(&fleet, "two-told");
	stop_controls(&fleet, 0, 2);
	check_lost_disk(&fleet);
	stop_fleet(&fleet);
}

/* Machines that end without a word no longer count once they are removed. */
static void test_disk_lost_after_two_kills(void)
{
	fleet_t fleet;

	start_fleet_with_two_successors(&fleet, "two-killed");
	lose_control(&fleet, 0);
	lose_control(&fleet, 1);
	CU_ASSERT(wait_change(&fleet, "member_removed", 0));
	CU_ASSERT(wait_change(&fleet, "member_removed", 1));
	check_lost_disk(&fleet);
	stop_fleet(&fleet);
}

/*
 * Failure: the group has no quorum for good if a machine is lost for good right
 * after a planned replacement, as nothing proves that its disk is lost.
 */
static void test_machine_lost_after_a_replacement(void)
{
	fleet_t fleet;

	start_fleet_with_successor(&fleet, "for-good");
	CU_ASSERT(configure(&fleet));
	stop_controls(&fleet, 0, 1);
	lose_control(&fleet, 1);
	g_usleep((gulong)SUCCESSOR_START_MS * 1000);
	start_control(&fleet, FIRST_SUCCESSOR + 1);
	CU_ASSERT(harness_wait_until(reads_configuration, &fleet,
				     REJOIN_WAIT_MS));
	CU_ASSERT(wait_change(&fleet, "member_promoted", FIRST_SUCCESSOR + 1));
	CU_ASSERT(configure(&fleet));
	stop_fleet(&fleet);
}

/* Returns how often running instances have logged "text". */
static unsigned count_logged(const fleet_t *fleet, const char *text)
{
	unsigned count = 0;

	for (size_t i = 0; i < CONTROLS; i++) {
		char *log;

		if (fleet->controls[i] == NULL)
			continue;
		log = harness_read_file(fleet->controls[i]->log_path);
		for (const char *at = log; (at = strstr(at, text)) != NULL;
		     at++)
			count++;
		g_free(log);
	}
	return count;
}

typedef struct {
	change_t change;
	unsigned count;
} repeated_t;

static bool is_logged_again(void *user)
{
	const repeated_t *repeated = user;

	return count_logged(repeated->change.fleet, repeated->change.text) >
	       repeated->count;
}

/* Failure: a voter that left as it was stopped stays away once it is back. */
static void test_spare_voter_is_restarted_at_once(void)
{
	fleet_t fleet;

	start_fleet_with_successor(&fleet, "restart");
	for (size_t index = 0; index <= FIRST_SUCCESSOR;
	     index += FIRST_SUCCESSOR) {
		harness_process_t *control = fleet.controls[index];
		repeated_t again;

		stop_controls(&fleet, index, 1);
		CU_ASSERT(harness_wait_log(control, "event=group_left ", 0));
		again.change = (change_t){
			.fleet = &fleet,
			.text = change_text(&fleet, "member_promoted", index),
		};
		again.count = count_logged(&fleet, again.change.text);
		harness_restart(control);
		fleet.controls[index] = control;
		CU_ASSERT(harness_wait_until(is_logged_again, &again,
					     REJOIN_WAIT_MS));
	}
	CU_ASSERT(configure(&fleet));
	stop_fleet(&fleet);
}

/* Failure: the last voters leave, and the group is gone. */
static void test_group_that_has_no_spare_voter_keeps_all(void)
{
	fleet_t fleet;

	start_fleet(&fleet, "keep");
	stop_controls(&fleet, 0, 1);
	CU_ASSERT_EQUAL(count_logged(&fleet, "event=member_removed "), 0);
	start_control(&fleet, 0);
	CU_ASSERT(configure(&fleet));
	CU_ASSERT_EQUAL(count_logged(&fleet, "event=member_removed "), 0);
	stop_fleet(&fleet);
}

/* Failure: restarted instances that are the seeds find only each other. */
static void test_restarted_seeds_find_the_group(void)
{
	fleet_t fleet;

	start_fleet(&fleet, "island");
	for (size_t i = MEMBERS; i < MEMBERS + OTHERS; i++)
		lose_control(&fleet, i);
	for (size_t i = MEMBERS; i < MEMBERS + OTHERS; i++) {
		fleet.settings[i].name =
			harness_string(&harness, "island-again-%zu", i);
		start_control(&fleet, i);
	}
	for (size_t i = MEMBERS; i < MEMBERS + OTHERS; i++)
		CU_ASSERT(harness_wait_log(fleet.controls[i],
					   "event=lease_gained",
					   REJOIN_WAIT_MS));
	stop_fleet(&fleet);
}

typedef struct {
	conn_handler_t handler;
	const char *port; /* of frames */
	bool told;
} teller_t;

static void tell_gone(conn_handler_t *handler, conn_t *conn)
{
	teller_t *teller = CONTAINER_OF(handler, teller_t, handler);
	msg_fleet_control_t controls[GONE] = { 0 };
	const msg_fleet_meet_t meet = {
		.controls = controls,
		.control_count = GONE,
	};

	for (int i = 0; i < GONE; i++) {
		controls[i].address =
			harness_string(&harness, "127.250.%d.%d:%s", i / 250,
				       i % 250 + 1, teller->port);
		controls[i].has_disk = true;
	}
	conn_send(conn, MSG_FLEET_MEET, &meet);
	teller->told = true;
}

static void ignore_message(conn_handler_t *handler, conn_t *conn,
			   const msg_t *msg)
{
	(void)handler;
	(void)conn;
	(void)msg;
}

static void ignore_closed(conn_handler_t *handler, conn_t *conn,
			  const err_t *why)
{
	(void)handler;
	(void)conn;
	(void)why;
}

static void stop_loop(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

/* Tells a control instance of earlier members, which are gone for good. */
static void tell_of_gone(const fleet_t *fleet, size_t index)
{
	static const char key_text[] = "wisteriadrift fleet without a key file";
	const char *address = fleet->rig.control_addresses[index];
	teller_t teller = {
		.handler = { .opened = tell_gone,
			     .message = ignore_message,
			     .closed = ignore_closed },
		.port = fleet->rig.peer_port,
	};
	uint8_t key[NET_KEY_BYTES];
	uv_loop_t loop;
	uv_timer_t timer;
	net_t net;
	link_t link;

	crypto_generichash(key, sizeof(key), (const uint8_t *)key_text,
			   sizeof(key_text) - 1, NULL, 0);
	uv_loop_init(&loop);
	net_init(&net, &loop, &clock_monotonic, "teller", "z1", 1, key);
	link_init(&link, &net,
		  harness_string(&harness, "%.*s:%s",
				 (int)strcspn(address, ":"), address,
				 fleet->rig.peer_port),
		  &teller.handler);
	uv_timer_init(&loop, &timer);
	uv_timer_start(&timer, stop_loop, TELL_MS, 0);
	uv_run(&loop, UV_RUN_DEFAULT);
	CU_ASSERT(teller.told);
	link_finish(&link);
	net_close(&net);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}

/* Failure: addresses of instances that are gone push out the members. */
static void test_earlier_members_do_not_hide_the_present_ones(void)
{
	size_t late = MEMBERS + OTHERS;
	harness_process_t *entry;
	fleet_t fleet;

	start_fleet(&fleet, "gone");
	for (size_t i = 0; i < MEMBERS + OTHERS; i++)
		tell_of_gone(&fleet, i);
	fleet.settings[late].name = "gone-late-other";
	fleet.settings[late].has_disk = false;
	start_control(&fleet, late);
	entry = fleet_rig_start_entry(&fleet.rig, "gone-late-entry",
				      harness_address(&harness));
	CU_ASSERT(harness_wait_log(fleet.controls[late], "event=lease_gained",
				   REJOIN_WAIT_MS));
	CU_ASSERT(
		harness_wait_log(entry, "event=lease_gained", REJOIN_WAIT_MS));
	harness_kill(entry);
	stop_fleet(&fleet);
}

/* Reports endpoint "i-NUMBER" to control instance "index". */
static long report(const fleet_t *fleet, size_t index, unsigned number,
		   const char *state)
{
	return call_status(
		fleet->rig.control_addresses[index],
		harness_string(&harness,
			       "/wisteriadrift/instances/i-%u/heartbeat",
			       number),
		harness_string(
			&harness,
			"{\"service\":\"orders\",\"address\":"
			"\"127.0.0.1:%u\",\"zone\":\"z1\",\"version\":"
			"\"v1\",\"slots\":4,\"state\":\"%s\",\"seq\":%u}",
			number, state, strcmp(state, "ready") == 0 ? 1 : 2));
}

static long deregister(const fleet_t *fleet, size_t index, unsigned number)
{
	return call_status(
		fleet->rig.control_addresses[index],
		harness_string(&harness,
			       "/wisteriadrift/instances/i-%u/deregister",
			       number),
		"{}");
}

/* Waits until the entry knows endpoint "i-NUMBER" in this state. */
static bool wait_known(const fleet_t *fleet, unsigned number,
		       unsigned is_draining, unsigned is_gone)
{
	return harness_wait_log(
		fleet->entry,
		harness_string(&harness,
			       "event=endpoint_changed endpoint=i-%u "
			       "address=127.0.0.1:%u layers=0-0 draining=%u "
			       "gone=%u ",
			       number, number, is_draining, is_gone),
		HARNESS_WAIT_MS);
}

/* Failure: an instance that ends loses what it has just acknowledged. */
static void test_acknowledged_end_outlives_the_instance(void)
{
	fleet_t fleet;

	start_fleet(&fleet, "outlive");
	for (unsigned i = 0; i < OTHERS; i++) {
		size_t other = MEMBERS + i;
		bool drains = i == 1;
		long status;

		CU_ASSERT_EQUAL(report(&fleet, other, i + 1, "ready"), 200);
		CU_ASSERT(wait_known(&fleet, i + 1, 0, 0));
		status = drains ? report(&fleet, other, i + 1, "draining")
				: deregister(&fleet, other, i + 1);
		lose_control(&fleet, other);
		CU_ASSERT_EQUAL(status, 200);
		CU_ASSERT(wait_known(&fleet, i + 1, drains, !drains));
	}
	stop_fleet(&fleet);
}

/* Failure: a deregistration that is neither kept nor passed on has an ack. */
static void test_unknown_endpoints_are_not_deregistered(void)
{
	fleet_t fleet;

	start_fleet(&fleet, "unknown");
	for (size_t i = 0; i < MEMBERS + OTHERS; i++)
		CU_ASSERT_EQUAL(deregister(&fleet, i, 1), 503);
	CU_ASSERT_EQUAL(report(&fleet, MEMBERS, 1, "ready"), 200);
	CU_ASSERT(wait_known(&fleet, 1, 0, 0));
	CU_ASSERT_EQUAL(deregister(&fleet, MEMBERS, 1), 200);
	CU_ASSERT(wait_known(&fleet, 1, 0, 1));
	CU_ASSERT_EQUAL(deregister(&fleet, MEMBERS, 1), 200);
	stop_fleet(&fleet);
}

static bool refuses_to_deregister(void *user)
{
	const fleet_t *fleet = user;

	for (size_t i = MEMBERS; i < MEMBERS + OTHERS; i++)
		if (deregister(fleet, i, 1) != 503)
			return false;
	return true;
}

/* Failure: instances that reach no member acknowledge what reaches no entry. */
static void test_cut_off_instances_refuse_to_deregister(void)
{
	fleet_t fleet;

	start_fleet(&fleet, "refuse");
	for (size_t i = MEMBERS; i < MEMBERS + OTHERS; i++) {
		CU_ASSERT_EQUAL(report(&fleet, i, 1, "ready"), 200);
		CU_ASSERT_EQUAL(deregister(&fleet, i, 1), 200);
	}
	for (size_t i = 0; i < MEMBERS; i++)
		lose_control(&fleet, i);
	CU_ASSERT(harness_wait_until(refuses_to_deregister, &fleet,
				     REJOIN_WAIT_MS));
	stop_fleet(&fleet);
}

static const unit_test_t tests[] = {
	{ "successors join through seeds without disks",
	  test_successors_join_through_seeds_without_disks },
	{ "member returns after all others were replaced",
	  test_member_returns_after_all_others_were_replaced },
	{ "member without disk rejoins after seeds changed",
	  test_member_without_disk_rejoins_after_seeds_changed },
	{ "disk lost after a replacement", test_disk_lost_after_a_replacement },
	{ "disk and power lost after a replacement",
	  test_disk_and_power_lost_after_a_replacement },
	{ "disk lost after two replacements",
	  test_disk_lost_after_two_replacements },
	{ "disk lost after two kills", test_disk_lost_after_two_kills },
	{ "machine lost after a replacement",
	  test_machine_lost_after_a_replacement },
	{ "spare voter is restarted at once",
	  test_spare_voter_is_restarted_at_once },
	{ "group that has no spare voter keeps all",
	  test_group_that_has_no_spare_voter_keeps_all },
	{ "restarted seeds find the group",
	  test_restarted_seeds_find_the_group },
	{ "earlier members do not hide the present ones",
	  test_earlier_members_do_not_hide_the_present_ones },
	{ "an acknowledged end outlives the instance",
	  test_acknowledged_end_outlives_the_instance },
	{ "unknown endpoints are not deregistered",
	  test_unknown_endpoints_are_not_deregistered },
	{ "cut off instances refuse to deregister",
	  test_cut_off_instances_refuse_to_deregister },
};

int main(void)
{
	int status;

	harness_init(&harness, "fleet_join");
	http_client_init(&client);
	status = unit_run("fleet_join", tests, ARRAY_SIZE(tests));
	http_client_finish(&client);
	harness_finish(&harness, status == EXIT_SUCCESS);
	return status;
}
