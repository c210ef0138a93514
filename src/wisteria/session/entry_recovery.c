/*
 * How an entry session gets a chain again: by a new chain (restart), or by
 * replacing one hop of the present one (replay).
 */
#include <string.h>

#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/session/entry_session_internal.h"

#define ENTRY_RETRY_AFTER_MS 1000
/* After so many refusals in a row a chain is asked for at intervals only. */
#define ENTRY_QUICK_REFUSALS 3

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

/* Changes the state of the session. */
void entry_enter(entry_session_t *session, entry_state_t state, clock_ms_t now)
{
	session->state = state;
	session->state_ms = now;
}

/* Ends the request without its whole answer. */
void entry_refuse(entry_session_t *session, clock_ms_t now)
{
	const entry_refusal_t refusal = {
		.err = session->why,
		.not_run = !session->ever_started,
		.retry_after_ms = ENTRY_RETRY_AFTER_MS,
	};

	entry_send_close(session, "refused");
	entry_enter(session, ENTRY_ENDED, now);
	session->ops->refused(session->ops, session, &refusal);
}

static void begin_attempt(entry_session_t *session)
{
	session->attempt = MAX(session->attempt + 1, session->attempt_floor);
}

/* Begins an attempt on the chain at hand. */
void entry_open_chain(entry_session_t *session, clock_ms_t now)
{
	begin_attempt(session);
	counter_add(COUNTER_ATTEMPTS, 1);
	entry_enter(session, ENTRY_OPENING, now);
	for (size_t i = 0; i < session->chain.hop_count; i++)
		session->hops[i] = (entry_hop_t){
			.up_to_date = true,
			.down_ms = CLOCK_NEVER_MS,
		};
	for (size_t i = 0; i < session->chain.hop_count; i++)
		entry_send_open(session, i, now);
}

/* Returns an endpoint of "choice" that is suspected, or NULL. */
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
 * Asks for a chain; returns false if none is possible now.  Where it has an
 * endpoint whose connection is down, another is asked for, naming that one as
 * failed; one that can't be avoided is tried.
 */
bool entry_choose(entry_session_t *session, clock_ms_t now)
{
	route_choice_t choice = { .hop_count = 0 };
	const char *suspect;
	size_t tries = session->suspect_count + 1;

	session->chosen_ms = now;
	while (tries-- > 0) {
		session->route = session->ops->choose(session->ops, session,
						      session->failed, &choice);
		if (session->route != ROUTE_FOUND)
			return false;
		suspect = find_suspect(session, &choice);
		if (suspect == NULL)
			break;
		g_strlcpy(session->failed, suspect, sizeof(session->failed));
	}
	session->chain = choice;
	entry_open_chain(session, now);
	return true;
}

/* Remembers the endpoints of the chain whose connection is down. */
static void note_suspects(entry_session_t *session)
{
	session->suspect_count = 0;
	for (size_t i = 0; i < session->chain.hop_count; i++)
		if (session->hops[i].down_ms != CLOCK_NEVER_MS)
			g_strlcpy(session->suspects[session->suspect_count++],
				  session->chain.hops[i].endpoint,
				  ROUTER_NAME_BYTES);
}

/* Gives the attempt up and begins another one on a new chain. */
void entry_begin_again(entry_session_t *session, clock_ms_t now)
{
	entry_send_close(session, "attempt failed");
	note_suspects(session);
	session->chain.hop_count = 0;
	if (session->ever_started)
		counter_add(COUNTER_RECOVERIES, 1);
	if (!entry_choose(session, now))
		entry_enter(session, ENTRY_CHOOSING, now);
}

/* The same, where a fault caused it: the retry budget may forbid it. */
static void restart(entry_session_t *session, clock_ms_t now)
{
	if (session->state == ENTRY_RUNNING)
		session->seeking_ms = now;
	if (session->ops->may_retry(session->ops, session))
		entry_begin_again(session, now);
	else
		entry_refuse(session, now);
}

static bool others_are_up(const entry_session_t *session, size_t lost)
{
	for (size_t i = 0; i < session->chain.hop_count; i++)
		if (i != lost && (session->hops[i].down_ms != CLOCK_NEVER_MS ||
				  !session->hops[i].up_to_date))
			return false;
	return true;
}

/* Begins to replace one hop; returns false if that can't be done. */
static bool replace(entry_session_t *session, size_t lost, clock_ms_t now)
{
	route_hop_t substitute = { .expected_wait_ms = 0 };

	if (session->params.recovery != PRESET_REPLAY ||
	    session->state != ENTRY_RUNNING || session->chain.hop_count < 2 ||
	    !others_are_up(session, lost))
		return false;
	if (session->ops->replace(session->ops, session, lost, &substitute) !=
	    ROUTE_FOUND)
		return false;
	session->chain.hops[lost] = substitute;
	session->hops[lost] =
		(entry_hop_t){ .up_to_date = true, .down_ms = CLOCK_NEVER_MS };
	session->replaced = (uint32_t)lost;
	session->seeking_ms = now;
	begin_attempt(session);
	counter_add(COUNTER_ATTEMPTS, 1);
	counter_add(COUNTER_RECOVERIES, 1);
	entry_enter(session, ENTRY_REPLACING, now);
	entry_send_open(session, lost, now);
	return true;
}

/* A hop of the present attempt can't go on. */
void entry_lose_hop(entry_session_t *session, size_t hop, const char *step,
		    const char *reason, clock_ms_t now)
{
	const char *endpoint = session->chain.hops[hop].endpoint;

	g_strlcpy(session->failed, endpoint, sizeof(session->failed));
	err_set(&session->why, ERR_UNAVAILABLE, step, endpoint, "%s", reason);
	if (session->state == ENTRY_RUNNING &&
	    session->params.recovery == PRESET_REPLAY)
		entry_send_close_hop(session, hop);
	if (replace(session, hop, now))
		return;
	restart(session, now);
}

/*
 * A hop refused.  Nothing of this attempt ran, so that trying again costs no
 * retry budget.  A refusal that says nothing against the endpoint (it knows a
 * newer configuration, or none) is waited out.
 */
void entry_take_refusal(entry_session_t *session, const msg_open_reply_t *reply,
			clock_ms_t now)
{
	const char *endpoint = session->chain.hops[reply->hop].endpoint;
	bool wait = reply->refusal == REFUSAL_OLD_REVISION ||
		    reply->refusal == REFUSAL_NO_LEASE;

	err_set(&session->why, ERR_OVERLOAD, "open", endpoint, "refused: %s",
		refusal_name(reply->refusal));
	g_strlcpy(session->failed, wait ? "" : endpoint,
		  sizeof(session->failed));
	if (session->state == ENTRY_RUNNING)
		session->seeking_ms = now;
	if (session->state == ENTRY_RUNNING ||
	    (!wait && ++session->refusals <= ENTRY_QUICK_REFUSALS)) {
		entry_begin_again(session, now);
		return;
	}
	entry_send_close(session, "refused");
	session->chain.hop_count = 0;
	session->chosen_ms = now;
	entry_enter(session, ENTRY_CHOOSING, now);
}
