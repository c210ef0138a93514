#ifndef WISTERIA_FLEET_PLACER_DEFS_H
#define WISTERIA_FLEET_PLACER_DEFS_H

#include <uv.h>

#include "wisteria/fleet/dialect.h"
#include "wisteria/fleet/placement_defs.h"
#include "wisteria/fleet/prober.h"
#include "wisteria/fleet/registry_defs.h"
#include "wisteria/http/http_call.h"

/*
 * Delay between gaining leadership and the first order: the endpoints of a new
 * fleet have announced themselves by then.
 */
#define PLACER_SETTLE_MS 2600
#define PLACER_TICK_MS 400
/* An order whose layers are not reported within this time is sent again. */
#define PLACER_RESEND_MS 3000
/*
 * An order is dropped after this time.  Endpoints release layers only after
 * the longest streams through them have ended.
 */
#define PLACER_ORDER_TIMEOUT_MS 20000
/*
 * Delay before a repair: an endpoint that ended may restart, which takes
 * seconds, and get its layers back.
 */
#define PLACER_REPLAN_MS 1500
/*
 * Delay before a repair if copies are incomplete only because engines are
 * slow, or if another copy in the domain holds the layers.  A copy that is
 * assigned again is out of service until the streams through it have ended,
 * 10 s under load, and its layers are loaded, about 5 s: the incomplete copy
 * is tolerated for as long.
 */
#define PLACER_REPLAN_SERVED_MS 15000
#define PLACER_CONNECT_TIMEOUT_MS 1000
/* Only the status of the answer to an order is used. */
#define PLACER_ANSWER_BYTES_MAX (64u << 10)
/* Slowdown factor from which an engine holds no layers if others can. */
#define PLACER_SLOW_PACE 2.5

/* An order to an endpoint, kept until the endpoint reports its layers. */
typedef struct placer_order_t {
	http_call_handler_t handler;
	struct placer_t *placer;
	http_call_t *call; /* NULL: none in progress */
	char id[ENDPOINT_ID_BYTES];
	uint64_t incarnation;

	placement_range_t wanted;
	placement_range_t range; /* last ordered, a step towards "wanted" */
	clock_ms_t started_ms;	 /* when the order for "wanted" was created */
	clock_ms_t sent_ms;	 /* last sent; 0: send again at the next tick */
} placer_order_t;

/* Orders the endpoints of each model to hold its layers. */
typedef struct placer_t {
	uv_loop_t *loop;
	const fleet_dialect_t *dialect;
	const registry_t *registry;
	const prober_t *prober;
	const clock_source_t *clock;
	GHashTable *orders;    /* endpoint id -> placer_order_t */
	clock_ms_t started_ms; /* of leadership; 0: not the leader */
	/*
	 * Since when copies are incomplete, one time for all services; 0: those
	 * of the service placed last are complete.
	 */
	clock_ms_t incomplete_since_ms;
	clock_ms_t repaired_ms; /* time of the last placement_repair() */
} placer_t;

#endif
