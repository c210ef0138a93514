/*
 * Requests that wait at the entry for capacity: how long they may, in which
 * order they start, and what callers are told who can't wait.
 */
#include "wisteria/gateway/exchange.h"

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/histogram.h"
#include "wisteria/base/log.h"
#include "wisteria/fleet/routes.h"
#include "wisteria/fleet/subscription.h"
#include "wisteria/gateway/answer_times.h"
#include "wisteria/gateway/exchange_internal.h"
#include "wisteria/gateway/flow_plan.h"
#include "wisteria/gateway/gateway.h"
#include "wisteria/gateway/stop_margin.h"
#include "wisteria/gateway/target.h"

/* Least Retry-After without capacity: a few requests end in this time. */
#define RETRY_AFTER_FULL_MS 500
/* Retry-After while endpoints want nothing for a while: at least this. */
#define RETRY_AFTER_PAUSED_MIN_MS 50
/* Kept of a caller's patience for the prompt of a request that has waited. */
#define LATE_MARGIN_MS 600
/* Callers give up after the longest of this time and these multiples of goals. */
#define PATIENCE_MIN_MS 2000
#define PATIENCE_GOALS 4
#define PATIENCE_GAP_GOALS 8

static void count_waiting(exchange_t *exchange, int sign)
{
	if (exchange->service->has_ranks)
		demand_add_waiting(
			&exchange->gateway->demand, exchange->service->name,
			MAX(exchange->rank, 0),
			sign * (double)exchange->caller.prompt_tokens);
}

/* Takes the request from the wait queue, if it is there. */
void exchange_stop_waiting(exchange_t *exchange)
{
	if (!exchange->wait.queued)
		return;
	count_waiting(exchange, -1);
	wait_queue_remove(&exchange->gateway->waiting, &exchange->wait);
}

/*
 * Returns how long an answer of a service without an engine may take: as long as
 * the longest recent one, or while there is none, as long as the route wants or
 * allows.
 */
static clock_ms_t longest_call_ms(const exchange_t *exchange)
{
	const answer_times_t *times = gateway_answer_times(
		exchange->gateway, exchange->service->name);
	clock_ms_t longest_ms =
		answer_times_longest(times, exchange_now(exchange));

	if (longest_ms > 0)
		return longest_ms;
	return exchange->route->goal_ms > 0 ? exchange->route->goal_ms
					    : exchange->route->timeout_ms;
}

/* Returns whether the answer might be cut by the planned stop. */
bool exchange_might_outlast_stop(const exchange_t *exchange,
				 const target_t *target)
{
	const gateway_t *gateway = exchange->gateway;
	const caller_request_t *caller = &exchange->caller;
	clock_ms_t now = exchange_now(exchange);

	if (gateway->drain_since_ms == 0)
		return false;
	if (exchange->service->has_engine)
		return stop_margin_is_too_short(gateway->stop_ms - now,
						MAX(caller->answer_tokens_max,
						    caller->answer_tokens_hint),
						target->cost_ms);
	return stop_margin_is_too_short_for_call(gateway->stop_ms - now,
						 exchange->deadline_ms - now,
						 longest_call_ms(exchange));
}

/* Returns whether the configuration in force still allows the caller. */
static bool is_caller_allowed(const exchange_t *exchange)
{
	const route_table_t *table = exchange->gateway->table;

	return route_table_allows(
		table, exchange->route,
		route_table_find_customer(table, exchange->caller.api_key));
}

/* A wait_start_t; returns false if no usable endpoint has capacity. */
static bool start_queued(wait_item_t *item)
{
	exchange_t *exchange = CONTAINER_OF(item, exchange_t, wait);
	shortage_t *shortage =
		gateway_shortage(exchange->gateway, exchange->service->name);
	target_t target;

	if (!is_caller_allowed(exchange)) {
		shortage_wait_ended(shortage, false);
		exchange_give_up(exchange, 401, 0, "unknown_api_key");
		return true;
	}
	if (target_choose(exchange, &target) != TARGET_FOUND) {
		shortage_expect_starts(shortage, target.limited_per_s,
				       item->expires_ms - exchange->started_ms);
		return false;
	}
	if (exchange_might_outlast_stop(exchange, &target)) {
		shortage_wait_ended(shortage, false);
		exchange_refuse(exchange, RETRY_AFTER_STOPPING_MS, "stopping");
		return true;
	}
	exchange_start(exchange, &target);
	exchange_stop_waiting(exchange);
	shortage_wait_ended(shortage, true);
	histogram_add(LATENCY_QUEUE,
		      exchange_now(exchange) - exchange->started_ms);
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
clock_ms_t exchange_patience_ms(const route_t *route)
{
	clock_ms_t longest = MAX(PATIENCE_GOALS * route->goal_ms,
				 PATIENCE_GAP_GOALS * route->gap_goal_ms);

	return MAX(longest, PATIENCE_MIN_MS);
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
		return exchange_patience_ms(exchange->route) - LATE_MARGIN_MS;
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
clock_ms_t exchange_retry_after_ms(const exchange_t *exchange,
				   target_result_t result,
				   const target_t *target)
{
	clock_ms_t now = exchange_now(exchange);
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

/* Refuses a request for which target_choose() found no target. */
void exchange_refuse_without_target(exchange_t *exchange,
				    target_result_t result,
				    const target_t *target)
{
	exchange_refuse(exchange,
			exchange_retry_after_ms(exchange, result, target),
			exchange_refusal_reason(result));
}

/* Returns the valid plan of the request's service, or NULL. */
service_flows_t *exchange_find_plan(const exchange_t *exchange)
{
	return flow_plan_find(&exchange->gateway->plan, exchange->service->name,
			      exchange_now(exchange));
}

static bool has_plan(const exchange_t *exchange)
{
	return exchange_find_plan(exchange) != NULL;
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
	const service_flows_t *plan = exchange_find_plan(exchange);
	wait_item_t *displaced = NULL;
	double rate = 0;

	if (plan != NULL) {
		rate = flow_plan_start_rate(plan);
		exchange_describe_wait(exchange, wait);
	}
	if (wait_queue_offer(queue, wait, rate, exchange_now(exchange),
			     &displaced) == WAIT_REFUSED)
		return false;
	count_waiting(exchange, 1);
	if (displaced != NULL) {
		exchange_t *other = CONTAINER_OF(displaced, exchange_t, wait);

		counter_add(COUNTER_GATEWAY_DISPLACED, 1);
		exchange_refuse_without_target(other, TARGET_FULL, &none);
	}
	return true;
}

/* Sends a new request, queues it, or refuses it at once. */
void exchange_send_or_queue(exchange_t *exchange)
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
		exchange_refuse(exchange, RETRY_AFTER_STOPPING_MS, "stopping");
		return;
	}
	if (found == TARGET_FOUND && !must_wait) {
		exchange_start(exchange, &target);
		return;
	}
	if (must_wait) /* requests ahead still wait */
		found = shortage->places > 0 ? TARGET_LIMITED : TARGET_FULL;
	wait_ms = exchange_max_wait_ms(exchange, found, &target,
				       exchange_now(exchange));
	if (!must_wait)
		shortage_expect_starts(shortage, target.limited_per_s, wait_ms);
	if (wait_ms <= 0 ||
	    (!has_plan(exchange) &&
	     !shortage_allows_wait(
		     shortage,
		     must_wait ? wait_queue_count(&gateway->waiting, wait->pool)
			       : 0))) {
		exchange_refuse_without_target(exchange, found, &target);
		return;
	}
	wait->expires_ms = exchange->started_ms + wait_ms;
	if (!queue_request(exchange)) {
		exchange_refuse_without_target(exchange, found, &target);
		return;
	}
	LOG_INFO("request_queued",
		 "request=%s waiting=%u for_ms=%" G_GINT64_FORMAT,
		 exchange_id(exchange), gateway->waiting.count, wait_ms);
}
