/*
 * An HTTP/1.1 server on one event loop.  A connection is also read while its
 * request is being answered, so that a client's disconnect is detected at once.
 * Pipelined requests are buffered until the current response is complete.
 */
#include "wisteria/http/http_server.h"

#include <errno.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/http/http_message.h"
#include "wisteria/http/http_write.h"
#include "wisteria/net/net.h"

#define SERVER_BACKLOG 1024
#define SERVER_TICK_MS 250
/* Time for the peer to read the last response and close the connection. */
#define LINGER_MS 1000
/* Maximum time in which the peer accepts nothing of a complete response. */
#define SEND_IDLE_MS 10000
/*
 * In a stop, time for connections in the handshake to complete: longer than the
 * first retransmission of data, shorter than that of a connection attempt.
 */
#define HANDSHAKE_MS 500
/* In a stop, time for a client to send its first request: a few round trips. */
#define FIRST_REQUEST_MS 1000
/* Maximum time between two reads of a request body. */
#define BODY_IDLE_MS 10000
/* Number of pipelined bytes at which reading from the connection pauses. */
#define PENDING_BYTES_MAX (64u << 10)
#define READ_BYTES (64u << 10)
/* Both, once half of what all connections may hold is held. */
#define SCARCE_READ_BYTES (4u << 10)
/*
 * With more bytes of responses that its client has not taken, a connection's
 * next request waits.  The kernel holds far more before.
 */
#define UNTAKEN_BYTES_MAX (16u << 10)
/*
 * Most bytes of requests that are held over all connections: six of the usual
 * largest body, a fraction of the least memory of a machine, since a body takes
 * up to three times its length until it is answered.
 */
#define HELD_BYTES_DEFAULT (24u << 20)
/* Three quarters of the descriptors that a process usually has. */
#define CONNECTIONS_DEFAULT 3000
/* For a client whose request was not read, in seconds. */
#define REFUSAL_HEADERS "Retry-After: 1\r\n"
/*
 * Most bytes of responses that clients have not taken, over all connections of a
 * server.  Checked by each tick, and as one has BACKLOG_LARGE_BYTES or more.
 */
#define BACKLOG_BYTES_MAX (32u << 20)
#define BACKLOG_LARGE_BYTES (256u << 10)

static clock_ms_t conn_now(const http_conn_t *conn)
{
	return clock_now(conn->server->clock);
}

static size_t held_bytes_max(const http_server_t *server)
{
	size_t held_bytes = server->limits.held_bytes > 0
				    ? server->limits.held_bytes
				    : HELD_BYTES_DEFAULT;

	return MAX(held_bytes, server->limits.header_bytes +
				       server->limits.body_bytes + READ_BYTES);
}

static unsigned connections_max(const http_server_t *server)
{
	return server->limits.connections > 0 ? server->limits.connections
					      : CONNECTIONS_DEFAULT;
}

/* Counts what the connection holds of requests; to be called when it changes. */
static void count_held(http_conn_t *conn)
{
	size_t held = 0;

	if (conn->state < HTTP_CONN_LINGERING)
		held = conn->reader.message.text->len +
		       conn->reader.message.body->len + conn->pending->len;
	conn->server->held_bytes += held - conn->held_bytes;
	conn->held_bytes = held;
}

static bool is_memory_scarce(const http_server_t *server)
{
	return server->held_bytes > held_bytes_max(server) / 2;
}

static void on_conn_closed(uv_handle_t *handle)
{
	http_conn_t *conn = handle->data;

	http_reader_finish(&conn->reader);
	g_byte_array_unref(conn->pending);
	g_free(conn);
}

/* Returns whether bytes of the client have arrived that were not read yet. */
static bool has_unread_bytes(const http_conn_t *conn)
{
	uv_os_fd_t fd;
	char byte;

	return uv_fileno((const uv_handle_t *)&conn->tcp, &fd) == 0 &&
	       recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Returns how much of responses the kernel has not taken yet. */
size_t http_conn_unsent_bytes(const http_conn_t *conn)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp);
}

/*
 * Logs and counts a connection that this server closes, unless its client has
 * everything that it could expect.
 */
static void report_close(const http_conn_t *conn, const char *reason)
{
	static const char *const states[] = {
		[HTTP_CONN_READING] = "reading",
		[HTTP_CONN_RESPONDING] = "responding",
		[HTTP_CONN_LINGERING] = "lingering",
	};
	size_t unsent = http_conn_unsent_bytes(conn);
	bool has_unread = has_unread_bytes(conn);
	bool is_unanswered = unsent > 0 ||
			     conn->state == HTTP_CONN_RESPONDING ||
			     (conn->state == HTTP_CONN_READING &&
			      (conn->request_started || has_unread));

	if (conn->state == HTTP_CONN_LINGERING && !is_unanswered)
		return;
	counter_add(is_unanswered ? COUNTER_HTTP_CLOSED_UNANSWERED
				  : COUNTER_HTTP_CLOSED_IDLE,
		    1);
	LOG_INFO("http_connection_closed",
		 "reason=%s state=%s unanswered=%d served=%u "
		 "age_ms=%" G_GINT64_FORMAT " waited_ms=%" G_GINT64_FORMAT
		 " read_bytes=%" G_GUINT64_FORMAT
		 " request_started=%d unread=%d unsent_bytes=%zu",
		 reason, states[conn->state], is_unanswered,
		 conn->requests_served, conn_now(conn) - conn->opened_ms,
		 conn_now(conn) - conn->since_ms, conn->read_bytes,
		 conn->request_started, has_unread, unsent);
}

/* Closes the connection; "reason" is NULL if its client closed it. */
static void close_conn(http_conn_t *conn, const char *reason)
{
	http_server_t *server = conn->server;
	bool was_responding = conn->state == HTTP_CONN_RESPONDING;

	if (conn->state == HTTP_CONN_CLOSED)
		return;
	if (reason != NULL)
		report_close(conn, reason);
	conn->state = HTTP_CONN_CLOSED;
	count_held(conn);
	LIST_REMOVE(conn, entry);
	server->conn_count--;
	if (was_responding && conn->user != NULL &&
	    server->handler->gone != NULL)
		server->handler->gone(server->handler, conn);
	conn->user = NULL;
	uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

/*
 * Sets whether closing the connection, also by the end of this process, resets
 * it, so that a client does not take what it has for a complete response.
 */
static void set_reset_on_close(http_conn_t *conn, bool resets)
{
	const struct linger linger = { .l_onoff = resets };
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)&conn->tcp, &fd) == 0)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void on_shutdown(uv_shutdown_t *request, int status)
{
	http_conn_t *conn = request->handle->data;

	/* Otherwise closed by the peer or after LINGER_MS. */
	if (status == 0 && conn->ends_with_close)
		set_reset_on_close(conn, false);
	conn->since_ms = conn_now(conn);
	g_free(request);
}

/*
 * Shuts down the write side after the queued data was sent, and waits up to
 * LINGER_MS for the peer to close.
 */
static void linger(http_conn_t *conn)
{
	uv_shutdown_t *request = g_new0(uv_shutdown_t, 1);

	conn->state = HTTP_CONN_LINGERING;
	count_held(conn);
	http_reader_reset(&conn->reader);
	g_byte_array_set_size(conn->pending, 0);
	conn->since_ms = conn_now(conn);
	if (uv_shutdown(request, (uv_stream_t *)&conn->tcp, on_shutdown) == 0)
		return;
	g_free(request);
	close_conn(conn, "shutdown_failed");
}

/*
 * If the clients together have taken too little, gives up those that have taken
 * least of their responses.
 */
static void limit_backlog(http_server_t *server)
{
	http_conn_t *largest;
	size_t total;

	do {
		http_conn_t *conn;

		largest = NULL;
		total = 0;
		LIST_FOREACH(conn, &server->conns, entry)
		{
			size_t unsent = http_conn_unsent_bytes(conn);

			if (conn->failure != NULL)
				continue;
			total += unsent;
			if (largest == NULL ||
			    unsent > http_conn_unsent_bytes(largest))
				largest = conn;
		}
		if (total > BACKLOG_BYTES_MAX)
			largest->failure = "backlog_full";
	} while (total > BACKLOG_BYTES_MAX);
}

/*
 * A connection whose write failed is closed by the next timer tick, because the
 * caller of this function still uses it.
 */
static void write_or_mark_failed(http_conn_t *conn, const uv_buf_t *bufs,
				 unsigned count)
{
	if (conn->failure == NULL &&
	    !http_write((uv_stream_t *)&conn->tcp, bufs, count))
		conn->failure = "write_failed";
	if (http_conn_unsent_bytes(conn) >= BACKLOG_LARGE_BYTES)
		limit_backlog(conn->server);
}

static void reject_invalid_request(http_conn_t *conn)
{
	unsigned status = (unsigned)conn->reader.error;

	conn->close_after = true;
	conn->state = HTTP_CONN_RESPONDING;
	LOG_INFO("request_invalid", "status=%u served=%u", status,
		 conn->requests_served);
	http_conn_reply(conn, status, "", NULL, 0);
}

static void dispatch_request(http_conn_t *conn)
{
	http_server_t *server = conn->server;

	conn->state = HTTP_CONN_RESPONDING;
	conn->request_started = false;
	conn->head_sent = false;
	conn->close_after =
		!conn->reader.message.keep_alive || server->draining;
	server->handler->request(server->handler, conn);
}

static void send_continue(http_conn_t *conn, bool headers_were_read)
{
	static char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
	uv_buf_t buf = uv_buf_init(text, sizeof(text) - 1);

	if (headers_were_read || conn->reader.state != HTTP_READ_BODY ||
	    http_message_find_header(&conn->reader.message, "expect") == NULL)
		return;
	write_or_mark_failed(conn, &buf, 1);
}

/* Parses bytes of the next request; returns how many were consumed. */
static size_t read_request(http_conn_t *conn, const char *data, size_t len)
{
	bool headers_were_read = conn->reader.state != HTTP_READ_HEADERS;
	size_t consumed;

	if (!conn->request_started) {
		conn->request_started = true;
		conn->since_ms = conn_now(conn);
	}
	if (headers_were_read)
		conn->since_ms = conn_now(conn);
	consumed = http_reader_feed(&conn->reader, data, len);
	send_continue(conn, headers_were_read);
	if (conn->state != HTTP_CONN_READING)
		return consumed;
	if (conn->reader.state == HTTP_READ_FAILED)
		reject_invalid_request(conn);
	else if (conn->reader.state == HTTP_READ_COMPLETE)
		dispatch_request(conn);
	return consumed;
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char read_buffer[READ_BYTES];
	const http_conn_t *conn = handle->data;

	(void)suggested;
	*buf = uv_buf_init(read_buffer, is_memory_scarce(conn->server)
						? SCARCE_READ_BYTES
						: sizeof(read_buffer));
}

/* Whether the client has to take more of the last response first. */
static bool is_untaken(const http_conn_t *conn)
{
	return http_conn_unsent_bytes(conn) > UNTAKEN_BYTES_MAX;
}

static void buffer_pending(http_conn_t *conn, const char *data, size_t len)
{
	g_byte_array_append(conn->pending, (const guint8 *)data, (guint)len);
	if (conn->pending->len < (is_memory_scarce(conn->server)
					  ? SCARCE_READ_BYTES
					  : PENDING_BYTES_MAX))
		return;
	uv_read_stop((uv_stream_t *)&conn->tcp);
	conn->read_stopped = true;
}

/* Whether a buffered request can be parsed now. */
static bool has_next_request(const http_conn_t *conn)
{
	return conn->state == HTTP_CONN_READING && conn->pending->len > 0 &&
	       !is_untaken(conn);
}

static void on_idle(uv_idle_t *idle);

/* Lets the next buffered request be parsed when the others have had their turn. */
static void schedule_next_request(http_conn_t *conn)
{
	if (has_next_request(conn))
		uv_idle_start(&conn->server->idle, on_idle);
}

/* Parses one request that was buffered while responding. */
static void parse_next_request(http_conn_t *conn)
{
	size_t consumed = read_request(conn, (const char *)conn->pending->data,
				       conn->pending->len);

	/* Nothing is pending if the connection is being closed. */
	if (consumed <= conn->pending->len)
		g_byte_array_remove_range(conn->pending, 0, (guint)consumed);
}

/*
 * Returns the connection that has made no progress for longest among those that
 * read a request, or among those between requests; NULL: there is none.
 */
static http_conn_t *find_slowest(const http_server_t *server,
				 bool reads_request)
{
	http_conn_t *slowest = NULL;
	http_conn_t *conn;

	LIST_FOREACH(conn, &server->conns, entry)
	{
		if (conn->state != HTTP_CONN_READING ||
		    conn->request_started != reads_request)
			continue;
		if (slowest == NULL || conn->since_ms < slowest->since_ms)
			slowest = conn;
	}
	return slowest;
}

/* Refuses a request that is being read, and has not run. */
static void refuse_unread(http_conn_t *conn, const char *reason)
{
	LOG_INFO("request_not_read",
		 "reason=%s held_bytes=%zu waited_ms=%" G_GINT64_FORMAT, reason,
		 conn->held_bytes, conn_now(conn) - conn->since_ms);
	counter_add(COUNTER_HTTP_REFUSED_UNREAD, 1);
	conn->close_after = true;
	conn->state = HTTP_CONN_RESPONDING;
	http_conn_reply(conn, 503, REFUSAL_HEADERS, NULL, 0);
}

/*
 * If the clients together have sent too much, refuses those that have made no
 * progress for longest.
 */
static void limit_held(http_server_t *server)
{
	while (server->held_bytes > held_bytes_max(server)) {
		http_conn_t *slowest = find_slowest(server, true);

		if (slowest == NULL)
			return;
		refuse_unread(slowest, "memory");
	}
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	http_conn_t *conn = stream->data;
	size_t consumed = 0;

	if (len < 0) {
		close_conn(conn, NULL);
		return;
	}
	conn->read_bytes += (uint64_t)len;
	if (conn->state == HTTP_CONN_READING && conn->pending->len == 0 &&
	    !is_untaken(conn))
		consumed = read_request(conn, buf->base, (size_t)len);
	if (conn->state < HTTP_CONN_LINGERING && consumed < (size_t)len) {
		buffer_pending(conn, buf->base + consumed,
			       (size_t)len - consumed);
		schedule_next_request(conn);
	}
	if (conn->state == HTTP_CONN_CLOSED)
		return;
	count_held(conn);
	limit_held(conn->server);
}

/* Goes on with what is buffered, and reads on once little of it is left. */
static void go_on_reading(http_conn_t *conn)
{
	schedule_next_request(conn);
	if (!conn->read_stopped || conn->state >= HTTP_CONN_LINGERING ||
	    is_untaken(conn) || conn->pending->len >= SCARCE_READ_BYTES)
		return;
	conn->read_stopped = false;
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

/*
 * Parses one buffered request of each connection, so that one with many leaves
 * the others their turn.
 */
static void on_idle(uv_idle_t *idle)
{
	http_server_t *server = idle->data;
	http_conn_t *conn = LIST_FIRST(&server->conns);

	uv_idle_stop(idle);
	while (conn != NULL) {
		http_conn_t *next = LIST_NEXT(conn, entry);

		if (has_next_request(conn)) {
			parse_next_request(conn);
			count_held(conn);
			go_on_reading(conn);
		}
		conn = next;
	}
}

/* Starts reading the next request, which may already be buffered. */
static void start_next_request(http_conn_t *conn)
{
	conn->state = HTTP_CONN_READING;
	conn->since_ms = conn_now(conn);
	conn->requests_served++;
	http_reader_reset(&conn->reader);
	count_held(conn);
	go_on_reading(conn);
}

static void finish_response(http_conn_t *conn)
{
	conn->user = NULL;
	if (conn->state != HTTP_CONN_RESPONDING)
		return;
	if (conn->close_after)
		linger(conn);
	else
		start_next_request(conn);
}

static bool is_responding(const http_conn_t *conn)
{
	return conn->state == HTTP_CONN_RESPONDING;
}

static void append_head(http_conn_t *conn, GString *head, unsigned status,
			const char *headers)
{
	g_string_append_printf(head, "HTTP/1.1 %u %s\r\n%s", status,
			       http_reason_phrase(status), headers);
	if (conn->close_after)
		g_string_append(head, "Connection: close\r\n");
	conn->head_sent = true;
}

static bool is_head_request(const http_conn_t *conn)
{
	return strcmp(conn->reader.message.method, "HEAD") == 0;
}

/*
 * Appends the length of the body, and the end of the head.  204 and interim
 * responses must not have a length (RFC 9110, 8.6); that of 304 would have to be
 * the length of the 200 response, which is not known here.
 */
static void end_head(GString *head, unsigned status, int64_t length)
{
	if (length >= 0 && !http_status_has_no_body(status))
		g_string_append_printf(
			head, "Content-Length: %" G_GINT64_FORMAT "\r\n",
			length);
	g_string_append(head, "\r\n");
}

/*
 * Sends a complete response to the current request.  "headers" consists of
 * complete lines, each with its CRLF.  The body is left out where the response
 * has none.
 */
void http_conn_reply(http_conn_t *conn, unsigned status, const char *headers,
		     const void *body, size_t len)
{
	GString *head;
	uv_buf_t bufs[2];
	bool has_body = len > 0 && !is_head_request(conn) &&
			!http_status_has_no_content(status);

	if (!is_responding(conn))
		return;
	head = g_string_sized_new(256);
	append_head(conn, head, status, headers);
	end_head(head, status, status == 205 ? 0 : (int64_t)len);
	bufs[0] = uv_buf_init(head->str, (unsigned)head->len);
	bufs[1] = uv_buf_init((char *)(uintptr_t)body, (unsigned)len);
	conn->user = NULL;
	write_or_mark_failed(conn, bufs, has_body ? 2 : 1);
	g_string_free(head, TRUE);
	finish_response(conn);
}

/*
 * Sends a response that ends with its head: one to HEAD, or with a status that
 * has no body.  "declared_bytes" is the length that a response to GET would
 * have; -1: not known.
 */
void http_conn_reply_without_body(http_conn_t *conn, unsigned status,
				  const char *headers, int64_t declared_bytes)
{
	GString *head;
	uv_buf_t buf;

	if (!is_responding(conn))
		return;
	head = g_string_sized_new(256);
	append_head(conn, head, status, headers);
	end_head(head, status, declared_bytes);
	buf = uv_buf_init(head->str, (unsigned)head->len);
	conn->user = NULL;
	write_or_mark_failed(conn, &buf, 1);
	g_string_free(head, TRUE);
	finish_response(conn);
}

static bool accepts_chunks(const http_conn_t *conn)
{
	const http_parser *parser = &conn->reader.parser;

	return parser->http_major > 1 ||
	       (parser->http_major == 1 && parser->http_minor >= 1);
}

/*
 * Sends the status and headers of a response whose body follows with
 * http_conn_send().  Without a "content_length", which is then negative, it is
 * chunked; HTTP/1.0 has no chunks, and there the connection is its end.
 */
void http_conn_begin(http_conn_t *conn, unsigned status, const char *headers,
		     int64_t content_length)
{
	GString *head;
	uv_buf_t buf;

	if (!is_responding(conn))
		return;
	head = g_string_sized_new(256);
	conn->ends_with_head =
		is_head_request(conn) || http_status_has_no_body(status);
	conn->chunked = content_length < 0 && !conn->ends_with_head &&
			accepts_chunks(conn);
	conn->ends_with_close =
		content_length < 0 && !conn->ends_with_head && !conn->chunked;
	if (conn->ends_with_close) {
		conn->close_after = true;
		set_reset_on_close(conn, true);
	}
	append_head(conn, head, status, headers);
	if (conn->chunked)
		g_string_append(head, "Transfer-Encoding: chunked\r\n");
	end_head(head, status, content_length);
	buf = uv_buf_init(head->str, (unsigned)head->len);
	write_or_mark_failed(conn, &buf, 1);
	g_string_free(head, TRUE);
}

/* Sends the next bytes of the response body at once. */
void http_conn_send(http_conn_t *conn, const void *data, size_t len)
{
	char frame[24];
	uv_buf_t bufs[3];
	int frame_len;

	if (!is_responding(conn) || len == 0 || conn->ends_with_head)
		return;
	bufs[1] = uv_buf_init((char *)(uintptr_t)data, (unsigned)len);
	if (!conn->chunked) {
		write_or_mark_failed(conn, &bufs[1], 1);
		return;
	}
	frame_len = snprintf(frame, sizeof(frame), "%zx\r\n", len);
	bufs[0] = uv_buf_init(frame, (unsigned)frame_len);
	bufs[2] = uv_buf_init((char *)(uintptr_t) "\r\n", 2);
	write_or_mark_failed(conn, bufs, 3);
}

/* Completes the response. */
void http_conn_end(http_conn_t *conn)
{
	uv_buf_t buf = uv_buf_init((char *)(uintptr_t) "0\r\n\r\n", 5);

	if (!is_responding(conn))
		return;
	conn->user = NULL;
	if (conn->chunked)
		write_or_mark_failed(conn, &buf, 1);
	finish_response(conn);
}

/*
 * Closes the connection before the response is complete, so that the client
 * does not take it for a complete one.
 */
void http_conn_abort(http_conn_t *conn)
{
	conn->user = NULL;
	close_conn(conn, "aborted");
}

static http_conn_t *conn_new(http_server_t *server)
{
	http_conn_t *conn = g_new0(http_conn_t, 1);

	conn->server = server;
	conn->pending = g_byte_array_new();
	conn->opened_ms = conn_now(conn);
	conn->since_ms = conn->opened_ms;
	http_reader_init(&conn->reader, HTTP_REQUEST,
			 server->limits.header_bytes,
			 server->limits.body_bytes);
	uv_tcp_init(server->tcp.loop, &conn->tcp);
	conn->tcp.data = conn;
	LIST_INSERT_HEAD(&server->conns, conn, entry);
	server->conn_count++;
	server->accept_count++;
	server->last_accept_ms = conn->opened_ms;
	return conn;
}

/* Reads from a connection whose acceptance returned "status". */
static void start_conn(http_conn_t *conn, int status)
{
	if (status == 0)
		status = uv_read_start((uv_stream_t *)&conn->tcp, on_alloc,
				       on_read);
	if (status != 0) {
		LOG_WARN("accept_failed", "reason=%s", uv_err_name(status));
		close_conn(conn, NULL);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
}

/*
 * Closes a connection if there are too many: one that is idle, or else the one
 * whose request makes no progress, or else the new one.
 */
static void limit_connections(http_server_t *server, http_conn_t *new_conn)
{
	http_conn_t *slowest;

	if (server->conn_count <= connections_max(server))
		return;
	slowest = find_slowest(server, false);
	if (slowest != NULL && slowest != new_conn) {
		close_conn(slowest, "connections_full");
		return;
	}
	slowest = find_slowest(server, true);
	if (slowest != NULL)
		refuse_unread(slowest, "connections");
	else
		close_conn(new_conn, "connections_full");
}

static void on_connection(uv_stream_t *listener, int status)
{
	http_conn_t *conn;

	if (status < 0) {
		LOG_WARN("accept_failed", "reason=%s", uv_err_name(status));
		return;
	}
	conn = conn_new(listener->data);
	start_conn(conn, uv_accept(listener, (uv_stream_t *)&conn->tcp));
	limit_connections(listener->data, conn);
}

/* Returns whether the peer still accepts queued bytes of a response. */
static bool is_sending(http_conn_t *conn, clock_ms_t now)
{
	size_t unsent = http_conn_unsent_bytes(conn);

	if (unsent != conn->unsent_bytes) {
		conn->unsent_bytes = unsent;
		conn->unsent_since_ms = now;
	}
	return unsent > 0 && now - conn->unsent_since_ms < SEND_IDLE_MS;
}

/* Returns how long a connection may stay as it is while it is read. */
static clock_ms_t read_limit_ms(const http_conn_t *conn)
{
	const http_limits_t *limits = &conn->server->limits;

	if (!conn->request_started)
		return limits->idle_ms;
	return conn->reader.state == HTTP_READ_HEADERS ? limits->header_ms
						       : BODY_IDLE_MS;
}

/*
 * Bytes may have arrived in time and wait: behind a pause of this process the
 * timer runs before the connections are read.
 */
static void check_timeouts(http_conn_t *conn, clock_ms_t now)
{
	clock_ms_t age;

	if (is_sending(conn, now) &&
	    (conn->state == HTTP_CONN_LINGERING || !conn->request_started))
		conn->since_ms = now;
	age = now - conn->since_ms;
	if (conn->state == HTTP_CONN_LINGERING && age >= LINGER_MS)
		close_conn(conn, "linger_over");
	if (conn->state == HTTP_CONN_READING && is_untaken(conn) &&
	    now - conn->unsent_since_ms >= SEND_IDLE_MS)
		close_conn(conn, "untaken");
	if (conn->state != HTTP_CONN_READING || age < read_limit_ms(conn) ||
	    has_unread_bytes(conn))
		return;
	if (!conn->request_started) {
		close_conn(conn, "idle");
		return;
	}
	conn->close_after = true;
	conn->state = HTTP_CONN_RESPONDING;
	LOG_INFO("request_read_timeout", "waited_ms=%" G_GINT64_FORMAT, age);
	http_conn_reply(conn, 408, "", NULL, 0);
}

/*
 * Accepts the connections that wait in the kernel; closing the listening socket
 * would reset them, and the requests that were already sent on them.
 */
static void accept_waiting(http_server_t *server)
{
	uv_os_fd_t listener;
	int fd;

	if (uv_fileno((const uv_handle_t *)&server->tcp, &listener) != 0)
		return;
	while ((fd = accept4(listener, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		http_conn_t *conn = conn_new(server);
		int status = uv_tcp_open(&conn->tcp, fd);

		if (status != 0)
			close(fd);
		start_conn(conn, status);
	}
}

/*
 * Makes the kernel ignore new connection attempts, while those in the handshake
 * still complete.  An attempt that is ignored is repeated by its client, and
 * then refused once the socket is closed.
 */
static bool ignore_new_attempts(http_server_t *server)
{
	struct sock_filter code[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS,
			 offsetof(struct tcphdr, th_flags)),
		BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	const struct sock_fprog filter = { .len = ARRAY_SIZE(code),
					   .filter = code };
	uv_os_fd_t fd;

	return uv_fileno((const uv_handle_t *)&server->tcp, &fd) == 0 &&
	       setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
			  sizeof(filter)) == 0;
}

static void close_listener(http_server_t *server)
{
	uint64_t accepted = server->accept_count;

	accept_waiting(server);
	LOG_INFO("listening_stopped",
		 "accepted=%" G_GUINT64_FORMAT
		 " accepted_last=%" G_GUINT64_FORMAT
		 " last_accept_ms_ago=%" G_GINT64_FORMAT " open=%u",
		 server->accept_count, server->accept_count - accepted,
		 clock_now(server->clock) - server->last_accept_ms,
		 server->conn_count);
	uv_close((uv_handle_t *)&server->tcp, NULL);
}

static void on_tick(uv_timer_t *timer)
{
	http_server_t *server = timer->data;
	clock_ms_t now = clock_now(server->clock);
	http_conn_t *conn = LIST_FIRST(&server->conns);

	if (server->is_stopping && http_server_is_listening(server) &&
	    now - server->stopping_since_ms >= HANDSHAKE_MS)
		close_listener(server);
	while (conn != NULL) {
		http_conn_t *next = LIST_NEXT(conn, entry);

		if (conn->failure != NULL)
			close_conn(conn, conn->failure);
		else
			check_timeouts(conn, now);
		if (conn->state == HTTP_CONN_READING)
			go_on_reading(conn);
		conn = next;
	}
	limit_backlog(server);
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
	uv_idle_init(loop, &server->idle);
	server->idle.data = server;
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

/*
 * From now on, closes each connection after the next response that can say so.
 * A client that has read the head of a response without "Connection: close" may
 * send its next request as soon as the response is complete; that one is
 * answered, too.
 */
void http_server_drain(http_server_t *server)
{
	http_conn_t *conn;

	server->draining = true;
	LIST_FOREACH(conn, &server->conns, entry)
	if (conn->state == HTTP_CONN_RESPONDING && !conn->head_sent)
		conn->close_after = true;
}

/*
 * Stops accepting connections; open ones continue.  Those that clients have
 * begun to open are accepted for HANDSHAKE_MS more.
 */
void http_server_stop_listening(http_server_t *server)
{
	if (server->is_stopping || !http_server_is_listening(server))
		return;
	server->is_stopping = true;
	server->stopping_since_ms = clock_now(server->clock);
	if (ignore_new_attempts(server))
		return;
	LOG_WARN("attempts_not_ignored", "errno=%d", errno);
	close_listener(server);
}

/* Returns whether new connections may still be accepted. */
bool http_server_is_listening(const http_server_t *server)
{
	return !uv_is_closing((const uv_handle_t *)&server->tcp);
}

/* Returns whether the client cannot expect an answer on the connection. */
static bool is_idle(const http_conn_t *conn)
{
	bool is_new = conn->requests_served == 0 &&
		      conn_now(conn) - conn->since_ms < FIRST_REQUEST_MS;

	return conn->state == HTTP_CONN_READING && !conn->request_started &&
	       !is_new && !has_unread_bytes(conn) &&
	       http_conn_unsent_bytes(conn) == 0;
}

/*
 * Closes the connections that are idle between requests.  One without a request
 * so far is kept for FIRST_REQUEST_MS: its client has just opened it to send
 * one.
 */
void http_server_close_idle(http_server_t *server)
{
	http_conn_t *conn = LIST_FIRST(&server->conns);

	while (conn != NULL) {
		http_conn_t *next = LIST_NEXT(conn, entry);

		if (is_idle(conn))
			close_conn(conn, "stop_idle");
		conn = next;
	}
}

/* Stops listening and closes all connections. */
void http_server_close(http_server_t *server)
{
	while (!LIST_EMPTY(&server->conns))
		close_conn(LIST_FIRST(&server->conns), "stop");
	if (!uv_is_closing((uv_handle_t *)&server->tcp))
		uv_close((uv_handle_t *)&server->tcp, NULL);
	if (!uv_is_closing((uv_handle_t *)&server->tick))
		uv_close((uv_handle_t *)&server->tick, NULL);
	if (!uv_is_closing((uv_handle_t *)&server->idle))
		uv_close((uv_handle_t *)&server->idle, NULL);
}
