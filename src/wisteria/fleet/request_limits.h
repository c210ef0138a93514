#ifndef WISTERIA_FLEET_REQUEST_LIMITS_H
#define WISTERIA_FLEET_REQUEST_LIMITS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/registry_defs.h"

/* How long the end of a limit is remembered against older reports of it. */
#define REQUEST_LIMIT_END_MS 10000
/*
 * A lower limit is taken as this one: only an answer shows that a limit has
 * changed or ended.
 */
#define REQUEST_LIMIT_LEAST_PER_S 0.5

/* What is known of the limit of one endpoint. */
typedef struct {
	char id[ENDPOINT_ID_BYTES];
	uint64_t incarnation;
	double per_s;		 /* REQUEST_LIMIT_NONE: it has ended */
	clock_ms_t seen_ms;	 /* the newest answer that says so */
	clock_ms_t confirmed_ms; /* when it was last learned */
} request_limit_t;

/* The requests per second that endpoints take from all entries together. */
typedef struct {
	GHashTable *by_id; /* endpoint id -> request_limit_t */
} request_limits_t;

void request_limits_init(request_limits_t *limits) ATTR_NONNULL_ALL;
void request_limits_finish(request_limits_t *limits) ATTR_NONNULL_ALL;
bool request_limits_learn(request_limits_t *limits, const endpoint_t *endpoint,
			  double per_s, clock_ms_t seen_ms,
			  clock_ms_t now) ATTR_NONNULL_ALL;
const request_limit_t *
request_limits_find(const request_limits_t *limits,
		    const endpoint_t *endpoint) ATTR_NONNULL_ALL;
double request_limits_rate(const request_limits_t *limits,
			   const endpoint_t *endpoint) ATTR_NONNULL_ALL;
uint32_t request_limits_count(const request_limits_t *limits) ATTR_NONNULL_ALL;
void request_limits_expire(request_limits_t *limits, const registry_t *registry,
			   clock_ms_t unconfirmed_ms,
			   clock_ms_t now) ATTR_NONNULL_ALL;

#endif
