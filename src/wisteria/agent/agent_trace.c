/*
 * The spans of a hop: one for the session on this endpoint and, as children of
 * it, one for each group of engine steps.
 */
#include "wisteria/agent/agent_trace.h"

#include <string.h>

/*
 * Starts the span of a hop as a child of the entry's.  Starts none if "writer"
 * is NULL or the session has no valid, sampled traceparent.
 */
void agent_trace_start(agent_trace_t *trace, trace_writer_t *writer,
		       const msg_open_t *open, const char *endpoint)
{
	const msg_hop_t *hop = &open->hops[open->hop];
	trace_context_t parent;

	memset(trace, 0, sizeof(*trace));
	if (writer == NULL ||
	    !trace_parse_traceparent(open->traceparent, &parent) ||
	    !parent.is_sampled)
		return;
	trace->writer = writer;
	span_start(&trace->hop, &parent, "hop");
	span_add_text(&trace->hop, "endpoint", endpoint);
	span_add_number(&trace->hop, "attempt", open->attempt);
	span_add_number(&trace->hop, "first_layer", hop->first_layer);
	span_add_number(&trace->hop, "end_layer", hop->end_layer);
}

/* Adds positions that the engine starts to run to the open group. */
void agent_trace_steps_started(agent_trace_t *trace, size_t positions)
{
	if (trace->writer == NULL)
		return;
	if (trace->positions == 0)
		span_start(&trace->group, &trace->hop.context, "engine_steps");
	trace->positions += (uint32_t)positions;
}

static void end_group(agent_trace_t *trace)
{
	if (trace->positions == 0)
		return;
	span_add_number(&trace->group, "positions", trace->positions);
	span_end(&trace->group, trace->writer);
	trace->total_positions += trace->positions;
	trace->positions = 0;
}

/* Handles the end of a run: ends the group if it is large enough. */
void agent_trace_steps_done(agent_trace_t *trace)
{
	if (trace->positions >= AGENT_TRACE_GROUP_POSITIONS)
		end_group(trace);
}

/* Handles the failure of a run: ends the group with an error. */
void agent_trace_steps_failed(agent_trace_t *trace, const char *reason)
{
	if (trace->writer == NULL || trace->positions == 0)
		return;
	trace->group.is_error = true;
	span_add_text(&trace->group, "reason", reason);
	end_group(trace);
}

/* Ends the open spans, as the session has ended on this endpoint. */
void agent_trace_end(agent_trace_t *trace)
{
	if (trace->writer == NULL)
		return;
	end_group(trace);
	span_add_number(&trace->hop, "positions", trace->total_positions);
	span_end(&trace->hop, trace->writer);
	trace->writer = NULL;
}
