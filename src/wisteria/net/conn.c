/*
 * One TCP connection: length-prefixed frames, an authenticated handshake, and
 * heartbeats to detect and close a silent connection.
 */
#include "wisteria/net/conn.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/codec/msg.h"
#include "wisteria/net/auth.h"
#include "wisteria/net/link.h"

#define CONN_READ_BYTES 65536
#define FRAME_HEADER_BYTES 4

typedef void (*conn_message_handler_t)(conn_t *conn, const msg_t *msg);

typedef struct {
	uv_write_t write;
	conn_t *conn;
	char *data;
	size_t len;
} conn_write_t;

static bool is_closed(const conn_t *conn)
{
	return conn->state == CONN_CLOSED;
}

static void remove_unflushed(conn_t *conn)
{
	if (!conn->is_unflushed)
		return;
	LIST_REMOVE(conn, unflushed_entry);
	conn->is_unflushed = false;
}

static void on_tcp_closed(uv_handle_t *handle)
{
	conn_t *conn = handle->data;

	msgpack_sbuffer_destroy(&conn->out);
	g_free(conn->in);
	g_free(conn);
}

/*
 * Closes "conn" for the reason "why" and notifies its owner.  The memory is
 * freed when the loop has closed the socket.
 */
void conn_close(conn_t *conn, const err_t *why)
{
	bool was_open = conn->state == CONN_OPEN;

	if (is_closed(conn))
		return;
	conn->state = CONN_CLOSED;
	LIST_REMOVE(conn, entry);
	remove_unflushed(conn);
	if (!conn->net->closing && was_open)
		LOG_INFO("connection_closed", "peer=%s address=%s code=%s",
			 conn->peer_instance, conn->peer_address,
			 err_code_name(why->code));
	if (conn->link != NULL)
		link_on_conn_closed(conn->link, conn);
	if (was_open && !conn->net->closing)
		conn->handler->closed(conn->handler, conn, why);
	uv_close((uv_handle_t *)&conn->tcp, on_tcp_closed);
}

static void close_with_error(conn_t *conn, err_code_t code, const char *step,
			     const char *reason)
{
	err_t why = ERR_INIT;

	err_set(&why, code, step,
		conn->peer_instance[0] != '\0' ? conn->peer_instance
					       : conn->peer_address,
		"%s", reason);
	if (code == ERR_PROTOCOL || code == ERR_AUTH) {
		counter_add(COUNTER_CONNECTIONS_REFUSED, 1);
		log_err(G_LOG_LEVEL_WARNING, "connection_refused", &why);
	}
	conn_close(conn, &why);
}

static void on_written(uv_write_t *request, int status)
{
	conn_write_t *write = CONTAINER_OF(request, conn_write_t, write);
	conn_t *conn = write->conn;

	conn->in_flight_bytes -= write->len;
	free(write->data);
	g_free(write);
	if (status < 0 && !is_closed(conn))
		close_with_error(conn, ERR_CLOSED, "write",
				 uv_strerror(status));
}

/* Writes the messages queued since the last flush to the socket. */
void conn_flush(conn_t *conn)
{
	conn_write_t *write;
	uv_buf_t buf;

	remove_unflushed(conn);
	if (conn->out.size == 0 || is_closed(conn))
		return;
	write = g_new0(conn_write_t, 1);
	write->conn = conn;
	write->len = conn->out.size;
	write->data = msgpack_sbuffer_release(&conn->out);
	conn->in_flight_bytes += write->len;
	buf = uv_buf_init(write->data, (unsigned int)write->len);
	uv_write(&write->write, (uv_stream_t *)&conn->tcp, &buf, 1, on_written);
	if (conn->in_flight_bytes > NET_SEND_QUEUE_BYTES_MAX)
		close_with_error(conn, ERR_OVERLOAD, "write",
				 "the peer reads too slowly");
}

static void count_bytes(const net_t *net, counter_t total, counter_t control,
			uint64_t bytes)
{
	counter_add(total, bytes);
	if (net->is_control)
		counter_add(control, bytes);
}

static void append_frame(conn_t *conn, msg_type_t type, const void *body)
{
	static const char header[FRAME_HEADER_BYTES];
	size_t start = conn->out.size;
	uint32_t len;

	msgpack_sbuffer_write(&conn->out, header, sizeof(header));
	msg_encode(type, body, &conn->out);
	len = (uint32_t)(conn->out.size - start - FRAME_HEADER_BYTES);
	for (size_t i = 0; i < FRAME_HEADER_BYTES; i++)
		conn->out.data[start + i] = (char)(len >> (24 - 8 * i));
	if (!conn->is_unflushed)
		LIST_INSERT_HEAD(&conn->net->unflushed, conn, unflushed_entry);
	conn->is_unflushed = true;
	counter_add(COUNTER_FRAMES_OUT, 1);
	count_bytes(conn->net, COUNTER_BYTES_OUT, COUNTER_CONTROL_BYTES_OUT,
		    len + FRAME_HEADER_BYTES);
}

/*
 * Queues a message, which is written at the end of the loop iteration.  On a
 * closed connection it is dropped: the owner is notified by closed().
 */
void conn_send(conn_t *conn, msg_type_t type, const void *body)
{
	if (is_closed(conn))
		return;
	append_frame(conn, type, body);
}

/*
 * Marks "conn" as used by one more unit of work.  While there is one, the peer
 * may be silent for at most NET_BUSY_TIMEOUT_MS.  Undone by conn_unmark_busy().
 */
void conn_mark_busy(conn_t *conn)
{
	if (conn->busy_count++ == 0)
		conn->busy_since_ms = clock_now(conn->net->clock);
}

/* Undoes one conn_mark_busy(). */
void conn_unmark_busy(conn_t *conn)
{
	if (conn->busy_count > 0)
		conn->busy_count--;
}

static void send_hello(conn_t *conn)
{
	const net_t *net = conn->net;
	const msg_hello_t hello = {
		.version = MSG_VERSION,
		.instance = net->instance,
		.incarnation = net->incarnation,
		.failure_domain = net->failure_domain,
		.nonce = { conn->own_nonce, NET_NONCE_BYTES },
	};

	append_frame(conn, MSG_HELLO, &hello);
}

static void on_hello(conn_t *conn, const msg_t *msg)
{
	const msg_hello_t *hello = msg->body;
	uint8_t mac[AUTH_MAC_BYTES];
	const msg_auth_t auth = { .mac = { mac, sizeof(mac) } };

	if (conn->state != CONN_HELLO || hello->nonce.len != NET_NONCE_BYTES) {
		close_with_error(conn, ERR_PROTOCOL, "hello",
				 "unexpected hello");
		return;
	}
	if (hello->version != MSG_VERSION) {
		close_with_error(conn, ERR_PROTOCOL, "hello",
				 "protocol version mismatch");
		return;
	}
	snprintf(conn->peer_instance, sizeof(conn->peer_instance), "%s",
		 hello->instance);
	snprintf(conn->peer_failure_domain, sizeof(conn->peer_failure_domain),
		 "%s", hello->failure_domain);
	conn->peer_incarnation = hello->incarnation;
	memcpy(conn->peer_nonce, hello->nonce.data, NET_NONCE_BYTES);
	conn->state = CONN_AUTH;
	auth_compute_mac(conn, mac);
	append_frame(conn, MSG_AUTH, &auth);
}

static void on_auth(conn_t *conn, const msg_t *msg)
{
	const msg_auth_t *auth = msg->body;

	if (conn->state != CONN_AUTH) {
		close_with_error(conn, ERR_PROTOCOL, "auth", "unexpected auth");
		return;
	}
	if (!auth_verify_mac(conn, auth->mac)) {
		close_with_error(conn, ERR_AUTH, "auth", "wrong cluster key");
		return;
	}
	conn->state = CONN_OPEN;
	LOG_DEBUG("connection_opened", "peer=%s address=%s",
		  conn->peer_instance, conn->peer_address);
	if (conn->link != NULL)
		link_on_conn_opened(conn->link);
	conn->handler->opened(conn->handler, conn);
}

static void on_ping(conn_t *conn, const msg_t *msg)
{
	conn_send(conn, MSG_PONG, msg->body);
}

static void on_pong(conn_t *conn, const msg_t *msg)
{
	(void)conn;
	(void)msg;
}

static const conn_message_handler_t own_message_handlers[MSG_TYPE_COUNT] = {
	[MSG_HELLO] = on_hello,
	[MSG_AUTH] = on_auth,
	[MSG_PING] = on_ping,
	[MSG_PONG] = on_pong,
};

static void dispatch(conn_t *conn, const msg_t *msg)
{
	conn_message_handler_t own_handler = own_message_handlers[msg->type];

	if (own_handler != NULL) {
		own_handler(conn, msg);
		return;
	}
	if (conn->state != CONN_OPEN) {
		close_with_error(conn, ERR_AUTH, msg_type_name(msg->type),
				 "message before authentication");
		return;
	}
	conn->handler->message(conn->handler, conn, msg);
}

static void read_frame(conn_t *conn, const uint8_t *data, size_t len)
{
	err_t err = ERR_INIT;
	msg_t msg;

	counter_add(COUNTER_FRAMES_IN, 1);
	if (!msg_decode(&msg, data, len, &err)) {
		close_with_error(conn, ERR_PROTOCOL, "decode", err.text);
		return;
	}
	dispatch(conn, &msg);
	msg_finish(&msg);
}

static uint32_t frame_len(const uint8_t *header)
{
	return (uint32_t)header[0] << 24 | (uint32_t)header[1] << 16 |
	       (uint32_t)header[2] << 8 | (uint32_t)header[3];
}

static void read_frames(conn_t *conn)
{
	size_t consumed = 0;

	while (!is_closed(conn) &&
	       conn->in_used - consumed >= FRAME_HEADER_BYTES) {
		uint32_t len = frame_len(conn->in + consumed);

		if (len > NET_FRAME_BYTES_MAX) {
			close_with_error(conn, ERR_PROTOCOL, "frame",
					 "frame too long");
			return;
		}
		if (conn->in_used - consumed - FRAME_HEADER_BYTES < len)
			break;
		read_frame(conn, conn->in + consumed + FRAME_HEADER_BYTES, len);
		consumed += FRAME_HEADER_BYTES + len;
	}
	if (consumed > 0)
		memmove(conn->in, conn->in + consumed,
			conn->in_used - consumed);
	conn->in_used -= consumed;
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	conn_t *conn = handle->data;

	(void)suggested;
	if (conn->in_size - conn->in_used < CONN_READ_BYTES / 4) {
		conn->in_size = conn->in_used + CONN_READ_BYTES;
		conn->in = g_realloc(conn->in, conn->in_size);
	}
	*buf = uv_buf_init((char *)conn->in + conn->in_used,
			   (unsigned int)(conn->in_size - conn->in_used));
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
	conn_t *conn = stream->data;

	(void)buf;
	if (is_closed(conn) || count == 0)
		return;
	if (count < 0) {
		close_with_error(conn, ERR_CLOSED, "read",
				 uv_strerror((int)count));
		return;
	}
	conn->last_received_ms = clock_now(conn->net->clock);
	conn->in_used += (size_t)count;
	count_bytes(conn->net, COUNTER_BYTES_IN, COUNTER_CONTROL_BYTES_IN,
		    (uint64_t)count);
	read_frames(conn);
}

/*
 * Allocates a connection of "net" with an unconnected socket.  It is freed
 * after conn_close().
 */
conn_t *conn_new(net_t *net, conn_handler_t *handler)
{
	conn_t *conn = g_new0(conn_t, 1);

	conn->net = net;
	conn->handler = handler;
	conn->state = CONN_CONNECTING;
	conn->created_ms = clock_now(net->clock);
	conn->last_received_ms = conn->created_ms;
	msgpack_sbuffer_init(&conn->out);
	randombytes_buf(conn->own_nonce, sizeof(conn->own_nonce));
	uv_tcp_init(net->loop, &conn->tcp);
	conn->tcp.data = conn;
	LIST_INSERT_HEAD(&net->conns, conn, entry);
	return conn;
}

/* Starts the handshake on a connected socket. */
void conn_start(conn_t *conn)
{
	conn->state = CONN_HELLO;
	uv_tcp_nodelay(&conn->tcp, 1);
	send_hello(conn);
	if (uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read) != 0)
		close_with_error(conn, ERR_IO, "read", "cannot start reading");
}

static void ping(conn_t *conn, clock_ms_t now)
{
	const msg_ping_t body = { .sequence = ++conn->ping_sequence };

	conn->last_ping_ms = now;
	conn_send(conn, MSG_PING, &body);
}

static clock_ms_t silent_since(const conn_t *conn)
{
	if (conn->busy_count > 0 &&
	    conn->busy_since_ms > conn->last_received_ms)
		return conn->busy_since_ms;
	return conn->last_received_ms;
}

/* Extends the running timeouts of "conn" by "delay" milliseconds. */
void conn_extend_timeouts(conn_t *conn, clock_ms_t delay)
{
	conn->created_ms += delay;
	conn->last_received_ms += delay;
	conn->busy_since_ms += delay;
}

/* Sends a heartbeat if one is due and closes the connection on a timeout. */
void conn_tick(conn_t *conn, clock_ms_t now)
{
	bool busy = conn->busy_count > 0;
	clock_ms_t interval =
		busy ? NET_BUSY_PING_INTERVAL_MS : NET_IDLE_PING_INTERVAL_MS;
	clock_ms_t timeout = busy ? NET_BUSY_TIMEOUT_MS : NET_IDLE_TIMEOUT_MS;

	if (conn->state != CONN_OPEN) {
		if (now - conn->created_ms >= NET_HANDSHAKE_TIMEOUT_MS)
			close_with_error(conn, ERR_TIMEOUT, "hello",
					 "handshake timed out");
		return;
	}
	if (now - silent_since(conn) >= timeout) {
		counter_add(COUNTER_CONNECTIONS_SILENT, 1);
		close_with_error(conn, ERR_TIMEOUT, "heartbeat",
				 "heartbeat timed out");
		return;
	}
	if (now - conn->last_ping_ms >= interval)
		ping(conn, now);
}
