/*
 * Choice of the endpoints that run the layers of one request, each layer once
 * and in order: a shortest path over layer boundaries.  A part may begin
 * inside the range that its endpoint holds, so that endpoints of different
 * plans can serve one request together.  No clock, no I/O.
 */
#include "wisteria/fleet/pipeline.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#define LAYERS_MAX 1024
/* How much dearer a stage becomes as its memory fills up. */
#define FILL_WEIGHT 2.0

/* The cheapest way to have run the layers before a boundary. */
typedef struct {
	double cost;
	int32_t stage; /* the last part; -1: none */
	uint32_t from; /* where it begins */
	uint32_t hops;
	uint32_t previous_domain;
} node_t;

typedef struct {
	const pipeline_stage_t *stages;
	uint32_t count;
	const pipeline_query_t *query;
	bool whole_ranges; /* parts end only where their range ends */
	bool is_boundary[LAYERS_MAX + 1];
	node_t nodes[LAYERS_MAX + 1][PIPELINE_DOMAINS_MAX];
} search_t;

static bool has_room(const pipeline_stage_t *stage,
		     const pipeline_query_t *query)
{
	return stage->used_tokens + query->request_tokens <=
	       stage->token_capacity;
}

static double part_cost(const search_t *search, const pipeline_stage_t *stage,
			uint32_t layers)
{
	double fill = stage->token_capacity > 0
			      ? stage->used_tokens / stage->token_capacity
			      : 1;

	return (layers * stage->layer_ms + search->query->hop_ms) *
	       stage->pace * (1 + FILL_WEIGHT * fill * fill);
}

static double crossing_cost(const search_t *search, uint32_t from,
			    uint32_t domain, const pipeline_stage_t *stage)
{
	if (domain == stage->domain)
		return 0;
	if (from == 0)
		return search->query->entry_cross_ms;
	return search->query->stays_in_domain ? INFINITY
					      : search->query->cross_ms;
}

static void extend(search_t *search, uint32_t from, uint32_t domain,
		   uint32_t number)
{
	const pipeline_stage_t *stage = &search->stages[number];
	const node_t *node = &search->nodes[from][domain];
	double base;

	base = node->cost + crossing_cost(search, from, domain, stage);
	for (uint32_t to = from + 1; to <= stage->end_layer; to++) {
		node_t *next = &search->nodes[to][stage->domain];
		double cost;

		if (!search->is_boundary[to] ||
		    (search->whole_ranges && to != stage->end_layer))
			continue;
		cost = base + part_cost(search, stage, to - from);
		if (cost >= next->cost)
			continue;
		*next = (node_t){
			.cost = cost,
			.stage = (int32_t)number,
			.from = from,
			.hops = node->hops + 1,
			.previous_domain = domain,
		};
	}
}

static void expand(search_t *search, uint32_t from)
{
	for (uint32_t domain = 0; domain < PIPELINE_DOMAINS_MAX; domain++) {
		const node_t *node = &search->nodes[from][domain];

		if (isinf(node->cost) || node->hops >= PIPELINE_HOPS_MAX)
			continue;
		for (uint32_t i = 0; i < search->count; i++) {
			const pipeline_stage_t *stage = &search->stages[i];

			if (stage->excluded || stage->first_layer > from ||
			    stage->end_layer <= from ||
			    (int32_t)i == node->stage ||
			    !has_room(stage, search->query))
				continue;
			extend(search, from, domain, i);
		}
	}
}

static void prepare(search_t *search)
{
	const pipeline_query_t *query = search->query;

	memset(search->is_boundary, 0, sizeof(search->is_boundary));
	search->is_boundary[query->layers] = true;
	for (uint32_t i = 0; i < search->count; i++) {
		const pipeline_stage_t *stage = &search->stages[i];

		if (stage->first_layer <= query->layers)
			search->is_boundary[stage->first_layer] = true;
		if (stage->end_layer <= query->layers)
			search->is_boundary[stage->end_layer] = true;
	}
	for (uint32_t at = 0; at <= query->layers; at++)
		for (uint32_t i = 0; i < PIPELINE_DOMAINS_MAX; i++)
			search->nodes[at][i] =
				(node_t){ .cost = INFINITY, .stage = -1 };
	search->nodes[0][query->entry_domain].cost = 0;
}

static bool uses_twice(const pipeline_t *pipeline)
{
	for (uint32_t i = 0; i < pipeline->count; i++)
		for (uint32_t j = i + 1; j < pipeline->count; j++)
			if (pipeline->hops[i].stage == pipeline->hops[j].stage)
				return true;
	return false;
}

/* Follows the cheapest nodes back from the last layer. */
static bool collect(const search_t *search, pipeline_t *pipeline)
{
	uint32_t at = search->query->layers;
	uint32_t domain = 0;

	for (uint32_t i = 1; i < PIPELINE_DOMAINS_MAX; i++)
		if (search->nodes[at][i].cost < search->nodes[at][domain].cost)
			domain = i;
	pipeline->cost_ms = search->nodes[at][domain].cost;
	if (isinf(pipeline->cost_ms))
		return false;
	pipeline->count = search->nodes[at][domain].hops;
	for (uint32_t i = pipeline->count; i-- > 0;) {
		const node_t *node = &search->nodes[at][domain];

		pipeline->hops[i] = (pipeline_hop_t){
			.stage = (uint32_t)node->stage,
			.first_layer = node->from,
			.end_layer = at,
		};
		at = node->from;
		domain = node->previous_domain;
	}
	return !uses_twice(pipeline);
}

static bool run(search_t *search, pipeline_t *pipeline)
{
	prepare(search);
	for (uint32_t at = 0; at < search->query->layers; at++)
		if (search->is_boundary[at])
			expand(search, at);
	return collect(search, pipeline);
}

static bool layers_are_held(const pipeline_stage_t *stages, uint32_t count,
			    uint32_t layers)
{
	uint32_t at = 0;

	while (at < layers) {
		uint32_t best = at;

		for (uint32_t i = 0; i < count; i++)
			if (!stages[i].excluded && stages[i].first_layer <= at)
				best = MAX(best, stages[i].end_layer);
		if (best == at)
			return false;
		at = best;
	}
	return true;
}

/*
 * Chooses the cheapest pipeline among "count" stages.  Stages without room
 * for the request, and excluded ones, are not used.
 */
pipeline_result_t pipeline_choose(const pipeline_stage_t *stages,
				  uint32_t count, const pipeline_query_t *query,
				  pipeline_t *pipeline)
{
	search_t *search;
	bool found;

	pipeline->count = 0;
	if (query->layers == 0 || query->layers > LAYERS_MAX ||
	    !layers_are_held(stages, count, query->layers))
		return PIPELINE_NO_LAYERS;
	search = g_new(search_t, 1);
	search->stages = stages;
	search->count = count;
	search->query = query;
	search->whole_ranges = false;
	found = run(search, pipeline);
	if (!found && pipeline->count > 0) {
		/* A range left and entered again: whole ranges cannot be. */
		search->whole_ranges = true;
		found = run(search, pipeline);
	}
	g_free(search);
	if (found)
		return PIPELINE_FOUND;
	pipeline->count = 0;
	return PIPELINE_NO_MEMORY;
}
