#ifndef WISTERIA_FLEET_PLACEMENT_INTERNAL_H
#define WISTERIA_FLEET_PLACEMENT_INTERNAL_H

#include "wisteria/fleet/placement.h"

/* Exceeds the rank of any node that fits too few layers; ranks are in MB. */
#define CANDIDATE_FITS_RANK 1e9

/* Nodes among which one or more copies of the model are placed. */
typedef struct {
	uint32_t *members; /* indexes into the nodes */
	uint32_t count;
	uint32_t *layers; /* per member: how many it is assigned */
} group_t;

typedef struct {
	const engine_model_t *engine;
	const placement_node_t *nodes;
	uint32_t count;
	placement_range_t *ranges;
	bool rearrange_served; /* see placement_repair() */
} planning_t;

void placement_group_init(group_t *group, uint32_t capacity) ATTR_NONNULL_ALL;
void placement_group_finish(group_t *group) ATTR_NONNULL_ALL;
double placement_layer_ms(const engine_model_t *engine,
			  const placement_node_t *node) ATTR_NONNULL_ALL;
void placement_count_holders(const planning_t *planning, const group_t *group,
			     uint32_t *holders) ATTR_NONNULL_ALL;
bool placement_find_gap(const planning_t *planning, const uint32_t *holders,
			uint32_t copies,
			placement_range_t *gap) ATTR_NONNULL_ALL;
double placement_candidate_rank(const placement_node_t *node,
				uint32_t fitting_layers,
				uint32_t wanted) ATTR_NONNULL_ALL;
bool placement_complete_chain(planning_t *planning, const group_t *group,
			      double kv_tokens) ATTR_NONNULL_ALL;

#endif
