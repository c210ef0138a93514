/*
 * An agent's side of one attempt on one endpoint.  Steps are taken strictly
 * in order of position; what was sent is kept until it is acknowledged, so
 * that a lost connection costs a resend and never a second run.  Outputs are
 * kept longer, within a bound: from them a lost hop's state can be built
 * again on another endpoint (Borzunov et al., "Petals", 2023).
 */
#include "wisteria/session/hop_session.h"

#include <string.h>

#include <glib.h>

#include "wisteria/base/counters.h"
#include "wisteria/codec/msg.h"
#include "wisteria/session/hop_session_internal.h"

/* Bound of acknowledged outputs kept for a rebuild. */
#define HOP_KEPT_BYTES_MAX (1u << 20)
/* Time for a lost connection to come back before its hop counts as lost. */
#define HOP_DOWN_MS 300
/* An acknowledgement is sent at least for every so many positions. */
#define HOP_ACK_POSITIONS 8

static void clear_token(gpointer data)
{
	g_free(((stored_token_t *)data)->text);
}

static void store_token(hop_session_t *session, const msg_token_t *token)
{
	const stored_token_t stored = { token->index, g_strdup(token->text),
					token->last };

	g_array_append_val(session->tokens, stored);
}

/* Has the engine run all inputs at hand, unless it is running. */
static void run_next(hop_session_t *session)
{
	const msg_hop_t *range = &session->hops[session->hop];
	uint32_t first = session->inputs.first;
	uint32_t next = position_log_next(&session->inputs);
	msg_position_t *positions;
	hop_work_t work;

	if (session->run_count > 0 || session->broken || first == next)
		return;
	session->run_count = next - first;
	positions = g_new(msg_position_t, session->run_count);
	for (uint32_t i = first; i < next; i++)
		positions[i - first].activations =
			position_log_get(&session->inputs, i);
	work = (hop_work_t){
		.session = session->open->session,
		.sequence = session->sequence,
		.attempt = session->attempt,
		.hop = session->hop,
		.first_layer = range->first_layer,
		.end_layer = range->end_layer,
		.first_position = first,
		.positions = positions,
		.position_count = session->run_count,
		.first_range = hop_is_first(session),
		.last_range = hop_is_last(session),
		.priority = session->open->priority,
	};
	session->ops->run(session->ops, session, &work);
	g_free(positions);
}

static void append_text(hop_session_t *session, const char *text)
{
	position_log_append(&session->inputs,
			    (bytes_t){ (const uint8_t *)text, strlen(text) });
}

/* Takes the next token of the answer: stores, streams and continues. */
static void accept_token(hop_session_t *session, const msg_token_t *token)
{
	store_token(session, token);
	hop_send_tokens(session, token->index);
	if (token->last) {
		session->done = true;
		return;
	}
	append_text(session, token->text);
	run_next(session);
}

static void finish_token(hop_session_t *session, const hop_result_t *result)
{
	uint32_t index = session->inputs.first - 1;
	uint32_t max_tokens = session->open->max_tokens;
	const msg_token_t token = {
		.index = index,
		.text = result->text == NULL ? "" : result->text,
		.last = result->last ||
			(max_tokens > 0 && index + 1 >= max_tokens),
	};

	if (hop_is_first(session)) {
		accept_token(session, &token);
		return;
	}
	store_token(session, &token);
	hop_send_result(session,
			hop_token_at(session, session->tokens->len - 1));
}

/*
 * Creates the session that "open" reserves; all of it is copied.  The hop
 * index of "open" must be less than its number of hops.
 */
hop_session_t *hop_session_new(const msg_open_t *open, hop_session_ops_t *ops)
{
	hop_session_t *session = g_new0(hop_session_t, 1);

	session->ops = ops;
	hop_copy_message(&session->open_copy, MSG_OPEN, open);
	session->open = session->open_copy.body;
	session->hops = session->open->hops;
	session->hop_count = (uint32_t)session->open->hop_count;
	session->hop = open->hop;
	session->attempt = open->attempt;
	session->sequence = open->attempt;
	session->next_down_ms = CLOCK_NEVER_MS;
	session->first_down_ms = CLOCK_NEVER_MS;
	position_log_init(&session->inputs);
	position_log_init(&session->outputs);
	session->tokens = g_array_new(FALSE, FALSE, sizeof(stored_token_t));
	g_array_set_clear_func(session->tokens, clear_token);
	return session;
}

/* Ends a session; the engine is told to forget it. */
void hop_session_free(hop_session_t *session)
{
	if (session == NULL)
		return;
	session->ops->forget(session->ops, session);
	position_log_finish(&session->inputs);
	position_log_finish(&session->outputs);
	g_array_free(session->tokens, TRUE);
	msg_finish(&session->open_copy);
	if (session->rerouted)
		msg_finish(&session->reroute_copy);
	g_free(session);
}

/* Returns the message that opened the session. */
const msg_open_t *hop_session_open(const hop_session_t *session)
{
	return session->open;
}

/* Returns the hops of the chain as it is now, hop_count of the open. */
const msg_hop_t *hop_session_hops(const hop_session_t *session)
{
	return session->hops;
}

/*
 * Writes the session as it is now: the opening message with the present
 * attempt, chain and tokens.  Returns the tokens, which the caller frees; all
 * else points into the session.
 */
msg_token_t *hop_session_describe(const hop_session_t *session,
				  msg_open_t *open)
{
	msg_token_t *tokens = g_new0(msg_token_t, session->tokens->len + 1);

	for (guint i = 0; i < session->tokens->len; i++) {
		const stored_token_t *stored = hop_token_at(session, i);

		tokens[i] = (msg_token_t){ stored->index, stored->text,
					   stored->last };
	}
	*open = *session->open;
	open->attempt = session->attempt;
	open->hops = session->hops;
	if (session->started) {
		open->tokens = tokens;
		open->token_count = session->tokens->len;
	}
	return tokens;
}

/* Returns the attempt that the session serves now. */
uint32_t hop_session_attempt(const hop_session_t *session)
{
	return session->attempt;
}

/* Returns whether the engine may have run anything for the session. */
bool hop_session_has_started(const hop_session_t *session)
{
	return session->started;
}

/* Returns whether the first hop holds the whole answer. */
bool hop_session_is_done(const hop_session_t *session)
{
	return session->done;
}

/* Starts the token loop on the first hop; repeats change nothing. */
void hop_session_on_start(hop_session_t *session, clock_ms_t now)
{
	const msg_open_t *open = session->open;

	(void)now;
	if (!hop_is_first(session) || session->started)
		return;
	session->started = true;
	append_text(session, open->prompt);
	for (size_t i = 0; i < open->token_count; i++) {
		store_token(session, &open->tokens[i]);
		append_text(session, open->tokens[i].text);
	}
	session->tokens_acked = (uint32_t)open->token_count;
	run_next(session);
}

/* Sends again what came of positions from "position" on. */
static void repeat_outputs(hop_session_t *session, uint32_t position)
{
	counter_add(COUNTER_STEPS_REPEATED, 1);
	if (hop_is_last(session)) {
		hop_send_results(session, position);
		return;
	}
	if (position < session->output_sent)
		session->output_sent = MAX(position, session->output_acked);
	hop_send_outputs(session);
}

/* Takes the positions of a step that are next; the rest was here before. */
void hop_session_on_step(hop_session_t *session, const msg_step_t *step,
			 clock_ms_t now)
{
	uint32_t next = position_log_next(&session->inputs);
	uint32_t before = next;
	uint64_t end = (uint64_t)step->first_position + step->position_count;

	(void)now;
	if (step->attempt != session->attempt || hop_is_first(session)) {
		counter_add(COUNTER_STEPS_REFUSED, 1);
		return;
	}
	if (step->first_position > next) {
		hop_send_ack(session, true);
		return;
	}
	session->started = true;
	for (; next < end; next++)
		position_log_append(&session->inputs,
				    step->positions[next - step->first_position]
					    .activations);
	if (next == before)
		repeat_outputs(session, step->first_position);
	if (next == before || step->position_count > 1 ||
	    next - session->acked_to_peer >= HOP_ACK_POSITIONS)
		hop_send_ack(session, false);
	run_next(session);
}

/* Drops what the next hop has, beyond the bound kept for a rebuild. */
static void trim_outputs(hop_session_t *session)
{
	while (session->outputs.bytes > HOP_KEPT_BYTES_MAX &&
	       session->outputs.first < session->output_acked)
		position_log_drop(&session->outputs,
				  session->outputs.first + 1);
}

/* Takes an acknowledgement of the next hop, or the first hop's question. */
void hop_session_on_step_ack(hop_session_t *session, const msg_step_ack_t *ack,
			     clock_ms_t now)
{
	(void)now;
	if (ack->attempt != session->attempt)
		return;
	if (ack->hop == 0) {
		if (hop_is_last(session) && ack->resend)
			hop_send_results(session, ack->next);
		return;
	}
	if (ack->hop != session->hop + 1)
		return;
	if (ack->next > session->output_acked)
		session->output_acked = ack->next;
	if (ack->resend && ack->next < session->outputs.first) {
		hop_report_failure(session, session->hop + 1, "step",
				   "kept activations are gone");
		return;
	}
	if (ack->resend && ack->next < session->output_sent)
		session->output_sent = ack->next;
	trim_outputs(session);
	hop_send_outputs(session);
}

/* Takes the token that the last hop made, if it is the next one. */
void hop_session_on_step_result(hop_session_t *session,
				const msg_step_result_t *result, clock_ms_t now)
{
	(void)now;
	if (result->attempt != session->attempt || !hop_is_first(session)) {
		counter_add(COUNTER_STEPS_REFUSED, 1);
		return;
	}
	if (session->done || !session->started)
		return;
	if (result->token.index != session->tokens->len)
		return;
	accept_token(session, &result->token);
}

/* Takes what the engine made of the work that "attempt" began. */
void hop_session_on_engine_done(hop_session_t *session, uint32_t attempt,
				const hop_result_t *result, clock_ms_t now)
{
	uint32_t run_count = session->run_count;

	if (run_count == 0 || attempt > session->attempt)
		return;
	if (!hop_is_last(session) && result->position_count != run_count) {
		hop_session_on_engine_failed(session, attempt,
					     "wrong number of positions", now);
		return;
	}
	counter_add(COUNTER_STEPS_RUN, run_count);
	session->run_count = 0;
	position_log_drop(&session->inputs, session->inputs.first + run_count);
	if (hop_is_last(session)) {
		finish_token(session, result);
	} else {
		for (size_t i = 0; i < result->position_count; i++)
			position_log_append(&session->outputs,
					    result->positions[i].activations);
		hop_send_outputs(session);
	}
	run_next(session);
}

/* The engine can't say what state it is in: this hop is lost. */
void hop_session_on_engine_failed(hop_session_t *session, uint32_t attempt,
				  const char *reason, clock_ms_t now)
{
	(void)now;
	if (session->run_count == 0 || attempt > session->attempt)
		return;
	session->run_count = 0;
	session->broken = true;
	hop_report_failure(session, session->hop, "engine", reason);
}

/* The entry has the tokens below "next". */
void hop_session_on_tokens_ack(hop_session_t *session,
			       const msg_tokens_ack_t *ack, clock_ms_t now)
{
	(void)now;
	if (ack->attempt != session->attempt || !hop_is_first(session))
		return;
	if (ack->next > session->tokens_acked)
		session->tokens_acked = ack->next;
}

/* An entry's connection is back: sends the tokens that it lacks. */
void hop_session_on_resume(hop_session_t *session,
			   const msg_tokens_ack_t *resume, clock_ms_t now)
{
	hop_session_on_tokens_ack(session, resume, now);
	if (resume->attempt != session->attempt)
		return;
	session->failure_reported = false;
	if (session->broken)
		hop_report_failure(session, session->hop, "engine", "lost");
	if (hop_is_first(session))
		hop_send_tokens(session, resume->next);
}

/* The connection to the agent of "hop" is open. */
void hop_session_on_hop_up(hop_session_t *session, uint32_t hop, clock_ms_t now)
{
	(void)now;
	if (hop == 0 && hop_is_last(session) && !hop_is_first(session)) {
		session->first_down_ms = CLOCK_NEVER_MS;
		hop_send_results(session, session->inputs.first > 0
						  ? session->inputs.first - 1
						  : 0);
	}
	if (hop == session->hop + 1) {
		session->next_down_ms = CLOCK_NEVER_MS;
		session->output_sent = session->output_acked;
		hop_send_outputs(session);
	}
}

/* The connection to the agent of "hop" was lost or is not made yet. */
void hop_session_on_hop_down(hop_session_t *session, uint32_t hop,
			     clock_ms_t now)
{
	if (hop == 0 && hop_is_last(session) && !hop_is_first(session) &&
	    session->first_down_ms == CLOCK_NEVER_MS)
		session->first_down_ms = now;
	if (hop == session->hop + 1 && session->next_down_ms == CLOCK_NEVER_MS)
		session->next_down_ms = now;
}

/* The agent of "hop" is there, but knows nothing of the session any more. */
void hop_session_on_hop_lost(hop_session_t *session, uint32_t hop,
			     const char *reason)
{
	if (hop < session->hop_count)
		hop_report_failure(session, hop, "step", reason);
}

static bool is_overdue(clock_ms_t since, clock_ms_t now)
{
	return since != CLOCK_NEVER_MS && now - since >= HOP_DOWN_MS;
}

/* Reports hops that this one can't reach any more. */
void hop_session_tick(hop_session_t *session, clock_ms_t now)
{
	if (is_overdue(session->next_down_ms, now))
		hop_report_failure(session, session->hop + 1, "step",
				   "no connection to the next hop");
	else if (is_overdue(session->first_down_ms, now))
		hop_report_failure(session, 0, "step_result",
				   "no connection to the first hop");
}
