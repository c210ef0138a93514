#ifndef WISTERIA_ROUTE_CANDIDATE_DEFS_H
#define WISTERIA_ROUTE_CANDIDATE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/table_defs.h"
#include "wisteria/route/links_defs.h"
#include "wisteria/route/router_defs.h"

/* Whether an endpoint can take a session now. */
typedef enum {
	CANDIDATE_CLOSED, /* leaving, or not in the directory */
	CANDIDATE_PAUSED, /* failed a short while ago */
	CANDIDATE_FULL,
	CANDIDATE_FREE
} candidate_state_t;

/* What the router knows of one endpoint. */
typedef struct {
	char name[ROUTER_NAME_BYTES];
	char instance[ROUTER_NAME_BYTES];
	char address[ROUTER_NAME_BYTES];
	char target[ROUTER_NAME_BYTES];
	uint64_t incarnation;
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t slots;
	link_end_t end;
	bool listed;
	bool leaving;

	uint32_t own;	 /* our sessions on it */
	uint32_t others; /* sessions of other entries, when last reported */
	clock_ms_t reported_ms;
	double step_ms; /* smoothed; 0: not reported yet */

	clock_ms_t pause_ms; /* length of the last pause */
	clock_ms_t paused_until_ms;

	candidate_state_t state;
	uint32_t range; /* in the target's ranges */
	uint32_t group; /* in the range's groups */
	uint32_t place; /* in the group's heap */
} candidate_t;

#endif
