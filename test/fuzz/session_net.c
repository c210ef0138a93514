/* The simulated network between the entry and the agents, in memory. */
#include "session_world_defs.h"

#include <stdarg.h>
#include <string.h>

#include "wisteria/codec/msg.h"

/* Appends a line to the trace. */
void world_trace(world_t *world, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_string_append_vprintf(world->trace, format, args);
	va_end(args);
	g_string_append_c(world->trace, '\n');
}

/* Returns the next input byte; 0 after the last. */
uint8_t world_next_byte(world_t *world)
{
	if (world->data_len == 0)
		return 0;
	world->data_len--;
	return *world->data++;
}

const char *world_node_name(const world_t *world, size_t node)
{
	return node == ENTRY ? "entry" : world->agents[node].name;
}

bool world_is_alive(const world_t *world, size_t node)
{
	return node == ENTRY || world->agents[node].alive;
}

/* Returns the agent at "address", or ENTRY if there is none. */
size_t world_find_agent(const world_t *world, const char *address)
{
	for (size_t i = 0; i < AGENTS; i++)
		if (strcmp(world->agents[i].address, address) == 0)
			return i;
	return ENTRY;
}

void world_frame_free(gpointer data)
{
	frame_t *frame = data;

	g_free(frame->data);
	g_free(frame);
}

/* Queues a message; drops it if the connection is down or silent. */
void world_send(world_t *world, size_t from, size_t to, msg_type_t type,
		const void *body)
{
	msgpack_sbuffer out;
	frame_t *frame;

	if (!world_is_alive(world, to) || world->down[from][to] ||
	    world->silent[from][to] || world->frames->len >= FRAMES_MAX) {
		world_trace(world, "  lost %s %s -> %s", msg_type_name(type),
			    world_node_name(world, from),
			    world_node_name(world, to));
		return;
	}
	msgpack_sbuffer_init(&out);
	msg_encode(type, body, &out);
	frame = g_new0(frame_t, 1);
	frame->from = from;
	frame->to = to;
	frame->type = type;
	frame->len = out.size;
	frame->data = g_memdup2(out.data, out.size);
	msgpack_sbuffer_destroy(&out);
	g_ptr_array_add(world->frames, frame);
	world_trace(world, "  sent %s %s -> %s", msg_type_name(type),
		    world_node_name(world, from), world_node_name(world, to));
}

/* Drops all frames in transit between two nodes, in both directions. */
void world_drop_frames(world_t *world, size_t a, size_t b)
{
	for (guint i = 0; i < world->frames->len;) {
		const frame_t *frame = g_ptr_array_index(world->frames, i);

		if ((frame->from == a && frame->to == b) ||
		    (frame->from == b && frame->to == a))
			g_ptr_array_remove_index(world->frames, i);
		else
			i++;
	}
}
