/*
 * Calls to plain services.  A call is dispatched at most once: its id and its
 * outcome are stored for longer than its entry may ask for them, also if it was
 * refused or cancelled, so that a duplicate that arrives late never runs.
 */
#include "wisteria/agent/agent_call.h"

#include <string.h>

#include "wisteria/agent/agent_endpoint.h"
#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/log.h"
#include "wisteria/codec/msg.h"
#include "wisteria/http/event_stream.h"
#include "wisteria/http/http_message.h"
#include "wisteria/net/conn.h"

/* How long an outcome is stored after the caller's deadline. */
#define CALL_RETENTION_MS 60000
/* Limits of the stored calls; new calls are refused when one is reached. */
#define CALL_STORED_MAX 65536
#define CALL_STORED_BYTES_MAX (32u << 20)
#define CALL_RESPONSE_BYTES_MAX (8u << 20)
/* The same for all responses that have not ended. */
#define CALL_RECEIVING_BYTES_MAX (24u << 20)
#define CALL_TIMEOUT_MS_MAX (10 * 60 * 1000)

typedef struct {
	curl_done_t done; /* first member */
	agent_t *agent;
	agent_endpoint_t *endpoint;
	uint64_t id;
	conn_t *conn;  /* receives the reply; NULL if lost or not running */
	CURL *handle;  /* NULL once the call has ended */
	bool started;  /* the service may have received a part of it */
	bool ended;    /* also if it was refused or cancelled */
	msg_t request; /* valid while "ended" is false */
	curl_body_t body;
	struct curl_slist *headers;
	GPtrArray *header_names;  /* of the service's response */
	GPtrArray *header_values; /* of the service's response */
	GByteArray *response_body;
	bool has_length; /* Content-Length, or chunks */
	bool is_event_stream;
	uint32_t status;
	call_outcome_t outcome;
	refusal_t refusal;
	const char *reason;
	clock_ms_t expires_ms;
} agent_call_t;

/* Headers that apply to a single connection and aren't forwarded. */
static const char *const connection_headers[] = {
	"connection",
	"content-length",
	"expect",
	"host",
	"keep-alive",
	"transfer-encoding",
	"te",
	"trailer",
	"upgrade",
	"proxy-connection",
	"proxy-authorization",
};

static bool is_connection_header(const char *name)
{
	for (size_t i = 0; i < ARRAY_SIZE(connection_headers); i++)
		if (g_ascii_strcasecmp(name, connection_headers[i]) == 0)
			return true;
	return false;
}

static void call_free(gpointer data)
{
	agent_call_t *call = data;

	if (call->conn != NULL)
		conn_unmark_busy(call->conn);
	if (!call->ended)
		msg_finish(&call->request);
	curl_slist_free_all(call->headers);
	g_ptr_array_free(call->header_names, TRUE);
	g_ptr_array_free(call->header_values, TRUE);
	g_byte_array_free(call->response_body, TRUE);
	g_free(call);
}

/* Creates the table of calls. */
void agent_call_init(agent_t *agent)
{
	agent->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     call_free);
}

/* Cancels all calls without a reply to their entries. */
void agent_call_finish(agent_t *agent)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		agent_call_t *call = value;

		if (call->conn != NULL)
			conn_unmark_busy(call->conn);
		call->conn = NULL;
		if (call->handle != NULL)
			curl_loop_cancel(&agent->curl, call->handle);
	}
	g_hash_table_destroy(agent->calls);
}

static agent_call_t *call_new(agent_t *agent, uint64_t id)
{
	agent_call_t *call = g_new0(agent_call_t, 1);

	call->agent = agent;
	call->id = id;
	call->ended = true;
	call->reason = "";
	call->header_names = g_ptr_array_new_with_free_func(g_free);
	call->header_values = g_ptr_array_new_with_free_func(g_free);
	call->response_body = g_byte_array_new();
	call->expires_ms = clock_now(agent->net->clock) + CALL_RETENTION_MS;
	g_hash_table_insert(agent->calls, &call->id, call);
	return call;
}

static void send_reply(const agent_call_t *call, conn_t *conn)
{
	guint count = call->header_names->len;
	msg_header_t *headers = g_new(msg_header_t, count + 1);
	msg_call_reply_t reply = {
		.call = call->id,
		.outcome = call->outcome,
		.refusal = call->refusal,
		.status = call->status,
		.headers = headers,
		.header_count = count,
		.body = { call->response_body->data, call->response_body->len },
		.reason = call->reason,
	};

	for (guint i = 0; i < count; i++)
		headers[i] = (msg_header_t){
			g_ptr_array_index(call->header_names, i),
			g_ptr_array_index(call->header_values, i),
		};
	if (call->endpoint != NULL)
		reply.load = agent_endpoint_load(call->endpoint);
	if (conn != NULL)
		conn_send(conn, MSG_CALL_REPLY, &reply);
	g_free(headers);
}

/* Replies that the outcome of a call is unknown to this agent. */
static void reply_unknown(uint64_t id, conn_t *conn, const char *reason)
{
	const msg_call_reply_t reply = {
		.call = id,
		.outcome = CALL_UNKNOWN,
		.reason = reason,
	};

	if (conn != NULL)
		conn_send(conn, MSG_CALL_REPLY, &reply);
}

static size_t stored_response_bytes(const agent_t *agent)
{
	GHashTableIter iter;
	gpointer value;
	size_t bytes = 0;

	g_hash_table_iter_init(&iter, agent->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		bytes += ((const agent_call_t *)value)->response_body->len;
	return bytes;
}

static bool store_is_full(const agent_t *agent)
{
	guint count = g_hash_table_size(agent->calls);

	if (count >= CALL_STORED_MAX)
		return true;
	/* Add up the sizes only if this many calls can reach the limit. */
	return count >= CALL_STORED_BYTES_MAX / CALL_RESPONSE_BYTES_MAX &&
	       stored_response_bytes(agent) >= CALL_STORED_BYTES_MAX;
}

/* Drops what was received of the response. */
static void drop_response_body(agent_call_t *call)
{
	call->agent->receiving_bytes -= call->response_body->len;
	g_byte_array_set_size(call->response_body, 0);
}

static size_t on_response_data(char *data, size_t size, size_t count,
			       void *user)
{
	agent_call_t *call = user;

	if (call->response_body->len + size * count > CALL_RESPONSE_BYTES_MAX ||
	    call->agent->receiving_bytes + size * count >
		    CALL_RECEIVING_BYTES_MAX) {
		/* At once, before libcurl passes on data of other calls. */
		drop_response_body(call);
		return 0;
	}
	call->agent->receiving_bytes += size * count;
	g_byte_array_append(call->response_body, (const guint8 *)data,
			    (guint)(size * count));
	return size * count;
}

/* Records whether the body has a length or chunks, and whether it has events. */
static void read_header(agent_call_t *call, const char *name, const char *value)
{
	if (g_ascii_strcasecmp(name, "content-length") == 0 ||
	    g_ascii_strcasecmp(name, "transfer-encoding") == 0)
		call->has_length = true;
	if (g_ascii_strcasecmp(name, "content-type") == 0)
		call->is_event_stream = event_stream_is_named_by(value);
}

static void on_header_line(curl_done_t *self, const char *data, size_t len,
			   bool begins_head)
{
	agent_call_t *call = CONTAINER_OF(self, agent_call_t, done);
	char *line;
	char *colon;

	if (begins_head) {
		/* Drops the headers of an interim response. */
		g_ptr_array_set_size(call->header_names, 0);
		g_ptr_array_set_size(call->header_values, 0);
		call->has_length = false;
		call->is_event_stream = false;
		return;
	}
	line = g_strndup(data, len);
	colon = strchr(line, ':');
	if (colon != NULL) {
		*colon = '\0';
		g_strstrip(colon + 1);
		read_header(call, line, colon + 1);
		if (!is_connection_header(line)) {
			g_ptr_array_add(call->header_names, g_strdup(line));
			g_ptr_array_add(call->header_values,
					g_strdup(colon + 1));
		}
	}
	g_free(line);
}

/* Called by libcurl when it has connected, before it sends the request. */
static int on_before_request(void *user, char *peer_ip, char *own_ip,
			     int peer_port, int own_port)
{
	agent_call_t *call = user;

	(void)peer_ip;
	(void)own_ip;
	(void)peer_port;
	(void)own_port;
	call->started = true;
	return CURL_PREREQFUNC_OK;
}

static void end_call(agent_call_t *call)
{
	msg_finish(&call->request);
	call->ended = true;
	call->handle = NULL;
	call->endpoint->in_flight--;
	if (call->conn != NULL) {
		send_reply(call, call->conn);
		conn_unmark_busy(call->conn);
	}
	call->conn = NULL;
}

/* Returns why the response is not complete; NULL if it is. */
static const char *find_defect(const agent_call_t *call, CURLcode code,
			       long status)
{
	if (code != CURLE_OK)
		return curl_easy_strerror(code);
	if (!http_status_is_valid((unsigned)status) || status / 100 == 1)
		return "invalid status";
	if (http_status_has_no_content((unsigned)status) &&
	    call->response_body->len > 0)
		return "content behind a status that has none";
	if (!call->is_event_stream)
		return NULL;
	return event_stream_find_defect(call->response_body,
					call->has_length ? HTTP_FRAMING_LENGTH
							 : HTTP_FRAMING_CLOSE);
}

static void on_call_done(curl_done_t *self, CURL *handle, CURLcode code)
{
	agent_call_t *call = CONTAINER_OF(self, agent_call_t, done);
	const char *defect;
	long status = 0;

	call->agent->receiving_bytes -= call->response_body->len;
	curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
	defect = find_defect(call, code, status);
	if (defect == NULL) {
		call->outcome = CALL_DONE;
		call->status = (uint32_t)status;
	} else {
		call->outcome = call->started ? CALL_UNKNOWN : CALL_NOT_RUN;
		call->reason = defect;
		g_byte_array_set_size(call->response_body, 0);
		g_ptr_array_set_size(call->header_names, 0);
		g_ptr_array_set_size(call->header_values, 0);
	}
	LOG_DEBUG("call_ended",
		  "call=%" G_GUINT64_FORMAT " outcome=%d status=%ld", call->id,
		  call->outcome, status);
	end_call(call);
}

static void add_header(agent_call_t *call, const char *name, const char *value)
{
	char *line = value[0] == '\0' ? g_strdup_printf("%s;", name)
				      : g_strdup_printf("%s: %s", name, value);

	call->headers = curl_slist_append(call->headers, line);
	g_free(line);
}

static void add_headers(agent_call_t *call, const msg_call_t *message)
{
	bool has_content_type = false;

	for (size_t i = 0; i < message->header_count; i++) {
		const msg_header_t *header = &message->headers[i];

		if (is_connection_header(header->name) ||
		    g_ascii_strcasecmp(header->name, "traceparent") == 0)
			continue;
		if (g_ascii_strcasecmp(header->name, "content-type") == 0)
			has_content_type = true;
		add_header(call, header->name, header->value);
	}
	if (message->traceparent[0] != '\0')
		add_header(call, "traceparent", message->traceparent);
	call->headers = curl_slist_append(call->headers, "Expect:");
	if (!has_content_type)
		call->headers =
			curl_slist_append(call->headers, "Content-Type:");
}

static void set_method(agent_call_t *call, const msg_call_t *message)
{
	if (message->body.len > 0) {
		call->body.data = (const char *)message->body.data;
		call->body.len = message->body.len;
		curl_loop_set_body(call->handle, &call->body);
	} else if (strcmp(message->method, "HEAD") == 0) {
		curl_easy_setopt(call->handle, CURLOPT_NOBODY, 1L);
		return;
	} else if (strcmp(message->method, "POST") == 0) {
		curl_loop_set_body(call->handle, &call->body);
	}
	curl_easy_setopt(call->handle, CURLOPT_CUSTOMREQUEST, message->method);
}

static void dispatch_call(agent_call_t *call, const msg_call_t *message)
{
	agent_t *agent = call->agent;
	char *url =
		g_strconcat(call->endpoint->settings->url, message->path, NULL);
	long timeout_ms =
		(long)CLAMP(message->remaining_ms, 1, CALL_TIMEOUT_MS_MAX);

	call->handle = curl_loop_new_request(&agent->curl, url);
	g_free(url);
	set_method(call, message);
	add_headers(call, message);
	curl_easy_setopt(call->handle, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(call->handle, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(call->handle, CURLOPT_TIMEOUT_MS, timeout_ms);
	/* libcurl may send a request again if a reused connection was lost. */
	curl_easy_setopt(call->handle, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(call->handle, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(call->handle, CURLOPT_PREREQFUNCTION,
			 on_before_request);
	curl_easy_setopt(call->handle, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(call->handle, CURLOPT_WRITEFUNCTION, on_response_data);
	curl_easy_setopt(call->handle, CURLOPT_WRITEDATA, call);
	curl_loop_start(&agent->curl, call->handle, &call->done);
}

static bool copy_request(agent_call_t *call, const msg_call_t *message)
{
	msgpack_sbuffer buffer;
	bool copied;

	msgpack_sbuffer_init(&buffer);
	msg_encode(MSG_CALL, message, &buffer);
	copied = msg_decode(&call->request, (const uint8_t *)buffer.data,
			    buffer.size, NULL);
	msgpack_sbuffer_destroy(&buffer);
	return copied;
}

static refusal_t check_call(agent_t *agent, const agent_endpoint_t *endpoint,
			    const msg_call_t *message)
{
	if (endpoint == NULL || endpoint->engine != NULL ||
	    message->path[0] != '/')
		return REFUSAL_UNKNOWN_ENDPOINT;
	return agent_endpoint_check_admission(agent, endpoint,
					      message->revision);
}

static void start_call(agent_t *agent, conn_t *conn, const msg_call_t *message)
{
	agent_endpoint_t *endpoint =
		agent_endpoint_find(agent, message->endpoint);
	refusal_t refusal = check_call(agent, endpoint, message);
	agent_call_t *call = call_new(agent, message->call);

	call->endpoint = endpoint;
	call->expires_ms +=
		CLAMP(message->remaining_ms, 0, CALL_TIMEOUT_MS_MAX);
	if (refusal != REFUSAL_NONE || !copy_request(call, message)) {
		call->outcome = CALL_NOT_RUN;
		call->refusal = refusal;
		call->reason = "refused";
		send_reply(call, conn);
		return;
	}
	call->ended = false;
	call->done.done = on_call_done;
	call->done.header = on_header_line;
	call->conn = conn;
	conn_mark_busy(conn);
	endpoint->in_flight++;
	counter_add(COUNTER_CALLS, 1);
	dispatch_call(call, call->request.body);
}

/* Replies to "conn" with the outcome: now, or as soon as the call has ended. */
static void reply_when_ended(agent_call_t *call, conn_t *conn)
{
	if (call->ended) {
		send_reply(call, conn);
		return;
	}
	if (call->conn != NULL)
		conn_unmark_busy(call->conn);
	call->conn = conn;
	conn_mark_busy(conn);
}

/* Handles a call: runs it unless its id is known already. */
void agent_call_on_call(agent_t *agent, conn_t *conn, const msg_t *msg)
{
	const msg_call_t *message = msg->body;
	agent_call_t *call = g_hash_table_lookup(agent->calls, &message->call);
	const msg_call_reply_t busy = {
		.call = message->call,
		.outcome = CALL_NOT_RUN,
		.refusal = REFUSAL_BUSY,
		.reason = "too many calls remembered",
	};

	if (conn == NULL)
		return;
	if (call != NULL)
		reply_when_ended(call, conn);
	else if (message->incarnation != 0 &&
		 message->incarnation != agent->net->incarnation)
		reply_unknown(message->call, conn, "the agent has restarted");
	else if (store_is_full(agent))
		conn_send(conn, MSG_CALL_REPLY, &busy);
	else
		start_call(agent, conn, message);
}

static void cancel_existing(agent_t *agent, agent_call_t *call, conn_t *conn)
{
	if (!call->ended && !call->started) {
		reply_when_ended(call, conn);
		curl_loop_cancel(&agent->curl, call->handle);
		return;
	}
	if (call->ended)
		send_reply(call, conn);
	else
		reply_unknown(call->id, conn, "it was started");
}

/*
 * Handles a cancellation, which the entry sends when the caller has gone.
 * Replies CALL_NOT_RUN only if the call hasn't started and never will.  A call
 * that has started continues, and its outcome is sent when it ends.
 */
void agent_call_on_cancel(agent_t *agent, conn_t *conn, const msg_t *msg)
{
	const msg_call_cancel_t *cancel = msg->body;
	agent_call_t *call = g_hash_table_lookup(agent->calls, &cancel->call);

	if (conn == NULL)
		return;
	if (call != NULL) {
		cancel_existing(agent, call, conn);
		return;
	}
	if (cancel->incarnation != agent->net->incarnation ||
	    store_is_full(agent)) {
		reply_unknown(cancel->call, conn, "nothing is known of it");
		return;
	}
	call = call_new(agent, cancel->call);
	call->expires_ms += CALL_TIMEOUT_MS_MAX;
	call->outcome = CALL_NOT_RUN;
	call->reason = "cancelled before it came";
	send_reply(call, conn);
}

/* Handles the loss of an inbound connection, possibly from an entry. */
void agent_call_on_entry_down(agent_t *agent, const conn_t *conn)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		agent_call_t *call = value;

		if (call->conn == conn)
			call->conn = NULL;
	}
}

/* Removes the calls whose retention time is over. */
void agent_call_tick(agent_t *agent, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, agent->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const agent_call_t *call = value;

		if (call->ended && now >= call->expires_ms)
			g_hash_table_iter_remove(&iter);
	}
}
