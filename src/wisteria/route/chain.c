/*
 * Finds the chain with the least expected time by dynamic programming over
 * the layer ranges, in order of their first layer (Bellman 1957).  Only the
 * best candidates of each failure domain, CHAIN_CANDIDATES_MAX in all, are
 * considered in a range, so the cost grows with the number of ranges and
 * failure domains, not with the number of endpoints.
 *
 * Only the fastest predecessor of each node is kept.  If the chain over it
 * has more than ROUTER_HOPS_MAX hops, a slower one with fewer hops may not be
 * found.
 */
#include "wisteria/route/chain.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "wisteria/base/table.h"
#include "wisteria/route/group.h"
#include "wisteria/route/links.h"

/*
 * Intended number of candidates considered in one range, divided among its
 * groups; more if each group gets only its minimum.
 */
#define CANDIDATES_PER_RANGE 12
#define CANDIDATES_PER_GROUP_MIN 2

/* Frees the working memory. */
void chain_workspace_finish(chain_workspace_t *workspace)
{
	g_free(workspace->nodes);
	g_free(workspace->spans);
	*workspace = (chain_workspace_t){ 0 };
}

static void reserve(chain_workspace_t *workspace, uint32_t range_count)
{
	if (range_count <= workspace->range_capacity)
		return;
	workspace->range_capacity = range_count;
	workspace->nodes = g_renew(chain_node_t, workspace->nodes,
				   (size_t)range_count * CHAIN_CANDIDATES_MAX);
	workspace->spans = g_renew(chain_span_t, workspace->spans, range_count);
}

static bool is_avoided(const route_request_t *request, const char *name)
{
	for (size_t i = 0; i < request->avoid_count; i++)
		if (strcmp(request->avoid[i], name) == 0)
			return true;
	return false;
}

static size_t candidates_per_group(const range_t *range)
{
	return MAX(CANDIDATES_PER_GROUP_MIN,
		   CANDIDATES_PER_RANGE / MAX(range->group_count, 1));
}

/*
 * Writes up to "limit" nodes of one group and returns their number.  Requests
 * one more entry for each endpoint to be avoided, which is skipped.
 */
static size_t group_candidates(const chain_search_t *search,
			       const group_t *group, size_t limit,
			       chain_node_t *nodes)
{
	group_entry_t best[GROUP_BEST_MAX];
	const size_t found =
		group_best(group, limit + search->request->avoid_count, best);
	size_t count = 0;

	for (size_t i = 0; i < found && count < limit; i++) {
		const candidate_t *candidate =
			table_get(search->candidates, best[i].candidate);

		if (is_avoided(search->request, candidate->name))
			continue;
		nodes[count++] = (chain_node_t){
			.candidate = candidate,
			.link_end = candidate->link_end,
			.has_exceptions = links_has_exceptions(
				search->links, &candidate->link_end),
			.expected_step_ms = best[i].key,
		};
	}
	return count;
}

/*
 * Writes the candidates of "range" from which the replacement of a hop is
 * chosen, the best few of each failure domain, up to CHAIN_CANDIDATES_MAX in
 * all, and returns their number.  Doesn't set the members "total_ms",
 * "previous" and "hops".
 */
size_t chain_candidates(const chain_search_t *search, const range_t *range,
			chain_node_t nodes[CHAIN_CANDIDATES_MAX])
{
	const size_t limit =
		MAX(CANDIDATES_PER_GROUP_MIN,
		    CANDIDATES_PER_RANGE / MAX(range->group_count, 1));
	size_t count = 0;

	for (uint32_t i = 0; i < range->group_count; i++) {
		const size_t remaining = CHAIN_CANDIDATES_MAX - count;

		count += group_candidates(search, &range->groups[i],
					  MIN(limit, remaining), &nodes[count]);
	}
	return count;
}

/* The best predecessor for the nodes of one failure domain. */
typedef struct {
	double total_ms;     /* of one token, up to the end of the link */
	int previous;	     /* index of a node, or CHAIN_FROM_ENTRY */
	bool has_exceptions; /* of a previous node; see consider_exceptions() */
} best_link_t;

/*
 * Returns the best predecessor for a node in "domain": the entry for a range
 * that begins at layer 0, else the best of the nodes whose link times depend
 * only on the failure domains.
 */
static best_link_t find_best_link(const chain_workspace_t *workspace,
				  const chain_search_t *search,
				  const range_t *range, uint32_t domain)
{
	best_link_t best_link = { INFINITY, CHAIN_FROM_ENTRY, false };

	if (range->first_layer == 0) {
		best_link.total_ms = links_domain_time(
			search->links, search->entry.domain, domain);
		return best_link;
	}
	for (uint32_t i = 0; i < range->previous_count; i++) {
		const chain_span_t *span =
			&workspace->spans[range->previous[i]];

		best_link.has_exceptions |= span->has_exceptions;
		for (uint32_t j = 0; j < span->count; j++) {
			const uint32_t index = span->first + j;
			const chain_node_t *from = &workspace->nodes[index];
			double total_ms;

			if (from->has_exceptions)
				continue;
			total_ms = from->total_ms +
				   links_domain_time(search->links,
						     from->link_end.domain,
						     domain);
			if (total_ms >= best_link.total_ms)
				continue;
			best_link.total_ms = total_ms;
			best_link.previous = (int)index;
		}
	}
	return best_link;
}

/*
 * Updates "best_link" with the predecessors that find_best_link() skipped:
 * those with an exception, a link from them whose time is stored for the two
 * instances (see links_t).
 */
static void consider_exceptions(const chain_workspace_t *workspace,
				const chain_search_t *search,
				const range_t *range, const link_end_t *to,
				best_link_t *best_link)
{
	for (uint32_t i = 0; i < range->previous_count; i++) {
		const chain_span_t *span =
			&workspace->spans[range->previous[i]];

		for (uint32_t j = 0; span->has_exceptions && j < span->count;
		     j++) {
			const uint32_t index = span->first + j;
			const chain_node_t *from = &workspace->nodes[index];
			double total_ms;

			if (!from->has_exceptions)
				continue;
			total_ms =
				from->total_ms +
				links_time(search->links, &from->link_end, to);
			if (total_ms >= best_link->total_ms)
				continue;
			best_link->total_ms = total_ms;
			best_link->previous = (int)index;
		}
	}
}

/*
 * Completes a node whose candidate and expected step time are set.  A chain of
 * more than ROUTER_HOPS_MAX hops gets an infinite time.
 */
static void complete_node(const chain_workspace_t *workspace,
			  const chain_search_t *search, const range_t *range,
			  best_link_t best_link, chain_node_t *node)
{
	if (best_link.has_exceptions)
		consider_exceptions(workspace, search, range, &node->link_end,
				    &best_link);
	node->previous = best_link.previous;
	node->total_ms = best_link.total_ms + node->expected_step_ms;
	node->hops = best_link.previous == CHAIN_FROM_ENTRY
			     ? 1
			     : workspace->nodes[best_link.previous].hops + 1;
	if (node->hops > ROUTER_HOPS_MAX)
		node->total_ms = INFINITY;
}

/* Adds the nodes of one range, with their best predecessors. */
static void add_range_nodes(chain_workspace_t *workspace,
			    const chain_search_t *search, uint32_t range_index)
{
	const range_t *range = &search->target->ranges[range_index];
	const size_t limit = candidates_per_group(range);
	chain_span_t *span = &workspace->spans[range_index];

	*span = (chain_span_t){ .first = workspace->node_count };
	for (uint32_t i = 0; i < range->group_count; i++) {
		const group_t *group = &range->groups[i];
		const size_t remaining = CHAIN_CANDIDATES_MAX - span->count;
		chain_node_t *nodes = &workspace->nodes[workspace->node_count];
		const size_t count = group_candidates(
			search, group, MIN(limit, remaining), nodes);
		best_link_t best_link;

		if (count == 0)
			continue;
		best_link =
			find_best_link(workspace, search, range, group->domain);
		for (size_t j = 0; j < count; j++) {
			complete_node(workspace, search, range, best_link,
				      &nodes[j]);
			span->has_exceptions |= nodes[j].has_exceptions;
		}
		span->count += (uint32_t)count;
		workspace->node_count += (uint32_t)count;
	}
}

/*
 * Returns the index of the last node of the best chain found, or -1 if none
 * was found: no chain of free candidates that needn't be avoided covers layers
 * [0, layers), or those found have more than ROUTER_HOPS_MAX hops.
 */
int chain_find(chain_workspace_t *workspace, const chain_search_t *search)
{
	const target_t *target = search->target;
	double least_ms = INFINITY;
	int best = -1;

	reserve(workspace, target->range_count);
	workspace->node_count = 0;
	for (uint32_t i = 0; i < target->range_count; i++) {
		const chain_span_t *span = &workspace->spans[i];

		add_range_nodes(workspace, search, i);
		if (target->ranges[i].end_layer != search->request->layers)
			continue;
		for (uint32_t j = 0; j < span->count; j++) {
			const uint32_t index = span->first + j;

			if (workspace->nodes[index].total_ms >= least_ms)
				continue;
			least_ms = workspace->nodes[index].total_ms;
			best = (int)index;
		}
	}
	return best;
}

/* Writes one node as a hop. */
void chain_write_hop(const chain_node_t *node, route_hop_t *hop)
{
	const candidate_t *candidate = node->candidate;

	memcpy(hop->endpoint, candidate->name, ROUTER_NAME_BYTES);
	memcpy(hop->instance, candidate->instance, ROUTER_NAME_BYTES);
	memcpy(hop->address, candidate->address, ROUTER_NAME_BYTES);
	hop->incarnation = candidate->incarnation;
	hop->first_layer = candidate->first_layer;
	hop->end_layer = candidate->end_layer;
	hop->expected_step_ms = node->expected_step_ms;
}

/* Writes the chain that ends with node "last", its hops in layer order. */
void chain_write(const chain_workspace_t *workspace, int last,
		 route_choice_t *choice)
{
	choice->hop_count = workspace->nodes[last].hops;
	choice->expected_ms = workspace->nodes[last].total_ms;
	for (size_t hop = choice->hop_count; hop-- > 0;) {
		chain_write_hop(&workspace->nodes[last], &choice->hops[hop]);
		last = workspace->nodes[last].previous;
	}
}
