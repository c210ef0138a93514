/*
 * The HTTP server for callers.  An HTTP thread reads a request, posts it to the
 * traffic thread and suspends the connection; it then sends the response that
 * the traffic thread queues.
 */
#include "wisteria/entry/http_front.h"

#include <string.h>

#include <ck_pr.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/entry/openai.h"
#include "wisteria/entry/refusal.h"
#include "wisteria/entry/request.h"
#include "wisteria/http/http_message.h"
#include "wisteria/net/net.h"

#define HTTP_BODY_BYTES_MAX (8u << 20)
#define HTTP_BLOCK_BYTES 4096
#define HTTP_IDLE_TIMEOUT_S 75
#define HTTP_CONNECTIONS_MAX 20000
#define HTTP_TIMEOUT_MS_MAX 3600000

struct http_front_t {
	struct MHD_Daemon *daemon;
	entry_t *entry;
	bool quiesced;
	uint32_t draining; /* read by the HTTP threads */
	uint32_t closed;
};

typedef struct {
	const char *method; /* NULL: any */
	const char *path;
	bool prefix;
	request_kind_t kind;
} http_route_t;

static const http_route_t routes[] = {
	{ "POST", "/v1/completions", false, REQUEST_COMPLETION },
	{ "POST", "/v1/chat/completions", false, REQUEST_CHAT },
	{ "GET", "/v1/explain/", true, REQUEST_EXPLAIN },
	{ NULL, "/services/", true, REQUEST_CALL },
};

static bool route_matches(const http_route_t *route, const char *path)
{
	if (route->prefix)
		return g_str_has_prefix(path, route->path);
	return strcmp(path, route->path) == 0;
}

/*
 * Returns the route of a request, or NULL with the reason in "err", which is
 * set in either case.
 */
static const http_route_t *find_route(const char *method, const char *path,
				      err_t *err)
{
	err_set(err, ERR_NOT_FOUND, "route", "", "no such path");
	for (size_t i = 0; i < ARRAY_SIZE(routes); i++) {
		const http_route_t *route = &routes[i];

		if (!route_matches(route, path))
			continue;
		if (route->method == NULL || strcmp(route->method, method) == 0)
			return route;
		err_set(err, ERR_NOT_ALLOWED, "route", "",
			"the path takes %s only", route->method);
	}
	return NULL;
}

static void refuse_with(request_t *request, const err_t *err)
{
	const entry_refusal_t refusal = { .err = *err, .not_run = true };

	refusal_send(request, &refusal, NULL);
}

static void refuse(request_t *request, err_code_t code, const char *step,
		   const char *text)
{
	err_t err = ERR_INIT;

	err_set(&err, code, step, "", "%s", text);
	refuse_with(request, &err);
}

static enum MHD_Result copy_header(void *data, enum MHD_ValueKind kind,
				   const char *name, const char *value)
{
	request_t *request = data;

	(void)kind;
	if (name[0] == '\0' || !http_is_token(name, strlen(name)))
		request->has_invalid_field = true;
	request_headers_add(request->headers, name, value == NULL ? "" : value);
	return MHD_YES;
}

static enum MHD_Result append_argument(void *data, enum MHD_ValueKind kind,
				       const char *name, const char *value)
{
	GString *path = data;
	char *escaped_name = g_uri_escape_string(name, NULL, FALSE);

	(void)kind;
	g_string_append_c(path, strchr(path->str, '?') == NULL ? '?' : '&');
	g_string_append(path, escaped_name);
	if (value != NULL) {
		char *escaped = g_uri_escape_string(value, NULL, FALSE);

		g_string_append_printf(path, "=%s", escaped);
		g_free(escaped);
	}
	g_free(escaped_name);
	return MHD_YES;
}

static char *get_header(struct MHD_Connection *connection, const char *name)
{
	return g_strdup(
		MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name));
}

static char *bearer_token(struct MHD_Connection *connection)
{
	const char *value = MHD_lookup_connection_value(
		connection, MHD_HEADER_KIND, "Authorization");

	if (value == NULL || g_ascii_strncasecmp(value, "Bearer ", 7) != 0)
		return NULL;
	return g_strdup(value + 7);
}

/*
 * Reads how long the answer may take; 0: the caller does not say.  Returns false
 * for a header that is no number from 1 to HTTP_TIMEOUT_MS_MAX.
 */
static bool parse_timeout_ms(struct MHD_Connection *connection,
			     int64_t *timeout_ms)
{
	const char *value = MHD_lookup_connection_value(
		connection, MHD_HEADER_KIND, "X-Timeout-Ms");
	guint64 parsed = 0;

	*timeout_ms = 0;
	if (value == NULL)
		return true;
	if (!g_ascii_string_to_unsigned(value, 10, 1, HTTP_TIMEOUT_MS_MAX,
					&parsed, NULL))
		return false;
	*timeout_ms = (int64_t)parsed;
	return true;
}

/* Returns whether the headers announce a body that is too long. */
static bool announces_long_body(struct MHD_Connection *connection)
{
	const char *value = MHD_lookup_connection_value(
		connection, MHD_HEADER_KIND, "Content-Length");

	return value != NULL &&
	       g_ascii_strtoull(value, NULL, 10) > HTTP_BODY_BYTES_MAX;
}

/*
 * Refuses a request for its headers, before its body is read: a caller who
 * announces a body that is too long may never send it.  Returns false if the
 * headers are fine.
 */
static bool refuse_for_headers(request_t *request,
			       struct MHD_Connection *connection)
{
	if (request->has_invalid_field)
		refuse(request, ERR_INVALID, "read_headers",
		       "the name of a header is invalid");
	else if (announces_long_body(connection))
		refuse(request, ERR_TOO_LARGE, "read_body", "body too long");
	else if (!parse_timeout_ms(connection, &request->timeout_ms))
		refuse(request, ERR_INVALID, "read_headers",
		       "X-Timeout-Ms is no number of milliseconds above 0");
	else
		return false;
	request->posted = true;
	return true;
}

static request_t *begin_request(http_front_t *front,
				struct MHD_Connection *connection,
				const char *url, const char *method)
{
	request_t *request = request_new(connection);
	GString *path = g_string_new(url);

	request->entry = front->entry;
	request->front = front;
	request->method = g_strdup(method);
	MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
				  append_argument, path);
	request->path = g_string_free(path, FALSE);
	request->api_key = bearer_token(connection);
	request->idempotency_key = get_header(connection, "Idempotency-Key");
	request->last_event_id = get_header(connection, "Last-Event-ID");
	request->traceparent = get_header(connection, "traceparent");
	MHD_get_connection_values(connection, MHD_HEADER_KIND, copy_header,
				  request);
	return request;
}

static void append_body(request_t *request, const char *data, size_t len)
{
	/* One byte more than the limit is kept, to detect a longer body. */
	size_t remaining = HTTP_BODY_BYTES_MAX + 1 - request->body->len;

	g_byte_array_append(request->body, (const guint8 *)data,
			    (guint)(len < remaining ? len : remaining));
}

/* Validates a completely read request and posts it to the traffic thread. */
static void validate_and_post(request_t *request, const char *url)
{
	err_t err = ERR_INIT;
	const http_route_t *route = find_route(request->method, url, &err);

	request->posted = true;
	if (ck_pr_load_32(&request->front->closed) != 0) {
		refuse(request, ERR_UNAVAILABLE, "stop",
		       "this entry is stopping; ask another");
		return;
	}
	if (route == NULL) {
		refuse_with(request, &err);
		return;
	}
	err_clear(&err);
	request->kind = route->kind;
	if (request->body->len > HTTP_BODY_BYTES_MAX) {
		refuse(request, ERR_TOO_LARGE, "read_body", "body too long");
		return;
	}
	if (request->api_key == NULL) {
		refuse(request, ERR_AUTH, "authenticate", "no API key");
		return;
	}
	if ((request->kind == REQUEST_COMPLETION ||
	     request->kind == REQUEST_CHAT) &&
	    !openai_parse(request, &err)) {
		refuse_with(request, &err);
		return;
	}
	entry_post(request->entry, request);
}

/*
 * Copies the queued response to "out"; suspends the connection if none is
 * queued.
 */
static ssize_t read_response(void *data, uint64_t position, char *out,
			     size_t size)
{
	request_t *request = data;
	request_chunk_t *chunk;
	size_t len;

	(void)position;
	while (request->sending == NULL) {
		chunk = request_next_chunk(request);
		if (chunk == NULL) {
			request_suspend(request);
			return 0;
		}
		if (chunk->end) {
			request_chunk_free(chunk);
			return MHD_CONTENT_READER_END_OF_STREAM;
		}
		request->sending = chunk;
		request->sent = 0;
	}
	chunk = request->sending;
	len = chunk->len - request->sent;
	if (len > size)
		len = size;
	memcpy(out, chunk->data + request->sent, len);
	request->sent += len;
	if (request->sent == chunk->len) {
		request_chunk_free(chunk);
		request->sending = NULL;
	}
	return (ssize_t)len;
}

/*
 * Without a length, libmicrohttpd sends chunks, also where the response ends with
 * its head.
 */
static struct MHD_Response *create_response(request_t *request, unsigned status)
{
	if (http_status_has_no_content(status))
		return MHD_create_response_from_buffer(0, NULL,
						       MHD_RESPMEM_PERSISTENT);
	return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
						 HTTP_BLOCK_BYTES,
						 read_response, request, NULL);
}

static enum MHD_Result begin_response(request_t *request,
				      const request_chunk_t *head)
{
	struct MHD_Response *response = create_response(request, head->status);
	enum MHD_Result result;

	for (guint i = 0; i < head->headers->len; i++) {
		const request_header_t *line =
			&g_array_index(head->headers, request_header_t, i);

		MHD_add_response_header(response, line->name, line->value);
	}
	/* After an invalid field, the end of the request is in doubt. */
	if (request->has_invalid_field ||
	    ck_pr_load_32(&request->front->draining) != 0)
		MHD_add_response_header(response, "Connection", "close");
	result =
		MHD_queue_response(request->connection, head->status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result respond(request_t *request)
{
	request_chunk_t *head;
	enum MHD_Result result;

	if (request->responded)
		return MHD_YES;
	head = request_next_chunk(request);
	if (head == NULL) {
		request_suspend(request);
		return MHD_YES;
	}
	request->responded = true;
	result = begin_response(request, head);
	request_chunk_free(head);
	return result;
}

static enum MHD_Result on_request(void *data, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_len, void **context)
{
	request_t *request = *context;

	(void)version;
	if (request == NULL) {
		request = begin_request(data, connection, url, method);
		*context = request;
		if (refuse_for_headers(request, connection))
			return respond(request);
		return MHD_YES;
	}
	if (*upload_len > 0) {
		append_body(request, upload, *upload_len);
		*upload_len = 0;
		return MHD_YES;
	}
	if (!request->posted)
		validate_and_post(request, url);
	return respond(request);
}

static void on_completed(void *data, struct MHD_Connection *connection,
			 void **context, enum MHD_RequestTerminationCode code)
{
	request_t *request = *context;

	(void)data;
	(void)connection;
	if (request == NULL)
		return;
	if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && request->posted)
		entry_cancel(request->entry, request);
	request_unref(request);
	*context = NULL;
}

static struct MHD_Daemon *start_daemon(http_front_t *front,
				       const struct sockaddr_storage *address,
				       unsigned threads)
{
	unsigned flags =
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;

	if (address->ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	if (threads < 2)
		threads = 0;
	return MHD_start_daemon(
		flags, 0, NULL, NULL, on_request, front, MHD_OPTION_SOCK_ADDR,
		(const struct sockaddr *)address, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, NULL, MHD_OPTION_THREAD_POOL_SIZE, threads,
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)HTTP_IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)HTTP_CONNECTIONS_MAX,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
}

/*
 * Listens for callers on "listen" (IP:PORT) with "threads" HTTP threads;
 * returns NULL if the address cannot be bound.
 */
http_front_t *http_front_new(const char *listen, unsigned threads,
			     entry_t *entry, err_t *err)
{
	struct sockaddr_storage address;
	http_front_t *front;

	if (!net_parse_address(listen, &address, err))
		return NULL;
	front = g_new0(http_front_t, 1);
	front->entry = entry;
	front->daemon = start_daemon(front, &address, threads);
	if (front->daemon == NULL) {
		err_set(err, ERR_IO, "listen", listen, "cannot listen");
		g_free(front);
		return NULL;
	}
	return front;
}

/*
 * Sends "Connection: close" with each response, so that callers reconnect to
 * another entry.
 */
void http_front_drain(http_front_t *front)
{
	ck_pr_store_32(&front->draining, 1);
}

/* Stops accepting connections and requests; may be called more than once. */
void http_front_close(http_front_t *front)
{
	MHD_socket listening;

	ck_pr_store_32(&front->closed, 1);
	if (front->quiesced)
		return;
	front->quiesced = true;
	listening = MHD_quiesce_daemon(front->daemon);
	if (listening != MHD_INVALID_SOCKET)
		close(listening);
}

/* Stops and frees the server; every request must have been answered. */
void http_front_free(http_front_t *front)
{
	if (front == NULL)
		return;
	MHD_stop_daemon(front->daemon);
	g_free(front);
}
