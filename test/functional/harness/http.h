#ifndef TEST_FUNCTIONAL_HARNESS_HTTP_H
#define TEST_FUNCTIONAL_HARNESS_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>
#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"

#define HTTP_EVENT_ID_BYTES 128

/* One request and the response so far. */
typedef struct http_request_t {
	CURL *easy;
	struct curl_slist *header_list;
	char *sent_body;
	bool done;
	CURLcode result; /* valid once done */
	long status;
	GString *headers;
	GString *body; /* of the response, as received */

	/* For a stream of server-sent events. */
	size_t parsed_bytes; /* of "body" */
	GString *answer;     /* concatenated texts of all events */
	uint32_t events;     /* number of events with text */
	bool ended;	     /* "[DONE]" was received */
	bool failed;	     /* an event was an error or not JSON */
	char last_event_id[HTTP_EVENT_ID_BYTES];
	int64_t started_us;
	int64_t first_event_us; /* 0: none yet */
	int64_t ended_us;
	GArray *event_us; /* int64_t, one for each event with text */

	void *user;
} http_request_t;

/* A client with any number of open requests, driven by the test's thread. */
typedef struct {
	CURLM *multi;
	GPtrArray *requests;
	size_t open; /* requests that are not done */
} http_client_t;

/* A request to send; members that are NULL are left out. */
typedef struct {
	const char *method; /* default: GET, or POST with a body */
	const char *url;
	const char *api_key;
	const char *body;
	const char *const *headers; /* "Name: value", ends with NULL */
} http_params_t;

void http_client_init(http_client_t *client) ATTR_NONNULL_ALL;
void http_client_finish(http_client_t *client) ATTR_NONNULL_ALL;
http_request_t *http_send(http_client_t *client,
			  const http_params_t *params) ATTR_NONNULL_ALL;
void http_cancel(http_client_t *client,
		 http_request_t *request) ATTR_NONNULL_ALL;
void http_request_free(http_client_t *client,
		       http_request_t *request) ATTR_NONNULL_ALL;
void http_client_poll(http_client_t *client, int wait_ms) ATTR_NONNULL_ALL;
bool http_client_run(http_client_t *client,
		     clock_ms_t limit_ms) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool http_wait(http_client_t *client, const http_request_t *request,
	       clock_ms_t limit_ms) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
long http_call_status(http_client_t *client, const http_params_t *params,
		      clock_ms_t limit_ms) ATTR_NONNULL_ALL;
bool http_wait_events(http_client_t *client, const http_request_t *request,
		      uint32_t events,
		      clock_ms_t limit_ms) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
char *http_body_text(const http_request_t *request) ATTR_NONNULL_ALL;

#endif
