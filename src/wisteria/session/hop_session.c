/*
 * One hop of a session, on the hop's agent; a reroute moves it to a new attempt
 * and keeps its state.  Positions are accepted strictly in order.  Sent data is
 * kept until it is acknowledged, so that a lost connection causes a resend and
 * never a second run.  Outputs are kept beyond that, up to a size limit, to
 * rebuild the state of a lost next hop on another endpoint (Borzunov et al.,
 * "Petals", 2023).
 */
#include "wisteria/session/hop_session.h"

#include <string.h>

#include <glib.h>

#include "wisteria/base/counters.h"
#include "wisteria/codec/msg.h"
#include "wisteria/session/hop_session_internal.h"

/* Size of the kept outputs above which acknowledged ones are dropped. */
#define HOP_KEPT_BYTES_MAX (1u << 20)
/* A hop counts as lost when its connection has been down for this long. */
#define HOP_RECONNECT_TIMEOUT_MS 300
/* An acknowledgement is sent at least once for this many positions. */
#define HOP_ACK_INTERVAL_POSITIONS 8

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

/* Makes the engine run all pending inputs, unless it is running. */
static void run_pending_inputs(hop_session_t *session)
{
	const msg_hop_t *own_hop = &session->hops[session->hop];
	uint32_t first = session->inputs.first;
	uint32_t next = position_log_next(&session->inputs);
	msg_position_t *positions;
	hop_work_t work;

	if (session->running_count > 0 || session->engine_failed ||
	    first == next)
		return;
	session->running_count = next - first;
	positions = g_new(msg_position_t, session->running_count);
	for (uint32_t i = first; i < next; i++)
		positions[i - first].activations =
			position_log_get(&session->inputs, i);
	work = (hop_work_t){
		.session = session->open->session,
		.sequence = session->sequence,
		.attempt = session->attempt,
		.hop = session->hop,
		.first_layer = own_hop->first_layer,
		.end_layer = own_hop->end_layer,
		.first_position = first,
		.positions = positions,
		.position_count = session->running_count,
		.has_first_layer = hop_is_first(session),
		.has_last_layer = hop_is_last(session),
		.priority = session->open->priority,
	};
	session->ops->run(session->ops, session, &work);
	g_free(positions);
}

static void append_input_text(hop_session_t *session, const char *text)
{
	position_log_append(&session->inputs,
			    (bytes_t){ (const uint8_t *)text, strlen(text) });
}

/*
 * Stores the next token of the answer, sends it to the entry and, unless it is
 * the last, makes it the next input.
 */
static void accept_token(hop_session_t *session, const msg_token_t *token)
{
	store_token(session, token);
	hop_send_tokens(session, token->index);
	if (token->last) {
		session->has_whole_answer = true;
		return;
	}
	append_input_text(session, token->text);
	run_pending_inputs(session);
}

/*
 * Handles the token that the engine generated.  Position n is the token of
 * index n - 1, so the index of the new token is the last position that was run.
 */
static void handle_generated_token(hop_session_t *session,
				   const hop_result_t *result)
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
			hop_get_token(session, session->tokens->len - 1));
}

/*
 * Creates the session that "open" asks for; copies "open".  The hop index of
 * "open" must be less than its number of hops.
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
	session->next_down_since_ms = CLOCK_NEVER_MS;
	session->first_down_since_ms = CLOCK_NEVER_MS;
	position_log_init(&session->inputs);
	position_log_init(&session->outputs);
	session->tokens = g_array_new(FALSE, FALSE, sizeof(stored_token_t));
	g_array_set_clear_func(session->tokens, clear_token);
	return session;
}

/* Frees a session and drops the engine's state of it. */
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
const msg_open_t *hop_session_open_msg(const hop_session_t *session)
{
	return session->open;
}

/* Returns the hops of the current chain; open->hop_count of them. */
const msg_hop_t *hop_session_hops(const hop_session_t *session)
{
	return session->hops;
}

/*
 * Fills "open" with the message that opened the session, but with the current
 * attempt, chain and tokens; for an entry that takes the session over.  Returns
 * the array of tokens, which the caller frees; everything else belongs to the
 * session.
 */
msg_token_t *hop_session_fill_open_msg(const hop_session_t *session,
				       msg_open_t *open)
{
	msg_token_t *tokens = g_new0(msg_token_t, session->tokens->len + 1);

	for (guint i = 0; i < session->tokens->len; i++) {
		const stored_token_t *stored = hop_get_token(session, i);

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

/* Returns the current attempt of the session. */
uint32_t hop_session_attempt(const hop_session_t *session)
{
	return session->attempt;
}

/* Returns whether the engine may have run anything for the session. */
bool hop_session_has_started(const hop_session_t *session)
{
	return session->started;
}

/* Returns whether this is the first hop and it has the whole answer. */
bool hop_session_has_whole_answer(const hop_session_t *session)
{
	return session->has_whole_answer;
}

/*
 * Starts generation on the first hop: its inputs are the prompt and the tokens
 * that earlier attempts delivered.  Repeated calls have no effect.
 */
void hop_session_on_start(hop_session_t *session, clock_ms_t now)
{
	const msg_open_t *open = session->open;

	(void)now;
	if (!hop_is_first(session) || session->started)
		return;
	session->started = true;
	append_input_text(session, open->prompt);
	for (size_t i = 0; i < open->token_count; i++) {
		store_token(session, &open->tokens[i]);
		append_input_text(session, open->tokens[i].text);
	}
	session->tokens_acked = (uint32_t)open->token_count;
	run_pending_inputs(session);
}

/*
 * Resends, from "position" on, the unacknowledged outputs or, on the last hop,
 * the stored tokens; the token generated at a position has it as its index.
 */
static void resend_outputs(hop_session_t *session, uint32_t position)
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

/*
 * Handles a step of the previous hop: appends its new positions to the inputs
 * and runs them.  If positions before the step are missing, it is dropped and
 * they are requested.  For a step without new positions, the outputs that may
 * have been lost are resent.
 */
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
		resend_outputs(session, step->first_position);
	if (next == before || step->position_count > 1 ||
	    next - session->input_acked >= HOP_ACK_INTERVAL_POSITIONS)
		hop_send_ack(session, false);
	run_pending_inputs(session);
}

/*
 * Drops acknowledged outputs, the oldest first, while the outputs exceed
 * HOP_KEPT_BYTES_MAX in total.
 */
static void trim_outputs(hop_session_t *session)
{
	while (session->outputs.bytes > HOP_KEPT_BYTES_MAX &&
	       session->outputs.first < session->output_acked)
		position_log_drop(&session->outputs,
				  session->outputs.first + 1);
}

/*
 * Handles an acknowledgement by the next hop, or the first hop's request to the
 * last hop to resend tokens (see hop_request_results()).
 */
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

/*
 * Accepts the token that the last hop generated, if it is the next one.  Others
 * are dropped: the last hop resends its newest token when it reconnects, and
 * the first hop requests missing ones only at a reroute.
 */
void hop_session_on_step_result(hop_session_t *session,
				const msg_step_result_t *result, clock_ms_t now)
{
	(void)now;
	if (result->attempt != session->attempt || !hop_is_first(session)) {
		counter_add(COUNTER_STEPS_REFUSED, 1);
		return;
	}
	if (session->has_whole_answer || !session->started)
		return;
	if (result->token.index != session->tokens->len)
		return;
	accept_token(session, &result->token);
}

/* Handles the engine's output for the run begun in "attempt". */
void hop_session_on_engine_done(hop_session_t *session, uint32_t attempt,
				const hop_result_t *result, clock_ms_t now)
{
	uint32_t running_count = session->running_count;

	if (running_count == 0 || attempt > session->attempt)
		return;
	if (!hop_is_last(session) && result->position_count != running_count) {
		hop_session_on_engine_failed(session, attempt,
					     "wrong number of positions", now);
		return;
	}
	counter_add(COUNTER_STEPS_RUN, running_count);
	session->running_count = 0;
	position_log_drop(&session->inputs,
			  session->inputs.first + running_count);
	if (hop_is_last(session)) {
		handle_generated_token(session, result);
	} else {
		for (size_t i = 0; i < result->position_count; i++)
			position_log_append(&session->outputs,
					    result->positions[i].activations);
		hop_send_outputs(session);
	}
	run_pending_inputs(session);
}

/*
 * Handles a failure of the run begun in "attempt": the engine's state is not
 * known any more, so this hop is lost.
 */
void hop_session_on_engine_failed(hop_session_t *session, uint32_t attempt,
				  const char *reason, clock_ms_t now)
{
	(void)now;
	if (session->running_count == 0 || attempt > session->attempt)
		return;
	session->running_count = 0;
	session->engine_failed = true;
	hop_report_failure(session, session->hop, "engine", reason);
}

/* Records that the entry has the tokens with an index below ack->next. */
void hop_session_on_tokens_ack(hop_session_t *session,
			       const msg_tokens_ack_t *ack, clock_ms_t now)
{
	(void)now;
	if (ack->attempt != session->attempt || !hop_is_first(session))
		return;
	if (ack->next > session->tokens_acked)
		session->tokens_acked = ack->next;
}

/*
 * Handles MSG_RESUME, which an entry sends when it has reconnected, has taken
 * the session over or has noticed missing tokens.  Allows failures to be
 * reported again and repeats the report of an engine failure; the first hop
 * also resends the tokens that the entry lacks.
 */
void hop_session_on_resume(hop_session_t *session,
			   const msg_tokens_ack_t *resume, clock_ms_t now)
{
	hop_session_on_tokens_ack(session, resume, now);
	if (resume->attempt != session->attempt)
		return;
	session->failure_reported = false;
	if (session->engine_failed)
		hop_report_failure(session, session->hop, "engine", "lost");
	if (hop_is_first(session))
		hop_send_tokens(session, resume->next);
}

/*
 * Handles an opened connection to the agent of "hop": resends the
 * unacknowledged outputs to the next hop, or the newest token to the first hop.
 * The next token can't be generated before the first hop has this one, and the
 * first hop had the earlier tokens when it sent the input of this one.
 */
void hop_session_on_hop_up(hop_session_t *session, uint32_t hop, clock_ms_t now)
{
	(void)now;
	if (hop == 0 && hop_is_last(session) && !hop_is_first(session)) {
		session->first_down_since_ms = CLOCK_NEVER_MS;
		hop_send_results(session, session->inputs.first > 0
						  ? session->inputs.first - 1
						  : 0);
	}
	if (hop == session->hop + 1) {
		session->next_down_since_ms = CLOCK_NEVER_MS;
		session->output_sent = session->output_acked;
		hop_send_outputs(session);
	}
}

/* Records that the connection to the agent of "hop" is not open. */
void hop_session_on_hop_down(hop_session_t *session, uint32_t hop,
			     clock_ms_t now)
{
	if (hop == 0 && hop_is_last(session) && !hop_is_first(session) &&
	    session->first_down_since_ms == CLOCK_NEVER_MS)
		session->first_down_since_ms = now;
	if (hop == session->hop + 1 &&
	    session->next_down_since_ms == CLOCK_NEVER_MS)
		session->next_down_since_ms = now;
}

/* Reports a hop whose agent is connected but no longer has the session. */
void hop_session_on_hop_lost(hop_session_t *session, uint32_t hop,
			     const char *reason)
{
	if (hop < session->hop_count)
		hop_report_failure(session, hop, "step", reason);
}

static bool has_been_down_too_long(clock_ms_t since, clock_ms_t now)
{
	return since != CLOCK_NEVER_MS &&
	       now - since >= HOP_RECONNECT_TIMEOUT_MS;
}

/* Reports a hop whose connection has been down for too long. */
void hop_session_tick(hop_session_t *session, clock_ms_t now)
{
	if (has_been_down_too_long(session->next_down_since_ms, now))
		hop_report_failure(session, session->hop + 1, "step",
				   "no connection to the next hop");
	else if (has_been_down_too_long(session->first_down_since_ms, now))
		hop_report_failure(session, 0, "step_result",
				   "no connection to the first hop");
}
