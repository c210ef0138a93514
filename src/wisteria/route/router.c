/*
 * Chooses for each request the chain of endpoints with the least expected
 * time for a token.  The expectation comes from the sessions that this
 * router has started, from load reports, and from learned step and link
 * times.  Pure: no clock, no I/O.
 */
#include "wisteria/route/router.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "wisteria/base/table.h"
#include "wisteria/route/candidate.h"
#include "wisteria/route/chain.h"
#include "wisteria/route/group.h"
#include "wisteria/route/links.h"
#include "wisteria/route/target.h"

/* Step time supposed of a range where no endpoint has reported one. */
#define STEP_DEFAULT_MS 10.0
/* Waits that differ by less than this share count as equal. */
#define NEAR_EQUAL 0.1
/* Candidates whose wait is worked out anew for each choice. */
#define REFRESH_COUNT 4
/* Least time between two refreshes of all candidates. */
#define REFRESH_ALL_MS 100

struct router_t {
	table_t candidates;
	GHashTable *by_name; /* name -> handle_t * */
	GHashTable *targets; /* name -> target_t * */
	links_t links;
	link_end_t entry;
	chain_t chain;
	GRand *random;
	handle_t refreshed; /* where the last refresh ended */
	clock_ms_t now_ms;  /* the latest time heard of */
	clock_ms_t next_pause_end_ms;
	clock_ms_t refreshed_all_ms;
};

/* Returns a router for an entry in the given region and failure domain. */
router_t *router_new(const char *region, const char *failure_domain,
		     uint32_t seed)
{
	router_t *router = g_new0(router_t, 1);

	table_init(&router->candidates, sizeof(candidate_t));
	links_init(&router->links);
	router->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	router->targets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						(GDestroyNotify)target_free);
	router->entry = (link_end_t){
		.domain = links_domain(&router->links, failure_domain, region),
		.instance = LINK_NO_INSTANCE,
	};
	router->random = g_rand_new_with_seed(seed);
	router->next_pause_end_ms = CLOCK_NEVER_MS;
	router->refreshed_all_ms = -REFRESH_ALL_MS;
	return router;
}

/* Frees a router; NULL is ignored. */
void router_free(router_t *router)
{
	if (router == NULL)
		return;
	g_hash_table_destroy(router->by_name);
	g_hash_table_destroy(router->targets);
	links_finish(&router->links);
	chain_finish(&router->chain);
	table_finish(&router->candidates);
	g_rand_free(router->random);
	g_free(router);
}

static candidate_t *find(const router_t *router, const char *endpoint)
{
	const handle_t *handle = g_hash_table_lookup(router->by_name, endpoint);

	return handle != NULL ? table_get(&router->candidates, *handle) : NULL;
}

static candidate_t *find_or_add(router_t *router, const char *endpoint)
{
	candidate_t *known = find(router, endpoint);
	handle_t handle;

	if (known != NULL)
		return known;
	handle = table_add(&router->candidates);
	g_hash_table_insert(router->by_name, g_strdup(endpoint),
			    g_memdup2(&handle, sizeof(handle)));
	return table_get(&router->candidates, handle);
}

static range_t *range_of(const router_t *router, const candidate_t *candidate)
{
	const target_t *target =
		g_hash_table_lookup(router->targets, candidate->target);

	return &target->ranges[candidate->range];
}

static void count_state(range_t *range, candidate_state_t state, int change)
{
	if (state == CANDIDATE_FREE || state == CANDIDATE_FULL)
		range->usable += (uint32_t)change;
	if (state == CANDIDATE_FULL)
		range->full += (uint32_t)change;
	if (state == CANDIDATE_PAUSED)
		range->paused += (uint32_t)change;
}

/* The key of a candidate in its heap: its wait, with ties broken at random. */
static double heap_key(const router_t *router, const range_t *range,
		       const candidate_t *candidate, clock_ms_t now)
{
	const double supposed_ms = range->least_step_ms > 0
					   ? range->least_step_ms
					   : STEP_DEFAULT_MS;
	const double wait_ms = candidate_wait_ms(candidate, supposed_ms, now);

	if (candidate->state != CANDIDATE_FREE)
		return INFINITY;
	return wait_ms * g_rand_double_range(router->random, 1, 1 + NEAR_EQUAL);
}

/* Brings a candidate's state and its place in the heap up to "now". */
static void refresh(router_t *router, candidate_t *candidate, clock_ms_t now)
{
	range_t *range;
	group_t *group;

	if (!candidate->listed)
		return;
	range = range_of(router, candidate);
	group = &range->groups[candidate->group];
	count_state(range, candidate->state, -1);
	candidate->state = candidate_state(candidate, now);
	count_state(range, candidate->state, 1);
	if (candidate->state == CANDIDATE_PAUSED)
		router->next_pause_end_ms = MIN(router->next_pause_end_ms,
						candidate->paused_until_ms);
	group_set_key(group, &router->candidates, candidate->place,
		      heap_key(router, range, candidate, now));
}

/* Refreshes the next few candidates in turn, so that old reports fade. */
static void refresh_some(router_t *router, clock_ms_t now)
{
	for (int i = 0; i < REFRESH_COUNT; i++) {
		candidate_t *candidate;

		router->refreshed =
			table_next(&router->candidates, router->refreshed);
		candidate = table_get(&router->candidates, router->refreshed);
		if (candidate != NULL)
			refresh(router, candidate, now);
	}
}

/* Moves to "now" and takes back the candidates whose pause has ended. */
static void advance(router_t *router, clock_ms_t now)
{
	handle_t handle = { 0, 0 };

	router->now_ms = now;
	if (now < router->next_pause_end_ms)
		return;
	router->next_pause_end_ms = CLOCK_NEVER_MS;
	while (handle = table_next(&router->candidates, handle),
	       !handle_is_null(handle)) {
		candidate_t *candidate = table_get(&router->candidates, handle);

		if (candidate->state == CANDIDATE_PAUSED)
			refresh(router, candidate, now);
	}
}

/*
 * Refreshes all candidates, so that none stays full by an old report; returns
 * false if that was done a moment ago.
 */
static bool refresh_all(router_t *router, clock_ms_t now)
{
	handle_t handle = { 0, 0 };

	if (now - router->refreshed_all_ms < REFRESH_ALL_MS)
		return false;
	router->refreshed_all_ms = now;
	while (handle = table_next(&router->candidates, handle),
	       !handle_is_null(handle))
		refresh(router, table_get(&router->candidates, handle), now);
	return true;
}

static bool is_routable(const msg_endpoint_t *endpoint)
{
	if (endpoint->kind == ENDPOINT_SERVICE)
		return endpoint->first_layer == 0 && endpoint->end_layer == 0;
	return endpoint->first_layer < endpoint->end_layer;
}

static void announce(router_t *router, const msg_endpoint_t *endpoint)
{
	candidate_t *candidate = find_or_add(router, endpoint->name);
	target_t *target =
		g_hash_table_lookup(router->targets, endpoint->target);

	candidate_announced(candidate, endpoint);
	candidate->end.domain = links_domain(
		&router->links, endpoint->failure_domain, endpoint->region);
	candidate->end.instance = links_instance(
		&router->links, endpoint->instance, candidate->end.domain);
	if (target == NULL) {
		target = target_new();
		g_hash_table_insert(router->targets,
				    g_strdup(candidate->target), target);
	}
	target_add_range(target, endpoint->first_layer, endpoint->end_layer);
}

/* Marks all candidates as gone, before the directory is read again. */
static void unlist_all(router_t *router)
{
	handle_t handle = { 0, 0 };

	while (handle = table_next(&router->candidates, handle),
	       !handle_is_null(handle)) {
		candidate_t *candidate = table_get(&router->candidates, handle);

		candidate->listed = false;
		candidate->state = CANDIDATE_CLOSED;
	}
}

/* Drops the gone candidates about which nothing need be remembered. */
static void forget_gone(router_t *router, clock_ms_t now)
{
	handle_t handle = { 0, 0 };

	while (handle = table_next(&router->candidates, handle),
	       !handle_is_null(handle)) {
		const candidate_t *candidate =
			table_get(&router->candidates, handle);

		if (candidate->listed || candidate->own > 0 ||
		    now < candidate->paused_until_ms)
			continue;
		g_hash_table_remove(router->by_name, candidate->name);
		table_remove(&router->candidates, handle);
	}
}

static void learn_least_step(range_t *range, const candidate_t *candidate)
{
	if (candidate->step_ms == 0)
		return;
	if (range->least_step_ms == 0 ||
	    candidate->step_ms < range->least_step_ms)
		range->least_step_ms = candidate->step_ms;
}

/* Puts every listed candidate into the heap of its range and domain. */
static void fill_groups(router_t *router, clock_ms_t now)
{
	handle_t handle = { 0, 0 };

	while (handle = table_next(&router->candidates, handle),
	       !handle_is_null(handle)) {
		candidate_t *candidate = table_get(&router->candidates, handle);
		target_t *target;
		range_t *range;

		if (!candidate->listed)
			continue;
		target =
			g_hash_table_lookup(router->targets, candidate->target);
		range = target_range(target, candidate->first_layer,
				     candidate->end_layer);
		learn_least_step(range, candidate);
		candidate->range = (uint32_t)(range - target->ranges);
		candidate->group = range_group(range, candidate->end.domain);
		group_add(&range->groups[candidate->group], &router->candidates,
			  handle, INFINITY);
		refresh(router, candidate, now);
	}
}

static void connect_target(gpointer name, gpointer target, gpointer unused)
{
	(void)name;
	(void)unused;
	target_connect(target);
}

/*
 * Replaces what the router knows of the directory.  Endpoints that are in it
 * again keep what was learned of them, unless they have a new incarnation.
 */
void router_update(router_t *router, const msg_endpoint_t *endpoints,
		   size_t endpoint_count, const msg_name_t *leaving,
		   size_t leaving_count, clock_ms_t now)
{
	router->now_ms = now;
	unlist_all(router);
	g_hash_table_remove_all(router->targets);
	for (size_t i = 0; i < endpoint_count; i++)
		if (is_routable(&endpoints[i]))
			announce(router, &endpoints[i]);
	for (size_t i = 0; i < leaving_count; i++) {
		candidate_t *candidate = find(router, leaving[i].text);

		if (candidate != NULL)
			candidate->leaving = true;
	}
	forget_gone(router, now);
	g_hash_table_foreach(router->targets, connect_target, NULL);
	fill_groups(router, now);
}

static void count_alternatives(const target_t *target, route_choice_t *choice)
{
	for (uint32_t i = 0; i < target->range_count; i++) {
		choice->alternatives += target->ranges[i].usable;
		choice->full += target->ranges[i].full;
	}
}

static chain_search_t search_for(const router_t *router, const target_t *target,
				 const route_request_t *request)
{
	return (chain_search_t){
		.candidates = &router->candidates,
		.links = &router->links,
		.target = target,
		.request = request,
		.entry = router->entry,
	};
}

/*
 * Chooses a chain that covers layers [0, request->layers) exactly, for a
 * service a single endpoint.  ROUTE_FULL says that chains exist, but that
 * none has a free slot on endpoints that haven't just failed.
 */
route_result_t router_choose(router_t *router, const route_request_t *request,
			     clock_ms_t now, route_choice_t *choice)
{
	const target_t *target =
		g_hash_table_lookup(router->targets, request->target);
	const chain_search_t search = search_for(router, target, request);
	int last;

	choice->hop_count = 0;
	choice->expected_ms = 0;
	choice->alternatives = 0;
	choice->full = 0;
	if (target == NULL)
		return ROUTE_NO_CHAIN;
	advance(router, now);
	refresh_some(router, now);
	count_alternatives(target, choice);
	last = chain_find(&router->chain, &search);
	if (last < 0 && refresh_all(router, now))
		last = chain_find(&router->chain, &search);
	if (last < 0)
		return target_is_covered(target, request->layers)
			       ? ROUTE_FULL
			       : ROUTE_NO_CHAIN;
	chain_write(&router->chain, last, choice);
	return ROUTE_FOUND;
}

/* Returns the expected time of the links next to hop "hop" of "chain". */
static double links_around(const router_t *router, const route_choice_t *chain,
			   size_t hop, const candidate_t *candidate)
{
	const candidate_t *before =
		hop > 0 ? find(router, chain->hops[hop - 1].endpoint) : NULL;
	const candidate_t *after =
		hop + 1 < chain->hop_count
			? find(router, chain->hops[hop + 1].endpoint)
			: NULL;
	const link_end_t *from = before != NULL ? &before->end : &router->entry;
	double ms = links_time(&router->links, from, &candidate->end);

	if (after != NULL)
		ms += links_time(&router->links, &candidate->end, &after->end);
	return ms;
}

/* Writes the candidates for the place of "lost", which is none of them. */
static size_t substitutes(router_t *router, const chain_search_t *search,
			  const range_t *range, const route_hop_t *lost,
			  chain_node_t nodes[CHAIN_CANDIDATES_MAX])
{
	const size_t found = chain_candidates(search, range, nodes);
	size_t count = 0;

	for (size_t i = 0; i < found; i++)
		if (strcmp(nodes[i].candidate->name, lost->endpoint) != 0)
			nodes[count++] = nodes[i];
	if (count == 0 && refresh_all(router, router->now_ms))
		return substitutes(router, search, range, lost, nodes);
	return count;
}

/*
 * Chooses an endpoint that can take the place of hop "lost_hop": one that
 * holds exactly its layers and is none of the chain's own.
 */
route_result_t router_replace(router_t *router, const route_request_t *request,
			      const route_choice_t *chain, size_t lost_hop,
			      clock_ms_t now, route_hop_t *replacement)
{
	const route_hop_t *lost = &chain->hops[lost_hop];
	const target_t *target =
		g_hash_table_lookup(router->targets, request->target);
	const chain_search_t search = search_for(router, target, request);
	chain_node_t nodes[CHAIN_CANDIDATES_MAX];
	const chain_node_t *best = NULL;
	const range_t *range;
	size_t count;

	if (target == NULL)
		return ROUTE_NO_CHAIN;
	range = target_range(target, lost->first_layer, lost->end_layer);
	if (range == NULL)
		return ROUTE_NO_CHAIN;
	advance(router, now);
	count = substitutes(router, &search, range, lost, nodes);
	for (size_t i = 0; i < count; i++) {
		nodes[i].total_ms =
			nodes[i].wait_ms + links_around(router, chain, lost_hop,
							nodes[i].candidate);
		if (best == NULL || nodes[i].total_ms < best->total_ms)
			best = &nodes[i];
	}
	if (best == NULL)
		return range->usable + range->paused > 0 ? ROUTE_FULL
							 : ROUTE_NO_CHAIN;
	chain_write_hop(best, replacement);
	return ROUTE_FOUND;
}

/* A session was started on an endpoint. */
void router_started(router_t *router, const char *endpoint)
{
	candidate_t *candidate = find(router, endpoint);

	if (candidate == NULL)
		return;
	candidate->own++;
	refresh(router, candidate, router->now_ms);
}

/* A session that was started on an endpoint has ended. */
void router_finished(router_t *router, const char *endpoint)
{
	candidate_t *candidate = find(router, endpoint);

	if (candidate == NULL || candidate->own == 0)
		return;
	candidate->own--;
	refresh(router, candidate, router->now_ms);
}

/* Takes in a load report; one of an unknown endpoint is ignored. */
void router_load(router_t *router, const msg_load_t *load, clock_ms_t now)
{
	candidate_t *candidate = find(router, load->endpoint);

	if (candidate == NULL)
		return;
	candidate_reported(candidate, load, now);
	refresh(router, candidate, now);
}

/* An endpoint failed; it is kept out for a pause. */
void router_failed(router_t *router, const char *endpoint, clock_ms_t now)
{
	candidate_t *candidate = find(router, endpoint);

	if (candidate == NULL)
		return;
	candidate_failed(candidate, now);
	refresh(router, candidate, now);
}

/* Takes in a measured time of one way between two instances. */
void router_link_time(router_t *router, const char *from, const char *to,
		      double ms)
{
	links_learn(&router->links, from, to, ms);
}
