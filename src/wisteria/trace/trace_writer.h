#ifndef WISTERIA_TRACE_TRACE_WRITER_H
#define WISTERIA_TRACE_TRACE_WRITER_H

#include "wisteria/trace/trace.h"

void trace_writer_add(trace_writer_t *writer,
		      const span_t *span) ATTR_NONNULL_ALL;
char *trace_render_span(const span_t *span, const char *instance,
			const char *role) ATTR_NONNULL_ALL;

#endif
