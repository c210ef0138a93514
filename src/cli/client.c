/*
 * Asks one server after the other until one answers.  An order keeps its id
 * over all of them, so asking again is safe.
 */
#include "cli/client.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#include <curl/curl.h>
#include <glib.h>

#include "cli/output.h"
#include "wisteria/base/clock.h"

#define CLIENT_CONNECT_MS 1000
#define CLIENT_PAUSE_MS 200
#define CLIENT_UNAVAILABLE 503

static size_t collect(char *data, size_t size, size_t count, void *body)
{
	g_string_append_len(body, data, (gssize)(size * count));
	return size * count;
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
			 (long)CLIENT_CONNECT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, collect);
	if (body != NULL)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
}

/* Returns whether the server gave a whole HTTP answer. */
static bool ask_one(const char *server, const char *method, const char *path,
		    const char *body, struct curl_slist *headers,
		    long timeout_ms, client_answer_t *answer)
{
	CURL *curl = curl_easy_init();
	char *url = g_strdup_printf("http://%s%s", server, path);
	GString *text = g_string_new(NULL);
	CURLcode code;

	set_options(curl, url, method, body, timeout_ms);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, text);
	code = curl_easy_perform(curl);
	if (code == CURLE_OK) {
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE,
				  &answer->status);
		answer->body = json_loadb(text->str, text->len, 0, NULL);
	} else {
		snprintf(answer->why, sizeof(answer->why), "%s: %s", server,
			 curl_easy_strerror(code));
	}
	if (code != CURLE_COULDNT_CONNECT)
		answer->may_have_arrived = true;
	g_string_free(text, TRUE);
	g_free(url);
	curl_easy_cleanup(curl);
	return code == CURLE_OK;
}

/* Asks each server once; a server without a quorum is not the last word. */
static bool ask_round(const cli_options_t *options, const char *method,
		      const char *path, const char *body,
		      struct curl_slist *headers, clock_ms_t until_ms,
		      client_answer_t *answer)
{
	for (unsigned i = 0; i < options->server_count; i++) {
		clock_ms_t left = until_ms - clock_now(&clock_monotonic);

		if (left <= 0)
			return false;
		client_answer_finish(answer);
		if (ask_one(options->servers[i], method, path, body, headers,
			    (long)left, answer) &&
		    answer->status != CLIENT_UNAVAILABLE)
			return true;
	}
	return false;
}

/*
 * Asks the servers in turn, again and again until the command's time is up.
 * Returns whether one answered with something else than "unavailable";
 * "answer" then holds it, and is freed with client_answer_finish() always.
 */
bool client_ask(const cli_options_t *options, const char *method,
		const char *path, const char *body, client_answer_t *answer)
{
	const struct timespec pause = {
		.tv_nsec = CLIENT_PAUSE_MS * 1000000L,
	};
	clock_ms_t until_ms = clock_now(&clock_monotonic) + options->timeout_ms;
	struct curl_slist *headers = make_headers(options);
	bool answered;

	memset(answer, 0, sizeof(*answer));
	answered = ask_round(options, method, path, body, headers, until_ms,
			     answer);
	while (!answered && clock_now(&clock_monotonic) < until_ms) {
		nanosleep(&pause, NULL);
		answered = ask_round(options, method, path, body, headers,
				     until_ms, answer);
	}
	curl_slist_free_all(headers);
	return answered;
}

/* Frees the body of an answer. */
void client_answer_finish(client_answer_t *answer)
{
	json_decref(answer->body);
	answer->body = NULL;
	answer->status = 0;
}

static void print_failure(const client_answer_t *answer)
{
	const char *reason =
		json_string_value(json_object_get(answer->body, "reason"));

	if (reason == NULL)
		reason = json_string_value(json_object_get(
			json_object_get(answer->body, "error"), "message"));
	if (reason == NULL && answer->status != 0)
		fprintf(stderr, "wisteriactl: HTTP status %ld\n",
			answer->status);
	else
		fprintf(stderr, "wisteriactl: %s\n",
			reason == NULL ? answer->why : reason);
}

/*
 * Asks a question.  On CLI_OK "body" belongs to the caller; otherwise the
 * reason has been printed.
 */
cli_exit_t client_get(const cli_options_t *options, const char *path,
		      json_t **body)
{
	client_answer_t answer;
	cli_exit_t code = CLI_OK;

	if (!client_ask(options, "GET", path, NULL, &answer))
		code = CLI_UNREACHABLE;
	else if (answer.status != 200 || answer.body == NULL)
		code = CLI_REFUSED;
	if (code == CLI_OK)
		*body = json_incref(answer.body);
	else
		print_failure(&answer);
	client_answer_finish(&answer);
	return code;
}

static cli_exit_t order_exit(const client_answer_t *answer)
{
	switch (answer->status) {
	case 200:
		return CLI_OK;
	case 409:
		return CLI_CONFLICT;
	default:
		return CLI_REFUSED;
	}
}

static cli_exit_t report_no_answer(const cli_options_t *options,
				   const client_answer_t *answer)
{
	if (!answer->may_have_arrived) {
		print_failure(answer);
		fprintf(stderr, "No server was reached; nothing was sent.\n");
		return CLI_UNREACHABLE;
	}
	if (options->json) {
		output_json(json_pack("{s:s, s:s}", "id", options->order_id,
				      "outcome", "unknown"));
		return CLI_UNKNOWN;
	}
	fprintf(stderr,
		"It is unknown whether the order applied.  Give the same "
		"command again with\n  --order-id %s\n"
		"It applies at most once.  To only ask:\n"
		"  wisteriactl order show %s\n",
		options->order_id, options->order_id);
	return CLI_UNKNOWN;
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
 * Sends an order and prints what became of it.  Takes over "order", a JSON
 * object with what is particular to it.
 */
cli_exit_t client_order(const cli_options_t *options, const char *method,
			const char *path, json_t *order)
{
	client_answer_t answer;
	cli_exit_t code;
	char *body;

	add_common_keys(options, order);
	body = json_dumps(order, JSON_COMPACT);
	json_decref(order);
	if (!client_ask(options, method, path, body, &answer)) {
		code = report_no_answer(options, &answer);
	} else {
		code = order_exit(&answer);
		if (json_object_get(answer.body, "outcome") == NULL)
			print_failure(&answer);
		else if (options->json)
			output_json(json_incref(answer.body));
		else
			output_order(answer.body);
	}
	client_answer_finish(&answer);
	free(body);
	return code;
}
