/* Messages from an entry session to the agents of its chain. */
#include "wisteria/session/entry_session_internal.h"

static void send_to(entry_session_t *session, size_t hop, msg_type_t type,
		    const void *body)
{
	session->ops->send(session->ops, session, &session->chain.hops[hop],
			   type, body);
}

static void fill_hops(const route_choice_t *chain,
		      msg_hop_t hops[ROUTER_HOPS_MAX])
{
	for (size_t i = 0; i < chain->hop_count; i++)
		hops[i] = (msg_hop_t){
			.endpoint = chain->hops[i].endpoint,
			.address = chain->hops[i].address,
			.incarnation = chain->hops[i].incarnation,
			.first_layer = chain->hops[i].first_layer,
			.end_layer = chain->hops[i].end_layer,
		};
}

/* Asks one hop to reserve a slot for the current attempt. */
void entry_send_open(entry_session_t *session, size_t hop, clock_ms_t now)
{
	const entry_session_params_t *params = &session->params;
	guint token_count = session->tokens->len;
	msg_token_t *tokens = g_new(msg_token_t, token_count + 1);
	msg_hop_t hops[ROUTER_HOPS_MAX];
	const msg_open_t open = {
		.session = params->session,
		.attempt = session->attempt,
		.revision = params->revision,
		.request_id = params->request_id,
		.customer = params->customer,
		.model = params->model,
		.priority = params->priority,
		.remaining_ms = params->deadline_ms - now,
		.max_tokens = params->max_tokens,
		.hop = (uint32_t)hop,
		.hops = hops,
		.hop_count = session->chain.hop_count,
		.prompt = hop == 0 ? params->prompt : "",
		.tokens = tokens,
		.token_count = hop == 0 ? token_count : 0,
		.traceparent = params->traceparent,
		.is_replacement = session->state == ENTRY_REPLACING,
	};

	fill_hops(&session->chain, hops);
	for (guint i = 0; i < token_count; i++)
		tokens[i] = (msg_token_t){
			.index = i,
			.text = g_ptr_array_index(session->tokens, i),
		};
	send_to(session, hop, MSG_OPEN, &open);
	g_free(tokens);
}

/* Sends the chain with the replaced hop to one of the other hops. */
void entry_send_reroute(entry_session_t *session, size_t hop)
{
	msg_hop_t hops[ROUTER_HOPS_MAX];
	const msg_reroute_t reroute = {
		.session = session->params.session,
		.attempt = session->attempt,
		.hop = (uint32_t)hop,
		.hops = hops,
		.hop_count = session->chain.hop_count,
		.replaced = session->replaced_hop,
	};

	fill_hops(&session->chain, hops);
	send_to(session, hop, MSG_REROUTE, &reroute);
}

/* Starts the first hop; from here on the request may have run. */
void entry_send_start(entry_session_t *session)
{
	const msg_session_t start = { session->params.session,
				      session->attempt };

	session->ever_started = true;
	send_to(session, 0, MSG_START, &start);
}

/*
 * Sends a hop the index of the next token to receive; "type" is MSG_TOKENS_ACK
 * or MSG_RESUME.
 */
void entry_send_next_index(entry_session_t *session, size_t hop,
			   msg_type_t type)
{
	const msg_tokens_ack_t ack = {
		.session = session->params.session,
		.attempt = session->attempt,
		.next = session->tokens->len,
		.hop = (uint32_t)hop,
	};

	send_to(session, hop, type, &ack);
}

/* Ends the current attempt on all hops. */
void entry_send_close(entry_session_t *session, const char *reason)
{
	const msg_close_t close = { .session = session->params.session,
				    .attempt = session->attempt,
				    .reason = reason };

	for (size_t i = 0; i < session->chain.hop_count; i++)
		send_to(session, i, MSG_CLOSE, &close);
}

/* Ends the current attempt on one hop, which is abandoned. */
void entry_send_close_hop(entry_session_t *session, size_t hop)
{
	const msg_close_t close = {
		.session = session->params.session,
		.attempt = session->attempt,
		.reason = "hop replaced",
		.one_hop = true,
		.hop = (uint32_t)hop,
	};

	send_to(session, hop, MSG_CLOSE, &close);
}
