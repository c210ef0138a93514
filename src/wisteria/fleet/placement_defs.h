#ifndef WISTERIA_FLEET_PLACEMENT_DEFS_H
#define WISTERIA_FLEET_PLACEMENT_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/fleet/routes_defs.h"

/* An endpoint that can hold layers. */
typedef struct {
	uint32_t domain;
	double size_mb;
	double pace;
	uint32_t first_layer; /* held now; equal to end_layer: none */
	uint32_t end_layer;
	bool available; /* heard, not draining, not slow */
	bool slow;	/* unavailable for no other reason */
} placement_node_t;

/* Layers that an endpoint should hold; empty: leave it as it is. */
typedef struct {
	uint32_t first_layer;
	uint32_t end_layer;
} placement_range_t;

#endif
