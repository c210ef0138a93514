/*
 * Finds the chain of least expected time: dynamic programming over the layer
 * ranges in order of their first layer (Bellman 1957).  Of each range only
 * the best candidates of each failure domain are looked at, so that the cost
 * grows with the number of ranges and failure domains, and not with the
 * number of endpoints.
 */
#include "wisteria/route/chain.h"

#include <string.h>

#include <glib.h>

#include "wisteria/base/table.h"
#include "wisteria/route/group.h"
#include "wisteria/route/links.h"

/* Candidates that are looked at for one range, over all its groups. */
#define CANDIDATES_WANTED 12
#define CANDIDATES_PER_GROUP_MIN 2

/* Frees the working memory. */
void chain_finish(chain_t *chain)
{
	g_free(chain->nodes);
	g_free(chain->spans);
	*chain = (chain_t){ 0 };
}

static void reserve(chain_t *chain, uint32_t range_count)
{
	if (range_count <= chain->range_capacity)
		return;
	chain->range_capacity = range_count;
	chain->nodes = g_renew(chain_node_t, chain->nodes,
			       (size_t)range_count * CHAIN_CANDIDATES_MAX);
	chain->spans = g_renew(chain_span_t, chain->spans, range_count);
}

static bool is_avoided(const route_request_t *request, const char *name)
{
	for (size_t i = 0; i < request->avoid_count; i++)
		if (strcmp(request->avoid[i], name) == 0)
			return true;
	return false;
}

/* Writes up to "wanted" nodes of one group and returns their number. */
static size_t group_candidates(const chain_search_t *search,
			       const group_t *group, size_t wanted,
			       chain_node_t *nodes)
{
	group_entry_t best[GROUP_BEST_MAX];
	const size_t found =
		group_best(group, wanted + search->request->avoid_count, best);
	size_t count = 0;

	for (size_t i = 0; i < found && count < wanted; i++) {
		const candidate_t *candidate =
			table_get(search->candidates, best[i].candidate);

		if (is_avoided(search->request, candidate->name))
			continue;
		nodes[count++] = (chain_node_t){
			.candidate = candidate,
			.wait_ms = best[i].key,
		};
	}
	return count;
}

/*
 * Writes the candidates of "range" that a choice looks at and returns their
 * number: the best few of each failure domain.
 */
size_t chain_candidates(const chain_search_t *search, const range_t *range,
			chain_node_t nodes[CHAIN_CANDIDATES_MAX])
{
	const size_t wanted =
		MAX(CANDIDATES_PER_GROUP_MIN,
		    CANDIDATES_WANTED / MAX(range->group_count, 1));
	size_t count = 0;

	for (uint32_t i = 0; i < range->group_count; i++) {
		const size_t room = CHAIN_CANDIDATES_MAX - count;

		count += group_candidates(search, &range->groups[i],
					  MIN(wanted, room), &nodes[count]);
	}
	return count;
}

static void extend(chain_t *chain, const chain_search_t *search, int before,
		   chain_node_t *node)
{
	const chain_node_t *from = &chain->nodes[before];
	double total_ms;

	if (from->before == -2 || from->hops == ROUTER_HOPS_MAX)
		return;
	total_ms = from->total_ms + node->wait_ms +
		   links_time(search->links, &from->candidate->end,
			      &node->candidate->end);
	if (node->before != -2 && total_ms >= node->total_ms)
		return;
	node->total_ms = total_ms;
	node->before = before;
	node->hops = from->hops + 1;
}

static void begin(const chain_search_t *search, chain_node_t *node)
{
	node->before = -1;
	node->hops = 1;
	node->total_ms =
		node->wait_ms + links_time(search->links, &search->entry,
					   &node->candidate->end);
}

static void reach(chain_t *chain, const chain_search_t *search,
		  const range_t *range, chain_node_t *node)
{
	node->before = -2;
	if (range->first_layer == 0) {
		begin(search, node);
		return;
	}
	for (uint32_t i = 0; i < range->before_count; i++) {
		const chain_span_t *span = &chain->spans[range->before[i]];

		for (uint32_t j = 0; j < span->count; j++)
			extend(chain, search, (int)(span->first + j), node);
	}
}

/*
 * Returns the last node of the best chain, or -1 where none is free from
 * layer 0 to the end.
 */
int chain_find(chain_t *chain, const chain_search_t *search)
{
	const target_t *target = search->target;
	int best = -1;

	reserve(chain, target->range_count);
	chain->node_count = 0;
	for (uint32_t i = 0; i < target->range_count; i++) {
		const range_t *range = &target->ranges[i];
		chain_span_t *span = &chain->spans[i];

		span->first = chain->node_count;
		span->count = (uint32_t)chain_candidates(
			search, range, &chain->nodes[span->first]);
		chain->node_count += span->count;
		for (uint32_t j = 0; j < span->count; j++) {
			const int at = (int)(span->first + j);
			chain_node_t *node = &chain->nodes[at];

			reach(chain, search, range, node);
			if (node->before == -2 ||
			    range->end_layer != search->request->layers)
				continue;
			if (best < 0 ||
			    node->total_ms < chain->nodes[best].total_ms)
				best = at;
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
	hop->expected_wait_ms = node->wait_ms;
}

/* Writes the chain that ends with node "last", its hops in layer order. */
void chain_write(const chain_t *chain, int last, route_choice_t *choice)
{
	choice->hop_count = chain->nodes[last].hops;
	choice->expected_ms = chain->nodes[last].total_ms;
	for (size_t hop = choice->hop_count; hop-- > 0;) {
		chain_write_hop(&chain->nodes[last], &choice->hops[hop]);
		last = chain->nodes[last].before;
	}
}
