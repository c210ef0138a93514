/*
 * The table of an agent's sessions, with their connections and engine, and the
 * table of closed attempts.
 */
#include "wisteria/agent/agent_session_table.h"

#include "wisteria/agent/agent_endpoint.h"
#include "wisteria/agent/agent_peer.h"
#include "wisteria/agent/agent_session.h"
#include "wisteria/base/clock.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/link.h"

/* The time until a caller's deadline is limited to this. */
#define SESSION_REMAINING_MS_MAX (24 * 60 * 60 * 1000)
/* How long a closed attempt is stored. */
#define CLOSED_ATTEMPT_RETENTION_MS 60000

/* The highest attempt of a session that was closed here. */
typedef struct {
	uint64_t session;
	uint32_t attempt;
	clock_ms_t closed_ms;
} closed_attempt_t;

static guint key_hash(gconstpointer data)
{
	const agent_session_key_t *key = data;

	return g_int64_hash(&key->session) ^ key->hop;
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	const agent_session_key_t *left = a;
	const agent_session_key_t *right = b;

	return left->session == right->session && left->hop == right->hop;
}

/* Returns one hop of a session, or NULL if this agent doesn't have it. */
agent_session_t *agent_session_find(const agent_t *agent, uint64_t session,
				    uint32_t hop)
{
	const agent_session_key_t key = { session, hop };

	return g_hash_table_lookup(agent->sessions, &key);
}

/* Returns a hop of the session's current chain. */
const msg_hop_t *agent_session_hop(const agent_session_t *session, uint32_t hop)
{
	return &hop_session_hops(session->hop)[hop];
}

/* Returns the number of hops of the session's chain. */
uint32_t agent_session_hop_count(const agent_session_t *session)
{
	return (uint32_t)hop_session_open_msg(session->hop)->hop_count;
}

/* Sets the connection to the session's entry; NULL if it was lost. */
void agent_session_set_entry(agent_session_t *session, conn_t *conn)
{
	if (session->entry == conn)
		return;
	if (session->entry != NULL)
		conn_unmark_busy(session->entry);
	session->entry = conn;
	if (conn != NULL)
		conn_mark_busy(conn);
	else
		session->entry_lost_ms = clock_now(session->agent->net->clock);
}

/* Releases the connections to other hops. */
void agent_session_release_peers(agent_session_t *session)
{
	for (size_t i = 0; i < AGENT_PEER_COUNT; i++) {
		agent_peer_release(session->peers[i]);
		session->peers[i] = NULL;
	}
}

static agent_peer_t *acquire_peer(agent_session_t *session, uint32_t hop,
				  clock_ms_t now)
{
	agent_peer_t *peer = agent_peer_acquire(
		session->agent, agent_session_hop(session, hop)->address);

	if (peer != NULL && !link_is_open(&peer->link))
		hop_session_on_hop_down(session->hop, hop, now);
	return peer;
}

/* Acquires the connections to the hops with which this hop communicates. */
void agent_session_acquire_peers(agent_session_t *session)
{
	clock_ms_t now = clock_now(session->agent->net->clock);
	uint32_t hop = session->key.hop;
	uint32_t last = agent_session_hop_count(session) - 1;

	if (hop > 0)
		session->peers[AGENT_PEER_PREVIOUS] =
			acquire_peer(session, hop - 1, now);
	if (hop < last)
		session->peers[AGENT_PEER_NEXT] =
			acquire_peer(session, hop + 1, now);
	if (last > 0 && (hop == 0 || hop == last))
		session->peers[AGENT_PEER_OTHER_END] =
			acquire_peer(session, hop == 0 ? last : 0, now);
}

static void run_work(hop_session_ops_t *self, hop_session_t *hop,
		     const hop_work_t *work)
{
	agent_session_t *session = CONTAINER_OF(self, agent_session_t, ops);
	engine_ops_t *engine = session->endpoint->engine;

	(void)hop;
	agent_trace_steps_started(&session->trace, work->position_count);
	engine->run(engine, work);
}

static void forget(hop_session_ops_t *self, hop_session_t *hop)
{
	agent_session_t *session = CONTAINER_OF(self, agent_session_t, ops);
	engine_ops_t *engine = session->endpoint->engine;
	const msg_open_t *open = hop_session_open_msg(hop);
	const engine_key_t key = {
		.session = open->session,
		.sequence = open->attempt,
		.first_layer = open->hops[open->hop].first_layer,
		.hop = open->hop,
	};

	if (hop_session_has_started(hop))
		engine->forget(engine, &key);
}

static void send_hop(hop_session_ops_t *self, hop_session_t *hop,
		     uint32_t number, msg_type_t type, const void *body)
{
	agent_session_t *session = CONTAINER_OF(self, agent_session_t, ops);

	agent_peer_send(session->agent, hop_session_hops(hop)[number].address,
			type, body);
}

static void send_entry(hop_session_ops_t *self, hop_session_t *hop,
		       msg_type_t type, const void *body)
{
	agent_session_t *session = CONTAINER_OF(self, agent_session_t, ops);

	(void)hop;
	if (session->entry == NULL)
		return;
	if (type == MSG_TOKENS) {
		msg_tokens_t tokens = *(const msg_tokens_t *)body;

		tokens.load = agent_endpoint_load(session->endpoint);
		conn_send(session->entry, type, &tokens);
		return;
	}
	conn_send(session->entry, type, body);
}

static void session_free(gpointer data)
{
	agent_session_t *session = data;

	agent_trace_end(&session->trace);
	hop_session_free(session->hop);
	agent_session_release_peers(session);
	agent_session_set_entry(session, NULL);
	session->endpoint->in_flight--;
	g_free(session);
}

/* Creates a session, which occupies a slot of the endpoint. */
agent_session_t *agent_session_new(agent_t *agent, agent_endpoint_t *endpoint,
				   const msg_open_t *open)
{
	agent_session_t *session = g_new0(agent_session_t, 1);

	session->ops = (hop_session_ops_t){
		.run = run_work,
		.forget = forget,
		.send_hop = send_hop,
		.send_entry = send_entry,
	};
	session->agent = agent;
	session->endpoint = endpoint;
	session->key = (agent_session_key_t){ open->session, open->hop };
	session->hop = hop_session_new(open, &session->ops);
	session->expires_ms =
		clock_now(agent->net->clock) +
		CLAMP(open->remaining_ms, 0, SESSION_REMAINING_MS_MAX) +
		AGENT_SESSION_GRACE_MS;
	agent_trace_start(&session->trace, agent->tracer, open,
			  endpoint->settings->name);
	endpoint->in_flight++;
	g_hash_table_insert(agent->sessions, &session->key, session);
	agent_session_acquire_peers(session);
	return session;
}

/* Creates the tables of sessions and closed attempts. */
void agent_session_init(agent_t *agent)
{
	agent->sessions =
		g_hash_table_new_full(key_hash, key_equal, NULL, session_free);
	agent->closed_attempts = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, g_free);
}

/* Ends all sessions. */
void agent_session_finish(agent_t *agent)
{
	g_hash_table_destroy(agent->sessions);
	g_hash_table_destroy(agent->closed_attempts);
}

/* Returns the highest attempt of a session that was closed here, or 0. */
uint32_t agent_session_highest_closed(const agent_t *agent, uint64_t session)
{
	const closed_attempt_t *closed =
		g_hash_table_lookup(agent->closed_attempts, &session);

	return closed == NULL ? 0 : closed->attempt;
}

/* Records that an attempt and all older ones are closed. */
void agent_session_mark_closed(agent_t *agent, uint64_t session,
			       uint32_t attempt)
{
	closed_attempt_t *closed =
		g_hash_table_lookup(agent->closed_attempts, &session);

	if (closed == NULL) {
		closed = g_new0(closed_attempt_t, 1);
		closed->session = session;
		g_hash_table_insert(agent->closed_attempts, &closed->session,
				    closed);
	}
	closed->attempt = MAX(closed->attempt, attempt);
	closed->closed_ms = clock_now(agent->net->clock);
}

/* Removes the closed attempts whose retention time is over. */
void agent_session_purge_closed(agent_t *agent, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->closed_attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const closed_attempt_t *closed = value;

		if (now - closed->closed_ms >= CLOSED_ATTEMPT_RETENTION_MS)
			g_hash_table_iter_remove(&iter);
	}
}
