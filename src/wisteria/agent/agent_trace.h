#ifndef WISTERIA_AGENT_AGENT_TRACE_H
#define WISTERIA_AGENT_AGENT_TRACE_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/trace/trace.h"

/* A span of engine steps ends when it covers at least this many positions. */
#define AGENT_TRACE_GROUP_POSITIONS 16

/* The spans of one hop of one session. */
typedef struct {
	trace_writer_t *writer; /* NULL: the session is not traced */
	span_t hop;
	span_t group;	    /* of engine steps; open while "positions" > 0 */
	uint32_t positions; /* of the open group */
	uint32_t total_positions;
} agent_trace_t;

void agent_trace_start(agent_trace_t *trace, trace_writer_t *writer,
		       const msg_open_t *open, const char *endpoint)
	ATTR_NONNULL(1, 3, 4);
void agent_trace_steps_started(agent_trace_t *trace,
			       size_t positions) ATTR_NONNULL_ALL;
void agent_trace_steps_done(agent_trace_t *trace) ATTR_NONNULL_ALL;
void agent_trace_steps_failed(agent_trace_t *trace,
			      const char *reason) ATTR_NONNULL_ALL;
void agent_trace_end(agent_trace_t *trace) ATTR_NONNULL_ALL;

#endif
