/* Unit tests of the choice of pipelines. */
#include "unit.h"

#include <glib.h>

#include "wisteria/fleet/pipeline.h"

#define LAYERS 80

static const pipeline_query_t query = {
	.layers = LAYERS,
	.request_tokens = 900,
	.entry_domain = 0,
	.hop_ms = 1,
	.cross_ms = 20,
	.entry_cross_ms = 12,
};

static pipeline_stage_t stage(uint32_t first, uint32_t end, uint32_t domain)
{
	return (pipeline_stage_t){
		.first_layer = first,
		.end_layer = end,
		.domain = domain,
		.layer_ms = 0.1,
		.pace = 1,
		.token_capacity = 10000,
	};
}

/* Each layer once and in order, at stages that hold it. */
static void assert_whole(const pipeline_stage_t *stages,
			 const pipeline_t *pipeline)
{
	uint32_t at = 0;

	for (uint32_t i = 0; i < pipeline->count; i++) {
		const pipeline_hop_t *hop = &pipeline->hops[i];

		CU_ASSERT_EQUAL(hop->first_layer, at);
		CU_ASSERT(hop->end_layer > at);
		CU_ASSERT(stages[hop->stage].first_layer <= hop->first_layer);
		CU_ASSERT(stages[hop->stage].end_layer >= hop->end_layer);
		for (uint32_t j = 0; j < i; j++)
			CU_ASSERT(pipeline->hops[j].stage != hop->stage);
		at = hop->end_layer;
	}
	CU_ASSERT_EQUAL(at, LAYERS);
}

static void test_stays_in_the_own_domain(void)
{
	const pipeline_stage_t stages[] = {
		stage(0, 40, 1),
		stage(40, 80, 1),
		stage(0, 50, 0),
		stage(50, 80, 0),
	};
	pipeline_t pipeline;

	CU_ASSERT_EQUAL(pipeline_choose(stages, 4, &query, &pipeline),
			PIPELINE_FOUND);
	assert_whole(stages, &pipeline);
	CU_ASSERT_EQUAL(pipeline.count, 2);
	CU_ASSERT_EQUAL(pipeline.hops[0].stage, 2);
}

/* Ranges of two plans overlap; a part begins inside a range. */
static void test_begins_inside_a_range(void)
{
	const pipeline_stage_t stages[] = { stage(0, 30, 0), stage(20, 60, 0),
					    stage(55, 80, 0) };
	pipeline_t pipeline;

	CU_ASSERT_EQUAL(pipeline_choose(stages, 3, &query, &pipeline),
			PIPELINE_FOUND);
	assert_whole(stages, &pipeline);
	CU_ASSERT_EQUAL(pipeline.count, 3);
}

static void test_goes_to_another_domain_whole(void)
{
	pipeline_stage_t stages[] = {
		stage(0, 40, 0),  stage(40, 80, 0), stage(0, 20, 1),
		stage(20, 60, 1), stage(60, 80, 1),
	};
	pipeline_t pipeline;

	stages[1].excluded = true;
	CU_ASSERT_EQUAL(pipeline_choose(stages, 5, &query, &pipeline),
			PIPELINE_FOUND);
	assert_whole(stages, &pipeline);
	for (uint32_t i = 0; i < pipeline.count; i++)
		CU_ASSERT_EQUAL(stages[pipeline.hops[i].stage].domain, 1);
}

static void test_mixes_domains_where_it_must(void)
{
	pipeline_stage_t stages[] = { stage(0, 40, 0), stage(40, 80, 1) };
	pipeline_query_t stays = query;
	pipeline_t pipeline;

	CU_ASSERT_EQUAL(pipeline_choose(stages, 2, &query, &pipeline),
			PIPELINE_FOUND);
	assert_whole(stages, &pipeline);
	stays.stays_in_domain = true;
	CU_ASSERT_EQUAL(pipeline_choose(stages, 2, &stays, &pipeline),
			PIPELINE_NO_MEMORY);
}

static void test_avoids_a_slow_stage(void)
{
	pipeline_stage_t stages[] = { stage(0, 40, 0), stage(40, 80, 0),
				      stage(0, 40, 1), stage(40, 80, 1) };
	pipeline_t pipeline;

	stages[1].pace = 12;
	CU_ASSERT_EQUAL(pipeline_choose(stages, 4, &query, &pipeline),
			PIPELINE_FOUND);
	for (uint32_t i = 0; i < pipeline.count; i++)
		CU_ASSERT(pipeline.hops[i].stage != 1);
}

static void test_tells_want_of_layers_from_want_of_memory(void)
{
	pipeline_stage_t stages[] = { stage(0, 40, 0), stage(40, 80, 0) };
	pipeline_t pipeline;

	stages[1].used_tokens = 9500;
	CU_ASSERT_EQUAL(pipeline_choose(stages, 2, &query, &pipeline),
			PIPELINE_NO_MEMORY);
	CU_ASSERT_EQUAL(pipeline.count, 0);
	stages[1].first_layer = 41;
	CU_ASSERT_EQUAL(pipeline_choose(stages, 2, &query, &pipeline),
			PIPELINE_NO_LAYERS);
	CU_ASSERT_EQUAL(pipeline_choose(NULL, 0, &query, &pipeline),
			PIPELINE_NO_LAYERS);
}

/* Fuller stages cost more, so that load spreads before one is full. */
static void test_load_spreads(void)
{
	pipeline_stage_t stages[] = { stage(0, 80, 0), stage(0, 80, 0) };
	pipeline_t pipeline;

	stages[0].used_tokens = 5000;
	CU_ASSERT_EQUAL(pipeline_choose(stages, 2, &query, &pipeline),
			PIPELINE_FOUND);
	CU_ASSERT_EQUAL(pipeline.hops[0].stage, 1);
}

/* Drawn fleets: what is found is whole, and never found without layers. */
static void test_drawn_fleets(void)
{
	GRand *random = g_rand_new_with_seed(7);
	unsigned found = 0;

	for (int run = 0; run < 500; run++) {
		pipeline_stage_t stages[24];
		pipeline_t pipeline;
		pipeline_result_t result;

		for (size_t i = 0; i < ARRAY_SIZE(stages); i++) {
			uint32_t first =
				(uint32_t)g_rand_int_range(random, 0, 76);
			uint32_t len =
				(uint32_t)g_rand_int_range(random, 4, 30);

			stages[i] =
				stage(first, MIN(first + len, LAYERS),
				      (uint32_t)g_rand_int_range(random, 0, 3));
			stages[i].layer_ms =
				g_rand_double_range(random, 0.01, 0.2);
			stages[i].excluded =
				g_rand_int_range(random, 0, 8) == 0;
			if (i % 6 == 0)
				stages[i].first_layer = 0;
		}
		result = pipeline_choose(stages, ARRAY_SIZE(stages), &query,
					 &pipeline);
		if (result != PIPELINE_FOUND)
			continue;
		found++;
		assert_whole(stages, &pipeline);
		for (uint32_t i = 0; i < pipeline.count; i++)
			CU_ASSERT_FALSE(
				stages[pipeline.hops[i].stage].excluded);
	}
	CU_ASSERT(found > 100);
	g_rand_free(random);
}

static const unit_test_t tests[] = {
	{ "stays in the own domain", test_stays_in_the_own_domain },
	{ "begins inside a range", test_begins_inside_a_range },
	{ "goes to another domain whole", test_goes_to_another_domain_whole },
	{ "mixes domains where it must", test_mixes_domains_where_it_must },
	{ "avoids a slow stage", test_avoids_a_slow_stage },
	{ "tells want of layers from want of memory",
	  test_tells_want_of_layers_from_want_of_memory },
	{ "load spreads", test_load_spreads },
	{ "drawn fleets", test_drawn_fleets },
};

int main(void)
{
	return unit_run("pipeline", tests, ARRAY_SIZE(tests));
}
