/*
 * Chooses for each request the chain of endpoints with the least expected
 * time per token.  The estimate is based on the sessions that this router has
 * started, on load reports, and on smoothed step and link times.  Reads no
 * clock and does no I/O.
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

/* Assumed step time in a range where no endpoint has reported one. */
#define DEFAULT_STEP_MS 10.0
/*
 * Expected step times that differ by less than this fraction may be ordered
 * either way, at random.
 */
#define TIE_MARGIN 0.1
/* Candidates that are refreshed before each choice. */
#define REFRESH_COUNT 4
/* Minimum time between two refreshes of all candidates. */
#define REFRESH_ALL_INTERVAL_MS 100

struct router_t {
	table_t candidates;
	GHashTable *by_name; /* name -> handle_t * */
	GHashTable *targets; /* name -> target_t * */
	links_t links;
	link_end_t entry;
	chain_workspace_t workspace;
	GRand *random;
	handle_t refreshed; /* last candidate of refresh_next() */
	clock_ms_t now_ms;  /* time of the last update or choice */
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
		.domain =
			links_domain_id(&router->links, failure_domain, region),
		.instance = LINK_NO_INSTANCE,
	};
	router->random = g_rand_new_with_seed(seed);
	router->next_pause_end_ms = CLOCK_NEVER_MS;
	router->refreshed_all_ms = -REFRESH_ALL_INTERVAL_MS;
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
	chain_workspace_finish(&router->workspace);
	table_finish(&router->candidates);
	g_rand_free(router->random);
	g_free(router);
}

static candidate_t *find_candidate(const router_t *router, const char *endpoint)
{
	const handle_t *handle = g_hash_table_lookup(router->by_name, endpoint);

	return handle != NULL ? table_get(&router->candidates, *handle) : NULL;
}

static candidate_t *find_or_add_candidate(router_t *router,
					  const char *endpoint)
{
	candidate_t *known = find_candidate(router, endpoint);
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

/* Adds "change" to the counters of candidates in "state". */
static void adjust_state_counts(range_t *range, candidate_state_t state,
				int change)
{
	if (state == CANDIDATE_FREE || state == CANDIDATE_FULL)
		range->usable_count += (uint32_t)change;
	if (state == CANDIDATE_FULL)
		range->full_count += (uint32_t)change;
	if (state == CANDIDATE_PAUSED)
		range->paused_count += (uint32_t)change;
}

/*
 * Returns a candidate's heap key: its expected step time, in milliseconds, or
 * INFINITY if it is not free.  The time is raised by a random fraction of up
 * to TIE_MARGIN, so that near ties are broken at random.  An endpoint that has
 * not reported a step time is assumed to be as fast as the fastest of its
 * range.
 */
static double heap_key(const router_t *router, const range_t *range,
		       const candidate_t *candidate, clock_ms_t now)
{
	const double assumed_step_ms = range->least_step_ms > 0
					       ? range->least_step_ms
					       : DEFAULT_STEP_MS;
	const double expected_step_ms =
		candidate_expected_step_ms(candidate, assumed_step_ms, now);

	if (candidate->state != CANDIDATE_FREE)
		return INFINITY;
	return expected_step_ms *
	       g_rand_double_range(router->random, 1, 1 + TIE_MARGIN);
}

/* Updates a candidate's state and its position in the heap. */
static void refresh_candidate(router_t *router, candidate_t *candidate,
			      clock_ms_t now)
{
	range_t *range;
	group_t *group;

	if (!candidate->listed)
		return;
	range = range_of(router, candidate);
	group = &range->groups[candidate->group];
	adjust_state_counts(range, candidate->state, -1);
	candidate->state = candidate_state(candidate, now);
	adjust_state_counts(range, candidate->state, 1);
	if (candidate->state == CANDIDATE_PAUSED)
		router->next_pause_end_ms = MIN(router->next_pause_end_ms,
						candidate->paused_until_ms);
	group_set_key(group, &router->candidates, candidate->heap_index,
		      heap_key(router, range, candidate, now));
}

/*
 * Refreshes the next few candidates in turn, because the weight of load
 * reports decays with time.
 */
static void refresh_next(router_t *router, clock_ms_t now)
{
	for (int i = 0; i < REFRESH_COUNT; i++) {
		candidate_t *candidate;

		router->refreshed =
			table_next(&router->candidates, router->refreshed);
		candidate = table_get(&router->candidates, router->refreshed);
		if (candidate != NULL)
			refresh_candidate(router, candidate, now);
	}
}

/* Sets the current time and readmits candidates whose pause has ended. */
static void advance_time(router_t *router, clock_ms_t now)
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
			refresh_candidate(router, candidate, now);
	}
}

/*
 * Refreshes all candidates, so that none is still counted as full because of
 * an old report.  Does nothing and returns false if less than
 * REFRESH_ALL_INTERVAL_MS have passed since the last time.
 */
static bool refresh_all(router_t *router, clock_ms_t now)
{
	handle_t handle = { 0, 0 };

	if (now - router->refreshed_all_ms < REFRESH_ALL_INTERVAL_MS)
		return false;
	router->refreshed_all_ms = now;
	while (handle = table_next(&router->candidates, handle),
	       !handle_is_null(handle))
		refresh_candidate(router,
				  table_get(&router->candidates, handle), now);
	return true;
}

static bool is_routable(const msg_endpoint_t *endpoint)
{
	if (endpoint->kind == ENDPOINT_SERVICE)
		return endpoint->first_layer == 0 && endpoint->end_layer == 0;
	return endpoint->first_layer < endpoint->end_layer;
}

static void add_endpoint(router_t *router, const msg_endpoint_t *endpoint)
{
	candidate_t *candidate = find_or_add_candidate(router, endpoint->name);
	target_t *target =
		g_hash_table_lookup(router->targets, endpoint->target);

	candidate_update(candidate, endpoint);
	candidate->link_end.domain = links_domain_id(
		&router->links, endpoint->failure_domain, endpoint->region);
	candidate->link_end.instance = links_instance_id(
		&router->links, endpoint->instance, candidate->link_end.domain);
	if (target == NULL) {
		target = target_new();
		g_hash_table_insert(router->targets,
				    g_strdup(candidate->target), target);
	}
	target_add_range(target, endpoint->first_layer, endpoint->end_layer);
}

/* Marks all candidates as unlisted, before a new directory is applied. */
static void unlist_all(router_t *router)
{
	handle_t handle = { 0, 0 };

	while (handle = table_next(&router->candidates, handle),
	       !handle_is_null(handle)) {
		candidate_t *candidate = table_get(&router->candidates, handle);

		candidate->listed = false;
		candidate->state = CANDIDATE_WITHDRAWN;
	}
}

/*
 * Removes unlisted candidates that have neither sessions of this router nor a
 * pause.  The others are kept: if they are listed again, the count still
 * holds, and so does the pause, unless the incarnation is new.
 */
static void remove_unlisted(router_t *router, clock_ms_t now)
{
	handle_t handle = { 0, 0 };

	while (handle = table_next(&router->candidates, handle),
	       !handle_is_null(handle)) {
		const candidate_t *candidate =
			table_get(&router->candidates, handle);

		if (candidate->listed || candidate->own_sessions > 0 ||
		    now < candidate->paused_until_ms)
			continue;
		g_hash_table_remove(router->by_name, candidate->name);
		table_remove(&router->candidates, handle);
	}
}

static void update_least_step(range_t *range, const candidate_t *candidate)
{
	if (candidate->step_ms == 0)
		return;
	if (range->least_step_ms == 0 ||
	    candidate->step_ms < range->least_step_ms)
		range->least_step_ms = candidate->step_ms;
}

/* Adds every listed candidate to the heap of its range and domain. */
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
		range = target_find_range(target, candidate->first_layer,
					  candidate->end_layer);
		update_least_step(range, candidate);
		candidate->range = (uint32_t)(range - target->ranges);
		candidate->group =
			range_group_index(range, candidate->link_end.domain);
		group_add(&range->groups[candidate->group], &router->candidates,
			  handle, INFINITY);
		refresh_candidate(router, candidate, now);
	}
}

static void find_predecessors(gpointer name, gpointer target, gpointer unused)
{
	(void)name;
	(void)unused;
	target_find_predecessors(target);
}

/*
 * Replaces the directory.  Endpoints that remain in it keep their load, step
 * time and pause, unless they have a new incarnation.  Endpoints with an
 * invalid layer range are ignored.
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
			add_endpoint(router, &endpoints[i]);
	for (size_t i = 0; i < leaving_count; i++) {
		candidate_t *candidate =
			find_candidate(router, leaving[i].text);

		if (candidate != NULL)
			candidate->leaving = true;
	}
	remove_unlisted(router, now);
	g_hash_table_foreach(router->targets, find_predecessors, NULL);
	fill_groups(router, now);
}

static void count_alternatives(const target_t *target, route_choice_t *choice)
{
	for (uint32_t i = 0; i < target->range_count; i++) {
		choice->alternatives += target->ranges[i].usable_count;
		choice->full += target->ranges[i].full_count;
	}
}

static chain_search_t make_search(const router_t *router,
				  const target_t *target,
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
 * Chooses a chain that covers layers [0, request->layers) exactly, or a
 * single endpoint for a service.  Returns ROUTE_FULL if chains exist, but
 * each has an endpoint that is full, paused or to be avoided, or those found
 * have more than ROUTER_HOPS_MAX hops.
 */
route_result_t router_choose(router_t *router, const route_request_t *request,
			     clock_ms_t now, route_choice_t *choice)
{
	const target_t *target =
		g_hash_table_lookup(router->targets, request->target);
	const chain_search_t search = make_search(router, target, request);
	int last;

	choice->hop_count = 0;
	choice->expected_ms = 0;
	choice->alternatives = 0;
	choice->full = 0;
	if (target == NULL)
		return ROUTE_NO_CHAIN;
	advance_time(router, now);
	refresh_next(router, now);
	count_alternatives(target, choice);
	last = chain_find(&router->workspace, &search);
	if (last < 0 && refresh_all(router, now))
		last = chain_find(&router->workspace, &search);
	if (last < 0)
		return target_is_covered(target, request->layers)
			       ? ROUTE_FULL
			       : ROUTE_NO_CHAIN;
	chain_write(&router->workspace, last, choice);
	return ROUTE_FOUND;
}

/*
 * Returns the expected time, in milliseconds, of the links to and from
 * "candidate" as hop "hop" of "chain".  If the previous endpoint is no longer
 * known, the link from the entry is taken instead; the link to the next hop
 * is left out if there is no such hop or its endpoint is no longer known.
 */
static double adjacent_links_ms(const router_t *router,
				const route_choice_t *chain, size_t hop,
				const candidate_t *candidate)
{
	const candidate_t *previous =
		hop > 0 ? find_candidate(router, chain->hops[hop - 1].endpoint)
			: NULL;
	const candidate_t *next =
		hop + 1 < chain->hop_count
			? find_candidate(router, chain->hops[hop + 1].endpoint)
			: NULL;
	const link_end_t *from =
		previous != NULL ? &previous->link_end : &router->entry;
	double ms = links_time(&router->links, from, &candidate->link_end);

	if (next != NULL)
		ms += links_time(&router->links, &candidate->link_end,
				 &next->link_end);
	return ms;
}

/*
 * Writes the candidates that can replace "lost" and returns their number.  If
 * there are none, refreshes all candidates, if that is due, and tries again.
 */
static size_t find_replacements(router_t *router, const chain_search_t *search,
				const range_t *range, const route_hop_t *lost,
				chain_node_t nodes[CHAIN_CANDIDATES_MAX])
{
	const size_t found = chain_candidates(search, range, nodes);
	size_t count = 0;

	for (size_t i = 0; i < found; i++)
		if (strcmp(nodes[i].candidate->name, lost->endpoint) != 0)
			nodes[count++] = nodes[i];
	if (count == 0 && refresh_all(router, router->now_ms))
		return find_replacements(router, search, range, lost, nodes);
	return count;
}

/*
 * Chooses an endpoint to replace hop "lost_hop": another one that holds
 * exactly the same layers.  Returns ROUTE_FULL if none can be chosen, but an
 * endpoint that holds these layers is listed and not leaving; the lost one
 * counts, too.
 */
route_result_t router_choose_replacement(router_t *router,
					 const route_request_t *request,
					 const route_choice_t *chain,
					 size_t lost_hop, clock_ms_t now,
					 route_hop_t *replacement)
{
	const route_hop_t *lost = &chain->hops[lost_hop];
	const target_t *target =
		g_hash_table_lookup(router->targets, request->target);
	const chain_search_t search = make_search(router, target, request);
	chain_node_t nodes[CHAIN_CANDIDATES_MAX];
	const chain_node_t *best = NULL;
	const range_t *range;
	size_t count;

	if (target == NULL)
		return ROUTE_NO_CHAIN;
	range = target_find_range(target, lost->first_layer, lost->end_layer);
	if (range == NULL)
		return ROUTE_NO_CHAIN;
	advance_time(router, now);
	count = find_replacements(router, &search, range, lost, nodes);
	for (size_t i = 0; i < count; i++) {
		nodes[i].total_ms = nodes[i].expected_step_ms +
				    adjacent_links_ms(router, chain, lost_hop,
						      nodes[i].candidate);
		if (best == NULL || nodes[i].total_ms < best->total_ms)
			best = &nodes[i];
	}
	if (best == NULL)
		return range->usable_count + range->paused_count > 0
			       ? ROUTE_FULL
			       : ROUTE_NO_CHAIN;
	chain_write_hop(best, replacement);
	return ROUTE_FOUND;
}

/* Counts a session that was started on an endpoint. */
void router_session_started(router_t *router, const char *endpoint)
{
	candidate_t *candidate = find_candidate(router, endpoint);

	if (candidate == NULL)
		return;
	candidate->own_sessions++;
	refresh_candidate(router, candidate, router->now_ms);
}

/* Subtracts a session that has ended on an endpoint from its count. */
void router_session_finished(router_t *router, const char *endpoint)
{
	candidate_t *candidate = find_candidate(router, endpoint);

	if (candidate == NULL || candidate->own_sessions == 0)
		return;
	candidate->own_sessions--;
	refresh_candidate(router, candidate, router->now_ms);
}

/* Refreshes the candidates of "range" that have not reported a step time. */
static void refresh_unreported(router_t *router, const range_t *range,
			       clock_ms_t now)
{
	handle_t handle = { 0, 0 };

	while (handle = table_next(&router->candidates, handle),
	       !handle_is_null(handle)) {
		candidate_t *candidate = table_get(&router->candidates, handle);

		if (candidate->listed && candidate->step_ms == 0 &&
		    range_of(router, candidate) == range)
			refresh_candidate(router, candidate, now);
	}
}

/*
 * Applies a reported step time to the candidates that have reported none.  They
 * would otherwise keep the default and get no request while the first one that
 * reports is faster.
 */
static void learn_step(router_t *router, const candidate_t *candidate,
		       clock_ms_t now)
{
	range_t *range;
	double before_ms;

	if (!candidate->listed)
		return;
	range = range_of(router, candidate);
	before_ms = range->least_step_ms;
	update_least_step(range, candidate);
	if (before_ms == 0 ||
	    range->least_step_ms < before_ms * (1 - TIE_MARGIN))
		refresh_unreported(router, range, now);
}

/* Records a load report; one of an unknown endpoint is ignored. */
void router_record_load(router_t *router, const msg_load_t *load,
			clock_ms_t now)
{
	candidate_t *candidate = find_candidate(router, load->endpoint);

	if (candidate == NULL)
		return;
	candidate_record_load(candidate, load, now);
	learn_step(router, candidate, now);
	refresh_candidate(router, candidate, now);
}

/* Records a failure of an endpoint, which is excluded for a pause. */
void router_record_failure(router_t *router, const char *endpoint,
			   clock_ms_t now)
{
	candidate_t *candidate = find_candidate(router, endpoint);

	if (candidate == NULL)
		return;
	candidate_record_failure(candidate, now);
	refresh_candidate(router, candidate, now);
}

/* Records a measured one-way time between two instances, in milliseconds. */
void router_record_link_time(router_t *router, const char *from, const char *to,
			     double ms)
{
	links_record_time(&router->links, from, to, ms);
}
