#ifndef WISTERIA_ROUTE_FLOW_DEFS_H
#define WISTERIA_ROUTE_FLOW_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* One direction of an edge; the opposite direction is at its index ^ 1. */
typedef struct {
	uint32_t to;
	int next; /* index of the next edge out of the same node; -1: none */
	double residual; /* remaining capacity */
} flow_edge_t;

/* A flow network. */
typedef struct {
	GArray *edges;	 /* of flow_edge_t */
	GArray *first;	 /* of int: the first edge out of each node */
	GArray *level;	 /* of int: each node's distance from the source */
	GArray *current; /* of int: each node's first edge still to be tried */
} flow_t;

/*
 * The layers, failure domain and capacity of one endpoint.  One step handles
 * one token.
 */
typedef struct {
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t domain;
	double steps_per_s;
} flow_endpoint_t;

/* The capacity of the link from one failure domain to another, one way. */
typedef struct {
	uint32_t from_domain;
	uint32_t to_domain;
	double steps_per_s;
} flow_link_t;

/* The input of a throughput bound. */
typedef struct {
	const flow_endpoint_t *endpoints;
	size_t endpoint_count;
	const flow_link_t *links; /* others have no limit */
	size_t link_count;
	uint32_t domain_count;
	uint32_t layers;
} flow_layout_t;

#endif
