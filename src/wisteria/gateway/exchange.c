/*
 * Handles one request: admits it, sends it to an endpoint, retries it where
 * that is safe, and answers it once.
 */
#include "wisteria/gateway/exchange.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/histogram.h"
#include "wisteria/base/log.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/routes.h"
#include "wisteria/fleet/subscription.h"
#include "wisteria/gateway/answer.h"
#include "wisteria/gateway/endpoint_limits.h"
#include "wisteria/gateway/gateway.h"
#include "wisteria/gateway/prompt_parts.h"
#include "wisteria/gateway/repair.h"
#include "wisteria/gateway/stop_margin.h"
#include "wisteria/gateway/target.h"
#include "wisteria/http/http_message.h"

/* Retry-After without a lease: a lease is renewed every 400 ms. */
#define RETRY_AFTER_LEASE_MS 500
/* Least Retry-After without an endpoint: heartbeats are sent every 1.2 s. */
#define RETRY_AFTER_ENDPOINT_MS 1000
/* Least Retry-After without capacity: a few requests end in this time. */
#define RETRY_AFTER_FULL_MS 500
/* Retry-After while endpoints want nothing for a while: at least this. */
#define RETRY_AFTER_PAUSED_MIN_MS 50
/* Retry-After during a stop: other entries are ready; 0 would omit it. */
#define RETRY_AFTER_STOPPING_MS 50
/* The caller, whose clock starts later, is to give up first. */
#define PATIENCE_MARGIN_MS 500
/* Kept of a caller's patience for the prompt of a request that has waited. */
#define LATE_MARGIN_MS 600

static clock_ms_t now_of(const exchange_t *exchange)
{
	return clock_now(exchange->gateway->clock);
}

static const char *id_of(const exchange_t *exchange)
{
	return exchange->caller.id;
}

/* Answers that the gateway generates itself. */

static void send_own_answer(http_conn_t *conn, const fleet_dialect_t *dialect,
			    const caller_request_t *caller, unsigned status,
			    clock_ms_t retry_after_ms, const char *reason)
{
	GString *headers = g_string_new(NULL);

	dialect->write_own_headers(caller, retry_after_ms, headers);
	http_conn_reply(conn, status, headers->str, reason, strlen(reason));
	g_string_free(headers, TRUE);
}

/* The prompt of the current attempt has been read, or no longer needs to be. */
void exchange_prompt_read(exchange_t *exchange)
{
	const target_t *target = &exchange->target;

	if (!exchange->is_unread)
		return;
	exchange->is_unread = false;
	for (uint32_t i = 0; i < target->count; i++)
		usage_add_unread(&exchange->gateway->usage, target->ids[i],
				 exchange->rank,
				 -(double)exchange->caller.prompt_tokens);
}

static void end_attempt(exchange_t *exchange)
{
	const target_t *target = &exchange->target;

	answer_hold(exchange, 0);
	repair_end_attempt(exchange);
	exchange_prompt_read(exchange);
	if (exchange->call != NULL)
		http_call_cancel(exchange->call);
	exchange->call = NULL;
	for (uint32_t i = 0; i < target->count; i++)
		usage_end(&exchange->gateway->usage, target->ids[i],
			  target->tokens);
	exchange->target.count = 0;
}

static void count_waiting(exchange_t *exchange, int sign)
{
	if (exchange->service->has_ranks)
		demand_add_waiting(
			&exchange->gateway->demand, exchange->service->name,
			MAX(exchange->rank, 0),
			sign * (double)exchange->caller.prompt_tokens);
}

static void stop_waiting(exchange_t *exchange)
{
	if (!exchange->wait.queued)
		return;
	count_waiting(exchange, -1);
	wait_queue_remove(&exchange->gateway->waiting, &exchange->wait);
}

/* Ends and frees an exchange without sending anything to its caller. */
void exchange_discard(exchange_t *exchange)
{
	end_attempt(exchange);
	stop_waiting(exchange);
	if (exchange->conn != NULL)
		exchange->conn->user = NULL;
	LIST_REMOVE(exchange, entry);
	g_ptr_array_unref(exchange->failed_ids);
	route_table_unref(exchange->table);
	g_free(exchange);
}

/* Answers with "status", or closes the connection if an answer has begun. */
static void give_up(exchange_t *exchange, unsigned status,
		    clock_ms_t retry_after_ms, const char *reason)
{
	http_conn_t *conn = exchange->conn;

	LOG_INFO("request_given_up",
		 "request=%s status=%u reason=%s begun=%d sends=%u runs=%u "
		 "after_ms=%" G_GINT64_FORMAT,
		 id_of(exchange), exchange->headers_sent ? 0 : status, reason,
		 exchange->headers_sent, exchange->send_count,
		 exchange->possible_runs,
		 now_of(exchange) - exchange->started_ms);
	counter_add(status == 503 ? COUNTER_GATEWAY_REFUSED
				  : COUNTER_GATEWAY_FAILED,
		    1);
	if (exchange->headers_sent)
		http_conn_abort(conn);
	else
		send_own_answer(conn, exchange->gateway->dialect,
				&exchange->caller, status, retry_after_ms,
				reason);
	exchange->conn = NULL;
	exchange_discard(exchange);
}

/* Answers 503, or 502 if the request may have run. */
static void refuse(exchange_t *exchange, clock_ms_t retry_after_ms,
		   const char *reason)
{
	if (exchange->possible_runs > 0)
		give_up(exchange, 502, 0, reason);
	else
		give_up(exchange, 503, retry_after_ms, reason);
}

/* Attempts. */

static void count_attempt(exchange_t *exchange, const target_t *target)
{
	usage_t *usage = &exchange->gateway->usage;
	const caller_request_t *caller = &exchange->caller;

	for (uint32_t i = 0; i < target->count; i++) {
		usage_begin(usage, target->ids[i], target->tokens);
		usage_add_unread(usage, target->ids[i], exchange->rank,
				 caller->prompt_tokens);
	}
	usage_count_begun(usage, target->tokens);
	exchange->send_count++;
	counter_add(COUNTER_GATEWAY_SENDS, 1);
	if (exchange->send_count > 1 && exchange->service->has_engine)
		prefill_again_count(exchange->again_cause,
				    caller->prompt_tokens);
}

/* The next bytes come from the start of another answer. */
static void reset_answer(exchange_t *exchange, clock_ms_t now)
{
	exchange->sent_ms = now;
	exchange->last_progress_ms = now;
	exchange->event_due_since_ms = now;
	exchange->is_streaming = false;
	exchange->answer_framing = HTTP_FRAMING_NONE;
	exchange->request_limit = REQUEST_LIMIT_NONE;
	event_stream_begin_attempt(&exchange->event_stream);
}

static void send_attempt(exchange_t *exchange, const target_t *target)
{
	gateway_t *gateway = exchange->gateway;
	forward_hop_t hops[PIPELINE_HOPS_MAX];
	clock_ms_t now = now_of(exchange);
	const forward_t forward = {
		.endpoint_id = target->ids[0],
		.customer = exchange->customer,
		.rank = exchange->rank,
		.time_limit_ms = exchange->deadline_ms - now,
		.last_event_id = exchange->headers_sent
					 ? exchange->event_stream.last_id
					 : -1,
		.hops = hops,
		.hop_count = target->is_pipeline ? target->count : 0,
	};
	const endpoint_t *first =
		registry_find(&gateway->registry, target->ids[0]);
	const http_call_limits_t limits = {
		.connect_ms = GATEWAY_CONNECT_TIMEOUT_MS,
		.body_bytes = HTTP_CALL_BODY_BYTES_MAX,
	};
	GString *request = g_string_sized_new(2048);

	count_attempt(exchange, target);
	for (uint32_t i = 0; i < target->count; i++) {
		hops[i].address = target->addresses[i];
		hops[i].first_layer = target->first_layers[i];
		hops[i].end_layer = target->end_layers[i];
	}
	endpoint_limits_use(gateway, target->ids[0]);
	exchange->demand_counted = false;
	exchange->target = *target;
	exchange->incarnation = first == NULL ? 0 : first->incarnation;
	exchange->is_unread = true;
	reset_answer(exchange, now);
	gateway->dialect->write_forward(&exchange->conn->reader.message,
					&forward, request);
	exchange->call =
		http_call_new(gateway->net->loop, target->addresses[0], request,
			      &limits, &exchange->call_handler);
	g_string_free(request, TRUE);
	LOG_INFO("request_sent",
		 "request=%s send=%u endpoint=%s hops=%u tokens=%u+%u "
		 "hint=%u cost_ms=%.1f "
		 "rank=%d left_ms=%" G_GINT64_FORMAT
		 " behind_event=%" G_GINT64_FORMAT
		 " registry=%" G_GUINT64_FORMAT,
		 id_of(exchange), exchange->send_count, target->ids[0],
		 target->count, exchange->caller.prompt_tokens,
		 exchange->caller.answer_tokens_max,
		 exchange->caller.answer_tokens_hint, target->cost_ms,
		 forward.rank, forward.time_limit_ms, forward.last_event_id,
		 gateway->registry.version);
}

static void start(exchange_t *exchange, const target_t *target)
{
	retry_window_count_request(
		gateway_retry_window(exchange->gateway,
				     exchange->service->name),
		now_of(exchange));
	send_attempt(exchange, target);
}

/* Returns whether the answer might be truncated by the planned stop. */
bool exchange_might_outlast_stop(const exchange_t *exchange,
				 const target_t *target)
{
	const gateway_t *gateway = exchange->gateway;
	const caller_request_t *caller = &exchange->caller;

	return gateway->drain_since_ms != 0 &&
	       exchange->route->kind == ROUTE_STREAM &&
	       stop_margin_is_too_short(gateway->stop_ms - now_of(exchange),
					MAX(caller->answer_tokens_max,
					    caller->answer_tokens_hint),
					target->cost_ms);
}

/* Returns whether the key of a request is still in force where one is needed. */
static bool is_key_valid(const exchange_t *exchange)
{
	const gateway_t *gateway = exchange->gateway;

	return exchange->customer == NULL || exchange->route->allow_anonymous ||
	       route_table_find_customer(gateway->table,
					 exchange->caller.api_key) != NULL;
}

/* A wait_start_t; returns false if no usable endpoint has capacity. */
static bool start_queued(wait_item_t *item)
{
	exchange_t *exchange = CONTAINER_OF(item, exchange_t, wait);
	shortage_t *shortage =
		gateway_shortage(exchange->gateway, exchange->service->name);
	target_t target;

	if (!is_key_valid(exchange)) {
		shortage_wait_ended(shortage, false);
		give_up(exchange, 401, 0, "unknown_api_key");
		return true;
	}
	if (target_choose(exchange, &target) != TARGET_FOUND) {
		shortage_expect_starts(shortage, target.limited_per_s,
				       item->expires_ms - exchange->started_ms);
		return false;
	}
	if (exchange_might_outlast_stop(exchange, &target)) {
		shortage_wait_ended(shortage, false);
		refuse(exchange, RETRY_AFTER_STOPPING_MS, "stopping");
		return true;
	}
	start(exchange, &target);
	stop_waiting(exchange);
	shortage_wait_ended(shortage, true);
	histogram_add(LATENCY_QUEUE, now_of(exchange) - exchange->started_ms);
	return true;
}

/* Starts the queued requests for which there is capacity, given a lease. */
void exchange_start_queued(gateway_t *gateway)
{
	if (gateway->waiting.count > 0 &&
	    subscription_has_lease(&gateway->subscription)) {
		wait_queue_update(&gateway->waiting, clock_now(gateway->clock));
		wait_queue_dispatch(&gateway->waiting, start_queued);
	}
}

/* Returns the silence after which a caller gives a stream up, in ms. */
static clock_ms_t patience_ms(const route_t *route)
{
	clock_ms_t longest = MAX(4 * route->goal_ms, 8 * route->gap_goal_ms);

	return MAX(longest, 2000);
}

/*
 * Returns how long after its arrival a request may wait for capacity: just
 * after a start, when some endpoints may not be known, GATEWAY_HOLD_TIMEOUT_MS;
 * later, if the endpoints are full or the pause of one ends by then, a fraction
 * of the goal for the first event that leaves time to process the prompt; if no
 * known endpoint serves the request, 0.
 */
clock_ms_t exchange_max_wait_ms(const exchange_t *exchange,
				target_result_t result, const target_t *target,
				clock_ms_t now)
{
	const gateway_t *gateway = exchange->gateway;
	clock_ms_t queue_ms;

	if (gateway->first_endpoint_ms == 0 ||
	    now - gateway->first_endpoint_ms < GATEWAY_WARM_UP_MS)
		return GATEWAY_HOLD_TIMEOUT_MS;
	if (result == TARGET_FULL &&
	    flow_plan_find(&gateway->plan, exchange->service->name, now) !=
		    NULL)
		return patience_ms(exchange->route) - LATE_MARGIN_MS;
	queue_ms = (clock_ms_t)((double)exchange->route->goal_ms *
				GATEWAY_QUEUE_TIME_RATIO);
	if (result == TARGET_FULL || result == TARGET_LIMITED)
		return queue_ms;
	if (result == TARGET_PAUSED &&
	    target->pause_end_ms - exchange->started_ms <= queue_ms)
		return queue_ms;
	return 0;
}

/*
 * Returns when a caller should come back for whose request target_choose()
 * found no "target".
 */
static clock_ms_t retry_after_ms(const exchange_t *exchange,
				 target_result_t result, const target_t *target)
{
	clock_ms_t now = now_of(exchange);
	const shortage_refusal_t refusal = {
		.least_ms = result == TARGET_NONE ? RETRY_AFTER_ENDPOINT_MS
						  : RETRY_AFTER_FULL_MS,
		.left_ms = exchange->deadline_ms - now,
		.drawn = g_rand_double(exchange->gateway->random),
	};

	if (result == TARGET_PAUSED)
		return MAX(target->pause_end_ms - now,
			   RETRY_AFTER_PAUSED_MIN_MS);
	return shortage_refuse(
		gateway_shortage(exchange->gateway, exchange->service->name),
		&refusal, now);
}

/* Returns why a request without a target is refused, as callers are told. */
const char *exchange_refusal_reason(target_result_t result)
{
	static const char *const reasons[] = {
		[TARGET_FOUND] = "no_endpoint",
		[TARGET_NONE] = "no_endpoint",
		[TARGET_FULL] = "endpoints_full",
		[TARGET_PAUSED] = "endpoints_paused",
		[TARGET_LIMITED] = "endpoints_limited",
	};

	return reasons[result];
}

static void refuse_without_target(exchange_t *exchange, target_result_t result,
				  const target_t *target)
{
	refuse(exchange, retry_after_ms(exchange, result, target),
	       exchange_refusal_reason(result));
}

/* Returns the valid plan of the request's service, or NULL. */
static service_flows_t *find_plan(const exchange_t *exchange)
{
	return flow_plan_find(&exchange->gateway->plan, exchange->service->name,
			      now_of(exchange));
}

static bool has_plan(const exchange_t *exchange)
{
	return find_plan(exchange) != NULL;
}

/* Sets which requests "wait", of the exchange, competes with, and its rank. */
void exchange_set_pool(const exchange_t *exchange, wait_item_t *wait)
{
	/* Every revision has its own pools, as it has its own services. */
	wait->pool = exchange->service;
	wait->priority = exchange->rank < 0 ? exchange->route->priority
					    : (uint32_t)exchange->rank;
}

/* Sets what decides, under a valid plan, when "wait" is expected to start. */
void exchange_describe_wait(const exchange_t *exchange, wait_item_t *wait)
{
	wait->customer = exchange->customer;
	wait->prompt_tokens = exchange->caller.prompt_tokens;
	wait->on_time_until_ms = exchange->started_ms +
				 (clock_ms_t)((double)exchange->route->goal_ms *
					      GATEWAY_QUEUE_TIME_RATIO);
}

/*
 * Queues a request; another one that can no longer start because of it is
 * refused.  Returns false if the request itself would not start in time.
 */
static bool queue_request(exchange_t *exchange)
{
	static const target_t none = { 0 };
	wait_queue_t *queue = &exchange->gateway->waiting;
	wait_item_t *wait = &exchange->wait;
	const service_flows_t *plan = find_plan(exchange);
	wait_item_t *displaced = NULL;
	double rate = 0;

	if (plan != NULL) {
		rate = flow_plan_start_rate(plan, exchange->rank);
		exchange_describe_wait(exchange, wait);
	}
	if (wait_queue_offer(queue, wait, rate, now_of(exchange), &displaced) ==
	    WAIT_REFUSED)
		return false;
	count_waiting(exchange, 1);
	if (displaced != NULL) {
		exchange_t *other = CONTAINER_OF(displaced, exchange_t, wait);

		counter_add(COUNTER_GATEWAY_DISPLACED, 1);
		refuse_without_target(other, TARGET_FULL, &none);
	}
	return true;
}

static void send_or_queue(exchange_t *exchange)
{
	gateway_t *gateway = exchange->gateway;
	shortage_t *shortage =
		gateway_shortage(gateway, exchange->service->name);
	wait_item_t *wait = &exchange->wait;
	target_result_t found = TARGET_FULL;
	target_t target = { 0 };
	clock_ms_t wait_ms;
	bool must_wait;

	exchange_set_pool(exchange, wait);
	must_wait = wait_queue_must_wait(&gateway->waiting, wait->pool,
					 wait->priority);
	if (!must_wait || gateway->drain_since_ms != 0)
		found = target_choose(exchange, &target);
	if (found == TARGET_FOUND &&
	    exchange_might_outlast_stop(exchange, &target)) {
		refuse(exchange, RETRY_AFTER_STOPPING_MS, "stopping");
		return;
	}
	if (found == TARGET_FOUND && !must_wait) {
		start(exchange, &target);
		return;
	}
	if (must_wait) /* requests ahead still wait */
		found = shortage->places > 0 ? TARGET_LIMITED : TARGET_FULL;
	wait_ms = exchange_max_wait_ms(exchange, found, &target,
				       now_of(exchange));
	if (!must_wait)
		shortage_expect_starts(shortage, target.limited_per_s, wait_ms);
	if (wait_ms <= 0 ||
	    (!has_plan(exchange) &&
	     !shortage_allows_wait(
		     shortage,
		     must_wait ? wait_queue_count(&gateway->waiting, wait->pool)
			       : 0))) {
		refuse_without_target(exchange, found, &target);
		return;
	}
	wait->expires_ms = exchange->started_ms + wait_ms;
	if (!queue_request(exchange)) {
		refuse_without_target(exchange, found, &target);
		return;
	}
	LOG_INFO("request_queued",
		 "request=%s waiting=%u for_ms=%" G_GINT64_FORMAT,
		 id_of(exchange), gateway->waiting.count, wait_ms);
}

static bool is_repeatable(const exchange_t *exchange)
{
	return exchange->route->kind == ROUTE_IDEMPOTENT ||
	       (exchange->route->kind == ROUTE_STREAM &&
		exchange->route->resumable);
}

/*
 * Excludes the endpoint at fault from further attempts: the one that the answer
 * names, or else the first.  It also becomes suspect if it was named or cannot
 * have received the request.
 */
static void exclude_failed_endpoint(exchange_t *exchange,
				    attempt_failure_t failure,
				    const char *faulty_address)
{
	const target_t *target = &exchange->target;
	uint32_t faulty = 0;

	for (uint32_t i = 0; faulty_address != NULL && i < target->count; i++)
		if (strcmp(target->addresses[i], faulty_address) == 0)
			faulty = i;
	if (target->count == 0)
		return;
	g_ptr_array_add(exchange->failed_ids, g_strdup(target->ids[faulty]));
	if (failure == ATTEMPT_UNSENT || faulty_address != NULL)
		gateway_mark_suspect(exchange->gateway, target->ids[faulty]);
}

static bool log_retry_not_made(const exchange_t *exchange, const char *reason)
{
	LOG_INFO("retry_not_made", "request=%s sends=%u reason=%s",
		 id_of(exchange), exchange->send_count, reason);
	return false;
}

/*
 * Sends the request to other endpoints, if the limits allow.  Otherwise returns
 * false; if there is no other endpoint, sets "come_back_ms", for a caller who is
 * refused.
 */
static bool retry_attempt(exchange_t *exchange, const failed_attempt_t *attempt,
			  clock_ms_t *come_back_ms)
{
	gateway_t *gateway = exchange->gateway;
	target_result_t found;
	target_t target;

	if (!subscription_has_lease(&gateway->subscription))
		return log_retry_not_made(exchange, "no_lease");
	if (prompt_parts_refused_ms(gateway, &exchange->caller) > 0)
		return log_retry_not_made(exchange, "part_refused");
	found = target_choose(exchange, &target);
	if (found != TARGET_FOUND) {
		*come_back_ms = retry_after_ms(exchange, found, &target);
		return log_retry_not_made(exchange, "no_other_endpoint");
	}
	if (outcome_uses_retry_budget(attempt) &&
	    !retry_window_take(
		    gateway_retry_window(gateway, exchange->service->name),
		    now_of(exchange)))
		return log_retry_not_made(exchange, "retry_budget");
	send_attempt(exchange, &target);
	return true;
}

/*
 * Retries a failed attempt or answers the caller.  "answer" is the endpoint's
 * error answer, or NULL.
 */
void exchange_attempt_failed(exchange_t *exchange, attempt_failure_t failure,
			     const char *faulty_address, const char *reason,
			     const http_message_t *answer)
{
	bool ran = failure != ATTEMPT_UNSENT && failure != ATTEMPT_NOT_RUN;
	failed_attempt_t attempt = {
		.failure = failure,
		.repeatable = is_repeatable(exchange),
		.answer_started = exchange->headers_sent,
		.resumable = exchange->route->resumable,
		.has_time_left = now_of(exchange) < exchange->deadline_ms,
		.max_runs = MAX(exchange->route->max_attempts, 1),
	};
	clock_ms_t come_back_ms = RETRY_AFTER_ENDPOINT_MS;
	char *parts = prompt_parts_describe(&exchange->caller);
	outcome_t outcome;

	counter_add(COUNTER_GATEWAY_FAILED_SENDS, 1);
	exchange->possible_runs += ran;
	exchange->possible_arrivals += failure != ATTEMPT_UNSENT;
	attempt.possible_runs = exchange->possible_runs;
	attempt.possible_arrivals = exchange->possible_arrivals;
	exclude_failed_endpoint(exchange, failure, faulty_address);
	LOG_INFO("attempt_failed",
		 "request=%s send=%u endpoint=%s end=%s reason=%s at=%s "
		 "runs=%u of=%u events=%" G_GUINT64_FORMAT
		 " attempt_events=%" G_GUINT64_FORMAT
		 " framing=%s partial_event_bytes=%zu "
		 "waited_ms=%" G_GINT64_FORMAT " limit=%.3f shared_parts=%s",
		 id_of(exchange), exchange->send_count, exchange->target.ids[0],
		 attempt_failure_name(failure), reason,
		 faulty_address == NULL ? "-" : faulty_address,
		 exchange->possible_runs, attempt.max_runs,
		 exchange->event_stream.event_count,
		 exchange->event_stream.attempt_event_count,
		 http_framing_name(exchange->answer_framing),
		 exchange->event_stream.partial_bytes,
		 now_of(exchange) - exchange->last_progress_ms,
		 exchange->request_limit, parts);
	g_free(parts);
	outcome = outcome_decide(&attempt);
	exchange->again_cause = prefill_again_cause(
		failure,
		faulty_address != NULL || repair_has_lost_hop(exchange));
	end_attempt(exchange);
	if (outcome == OUTCOME_RETRY) {
		if (retry_attempt(exchange, &attempt, &come_back_ms))
			return;
		outcome = outcome_without_retry(&attempt);
	}
	if (outcome == OUTCOME_FORWARD_ERROR && answer != NULL)
		answer_forward(exchange, answer);
	else
		refuse(exchange, come_back_ms, reason);
}

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
	*customer = caller->api_key == NULL
			    ? NULL
			    : route_table_find_customer(gateway->table,
							caller->api_key);
	if (caller->id == NULL)
		return (rejection_t){ 400, 0, "no_request_id" };
	if (caller->has_time_limit && caller->time_limit_ms <= 0)
		return (rejection_t){ 400, 0, "bad_time_limit" };
	if (gateway->table->has_customers && !route->allow_anonymous &&
	    *customer == NULL)
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
	send_own_answer(conn, gateway->dialect, caller, rejection->status,
			rejection->retry_after_ms, rejection->reason);
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
	service_flows_t *plan = find_plan(exchange);

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
	send_or_queue(exchange);
}

/* The caller has disconnected: cancels the attempt at the endpoints. */
void exchange_caller_left(exchange_t *exchange)
{
	counter_add(COUNTER_CALLERS_GONE, 1);
	LOG_INFO("caller_left",
		 "request=%s sends=%u events=%" G_GUINT64_FORMAT
		 " after_ms=%" G_GINT64_FORMAT,
		 id_of(exchange), exchange->send_count,
		 exchange->event_stream.event_count,
		 now_of(exchange) - exchange->started_ms);
	exchange->conn = NULL;
	exchange_discard(exchange);
}

/*
 * Ends a request that is not complete when the planned stop takes effect: it is
 * refused, or cut if its answer has begun.  Its connection is closed later, by
 * http_server_close().
 */
void exchange_abort(exchange_t *exchange)
{
	if (!exchange->headers_sent) {
		exchange->possible_runs += exchange->call != NULL;
		refuse(exchange, RETRY_AFTER_STOPPING_MS, "stopping");
		return;
	}
	LOG_WARN("request_cut",
		 "request=%s reason=stopped sends=%u events=%" G_GUINT64_FORMAT
		 " after_ms=%" G_GINT64_FORMAT,
		 id_of(exchange), exchange->send_count,
		 exchange->event_stream.event_count,
		 now_of(exchange) - exchange->started_ms);
	exchange_discard(exchange);
}

/* Marks endpoints of a silent pipeline without recent heartbeats as suspect. */
static void suspect_without_heartbeat(exchange_t *exchange, clock_ms_t now)
{
	gateway_t *gateway = exchange->gateway;
	const target_t *target = &exchange->target;

	for (uint32_t i = 0; i < target->count; i++) {
		const endpoint_t *endpoint =
			registry_find(&gateway->registry, target->ids[i]);

		if (endpoint != NULL &&
		    now - endpoint->last_heard_ms >=
			    GATEWAY_STALL_HEARTBEAT_AGE_MS &&
		    !gateway_is_suspect(gateway, endpoint->id))
			gateway_mark_suspect(gateway, endpoint->id);
	}
}

static bool can_resume(const exchange_t *exchange)
{
	return exchange->route->kind == ROUTE_STREAM &&
	       exchange->route->resumable && exchange->call != NULL &&
	       exchange->possible_runs + 1 < exchange->route->max_attempts;
}

/* Returns whether an endpoint of the current attempt is known to be lost. */
static bool has_lost_endpoint(const exchange_t *exchange)
{
	const target_t *target = &exchange->target;

	for (uint32_t i = 0; i < target->count; i++) {
		const endpoint_t *endpoint = registry_find(
			&exchange->gateway->registry, target->ids[i]);

		if (endpoint != NULL &&
		    (endpoint->unreachable ||
		     (exchange->repair_failed && endpoint->gone)))
			return true;
	}
	return false;
}

/*
 * Records the pause of a stream that ends now, if it is long and shows that the
 * endpoints are slow, not that this process was paused.
 */
void exchange_record_long_pause(exchange_t *exchange, clock_ms_t now)
{
	gateway_t *gateway = exchange->gateway;
	clock_ms_t pause_ms = now - exchange->event_due_since_ms;

	if (pause_ms < GATEWAY_STALL_TIMEOUT_MS ||
	    now - gateway->last_tick_ms >= GATEWAY_LATE_TICK_MS)
		return;
	for (uint32_t i = 0; i < exchange->target.count; i++)
		long_pauses_add(&gateway->long_pauses, exchange->target.ids[i],
				pause_ms, now);
}

/*
 * Returns whether the current silence is no longer than pauses through "other",
 * so that the stream would not go on sooner there.
 */
static bool is_as_slow(const exchange_t *exchange, const target_t *other,
		       clock_ms_t now)
{
	clock_ms_t expected_ms = long_pauses_expected(
		&exchange->gateway->long_pauses, other->ids, other->count, now);

	return now - exchange->event_due_since_ms <
	       GATEWAY_LONG_PAUSE_FACTOR * expected_ms;
}

/*
 * Cancels the attempt and resumes the stream at other endpoints; returns false
 * if there is no lease, no capacity or no retry budget, or if the endpoints may
 * only be slow ("is_lost": they are not) and the others are as slow.
 */
static bool resume_elsewhere(exchange_t *exchange, bool is_lost, clock_ms_t now,
			     prefill_again_cause_t cause)
{
	const target_t *target = &exchange->target;
	retry_window_t *window = gateway_retry_window(exchange->gateway,
						      exchange->service->name);
	target_t other;

	if (!subscription_has_lease(&exchange->gateway->subscription) ||
	    !retry_window_allows(window, now) ||
	    target_choose(exchange, &other) != TARGET_FOUND ||
	    (!is_lost && is_as_slow(exchange, &other, now)) ||
	    !retry_window_take(window, now))
		return false;
	LOG_INFO("stream_stalled",
		 "request=%s endpoint=%s silent_ms=%" G_GINT64_FORMAT
		 " events=%" G_GUINT64_FORMAT,
		 id_of(exchange), target->ids[0],
		 now - exchange->last_progress_ms,
		 exchange->event_stream.event_count);
	counter_add(COUNTER_GATEWAY_STALLS, 1);
	exchange_record_long_pause(exchange, now);
	exchange->possible_runs++;
	exchange->possible_arrivals++;
	exchange->again_cause = cause;
	end_attempt(exchange);
	send_attempt(exchange, &other);
	return true;
}

/*
 * Returns whether the attempt has sent nothing for GATEWAY_STALL_TIMEOUT_MS, or
 * only comments or parts of an event for so long that its caller gives up soon.
 */
static bool is_stalled(const exchange_t *exchange, clock_ms_t now)
{
	return now - exchange->last_progress_ms >= GATEWAY_STALL_TIMEOUT_MS ||
	       now - exchange->event_due_since_ms >=
		       patience_ms(exchange->route) - GATEWAY_RESUME_MS;
}

/*
 * Repairs the pipeline of a silent stream if an endpoint is known to be lost.
 * If that fails, or if none is, resumes the stream at other endpoints if they
 * have capacity: early if an endpoint is known to be lost, otherwise later and
 * without any of its current endpoints.
 */
void exchange_check_stall(exchange_t *exchange, clock_ms_t now)
{
	clock_ms_t silent_ms = now - exchange->last_progress_ms;
	guint failed_before = exchange->failed_ids->len;

	if (repair_check(exchange, now) || !can_resume(exchange))
		return;
	if (silent_ms >= GATEWAY_LOST_ENDPOINT_STALL_MS &&
	    has_lost_endpoint(exchange) &&
	    resume_elsewhere(exchange, true, now, PREFILL_AGAIN_LOST_ENDPOINT))
		return;
	if (!is_stalled(exchange, now))
		return;
	suspect_without_heartbeat(exchange, now);
	for (uint32_t i = 0; i < exchange->target.count; i++)
		g_ptr_array_add(exchange->failed_ids,
				g_strdup(exchange->target.ids[i]));
	if (!resume_elsewhere(exchange, false, now,
			      repair_has_lost_hop(exchange)
				      ? PREFILL_AGAIN_LOST_ENDPOINT
				      : PREFILL_AGAIN_SILENT))
		g_ptr_array_set_size(exchange->failed_ids, (gint)failed_before);
}

/*
 * Adds the endpoints of a resumable stream that has begun and has been silent
 * for "limit_ms" to "ids"; the strings belong to the exchange.
 */
void exchange_collect_silent(const exchange_t *exchange, clock_ms_t now,
			     clock_ms_t limit_ms, GHashTable *ids)
{
	if (exchange->first_event_ms == 0 || !can_resume(exchange) ||
	    now - exchange->last_progress_ms < limit_ms)
		return;
	for (uint32_t i = 0; i < exchange->target.count; i++)
		g_hash_table_add(ids, (gpointer)exchange->target.ids[i]);
}

/* Whether an endpoint may yet begin to answer the request. */
static bool may_begin(const exchange_t *exchange)
{
	return exchange->wait.queued ||
	       (exchange->call != NULL && !exchange->headers_sent);
}

/*
 * Ends all requests with a refused part which no endpoint has begun to answer.
 */
void exchange_refuse_parts(gateway_t *gateway)
{
	exchange_t *exchange = LIST_FIRST(&gateway->exchanges);

	while (exchange != NULL) {
		exchange_t *next = LIST_NEXT(exchange, entry);
		clock_ms_t refused_ms =
			prompt_parts_refused_ms(gateway, &exchange->caller);

		if (refused_ms > 0 && may_begin(exchange)) {
			exchange->possible_runs += exchange->call != NULL;
			counter_add(COUNTER_GATEWAY_PART_REFUSALS, 1);
			refuse(exchange, refused_ms, "part_refused");
		}
		exchange = next;
	}
}

/*
 * Returns whether an attempt of a stream has sent no event for as long as its
 * caller waits for one, whatever bytes it has sent.  Without goals that is not
 * known.
 */
static bool has_outlasted_patience(const exchange_t *exchange, clock_ms_t now)
{
	const route_t *route = exchange->route;

	return route->kind == ROUTE_STREAM && exchange->call != NULL &&
	       (route->goal_ms > 0 || route->gap_goal_ms > 0) &&
	       now - exchange->event_due_since_ms >=
		       patience_ms(route) + PATIENCE_MARGIN_MS;
}

/*
 * Refuses a queued request whose waiting time has expired, ends a stream without
 * events and an exchange whose deadline has passed, and checks others for a silent stream.
 */
void exchange_tick(exchange_t *exchange, clock_ms_t now)
{
	if (exchange->wait.queued && now >= exchange->wait.expires_ms) {
		target_result_t result;
		target_t target;

		/*
		 * The result only determines the reason.  If a target is found,
		 * it is not used, its crossings are deducted from the pipe
		 * budget all the same, and the reason is "no_endpoint".
		 */
		shortage_wait_ended(gateway_shortage(exchange->gateway,
						     exchange->service->name),
				    false);
		result = target_choose(exchange, &target);
		refuse_without_target(exchange, result, &target);
		return;
	}
	if (has_outlasted_patience(exchange, now)) {
		exchange->possible_runs++;
		refuse(exchange, 0, "no_event");
		return;
	}
	if (now < exchange->deadline_ms) {
		exchange_check_stall(exchange, now);
		return;
	}
	if (exchange->send_count == 0)
		refuse(exchange, RETRY_AFTER_ENDPOINT_MS, "deadline");
	else
		give_up(exchange, 504, 0, "deadline");
}
