/*
 * Resumes interrupted streams, also those begun through another entry: the
 * caller's Last-Event-ID names the session, the endpoint of its first hop and
 * the last token received.  The session is requested from that endpoint's
 * agent.
 */
#include "wisteria/entry/job_takeover.h"

#include <stdlib.h>
#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/entry/job.h"
#include "wisteria/entry/job_answer.h"
#include "wisteria/entry/job_session.h"
#include "wisteria/net/link.h"

/* Longest wait for the agent's reply. */
#define JOB_TAKEOVER_TIMEOUT_MS 3000

/* Returns whether the caller asks to resume an interrupted stream. */
bool job_takeover_is_requested(const job_t *job)
{
	const request_t *request = job->request;

	return request->stream && request->last_event_id != NULL &&
	       request->last_event_id[0] != '\0';
}

/*
 * Refuses a job, but not as "not run": the state of the stream is unknown here.
 */
static void refuse(job_t *job, const char *reason)
{
	entry_refusal_t refusal = { .not_run = false };

	err_set(&refusal.err, ERR_NOT_FOUND, "takeover",
		job->entry->net->instance, "%s", reason);
	job->takeover_pending = false;
	job_answer_refuse(job, &refusal);
}

/* Parses "SESSION.ENDPOINT.INDEX"; the endpoint name may contain dots. */
static bool parse_event_id(const char *text, uint64_t *session, char *endpoint,
			   size_t endpoint_size, uint32_t *index)
{
	const char *first = strchr(text, '.');
	const char *last = strrchr(text, '.');
	char *number;
	guint64 value;
	bool parsed;

	if (first == NULL || first == last ||
	    (size_t)(last - first) > endpoint_size)
		return false;
	number = g_strndup(text, (gsize)(first - text));
	parsed = g_ascii_string_to_unsigned(number, 16, 0, UINT64_MAX, session,
					    NULL) &&
		 g_ascii_string_to_unsigned(last + 1, 10, 0, UINT32_MAX - 1,
					    &value, NULL);
	g_free(number);
	if (!parsed)
		return false;
	*index = (uint32_t)value;
	g_strlcpy(endpoint, first + 1, (gsize)(last - first));
	return true;
}

static const msg_endpoint_t *find_endpoint(const view_t *view, const char *name)
{
	for (size_t i = 0; i < view->endpoint_count; i++)
		if (strcmp(view->endpoints[i].name, name) == 0)
			return &view->endpoints[i];
	return NULL;
}

static void send_takeover(job_t *job)
{
	const msg_takeover_t takeover = { job->id, job->customer };

	link_send(
		agent_links_get(&job->entry->links, job->chain.hops[0].address),
		MSG_TAKEOVER, &takeover);
}

/*
 * Makes the endpoint the only hop of the job until the agent replies: its link
 * and slot are held, and job_takeover_on_agent_up() finds the job by its
 * address.
 */
static void hold_first_hop(job_t *job, const msg_endpoint_t *endpoint)
{
	route_choice_t chain = { .hop_count = 1 };

	g_strlcpy(chain.hops[0].endpoint, endpoint->name,
		  sizeof(chain.hops[0].endpoint));
	g_strlcpy(chain.hops[0].address, endpoint->address,
		  sizeof(chain.hops[0].address));
	job_hold_chain(job, &chain);
}

/*
 * Requests the session that an admitted job resumes; the job gets its id.  If
 * an earlier job of this entry has the session, that job is ended.
 */
void job_takeover_start(job_t *job)
{
	entry_t *entry = job->entry;
	char name[ROUTER_NAME_BYTES];
	const msg_endpoint_t *endpoint;
	job_t *previous_job;
	uint64_t session;
	uint32_t index;

	if (!parse_event_id(job->request->last_event_id, &session, name,
			    sizeof(name), &index)) {
		refuse(job, "not an event id of this system");
		return;
	}
	endpoint = find_endpoint(entry->view, name);
	if (endpoint == NULL) {
		refuse(job, "the endpoint of the stream is gone");
		return;
	}
	previous_job = job_find(entry, session);
	if (previous_job != NULL &&
	    strcmp(previous_job->customer, job->customer) != 0) {
		refuse(job, "the stream is another customer's");
		return;
	}
	if (previous_job != NULL)
		job_end_keep_session(previous_job);
	g_hash_table_remove(entry->jobs, &job->id);
	job->id = session;
	g_hash_table_insert(entry->jobs, &job->id, job);
	job->takeover_pending = true;
	job->takeover_next_token = index + 1;
	job->takeover_started_ms = clock_now(entry->net->clock);
	hold_first_hop(job, endpoint);
	send_takeover(job);
}

/*
 * Sends the requests of pending takeovers to the agent at "address", whose link
 * has opened; those sent over an earlier connection may have been lost.
 */
void job_takeover_on_agent_up(entry_t *entry, const char *address)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job_t *job = value;

		if (job->takeover_pending && !job->ended &&
		    strcmp(job->chain.hops[0].address, address) == 0)
			send_takeover(job);
	}
}

static bool has_whole_answer(const msg_takeover_reply_t *reply, uint32_t next)
{
	return next > 0 && next == reply->open.token_count &&
	       reply->open.tokens[next - 1].last;
}

/*
 * Handles the reply of an agent: resumes the stream.  If the caller already has
 * the whole answer, closes the session at the agents and ends the job.  Refuses
 * the job if job_session_resume() fails.
 */
void job_takeover_on_reply(entry_t *entry, const msg_takeover_reply_t *reply)
{
	job_t *job = job_find(entry, reply->session);

	if (job == NULL || !job->takeover_pending || job->ended)
		return;
	if (!job_session_resume(job, reply)) {
		refuse(job, "nothing is known of the stream any more");
		return;
	}
	job->takeover_pending = false;
	LOG_INFO("stream_taken_over",
		 "request=%s session=%" G_GUINT64_FORMAT " next=%u",
		 job->request->id, job->id, job->takeover_next_token);
	if (!has_whole_answer(reply, job->takeover_next_token))
		return;
	entry_session_on_cancel(job->session, "finished");
	job_answer_finish(job);
}

/* Refuses the jobs whose takeover has timed out. */
void job_takeover_tick(entry_t *entry, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job_t *job = value;

		if (job->takeover_pending && !job->ended &&
		    now - job->takeover_started_ms >= JOB_TAKEOVER_TIMEOUT_MS)
			refuse(job, "the agent of the stream does not answer");
	}
}
