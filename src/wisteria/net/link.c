/*
 * An outgoing connection that is reestablished, with exponential backoff,
 * whenever it is lost.  Messages sent on a lost connection may or may not have
 * arrived; the user of the link resends them when the link opens.
 */
#include "wisteria/net/link.h"

#include <stdio.h>
#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/net.h"

static void ignore_closed(conn_handler_t *self, conn_t *conn, const err_t *why)
{
	(void)self;
	(void)conn;
	(void)why;
}

/* Replaces the handler of the connection of a finished link. */
static conn_handler_t ignoring_handler = { .closed = ignore_closed };

static void on_connected(uv_connect_t *request, int status)
{
	conn_t *conn = CONTAINER_OF(request, conn_t, connect);
	err_t why = ERR_INIT;

	if (conn->state == CONN_CLOSED)
		return;
	if (status == 0) {
		conn_start(conn);
		return;
	}
	if (conn->link != NULL && status == UV_ECONNREFUSED)
		conn->link->refused = true;
	err_set(&why, ERR_CLOSED, "connect", conn->peer_address, "%s",
		uv_strerror(status));
	LOG_DEBUG("connect_failed", "address=%s", conn->peer_address);
	conn_close(conn, &why);
}

static void start_connecting(link_t *link)
{
	struct sockaddr_storage address;
	err_t err = ERR_INIT;
	conn_t *conn;
	int status;

	if (!net_parse_address(link->address, &address, &err)) {
		link->retry_at_ms = CLOCK_NEVER_MS;
		log_err(G_LOG_LEVEL_WARNING, "bad_address", &err);
		return;
	}
	conn = conn_new(link->net, link->handler);
	conn->link = link;
	conn->user = link->user;
	conn->busy_count = link->busy_count;
	conn->busy_since_ms = conn->created_ms;
	snprintf(conn->peer_address, sizeof(conn->peer_address), "%s",
		 link->address);
	link->conn = conn;
	status =
		uv_tcp_connect(&conn->connect, &conn->tcp,
			       (const struct sockaddr *)&address, on_connected);
	if (status != 0) {
		err_set(&err, ERR_CLOSED, "connect", link->address, "%s",
			uv_strerror(status));
		conn_close(conn, &err);
	}
}

/* Starts connecting to "address"; "handler" must outlive the link. */
void link_init(link_t *link, net_t *net, const char *address,
	       conn_handler_t *handler)
{
	memset(link, 0, sizeof(*link));
	link->net = net;
	link->handler = handler;
	link->retry_delay_ms = NET_RECONNECT_MIN_MS;
	snprintf(link->address, sizeof(link->address), "%s", address);
	LIST_INSERT_HEAD(&net->links, link, entry);
	start_connecting(link);
}

/* Closes the link and its connection without calling the handler. */
void link_finish(link_t *link)
{
	const err_t why = { .code = ERR_CLOSED };
	conn_t *conn = link->conn;

	LIST_REMOVE(link, entry);
	if (conn == NULL)
		return;
	link->conn = NULL;
	conn->handler = &ignoring_handler;
	conn_close(conn, &why);
}

/* Returns whether messages can be sent now. */
bool link_is_open(const link_t *link)
{
	return link->conn != NULL && link->conn->state == CONN_OPEN;
}

/*
 * Returns whether the last attempt that was answered found no process listening
 * at the address.  A process that is frozen or cut off refuses nothing.
 */
bool link_is_refused(const link_t *link)
{
	return link->refused;
}

/* Sends a message; returns false, and sends nothing, if not connected. */
bool link_send(link_t *link, msg_type_t type, const void *body)
{
	if (!link_is_open(link))
		return false;
	conn_send(link->conn, type, body);
	return true;
}

/* Like conn_mark_busy(), for the present and all later connections. */
void link_mark_busy(link_t *link)
{
	link->busy_count++;
	if (link->conn != NULL)
		conn_mark_busy(link->conn);
}

/* Undoes one link_mark_busy(). */
void link_unmark_busy(link_t *link)
{
	if (link->busy_count > 0)
		link->busy_count--;
	if (link->conn != NULL)
		conn_unmark_busy(link->conn);
}

/* Reconnects when the retry delay has passed. */
void link_tick(link_t *link, clock_ms_t now)
{
	if (link->conn == NULL && now >= link->retry_at_ms)
		start_connecting(link);
}

/* Handles the end of the link's connection; schedules a reconnection. */
void link_on_conn_closed(link_t *link, const conn_t *conn)
{
	clock_ms_t delay = link->retry_delay_ms;

	if (link->conn != conn)
		return;
	link->conn = NULL;
	link->retry_at_ms = clock_now(link->net->clock) + delay;
	link->retry_delay_ms = delay * 2 > NET_RECONNECT_MAX_MS
				       ? NET_RECONNECT_MAX_MS
				       : delay * 2;
}

/* Handles the opening of the link's connection; resets the retry delay. */
void link_on_conn_opened(link_t *link)
{
	link->retry_delay_ms = NET_RECONNECT_MIN_MS;
	link->refused = false;
}
