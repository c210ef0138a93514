#ifndef WISTERIA_ADMIN_HTTP_H
#define WISTERIA_ADMIN_HTTP_H

#include <microhttpd.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"

/* What a request is answered with; "body" was made by malloc(). */
typedef struct {
	unsigned status;
	const char *type;
	char *body;
	const char *retry_after; /* seconds; NULL: none */
} http_answer_t;

struct MHD_Daemon *http_start(const char *address,
			      MHD_AccessHandlerCallback on_request,
			      MHD_RequestCompletedCallback on_completed,
			      void *owner, err_t *err) ATTR_WARN_UNUSED;
unsigned http_port(struct MHD_Daemon *daemon) ATTR_NONNULL_ALL;
enum MHD_Result http_answer(struct MHD_Connection *connection,
			    const http_answer_t *answer) ATTR_NONNULL_ALL;

#endif
