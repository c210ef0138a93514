/*
 * The paused attempt of a stream.  While its endpoint sends nothing, the request
 * is offered elsewhere; the attempt that delivers the next event stays, and the
 * other one is cancelled.  If the offer fails, the paused attempt goes on.
 */
#include "wisteria/gateway/exchange.h"

#include "wisteria/base/log.h"
#include "wisteria/gateway/answer.h"
#include "wisteria/gateway/exchange_internal.h"
#include "wisteria/gateway/gateway.h"
#include "wisteria/gateway/long_pauses.h"

/* What an exchange holds of one attempt. */
typedef struct {
	http_call_t *call; /* NULL: has ended */
	target_t target;
	uint64_t incarnation;
	bool repair_failed;
	bool is_unread;
	bool is_counted;
	bool awaits_arrival;
	bool is_streaming;
	bool has_passed;
	clock_ms_t sent_ms;
	clock_ms_t last_progress_ms;
	clock_ms_t event_due_since_ms;
	clock_ms_t filler_ms;
	http_framing_t answer_framing;
	size_t answer_bytes;
	double request_limit;
	event_stream_t event_stream;
} attempt_state_t;

typedef struct paused_attempt_t {
	http_call_handler_t handler;
	exchange_t *exchange;
	attempt_state_t state;
} paused_attempt_t;

static paused_attempt_t *paused_of(http_call_handler_t *handler)
{
	return CONTAINER_OF(handler, paused_attempt_t, handler);
}

static attempt_state_t get_state(const exchange_t *exchange)
{
	return (attempt_state_t){
		.call = exchange->call,
		.target = exchange->target,
		.incarnation = exchange->incarnation,
		.repair_failed = exchange->repair_failed,
		.is_unread = exchange->is_unread,
		.is_counted = exchange->is_counted,
		.awaits_arrival = exchange->awaits_arrival,
		.is_streaming = exchange->is_streaming,
		.has_passed = exchange->has_passed,
		.sent_ms = exchange->sent_ms,
		.last_progress_ms = exchange->last_progress_ms,
		.event_due_since_ms = exchange->event_due_since_ms,
		.filler_ms = exchange->filler_ms,
		.answer_framing = exchange->answer_framing,
		.answer_bytes = exchange->answer_bytes,
		.request_limit = exchange->request_limit,
		.event_stream = exchange->event_stream,
	};
}

static void set_state(exchange_t *exchange, const attempt_state_t *state)
{
	exchange->call = state->call;
	exchange->target = state->target;
	exchange->incarnation = state->incarnation;
	exchange->repair_failed = state->repair_failed;
	exchange->is_unread = state->is_unread;
	exchange->is_counted = state->is_counted;
	exchange->awaits_arrival = state->awaits_arrival;
	exchange->is_streaming = state->is_streaming;
	exchange->has_passed = state->has_passed;
	exchange->sent_ms = state->sent_ms;
	exchange->last_progress_ms = state->last_progress_ms;
	exchange->event_due_since_ms = state->event_due_since_ms;
	exchange->filler_ms = state->filler_ms;
	exchange->answer_framing = state->answer_framing;
	exchange->answer_bytes = state->answer_bytes;
	exchange->request_limit = state->request_limit;
	exchange->event_stream = state->event_stream;
}

static void log_end(const paused_attempt_t *paused, const char *end)
{
	const exchange_t *exchange = paused->exchange;
	const attempt_state_t *state = &paused->state;

	LOG_INFO("pause_ended",
		 "request=%s endpoint=%s end=%s silent_ms=%" G_GINT64_FORMAT
		 " runs=%u",
		 exchange_id(exchange), state->target.ids[0], end,
		 exchange_now(exchange) - state->event_due_since_ms,
		 exchange->possible_runs);
}

/*
 * Cancels the paused attempt, if there is one, and ends what it uses.  "end"
 * says why, for the log.
 */
void exchange_end_paused(exchange_t *exchange, const char *end)
{
	paused_attempt_t *paused = exchange->paused;
	attempt_state_t current;

	if (paused == NULL)
		return;
	log_end(paused, end);
	exchange->paused = NULL;
	current = get_state(exchange);
	set_state(exchange, &paused->state);
	exchange_release_attempt(exchange);
	set_state(exchange, &current);
	g_free(paused);
}

/*
 * Ends the offered attempt; the paused one is the current attempt again, and no
 * longer counts as one that has run.
 */
void exchange_continue_paused(exchange_t *exchange)
{
	paused_attempt_t *paused = exchange->paused;

	log_end(paused, "continued");
	exchange_end_attempt(exchange);
	exchange->possible_runs--;
	exchange->possible_arrivals--;
	exchange->paused = NULL;
	set_state(exchange, &paused->state);
	if (exchange->call != NULL)
		http_call_set_handler(exchange->call, &exchange->call_handler);
	g_free(paused);
}

/*
 * The paused attempt delivers first.  That the stream would have gone on no
 * sooner through the offered endpoints is recorded as a pause of theirs.
 */
static void prefer_paused(exchange_t *exchange)
{
	gateway_t *gateway = exchange->gateway;
	const target_t *offered = &exchange->target;
	clock_ms_t now = exchange_now(exchange);
	clock_ms_t pause_ms = now - exchange->paused->state.event_due_since_ms;

	if (now - gateway->last_tick_ms < GATEWAY_LATE_TICK_MS)
		for (uint32_t i = 0; i < offered->count; i++)
			long_pauses_add(&gateway->long_pauses, offered->ids[i],
					pause_ms, now);
	exchange->possible_runs++;
	exchange->possible_arrivals++;
	exchange_continue_paused(exchange);
}

/* Reads the head as that of the current attempt is read. */
static void on_headers(http_call_handler_t *handler,
		       const http_message_t *answer)
{
	paused_attempt_t *paused = paused_of(handler);
	exchange_t *exchange = paused->exchange;
	attempt_state_t current = get_state(exchange);

	set_state(exchange, &paused->state);
	answer_handler.headers(&exchange->call_handler, answer);
	paused->state = get_state(exchange);
	set_state(exchange, &current);
}

/* Returns whether the unfinished answers of all requests take too much. */
static bool hold_unfinished(paused_attempt_t *paused, size_t bytes)
{
	gateway_t *gateway = paused->exchange->gateway;

	gateway->answer_bytes -= paused->state.answer_bytes;
	gateway->answer_bytes += bytes;
	paused->state.answer_bytes = bytes;
	return gateway->answer_bytes > GATEWAY_ANSWERS_BYTES_MAX;
}

static void on_body(http_call_handler_t *handler, GByteArray *body)
{
	paused_attempt_t *paused = paused_of(handler);
	exchange_t *exchange = paused->exchange;
	paused_stream_t decision;

	if (!paused->state.is_streaming) {
		g_byte_array_set_size(body, 0);
		return;
	}
	decision = outcome_of_paused(&paused->state.event_stream, body, NULL);
	if (decision == PAUSED_STREAM_GOES_ON) {
		prefer_paused(exchange);
		answer_handler.body(&exchange->call_handler, body);
	} else if (decision == PAUSED_STREAM_FAILS ||
		   body->len > GATEWAY_EVENT_BYTES_MAX) {
		exchange_end_paused(exchange, "spoiled");
	} else if (hold_unfinished(paused, body->len)) {
		exchange_end_paused(exchange, "answers_too_large");
	}
}

/* Reports that the endpoint has closed the connection too early. */
static void report_crash(const paused_attempt_t *paused)
{
	exchange_t *exchange = paused->exchange;
	attempt_state_t current = get_state(exchange);

	set_state(exchange, &paused->state);
	answer_report_crash(exchange);
	set_state(exchange, &current);
}

static void on_complete(http_call_handler_t *handler,
			const http_message_t *answer)
{
	paused_attempt_t *paused = paused_of(handler);
	exchange_t *exchange = paused->exchange;

	paused->state.call = NULL;
	if (!paused->state.is_streaming) {
		exchange_end_paused(exchange, "no_stream");
		return;
	}
	if (outcome_of_paused(&paused->state.event_stream, answer->body,
			      &answer->framing) != PAUSED_STREAM_GOES_ON) {
		if (answer->framing == HTTP_FRAMING_CLOSE)
			report_crash(paused);
		exchange_end_paused(exchange, "cut");
		return;
	}
	prefer_paused(exchange);
	if (answer->body->len > 0)
		answer_handler.body(&exchange->call_handler, answer->body);
	answer_handler.complete(&exchange->call_handler, answer);
}

static void on_failed(http_call_handler_t *handler, http_call_stage_t stage,
		      const char *reason)
{
	paused_attempt_t *paused = paused_of(handler);

	paused->state.call = NULL;
	if (stage != HTTP_CALL_UNSENT)
		report_crash(paused);
	exchange_end_paused(paused->exchange, reason);
}

/*
 * Sets the current attempt aside, to be read on while another one is sent.  It
 * counts as one that has run.  There must be no paused attempt and no order to
 * repair the current one.
 */
void exchange_pause_attempt(exchange_t *exchange)
{
	paused_attempt_t *paused = g_new0(paused_attempt_t, 1);

	paused->handler = (http_call_handler_t){
		.headers = on_headers,
		.body = on_body,
		.complete = on_complete,
		.failed = on_failed,
	};
	paused->exchange = exchange;
	paused->state = get_state(exchange);
	http_call_set_handler(paused->state.call, &paused->handler);
	exchange->paused = paused;
	exchange->call = NULL;
	exchange->target.count = 0;
	exchange->is_unread = false;
	exchange->awaits_arrival = false;
	exchange->answer_bytes = 0;
	exchange->repair_failed = false;
}

/*
 * Leaves the last "pause_ms", in which this process did not run, out of the
 * silence of the paused attempt, if there is one.
 */
void exchange_excuse_paused(exchange_t *exchange, clock_ms_t pause_ms,
			    clock_ms_t now)
{
	attempt_state_t *state;

	if (exchange->paused == NULL)
		return;
	state = &exchange->paused->state;
	state->last_progress_ms = MIN(state->last_progress_ms + pause_ms, now);
	state->event_due_since_ms =
		MIN(state->event_due_since_ms + pause_ms, now);
}
