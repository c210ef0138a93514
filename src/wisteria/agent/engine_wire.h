#ifndef WISTERIA_AGENT_ENGINE_WIRE_H
#define WISTERIA_AGENT_ENGINE_WIRE_H

#include <stdbool.h>

#include "wisteria/codec/codec_defs.h"
#include "wisteria/codec/msg_defs.h"

#define ENGINE_STEPS_PATH "/v1/steps"
#define ENGINE_FORGET_PATH "/v1/forget"
#define ENGINE_HEALTH_PATH "/v1/health"
#define ENGINE_ORDERS_PATH "/v1/orders"

/*
 * Positions of one sequence for the engine to run.  A sequence is the engine's
 * state of a session; it is identified by the session, the attempt in which the
 * hop was opened and the first layer.
 */
typedef struct {
	uint64_t session;
	uint32_t sequence;
	uint32_t attempt;
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t first_position;
	const msg_position_t *positions;
	size_t position_count;
	/* Whether the layers include the model's first and last one. */
	bool has_first_layer; /* inputs are texts */
	bool has_last_layer;  /* the output of the last position is a token */
	uint32_t priority;
} engine_step_t;

/* Body of a request to ENGINE_STEPS_PATH. */
typedef struct {
	const engine_step_t *steps;
	size_t step_count;
} engine_batch_t;

typedef struct {
	uint64_t session;
	uint32_t sequence;
	uint32_t first_layer;
	bool ok;
	const char *reason; /* if "ok" is false */
	const msg_position_t *positions;
	size_t position_count;
	const char *text;
	bool last; /* the model ended the answer */
} engine_result_t;

/* Body of the response, with one result for each step. */
typedef struct {
	const engine_result_t *results;
	size_t result_count;
} engine_reply_t;

/* Body of a request to ENGINE_FORGET_PATH. */
typedef struct {
	uint64_t session;
	uint32_t sequence;
	uint32_t first_layer;
} engine_forget_t;

extern const record_desc_t engine_batch_desc;
extern const record_desc_t engine_reply_desc;
extern const record_desc_t engine_forget_desc;

#endif
