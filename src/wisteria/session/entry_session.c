/*
 * One model request on its entry.  An attempt opens every hop of its chain,
 * starts the first hop once all hops have accepted, and delivers the tokens in
 * order.  When a hop is lost, a new attempt with a higher number continues
 * after the tokens already delivered: either on a new chain (restart), or on
 * the same chain with only the lost hop replaced and opened (replay).
 */
#include "wisteria/session/entry_session.h"

#include <string.h>

#include <glib.h>

#include "wisteria/base/err.h"
#include "wisteria/session/entry_session_internal.h"

/* A hop counts as lost when its connection has been down for this long. */
#define ENTRY_RECONNECT_TIMEOUT_MS 300
/* Longest wait for the replies to MSG_OPEN. */
#define ENTRY_OPEN_TIMEOUT_MS 2000
/* Longest wait for a possible chain, and the interval of the retries. */
#define ENTRY_CHOOSE_TIMEOUT_MS 5000
#define ENTRY_CHOOSE_INTERVAL_MS 50

static char *copy_text(const char *text)
{
	return g_strdup(text == NULL ? "" : text);
}

/* Creates a session that is not started; copies "params". */
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

static void restore_chain(entry_session_t *session, const msg_open_t *open)
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
		session->hops[i] =
			(entry_hop_t){ .accepted = true,
				       .has_current_chain = true,
				       .down_since_ms = CLOCK_NEVER_MS };
	}
}

/*
 * Takes over a running session of another entry from the reply of its first
 * hop, for a caller that already has the tokens with an index below "next".
 * The session number, the model, the prompt, max_tokens, the chain and the
 * attempt are those of "reply", all else that of "params".  Returns NULL if
 * the session was not found, its chain is invalid or it has fewer tokens.
 */
entry_session_t *entry_session_new_from_takeover(
	const entry_session_params_t *params, const msg_takeover_reply_t *reply,
	uint32_t next, entry_session_ops_t *ops, clock_ms_t now)
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
	session->min_next_attempt = reply->next_attempt;
	session->ever_started = true;
	session->last_token_ms = now;
	session->not_running_since_ms = now;
	for (uint32_t i = 0; i < next; i++)
		g_ptr_array_add(session->tokens,
				g_strdup(open->tokens[i].text));
	restore_chain(session, open);
	entry_set_state(session, ENTRY_RUNNING, now);
	for (size_t i = 0; i < open->hop_count; i++)
		entry_send_next_index(session, i, MSG_RESUME);
	entry_send_start(session);
	return session;
}

/* Frees a session without a message to the agents. */
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

/* Returns the parameters of the session. */
const entry_session_params_t *
entry_session_params(const entry_session_t *session)
{
	return &session->params;
}

/* Returns the number of the current attempt; the first is 1. */
uint32_t entry_session_attempt(const entry_session_t *session)
{
	return session->attempt;
}

/* Returns the current chain; it has no hops while none can be chosen. */
const route_choice_t *entry_session_chain(const entry_session_t *session)
{
	return &session->chain;
}

/*
 * Sets the configuration revision under which later attempts are opened; the
 * owner calls it when it receives a new configuration.
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
	session->not_running_since_ms = now;
	entry_open_chain(session, now);
}

static bool all_hops_accepted(const entry_session_t *session)
{
	for (size_t i = 0; i < session->chain.hop_count; i++)
		if (!session->hops[i].accepted)
			return false;
	return true;
}

static void start_running(entry_session_t *session, clock_ms_t now)
{
	entry_set_state(session, ENTRY_RUNNING, now);
	session->last_token_ms = now;
	session->open_refusals = 0;
	entry_send_start(session);
}

/*
 * Continues with the replacement, which has reserved its slot: sends the new
 * chain to the other hops.
 */
static void use_replacement(entry_session_t *session, clock_ms_t now)
{
	entry_set_state(session, ENTRY_RUNNING, now);
	session->last_token_ms = now;
	session->open_refusals = 0;
	for (size_t i = 0; i < session->chain.hop_count; i++) {
		if (i == session->replaced_hop)
			continue;
		session->hops[i].has_current_chain = false;
		entry_send_reroute(session, i);
	}
	if (session->replaced_hop == 0)
		entry_send_start(session);
}

/* Handles the reply of a hop to MSG_OPEN or MSG_REROUTE. */
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
		entry_handle_refusal(session, reply, now);
		return;
	}
	hop = &session->hops[reply->hop];
	hop->accepted = true;
	if (session->state == ENTRY_RUNNING)
		hop->has_current_chain = true;
	else if (session->state == ENTRY_OPENING && all_hops_accepted(session))
		start_running(session, now);
	else if (session->state == ENTRY_REPLACING &&
		 reply->hop == session->replaced_hop)
		use_replacement(session, now);
}

static void finish(entry_session_t *session, clock_ms_t now)
{
	entry_send_close(session, "finished");
	entry_set_state(session, ENTRY_ENDED, now);
	session->ops->finished(session->ops, session);
}

/*
 * Delivers the tokens that are next in order; returns whether one of them was
 * the last of the answer.
 */
static bool deliver_tokens(entry_session_t *session, const msg_tokens_t *tokens,
			   clock_ms_t now)
{
	bool last = false;

	for (size_t i = 0; i < tokens->token_count; i++) {
		const msg_token_t *token = &tokens->tokens[i];

		if (token->index != session->tokens->len || last)
			continue;
		g_ptr_array_add(session->tokens, g_strdup(token->text));
		last = token->last;
		session->last_token_ms = now;
		session->ops->deliver(session->ops, session, token, 1);
		if (session->state == ENTRY_ENDED)
			return false;
	}
	return last;
}

/*
 * Handles received tokens.  Those of another attempt and those delivered
 * before are dropped; missing ones are requested again.  The owner must not
 * free the session in deliver().
 */
void entry_session_on_tokens(entry_session_t *session,
			     const msg_tokens_t *tokens, clock_ms_t now)
{
	if (tokens->attempt != session->attempt ||
	    session->state != ENTRY_RUNNING || tokens->token_count == 0)
		return;
	if (tokens->tokens[0].index > session->tokens->len) {
		entry_send_next_index(session, 0, MSG_RESUME);
		return;
	}
	if (deliver_tokens(session, tokens, now))
		finish(session, now);
	else if (session->state == ENTRY_RUNNING)
		entry_send_next_index(session, 0, MSG_TOKENS_ACK);
}

/* Handles the report of an agent that the attempt can't continue. */
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
	entry_handle_hop_loss(session, failed->hop, failed->step,
			      failed->reason, now);
}

/* Resends the messages that a reconnected hop may have missed. */
static void resend_to_hop(entry_session_t *session, size_t hop, clock_ms_t now)
{
	if (!session->hops[hop].accepted && session->state != ENTRY_RUNNING) {
		entry_send_open(session, hop, now);
		return;
	}
	if (session->state == ENTRY_REPLACING)
		return;
	if (!session->hops[hop].has_current_chain)
		entry_send_reroute(session, hop);
	else if (session->state == ENTRY_RUNNING)
		entry_send_next_index(session, hop, MSG_RESUME);
	if (hop == 0 && session->state == ENTRY_RUNNING)
		entry_send_start(session);
}

/*
 * Handles a connection to an agent that was opened: sends again the messages
 * that may have been lost.
 */
void entry_session_on_agent_up(entry_session_t *session, const char *address,
			       clock_ms_t now)
{
	if (session->state == ENTRY_ENDED)
		return;
	for (size_t i = 0; i < session->chain.hop_count; i++) {
		if (strcmp(session->chain.hops[i].address, address) != 0)
			continue;
		session->hops[i].down_since_ms = CLOCK_NEVER_MS;
		resend_to_hop(session, i, now);
	}
}

/* Handles the loss of the connection to an agent. */
void entry_session_on_agent_down(entry_session_t *session, const char *address,
				 clock_ms_t now)
{
	for (size_t i = 0; i < session->chain.hop_count; i++)
		if (strcmp(session->chain.hops[i].address, address) == 0 &&
		    session->hops[i].down_since_ms == CLOCK_NEVER_MS)
			session->hops[i].down_since_ms = now;
}

/*
 * Closes the session on all hops without calling finished() or refused(): the
 * caller has cancelled, or has the whole answer already after a takeover.
 */
void entry_session_on_cancel(entry_session_t *session, const char *reason)
{
	if (session->state == ENTRY_ENDED)
		return;
	entry_send_close(session, reason);
	session->state = ENTRY_ENDED;
}

/*
 * Returns a hop whose connection has been down for too long, or the number of
 * hops.  While tokens are received, the time counts from the last one.
 */
static size_t find_lost_hop(const entry_session_t *session, clock_ms_t now)
{
	for (size_t i = 0; i < session->chain.hop_count; i++) {
		clock_ms_t since = session->hops[i].down_since_ms;

		if (since == CLOCK_NEVER_MS)
			continue;
		if (session->state == ENTRY_RUNNING)
			since = MAX(since, session->last_token_ms);
		if (now - since >= ENTRY_RECONNECT_TIMEOUT_MS)
			return i;
	}
	return session->chain.hop_count;
}

static void check_hop_timeouts(entry_session_t *session, clock_ms_t now)
{
	size_t lost = find_lost_hop(session, now);

	if (lost < session->chain.hop_count) {
		entry_handle_hop_loss(session, lost, "connect", "no connection",
				      now);
		return;
	}
	if (session->state == ENTRY_RUNNING ||
	    now - session->state_since_ms < ENTRY_OPEN_TIMEOUT_MS)
		return;
	for (size_t i = 0; i < session->chain.hop_count; i++)
		if (!session->hops[i].accepted) {
			entry_handle_hop_loss(session, i, "open", "no answer",
					      now);
			return;
		}
}

/*
 * Chooses a chain again.  A request that has not run waits for a free slot
 * until its deadline; in all other cases the wait for a chain is limited.
 */
static void retry_choose_chain(entry_session_t *session, clock_ms_t now)
{
	if (now - session->last_choose_ms < ENTRY_CHOOSE_INTERVAL_MS)
		return;
	if (entry_choose_chain(session, now))
		return;
	if (session->route_result == ROUTE_FULL && !session->ever_started)
		return;
	if (now - session->not_running_since_ms >= ENTRY_CHOOSE_TIMEOUT_MS)
		entry_refuse_request(session, now);
}

/*
 * Handles timeouts.  For a lost hop to be detected in time, it must be called
 * several times per ENTRY_RECONNECT_TIMEOUT_MS.
 */
void entry_session_tick(entry_session_t *session, clock_ms_t now)
{
	if (session->state == ENTRY_ENDED || session->state == ENTRY_IDLE)
		return;
	if (now >= session->params.deadline_ms) {
		err_set(&session->last_error, ERR_TIMEOUT, "deadline", "",
			"the request's time is over");
		entry_refuse_request(session, now);
		return;
	}
	if (session->state == ENTRY_CHOOSING)
		retry_choose_chain(session, now);
	else
		check_hop_timeouts(session, now);
}
