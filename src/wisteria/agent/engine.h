#ifndef WISTERIA_AGENT_ENGINE_H
#define WISTERIA_AGENT_ENGINE_H

#include <stdbool.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/session/hop_session.h"

struct engine_t;

/* Identifies one sequence, the state of a session in an engine. */
typedef struct {
	uint64_t session;
	uint32_t sequence; /* the attempt in which the hop was opened */
	uint32_t first_layer;
	uint32_t hop; /* in the session's chain; not part of the identity */
} engine_key_t;

/*
 * Callbacks to the owner of an engine; embedded in the owner's struct.  Each
 * run ends with one call of done() or failed(), unless its sequence is
 * forgotten or the engine is closed first.  "attempt" is the one in which the
 * run was requested; a reroute raises it, but keeps the sequence.
 */
typedef struct engine_handler_t {
	void (*done)(struct engine_handler_t *self, const engine_key_t *key,
		     uint32_t attempt, const hop_result_t *result);
	void (*failed)(struct engine_handler_t *self, const engine_key_t *key,
		       uint32_t attempt, const char *reason);
} engine_handler_t;

/*
 * Callback for the result of an order.  "refused" means that its fencing number
 * was outdated.  If neither flag is set, the outcome is unknown.
 */
typedef struct engine_order_done_t {
	void (*done)(struct engine_order_done_t *self, bool applied,
		     bool refused);
} engine_order_done_t;

/*
 * The agent's interface to a model engine.  An implementation has this table as
 * the first member of its struct.  All functions are called on the loop's
 * thread, and none of them calls the handler before it returns.
 */
typedef struct engine_ops_t {
	/* Runs positions of a sequence; the work is copied. */
	void (*run)(struct engine_ops_t *self, const hop_work_t *work);
	/* Drops a sequence; the result of a run in progress is discarded. */
	void (*forget)(struct engine_ops_t *self, const engine_key_t *key);
	/* Sends an order (load a model, change role) with a fencing number. */
	void (*order)(struct engine_ops_t *self, const char *text,
		      uint64_t fence, engine_order_done_t *done);
	/* Runs timed work; called every AGENT_TICK_MS. */
	void (*tick)(struct engine_ops_t *self, clock_ms_t now);
	/*
	 * Returns the moving average of the duration of a batch of runs, in
	 * milliseconds; 0 before the first.
	 */
	double (*step_ms)(const struct engine_ops_t *self);
	/* Frees the engine; the handler isn't called any more. */
	void (*close)(struct engine_ops_t *self);
} engine_ops_t;

#endif
