/*
 * The entry's side of one model request.  An attempt opens every hop of its
 * chain, starts it once all have accepted, and delivers its tokens in order.
 * A lost hop ends the attempt; a new one, with a higher number, goes on after
 * the tokens already delivered: either on a new chain (restart) or on the
 * same one with the lost hop replaced (replay).
 */
#include "wisteria/session/entry_session.h"

#include <string.h>

#include <glib.h>

#include "wisteria/base/err.h"
#include "wisteria/session/entry_session_internal.h"

/* Time for a lost connection to come back before its hop counts as lost. */
#define ENTRY_DOWN_MS 300
/* Longest wait for the answers to MSG_OPEN. */
#define ENTRY_OPEN_MS 2000
/* Longest wait for a chain to become possible again, and how often to ask. */
#define ENTRY_CHOOSE_MS 5000
#define ENTRY_CHOOSE_INTERVAL_MS 50

static char *copy_text(const char *text)
{
	return g_strdup(text == NULL ? "" : text);
}

/* Creates a session that has not begun; "params" is copied. */
entry_session_t *entry_session_new(const entry_session_params_t *params,
				   entry_session_ops_t *ops)
{
	entry_session_t *session = g_new0(entry_session_t, 1);

	session->ops = ops;
	session->params = *params;
	session->params.request_id = copy_text(params->request_id);
	session->params.customer = copy_text(params->customer);
	session->params.model = copy_text(params->model);
	session->params.prompt = copy_text(params->prompt);
	session->params.traceparent = copy_text(params->traceparent);
	session->tokens = g_ptr_array_new_with_free_func(g_free);
	return session;
}

static void adopt_chain(entry_session_t *session, const msg_open_t *open)
{
	route_choice_t *chain = &session->chain;

	chain->hop_count = open->hop_count;
	for (size_t i = 0; i < open->hop_count; i++) {
		route_hop_t *hop = &chain->hops[i];

		g_strlcpy(hop->endpoint, open->hops[i].endpoint,
			  sizeof(hop->endpoint));
		g_strlcpy(hop->address, open->hops[i].address,
			  sizeof(hop->address));
		hop->incarnation = open->hops[i].incarnation;
		hop->first_layer = open->hops[i].first_layer;
		hop->end_layer = open->hops[i].end_layer;
		session->hops[i] = (entry_hop_t){ .accepted = true,
						  .up_to_date = true,
						  .down_ms = CLOCK_NEVER_MS };
	}
}

/*
 * Creates a running session from what its first hop says of it, for a caller
 * that has the tokens below "next".  What is in both, "params" is right for
 * the limits and "reply" for the rest.  Returns NULL if the session was not
 * found or does not have that many tokens.
 */
entry_session_t *entry_session_adopt(const entry_session_params_t *params,
				     const msg_takeover_reply_t *reply,
				     uint32_t next, entry_session_ops_t *ops,
				     clock_ms_t now)
{
	const msg_open_t *open = &reply->open;
	entry_session_params_t merged = *params;
	entry_session_t *session;

	if (!reply->found || next > open->token_count || open->hop_count == 0 ||
	    open->hop_count > ROUTER_HOPS_MAX)
		return NULL;
	merged.session = reply->session;
	merged.model = open->model;
	merged.prompt = open->prompt;
	merged.max_tokens = open->max_tokens;
	session = entry_session_new(&merged, ops);
	session->attempt = open->attempt;
	session->attempt_floor = reply->next_attempt;
	session->ever_started = true;
	session->progress_ms = now;
	session->seeking_ms = now;
	for (uint32_t i = 0; i < next; i++)
		g_ptr_array_add(session->tokens,
				g_strdup(open->tokens[i].text));
	adopt_chain(session, open);
	entry_enter(session, ENTRY_RUNNING, now);
	for (size_t i = 0; i < open->hop_count; i++)
		entry_send_next(session, i, MSG_RESUME);
	entry_send_start(session);
	return session;
}

/* Frees a session; says nothing to the agents. */
void entry_session_free(entry_session_t *session)
{
	if (session == NULL)
		return;
	g_free((char *)session->params.request_id);
	g_free((char *)session->params.customer);
	g_free((char *)session->params.model);
	g_free((char *)session->params.prompt);
	g_free((char *)session->params.traceparent);
	g_ptr_array_free(session->tokens, TRUE);
	g_free(session);
}

/* Returns what the session was made from. */
const entry_session_params_t *
entry_session_params(const entry_session_t *session)
{
	return &session->params;
}

/* Returns the number of the present attempt; the first is 1. */
uint32_t entry_session_attempt(const entry_session_t *session)
{
	return session->attempt;
}

/* Returns the chain of the present attempt; no hops while one is sought. */
const route_choice_t *entry_session_chain(const entry_session_t *session)
{
	return &session->chain;
}

/*
 * Sets the configuration revision under which later attempts are opened; the
 * owner calls it whenever it chooses or replaces.
 */
void entry_session_set_revision(entry_session_t *session, uint64_t revision)
{
	session->params.revision = revision;
}

/* Begins the first attempt on "chain". */
void entry_session_start(entry_session_t *session, const route_choice_t *chain,
			 clock_ms_t now)
{
	session->chain = *chain;
	session->seeking_ms = now;
	entry_open_chain(session, now);
}

static bool all_accepted(const entry_session_t *session)
{
	for (size_t i = 0; i < session->chain.hop_count; i++)
		if (!session->hops[i].accepted)
			return false;
	return true;
}

static void begin_run(entry_session_t *session, clock_ms_t now)
{
	entry_enter(session, ENTRY_RUNNING, now);
	session->progress_ms = now;
	session->refusals = 0;
	entry_send_start(session);
}

/* The substitute has a slot: the others are told of the new chain. */
static void take_substitute(entry_session_t *session, clock_ms_t now)
{
	entry_enter(session, ENTRY_RUNNING, now);
	session->progress_ms = now;
	session->refusals = 0;
	for (size_t i = 0; i < session->chain.hop_count; i++) {
		if (i == session->replaced)
			continue;
		session->hops[i].up_to_date = false;
		entry_send_reroute(session, i);
	}
	if (session->replaced == 0)
		entry_send_start(session);
}

/* A hop has reserved its slot or taken the new chain, or refused to. */
void entry_session_on_open_reply(entry_session_t *session,
				 const msg_open_reply_t *reply, clock_ms_t now)
{
	entry_hop_t *hop;

	if (reply->attempt != session->attempt ||
	    reply->hop >= session->chain.hop_count)
		return;
	if (session->state != ENTRY_OPENING &&
	    session->state != ENTRY_REPLACING &&
	    session->state != ENTRY_RUNNING)
		return;
	if (reply->refusal != REFUSAL_NONE) {
		entry_take_refusal(session, reply, now);
		return;
	}
	hop = &session->hops[reply->hop];
	hop->accepted = true;
	if (session->state == ENTRY_RUNNING)
		hop->up_to_date = true;
	else if (session->state == ENTRY_OPENING && all_accepted(session))
		begin_run(session, now);
	else if (session->state == ENTRY_REPLACING &&
		 reply->hop == session->replaced)
		take_substitute(session, now);
}

static void finish(entry_session_t *session, clock_ms_t now)
{
	entry_send_close(session, "finished");
	entry_enter(session, ENTRY_ENDED, now);
	session->ops->finished(session->ops, session);
}

/* Delivers the tokens that are next; returns whether the last was among. */
static bool deliver(entry_session_t *session, const msg_tokens_t *tokens,
		    clock_ms_t now)
{
	bool last = false;

	for (size_t i = 0; i < tokens->token_count; i++) {
		const msg_token_t *token = &tokens->tokens[i];

		if (token->index != session->tokens->len || last)
			continue;
		g_ptr_array_add(session->tokens, g_strdup(token->text));
		last = token->last;
		session->progress_ms = now;
		session->ops->deliver(session->ops, session, token, 1);
		if (session->state == ENTRY_ENDED)
			return false;
	}
	return last;
}

/*
 * Tokens came.  Those of another attempt or delivered before are dropped; a
 * gap is asked for again.  The owner must not free the session in deliver().
 */
void entry_session_on_tokens(entry_session_t *session,
			     const msg_tokens_t *tokens, clock_ms_t now)
{
	if (tokens->attempt != session->attempt ||
	    session->state != ENTRY_RUNNING || tokens->token_count == 0)
		return;
	if (tokens->tokens[0].index > session->tokens->len) {
		entry_send_next(session, 0, MSG_RESUME);
		return;
	}
	if (deliver(session, tokens, now))
		finish(session, now);
	else if (session->state == ENTRY_RUNNING)
		entry_send_next(session, 0, MSG_TOKENS_ACK);
}

/* An agent says that the attempt can't go on. */
void entry_session_on_failed(entry_session_t *session,
			     const msg_session_failed_t *failed, clock_ms_t now)
{
	if (failed->attempt != session->attempt ||
	    failed->hop >= session->chain.hop_count)
		return;
	if (session->state != ENTRY_OPENING &&
	    session->state != ENTRY_RUNNING &&
	    session->state != ENTRY_REPLACING)
		return;
	entry_lose_hop(session, failed->hop, failed->step, failed->reason, now);
}

static void catch_up_hop(entry_session_t *session, size_t hop, clock_ms_t now)
{
	if (!session->hops[hop].accepted && session->state != ENTRY_RUNNING) {
		entry_send_open(session, hop, now);
		return;
	}
	if (session->state == ENTRY_REPLACING)
		return;
	if (!session->hops[hop].up_to_date)
		entry_send_reroute(session, hop);
	else if (session->state == ENTRY_RUNNING)
		entry_send_next(session, hop, MSG_RESUME);
	if (hop == 0 && session->state == ENTRY_RUNNING)
		entry_send_start(session);
}

/* The connection to an agent is open: sends again what may be lost. */
void entry_session_on_agent_up(entry_session_t *session, const char *address,
			       clock_ms_t now)
{
	if (session->state == ENTRY_ENDED)
		return;
	for (size_t i = 0; i < session->chain.hop_count; i++) {
		if (strcmp(session->chain.hops[i].address, address) != 0)
			continue;
		session->hops[i].down_ms = CLOCK_NEVER_MS;
		catch_up_hop(session, i, now);
	}
}

/* The connection to an agent was lost. */
void entry_session_on_agent_down(entry_session_t *session, const char *address,
				 clock_ms_t now)
{
	for (size_t i = 0; i < session->chain.hop_count; i++)
		if (strcmp(session->chain.hops[i].address, address) == 0 &&
		    session->hops[i].down_ms == CLOCK_NEVER_MS)
			session->hops[i].down_ms = now;
}

/* The caller has gone: ends the session without a further callback. */
void entry_session_on_cancel(entry_session_t *session, const char *reason)
{
	if (session->state == ENTRY_ENDED)
		return;
	entry_send_close(session, reason);
	session->state = ENTRY_ENDED;
}

/* Returns a hop that is lost by now, or the number of hops. */
static size_t find_lost_hop(const entry_session_t *session, clock_ms_t now)
{
	for (size_t i = 0; i < session->chain.hop_count; i++) {
		clock_ms_t since = session->hops[i].down_ms;

		if (since == CLOCK_NEVER_MS)
			continue;
		if (session->state == ENTRY_RUNNING)
			since = MAX(since, session->progress_ms);
		if (now - since >= ENTRY_DOWN_MS)
			return i;
	}
	return session->chain.hop_count;
}

static void check_hops(entry_session_t *session, clock_ms_t now)
{
	size_t lost = find_lost_hop(session, now);

	if (lost < session->chain.hop_count) {
		entry_lose_hop(session, lost, "connect", "no connection", now);
		return;
	}
	if (session->state == ENTRY_RUNNING ||
	    now - session->state_ms < ENTRY_OPEN_MS)
		return;
	for (size_t i = 0; i < session->chain.hop_count; i++)
		if (!session->hops[i].accepted) {
			entry_lose_hop(session, i, "open", "no answer", now);
			return;
		}
}

/*
 * Asks for a chain again.  A request that has not run waits for a free slot
 * until its deadline; otherwise the wait for a chain is bounded.
 */
static void check_choice(entry_session_t *session, clock_ms_t now)
{
	if (now - session->chosen_ms < ENTRY_CHOOSE_INTERVAL_MS)
		return;
	if (entry_choose(session, now))
		return;
	if (session->route == ROUTE_FULL && !session->ever_started)
		return;
	if (now - session->seeking_ms >= ENTRY_CHOOSE_MS)
		entry_refuse(session, now);
}

/* Acts on what is due; called several times in ENTRY_DOWN_MS. */
void entry_session_tick(entry_session_t *session, clock_ms_t now)
{
	if (session->state == ENTRY_ENDED || session->state == ENTRY_IDLE)
		return;
	if (now >= session->params.deadline_ms) {
		err_set(&session->why, ERR_TIMEOUT, "deadline", "",
			"the request's time is over");
		entry_refuse(session, now);
		return;
	}
	if (session->state == ENTRY_CHOOSING)
		check_choice(session, now);
	else
		check_hops(session, now);
}
