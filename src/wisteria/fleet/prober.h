#ifndef WISTERIA_FLEET_PROBER_H
#define WISTERIA_FLEET_PROBER_H

#include <uv.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/fleet/dialect.h"
#include "wisteria/http/http_call.h"

/* Interval between probes of an engine; slowness lasts several seconds. */
#define PROBER_INTERVAL_MS 1200
#define PROBER_CONNECT_TIMEOUT_MS 500
/* Timeout of a probe; a later answer no longer describes the present pace. */
#define PROBER_TIMEOUT_MS 1000
/*
 * Connect timeout of one attempt of a reachability check, made when streams
 * through an engine are silent.  Connections are established within 3 ms.
 */
#define PROBER_CHECK_TIMEOUT_MS 30
/*
 * An attempt that fails this long after its timeout ends the check without a
 * result: this process was not running meanwhile, and the failure says nothing
 * about the engine.
 */
#define PROBER_CHECK_MAX_DELAY_MS 20
/*
 * Failed attempts after which an engine is unreachable: with 4% packet loss, 1
 * of 2,000 checks of a running engine fails this often.
 */
#define PROBER_CHECK_ATTEMPTS 3
/* Shortest interval between two checks of an engine. */
#define PROBER_CHECK_INTERVAL_MS 300

struct prober_t;

/* Callbacks to the owner of a prober; first in the owner's struct. */
typedef struct prober_handler_t {
	/* All attempts of a check failed to connect to the engine. */
	void (*unreachable)(struct prober_handler_t *self, const char *id,
			    uint64_t incarnation);
} prober_handler_t;

/* State of the probes and checks of one engine. */
typedef struct {
	http_call_handler_t handler;
	struct prober_t *prober;
	http_call_t *call; /* NULL: none in progress */
	char id[ENDPOINT_ID_BYTES];
	uint64_t incarnation;
	clock_ms_t sent_ms;	/* when the last call was sent */
	double pace;		/* slowdown factor; 1: normal speed */
	clock_ms_t checked_ms;	/* when the last check began */
	unsigned attempts_left; /* of the check in progress; 0: no check */
} probe_t;

/* Probes the pace of engines, and checks whether they are reachable. */
typedef struct prober_t {
	uv_loop_t *loop;
	const fleet_dialect_t *dialect;
	const clock_source_t *clock;
	const registry_t *registry;
	prober_handler_t *handler;
	GHashTable *probes; /* endpoint id -> probe_t */
} prober_t;

void prober_init(prober_t *prober, uv_loop_t *loop,
		 const fleet_dialect_t *dialect, const registry_t *registry,
		 const clock_source_t *clock,
		 prober_handler_t *handler) ATTR_NONNULL_ALL;
void prober_finish(prober_t *prober) ATTR_NONNULL_ALL;
void prober_reset(prober_t *prober) ATTR_NONNULL_ALL;
void prober_tick(prober_t *prober, const route_table_t *table) ATTR_NONNULL_ALL;
void prober_check(prober_t *prober,
		  const endpoint_t *endpoint) ATTR_NONNULL_ALL;
double prober_pace(const prober_t *prober, const char *id) ATTR_NONNULL_ALL;
msg_fleet_pace_t *prober_list_slow(const prober_t *prober,
				   size_t *count) ATTR_NONNULL_ALL;

#endif
