/*
 * Chooses the endpoints that run the layers of one request, each layer once
 * and in order: a shortest path over layer boundaries.  A hop may run a part of
 * the range that its endpoint holds, so that endpoints with overlapping ranges
 * from different placement plans can serve one request together.  Uses no
 * clock and does no I/O.
 */
#include "wisteria/fleet/pipeline.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "wisteria/fleet/registry_defs.h"

/* A stage with full memory costs 1 + this times as much as an empty one. */
#define MEMORY_FILL_WEIGHT 2.0

/* The cheapest path that runs all layers before a boundary. */
typedef struct {
	double cost;
	int32_t stage;	/* of the last hop; -1: none */
	uint32_t start; /* boundary where the last hop starts */
	uint32_t hops;
	uint32_t previous_domain;
} node_t;

typedef struct {
	const pipeline_stage_t *stages;
	uint32_t count;
	const pipeline_query_t *query;
	bool full_ranges; /* hops end only where the stage's range ends */
	bool is_boundary[ENDPOINT_LAYERS_MAX + 1];
	node_t nodes[ENDPOINT_LAYERS_MAX + 1][PIPELINE_DOMAINS_MAX];
} search_t;

static bool has_room(const pipeline_stage_t *stage,
		     const pipeline_query_t *query)
{
	return stage->used_tokens + query->request_tokens <=
	       stage->token_capacity;
}

static double hop_cost(const search_t *search, const pipeline_stage_t *stage,
		       uint32_t layers)
{
	double fill = stage->token_capacity > 0
			      ? stage->used_tokens / stage->token_capacity
			      : 1;

	return (layers * stage->layer_ms + search->query->hop_ms) *
	       stage->pace * (1 + MEMORY_FILL_WEIGHT * fill * fill);
}

static double crossing_cost(const search_t *search, uint32_t start,
			    uint32_t domain, const pipeline_stage_t *stage)
{
	if (domain == stage->domain)
		return 0;
	if (start == 0)
		return search->query->entry_cross_ms;
	return search->query->stays_in_domain ? INFINITY
					      : search->query->cross_ms;
}

static void relax_stage(search_t *search, uint32_t start, uint32_t domain,
			uint32_t stage_index)
{
	const pipeline_stage_t *stage = &search->stages[stage_index];
	const node_t *node = &search->nodes[start][domain];
	const uint32_t end = MIN(stage->end_layer, search->query->layers);
	double base;

	base = node->cost + crossing_cost(search, start, domain, stage);
	for (uint32_t to = start + 1; to <= end; to++) {
		node_t *next = &search->nodes[to][stage->domain];
		double cost;

		if (!search->is_boundary[to] ||
		    (search->full_ranges && to != end))
			continue;
		cost = base + hop_cost(search, stage, to - start);
		if (cost >= next->cost)
			continue;
		*next = (node_t){
			.cost = cost,
			.stage = (int32_t)stage_index,
			.start = start,
			.hops = node->hops + 1,
			.previous_domain = domain,
		};
	}
}

static void relax_boundary(search_t *search, uint32_t start)
{
	for (uint32_t domain = 0; domain < PIPELINE_DOMAINS_MAX; domain++) {
		const node_t *node = &search->nodes[start][domain];

		if (isinf(node->cost) || node->hops >= PIPELINE_HOPS_MAX)
			continue;
		for (uint32_t i = 0; i < search->count; i++) {
			const pipeline_stage_t *stage = &search->stages[i];

			if (stage->excluded || stage->first_layer > start ||
			    (start == 0 && stage->not_first) ||
			    stage->end_layer <= start ||
			    (int32_t)i == node->stage ||
			    !has_room(stage, search->query))
				continue;
			relax_stage(search, start, domain, i);
		}
	}
}

static void init_search(search_t *search)
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
	for (uint32_t boundary = 0; boundary <= query->layers; boundary++)
		for (uint32_t i = 0; i < PIPELINE_DOMAINS_MAX; i++)
			search->nodes[boundary][i] =
				(node_t){ .cost = INFINITY, .stage = -1 };
	search->nodes[0][query->entry_domain].cost = 0;
}

static bool repeats_stage(const pipeline_t *pipeline)
{
	for (uint32_t i = 0; i < pipeline->count; i++)
		for (uint32_t j = i + 1; j < pipeline->count; j++)
			if (pipeline->hops[i].stage == pipeline->hops[j].stage)
				return true;
	return false;
}

/*
 * Follows the cheapest nodes back from the last layer and fills "pipeline".
 * Returns false if there is no path or it uses a stage twice; in the second
 * case pipeline->count is over 0.
 */
static bool trace_back(const search_t *search, pipeline_t *pipeline)
{
	uint32_t boundary = search->query->layers;
	uint32_t domain = 0;

	for (uint32_t i = 1; i < PIPELINE_DOMAINS_MAX; i++)
		if (search->nodes[boundary][i].cost <
		    search->nodes[boundary][domain].cost)
			domain = i;
	pipeline->cost_ms = search->nodes[boundary][domain].cost;
	if (isinf(pipeline->cost_ms))
		return false;
	pipeline->count = search->nodes[boundary][domain].hops;
	for (uint32_t i = pipeline->count; i-- > 0;) {
		const node_t *node = &search->nodes[boundary][domain];

		pipeline->hops[i] = (pipeline_hop_t){
			.stage = (uint32_t)node->stage,
			.first_layer = node->start,
			.end_layer = boundary,
		};
		boundary = node->start;
		domain = node->previous_domain;
	}
	return !repeats_stage(pipeline);
}

static bool run_search(search_t *search, pipeline_t *pipeline)
{
	init_search(search);
	for (uint32_t boundary = 0; boundary < search->query->layers;
	     boundary++)
		if (search->is_boundary[boundary])
			relax_boundary(search, boundary);
	return trace_back(search, pipeline);
}

static bool all_layers_held(const pipeline_stage_t *stages, uint32_t count,
			    uint32_t layers)
{
	uint32_t boundary = 0;

	while (boundary < layers) {
		uint32_t best = boundary;

		for (uint32_t i = 0; i < count; i++)
			if (!stages[i].excluded &&
			    stages[i].first_layer <= boundary)
				best = MAX(best, stages[i].end_layer);
		if (best == boundary)
			return false;
		boundary = best;
	}
	return true;
}

/*
 * Finds the cheapest pipeline over "count" stages.  Skips excluded stages and
 * those without memory for the request.  If the cheapest path uses a stage
 * twice, finds the cheapest one whose hops run to the end of their ranges.
 */
pipeline_result_t pipeline_choose(const pipeline_stage_t *stages,
				  uint32_t count, const pipeline_query_t *query,
				  pipeline_t *pipeline)
{
	search_t *search;
	bool found;

	pipeline->count = 0;
	if (query->layers == 0 || query->layers > ENDPOINT_LAYERS_MAX ||
	    !all_layers_held(stages, count, query->layers))
		return PIPELINE_NO_LAYERS;
	search = g_new(search_t, 1);
	search->stages = stages;
	search->count = count;
	search->query = query;
	search->full_ranges = false;
	found = run_search(search, pipeline);
	if (!found && pipeline->count > 0) {
		/*
		 * The path uses a stage twice.  That cannot happen if each hop
		 * runs to the end of its stage's range.
		 */
		search->full_ranges = true;
		found = run_search(search, pipeline);
	}
	g_free(search);
	if (found)
		return PIPELINE_FOUND;
	pipeline->count = 0;
	return PIPELINE_NO_MEMORY;
}
