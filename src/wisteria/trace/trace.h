#ifndef WISTERIA_TRACE_TRACE_H
#define WISTERIA_TRACE_TRACE_H

#include <stdbool.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/trace/trace_defs.h"

/* Writes the spans of one process to a file, on a thread of its own. */
typedef struct trace_writer_t trace_writer_t;

bool trace_parse_traceparent(const char *header,
			     trace_context_t *context) ATTR_NONNULL_ALL;
void trace_format_traceparent(const trace_context_t *context,
			      char header[TRACEPARENT_LEN + 1])
	ATTR_NONNULL_ALL;

void span_start(span_t *span, const trace_context_t *parent,
		const char *name) ATTR_NONNULL_ALL;
void span_start_trace(span_t *span, const char *name) ATTR_NONNULL_ALL;
void span_start_request(span_t *span, const char *traceparent, const char *name)
	ATTR_NONNULL(1, 3);
void span_add_text(span_t *span, const char *key,
		   const char *text) ATTR_NONNULL_ALL;
void span_add_number(span_t *span, const char *key,
		     int64_t number) ATTR_NONNULL_ALL;
void span_end(span_t *span, trace_writer_t *writer) ATTR_NONNULL(1);

trace_writer_t *trace_writer_new(const char *path, const char *instance,
				 const char *role, err_t *err) ATTR_WARN_UNUSED;
void trace_writer_free(trace_writer_t *writer);
uint64_t trace_writer_dropped(const trace_writer_t *writer) ATTR_NONNULL_ALL;

#endif
