/*
 * The control role: replicates the store and the ledger through a log, renews
 * the leases of daemons, and keeps the directory of endpoints.
 */
#include "wisteria/control/control.h"

#include <string.h>

#include <glib.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/control/control_defs.h"
#include "wisteria/control/control_state.h"
#include "wisteria/control/renewals.h"
#include "wisteria/control/replica.h"
#include "wisteria/control/requests.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/listener.h"
#include "wisteria/settings/preset.h"
#include "wisteria/store/store.h"

#define CONTROL_TICK_MS 20
/* Interval between checks for agents that have timed out. */
#define CONTROL_EXPIRE_INTERVAL_MS 200
/* Interval between attempts to put the first preset in force. */
#define CONTROL_FIRST_PRESET_RETRY_MS 1000
/* Timeout of an operator's read when there is no quorum. */
#define CONTROL_READ_TIMEOUT_MS 2000

typedef struct {
	uint64_t ticket;
	clock_ms_t deadline_ms;
	read_barrier_done_t done;
	void *user;
} pending_read_t;

struct control_t {
	conn_handler_t handler;
	replica_machine_t machine;
	net_t *net;
	listener_t listener;
	replica_t replica;
	control_state_t state;
	requests_t requests;
	renewals_t renewals;
	directory_t *directory;
	GArray *pending_reads; /* of pending_read_t */
	uv_timer_t tick;
	char *first_preset_name;
	char *first_preset_text;
	clock_ms_t next_first_preset_ms;
	clock_ms_t next_expire_ms;
	bool closed;
};

typedef void (*control_msg_handler_t)(control_t *control, conn_t *conn,
				      const void *body);

static control_t *control_of(conn_handler_t *handler)
{
	return CONTAINER_OF(handler, control_t, handler);
}

static control_t *control_of_machine(replica_machine_t *machine)
{
	return CONTAINER_OF(machine, control_t, machine);
}

static clock_ms_t now_of(const control_t *control)
{
	return clock_now(control->net->clock);
}

static void on_opened(conn_handler_t *handler, conn_t *conn)
{
	(void)handler;
	(void)conn;
}

static void on_closed(conn_handler_t *handler, conn_t *conn, const err_t *why)
{
	control_t *control = control_of(handler);

	(void)why;
	requests_conn_closed(&control->requests, conn);
	renewals_conn_closed(&control->renewals, conn);
}

static void on_announce(control_t *control, conn_t *conn, const void *body)
{
	const msg_announce_t *announce = body;
	clock_ms_t now = now_of(control);
	msg_announce_reply_t reply = { .again = false };

	if (!announce->unchanged)
		directory_announce(control->directory, announce, now);
	else
		reply.again = !directory_record_heartbeat(
			control->directory, announce->instance,
			announce->incarnation, now);
	directory_update_running(control->directory, announce);
	if (reply.again)
		conn_send(conn, MSG_ANNOUNCE_REPLY, &reply);
}

static void on_renew(control_t *control, conn_t *conn, const void *body)
{
	renewals_add(&control->renewals, conn, body);
}

static void on_order(control_t *control, conn_t *conn, const void *body)
{
	requests_on_order(&control->requests, conn, body);
}

static void on_ledger(control_t *control, conn_t *conn, const void *body)
{
	requests_on_ledger(&control->requests, conn, body);
}

static void on_raft(control_t *control, conn_t *conn, const void *body)
{
	replica_on_message(&control->replica, conn, body);
}

static void on_shares(control_t *control, conn_t *conn, const void *body)
{
	share_granter_on_request(&control->renewals.share_granter, conn, body);
}

static const control_msg_handler_t handlers[MSG_TYPE_COUNT] = {
	[MSG_ANNOUNCE] = on_announce, [MSG_RENEW] = on_renew,
	[MSG_ORDER] = on_order,	      [MSG_LEDGER] = on_ledger,
	[MSG_RAFT] = on_raft,	      [MSG_SHARES] = on_shares,
};

static void on_message(conn_handler_t *handler, conn_t *conn, const msg_t *msg)
{
	control_t *control = control_of(handler);

	if (handlers[msg->type] != NULL && !control->closed)
		handlers[msg->type](control, conn, msg->body);
}

static void machine_apply(replica_machine_t *machine, uint64_t index,
			  uint64_t term, const uint8_t *data, size_t len)
{
	control_t *control = control_of_machine(machine);
	control_result_t result;

	control_state_apply(&control->state, index, data, len, &result);
	requests_advance_log_time(&control->requests, control->state.time_ms);
	if (result.type == MSG_ORDER)
		requests_order_applied(&control->requests, index, term,
				       &result.order);
	else if (result.type == MSG_LEDGER)
		requests_ledger_applied(&control->requests, index, term,
					&result.ledger);
	if (result.changed)
		LOG_INFO("revision_accepted",
			 "revision=%" G_GUINT64_FORMAT " order=%s preset=%s",
			 control->state.store.revision, result.order.id,
			 control->state.store.in_force);
}

static void machine_snapshot(replica_machine_t *machine, msgpack_sbuffer *out)
{
	control_state_snapshot(&control_of_machine(machine)->state, out);
}

static bool machine_restore(replica_machine_t *machine, const uint8_t *data,
			    size_t len, err_t *err)
{
	control_t *control = control_of_machine(machine);

	if (!control_state_restore(&control->state, data, len, err))
		return false;
	requests_advance_log_time(&control->requests, control->state.time_ms);
	return true;
}

/* Ends the reads up to "ticket", which are confirmed, and timed-out ones. */
static void complete_reads(control_t *control, uint64_t ticket)
{
	clock_ms_t now = now_of(control);
	guint i = 0;

	while (i < control->pending_reads->len) {
		const pending_read_t read = g_array_index(
			control->pending_reads, pending_read_t, i);

		if (read.ticket > ticket && now < read.deadline_ms) {
			i++;
			continue;
		}
		g_array_remove_index(control->pending_reads, i);
		read.done(read.user, read.ticket <= ticket);
	}
}

static void machine_confirmed(replica_machine_t *machine, uint64_t ticket)
{
	control_t *control = control_of_machine(machine);

	renewals_read_confirmed(&control->renewals, ticket);
	complete_reads(control, ticket);
}

static void machine_leader_changed(replica_machine_t *machine)
{
	requests_leader_changed(&control_of_machine(machine)->requests);
}

static void machine_message(replica_machine_t *machine, conn_t *conn,
			    const msg_t *msg)
{
	control_t *control = control_of_machine(machine);

	(void)conn;
	if (msg->type == MSG_SHARES_REPLY)
		renewals_on_shares_reply(&control->renewals, msg->body);
	else
		requests_on_reply(&control->requests, msg);
}

static const replica_machine_t machine_ops = {
	.apply = machine_apply,
	.snapshot = machine_snapshot,
	.restore = machine_restore,
	.confirmed = machine_confirmed,
	.leader_changed = machine_leader_changed,
	.message = machine_message,
};

/* Creates the first preset of a new group and puts it in force. */
static void submit_first_preset(control_t *control)
{
	msg_order_t order = {
		.id = "first-preset-create",
		.kind = ORDER_PRESET_CREATE,
		.name = control->first_preset_name,
		.text = control->first_preset_text,
		.operator_name = "first-preset",
		.wall_ms = g_get_real_time() / 1000,
	};
	clock_ms_t now = now_of(control);

	if (now < control->next_first_preset_ms)
		return;
	control->next_first_preset_ms = now + CONTROL_FIRST_PRESET_RETRY_MS;
	requests_submit_bootstrap(&control->requests, &order);
	order.id = "first-preset-use";
	order.kind = ORDER_PRESET_USE;
	order.text = "";
	requests_submit_bootstrap(&control->requests, &order);
}

/*
 * Lets a leader accept commands once it has applied an entry of its own term,
 * and so all earlier ones.  If no preset is in force and the settings name a
 * first one, the leader puts that in force before it accepts commands.
 */
static void open_requests_when_ready(control_t *control)
{
	bool is_empty = control->state.store.in_force[0] == '\0';

	if (control->requests.open ||
	    !replica_is_ready_leader(&control->replica))
		return;
	if (is_empty && control->first_preset_text != NULL)
		submit_first_preset(control);
	else
		control->requests.open = true;
}

static void on_tick(uv_timer_t *timer)
{
	control_t *control = timer->data;
	clock_ms_t now = now_of(control);

	if (now >= control->next_expire_ms) {
		control->next_expire_ms = now + CONTROL_EXPIRE_INTERVAL_MS;
		directory_expire(control->directory, now,
				 DIRECTORY_AGENT_TIMEOUT_MS);
	}
	open_requests_when_ready(control);
	requests_tick(&control->requests);
	renewals_tick(&control->renewals);
	complete_reads(control, 0);
}

static bool load_first_preset(control_t *control, const char *path, err_t *err)
{
	preset_t *preset;
	gsize len = 0;

	if (path == NULL)
		return true;
	if (!g_file_get_contents(path, &control->first_preset_text, &len,
				 NULL)) {
		err_set(err, ERR_IO, "load_preset", path,
			"cannot read the file");
		return false;
	}
	preset = preset_parse(control->first_preset_text, len, err);
	if (preset == NULL)
		return false;
	control->first_preset_name = g_strdup(preset->name);
	preset_free(preset);
	return true;
}

static void destroy_control(control_t *control)
{
	directory_free(control->directory);
	control_state_finish(&control->state);
	g_array_unref(control->pending_reads);
	g_free(control->first_preset_name);
	g_free(control->first_preset_text);
	g_free(control);
}

static bool start(control_t *control, const settings_t *settings, err_t *err)
{
	if (!load_first_preset(control,
			       settings->control->bootstrap_preset_file, err))
		return false;
	if (!listener_init(&control->listener, control->net,
			   settings->control->listen, &control->handler, err))
		return false;
	if (replica_init(&control->replica, control->net, settings,
			 &control->machine, err))
		return true;
	listener_close(&control->listener);
	return false;
}

/*
 * Starts the control role on the loop of "net", or returns NULL on error.
 * "settings" must outlive it.
 */
control_t *control_new(net_t *net, const settings_t *settings, err_t *err)
{
	control_t *control = g_new0(control_t, 1);

	control->handler.opened = on_opened;
	control->handler.message = on_message;
	control->handler.closed = on_closed;
	control->machine = machine_ops;
	control->net = net;
	control->pending_reads =
		g_array_new(FALSE, FALSE, sizeof(pending_read_t));
	control->directory = directory_new(
		net->incarnation, now_of(control) + DIRECTORY_WARM_UP_MS);
	control_state_init(&control->state);
	requests_init(&control->requests, &control->replica,
		      &control->state.store);
	if (!start(control, settings, err)) {
		destroy_control(control);
		return NULL;
	}
	renewals_init(&control->renewals, &control->replica,
		      &control->state.store, control->directory);
	uv_timer_init(net->loop, &control->tick);
	control->tick.data = control;
	uv_timer_start(&control->tick, on_tick, CONTROL_TICK_MS,
		       CONTROL_TICK_MS);
	return control;
}

/* Transfers leadership, if this instance leads, before a planned stop. */
void control_transfer_leadership(control_t *control)
{
	replica_transfer_leadership(&control->replica);
}

/* Stops the role.  Called before its connections are closed. */
void control_close(control_t *control)
{
	if (control == NULL || control->closed)
		return;
	control->closed = true;
	replica_close(&control->replica);
	uv_close((uv_handle_t *)&control->tick, NULL);
	listener_close(&control->listener);
}

/* Frees a closed role; the event loop must have ended. */
void control_free(control_t *control)
{
	if (control == NULL)
		return;
	requests_finish(&control->requests);
	renewals_finish(&control->renewals);
	replica_finish(&control->replica);
	destroy_control(control);
}

/*
 * Submits an operator's order.  "done" is called once: when the order is
 * committed, or after REQUESTS_TIMEOUT_MS when its outcome is unknown.
 */
void control_submit_order(control_t *control, const msg_order_t *order,
			  order_done_t done, void *user)
{
	requests_submit_order(&control->requests, order, done, user);
}

/*
 * Calls "done" with true once the state of this instance includes everything
 * that was committed before the call, or with false if no quorum confirms that
 * in CONTROL_READ_TIMEOUT_MS.
 */
void control_read_barrier(control_t *control, read_barrier_done_t done,
			  void *user)
{
	const pending_read_t read = {
		.ticket = replica_read(&control->replica),
		.deadline_ms = now_of(control) + CONTROL_READ_TIMEOUT_MS,
		.done = done,
		.user = user,
	};

	g_array_append_val(control->pending_reads, read);
}

/* Returns the store as currently applied; see control_read_barrier(). */
const store_t *control_store(const control_t *control)
{
	return &control->state.store;
}

/* Returns the endpoints that agents announced to this instance. */
directory_t *control_directory(control_t *control)
{
	return control->directory;
}

/* Fills "status"; its pointers are valid until the next loop iteration. */
void control_status(const control_t *control, control_status_t *status)
{
	const raft_t *raft = &control->replica.raft;

	*status = (control_status_t){
		.leader = "",
		.term = raft->term,
		.commit = raft->commit,
		.applied = raft->applied,
		.members = &raft->members,
	};
	for (uint32_t i = 0; i < raft->members.count; i++)
		if (raft->members.items[i].id == raft->leader)
			status->leader = raft->members.items[i].instance;
}
