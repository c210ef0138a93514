#ifndef WISTERIA_FLEET_PLACEMENT_H
#define WISTERIA_FLEET_PLACEMENT_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/placement_defs.h"

void placement_plan(const engine_model_t *engine, const placement_node_t *nodes,
		    uint32_t count, placement_range_t *ranges) ATTR_NONNULL_ALL;
bool placement_fill_gaps(const engine_model_t *engine,
			 const placement_node_t *nodes, uint32_t count,
			 placement_range_t *ranges)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool placement_complete_if_slow_recover(
	const engine_model_t *engine, const placement_node_t *nodes,
	uint32_t count) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void placement_repair(const engine_model_t *engine,
		      const placement_node_t *nodes, uint32_t count,
		      bool rearrange_served,
		      placement_range_t *ranges) ATTR_NONNULL_ALL;
placement_range_t placement_next_range(
	const engine_model_t *engine, const placement_node_t *node,
	const placement_range_t *wanted) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
uint32_t placement_layers_that_fit(const engine_model_t *engine, double size_mb,
				   double tokens) ATTR_NONNULL_ALL;

#endif
