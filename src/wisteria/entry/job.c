/*
 * Life cycle of model requests on the entry's traffic thread, and what each
 * holds until it ends: links, endpoint slots and its admission under the
 * customer's contract.
 */
#include "wisteria/entry/job.h"

#include <stdio.h>

#include <sodium.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/table.h"
#include "wisteria/entry/request.h"
#include "wisteria/net/link.h"
#include "wisteria/trace/explain.h"
#include "wisteria/trace/trace.h"

/*
 * Returns the job of a session, or NULL if there is none.  A job that has ended
 * is found until it is freed.
 */
job_t *job_find(const entry_t *entry, uint64_t session)
{
	return g_hash_table_lookup(entry->jobs, &session);
}

static void hold_hop(entry_t *entry, const route_hop_t *hop)
{
	link_mark_busy(agent_links_get(&entry->links, hop->address));
	router_session_started(entry->router, hop->endpoint);
}

static void release_hop(entry_t *entry, const route_hop_t *hop)
{
	link_unmark_busy(agent_links_get(&entry->links, hop->address));
	router_session_finished(entry->router, hop->endpoint);
}

static void release_chain(job_t *job)
{
	for (size_t i = 0; i < job->chain.hop_count; i++)
		release_hop(job->entry, &job->chain.hops[i]);
	job->chain.hop_count = 0;
}

/* Holds the links and slots of "chain", and releases those held before. */
void job_hold_chain(job_t *job, const route_choice_t *chain)
{
	for (size_t i = 0; i < chain->hop_count; i++)
		hold_hop(job->entry, &chain->hops[i]);
	release_chain(job);
	job->chain = *chain;
}

/*
 * Holds the link and slot of "substitute", and releases those of the hop that
 * it replaces.
 */
void job_replace_hop(job_t *job, size_t hop, const route_hop_t *substitute)
{
	hold_hop(job->entry, substitute);
	release_hop(job->entry, &job->chain.hops[hop]);
	job->chain.hops[hop] = *substitute;
}

/*
 * Ends a job and releases what it holds; entry_model_free_ended() frees it at
 * the end of the current event-loop callback.
 */
void job_end(job_t *job)
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
	span_end(&job->span, entry->tracer);
	explain_log_add(&entry->explanations, &job->explain);
	g_ptr_array_add(entry->ended_jobs, job);
}

static clock_ms_t earlier(clock_ms_t a, clock_ms_t b)
{
	return a < b ? a : b;
}

static void start_span(job_t *job)
{
	const request_t *request = job->request;

	span_start_request(&job->span, request->traceparent, "request");
	span_add_text(&job->span, "request", request->id);
	span_add_text(&job->span, "customer", job->customer);
	span_add_text(&job->span, "model", request->model);
	trace_format_traceparent(&job->span.context, job->traceparent);
	span_start(&job->wait_span, &job->span.context, "entry_queue");
}

/* Creates the job of a request of the customer of "contract". */
job_t *job_new(entry_t *entry, request_t *request,
	       const preset_contract_t *contract)
{
	const preset_limits_t *limits = &entry->view->preset->limits;
	clock_ms_t now = clock_now(entry->net->clock);
	clock_ms_t time_limit_ms = limits->request_ms;
	job_t *job = g_new0(job_t, 1);

	if (request->timeout_ms > 0)
		time_limit_ms = earlier(time_limit_ms, request->timeout_ms);
	randombytes_buf(&job->id, sizeof(job->id));
	job->entry = entry;
	job->request = request_ref(request);
	job->customer = g_strdup(contract->customer);
	job->text = g_string_new(NULL);
	job->accepted_ms = now;
	job->deadline_ms = now + time_limit_ms;
	job->handle = table_add(&entry->job_handles);
	*(job_t **)table_get(&entry->job_handles, job->handle) = job;
	g_hash_table_insert(entry->jobs, &job->id, job);
	start_span(job);
	explain_init(&job->explain, request->id, now);
	explain_request(&job->explain, job->customer, request->model);
	explain_preset(&job->explain, entry->view->preset->name,
		       entry->view->revision, contract);
	return job;
}

/*
 * Returns whether the session of "job" receives events.  A detached one does
 * not: its agents keep the tokens until an entry takes the session over.
 */
bool job_has_active_session(const job_t *job)
{
	return job->session != NULL && !job->ended && !job->detached;
}

/*
 * Ends a job whose session continues under another job or entry.  Nothing is
 * sent to the agents, and the session id may be reused at once.
 */
void job_end_keep_session(job_t *job)
{
	GHashTable *jobs = job->entry->jobs;

	if (!job->detached)
		request_end_response(job->request);
	job_end(job);
	g_hash_table_remove(jobs, &job->id);
	randombytes_buf(&job->id, sizeof(job->id));
	g_hash_table_insert(jobs, &job->id, job);
}

/* Frees a job that has ended. */
void job_free(job_t *job)
{
	g_hash_table_remove(job->entry->jobs, &job->id);
	entry_session_free(job->session);
	request_unref(job->request);
	g_string_free(job->text, TRUE);
	explain_finish(&job->explain);
	g_free(job->customer);
	g_free(job);
}
