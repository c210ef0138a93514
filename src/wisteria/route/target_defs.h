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
	uint32_t *previous; /* indices of ranges that end where it begins */
	uint32_t previous_count;
	uint32_t usable_count; /* candidates that are free or full */
	uint32_t full_count;   /* included in usable_count */
	uint32_t paused_count; /* candidates paused after a failure */
	double least_step_ms;  /* at the last update; 0: none reported */
} range_t;

/* A model or a service; the ranges are ordered by their first layer. */
typedef struct {
	range_t *ranges;
	uint32_t range_count;
} target_t;

#endif
