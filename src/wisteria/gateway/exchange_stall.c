/*
 * Streams that have fallen silent: repaired or resumed elsewhere where that is
 * sooner, ended where their callers have given up.
 */
#include "wisteria/gateway/exchange.h"

#include "wisteria/base/counters.h"
#include "wisteria/base/log.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/subscription.h"
#include "wisteria/gateway/exchange_internal.h"
#include "wisteria/gateway/gateway.h"
#include "wisteria/gateway/long_pauses.h"
#include "wisteria/gateway/repair.h"
#include "wisteria/gateway/retries.h"
#include "wisteria/gateway/target.h"

/* The caller, whose clock starts later, is to give up first. */
#define PATIENCE_MARGIN_MS 500

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

static bool is_lost_endpoint(const exchange_t *exchange, const char *id)
{
	const endpoint_t *endpoint =
		registry_find(&exchange->gateway->registry, id);

	return endpoint != NULL &&
	       (endpoint->unreachable ||
		(exchange->repair_failed && endpoint->gone));
}

/* Returns whether an endpoint of the current attempt is known to be lost. */
static bool has_lost_endpoint(const exchange_t *exchange)
{
	const target_t *target = &exchange->target;

	for (uint32_t i = 0; i < target->count; i++)
		if (is_lost_endpoint(exchange, target->ids[i]))
			return true;
	return false;
}

/*
 * Returns whether the first endpoint, which holds the connection to this entry,
 * is known to be lost.
 */
static bool has_lost_first(const exchange_t *exchange)
{
	const target_t *target = &exchange->target;

	return target->count > 0 && is_lost_endpoint(exchange, target->ids[0]);
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

static void cancel_attempt(exchange_t *exchange, clock_ms_t now)
{
	exchange->cancelled_open = exchange->call != NULL;
	LOG_INFO("attempt_cancelled",
		 "request=%s endpoint=%s reason=lost_endpoint "
		 "silent_ms=%" G_GINT64_FORMAT,
		 exchange_id(exchange), exchange->target.ids[0],
		 now - exchange->last_progress_ms);
	exchange_end_attempt(exchange);
}

/*
 * Resumes the stream at other endpoints; returns false if there is no lease, no
 * capacity or no retry budget, or if the endpoints may only be slow ("is_lost":
 * they are not) and the others are as slow.  The attempt is read on until others
 * deliver an event, so that the stream is not over if they reject it; only one
 * whose first endpoint is lost, or that is an offer itself, is cancelled.
 */
static bool resume_elsewhere(exchange_t *exchange, bool is_lost, clock_ms_t now,
			     prefill_again_cause_t cause)
{
	const target_t *target = &exchange->target;
	target_t other;

	if (!subscription_has_lease(&exchange->gateway->subscription) ||
	    !retries_allow(exchange) ||
	    target_choose(exchange, &other) != TARGET_FOUND ||
	    (!is_lost && is_as_slow(exchange, &other, now)) ||
	    !retries_take(exchange))
		return false;
	LOG_INFO("stream_stalled",
		 "request=%s endpoint=%s silent_ms=%" G_GINT64_FORMAT
		 " events=%" G_GUINT64_FORMAT,
		 exchange_id(exchange), target->ids[0],
		 now - exchange->last_progress_ms,
		 exchange->event_stream.event_count);
	retries_log_sent(exchange, true);
	counter_add(COUNTER_GATEWAY_STALLS, 1);
	exchange_record_long_pause(exchange, now);
	exchange->possible_runs++;
	exchange->possible_arrivals++;
	exchange->again_cause = cause;
	if (exchange->paused != NULL || (is_lost && has_lost_first(exchange)))
		cancel_attempt(exchange, now);
	else
		exchange_pause_attempt(exchange);
	exchange_send_attempt(exchange, &other, true);
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
		       exchange_patience_ms(exchange->route) -
			       GATEWAY_RESUME_MS;
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
	if (exchange->paused != NULL || !is_stalled(exchange, now))
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

/*
 * Returns whether an attempt of a stream has sent bytes but no event for as long
 * as its caller waits for one.  Without goals that is not known.  Silence is no
 * reason to end a stream: its endpoint may go on, and a caller who gives up
 * leaves.
 */
bool exchange_has_outlasted_patience(const exchange_t *exchange, clock_ms_t now)
{
	const route_t *route = exchange->route;

	return route->kind == ROUTE_STREAM && exchange->call != NULL &&
	       (route->goal_ms > 0 || route->gap_goal_ms > 0) &&
	       exchange->filler_ms - exchange->event_due_since_ms >=
		       GATEWAY_STALL_TIMEOUT_MS &&
	       now - exchange->event_due_since_ms >=
		       exchange_patience_ms(route) + PATIENCE_MARGIN_MS;
}
