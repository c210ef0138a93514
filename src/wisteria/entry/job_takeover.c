/*
 * Streams that were begun through another entry: the caller's Last-Event-ID
 * names the session, the endpoint of its first hop and the last token that
 * came.  That endpoint's agent is asked for the session.
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

/* Longest wait for the agent's answer. */
#define JOB_TAKEOVER_MS 3000

/* Returns whether the caller wants a broken stream to go on. */
bool job_takeover_is_asked(const job_t *job)
{
	const request_t *request = job->request;

	return request->stream && request->last_event_id != NULL &&
	       request->last_event_id[0] != '\0';
}

/* What became of the stream is not known here: it is not "not run". */
static void refuse(job_t *job, const char *reason)
{
	entry_refusal_t refusal = { .not_run = false };

	err_set(&refusal.err, ERR_NOT_FOUND, "takeover",
		job->entry->net->instance, "%s", reason);
	job->taking_over = false;
	job_answer_refuse(job, &refusal);
}

/* Reads "SESSION.ENDPOINT.INDEX"; the endpoint's name may have dots. */
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

static void ask(job_t *job)
{
	const msg_takeover_t takeover = { job->id, job->customer };

	link_send(
		agent_links_get(&job->entry->links, job->chain.hops[0].address),
		MSG_TAKEOVER, &takeover);
}

static void hold_first_hop(job_t *job, const msg_endpoint_t *endpoint)
{
	route_choice_t chain = { .hop_count = 1 };

	g_strlcpy(chain.hops[0].endpoint, endpoint->name,
		  sizeof(chain.hops[0].endpoint));
	g_strlcpy(chain.hops[0].address, endpoint->address,
		  sizeof(chain.hops[0].address));
	job_hold_chain(job, &chain);
}

/* Asks for the session of an admitted job, which takes up its number. */
void job_takeover_start(job_t *job)
{
	entry_t *entry = job->entry;
	char name[ROUTER_NAME_BYTES];
	const msg_endpoint_t *endpoint;
	job_t *holder;
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
	holder = job_find(entry, session);
	if (holder != NULL && strcmp(holder->customer, job->customer) != 0) {
		refuse(job, "the stream is another customer's");
		return;
	}
	if (holder != NULL)
		job_forget(holder);
	g_hash_table_remove(entry->jobs, &job->id);
	job->id = session;
	g_hash_table_insert(entry->jobs, &job->id, job);
	job->taking_over = true;
	job->takeover_next = index + 1;
	job->takeover_ms = clock_now(entry->net->clock);
	hold_first_hop(job, endpoint);
	ask(job);
}

/* The link to an agent is open: asks those that could not be asked before. */
void job_takeover_on_agent_up(entry_t *entry, const char *address)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job_t *job = value;

		if (job->taking_over && !job->ended &&
		    strcmp(job->chain.hops[0].address, address) == 0)
			ask(job);
	}
}

static bool has_whole_answer(const msg_takeover_reply_t *reply, uint32_t next)
{
	return next > 0 && next == reply->open.token_count &&
	       reply->open.tokens[next - 1].last;
}

/* An agent has answered: the stream goes on, or nothing is known of it. */
void job_takeover_on_reply(entry_t *entry, const msg_takeover_reply_t *reply)
{
	job_t *job = job_find(entry, reply->session);

	if (job == NULL || !job->taking_over || job->ended)
		return;
	if (!job_session_adopt(job, reply)) {
		refuse(job, "nothing is known of the stream any more");
		return;
	}
	job->taking_over = false;
	LOG_INFO("stream_taken_over",
		 "request=%s session=%" G_GUINT64_FORMAT " next=%u",
		 job->request->id, job->id, job->takeover_next);
	if (!has_whole_answer(reply, job->takeover_next))
		return;
	entry_session_on_cancel(job->session, "finished");
	job_answer_finish(job);
}

/* Refuses what has waited for too long. */
void job_takeover_tick(entry_t *entry, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job_t *job = value;

		if (job->taking_over && !job->ended &&
		    now - job->takeover_ms >= JOB_TAKEOVER_MS)
			refuse(job, "the agent of the stream does not answer");
	}
}
