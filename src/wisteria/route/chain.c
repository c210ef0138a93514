/*
 * Finds the chain of least expected time: dynamic programming over the layer
 * ranges in order of their first layer (Bellman 1957).  Of each range only
 * the best candidates of each failure domain are looked at, so that the cost
 * grows with the number of ranges and failure domains, and not with the
 * number of endpoints.
 */
#include "wisteria/route/chain.h"

#include <math.h>
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

static size_t wanted_per_group(const range_t *range)
{
	return MAX(CANDIDATES_PER_GROUP_MIN,
		   CANDIDATES_WANTED / MAX(range->group_count, 1));
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
			.end = candidate->end,
			.exceptions = links_has_exceptions(search->links,
							   &candidate->end),
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

/* The best way to reach a failure domain from the nodes of earlier ranges. */
typedef struct {
	double total_ms;
	int before;
	bool exceptions; /* some nodes' links must be looked at one by one */
} arrival_t;

/*
 * Looks for the best way into "domain" over the nodes whose links go by
 * failure domain alone.
 */
static arrival_t arrive(const chain_t *chain, const chain_search_t *search,
			const range_t *range, uint32_t domain)
{
	arrival_t arrival = { INFINITY, CHAIN_FROM_ENTRY, false };

	if (range->first_layer == 0) {
		arrival.total_ms = links_domain_time(
			search->links, search->entry.domain, domain);
		return arrival;
	}
	for (uint32_t i = 0; i < range->before_count; i++) {
		const chain_span_t *span = &chain->spans[range->before[i]];

		arrival.exceptions |= span->exceptions;
		for (uint32_t j = 0; j < span->count; j++) {
			const uint32_t at = span->first + j;
			const chain_node_t *from = &chain->nodes[at];
			double total_ms;

			if (from->exceptions)
				continue;
			total_ms = from->total_ms +
				   links_domain_time(search->links,
						     from->end.domain, domain);
			if (total_ms >= arrival.total_ms)
				continue;
			arrival.total_ms = total_ms;
			arrival.before = (int)at;
		}
	}
	return arrival;
}

/* Looks at the nodes from which some links have times of their own. */
static void arrive_by_exceptions(const chain_t *chain,
				 const chain_search_t *search,
				 const range_t *range, const link_end_t *to,
				 arrival_t *arrival)
{
	for (uint32_t i = 0; i < range->before_count; i++) {
		const chain_span_t *span = &chain->spans[range->before[i]];

		for (uint32_t j = 0; span->exceptions && j < span->count; j++) {
			const uint32_t at = span->first + j;
			const chain_node_t *from = &chain->nodes[at];
			double total_ms;

			if (!from->exceptions)
				continue;
			total_ms = from->total_ms +
				   links_time(search->links, &from->end, to);
			if (total_ms >= arrival->total_ms)
				continue;
			arrival->total_ms = total_ms;
			arrival->before = (int)at;
		}
	}
}

static void reach(const chain_t *chain, const chain_search_t *search,
		  const range_t *range, arrival_t arrival, chain_node_t *node)
{
	if (arrival.exceptions)
		arrive_by_exceptions(chain, search, range, &node->end,
				     &arrival);
	node->before = arrival.before;
	node->total_ms = arrival.total_ms + node->wait_ms;
	node->hops = arrival.before == CHAIN_FROM_ENTRY
			     ? 1
			     : chain->nodes[arrival.before].hops + 1;
	if (node->hops > ROUTER_HOPS_MAX)
		node->total_ms = INFINITY;
}

/* Works out the nodes of one range. */
static void reach_range(chain_t *chain, const chain_search_t *search,
			uint32_t range_index)
{
	const range_t *range = &search->target->ranges[range_index];
	const size_t wanted = wanted_per_group(range);
	chain_span_t *span = &chain->spans[range_index];

	*span = (chain_span_t){ .first = chain->node_count };
	for (uint32_t i = 0; i < range->group_count; i++) {
		const group_t *group = &range->groups[i];
		const size_t room = CHAIN_CANDIDATES_MAX - span->count;
		chain_node_t *nodes = &chain->nodes[chain->node_count];
		const size_t count = group_candidates(search, group,
						      MIN(wanted, room), nodes);
		arrival_t arrival;

		if (count == 0)
			continue;
		arrival = arrive(chain, search, range, group->domain);
		for (size_t j = 0; j < count; j++) {
			reach(chain, search, range, arrival, &nodes[j]);
			span->exceptions |= nodes[j].exceptions;
		}
		span->count += (uint32_t)count;
		chain->node_count += (uint32_t)count;
	}
}

/*
 * Returns the last node of the best chain, or -1 where none is free from
 * layer 0 to the end.
 */
int chain_find(chain_t *chain, const chain_search_t *search)
{
	const target_t *target = search->target;
	double least_ms = INFINITY;
	int best = -1;

	reserve(chain, target->range_count);
	chain->node_count = 0;
	for (uint32_t i = 0; i < target->range_count; i++) {
		const chain_span_t *span = &chain->spans[i];

		reach_range(chain, search, i);
		if (target->ranges[i].end_layer != search->request->layers)
			continue;
		for (uint32_t j = 0; j < span->count; j++) {
			const uint32_t at = span->first + j;

			if (chain->nodes[at].total_ms >= least_ms)
				continue;
			least_ms = chain->nodes[at].total_ms;
			best = (int)at;
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
