/*
 * The control role of a fleet: the replicated configuration revision, the
 * registry of endpoints, leases, and the placement of layers.
 */
#include "wisteria/fleet/fleet_control.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/control/founding.h"
#include "wisteria/control/replica.h"
#include "wisteria/control/replica_group.h"
#include "wisteria/control/replica_leave.h"
#include "wisteria/fleet/fleet_api.h"
#include "wisteria/fleet/fleet_founding.h"
#include "wisteria/fleet/fleet_group.h"
#include "wisteria/fleet/fleet_limits.h"
#include "wisteria/fleet/fleet_load.h"
#include "wisteria/fleet/fleet_parts.h"
#include "wisteria/fleet/fleet_plan.h"
#include "wisteria/fleet/fleet_retries.h"
#include "wisteria/fleet/fleet_update.h"
#include "wisteria/fleet/part_guard.h"
#include "wisteria/fleet/placer.h"
#include "wisteria/fleet/prober.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/routes.h"
#include "wisteria/fleet/subscription.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/listener.h"
#include "wisteria/net/net.h"
#include "wisteria/settings/settings.h"

#define CONTROL_TICK_MS FLEET_UPDATE_INTERVAL_MS
#define CONTROL_HEADER_BYTES (16u << 10)
#define CONTROL_BODY_BYTES (8u << 20)
#define CONTROL_HEADER_MS 5000
#define CONTROL_IDLE_MS 60000

static fleet_control_t *of_conn(conn_handler_t *handler)
{
	return CONTAINER_OF(handler, fleet_control_t, conn_handler);
}

static fleet_control_t *of_machine(replica_machine_t *machine)
{
	return CONTAINER_OF(machine, fleet_control_t, machine);
}

static fleet_control_t *of_subscription(subscription_handler_t *handler)
{
	return CONTAINER_OF(handler, fleet_control_t, subscription_handler);
}

static clock_ms_t now_of(const fleet_control_t *control)
{
	return clock_now(control->net->clock);
}

/* Connections of subscribers and of other control instances. */

static void on_opened(conn_handler_t *handler, conn_t *conn)
{
	(void)handler;
	(void)conn;
}

static void on_closed(conn_handler_t *handler, conn_t *conn, const err_t *why)
{
	fleet_control_t *control = of_conn(handler);

	(void)why;
	g_ptr_array_remove_fast(control->subscribers, conn);
	fleet_limits_forget_entry(control, conn);
	fleet_retries_forget_conn(control, conn);
	fleet_parts_forget(control, conn);
	for (guint i = control->reads->len; i-- > 0;)
		if (g_array_index(control->reads, fleet_read_t, i).conn == conn)
			g_array_remove_index(control->reads, i);
}

/*
 * Sends the list of known control instances, this one included, and to another
 * control instance the entries.
 */
static void send_known_controls(const fleet_control_t *control, conn_t *conn)
{
	msg_fleet_meet_t meet = { .control_count = 0 };
	msg_fleet_control_t *list = control_list_describe(
		&control->known_controls, now_of(control), &meet.control_count);
	msg_fleet_entry_t *entries = NULL;

	if (conn->user == NULL)
		entries = entry_list_describe(
			&control->entries, now_of(control), &meet.entry_count);
	meet.entries = entries;
	meet.controls = list;
	conn_send(conn, MSG_FLEET_MEET, &meet);
	g_free(entries);
	g_free(list);
}

static void send_all_endpoints(const fleet_control_t *control, conn_t *conn)
{
	msg_fleet_endpoints_t message;
	fleet_update_t update;

	fleet_update_init(&update, &control->registry, NULL, NULL,
			  now_of(control));
	message = fleet_update_message(&update);
	conn_send(conn, MSG_FLEET_ENDPOINTS, &message);
	fleet_update_finish(&update);
}

static void handle_subscribe(fleet_control_t *control, conn_t *conn,
			     const void *body)
{
	const msg_fleet_subscribe_t *subscribe = body;

	/* A non-NULL "user" marks an entry. */
	conn->user = subscribe->is_entry ? control : NULL;
	g_ptr_array_add(control->subscribers, conn);
	control->entries_changed |= subscribe->is_entry;
	send_known_controls(control, conn);
	send_all_endpoints(control, conn);
	fleet_parts_send_to(control, conn);
	fleet_limits_send(control, conn);
}

/*
 * Starts a quorum read whose confirmation answers a renewal.  Without a
 * replica, or if no quorum confirms in time, the renewal gets no reply: after
 * SUBSCRIPTION_REPLY_TIMEOUT_MS the subscriber tries the next instance.
 */
static void handle_renew(fleet_control_t *control, conn_t *conn,
			 const void *body)
{
	const msg_fleet_renew_t *renew = body;
	fleet_read_t read = {
		.ticket = control->has_replica ? replica_read(&control->replica)
					       : 0,
		.deadline_ms = now_of(control) + FLEET_QUORUM_TIMEOUT_MS,
		.conn = conn,
		.request_sent_ms = renew->request_sent_ms,
		.held_revision = renew->revision,
	};

	if (read.ticket != 0)
		g_array_append_val(control->reads, read);
}

static void record_slow_report(fleet_control_t *control,
			       const msg_fleet_load_t *load)
{
	if (load->slow)
		control->slow_reported_ms = now_of(control);
}

static void handle_load(fleet_control_t *control, conn_t *conn,
			const void *body)
{
	record_slow_report(control, body);
	load_sum_set_report(&control->load, body, now_of(control));
	demand_sum_set_report(&control->demand, body, conn->peer_failure_domain,
			      now_of(control));
}

/*
 * Streams through these endpoints have stalled, so an endpoint may have
 * failed.  The leader checks on behalf of all entries whether the endpoints
 * accept connections.
 */
static void handle_silent(fleet_control_t *control, conn_t *conn,
			  const void *body)
{
	const msg_fleet_silent_t *silent = body;

	(void)conn;
	if (!fleet_group_leads(control))
		return;
	for (size_t i = 0; i < silent->endpoint_count; i++) {
		const endpoint_t *endpoint = registry_find(
			&control->registry, silent->endpoints[i].text);

		if (endpoint != NULL &&
		    registry_is_usable(&control->registry, endpoint))
			prober_check(&control->prober, endpoint);
	}
}

static void handle_parts(fleet_control_t *control, conn_t *conn,
			 const void *body)
{
	fleet_parts_handle(control, conn, body);
}

static void handle_limits(fleet_control_t *control, conn_t *conn,
			  const void *body)
{
	fleet_limits_handle(control, conn, body);
}

static void handle_retries(fleet_control_t *control, conn_t *conn,
			   const void *body)
{
	fleet_retries_handle(control, conn, body);
}

static void drop_raft(fleet_control_t *control, const conn_t *conn,
		      const msg_raft_t *msg)
{
	clock_ms_t now = now_of(control);

	counter_add(COUNTER_REPLICA_MESSAGES_DROPPED, 1);
	if (now < control->drop_log_ms)
		return;
	control->drop_log_ms = now + FLEET_DROP_LOG_MS;
	LOG_INFO("replica_message_dropped", "peer=%s kind=%u",
		 conn->peer_instance, msg->kind);
}

/*
 * Without a replica, answers a search with the control instances that this one
 * knows, members among them, and drops the other messages.
 */
static void handle_raft(fleet_control_t *control, conn_t *conn,
			const void *body)
{
	const msg_raft_t *msg = body;

	if (control->has_replica)
		replica_on_message(&control->replica, conn, msg);
	else if (msg->kind == REPLICA_MSG_SEARCH)
		send_known_controls(control, conn);
	else
		drop_raft(control, conn, msg);
}

/* Records the entries that another control instance has heard of. */
static void hear_entries(fleet_control_t *control,
			 const msg_fleet_meet_t *message)
{
	clock_ms_t now = now_of(control);

	for (size_t i = 0; i < message->entry_count; i++)
		entry_list_hear(&control->entries, message->entries[i].instance,
				now - MAX(message->entries[i].age_ms, 0));
}

static void handle_founding(fleet_control_t *control, conn_t *conn,
			    const void *body)
{
	fleet_founding_on_request(control, conn, body);
}

static void handle_known_controls(fleet_control_t *control, conn_t *conn,
				  const void *body)
{
	const msg_fleet_meet_t *control_list = body;
	bool is_new = false;

	(void)conn;
	hear_entries(control, control_list);
	for (size_t i = 0; i < control_list->control_count; i++) {
		subscription_add_discovered(&control->subscription,
					    &control_list->controls[i]);
		is_new |= control_list_hear(&control->known_controls,
					    &control_list->controls[i],
					    now_of(control));
	}
	for (guint i = 0; is_new && i < control->subscribers->len; i++)
		send_known_controls(control,
				    g_ptr_array_index(control->subscribers, i));
}

/*
 * A connection to another control instance is open.  An instance that forwards
 * the heartbeats that it receives sends its whole registry.
 */
static void on_control_opened(subscription_handler_t *handler, conn_t *conn)
{
	fleet_control_t *control = of_subscription(handler);

	send_known_controls(control, conn);
	if (fleet_group_forwards(control))
		send_all_endpoints(control, conn);
}

static void record_controls(fleet_control_t *control,
			    const msg_fleet_control_t *controls, size_t count)
{
	for (size_t i = 0; i < count; i++)
		control_list_hear(&control->known_controls, &controls[i],
				  now_of(control));
}

/*
 * Records the control instances that another one knows.  The subscription has
 * already recorded them for its own connections.  Unlike
 * handle_known_controls(), does not send new ones to the subscribers.
 */
static void on_control_list(subscription_handler_t *handler,
			    const msg_fleet_meet_t *control_list)
{
	fleet_control_t *control = of_subscription(handler);

	hear_entries(control, control_list);
	record_controls(control, control_list->controls,
			control_list->control_count);
}

/*
 * Returns whether "reported" has the newest incarnation and heartbeat sequence
 * that the registry knows of this endpoint.
 */
static bool is_newest(const fleet_control_t *control,
		      const endpoint_t *reported)
{
	const endpoint_t *known =
		registry_find(&control->registry, reported->id);

	return known != NULL && known->incarnation == reported->incarnation &&
	       known->sequence == reported->sequence;
}

static bool touch_endpoint(fleet_control_t *control,
			   const msg_fleet_alive_t *alive, clock_ms_t now)
{
	return registry_record_heartbeat(&control->registry, alive->id,
					 alive->incarnation, alive->sequence,
					 now - alive->age_ms);
}

/*
 * Applies heartbeats that an instance without a data folder forwards.  A
 * heartbeat is forwarded to our subscribers even if it has already arrived by
 * another path: they may have no other source.
 */
static void handle_endpoints(fleet_control_t *control, conn_t *conn,
			     const void *body)
{
	const msg_fleet_endpoints_t *update = body;
	clock_ms_t now = now_of(control);

	(void)conn;
	for (size_t i = 0; i < update->endpoint_count; i++) {
		endpoint_t endpoint;

		fleet_update_read_endpoint(&update->endpoints[i], now,
					   &endpoint);
		registry_update(&control->registry, &endpoint,
				endpoint.last_heard_ms);
		if (is_newest(control, &endpoint))
			g_hash_table_add(control->updated_ids,
					 g_strdup(endpoint.id));
	}
	for (size_t i = 0; i < update->alive_count; i++)
		if (touch_endpoint(control, &update->alive[i], now))
			g_hash_table_add(control->updated_ids,
					 g_strdup(update->alive[i].id));
}

typedef void (*message_handler_t)(fleet_control_t *control, conn_t *conn,
				  const void *body);

static void on_message(conn_handler_t *handler, conn_t *conn, const msg_t *msg)
{
	static const message_handler_t handlers[MSG_TYPE_COUNT] = {
		[MSG_FLEET_SUBSCRIBE] = handle_subscribe,
		[MSG_FLEET_RENEW] = handle_renew,
		[MSG_FLEET_LOAD] = handle_load,
		[MSG_FLEET_MEET] = handle_known_controls,
		[MSG_FLEET_SILENT] = handle_silent,
		[MSG_FLEET_PARTS] = handle_parts,
		[MSG_FLEET_LIMITS] = handle_limits,
		[MSG_FLEET_RETRIES] = handle_retries,
		[MSG_FLEET_ENDPOINTS] = handle_endpoints,
		[MSG_RAFT] = handle_raft,
		[MSG_FLEET_FOUNDING] = handle_founding,
	};
	fleet_control_t *control = of_conn(handler);

	if (handlers[msg->type] != NULL && !control->closed)
		handlers[msg->type](control, conn, msg->body);
}

/* The replicated log. */

/* Builds the route table of the revision in force. */
static void rebuild_table(fleet_control_t *control)
{
	gsize len = 0;
	const void *packed = g_bytes_get_data(control->revisions.packed, &len);
	err_t err = ERR_INIT;

	control->table_is_stale = false;
	revisions_install_table(
		revisions_parse_table(control->dialect, packed, len, &err),
		&err, &control->table);
}

static void machine_apply(replica_machine_t *machine, uint64_t index,
			  uint64_t term, const uint8_t *data, size_t len)
{
	fleet_control_t *control = of_machine(machine);
	err_t err = ERR_INIT;
	bool changed;

	if (!revisions_apply(&control->revisions, data, len, &changed, &err))
		log_err(G_LOG_LEVEL_CRITICAL, "log_entry_unreadable", &err);
	control->table_is_stale |= changed;
	fleet_api_on_applied(control, index, term);
}

static void machine_snapshot(replica_machine_t *machine, msgpack_sbuffer *out)
{
	revisions_snapshot(&of_machine(machine)->revisions, out);
}

static bool machine_restore(replica_machine_t *machine, const uint8_t *data,
			    size_t len, err_t *err)
{
	fleet_control_t *control = of_machine(machine);
	bool changed;

	if (!revisions_apply(&control->revisions, data, len, &changed, err))
		return false;
	control->table_is_stale |= changed;
	return true;
}

/*
 * Returns the number of entries: those that are subscribed or, just after a
 * start, those of before if they were more.  Each entry takes an equal share of
 * the transfer time between failure domains, and of the free memory of
 * endpoints.
 */
static uint32_t count_entries(const fleet_control_t *control)
{
	uint32_t count = 0;

	for (guint i = 0; i < control->subscribers->len; i++) {
		const conn_t *conn = g_ptr_array_index(control->subscribers, i);

		count += conn->user != NULL;
	}
	if (now_of(control) - control->started_ms < FLEET_ENTRIES_RECALL_MS)
		return MAX(count, control->recalled_entries);
	return count;
}

/* Updates the list of entries, and sends it to the other control instances. */
static void tick_entries(fleet_control_t *control, clock_ms_t now)
{
	double window_s = control->settings->fleet->retry_window_s;

	for (guint i = 0; i < control->subscribers->len; i++) {
		const conn_t *conn = g_ptr_array_index(control->subscribers, i);

		if (conn->user != NULL)
			entry_list_hear(&control->entries, conn->peer_instance,
					now);
	}
	entry_list_expire(&control->entries,
			  now - (clock_ms_t)(window_s * 1000));
	if (!control->entries_changed &&
	    now - control->entries_sent_ms < FLEET_ENTRIES_INTERVAL_MS)
		return;
	control->entries_changed = false;
	control->entries_sent_ms = now;
	for (guint i = 0; i < control->subscribers->len; i++) {
		conn_t *conn = g_ptr_array_index(control->subscribers, i);

		if (conn->user == NULL)
			send_known_controls(control, conn);
	}
}

static void send_renew_reply(const fleet_control_t *control,
			     const fleet_read_t *read)
{
	const raft_members_t *members = &control->replica.raft.members;
	const revisions_t *revisions = &control->revisions;
	const char *leader = fleet_group_leader_address(control);
	msg_fleet_control_t controls[RAFT_MEMBERS_MAX];
	msg_fleet_renew_reply_t reply = {
		.request_sent_ms = read->request_sent_ms,
		.revision = revisions->revision,
		.controls = controls,
		.control_count = members->count,
		.subscribers = count_entries(control),
		.leader = leader == NULL ? "" : leader,
		.recent_entries = MAX(entry_list_count(&control->entries),
				      count_entries(control)),
	};

	for (uint32_t i = 0; i < members->count; i++) {
		controls[i].address = members->items[i].address;
		controls[i].has_disk = true;
	}
	if (read->held_revision != revisions->revision)
		reply.packed_document.data = g_bytes_get_data(
			revisions->packed, &reply.packed_document.len);
	conn_send(read->conn, MSG_FLEET_RENEW_REPLY, &reply);
}

static void machine_confirmed(replica_machine_t *machine, uint64_t ticket)
{
	fleet_control_t *control = of_machine(machine);
	guint i = 0;

	fleet_group_confirm(control, ticket);
	while (i < control->reads->len) {
		fleet_read_t read =
			g_array_index(control->reads, fleet_read_t, i);

		if (read.ticket > ticket) {
			i++;
			continue;
		}
		g_array_remove_index(control->reads, i);
		if (read.conn != NULL)
			send_renew_reply(control, &read);
		else
			fleet_api_on_confirmed(control, &read);
	}
}

/*
 * Refuses the pending writes if this instance is not the leader.  Pending reads
 * wait for the new leader until their deadline.
 */
static void machine_leader_changed(replica_machine_t *machine)
{
	fleet_control_t *control = of_machine(machine);

	control->in_doubt = false;
	if (!replica_is_leader(&control->replica))
		fleet_api_expire(control, now_of(control), true);
}

/*
 * Receives the answer of an instance without a replica to a search; the replies
 * of replicas arrive over the peers' links, in on_message().
 */
static void machine_message(replica_machine_t *machine, conn_t *conn,
			    const msg_t *msg)
{
	fleet_control_t *control = of_machine(machine);
	const msg_fleet_meet_t *known = msg->body;

	if (msg->type != MSG_FLEET_MEET)
		return;
	replica_record_referral(&control->replica, conn->peer_instance);
	record_controls(control, known->controls, known->control_count);
	fleet_group_update_contacts(control);
}

/* Updates from the other control instances. */

/*
 * Applies heartbeats that another control instance sends to its subscribers.
 * They are not forwarded, because our subscribers are also connected to the
 * members of the group.
 */
static void on_endpoints(subscription_handler_t *handler,
			 const msg_fleet_endpoints_t *update)
{
	fleet_control_t *control = of_subscription(handler);
	clock_ms_t now = now_of(control);

	for (size_t i = 0; i < update->endpoint_count; i++) {
		endpoint_t endpoint;

		fleet_update_read_endpoint(&update->endpoints[i], now,
					   &endpoint);
		registry_update(&control->registry, &endpoint,
				endpoint.last_heard_ms);
	}
	for (size_t i = 0; i < update->alive_count; i++)
		touch_endpoint(control, &update->alive[i], now);
}

/* Records the members of the group, as a renewal names them. */
static void record_members(fleet_control_t *control,
			   const msg_fleet_renew_reply_t *reply)
{
	const char **addresses = g_new(const char *, reply->control_count + 1);

	for (size_t i = 0; i < reply->control_count; i++)
		addresses[i] = reply->controls[i].address;
	control_list_set_members(&control->known_controls, addresses,
				 reply->control_count, now_of(control));
	g_free(addresses);
}

/* Only called without a data folder: no other control instance renews. */
static bool on_renew_reply(subscription_handler_t *handler,
			   const msg_fleet_renew_reply_t *reply)
{
	fleet_control_t *control = of_subscription(handler);

	record_members(control, reply);
	g_free(control->leader);
	control->leader = g_strdup(reply->leader);
	control->revisions.revision = reply->revision;
	return true;
}

static uint64_t on_held(subscription_handler_t *handler)
{
	return of_subscription(handler)->revisions.revision;
}

static void on_parts(subscription_handler_t *handler,
		     const msg_fleet_parts_t *parts)
{
	fleet_parts_follow(of_subscription(handler), parts);
}

static void on_founding(subscription_handler_t *handler, conn_t *conn,
			const msg_fleet_founding_t *reply)
{
	fleet_founding_on_reply(of_subscription(handler), conn, reply);
}

/* The HTTP interface. */

static void on_request(http_server_handler_t *handler, http_conn_t *conn)
{
	fleet_api_handle(CONTAINER_OF(handler, fleet_control_t, http_handler),
			 conn);
}

static void on_gone(http_server_handler_t *handler, http_conn_t *conn)
{
	fleet_api_conn_closed(
		CONTAINER_OF(handler, fleet_control_t, http_handler), conn);
}

static void send_updates(fleet_control_t *control)
{
	msg_fleet_endpoints_t message;
	fleet_update_t update;

	if (g_hash_table_size(control->updated_ids) == 0)
		return;
	fleet_update_init(&update, &control->registry, control->updated_ids,
			  &control->sent, now_of(control));
	message = fleet_update_message(&update);
	if (fleet_group_forwards(control))
		subscription_send_all(&control->subscription,
				      MSG_FLEET_ENDPOINTS, &message);
	for (guint i = 0; i < control->subscribers->len; i++)
		conn_send(g_ptr_array_index(control->subscribers, i),
			  MSG_FLEET_ENDPOINTS, &message);
	fleet_update_finish(&update);
	g_hash_table_remove_all(control->updated_ids);
}

/*
 * Passes on what endpoints reported since the last tick.  What is acknowledged
 * after this is not lost with this process: the bytes are with the kernel, as
 * far as the connections take them.
 */
void fleet_control_pass_on(fleet_control_t *control)
{
	send_updates(control);
	net_flush(control->net);
}

/*
 * Sends the update at once instead of at the next tick, because hundreds of
 * streams may be waiting for it.
 */
static void on_unreachable(prober_handler_t *handler, const char *id,
			   uint64_t incarnation)
{
	fleet_control_t *control =
		CONTAINER_OF(handler, fleet_control_t, prober_handler);

	if (!registry_mark_unreachable(&control->registry, id, incarnation))
		return;
	LOG_WARN("endpoint_unreachable",
		 "endpoint=%s incarnation=%" G_GUINT64_FORMAT
		 " registry=%" G_GUINT64_FORMAT,
		 id, incarnation, control->registry.version);
	g_hash_table_add(control->updated_ids, g_strdup(id));
	send_updates(control);
	fleet_parts_confirm(control, now_of(control));
	fleet_plan_send(control, now_of(control));
}

static void subscribe_to_members(fleet_control_t *control)
{
	const raft_members_t *members = &control->replica.raft.members;
	const GPtrArray *seeds = control->subscription.seeds;
	const char *addresses[RAFT_MEMBERS_MAX + SETTINGS_SEEDS_MAX];
	size_t count = 0;

	if (!control->has_replica)
		return;
	for (uint32_t i = 0; i < members->count; i++)
		addresses[count++] = members->items[i].address;
	control_list_set_members(&control->known_controls, addresses, count,
				 now_of(control));
	/*
	 * Stays connected to the seeds: other instances may know only these
	 * and learn about this instance from them.
	 */
	for (guint i = 0; i < MIN(seeds->len, SETTINGS_SEEDS_MAX); i++)
		addresses[count++] = g_ptr_array_index(seeds, i);
	subscription_set_controls(&control->subscription, addresses, count);
}

static void on_tick(uv_timer_t *timer)
{
	fleet_control_t *control = timer->data;
	clock_ms_t now = now_of(control);

	fleet_group_try_start(control, now);
	fleet_founding_tick(control, now);
	fleet_group_check_pause(control, now);
	if (control->table_is_stale)
		rebuild_table(control);
	send_updates(control);
	tick_entries(control, now);
	if (control->has_replica) {
		control->registry_file.entries = count_entries(control);
		registry_file_write_if_changed(&control->registry_file,
					       &control->registry, now);
	}
	fleet_api_expire(control, now, false);
	subscribe_to_members(control);
	fleet_group_tick_controls(control, now);
	fleet_group_update_contacts(control);
	registry_remove_expired(&control->registry, now);
	fleet_retries_tick(control, now);
	/* What a leader knows is kept until it is clear whether it still leads. */
	if (control->in_doubt)
		return;
	fleet_parts_tick(control, now);
	fleet_limits_tick(control, now);
	if (fleet_group_leads(control) && control->table != NULL &&
	    !control->draining) {
		/*
		 * Probes only after a report of slow streams, and then until no
		 * engine is slow.
		 */
		if (now - control->slow_reported_ms < FLEET_PROBE_DURATION_MS ||
		    control->slow_engines_sent > 0)
			prober_tick(&control->prober, control->table);
		fleet_load_send_slow_engines(control, now);
		fleet_load_send(control, now);
		placer_tick(&control->placer, control->table,
			    control->replica.raft.term);
	} else {
		prober_reset(&control->prober);
		placer_reset(&control->placer);
	}
}

static void set_handlers(fleet_control_t *control)
{
	control->http_handler.request = on_request;
	control->http_handler.gone = on_gone;
	control->conn_handler.opened = on_opened;
	control->conn_handler.closed = on_closed;
	control->conn_handler.message = on_message;
	control->prober_handler.unreachable = on_unreachable;
	control->machine.apply = machine_apply;
	control->machine.snapshot = machine_snapshot;
	control->machine.restore = machine_restore;
	control->machine.confirmed = machine_confirmed;
	control->machine.leader_changed = machine_leader_changed;
	control->machine.message = machine_message;
	control->subscription_handler.endpoints = on_endpoints;
	control->subscription_handler.renew_reply = on_renew_reply;
	control->subscription_handler.parts = on_parts;
	control->subscription_handler.held = on_held;
	control->subscription_handler.founding = on_founding;
	control->subscription_handler.opened = on_control_opened;
	control->subscription_handler.control_list = on_control_list;
}

static bool start_listeners(fleet_control_t *control, err_t *err)
{
	static const http_limits_t limits = {
		.header_bytes = CONTROL_HEADER_BYTES,
		.body_bytes = CONTROL_BODY_BYTES,
		.header_ms = CONTROL_HEADER_MS,
		.idle_ms = CONTROL_IDLE_MS,
	};
	const settings_fleet_t *fleet = control->settings->fleet;

	return listener_init(&control->listener, control->net,
			     fleet->peer_listen, &control->conn_handler, err) &&
	       http_server_init(&control->http, control->net->loop,
				fleet->control_listen, control->net->clock,
				&limits, &control->http_handler, err);
}

/*
 * Replaces the seeds.  Connects to them at once; a replica that searches for its
 * group asks them, and a member stays connected to them.
 */
void fleet_control_set_seeds(fleet_control_t *control,
			     const settings_fleet_t *fleet)
{
	subscription_clear_seeds(&control->subscription);
	for (unsigned i = 0; i < fleet->seeds_count; i++) {
		char *address =
			settings_fleet_peer_address(fleet, fleet->seeds[i]);

		subscription_add_seed(&control->subscription, address);
		g_free(address);
	}
}

/*
 * Starts listening and joins the control group.  Without a data folder, the
 * instance has no replica: it accepts and forwards heartbeats, and redirects
 * operators to the leader.  Returns false with "err" set if an address cannot
 * be used.
 */
bool fleet_control_init(fleet_control_t *control, net_t *net,
			const settings_t *settings,
			const fleet_dialect_t *dialect, err_t *err)
{
	memset(control, 0, sizeof(*control));
	set_handlers(control);
	control->net = net;
	control->slow_reported_ms = -FLEET_PROBE_DURATION_MS;
	control->settings = settings;
	control->dialect = dialect;
	control->started_ms = clock_now(net->clock);
	control->last_tick_ms = control->started_ms;
	control_list_init(&control->known_controls);
	control_list_add(&control->known_controls, settings->fleet->peer_listen,
			 settings->fleet->data_dir != NULL,
			 control->started_ms);
	revisions_init(&control->revisions);
	registry_init(&control->registry);
	fleet_sent_init(&control->sent);
	control->updated_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	control->subscribers = g_ptr_array_new();
	entry_list_init(&control->entries);
	control->reads = g_array_new(FALSE, FALSE, sizeof(fleet_read_t));
	control->writes = g_array_new(FALSE, FALSE, sizeof(fleet_write_t));
	load_sum_init(&control->load);
	demand_sum_init(&control->demand);

	part_guard_init(&control->parts);
	part_inquiry_init(&control->part_inquiry);
	fleet_limits_init(&control->limits);
	fleet_retries_init(control);
	prober_init(&control->prober, net->loop, dialect, &control->registry,
		    net->clock, &control->prober_handler);
	placer_init(&control->placer, net->loop, dialect, &control->registry,
		    &control->prober, net->clock);
	if (!start_listeners(control, err))
		return false;
	subscription_init(&control->subscription, net, net->clock,
			  settings->fleet->data_dir == NULL,
			  settings->fleet->peer_listen,
			  &control->subscription_handler);
	fleet_control_set_seeds(control, settings->fleet);
	fleet_founding_init(control);
	fleet_group_try_start(control, control->started_ms);
	fleet_founding_restore(control);
	uv_timer_init(net->loop, &control->tick);
	control->tick.data = control;
	uv_timer_start(&control->tick, on_tick, CONTROL_TICK_MS,
		       CONTROL_TICK_MS);
	return true;
}

/*
 * Prepares a stop: passes on what endpoints reported, begins to leave the control
 * group, stops probing and placing layers, and closes each HTTP connection after its
 * current or next response.  New connections are still accepted.
 */
void fleet_control_drain(fleet_control_t *control)
{
	control->draining = true;
	fleet_control_pass_on(control);
	if (control->has_replica)
		replica_begin_leaving(&control->replica);
	http_server_drain(&control->http);
}

/*
 * Returns whether no call or renewal is waiting for a quorum, and the control
 * group need not remove this instance first.
 */
bool fleet_control_is_idle(const fleet_control_t *control)
{
	return control->reads->len == 0 && control->writes->len == 0 &&
	       (!control->has_replica || replica_may_stop(&control->replica));
}

/*
 * Passes on the last reports of endpoints, and closes the listeners, the HTTP
 * connections, the subscriptions and the replica; log entries that were handed
 * to the log writer are synced first.  Connections that other processes opened
 * stay open until net_close().
 */
void fleet_control_close(fleet_control_t *control)
{
	fleet_control_pass_on(control);
	control->closed = true;
	uv_close((uv_handle_t *)&control->tick, NULL);
	http_server_close(&control->http);
	listener_close(&control->listener);
	subscription_close(&control->subscription);
	placer_reset(&control->placer);
	prober_reset(&control->prober);
	if (control->has_replica)
		replica_close(&control->replica);
}

/* Frees a closed control role, after the event loop has ended. */
void fleet_control_finish(fleet_control_t *control)
{
	subscription_finish(&control->subscription);
	founding_finish(&control->founding);
	placer_finish(&control->placer);
	prober_finish(&control->prober);
	load_sum_finish(&control->load);
	demand_sum_finish(&control->demand);
	fleet_limits_finish(&control->limits);
	fleet_retries_finish(control);
	if (control->has_replica) {
		replica_finish(&control->replica);
		registry_file_finish(&control->registry_file);
	}
	control_list_finish(&control->known_controls);
	g_free(control->leader);
	registry_finish(&control->registry);
	revisions_finish(&control->revisions);
	route_table_unref(control->table);
	fleet_sent_finish(&control->sent);
	part_inquiry_finish(&control->part_inquiry);
	g_hash_table_destroy(control->updated_ids);
	g_ptr_array_unref(control->subscribers);
	entry_list_finish(&control->entries);
	g_array_unref(control->reads);
	g_array_unref(control->writes);
	for (unsigned i = 0; i < control->group.voters_count; i++) {
		g_free(control->group.voters[i].address);
		g_free(control->group.voters[i].instance);
	}
	g_free(control->group.voters);
}
