/* The simulated entry of the session fuzz test, its router and its caller. */
#include "session_world_defs.h"

#include <string.h>

#include "wisteria/codec/msg.h"

#define REQUEST_DEADLINE_MS 20000
#define TOKENS_MAX 8

/* The agents of each possible chain; ENTRY marks the end of a shorter one. */
static const size_t chains[][3] = {
	{ 0, 2, 4 },	 { 1, 3, 5 },	  { 0, 3, 4 },	   { 1, 2, 5 },
	{ 6, 4, ENTRY }, { 6, 5, ENTRY }, { 0, 7, ENTRY }, { 1, 7, ENTRY },
};

static world_t *world_of(entry_session_ops_t *ops)
{
	return CONTAINER_OF(ops, world_t, ops);
}

static void on_send(entry_session_ops_t *ops, entry_session_t *session,
		    const route_hop_t *hop, msg_type_t type, const void *body)
{
	world_t *world = world_of(ops);

	(void)session;
	world_send(world, ENTRY, world_find_agent(world, hop->address), type,
		   body);
}

static void fill_hop(const world_t *world, size_t index, route_hop_t *hop)
{
	const agent_t *agent = &world->agents[index];

	memset(hop, 0, sizeof(*hop));
	g_strlcpy(hop->endpoint, agent->name, sizeof(hop->endpoint));
	g_strlcpy(hop->instance, agent->name, sizeof(hop->instance));
	g_strlcpy(hop->address, agent->address, sizeof(hop->address));
	hop->incarnation = agent->incarnation;
	hop->first_layer = agent->first_layer;
	hop->end_layer = agent->end_layer;
}

static bool fill_chain(const world_t *world, size_t number, const char *failed,
		       route_choice_t *choice)
{
	const size_t *chain = chains[number % ARRAY_SIZE(chains)];

	memset(choice, 0, sizeof(*choice));
	for (size_t i = 0; i < 3 && chain[i] != ENTRY; i++) {
		if (strcmp(world->agents[chain[i]].name, failed) == 0)
			return false;
		fill_hop(world, chain[i], &choice->hops[choice->hop_count++]);
	}
	return true;
}

static route_result_t on_choose(entry_session_ops_t *ops,
				entry_session_t *session, const char *failed,
				route_choice_t *choice)
{
	world_t *world = world_of(ops);
	uint8_t byte = world_next_byte(world);

	(void)session;
	if (byte >= 0xfc) {
		world->disturbed = true;
		return byte >= 0xfe ? ROUTE_FULL : ROUTE_NO_CHAIN;
	}
	for (size_t i = 0; i < ARRAY_SIZE(chains); i++)
		if (fill_chain(world, byte + i, failed == NULL ? "" : failed,
			       choice))
			return ROUTE_FOUND;
	return ROUTE_NO_CHAIN;
}

static route_result_t on_replace(entry_session_ops_t *ops,
				 entry_session_t *session, size_t lost_hop,
				 route_hop_t *replacement)
{
	world_t *world = world_of(ops);
	const route_choice_t *chain = entry_session_chain(session);
	const route_hop_t *lost = &chain->hops[lost_hop];

	if (world_next_byte(world) % 8 == 7)
		return ROUTE_NO_CHAIN;
	for (size_t i = 0; i < AGENTS; i++) {
		const agent_t *agent = &world->agents[i];

		if (agent->first_layer != lost->first_layer ||
		    agent->end_layer != lost->end_layer ||
		    strcmp(agent->name, lost->endpoint) == 0)
			continue;
		fill_hop(world, i, replacement);
		return ROUTE_FOUND;
	}
	return ROUTE_NO_CHAIN;
}

static bool on_may_retry(entry_session_ops_t *ops, entry_session_t *session)
{
	world_t *world = world_of(ops);
	bool allowed = world_next_byte(world) < 0xfc;

	(void)session;
	if (!allowed)
		world->disturbed = true;
	return allowed;
}

static void on_deliver(entry_session_ops_t *ops, entry_session_t *session,
		       const msg_token_t *tokens, size_t count)
{
	world_t *world = world_of(ops);

	(void)session;
	world_trace(world, "  delivered %zu", count);
	if (world->injected_fault == FAULT_LOST_TOKEN && count > 0 &&
	    world_next_byte(world) % 4 == 1) {
		tokens++;
		count--;
	}
	oracle_deliver(&world->oracle, tokens, count);
}

static void on_finished(entry_session_ops_t *ops, entry_session_t *session)
{
	world_t *world = world_of(ops);

	(void)session;
	world_trace(world, "  finished");
	oracle_finish(&world->oracle);
}

static void on_refused(entry_session_ops_t *ops, entry_session_t *session,
		       const entry_refusal_t *refusal)
{
	world_t *world = world_of(ops);
	entry_refusal_t reported = *refusal;

	(void)session;
	world_trace(world, "  refused: %s %s%s", refusal->err.step,
		    refusal->err.text, refusal->not_run ? ", not run" : "");
	if (world->injected_fault == FAULT_FALSE_NOT_RUN)
		reported.not_run = true;
	oracle_refuse(&world->oracle, &reported);
}

static void receive_tokens(world_t *world, const msg_tokens_t *received)
{
	msg_tokens_t tokens = *received;

	if (world->injected_fault == FAULT_OLD_TOKENS)
		tokens.attempt = entry_session_attempt(world->session);
	entry_session_on_tokens(world->session, &tokens, world->now);
}

/* Handles a message to the entry. */
void caller_receive(world_t *world, const msg_t *msg)
{
	if (oracle_is_final(&world->oracle))
		return;
	switch (msg->type) {
	case MSG_OPEN_REPLY:
		entry_session_on_open_reply(world->session, msg->body,
					    world->now);
		return;
	case MSG_TOKENS:
		receive_tokens(world, msg->body);
		return;
	case MSG_SESSION_FAILED:
		entry_session_on_failed(world->session, msg->body, world->now);
		return;
	default:
		oracle_report_violation(&world->oracle, "the entry received %s",
					msg_type_name(msg->type));
	}
}

/* Starts the request; the first input bytes choose its parameters. */
void caller_start(world_t *world)
{
	uint8_t options = world_next_byte(world);
	uint32_t generated = 1 + options % TOKENS_MAX;
	const entry_session_params_t params = {
		.session = WORLD_SESSION,
		.request_id = "r",
		.customer = "recife",
		.model = "modelo",
		.prompt = "a quote",
		.traceparent = "",
		.layers = ORACLE_LAYERS,
		.max_tokens = (options & 0x40) != 0 ? 3 : TOKENS_MAX,
		.revision = 1,
		.deadline_ms = REQUEST_DEADLINE_MS,
		.recovery =
			(options & 0x80) != 0 ? PRESET_REPLAY : PRESET_RESTART,
	};
	route_choice_t chain;

	oracle_init(&world->oracle, params.prompt,
		    MIN(generated, params.max_tokens));
	world->ops =
		(entry_session_ops_t){ on_send,	     on_choose,	 on_replace,
				       on_may_retry, on_deliver, on_finished,
				       on_refused };
	fill_chain(world, world_next_byte(world), "", &chain);
	world->session = entry_session_new(&params, &world->ops);
	entry_session_start(world->session, &chain, world->now);
}
