#ifndef WISTERIA_ROUTE_TARGET_DEFS_H
#define WISTERIA_ROUTE_TARGET_DEFS_H

#include <stdint.h>

#include "wisteria/route/group_defs.h"

/* The endpoints of one target that hold the same layers. */
typedef struct {
	uint32_t first_layer;
	uint32_t end_layer;
	group_t *groups; /* one for each failure domain */
	uint32_t group_count;
	uint32_t *before; /* ranges that end where this one begins */
	uint32_t before_count;
	uint32_t usable;      /* candidates that are free or full */
	uint32_t full;	      /* of those, the full ones */
	uint32_t paused;      /* candidates that failed a while ago */
	double least_step_ms; /* of its candidates; 0: none known */
} range_t;

/* A model or a service; the ranges are ordered by their first layer. */
typedef struct {
	range_t *ranges;
	uint32_t range_count;
} target_t;

#endif
