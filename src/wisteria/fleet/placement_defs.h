#ifndef WISTERIA_FLEET_PLACEMENT_DEFS_H
#define WISTERIA_FLEET_PLACEMENT_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/fleet/routes_defs.h"

/* An endpoint that can hold layers, as the planning sees it. */
typedef struct {
	uint32_t domain;
	double size_mb;
	double pace;
	uint32_t first_layer; /* held now; equal to end_layer: none */
	uint32_t end_layer;
	bool available; /* not silent, not draining, not slow */
	bool slow;	/* slowness is all that makes it unavailable */
} placement_node_t;

/* Layers that an endpoint should hold; empty: keep its current layers. */
typedef struct {
	uint32_t first_layer;
	uint32_t end_layer;
} placement_range_t;

#endif
