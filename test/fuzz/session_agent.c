/* The simulated agents of the session fuzz test and their engines. */
#include "session_world_defs.h"

#include <string.h>

#include "wisteria/codec/msg.h"

typedef struct {
	uint32_t first_layer;
	uint32_t end_layer;
} layer_range_t;

static const layer_range_t agent_layers[AGENTS] = {
	{ 0, 2 }, { 0, 2 }, { 2, 4 }, { 2, 4 },
	{ 4, 6 }, { 4, 6 }, { 0, 4 }, { 2, 6 },
};

static agent_t *agent_of(hop_session_ops_t *ops)
{
	return CONTAINER_OF(ops, agent_t, ops);
}

static void run_work(agent_t *agent, const hop_work_t *work, answer_t *answer)
{
	session_oracle_t *oracle = &agent->world->oracle;

	if (work->first_layer != agent->first_layer ||
	    work->end_layer != agent->end_layer)
		oracle_report_violation(
			oracle, "%s was asked for layers [%u,%u)", agent->name,
			work->first_layer, work->end_layer);
	for (size_t i = 0; i < work->position_count; i++) {
		answer->values[i % ORACLE_TOKENS_MAX] =
			oracle_run(oracle, &agent->engine, work, i);
		answer->last = agent->engine.next >= oracle->token_count;
	}
}

static void on_run(hop_session_ops_t *ops, hop_session_t *session,
		   const hop_work_t *work)
{
	agent_t *agent = agent_of(ops);
	world_t *world = agent->world;
	answer_t *answer = g_new0(answer_t, 1);

	(void)session;
	world_trace(world, "  %s runs attempt %u positions %u+%zu", agent->name,
		    work->attempt, work->first_position, work->position_count);
	answer->sequence = work->sequence;
	answer->attempt = work->attempt;
	answer->count = work->position_count;
	answer->last_hop = work->has_last_layer;
	run_work(agent, work, answer);
	if (world->injected_fault == FAULT_REPEATED_RUN &&
	    world_next_byte(world) % 8 == 1)
		run_work(agent, work, answer);
	if (work->position_count > 0)
		oracle_token_text(answer->values[work->position_count - 1],
				  work->attempt, answer->text);
	g_queue_push_tail(&agent->answers, answer);
}

static void on_forget(hop_session_ops_t *ops, hop_session_t *session)
{
	agent_t *agent = agent_of(ops);

	(void)session;
	world_trace(agent->world, "  %s forgets", agent->name);
	memset(&agent->engine, 0, sizeof(agent->engine));
}

static void on_send_hop(hop_session_ops_t *ops, hop_session_t *session,
			uint32_t hop, msg_type_t type, const void *body)
{
	agent_t *agent = agent_of(ops);
	const msg_hop_t *hops = hop_session_hops(session);

	if (hop >= hop_session_open_msg(session)->hop_count) {
		oracle_report_violation(&agent->world->oracle,
					"%s sends to hop %u", agent->name, hop);
		return;
	}
	world_send(agent->world, agent->index,
		   world_find_agent(agent->world, hops[hop].address), type,
		   body);
}

static void on_send_entry(hop_session_ops_t *ops, hop_session_t *session,
			  msg_type_t type, const void *body)
{
	agent_t *agent = agent_of(ops);

	(void)session;
	world_send(agent->world, agent->index, ENTRY, type, body);
}

void agent_end_session(agent_t *agent)
{
	if (agent->session == NULL)
		return;
	hop_session_free(agent->session);
	agent->session = NULL;
	memset(&agent->engine, 0, sizeof(agent->engine));
}

static refusal_t check_open(const agent_t *agent, const msg_open_t *open)
{
	if (open->hop >= open->hop_count ||
	    strcmp(open->hops[open->hop].endpoint, agent->name) != 0)
		return REFUSAL_UNKNOWN_ENDPOINT;
	if (open->hops[open->hop].incarnation != agent->incarnation)
		return REFUSAL_UNKNOWN_ENDPOINT;
	if (open->attempt <= agent->closed_attempt)
		return REFUSAL_OLD_ATTEMPT;
	if (agent->session != NULL &&
	    open->attempt < hop_session_attempt(agent->session))
		return REFUSAL_OLD_ATTEMPT;
	return REFUSAL_NONE;
}

static void on_open(agent_t *agent, const msg_open_t *open)
{
	refusal_t refusal = check_open(agent, open);
	const msg_open_reply_t reply = {
		.session = open->session,
		.attempt = open->attempt,
		.hop = open->hop,
		.refusal = refusal,
		.load = { .endpoint = agent->name, .slots = 1 },
	};

	if (refusal == REFUSAL_NONE &&
	    (agent->session == NULL ||
	     hop_session_attempt(agent->session) < open->attempt)) {
		agent_end_session(agent);
		agent->session = hop_session_new(open, &agent->ops);
	}
	world_send(agent->world, agent->index, ENTRY, MSG_OPEN_REPLY, &reply);
}

static void on_close(agent_t *agent, const msg_close_t *close)
{
	if (close->one_hop && agent->session != NULL &&
	    hop_session_open_msg(agent->session)->hop != close->hop)
		return;
	agent->closed_attempt = MAX(agent->closed_attempt, close->attempt);
	if (agent->session != NULL &&
	    hop_session_attempt(agent->session) <= close->attempt)
		agent_end_session(agent);
}

static void reply_no_session(agent_t *agent, size_t to, uint32_t attempt,
			     uint32_t hop)
{
	const msg_session_failed_t failed = {
		.session = WORLD_SESSION,
		.attempt = attempt,
		.hop = hop,
		.step = "session",
		.peer = agent->name,
		.reason = "no such session here",
	};

	if (attempt > agent->closed_attempt)
		world_send(agent->world, agent->index, to, MSG_SESSION_FAILED,
			   &failed);
}

static void on_peer_failed(agent_t *agent, const msg_session_failed_t *failed)
{
	if (agent->session != NULL &&
	    hop_session_attempt(agent->session) == failed->attempt)
		hop_session_on_hop_lost(agent->session, failed->hop,
					failed->reason);
}

/* Answers a message to a session that this agent does not have. */
static void handle_without_session(agent_t *agent, size_t from,
				   const msg_t *msg)
{
	const msg_session_t *start = msg->body;
	const msg_tokens_ack_t *resume = msg->body;
	const msg_reroute_t *reroute = msg->body;
	const msg_step_t *step = msg->body;
	const msg_step_result_t *result = msg->body;

	if (msg->type == MSG_START)
		reply_no_session(agent, from, start->attempt, 0);
	else if (msg->type == MSG_RESUME)
		reply_no_session(agent, from, resume->attempt, resume->hop);
	else if (msg->type == MSG_REROUTE)
		reply_no_session(agent, from, reroute->attempt, reroute->hop);
	else if (msg->type == MSG_STEP)
		reply_no_session(agent, from, step->attempt, step->hop);
	else if (msg->type == MSG_STEP_RESULT)
		reply_no_session(agent, from, result->attempt, 0);
}

static void dispatch_to_session(agent_t *agent, const msg_t *msg)
{
	hop_session_t *session = agent->session;
	clock_ms_t now = agent->world->now;
	const msg_session_t *start = msg->body;
	msg_step_t step;

	switch (msg->type) {
	case MSG_START:
		if (start->attempt == hop_session_attempt(session))
			hop_session_on_start(session, now);
		return;
	case MSG_STEP:
		step = *(const msg_step_t *)msg->body;
		if (agent->world->injected_fault == FAULT_OLD_STEPS)
			step.attempt = hop_session_attempt(session);
		hop_session_on_step(session, &step, now);
		return;
	case MSG_STEP_ACK:
		hop_session_on_step_ack(session, msg->body, now);
		return;
	case MSG_STEP_RESULT:
		hop_session_on_step_result(session, msg->body, now);
		return;
	case MSG_TOKENS_ACK:
		hop_session_on_tokens_ack(session, msg->body, now);
		return;
	case MSG_RESUME:
		hop_session_on_resume(session, msg->body, now);
		return;
	case MSG_REROUTE:
		hop_session_on_reroute(session, msg->body, now);
		return;
	default:
		oracle_report_violation(&agent->world->oracle, "%s received %s",
					agent->name, msg_type_name(msg->type));
	}
}

/* Handles a message as the agent role does. */
void agent_receive(agent_t *agent, size_t from, const msg_t *msg)
{
	if (msg->type == MSG_OPEN)
		on_open(agent, msg->body);
	else if (msg->type == MSG_CLOSE)
		on_close(agent, msg->body);
	else if (msg->type == MSG_SESSION_FAILED)
		on_peer_failed(agent, msg->body);
	else if (agent->session != NULL)
		dispatch_to_session(agent, msg);
	else
		handle_without_session(agent, from, msg);
}

/* Returns the session that an engine's output is for, or NULL. */
static hop_session_t *find_answered_session(const agent_t *agent,
					    const answer_t *answer)
{
	if (agent->session == NULL ||
	    hop_session_open_msg(agent->session)->attempt != answer->sequence)
		return NULL;
	return agent->session;
}

/* Delivers the oldest pending output of the engine, or a failure instead. */
void agent_deliver_answer(agent_t *agent, bool as_failure)
{
	answer_t *answer = g_queue_pop_head(&agent->answers);
	msg_position_t positions[ORACLE_TOKENS_MAX];
	hop_result_t result = { .position_count = 0 };
	hop_session_t *session;

	if (answer == NULL)
		return;
	for (size_t i = 0; i < answer->count && i < ORACLE_TOKENS_MAX; i++)
		positions[i].activations =
			(bytes_t){ (const uint8_t *)&answer->values[i],
				   sizeof(answer->values[i]) };
	if (answer->last_hop) {
		result.text = answer->text;
		result.last = answer->last;
	} else {
		result.positions = positions;
		result.position_count = answer->count;
	}
	world_trace(agent->world, "engine of %s %s attempt %u", agent->name,
		    as_failure ? "fails" : "answers", answer->attempt);
	session = find_answered_session(agent, answer);
	if (session != NULL && as_failure)
		hop_session_on_engine_failed(session, answer->attempt, "fake",
					     agent->world->now);
	else if (session != NULL)
		hop_session_on_engine_done(session, answer->attempt, &result,
					   agent->world->now);
	g_free(answer);
}

void agent_init(world_t *world, size_t index)
{
	agent_t *agent = &world->agents[index];

	agent->ops = (hop_session_ops_t){ on_run, on_forget, on_send_hop,
					  on_send_entry };
	agent->world = world;
	agent->index = index;
	g_snprintf(agent->name, sizeof(agent->name), "e%zu", index);
	g_snprintf(agent->address, sizeof(agent->address), "10.0.0.%zu:1",
		   index + 1);
	agent->first_layer = agent_layers[index].first_layer;
	agent->end_layer = agent_layers[index].end_layer;
	agent->alive = true;
	agent->incarnation = 1;
	g_queue_init(&agent->answers);
}
