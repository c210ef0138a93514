/*
 * Model requests on the entry's traffic thread: finds a chain, holds its links
 * and slots while the session needs them, and answers the caller.
 */
#include "wisteria/entry/entry_model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/base/table.h"
#include "wisteria/entry/openai.h"
#include "wisteria/entry/refusal.h"
#include "wisteria/entry/request.h"
#include "wisteria/net/link.h"
#include "wisteria/settings/preset.h"
#include "wisteria/trace/explain.h"

/* Recoveries of one request that the retry budget does not count. */
#define JOB_FREE_RECOVERIES 2

typedef void (*model_message_t)(entry_t *entry, const msg_t *msg);

static job_t *job_of(entry_session_ops_t *ops, const entry_session_t *session)
{
	entry_t *entry = CONTAINER_OF(ops, entry_t, session_ops);
	uint64_t id = entry_session_params(session)->session;

	return g_hash_table_lookup(entry->jobs, &id);
}

static job_t *find_job(const entry_t *entry, uint64_t id)
{
	return g_hash_table_lookup(entry->jobs, &id);
}

static void hold_hop(entry_t *entry, const route_hop_t *hop)
{
	link_hold(agent_links_get(&entry->links, hop->address));
	router_started(entry->router, hop->endpoint);
}

static void release_hop(entry_t *entry, const route_hop_t *hop)
{
	link_release(agent_links_get(&entry->links, hop->address));
	router_finished(entry->router, hop->endpoint);
}

static void release_chain(job_t *job)
{
	for (size_t i = 0; i < job->chain.hop_count; i++)
		release_hop(job->entry, &job->chain.hops[i]);
	job->chain.hop_count = 0;
}

static void hold_chain(job_t *job, const route_choice_t *chain)
{
	for (size_t i = 0; i < chain->hop_count; i++)
		hold_hop(job->entry, &chain->hops[i]);
	release_chain(job);
	job->chain = *chain;
}

static void end_job(job_t *job)
{
	entry_t *entry = job->entry;

	if (job->ended)
		return;
	job->ended = true;
	release_chain(job);
	if (job->admitted)
		admission_finished(entry->admission, job->customer,
				   job->request->model, job->delivered,
				   clock_now(entry->net->clock));
	else
		admission_cancel(entry->admission, job->handle);
	table_remove(&entry->job_handles, job->handle);
	explain_log_add(&entry->explanations, &job->explain);
	g_ptr_array_add(entry->ended_jobs, job);
}

static uint32_t layers_of(const entry_t *entry, const char *name)
{
	const preset_model_t *model;

	if (entry->view == NULL || entry->view->preset == NULL)
		return 0;
	model = preset_model(entry->view->preset, name);
	return model == NULL ? 0 : model->layers;
}

static route_request_t route_request(const job_t *job, const char *failed)
{
	route_request_t request = {
		.target = job->request->model,
		.layers = layers_of(job->entry, job->request->model),
		.expected_tokens = job->request->max_tokens,
	};

	if (failed != NULL && failed[0] != '\0')
		request.avoid[request.avoid_count++] = failed;
	return request;
}

static void note_lost(job_t *job, const char *endpoint, clock_ms_t now)
{
	explain_lost(&job->explain, endpoint,
		     job->fail_reason[0] == '\0'
			     ? "its connection was lost or it did not answer"
			     : job->fail_reason,
		     now);
	job->fail_reason[0] = '\0';
}

static void op_send(entry_session_ops_t *ops, entry_session_t *session,
		    const route_hop_t *hop, msg_type_t type, const void *body)
{
	entry_t *entry = CONTAINER_OF(ops, entry_t, session_ops);

	(void)session;
	link_send(agent_links_get(&entry->links, hop->address), type, body);
}

static route_result_t op_choose(entry_session_ops_t *ops,
				entry_session_t *session, const char *failed,
				route_choice_t *choice)
{
	job_t *job = job_of(ops, session);
	entry_t *entry = job->entry;
	clock_ms_t now = clock_now(entry->net->clock);
	const route_request_t request = route_request(job, failed);
	route_result_t result;

	if (failed != NULL && failed[0] != '\0') {
		router_failed(entry->router, failed, now);
		note_lost(job, failed, now);
	}
	result = router_choose(entry->router, &request, now, choice);
	if (result != ROUTE_FOUND) {
		explain_no_chain(&job->explain, result, now);
		return result;
	}
	explain_restarted(&job->explain, job->delivered, now);
	explain_chose(&job->explain, choice, now);
	hold_chain(job, choice);
	return result;
}

static route_result_t op_replace(entry_session_ops_t *ops,
				 entry_session_t *session, size_t lost_hop,
				 route_hop_t *replacement)
{
	job_t *job = job_of(ops, session);
	entry_t *entry = job->entry;
	clock_ms_t now = clock_now(entry->net->clock);
	const char *failed = job->chain.hops[lost_hop].endpoint;
	const route_request_t request = route_request(job, failed);
	route_result_t result;

	router_failed(entry->router, failed, now);
	note_lost(job, failed, now);
	result = router_replace(entry->router, &request, &job->chain, lost_hop,
				now, replacement);
	if (result != ROUTE_FOUND) {
		explain_no_chain(&job->explain, result, now);
		return result;
	}
	explain_replaced(&job->explain, failed, replacement, job->delivered,
			 now);
	hold_hop(entry, replacement);
	release_hop(entry, &job->chain.hops[lost_hop]);
	job->chain.hops[lost_hop] = *replacement;
	return result;
}

/*
 * A request may be recovered a few times whatever befalls the others; beyond
 * that it draws on the entry's budget, so that an outage is not multiplied.
 */
static bool op_may_retry(entry_session_ops_t *ops, entry_session_t *session)
{
	entry_t *entry = CONTAINER_OF(ops, entry_t, session_ops);
	job_t *job = job_of(ops, session);

	if (job->recoveries++ < JOB_FREE_RECOVERIES)
		return true;
	if (retry_budget_take(&entry->retries))
		return true;
	explain_not_retried(&job->explain,
			    "this entry's retry budget is used up",
			    clock_now(entry->net->clock));
	return false;
}

static void begin_answer(job_t *job, const char *content_type)
{
	GArray *headers = request_headers_new();

	request_headers_add(headers, "Content-Type", content_type);
	request_headers_add(headers, "Cache-Control", "no-store");
	request_headers_add(headers, "X-Request-Id", job->request->id);
	request_head(job->request, 200, headers);
	job->answering = true;
}

static void stream_token(job_t *job, const msg_token_t *token)
{
	char event_id[128];
	char *event;

	if (!job->answering)
		begin_answer(job, "text/event-stream");
	snprintf(event_id, sizeof(event_id), "%016llx.%s.%u",
		 (unsigned long long)job->id,
		 entry_session_chain(job->session)->hops[0].endpoint,
		 token->index);
	event = openai_event(job->request, event_id, token);
	request_write(job->request, event, strlen(event));
	free(event);
}

static void op_deliver(entry_session_ops_t *ops, entry_session_t *session,
		       const msg_token_t *tokens, size_t count)
{
	job_t *job = job_of(ops, session);

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
	char *body = openai_answer(job->request, job->text->str, job->delivered,
				   job->stopped);

	begin_answer(job, "application/json");
	request_write(job->request, body, strlen(body));
	free(body);
}

static void op_finished(entry_session_ops_t *ops, entry_session_t *session)
{
	static const char done[] = "data: [DONE]\n\n";
	job_t *job = job_of(ops, session);

	if (!job->request->stream)
		send_answer(job);
	else if (!job->answering)
		begin_answer(job, "text/event-stream");
	if (job->request->stream)
		request_write(job->request, done, sizeof(done) - 1);
	request_end(job->request);
	explain_answered(&job->explain, job->delivered,
			 clock_now(job->entry->net->clock));
	end_job(job);
}

/* Ends a stream that cannot go on with an event that says so. */
static void send_error_event(job_t *job, const entry_refusal_t *refusal)
{
	char *body = refusal_body(job->request, refusal, job->entry->view);
	GString *event = g_string_new(NULL);

	g_string_printf(event, "event: error\ndata: %s\n\n", body);
	request_write(job->request, event->str, event->len);
	request_end(job->request);
	g_string_free(event, TRUE);
	free(body);
}

static void refuse_job(job_t *job, const entry_refusal_t *refusal)
{
	log_err(G_LOG_LEVEL_INFO, "request_refused", &refusal->err);
	explain_refused(&job->explain, &refusal->err, refusal->not_run,
			refusal->retry_after_ms,
			clock_now(job->entry->net->clock));
	if (job->answering)
		send_error_event(job, refusal);
	else
		refusal_send(job->request, refusal, job->entry->view);
	end_job(job);
}

static void op_refused(entry_session_ops_t *ops, entry_session_t *session,
		       const entry_refusal_t *refusal)
{
	refuse_job(job_of(ops, session), refusal);
}

static void refuse_waiting(job_t *job, err_code_t code, const char *step,
			   const char *reason, clock_ms_t retry_after_ms)
{
	entry_refusal_t refusal = {
		.not_run = true,
		.retry_after_ms = retry_after_ms,
	};

	err_set(&refusal.err, code, step, job->entry->net->instance, "%s",
		reason);
	refuse_job(job, &refusal);
}

static void start_session(job_t *job, const route_choice_t *chain)
{
	entry_t *entry = job->entry;
	const preset_t *preset = entry->view->preset;
	const preset_contract_t *contract =
		preset_contract(preset, job->customer);
	const entry_session_params_t params = {
		.session = job->id,
		.request_id = job->request->id,
		.customer = job->customer,
		.model = job->request->model,
		.prompt = job->request->prompt,
		.traceparent = job->request->traceparent == NULL
				       ? ""
				       : job->request->traceparent,
		.layers = layers_of(entry, job->request->model),
		.priority = contract == NULL ? 0 : contract->priority,
		.max_tokens = job->request->max_tokens,
		.revision = entry->view->revision,
		.deadline_ms = job->deadline_ms,
		.recovery = preset->recovery,
	};

	job->session = entry_session_new(&params, &entry->session_ops);
	hold_chain(job, chain);
	entry_session_start(job->session, chain, clock_now(entry->net->clock));
}

/* A job that waits for a chain says so once in its explanation. */
static void note_no_chain(job_t *job, route_result_t result, clock_ms_t now)
{
	if (!job->told_no_chain)
		explain_no_chain(&job->explain, result, now);
	job->told_no_chain = true;
}

/* Starts an admitted job; returns false if there is no chain for it now. */
static bool try_start(job_t *job, clock_ms_t now)
{
	const route_request_t request = route_request(job, NULL);
	route_choice_t chain;
	route_result_t result;

	if (request.layers == 0)
		return false;
	result = router_choose(job->entry->router, &request, now, &chain);
	if (result != ROUTE_FOUND) {
		note_no_chain(job, result, now);
		return false;
	}
	job->admitted = true;
	explain_admitted(&job->explain, now);
	explain_chose(&job->explain, &chain, now);
	start_session(job, &chain);
	return true;
}

static admission_offer_t offer_of(const job_t *job)
{
	return (admission_offer_t){
		.customer = job->customer,
		.target = job->request->model,
		.request = job->handle,
		.deadline_ms = job->deadline_ms,
	};
}

static const char *const refusal_reasons[] = {
	[ADMISSION_REASON_NONE] = "not admitted",
	[ADMISSION_REASON_NO_CONTRACT] = "no contract under this preset",
	[ADMISSION_REASON_QUEUE_FULL] = "the queue is full",
	[ADMISSION_REASON_TOO_LATE] = "its turn would come too late",
};

/* Starts the job, queues it or refuses it, as admission answered. */
static void act_on(job_t *job, admission_answer_t answer, clock_ms_t now)
{
	const admission_offer_t offer = offer_of(job);

	if (answer.result == ADMISSION_ADMITTED && !try_start(job, now))
		answer = admission_put_back(job->entry->admission, &offer, now);
	if (answer.result == ADMISSION_REFUSED)
		refuse_waiting(job, ERR_OVERLOAD, "admission",
			       refusal_reasons[answer.reason],
			       answer.retry_after_ms);
}

/* Starts what may start now, and refuses what waited for too long. */
static void drain_queue(entry_t *entry, clock_ms_t now)
{
	const admission_answer_t admitted = { .result = ADMISSION_ADMITTED };
	clock_ms_t retry_after_ms = 0;
	handle_t handle;
	job_t **job;

	while (admission_next(entry->admission, now, &handle)) {
		job = table_get(&entry->job_handles, handle);
		if (job != NULL)
			act_on(*job, admitted, now);
	}
	while (admission_expire(entry->admission, now, &handle,
				&retry_after_ms)) {
		job = table_get(&entry->job_handles, handle);
		if (job != NULL)
			refuse_waiting(*job, ERR_OVERLOAD, "queue",
				       "no chain of endpoints in time",
				       retry_after_ms);
	}
}

static clock_ms_t earlier(clock_ms_t a, clock_ms_t b)
{
	return a < b ? a : b;
}

static job_t *new_job(entry_t *entry, request_t *request,
		      const preset_contract_t *contract)
{
	const preset_limits_t *limits = &entry->view->preset->limits;
	clock_ms_t now = clock_now(entry->net->clock);
	clock_ms_t span_ms = limits->request_ms;
	job_t *job = g_new0(job_t, 1);

	if (request->timeout_ms > 0)
		span_ms = earlier(span_ms, request->timeout_ms);
	randombytes_buf(&job->id, sizeof(job->id));
	job->entry = entry;
	job->request = request_take(request);
	job->customer = g_strdup(contract->customer);
	job->text = g_string_new(NULL);
	job->deadline_ms = now + span_ms;
	job->handle = table_add(&entry->job_handles);
	*(job_t **)table_get(&entry->job_handles, job->handle) = job;
	g_hash_table_insert(entry->jobs, &job->id, job);
	explain_init(&job->explain, request->id, now);
	explain_request(&job->explain, job->customer, request->model);
	explain_preset(&job->explain, entry->view->preset->name,
		       entry->view->revision, contract);
	return job;
}

static void bound_tokens(request_t *request, const preset_model_t *model)
{
	if (request->max_tokens == 0 || request->max_tokens > model->max_tokens)
		request->max_tokens = model->max_tokens;
}

/* Takes a model request of the customer of "contract". */
void entry_model_accept(entry_t *entry, request_t *request,
			const preset_contract_t *contract)
{
	const preset_model_t *model =
		preset_model(entry->view->preset, request->model);
	clock_ms_t now = clock_now(entry->net->clock);
	job_t *job = new_job(entry, request, contract);
	admission_offer_t offer;
	admission_answer_t answer;

	if (model == NULL) {
		refuse_waiting(job, ERR_NOT_FOUND, "route",
			       "the preset in force has no such model", 0);
		return;
	}
	bound_tokens(request, model);
	retry_budget_fresh(&entry->retries);
	offer = offer_of(job);
	answer = admission_offer(entry->admission, &offer, now);
	if (answer.result == ADMISSION_QUEUED)
		explain_queued(&job->explain,
			       admission_queued(entry->admission), now);
	act_on(job, answer, now);
}

/* Ends the job of a request whose caller has gone. */
void entry_model_cancel(entry_t *entry, const request_t *request)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job_t *job = value;

		if (job->request != request || job->ended)
			continue;
		if (job->session != NULL)
			entry_session_on_cancel(job->session,
						"the caller has gone");
		explain_cancelled(&job->explain, clock_now(entry->net->clock));
		end_job(job);
		return;
	}
}

typedef void (*session_event_t)(entry_session_t *session, const char *address,
				clock_ms_t now);

static void tell_sessions(entry_t *entry, const char *address,
			  session_event_t event)
{
	clock_ms_t now = clock_now(entry->net->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const job_t *job = value;

		if (job->session != NULL && !job->ended)
			event(job->session, address, now);
	}
}

/* Tells the sessions that the link to an agent opened. */
void entry_model_agent_up(entry_t *entry, const char *address)
{
	tell_sessions(entry, address, entry_session_on_agent_up);
}

/* Tells the sessions that the link to an agent was lost. */
void entry_model_agent_down(entry_t *entry, const char *address)
{
	tell_sessions(entry, address, entry_session_on_agent_down);
}

/* Takes up the limits and the revision of a new view. */
void entry_model_new_view(entry_t *entry)
{
	const view_t *view = entry->view;
	GHashTableIter iter;
	gpointer value;

	if (view->preset == NULL)
		return;
	retry_budget_set_percent(&entry->retries,
				 view->preset->limits.retry_percent);
	admission_set_contracts(entry->admission, view->preset, view->shares,
				view->share_count,
				clock_now(entry->net->clock));
	g_hash_table_iter_init(&iter, entry->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const job_t *job = value;

		if (job->session != NULL)
			entry_session_set_revision(job->session,
						   view->revision);
	}
}

static void on_open_reply(entry_t *entry, const msg_t *msg)
{
	const msg_open_reply_t *reply = msg->body;
	const job_t *job = find_job(entry, reply->session);
	clock_ms_t now = clock_now(entry->net->clock);

	router_load(entry->router, &reply->load, now);
	if (job != NULL && job->session != NULL && !job->ended)
		entry_session_on_open_reply(job->session, reply, now);
}

static void on_tokens(entry_t *entry, const msg_t *msg)
{
	const msg_tokens_t *tokens = msg->body;
	const job_t *job = find_job(entry, tokens->session);
	clock_ms_t now = clock_now(entry->net->clock);

	router_load(entry->router, &tokens->load, now);
	if (job != NULL && job->session != NULL && !job->ended)
		entry_session_on_tokens(job->session, tokens, now);
}

static void on_session_failed(entry_t *entry, const msg_t *msg)
{
	const msg_session_failed_t *failed = msg->body;
	job_t *job = find_job(entry, failed->session);

	if (job == NULL || job->session == NULL || job->ended)
		return;
	snprintf(job->fail_reason, sizeof(job->fail_reason), "%s",
		 failed->reason);
	entry_session_on_failed(job->session, failed,
				clock_now(entry->net->clock));
}

static const model_message_t messages[MSG_TYPE_COUNT] = {
	[MSG_OPEN_REPLY] = on_open_reply,
	[MSG_TOKENS] = on_tokens,
	[MSG_SESSION_FAILED] = on_session_failed,
};

/* Takes a message that concerns model requests; returns whether it did. */
bool entry_model_message(entry_t *entry, const msg_t *msg)
{
	if (messages[msg->type] == NULL)
		return false;
	messages[msg->type](entry, msg);
	return true;
}

static void tick_sessions(entry_t *entry, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const job_t *job = value;

		if (job->session != NULL && !job->ended)
			entry_session_tick(job->session, now);
	}
}

/* Starts and expires waiting requests and drives the sessions' deadlines. */
void entry_model_tick(entry_t *entry, clock_ms_t now)
{
	if (entry->view != NULL && entry->view->preset != NULL)
		drain_queue(entry, now);
	tick_sessions(entry, now);
}

static void free_job(job_t *job)
{
	g_hash_table_remove(job->entry->jobs, &job->id);
	entry_session_free(job->session);
	request_drop(job->request);
	g_string_free(job->text, TRUE);
	explain_finish(&job->explain);
	g_free(job->customer);
	g_free(job);
}

/* Frees the jobs that ended in this turn of the loop. */
void entry_model_reap(entry_t *entry)
{
	for (guint i = 0; i < entry->ended_jobs->len; i++)
		free_job(g_ptr_array_index(entry->ended_jobs, i));
	g_ptr_array_set_size(entry->ended_jobs, 0);
}

/* Prepares the model side of "entry". */
void entry_model_init(entry_t *entry)
{
	retry_budget_init(&entry->retries, 0);
	entry->session_ops = (entry_session_ops_t){
		.send = op_send,
		.choose = op_choose,
		.replace = op_replace,
		.may_retry = op_may_retry,
		.deliver = op_deliver,
		.finished = op_finished,
		.refused = op_refused,
	};
}
