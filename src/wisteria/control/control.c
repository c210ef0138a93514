/*
 * The control role: the replicated log under the store and the ledger, the
 * renewals of daemons' leases, and the directory of endpoints.
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
/* How often silent agents are looked for. */
#define CONTROL_EXPIRE_MS 200
/* How often an empty store is given its first preset. */
#define CONTROL_FIRST_PRESET_MS 1000
/* An operator's read without a quorum ends after this long. */
#define CONTROL_READ_MS 2000

typedef struct {
	uint64_t ticket;
	clock_ms_t deadline_ms;
	read_done_t done;
	void *user;
} control_read_t;

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
	GArray *reads; /* of control_read_t */
	uv_timer_t tick;
	char *first_preset_name;
	char *first_preset_text;
	clock_ms_t first_preset_at_ms;
	clock_ms_t expire_at_ms;
	bool closed;
};

typedef void (*control_message_t)(control_t *control, conn_t *conn,
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
		reply.again =
			!directory_touch(control->directory, announce->instance,
					 announce->incarnation, now);
	directory_note_running(control->directory, announce);
	if (reply.again)
		conn_send(conn, MSG_ANNOUNCE_REPLY, &reply);
}

static void on_renew(control_t *control, conn_t *conn, const void *body)
{
	renewals_take(&control->renewals, conn, body);
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
	share_granter_on_request(&control->renewals.parts, conn, body);
}

static const control_message_t handlers[MSG_TYPE_COUNT] = {
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

static void end_reads(control_t *control, uint64_t ticket)
{
	clock_ms_t now = now_of(control);
	guint i = 0;

	while (i < control->reads->len) {
		const control_read_t read =
			g_array_index(control->reads, control_read_t, i);

		if (read.ticket > ticket && now < read.deadline_ms) {
			i++;
			continue;
		}
		g_array_remove_index(control->reads, i);
		read.done(read.user, read.ticket <= ticket);
	}
}

static void machine_confirmed(replica_machine_t *machine, uint64_t ticket)
{
	control_t *control = control_of_machine(machine);

	renewals_confirmed(&control->renewals, ticket);
	end_reads(control, ticket);
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
		renewals_take_shares(&control->renewals, msg->body);
	else
		requests_on_reply(&control->requests, msg);
}

static const replica_machine_t machine_functions = {
	.apply = machine_apply,
	.snapshot = machine_snapshot,
	.restore = machine_restore,
	.confirmed = machine_confirmed,
	.leader_changed = machine_leader_changed,
	.message = machine_message,
};

/* The leader of a new group puts the first preset in force. */
static void give_first_preset(control_t *control)
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

	if (now < control->first_preset_at_ms)
		return;
	control->first_preset_at_ms = now + CONTROL_FIRST_PRESET_MS;
	requests_submit_bootstrap(&control->requests, &order);
	order.id = "first-preset-use";
	order.kind = ORDER_PRESET_USE;
	order.text = "";
	requests_submit_bootstrap(&control->requests, &order);
}

/*
 * Lets a leader take commands once it has applied an entry of its own term,
 * and so all earlier ones, and a preset is in force.
 */
static void open_requests(control_t *control)
{
	bool is_empty = control->state.store.in_force[0] == '\0';

	if (control->requests.open ||
	    !replica_is_ready_leader(&control->replica))
		return;
	if (is_empty && control->first_preset_text != NULL)
		give_first_preset(control);
	else
		control->requests.open = true;
}

static void on_tick(uv_timer_t *timer)
{
	control_t *control = timer->data;
	clock_ms_t now = now_of(control);

	if (now >= control->expire_at_ms) {
		control->expire_at_ms = now + CONTROL_EXPIRE_MS;
		directory_expire(control->directory, now, DIRECTORY_SILENCE_MS);
	}
	open_requests(control);
	requests_tick(&control->requests);
	renewals_tick(&control->renewals);
	end_reads(control, 0);
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

static void free_parts(control_t *control)
{
	directory_free(control->directory);
	control_state_finish(&control->state);
	g_array_unref(control->reads);
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
 * Starts the control role on the loop of "net"; returns NULL on error.
 * "settings" must outlive it.
 */
control_t *control_new(net_t *net, const settings_t *settings, err_t *err)
{
	control_t *control = g_new0(control_t, 1);

	control->handler.opened = on_opened;
	control->handler.message = on_message;
	control->handler.closed = on_closed;
	control->machine = machine_functions;
	control->net = net;
	control->reads = g_array_new(FALSE, FALSE, sizeof(control_read_t));
	control->directory = directory_new(
		net->incarnation, now_of(control) + DIRECTORY_WARM_UP_MS);
	control_state_init(&control->state);
	requests_init(&control->requests, &control->replica,
		      &control->state.store);
	if (!start(control, settings, err)) {
		free_parts(control);
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

/* Prepares a planned stop: another instance is to lead. */
void control_leave(control_t *control)
{
	replica_transfer_leadership(&control->replica);
}

/* Stops the role, before its connections are closed. */
void control_close(control_t *control)
{
	if (control == NULL || control->closed)
		return;
	control->closed = true;
	replica_close(&control->replica);
	uv_close((uv_handle_t *)&control->tick, NULL);
	listener_close(&control->listener);
}

/* Frees a role that is closed; the loop must have run to its end. */
void control_free(control_t *control)
{
	if (control == NULL)
		return;
	requests_finish(&control->requests);
	renewals_finish(&control->renewals);
	replica_finish(&control->replica);
	free_parts(control);
}

/*
 * Takes an operator's order.  "done" is called once, when it is committed or
 * when its outcome is unknown after REQUESTS_TIMEOUT_MS.
 */
void control_order(control_t *control, const msg_order_t *order,
		   order_done_t done, void *user)
{
	requests_submit_order(&control->requests, order, done, user);
}

/*
 * Calls "done" once the state here is at least as new as everything that was
 * committed before the call, or with false without a quorum in time.
 */
void control_read(control_t *control, read_done_t done, void *user)
{
	const control_read_t read = {
		.ticket = replica_read(&control->replica),
		.deadline_ms = now_of(control) + CONTROL_READ_MS,
		.done = done,
		.user = user,
	};

	g_array_append_val(control->reads, read);
}

/* Returns the store as applied here; see control_read(). */
const store_t *control_store(const control_t *control)
{
	return &control->state.store;
}

/* Returns the endpoints that agents announced here. */
directory_t *control_directory(control_t *control)
{
	return control->directory;
}

/* Fills "status"; its pointers last until the loop's next turn. */
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
