#ifndef WISTERIA_AGENT_HTTP_CLIENT_H
#define WISTERIA_AGENT_HTTP_CLIENT_H

#include <curl/curl.h>
#include <uv.h>

#include "wisteria/base/macros_defs.h"

struct http_transfer_t;

/* HTTP requests of one event loop, through libcurl. */
typedef struct {
	uv_loop_t *loop;
	CURLM *multi;
	uv_timer_t timer;
	struct http_transfer_t *transfers;
} http_client_t;

/* A body to send; "data" lives as long as the request. */
typedef struct {
	const char *data;
	size_t len;
	size_t sent;
} http_body_t;

/*
 * Told once of the end of a request.  It stands first in the owner's struct.
 * "handle" is valid during the call.
 */
typedef struct http_done_t {
	void (*done)(struct http_done_t *self, CURL *handle, CURLcode code);
} http_done_t;

void http_client_init(http_client_t *client, uv_loop_t *loop) ATTR_NONNULL_ALL;
void http_client_close(http_client_t *client) ATTR_NONNULL_ALL;
CURL *http_client_request(http_client_t *client,
			  const char *url) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void http_client_set_body(CURL *handle, http_body_t *body) ATTR_NONNULL_ALL;
void http_client_start(http_client_t *client, CURL *handle,
		       http_done_t *done) ATTR_NONNULL_ALL;
void http_client_cancel(http_client_t *client, CURL *handle) ATTR_NONNULL_ALL;

#endif
