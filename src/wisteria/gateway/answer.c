/*
 * Reads the answers of endpoints: streams are forwarded event by event as they
 * arrive, all others once they are complete.  What an endpoint sends is an
 * answer only as far as it proves to be one: a stream must end behind an event
 * whatever its framing says, bytes that are no answer end the attempt, and a
 * refusal must name the request, as the caller is promised that it has not run.
 */
#include "wisteria/gateway/answer.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/histogram.h"
#include "wisteria/base/log.h"
#include "wisteria/gateway/answer_times.h"
#include "wisteria/gateway/endpoint_limits.h"
#include "wisteria/gateway/exchange.h"
#include "wisteria/gateway/gateway.h"
#include "wisteria/gateway/prompt_parts.h"
#include "wisteria/gateway/retries.h"
#include "wisteria/http/http_message.h"

static clock_ms_t now_of(const exchange_t *exchange)
{
	return clock_now(exchange->gateway->clock);
}

static const char *id_of(const exchange_t *exchange)
{
	return exchange->caller.id;
}

/* Records how much is held of the answer of the current attempt. */
void answer_hold(exchange_t *exchange, size_t bytes)
{
	exchange->gateway->answer_bytes -= exchange->answer_bytes;
	exchange->gateway->answer_bytes += bytes;
	exchange->answer_bytes = bytes;
}

static exchange_t *exchange_of(http_call_handler_t *handler)
{
	return CONTAINER_OF(handler, exchange_t, call_handler);
}

static bool is_matching_answer(const exchange_t *exchange,
			       const endpoint_answer_t *answer_info)
{
	return !answer_info->names_others &&
	       (answer_info->request_id == NULL ||
		strcmp(answer_info->request_id, id_of(exchange)) == 0);
}

static void log_answered(const exchange_t *exchange, unsigned status)
{
	clock_ms_t now = now_of(exchange);

	counter_add(COUNTER_GATEWAY_ANSWERED, 1);
	histogram_add(LATENCY_ANSWER, now - exchange->started_ms);
	LOG_INFO("request_answered",
		 "request=%s status=%u route=%s customer=%s sends=%u "
		 "events=%" G_GUINT64_FORMAT " framing=%s "
		 "partial_event_bytes=%zu behind_event=%" G_GINT64_FORMAT
		 " first_ms=%" G_GINT64_FORMAT " gap_ms=%" G_GINT64_FORMAT
		 " all_ms=%" G_GINT64_FORMAT " endpoint=%s limit=%.3f",
		 id_of(exchange), status, exchange->route->name,
		 exchange->customer == NULL ? "-" : exchange->customer,
		 exchange->send_count, exchange->event_stream.event_count,
		 http_framing_name(exchange->answer_framing),
		 exchange->event_stream.partial_bytes,
		 exchange->caller.last_event_id,
		 exchange->first_event_ms == 0
			 ? (clock_ms_t)-1
			 : exchange->first_event_ms - exchange->started_ms,
		 exchange->longest_gap_ms, now - exchange->started_ms,
		 exchange->target.ids[0], exchange->request_limit);
}

/* Records how long a service without an engine took for its answer. */
static void record_answer_time(exchange_t *exchange)
{
	clock_ms_t now = now_of(exchange);

	if (!exchange->service->has_engine)
		answer_times_add(gateway_answer_times(exchange->gateway,
						      exchange->service->name),
				 now - exchange->sent_ms, now);
}

/*
 * Records that the endpoint runs on.  A crash as it begins an answer may come
 * just behind the first events, so these do not show it.
 */
static void record_pass(exchange_t *exchange)
{
	if (exchange->has_passed)
		return;
	exchange->has_passed = true;
	prompt_parts_passed(exchange->gateway, &exchange->caller);
}

/* Forwards a complete answer unchanged. */
void answer_forward(exchange_t *exchange, const http_message_t *answer)
{
	GString *headers = g_string_sized_new(256);

	log_answered(exchange, answer->status);
	record_answer_time(exchange);
	if (answer->status / 100 == 2)
		prompt_parts_passed(exchange->gateway, &exchange->caller);
	exchange->gateway->dialect->write_answer_headers(answer, headers);
	if (answer->framing == HTTP_FRAMING_NONE)
		http_conn_reply_without_body(exchange->conn, answer->status,
					     headers->str,
					     answer->declared_bytes);
	else
		http_conn_reply(exchange->conn, answer->status, headers->str,
				answer->body->data, answer->body->len);
	g_string_free(headers, TRUE);
	exchange->conn = NULL;
	exchange_discard(exchange);
}

/*
 * Answers without a Content-Type on a stream route are streams.  As for any
 * client of event streams (WHATWG HTML, 9.2.2), no status but 200 begins or
 * continues one: 204 and 205 have no body, and 206 has a part of one.
 */
static bool may_be_event_stream(const http_message_t *answer)
{
	const char *type = http_message_find_header(answer, "content-type");

	return answer->status == 200 && answer->framing != HTTP_FRAMING_NONE &&
	       (type == NULL || event_stream_is_named_by(type));
}

static void on_headers(http_call_handler_t *handler,
		       const http_message_t *answer)
{
	exchange_t *exchange = exchange_of(handler);
	endpoint_answer_t answer_info;

	exchange->last_progress_ms = now_of(exchange);
	if (exchange->is_counted)
		retries_log_received(exchange);
	retries_attempt_arrived(exchange);
	exchange->answer_framing = answer->framing;
	exchange->gateway->dialect->read_answer(answer, &answer_info);
	exchange->request_limit = answer_info.request_limit;
	if (is_matching_answer(exchange, &answer_info)) {
		gateway_obey_endpoint(exchange->gateway,
				      exchange->target.ids[0], &answer_info);
		endpoint_limits_answered(exchange, answer, &answer_info);
	}
	exchange->is_streaming = exchange->route->kind == ROUTE_STREAM &&
				 answer_info.stamped &&
				 is_matching_answer(exchange, &answer_info) &&
				 may_be_event_stream(answer);
}

static void begin_stream(exchange_t *exchange, const http_message_t *answer)
{
	GString *headers;

	if (exchange->headers_sent)
		return;
	headers = g_string_sized_new(256);
	exchange->gateway->dialect->write_answer_headers(answer, headers);
	exchange->headers_sent = true;
	http_conn_begin(exchange->conn, answer->status, headers->str, -1);
	g_string_free(headers, TRUE);
}

/* Records the arrival of one or more events; together they count as one. */
static void record_event(exchange_t *exchange)
{
	gateway_t *gateway = exchange->gateway;
	clock_ms_t now = now_of(exchange);
	double pause_ms = (double)(now - exchange->last_event_ms);

	exchange->last_progress_ms = now;
	exchange->cancelled_open = false;
	exchange_record_long_pause(exchange, now);
	exchange->event_due_since_ms = now;
	gateway->event_count++;
	if (exchange->first_event_ms != 0 && exchange->route->gap_goal_ms > 0 &&
	    pause_ms > (double)exchange->route->gap_goal_ms *
			       GATEWAY_LONG_PAUSE_RATIO)
		gateway->long_pause_count++;
	if (exchange->first_event_ms == 0) {
		exchange->first_event_ms = now;
		histogram_add(LATENCY_FIRST_EVENT, now - exchange->started_ms);
	} else {
		silence_add_pause(&gateway->silence,
				  now - exchange->last_event_ms);
		exchange->longest_gap_ms = MAX(exchange->longest_gap_ms,
					       now - exchange->last_event_ms);
		histogram_add(LATENCY_EVENT_GAP, now - exchange->last_event_ms);
	}
	counter_add(COUNTER_GATEWAY_EVENTS, 1);
	exchange->last_event_ms = now;
}

/* Ends the attempt of a stream that is not one, or not this one. */
static void end_defective_stream(exchange_t *exchange, const char *defect)
{
	counter_add(COUNTER_GATEWAY_BROKEN_STREAMS, 1);
	exchange_attempt_failed(exchange, ATTEMPT_TRUNCATED, NULL, defect,
				NULL);
}

/*
 * Ends the attempt whose answer takes up most of the memory for answers: one
 * that does not end rather than many that do.
 */
static void end_largest_answer(gateway_t *gateway)
{
	exchange_t *largest = LIST_FIRST(&gateway->exchanges);
	exchange_t *exchange;

	LIST_FOREACH(exchange, &gateway->exchanges, entry)
	if (exchange->answer_bytes > largest->answer_bytes)
		largest = exchange;
	exchange_attempt_failed(largest, ATTEMPT_TRUNCATED, NULL,
				"answers_too_large", NULL);
}

/*
 * Records that "bytes" of the answer are held until more of it has arrived; one
 * attempt, which may be this one, ends if that is too much for all of them.
 */
static void hold_unfinished(exchange_t *exchange, size_t bytes)
{
	gateway_t *gateway = exchange->gateway;

	answer_hold(exchange, bytes);
	if (gateway->answer_bytes > GATEWAY_ANSWERS_BYTES_MAX)
		end_largest_answer(gateway);
}

/* Stops reading a stream that its caller does not take as fast as it comes. */
static void hold_back(exchange_t *exchange)
{
	if (exchange->is_held_back ||
	    http_conn_unsent_bytes(exchange->conn) < GATEWAY_BACKLOG_BYTES_MAX)
		return;
	exchange->is_held_back = true;
	counter_add(COUNTER_GATEWAY_HELD_BACK, 1);
	http_call_hold(exchange->call, true);
}

/*
 * Reads on a stream that is held back once its caller has taken enough.  Until
 * then its endpoint is not silent, as it is not read.  Must be called
 * periodically.
 */
void answer_check_backlog(exchange_t *exchange, clock_ms_t now)
{
	if (!exchange->is_held_back)
		return;
	exchange->last_progress_ms = now;
	exchange->event_due_since_ms = now;
	exchange->filler_ms = now;
	if (http_conn_unsent_bytes(exchange->conn) >
	    GATEWAY_BACKLOG_BYTES_MAX / 2)
		return;
	exchange->is_held_back = false;
	http_call_hold(exchange->call, false);
}

static void forward_events(exchange_t *exchange, GByteArray *body)
{
	event_stream_t *stream = &exchange->event_stream;
	size_t ignored_before = stream->ignored_bytes;
	bool is_first = stream->attempt_event_count == 0;
	size_t complete_len =
		event_stream_consume(stream, body->data, body->len);

	if (stream->ignored_bytes > ignored_before)
		exchange->last_progress_ms = now_of(exchange);
	if (complete_len == 0)
		exchange->filler_ms = now_of(exchange);
	if (complete_len > 0) {
		exchange_end_paused(exchange, "overtaken");
		exchange_prompt_read(exchange);
		if (!is_first)
			record_pass(exchange);
		record_event(exchange);
		begin_stream(exchange, http_call_response(exchange->call));
		http_conn_send(exchange->conn, body->data, complete_len);
		g_byte_array_remove_range(body, 0, (guint)complete_len);
		hold_back(exchange);
	}
	if (stream->defect != NULL)
		end_defective_stream(exchange, stream->defect);
	else if (stream->partial_bytes + stream->ignored_bytes >
		 GATEWAY_EVENT_BYTES_MAX)
		end_defective_stream(exchange, "event_too_long");
	else
		hold_unfinished(exchange, body->len);
}

static void on_body(http_call_handler_t *handler, GByteArray *body)
{
	exchange_t *exchange = exchange_of(handler);

	if (exchange->is_streaming)
		forward_events(exchange, body);
	else
		hold_unfinished(exchange, body->len);
}

static void finish_stream(exchange_t *exchange, const http_message_t *answer)
{
	begin_stream(exchange, answer);
	record_pass(exchange);
	if (answer->body->len > 0)
		http_conn_send(exchange->conn, answer->body->data,
			       answer->body->len);
	log_answered(exchange, answer->status);
	record_answer_time(exchange);
	http_conn_end(exchange->conn);
	exchange->conn = NULL;
	exchange_discard(exchange);
}

/*
 * Reports the endpoint of the current attempt, which has closed the connection
 * without a whole answer.  It has crashed if it had begun a stream and sent no
 * event, and may have behind the first events.  An endpoint without a model runs
 * few requests at a time, so each of them may be why it closed; one with a model
 * cuts many that it has not begun.
 */
void answer_report_crash(const exchange_t *exchange)
{
	bool has_begun = exchange->is_streaming;
	bool is_certain =
		has_begun && exchange->event_stream.attempt_event_count == 0;

	if (!exchange->has_passed &&
	    (has_begun || !exchange->service->has_engine))
		prompt_parts_crashed(exchange->gateway, &exchange->caller,
				     exchange->target.ids[0],
				     exchange->incarnation, is_certain);
}

/* Completes the response only if the stream is complete, too. */
static void on_stream_ended(exchange_t *exchange, const http_message_t *answer)
{
	const char *defect =
		event_stream_defect(&exchange->event_stream, answer->framing);

	if (defect == NULL) {
		finish_stream(exchange, answer);
		return;
	}
	if (answer->framing == HTTP_FRAMING_CLOSE)
		answer_report_crash(exchange);
	end_defective_stream(exchange, defect);
}

/* Returns why an answer that is not a stream is none; NULL if it is one. */
static const char *plain_answer_defect(const http_message_t *answer)
{
	const char *type = http_message_find_header(answer, "content-type");

	if (http_status_has_no_content(answer->status) && answer->body->len > 0)
		return "content_of_205";
	if (type == NULL || !event_stream_is_named_by(type))
		return NULL;
	return event_stream_find_defect(answer->body, answer->framing);
}

static void on_complete(http_call_handler_t *handler,
			const http_message_t *answer)
{
	exchange_t *exchange = exchange_of(handler);
	endpoint_answer_t answer_info;
	received_answer_t received;
	attempt_failure_t failure;
	const char *rule;
	char reason[32];
	bool names_fault;

	exchange->call = NULL;
	if (answer->excess_bytes > 0)
		LOG_INFO("bytes_behind_answer",
			 "request=%s endpoint=%s status=%u framing=%s "
			 "bytes=%zu",
			 id_of(exchange), exchange->target.ids[0],
			 answer->status, http_framing_name(answer->framing),
			 answer->excess_bytes);
	if (exchange->is_streaming) {
		on_stream_ended(exchange, answer);
		return;
	}
	exchange->gateway->dialect->read_answer(answer, &answer_info);
	received = (received_answer_t){
		.status = answer->status,
		.is_of_another = !is_matching_answer(exchange, &answer_info),
		.names_request = answer_info.request_id != NULL,
		.not_run = answer_info.not_run,
		.stamped = answer_info.stamped,
		.defect = plain_answer_defect(answer),
		.answer_started = exchange->headers_sent,
	};
	if (outcome_is_forwarded(&received, &failure, &rule)) {
		answer_forward(exchange, answer);
		return;
	}
	g_snprintf(reason, sizeof(reason), "status_%u", answer->status);
	names_fault = !received.is_of_another && received.defect == NULL &&
		      (!received.not_run || received.names_request);
	exchange_attempt_failed(exchange, failure,
				names_fault ? answer_info.faulty_address : NULL,
				rule != NULL ? rule : reason, answer);
}

static void on_failed(http_call_handler_t *handler, http_call_stage_t stage,
		      const char *reason)
{
	static const attempt_failure_t failures[] = {
		[HTTP_CALL_UNSENT] = ATTEMPT_UNSENT,
		[HTTP_CALL_SENT] = ATTEMPT_UNKNOWN,
		[HTTP_CALL_TRUNCATED] = ATTEMPT_TRUNCATED,
	};
	exchange_t *exchange = exchange_of(handler);

	exchange->call = NULL;
	if (stage != HTTP_CALL_UNSENT)
		answer_report_crash(exchange);
	exchange_attempt_failed(exchange, failures[stage], NULL, reason, NULL);
}

const http_call_handler_t answer_handler = {
	.headers = on_headers,
	.body = on_body,
	.complete = on_complete,
	.failed = on_failed,
};
