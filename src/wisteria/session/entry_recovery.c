/*
 * Recovery of an entry session: by a new chain (restart), or by replacing one
 * hop of the current chain (replay).
 */
#include <string.h>

#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/session/entry_session_internal.h"

#define ENTRY_RETRY_AFTER_MS 1000
/* After more refusals of MSG_OPEN, chains are chosen at intervals only. */
#define ENTRY_IMMEDIATE_RETRIES_MAX 3

static const char *refusal_name(uint32_t refusal)
{
	static const char *const names[] = {
		[REFUSAL_NONE] = "none",
		[REFUSAL_BUSY] = "busy",
		[REFUSAL_LEAVING] = "leaving",
		[REFUSAL_OLD_REVISION] = "old_revision",
		[REFUSAL_OLD_ATTEMPT] = "old_attempt",
		[REFUSAL_WRONG_LAYERS] = "wrong_layers",
		[REFUSAL_NO_LEASE] = "no_lease",
		[REFUSAL_UNKNOWN_ENDPOINT] = "unknown_endpoint",
		[REFUSAL_NO_SESSION] = "no_session",
	};

	return refusal < ARRAY_SIZE(names) ? names[refusal] : "unknown";
}

/* Sets the state of the session and the time at which it was entered. */
void entry_set_state(entry_session_t *session, entry_session_state_t state,
		     clock_ms_t now)
{
	session->state = state;
	session->state_since_ms = now;
}

/* Ends the request before its answer is complete. */
void entry_refuse_request(entry_session_t *session, clock_ms_t now)
{
	const entry_refusal_t refusal = {
		.err = session->last_error,
		.not_run = !session->ever_started,
		.retry_after_ms = ENTRY_RETRY_AFTER_MS,
	};

	entry_send_close(session, "refused");
	entry_set_state(session, ENTRY_ENDED, now);
	session->ops->refused(session->ops, session, &refusal);
}

static void advance_attempt(entry_session_t *session)
{
	session->attempt = MAX(session->attempt + 1, session->min_next_attempt);
}

/* Begins an attempt on the chain in session->chain. */
void entry_open_chain(entry_session_t *session, clock_ms_t now)
{
	advance_attempt(session);
	counter_add(COUNTER_ATTEMPTS, 1);
	entry_set_state(session, ENTRY_OPENING, now);
	for (size_t i = 0; i < session->chain.hop_count; i++)
		session->hops[i] = (entry_hop_t){
			.has_current_chain = true,
			.down_since_ms = CLOCK_NEVER_MS,
		};
	for (size_t i = 0; i < session->chain.hop_count; i++)
		entry_send_open(session, i, now);
}

/* Returns an endpoint of "choice" that is a suspect, or NULL. */
static const char *find_suspect(const entry_session_t *session,
				const route_choice_t *choice)
{
	for (size_t i = 0; i < choice->hop_count; i++)
		for (size_t j = 0; j < session->suspect_count; j++)
			if (strcmp(choice->hops[i].endpoint,
				   session->suspects[j]) == 0)
				return choice->hops[i].endpoint;
	return NULL;
}

/*
 * Chooses a chain and begins an attempt on it; returns false if no chain is
 * possible now.  If the chain contains a suspect, another one is chosen with
 * that endpoint as the failed one; a suspect that can't be avoided is tried.
 */
bool entry_choose_chain(entry_session_t *session, clock_ms_t now)
{
	route_choice_t choice = { .hop_count = 0 };
	const char *suspect;
	size_t tries = session->suspect_count + 1;

	session->last_choose_ms = now;
	while (tries-- > 0) {
		session->route_result =
			session->ops->choose(session->ops, session,
					     session->failed_endpoint, &choice);
		if (session->route_result != ROUTE_FOUND)
			return false;
		suspect = find_suspect(session, &choice);
		if (suspect == NULL)
			break;
		g_strlcpy(session->failed_endpoint, suspect,
			  sizeof(session->failed_endpoint));
	}
	session->chain = choice;
	entry_open_chain(session, now);
	return true;
}

/* Records the endpoints of the chain whose connection is down as suspects. */
static void record_suspects(entry_session_t *session)
{
	session->suspect_count = 0;
	for (size_t i = 0; i < session->chain.hop_count; i++)
		if (session->hops[i].down_since_ms != CLOCK_NEVER_MS)
			g_strlcpy(session->suspects[session->suspect_count++],
				  session->chain.hops[i].endpoint,
				  ROUTER_NAME_BYTES);
}

/* Abandons the attempt and begins another one on a new chain. */
void entry_restart(entry_session_t *session, clock_ms_t now)
{
	entry_send_close(session, "attempt failed");
	record_suspects(session);
	session->chain.hop_count = 0;
	if (session->ever_started)
		counter_add(COUNTER_RECOVERIES, 1);
	if (!entry_choose_chain(session, now))
		entry_set_state(session, ENTRY_CHOOSING, now);
}

/* Restarts after a fault; ends the request if the retry budget is used up. */
static void restart_within_budget(entry_session_t *session, clock_ms_t now)
{
	if (session->state == ENTRY_RUNNING)
		session->not_running_since_ms = now;
	if (session->ops->may_retry(session->ops, session))
		entry_restart(session, now);
	else
		entry_refuse_request(session, now);
}

static bool other_hops_are_ready(const entry_session_t *session, size_t lost)
{
	for (size_t i = 0; i < session->chain.hop_count; i++)
		if (i != lost &&
		    (session->hops[i].down_since_ms != CLOCK_NEVER_MS ||
		     !session->hops[i].has_current_chain))
			return false;
	return true;
}

/* Begins to replace one hop; returns false if that is not possible. */
static bool replace_hop(entry_session_t *session, size_t lost, clock_ms_t now)
{
	route_hop_t replacement = { .expected_step_ms = 0 };

	if (session->params.recovery != PRESET_REPLAY ||
	    session->state != ENTRY_RUNNING || session->chain.hop_count < 2 ||
	    !other_hops_are_ready(session, lost))
		return false;
	if (session->ops->replace(session->ops, session, lost, &replacement) !=
	    ROUTE_FOUND)
		return false;
	session->chain.hops[lost] = replacement;
	session->hops[lost] = (entry_hop_t){ .has_current_chain = true,
					     .down_since_ms = CLOCK_NEVER_MS };
	session->replaced_hop = (uint32_t)lost;
	session->not_running_since_ms = now;
	advance_attempt(session);
	counter_add(COUNTER_ATTEMPTS, 1);
	counter_add(COUNTER_RECOVERIES, 1);
	entry_set_state(session, ENTRY_REPLACING, now);
	entry_send_open(session, lost, now);
	return true;
}

/*
 * Chooses another chain for an attempt that has run nothing, which does not use
 * the retry budget: at once, or in a while after more than
 * ENTRY_IMMEDIATE_RETRIES_MAX of them or with "wait".
 */
static void choose_another_chain(entry_session_t *session, bool wait,
				 clock_ms_t now)
{
	if (!wait && ++session->open_refusals <= ENTRY_IMMEDIATE_RETRIES_MAX) {
		entry_restart(session, now);
		return;
	}
	entry_send_close(session, "refused");
	session->chain.hop_count = 0;
	session->last_choose_ms = now;
	entry_set_state(session, ENTRY_CHOOSING, now);
}

/*
 * Recovers from the loss of a hop of the current attempt.  While the attempt is
 * being opened nothing of it has run.
 */
void entry_handle_hop_loss(entry_session_t *session, size_t hop,
			   const char *step, const char *reason, clock_ms_t now)
{
	const char *endpoint = session->chain.hops[hop].endpoint;

	g_strlcpy(session->failed_endpoint, endpoint,
		  sizeof(session->failed_endpoint));
	err_set(&session->last_error, ERR_UNAVAILABLE, step, endpoint, "%s",
		reason);
	if (session->state == ENTRY_RUNNING &&
	    session->params.recovery == PRESET_REPLAY)
		entry_send_close_hop(session, hop);
	if (replace_hop(session, hop, now))
		return;
	if (session->state == ENTRY_OPENING)
		choose_another_chain(session, false, now);
	else
		restart_within_budget(session, now);
}

/*
 * Handles the refusal of MSG_OPEN or MSG_REROUTE by a hop.  The hop has run
 * nothing of this attempt, so another attempt does not use the retry budget.
 * After a refused MSG_REROUTE it begins at once.  After a refused MSG_OPEN, the
 * session waits before it chooses a chain again if the endpoint itself is not
 * at fault (it has a newer configuration or no lease), or if there were more
 * than ENTRY_IMMEDIATE_RETRIES_MAX other refusals.
 */
void entry_handle_refusal(entry_session_t *session,
			  const msg_open_reply_t *reply, clock_ms_t now)
{
	const char *endpoint = session->chain.hops[reply->hop].endpoint;
	bool wait = reply->refusal == REFUSAL_OLD_REVISION ||
		    reply->refusal == REFUSAL_NO_LEASE;

	err_set(&session->last_error, ERR_OVERLOAD, "open", endpoint,
		"refused: %s", refusal_name(reply->refusal));
	g_strlcpy(session->failed_endpoint, wait ? "" : endpoint,
		  sizeof(session->failed_endpoint));
	if (session->state == ENTRY_RUNNING)
		session->not_running_since_ms = now;
	if (session->state == ENTRY_RUNNING)
		entry_restart(session, now);
	else
		choose_another_chain(session, wait, now);
}
