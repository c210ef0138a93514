/*
 * Decides which layers each endpoint holds.  A failure domain with enough
 * memory holds complete copies of the model, so that a request stays within it
 * and no activations cross the pipes between domains.  The first copies of a
 * domain use its fastest accelerators and leave only as much memory for the KV
 * cache as a good number of requests needs: with few and fast hops a token
 * takes less time, and a request that ends sooner frees its memory sooner.  The
 * remaining endpoints of a domain form a last copy with as much memory for the
 * KV cache as possible, or, if they are too few, hold no layers and replace
 * endpoints that fail.  Domains that are too small for a copy hold copies
 * together.  Uses no clock and does no I/O.
 */
#include "wisteria/fleet/placement_internal.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

/*
 * Share of an engine's slots that the KV cache of a fast copy has memory for.
 * A larger share needs more endpoints and makes each token slower; with a
 * smaller one the memory is full before the engines are busy.
 */
#define FAST_COPY_SLOT_SHARE 0.8
/* No copy is made with KV-cache memory for a smaller share of the slots. */
#define MIN_COPY_SLOT_SHARE 0.04
/* Tokens of a request if the configuration states no mean lengths. */
#define REQUEST_TOKENS_DEFAULT 1000
/*
 * A replacement must have memory for this share of the KV-cache tokens that a
 * single copy over all members of its group could have.  With less memory the
 * replacement would limit the whole copy, and moving the layers of the others
 * is better.
 */
#define REPLACEMENT_KV_SHARE 0.5
/* Forwarding a token to the next hop and waiting for its pass in progress. */
#define HOP_MS 0.9
/* Upper bound of the search for the KV-cache tokens of a group. */
#define KV_TOKENS_MAX 16e6
#define SEARCH_STEPS 40

static double request_tokens(const engine_model_t *engine)
{
	uint32_t tokens =
		engine->mean_prompt_tokens + engine->mean_answer_tokens;

	return tokens > 0 ? tokens : REQUEST_TOKENS_DEFAULT;
}

static double min_copy_kv_tokens(const engine_model_t *engine)
{
	return MIN_COPY_SLOT_SHARE * engine->slots * request_tokens(engine);
}

static double fast_copy_kv_tokens(const engine_model_t *engine)
{
	return FAST_COPY_SLOT_SHARE * engine->slots * request_tokens(engine);
}

/*
 * Returns how many layers an endpoint with "size_mb" of memory can hold beside
 * the KV cache of "tokens" tokens.
 */
uint32_t placement_layers_that_fit(const engine_model_t *engine, double size_mb,
				   double tokens)
{
	double layer_mb = engine->layer_mb + tokens * engine->kv_token_bytes /
						     engine->layers / 1e6;
	double fitting_layers = size_mb / layer_mb;

	return fitting_layers >= engine->layers ? engine->layers
						: (uint32_t)fitting_layers;
}

/* Initializes an empty group for up to "capacity" members. */
void placement_group_init(group_t *group, uint32_t capacity)
{
	group->members = g_new0(uint32_t, capacity + 1);
	group->layers = g_new0(uint32_t, capacity + 1);
	group->count = 0;
}

/* Frees the arrays of a group. */
void placement_group_finish(group_t *group)
{
	g_free(group->members);
	g_free(group->layers);
}

static uint32_t group_layers_that_fit(const planning_t *planning,
				      const group_t *group, double tokens)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < group->count; i++)
		sum += placement_layers_that_fit(
			planning->engine,
			planning->nodes[group->members[i]].size_mb, tokens);
	return sum;
}

/*
 * Returns the most KV-cache tokens beside which the group holds all layers; 0
 * if they are fewer than a copy needs.
 */
static double group_kv_tokens(const planning_t *planning, const group_t *group)
{
	const engine_model_t *engine = planning->engine;
	double low = 0;
	double high = KV_TOKENS_MAX;

	if (group_layers_that_fit(planning, group, min_copy_kv_tokens(engine)) <
	    engine->layers)
		return 0;
	for (int i = 0; i < SEARCH_STEPS; i++) {
		double mid = (low + high) / 2;

		if (group_layers_that_fit(planning, group, mid) >=
		    engine->layers)
			low = mid;
		else
			high = mid;
	}
	return low;
}

/* Removes the layers in excess of the model's from the slowest members. */
static void trim_layers(const planning_t *planning, const group_t *group,
			uint32_t sum)
{
	const placement_node_t *nodes = planning->nodes;

	while (sum > planning->engine->layers) {
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

/*
 * Sorts members by the layers they hold, those without layers last: placing a
 * copy again then shifts its boundaries by few layers.
 */
static void sort_by_held_layers(const planning_t *planning, group_t *group)
{
	for (uint32_t i = 1; i < group->count; i++) {
		uint32_t member = group->members[i];
		const placement_node_t *node = &planning->nodes[member];
		uint32_t at = i;

		if (node->first_layer == node->end_layer)
			continue;
		for (; at > 0; at--) {
			const placement_node_t *previous =
				&planning->nodes[group->members[at - 1]];

			if (previous->first_layer < previous->end_layer &&
			    previous->first_layer <= node->first_layer)
				break;
			group->members[at] = group->members[at - 1];
		}
		group->members[at] = member;
	}
}

/* Assigns one copy to all members, beside "kv_tokens" tokens of KV cache. */
static void assign_copy(planning_t *planning, group_t *group, double kv_tokens)
{
	uint32_t sum = 0;
	uint32_t at = 0;

	sort_by_held_layers(planning, group);

	for (uint32_t i = 0; i < group->count; i++) {
		group->layers[i] = placement_layers_that_fit(
			planning->engine,
			planning->nodes[group->members[i]].size_mb, kv_tokens);
		sum += group->layers[i];
	}
	trim_layers(planning, group, sum);
	for (uint32_t i = 0; i < group->count; i++) {
		placement_range_t *range = &planning->ranges[group->members[i]];

		range->first_layer = at;
		at += group->layers[i];
		range->end_layer = at;
	}
}

/*
 * Moves the first members that together fit all layers beside "kv_tokens"
 * tokens of KV cache to "copy".  Returns false if the group is too small, or if
 * the configuration states no layers.
 */
static bool split_off_copy(const planning_t *planning, group_t *group,
			   group_t *copy, double kv_tokens)
{
	const engine_model_t *engine = planning->engine;
	uint32_t sum = 0;

	if (engine->layers == 0 ||
	    group_layers_that_fit(planning, group, kv_tokens) < engine->layers)
		return false;
	copy->count = 0;
	while (sum < engine->layers) {
		uint32_t member = group->members[copy->count];

		sum += placement_layers_that_fit(
			engine, planning->nodes[member].size_mb, kv_tokens);
		copy->members[copy->count++] = member;
	}
	group->count -= copy->count;
	memmove(group->members, group->members + copy->count,
		group->count * sizeof(group->members[0]));
	return true;
}

/*
 * Assigns as many copies as the group can hold.  The remaining members are
 * spares.
 */
static void assign_copies(planning_t *planning, group_t *group)
{
	double kv_tokens = fast_copy_kv_tokens(planning->engine);
	group_t copy;

	placement_group_init(&copy, group->count);
	while (split_off_copy(planning, group, &copy, kv_tokens))
		assign_copy(planning, &copy, kv_tokens);
	kv_tokens = group_kv_tokens(planning, group);
	if (kv_tokens > 0)
		assign_copy(planning, group, kv_tokens);
	placement_group_finish(&copy);
}

typedef struct {
	uint32_t node_index;
	double layer_ms; /* per token and layer, with its share of the hop */
} sorted_node_t;

/*
 * Returns the time of a token per layer, in ms.  The time of the hop counts in
 * full on each node: on a small accelerator fewer layers share it.
 */
double placement_layer_ms(const engine_model_t *engine,
			  const placement_node_t *node)
{
	uint32_t fitting_layers = placement_layers_that_fit(
		engine, node->size_mb, fast_copy_kv_tokens(engine));

	return engine->step_ms * node->pace / engine->layers +
	       HOP_MS / MAX(fitting_layers, 1);
}

/* Sorts by time per layer, the fastest node first. */
static int compare_nodes(const void *a, const void *b)
{
	const sorted_node_t *left = a;
	const sorted_node_t *right = b;

	if (left->layer_ms != right->layer_ms)
		return left->layer_ms < right->layer_ms ? -1 : 1;
	return left->node_index < right->node_index ? -1 : 1;
}

static void add_domain(const planning_t *planning, uint32_t domain,
		       group_t *group)
{
	sorted_node_t *sorted = g_new(sorted_node_t, planning->count + 1);
	uint32_t count = 0;

	for (uint32_t i = 0; i < planning->count; i++)
		if (planning->nodes[i].available &&
		    planning->nodes[i].domain == domain)
			sorted[count++] = (sorted_node_t){
				.node_index = i,
				.layer_ms = placement_layer_ms(
					planning->engine, &planning->nodes[i]),
			};
	qsort(sorted, count, sizeof(sorted[0]), compare_nodes);
	for (uint32_t i = 0; i < count; i++)
		group->members[group->count++] = sorted[i].node_index;
	g_free(sorted);
}

static uint32_t count_domains(const planning_t *planning)
{
	uint32_t domains = 0;

	for (uint32_t i = 0; i < planning->count; i++)
		domains = MAX(domains, planning->nodes[i].domain + 1);
	return domains;
}

static bool group_has_domain(const planning_t *planning, const group_t *group,
			     uint32_t domain)
{
	for (uint32_t i = 0; i < group->count; i++)
		if (planning->nodes[group->members[i]].domain == domain)
			return true;
	return false;
}

static bool is_member(const group_t *group, uint32_t node)
{
	for (uint32_t i = 0; i < group->count; i++)
		if (group->members[i] == node)
			return true;
	return false;
}

/*
 * Initializes "holders" with the members of a group and the slow nodes of its
 * domains that hold layers: slowness mostly ends before another node could
 * load those layers.  If served groups may be rearranged, slow nodes are left
 * out.
 */
static void init_with_slow_holders(const planning_t *planning,
				   const group_t *group, group_t *holders)
{
	placement_group_init(holders, planning->count);
	holders->count = group->count;
	memcpy(holders->members, group->members,
	       group->count * sizeof(group->members[0]));
	for (uint32_t i = 0; i < planning->count; i++) {
		const placement_node_t *node = &planning->nodes[i];

		if (!planning->rearrange_served && node->slow &&
		    node->first_layer < node->end_layer &&
		    !is_member(group, i) &&
		    group_has_domain(planning, group, node->domain))
			holders->members[holders->count++] = i;
	}
}

/* Whether a group can hold a copy, if need be with nodes that are now slow. */
static bool can_hold_copy(const planning_t *planning, const group_t *group)
{
	group_t holders;
	bool can;

	init_with_slow_holders(planning, group, &holders);
	can = group_kv_tokens(planning, &holders) > 0;
	placement_group_finish(&holders);
	return can;
}

typedef bool (*group_visitor_t)(planning_t *planning, group_t *group);

/*
 * Calls "visit" for the nodes of each domain that can hold a copy alone, and
 * once for those of all other domains together if these can hold one.  Returns
 * whether every call returned true.
 */
static bool visit_groups(planning_t *planning, group_visitor_t visit)
{
	uint32_t domains = count_domains(planning);
	bool all = true;
	group_t own;
	group_t shared;

	placement_group_init(&own, planning->count);
	placement_group_init(&shared, planning->count);
	for (uint32_t domain = 0; domain < domains; domain++) {
		own.count = 0;
		add_domain(planning, domain, &own);
		if (can_hold_copy(planning, &own))
			all = visit(planning, &own) && all;
		else
			add_domain(planning, domain, &shared);
	}
	if (group_kv_tokens(planning, &shared) > 0)
		all = visit(planning, &shared) && all;
	placement_group_finish(&own);
	placement_group_finish(&shared);
	return all;
}

static bool is_interchangeable(const placement_node_t *a,
			       const placement_node_t *b)
{
	return a->domain == b->domain && a->size_mb == b->size_mb &&
	       a->pace == b->pace && a->available == b->available;
}

static bool holds_range(const placement_node_t *node,
			const placement_range_t *range)
{
	return node->first_layer == range->first_layer &&
	       node->end_layer == range->end_layer;
}

/* Swaps ranges of interchangeable nodes so that more keep their layers. */
static void keep_held_ranges(planning_t *planning)
{
	for (uint32_t i = 0; i < planning->count; i++) {
		if (holds_range(&planning->nodes[i], &planning->ranges[i]))
			continue;
		for (uint32_t j = 0; j < planning->count; j++) {
			placement_range_t other = planning->ranges[j];

			if (!holds_range(&planning->nodes[i], &other) ||
			    holds_range(&planning->nodes[j], &other) ||
			    !is_interchangeable(&planning->nodes[i],
						&planning->nodes[j]))
				continue;
			planning->ranges[j] = planning->ranges[i];
			planning->ranges[i] = other;
			break;
		}
	}
}

static bool plan_group(planning_t *planning, group_t *group)
{
	assign_copies(planning, group);
	return true;
}

/*
 * Sets "ranges" to the layers that each of "count" nodes should hold.  A node
 * whose range stays empty is a spare, is unavailable, or belongs to a group
 * that is too small for a copy.
 */
void placement_plan(const engine_model_t *engine, const placement_node_t *nodes,
		    uint32_t count, placement_range_t *ranges)
{
	planning_t planning = { .engine = engine,
				.nodes = nodes,
				.count = count,
				.ranges = ranges };

	memset(ranges, 0, count * sizeof(ranges[0]));
	visit_groups(&planning, plan_group);
	keep_held_ranges(&planning);
}

/* Returns how many copies a group can hold. */
static uint32_t count_copies(const planning_t *planning, const group_t *group)
{
	double kv_tokens = fast_copy_kv_tokens(planning->engine);
	uint32_t copies = 0;
	group_t remaining;
	group_t copy;

	placement_group_init(&remaining, group->count);
	placement_group_init(&copy, group->count);
	remaining.count = group->count;
	memcpy(remaining.members, group->members,
	       group->count * sizeof(group->members[0]));
	while (split_off_copy(planning, &remaining, &copy, kv_tokens))
		copies++;
	if (group_kv_tokens(planning, &remaining) > 0)
		copies++;
	placement_group_finish(&remaining);
	placement_group_finish(&copy);
	return copies;
}

/* Adds to "holders" how many members hold each layer. */
void placement_count_holders(const planning_t *planning, const group_t *group,
			     uint32_t *holders)
{
	for (uint32_t i = 0; i < group->count; i++) {
		const placement_node_t *node =
			&planning->nodes[group->members[i]];

		for (uint32_t layer = node->first_layer;
		     layer < MIN(node->end_layer, planning->engine->layers);
		     layer++)
			holders[layer]++;
	}
}

/*
 * Finds the first run of layers that fewer than "copies" members hold.  Returns
 * false if there is none.
 */
bool placement_find_gap(const planning_t *planning, const uint32_t *holders,
			uint32_t copies, placement_range_t *gap)
{
	uint32_t layers = planning->engine->layers;
	uint32_t at = 0;

	while (at < layers && holders[at] >= copies)
		at++;
	gap->first_layer = at;
	while (at < layers && holders[at] < copies)
		at++;
	gap->end_layer = at;
	return gap->first_layer < layers;
}

static bool is_spare(const planning_t *planning, uint32_t node_index)
{
	const placement_node_t *node = &planning->nodes[node_index];
	const placement_range_t *range = &planning->ranges[node_index];

	return node->first_layer == node->end_layer &&
	       range->first_layer == range->end_layer;
}

/*
 * Ranks a node that fits "fitting_layers" layers as a holder of "wanted" ones;
 * a higher rank is better.  Nodes that fit all of them come first, the smallest
 * best, then the others, the largest best.
 */
double placement_candidate_rank(const placement_node_t *node,
				uint32_t fitting_layers, uint32_t wanted)
{
	return fitting_layers >= wanted ? CANDIDATE_FITS_RANK - node->size_mb
					: node->size_mb;
}

/*
 * Returns the smallest spare member that fits "wanted" layers, or the largest
 * spare if none fits them all; -1: there is no spare.
 */
static int32_t find_spare(const planning_t *planning, const group_t *group,
			  double kv_tokens, uint32_t wanted,
			  uint32_t *fitting_layers)
{
	int32_t best = -1;
	double best_rank = 0;

	for (uint32_t i = 0; i < group->count; i++) {
		uint32_t node_index = group->members[i];
		const placement_node_t *node = &planning->nodes[node_index];
		uint32_t layers = placement_layers_that_fit(
			planning->engine, node->size_mb, kv_tokens);
		double rank = placement_candidate_rank(node, layers, wanted);

		if (!is_spare(planning, node_index) || layers == 0 ||
		    (best >= 0 && rank <= best_rank))
			continue;
		best = (int32_t)node_index;
		best_rank = rank;
		*fitting_layers = layers;
	}
	return best;
}

/* Returns the KV-cache tokens that a replacement must have memory for. */
static double replacement_kv_tokens(const planning_t *planning,
				    const group_t *group)
{
	return MIN(group_kv_tokens(planning, group) * REPLACEMENT_KV_SHARE,
		   fast_copy_kv_tokens(planning->engine));
}

/*
 * Assigns the layers that the copies of a group lack to its spares.  Returns
 * false and empties the ranges of all members if there are too few spares.
 */
static bool fill_group_gaps(planning_t *planning, group_t *group)
{
	uint32_t *holders = g_new0(uint32_t, planning->engine->layers + 1);
	double kv_tokens = replacement_kv_tokens(planning, group);
	placement_range_t gap = { 0 };
	uint32_t copies = count_copies(planning, group);
	bool complete = copies > 0;

	placement_count_holders(planning, group, holders);
	while (complete &&
	       placement_find_gap(planning, holders, copies, &gap)) {
		uint32_t fitting_layers = 0;
		int32_t spare = find_spare(planning, group, kv_tokens,
					   gap.end_layer - gap.first_layer,
					   &fitting_layers);

		complete = spare >= 0;
		if (!complete)
			break;
		gap.end_layer =
			MIN(gap.end_layer, gap.first_layer + fitting_layers);
		planning->ranges[spare] = gap;
		for (uint32_t i = gap.first_layer; i < gap.end_layer; i++)
			holders[i]++;
	}
	for (uint32_t i = 0; !complete && i < group->count; i++)
		planning->ranges[group->members[i]] = (placement_range_t){ 0 };
	g_free(holders);
	return complete;
}

/* Whether each layer is held by at least one member. */
static bool has_all_layers(const planning_t *planning, const group_t *group)
{
	uint32_t *holders = g_new0(uint32_t, planning->engine->layers + 1);
	placement_range_t gap;
	bool all_held;

	placement_count_holders(planning, group, holders);
	all_held = !placement_find_gap(planning, holders, 1, &gap);
	g_free(holders);
	return all_held;
}

/* Assigns copies to the members outside the first, complete copy. */
static void assign_other_copies(planning_t *planning, const group_t *group)
{
	group_t others;

	placement_group_init(&others, group->count);
	for (uint32_t i = 0; i < group->count; i++) {
		const placement_range_t *range =
			&planning->ranges[group->members[i]];

		if (range->first_layer == range->end_layer)
			others.members[others.count++] = group->members[i];
	}
	assign_copies(planning, &others);
	placement_group_finish(&others);
}

static bool complete_group(planning_t *planning, group_t *group)
{
	group_t holders;

	if (fill_group_gaps(planning, group))
		return true;
	init_with_slow_holders(planning, group, &holders);
	placement_complete_chain(planning, &holders,
				 replacement_kv_tokens(planning, &holders));
	placement_group_finish(&holders);
	return false;
}

static bool repair_group(planning_t *planning, group_t *group)
{
	group_t holders;
	bool all_held;

	if (fill_group_gaps(planning, group))
		return true;
	init_with_slow_holders(planning, group, &holders);
	all_held = has_all_layers(planning, &holders);
	if (placement_complete_chain(
		    planning, &holders,
		    replacement_kv_tokens(planning, &holders))) {
		if (planning->rearrange_served)
			assign_other_copies(planning, group);
	} else if (planning->rearrange_served || !all_held) {
		assign_copies(planning, group);
	}
	placement_group_finish(&holders);
	return true;
}

/*
 * Assigns the layers that copies lack to spares.  If a group has too few, one
 * copy is completed with nodes of the others: see placement_complete_chain().
 * Returns whether the spares sufficed for every copy that the nodes can hold.
 */
bool placement_fill_gaps(const engine_model_t *engine,
			 const placement_node_t *nodes, uint32_t count,
			 placement_range_t *ranges)
{
	planning_t planning = { .engine = engine,
				.nodes = nodes,
				.count = count,
				.ranges = ranges };

	memset(ranges, 0, count * sizeof(ranges[0]));
	return visit_groups(&planning, complete_group);
}

/*
 * Returns whether spares could complete every copy if the slow nodes that hold
 * layers ran at normal speed.  For some seconds more engines can be slow than
 * there are spares: placing their copies again would take all nodes of these
 * copies out of service for longer than slowness mostly lasts.
 */
bool placement_complete_if_slow_recover(const engine_model_t *engine,
					const placement_node_t *nodes,
					uint32_t count)
{
	placement_node_t *recovered =
		g_memdup2(nodes, count * sizeof(nodes[0]));
	placement_range_t *ranges = g_new0(placement_range_t, count + 1);
	bool complete;

	for (uint32_t i = 0; i < count; i++)
		recovered[i].available |=
			recovered[i].slow &&
			recovered[i].end_layer > recovered[i].first_layer;
	complete = placement_fill_gaps(engine, recovered, count, ranges);
	g_free(ranges);
	g_free(recovered);
	return complete;
}

/*
 * Like placement_fill_gaps(), but assigns all copies of a group again if a
 * layer has no holder and no copy can be completed.  With "rearrange_served" it
 * leaves slow nodes out and assigns copies again also if each layer has a
 * holder: those beside the completed copy, or all if none can be completed.
 * Until these have loaded their layers they serve no requests.
 */
void placement_repair(const engine_model_t *engine,
		      const placement_node_t *nodes, uint32_t count,
		      bool rearrange_served, placement_range_t *ranges)
{
	planning_t planning = { .engine = engine,
				.nodes = nodes,
				.count = count,
				.ranges = ranges,
				.rearrange_served = rearrange_served };

	memset(ranges, 0, count * sizeof(ranges[0]));
	visit_groups(&planning, repair_group);
	keep_held_ranges(&planning);
}

static uint32_t count_union_layers(const placement_node_t *node,
				   const placement_range_t *range)
{
	uint32_t sum = node->end_layer - node->first_layer + range->end_layer -
		       range->first_layer;
	uint32_t from = MAX(node->first_layer, range->first_layer);
	uint32_t to = MIN(node->end_layer, range->end_layer);

	return to > from ? sum - (to - from) : sum;
}

/*
 * Returns the range that a node can be ordered to hold next on its way to
 * "wanted".  While it changes ranges it holds both, and exceeding its memory
 * would end its process: layers that do not fit beside the held ones wait
 * until those are released.
 */
placement_range_t placement_next_range(const engine_model_t *engine,
				       const placement_node_t *node,
				       const placement_range_t *wanted)
{
	uint32_t max_layers =
		placement_layers_that_fit(engine, node->size_mb, 0);
	uint32_t held = node->end_layer - node->first_layer;
	placement_range_t step = *wanted;

	if (count_union_layers(node, &step) <= max_layers)
		return step;
	if (held >= max_layers || (step.first_layer < node->end_layer &&
				   node->first_layer < step.end_layer)) {
		/* Releases unwanted layers before it loads the others. */
		step.first_layer = MAX(wanted->first_layer, node->first_layer);
		step.end_layer = MIN(wanted->end_layer, node->end_layer);
		if (step.first_layer < step.end_layer)
			return step;
		return (placement_range_t){ node->first_layer,
					    node->first_layer + 1 };
	}
	step.end_layer = step.first_layer + (max_layers - held);
	return step;
}
