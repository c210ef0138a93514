/* Responses to model requests: tokens, the end of the answer, or a refusal. */
#include "wisteria/entry/job_answer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/log.h"
#include "wisteria/entry/job.h"
#include "wisteria/entry/openai.h"
#include "wisteria/entry/refusal.h"
#include "wisteria/entry/request.h"
#include "wisteria/trace/explain.h"
#include "wisteria/trace/trace.h"

static void begin_response(job_t *job, const char *content_type)
{
	GArray *headers = request_headers_new();

	request_headers_add(headers, "Content-Type", content_type);
	request_headers_add(headers, "Cache-Control", "no-store");
	request_headers_add(headers, "X-Request-Id", job->request->id);
	request_send_head(job->request, 200, headers);
	job->response_started = true;
}

static void stream_token(job_t *job, const msg_token_t *token)
{
	char event_id[128];
	char *event;

	if (!job->response_started)
		begin_response(job, "text/event-stream");
	snprintf(event_id, sizeof(event_id), "%016llx.%s.%u",
		 (unsigned long long)job->id,
		 entry_session_chain(job->session)->hops[0].endpoint,
		 token->index);
	event = openai_format_event(job->request, event_id, token);
	request_write_body(job->request, event, strlen(event));
	free(event);
}

/*
 * Streams tokens to the caller, or collects them if the answer is not streamed.
 */
void job_answer_tokens(job_t *job, const msg_token_t *tokens, size_t count)
{
	counter_add(COUNTER_TOKENS_DELIVERED, count);
	for (size_t i = 0; i < count; i++) {
		if (job->request->stream)
			stream_token(job, &tokens[i]);
		else
			g_string_append(job->text, tokens[i].text);
		job->stopped = tokens[i].last;
		job->delivered++;
	}
}

static void send_answer(job_t *job)
{
	char *body = openai_format_answer(job->request, job->text->str,
					  job->delivered, job->stopped);

	begin_response(job, "application/json");
	request_write_body(job->request, body, strlen(body));
	free(body);
}

/* Ends a complete answer, and the job. */
void job_answer_finish(job_t *job)
{
	static const char done[] = "data: [DONE]\n\n";

	if (!job->request->stream)
		send_answer(job);
	else if (!job->response_started)
		begin_response(job, "text/event-stream");
	if (job->request->stream)
		request_write_body(job->request, done, sizeof(done) - 1);
	request_end_response(job->request);
	span_add_number(&job->span, "tokens", job->delivered);
	explain_answered(&job->explain, job->delivered,
			 clock_now(job->entry->net->clock));
	job_end(job);
}

/* Sends an error event, which ends a stream that cannot continue. */
static void send_error_event(job_t *job, const entry_refusal_t *refusal)
{
	char *body = refusal_body(job->request, refusal, job->entry->view);
	GString *event = g_string_new(NULL);

	g_string_printf(event, "event: error\ndata: %s\n\n", body);
	request_write_body(job->request, event->str, event->len);
	request_end_response(job->request);
	g_string_free(event, TRUE);
	free(body);
}

/* Refuses a request, or ends its stream with an error event; ends the job. */
void job_answer_refuse(job_t *job, const entry_refusal_t *refusal)
{
	log_err(G_LOG_LEVEL_INFO, "request_refused", &refusal->err);
	job->span.is_error = true;
	explain_refused(&job->explain, &refusal->err, refusal->not_run,
			refusal->retry_after_ms,
			clock_now(job->entry->net->clock));
	if (job->response_started)
		send_error_event(job, refusal);
	else
		refusal_send(job->request, refusal, job->entry->view);
	job_end(job);
}
