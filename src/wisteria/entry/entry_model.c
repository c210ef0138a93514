/*
 * Model requests on the entry's traffic thread: admission, the queue, and the
 * forwarding of messages and events to their sessions.
 */
#include "wisteria/entry/entry_model.h"

#include <stdio.h>
#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/table.h"
#include "wisteria/entry/job.h"
#include "wisteria/entry/job_answer.h"
#include "wisteria/entry/job_session.h"
#include "wisteria/entry/job_takeover.h"
#include "wisteria/settings/preset.h"
#include "wisteria/trace/explain.h"

/* How long a stream is kept for a disconnected caller to resume it. */
#define JOB_DETACHED_TIMEOUT_MS 10000

typedef void (*message_handler_t)(entry_t *entry, const msg_t *msg);

static void refuse_not_run(job_t *job, err_code_t code, const char *step,
			   const char *reason, clock_ms_t retry_after_ms)
{
	entry_refusal_t refusal = {
		.not_run = true,
		.retry_after_ms = retry_after_ms,
	};

	err_set(&refusal.err, code, step, job->entry->net->instance, "%s",
		reason);
	job_answer_refuse(job, &refusal);
}

/* Adds to the explanation, once per job, that no chain could be chosen. */
static void explain_no_chain_once(job_t *job, route_result_t result,
				  clock_ms_t now)
{
	if (!job->no_chain_explained)
		explain_no_chain(&job->explain, result, now);
	job->no_chain_explained = true;
}

/* Starts an admitted job; returns false if no chain can be chosen now. */
static bool try_start(job_t *job, clock_ms_t now)
{
	const route_request_t request = job_route_request(job, NULL);
	route_choice_t chain;
	route_result_t result;

	if (request.layers == 0)
		return false;
	if (job_takeover_is_requested(job)) {
		job->admitted = true;
		job_takeover_start(job);
		return true;
	}
	result = router_choose(job->entry->router, &request, now, &chain);
	if (result != ROUTE_FOUND) {
		explain_no_chain_once(job, result, now);
		return false;
	}
	job->admitted = true;
	explain_admitted(&job->explain, now);
	explain_chain_chosen(&job->explain, &chain, now);
	job_session_start(job, &chain);
	return true;
}

static admission_offer_t make_offer(const job_t *job)
{
	return (admission_offer_t){
		.customer = job->customer,
		.target = job->request->model,
		.request = job->handle,
		.deadline_ms = job->deadline_ms,
		.offered_ms = job->accepted_ms,
	};
}

static const char *const refusal_reasons[] = {
	[ADMISSION_REASON_NONE] = "not admitted",
	[ADMISSION_REASON_NO_CONTRACT] = "no contract under this preset",
	[ADMISSION_REASON_QUEUE_FULL] = "the queue is full",
	[ADMISSION_REASON_TOO_LATE] = "its turn would come too late",
};

/* Starts, requeues or refuses the job according to the answer of admission. */
static void apply_answer(job_t *job, admission_answer_t answer, clock_ms_t now)
{
	const admission_offer_t offer = make_offer(job);

	if (answer.result == ADMISSION_ADMITTED && !try_start(job, now))
		answer = admission_requeue(job->entry->admission, &offer, now);
	if (answer.result == ADMISSION_REFUSED)
		refuse_not_run(job, ERR_OVERLOAD, "admission",
			       refusal_reasons[answer.reason],
			       answer.retry_after_ms);
}

/* Starts queued jobs that may start now, and refuses those that expired. */
static void process_queue(entry_t *entry, clock_ms_t now)
{
	const admission_answer_t admitted = { .result = ADMISSION_ADMITTED };
	clock_ms_t retry_after_ms = 0;
	handle_t handle;
	job_t **job;

	while (admission_next(entry->admission, now, &handle)) {
		job = table_get(&entry->job_handles, handle);
		if (job != NULL)
			apply_answer(*job, admitted, now);
	}
	while (admission_expire(entry->admission, now, &handle,
				&retry_after_ms)) {
		job = table_get(&entry->job_handles, handle);
		if (job != NULL)
			refuse_not_run(*job, ERR_OVERLOAD, "queue",
				       "no chain of endpoints in time",
				       retry_after_ms);
	}
}

static void clamp_max_tokens(request_t *request, const preset_model_t *model)
{
	if (request->max_tokens == 0 || request->max_tokens > model->max_tokens)
		request->max_tokens = model->max_tokens;
}

/* Accepts a model request of the customer of "contract". */
void entry_model_accept(entry_t *entry, request_t *request,
			const preset_contract_t *contract)
{
	const preset_model_t *model =
		preset_find_model(entry->view->preset, request->model);
	clock_ms_t now = clock_now(entry->net->clock);
	job_t *job = job_new(entry, request, contract);
	admission_offer_t offer;
	admission_answer_t answer;

	if (model == NULL) {
		refuse_not_run(job, ERR_NOT_FOUND, "route",
			       "the preset in force has no such model", 0);
		return;
	}
	clamp_max_tokens(request, model);
	retry_budget_count_request(&entry->retry_budget);
	offer = make_offer(job);
	answer = admission_offer(entry->admission, &offer, now);
	if (answer.result == ADMISSION_QUEUED)
		explain_queued(&job->explain,
			       admission_queue_length(entry->admission), now);
	apply_answer(job, answer, now);
}

/* Ends a job and closes its session at the agents. */
static void cancel_job(job_t *job)
{
	if (job->session != NULL)
		entry_session_on_cancel(job->session, "the caller has gone");
	explain_cancelled(&job->explain, clock_now(job->entry->net->clock));
	job_end(job);
}

/*
 * Detaches a stream that has begun, so that its caller can resume it; cancels
 * any other job.
 */
static void detach_or_cancel(job_t *job)
{
	if (!job->request->stream || !job->response_started ||
	    job->session == NULL) {
		cancel_job(job);
		return;
	}
	job->detached = true;
	job->detached_ms = clock_now(job->entry->net->clock);
}

/* Handles a request whose caller has disconnected. */
void entry_model_on_cancel(entry_t *entry, const request_t *request)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job_t *job = value;

		if (job->request != request || job->ended || job->detached)
			continue;
		counter_add(COUNTER_CALLERS_GONE, 1);
		detach_or_cancel(job);
		return;
	}
}

typedef void (*agent_event_handler_t)(entry_session_t *session,
				      const char *address, clock_ms_t now);

static void notify_sessions(entry_t *entry, const char *address,
			    agent_event_handler_t handler)
{
	clock_ms_t now = clock_now(entry->net->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const job_t *job = value;

		if (job_has_active_session(job))
			handler(job->session, address, now);
	}
}

/*
 * Notifies the sessions and pending takeovers that the link to an agent opened.
 */
void entry_model_on_agent_up(entry_t *entry, const char *address)
{
	notify_sessions(entry, address, entry_session_on_agent_up);
	job_takeover_on_agent_up(entry, address);
}

/* Notifies the sessions that the link to an agent was lost. */
void entry_model_on_agent_down(entry_t *entry, const char *address)
{
	notify_sessions(entry, address, entry_session_on_agent_down);
}

/* Applies the limits, contracts and revision of a new view. */
void entry_model_on_new_view(entry_t *entry)
{
	const view_t *view = entry->view;
	GHashTableIter iter;
	gpointer value;

	if (view->preset == NULL)
		return;
	retry_budget_set_percent(&entry->retry_budget,
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
	const job_t *job = job_find(entry, reply->session);
	clock_ms_t now = clock_now(entry->net->clock);

	router_record_load(entry->router, &reply->load, now);
	if (job != NULL && job_has_active_session(job))
		entry_session_on_open_reply(job->session, reply, now);
}

static void on_tokens(entry_t *entry, const msg_t *msg)
{
	const msg_tokens_t *tokens = msg->body;
	const job_t *job = job_find(entry, tokens->session);
	clock_ms_t now = clock_now(entry->net->clock);

	router_record_load(entry->router, &tokens->load, now);
	if (job != NULL && job_has_active_session(job))
		entry_session_on_tokens(job->session, tokens, now);
}

static void on_session_failed(entry_t *entry, const msg_t *msg)
{
	const msg_session_failed_t *failed = msg->body;
	job_t *job = job_find(entry, failed->session);

	if (job == NULL || job->session == NULL || job->ended)
		return;
	if (strcmp(failed->step, SESSION_FAILED_STEP_TAKEOVER) == 0) {
		job_end_keep_session(job);
		return;
	}
	if (job->detached)
		return;
	snprintf(job->fail_reason, sizeof(job->fail_reason), "%s",
		 failed->reason);
	entry_session_on_failed(job->session, failed,
				clock_now(entry->net->clock));
}

static void on_takeover_reply(entry_t *entry, const msg_t *msg)
{
	job_takeover_on_reply(entry, msg->body);
}

static const message_handler_t message_handlers[MSG_TYPE_COUNT] = {
	[MSG_OPEN_REPLY] = on_open_reply,
	[MSG_TOKENS] = on_tokens,
	[MSG_SESSION_FAILED] = on_session_failed,
	[MSG_TAKEOVER_REPLY] = on_takeover_reply,
};

/* Handles a message about a model request; returns false for other types. */
bool entry_model_on_message(entry_t *entry, const msg_t *msg)
{
	if (message_handlers[msg->type] == NULL)
		return false;
	message_handlers[msg->type](entry, msg);
	return true;
}

static void tick_job(job_t *job, clock_ms_t now)
{
	if (job_has_active_session(job))
		entry_session_tick(job->session, now);
	else if (job->detached && !job->ended &&
		 now - job->detached_ms >= JOB_DETACHED_TIMEOUT_MS)
		cancel_job(job);
}

static void tick_jobs(entry_t *entry, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		tick_job(value, now);
}

/* Starts and expires queued requests, and runs the timers of the sessions. */
void entry_model_tick(entry_t *entry, clock_ms_t now)
{
	if (entry->view != NULL && entry->view->preset != NULL)
		process_queue(entry, now);
	tick_jobs(entry, now);
	job_takeover_tick(entry, now);
}

/* Frees the jobs that ended during the current event-loop callback. */
void entry_model_free_ended(entry_t *entry)
{
	for (guint i = 0; i < entry->ended_jobs->len; i++)
		job_free(g_ptr_array_index(entry->ended_jobs, i));
	g_ptr_array_set_size(entry->ended_jobs, 0);
}

/* Initializes what "entry" needs for model requests. */
void entry_model_init(entry_t *entry)
{
	retry_budget_init(&entry->retry_budget, 0);
	job_session_init(entry);
}
