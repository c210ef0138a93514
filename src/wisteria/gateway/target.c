/* Chooses the endpoint, or the pipeline of endpoints, for one attempt. */
#include "wisteria/gateway/target.h"

#include <math.h>
#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/fleet/pipeline.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/routes.h"
#include "wisteria/gateway/capacity_share.h"
#include "wisteria/gateway/endpoint_limits.h"
#include "wisteria/gateway/gateway.h"
#include "wisteria/gateway/pipeline_repair.h"

/* Leaves room for requests that other entries began since their last report. */
#define MEMORY_USED_MAX 0.95
/* Longest time of a token in a loaded pipeline against the planned one. */
#define LOADED_PAUSE_FACTOR 2.0
/* Transfer within a failure domain and wait for the engine's current pass. */
#define HOP_OVERHEAD_MS 1.0
/* Maximum pipe time that an entry can accumulate: enough for a few prompts. */
#define PIPE_BUDGET_MAX_MS 120.0
/* How often the odds are lowered, and by what, to find some pipeline. */
#define SHARE_DRAWS 4
#define SHARE_DRAW_DIVISOR 6
/*
 * Services without a model: how many more requests an endpoint in this entry's
 * domain may have before one in another domain is preferred.
 */
#define OTHER_DOMAIN_PENALTY_REQUESTS 3

/*
 * Returns whether the endpoint may be sent the request.  The earliest end of a
 * pause of an endpoint that is left out for it alone goes to "target".
 */
static bool is_candidate(const exchange_t *exchange, const endpoint_t *endpoint,
			 target_t *target)
{
	const gateway_t *gateway = exchange->gateway;
	clock_ms_t pause_end_ms;

	if (strcmp(endpoint->service, exchange->service->name) != 0 ||
	    !registry_is_usable(&gateway->registry, endpoint) ||
	    endpoint_notices_is_leaving(&gateway->notices, endpoint))
		return false;
	pause_end_ms = endpoint_notices_pause_end(&gateway->notices, endpoint);
	if (clock_now(gateway->clock) >= pause_end_ms)
		return !g_ptr_array_find_with_equal_func(
			exchange->failed_ids, endpoint->id, g_str_equal, NULL);
	if (target->pause_end_ms == 0 || pause_end_ms < target->pause_end_ms)
		target->pause_end_ms = pause_end_ms;
	return false;
}

static void append_hop(target_t *target, const endpoint_t *endpoint,
		       uint32_t first_layer, uint32_t end_layer)
{
	uint32_t i = target->count++;

	g_strlcpy(target->ids[i], endpoint->id, ENDPOINT_ID_BYTES);
	g_strlcpy(target->addresses[i], endpoint->address,
		  ENDPOINT_ADDRESS_BYTES);
	target->first_layers[i] = first_layer;
	target->end_layers[i] = end_layer;
}

/*
 * Records the demand of an attempt, once: at the endpoint that is best for it or,
 * if "found" is false, at all that are blocked by their limit.
 */
static void count_demand(exchange_t *exchange, const endpoint_t *best,
			 const GPtrArray *blocked, bool found, target_t *target)
{
	gateway_t *gateway = exchange->gateway;
	bool is_short = g_ptr_array_find((GPtrArray *)blocked, best, NULL);

	if (!found && blocked->len > 0) {
		target->limited_per_s = 0;
		for (guint i = 0; i < blocked->len; i++)
			target->limited_per_s += endpoint_limits_rate(
				gateway, g_ptr_array_index(blocked, i));
	}
	if (exchange->demand_counted)
		return;
	exchange->demand_counted = true;
	if (is_short)
		counter_add(COUNTER_GATEWAY_LIMITED, 1);
	if (found)
		endpoint_limits_want(gateway, best, is_short);
	for (guint i = 0; !found && i < blocked->len; i++)
		endpoint_limits_want(gateway, g_ptr_array_index(blocked, i),
				     true);
}

/* Services without a model. */

static double plain_cost(const gateway_t *gateway, const endpoint_t *endpoint)
{
	double cost = usage_requests(&gateway->usage, endpoint->id);

	if (strcmp(endpoint->failure_domain,
		   gateway->settings->failure_domain) != 0)
		cost += OTHER_DOMAIN_PENALTY_REQUESTS;
	if (gateway_is_suspect(gateway, endpoint->id))
		cost += endpoint->slots;
	return cost + g_rand_double(gateway->random) / 2;
}

static target_result_t choose_plain(exchange_t *exchange, target_t *target)
{
	gateway_t *gateway = exchange->gateway;
	const endpoint_t *best = NULL;
	const endpoint_t *best_allowed = NULL;
	double best_cost = INFINITY;
	double best_allowed_cost = INFINITY;
	GPtrArray *blocked = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gateway->registry.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		double cost;

		if (!is_candidate(exchange, value, target))
			continue;
		cost = plain_cost(gateway, value);
		if (cost < best_cost) {
			best = value;
			best_cost = cost;
		}
		if (!endpoint_limits_allow(gateway, value)) {
			g_ptr_array_add(blocked, value);
		} else if (cost < best_allowed_cost) {
			best_allowed = value;
			best_allowed_cost = cost;
		}
	}
	if (best != NULL)
		count_demand(exchange, best, blocked, best_allowed != NULL,
			     target);
	g_ptr_array_unref(blocked);
	if (best == NULL)
		return TARGET_NONE;
	if (best_allowed == NULL)
		return TARGET_LIMITED;
	target->cost_ms = best_allowed_cost;
	append_hop(target, best_allowed, 0, 0);
	return TARGET_FOUND;
}

/* Services with a model. */

typedef struct {
	GArray *stages;	      /* of pipeline_stage_t */
	GPtrArray *endpoints; /* of const endpoint_t */
	GPtrArray *domains;   /* names; the first is this entry's own */
	GArray *odds;	      /* of double, one for each stage */
	GPtrArray *blocked;   /* of "endpoints", those at their limit */
	capacity_load_t load;
} candidates_t;

/*
 * Returns the number of domain "name" in the search; all domains beyond the
 * limit of the search share the last number.
 */
static uint32_t domain_number(const candidates_t *candidates, const char *name)
{
	return MIN(registry_domain_index(candidates->domains, name),
		   PIPELINE_DOMAINS_MAX - 1);
}

static void add_odds(const gateway_t *gateway, const endpoint_t *endpoint,
		     const pipeline_stage_t *stage, candidates_t *candidates)
{
	const capacity_view_t view = {
		.capacity = stage->token_capacity,
		.used = stage->used_tokens,
		.own_new = usage_own_new_tokens(&gateway->usage, endpoint->id,
						clock_now(gateway->clock)),
	};
	double odds = capacity_share_odds(&view, &candidates->load);

	g_array_append_val(candidates->odds, odds);
}

static void add_stage(const exchange_t *exchange, const endpoint_t *endpoint,
		      candidates_t *candidates)
{
	const gateway_t *gateway = exchange->gateway;
	const engine_model_t *engine = &exchange->service->engine;
	const accelerator_t *accelerator =
		engine_find_accelerator(engine, endpoint->accelerator);
	pipeline_stage_t stage = {
		.first_layer = endpoint->first_layer,
		.end_layer = endpoint->end_layer,
	};

	if (accelerator == NULL || stage.first_layer >= stage.end_layer ||
	    !engine_has_layers(engine, stage.first_layer, stage.end_layer))
		return;
	stage.domain = domain_number(candidates, endpoint->failure_domain);
	stage.layer_ms = engine->step_ms * accelerator->pace / engine->layers;
	stage.token_capacity =
		engine_token_capacity(engine, accelerator,
				      stage.end_layer - stage.first_layer) *
		MEMORY_USED_MAX;
	stage.used_tokens = usage_tokens(&gateway->usage, endpoint->id,
					 clock_now(gateway->clock));
	stage.pace = gateway_slowdown(gateway, endpoint->id);
	stage.excluded = gateway_is_suspect(gateway, endpoint->id);
	if (stage.first_layer == 0 && !stage.excluded &&
	    !endpoint_limits_allow(exchange->gateway, endpoint)) {
		stage.not_first = true;
		g_ptr_array_add(candidates->blocked, (gpointer)endpoint);
	}
	add_odds(gateway, endpoint, &stage, candidates);
	g_array_append_val(candidates->stages, stage);
	g_ptr_array_add(candidates->endpoints, (gpointer)endpoint);
}

static void collect_candidates(const exchange_t *exchange,
			       candidates_t *candidates, target_t *target)
{
	const gateway_t *gateway = exchange->gateway;
	GHashTableIter iter;
	gpointer value;

	domain_number(candidates, gateway->settings->failure_domain);
	g_hash_table_iter_init(&iter, gateway->registry.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_candidate(exchange, value, target))
			add_stage(exchange, value, candidates);
}

/*
 * Returns the tokens that a request holds on average while it runs: the prompt
 * and half of the answer, which grows from nothing.
 */
static double request_tokens(const exchange_t *exchange)
{
	const caller_request_t *caller = &exchange->caller;
	uint32_t answer = caller->answer_tokens_hint;

	if (answer == 0 || answer > caller->answer_tokens_max)
		answer = caller->answer_tokens_max;
	return caller->prompt_tokens + answer / 2.0;
}

/* Returns how long the activations of a request occupy a pipe, in ms. */
static double pipe_transfer_ms(const exchange_t *exchange)
{
	const engine_model_t *engine = &exchange->service->engine;

	if (engine->domain_link_mbps <= 0)
		return 0;
	return request_tokens(exchange) * engine->activation_bytes * 8 /
	       (engine->domain_link_mbps * 1000);
}

/* Adds this entry's share of the pipe time since the last call. */
static void refill_pipe_budget(gateway_t *gateway)
{
	clock_ms_t now = clock_now(gateway->clock);
	double grown = (double)(now - gateway->pipe_refilled_ms) *
		       PIPELINE_PIPE_UTILIZATION_MAX /
		       MAX(gateway->entry_count, 1);

	gateway->pipe_budget_ms =
		MIN(gateway->pipe_budget_ms + grown, PIPE_BUDGET_MAX_MS);
	gateway->pipe_refilled_ms = now;
}

static uint32_t count_crossings(const pipeline_t *pipeline,
				const pipeline_stage_t *stages)
{
	uint32_t crossings = 0;

	for (uint32_t i = 1; i < pipeline->count; i++)
		crossings += stages[pipeline->hops[i].stage].domain !=
			     stages[pipeline->hops[i - 1].stage].domain;
	return crossings;
}

static pipeline_result_t choose_above_odds(const candidates_t *candidates,
					   double odds,
					   const pipeline_query_t *query,
					   pipeline_t *pipeline)
{
	uint32_t count = candidates->stages->len;
	pipeline_stage_t *stages =
		g_memdup2(candidates->stages->data, count * sizeof(*stages));
	pipeline_result_t result;

	for (uint32_t i = 0; i < count; i++)
		if (g_array_index(candidates->odds, double, i) <= odds)
			stages[i].excluded = true;
	result = pipeline_choose(stages, count, query, pipeline);
	g_free(stages);
	return result;
}

/*
 * Chooses a pipeline of endpoints of whose free capacity this entry has a share.
 * One number is drawn for all of them, so that a long pipeline is not less
 * likely than a short one.  If the draw leaves no pipeline, those with the better
 * odds are preferred to the cheapest.  Only pipelines within one domain are
 * considered: sharing memory must not cost transfers between domains.
 */
static pipeline_result_t choose_within_share(const gateway_t *gateway,
					     const candidates_t *candidates,
					     const pipeline_query_t *query,
					     pipeline_t *pipeline)
{
	pipeline_query_t within_domain = *query;
	double odds = g_rand_double(gateway->random);
	pipeline_result_t result = PIPELINE_NO_MEMORY;

	within_domain.stays_in_domain = true;
	for (int i = 0; i < SHARE_DRAWS && result != PIPELINE_FOUND; i++) {
		result = choose_above_odds(candidates, odds, &within_domain,
					   pipeline);
		odds /= SHARE_DRAW_DIVISOR;
	}
	return result;
}

/*
 * Chooses a pipeline and deducts the transfer time of its domain crossings from
 * the entry's pipe budget; if the budget is too small, chooses a pipeline
 * within one domain instead.
 */
static pipeline_result_t
choose_within_pipe_budget(exchange_t *exchange, const candidates_t *candidates,
			  pipeline_query_t *query, pipeline_t *pipeline)
{
	gateway_t *gateway = exchange->gateway;
	const pipeline_stage_t *stages =
		(const pipeline_stage_t *)(void *)candidates->stages->data;
	uint32_t count = candidates->stages->len;
	pipeline_result_t result;
	double needed;

	refill_pipe_budget(gateway);
	result = choose_within_share(gateway, candidates, query, pipeline);
	if (result != PIPELINE_FOUND)
		result = pipeline_choose(stages, count, query, pipeline);
	if (result != PIPELINE_FOUND)
		return result;
	needed = count_crossings(pipeline, stages) * pipe_transfer_ms(exchange);
	if (needed > 0 && gateway->pipe_budget_ms < needed) {
		query->stays_in_domain = true;
		return pipeline_choose(stages, count, query, pipeline);
	}
	gateway->pipe_budget_ms -= needed;
	return PIPELINE_FOUND;
}

/*
 * Records demand at the first endpoint of the best pipeline, as if no limit
 * blocked it.  "pipeline" is the one that was found.
 */
static void count_pipeline_demand(exchange_t *exchange,
				  const candidates_t *candidates,
				  const pipeline_query_t *query,
				  const pipeline_t *pipeline, target_t *target)
{
	bool found = pipeline->count > 0;
	pipeline_t best = *pipeline;
	const endpoint_t *first = NULL;

	if (candidates->blocked->len > 0) {
		uint32_t count = candidates->stages->len;
		pipeline_stage_t *stages = g_memdup2(candidates->stages->data,
						     count * sizeof(*stages));

		for (uint32_t i = 0; i < count; i++)
			stages[i].not_first = false;
		if (pipeline_choose(stages, count, query, &best) !=
		    PIPELINE_FOUND)
			best = *pipeline;
		g_free(stages);
	}
	if (best.count > 0)
		first = g_ptr_array_index(candidates->endpoints,
					  best.hops[0].stage);
	if (first != NULL)
		count_demand(exchange, first, candidates->blocked, found,
			     target);
}

/* A request that is being placed on the flows of the leader's plan. */
typedef struct {
	const exchange_t *exchange;
	target_t *target;
	const service_flows_t *service;
	double tokens;	    /* that it holds */
	bool has_endpoints; /* of at least one flow */
	bool is_preview;    /* nothing may be changed or counted */
} placing_t;

/* Returns the endpoint of a planned hop if it may run it now, or NULL. */
static const endpoint_t *find_planned_endpoint(const placing_t *placing,
					       const planned_hop_t *hop)
{
	const exchange_t *exchange = placing->exchange;
	const gateway_t *gateway = exchange->gateway;
	const endpoint_t *endpoint =
		registry_find(&gateway->registry, hop->endpoint);

	if (endpoint == NULL || endpoint->incarnation != hop->incarnation ||
	    endpoint->first_layer > hop->first_layer ||
	    endpoint->end_layer < hop->end_layer ||
	    !is_candidate(exchange, endpoint, placing->target) ||
	    gateway_is_suspect(gateway, endpoint->id))
		return NULL;
	return endpoint;
}

static bool has_memory(const placing_t *placing, const endpoint_t *endpoint)
{
	const gateway_t *gateway = placing->exchange->gateway;
	const engine_model_t *engine = &placing->exchange->service->engine;
	const accelerator_t *accelerator =
		engine_find_accelerator(engine, endpoint->accelerator);

	return accelerator != NULL &&
	       usage_tokens(&gateway->usage, endpoint->id,
			    clock_now(gateway->clock)) +
			       placing->tokens <=
		       engine_token_capacity(engine, accelerator,
					     endpoint->end_layer -
						     endpoint->first_layer) *
			       MEMORY_USED_MAX;
}

/*
 * Returns whether this entry may send the flow's first endpoint another prompt:
 * what it has sent, is at least as urgent and is not read yet must be read
 * within a part of the goal for the first event.
 */
static bool has_window(const placing_t *placing, const planned_flow_t *flow)
{
	const exchange_t *exchange = placing->exchange;
	double unread =
		usage_own_unread(&exchange->gateway->usage,
				 flow->hops[0].endpoint, exchange->rank);
	double window = flow_plan_window(placing->service, flow, exchange->rank,
					 exchange->route->goal_ms);

	return unread <= 0 || unread + exchange->caller.prompt_tokens <= window;
}

static bool is_limit_open(const placing_t *placing, const endpoint_t *endpoint)
{
	gateway_t *gateway = placing->exchange->gateway;

	return placing->is_preview
		       ? endpoint_limits_would_allow(gateway, endpoint)
		       : endpoint_limits_allow(gateway, endpoint);
}

/* Returns whether the flow takes the request now, or what it lacks. */
static flow_state_t check_flow(const placing_t *placing,
			       const planned_flow_t *flow)
{
	const endpoint_t *endpoints[PIPELINE_HOPS_MAX];

	for (uint32_t i = 0; i < flow->hop_count; i++) {
		endpoints[i] = find_planned_endpoint(placing, &flow->hops[i]);
		if (endpoints[i] == NULL)
			return FLOW_NO_ENDPOINT;
	}
	if (!has_window(placing, flow))
		return FLOW_NO_WINDOW;
	for (uint32_t i = 0; i < flow->hop_count; i++) {
		if (!has_memory(placing, endpoints[i]))
			return FLOW_NO_MEMORY;
		if (i == 0 && !is_limit_open(placing, endpoints[i]))
			return FLOW_LIMITED;
	}
	return FLOW_USABLE;
}

/* A flow_usable_t. */
static bool is_flow_usable(const planned_flow_t *flow, void *user)
{
	placing_t *placing = user;
	gateway_t *gateway = placing->exchange->gateway;
	flow_state_t state = check_flow(placing, flow);

	if (state != FLOW_NO_ENDPOINT)
		placing->has_endpoints = true;
	if (state == FLOW_LIMITED)
		endpoint_limits_want(gateway,
				     registry_find(&gateway->registry,
						   flow->hops[0].endpoint),
				     true);
	return state == FLOW_USABLE;
}

/* Makes the flow the target of a request that holds "tokens" tokens. */
static void take_flow(const exchange_t *exchange, const planned_flow_t *flow,
		      double tokens, target_t *target)
{
	const registry_t *registry = &exchange->gateway->registry;

	for (uint32_t i = 0; i < flow->hop_count; i++)
		append_hop(target,
			   registry_find(registry, flow->hops[i].endpoint),
			   flow->hops[i].first_layer, flow->hops[i].end_layer);
	target->is_pipeline = true;
	target->tokens = tokens;
	target->cost_ms = flow->pause_ms * LOADED_PAUSE_FACTOR /
			  MAX(exchange->service->engine.stride, 1);
	target->first_event_ms = flow->first_event_ms;
}

/*
 * Chooses a pipeline of the leader's plan.  Returns TARGET_FULL if none of them
 * takes the request now, and TARGET_NONE without a valid plan or if each of its
 * pipelines has an endpoint that can't be used.
 */
static target_result_t choose_planned(exchange_t *exchange, target_t *target)
{
	gateway_t *gateway = exchange->gateway;
	service_flows_t *service =
		flow_plan_find(&gateway->plan, exchange->service->name,
			       clock_now(gateway->clock));
	placing_t placing = {
		.exchange = exchange,
		.target = target,
		.service = service,
		.tokens = request_tokens(exchange),
	};
	const planned_flow_t *flow = NULL;

	if (service == NULL || service->flows->len == 0)
		return TARGET_NONE;
	flow = flow_plan_choose(service, exchange->caller.prompt_tokens,
				is_flow_usable, &placing);
	if (flow == NULL)
		return placing.has_endpoints ? TARGET_FULL : TARGET_NONE;
	take_flow(exchange, flow, placing.tokens, target);
	endpoint_limits_want(gateway,
			     registry_find(&gateway->registry, target->ids[0]),
			     false);
	return TARGET_FOUND;
}

/*
 * Returns what target_choose() would do with the flows of "service", the valid
 * plan of the exchange's service, and changes nothing.  Stores the state of each
 * flow, in their order, and the flow that would be chosen, or NULL.  TARGET_NONE:
 * the pipeline search would follow.
 */
target_result_t target_preview(const exchange_t *exchange,
			       const service_flows_t *service,
			       flow_state_t *states,
			       const planned_flow_t **chosen, target_t *target)
{
	guint count = service->flows->len;
	bool *usable = g_new0(bool, count + 1);
	bool has_endpoints = false;
	const placing_t placing = {
		.exchange = exchange,
		.target = target,
		.service = service,
		.tokens = request_tokens(exchange),
		.is_preview = true,
	};

	memset(target, 0, sizeof(*target));
	target->limited_per_s = REQUEST_LIMIT_NONE;
	for (guint i = 0; i < count; i++) {
		states[i] =
			check_flow(&placing, &g_array_index(service->flows,
							    planned_flow_t, i));
		usable[i] = states[i] == FLOW_USABLE;
		has_endpoints |= states[i] != FLOW_NO_ENDPOINT;
	}
	*chosen = flow_plan_preview(service, exchange->caller.prompt_tokens,
				    usable);
	g_free(usable);
	if (*chosen != NULL) {
		take_flow(exchange, *chosen, placing.tokens, target);
		return TARGET_FOUND;
	}
	if (!has_endpoints)
		return TARGET_NONE;
	return target->pause_end_ms != 0 ? TARGET_PAUSED : TARGET_FULL;
}

/* Returns lists without entries, which free_candidates() frees. */
static candidates_t create_candidates(const exchange_t *exchange)
{
	return (candidates_t){
		.stages = g_array_new(FALSE, FALSE, sizeof(pipeline_stage_t)),
		.endpoints = g_ptr_array_new(),
		.domains = g_ptr_array_new(),
		.odds = g_array_new(FALSE, FALSE, sizeof(double)),
		.blocked = g_ptr_array_new(),
		.load = {
			.entries = exchange->gateway->entry_count,
			.own_arriving = usage_arriving_tokens(
				&exchange->gateway->usage,
				request_tokens(exchange)),
		},
	};
}

static void free_candidates(candidates_t *candidates)
{
	g_array_unref(candidates->stages);
	g_array_unref(candidates->odds);
	g_ptr_array_unref(candidates->endpoints);
	g_ptr_array_unref(candidates->domains);
	g_ptr_array_unref(candidates->blocked);
}

static target_result_t choose_pipeline(exchange_t *exchange, target_t *target)
{
	static const target_result_t results[] = {
		[PIPELINE_FOUND] = TARGET_FOUND,
		[PIPELINE_NO_LAYERS] = TARGET_NONE,
		[PIPELINE_NO_MEMORY] = TARGET_FULL,
	};
	candidates_t candidates = create_candidates(exchange);
	pipeline_query_t query = {
		.layers = exchange->service->engine.layers,
		.request_tokens = request_tokens(exchange),
		.entry_domain = 0,
		.hop_ms = HOP_OVERHEAD_MS,
		.cross_ms = PIPELINE_DOMAIN_CROSSING_MS,
		.entry_cross_ms = PIPELINE_ENTRY_CROSSING_MS,
	};
	pipeline_t pipeline;
	pipeline_result_t result;

	collect_candidates(exchange, &candidates, target);
	result = choose_within_pipe_budget(exchange, &candidates, &query,
					   &pipeline);
	count_pipeline_demand(exchange, &candidates, &query, &pipeline, target);
	for (uint32_t i = 0; i < pipeline.count; i++)
		append_hop(target,
			   g_ptr_array_index(candidates.endpoints,
					     pipeline.hops[i].stage),
			   pipeline.hops[i].first_layer,
			   pipeline.hops[i].end_layer);
	target->is_pipeline = true;
	target->tokens = query.request_tokens;
	target->cost_ms = pipeline.cost_ms;
	free_candidates(&candidates);
	if (result == PIPELINE_NO_MEMORY && target->limited_per_s >= 0)
		return TARGET_LIMITED;
	return results[result];
}

/*
 * Chooses the endpoints for the next attempt of "exchange".  The domain
 * crossings of a found pipeline are deducted from the entry's pipe budget.
 */
target_result_t target_choose(exchange_t *exchange, target_t *target)
{
	target_result_t result;

	memset(target, 0, sizeof(*target));
	target->limited_per_s = REQUEST_LIMIT_NONE;
	if (!exchange->service->has_engine) {
		result = choose_plain(exchange, target);
	} else {
		result = choose_planned(exchange, target);
		if (result == TARGET_NONE)
			result = choose_pipeline(exchange, target);
	}
	if (result != TARGET_FOUND && target->pause_end_ms != 0)
		return TARGET_PAUSED;
	return result;
}

/* Describes the hops of the current pipeline for the search of a repair. */
static void describe_hops(const exchange_t *exchange,
			  const bool is_lost[PIPELINE_HOPS_MAX],
			  const candidates_t *candidates,
			  running_hop_t hops[PIPELINE_HOPS_MAX])
{
	const target_t *target = &exchange->target;
	uint32_t domain = 0;

	for (uint32_t i = 0; i < target->count; i++) {
		const endpoint_t *endpoint = registry_find(
			&exchange->gateway->registry, target->ids[i]);

		/* One that is no longer known: as the hop before. */
		if (endpoint != NULL)
			domain = domain_number(candidates,
					       endpoint->failure_domain);
		hops[i] = (running_hop_t){
			.endpoint = target->ids[i],
			.first_layer = target->first_layers[i],
			.end_layer = target->end_layers[i],
			.domain = domain,
			.is_lost = is_lost[i],
		};
	}
}

static void copy_hop(const target_t *from, uint32_t i, target_t *target)
{
	uint32_t to = target->count++;

	memcpy(target->ids[to], from->ids[i], ENDPOINT_ID_BYTES);
	memcpy(target->addresses[to], from->addresses[i],
	       ENDPOINT_ADDRESS_BYTES);
	target->first_layers[to] = from->first_layers[i];
	target->end_layers[to] = from->end_layers[i];
}

static void apply_plan(const exchange_t *exchange,
		       const candidates_t *candidates,
		       const pipeline_repair_t *plan, target_repair_t *repair)
{
	repair->target = exchange->target;
	repair->target.count = 0;
	repair->new_layers = plan->new_layers;
	for (uint32_t i = 0; i < plan->count; i++) {
		const repaired_hop_t *hop = &plan->hops[i];

		repair->is_new[i] = hop->is_new;
		if (hop->is_new)
			append_hop(&repair->target,
				   g_ptr_array_index(candidates->endpoints,
						     hop->index),
				   hop->first_layer, hop->end_layer);
		else
			copy_hop(&exchange->target, hop->index,
				 &repair->target);
	}
}

/*
 * Finds endpoints that replace the lost hops of the current pipeline of
 * "exchange"; all others stay as they are.  Returns false if there are none.
 * Transfers between failure domains are not deducted from the pipe budget: a
 * repair that needs them still transfers less than a new attempt would.
 */
bool target_replace_lost(const exchange_t *exchange,
			 const bool is_lost[PIPELINE_HOPS_MAX],
			 target_repair_t *repair)
{
	candidates_t candidates = create_candidates(exchange);
	running_hop_t hops[PIPELINE_HOPS_MAX];
	target_t ignored = { 0 };
	pipeline_repair_t plan;
	repair_query_t query;
	const char **ids;
	bool found;

	memset(repair, 0, sizeof(*repair));
	collect_candidates(exchange, &candidates, &ignored);
	describe_hops(exchange, is_lost, &candidates, hops);
	ids = g_new(const char *, candidates.endpoints->len + 1);
	for (guint i = 0; i < candidates.endpoints->len; i++)
		ids[i] = ((const endpoint_t *)g_ptr_array_index(
				  candidates.endpoints, i))
				 ->id;
	query = (repair_query_t){
		.hops = hops,
		.hop_count = exchange->target.count,
		.stages = (const pipeline_stage_t *)(void *)
				  candidates.stages->data,
		.stage_endpoints = ids,
		.stage_count = candidates.stages->len,
		.request_tokens = exchange->target.tokens,
		.hop_ms = HOP_OVERHEAD_MS,
		.cross_ms = PIPELINE_DOMAIN_CROSSING_MS,
	};
	found = pipeline_repair_plan(&query, &plan);
	if (found)
		apply_plan(exchange, &candidates, &plan, repair);
	free_candidates(&candidates);
	g_free(ids);
	return found;
}
