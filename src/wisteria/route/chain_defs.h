#ifndef WISTERIA_ROUTE_CHAIN_DEFS_H
#define WISTERIA_ROUTE_CHAIN_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/route/candidate_defs.h"

/* Maximum number of candidates that a search considers in one layer range. */
#define CHAIN_CANDIDATES_MAX 64
/* Predecessor of a chain's first node. */
#define CHAIN_FROM_ENTRY (-1)

/* A candidate and the least expected time of the chains that end with it. */
typedef struct {
	const candidate_t *candidate;
	link_end_t link_end;
	bool has_exceptions;	 /* see links_has_exceptions() */
	double expected_step_ms; /* of one step here, with queueing; heap key */
	/* Of one token, up to the end of this step; INFINITY: too many hops. */
	double total_ms;
	int previous; /* index of a node, or CHAIN_FROM_ENTRY */
	uint32_t hops;
} chain_node_t;

/* The nodes of one layer range, which are contiguous in the workspace. */
typedef struct {
	uint32_t first;
	uint32_t count;
	bool has_exceptions; /* of at least one node */
} chain_span_t;

/* Working memory of chain_find(), reused from one search to the next. */
typedef struct {
	chain_node_t *nodes;
	chain_span_t *spans;
	uint32_t range_capacity;
	uint32_t node_count;
} chain_workspace_t;

#endif
