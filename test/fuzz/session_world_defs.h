#ifndef TEST_FUZZ_SESSION_WORLD_DEFS_H
#define TEST_FUZZ_SESSION_WORLD_DEFS_H

#include <glib.h>

#include "session_oracle.h"
#include "session_world.h"

#define AGENTS 8
#define ENTRY AGENTS
#define WORLD_SESSION 77
#define NODES (AGENTS + 1)
#define QUEUE_MAX 400

/* A frame on its way. */
typedef struct {
	size_t from;
	size_t to;
	msg_type_t type;
	size_t len;
	uint8_t *data;
} frame_t;

/* What an engine will answer, some time. */
typedef struct {
	uint32_t sequence;
	uint32_t attempt;
	uint64_t values[ORACLE_TOKENS_MAX];
	size_t count;
	bool last_range;
	bool last;
	char text[ORACLE_TEXT_BYTES];
} answer_t;

struct world_t;

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
	uint32_t closed_attempt; /* and all before it */
	oracle_engine_t engine;
	GQueue answers; /* of answer_t */
} agent_t;

typedef struct world_t {
	entry_session_ops_t ops;
	entry_session_t *session;
	agent_t agents[AGENTS];
	bool down[NODES][NODES];
	bool silent[NODES][NODES];
	GPtrArray *frames;
	clock_ms_t now;
	const uint8_t *data;
	size_t left;
	world_fault_t fault;
	session_oracle_t oracle;
	bool disturbed;
	uint32_t attempts;
	GString *trace;
} world_t;

void world_trace(world_t *world, const char *format, ...) ATTR_PRINTF(2, 3);
uint8_t world_byte(world_t *world);
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
void agent_answer_engine(agent_t *agent, bool fails);

void caller_start(world_t *world);
void caller_receive(world_t *world, const msg_t *msg);

#endif
