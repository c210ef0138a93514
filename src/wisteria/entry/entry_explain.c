/*
 * Serves the explanation of a request to operators: from the log of
 * explanations if the request has ended, otherwise from the request in
 * progress.
 */
#include "wisteria/entry/entry_explain.h"

#include <stdlib.h>
#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/entry/refusal.h"
#include "wisteria/entry/request.h"
#include "wisteria/trace/explain.h"

#define EXPLAIN_PREFIX "/v1/explain/"

static const char *token_file(const settings_t *settings)
{
	if (settings->entry != NULL &&
	    settings->entry->admin_token_file != NULL)
		return settings->entry->admin_token_file;
	return settings->control == NULL ? NULL
					 : settings->control->admin_token_file;
}

/* Initializes the log of explanations and loads the operators' token. */
void entry_explain_init(entry_t *entry)
{
	const char *path = token_file(entry->settings);
	err_t err = ERR_INIT;

	explain_log_init(&entry->explanations, EXPLAIN_LOG_BYTES_MAX);
	if (path != NULL && !admin_token_load(&entry->admin_token, path, &err))
		log_err(G_LOG_LEVEL_WARNING, "admin_token_not_loaded", &err);
}

static char *find_call(const entry_t *entry, const char *request_id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const call_t *call = value;

		if (strcmp(call->request->id, request_id) == 0)
			return explain_render(request_id,
					      call->explain.text->str);
	}
	return NULL;
}

static char *find_in_progress(const entry_t *entry, const char *request_id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const job_t *job = value;

		if (strcmp(job->request->id, request_id) == 0)
			return explain_render(request_id,
					      job->explain.text->str);
	}
	return find_call(entry, request_id);
}

static void refuse(const entry_t *entry, request_t *request, err_code_t code,
		   const char *reason)
{
	entry_refusal_t refusal = { .not_run = true };

	err_set(&refusal.err, code, "explain", entry->net->instance, "%s",
		reason);
	refusal_send(request, &refusal, entry->view);
}

static void send_json(request_t *request, const char *body)
{
	GArray *headers = request_headers_new();

	request_headers_add(headers, "Content-Type", "application/json");
	request_send_head(request, 200, headers);
	request_write_body(request, body, strlen(body));
	request_end_response(request);
}

/* Answers GET /v1/explain/REQUEST-ID, which needs the operators' token. */
void entry_explain_accept(entry_t *entry, request_t *request)
{
	const char *request_id = request->path + strlen(EXPLAIN_PREFIX);
	char *body;

	if (!admin_token_matches(&entry->admin_token, request->api_key)) {
		refuse(entry, request, ERR_AUTH, "the operators' token is due");
		return;
	}
	body = explain_log_find(&entry->explanations, request_id);
	if (body == NULL)
		body = find_in_progress(entry, request_id);
	if (body != NULL)
		send_json(request, body);
	else
		refuse(entry, request, ERR_NOT_FOUND,
		       "this entry keeps no such request; ask the entry that "
		       "took it");
	free(body);
}
