/*
 * Decides how a running pipeline is repaired: by which endpoints its lost hops
 * are replaced while all other hops keep their layers and their memory.  No
 * clock, no I/O.
 */
#include "wisteria/gateway/pipeline_repair.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "wisteria/fleet/pipeline.h"

/* Adjacent lost hops, which are replaced together. */
typedef struct {
	uint32_t first_hop;
	uint32_t end_hop;
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t hops_max; /* that may replace them */
} gap_t;

/* Which of the stages may replace hops of a gap. */
typedef enum {
	STAGES_OF_DOMAIN, /* those in the domain of the first lost hop */
	STAGES_OF_ALL_DOMAINS
} stage_choice_t;

static bool is_used(const repair_query_t *query,
		    const pipeline_repair_t *repair, const char *endpoint)
{
	for (uint32_t i = 0; i < query->hop_count; i++)
		if (strcmp(query->hops[i].endpoint, endpoint) == 0)
			return true;
	for (uint32_t i = 0; i < repair->count; i++)
		if (repair->hops[i].is_new &&
		    strcmp(query->stage_endpoints[repair->hops[i].index],
			   endpoint) == 0)
			return true;
	return false;
}

/*
 * Returns the stages as if the layers of the gap were all layers; those that
 * hold none of them or are in the path already are excluded.  The caller frees
 * the list.
 */
static pipeline_stage_t *stages_in_gap(const repair_query_t *query,
				       const pipeline_repair_t *repair,
				       const gap_t *gap, stage_choice_t choice)
{
	pipeline_stage_t *stages = g_new(pipeline_stage_t, query->stage_count);

	for (uint32_t i = 0; i < query->stage_count; i++) {
		pipeline_stage_t *stage = &stages[i];
		uint32_t first;
		uint32_t end;

		*stage = query->stages[i];
		first = MAX(stage->first_layer, gap->first_layer);
		end = MIN(stage->end_layer, gap->end_layer);
		/* The first hop of the gap is not the first of the pipeline. */
		stage->not_first = false;
		if (first >= end ||
		    (choice == STAGES_OF_DOMAIN &&
		     stage->domain != query->hops[gap->first_hop].domain) ||
		    is_used(query, repair, query->stage_endpoints[i])) {
			stage->excluded = true;
			first = 0;
			end = 0;
		} else {
			first -= gap->first_layer;
			end -= gap->first_layer;
		}
		stage->first_layer = first;
		stage->end_layer = end;
	}
	return stages;
}

/* Makes each hop cost the same, so that the cheapest path has the fewest. */
static void level_costs(const repair_query_t *query, pipeline_stage_t *stages)
{
	for (uint32_t i = 0; i < query->stage_count; i++) {
		stages[i].excluded |=
			stages[i].used_tokens + query->request_tokens >
			stages[i].token_capacity;
		stages[i].used_tokens = 0;
		stages[i].token_capacity = INFINITY;
		stages[i].layer_ms = 0;
		stages[i].pace = 1;
	}
}

/*
 * Finds the cheapest path over the layers of the gap, or, if that has too many
 * hops, the shortest one.
 */
static bool find_path(const repair_query_t *query,
		      const pipeline_repair_t *repair, const gap_t *gap,
		      stage_choice_t choice, pipeline_t *path)
{
	pipeline_stage_t *stages = stages_in_gap(query, repair, gap, choice);
	pipeline_query_t path_query = {
		.layers = gap->end_layer - gap->first_layer,
		.request_tokens = query->request_tokens,
		.entry_domain = query->hops[gap->first_hop - 1].domain,
		.hop_ms = query->hop_ms,
		.cross_ms = query->cross_ms,
		.entry_cross_ms = query->cross_ms,
	};
	bool found = pipeline_choose(stages, query->stage_count, &path_query,
				     path) == PIPELINE_FOUND;

	if (found && path->count > gap->hops_max) {
		level_costs(query, stages);
		path_query.hop_ms = 1;
		path_query.cross_ms = 0;
		path_query.entry_cross_ms = 0;
		found = pipeline_choose(stages, query->stage_count, &path_query,
					path) == PIPELINE_FOUND &&
			path->count <= gap->hops_max;
	}
	g_free(stages);
	return found;
}

static void append_path(const pipeline_t *path, const gap_t *gap,
			pipeline_repair_t *repair)
{
	for (uint32_t i = 0; i < path->count; i++)
		repair->hops[repair->count++] = (repaired_hop_t){
			.is_new = true,
			.index = path->hops[i].stage,
			.first_layer =
				gap->first_layer + path->hops[i].first_layer,
			.end_layer = gap->first_layer + path->hops[i].end_layer,
		};
	repair->new_layers += gap->end_layer - gap->first_layer;
}

static gap_t gap_at(const repair_query_t *query,
		    const pipeline_repair_t *repair, uint32_t first_hop)
{
	gap_t gap = {
		.first_hop = first_hop,
		.end_hop = first_hop,
		.first_layer = query->hops[first_hop].first_layer,
	};
	uint32_t kept = 0;
	uint32_t gaps_behind = 0;

	while (gap.end_hop < query->hop_count &&
	       query->hops[gap.end_hop].is_lost)
		gap.end_layer = query->hops[gap.end_hop++].end_layer;
	for (uint32_t i = gap.end_hop; i < query->hop_count; i++) {
		kept += !query->hops[i].is_lost;
		gaps_behind +=
			query->hops[i].is_lost && !query->hops[i - 1].is_lost;
	}
	/* Each gap behind needs one hop at least. */
	gap.hops_max = PIPELINE_HOPS_MAX - repair->count - kept - gaps_behind;
	return gap;
}

/*
 * Finds the cheapest replacement of the lost hops: endpoints that are nowhere
 * else in the pipeline, hold the lost layers, have memory for the request and,
 * if possible, are in the failure domain of what they replace.  Gaps are filled
 * one by one, from the first layer on.  Returns false if the first hop is lost,
 * since it holds the connection to the entry, if no hop is, or if there is no
 * replacement.
 */
bool pipeline_repair_plan(const repair_query_t *query,
			  pipeline_repair_t *repair)
{
	uint32_t i = 0;

	memset(repair, 0, sizeof(*repair));
	if (query->hop_count == 0 || query->hop_count > PIPELINE_HOPS_MAX ||
	    query->hops[0].is_lost)
		return false;
	while (i < query->hop_count) {
		pipeline_t path;
		gap_t gap;

		if (!query->hops[i].is_lost) {
			repair->hops[repair->count++] = (repaired_hop_t){
				.index = i,
				.first_layer = query->hops[i].first_layer,
				.end_layer = query->hops[i].end_layer,
			};
			i++;
			continue;
		}
		gap = gap_at(query, repair, i);
		if (!find_path(query, repair, &gap, STAGES_OF_DOMAIN, &path) &&
		    !find_path(query, repair, &gap, STAGES_OF_ALL_DOMAINS,
			       &path))
			return false;
		append_path(&path, &gap, repair);
		i = gap.end_hop;
	}
	return repair->new_layers > 0;
}
