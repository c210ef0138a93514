/*
 * Handles one request: sends it to an endpoint, retries it where that is safe,
 * and answers it once.
 */
#include "wisteria/gateway/exchange.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/log.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/routes.h"
#include "wisteria/fleet/subscription.h"
#include "wisteria/gateway/answer.h"
#include "wisteria/gateway/endpoint_limits.h"
#include "wisteria/gateway/exchange_internal.h"
#include "wisteria/gateway/gateway.h"
#include "wisteria/gateway/prompt_parts.h"
#include "wisteria/gateway/repair.h"
#include "wisteria/gateway/retries.h"
#include "wisteria/gateway/target.h"
#include "wisteria/http/http_message.h"

/* Returns the present time by the clock of the gateway. */
clock_ms_t exchange_now(const exchange_t *exchange)
{
	return clock_now(exchange->gateway->clock);
}

/* Returns the caller's id of the request. */
const char *exchange_id(const exchange_t *exchange)
{
	return exchange->caller.id;
}

/* Sends an answer that the gateway generates itself. */
void exchange_send_own_answer(http_conn_t *conn, const fleet_dialect_t *dialect,
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

/* Cancels the call of the current attempt and ends its use of endpoints. */
void exchange_release_attempt(exchange_t *exchange)
{
	const target_t *target = &exchange->target;

	exchange_prompt_read(exchange);
	answer_hold(exchange, 0);
	exchange->is_held_back = false;
	retries_attempt_arrived(exchange);
	if (exchange->call != NULL)
		http_call_cancel(exchange->call);
	exchange->call = NULL;
	for (uint32_t i = 0; i < target->count; i++)
		usage_end(&exchange->gateway->usage, target->ids[i],
			  target->tokens);
	exchange->target.count = 0;
}

/* Ends the current attempt, if there is one, and what it uses. */
void exchange_end_attempt(exchange_t *exchange)
{
	repair_end_attempt(exchange);
	exchange_release_attempt(exchange);
}

/* Ends and frees an exchange without sending anything to its caller. */
void exchange_discard(exchange_t *exchange)
{
	exchange_end_paused(exchange, "request_ended");
	exchange_end_attempt(exchange);
	exchange_stop_waiting(exchange);
	retries_request_ended(exchange);
	if (exchange->conn != NULL)
		exchange->conn->user = NULL;
	LIST_REMOVE(exchange, entry);
	g_ptr_array_unref(exchange->failed_ids);
	route_table_unref(exchange->table);
	g_free(exchange);
}

/* Returns whether an endpoint has, or may have, begun to run the request. */
static bool may_have_run(const exchange_t *exchange)
{
	return exchange->possible_runs > 0 || exchange->call != NULL ||
	       exchange->paused != NULL;
}

/*
 * Answers with "status", or closes the connection if an answer has begun.  A
 * request that may have run gets no status that is a promise.
 */
void exchange_give_up(exchange_t *exchange, unsigned wanted_status,
		      clock_ms_t retry_after_ms, const char *reason)
{
	http_conn_t *conn = exchange->conn;
	clock_ms_t now = exchange_now(exchange);
	bool was_open = exchange->call != NULL || exchange->cancelled_open;
	unsigned status =
		http_status_to_caller(wanted_status, may_have_run(exchange));

	LOG_INFO("request_given_up",
		 "request=%s status=%u reason=%s begun=%d sends=%u runs=%u "
		 "endpoint=%s open=%d silent_ms=%" G_GINT64_FORMAT
		 " after_ms=%" G_GINT64_FORMAT,
		 exchange_id(exchange), exchange->headers_sent ? 0 : status,
		 reason, exchange->headers_sent, exchange->send_count,
		 exchange->possible_runs,
		 exchange->send_count == 0 ? "-" : exchange->target.ids[0],
		 was_open,
		 exchange->send_count == 0 ? 0
					   : now - exchange->event_due_since_ms,
		 now - exchange->started_ms);
	if (exchange->headers_sent && was_open)
		counter_add(COUNTER_GATEWAY_CLOSED_OPEN, 1);
	counter_add(status == 503 ? COUNTER_GATEWAY_REFUSED
				  : COUNTER_GATEWAY_FAILED,
		    1);
	if (exchange->headers_sent)
		http_conn_abort(conn);
	else
		exchange_send_own_answer(conn, exchange->gateway->dialect,
					 &exchange->caller, status,
					 retry_after_ms, reason);
	exchange->conn = NULL;
	exchange_discard(exchange);
}

/* Answers 503, or 502 if the request may have run. */
void exchange_refuse(exchange_t *exchange, clock_ms_t retry_after_ms,
		     const char *reason)
{
	if (may_have_run(exchange))
		exchange_give_up(exchange, 502, 0, reason);
	else
		exchange_give_up(exchange, 503, retry_after_ms, reason);
}

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
	exchange->filler_ms = now;
	exchange->is_streaming = false;
	exchange->has_passed = false;
	exchange->is_held_back = false;
	exchange->answer_framing = HTTP_FRAMING_NONE;
	exchange->request_limit = REQUEST_LIMIT_NONE;
	event_stream_begin_attempt(&exchange->event_stream);
}

/*
 * Sends the request to the endpoints of "target"; "is_counted": as a retry that
 * was taken from the budget.
 */
void exchange_send_attempt(exchange_t *exchange, const target_t *target,
			   bool is_counted)
{
	gateway_t *gateway = exchange->gateway;
	forward_hop_t hops[PIPELINE_HOPS_MAX];
	clock_ms_t now = exchange_now(exchange);
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
	exchange->is_counted = is_counted;
	exchange->awaits_arrival = true;
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
		 exchange_id(exchange), exchange->send_count, target->ids[0],
		 target->count, exchange->caller.prompt_tokens,
		 exchange->caller.answer_tokens_max,
		 exchange->caller.answer_tokens_hint, target->cost_ms,
		 forward.rank, forward.time_limit_ms, forward.last_event_id,
		 gateway->registry.version);
}

/* Sends the request for the first time. */
void exchange_start(exchange_t *exchange, const target_t *target)
{
	retries_count_request(exchange);
	exchange_send_attempt(exchange, target, false);
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

typedef enum {
	RETRY_SENT,
	RETRY_WAITS, /* for a grant of the reserve */
	RETRY_NOT_MADE
} retry_result_t;

static retry_result_t log_retry_not_made(const exchange_t *exchange,
					 const char *reason)
{
	LOG_INFO("retry_not_made", "request=%s sends=%u reason=%s",
		 exchange_id(exchange), exchange->send_count, reason);
	return RETRY_NOT_MADE;
}

/*
 * The retry budget of this entry is spent: waits for a grant of the reserve if
 * there may be one, but not with a request whose endpoint has answered with an
 * error.
 */
static retry_result_t wait_for_grant(exchange_t *exchange,
				     const failed_attempt_t *attempt,
				     const char *reason)
{
	if (attempt->failure == ATTEMPT_ERROR ||
	    !retries_grant_may_come(exchange)) {
		retries_log_denied(exchange);
		return RETRY_NOT_MADE;
	}
	if (exchange->retry_until_ms == 0) {
		exchange->retry_until_ms =
			MIN(exchange_now(exchange) + GATEWAY_RETRY_WAIT_MS,
			    exchange->deadline_ms);
		exchange->retry_of = *attempt;
		g_strlcpy(exchange->retry_reason, reason,
			  sizeof(exchange->retry_reason));
	}
	return RETRY_WAITS;
}

/*
 * Sends the request to other endpoints, if the limits allow, or waits until the
 * fleet's reserve does; "reason" says why the last attempt failed.  If there is
 * no other endpoint, sets "come_back_ms", for a caller who is refused.
 */
static retry_result_t retry_attempt(exchange_t *exchange,
				    const failed_attempt_t *attempt,
				    const char *reason,
				    clock_ms_t *come_back_ms)
{
	gateway_t *gateway = exchange->gateway;
	bool uses_budget = outcome_uses_retry_budget(attempt);
	target_result_t found;
	target_t target;

	if (!subscription_has_lease(&gateway->subscription))
		return log_retry_not_made(exchange, "no_lease");
	if (prompt_parts_refused_ms(gateway, &exchange->caller) > 0)
		return log_retry_not_made(exchange, "part_refused");
	found = target_choose(exchange, &target);
	if (found != TARGET_FOUND) {
		*come_back_ms =
			exchange_retry_after_ms(exchange, found, &target);
		return log_retry_not_made(exchange, "no_other_endpoint");
	}
	if (!exchange->headers_sent &&
	    exchange_might_outlast_stop(exchange, &target)) {
		*come_back_ms = RETRY_AFTER_STOPPING_MS;
		return log_retry_not_made(exchange, "stopping");
	}
	if (uses_budget && !retries_take(exchange))
		return wait_for_grant(exchange, attempt, reason);
	exchange->retry_until_ms = 0;
	retries_log_sent(exchange, uses_budget);
	exchange_send_attempt(exchange, &target, uses_budget);
	return RETRY_SENT;
}

/*
 * Answers a request for which no further attempt is made.  "answer" is the one
 * that breaks a rule or is an error, or NULL.
 */
static void end_without_retry(exchange_t *exchange, outcome_t outcome,
			      clock_ms_t come_back_ms, const char *reason,
			      const http_message_t *answer)
{
	if (outcome == OUTCOME_FORWARD_ERROR && answer != NULL) {
		answer_forward(exchange, answer);
		return;
	}
	if (answer != NULL)
		LOG_INFO("answer_replaced",
			 "request=%s endpoint=%s status=%u rule=%s begun=%d",
			 exchange_id(exchange), exchange->target.ids[0],
			 answer->status, reason, exchange->headers_sent);
	exchange_refuse(exchange, come_back_ms, reason);
}

/*
 * Makes the retry that waits for a grant if there is one now; it is given up
 * once its time is over or the reserve has none left.
 */
static void check_waiting_retry(exchange_t *exchange, clock_ms_t now)
{
	const failed_attempt_t attempt = exchange->retry_of;
	bool is_over = now >= exchange->retry_until_ms ||
		       !retries_grant_may_come(exchange);
	clock_ms_t come_back_ms = RETRY_AFTER_ENDPOINT_MS;
	char reason[sizeof(exchange->retry_reason)];

	g_strlcpy(reason, exchange->retry_reason, sizeof(reason));
	if (is_over)
		retries_log_denied(exchange);
	else if (!retries_allow(exchange) ||
		 retry_attempt(exchange, &attempt, reason, &come_back_ms) !=
			 RETRY_NOT_MADE)
		return;
	end_without_retry(exchange, outcome_without_retry(&attempt),
			  come_back_ms, reason, NULL);
}

/* Makes the retries that wait for a grant of the reserve, or gives them up. */
void exchange_retry_waiting(gateway_t *gateway)
{
	clock_ms_t now = clock_now(gateway->clock);
	exchange_t *exchange = LIST_FIRST(&gateway->exchanges);

	while (exchange != NULL) {
		exchange_t *next = LIST_NEXT(exchange, entry);

		if (exchange->retry_until_ms > 0)
			check_waiting_retry(exchange, now);
		exchange = next;
	}
}

/*
 * Goes on with the paused attempt, retries a failed one or answers the caller.
 * "answer" is the endpoint's answer, or NULL if there is no complete one.
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
		.is_promise = answer != NULL &&
			      http_status_is_promise(answer->status),
		.has_time_left = exchange_now(exchange) < exchange->deadline_ms,
		.max_runs = MAX(exchange->route->max_attempts, 1),
	};
	clock_ms_t come_back_ms = RETRY_AFTER_ENDPOINT_MS;
	char *parts = prompt_parts_describe(&exchange->caller);
	outcome_t outcome;

	counter_add(COUNTER_GATEWAY_FAILED_SENDS, 1);
	exchange->possible_runs += ran;
	exchange->possible_arrivals += failure != ATTEMPT_UNSENT;
	if (failure == ATTEMPT_UNSENT)
		retries_attempt_unsent(exchange);
	attempt.possible_runs = exchange->possible_runs;
	attempt.possible_arrivals = exchange->possible_arrivals;
	exclude_failed_endpoint(exchange, failure, faulty_address);
	LOG_INFO("attempt_failed",
		 "request=%s send=%u endpoint=%s end=%s reason=%s at=%s "
		 "runs=%u of=%u events=%" G_GUINT64_FORMAT
		 " attempt_events=%" G_GUINT64_FORMAT
		 " framing=%s partial_event_bytes=%zu "
		 "waited_ms=%" G_GINT64_FORMAT
		 " status=%u limit=%.3f shared_parts=%s",
		 exchange_id(exchange), exchange->send_count,
		 exchange->target.ids[0], attempt_failure_name(failure), reason,
		 faulty_address == NULL ? "-" : faulty_address,
		 exchange->possible_runs, attempt.max_runs,
		 exchange->event_stream.event_count,
		 exchange->event_stream.attempt_event_count,
		 http_framing_name(exchange->answer_framing),
		 exchange->event_stream.partial_bytes,
		 exchange_now(exchange) - exchange->last_progress_ms,
		 answer == NULL ? 0 : answer->status, exchange->request_limit,
		 parts);
	g_free(parts);
	if (exchange->paused != NULL) {
		exchange_continue_paused(exchange);
		return;
	}
	outcome = outcome_decide(&attempt);
	exchange->again_cause = prefill_again_cause(
		failure,
		faulty_address != NULL || repair_has_lost_hop(exchange));
	exchange_end_attempt(exchange);
	if (outcome == OUTCOME_RETRY) {
		if (retry_attempt(exchange, &attempt, reason, &come_back_ms) !=
		    RETRY_NOT_MADE)
			return;
		outcome = outcome_without_retry(&attempt);
	}
	end_without_retry(exchange, outcome, come_back_ms, reason,
			  failure == ATTEMPT_NOT_RUN ? NULL : answer);
}

/* The caller has disconnected: cancels the attempt at the endpoints. */
void exchange_caller_left(exchange_t *exchange)
{
	counter_add(COUNTER_CALLERS_GONE, 1);
	LOG_INFO("caller_left",
		 "request=%s sends=%u events=%" G_GUINT64_FORMAT
		 " after_ms=%" G_GINT64_FORMAT,
		 exchange_id(exchange), exchange->send_count,
		 exchange->event_stream.event_count,
		 exchange_now(exchange) - exchange->started_ms);
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
		exchange_refuse(exchange, RETRY_AFTER_STOPPING_MS, "stopping");
		return;
	}
	LOG_WARN("request_cut",
		 "request=%s reason=stopped sends=%u events=%" G_GUINT64_FORMAT
		 " after_ms=%" G_GINT64_FORMAT,
		 exchange_id(exchange), exchange->send_count,
		 exchange->event_stream.event_count,
		 exchange_now(exchange) - exchange->started_ms);
	exchange_discard(exchange);
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
			exchange_refuse(exchange, refused_ms, "part_refused");
		}
		exchange = next;
	}
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
		exchange_refuse_without_target(exchange, result, &target);
		return;
	}
	if (exchange->retry_until_ms > 0) {
		check_waiting_retry(exchange, now);
		return;
	}
	answer_check_backlog(exchange, now);
	if (exchange_has_outlasted_patience(exchange, now)) {
		exchange->possible_runs++;
		exchange_refuse(exchange, 0, "no_event");
		return;
	}
	if (now < exchange->deadline_ms) {
		exchange_check_stall(exchange, now);
		return;
	}
	if (exchange->send_count == 0)
		exchange_refuse(exchange, RETRY_AFTER_ENDPOINT_MS, "deadline");
	else
		exchange_give_up(exchange, 504, 0, "deadline");
}
