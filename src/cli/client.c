/*
 * HTTP client of the admin API: tries the servers one after another until one
 * responds.  An order keeps its id on every try, so sending it again is safe.
 */
#include "cli/client.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#include <curl/curl.h>
#include <glib.h>

#include "cli/output.h"
#include "wisteria/base/clock.h"
#include "wisteria/http/head_watch.h"
#include "wisteria/http/http_message.h"

#define CLIENT_CONNECT_TIMEOUT_MS 1000
#define CLIENT_RETRY_PAUSE_MS 200
#define CLIENT_STATUS_UNAVAILABLE 503
/* Several times the longest list that a server sends. */
#define CLIENT_BODY_BYTES_MAX (32u << 20)

/* Collects the body of a response; one without end fails the request. */
static size_t append_body(char *data, size_t size, size_t count, void *body)
{
	if (((GString *)body)->len + size * count > CLIENT_BODY_BYTES_MAX)
		return 0;
	g_string_append_len(body, data, (gssize)(size * count));
	return size * count;
}

/* A line that is not a field fails the request. */
static size_t watch_head(char *data, size_t size, size_t count, void *user)
{
	head_watch_t *head = user;

	head_watch_line(head, data, size * count);
	return head->is_malformed ? 0 : size * count;
}

static struct curl_slist *make_headers(const cli_options_t *options)
{
	struct curl_slist *headers =
		curl_slist_append(NULL, "Content-Type: application/json");
	gchar *token = NULL;
	gchar *header;

	if (options->token_file == NULL ||
	    !g_file_get_contents(options->token_file, &token, NULL, NULL))
		return headers;
	header = g_strdup_printf("Authorization: Bearer %s", g_strstrip(token));
	headers = curl_slist_append(headers, header);
	g_free(header);
	g_free(token);
	return headers;
}

static void set_options(CURL *curl, const char *url, const char *method,
			const char *body, long timeout_ms)
{
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CLIENT_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	if (body != NULL)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
}

/*
 * Returns whether the head of a response is complete, its status is valid, and
 * the body of a 200 is JSON, as all of them are.  Without a length or chunks, a
 * body that was cut looks complete to libcurl.
 */
static bool is_readable(const char *server, const head_watch_t *head,
			client_response_t *response)
{
	if (head->is_complete &&
	    http_status_is_valid((unsigned)response->status) &&
	    (response->status != 200 || response->body != NULL))
		return true;
	json_decref(response->body);
	response->body = NULL;
	response->status = 0;
	snprintf(response->error_text, sizeof(response->error_text),
		 "%s: the response is not complete", server);
	return false;
}

/* Returns whether the server sent a complete response. */
static bool try_server(const char *server, const char *method, const char *path,
		       const char *body, struct curl_slist *headers,
		       long timeout_ms, client_response_t *response)
{
	CURL *curl = curl_easy_init();
	char *url = g_strdup_printf("http://%s%s", server, path);
	GString *received = g_string_new(NULL);
	head_watch_t head = { 0 };
	bool complete = false;
	CURLcode code;

	set_options(curl, url, method, body, timeout_ms);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, received);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, watch_head);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, &head);
	code = curl_easy_perform(curl);
	if (code == CURLE_OK) {
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE,
				  &response->status);
		response->body =
			json_loadb(received->str, received->len, 0, NULL);
		complete = is_readable(server, &head, response);
	} else {
		snprintf(response->error_text, sizeof(response->error_text),
			 "%s: %s", server,
			 head.is_malformed
				 ? "the response has an invalid header field"
				 : curl_easy_strerror(code));
	}
	if (code != CURLE_COULDNT_CONNECT)
		response->maybe_received = true;
	g_string_free(received, TRUE);
	g_free(url);
	curl_easy_cleanup(curl);
	return complete;
}

/*
 * Tries each server once.  A 503 (a server without a quorum) doesn't count as a
 * response: the next server is tried.
 */
static bool try_servers_once(const cli_options_t *options, const char *method,
			     const char *path, const char *body,
			     struct curl_slist *headers, clock_ms_t deadline_ms,
			     client_response_t *response)
{
	for (unsigned i = 0; i < options->server_count; i++) {
		clock_ms_t remaining_ms =
			deadline_ms - clock_now(&clock_monotonic);

		if (remaining_ms <= 0)
			return false;
		client_response_finish(response);
		if (try_server(options->servers[i], method, path, body, headers,
			       (long)remaining_ms, response) &&
		    response->status != CLIENT_STATUS_UNAVAILABLE)
			return true;
	}
	return false;
}

/*
 * Tries the servers in turn, repeatedly, until the command's timeout expires.
 * Returns whether one responded with a status other than 503; "response" then
 * holds that response.  The caller must call client_response_finish() in every
 * case.
 */
bool client_request(const cli_options_t *options, const char *method,
		    const char *path, const char *body,
		    client_response_t *response)
{
	const struct timespec retry_pause = {
		.tv_nsec = CLIENT_RETRY_PAUSE_MS * 1000000L,
	};
	clock_ms_t deadline_ms =
		clock_now(&clock_monotonic) + options->timeout_ms;
	struct curl_slist *headers = make_headers(options);
	bool has_response;

	memset(response, 0, sizeof(*response));
	has_response = try_servers_once(options, method, path, body, headers,
					deadline_ms, response);
	while (!has_response && clock_now(&clock_monotonic) < deadline_ms) {
		nanosleep(&retry_pause, NULL);
		has_response = try_servers_once(options, method, path, body,
						headers, deadline_ms, response);
	}
	curl_slist_free_all(headers);
	return has_response;
}

/* Frees the body of a response. */
void client_response_finish(client_response_t *response)
{
	json_decref(response->body);
	response->body = NULL;
	response->status = 0;
}

static void print_failure(const client_response_t *response)
{
	const char *reason =
		json_string_value(json_object_get(response->body, "reason"));

	if (reason == NULL)
		reason = json_string_value(json_object_get(
			json_object_get(response->body, "error"), "message"));
	if (reason == NULL && response->status != 0)
		fprintf(stderr, "wisteriactl: HTTP status %ld\n",
			response->status);
	else
		fprintf(stderr, "wisteriactl: %s\n",
			reason == NULL ? response->error_text : reason);
}

/*
 * Sends a GET request.  On CLI_OK the caller owns "body"; otherwise the reason
 * has been printed to stderr.
 */
cli_exit_t client_get(const cli_options_t *options, const char *path,
		      json_t **body)
{
	client_response_t response;
	cli_exit_t code = CLI_OK;

	if (!client_request(options, "GET", path, NULL, &response))
		code = CLI_UNREACHABLE;
	else if (response.status != 200 || response.body == NULL)
		code = CLI_REFUSED;
	if (code == CLI_OK)
		*body = json_incref(response.body);
	else
		print_failure(&response);
	client_response_finish(&response);
	return code;
}

static cli_exit_t order_exit_code(const client_response_t *response)
{
	switch (response->status) {
	case 200:
		return CLI_OK;
	case 409:
		return CLI_CONFLICT;
	default:
		return CLI_REFUSED;
	}
}

static cli_exit_t report_no_response(const cli_options_t *options,
				     const client_response_t *response)
{
	if (!response->maybe_received) {
		print_failure(response);
		fprintf(stderr, "No server was reached; nothing was sent.\n");
		return CLI_UNREACHABLE;
	}
	if (options->json) {
		output_json(json_pack("{s:s, s:s}", "id", options->order_id,
				      "outcome", "unknown"));
		return CLI_OUTCOME_UNKNOWN;
	}
	fprintf(stderr,
		"It is unknown whether the order applied.  Give the same "
		"command again with\n  --order-id %s\n"
		"It applies at most once.  To query its outcome only:\n"
		"  wisteriactl order show %s\n",
		options->order_id, options->order_id);
	return CLI_OUTCOME_UNKNOWN;
}

static void add_common_keys(const cli_options_t *options, json_t *order)
{
	json_object_set_new(order, "id", json_string(options->order_id));
	if (options->operator_name != NULL)
		json_object_set_new(order, "operator",
				    json_string(options->operator_name));
	if (options->has_expected)
		json_object_set_new(
			order, "expected_revision",
			json_integer((json_int_t)options->expected_revision));
}

/*
 * Sends an order and prints its outcome.  Takes ownership of "order", a JSON
 * object with the keys specific to this kind of order; the common keys are
 * added here.
 */
cli_exit_t client_send_order(const cli_options_t *options, const char *method,
			     const char *path, json_t *order)
{
	client_response_t response;
	cli_exit_t code;
	char *body;

	add_common_keys(options, order);
	body = json_dumps(order, JSON_COMPACT);
	json_decref(order);
	if (!client_request(options, method, path, body, &response)) {
		code = report_no_response(options, &response);
	} else {
		code = order_exit_code(&response);
		if (json_object_get(response.body, "outcome") == NULL)
			print_failure(&response);
		else if (options->json)
			output_json(json_incref(response.body));
		else
			output_order(response.body);
	}
	client_response_finish(&response);
	free(body);
	return code;
}
