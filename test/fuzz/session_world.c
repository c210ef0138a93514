/*
 * One entry session, the hop sessions of several agents, and an in-memory
 * network between them.  Bytes choose every step: what is delivered, dropped,
 * repeated or reordered, which connections go down or silent, which instances
 * die, when engines answer, and when the caller gives up.
 */
#include "session_world.h"

#include <string.h>

#include "session_world_defs.h"
#include "wisteria/base/err.h"
#include "wisteria/codec/msg.h"

#define DRAIN_TICK_MS 50
#define DRAIN_ROUNDS 1200
#define AFTER_ROUNDS 40
#define CALM_MS 300

static void deliver(world_t *world, guint index)
{
	const frame_t *frame = g_ptr_array_index(world->frames, index);
	err_t err = ERR_INIT;
	msg_t msg;

	world_trace(world, "deliver %s %s -> %s", msg_type_name(frame->type),
		    world_node_name(world, frame->from),
		    world_node_name(world, frame->to));
	if (!msg_decode(&msg, frame->data, frame->len, &err)) {
		oracle_fault(&world->oracle, "%s does not decode: %s",
			     msg_type_name(frame->type), err.text);
		return;
	}
	if (frame->to == ENTRY)
		caller_receive(world, &msg);
	else
		agent_receive(&world->agents[frame->to], frame->from, &msg);
	msg_finish(&msg);
}

static void deliver_and_remove(world_t *world, guint index)
{
	frame_t *frame = g_ptr_array_index(world->frames, index);

	g_ptr_array_steal_index(world->frames, index);
	g_ptr_array_add(world->frames, frame);
	deliver(world, world->frames->len - 1);
	g_ptr_array_remove(world->frames, frame);
}

static void step_deliver(world_t *world)
{
	if (world->frames->len > 0)
		deliver_and_remove(world, 0);
}

static void step_deliver_any(world_t *world)
{
	uint8_t byte = world_byte(world);

	if (world->frames->len > 0)
		deliver_and_remove(world, byte % world->frames->len);
}

static void step_deliver_all(world_t *world)
{
	guint due = world->frames->len;

	for (guint i = 0; i < due; i++)
		step_deliver(world);
}

/* Lets the oldest frame be overtaken by all others. */
static void step_delay(world_t *world)
{
	if (world->frames->len > 1)
		g_ptr_array_add(world->frames,
				g_ptr_array_steal_index(world->frames, 0));
}

static void step_drop(world_t *world)
{
	uint8_t byte = world_byte(world);

	if (world->frames->len == 0)
		return;
	world_trace(world, "drop");
	world->disturbed = true;
	g_ptr_array_remove_index(world->frames, byte % world->frames->len);
}

static void step_repeat(world_t *world)
{
	uint8_t byte = world_byte(world);

	if (world->frames->len == 0 || world->frames->len >= QUEUE_MAX)
		return;
	world_trace(world, "repeat:");
	deliver(world, byte % world->frames->len);
}

static void step_engine(world_t *world)
{
	uint8_t byte = world_byte(world);

	for (size_t i = 0; i < AGENTS; i++) {
		agent_t *agent = &world->agents[(byte + i) % AGENTS];

		if (g_queue_is_empty(&agent->answers))
			continue;
		agent_answer_engine(agent, false);
		return;
	}
}

static void step_engine_fails(world_t *world)
{
	agent_t *agent = &world->agents[world_byte(world) % AGENTS];

	if (g_queue_is_empty(&agent->answers))
		return;
	world->disturbed = true;
	agent_answer_engine(agent, true);
}

static void tick(world_t *world, clock_ms_t by)
{
	world->now += by;
	for (size_t i = 0; i < AGENTS; i++)
		if (world->agents[i].session != NULL)
			hop_session_tick(world->agents[i].session, world->now);
	if (!oracle_is_final(&world->oracle))
		entry_session_tick(world->session, world->now);
}

static void step_time(world_t *world)
{
	uint8_t byte = world_byte(world);

	world_trace(world, "time + %u ms", (unsigned int)byte * 4);
	if (world->now + byte * 4 > CALM_MS)
		world->disturbed = true;
	tick(world, byte * 4);
}

static void tell_agent(world_t *world, size_t index, size_t peer, bool up)
{
	hop_session_t *session = world->agents[index].session;
	const msg_hop_t *hops;

	if (session == NULL || peer == ENTRY)
		return;
	hops = hop_session_hops(session);
	for (uint32_t hop = 0; hop < hop_session_open(session)->hop_count;
	     hop++) {
		if (strcmp(hops[hop].address, world->agents[peer].address) != 0)
			continue;
		if (up &&
		    hops[hop].incarnation != world->agents[peer].incarnation)
			hop_session_on_hop_lost(session, hop,
						"the agent has restarted");
		else if (up)
			hop_session_on_hop_up(session, hop, world->now);
		else
			hop_session_on_hop_down(session, hop, world->now);
		return;
	}
}

static void tell(world_t *world, size_t node, size_t peer, bool up)
{
	if (node != ENTRY) {
		tell_agent(world, node, peer, up);
		return;
	}
	if (oracle_is_final(&world->oracle))
		return;
	if (up)
		entry_session_on_agent_up(world->session,
					  world->agents[peer].address,
					  world->now);
	else
		entry_session_on_agent_down(world->session,
					    world->agents[peer].address,
					    world->now);
}

static void set_link(world_t *world, size_t a, size_t b, bool down)
{
	if (a == b || world->down[a][b] == down)
		return;
	if (!down && (!world_is_alive(world, a) || !world_is_alive(world, b)))
		return;
	world_trace(world, "%s - %s %s", world_node_name(world, a),
		    world_node_name(world, b), down ? "down" : "up");
	world->down[a][b] = world->down[b][a] = down;
	world->silent[a][b] = world->silent[b][a] = false;
	if (down)
		world_drop_frames(world, a, b);
	tell(world, a, b, !down);
	tell(world, b, a, !down);
}

/* The agent of a hop of the present chain, or any. */
static size_t pick_agent(const world_t *world, uint8_t byte)
{
	const route_choice_t *chain = entry_session_chain(world->session);
	size_t hop = byte % 4;

	if (hop >= chain->hop_count)
		return byte / 4 % AGENTS;
	return world_find_agent(world, chain->hops[hop].address);
}

static void pick_link(world_t *world, size_t *a, size_t *b)
{
	uint8_t byte = world_byte(world);

	*a = pick_agent(world, byte);
	*b = byte / 16 % 2 == 0 ? ENTRY : pick_agent(world, byte / 32);
}

static void step_link(world_t *world)
{
	size_t a;
	size_t b;

	pick_link(world, &a, &b);

	world->disturbed = true;
	set_link(world, a, b, !world->down[a][b]);
}

static void step_silence(world_t *world)
{
	size_t a;
	size_t b;

	pick_link(world, &a, &b);
	if (a == b || world->down[a][b])
		return;
	world_trace(world, "%s - %s silent", world_node_name(world, a),
		    world_node_name(world, b));
	world->disturbed = true;
	world->silent[a][b] = world->silent[b][a] = true;
	world_drop_frames(world, a, b);
}

static void kill_agent(world_t *world, agent_t *agent)
{
	world_trace(world, "%s dies", agent->name);
	agent->alive = false;
	agent_end_session(agent);
	agent->closed_attempt = 0;
	g_queue_clear_full(&agent->answers, g_free);
	for (size_t node = 0; node < NODES; node++)
		set_link(world, node, agent->index, true);
}

static void start_agent(world_t *world, agent_t *agent)
{
	world_trace(world, "%s starts", agent->name);
	agent->alive = true;
	agent->incarnation++;
	for (size_t node = 0; node < NODES; node++)
		set_link(world, node, agent->index, false);
}

static void step_instance(world_t *world)
{
	agent_t *agent = &world->agents[pick_agent(world, world_byte(world))];

	world->disturbed = true;
	if (agent->alive)
		kill_agent(world, agent);
	else
		start_agent(world, agent);
}

static void step_cancel(world_t *world)
{
	if (oracle_is_final(&world->oracle))
		return;
	world_trace(world, "cancel");
	world->disturbed = true;
	world->oracle.cancelled = true;
	entry_session_on_cancel(world->session, "the caller hung up");
}

static void step_rarely(world_t *world)
{
	uint8_t byte = world_byte(world);

	if (byte < 8)
		step_cancel(world);
	else if (byte < 64)
		step_drop(world);
	else if (byte < 144)
		step_instance(world);
	else
		step_silence(world);
}

typedef void (*world_step_t)(world_t *world);

/* Most steps move the request on; the rest stands in its way. */
static const world_step_t steps[] = {
	step_deliver,	   step_deliver,     step_deliver,
	step_deliver,	   step_deliver,     step_deliver,
	step_deliver,	   step_deliver,     step_engine,
	step_engine,	   step_engine,	     step_engine,
	step_engine,	   step_engine,	     step_engine,
	step_engine,	   step_deliver_all, step_deliver_any,
	step_deliver_any,  step_deliver_any, step_deliver_any,
	step_delay,	   step_delay,	     step_delay,
	step_delay,	   step_repeat,	     step_repeat,
	step_time,	   step_link,	     step_engine_fails,
	step_engine_fails, step_rarely,
};

/* What the network does in the end: it delivers, and silence is noticed. */
static void mend(world_t *world)
{
	for (size_t a = 0; a < NODES; a++)
		for (size_t b = 0; b < a; b++) {
			if (world->silent[a][b])
				set_link(world, a, b, true);
			set_link(world, a, b, false);
		}
}

static void drain_round(world_t *world)
{
	guint due = world->frames->len;

	for (guint i = 0; i < due; i++)
		step_deliver(world);
	for (size_t i = 0; i < AGENTS; i++)
		agent_answer_engine(&world->agents[i], false);
	mend(world);
	tick(world, DRAIN_TICK_MS);
}

static void drain(world_t *world)
{
	int after = 0;

	for (int i = 0; i < DRAIN_ROUNDS && after < AFTER_ROUNDS; i++) {
		drain_round(world);
		after += oracle_is_final(&world->oracle);
	}
	oracle_end(&world->oracle, world->disturbed);
}

static void report(const world_t *world, world_outcome_t *outcome)
{
	const char *tail = world->trace->str;

	if (world->trace->len >= sizeof(outcome->trace))
		tail += world->trace->len - sizeof(outcome->trace) + 1;
	g_strlcpy(outcome->trace, tail, sizeof(outcome->trace));
	g_strlcpy(outcome->fault, world->oracle.fault, sizeof(outcome->fault));
	outcome->delivered = world->oracle.delivered;
	outcome->finished = world->oracle.finished > 0;
	outcome->refused = world->oracle.refused > 0;
	outcome->attempts = entry_session_attempt(world->session);
	outcome->disturbed = world->disturbed;
}

/* Lets "data" choose every step of one request, from its start to its end. */
void world_run(const uint8_t *data, size_t size, world_fault_t fault,
	       world_outcome_t *outcome)
{
	world_t world = { .data = data, .left = size, .fault = fault };

	world.frames = g_ptr_array_new_with_free_func(world_frame_free);
	world.trace = g_string_new(NULL);
	for (size_t i = 0; i < AGENTS; i++)
		agent_init(&world, i);
	caller_start(&world);
	while (world.left > 0 && world.oracle.fault[0] == '\0')
		steps[world_byte(&world) % ARRAY_SIZE(steps)](&world);
	if (world.oracle.fault[0] == '\0')
		drain(&world);
	report(&world, outcome);
	for (size_t i = 0; i < AGENTS; i++) {
		agent_end_session(&world.agents[i]);
		g_queue_clear_full(&world.agents[i].answers, g_free);
	}
	entry_session_free(world.session);
	g_ptr_array_free(world.frames, TRUE);
	g_string_free(world.trace, TRUE);
}
