/*
 * Messages to other agents, over one connection to each that is kept while
 * sessions need it and a while longer.  Messages to the agent itself, when a
 * chain has two endpoints of one agent, go through a queue.
 */
#include "wisteria/agent/agent_peer.h"

#include <string.h>

#include "wisteria/agent/agent_dispatch.h"
#include "wisteria/agent/agent_session.h"
#include "wisteria/base/clock.h"
#include "wisteria/codec/msg.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/link.h"

/* A connection that no session needs is kept this long. */
#define PEER_IDLE_MS 60000

static void on_opened(conn_handler_t *self, conn_t *conn)
{
	agent_peer_t *peer = CONTAINER_OF(self, agent_peer_t, handler);

	agent_session_on_peer_up(peer->agent, peer->link.address,
				 conn->peer_incarnation);
}

static void on_message(conn_handler_t *self, conn_t *conn, const msg_t *msg)
{
	agent_peer_t *peer = CONTAINER_OF(self, agent_peer_t, handler);

	agent_dispatch(peer->agent, conn, msg);
}

static void on_closed(conn_handler_t *self, conn_t *conn, const err_t *why)
{
	agent_peer_t *peer = CONTAINER_OF(self, agent_peer_t, handler);

	(void)conn;
	(void)why;
	agent_session_on_peer_down(peer->agent, peer->link.address);
}

static agent_peer_t *peer_new(agent_t *agent, const char *address)
{
	agent_peer_t *peer = g_new0(agent_peer_t, 1);

	peer->handler.opened = on_opened;
	peer->handler.message = on_message;
	peer->handler.closed = on_closed;
	peer->agent = agent;
	link_init(&peer->link, agent->net, address, &peer->handler);
	g_hash_table_insert(agent->peers, g_strdup(address), peer);
	return peer;
}

/* Ends a connection; the table of peers calls it. */
void agent_peer_free(gpointer data)
{
	agent_peer_t *peer = data;

	link_finish(&peer->link);
	g_free(peer);
}

/*
 * Returns the connection to "address" for a session that depends on it, or
 * NULL if that is this agent itself.  Ended by agent_peer_drop().
 */
agent_peer_t *agent_peer_take(agent_t *agent, const char *address)
{
	agent_peer_t *peer;

	if (strcmp(address, agent->address) == 0)
		return NULL;
	peer = g_hash_table_lookup(agent->peers, address);
	if (peer == NULL)
		peer = peer_new(agent, address);
	peer->users++;
	link_hold(&peer->link);
	return peer;
}

/* Ends one session's need of a connection. */
void agent_peer_drop(agent_peer_t *peer)
{
	if (peer == NULL)
		return;
	peer->users--;
	link_release(&peer->link);
	if (peer->users == 0)
		peer->idle_ms = clock_now(peer->agent->net->clock);
}

static void send_local(agent_t *agent, msg_type_t type, const void *body)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	msg_encode(type, body, &buffer);
	g_queue_push_tail(&agent->local_frames,
			  g_bytes_new(buffer.data, buffer.size));
	msgpack_sbuffer_destroy(&buffer);
	if (!uv_is_closing((uv_handle_t *)&agent->local))
		uv_idle_start(&agent->local, agent_on_local);
}

/* Sends to the agent at "address"; dropped while there is no connection. */
void agent_peer_send(agent_t *agent, const char *address, msg_type_t type,
		     const void *body)
{
	agent_peer_t *peer;

	if (strcmp(address, agent->address) == 0) {
		send_local(agent, type, body);
		return;
	}
	peer = g_hash_table_lookup(agent->peers, address);
	if (peer != NULL)
		link_send(&peer->link, type, body);
}

/* Answers on "conn", or to this agent itself where it is NULL. */
void agent_peer_reply(agent_t *agent, conn_t *conn, msg_type_t type,
		      const void *body)
{
	if (conn == NULL)
		send_local(agent, type, body);
	else
		conn_send(conn, type, body);
}

/* Handles the messages that the agent has sent to itself so far. */
void agent_peer_run_local(agent_t *agent)
{
	guint count = agent->local_frames.length;

	for (guint i = 0; i < count; i++) {
		GBytes *frame = g_queue_pop_head(&agent->local_frames);
		gsize len;
		const uint8_t *data = g_bytes_get_data(frame, &len);
		msg_t msg;

		if (msg_decode(&msg, data, len, NULL)) {
			agent_dispatch(agent, NULL, &msg);
			msg_finish(&msg);
		}
		g_bytes_unref(frame);
	}
	if (agent->local_frames.length == 0)
		uv_idle_stop(&agent->local);
}

/* Ends connections that no session has needed for long. */
void agent_peer_tick(agent_t *agent, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const agent_peer_t *peer = value;

		if (peer->users == 0 && now - peer->idle_ms >= PEER_IDLE_MS)
			g_hash_table_iter_remove(&iter);
	}
}
