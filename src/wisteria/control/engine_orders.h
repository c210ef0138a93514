#ifndef WISTERIA_CONTROL_ENGINE_ORDERS_H
#define WISTERIA_CONTROL_ENGINE_ORDERS_H

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"

/* Interval at which an unanswered claim or result is resent. */
#define ENGINE_ORDERS_RETRY_MS 500

/*
 * The callbacks by which engine orders are sent.  Must be the first member of
 * the owner's struct.
 */
typedef struct engine_orders_ops_t {
	/* Sends a claim or a result to a control instance. */
	void (*send)(struct engine_orders_ops_t *self,
		     const msg_order_t *order);
	/*
	 * Sends an order to its engine; see
	 * engine_orders_on_engine_result().
	 */
	void (*send_to_engine)(struct engine_orders_ops_t *self,
			       const msg_engine_order_t *order);
} engine_orders_ops_t;

/*
 * The agent's side of orders to engines: claims each order in the log, sends it
 * to the engine once and reports the result.  Reads no clock and does no I/O.
 */
typedef struct {
	engine_orders_ops_t *ops;
	uint64_t incarnation;
	GHashTable *by_endpoint; /* endpoint -> tracked_order_t */
} engine_orders_t;

void engine_orders_init(engine_orders_t *orders, engine_orders_ops_t *ops,
			uint64_t incarnation) ATTR_NONNULL_ALL;
void engine_orders_finish(engine_orders_t *orders) ATTR_NONNULL_ALL;
void engine_orders_update(engine_orders_t *orders,
			  const msg_engine_order_t *open_orders, size_t count,
			  clock_ms_t now) ATTR_NONNULL(1);
void engine_orders_on_reply(engine_orders_t *orders,
			    const msg_order_reply_t *reply) ATTR_NONNULL_ALL;
void engine_orders_on_engine_result(engine_orders_t *orders,
				    const char *endpoint, uint64_t fence,
				    engine_order_state_t result,
				    clock_ms_t now) ATTR_NONNULL_ALL;
void engine_orders_tick(engine_orders_t *orders,
			clock_ms_t now) ATTR_NONNULL_ALL;

#endif
