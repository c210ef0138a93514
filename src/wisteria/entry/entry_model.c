/*
 * Model requests on the entry's traffic thread: admission, the queue, and the
 * way of messages and events to their sessions.
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

/* How long a stream waits for a caller that has gone. */
#define JOB_DETACHED_MS 10000

typedef void (*model_message_t)(entry_t *entry, const msg_t *msg);

static void refuse_waiting(job_t *job, err_code_t code, const char *step,
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
	const route_request_t request = job_route_request(job, NULL);
	route_choice_t chain;
	route_result_t result;

	if (request.layers == 0)
		return false;
	if (job_takeover_is_asked(job)) {
		job->admitted = true;
		job_takeover_start(job);
		return true;
	}
	result = router_choose(job->entry->router, &request, now, &chain);
	if (result != ROUTE_FOUND) {
		note_no_chain(job, result, now);
		return false;
	}
	job->admitted = true;
	explain_admitted(&job->explain, now);
	explain_chose(&job->explain, &chain, now);
	job_session_start(job, &chain);
	return true;
}

static admission_offer_t offer_of(const job_t *job)
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

/* Starts the job, queues it or refuses it, as admission answered. */
static void act_on(job_t *job, admission_answer_t answer, clock_ms_t now)
{
	const admission_offer_t offer = offer_of(job);

	if (answer.result == ADMISSION_ADMITTED && !try_start(job, now))
		answer = admission_requeue(job->entry->admission, &offer, now);
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
	job_t *job = job_new(entry, request, contract);
	admission_offer_t offer;
	admission_answer_t answer;

	if (model == NULL) {
		refuse_waiting(job, ERR_NOT_FOUND, "route",
			       "the preset in force has no such model", 0);
		return;
	}
	bound_tokens(request, model);
	retry_budget_count_request(&entry->retries);
	offer = offer_of(job);
	answer = admission_offer(entry->admission, &offer, now);
	if (answer.result == ADMISSION_QUEUED)
		explain_queued(&job->explain,
			       admission_queue_length(entry->admission), now);
	act_on(job, answer, now);
}

/* Ends a job for good, and its session at the agents. */
static void cancel_job(job_t *job)
{
	if (job->session != NULL)
		entry_session_on_cancel(job->session, "the caller has gone");
	explain_cancelled(&job->explain, clock_now(job->entry->net->clock));
	job_end(job);
}

/* A stream that has begun waits for its caller to pick it up again. */
static void lose_caller(job_t *job)
{
	if (!job->request->stream || !job->answering || job->session == NULL) {
		cancel_job(job);
		return;
	}
	job->detached = true;
	job->detached_ms = clock_now(job->entry->net->clock);
}

/* The caller of a request has gone. */
void entry_model_cancel(entry_t *entry, const request_t *request)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job_t *job = value;

		if (job->request != request || job->ended || job->detached)
			continue;
		counter_add(COUNTER_CALLERS_GONE, 1);
		lose_caller(job);
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

		if (job_is_driven(job))
			event(job->session, address, now);
	}
}

/* Tells the sessions that the link to an agent opened. */
void entry_model_agent_up(entry_t *entry, const char *address)
{
	tell_sessions(entry, address, entry_session_on_agent_up);
	job_takeover_on_agent_up(entry, address);
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
	const job_t *job = job_find(entry, reply->session);
	clock_ms_t now = clock_now(entry->net->clock);

	router_record_load(entry->router, &reply->load, now);
	if (job != NULL && job_is_driven(job))
		entry_session_on_open_reply(job->session, reply, now);
}

static void on_tokens(entry_t *entry, const msg_t *msg)
{
	const msg_tokens_t *tokens = msg->body;
	const job_t *job = job_find(entry, tokens->session);
	clock_ms_t now = clock_now(entry->net->clock);

	router_record_load(entry->router, &tokens->load, now);
	if (job != NULL && job_is_driven(job))
		entry_session_on_tokens(job->session, tokens, now);
}

static void on_session_failed(entry_t *entry, const msg_t *msg)
{
	const msg_session_failed_t *failed = msg->body;
	job_t *job = job_find(entry, failed->session);

	if (job == NULL || job->session == NULL || job->ended)
		return;
	if (strcmp(failed->step, MSG_STEP_TAKEOVER) == 0) {
		job_forget(job);
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

static const model_message_t messages[MSG_TYPE_COUNT] = {
	[MSG_OPEN_REPLY] = on_open_reply,
	[MSG_TOKENS] = on_tokens,
	[MSG_SESSION_FAILED] = on_session_failed,
	[MSG_TAKEOVER_REPLY] = on_takeover_reply,
};

/* Takes a message that concerns model requests; returns whether it did. */
bool entry_model_message(entry_t *entry, const msg_t *msg)
{
	if (messages[msg->type] == NULL)
		return false;
	messages[msg->type](entry, msg);
	return true;
}

static void tick_job(job_t *job, clock_ms_t now)
{
	if (job_is_driven(job))
		entry_session_tick(job->session, now);
	else if (job->detached && !job->ended &&
		 now - job->detached_ms >= JOB_DETACHED_MS)
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

/* Starts and expires waiting requests and drives the sessions' deadlines. */
void entry_model_tick(entry_t *entry, clock_ms_t now)
{
	if (entry->view != NULL && entry->view->preset != NULL)
		drain_queue(entry, now);
	tick_jobs(entry, now);
	job_takeover_tick(entry, now);
}

/* Frees the jobs that ended in this turn of the loop. */
void entry_model_reap(entry_t *entry)
{
	for (guint i = 0; i < entry->ended_jobs->len; i++)
		job_free(g_ptr_array_index(entry->ended_jobs, i));
	g_ptr_array_set_size(entry->ended_jobs, 0);
}

/* Prepares the model side of "entry". */
void entry_model_init(entry_t *entry)
{
	retry_budget_init(&entry->retries, 0);
	job_session_init(entry);
}
