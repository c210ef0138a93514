#ifndef WISTERIA_HTTP_HTTP_WRITE_H
#define WISTERIA_HTTP_HTTP_WRITE_H

#include <stdbool.h>

#include <uv.h>

#include "wisteria/base/macros_defs.h"

/* Maximum number of unsent bytes per connection. */
#define HTTP_BACKLOG_BYTES_MAX (8u << 20)

bool http_write(uv_stream_t *stream, const uv_buf_t *bufs,
		unsigned count) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
