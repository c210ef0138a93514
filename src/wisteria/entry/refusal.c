/*
 * Refusals: a JSON body that states whether the request was run, at which step
 * and with which peer it failed, under which preset, and when to retry.
 */
#include "wisteria/entry/refusal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/entry/request.h"
#include "wisteria/http/http_message.h"

typedef struct {
	err_code_t code;
	unsigned status;
} refusal_status_t;

static const refusal_status_t statuses[] = {
	{ ERR_TOO_LARGE, 413 }, { ERR_INVALID, 400 },	  { ERR_AUTH, 401 },
	{ ERR_NOT_FOUND, 404 }, { ERR_NOT_ALLOWED, 405 }, { ERR_CONFLICT, 409 },
	{ ERR_OVERLOAD, 429 },	{ ERR_UNAVAILABLE, 503 }, { ERR_TIMEOUT, 504 },
	{ ERR_CLOSED, 502 },	{ ERR_PROTOCOL, 502 },
};

/* Returns the HTTP status of a refusal with "code". */
unsigned refusal_status(err_code_t code)
{
	for (size_t i = 0; i < ARRAY_SIZE(statuses); i++)
		if (statuses[i].code == code)
			return statuses[i].status;
	return 500;
}

/*
 * Returns the JSON body of a refusal; the caller frees it with free().  "view"
 * may be NULL.
 */
char *refusal_body(const request_t *request, const entry_refusal_t *refusal,
		   const view_t *view)
{
	bool known = view != NULL && view->preset != NULL;
	json_t *root = json_pack(
		"{s:{s:s,s:s,s:s,s:s,s:s,s:s,s:s?,s:I,s:I}}", "error", "code",
		err_code_name(refusal->err.code), "run",
		refusal->not_run ? "not_run" : "unknown", "message",
		refusal->err.text, "step", refusal->err.step, "peer",
		refusal->err.peer, "request", request->id, "preset",
		known ? view->preset->name : NULL, "revision",
		(json_int_t)(known ? view->revision : 0), "retry_after_ms",
		(json_int_t)refusal->retry_after_ms);
	char *text = root == NULL ? NULL : json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text == NULL ? strdup("{}") : text;
}

static void add_retry_after(GArray *headers, const entry_refusal_t *refusal)
{
	char seconds[32];

	if (refusal->retry_after_ms <= 0)
		return;
	snprintf(seconds, sizeof(seconds), "%lld",
		 (long long)(refusal->retry_after_ms + 999) / 1000);
	request_headers_add(headers, "Retry-After", seconds);
}

/*
 * Answers "request" with a refusal; its response must not have begun.  Callers
 * take some statuses as a promise that it has not run, and get none of these if
 * it may have.
 */
void refusal_send(request_t *request, const entry_refusal_t *refusal,
		  const view_t *view)
{
	GArray *headers = request_headers_new();
	char *body = refusal_body(request, refusal, view);

	counter_add(COUNTER_REQUESTS_REFUSED, 1);
	request_headers_add(headers, "Content-Type", "application/json");
	request_headers_add(headers, "X-Request-Id", request->id);
	add_retry_after(headers, refusal);
	request_send_head(
		request,
		http_status_to_caller(refusal_status(refusal->err.code),
				      !refusal->not_run),
		headers);
	request_write_body(request, body, strlen(body));
	request_end_response(request);
	free(body);
}
