/* Takes a caller's request: finds its route and customer, or rejects it. */
#include "wisteria/gateway/exchange.h"

#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/fleet/routes.h"
#include "wisteria/fleet/subscription.h"
#include "wisteria/gateway/answer.h"
#include "wisteria/gateway/demand.h"
#include "wisteria/gateway/exchange_internal.h"
#include "wisteria/gateway/flow_plan.h"
#include "wisteria/gateway/gateway.h"
#include "wisteria/gateway/prompt_parts.h"
#include "wisteria/http/http_message.h"

/* Retry-After without a lease: a lease is renewed every 400 ms. */
#define RETRY_AFTER_LEASE_MS 500

/* Admission. */

/* Why a request is not admitted; status 0: it is admitted. */
typedef struct {
	unsigned status;
	clock_ms_t retry_after_ms;
	const char *reason;
} rejection_t;
static rejection_t check_state(const gateway_t *gateway)
{
	if (gateway->table == NULL)
		return (rejection_t){ 503, RETRY_AFTER_LEASE_MS,
				      "no_configuration" };
	if (!subscription_has_lease(&gateway->subscription))
		return (rejection_t){ 503, RETRY_AFTER_LEASE_MS, "no_lease" };
	return (rejection_t){ 0 };
}

static rejection_t check_caller(const gateway_t *gateway, const route_t *route,
				const caller_request_t *caller,
				const customer_config_t **customer)
{
	*customer = route_table_find_customer(gateway->table, caller->api_key);
	if (caller->id == NULL)
		return (rejection_t){ 400, 0, "no_request_id" };
	if (caller->has_time_limit && caller->time_limit_ms <= 0)
		return (rejection_t){ 400, 0, "bad_time_limit" };
	if (!route_table_allows(gateway->table, route, *customer))
		return (rejection_t){ 401, 0, "unknown_api_key" };
	return (rejection_t){ 0 };
}

static rejection_t check_parts(const gateway_t *gateway,
			       const caller_request_t *caller)
{
	clock_ms_t refused_ms = prompt_parts_refused_ms(gateway, caller);

	if (refused_ms == 0)
		return (rejection_t){ 0 };
	counter_add(COUNTER_GATEWAY_PART_REFUSALS, 1);
	return (rejection_t){ 503, refused_ms, "part_refused" };
}

static void reject_request(gateway_t *gateway, http_conn_t *conn,
			   const caller_request_t *caller,
			   const rejection_t *rejection)
{
	counter_add(COUNTER_GATEWAY_REFUSED, 1);
	LOG_INFO("request_refused",
		 "request=%s status=%u reason=%s target=%s "
		 "revision=%" G_GUINT64_FORMAT,
		 caller->id == NULL ? "-" : caller->id, rejection->status,
		 rejection->reason, http_message_target(&conn->reader.message),
		 gateway_revision(gateway));
	exchange_send_own_answer(conn, gateway->dialect, caller,
				 rejection->status, rejection->retry_after_ms,
				 rejection->reason);
}

static exchange_t *exchange_new(gateway_t *gateway, http_conn_t *conn,
				const caller_request_t *caller,
				const route_t *route, clock_ms_t arrived_ms)
{
	exchange_t *exchange = g_new0(exchange_t, 1);
	const char *service =
		route_pick_service(route, g_rand_int(gateway->random));
	clock_ms_t limit = route->timeout_ms;

	exchange->call_handler = answer_handler;
	exchange->gateway = gateway;
	exchange->conn = conn;
	exchange->table = route_table_ref(gateway->table);
	exchange->route = route;
	exchange->service = route_table_find_service(gateway->table, service);
	exchange->caller = *caller;
	exchange->started_ms = arrived_ms;
	if (caller->has_time_limit)
		limit = MIN(limit, caller->time_limit_ms);
	exchange->deadline_ms = exchange->started_ms + limit;
	exchange->failed_ids = g_ptr_array_new_with_free_func(g_free);
	event_stream_init(&exchange->event_stream, caller->last_event_id,
			  route->resumable);
	LIST_INSERT_HEAD(&gateway->exchanges, exchange, entry);
	conn->user = exchange;
	return exchange;
}

/*
 * Counts a new request as demand of its rank, and promotes it to rank 0 if its
 * rank would otherwise get less than the minimum.
 */
static void count_arrival(exchange_t *exchange)
{
	double tokens = exchange->caller.prompt_tokens;
	service_flows_t *plan = exchange_find_plan(exchange);

	demand_add(&exchange->gateway->demand, exchange->service->name,
		   MAX(exchange->rank, 0), tokens);
	if (plan == NULL || exchange->rank <= 0 ||
	    !flow_plan_promotes(plan, exchange->rank, tokens))
		return;
	counter_add(COUNTER_GATEWAY_PROMOTED, 1);
	exchange->rank = 0;
}

/* Admits or rejects a request that arrived completely at "arrived_ms". */
void exchange_begin(gateway_t *gateway, http_conn_t *conn,
		    clock_ms_t arrived_ms)
{
	const http_message_t *message = &conn->reader.message;
	const char *host = http_message_find_header(message, "host");
	const customer_config_t *customer = NULL;
	const route_t *route = NULL;
	caller_request_t caller;
	err_t err = ERR_INIT;
	exchange_t *exchange;
	rejection_t rejection;

	counter_add(COUNTER_GATEWAY_REQUESTS, 1);
	rejection = check_state(gateway);
	if (!gateway->dialect->read_caller(message, &caller, &err))
		rejection = (rejection_t){ 400, 0, err.text };
	if (rejection.status == 0) {
		if (host != NULL)
			route = route_table_find_route(
				gateway->table, host,
				http_message_target(message));
		if (route == NULL)
			rejection = (rejection_t){ 404, 0, "no_route" };
		else
			rejection = check_caller(gateway, route, &caller,
						 &customer);
	}
	if (rejection.status == 0) {
		caller.digest = prompt_parts_digest(
			message, &caller,
			customer == NULL ? NULL : customer->name);
		rejection = check_parts(gateway, &caller);
	}
	if (rejection.status != 0) {
		reject_request(gateway, conn, &caller, &rejection);
		return;
	}
	exchange = exchange_new(gateway, conn, &caller, route, arrived_ms);
	exchange->customer = customer == NULL ? NULL : customer->name;
	exchange->rank =
		exchange->service->has_ranks
			? route_table_rank(gateway->table, route, customer)
			: REQUEST_RANK_NONE;
	if (exchange->service->has_ranks)
		count_arrival(exchange);
	exchange_send_or_queue(exchange);
}
