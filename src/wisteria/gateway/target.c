/* Choice of the endpoint, or the pipeline of endpoints, for one attempt. */
#include "wisteria/gateway/target.h"

#include <math.h>
#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/fleet/pipeline.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/routes.h"
#include "wisteria/gateway/gateway.h"

/* Room left for what other entries have begun since their last report. */
#define MEMORY_USED_MAX 0.95
/* Passing on within a failure domain and waiting for the pass under way. */
#define HOP_MS 1.0
/*
 * What a token loses by crossing between failure domains: its delay, and above
 * all its share of the pipe that all requests use.  More than the whole
 * pipeline loses by being in another domain.
 */
#define CROSS_MS 20.0
/*
 * Share of the time of one pipe between two domains that all entries together
 * plan to use: a transfer waits for those before it, and at twice this load
 * the wait would be longer than a token.
 */
#define PIPE_SHARE 0.6
/* Pipe time that an entry may save up: a few prompts at once. */
#define PIPE_SAVED_MS 120.0
/*
 * A pipeline in another domain is taken where it saves this much a token: the
 * answer then crosses once, and the prompt's activations do not cross at all.
 */
#define ENTRY_CROSS_MS 12.0
/* How many requests more a plain endpoint of the own domain may have. */
#define OWN_DOMAIN_REQUESTS 3

static bool is_candidate(const exchange_t *exchange, const endpoint_t *endpoint)
{
	return strcmp(endpoint->service, exchange->service->name) == 0 &&
	       registry_is_usable(&exchange->gateway->registry, endpoint) &&
	       !g_ptr_array_find_with_equal_func(exchange->failed, endpoint->id,
						 g_str_equal, NULL);
}

static void put_hop(target_t *target, const endpoint_t *endpoint,
		    uint32_t first_layer, uint32_t end_layer)
{
	uint32_t i = target->count++;

	g_strlcpy(target->ids[i], endpoint->id, ENDPOINT_ID_BYTES);
	g_strlcpy(target->addresses[i], endpoint->address,
		  ENDPOINT_ADDRESS_BYTES);
	target->first_layers[i] = first_layer;
	target->end_layers[i] = end_layer;
}

/* Plain services. */

static double plain_cost(const gateway_t *gateway, const endpoint_t *endpoint)
{
	double cost = usage_requests(&gateway->usage, endpoint->id);

	if (strcmp(endpoint->failure_domain,
		   gateway->settings->failure_domain) != 0)
		cost += OWN_DOMAIN_REQUESTS;
	if (gateway_is_suspect(gateway, endpoint->id))
		cost += endpoint->slots;
	return cost + g_rand_double(gateway->random) / 2;
}

static target_result_t choose_plain(const exchange_t *exchange,
				    target_t *target)
{
	const gateway_t *gateway = exchange->gateway;
	const endpoint_t *best = NULL;
	double best_cost = INFINITY;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gateway->registry.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		double cost;

		if (!is_candidate(exchange, value))
			continue;
		cost = plain_cost(gateway, value);
		if (cost >= best_cost)
			continue;
		best = value;
		best_cost = cost;
	}
	if (best == NULL)
		return TARGET_NONE;
	target->cost_ms = best_cost;
	put_hop(target, best, 0, 0);
	return TARGET_FOUND;
}

/* Models. */

typedef struct {
	GArray *stages;	      /* of pipeline_stage_t */
	GPtrArray *endpoints; /* of const endpoint_t */
	GPtrArray *domains;   /* their names; the first is our own */
} candidates_t;

/* Domains beyond those that the search tells apart are taken for one. */
static uint32_t domain_number(const candidates_t *candidates, const char *name)
{
	return MIN(registry_domain_number(candidates->domains, name),
		   PIPELINE_DOMAINS_MAX - 1);
}

static void add_stage(const exchange_t *exchange, const endpoint_t *endpoint,
		      candidates_t *candidates)
{
	const gateway_t *gateway = exchange->gateway;
	const engine_model_t *engine = &exchange->service->engine;
	const accelerator_t *accelerator =
		engine_accelerator(engine, endpoint->accelerator);
	pipeline_stage_t stage = {
		.first_layer = endpoint->first_layer,
		.end_layer = endpoint->end_layer,
	};

	if (accelerator == NULL || stage.first_layer >= stage.end_layer)
		return;
	stage.domain = domain_number(candidates, endpoint->failure_domain);
	stage.layer_ms = engine->step_ms * accelerator->pace / engine->layers;
	stage.token_capacity =
		engine_token_capacity(engine, accelerator,
				      stage.end_layer - stage.first_layer) *
		MEMORY_USED_MAX;
	stage.used_tokens = usage_tokens(&gateway->usage, endpoint->id,
					 clock_now(gateway->clock));
	stage.pace = gateway_pace(gateway, endpoint->id);
	stage.excluded = gateway_is_suspect(gateway, endpoint->id);
	g_array_append_val(candidates->stages, stage);
	g_ptr_array_add(candidates->endpoints, (gpointer)endpoint);
}

static void collect(const exchange_t *exchange, candidates_t *candidates)
{
	const gateway_t *gateway = exchange->gateway;
	GHashTableIter iter;
	gpointer value;

	domain_number(candidates, gateway->settings->failure_domain);
	g_hash_table_iter_init(&iter, gateway->registry.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_candidate(exchange, value))
			add_stage(exchange, value, candidates);
}

/*
 * Tokens that a request holds on average while it runs: its answer grows from
 * nothing, and requests under way are at all stages of it.
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
static double pipe_time(const exchange_t *exchange)
{
	const engine_model_t *engine = &exchange->service->engine;

	if (engine->pipe_mbps <= 0)
		return 0;
	return request_tokens(exchange) * engine->activation_bytes * 8 /
	       (engine->pipe_mbps * 1000);
}

/* Lets the entry's share of pipe time grow with the clock. */
static void fill_pipe_share(gateway_t *gateway)
{
	clock_ms_t now = clock_now(gateway->clock);
	double grown = (double)(now - gateway->pipe_filled_ms) * PIPE_SHARE /
		       MAX(gateway->entries, 1);

	gateway->pipe_ms = MIN(gateway->pipe_ms + grown, PIPE_SAVED_MS);
	gateway->pipe_filled_ms = now;
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

/*
 * Chooses a pipeline and pays for the pipes that it crosses; one that is
 * beyond the entry's share is given up for one that crosses none.
 */
static pipeline_result_t choose_within_share(exchange_t *exchange,
					     const candidates_t *candidates,
					     pipeline_query_t *query,
					     pipeline_t *pipeline)
{
	gateway_t *gateway = exchange->gateway;
	const pipeline_stage_t *stages =
		(const pipeline_stage_t *)(void *)candidates->stages->data;
	uint32_t count = candidates->stages->len;
	pipeline_result_t result;
	double needed;

	fill_pipe_share(gateway);
	result = pipeline_choose(stages, count, query, pipeline);
	if (result != PIPELINE_FOUND)
		return result;
	needed = count_crossings(pipeline, stages) * pipe_time(exchange);
	if (needed > 0 && gateway->pipe_ms < needed) {
		query->stays_in_domain = true;
		return pipeline_choose(stages, count, query, pipeline);
	}
	gateway->pipe_ms -= needed;
	return PIPELINE_FOUND;
}

static target_result_t choose_pipeline(exchange_t *exchange, target_t *target)
{
	static const target_result_t results[] = {
		[PIPELINE_FOUND] = TARGET_FOUND,
		[PIPELINE_NO_LAYERS] = TARGET_NONE,
		[PIPELINE_NO_MEMORY] = TARGET_FULL,
	};
	candidates_t candidates = {
		.stages = g_array_new(FALSE, FALSE, sizeof(pipeline_stage_t)),
		.endpoints = g_ptr_array_new(),
		.domains = g_ptr_array_new(),
	};
	pipeline_query_t query = {
		.layers = exchange->service->engine.layers,
		.request_tokens = request_tokens(exchange),
		.entry_domain = 0,
		.hop_ms = HOP_MS,
		.cross_ms = CROSS_MS,
		.entry_cross_ms = ENTRY_CROSS_MS,
	};
	pipeline_t pipeline;
	pipeline_result_t result;

	collect(exchange, &candidates);
	result = choose_within_share(exchange, &candidates, &query, &pipeline);
	for (uint32_t i = 0; i < pipeline.count; i++)
		put_hop(target,
			g_ptr_array_index(candidates.endpoints,
					  pipeline.hops[i].stage),
			pipeline.hops[i].first_layer,
			pipeline.hops[i].end_layer);
	target->is_pipeline = true;
	target->tokens = query.request_tokens;
	target->cost_ms = pipeline.cost_ms;
	g_array_unref(candidates.stages);
	g_ptr_array_unref(candidates.endpoints);
	g_ptr_array_unref(candidates.domains);
	return results[result];
}

/* Chooses where the next attempt of "exchange" goes. */
target_result_t target_choose(exchange_t *exchange, target_t *target)
{
	memset(target, 0, sizeof(*target));
	if (exchange->service->has_engine)
		return choose_pipeline(exchange, target);
	return choose_plain(exchange, target);
}
