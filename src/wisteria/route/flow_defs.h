#ifndef WISTERIA_ROUTE_FLOW_DEFS_H
#define WISTERIA_ROUTE_FLOW_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* One direction of an edge; its partner of the other direction is at ^ 1. */
typedef struct {
	uint32_t to;
	int next; /* the next edge out of the same node; -1: none */
	double residual;
} flow_edge_t;

/* A flow network. */
typedef struct {
	GArray *edges; /* of flow_edge_t */
	GArray *first; /* of int: the first edge out of each node */
	GArray *level; /* of int */
	GArray *at;    /* of int: edges already tried in this phase */
} flow_t;

/* An endpoint as the bound sees it. */
typedef struct {
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t domain;
	double steps_per_s;
} flow_endpoint_t;

/* What the link between two failure domains carries at most, one way. */
typedef struct {
	uint32_t from_domain;
	uint32_t to_domain;
	double steps_per_s;
} flow_link_t;

/* What a bound is asked for. */
typedef struct {
	const flow_endpoint_t *endpoints;
	size_t endpoint_count;
	const flow_link_t *links; /* those that are not listed don't limit */
	size_t link_count;
	uint32_t domain_count;
	uint32_t layers;
} flow_layout_t;

#endif
