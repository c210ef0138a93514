#ifndef WISTERIA_ENTRY_REQUEST_H
#define WISTERIA_ENTRY_REQUEST_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/entry/request_defs.h"

request_t *request_new(struct MHD_Connection *connection) ATTR_WARN_UNUSED;
request_t *request_ref(request_t *request) ATTR_NONNULL_ALL;
void request_unref(request_t *request) ATTR_NONNULL_ALL;
GArray *request_headers_new(void) ATTR_WARN_UNUSED;
void request_headers_add(GArray *headers, const char *name,
			 const char *value) ATTR_NONNULL_ALL;
void request_send_head(request_t *request, unsigned status,
		       GArray *headers) ATTR_NONNULL_ALL;
void request_write_body(request_t *request, const void *data, size_t len)
	ATTR_NONNULL(1);
void request_end_response(request_t *request) ATTR_NONNULL_ALL;
request_chunk_t *request_next_chunk(request_t *request) ATTR_NONNULL_ALL;
bool request_suspend(request_t *request) ATTR_NONNULL_ALL;
void request_chunk_free(request_chunk_t *chunk);

#endif
