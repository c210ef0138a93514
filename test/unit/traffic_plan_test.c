/*
 * Unit tests of the traffic plan and of the time of pipelines: what the plan
 * gives each pipeline, and what it must never do.
 */
#include "unit.h"

#include <math.h>

#include "wisteria/fleet/traffic_plan.h"

#define LAYERS 80
#define PROMPT_TOKENS 800
#define STAGES_MAX 16

/* The figures of a deployment's engine; one pass prefills one chunk. */
static const engine_model_t engine = {
	.layers = LAYERS,
	.stride = 4,
	.chunk_tokens = 512,
	.step_ms = 1.02,
	.per_sequence_ms = 0.00255,
	.context_per_k_ms = 0.00342,
	.prefill_tokens_per_s = 294000,
	.activation_bytes = 16400,
	.domain_link_mbps = 3120,
};
static const accelerator_t fast = { .pace = 2.4, .prefill_factor = 3.2 };

static traffic_stage_t stages[STAGES_MAX];
static uint32_t stage_count;

static void add_stage(uint32_t domain, uint32_t first_layer, uint32_t end_layer,
		      double pass_ms)
{
	stages[stage_count++] = (traffic_stage_t){
		.domain = domain,
		.first_layer = first_layer,
		.end_layer = end_layer,
		.usable = true,
		.first_rate = INFINITY,
		.pass_ms = pass_ms,
		.memory_tokens = 1e9,
	};
}

/* Two halves; a pass over all layers takes "pass_ms". */
static void add_pipeline(uint32_t domain, double pass_ms)
{
	add_stage(domain, 0, LAYERS / 2, pass_ms / 2);
	add_stage(domain, LAYERS / 2, LAYERS, pass_ms / 2);
}

static void make(traffic_plan_t *plan, const double *demand, uint32_t domains)
{
	const traffic_input_t input = {
		.engine = &engine,
		.stages = stages,
		.stage_count = stage_count,
		.demand = demand,
		.domain_count = domains,
		.prompt_tokens = PROMPT_TOKENS,
		.answer_tokens = 200,
	};

	traffic_plan_make(plan, &input);
}

static double rate_from(const traffic_plan_t *plan, uint32_t callers,
			uint32_t domain)
{
	double rate = 0;

	for (guint i = 0; i < plan->flows->len; i++) {
		const traffic_flow_t *flow =
			&g_array_index(plan->flows, traffic_flow_t, i);

		if (flow->domain == callers &&
		    stages[flow->pipeline.hops[0].stage].domain == domain)
			rate += flow->rate;
	}
	return rate;
}

/* Checks each layer once and in order, and what each endpoint is given. */
static void expect_sound(const traffic_plan_t *plan)
{
	double given[STAGES_MAX] = { 0 };

	for (guint i = 0; i < plan->flows->len; i++) {
		const traffic_flow_t *flow =
			&g_array_index(plan->flows, traffic_flow_t, i);
		uint32_t layer = 0;

		CU_ASSERT(flow->rate > 0);
		for (uint32_t j = 0; j < flow->pipeline.count; j++) {
			const pipeline_hop_t *hop = &flow->pipeline.hops[j];
			const traffic_stage_t *stage = &stages[hop->stage];

			CU_ASSERT_EQUAL(hop->first_layer, layer);
			CU_ASSERT(stage->usable &&
				  stage->first_layer <= hop->first_layer &&
				  hop->end_layer <= stage->end_layer);
			layer = hop->end_layer;
			given[hop->stage] +=
				flow->rate *
				(hop->end_layer - hop->first_layer) /
				(stage->end_layer - stage->first_layer);
		}
		CU_ASSERT_EQUAL(layer, LAYERS);
	}
	for (uint32_t i = 0; i < stage_count; i++)
		CU_ASSERT(given[i] <=
			  0.85 * engine.chunk_tokens / stages[i].pass_ms +
				  1e-6);
}

/* A prefill rate that counts only steps would let one pipeline have it all. */
static void test_pass(void)
{
	const engine_load_t load = { .sequences = 80,
				     .context_tokens = 60000,
				     .slowdown = 1 };
	double pass_ms = pipeline_time_pass_ms(&engine, &fast, 27, &load);
	double rate = pipeline_time_prefill_rate(&engine, pass_ms);
	const engine_load_t slow = { .sequences = 80,
				     .context_tokens = 60000,
				     .slowdown = 2 };

	/* (4 x (1.02 + 0.204 + 0.2052) x 2.4 + 512 / 294 x 3.2) x 27 / 80. */
	CU_ASSERT_DOUBLE_EQUAL(pass_ms, 6.511, 0.01);
	CU_ASSERT_DOUBLE_EQUAL(rate, 512 / pass_ms, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(pipeline_time_pass_ms(&engine, &fast, 27, &slow),
			       2 * pass_ms, 0.001);
	CU_ASSERT_FALSE(pipeline_time_is_known(
		&(const engine_model_t){ .layers = LAYERS, .step_ms = 1 }));
}

/* A long prompt costs a pass of the slowest hop for each further chunk. */
static void test_first_event(void)
{
	const hop_time_t hops[] = { { 4, 0 }, { 6, 10 } };
	pipeline_time_t one = pipeline_time_estimate(&engine, hops, 2, 512);
	pipeline_time_t three = pipeline_time_estimate(&engine, hops, 2, 1536);

	CU_ASSERT_DOUBLE_EQUAL(one.first_event_ms, 25, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(three.first_event_ms, 37, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(one.pause_ms, 15, 0.001);
}

/* Guards against all requests through the fastest pipeline. */
static void test_demand_is_spread(void)
{
	const double demand[] = { 100 };
	traffic_plan_t plan;

	stage_count = 0;
	add_pipeline(0, 10); /* prefills 102 tokens a ms */
	add_pipeline(0, 14); /* 73 */
	traffic_plan_init(&plan);
	make(&plan, demand, 1);
	expect_sound(&plan);
	CU_ASSERT_EQUAL(plan.flows->len, 2);
	CU_ASSERT_DOUBLE_EQUAL(rate_from(&plan, 0, 0), 100, 0.5);
	CU_ASSERT_DOUBLE_EQUAL(plan.capacity, 0.85 * (102.4 + 73.14), 1);
	traffic_plan_finish(&plan);
}

/* Guards against callers of one domain who wait while another has room. */
static void test_room_of_other_domains(void)
{
	const double demand[] = { 100, 10 };
	traffic_plan_t plan;

	stage_count = 0;
	add_pipeline(0, 10);
	add_pipeline(1, 10);
	traffic_plan_init(&plan);
	make(&plan, demand, 2);
	expect_sound(&plan);
	CU_ASSERT_DOUBLE_EQUAL(rate_from(&plan, 0, 0) + rate_from(&plan, 0, 1),
			       100, 0.5);
	CU_ASSERT(rate_from(&plan, 0, 0) > 60);
	CU_ASSERT(rate_from(&plan, 0, 1) > 10);
	CU_ASSERT_DOUBLE_EQUAL(rate_from(&plan, 1, 1), 10, 0.5);
	traffic_plan_finish(&plan);
}

/* Guards against more requests than the KV cache holds. */
static void test_memory_bounds(void)
{
	const double demand[] = { 100 };
	traffic_plan_t roomy;
	traffic_plan_t tight;

	stage_count = 0;
	add_pipeline(0, 10);
	traffic_plan_init(&roomy);
	traffic_plan_init(&tight);
	make(&roomy, demand, 1);
	stages[0].memory_tokens = 20000;
	make(&tight, demand, 1);
	expect_sound(&tight);
	CU_ASSERT(tight.capacity > 0);
	CU_ASSERT(tight.capacity < roomy.capacity / 2);
	traffic_plan_finish(&roomy);
	traffic_plan_finish(&tight);
}

/* Guards against sending more to an endpoint that has prompts to catch up on. */
static void test_backlog_is_deducted(void)
{
	const double demand[] = { 200 };
	traffic_plan_t plan;
	double before;

	stage_count = 0;
	add_pipeline(0, 10);
	traffic_plan_init(&plan);
	make(&plan, demand, 1);
	before = plan.capacity;
	stages[1].backlog_tokens = 60000;
	make(&plan, demand, 1);
	expect_sound(&plan);
	CU_ASSERT(plan.capacity < before - 20);
	traffic_plan_finish(&plan);
}

/* Guards against planning a limited endpoint beyond what it names. */
static void test_limited_first(void)
{
	const double demand[] = { 50 };
	traffic_plan_t plan;

	stage_count = 0;
	add_pipeline(0, 10);
	stages[0].first_rate = 8;
	traffic_plan_init(&plan);
	make(&plan, demand, 1);
	expect_sound(&plan);
	CU_ASSERT_DOUBLE_EQUAL(plan.capacity, 8, 0.5);
	traffic_plan_finish(&plan);
}

/* Guards against flows through lost endpoints, and endless planning. */
static void test_losses(void)
{
	const double demand[] = { 50, 50 };
	traffic_plan_t plan;

	stage_count = 0;
	add_pipeline(0, 10);
	add_pipeline(1, 10);
	stages[1].usable = false;
	traffic_plan_init(&plan);
	make(&plan, demand, 2);
	expect_sound(&plan);
	CU_ASSERT(rate_from(&plan, 0, 1) > 0);
	CU_ASSERT(rate_from(&plan, 1, 1) > 0);
	stages[3].usable = false;
	make(&plan, demand, 2);
	CU_ASSERT_EQUAL(plan.flows->len, 0);
	CU_ASSERT_EQUAL(plan.capacity, 0);
	traffic_plan_finish(&plan);
}

/* More usable endpoints never lower the capacity: 200 drawn layouts. */
static void test_monotone_in_endpoints(void)
{
	GRand *random = g_rand_new_with_seed(20261204);
	const double demand[] = { 60, 90 };
	traffic_plan_t plan;

	traffic_plan_init(&plan);
	for (int i = 0; i < 200; i++) {
		double fewer;

		stage_count = 0;
		for (uint32_t j = 0; j < 4; j++)
			add_pipeline(j % 2, g_rand_double_range(random, 5, 30));
		add_pipeline(0, 10);
		stages[stage_count - 1].usable = false;
		make(&plan, demand, 2);
		expect_sound(&plan);
		fewer = plan.capacity;
		stages[stage_count - 1].usable = true;
		make(&plan, demand, 2);
		expect_sound(&plan);
		CU_ASSERT(plan.capacity >= fewer * 0.999);
	}
	traffic_plan_finish(&plan);
	g_rand_free(random);
}

static const unit_test_t tests[] = {
	{ "time of a pass", test_pass },
	{ "time to the first event", test_first_event },
	{ "demand is spread", test_demand_is_spread },
	{ "room of other domains", test_room_of_other_domains },
	{ "memory bounds", test_memory_bounds },
	{ "backlog is deducted", test_backlog_is_deducted },
	{ "limited first endpoint", test_limited_first },
	{ "losses", test_losses },
	{ "monotone in endpoints", test_monotone_in_endpoints },
};

int main(void)
{
	return unit_run("traffic_plan", tests, ARRAY_SIZE(tests));
}
