/*
 * Simulates one entry session, the hop sessions of several agents, and an
 * in-memory network between them.  The input bytes choose every step: which
 * messages are delivered, dropped, repeated or reordered, which connections
 * are lost or silent, which instances stop, when engines answer, and when the
 * caller cancels.
 */
#include "session_world.h"

#include <string.h>

#include "session_world_defs.h"
#include "wisteria/base/err.h"
#include "wisteria/codec/msg.h"

#define DRAIN_TICK_MS 50
#define DRAIN_ROUNDS_MAX 1200
/* Rounds after the end of the request, to detect anything that follows it. */
#define DRAIN_ROUNDS_AFTER_END 40
/* A time step past this marks the request as disturbed. */
#define UNDISTURBED_MS_MAX 300

static void deliver_frame(world_t *world, guint index)
{
	const frame_t *frame = g_ptr_array_index(world->frames, index);
	err_t err = ERR_INIT;
	msg_t msg;

	world_trace(world, "deliver %s %s -> %s", msg_type_name(frame->type),
		    world_node_name(world, frame->from),
		    world_node_name(world, frame->to));
	if (!msg_decode(&msg, frame->data, frame->len, &err)) {
		oracle_report_violation(&world->oracle,
					"%s does not decode: %s",
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
	deliver_frame(world, world->frames->len - 1);
	g_ptr_array_remove(world->frames, frame);
}

static void step_deliver(world_t *world)
{
	if (world->frames->len > 0)
		deliver_and_remove(world, 0);
}

static void step_deliver_any(world_t *world)
{
	uint8_t byte = world_next_byte(world);

	if (world->frames->len > 0)
		deliver_and_remove(world, byte % world->frames->len);
}

static void step_deliver_all(world_t *world)
{
	guint count = world->frames->len;

	for (guint i = 0; i < count; i++)
		step_deliver(world);
}

/* Moves the oldest frame behind all others. */
static void step_delay(world_t *world)
{
	if (world->frames->len > 1)
		g_ptr_array_add(world->frames,
				g_ptr_array_steal_index(world->frames, 0));
}

static void step_drop(world_t *world)
{
	uint8_t byte = world_next_byte(world);

	if (world->frames->len == 0)
		return;
	world_trace(world, "drop");
	world->disturbed = true;
	g_ptr_array_remove_index(world->frames, byte % world->frames->len);
}

static void step_repeat(world_t *world)
{
	uint8_t byte = world_next_byte(world);

	if (world->frames->len == 0 || world->frames->len >= FRAMES_MAX)
		return;
	world_trace(world, "repeat:");
	deliver_frame(world, byte % world->frames->len);
}

static void step_engine_answers(world_t *world)
{
	uint8_t byte = world_next_byte(world);

	for (size_t i = 0; i < AGENTS; i++) {
		agent_t *agent = &world->agents[(byte + i) % AGENTS];

		if (g_queue_is_empty(&agent->answers))
			continue;
		agent_deliver_answer(agent, false);
		return;
	}
}

static void step_engine_fails(world_t *world)
{
	agent_t *agent = &world->agents[world_next_byte(world) % AGENTS];

	if (g_queue_is_empty(&agent->answers))
		return;
	world->disturbed = true;
	agent_deliver_answer(agent, true);
}

static void advance_time(world_t *world, clock_ms_t by_ms)
{
	world->now += by_ms;
	for (size_t i = 0; i < AGENTS; i++)
		if (world->agents[i].session != NULL)
			hop_session_tick(world->agents[i].session, world->now);
	if (!oracle_is_final(&world->oracle))
		entry_session_tick(world->session, world->now);
}

static void step_advance_time(world_t *world)
{
	uint8_t byte = world_next_byte(world);

	world_trace(world, "time + %u ms", (unsigned int)byte * 4);
	if (world->now + byte * 4 > UNDISTURBED_MS_MAX)
		world->disturbed = true;
	advance_time(world, byte * 4);
}

static void notify_agent(world_t *world, size_t index, size_t peer, bool up)
{
	hop_session_t *session = world->agents[index].session;
	const msg_hop_t *hops;

	if (session == NULL || peer == ENTRY)
		return;
	hops = hop_session_hops(session);
	for (uint32_t hop = 0; hop < hop_session_open_msg(session)->hop_count;
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

static void notify_node(world_t *world, size_t node, size_t peer, bool up)
{
	if (node != ENTRY) {
		notify_agent(world, node, peer, up);
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
	notify_node(world, a, b, !down);
	notify_node(world, b, a, !down);
}

/* Returns the agent of a hop of the current chain, or any agent. */
static size_t pick_agent(const world_t *world, uint8_t byte)
{
	const route_choice_t *chain = entry_session_chain(world->session);
	size_t hop = byte % 4;

	if (hop >= chain->hop_count)
		return byte / 4 % AGENTS;
	return world_find_agent(world, chain->hops[hop].address);
}

/* Picks an agent, and the entry or another agent. */
static void pick_link(world_t *world, size_t *a, size_t *b)
{
	uint8_t byte = world_next_byte(world);

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

static void stop_agent(world_t *world, agent_t *agent)
{
	world_trace(world, "%s stops", agent->name);
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

static void step_stop_or_start(world_t *world)
{
	agent_t *agent =
		&world->agents[pick_agent(world, world_next_byte(world))];

	world->disturbed = true;
	if (agent->alive)
		stop_agent(world, agent);
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
	entry_session_on_cancel(world->session, "the caller cancelled");
}

static void step_rare(world_t *world)
{
	uint8_t byte = world_next_byte(world);

	if (byte < 8)
		step_cancel(world);
	else if (byte < 64)
		step_drop(world);
	else if (byte < 144)
		step_stop_or_start(world);
	else
		step_silence(world);
}

typedef void (*world_step_t)(world_t *world);

/* Most steps let the request progress; the others disturb it. */
static const world_step_t steps[] = {
	step_deliver,	     step_deliver,	  step_deliver,
	step_deliver,	     step_deliver,	  step_deliver,
	step_deliver,	     step_deliver,	  step_engine_answers,
	step_engine_answers, step_engine_answers, step_engine_answers,
	step_engine_answers, step_engine_answers, step_engine_answers,
	step_engine_answers, step_deliver_all,	  step_deliver_any,
	step_deliver_any,    step_deliver_any,	  step_deliver_any,
	step_delay,	     step_delay,	  step_delay,
	step_delay,	     step_repeat,	  step_repeat,
	step_advance_time,   step_link,		  step_engine_fails,
	step_engine_fails,   step_rare,
};

/* Ends all network faults; a silent connection is closed and opened again. */
static void restore_links(world_t *world)
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
	guint count = world->frames->len;

	for (guint i = 0; i < count; i++)
		step_deliver(world);
	for (size_t i = 0; i < AGENTS; i++)
		agent_deliver_answer(&world->agents[i], false);
	restore_links(world);
	advance_time(world, DRAIN_TICK_MS);
}

/* Runs the request to its end without further faults. */
static void drain(world_t *world)
{
	int rounds_after_end = 0;

	for (int i = 0;
	     i < DRAIN_ROUNDS_MAX && rounds_after_end < DRAIN_ROUNDS_AFTER_END;
	     i++) {
		drain_round(world);
		rounds_after_end += oracle_is_final(&world->oracle);
	}
	oracle_check_end(&world->oracle, world->disturbed);
}

static void write_outcome(const world_t *world, world_outcome_t *outcome)
{
	const char *tail = world->trace->str;

	if (world->trace->len >= sizeof(outcome->trace))
		tail += world->trace->len - sizeof(outcome->trace) + 1;
	g_strlcpy(outcome->trace, tail, sizeof(outcome->trace));
	g_strlcpy(outcome->violation, world->oracle.violation,
		  sizeof(outcome->violation));
	outcome->delivered = world->oracle.delivered;
	outcome->finished = world->oracle.finished > 0;
	outcome->refused = world->oracle.refused > 0;
	outcome->attempts = entry_session_attempt(world->session);
	outcome->disturbed = world->disturbed;
}

/* Runs one request from start to end; "data" chooses every step. */
void world_run(const uint8_t *data, size_t size, world_fault_t injected_fault,
	       world_outcome_t *outcome)
{
	world_t world = { .data = data,
			  .data_len = size,
			  .injected_fault = injected_fault };

	world.frames = g_ptr_array_new_with_free_func(world_frame_free);
	world.trace = g_string_new(NULL);
	for (size_t i = 0; i < AGENTS; i++)
		agent_init(&world, i);
	caller_start(&world);
	while (world.data_len > 0 && world.oracle.violation[0] == '\0')
		steps[world_next_byte(&world) % ARRAY_SIZE(steps)](&world);
	if (world.oracle.violation[0] == '\0')
		drain(&world);
	write_outcome(&world, outcome);
	for (size_t i = 0; i < AGENTS; i++) {
		agent_end_session(&world.agents[i]);
		g_queue_clear_full(&world.agents[i].answers, g_free);
	}
	entry_session_free(world.session);
	g_ptr_array_free(world.frames, TRUE);
	g_string_free(world.trace, TRUE);
}
