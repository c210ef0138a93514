/*
 * Completes one copy of the model if a group has too few spares.  A chain is a
 * set of members that together hold each layer; the cheapest one is chosen from
 * all members, also of different copies.  Its members keep their layers.
 * Missing layers are assigned first to members without layers, then to members
 * whose layers all have another holder, so that no layer loses its last holder
 * in the group.
 */
#include "wisteria/fleet/placement_internal.h"

#include <math.h>

#include <glib.h>

/*
 * Cost of a layer without a holder, in ms per token.  Far above the usual cost
 * of a held layer, so that chains with few gaps are preferred.
 */
#define GAP_LAYER_COST_MS 10.0

/* Last step of the cheapest path, gaps included, from layer 0 to a boundary. */
typedef struct {
	double cost_ms;
	int32_t member; /* whose layers end here; -1: a gap */
	uint32_t start; /* boundary where the step begins */
} step_t;

typedef struct {
	planning_t *planning;
	const group_t *group;
	double kv_tokens;  /* KV-cache tokens that a holder must fit */
	bool *in_chain;	   /* per member */
	uint32_t *holders; /* per layer */
	uint32_t *covered; /* per layer: holders in the chain, 0 or 1 */
} chain_t;

static const placement_node_t *node_of(const chain_t *chain, uint32_t member)
{
	return &chain->planning->nodes[chain->group->members[member]];
}

/* Whether a node holds layers and has memory for the KV cache beside them. */
static bool is_usable_holder(const chain_t *chain, const placement_node_t *node)
{
	uint32_t layers = node->end_layer - node->first_layer;

	return layers > 0 &&
	       placement_layers_that_fit(chain->planning->engine, node->size_mb,
					 chain->kv_tokens) >= layers;
}

static void extend_paths(const chain_t *chain, step_t *steps, uint32_t boundary)
{
	const engine_model_t *engine = chain->planning->engine;
	const double cost_ms = steps[boundary].cost_ms;

	if (cost_ms + GAP_LAYER_COST_MS < steps[boundary + 1].cost_ms)
		steps[boundary + 1] =
			(step_t){ cost_ms + GAP_LAYER_COST_MS, -1, boundary };
	for (uint32_t i = 0; i < chain->group->count; i++) {
		const placement_node_t *node = node_of(chain, i);
		const uint32_t end = MIN(node->end_layer, engine->layers);
		double total_ms;

		if (node->first_layer > boundary || end <= boundary ||
		    !is_usable_holder(chain, node))
			continue;
		total_ms = cost_ms +
			   (end - boundary) * placement_layer_ms(engine, node);
		if (total_ms < steps[end].cost_ms)
			steps[end] = (step_t){ total_ms, (int32_t)i, boundary };
	}
}

/* Finds the cheapest chain; a missing layer costs GAP_LAYER_COST_MS. */
static void find_chain(chain_t *chain)
{
	const uint32_t layers = chain->planning->engine->layers;
	step_t *steps = g_new(step_t, layers + 1);

	for (uint32_t boundary = 0; boundary <= layers; boundary++)
		steps[boundary] = (step_t){ .cost_ms = INFINITY, .member = -1 };
	steps[0].cost_ms = 0;
	for (uint32_t boundary = 0; boundary < layers; boundary++)
		if (!isinf(steps[boundary].cost_ms))
			extend_paths(chain, steps, boundary);
	for (uint32_t boundary = layers; boundary > 0;
	     boundary = steps[boundary].start) {
		if (steps[boundary].member < 0)
			continue;
		chain->in_chain[steps[boundary].member] = true;
		for (uint32_t i = steps[boundary].start; i < boundary; i++)
			chain->covered[i] = 1;
	}
	g_free(steps);
}

/*
 * Whether a member can be moved: it is not in the chain, not slow, and each of
 * its layers has another holder.
 */
static bool is_movable(const chain_t *chain, uint32_t member)
{
	const placement_node_t *node = node_of(chain, member);
	uint32_t end = MIN(node->end_layer, chain->planning->engine->layers);

	if (chain->in_chain[member] || node->slow)
		return false;
	for (uint32_t i = node->first_layer; i < end; i++)
		if (chain->holders[i] < 2)
			return false;
	return true;
}

/*
 * Returns the best member to assign "wanted" layers to; -1: there is none.
 * Members without layers come first; within each kind the smallest that fits
 * all wanted layers, or else the largest.
 */
static int32_t find_candidate(const chain_t *chain, uint32_t wanted,
			      uint32_t *fitting_layers)
{
	int32_t best = -1;
	double best_rank = 0;

	for (uint32_t i = 0; i < chain->group->count; i++) {
		const placement_node_t *node = node_of(chain, i);
		uint32_t layers = placement_layers_that_fit(
			chain->planning->engine, node->size_mb,
			chain->kv_tokens);
		double rank = placement_candidate_rank(node, layers, wanted);

		if (layers == 0 || !is_movable(chain, i))
			continue;
		/* Exceeds the rank of each member that holds layers. */
		if (node->first_layer == node->end_layer)
			rank += 2 * CANDIDATE_FITS_RANK;
		if (best >= 0 && rank <= best_rank)
			continue;
		best = (int32_t)i;
		best_rank = rank;
		*fitting_layers = layers;
	}
	return best;
}

static void assign_range(chain_t *chain, uint32_t member,
			 const placement_range_t *range)
{
	const placement_node_t *node = node_of(chain, member);
	uint32_t end = MIN(node->end_layer, chain->planning->engine->layers);

	for (uint32_t i = node->first_layer; i < end; i++)
		chain->holders[i]--;
	for (uint32_t i = range->first_layer; i < range->end_layer; i++)
		chain->covered[i] = 1;
	chain->in_chain[member] = true;
	chain->planning->ranges[chain->group->members[member]] = *range;
}

static bool fill_chain_gaps(chain_t *chain)
{
	placement_range_t gap = { 0 };

	while (placement_find_gap(chain->planning, chain->covered, 1, &gap)) {
		uint32_t fitting_layers = 0;
		int32_t candidate =
			find_candidate(chain, gap.end_layer - gap.first_layer,
				       &fitting_layers);

		if (candidate < 0)
			return false;
		gap.end_layer =
			MIN(gap.end_layer, gap.first_layer + fitting_layers);
		assign_range(chain, (uint32_t)candidate, &gap);
	}
	return true;
}

/*
 * Sets the ranges of chain members that keep their layers.  If the chain is
 * incomplete, empties the ranges of all members of the group.
 */
static void set_chain_ranges(const chain_t *chain, bool complete)
{
	for (uint32_t i = 0; i < chain->group->count; i++) {
		const placement_node_t *node = node_of(chain, i);
		placement_range_t *range =
			&chain->planning->ranges[chain->group->members[i]];

		if (!complete)
			*range = (placement_range_t){ 0 };
		else if (chain->in_chain[i] &&
			 range->first_layer == range->end_layer)
			*range = (placement_range_t){
				node->first_layer,
				MIN(node->end_layer,
				    chain->planning->engine->layers)
			};
	}
}

/*
 * Completes the cheapest copy of a group.  The copy consists of members with
 * memory for "kv_tokens" tokens of KV cache beside their layers; its gaps are
 * assigned to members that hold no layers, or only layers that others hold as
 * well.  Returns false and empties the ranges of all members if there are too
 * few of these; else sets the ranges of the copy's members.  The group may
 * also contain slow nodes, which keep their layers: see
 * init_with_slow_holders().
 */
bool placement_complete_chain(planning_t *planning, const group_t *group,
			      double kv_tokens)
{
	chain_t chain = {
		.planning = planning,
		.group = group,
		.kv_tokens = kv_tokens,
		.in_chain = g_new0(bool, group->count + 1),
		.holders = g_new0(uint32_t, planning->engine->layers + 1),
		.covered = g_new0(uint32_t, planning->engine->layers + 1),
	};
	bool complete;

	placement_count_holders(planning, group, chain.holders);
	find_chain(&chain);
	complete = fill_chain_gaps(&chain);
	set_chain_ranges(&chain, complete);
	g_free(chain.in_chain);
	g_free(chain.holders);
	g_free(chain.covered);
	return complete;
}
