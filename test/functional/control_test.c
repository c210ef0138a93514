/*
 * Tests the control group with real processes: a leader that is killed during
 * changes, paused or partly cut off, silent connections and a lost disk.
 */
#include "../unit/unit.h"

#include <signal.h>

#include "harness/control_rig.h"

#include "wisteria/base/clock.h"
#include "wisteria/control/control_defs.h"

#define CHANGES 300

static harness_t harness;

typedef struct {
	rig_daemon_t *daemon;
	uint64_t revision;
} revision_target_t;

static bool has_target_revision(void *user)
{
	const revision_target_t *target = user;

	return control_rig_revision(target->daemon) >= target->revision;
}

static bool wait_for_revision(control_rig_t *rig, rig_daemon_t *daemon,
			      uint64_t revision)
{
	revision_target_t target = { daemon, revision };

	return control_rig_run_until(rig, has_target_revision, &target,
				     HARNESS_WAIT_MS);
}

/*
 * Expects that each order so far was applied exactly once and that a new
 * daemon receives the latest revision.
 */
static void expect_latest_in_force(control_rig_t *rig, const char *daemon_name)
{
	rig_daemon_t *daemon =
		control_rig_add_daemon(rig, daemon_name, 0, rig->control_count);
	uint64_t expected = RIG_FIRST_REVISION + rig->orders;
	const view_t *view;

	CU_ASSERT_FATAL(wait_for_revision(rig, daemon, expected));
	view = control_rig_view(daemon);
	CU_ASSERT_EQUAL(view->revision, expected);
	CU_ASSERT_EQUAL(view->leaving_count, rig->orders % 2);
}

static void test_killed_leader_loses_nothing(void)
{
	control_rig_t rig;

	control_rig_init(&rig, &harness, 3, 3, false);
	CU_ASSERT_FATAL(control_rig_start_all(&rig));
	for (size_t i = 0; i < CHANGES; i++) {
		rig_order_result_t answer;

		if (i == CHANGES / 2)
			harness_kill(
				rig.controls[control_rig_leader(&rig)].process);
		answer = control_rig_submit_change(&rig, i % 3);
		CU_ASSERT_EQUAL_FATAL(answer.outcome, ORDER_APPLIED);
		CU_ASSERT_EQUAL(answer.revision,
				RIG_FIRST_REVISION + rig.orders);
	}
	for (size_t i = 0; i < rig.control_count; i++)
		harness_kill(rig.controls[i].process);
	for (size_t i = 0; i < rig.control_count; i++)
		control_rig_start(&rig, i);
	expect_latest_in_force(&rig, "after-restart");
	control_rig_finish(&rig);
}

static bool lease_has_expired(void *user)
{
	return control_rig_revision(user) == 0;
}

static void test_paused_leader_grants_no_old_revision(void)
{
	control_rig_t rig;
	rig_daemon_t *daemon;
	uint64_t old_revision;
	size_t leader;

	control_rig_init(&rig, &harness, 3, 3, false);
	CU_ASSERT_FATAL(control_rig_start_all(&rig));
	leader = control_rig_leader(&rig);
	daemon = control_rig_add_daemon(&rig, "pinned", leader, 1);
	old_revision = RIG_FIRST_REVISION + rig.orders;
	CU_ASSERT_FATAL(wait_for_revision(&rig, daemon, old_revision));
	harness_signal(rig.controls[leader].process, SIGSTOP);
	CU_ASSERT_EQUAL(
		control_rig_submit_change(&rig, (leader + 1) % 3).outcome,
		ORDER_APPLIED);
	CU_ASSERT(control_rig_run_until(&rig, lease_has_expired, daemon,
					HARNESS_WAIT_MS));
	harness_signal(rig.controls[leader].process, SIGCONT);
	/* Wait for any revision, so that a lease of the old one is seen. */
	CU_ASSERT_FATAL(wait_for_revision(&rig, daemon, 1));
	CU_ASSERT_EQUAL(control_rig_revision(daemon), old_revision + 1);
	control_rig_finish(&rig);
}

static void test_silent_connections_are_abandoned(void)
{
	control_rig_t rig;

	control_rig_init(&rig, &harness, 3, 3, true);
	CU_ASSERT_FATAL(control_rig_start_all(&rig));
	for (size_t i = 0; i < rig.control_count; i++)
		relay_silence_open(rig.controls[i].relay);
	for (size_t i = 0; i < 10; i++)
		CU_ASSERT_EQUAL(control_rig_submit_change(&rig, i % 3).outcome,
				ORDER_APPLIED);
	expect_latest_in_force(&rig, "after-silence");
	control_rig_finish(&rig);
}

typedef struct {
	control_rig_t *rig;
	size_t leader;
} former_leader_t;

static bool leader_has_changed(void *user)
{
	const former_leader_t *former = user;

	return control_rig_leader(former->rig) != former->leader;
}

/* The other members can't reach the leader, but it reaches them. */
static void test_leader_cut_off_in_one_direction(void)
{
	control_rig_t rig;
	rig_daemon_t *daemon;
	size_t leader;

	control_rig_init(&rig, &harness, 3, 3, true);
	CU_ASSERT_FATAL(control_rig_start_all(&rig));
	leader = control_rig_leader(&rig);
	daemon = control_rig_add_daemon(&rig, "beside-old-leader", leader, 1);
	CU_ASSERT_FATAL(wait_for_revision(&rig, daemon,
					  RIG_FIRST_REVISION + rig.orders));
	relay_silence(rig.controls[leader].relay, true);
	for (size_t i = 0; i < 5; i++)
		CU_ASSERT_EQUAL(
			control_rig_submit_change(&rig, (leader + 1) % 3)
				.outcome,
			ORDER_APPLIED);
	/* The rig reads the leader from logs, written after the answer. */
	CU_ASSERT(control_rig_run_until(&rig, leader_has_changed,
					&(former_leader_t){ &rig, leader },
					HARNESS_WAIT_MS));
	CU_ASSERT(control_rig_run_until(&rig, lease_has_expired, daemon,
					HARNESS_WAIT_MS));
	relay_silence(rig.controls[leader].relay, false);
	relay_close_connections(rig.controls[leader].relay);
	CU_ASSERT(wait_for_revision(&rig, daemon,
				    RIG_FIRST_REVISION + rig.orders));
	expect_latest_in_force(&rig, "after-cut");
	control_rig_finish(&rig);
}

static bool member_was_promoted(void *user)
{
	control_rig_t *rig = user;
	rig_control_t *leader = &rig->controls[control_rig_leader(rig)];
	char *log = harness_read_file(leader->process->log_path);
	bool found = strstr(log, "event=member_promoted") != NULL;

	g_free(log);
	return found;
}

static void test_lost_disk_then_lost_instance(void)
{
	control_rig_t rig;
	size_t leader;
	size_t wiped;

	control_rig_init(&rig, &harness, 3, 3, false);
	CU_ASSERT_FATAL(control_rig_start_all(&rig));
	for (size_t i = 0; i < 20; i++)
		CU_ASSERT_EQUAL(control_rig_submit_change(&rig, i % 3).outcome,
				ORDER_APPLIED);
	leader = control_rig_leader(&rig);
	wiped = (leader + 1) % rig.control_count;
	harness_kill(rig.controls[wiped].process);
	control_rig_wipe_data(&rig, wiped);
	control_rig_start(&rig, wiped);
	CU_ASSERT_FATAL(control_rig_run_until(&rig, member_was_promoted, &rig,
					      HARNESS_WAIT_MS));
	harness_kill(rig.controls[leader].process);
	CU_ASSERT_EQUAL(control_rig_submit_change(&rig, wiped).outcome,
			ORDER_APPLIED);
	expect_latest_in_force(&rig, "after-repair");
	control_rig_finish(&rig);
}

static void test_learner_serves_daemons(void)
{
	control_rig_t rig;
	rig_daemon_t *daemon;

	control_rig_init(&rig, &harness, 4, 3, false);
	CU_ASSERT_FATAL(control_rig_start_all(&rig));
	daemon = control_rig_add_daemon(&rig, "at-learner", 3, 1);
	CU_ASSERT_FATAL(wait_for_revision(&rig, daemon,
					  RIG_FIRST_REVISION + rig.orders));
	CU_ASSERT_EQUAL(control_rig_submit_change(&rig, 3).outcome,
			ORDER_APPLIED);
	CU_ASSERT(wait_for_revision(&rig, daemon,
				    RIG_FIRST_REVISION + rig.orders));
	control_rig_finish(&rig);
}

static void test_operator_promotes_a_learner(void)
{
	control_rig_t rig;
	msg_order_t order = {
		.id = "promote-1",
		.kind = ORDER_MEMBER_PROMOTE,
		.text = "",
		.operator_name = "rui",
	};
	rig_order_result_t first;
	rig_order_result_t again;

	control_rig_init(&rig, &harness, 4, 3, false);
	CU_ASSERT_FATAL(control_rig_start_all(&rig));
	CU_ASSERT_FATAL(wait_for_revision(
		&rig, control_rig_add_daemon(&rig, "at-learner", 3, 1),
		RIG_FIRST_REVISION + rig.orders));
	order.name = rig.controls[3].name;
	first = control_rig_submit_order(&rig, 0, &order);
	CU_ASSERT_EQUAL(first.outcome, ORDER_APPLIED);
	again = control_rig_submit_order(&rig, 1, &order);
	CU_ASSERT_EQUAL(again.outcome, ORDER_APPLIED);
	CU_ASSERT_EQUAL(again.revision, first.revision);
	order.id = "promote-2";
	CU_ASSERT_EQUAL(control_rig_submit_order(&rig, 2, &order).outcome,
			ORDER_REFUSED);
	control_rig_finish(&rig);
}

static void test_planned_stop_transfers_leadership(void)
{
	control_rig_t rig;
	harness_process_t *process;
	size_t leader;

	control_rig_init(&rig, &harness, 3, 3, false);
	CU_ASSERT_FATAL(control_rig_start_all(&rig));
	leader = control_rig_leader(&rig);
	process = rig.controls[leader].process;
	harness_signal(process, SIGTERM);
	CU_ASSERT(harness_wait_log(process, "event=office_handed_over",
				   HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(
		control_rig_submit_change(&rig, (leader + 1) % 3).outcome,
		ORDER_APPLIED);
	CU_ASSERT(harness_wait_exit(process, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(process->exit_status, 0);
	expect_latest_in_force(&rig, "after-stop");
	control_rig_finish(&rig);
}

/*
 * Two operators expect the same revision: one order is applied, and the other
 * is refused with the name of the operator who was first.
 */
static void test_racing_orders_have_one_winner(void)
{
	control_rig_t rig;
	msg_order_t order = {
		.kind = ORDER_ENDPOINT_LEAVE,
		.has_expected = true,
		.text = "",
	};
	rig_order_result_t first;
	rig_order_result_t second;

	control_rig_init(&rig, &harness, 3, 3, false);
	CU_ASSERT_FATAL(control_rig_start_all(&rig));
	order.expected_revision = RIG_FIRST_REVISION + rig.orders;
	order.id = "race-joana";
	order.name = "range-1-0";
	order.operator_name = "joana";
	first = control_rig_submit_order(&rig, 0, &order);
	order.id = "race-rui";
	order.name = "range-1-1";
	order.operator_name = "rui";
	second = control_rig_submit_order(&rig, 1, &order);
	CU_ASSERT_EQUAL(first.outcome, ORDER_APPLIED);
	CU_ASSERT_EQUAL(second.outcome, ORDER_CONFLICT);
	CU_ASSERT_STRING_EQUAL(second.winner, "joana");
	order.id = "race-joana";
	order.name = "range-1-0";
	order.operator_name = "joana";
	second = control_rig_submit_order(&rig, 2, &order);
	CU_ASSERT_EQUAL(second.outcome, ORDER_APPLIED);
	CU_ASSERT_EQUAL(second.revision, first.revision);
	control_rig_finish(&rig);
}

typedef struct {
	rig_daemon_t *entry;
	uint64_t revision;
	size_t fewest_endpoints;
} directory_watch_t;

/*
 * Returns whether the entry knows all endpoints at the awaited revision.  Also
 * records the smallest number of endpoints that it ever knew.
 */
static bool knows_all_endpoints(void *user)
{
	directory_watch_t *watch = user;
	const view_t *view = control_rig_view(watch->entry);
	size_t count = view == NULL ? 0 : view->endpoint_count;

	watch->fewest_endpoints = MIN(watch->fewest_endpoints, count);
	return count == RIG_AGENT_ENDPOINTS &&
	       control_rig_revision(watch->entry) >= watch->revision;
}

static void test_restarts_drop_no_endpoint(void)
{
	control_rig_t rig;
	directory_watch_t watch = { .fewest_endpoints = 0 };

	control_rig_init(&rig, &harness, 3, 3, false);
	CU_ASSERT_FATAL(control_rig_start_all(&rig));
	control_rig_make_agent(&rig,
			       control_rig_add_daemon(&rig, "agent", 0, 3));
	watch.entry = control_rig_add_daemon(&rig, "entry", 0, 3);
	watch.revision = RIG_FIRST_REVISION + rig.orders;
	CU_ASSERT_FATAL(control_rig_run_until(&rig, knows_all_endpoints, &watch,
					      HARNESS_WAIT_MS));
	watch.fewest_endpoints = SIZE_MAX;
	for (size_t i = 0; i < 6; i++) {
		harness_kill(rig.controls[i % 3].process);
		control_rig_start(&rig, i % 3);
		CU_ASSERT_EQUAL(control_rig_submit_change(&rig, i % 3).outcome,
				ORDER_APPLIED);
		watch.revision = RIG_FIRST_REVISION + rig.orders;
		CU_ASSERT(control_rig_run_until(&rig, knows_all_endpoints,
						&watch, HARNESS_WAIT_MS));
	}
	CU_ASSERT_EQUAL(watch.fewest_endpoints, RIG_AGENT_ENDPOINTS);
	control_rig_finish(&rig);
}

static const unit_test_t tests[] = {
	{ "killed leader loses nothing", test_killed_leader_loses_nothing },
	{ "paused leader grants nothing old",
	  test_paused_leader_grants_no_old_revision },
	{ "silent connections are left",
	  test_silent_connections_are_abandoned },
	{ "leader cut off in one direction",
	  test_leader_cut_off_in_one_direction },
	{ "lost disk, then lost instance", test_lost_disk_then_lost_instance },
	{ "restarts drop no endpoint", test_restarts_drop_no_endpoint },
	{ "learner serves daemons", test_learner_serves_daemons },
	{ "operator promotes a learner", test_operator_promotes_a_learner },
	{ "planned stop hands over", test_planned_stop_transfers_leadership },
	{ "racing orders have one winner", test_racing_orders_have_one_winner },
};

int main(void)
{
	int status;

	harness_init(&harness, "control");
	status = unit_run("control", tests, ARRAY_SIZE(tests));
	harness_finish(&harness, status == EXIT_SUCCESS);
	return status;
}
