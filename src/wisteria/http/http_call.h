#ifndef WISTERIA_HTTP_HTTP_CALL_H
#define WISTERIA_HTTP_HTTP_CALL_H

#include <uv.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/http/http_reader.h"

/* How far a call came before it failed. */
typedef enum {
	HTTP_CALL_UNSENT, /* the peer cannot have read anything */
	HTTP_CALL_SENT,	  /* the peer may have read the request */
	HTTP_CALL_CUT	  /* the peer broke its answer off */
} http_call_stage_t;

/*
 * What the owner of a call is told; first in the owner's struct.  "complete"
 * or "failed" comes last and once; "call" ends with it.
 */
typedef struct http_call_handler_t {
	/* The answer's headers were read; may be NULL. */
	void (*headers)(struct http_call_handler_t *self,
			const http_message_t *answer);
	/* New bytes of the body, which may be consumed; may be NULL. */
	void (*body)(struct http_call_handler_t *self, GByteArray *body);
	void (*complete)(struct http_call_handler_t *self,
			 const http_message_t *answer);
	void (*failed)(struct http_call_handler_t *self,
		       http_call_stage_t stage, const char *reason);
} http_call_handler_t;

/* One request to another process over a connection of its own. */
typedef struct http_call_t http_call_t;

http_call_t *
http_call_new(uv_loop_t *loop, const char *address, const GString *request,
	      clock_ms_t connect_ms,
	      http_call_handler_t *handler) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
const http_message_t *
http_call_answer(const http_call_t *call) ATTR_NONNULL_ALL;
void http_call_cancel(http_call_t *call) ATTR_NONNULL_ALL;

#endif
