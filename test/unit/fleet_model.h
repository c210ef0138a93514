#ifndef TEST_UNIT_FLEET_MODEL_H
#define TEST_UNIT_FLEET_MODEL_H

#include <string.h>

#include <glib.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/placement.h"
#include "wisteria/fleet/routes.h"

/* A model and fleets of mixed accelerators for placement tests. */

enum {
	FAST,
	MIDDLE,
	LARGE_SLOW,
	SMALL_SLOW,
	KIND_COUNT
};

static const accelerator_t fleet_accelerators[KIND_COUNT] = {
	[FAST] = { "fast", 72000, 1.4, 1.0 },
	[MIDDLE] = { "middle", 36000, 3.1, 3.2 },
	[LARGE_SLOW] = { "large-slow", 21600, 16.0, 8.2 },
	[SMALL_SLOW] = { "small-slow", 14400, 15.0, 15.0 },
};

static inline void fleet_engine_init(engine_model_t *engine)
{
	*engine = (engine_model_t){
		.layers = 80,
		.layer_mb = 1750,
		.kv_token_bytes = 590000,
		.slots = 192,
		.stride = 2,
		.step_ms = 0.85,
		.per_sequence_ms = 0.004,
		.prefill_tokens_per_s = 196000,
		.activation_bytes = 29500,
		.domain_link_mbps = 9000,
		.mean_prompt_tokens = 772,
		.mean_answer_tokens = 172,
		.accelerators =
			g_array_new(FALSE, FALSE, sizeof(accelerator_t)),
	};
	g_array_append_vals(engine->accelerators, fleet_accelerators,
			    KIND_COUNT);
}

static inline void fleet_engine_finish(engine_model_t *engine)
{
	g_array_unref(engine->accelerators);
}

/*
 * Appends "count" nodes of "kind" in "domain" to "nodes", which has "at" nodes;
 * returns the new number of nodes.
 */
static inline uint32_t fleet_add(placement_node_t *nodes, uint32_t at,
				 uint32_t domain, int kind, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		nodes[at++] = (placement_node_t){
			.domain = domain,
			.size_mb = fleet_accelerators[kind].size_mb,
			.pace = fleet_accelerators[kind].pace,
			.available = true,
		};
	return at;
}

/* Fills "nodes" with three domains of 13, 14 and 12; returns their number. */
static inline uint32_t fleet_with_three_domains(placement_node_t *nodes)
{
	uint32_t count = 0;

	count = fleet_add(nodes, count, 0, MIDDLE, 2);
	count = fleet_add(nodes, count, 0, LARGE_SLOW, 4);
	count = fleet_add(nodes, count, 0, SMALL_SLOW, 7);
	count = fleet_add(nodes, count, 1, FAST, 1);
	count = fleet_add(nodes, count, 1, MIDDLE, 1);
	count = fleet_add(nodes, count, 1, LARGE_SLOW, 5);
	count = fleet_add(nodes, count, 1, SMALL_SLOW, 7);
	count = fleet_add(nodes, count, 2, MIDDLE, 1);
	count = fleet_add(nodes, count, 2, LARGE_SLOW, 8);
	return fleet_add(nodes, count, 2, SMALL_SLOW, 3);
}

/* Makes the nodes hold their ranges; an empty range changes nothing. */
static inline void fleet_apply_ranges(placement_node_t *nodes, uint32_t count,
				      const placement_range_t *ranges)
{
	for (uint32_t i = 0; i < count; i++) {
		if (ranges[i].first_layer == ranges[i].end_layer)
			continue;
		nodes[i].first_layer = ranges[i].first_layer;
		nodes[i].end_layer = ranges[i].end_layer;
	}
}

/* Returns how many available nodes of "domain" hold "layer". */
static inline uint32_t fleet_count_holders(const placement_node_t *nodes,
					   uint32_t count, uint32_t domain,
					   uint32_t layer)
{
	uint32_t holders = 0;

	for (uint32_t i = 0; i < count; i++)
		holders += nodes[i].available && nodes[i].domain == domain &&
			   nodes[i].first_layer <= layer &&
			   nodes[i].end_layer > layer;
	return holders;
}

#endif
