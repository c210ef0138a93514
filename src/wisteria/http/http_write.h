#ifndef WISTERIA_HTTP_HTTP_WRITE_H
#define WISTERIA_HTTP_HTTP_WRITE_H

#include <stdbool.h>

#include <uv.h>

#include "wisteria/base/macros_defs.h"

/* Most bytes that wait for a peer that does not read. */
#define HTTP_BACKLOG_BYTES_MAX (8u << 20)

bool http_write(uv_stream_t *stream, const uv_buf_t *bufs,
		unsigned count) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
