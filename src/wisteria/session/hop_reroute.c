/*
 * Switch of a hop session to a new attempt in which another hop of its chain
 * was replaced: neighbouring hops agree again on the next position.
 */
#include "wisteria/codec/msg.h"
#include "wisteria/session/hop_session_internal.h"

static void reply_to_reroute(hop_session_t *session, uint32_t attempt,
			     refusal_t refusal)
{
	const msg_open_reply_t reply = {
		.session = session->open->session,
		.attempt = attempt,
		.hop = session->hop,
		.refusal = refusal,
	};

	session->ops->send_entry(session->ops, session, MSG_OPEN_REPLY, &reply);
}

/*
 * Returns whether a new first hop could get tokens from this last hop that
 * differ from those that the old one went on from.  A last hop that replaced
 * another generated its first token anew, and the old first hop may have had
 * that token already.  The entry then restarts the chain.
 */
static bool may_hold_another_token(const hop_session_t *session,
				   const msg_reroute_t *reroute)
{
	return reroute->replaced == 0 && hop_is_last(session) &&
	       session->open->is_replacement;
}

static refusal_t check_reroute(const hop_session_t *session,
			       const msg_reroute_t *reroute)
{
	if (reroute->attempt < session->attempt)
		return REFUSAL_OLD_ATTEMPT;
	if (reroute->hop_count != session->hop_count ||
	    reroute->replaced >= session->hop_count ||
	    reroute->replaced == session->hop)
		return REFUSAL_WRONG_LAYERS;
	if (session->engine_failed || may_hold_another_token(session, reroute))
		return REFUSAL_NO_SESSION;
	if (reroute->replaced == session->hop + 1 && session->outputs.first > 0)
		return REFUSAL_NO_SESSION;
	return REFUSAL_NONE;
}

/*
 * Brings this hop and its neighbours to the same position under the new
 * attempt.  Of two neighbours, the one that switches to the attempt later
 * makes the other one resend.
 */
static void resynchronise(hop_session_t *session, uint32_t replaced)
{
	if (replaced == session->hop + 1)
		session->output_acked = 0;
	session->output_sent =
		MAX(session->output_acked, session->outputs.first);
	if (!hop_is_last(session))
		hop_send_outputs(session);
	if (!hop_is_first(session))
		hop_send_ack(session, true);
	else
		hop_send_tokens(session, session->tokens_acked);
	if (hop_is_last(session))
		hop_send_results(session, 0);
	else if (hop_is_first(session))
		hop_request_results(session);
}

/* Switches to a new attempt in which one hop was replaced. */
void hop_session_on_reroute(hop_session_t *session,
			    const msg_reroute_t *reroute, clock_ms_t now)
{
	refusal_t refusal = check_reroute(session, reroute);

	(void)now;
	if (refusal != REFUSAL_NONE || reroute->attempt == session->attempt) {
		reply_to_reroute(session, reroute->attempt, refusal);
		return;
	}
	if (session->rerouted)
		msg_finish(&session->reroute_copy);
	hop_copy_message(&session->reroute_copy, MSG_REROUTE, reroute);
	session->rerouted = true;
	session->hops =
		((const msg_reroute_t *)session->reroute_copy.body)->hops;
	session->attempt = reroute->attempt;
	session->failure_reported = false;
	session->next_down_since_ms = CLOCK_NEVER_MS;
	session->first_down_since_ms = CLOCK_NEVER_MS;
	reply_to_reroute(session, reroute->attempt, REFUSAL_NONE);
	resynchronise(session, reroute->replaced);
}
