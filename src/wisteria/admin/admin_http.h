#ifndef WISTERIA_ADMIN_ADMIN_HTTP_H
#define WISTERIA_ADMIN_ADMIN_HTTP_H

#include <microhttpd.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"

/* An HTTP response; "body" was allocated with malloc(). */
typedef struct {
	unsigned status;
	const char *type;
	char *body;
	const char *retry_after; /* seconds; NULL: no such header */
} admin_http_response_t;

struct MHD_Daemon *admin_http_start(const char *address,
				    MHD_AccessHandlerCallback on_request,
				    MHD_RequestCompletedCallback on_completed,
				    void *owner, err_t *err) ATTR_WARN_UNUSED;
unsigned admin_http_port(struct MHD_Daemon *daemon) ATTR_NONNULL_ALL;
enum MHD_Result
admin_http_respond(struct MHD_Connection *connection,
		   const admin_http_response_t *response) ATTR_NONNULL_ALL;

#endif
