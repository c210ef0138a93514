/*
 * Messages to other agents, over one connection to each.  It is kept open while
 * sessions use it and for PEER_IDLE_TIMEOUT_MS longer.  If a chain has two
 * endpoints of this agent, its messages to itself go through a queue.
 */
#include "wisteria/agent/agent_peer.h"

#include <string.h>

#include "wisteria/agent/agent_dispatch.h"
#include "wisteria/agent/agent_session.h"
#include "wisteria/base/clock.h"
#include "wisteria/codec/msg.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/link.h"

/* How long a connection that no session uses is kept open. */
#define PEER_IDLE_TIMEOUT_MS 60000

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

/* Closes a connection and frees it; the value destructor of the peer table. */
void agent_peer_free(gpointer data)
{
	agent_peer_t *peer = data;

	link_finish(&peer->link);
	g_free(peer);
}

/*
 * Returns the connection to the agent at "address", or NULL if that is this
 * agent itself.  The session that uses it must call agent_peer_release().
 */
agent_peer_t *agent_peer_acquire(agent_t *agent, const char *address)
{
	agent_peer_t *peer;

	if (strcmp(address, agent->address) == 0)
		return NULL;
	peer = g_hash_table_lookup(agent->peers, address);
	if (peer == NULL)
		peer = peer_new(agent, address);
	peer->session_count++;
	link_mark_busy(&peer->link);
	return peer;
}

/* Releases one session's use of a connection; NULL is allowed. */
void agent_peer_release(agent_peer_t *peer)
{
	if (peer == NULL)
		return;
	peer->session_count--;
	link_unmark_busy(&peer->link);
	if (peer->session_count == 0)
		peer->idle_since_ms = clock_now(peer->agent->net->clock);
}

static void send_local(agent_t *agent, msg_type_t type, const void *body)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	msg_encode(type, body, &buffer);
	g_queue_push_tail(&agent->local_frames,
			  g_bytes_new(buffer.data, buffer.size));
	msgpack_sbuffer_destroy(&buffer);
	if (!uv_is_closing((uv_handle_t *)&agent->local_idle))
		uv_idle_start(&agent->local_idle, agent_on_local_idle);
}

/* Sends to the agent at "address"; drops the message if not connected. */
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

/* Replies on "conn", or to this agent itself if "conn" is NULL. */
void agent_peer_reply(agent_t *agent, conn_t *conn, msg_type_t type,
		      const void *body)
{
	if (conn == NULL)
		send_local(agent, type, body);
	else
		conn_send(conn, type, body);
}

/* Handles the messages to this agent itself that are queued so far. */
void agent_peer_handle_local(agent_t *agent)
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
		uv_idle_stop(&agent->local_idle);
}

/* Closes the connections that no session has used for a while. */
void agent_peer_tick(agent_t *agent, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const agent_peer_t *peer = value;

		if (peer->session_count == 0 &&
		    now - peer->idle_since_ms >= PEER_IDLE_TIMEOUT_MS)
			g_hash_table_iter_remove(&iter);
	}
}
