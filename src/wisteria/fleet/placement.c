/*
 * Which layers each endpoint holds.  Every failure domain that can holds the
 * whole model, so that a request stays within one domain and no activations
 * pass the shared pipes; domains that cannot share a copy.  Within a group the
 * layers are spread so that the endpoint with the least room for requests has
 * as much of it as possible, because the fullest endpoint bounds how many
 * requests the whole pipeline runs.  No clock, no I/O.
 */
#include "wisteria/fleet/placement.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* A copy with less room for requests than this many tokens is not made. */
#define TOKENS_MIN 8000.0
/* Upper end of the search for the room that a group can have, tokens. */
#define TOKENS_MAX 16e6
#define SEARCH_STEPS 40
/*
 * Share of the largest possible room that is kept; the rest is given up to
 * move layers from slow endpoints to fast ones.
 */
#define ROOM_KEPT 0.75

/* One copy of the model and the endpoints that hold it. */
typedef struct {
	uint32_t *members; /* numbers of nodes */
	uint32_t count;
	uint32_t *layers; /* of each member */
} group_t;

/*
 * Returns how many layers an endpoint of "size_mb" can hold beside requests
 * of "tokens" tokens.
 */
uint32_t placement_layers_that_fit(const engine_model_t *engine, double size_mb,
				   double tokens)
{
	double layer_mb = engine->layer_mb + tokens * engine->kv_token_bytes /
						     engine->layers / 1e6;
	double fit = size_mb / layer_mb;

	return fit >= engine->layers ? engine->layers : (uint32_t)fit;
}

static uint32_t group_fit(const engine_model_t *engine,
			  const placement_node_t *nodes, const group_t *group,
			  double tokens)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < group->count; i++)
		sum += placement_layers_that_fit(
			engine, nodes[group->members[i]].size_mb, tokens);
	return sum;
}

/* Returns the most room, in tokens, at which the group holds all layers. */
static double group_room(const engine_model_t *engine,
			 const placement_node_t *nodes, const group_t *group)
{
	double low = 0;
	double high = TOKENS_MAX;

	if (group_fit(engine, nodes, group, TOKENS_MIN) < engine->layers)
		return 0;
	for (int i = 0; i < SEARCH_STEPS; i++) {
		double middle = (low + high) / 2;

		if (group_fit(engine, nodes, group, middle) >= engine->layers)
			low = middle;
		else
			high = middle;
	}
	return low;
}

/* Takes layers beyond the model's from the slowest members. */
static void trim(const engine_model_t *engine, const placement_node_t *nodes,
		 const group_t *group, uint32_t sum)
{
	while (sum > engine->layers) {
		uint32_t slowest = 0;

		for (uint32_t i = 1; i < group->count; i++) {
			const placement_node_t *a =
				&nodes[group->members[slowest]];
			const placement_node_t *b = &nodes[group->members[i]];

			if (group->layers[slowest] == 0 ||
			    (group->layers[i] > 0 &&
			     (b->pace > a->pace ||
			      (b->pace == a->pace &&
			       group->layers[i] > group->layers[slowest]))))
				slowest = i;
		}
		group->layers[slowest]--;
		sum--;
	}
}

static const placement_node_t *sorted_nodes;

/* By the layers held now; those that hold none come last. */
static int compare_members(const void *a, const void *b)
{
	uint32_t left = *(const uint32_t *)a;
	uint32_t right = *(const uint32_t *)b;
	const placement_node_t *first = &sorted_nodes[left];
	const placement_node_t *second = &sorted_nodes[right];
	bool first_empty = first->first_layer == first->end_layer;
	bool second_empty = second->first_layer == second->end_layer;

	if (first_empty != second_empty)
		return first_empty ? 1 : -1;
	if (!first_empty && first->first_layer != second->first_layer)
		return first->first_layer < second->first_layer ? -1 : 1;
	if (first->pace != second->pace)
		return first->pace < second->pace ? -1 : 1;
	return left < right ? -1 : 1;
}

static void plan_group(const engine_model_t *engine,
		       const placement_node_t *nodes, group_t *group,
		       placement_range_t *ranges)
{
	double room = group_room(engine, nodes, group) * ROOM_KEPT;
	uint32_t sum = 0;
	uint32_t at = 0;

	sorted_nodes = nodes;
	qsort(group->members, group->count, sizeof(group->members[0]),
	      compare_members);
	for (uint32_t i = 0; i < group->count; i++) {
		group->layers[i] = placement_layers_that_fit(
			engine, nodes[group->members[i]].size_mb, room);
		sum += group->layers[i];
	}
	trim(engine, nodes, group, sum);
	for (uint32_t i = 0; i < group->count; i++) {
		placement_range_t *range = &ranges[group->members[i]];

		range->first_layer = at;
		at += group->layers[i];
		range->end_layer = at;
	}
}

static void add_domain(const placement_node_t *nodes, uint32_t count,
		       uint32_t domain, group_t *group)
{
	for (uint32_t i = 0; i < count; i++)
		if (nodes[i].available && nodes[i].domain == domain)
			group->members[group->count++] = i;
}

static uint32_t domains_of(const placement_node_t *nodes, uint32_t count)
{
	uint32_t domains = 0;

	for (uint32_t i = 0; i < count; i++)
		domains = MAX(domains, nodes[i].domain + 1);
	return domains;
}

typedef struct {
	const engine_model_t *engine;
	const placement_node_t *nodes;
	placement_range_t *ranges;
	bool all_whole;
} planning_t;

typedef void (*group_visitor_t)(planning_t *planning, group_t *group);

/* Visits each set of endpoints that holds a copy of the model by itself. */
static void each_group(planning_t *planning, uint32_t count,
		       group_visitor_t visit)
{
	const placement_node_t *nodes = planning->nodes;
	uint32_t domains = domains_of(nodes, count);
	group_t own = { .members = g_new(uint32_t, count + 1),
			.layers = g_new(uint32_t, count + 1) };
	group_t shared = { .members = g_new(uint32_t, count + 1),
			   .layers = g_new(uint32_t, count + 1) };

	memset(planning->ranges, 0, count * sizeof(planning->ranges[0]));
	for (uint32_t domain = 0; domain < domains; domain++) {
		own.count = 0;
		add_domain(nodes, count, domain, &own);
		if (group_room(planning->engine, nodes, &own) > 0)
			visit(planning, &own);
		else
			add_domain(nodes, count, domain, &shared);
	}
	if (group_room(planning->engine, nodes, &shared) > 0)
		visit(planning, &shared);
	g_free(own.members);
	g_free(own.layers);
	g_free(shared.members);
	g_free(shared.layers);
}

static void plan_one(planning_t *planning, group_t *group)
{
	plan_group(planning->engine, planning->nodes, group, planning->ranges);
}

/*
 * Fills "ranges" with the layers that each of "count" nodes should hold.  A
 * node whose range stays empty is not needed.
 */
void placement_plan(const engine_model_t *engine, const placement_node_t *nodes,
		    uint32_t count, placement_range_t *ranges)
{
	planning_t planning = { .engine = engine,
				.nodes = nodes,
				.ranges = ranges };

	each_group(&planning, count, plan_one);
}

/* Finds the first layers from "at" on that no member holds. */
static bool next_gap(const planning_t *planning, const group_t *group,
		     uint32_t at, placement_range_t *gap)
{
	uint32_t layers = planning->engine->layers;
	bool moved = true;

	while (moved) {
		moved = false;
		for (uint32_t i = 0; i < group->count; i++) {
			const placement_node_t *node =
				&planning->nodes[group->members[i]];

			if (node->first_layer <= at && node->end_layer > at) {
				at = node->end_layer;
				moved = true;
			}
		}
	}
	gap->first_layer = at;
	gap->end_layer = layers;
	for (uint32_t i = 0; i < group->count; i++) {
		const placement_node_t *node =
			&planning->nodes[group->members[i]];

		if (node->first_layer < node->end_layer &&
		    node->first_layer > at)
			gap->end_layer = MIN(gap->end_layer, node->first_layer);
	}
	return at < layers;
}

static bool is_spare(const planning_t *planning, uint32_t number)
{
	const placement_node_t *node = &planning->nodes[number];
	const placement_range_t *range = &planning->ranges[number];

	return node->first_layer == node->end_layer &&
	       range->first_layer == range->end_layer;
}

/*
 * Returns the member without layers that fits "wanted" layers with the least
 * to spare, or the largest where none does; -1: there is none.
 */
static int32_t find_spare(const planning_t *planning, const group_t *group,
			  uint32_t wanted, uint32_t *fit)
{
	int32_t best = -1;
	bool best_enough = false;
	double best_mb = 0;

	for (uint32_t i = 0; i < group->count; i++) {
		uint32_t number = group->members[i];
		double size_mb = planning->nodes[number].size_mb;
		uint32_t layers = placement_layers_that_fit(
			planning->engine, size_mb, TOKENS_MIN);
		bool enough = layers >= wanted;

		if (!is_spare(planning, number) || layers == 0 ||
		    (best_enough && !enough))
			continue;
		if (best >= 0 && enough == best_enough &&
		    (enough ? size_mb >= best_mb : size_mb <= best_mb))
			continue;
		best = (int32_t)number;
		best_enough = enough;
		best_mb = size_mb;
		*fit = layers;
	}
	return best;
}

static void fill_group(planning_t *planning, group_t *group)
{
	placement_range_t gap = { 0 };
	uint32_t at = 0;

	while (next_gap(planning, group, at, &gap)) {
		uint32_t wanted = gap.end_layer - gap.first_layer;
		uint32_t fit = 0;
		int32_t spare = find_spare(planning, group, wanted, &fit);

		if (spare < 0) {
			planning->all_whole = false;
			return;
		}
		at = gap.first_layer + MIN(fit, wanted);
		planning->ranges[spare].first_layer = gap.first_layer;
		planning->ranges[spare].end_layer = at;
	}
}

/*
 * Gives the layers that a group lacks to members that hold none; no other
 * member is moved.  Returns whether every group is whole then.
 */
bool placement_fill_gaps(const engine_model_t *engine,
			 const placement_node_t *nodes, uint32_t count,
			 placement_range_t *ranges)
{
	planning_t planning = { .engine = engine,
				.nodes = nodes,
				.ranges = ranges,
				.all_whole = true };

	each_group(&planning, count, fill_group);
	return planning.all_whole;
}
