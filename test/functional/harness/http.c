/* An HTTP client over libcurl's multi interface that parses event streams. */
#include "harness/http.h"

#include <string.h>

#include <jansson.h>

#include "wisteria/base/clock.h"

#define CONNECT_TIMEOUT_MS 5000L

/* Initializes a client without requests. */
void http_client_init(http_client_t *client)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	client->multi = curl_multi_init();
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS, 64L);
	client->requests = g_ptr_array_new();
	client->open = 0;
}

static void request_free(http_request_t *request)
{
	curl_easy_cleanup(request->easy);
	curl_slist_free_all(request->header_list);
	g_free(request->sent_body);
	g_string_free(request->headers, TRUE);
	g_string_free(request->body, TRUE);
	g_string_free(request->answer, TRUE);
	g_array_free(request->event_us, TRUE);
	g_free(request);
}

/* Cancels and frees all requests, and frees what the client holds. */
void http_client_finish(http_client_t *client)
{
	while (client->requests->len > 0)
		http_request_free(client,
				  g_ptr_array_index(client->requests, 0));
	g_ptr_array_free(client->requests, TRUE);
	curl_multi_cleanup(client->multi);
}

static const char *event_text(const json_t *event)
{
	const json_t *choice =
		json_array_get(json_object_get(event, "choices"), 0);
	const json_t *delta = json_object_get(choice, "delta");
	const json_t *text = json_object_get(choice, "text");

	if (text == NULL)
		text = json_object_get(delta, "content");
	return json_string_value(text);
}

static void parse_event(http_request_t *request, const char *data)
{
	int64_t now_us = g_get_monotonic_time();
	const char *text;
	json_t *event;

	if (strcmp(data, "[DONE]") == 0) {
		request->ended = true;
		return;
	}
	event = json_loads(data, 0, NULL);
	if (event == NULL || json_object_get(event, "error") != NULL)
		request->failed = true;
	text = event_text(event);
	if (text != NULL && text[0] != '\0') {
		g_string_append(request->answer, text);
		request->events++;
		g_array_append_val(request->event_us, now_us);
		if (request->first_event_us == 0)
			request->first_event_us = now_us;
	}
	json_decref(event);
}

static void parse_line(http_request_t *request, char *line)
{
	g_strchomp(line);
	if (g_str_has_prefix(line, "data:"))
		parse_event(request, g_strchug(line + 5));
	else if (g_str_has_prefix(line, "id:"))
		g_strlcpy(request->last_event_id, g_strchug(line + 3),
			  sizeof(request->last_event_id));
}

static void parse_events(http_request_t *request)
{
	const char *start = request->body->str + request->parsed_bytes;
	const char *end;

	while ((end = strchr(start, '\n')) != NULL) {
		char *line = g_strndup(start, (size_t)(end - start));

		parse_line(request, line);
		g_free(line);
		start = end + 1;
	}
	request->parsed_bytes = (size_t)(start - request->body->str);
}

static size_t on_body(char *data, size_t size, size_t count, void *user)
{
	http_request_t *request = user;
	const char *type = NULL;

	g_string_append_len(request->body, data, (gssize)(size * count));
	curl_easy_getinfo(request->easy, CURLINFO_CONTENT_TYPE, &type);
	if (type != NULL && g_str_has_prefix(type, "text/event-stream"))
		parse_events(request);
	return size * count;
}

static size_t on_header(char *data, size_t size, size_t count, void *user)
{
	http_request_t *request = user;

	g_string_append_len(request->headers, data, (gssize)(size * count));
	return size * count;
}

static void add_headers(http_request_t *request, const http_params_t *params)
{
	const char *const *header = params->headers;

	if (params->api_key != NULL) {
		char *text = g_strdup_printf("Authorization: Bearer %s",
					     params->api_key);

		request->header_list =
			curl_slist_append(request->header_list, text);
		g_free(text);
	}
	if (params->body != NULL)
		request->header_list = curl_slist_append(
			request->header_list, "Content-Type: application/json");
	request->header_list =
		curl_slist_append(request->header_list, "Expect:");
	for (; header != NULL && *header != NULL; header++)
		request->header_list =
			curl_slist_append(request->header_list, *header);
}

static void set_options(http_request_t *request, const http_params_t *params)
{
	CURL *easy = request->easy;

	curl_easy_setopt(easy, CURLOPT_URL, params->url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	/*
	 * Never reuses a connection: libcurl resends a request when a reused
	 * connection fails.
	 */
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, request->header_list);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, request);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, request);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, request);
	if (request->sent_body != NULL)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->sent_body);
	if (params->method != NULL)
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, params->method);
}

/*
 * Starts a request, which makes progress while the client is polled.  The
 * client owns it.
 */
http_request_t *http_send(http_client_t *client, const http_params_t *params)
{
	http_request_t *request = g_new0(http_request_t, 1);

	request->easy = curl_easy_init();
	request->headers = g_string_new(NULL);
	request->body = g_string_new(NULL);
	request->answer = g_string_new(NULL);
	request->event_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	request->sent_body = g_strdup(params->body);
	add_headers(request, params);
	set_options(request, params);
	request->started_us = g_get_monotonic_time();
	g_ptr_array_add(client->requests, request);
	curl_multi_add_handle(client->multi, request->easy);
	client->open++;
	return request;
}

static void finish_request(http_client_t *client, http_request_t *request,
			   CURLcode result)
{
	curl_easy_getinfo(request->easy, CURLINFO_RESPONSE_CODE,
			  &request->status);
	curl_multi_remove_handle(client->multi, request->easy);
	request->result = result;
	request->done = true;
	request->ended_us = g_get_monotonic_time();
	client->open--;
}

/* Aborts a request; the response received so far stays readable. */
void http_cancel(http_client_t *client, http_request_t *request)
{
	if (!request->done)
		finish_request(client, request, CURLE_ABORTED_BY_CALLBACK);
}

/* Aborts a request and frees it. */
void http_request_free(http_client_t *client, http_request_t *request)
{
	http_cancel(client, request);
	g_ptr_array_remove_fast(client->requests, request);
	request_free(request);
}

/* Drives all requests, after a wait of up to "wait_ms" for network activity. */
void http_client_poll(http_client_t *client, int wait_ms)
{
	CURLMsg *message;
	int running;
	int left;

	curl_multi_poll(client->multi, NULL, 0, wait_ms, NULL);
	curl_multi_perform(client->multi, &running);
	while ((message = curl_multi_info_read(client->multi, &left)) != NULL) {
		CURLcode result = message->data.result;
		char *user = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  &user);
		finish_request(client, (http_request_t *)(void *)user, result);
	}
}

typedef bool (*condition_t)(const http_client_t *client,
			    const http_request_t *request, uint32_t events);

static bool poll_until(http_client_t *client, condition_t condition,
		       const http_request_t *request, uint32_t events,
		       clock_ms_t limit_ms)
{
	clock_ms_t limit = clock_now(&clock_monotonic) + limit_ms;

	while (!condition(client, request, events)) {
		clock_ms_t left = limit - clock_now(&clock_monotonic);

		if (left <= 0)
			return false;
		http_client_poll(client, (int)MIN(left, 100));
	}
	return true;
}

static bool all_done(const http_client_t *client, const http_request_t *request,
		     uint32_t events)
{
	(void)request;
	(void)events;
	return client->open == 0;
}

static bool one_done(const http_client_t *client, const http_request_t *request,
		     uint32_t events)
{
	(void)client;
	(void)events;
	return request->done;
}

static bool has_events(const http_client_t *client,
		       const http_request_t *request, uint32_t events)
{
	(void)client;
	return request->done || request->events >= events;
}

/* Runs until all requests are done; returns false after "limit_ms". */
bool http_client_run(http_client_t *client, clock_ms_t limit_ms)
{
	return poll_until(client, all_done, NULL, 0, limit_ms);
}

/* Runs until one request is done; returns false after "limit_ms". */
bool http_wait(http_client_t *client, const http_request_t *request,
	       clock_ms_t limit_ms)
{
	return poll_until(client, one_done, request, 0, limit_ms);
}

/*
 * Sends a request and returns the status of its response; 0 without one after
 * "limit_ms".
 */
long http_call_status(http_client_t *client, const http_params_t *params,
		      clock_ms_t limit_ms)
{
	http_request_t *request = http_send(client, params);
	long status =
		http_wait(client, request, limit_ms) ? request->status : 0;

	http_request_free(client, request);
	return status;
}

/*
 * Runs until a stream has delivered "events" events or is done; returns false
 * after "limit_ms".
 */
bool http_wait_events(http_client_t *client, const http_request_t *request,
		      uint32_t events, clock_ms_t limit_ms)
{
	return poll_until(client, has_events, request, events, limit_ms);
}

/*
 * Returns the text of an answer that was not streamed, or NULL if the body
 * contains none.  The caller frees it with g_free().
 */
char *http_body_text(const http_request_t *request)
{
	json_t *body = json_loads(request->body->str, 0, NULL);
	const json_t *choice =
		json_array_get(json_object_get(body, "choices"), 0);
	const json_t *text = json_object_get(choice, "text");
	char *copy;

	if (text == NULL)
		text = json_object_get(json_object_get(choice, "message"),
				       "content");
	copy = g_strdup(json_string_value(text));
	json_decref(body);
	return copy;
}
