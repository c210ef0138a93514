/*
 * The control role of a fleet: the replicated revision, the registry of
 * endpoints, leases for entries, and the placement of layers.
 */
#include "wisteria/fleet/fleet_control.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/control/replica.h"
#include "wisteria/fleet/fleet_api.h"
#include "wisteria/fleet/fleet_group.h"
#include "wisteria/fleet/fleet_news.h"
#include "wisteria/fleet/placer.h"
#include "wisteria/fleet/prober.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/routes.h"
#include "wisteria/fleet/subscription.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/listener.h"
#include "wisteria/settings/settings.h"

#define CONTROL_TICK_MS FLEET_NEWS_MS
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
	for (guint i = control->reads->len; i-- > 0;)
		if (g_array_index(control->reads, fleet_read_t, i).conn == conn)
			g_array_remove_index(control->reads, i);
}

/* Tells which control instances are known. */
static void send_met(const fleet_control_t *control, conn_t *conn)
{
	msg_fleet_control_t *list =
		g_new(msg_fleet_control_t, g_hash_table_size(control->met) + 1);
	msg_fleet_meet_t meet = { .controls = list };
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, control->met);
	while (g_hash_table_iter_next(&iter, &key, &value))
		list[meet.control_count++] = (msg_fleet_control_t){
			.address = key,
			.has_disk = value != NULL,
		};
	conn_send(conn, MSG_FLEET_MEET, &meet);
	g_free(list);
}

static void send_all_endpoints(const fleet_control_t *control, conn_t *conn)
{
	msg_fleet_endpoints_t message;
	fleet_news_t news;

	fleet_news_init(&news, &control->registry, NULL, NULL, now_of(control));
	message = fleet_news_message(&news);
	conn_send(conn, MSG_FLEET_ENDPOINTS, &message);
	fleet_news_finish(&news);
}

static void take_subscriber(fleet_control_t *control, conn_t *conn,
			    const void *body)
{
	const msg_fleet_subscribe_t *subscribe = body;

	conn->user = subscribe->is_entry ? control : NULL;
	g_ptr_array_add(control->subscribers, conn);
	send_met(control, conn);
	send_all_endpoints(control, conn);
}

static void take_renewal(fleet_control_t *control, conn_t *conn,
			 const void *body)
{
	const msg_fleet_renew_t *renew = body;
	fleet_read_t read = {
		.ticket = control->replicates ? replica_read(&control->replica)
					      : 0,
		.deadline_ms = now_of(control) + FLEET_QUORUM_MS,
		.conn = conn,
		.asked_ms = renew->asked_ms,
		.held = renew->revision,
	};

	if (read.ticket != 0)
		g_array_append_val(control->reads, read);
}

static void note_slow(fleet_control_t *control, const msg_fleet_load_t *load)
{
	if (load->slow)
		control->slow_ms = now_of(control);
}

static void take_load(fleet_control_t *control, conn_t *conn, const void *body)
{
	(void)conn;
	note_slow(control, body);
	load_sum_set_report(&control->load, body, now_of(control));
}

/*
 * Streams through these endpoints are silent: one may have ended.  It is found
 * out here, once for all entries.
 */
static void take_silent(fleet_control_t *control, conn_t *conn,
			const void *body)
{
	const msg_fleet_silent_t *silent = body;

	(void)conn;
	if (!control->replicates || !replica_is_settled(&control->replica))
		return;
	for (size_t i = 0; i < silent->endpoint_count; i++) {
		const endpoint_t *endpoint = registry_find(
			&control->registry, silent->endpoints[i].text);

		if (endpoint != NULL &&
		    registry_is_usable(&control->registry, endpoint))
			prober_check(&control->prober, endpoint);
	}
}

static void take_raft(fleet_control_t *control, conn_t *conn, const void *body)
{
	if (control->replicates)
		replica_on_message(&control->replica, conn, body);
}

static void take_meeting(fleet_control_t *control, conn_t *conn,
			 const void *body)
{
	const msg_fleet_meet_t *meeting = body;
	bool is_new = false;

	(void)conn;
	for (size_t i = 0; i < meeting->control_count; i++) {
		subscription_hear_of(&control->subscription,
				     &meeting->controls[i]);
		is_new |=
			fleet_group_meet(control, meeting->controls[i].address,
					 meeting->controls[i].has_disk);
	}
	for (guint i = 0; is_new && i < control->subscribers->len; i++)
		send_met(control, g_ptr_array_index(control->subscribers, i));
}

/* An instance without a replica has to tell all that it heard. */
static void on_control_opened(subscription_handler_t *handler, conn_t *conn)
{
	fleet_control_t *control = of_subscription(handler);

	send_met(control, conn);
	if (control->settings->fleet->data_dir == NULL)
		send_all_endpoints(control, conn);
}

static void on_meeting(subscription_handler_t *handler,
		       const msg_fleet_meet_t *meeting)
{
	fleet_control_t *control = of_subscription(handler);

	for (size_t i = 0; i < meeting->control_count; i++)
		fleet_group_meet(control, meeting->controls[i].address,
				 meeting->controls[i].has_disk);
}

/* Whether nothing newer is known than what "news" says. */
static bool is_newest(const fleet_control_t *control, const endpoint_t *news)
{
	const endpoint_t *known = registry_find(&control->registry, news->id);

	return known != NULL && known->incarnation == news->incarnation &&
	       known->sequence == news->sequence;
}

static bool touch(fleet_control_t *control, const msg_fleet_alive_t *alive,
		  clock_ms_t now)
{
	return registry_touch(&control->registry, alive->id, alive->incarnation,
			      alive->sequence, now - alive->age_ms);
}

/*
 * What an instance without a replica has heard from endpoints.  It is passed
 * on also where it has come another way already: the subscribers here may
 * have no other.
 */
static void take_endpoints(fleet_control_t *control, conn_t *conn,
			   const void *body)
{
	const msg_fleet_endpoints_t *news = body;
	clock_ms_t now = now_of(control);

	(void)conn;
	for (size_t i = 0; i < news->endpoint_count; i++) {
		endpoint_t endpoint;

		fleet_news_read(&news->endpoints[i], now, &endpoint);
		registry_update(&control->registry, &endpoint,
				endpoint.heard_ms);
		if (is_newest(control, &endpoint))
			g_hash_table_add(control->fresh, g_strdup(endpoint.id));
	}
	for (size_t i = 0; i < news->alive_count; i++)
		if (touch(control, &news->alive[i], now))
			g_hash_table_add(control->fresh,
					 g_strdup(news->alive[i].id));
}

typedef void (*message_handler_t)(fleet_control_t *control, conn_t *conn,
				  const void *body);

static void on_message(conn_handler_t *handler, conn_t *conn, const msg_t *msg)
{
	static const message_handler_t handlers[MSG_TYPE_COUNT] = {
		[MSG_FLEET_SUBSCRIBE] = take_subscriber,
		[MSG_FLEET_RENEW] = take_renewal,
		[MSG_FLEET_LOAD] = take_load,
		[MSG_FLEET_MEET] = take_meeting,
		[MSG_FLEET_SILENT] = take_silent,
		[MSG_FLEET_ENDPOINTS] = take_endpoints,
		[MSG_RAFT] = take_raft,
	};
	fleet_control_t *control = of_conn(handler);

	if (handlers[msg->type] != NULL && !control->closed)
		handlers[msg->type](control, conn, msg->body);
}

/* The replicated log. */

static void follow_revision(fleet_control_t *control)
{
	gsize len = 0;
	const void *packed = g_bytes_get_data(control->revisions.packed, &len);
	err_t err = ERR_INIT;

	control->table_is_old = false;
	revisions_use(revisions_read(control->dialect, packed, len, &err), &err,
		      &control->table);
}

static void machine_apply(replica_machine_t *machine, uint64_t index,
			  uint64_t term, const uint8_t *data, size_t len)
{
	fleet_control_t *control = of_machine(machine);
	err_t err = ERR_INIT;
	bool changed;

	if (!revisions_apply(&control->revisions, data, len, &changed, &err))
		log_err(G_LOG_LEVEL_CRITICAL, "entry_unreadable", &err);
	control->table_is_old |= changed;
	fleet_api_applied(control, index, term);
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
	control->table_is_old |= changed;
	return true;
}

static uint32_t count_entries(const fleet_control_t *control)
{
	uint32_t count = 0;

	for (guint i = 0; i < control->subscribers->len; i++) {
		const conn_t *conn = g_ptr_array_index(control->subscribers, i);

		count += conn->user != NULL;
	}
	return count;
}

static void send_renewal(const fleet_control_t *control,
			 const fleet_read_t *read)
{
	const raft_members_t *members = &control->replica.raft.members;
	const revisions_t *revisions = &control->revisions;
	const char *leader = fleet_group_leader(control);
	msg_fleet_control_t controls[RAFT_MEMBERS_MAX];
	msg_fleet_renew_reply_t reply = {
		.asked_ms = read->asked_ms,
		.revision = revisions->number,
		.controls = controls,
		.control_count = members->count,
		.subscribers = count_entries(control),
		.leader = leader == NULL ? "" : leader,
	};

	for (uint32_t i = 0; i < members->count; i++) {
		controls[i].address = members->items[i].address;
		controls[i].has_disk = true;
	}
	if (read->held != revisions->number)
		reply.packed_document.data = g_bytes_get_data(
			revisions->packed, &reply.packed_document.len);
	conn_send(read->conn, MSG_FLEET_RENEW_REPLY, &reply);
}

static void machine_confirmed(replica_machine_t *machine, uint64_t ticket)
{
	fleet_control_t *control = of_machine(machine);
	guint i = 0;

	while (i < control->reads->len) {
		fleet_read_t read =
			g_array_index(control->reads, fleet_read_t, i);

		if (read.ticket > ticket) {
			i++;
			continue;
		}
		g_array_remove_index(control->reads, i);
		if (read.conn != NULL)
			send_renewal(control, &read);
		else
			fleet_api_confirmed(control, &read);
	}
}

static void machine_leader_changed(replica_machine_t *machine)
{
	fleet_control_t *control = of_machine(machine);

	if (!replica_leads(&control->replica))
		fleet_api_expire(control, now_of(control), true);
}

/* Answers to what is sent over the replica's own links: there are none. */
static void machine_message(replica_machine_t *machine, conn_t *conn,
			    const msg_t *msg)
{
	(void)machine;
	(void)conn;
	(void)msg;
}

/* What the other control instances pass on. */

static void on_endpoints(subscription_handler_t *handler,
			 const msg_fleet_endpoints_t *news)
{
	fleet_control_t *control = of_subscription(handler);
	clock_ms_t now = now_of(control);

	for (size_t i = 0; i < news->endpoint_count; i++) {
		endpoint_t endpoint;

		fleet_news_read(&news->endpoints[i], now, &endpoint);
		registry_update(&control->registry, &endpoint,
				endpoint.heard_ms);
	}
	for (size_t i = 0; i < news->alive_count; i++)
		touch(control, &news->alive[i], now);
}

/* Only an instance without a replica asks. */
static bool on_renewed(subscription_handler_t *handler,
		       const msg_fleet_renew_reply_t *reply)
{
	fleet_control_t *control = of_subscription(handler);

	g_free(control->leader);
	control->leader = g_strdup(reply->leader);
	control->revisions.number = reply->revision;
	return true;
}

static uint64_t on_held(subscription_handler_t *handler)
{
	return of_subscription(handler)->revisions.number;
}

/* The HTTP interface. */

static void on_request(http_server_handler_t *handler, http_conn_t *conn)
{
	fleet_api_take(CONTAINER_OF(handler, fleet_control_t, http_handler),
		       conn);
}

static void on_gone(http_server_handler_t *handler, http_conn_t *conn)
{
	fleet_api_gone(CONTAINER_OF(handler, fleet_control_t, http_handler),
		       conn);
}

static void send_news(fleet_control_t *control)
{
	msg_fleet_endpoints_t message;
	fleet_news_t news;

	if (g_hash_table_size(control->fresh) == 0)
		return;
	fleet_news_init(&news, &control->registry, control->fresh,
			&control->told, now_of(control));
	message = fleet_news_message(&news);
	if (control->settings->fleet->data_dir == NULL)
		subscription_send_all(&control->subscription,
				      MSG_FLEET_ENDPOINTS, &message);
	for (guint i = 0; i < control->subscribers->len; i++)
		conn_send(g_ptr_array_index(control->subscribers, i),
			  MSG_FLEET_ENDPOINTS, &message);
	fleet_news_finish(&news);
	g_hash_table_remove_all(control->fresh);
}

/* Told at once: hundreds of streams may wait for it. */
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
	g_hash_table_add(control->fresh, g_strdup(id));
	send_news(control);
}

/* Tells the entries what all of them use. */
static void send_load(fleet_control_t *control, clock_ms_t now)
{
	msg_fleet_load_t load = { .entry = "" };
	msg_fleet_use_t *uses;
	GHashTableIter iter;
	GHashTable *total;
	gpointer id;
	gpointer tokens;

	if (now - control->load_told_ms < FLEET_LOAD_MS)
		return;
	control->load_told_ms = now;
	total = load_sum_total(&control->load, now);
	uses = g_new(msg_fleet_use_t, g_hash_table_size(total) + 1);
	load.uses = uses;
	g_hash_table_iter_init(&iter, total);
	while (g_hash_table_iter_next(&iter, &id, &tokens))
		uses[load.use_count++] = (msg_fleet_use_t){
			.id = id,
			.tokens = *(double *)tokens,
		};
	for (guint i = 0; i < control->subscribers->len; i++) {
		conn_t *conn = g_ptr_array_index(control->subscribers, i);

		if (conn->user != NULL)
			conn_send(conn, MSG_FLEET_LOAD, &load);
	}
	g_free(uses);
	g_hash_table_destroy(total);
}

/* Names the slow engines to the entries, also when there are none any more. */
static void send_paces(fleet_control_t *control, clock_ms_t now)
{
	msg_fleet_paces_t paces = { 0 };
	msg_fleet_pace_t *list;

	if (now - control->paces_told_ms < FLEET_PACES_MS)
		return;
	list = prober_list_slow(&control->prober, &paces.pace_count);
	paces.paces = list;
	for (guint i = 0; (paces.pace_count > 0 || control->paces_told > 0) &&
			  i < control->subscribers->len;
	     i++)
		conn_send(g_ptr_array_index(control->subscribers, i),
			  MSG_FLEET_PACES, &paces);
	control->paces_told = paces.pace_count;
	control->paces_told_ms = now;
	g_free(list);
}

static void follow_members(fleet_control_t *control)
{
	const raft_members_t *members = &control->replica.raft.members;
	const GPtrArray *seeds = control->subscription.seeds;
	const char *addresses[RAFT_MEMBERS_MAX + SETTINGS_SEEDS_MAX];
	size_t count = 0;

	if (!control->replicates)
		return;
	for (uint32_t i = 0; i < members->count; i++) {
		addresses[count++] = members->items[i].address;
		fleet_group_meet(control, members->items[i].address, true);
	}
	/* The seeds may be all that others know: they hear of us there. */
	for (guint i = 0; i < MIN(seeds->len, SETTINGS_SEEDS_MAX); i++)
		addresses[count++] = g_ptr_array_index(seeds, i);
	subscription_follow(&control->subscription, addresses, count);
}

static void on_tick(uv_timer_t *timer)
{
	fleet_control_t *control = timer->data;
	clock_ms_t now = now_of(control);

	fleet_group_begin(control, now);
	if (control->table_is_old)
		follow_revision(control);
	send_news(control);
	if (control->replicates)
		registry_file_write_if_changed(&control->registry_file,
					       &control->registry, now);
	fleet_api_expire(control, now, false);
	follow_members(control);
	registry_remove_expired(&control->registry, now);
	if (control->replicates && replica_is_settled(&control->replica) &&
	    control->table != NULL && !control->draining) {
		if (now - control->slow_ms < FLEET_SLOW_MS ||
		    control->paces_told > 0)
			prober_tick(&control->prober, control->table);
		send_paces(control, now);
		send_load(control, now);
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
	control->subscription_handler.renewed = on_renewed;
	control->subscription_handler.held = on_held;
	control->subscription_handler.opened = on_control_opened;
	control->subscription_handler.meeting = on_meeting;
}

static bool listen_on_all(fleet_control_t *control, err_t *err)
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

static void subscribe_to_seeds(fleet_control_t *control)
{
	const settings_fleet_t *fleet = control->settings->fleet;

	for (unsigned i = 0; i < fleet->seeds_count; i++) {
		char *address =
			settings_fleet_peer_address(fleet, fleet->seeds[i]);

		subscription_add_seed(&control->subscription, address);
		g_free(address);
	}
}

/*
 * Listens and takes part in the group; without a data folder only hears
 * endpoints and sends operators on.  Returns false with "err" set where an
 * address cannot be used.
 */
bool fleet_control_init(fleet_control_t *control, net_t *net,
			const settings_t *settings,
			const fleet_dialect_t *dialect, err_t *err)
{
	memset(control, 0, sizeof(*control));
	set_handlers(control);
	control->net = net;
	control->slow_ms = -FLEET_SLOW_MS;
	control->settings = settings;
	control->dialect = dialect;
	control->started_ms = clock_now(net->clock);
	control->met =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet_group_meet(control, settings->fleet->peer_listen,
			 settings->fleet->data_dir != NULL);
	revisions_init(&control->revisions);
	registry_init(&control->registry);
	fleet_told_init(&control->told);
	control->fresh =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	control->subscribers = g_ptr_array_new();
	control->reads = g_array_new(FALSE, FALSE, sizeof(fleet_read_t));
	control->writes = g_array_new(FALSE, FALSE, sizeof(fleet_write_t));
	load_sum_init(&control->load);
	prober_init(&control->prober, net->loop, dialect, &control->registry,
		    net->clock, &control->prober_handler);
	placer_init(&control->placer, net->loop, dialect, &control->registry,
		    &control->prober, net->clock);
	if (!listen_on_all(control, err))
		return false;
	subscription_init(&control->subscription, net, net->clock,
			  settings->fleet->data_dir == NULL,
			  settings->fleet->peer_listen,
			  &control->subscription_handler);
	subscribe_to_seeds(control);
	fleet_group_begin(control, control->started_ms);
	uv_timer_init(net->loop, &control->tick);
	control->tick.data = control;
	uv_timer_start(&control->tick, on_tick, CONTROL_TICK_MS,
		       CONTROL_TICK_MS);
	return true;
}

/* Hands the office over and takes no new connections, before a stop. */
void fleet_control_leave(fleet_control_t *control)
{
	control->draining = true;
	if (control->replicates)
		replica_leave(&control->replica);
	http_server_drain(&control->http);
}

/* Whether no call waits for its answer. */
bool fleet_control_is_idle(const fleet_control_t *control)
{
	return control->reads->len == 0 && control->writes->len == 0;
}

/* Stops taking part; what was handed to the disk is synced. */
void fleet_control_close(fleet_control_t *control)
{
	control->closed = true;
	uv_close((uv_handle_t *)&control->tick, NULL);
	http_server_close(&control->http);
	listener_close(&control->listener);
	subscription_close(&control->subscription);
	placer_reset(&control->placer);
	prober_reset(&control->prober);
	if (control->replicates)
		replica_close(&control->replica);
}

/* Frees a control role that is closed; the loop has run to its end. */
void fleet_control_finish(fleet_control_t *control)
{
	subscription_finish(&control->subscription);
	placer_finish(&control->placer);
	prober_finish(&control->prober);
	load_sum_finish(&control->load);
	if (control->replicates) {
		replica_finish(&control->replica);
		registry_file_finish(&control->registry_file);
	}
	g_hash_table_destroy(control->met);
	g_free(control->leader);
	registry_finish(&control->registry);
	revisions_finish(&control->revisions);
	route_table_unref(control->table);
	fleet_told_finish(&control->told);
	g_hash_table_destroy(control->fresh);
	g_ptr_array_unref(control->subscribers);
	g_array_unref(control->reads);
	g_array_unref(control->writes);
	for (unsigned i = 0; i < control->group.voters_count; i++) {
		g_free(control->group.voters[i].address);
		g_free(control->group.voters[i].instance);
	}
	g_free(control->group.voters);
}
