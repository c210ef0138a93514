#ifndef WISTERIA_AGENT_ENGINE_H
#define WISTERIA_AGENT_ENGINE_H

#include <stdbool.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/session/hop_session.h"

struct engine_t;

/* Names one sequence of an engine. */
typedef struct {
	uint64_t session;
	uint32_t sequence;
	uint32_t first_layer;
	uint32_t hop; /* of the session's chain; no part of the name */
} engine_key_t;

/*
 * What the owner of an engine is told.  It stands first in the owner's
 * struct.  Each run is answered once, by done() or by failed().
 */
typedef struct engine_handler_t {
	void (*done)(struct engine_handler_t *self, const engine_key_t *key,
		     uint32_t attempt, const hop_result_t *result);
	void (*failed)(struct engine_handler_t *self, const engine_key_t *key,
		       uint32_t attempt, const char *reason);
} engine_handler_t;

/* Told of the answer to an order; "refused" is by an old fencing number. */
typedef struct engine_order_done_t {
	void (*done)(struct engine_order_done_t *self, bool applied,
		     bool refused);
} engine_order_done_t;

/*
 * How the agent meets a model engine.  An implementation stands behind this
 * table, first in its struct.  All calls are made on the loop's thread, and
 * the handler is never called from within them.
 */
typedef struct engine_ops_t {
	/* Runs positions of a sequence; the work is copied. */
	void (*run)(struct engine_ops_t *self, const hop_work_t *work);
	/* Drops a sequence; a run in progress is not answered any more. */
	void (*forget)(struct engine_ops_t *self, const engine_key_t *key);
	/* Gives an order (load a model, change role) with a fencing number. */
	void (*order)(struct engine_ops_t *self, const char *text,
		      uint64_t fence, engine_order_done_t *done);
	/* Called often: acts on what is due. */
	void (*tick)(struct engine_ops_t *self, clock_ms_t now);
	/* Smoothed time of one step; 0 before the first. */
	double (*step_ms)(const struct engine_ops_t *self);
	/* Ends the engine; nothing is answered any more. */
	void (*close)(struct engine_ops_t *self);
} engine_ops_t;

#endif
