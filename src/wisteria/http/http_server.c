/*
 * An HTTP/1.1 server on one event loop.  A connection is read from also while
 * its request is open, so that a caller who leaves is noticed at once; what
 * comes behind the open request waits.
 */
#include "wisteria/http/http_server.h"

#include <stdio.h>
#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/http/http_message.h"
#include "wisteria/http/http_write.h"
#include "wisteria/net/net.h"

#define SERVER_BACKLOG 1024
#define SERVER_TICK_MS 250
/* A closing connection waits this long for the peer to read the answer. */
#define LINGER_MS 1000
/* A request body may rest this long between two reads. */
#define BODY_IDLE_MS 10000
/* Bytes read behind an open request before reading stops. */
#define PENDING_BYTES_MAX (64u << 10)
#define READ_BYTES (64u << 10)

static clock_ms_t now_of(const http_conn_t *conn)
{
	return clock_now(conn->server->clock);
}

static void on_conn_closed(uv_handle_t *handle)
{
	http_conn_t *conn = handle->data;

	http_reader_finish(&conn->reader);
	g_byte_array_unref(conn->pending);
	g_free(conn);
}

static void close_conn(http_conn_t *conn)
{
	http_server_t *server = conn->server;
	bool was_open = conn->state == HTTP_CONN_ANSWERING;

	if (conn->state == HTTP_CONN_CLOSED)
		return;
	conn->state = HTTP_CONN_CLOSED;
	LIST_REMOVE(conn, entry);
	server->conn_count--;
	if (was_open && conn->user != NULL && server->handler->gone != NULL)
		server->handler->gone(server->handler, conn);
	conn->user = NULL;
	uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

static void on_shutdown(uv_shutdown_t *request, int status)
{
	(void)status; /* the connection lingers until its peer or time ends */
	g_free(request);
}

/* Sends what is queued, then our end; waits a while for the peer's. */
static void linger(http_conn_t *conn)
{
	uv_shutdown_t *request = g_new0(uv_shutdown_t, 1);

	conn->state = HTTP_CONN_LINGERING;
	conn->since_ms = now_of(conn);
	if (uv_shutdown(request, (uv_stream_t *)&conn->tcp, on_shutdown) == 0)
		return;
	g_free(request);
	close_conn(conn);
}

/* A broken connection is closed by the next tick, never under its user. */
static void write_or_break(http_conn_t *conn, const uv_buf_t *bufs,
			   unsigned count)
{
	if (!conn->broken &&
	    !http_write((uv_stream_t *)&conn->tcp, bufs, count))
		conn->broken = true;
}

static void refuse_unreadable(http_conn_t *conn)
{
	unsigned status = (unsigned)conn->reader.error;

	conn->close_after = true;
	conn->state = HTTP_CONN_ANSWERING;
	LOG_INFO("request_unreadable", "status=%u served=%u", status,
		 conn->served);
	http_conn_reply(conn, status, "", NULL, 0);
}

static void take_request(http_conn_t *conn)
{
	http_server_t *server = conn->server;

	conn->state = HTTP_CONN_ANSWERING;
	conn->request_begun = false;
	conn->close_after =
		!conn->reader.message.keep_alive || server->draining;
	server->handler->request(server->handler, conn);
}

static void answer_expectation(http_conn_t *conn, bool had_headers)
{
	static char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
	uv_buf_t buf = uv_buf_init(text, sizeof(text) - 1);

	if (had_headers || conn->reader.state != HTTP_READ_BODY ||
	    http_message_get(&conn->reader.message, "expect") == NULL)
		return;
	write_or_break(conn, &buf, 1);
}

/* Takes bytes of the next request; returns how many were used. */
static size_t read_request(http_conn_t *conn, const char *data, size_t len)
{
	bool had_headers = conn->reader.state != HTTP_READ_HEADERS;
	size_t used;

	if (!conn->request_begun) {
		conn->request_begun = true;
		conn->since_ms = now_of(conn);
	}
	if (had_headers)
		conn->since_ms = now_of(conn);
	used = http_reader_feed(&conn->reader, data, len);
	answer_expectation(conn, had_headers);
	if (conn->state != HTTP_CONN_READING)
		return used;
	if (conn->reader.state == HTTP_READ_FAILED)
		refuse_unreadable(conn);
	else if (conn->reader.state == HTTP_READ_COMPLETE)
		take_request(conn);
	return used;
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char shared[READ_BYTES];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(shared, sizeof(shared));
}

static void keep_pending(http_conn_t *conn, const char *data, size_t len)
{
	g_byte_array_append(conn->pending, (const guint8 *)data, (guint)len);
	if (conn->pending->len < PENDING_BYTES_MAX)
		return;
	uv_read_stop((uv_stream_t *)&conn->tcp);
	conn->read_stopped = true;
}

/* Reads requests out of what came behind an earlier one. */
static void read_pending(http_conn_t *conn)
{
	if (conn->reading_pending)
		return;
	conn->reading_pending = true;
	while (conn->state == HTTP_CONN_READING && conn->pending->len > 0) {
		GByteArray *batch = conn->pending;
		size_t used;

		conn->pending = g_byte_array_new();
		used = read_request(conn, (const char *)batch->data,
				    batch->len);
		g_byte_array_append(conn->pending, batch->data + used,
				    batch->len - (guint)used);
		g_byte_array_unref(batch);
	}
	conn->reading_pending = false;
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	http_conn_t *conn = stream->data;
	size_t used = 0;

	if (len < 0) {
		close_conn(conn);
		return;
	}
	if (conn->state == HTTP_CONN_READING)
		used = read_request(conn, buf->base, (size_t)len);
	if (conn->state >= HTTP_CONN_LINGERING || used == (size_t)len)
		return;
	keep_pending(conn, buf->base + used, (size_t)len - used);
	read_pending(conn);
}

/* Starts on the next request, which may have been read already. */
static void next_request(http_conn_t *conn)
{
	conn->state = HTTP_CONN_READING;
	conn->since_ms = now_of(conn);
	conn->served++;
	http_reader_next(&conn->reader);
	if (conn->read_stopped) {
		conn->read_stopped = false;
		uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	}
	read_pending(conn);
}

static void finish_answer(http_conn_t *conn)
{
	conn->user = NULL;
	if (conn->state != HTTP_CONN_ANSWERING)
		return;
	if (conn->close_after)
		linger(conn);
	else
		next_request(conn);
}

static bool is_answering(const http_conn_t *conn)
{
	return conn->state == HTTP_CONN_ANSWERING;
}

static void put_head(const http_conn_t *conn, GString *head, unsigned status,
		     const char *headers)
{
	g_string_append_printf(head, "HTTP/1.1 %u %s\r\n%s", status,
			       http_reason(status), headers);
	if (conn->close_after)
		g_string_append(head, "Connection: close\r\n");
}

/*
 * Answers the open request with a whole answer.  "headers" holds complete
 * lines, each with its CRLF.
 */
void http_conn_reply(http_conn_t *conn, unsigned status, const char *headers,
		     const void *body, size_t len)
{
	GString *head;
	uv_buf_t bufs[2];
	bool is_head = strcmp(conn->reader.message.method, "HEAD") == 0;

	if (!is_answering(conn))
		return;
	head = g_string_sized_new(256);
	put_head(conn, head, status, headers);
	g_string_append_printf(head, "Content-Length: %zu\r\n\r\n", len);
	bufs[0] = uv_buf_init(head->str, (unsigned)head->len);
	bufs[1] = uv_buf_init((char *)(uintptr_t)body, (unsigned)len);
	conn->user = NULL;
	write_or_break(conn, bufs, len > 0 && !is_head ? 2 : 1);
	g_string_free(head, TRUE);
	finish_answer(conn);
}

/*
 * Begins an answer whose body follows by http_conn_send(); a negative
 * "content_length" sends it in chunks.
 */
void http_conn_begin(http_conn_t *conn, unsigned status, const char *headers,
		     int64_t content_length)
{
	GString *head;
	uv_buf_t buf;

	if (!is_answering(conn))
		return;
	head = g_string_sized_new(256);
	conn->chunked = content_length < 0;
	put_head(conn, head, status, headers);
	if (conn->chunked)
		g_string_append(head, "Transfer-Encoding: chunked\r\n\r\n");
	else
		g_string_append_printf(
			head, "Content-Length: %" G_GINT64_FORMAT "\r\n\r\n",
			content_length);
	buf = uv_buf_init(head->str, (unsigned)head->len);
	write_or_break(conn, &buf, 1);
	g_string_free(head, TRUE);
}

/* Sends the next bytes of the body at once. */
void http_conn_send(http_conn_t *conn, const void *data, size_t len)
{
	char frame[24];
	uv_buf_t bufs[3];
	int frame_len;

	if (!is_answering(conn) || len == 0)
		return;
	bufs[1] = uv_buf_init((char *)(uintptr_t)data, (unsigned)len);
	if (!conn->chunked) {
		write_or_break(conn, &bufs[1], 1);
		return;
	}
	frame_len = snprintf(frame, sizeof(frame), "%zx\r\n", len);
	bufs[0] = uv_buf_init(frame, (unsigned)frame_len);
	bufs[2] = uv_buf_init((char *)(uintptr_t) "\r\n", 2);
	write_or_break(conn, bufs, 3);
}

/* Ends the body; the answer is complete. */
void http_conn_end(http_conn_t *conn)
{
	uv_buf_t buf = uv_buf_init((char *)(uintptr_t) "0\r\n\r\n", 5);

	if (!is_answering(conn))
		return;
	conn->user = NULL;
	if (conn->chunked)
		write_or_break(conn, &buf, 1);
	finish_answer(conn);
}

/* Breaks the connection off, so that no answer on it looks complete. */
void http_conn_abort(http_conn_t *conn)
{
	conn->user = NULL;
	close_conn(conn);
}

static void on_connection(uv_stream_t *listener, int status)
{
	http_server_t *server = listener->data;
	http_conn_t *conn;

	if (status < 0) {
		LOG_WARN("accept_failed", "reason=%s", uv_err_name(status));
		return;
	}
	conn = g_new0(http_conn_t, 1);
	conn->server = server;
	conn->pending = g_byte_array_new();
	conn->since_ms = now_of(conn);
	http_reader_init(&conn->reader, HTTP_REQUEST,
			 server->limits.header_bytes,
			 server->limits.body_bytes);
	uv_tcp_init(listener->loop, &conn->tcp);
	conn->tcp.data = conn;
	LIST_INSERT_HEAD(&server->conns, conn, entry);
	server->conn_count++;
	status = uv_accept(listener, (uv_stream_t *)&conn->tcp);
	if (status == 0)
		status = uv_read_start((uv_stream_t *)&conn->tcp, on_alloc,
				       on_read);
	if (status != 0) {
		LOG_WARN("accept_failed", "reason=%s", uv_err_name(status));
		close_conn(conn);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
}

static void check_conn(http_conn_t *conn, clock_ms_t now)
{
	const http_limits_t *limits = &conn->server->limits;
	clock_ms_t age = now - conn->since_ms;

	if (conn->state == HTTP_CONN_LINGERING && age >= LINGER_MS)
		close_conn(conn);
	if (conn->state != HTTP_CONN_READING)
		return;
	if (!conn->request_begun) {
		if (age >= limits->idle_ms)
			close_conn(conn);
		return;
	}
	if (age < (conn->reader.state == HTTP_READ_HEADERS ? limits->header_ms
							   : BODY_IDLE_MS))
		return;
	conn->close_after = true;
	conn->state = HTTP_CONN_ANSWERING;
	LOG_INFO("request_unread", "waited_ms=%" G_GINT64_FORMAT, age);
	http_conn_reply(conn, 408, "", NULL, 0);
}

static void on_tick(uv_timer_t *timer)
{
	http_server_t *server = timer->data;
	clock_ms_t now = clock_now(server->clock);
	http_conn_t *conn = LIST_FIRST(&server->conns);

	while (conn != NULL) {
		http_conn_t *next = LIST_NEXT(conn, entry);

		if (conn->broken)
			close_conn(conn);
		else
			check_conn(conn, now);
		conn = next;
	}
}

/* Listens on "address"; returns false if it cannot be bound. */
bool http_server_init(http_server_t *server, uv_loop_t *loop,
		      const char *address, const clock_source_t *clock,
		      const http_limits_t *limits,
		      http_server_handler_t *handler, err_t *err)
{
	struct sockaddr_storage parsed;
	int status;

	memset(server, 0, sizeof(*server));
	if (!net_parse_address(address, &parsed, err))
		return false;
	server->handler = handler;
	server->clock = clock;
	server->limits = *limits;
	LIST_INIT(&server->conns);
	uv_timer_init(loop, &server->tick);
	server->tick.data = server;
	uv_timer_start(&server->tick, on_tick, SERVER_TICK_MS, SERVER_TICK_MS);
	uv_tcp_init(loop, &server->tcp);
	server->tcp.data = server;
	status = uv_tcp_bind(&server->tcp, (const struct sockaddr *)&parsed, 0);
	if (status == 0)
		status = uv_listen((uv_stream_t *)&server->tcp, SERVER_BACKLOG,
				   on_connection);
	if (status == 0)
		return true;
	err_set(err, ERR_IO, "listen", address, "%s", uv_strerror(status));
	http_server_close(server);
	return false;
}

/* From now on each answer is the last one of its connection. */
void http_server_drain(http_server_t *server)
{
	http_conn_t *conn;

	server->draining = true;
	LIST_FOREACH(conn, &server->conns, entry)
	if (conn->state == HTTP_CONN_ANSWERING)
		conn->close_after = true;
}

/* Takes no new connections; those that stand go on. */
void http_server_stop_listening(http_server_t *server)
{
	if (!uv_is_closing((uv_handle_t *)&server->tcp))
		uv_close((uv_handle_t *)&server->tcp, NULL);
}

/* Closes the connections on which no request has begun. */
void http_server_close_idle(http_server_t *server)
{
	http_conn_t *conn = LIST_FIRST(&server->conns);

	while (conn != NULL) {
		http_conn_t *next = LIST_NEXT(conn, entry);

		if (conn->state == HTTP_CONN_READING && !conn->request_begun)
			close_conn(conn);
		conn = next;
	}
}

/* Stops listening and closes all connections. */
void http_server_close(http_server_t *server)
{
	while (!LIST_EMPTY(&server->conns))
		close_conn(LIST_FIRST(&server->conns));
	if (!uv_is_closing((uv_handle_t *)&server->tcp))
		uv_close((uv_handle_t *)&server->tcp, NULL);
	if (!uv_is_closing((uv_handle_t *)&server->tick))
		uv_close((uv_handle_t *)&server->tick, NULL);
}
