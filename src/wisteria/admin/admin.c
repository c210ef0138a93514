/*
 * The HTTP interface for operators.  A request with a valid token becomes a
 * job for the backend; its connection is suspended until the backend answers
 * the job, so that waiting for a quorum blocks no thread.
 */
#include "wisteria/admin/admin.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "wisteria/admin/admin_http.h"
#include "wisteria/admin/admin_render.h"
#include "wisteria/admin/admin_route.h"
#include "wisteria/admin/token.h"
#include "wisteria/base/err.h"

struct admin_t {
	struct MHD_Daemon *daemon;
	admin_backend_t *backend;
	admin_token_t token;
};

/* The state of one HTTP request: its job and the body received so far. */
typedef struct {
	admin_job_t job;
	GString *body;
	bool is_submitted;
	bool is_too_large;
} request_t;

static bool is_authorized(const admin_t *admin,
			  struct MHD_Connection *connection)
{
	static const char scheme[] = "Bearer ";
	const char *header = MHD_lookup_connection_value(
		connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);

	if (header == NULL ||
	    g_ascii_strncasecmp(header, scheme, sizeof(scheme) - 1) != 0)
		return false;
	return admin_token_matches(&admin->token, header + sizeof(scheme) - 1);
}

static enum MHD_Result send_error(struct MHD_Connection *connection,
				  unsigned status, err_code_t code,
				  const char *reason)
{
	admin_http_response_t response = { .status = status,
					   .type = "application/json" };
	err_t err = ERR_INIT;

	err_set(&err, code, "admin", "", "%s", reason);
	response.body = admin_render_err(&err);
	return admin_http_respond(connection, &response);
}

static enum MHD_Result send_job_response(struct MHD_Connection *connection,
					 admin_job_t *job)
{
	admin_http_response_t response = {
		.status = job->http_status,
		.type = "application/json",
		.body = job->body,
		.retry_after = job->http_status == 503 ? "1" : NULL,
	};

	job->body = NULL;
	return admin_http_respond(connection, &response);
}

static bool read_query(admin_job_t *job, struct MHD_Connection *connection)
{
	const char *after = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, "after");
	guint64 revision = 0;

	if (after != NULL && !g_ascii_string_to_unsigned(
				     after, 10, 0, INT64_MAX, &revision, NULL))
		return false;
	job->after_revision = revision;
	return true;
}

static enum MHD_Result submit(admin_t *admin, struct MHD_Connection *connection,
			      request_t *request)
{
	request->is_submitted = true;
	request->job.connection = connection;
	request->job.order.wall_ms = g_get_real_time() / 1000;
	MHD_suspend_connection(connection);
	admin->backend->submit(admin->backend, &request->job);
	return MHD_YES;
}

static enum MHD_Result handle_request(admin_t *admin,
				      struct MHD_Connection *connection,
				      request_t *request, const char *method,
				      const char *path)
{
	admin_job_t *job = &request->job;
	admin_route_result_t route_result;
	err_t err = ERR_INIT;

	if (request->is_too_large)
		return send_error(connection, 413, ERR_INVALID,
				  "body too large");
	route_result = admin_route(job, method, path);
	if (route_result == ADMIN_ROUTE_UNKNOWN_PATH)
		return send_error(connection, 404, ERR_NOT_FOUND,
				  "no such path");
	if (route_result == ADMIN_ROUTE_UNKNOWN_METHOD)
		return send_error(connection, 405, ERR_INVALID,
				  "the path does not take this method");
	if (job->kind == ADMIN_ORDER &&
	    !admin_read_order(job, request->body->str, request->body->len,
			      &err))
		return send_error(connection, 400, err.code, err.text);
	if (!read_query(job, connection))
		return send_error(connection, 400, ERR_INVALID,
				  "after: expected a revision");
	return submit(admin, connection, request);
}

static void append_body(request_t *request, const char *data, size_t len)
{
	if (request->body->len + len > ADMIN_BODY_BYTES_MAX)
		request->is_too_large = true;
	else
		g_string_append_len(request->body, data, (gssize)len);
}

static enum MHD_Result on_request(void *owner,
				  struct MHD_Connection *connection,
				  const char *path, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **context)
{
	admin_t *admin = owner;
	request_t *request = *context;

	(void)version;
	if (request == NULL) {
		if (!is_authorized(admin, connection))
			return send_error(connection, 401, ERR_AUTH,
					  "no valid bearer token");
		request = g_new0(request_t, 1);
		request->body = g_string_new(NULL);
		*context = request;
		return MHD_YES;
	}
	if (*len != 0) {
		append_body(request, data, *len);
		*len = 0;
		return MHD_YES;
	}
	if (request->is_submitted)
		return send_job_response(connection, &request->job);
	return handle_request(admin, connection, request, method, path);
}

static void on_completed(void *owner, struct MHD_Connection *connection,
			 void **context, enum MHD_RequestTerminationCode code)
{
	request_t *request = *context;

	(void)owner;
	(void)connection;
	(void)code;
	if (request == NULL)
		return;
	admin_job_finish(&request->job);
	g_string_free(request->body, TRUE);
	g_free(request);
}

/*
 * Listens for operators on "address" (IP:PORT).  Requests must carry the token
 * stored in "token_file"; they are passed to "backend", which must outlive the
 * listener.  Returns NULL and sets "err" on failure.
 */
admin_t *admin_new(const char *address, const char *token_file,
		   admin_backend_t *backend, err_t *err)
{
	admin_t *admin = g_new0(admin_t, 1);

	admin->backend = backend;
	if (admin_token_load(&admin->token, token_file, err))
		admin->daemon = admin_http_start(address, on_request,
						 on_completed, admin, err);
	if (admin->daemon != NULL)
		return admin;
	g_free(admin);
	return NULL;
}

/* Stops listening; the backend must have answered every job. */
void admin_free(admin_t *admin)
{
	if (admin == NULL)
		return;
	MHD_stop_daemon(admin->daemon);
	g_free(admin);
}

/* Returns the port of the listener. */
unsigned admin_port(const admin_t *admin)
{
	return admin_http_port(admin->daemon);
}

static void resume(admin_job_t *job, unsigned http_status, char *body)
{
	job->http_status = http_status;
	job->body = body;
	MHD_resume_connection(job->connection);
}

static unsigned order_http_status(uint32_t outcome)
{
	switch (outcome) {
	case ORDER_APPLIED:
		return 200;
	case ORDER_REFUSED:
		return 422;
	case ORDER_CONFLICT:
		return 409;
	default:
		return 503;
	}
}

/* Answers an order; "reply" need not outlive the call. */
void admin_job_reply_order(admin_job_t *job, const msg_order_reply_t *reply)
{
	resume(job, order_http_status(reply->outcome),
	       admin_render_order(reply));
}

/*
 * Answers a job of any kind for which no quorum was reached in time: an order
 * may still be applied later, and a query has no confirmed result.
 */
void admin_job_reply_unknown(admin_job_t *job, const char *reason)
{
	const msg_order_reply_t reply = {
		.id = job->kind == ADMIN_ORDER ? job->order.id : "",
		.outcome = ORDER_UNKNOWN,
		.reason = reason,
	};

	resume(job, 503, admin_render_order(&reply));
}

/* Answers a query of the state; "state" need not outlive the call. */
void admin_job_reply_state(admin_job_t *job, const admin_state_t *state)
{
	unsigned http_status;
	char *body = admin_render_state(job, state, &http_status);

	resume(job, http_status, body);
}
