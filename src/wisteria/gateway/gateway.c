/*
 * The fleet role that serves callers: accepts requests, tracks the state of the
 * fleet, and reports readiness to the load balancer.
 */
#include "wisteria/gateway/gateway.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/fleet/fleet_update.h"
#include "wisteria/fleet/part_guard.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/revisions.h"
#include "wisteria/fleet/routes.h"
#include "wisteria/fleet/subscription.h"
#include "wisteria/gateway/endpoint_limits.h"
#include "wisteria/gateway/exchange.h"
#include "wisteria/gateway/prompt_parts.h"
#include "wisteria/gateway/retries.h"
#include "wisteria/settings/settings.h"

/* Limits until the first configuration is in force. */
static const http_limits_t first_limits = {
	.header_bytes = 16u << 10,
	.body_bytes = 4u << 20,
	.header_ms = 3000,
	.idle_ms = 15000,
};

/* Limits of the load balancer's readiness checks. */
static const http_limits_t ready_limits = {
	.header_bytes = 8u << 10,
	.body_bytes = 1u << 10,
	.header_ms = 3000,
	.idle_ms = 60000,
};

/* By then the balancer, which checks every second, sends nothing more. */
#define DRAIN_IDLE_MS 2600

static gateway_t *gateway_of_subscription(subscription_handler_t *handler)
{
	return CONTAINER_OF(handler, gateway_t, subscription_handler);
}

static void check_stalls(gateway_t *gateway, clock_ms_t now)
{
	exchange_t *exchange;

	/* After a pause of this process, the next tick leaves it out first. */
	if (now - gateway->last_tick_ms >= GATEWAY_LATE_TICK_MS)
		return;
	LIST_FOREACH(exchange, &gateway->exchanges, entry)
	exchange_check_stall(exchange, now);
}

static void on_endpoints(subscription_handler_t *handler,
			 const msg_fleet_endpoints_t *update)
{
	gateway_t *gateway = gateway_of_subscription(handler);
	clock_ms_t now = clock_now(gateway->clock);
	bool lost = false;

	if (gateway->first_endpoint_ms == 0 && update->endpoint_count > 0)
		gateway->first_endpoint_ms = now;
	for (size_t i = 0; i < update->endpoint_count; i++) {
		endpoint_t endpoint;

		fleet_update_read_endpoint(&update->endpoints[i], now,
					   &endpoint);
		if (registry_update(&gateway->registry, &endpoint,
				    endpoint.last_heard_ms) != REGISTRY_CHANGED)
			continue;
		lost |= endpoint.unreachable;
		LOG_INFO("endpoint_changed",
			 "endpoint=%s address=%s layers=%u-%u draining=%d "
			 "gone=%d age_ms=%" G_GINT64_FORMAT
			 " registry=%" G_GUINT64_FORMAT,
			 endpoint.id, endpoint.address, endpoint.first_layer,
			 endpoint.end_layer, endpoint.draining, endpoint.gone,
			 now - endpoint.last_heard_ms,
			 gateway->registry.version);
	}
	for (size_t i = 0; i < update->alive_count; i++)
		registry_record_heartbeat(
			&gateway->registry, update->alive[i].id,
			update->alive[i].incarnation, update->alive[i].sequence,
			now - update->alive[i].age_ms);
	if (lost)
		check_stalls(gateway, now);
}

/* Returns the number of the revision in force; 0: none. */
uint64_t gateway_revision(const gateway_t *gateway)
{
	return gateway->table == NULL ? 0 : gateway->table->revision;
}

static void apply_limits(gateway_t *gateway)
{
	const route_limits_t *limits = &gateway->table->limits;

	gateway->http.limits = (http_limits_t){
		.header_bytes = limits->header_bytes,
		.body_bytes = limits->body_bytes,
		.header_ms = limits->header_ms,
		.idle_ms = limits->idle_ms,
		.held_bytes = gateway->http.limits.held_bytes,
		.connections = gateway->http.limits.connections,
	};
}

static void read_revision(uv_work_t *work)
{
	gateway_t *gateway = work->data;
	gsize len = 0;
	const void *packed = g_bytes_get_data(gateway->reading.packed, &len);

	gateway->read_table = revisions_parse_table(gateway->dialect, packed,
						    len, &gateway->read_err);
}

static void drop_revision(pending_revision_t *revision)
{
	if (revision->packed != NULL)
		g_bytes_unref(revision->packed);
	*revision = (pending_revision_t){ 0 };
}

static void on_revision_read(uv_work_t *work, int status);

static void start_reading_revision(gateway_t *gateway,
				   pending_revision_t revision)
{
	gateway->reading = revision;
	gateway->read_table = NULL;
	gateway->read_err = (err_t)ERR_INIT;
	gateway->read_work.data = gateway;
	uv_queue_work(gateway->net->loop, &gateway->read_work, read_revision,
		      on_revision_read);
}

/* Puts the parsed revision into force and confirms it. */
static void on_revision_read(uv_work_t *work, int status)
{
	gateway_t *gateway = work->data;
	pending_revision_t next = gateway->next_revision;
	bool succeeded = gateway->read_table != NULL;

	(void)status; /* never cancelled */
	revisions_install_table(gateway->read_table, &gateway->read_err,
				&gateway->table);
	if (succeeded && !gateway->closed) {
		apply_limits(gateway);
		subscription_extend_lease(&gateway->subscription,
					  gateway->reading.request_sent_ms);
	}
	drop_revision(&gateway->reading);
	gateway->next_revision = (pending_revision_t){ 0 };
	if (next.packed != NULL && !gateway->closed)
		start_reading_revision(gateway, next);
	else
		drop_revision(&next);
}

static bool on_renew_reply(subscription_handler_t *handler,
			   const msg_fleet_renew_reply_t *reply)
{
	gateway_t *gateway = gateway_of_subscription(handler);
	pending_revision_t newer = {
		.revision = reply->revision,
		.request_sent_ms = reply->request_sent_ms,
	};

	gateway->entry_count = reply->subscribers;
	retries_set_entries(gateway,
			    MAX(reply->subscribers, reply->recent_entries));
	if (reply->revision <= gateway_revision(gateway))
		return true;
	if (reply->packed_document.len == 0)
		return false;
	if (gateway->reading.packed != NULL &&
	    reply->revision <= gateway->reading.revision) {
		if (reply->revision == gateway->reading.revision)
			gateway->reading.request_sent_ms =
				reply->request_sent_ms;
		return false;
	}
	newer.packed = g_bytes_new(reply->packed_document.data,
				   reply->packed_document.len);
	if (gateway->reading.packed == NULL) {
		start_reading_revision(gateway, newer);
		return false;
	}
	if (newer.revision < gateway->next_revision.revision) {
		drop_revision(&newer);
		return false;
	}
	drop_revision(&gateway->next_revision);
	gateway->next_revision = newer;
	return false;
}

static void on_load(subscription_handler_t *handler,
		    const msg_fleet_load_t *load)
{
	gateway_t *gateway = gateway_of_subscription(handler);

	usage_update(&gateway->usage, load, clock_now(gateway->clock));
}

static void on_plan(subscription_handler_t *handler,
		    const msg_fleet_plan_t *plan)
{
	gateway_t *gateway = gateway_of_subscription(handler);
	clock_ms_t now = clock_now(gateway->clock);

	if (!flow_plan_follow(&gateway->plan, plan, now))
		LOG_INFO(
			"plan_ignored",
			"term=%" G_GUINT64_FORMAT " sequence=%" G_GUINT64_FORMAT
			" age_ms=%" G_GINT64_FORMAT,
			plan->term, plan->sequence, now - plan->report_sent_ms);
}

static void on_slow_engines(subscription_handler_t *handler,
			    const msg_fleet_paces_t *slow_engines)
{
	gateway_t *gateway = gateway_of_subscription(handler);

	gateway->slowdowns_ms = clock_now(gateway->clock);
	g_hash_table_remove_all(gateway->slowdowns);
	for (size_t i = 0; i < slow_engines->slow_engine_count; i++) {
		double *factor = g_new(double, 1);

		*factor = slow_engines->slow_engines[i].pace;
		g_hash_table_insert(gateway->slowdowns,
				    g_strdup(slow_engines->slow_engines[i].id),
				    factor);
	}
	LOG_INFO("paces_told", "slow=%" G_GSIZE_FORMAT,
		 slow_engines->slow_engine_count);
}

static void on_parts(subscription_handler_t *handler,
		     const msg_fleet_parts_t *parts)
{
	gateway_t *gateway = gateway_of_subscription(handler);

	if (parts->question != 0)
		prompt_parts_answer(gateway, parts);
	if (prompt_parts_follow(gateway, parts))
		exchange_refuse_parts(gateway);
}

static void on_limits(subscription_handler_t *handler,
		      const msg_fleet_limits_t *limits)
{
	gateway_t *gateway = gateway_of_subscription(handler);

	endpoint_limits_follow(gateway, limits);
	exchange_start_queued(gateway);
}

static void on_retries(subscription_handler_t *handler,
		       const msg_fleet_retries_t *grant)
{
	gateway_t *gateway = gateway_of_subscription(handler);

	retries_granted(gateway, grant);
	exchange_retry_waiting(gateway);
}

static uint64_t on_held(subscription_handler_t *handler)
{
	return gateway_revision(gateway_of_subscription(handler));
}

/* Returns the record of the lack of capacity of "service". */
shortage_t *gateway_shortage(gateway_t *gateway, const char *service)
{
	shortage_t *shortage = g_hash_table_lookup(gateway->shortages, service);

	if (shortage == NULL) {
		shortage = g_new0(shortage_t, 1);
		g_hash_table_insert(gateway->shortages, g_strdup(service),
				    shortage);
	}
	return shortage;
}

/* Returns the record of how long answers of "service" take. */
answer_times_t *gateway_answer_times(gateway_t *gateway, const char *service)
{
	answer_times_t *times =
		g_hash_table_lookup(gateway->answer_times, service);

	if (times == NULL) {
		times = g_new0(answer_times_t, 1);
		g_hash_table_insert(gateway->answer_times, g_strdup(service),
				    times);
	}
	return times;
}

/* Returns whether endpoint "id" has failed recently. */
bool gateway_is_suspect(const gateway_t *gateway, const char *id)
{
	const clock_ms_t *until = g_hash_table_lookup(gateway->suspects, id);

	return until != NULL && clock_now(gateway->clock) < *until;
}

/*
 * Returns the factor by which engine "id" is slower than usual, at least 1; 1
 * if the last list of slow engines is older than GATEWAY_SLOWDOWN_MAX_AGE_MS.
 */
double gateway_slowdown(const gateway_t *gateway, const char *id)
{
	const double *factor = g_hash_table_lookup(gateway->slowdowns, id);

	if (factor == NULL ||
	    clock_now(gateway->clock) - gateway->slowdowns_ms >=
		    GATEWAY_SLOWDOWN_MAX_AGE_MS)
		return 1;
	return MAX(*factor, 1);
}

/* Makes new attempts avoid endpoint "id" for GATEWAY_SUSPICION_MS. */
void gateway_mark_suspect(gateway_t *gateway, const char *id)
{
	clock_ms_t *until = g_new(clock_ms_t, 1);

	*until = clock_now(gateway->clock) + GATEWAY_SUSPICION_MS;
	g_hash_table_replace(gateway->suspects, g_strdup(id), until);
	LOG_INFO("endpoint_suspected", "endpoint=%s for_ms=%d", id,
		 GATEWAY_SUSPICION_MS);
}

/* Tells the leader, and thereby the other entries, that "endpoint" leaves. */
static void report_leaving(gateway_t *gateway, const endpoint_t *endpoint)
{
	endpoint_t leaving = *endpoint;
	msg_fleet_endpoint_t described;
	const msg_fleet_endpoints_t message = { .endpoints = &described,
						.endpoint_count = 1 };

	leaving.draining = true;
	described = fleet_update_describe(&leaving, clock_now(gateway->clock));
	subscription_send_to_leader(&gateway->subscription, MSG_FLEET_ENDPOINTS,
				    &message);
}

/*
 * Obeys what endpoint "id" has asked of this entry in an answer: to send
 * nothing more because it leaves, or nothing for a while.
 */
void gateway_obey_endpoint(gateway_t *gateway, const char *id,
			   const endpoint_answer_t *answer)
{
	const endpoint_t *endpoint = registry_find(&gateway->registry, id);
	clock_ms_t now = clock_now(gateway->clock);

	if (answer->unreadable_pause != NULL)
		LOG_WARN("endpoint_pause_unreadable",
			 "endpoint=%s retry_after=%s", id,
			 answer->unreadable_pause);
	if (answer->unreadable_limit != NULL)
		LOG_WARN("endpoint_limit_unreadable", "endpoint=%s limit=%s",
			 id, answer->unreadable_limit);
	if (endpoint == NULL)
		return;
	if (answer->leaving &&
	    endpoint_notices_leave(&gateway->notices, endpoint)) {
		counter_add(COUNTER_ENDPOINTS_LEAVING, 1);
		LOG_INFO("endpoint_leaves",
			 "endpoint=%s address=%s source=answer", id,
			 endpoint->address);
		report_leaving(gateway, endpoint);
	}
	if (answer->pause_ms > 0) {
		clock_ms_t until_ms = endpoint_notices_pause(
			&gateway->notices, endpoint, answer->pause_ms,
			g_rand_double(gateway->random), now);

		counter_add(COUNTER_ENDPOINT_PAUSES, 1);
		LOG_INFO("endpoint_paused",
			 "endpoint=%s asked_ms=%" G_GINT64_FORMAT
			 " for_ms=%" G_GINT64_FORMAT " source=answer",
			 id, answer->pause_ms, until_ms - now);
	}
}

static gboolean is_suspicion_expired(gpointer key, gpointer value,
				     gpointer data)
{
	(void)key;
	return *(const clock_ms_t *)value <= *(const clock_ms_t *)data;
}

static void set_gauges(const gateway_t *gateway)
{
	const exchange_t *exchange;
	uint64_t open = 0;

	LIST_FOREACH(exchange, &gateway->exchanges, entry)
	open++;
	counter_set(GAUGE_GATEWAY_OPEN, open);
	counter_set(GAUGE_GATEWAY_WAITING, gateway->waiting.count);
	counter_set(GAUGE_GATEWAY_ANSWER_BYTES, gateway->answer_bytes);
	counter_set(GAUGE_ENDPOINTS,
		    g_hash_table_size(gateway->registry.by_id));
	counter_set(GAUGE_LEASE,
		    subscription_has_lease(&gateway->subscription));
	counter_set(GAUGE_REVISION, gateway_revision(gateway));
	counter_set(GAUGE_PARTS_REFUSED,
		    part_guard_refused_count(&gateway->parts,
					     clock_now(gateway->clock)));
}

static void report_load(gateway_t *gateway, clock_ms_t now)
{
	msg_fleet_load_t load = {
		.entry = gateway->net->instance,
		.sequence = ++gateway->report_sequence,
	};
	msg_fleet_use_t *uses;
	msg_fleet_demand_t *demands;

	gateway->last_report_ms = now;
	load.sent_ms = now;
	demands = demand_report(&gateway->demand, &load.demand_count);
	load.demands = demands;
	uses = usage_report(&gateway->usage, &load.use_count);
	load.uses = uses;
	load.slow = gateway->long_pause_count >= GATEWAY_SLOW_EVENTS_MIN &&
		    gateway->long_pause_count >=
			    gateway->event_count * GATEWAY_SLOW_EVENT_RATIO;
	gateway->event_count = 0;
	gateway->long_pause_count = 0;
	subscription_send_to_leader(&gateway->subscription, MSG_FLEET_LOAD,
				    &load);
	g_free(uses);
	g_free(demands);
}

/* Reports the endpoints of silent streams to the leader. */
static void report_silence(gateway_t *gateway, clock_ms_t now)
{
	clock_ms_t limit_ms = silence_limit_ms(&gateway->silence);
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	msg_fleet_silent_t silent = { 0 };
	const exchange_t *exchange;
	GHashTableIter iter;
	msg_name_t *names;
	gpointer id;

	LIST_FOREACH(exchange, &gateway->exchanges, entry)
	exchange_collect_silent(exchange, now, limit_ms, ids);
	names = g_new(msg_name_t, g_hash_table_size(ids) + 1);
	silent.endpoints = names;
	g_hash_table_iter_init(&iter, ids);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		names[silent.endpoint_count++].text = id;
	if (silent.endpoint_count > 0) {
		gateway->last_silence_report_ms = now;
		LOG_INFO("streams_silent",
			 "endpoints=%" G_GSIZE_FORMAT
			 " for_ms=%" G_GINT64_FORMAT,
			 silent.endpoint_count, limit_ms);
		subscription_send_to_leader(&gateway->subscription,
					    MSG_FLEET_SILENT, &silent);
	}
	g_free(names);
	g_hash_table_destroy(ids);
}

static bool has_lease(const gateway_t *gateway)
{
	return gateway->table != NULL &&
	       subscription_has_lease(&gateway->subscription);
}

static void on_request(http_server_handler_t *handler, http_conn_t *conn)
{
	gateway_t *gateway = CONTAINER_OF(handler, gateway_t, http_handler);
	held_request_t held = {
		.conn = conn,
		.since_ms = clock_now(gateway->clock),
	};

	if (has_lease(gateway)) {
		exchange_begin(gateway, conn, held.since_ms);
		return;
	}
	conn->user = gateway;
	g_array_append_val(gateway->held_requests, held);
}

/* Starts held requests once there is a lease or their hold time is over. */
static void start_held_requests(gateway_t *gateway, clock_ms_t now)
{
	while (gateway->held_requests->len > 0) {
		const held_request_t held = g_array_index(
			gateway->held_requests, held_request_t, 0);

		if (!has_lease(gateway) &&
		    now - held.since_ms < GATEWAY_HOLD_TIMEOUT_MS)
			return;
		g_array_remove_index(gateway->held_requests, 0);
		held.conn->user = NULL;
		exchange_begin(gateway, held.conn, held.since_ms);
	}
}

static void remove_held_request(gateway_t *gateway, const http_conn_t *conn)
{
	for (guint i = 0; i < gateway->held_requests->len; i++)
		if (g_array_index(gateway->held_requests, held_request_t, i)
			    .conn == conn) {
			g_array_remove_index(gateway->held_requests, i);
			return;
		}
}

static void on_caller_gone(http_server_handler_t *handler, http_conn_t *conn)
{
	gateway_t *gateway = CONTAINER_OF(handler, gateway_t, http_handler);

	if (conn->user == gateway)
		remove_held_request(gateway, conn);
	else
		exchange_caller_left(conn->user);
}

/*
 * Leaves the last "pause_ms", in which this process did not run, out of the
 * silence of all streams: what was sent meanwhile may not be read yet.
 */
static void excuse_pause(gateway_t *gateway, clock_ms_t pause_ms,
			 clock_ms_t now)
{
	exchange_t *exchange;

	LOG_INFO("process_paused", "for_ms=%" G_GINT64_FORMAT, pause_ms);
	LIST_FOREACH(exchange, &gateway->exchanges, entry)
	{
		exchange->last_progress_ms =
			MIN(exchange->last_progress_ms + pause_ms, now);
		exchange->event_due_since_ms =
			MIN(exchange->event_due_since_ms + pause_ms, now);
		exchange_excuse_paused(exchange, pause_ms, now);
	}
}

static void on_tick(uv_timer_t *timer)
{
	gateway_t *gateway = timer->data;
	clock_ms_t now = clock_now(gateway->clock);
	bool is_late = now - gateway->last_tick_ms >= GATEWAY_LATE_TICK_MS;
	exchange_t *exchange = LIST_FIRST(&gateway->exchanges);

	if (is_late && gateway->last_tick_ms > 0)
		excuse_pause(gateway, now - gateway->last_tick_ms, now);
	gateway->last_tick_ms = now;
	if (!is_late && now - gateway->last_silence_report_ms >=
				GATEWAY_SILENCE_REPORT_INTERVAL_MS)
		report_silence(gateway, now);

	while (exchange != NULL) {
		exchange_t *next = LIST_NEXT(exchange, entry);

		exchange_tick(exchange, now);
		exchange = next;
	}
	start_held_requests(gateway, now);
	exchange_start_queued(gateway);
	g_hash_table_foreach_remove(gateway->suspects, is_suspicion_expired,
				    &now);
	registry_remove_expired(&gateway->registry, now);
	long_pauses_expire(&gateway->long_pauses, now);
	endpoint_notices_expire(&gateway->notices, &gateway->registry, now);
	endpoint_limits_tick(gateway, now);
	if (now - gateway->last_report_ms >= GATEWAY_REPORT_INTERVAL_MS) {
		set_gauges(gateway);
		report_load(gateway, now);
		prompt_parts_report(gateway, now);
	}
	if (gateway->drain_since_ms != 0 &&
	    now - gateway->drain_since_ms >= DRAIN_IDLE_MS) {
		http_server_stop_listening(&gateway->http);
		http_server_close_idle(&gateway->http);
	}
}

/* Returns whether callers can be served and no stop is planned. */
static bool is_ready(const gateway_t *gateway)
{
	return gateway->drain_since_ms == 0 && has_lease(gateway);
}

static void on_ready_request(http_server_handler_t *handler, http_conn_t *conn)
{
	const gateway_t *gateway =
		CONTAINER_OF(handler, gateway_t, ready_handler);

	http_conn_reply(conn, is_ready(gateway) ? 200 : 503, "", "", 0);
}

static void set_handlers(gateway_t *gateway)
{
	gateway->http_handler.request = on_request;
	gateway->http_handler.gone = on_caller_gone;
	gateway->ready_handler.request = on_ready_request;
	gateway->subscription_handler.endpoints = on_endpoints;
	gateway->subscription_handler.renew_reply = on_renew_reply;
	gateway->subscription_handler.load = on_load;
	gateway->subscription_handler.slow_engines = on_slow_engines;
	gateway->subscription_handler.parts = on_parts;
	gateway->subscription_handler.limits = on_limits;
	gateway->subscription_handler.plan = on_plan;
	gateway->subscription_handler.retries = on_retries;
	gateway->subscription_handler.held = on_held;
}

/* Sets the control instances that are contacted whenever there is no lease. */
void gateway_set_seeds(gateway_t *gateway, const settings_fleet_t *fleet)
{
	subscription_clear_seeds(&gateway->subscription);
	for (unsigned i = 0; i < fleet->seeds_count; i++) {
		char *address =
			settings_fleet_peer_address(fleet, fleet->seeds[i]);

		subscription_add_seed(&gateway->subscription, address);
		g_free(address);
	}
}

/*
 * Listens for callers and the balancer and subscribes to the control
 * instances.  Returns false with "err" set if an address cannot be bound.
 */
bool gateway_init(gateway_t *gateway, net_t *net, const settings_t *settings,
		  const fleet_dialect_t *dialect, err_t *err)
{
	const settings_fleet_t *fleet = settings->fleet;

	memset(gateway, 0, sizeof(*gateway));
	set_handlers(gateway);
	gateway->net = net;
	gateway->settings = settings;
	gateway->dialect = dialect;
	gateway->clock = &clock_boottime;
	gateway->random = g_rand_new();
	LIST_INIT(&gateway->exchanges);
	wait_queue_init(&gateway->waiting);
	gateway->held_requests =
		g_array_new(FALSE, FALSE, sizeof(held_request_t));
	registry_init(&gateway->registry);
	part_guard_init(&gateway->parts);
	usage_init(&gateway->usage);
	long_pauses_init(&gateway->long_pauses);
	flow_plan_init(&gateway->plan);
	demand_init(&gateway->demand);
	endpoint_notices_init(&gateway->notices);
	request_limits_init(&gateway->limits);
	request_limits_init(&gateway->own_limits);
	permits_init(&gateway->permits, gateway->random);
	gateway->entry_count = 1;
	retries_init(gateway);
	gateway->shortages =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gateway->answer_times =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gateway->slowdowns =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gateway->suspects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (!http_server_init(&gateway->http, net->loop, fleet->front_listen,
			      gateway->clock, &first_limits,
			      &gateway->http_handler, err) ||
	    !http_server_init(&gateway->ready, net->loop, fleet->ready_listen,
			      gateway->clock, &ready_limits,
			      &gateway->ready_handler, err))
		return false;
	gateway->http.limits.connections = fleet->front_connections;
	gateway->http.limits.held_bytes = (size_t)fleet->front_held_mb << 20;
	subscription_init(&gateway->subscription, net, gateway->clock, true,
			  NULL, &gateway->subscription_handler);
	gateway->subscription.is_entry = true;
	gateway_set_seeds(gateway, fleet);
	uv_timer_init(net->loop, &gateway->tick);
	gateway->tick.data = gateway;
	uv_timer_start(&gateway->tick, on_tick, GATEWAY_TICK_MS,
		       GATEWAY_TICK_MS);
	return true;
}

/*
 * Prepares for a stop in "remaining_ms": reports not ready, lets open requests
 * complete, and refuses requests whose answers might not be complete in time.
 */
void gateway_drain(gateway_t *gateway, clock_ms_t remaining_ms)
{
	gateway->drain_since_ms = clock_now(gateway->clock);
	gateway->stop_ms = gateway->drain_since_ms + remaining_ms;
	http_server_drain(&gateway->http);
}

/*
 * Returns whether a draining gateway has no open requests or connections and
 * the balancer sends nothing more.
 */
bool gateway_is_idle(const gateway_t *gateway)
{
	return clock_now(gateway->clock) - gateway->drain_since_ms >=
		       DRAIN_IDLE_MS + GATEWAY_TICK_MS &&
	       LIST_EMPTY(&gateway->exchanges) &&
	       gateway->held_requests->len == 0 &&
	       !http_server_is_listening(&gateway->http) &&
	       gateway->http.conn_count == 0;
}

/* Refuses the held requests, or begins them if there is a lease. */
static void release_held_requests(gateway_t *gateway)
{
	while (gateway->held_requests->len > 0) {
		const held_request_t held = g_array_index(
			gateway->held_requests, held_request_t, 0);

		g_array_remove_index(gateway->held_requests, 0);
		held.conn->user = NULL;
		exchange_begin(gateway, held.conn, held.since_ms);
	}
}

/* Refuses or aborts all requests and closes all connections. */
void gateway_close(gateway_t *gateway)
{
	release_held_requests(gateway);
	while (!LIST_EMPTY(&gateway->exchanges))
		exchange_abort(LIST_FIRST(&gateway->exchanges));
	gateway->closed = true;
	uv_close((uv_handle_t *)&gateway->tick, NULL);
	http_server_close(&gateway->http);
	http_server_close(&gateway->ready);
	subscription_close(&gateway->subscription);
}

/* Frees a closed gateway, after the event loop has ended. */
void gateway_finish(gateway_t *gateway)
{
	subscription_finish(&gateway->subscription);
	registry_finish(&gateway->registry);
	usage_finish(&gateway->usage);
	long_pauses_finish(&gateway->long_pauses);
	flow_plan_finish(&gateway->plan);
	wait_queue_finish(&gateway->waiting);
	demand_finish(&gateway->demand);
	endpoint_notices_finish(&gateway->notices);
	request_limits_finish(&gateway->limits);
	request_limits_finish(&gateway->own_limits);
	permits_finish(&gateway->permits);
	route_table_unref(gateway->table);
	g_array_unref(gateway->held_requests);
	retries_finish(gateway);
	g_hash_table_destroy(gateway->shortages);
	g_hash_table_destroy(gateway->answer_times);
	g_hash_table_destroy(gateway->suspects);
	g_hash_table_destroy(gateway->slowdowns);
	g_rand_free(gateway->random);
}
