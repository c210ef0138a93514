/*
 * Runs control instances as processes, a client that sends orders to them, and
 * daemons that renew their leases, which run in the test process.
 */
#include "harness/control_rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/control/view.h"
#include "wisteria/net/link.h"
#include "wisteria/net/net.h"

/* The wait for one instance's reply before the order goes to the next one. */
#define RIG_REPLY_TIMEOUT_MS 3000
/* Period of the timer that makes the loop return to check a condition. */
#define RIG_POLL_MS 5

static const char preset_text[] = "name: everyday\n"
				  "models:\n"
				  "  - name: modelo\n"
				  "    layers: 12\n"
				  "    max_tokens: 100\n"
				  "services: []\n"
				  "contracts: []\n"
				  "limits:\n"
				  "  queue_length: 100\n"
				  "  queue_ms: 1000\n"
				  "  request_ms: 10000\n"
				  "  retry_percent: 10\n"
				  "  weight_bytes_per_s: 1000\n"
				  "  ledger_retention_ms: 600000\n"
				  "recovery: restart\n";

static void on_opened(conn_handler_t *handler, conn_t *conn)
{
	(void)handler;
	(void)conn;
}

static void on_closed(conn_handler_t *handler, conn_t *conn, const err_t *why)
{
	(void)handler;
	(void)conn;
	(void)why;
}

static void on_message(conn_handler_t *handler, conn_t *conn, const msg_t *msg)
{
	control_rig_t *rig = CONTAINER_OF(handler, control_rig_t, handler);
	const msg_order_reply_t *reply = msg->body;

	(void)conn;
	if (msg->type != MSG_ORDER_REPLY || rig->order_id == NULL ||
	    strcmp(reply->id, rig->order_id) != 0)
		return;
	rig->answer.answered = true;
	rig->answer.outcome = reply->outcome;
	rig->answer.revision = reply->revision;
	snprintf(rig->answer.winner, sizeof(rig->answer.winner), "%s",
		 reply->winner.operator_name == NULL
			 ? ""
			 : reply->winner.operator_name);
}

static void on_poll(uv_timer_t *timer)
{
	(void)timer;
}

static void free_timer(uv_handle_t *handle)
{
	g_free(handle);
}

/*
 * Runs the loop until "condition" returns true or "limit_ms" is over; returns
 * the last result of "condition".
 */
bool control_rig_run_until(control_rig_t *rig, bool (*condition)(void *user),
			   void *user, clock_ms_t limit_ms)
{
	clock_ms_t deadline_ms = clock_now(&clock_monotonic) + limit_ms;
	uv_timer_t *poll = g_new0(uv_timer_t, 1);
	bool is_met = condition(user);

	uv_timer_init(&rig->loop, poll);
	uv_timer_start(poll, on_poll, RIG_POLL_MS, RIG_POLL_MS);
	while (!is_met && clock_now(&clock_monotonic) < deadline_ms) {
		uv_run(&rig->loop, UV_RUN_ONCE);
		is_met = condition(user);
	}
	uv_close((uv_handle_t *)poll, free_timer);
	return is_met;
}

static bool never_true(void *user)
{
	(void)user;
	return false;
}

/* Runs the loop, and thereby the daemons, for "duration_ms". */
void control_rig_run_for(control_rig_t *rig, clock_ms_t duration_ms)
{
	if (control_rig_run_until(rig, never_true, NULL, duration_ms))
		abort();
}

static void append_peers(const control_rig_t *rig, GString *out,
			 const char *key, const char *indent, size_t count,
			 bool relayed)
{
	g_string_append_printf(out, "%s%s:\n", indent, key);
	for (size_t i = 0; i < count; i++) {
		const rig_control_t *control = &rig->controls[i];

		g_string_append_printf(
			out, "%s  - instance: %s\n%s    address: %s\n", indent,
			control->name, indent,
			relayed && control->relay != NULL
				? relay_address(control->relay)
				: control->address);
	}
}

static void write_settings(control_rig_t *rig, rig_control_t *control,
			   const char *key_path, const char *token_path,
			   const char *preset_path)
{
	harness_t *harness = rig->harness;
	GString *out = g_string_new(NULL);

	g_string_append_printf(out,
			       "instance: %s\nfailure_domain: %s\n"
			       "region: litoral\ncluster_key_file: %s\n"
			       "roles: [control]\nmetrics_listen: %s\n",
			       control->name, control->name, key_path,
			       harness_address(harness));
	append_peers(rig, out, "control_instances", "", rig->control_count,
		     false);
	g_string_append_printf(out,
			       "control:\n  listen: %s\n  admin_listen: %s\n"
			       "  admin_token_file: %s\n  data_dir: %s\n"
			       "  bootstrap_preset_file: %s\n",
			       control->address, harness_address(harness),
			       token_path, control->data_dir, preset_path);
	append_peers(rig, out, "voters", "  ", rig->voter_count, true);
	control->settings = harness_write_file(
		harness, harness_string(harness, "%s.yaml", control->name),
		out->str);
	g_string_free(out, TRUE);
}

static void init_control(control_rig_t *rig, size_t index, bool relays)
{
	harness_t *harness = rig->harness;
	rig_control_t *control = &rig->controls[index];
	const char *data_name;

	snprintf(control->name, sizeof(control->name), "control-%zu-%zu",
		 harness->process_count, index + 1);
	control->address = harness_address(harness);
	data_name = harness_string(harness, "data-%s", control->name);
	control->data_dir = harness_path(harness, data_name);
	if (relays)
		control->relay = relay_new(harness, control->address);
}

/*
 * Initializes a rig and writes the settings of its control instances, without
 * starting them.  The first "voters" instances form the control group and the
 * others join it.  With "relays" the instances reach the voters through relays.
 */
void control_rig_init(control_rig_t *rig, harness_t *harness, size_t controls,
		      size_t voters, bool relays)
{
	char hex[2 * NET_KEY_BYTES + 1];
	const char *key_path;
	const char *token_path;
	const char *preset_path;

	memset(rig, 0, sizeof(*rig));
	rig->harness = harness;
	rig->handler.opened = on_opened;
	rig->handler.closed = on_closed;
	rig->handler.message = on_message;
	rig->control_count = controls;
	rig->voter_count = voters;
	memset(rig->key, 0xab, sizeof(rig->key));
	for (size_t i = 0; i < NET_KEY_BYTES; i++)
		snprintf(hex + 2 * i, 3, "ab");
	key_path = harness_write_file(harness, "cluster.key", hex);
	token_path =
		harness_write_file(harness, "admin.token", "operator-token\n");
	preset_path = harness_write_file(harness, "everyday.yaml", preset_text);
	for (size_t i = 0; i < controls; i++)
		init_control(rig, i, relays);
	for (size_t i = 0; i < controls; i++)
		write_settings(rig, &rig->controls[i], key_path, token_path,
			       preset_path);
	uv_loop_init(&rig->loop);
	net_init(&rig->net, &rig->loop, &clock_monotonic, "operator", "rig", 1,
		 rig->key);
	for (size_t i = 0; i < controls; i++)
		link_init(&rig->links[i], &rig->net, rig->controls[i].address,
			  &rig->handler);
}

/* Starts or restarts an instance. */
void control_rig_start(control_rig_t *rig, size_t control)
{
	rig_control_t *instance = &rig->controls[control];
	const char *const argv[] = { harness_program(rig->harness, "wisteriad"),
				     "--config", instance->settings, NULL };

	if (instance->process != NULL)
		harness_restart(instance->process);
	else
		instance->process =
			harness_start(rig->harness, instance->name, argv);
}

/*
 * Starts all instances and submits a first change; returns whether it was
 * applied.
 */
bool control_rig_start_all(control_rig_t *rig)
{
	for (size_t i = 0; i < rig->control_count; i++)
		control_rig_start(rig, i);
	return control_rig_submit_change(rig, 0).outcome == ORDER_APPLIED;
}

/* Deletes the data of an instance that does not run. */
void control_rig_wipe_data(control_rig_t *rig, size_t control)
{
	const char *dir_path = rig->controls[control].data_dir;
	GDir *dir = g_dir_open(dir_path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *path = g_build_filename(dir_path, name, NULL);

		remove(path);
		g_free(path);
	}
	if (dir != NULL)
		g_dir_close(dir);
}

static uint64_t last_term_as_leader(const rig_control_t *control)
{
	char *log = harness_read_file(control->process->log_path);
	char *pattern = g_strdup_printf("leader=%s\n", control->name);
	const char *found = g_strrstr(log, pattern);
	uint64_t term = 0;

	while (found != NULL && found > log && strncmp(found, "term=", 5) != 0)
		found--;
	if (found != NULL && found > log)
		term = strtoull(found + 5, NULL, 10);
	g_free(pattern);
	g_free(log);
	return term;
}

/*
 * Returns the index of the running instance that became leader in the highest
 * term, according to the logs; 0 if there is none.
 */
size_t control_rig_leader(control_rig_t *rig)
{
	size_t leader = 0;
	uint64_t newest = 0;

	for (size_t i = 0; i < rig->control_count; i++) {
		const rig_control_t *control = &rig->controls[i];
		uint64_t term = last_term_as_leader(control);

		if (harness_is_running(control->process) && term > newest) {
			newest = term;
			leader = i;
		}
	}
	return leader;
}

static bool is_answered(void *user)
{
	const control_rig_t *rig = user;

	return rig->answer.answered;
}

/*
 * Sends an order to one instance, once.  The outcome is ORDER_UNKNOWN if it
 * cannot be sent or no reply arrives in time.
 */
rig_order_result_t control_rig_try_order(control_rig_t *rig, size_t control,
					 const msg_order_t *order)
{
	rig->order_id = order->id;
	rig->answer = (rig_order_result_t){ .outcome = ORDER_UNKNOWN };
	if (!link_send(&rig->links[control], MSG_ORDER, order))
		control_rig_run_for(rig, RIG_POLL_MS);
	else if (!control_rig_run_until(rig, is_answered, rig,
					RIG_REPLY_TIMEOUT_MS))
		rig->answer.outcome = ORDER_UNKNOWN;
	rig->order_id = NULL;
	return rig->answer;
}

/*
 * Sends an order to one instance after the other, from "control" on, until its
 * outcome is known or HARNESS_WAIT_MS is over.
 */
rig_order_result_t control_rig_submit_order(control_rig_t *rig, size_t control,
					    const msg_order_t *order)
{
	clock_ms_t deadline_ms = clock_now(&clock_monotonic) + HARNESS_WAIT_MS;
	rig_order_result_t answer = { .outcome = ORDER_UNKNOWN };

	while (answer.outcome == ORDER_UNKNOWN &&
	       clock_now(&clock_monotonic) < deadline_ms) {
		if (control >= rig->control_count)
			control = 0;
		answer = control_rig_try_order(rig, control++, order);
	}
	return answer;
}

/*
 * Submits the next change: an order that makes one endpoint leave or return,
 * alternately.  "control" is the instance to which it is sent first.
 */
rig_order_result_t control_rig_submit_change(control_rig_t *rig, size_t control)
{
	char id[HARNESS_NAME_BYTES];
	const msg_order_t order = {
		.id = id,
		.kind = rig->orders % 2 == 0 ? ORDER_ENDPOINT_LEAVE
					     : ORDER_ENDPOINT_RETURN,
		.name = "range-0-0",
		.text = "",
		.operator_name = "joana",
	};

	snprintf(id, sizeof(id), "order-%u", (unsigned)++rig->orders);
	return control_rig_submit_order(rig, control, &order);
}

/*
 * Adds a daemon that renews its lease with "control_count" instances, from
 * "first_control" on.
 */
rig_daemon_t *control_rig_add_daemon(control_rig_t *rig, const char *name,
				     size_t first_control, size_t control_count)
{
	rig_daemon_t *daemon = g_new0(rig_daemon_t, 1);

	snprintf(daemon->name, sizeof(daemon->name), "%s", name);
	net_init(&daemon->net, &rig->loop, &clock_monotonic, daemon->name,
		 "rig", rig->daemon_count + 1, rig->key);
	for (size_t i = 0; i < control_count; i++)
		daemon->peers[i] = (settings_peer_t){
			.instance = rig->controls[first_control + i].name,
			.address = (char *)rig->controls[first_control + i]
					   .address,
		};
	daemon->settings.instance = daemon->name;
	daemon->settings.control_instances = daemon->peers;
	daemon->settings.control_instances_count = (unsigned)control_count;
	view_board_init(&daemon->board);
	daemon->lease = lease_client_new(&daemon->net, &daemon->settings,
					 &daemon->board);
	rig->daemons[rig->daemon_count++] = daemon;
	return daemon;
}

/* Makes the daemon an agent that announces RIG_AGENT_ENDPOINTS endpoints. */
void control_rig_make_agent(control_rig_t *rig, rig_daemon_t *daemon)
{
	for (size_t i = 0; i < RIG_AGENT_ENDPOINTS; i++) {
		snprintf(daemon->endpoint_names[i],
			 sizeof(daemon->endpoint_names[i]), "%s-%zu",
			 daemon->name, i);
		daemon->endpoints[i] = (settings_endpoint_t){
			.name = daemon->endpoint_names[i],
			.kind = SETTINGS_MODEL,
			.target = "modelo",
			.end_layer = 12,
			.accelerator = "a",
			.slots = 1,
		};
	}
	daemon->agent = (settings_agent_t){
		.listen = "127.0.0.1:1",
		.endpoints = daemon->endpoints,
		.endpoints_count = RIG_AGENT_ENDPOINTS,
	};
	daemon->settings.agent = &daemon->agent;
	daemon->settings.failure_domain = "rig";
	daemon->settings.region = "litoral";
	daemon->announcer = announcer_new(&daemon->net, &daemon->settings);
	(void)rig;
}

/* Returns the daemon's view, valid until the loop runs again; or NULL. */
const view_t *control_rig_view(rig_daemon_t *daemon)
{
	return daemon->board.current;
}

/* Returns the revision of the daemon's view; 0 without a valid lease. */
uint64_t control_rig_revision(rig_daemon_t *daemon)
{
	const view_t *view = control_rig_view(daemon);

	if (view == NULL || view->lease_until_ms <= clock_now(&clock_monotonic))
		return 0;
	return view->revision;
}

static void close_handle(uv_handle_t *handle, void *data)
{
	(void)data;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

/* Kills the processes, stops the daemons and frees what the rig holds. */
void control_rig_finish(control_rig_t *rig)
{
	for (size_t i = 0; i < rig->control_count; i++)
		if (rig->controls[i].process != NULL)
			harness_kill(rig->controls[i].process);
	for (size_t i = 0; i < rig->daemon_count; i++)
		net_close(&rig->daemons[i]->net);
	net_close(&rig->net);
	uv_walk(&rig->loop, close_handle, NULL);
	uv_run(&rig->loop, UV_RUN_DEFAULT);
	for (size_t i = 0; i < rig->daemon_count; i++) {
		lease_client_free(rig->daemons[i]->lease);
		announcer_free(rig->daemons[i]->announcer);
		view_board_finish(&rig->daemons[i]->board);
		g_free(rig->daemons[i]);
	}
	uv_loop_close(&rig->loop);
	for (size_t i = 0; i < rig->control_count; i++)
		if (rig->controls[i].relay != NULL)
			relay_free(rig->controls[i].relay);
}
