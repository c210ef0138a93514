/* Messages and small accessors of a hop session. */
#include <string.h>

#include "wisteria/codec/msg.h"
#include "wisteria/session/hop_session_internal.h"

/* A step message takes no more positions once it has this many bytes. */
#define HOP_STEP_BYTES_MAX (1u << 20)

/* Returns whether the session is on the first hop of its chain. */
bool hop_is_first(const hop_session_t *session)
{
	return session->hop == 0;
}

/* Returns whether the session is on the last hop of its chain. */
bool hop_is_last(const hop_session_t *session)
{
	return session->hop + 1 == session->hop_count;
}

/* Makes "copy" a deep copy of "body"; free it with msg_finish(). */
void hop_copy_message(msg_t *copy, msg_type_t type, const void *body)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	msg_encode(type, body, &buffer);
	if (!msg_decode(copy, (const uint8_t *)buffer.data, buffer.size, NULL))
		g_error("can't decode a message that was just encoded");
	msgpack_sbuffer_destroy(&buffer);
}

/* Returns element "i" of the stored tokens. */
const stored_token_t *hop_get_token(const hop_session_t *session, guint i)
{
	return &g_array_index(session->tokens, stored_token_t, i);
}

/* Reports a failed hop to the entry, unless failure_reported is set. */
void hop_report_failure(hop_session_t *session, uint32_t hop, const char *step,
			const char *reason)
{
	const msg_session_failed_t failed = {
		.session = session->open->session,
		.attempt = session->attempt,
		.hop = hop,
		.step = step,
		.peer = session->hops[hop].endpoint,
		.reason = reason,
	};

	if (session->failure_reported)
		return;
	session->failure_reported = true;
	session->ops->send_entry(session->ops, session, MSG_SESSION_FAILED,
				 &failed);
}

/* Streams the stored tokens from index "from" on to the entry. */
void hop_send_tokens(hop_session_t *session, uint32_t from)
{
	uint32_t count = session->tokens->len;
	msg_tokens_t message = { .session = session->open->session,
				 .attempt = session->attempt };
	msg_token_t *tokens;

	if (from >= count)
		return;
	tokens = g_new(msg_token_t, count - from);
	for (uint32_t i = from; i < count; i++) {
		const stored_token_t *stored = hop_get_token(session, i);

		tokens[i - from] = (msg_token_t){ stored->index, stored->text,
						  stored->last };
	}
	message.tokens = tokens;
	message.token_count = count - from;
	session->ops->send_entry(session->ops, session, MSG_TOKENS, &message);
	g_free(tokens);
}

/*
 * Sends the next hop one step message with outputs from position "from" up to
 * "to" at most; returns the position after the last one sent.
 */
static uint32_t send_step(hop_session_t *session, uint32_t from, uint32_t to)
{
	msg_position_t *positions = g_new(msg_position_t, to - from);
	msg_step_t step = { .session = session->open->session,
			    .attempt = session->attempt,
			    .hop = session->hop + 1,
			    .first_position = from,
			    .positions = positions };
	size_t bytes = 0;

	while (from < to && bytes < HOP_STEP_BYTES_MAX) {
		bytes_t data = position_log_get(&session->outputs, from++);

		positions[step.position_count++].activations = data;
		bytes += data.len;
	}
	session->ops->send_hop(session->ops, session, step.hop, MSG_STEP,
			       &step);
	g_free(positions);
	return from;
}

/* Sends the next hop the outputs that were not sent to it yet. */
void hop_send_outputs(hop_session_t *session)
{
	uint32_t next = position_log_next(&session->outputs);

	if (session->output_sent < session->output_acked)
		session->output_sent = session->output_acked;
	while (session->output_sent < next)
		session->output_sent =
			send_step(session, session->output_sent, next);
}

/* Sends a token to the first hop. */
void hop_send_result(hop_session_t *session, const stored_token_t *stored)
{
	const msg_step_result_t result = {
		.session = session->open->session,
		.attempt = session->attempt,
		.token = { stored->index, stored->text, stored->last },
	};

	session->ops->send_hop(session->ops, session, 0, MSG_STEP_RESULT,
			       &result);
}

/* Sends the first hop the stored tokens from index "from_index" on. */
void hop_send_results(hop_session_t *session, uint32_t from_index)
{
	for (guint i = 0; i < session->tokens->len; i++)
		if (hop_get_token(session, i)->index >= from_index)
			hop_send_result(session, hop_get_token(session, i));
}

/*
 * Sends the previous hop the next position that this hop expects; "resend" asks
 * it to resend its outputs from that position on.
 */
void hop_send_ack(hop_session_t *session, bool resend)
{
	const msg_step_ack_t ack = {
		.session = session->open->session,
		.attempt = session->attempt,
		.hop = session->hop,
		.next = position_log_next(&session->inputs),
		.resend = resend,
	};

	session->input_acked = ack.next;
	session->ops->send_hop(session->ops, session, session->hop - 1,
			       MSG_STEP_ACK, &ack);
}

/* Asks the last hop for the tokens that this hop, the first, is missing. */
void hop_request_results(hop_session_t *session)
{
	const msg_step_ack_t ack = {
		.session = session->open->session,
		.attempt = session->attempt,
		.hop = 0,
		.next = session->tokens->len,
		.resend = true,
	};

	session->ops->send_hop(session->ops, session, session->hop_count - 1,
			       MSG_STEP_ACK, &ack);
}
