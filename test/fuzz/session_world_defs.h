#ifndef TEST_FUZZ_SESSION_WORLD_DEFS_H
#define TEST_FUZZ_SESSION_WORLD_DEFS_H

#include <glib.h>

#include "session_oracle.h"
#include "session_world.h"

#define AGENTS 8
#define ENTRY AGENTS
#define WORLD_SESSION 77
#define NODES (AGENTS + 1)
#define FRAMES_MAX 400

/* An encoded message in transit from one node to another. */
typedef struct {
	size_t from;
	size_t to;
	msg_type_t type;
	size_t len;
	uint8_t *data;
} frame_t;

/* A pending output of an engine; see agent_deliver_answer(). */
typedef struct {
	uint32_t sequence; /* of the hop_work_t */
	uint32_t attempt;
	uint64_t values[ORACLE_TOKENS_MAX];
	size_t count;
	bool last_hop; /* "text" is sent instead of "values" */
	bool last;     /* "text" ends the whole answer */
	char text[ORACLE_TEXT_BYTES];
} answer_t;

struct world_t;

/* A simulated agent with one endpoint, at most one session and an engine. */
typedef struct {
	hop_session_ops_t ops;
	struct world_t *world;
	size_t index;
	char name[16];
	char address[32];
	uint32_t first_layer;
	uint32_t end_layer;
	bool alive;
	uint64_t incarnation;
	hop_session_t *session;
	uint32_t closed_attempt; /* highest closed attempt; older are closed */
	oracle_engine_t engine;
	GQueue answers; /* of answer_t */
} agent_t;

/* The simulated environment of one request. */
typedef struct world_t {
	entry_session_ops_t ops;
	entry_session_t *session;
	agent_t agents[AGENTS];
	bool down[NODES][NODES];   /* disconnected */
	bool silent[NODES][NODES]; /* connected, but messages are lost */
	GPtrArray *frames;	   /* queue of frame_t */
	clock_ms_t now;
	const uint8_t *data; /* the input bytes not used yet */
	size_t data_len;
	world_fault_t injected_fault;
	session_oracle_t oracle;
	bool disturbed; /* a fault happened: the request may be refused */
	uint32_t attempts;
	GString *trace;
} world_t;

void world_trace(world_t *world, const char *format, ...) ATTR_PRINTF(2, 3);
uint8_t world_next_byte(world_t *world);
const char *world_node_name(const world_t *world, size_t node);
bool world_is_alive(const world_t *world, size_t node);
size_t world_find_agent(const world_t *world, const char *address);
void world_send(world_t *world, size_t from, size_t to, msg_type_t type,
		const void *body);
void world_drop_frames(world_t *world, size_t a, size_t b);
void world_frame_free(gpointer data);

void agent_init(world_t *world, size_t index);
void agent_end_session(agent_t *agent);
void agent_receive(agent_t *agent, size_t from, const msg_t *msg);
void agent_deliver_answer(agent_t *agent, bool as_failure);

void caller_start(world_t *world);
void caller_receive(world_t *world, const msg_t *msg);

#endif
