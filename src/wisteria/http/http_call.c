/*
 * HTTP/1.1 client calls, each over a new connection.  The peer may close a
 * reused connection at the moment when the next request is sent, and then the
 * client cannot know whether that request was run.  On a new connection this
 * race does not exist, and no bytes of an earlier response can arrive.
 */
#include "wisteria/http/http_call.h"

#include <poll.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/http/http_message.h"
#include "wisteria/net/net.h"

/*
 * libuv reads a connection up to 32 times in a row while it fills the buffer, so
 * this bounds how long one peer that sends without end keeps the event loop.
 */
#define CALL_READ_BYTES (8u << 10)

struct http_call_t {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	uv_timer_t timer; /* connect timeout */
	clock_ms_t connect_until_ms;
	http_call_handler_t *handler;
	http_reader_t reader;
	GByteArray *request;
	http_call_stage_t stage;
	bool headers_reported;
	bool request_written; /* the kernel has taken all of it */
	bool ended;
	unsigned open_handles;
};

static void on_handle_closed(uv_handle_t *handle)
{
	http_call_t *call = handle->data;

	if (--call->open_handles > 0)
		return;
	http_reader_finish(&call->reader);
	g_byte_array_unref(call->request);
	g_free(call);
}

/*
 * Ends and later frees "call" without calling its handler.  Without the head of
 * a response the connection is reset, so that what the network still holds of
 * the request does not reach the peer later.
 */
void http_call_cancel(http_call_t *call)
{
	if (call->ended)
		return;
	call->ended = true;
	if (call->stage != HTTP_CALL_SENT ||
	    uv_tcp_close_reset(&call->tcp, on_handle_closed) != 0)
		uv_close((uv_handle_t *)&call->tcp, on_handle_closed);
	uv_close((uv_handle_t *)&call->timer, on_handle_closed);
}

/* From now on calls "handler", also from within a callback. */
void http_call_set_handler(http_call_t *call, http_call_handler_t *handler)
{
	call->handler = handler;
}

/* Returns the part of the response that was read so far. */
const http_message_t *http_call_response(const http_call_t *call)
{
	return &call->reader.message;
}

static void fail(http_call_t *call, const char *reason)
{
	if (call->ended)
		return;
	http_call_cancel(call);
	call->handler->failed(call->handler, call->stage, reason);
}

static void on_connect_timeout(uv_timer_t *timer)
{
	fail(timer->data, "connect_timeout");
}

static void report_progress(http_call_t *call)
{
	http_message_t *response = &call->reader.message;

	if (call->reader.state < HTTP_READ_BODY)
		return;
	if (!call->headers_reported && call->reader.state != HTTP_READ_FAILED) {
		call->headers_reported = true;
		call->stage = HTTP_CALL_TRUNCATED;
		if (call->handler->headers != NULL)
			call->handler->headers(call->handler, response);
	}
	if (!call->ended && call->headers_reported && response->body->len > 0 &&
	    call->handler->body != NULL)
		call->handler->body(call->handler, response->body);
	if (call->ended || call->reader.state == HTTP_READ_BODY)
		return;
	if (call->reader.state == HTTP_READ_FAILED) {
		fail(call, "unreadable_answer");
		return;
	}
	http_call_cancel(call);
	call->handler->complete(call->handler, response);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char read_buffer[CALL_READ_BYTES];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/*
 * Returns whether the peer has reset the connection.  libuv may report a reset as
 * the end of the stream, and the kernel returns the socket's error only once,
 * possibly to a write.  That neither direction is open any more can be seen at
 * any time; after the end of the stream alone, this side can still send.
 */
static bool was_reset(const http_call_t *call)
{
	struct pollfd state = { 0 };

	if (uv_fileno((const uv_handle_t *)&call->tcp, &state.fd) != 0)
		return true;
	return poll(&state, 1, 0) < 0 ||
	       (state.revents & (POLLERR | POLLHUP)) != 0;
}

/*
 * Returns whether the peer's system has received all of the request, as it has
 * when a peer that read the whole request ends its response.
 */
static bool was_request_received(const http_call_t *call)
{
	uv_os_fd_t fd;

	return call->request_written &&
	       uv_fileno((const uv_handle_t *)&call->tcp, &fd) == 0 &&
	       net_is_acknowledged(fd);
}

/*
 * Returns why the end of the stream does not complete the response; NULL if it
 * does.  A response that only the end of the stream delimits is not told from a
 * part of one if it ends before the peer can have read the request.
 */
static const char *finish_reading(http_call_t *call)
{
	if (was_reset(call))
		return "reset";
	if (!call->headers_reported)
		return "closed_unanswered";
	http_reader_eof(&call->reader);
	if (call->reader.state == HTTP_READ_FAILED)
		return "closed_midway";
	return was_request_received(call) ? NULL : "closed_early";
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	http_call_t *call = stream->data;
	const char *defect = NULL;

	if (len == 0)
		return;
	if (len == UV_EOF)
		defect = finish_reading(call);
	else if (len < 0)
		defect = "reset";
	else if (http_reader_feed(&call->reader, buf->base, (size_t)len) == 0)
		call->reader.state = HTTP_READ_FAILED;
	if (defect != NULL)
		fail(call, defect);
	else
		report_progress(call);
}

/*
 * After a reset, the response may still be complete: the call goes on until all
 * that the peer had sent was read.
 */
static void on_request_written(uv_write_t *write, int status)
{
	http_call_t *call = CONTAINER_OF(write, http_call_t, write);

	call->request_written = status == 0;
	if (status != 0 && !was_reset(call))
		fail(call, "write_failed");
}

/*
 * Writes the request; what the kernel does not take at once is queued.  Returns
 * false if it cannot be queued.  If the connection is lost already, the queued
 * write fails, too, and on_request_written() handles it.
 */
static bool write_request(http_call_t *call)
{
	uv_stream_t *stream = (uv_stream_t *)&call->tcp;
	uv_buf_t buf =
		uv_buf_init((char *)call->request->data, call->request->len);
	int status = uv_try_write(stream, &buf, 1);
	size_t written = status < 0 ? 0 : (size_t)status;

	buf.base += written;
	buf.len -= written;
	call->request_written = buf.len == 0;
	return call->request_written ||
	       uv_write(&call->write, stream, &buf, 1, on_request_written) == 0;
}

/*
 * The connect timeout also holds if this process was paused and the connection
 * is reported before the timer: what allowed the request may have run out.
 */
static void on_connected(uv_connect_t *connect, int status)
{
	http_call_t *call = CONTAINER_OF(connect, http_call_t, connect);

	if (call->ended)
		return;
	if (status < 0) {
		fail(call, "connect_refused");
		return;
	}
	if (clock_now(&clock_boottime) >= call->connect_until_ms) {
		fail(call, "connect_timeout");
		return;
	}
	uv_timer_stop(&call->timer);
	uv_tcp_nodelay(&call->tcp, 1);
	call->stage = HTTP_CALL_SENT;
	if (!write_request(call) ||
	    uv_read_start((uv_stream_t *)&call->tcp, on_alloc, on_read) != 0)
		fail(call, "reset");
}

/*
 * Stops reading the response, or goes on with it.  The peer can send no more
 * than the kernel takes meanwhile.  The call must have its response's head.  One
 * that cannot be read on is left to the time limit of its owner.
 */
void http_call_hold(http_call_t *call, bool held)
{
	uv_stream_t *stream = (uv_stream_t *)&call->tcp;

	if (call->ended)
		return;
	if (held)
		uv_read_stop(stream);
	else
		(void)uv_read_start(stream, on_alloc, on_read);
}

/*
 * Sends "request", the complete text of a request, to "address".  The handler is
 * never called from within this function; an address that cannot be parsed
 * fails later with "connect_timeout".
 */
http_call_t *http_call_new(uv_loop_t *loop, const char *address,
			   const GString *request,
			   const http_call_limits_t *limits,
			   http_call_handler_t *handler)
{
	http_call_t *call = g_new0(http_call_t, 1);
	struct sockaddr_storage parsed;
	err_t err = ERR_INIT;
	bool started;

	call->handler = handler;
	call->connect_until_ms =
		clock_now(&clock_boottime) + limits->connect_ms;
	call->open_handles = 2;
	call->request = g_byte_array_sized_new((guint)request->len);
	g_byte_array_append(call->request, (const guint8 *)request->str,
			    (guint)request->len);
	http_reader_init(&call->reader, HTTP_RESPONSE,
			 HTTP_CALL_HEADER_BYTES_MAX, limits->body_bytes);
	call->reader.answers_head = g_str_has_prefix(request->str, "HEAD ");
	uv_tcp_init(loop, &call->tcp);
	call->tcp.data = call;
	uv_timer_init(loop, &call->timer);
	call->timer.data = call;
	started = net_parse_address(address, &parsed, &err) &&
		  uv_tcp_connect(&call->connect, &call->tcp,
				 (const struct sockaddr *)&parsed,
				 on_connected) == 0;
	uv_timer_start(&call->timer, on_connect_timeout,
		       started ? (uint64_t)limits->connect_ms : 0, 0);
	return call;
}
