#ifndef WISTERIA_ROUTE_CHAIN_DEFS_H
#define WISTERIA_ROUTE_CHAIN_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/route/candidate_defs.h"

/* Most candidates of one layer range that one choice looks at. */
#define CHAIN_CANDIDATES_MAX 64
#define CHAIN_FROM_ENTRY (-1)

/* A candidate and the least expected time of a chain that ends with it. */
typedef struct {
	const candidate_t *candidate;
	link_end_t end;
	bool exceptions; /* links from here may have times of their own */
	double wait_ms;	 /* of one step here */
	double total_ms; /* of one token, up to and with this step */
	int before;	 /* node, or CHAIN_FROM_ENTRY */
	uint32_t hops;
} chain_node_t;

/* The nodes of one layer range. */
typedef struct {
	uint32_t first;
	uint32_t count;
	bool exceptions;
} chain_span_t;

/* Working memory of a choice, kept from one to the next. */
typedef struct {
	chain_node_t *nodes;
	chain_span_t *spans;
	uint32_t range_capacity;
	uint32_t node_count;
} chain_t;

#endif
