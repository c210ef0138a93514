#ifndef WISTERIA_CONTROL_ENGINE_ORDERS_H
#define WISTERIA_CONTROL_ENGINE_ORDERS_H

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"

/* How often a claim or a result is sent again without an answer. */
#define ENGINE_ORDERS_RETRY_MS 500

/*
 * What an agent's orders ask of the world.  It stands first in the owner's
 * struct.  "send" goes to a control instance; "give" to the engine, whose
 * answer comes back by engine_orders_given().
 */
typedef struct engine_orders_ops_t {
	void (*send)(struct engine_orders_ops_t *self,
		     const msg_order_t *order);
	void (*give)(struct engine_orders_ops_t *self,
		     const msg_engine_order_t *order);
} engine_orders_ops_t;

/*
 * The agent's side of orders to engines: claims each in the log, gives it
 * once, and reports.  It has no clock and does no I/O.
 */
typedef struct {
	engine_orders_ops_t *ops;
	uint64_t incarnation;
	GHashTable *steps; /* endpoint to what is done for it now */
} engine_orders_t;

void engine_orders_init(engine_orders_t *orders, engine_orders_ops_t *ops,
			uint64_t incarnation) ATTR_NONNULL_ALL;
void engine_orders_finish(engine_orders_t *orders) ATTR_NONNULL_ALL;
void engine_orders_learn(engine_orders_t *orders,
			 const msg_engine_order_t *open, size_t count,
			 clock_ms_t now) ATTR_NONNULL(1);
void engine_orders_on_reply(engine_orders_t *orders,
			    const msg_order_reply_t *reply) ATTR_NONNULL_ALL;
void engine_orders_given(engine_orders_t *orders, const char *endpoint,
			 uint64_t fence, engine_order_state_t result,
			 clock_ms_t now) ATTR_NONNULL_ALL;
void engine_orders_tick(engine_orders_t *orders,
			clock_ms_t now) ATTR_NONNULL_ALL;

#endif
