#ifndef WISTERIA_ROUTE_CANDIDATE_DEFS_H
#define WISTERIA_ROUTE_CANDIDATE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/table_defs.h"
#include "wisteria/route/links_defs.h"
#include "wisteria/route/router_defs.h"

/* Whether an endpoint can accept a new session. */
typedef enum {
	CANDIDATE_WITHDRAWN, /* leaving, or not in the directory */
	CANDIDATE_PAUSED,    /* excluded for a time after a failure */
	CANDIDATE_FULL,	     /* no free slot */
	CANDIDATE_FREE
} candidate_state_t;

/* The router's record of one endpoint. */
typedef struct {
	char name[ROUTER_NAME_BYTES];
	char instance[ROUTER_NAME_BYTES];
	char address[ROUTER_NAME_BYTES];
	char target[ROUTER_NAME_BYTES];
	uint64_t incarnation;
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t slots;
	link_end_t link_end;
	bool listed; /* in the directory */
	bool leaving;

	uint32_t own_sessions;	 /* started by this router */
	uint32_t other_sessions; /* of other entries, by the last report */
	clock_ms_t reported_ms;
	double step_ms; /* smoothed time of one step; 0: not reported */

	clock_ms_t pause_ms; /* initial length of the last pause; 0: none */
	clock_ms_t paused_until_ms;

	candidate_state_t state; /* at the last refresh by the router */
	uint32_t range;		 /* index in the target's ranges */
	uint32_t group;		 /* index in the range's groups */
	uint32_t heap_index;	 /* in the group's heap */
} candidate_t;

#endif
