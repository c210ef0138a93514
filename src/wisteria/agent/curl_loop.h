#ifndef WISTERIA_AGENT_CURL_LOOP_H
#define WISTERIA_AGENT_CURL_LOOP_H

#include <stdbool.h>

#include <curl/curl.h>
#include <uv.h>

#include "wisteria/base/macros_defs.h"

struct curl_transfer_t;

/* The HTTP client of one event loop, based on libcurl. */
typedef struct {
	uv_loop_t *loop;
	CURLM *multi;
	uv_timer_t timer;
	struct curl_transfer_t *transfers;
} curl_loop_t;

/* A body to send; "data" must outlive the request. */
typedef struct {
	const char *data;
	size_t len;
	size_t sent;
} curl_body_t;

/*
 * Callbacks of a request, embedded in the owner's struct.  done() is called
 * exactly once, at its end; "handle" is valid only during the call.
 */
typedef struct curl_done_t {
	void (*done)(struct curl_done_t *self, CURL *handle, CURLcode code);
	/*
	 * Gets each line of the head and the trailers of a response; may be
	 * NULL.  "begins_head": it is a status line, so the lines before it
	 * were those of an interim response.
	 */
	void (*header)(struct curl_done_t *self, const char *line, size_t len,
		       bool begins_head);
} curl_done_t;

void curl_loop_init(curl_loop_t *client, uv_loop_t *loop) ATTR_NONNULL_ALL;
void curl_loop_close(curl_loop_t *client) ATTR_NONNULL_ALL;
CURL *curl_loop_new_request(curl_loop_t *client,
			    const char *url) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void curl_loop_set_body(CURL *handle, curl_body_t *body) ATTR_NONNULL_ALL;
void curl_loop_start(curl_loop_t *client, CURL *handle,
		     curl_done_t *done) ATTR_NONNULL_ALL;
void curl_loop_cancel(curl_loop_t *client, CURL *handle) ATTR_NONNULL_ALL;

#endif
