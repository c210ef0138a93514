#ifndef WISTERIA_HTTP_HTTP_CALL_H
#define WISTERIA_HTTP_HTTP_CALL_H

#include <uv.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/http/http_reader.h"
#include "wisteria/http/http_write.h"

#define HTTP_CALL_HEADER_BYTES_MAX (64u << 10)
/* The longest body that can be queued for a caller, with its headers. */
#define HTTP_CALL_BODY_BYTES_MAX \
	(HTTP_BACKLOG_BYTES_MAX - HTTP_CALL_HEADER_BYTES_MAX)

/* How far a call had progressed when it failed. */
typedef enum {
	HTTP_CALL_UNSENT,   /* the peer cannot have read anything */
	HTTP_CALL_SENT,	    /* the peer may have read the request */
	HTTP_CALL_TRUNCATED /* headers read, response incomplete */
} http_call_stage_t;

/*
 * Callbacks to the owner of a call; first member of the owner's struct.  Unless
 * the owner cancels the call, the last callback is "complete" or "failed",
 * exactly once; the call is freed after it.
 */
typedef struct http_call_handler_t {
	/* Called when the response headers were read; may be NULL. */
	void (*headers)(struct http_call_handler_t *self,
			const http_message_t *response);
	/*
	 * Called with unconsumed body bytes, which it may remove; may be NULL.
	 */
	void (*body)(struct http_call_handler_t *self, GByteArray *body);
	void (*complete)(struct http_call_handler_t *self,
			 const http_message_t *response);
	void (*failed)(struct http_call_handler_t *self,
		       http_call_stage_t stage, const char *reason);
} http_call_handler_t;

/* A call fails when one of these is exceeded. */
typedef struct {
	clock_ms_t connect_ms; /* until the connection is established */
	size_t body_bytes;     /* of the body that the owner has not consumed */
} http_call_limits_t;

/* One HTTP request over a connection of its own. */
typedef struct http_call_t http_call_t;

http_call_t *
http_call_new(uv_loop_t *loop, const char *address, const GString *request,
	      const http_call_limits_t *limits,
	      http_call_handler_t *handler) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
const http_message_t *
http_call_response(const http_call_t *call) ATTR_NONNULL_ALL;
void http_call_set_handler(http_call_t *call,
			   http_call_handler_t *handler) ATTR_NONNULL_ALL;
void http_call_hold(http_call_t *call, bool held) ATTR_NONNULL_ALL;
void http_call_cancel(http_call_t *call) ATTR_NONNULL_ALL;

#endif
