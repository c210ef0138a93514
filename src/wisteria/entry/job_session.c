/*
 * Callbacks of the sessions of model requests, which connect them to the
 * agents' links, the router, the retry budget and the caller.
 */
#include "wisteria/entry/job_session.h"

#include <stdio.h>
#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/entry/job.h"
#include "wisteria/entry/job_answer.h"
#include "wisteria/net/link.h"
#include "wisteria/settings/preset.h"
#include "wisteria/trace/explain.h"
#include "wisteria/trace/trace.h"

/* Recoveries of one request that are not charged to the retry budget. */
#define JOB_UNBUDGETED_RECOVERIES 2

static job_t *find_job(entry_session_ops_t *ops, const entry_session_t *session)
{
	return job_find(CONTAINER_OF(ops, entry_t, session_ops),
			entry_session_params(session)->session);
}

static uint32_t model_layers(const entry_t *entry, const char *name)
{
	const preset_model_t *model;

	if (entry->view == NULL || entry->view->preset == NULL)
		return 0;
	model = preset_find_model(entry->view->preset, name);
	return model == NULL ? 0 : model->layers;
}

/*
 * Returns the request to the router for "job", which avoids the endpoint
 * "failed" (may be NULL).
 */
route_request_t job_route_request(const job_t *job, const char *failed)
{
	route_request_t request = {
		.target = job->request->model,
		.layers = model_layers(job->entry, job->request->model),
		.expected_tokens = job->request->max_tokens,
	};

	if (failed != NULL && failed[0] != '\0')
		request.avoid[request.avoid_count++] = failed;
	return request;
}

static void explain_lost_endpoint(job_t *job, const char *endpoint,
				  clock_ms_t now)
{
	explain_endpoint_lost(
		&job->explain, endpoint,
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
	job_t *job = find_job(ops, session);
	entry_t *entry = job->entry;
	clock_ms_t now = clock_now(entry->net->clock);
	const route_request_t request = job_route_request(job, failed);
	route_result_t result;

	if (failed != NULL && failed[0] != '\0') {
		router_record_failure(entry->router, failed, now);
		explain_lost_endpoint(job, failed, now);
	}
	result = router_choose(entry->router, &request, now, choice);
	if (result != ROUTE_FOUND) {
		explain_no_chain(&job->explain, result, now);
		return result;
	}
	explain_retried(&job->explain, job->delivered, now);
	explain_chain_chosen(&job->explain, choice, now);
	job_hold_chain(job, choice);
	return result;
}

static route_result_t op_replace(entry_session_ops_t *ops,
				 entry_session_t *session, size_t lost_hop,
				 route_hop_t *replacement)
{
	job_t *job = find_job(ops, session);
	entry_t *entry = job->entry;
	clock_ms_t now = clock_now(entry->net->clock);
	const char *failed = job->chain.hops[lost_hop].endpoint;
	const route_request_t request = job_route_request(job, failed);
	route_result_t result;

	router_record_failure(entry->router, failed, now);
	explain_lost_endpoint(job, failed, now);
	result = router_choose_replacement(entry->router, &request, &job->chain,
					   lost_hop, now, replacement);
	if (result != ROUTE_FOUND) {
		explain_no_chain(&job->explain, result, now);
		return result;
	}
	explain_endpoint_replaced(&job->explain, failed, replacement,
				  job->delivered, now);
	job_replace_hop(job, lost_hop, replacement);
	return result;
}

/*
 * The first JOB_UNBUDGETED_RECOVERIES recoveries of a request are always
 * allowed; further ones are charged to the entry's retry budget, so that
 * retries do not multiply the load of an outage.
 */
static bool op_may_retry(entry_session_ops_t *ops, entry_session_t *session)
{
	entry_t *entry = CONTAINER_OF(ops, entry_t, session_ops);
	job_t *job = find_job(ops, session);

	if (job->recoveries++ < JOB_UNBUDGETED_RECOVERIES)
		return true;
	if (retry_budget_take(&entry->retry_budget))
		return true;
	explain_not_retried(&job->explain,
			    "this entry's retry budget is used up",
			    clock_now(entry->net->clock));
	return false;
}

static void op_deliver(entry_session_ops_t *ops, entry_session_t *session,
		       const msg_token_t *tokens, size_t count)
{
	job_answer_tokens(find_job(ops, session), tokens, count);
}

static void op_finished(entry_session_ops_t *ops, entry_session_t *session)
{
	job_answer_finish(find_job(ops, session));
}

static void op_refused(entry_session_ops_t *ops, entry_session_t *session,
		       const entry_refusal_t *refusal)
{
	job_answer_refuse(find_job(ops, session), refusal);
}

static entry_session_params_t session_params(const job_t *job)
{
	const entry_t *entry = job->entry;
	const preset_t *preset = entry->view->preset;
	const preset_contract_t *contract =
		preset_find_contract(preset, job->customer);

	return (entry_session_params_t){
		.session = job->id,
		.request_id = job->request->id,
		.customer = job->customer,
		.model = job->request->model,
		.prompt = job->request->prompt,
		.traceparent = job->traceparent,
		.layers = model_layers(entry, job->request->model),
		.priority = contract == NULL ? 0 : contract->priority,
		.max_tokens = job->request->max_tokens,
		.revision = entry->view->revision,
		.deadline_ms = job->deadline_ms,
		.recovery = preset->recovery,
	};
}

/* Starts the session of an admitted job on "chain". */
void job_session_start(job_t *job, const route_choice_t *chain)
{
	entry_t *entry = job->entry;
	const entry_session_params_t params = session_params(job);

	job->session = entry_session_new(&params, &entry->session_ops);
	span_end(&job->wait_span, entry->tracer);
	job_hold_chain(job, chain);
	entry_session_start(job->session, chain, clock_now(entry->net->clock));
}

/*
 * Resumes a session that another entry or an earlier job of this entry began,
 * from the first token that the caller lacks.  Returns false if the agent did
 * not find the session or it is another customer's, if its chain is invalid, or
 * if it has fewer tokens than the caller.
 */
bool job_session_resume(job_t *job, const msg_takeover_reply_t *reply)
{
	entry_t *entry = job->entry;
	const entry_session_params_t params = session_params(job);

	job->session = entry_session_new_from_takeover(
		&params, reply, job->takeover_next_token, &entry->session_ops,
		clock_now(entry->net->clock));
	if (job->session == NULL)
		return false;
	span_end(&job->wait_span, entry->tracer);
	job_hold_chain(job, entry_session_chain(job->session));
	return true;
}

/* Sets the callbacks of the sessions of "entry". */
void job_session_init(entry_t *entry)
{
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
