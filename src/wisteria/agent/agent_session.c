/*
 * The sessions of an agent: passes each message to the hop that it is for,
 * tracks the connections to entries and other hops, and ends sessions that have
 * expired or whose entry doesn't reconnect.
 */
#include "wisteria/agent/agent_session.h"

#include <string.h>

#include "wisteria/agent/agent_endpoint.h"
#include "wisteria/agent/agent_peer.h"
#include "wisteria/agent/agent_session_table.h"
#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/log.h"
#include "wisteria/net/conn.h"

/* How long a session is kept without a connection to its entry. */
#define SESSION_ORPHAN_TIMEOUT_MS 30000
/*
 * After each takeover, new attempts are numbered from a higher multiple of this
 * on, so that they differ from those that the previous entry may still start.
 */
#define SESSION_TAKEOVER_STRIDE (1u << 16)

static refusal_t check_open(agent_t *agent, const agent_endpoint_t *endpoint,
			    const msg_open_t *open)
{
	const msg_hop_t *hop = &open->hops[open->hop];

	if (open->attempt <= agent_session_highest_closed(agent, open->session))
		return REFUSAL_OLD_ATTEMPT;
	if (endpoint == NULL || endpoint->engine == NULL ||
	    (hop->incarnation != 0 &&
	     hop->incarnation != agent->net->incarnation))
		return REFUSAL_UNKNOWN_ENDPOINT;
	if (hop->first_layer != endpoint->settings->first_layer ||
	    hop->end_layer != endpoint->settings->end_layer)
		return REFUSAL_WRONG_LAYERS;
	return agent_endpoint_check_admission(agent, endpoint, open->revision);
}

static refusal_t open_session(agent_t *agent, agent_endpoint_t *endpoint,
			      conn_t *conn, const msg_open_t *open)
{
	agent_session_t *session =
		agent_session_find(agent, open->session, open->hop);
	refusal_t refusal;

	if (session != NULL &&
	    hop_session_attempt(session->hop) > open->attempt)
		return REFUSAL_OLD_ATTEMPT;
	if (session != NULL &&
	    hop_session_attempt(session->hop) == open->attempt) {
		agent_session_set_entry(session, conn);
		return REFUSAL_NONE;
	}
	if (session != NULL)
		g_hash_table_remove(agent->sessions, &session->key);
	refusal = check_open(agent, endpoint, open);
	if (refusal != REFUSAL_NONE)
		return refusal;
	session = agent_session_new(agent, endpoint, open);
	agent_session_set_entry(session, conn);
	return REFUSAL_NONE;
}

/*
 * Reserves a slot for one hop of an attempt.  Replies with REFUSAL_NONE or the
 * reason for the refusal.
 */
void agent_session_on_open(agent_t *agent, conn_t *conn, const msg_t *msg)
{
	const msg_open_t *open = msg->body;
	msg_open_reply_t reply = {
		.session = open->session,
		.attempt = open->attempt,
		.hop = open->hop,
		.refusal = REFUSAL_WRONG_LAYERS,
	};
	agent_endpoint_t *endpoint;

	if (conn == NULL)
		return;
	if (open->hop < open->hop_count && open->hop_count <= AGENT_HOPS_MAX) {
		endpoint = agent_endpoint_find(agent,
					       open->hops[open->hop].endpoint);
		reply.refusal = open_session(agent, endpoint, conn, open);
		if (endpoint != NULL)
			reply.load = agent_endpoint_load(endpoint);
	}
	if (reply.refusal != REFUSAL_NONE)
		LOG_INFO("open_refused",
			 "session=%" G_GUINT64_FORMAT
			 " attempt=%u hop=%u refusal=%u",
			 open->session, open->attempt, open->hop,
			 reply.refusal);
	conn_send(conn, MSG_OPEN_REPLY, &reply);
}

/* Replies that this agent has no such attempt, unless it was closed here. */
static void reply_no_session(agent_t *agent, conn_t *conn, uint64_t session,
			     uint32_t attempt, uint32_t hop)
{
	const msg_session_failed_t failed = {
		.session = session,
		.attempt = attempt,
		.hop = hop,
		.step = "session",
		.peer = agent->net->instance,
		.reason = "no such session here",
	};

	if (attempt > agent_session_highest_closed(agent, session))
		agent_peer_reply(agent, conn, MSG_SESSION_FAILED, &failed);
}

/* Returns whether an entry other than conn's peer took over the session. */
static bool is_taken_over(const agent_session_t *session, const conn_t *conn)
{
	return session->taken_over_by[0] != '\0' && conn != NULL &&
	       strcmp(session->taken_over_by, conn->peer_instance) != 0;
}

/* Starts generation on the first hop of a session. */
void agent_session_on_start(agent_t *agent, conn_t *conn, const msg_t *msg)
{
	const msg_session_t *start = msg->body;
	agent_session_t *session = agent_session_find(agent, start->session, 0);

	if (session == NULL) {
		reply_no_session(agent, conn, start->session, start->attempt,
				 0);
		return;
	}
	if (hop_session_attempt(session->hop) != start->attempt ||
	    is_taken_over(session, conn))
		return;
	agent_session_set_entry(session, conn);
	hop_session_on_start(session->hop, clock_now(agent->net->clock));
}

/* Handles an entry's acknowledgement of tokens. */
void agent_session_on_tokens_ack(agent_t *agent, conn_t *conn, const msg_t *msg)
{
	const msg_tokens_ack_t *ack = msg->body;
	agent_session_t *session = agent_session_find(agent, ack->session, 0);

	(void)conn;
	if (session != NULL)
		hop_session_on_tokens_ack(session->hop, ack,
					  clock_now(agent->net->clock));
}

/*
 * Handles MSG_RESUME, which an entry sends when it has reconnected, has taken
 * the session over or has noticed missing tokens.
 */
void agent_session_on_resume(agent_t *agent, conn_t *conn, const msg_t *msg)
{
	const msg_tokens_ack_t *resume = msg->body;
	agent_session_t *session =
		agent_session_find(agent, resume->session, resume->hop);

	if (session == NULL) {
		reply_no_session(agent, conn, resume->session, resume->attempt,
				 resume->hop);
		return;
	}
	if (hop_session_attempt(session->hop) != resume->attempt ||
	    is_taken_over(session, conn))
		return;
	agent_session_set_entry(session, conn);
	hop_session_on_resume(session->hop, resume,
			      clock_now(agent->net->clock));
}

/* Handles the replacement of another hop of the chain. */
void agent_session_on_reroute(agent_t *agent, conn_t *conn, const msg_t *msg)
{
	const msg_reroute_t *reroute = msg->body;
	agent_session_t *session =
		agent_session_find(agent, reroute->session, reroute->hop);

	if (session == NULL) {
		reply_no_session(agent, conn, reroute->session,
				 reroute->attempt, reroute->hop);
		return;
	}
	if (is_taken_over(session, conn))
		return;
	agent_session_set_entry(session, conn);
	hop_session_on_reroute(session->hop, reroute,
			       clock_now(agent->net->clock));
	if (hop_session_attempt(session->hop) != reroute->attempt)
		return;
	agent_session_release_peers(session);
	agent_session_acquire_peers(session);
}

/* Notifies the previous entry of a session that another one took it over. */
static void notify_previous_entry(const agent_session_t *session,
				  const conn_t *conn)
{
	const msg_session_failed_t moved = {
		.session = session->key.session,
		.attempt = hop_session_attempt(session->hop),
		.step = SESSION_FAILED_STEP_TAKEOVER,
		.peer = conn->peer_instance,
		.reason = "the caller asked another entry for the stream",
	};

	if (session->entry != NULL && session->entry != conn)
		conn_send(session->entry, MSG_SESSION_FAILED, &moved);
}

/*
 * Hands a session over to an entry that serves the same customer; it may be the
 * entry that already has the session.  If it is another one, later messages of
 * the previous entry that start, resume or reroute the first hop are ignored.
 * Its MSG_CLOSE doesn't close the first hop either, but closing the whole
 * attempt is still recorded.
 */
void agent_session_on_takeover(agent_t *agent, conn_t *conn, const msg_t *msg)
{
	const msg_takeover_t *takeover = msg->body;
	agent_session_t *session =
		agent_session_find(agent, takeover->session, 0);
	clock_ms_t now = clock_now(agent->net->clock);
	msg_takeover_reply_t reply = { .session = takeover->session };
	msg_token_t *tokens = NULL;

	if (conn == NULL)
		return;
	if (session != NULL &&
	    strcmp(hop_session_open_msg(session->hop)->customer,
		   takeover->customer) == 0) {
		uint32_t attempt = hop_session_attempt(session->hop);
		uint32_t base = attempt / SESSION_TAKEOVER_STRIDE;

		tokens = hop_session_fill_open_msg(session->hop, &reply.open);
		reply.found = true;
		reply.next_attempt = (base + ++session->takeover_count) *
				     SESSION_TAKEOVER_STRIDE;
		reply.open.remaining_ms =
			session->expires_ms - AGENT_SESSION_GRACE_MS - now;
		g_strlcpy(session->taken_over_by, conn->peer_instance,
			  sizeof(session->taken_over_by));
		notify_previous_entry(session, conn);
		agent_session_set_entry(session, conn);
		LOG_INFO("session_taken_over",
			 "session=%" G_GUINT64_FORMAT " entry=%s",
			 takeover->session, session->taken_over_by);
	}
	conn_send(conn, MSG_TAKEOVER_REPLY, &reply);
	g_free(tokens);
}

static void close_hop(agent_t *agent, const conn_t *conn,
		      const msg_close_t *close, uint32_t hop)
{
	agent_session_t *session =
		agent_session_find(agent, close->session, hop);

	if (session != NULL && !is_taken_over(session, conn) &&
	    hop_session_attempt(session->hop) <= close->attempt)
		g_hash_table_remove(agent->sessions, &session->key);
}

/* Closes an attempt, or one hop of it, and older attempts. */
void agent_session_on_close(agent_t *agent, conn_t *conn, const msg_t *msg)
{
	const msg_close_t *close = msg->body;

	if (close->one_hop) {
		close_hop(agent, conn, close, close->hop);
		return;
	}
	agent_session_mark_closed(agent, close->session, close->attempt);
	for (uint32_t hop = 0; hop < AGENT_HOPS_MAX; hop++)
		close_hop(agent, conn, close, hop);
}

/*
 * Handles the report of an agent that it doesn't have a hop of a session.  The
 * lowest hop here that is in the same attempt reports that hop to the entry as
 * lost.
 */
void agent_session_on_failed(agent_t *agent, conn_t *conn, const msg_t *msg)
{
	const msg_session_failed_t *failed = msg->body;

	(void)conn;
	for (uint32_t hop = 0; hop < AGENT_HOPS_MAX; hop++) {
		agent_session_t *session =
			agent_session_find(agent, failed->session, hop);

		if (session == NULL ||
		    hop_session_attempt(session->hop) != failed->attempt)
			continue;
		hop_session_on_hop_lost(session->hop, failed->hop,
					failed->reason);
		return;
	}
}

/* Passes positions to the hop that runs them. */
void agent_session_on_step(agent_t *agent, conn_t *conn, const msg_t *msg)
{
	const msg_step_t *step = msg->body;
	agent_session_t *session =
		agent_session_find(agent, step->session, step->hop);

	if (session == NULL) {
		reply_no_session(agent, conn, step->session, step->attempt,
				 step->hop);
		return;
	}
	hop_session_on_step(session->hop, step, clock_now(agent->net->clock));
}

/*
 * Handles an acknowledgement of positions.  From hop N it is for hop N - 1;
 * from hop 0 it is for the last hop, whose number isn't in the message.
 */
void agent_session_on_step_ack(agent_t *agent, conn_t *conn, const msg_t *msg)
{
	const msg_step_ack_t *ack = msg->body;
	uint32_t first = ack->hop > 0 ? ack->hop - 1 : 0;
	uint32_t end = ack->hop > 0 ? ack->hop : AGENT_HOPS_MAX;

	(void)conn;
	for (uint32_t hop = first; hop < end && hop < AGENT_HOPS_MAX; hop++) {
		agent_session_t *session =
			agent_session_find(agent, ack->session, hop);

		if (session != NULL)
			hop_session_on_step_ack(session->hop, ack,
						clock_now(agent->net->clock));
	}
}

/* Handles a token that the last hop sent to the first. */
void agent_session_on_step_result(agent_t *agent, conn_t *conn,
				  const msg_t *msg)
{
	const msg_step_result_t *result = msg->body;
	agent_session_t *session =
		agent_session_find(agent, result->session, 0);

	if (session == NULL) {
		reply_no_session(agent, conn, result->session, result->attempt,
				 0);
		return;
	}
	hop_session_on_step_result(session->hop, result,
				   clock_now(agent->net->clock));
}

static agent_session_t *find_sequence(const agent_t *agent,
				      const engine_key_t *key)
{
	agent_session_t *session =
		agent_session_find(agent, key->session, key->hop);

	if (session == NULL ||
	    hop_session_open_msg(session->hop)->attempt != key->sequence)
		return NULL;
	return session;
}

/* Passes the result of a run to the hop that requested it. */
void agent_session_on_engine_done(engine_handler_t *self,
				  const engine_key_t *key, uint32_t attempt,
				  const hop_result_t *result)
{
	agent_endpoint_t *endpoint =
		CONTAINER_OF(self, agent_endpoint_t, handler);
	agent_session_t *session = find_sequence(endpoint->agent, key);

	if (session == NULL)
		return;
	agent_trace_steps_done(&session->trace);
	hop_session_on_engine_done(session->hop, attempt, result,
				   clock_now(endpoint->agent->net->clock));
}

/* Passes the failure of a run to the hop that requested it. */
void agent_session_on_engine_failed(engine_handler_t *self,
				    const engine_key_t *key, uint32_t attempt,
				    const char *reason)
{
	agent_endpoint_t *endpoint =
		CONTAINER_OF(self, agent_endpoint_t, handler);
	agent_session_t *session = find_sequence(endpoint->agent, key);

	if (session == NULL)
		return;
	agent_trace_steps_failed(&session->trace, reason);
	hop_session_on_engine_failed(session->hop, attempt, reason,
				     clock_now(endpoint->agent->net->clock));
}

typedef void (*visit_hop_t)(agent_session_t *session, uint32_t hop,
			    uint64_t incarnation, clock_ms_t now);

/* Calls "visit" for each hop whose agent is at "address", in all sessions. */
static void visit_hops(agent_t *agent, const char *address,
		       uint64_t incarnation, visit_hop_t visit)
{
	clock_ms_t now = clock_now(agent->net->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		agent_session_t *session = value;
		uint32_t count = agent_session_hop_count(session);

		for (uint32_t hop = 0; hop < count; hop++)
			if (strcmp(agent_session_hop(session, hop)->address,
				   address) == 0)
				visit(session, hop, incarnation, now);
	}
}

static void notify_hop_up(agent_session_t *session, uint32_t hop,
			  uint64_t incarnation, clock_ms_t now)
{
	uint64_t expected = agent_session_hop(session, hop)->incarnation;

	if (expected != 0 && expected != incarnation)
		hop_session_on_hop_lost(session->hop, hop,
					"the agent has restarted");
	else
		hop_session_on_hop_up(session->hop, hop, now);
}

static void notify_hop_down(agent_session_t *session, uint32_t hop,
			    uint64_t incarnation, clock_ms_t now)
{
	(void)incarnation;
	hop_session_on_hop_down(session->hop, hop, now);
}

/* Handles an opened connection to another agent. */
void agent_session_on_peer_up(agent_t *agent, const char *address,
			      uint64_t incarnation)
{
	visit_hops(agent, address, incarnation, notify_hop_up);
}

/* Handles the loss of the connection to another agent. */
void agent_session_on_peer_down(agent_t *agent, const char *address)
{
	visit_hops(agent, address, 0, notify_hop_down);
}

/* Handles the loss of an inbound connection, possibly from an entry. */
void agent_session_on_entry_down(agent_t *agent, const conn_t *conn)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		agent_session_t *session = value;

		if (session->entry == conn)
			agent_session_set_entry(session, NULL);
	}
}

static bool is_expired(const agent_session_t *session, clock_ms_t now)
{
	if (now >= session->expires_ms)
		return true;
	return session->entry == NULL &&
	       now - session->entry_lost_ms >= SESSION_ORPHAN_TIMEOUT_MS;
}

/* Runs the timers of all sessions and ends those that have expired. */
void agent_session_tick(agent_t *agent, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		agent_session_t *session = value;

		if (!is_expired(session, now)) {
			hop_session_tick(session->hop, now);
			continue;
		}
		LOG_INFO("session_expired",
			 "session=%" G_GUINT64_FORMAT " hop=%u",
			 session->key.session, session->key.hop);
		g_hash_table_iter_remove(&iter);
	}
	agent_session_purge_closed(agent, now);
}
