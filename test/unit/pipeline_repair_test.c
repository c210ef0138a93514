/* Unit tests of the replacement of lost hops of a running pipeline. */
#include "unit.h"

#include <string.h>

#include <glib.h>

#include "wisteria/gateway/pipeline_repair.h"

#define LAYERS 80
#define STAGES_MAX 48
#define REQUEST_TOKENS 900.0

typedef struct {
	running_hop_t hops[PIPELINE_HOPS_MAX];
	pipeline_stage_t stages[STAGES_MAX];
	const char *ids[STAGES_MAX];
	repair_query_t query;
	pipeline_repair_t repair;
} case_t;

static void case_init(case_t *test)
{
	memset(test, 0, sizeof(*test));
	test->query = (repair_query_t){
		.hops = test->hops,
		.stages = test->stages,
		.stage_endpoints = test->ids,
		.request_tokens = REQUEST_TOKENS,
		.hop_ms = 1,
		.cross_ms = 20,
	};
}

static void add_hop(case_t *test, const char *id, uint32_t first, uint32_t end,
		    bool is_lost)
{
	test->hops[test->query.hop_count++] = (running_hop_t){
		.endpoint = id,
		.first_layer = first,
		.end_layer = end,
		.is_lost = is_lost,
	};
}

static pipeline_stage_t *add_stage(case_t *test, const char *id, uint32_t first,
				   uint32_t end)
{
	pipeline_stage_t *stage = &test->stages[test->query.stage_count];

	test->ids[test->query.stage_count++] = id;
	*stage = (pipeline_stage_t){
		.first_layer = first,
		.end_layer = end,
		.layer_ms = 0.1,
		.pace = 1,
		.token_capacity = 10000,
	};
	return stage;
}

static const char *id_of(const case_t *test, const repaired_hop_t *hop)
{
	return hop->is_new ? test->ids[hop->index]
			   : test->hops[hop->index].endpoint;
}

/*
 * Checks what holds for each repair: layers once and in order, no endpoint
 * twice, no lost endpoint, kept hops unchanged, at most 32 parts.
 */
static void expect_sound(const case_t *test)
{
	const pipeline_repair_t *repair = &test->repair;
	uint32_t layer = 0;

	CU_ASSERT(repair->count <= PIPELINE_HOPS_MAX);
	for (uint32_t i = 0; i < repair->count; i++) {
		const repaired_hop_t *hop = &repair->hops[i];

		CU_ASSERT_EQUAL(hop->first_layer, layer);
		CU_ASSERT(hop->end_layer > hop->first_layer);
		layer = hop->end_layer;
		for (uint32_t j = 0; j < i; j++)
			CU_ASSERT_STRING_NOT_EQUAL(
				id_of(test, hop),
				id_of(test, &repair->hops[j]));
		for (uint32_t j = 0; j < test->query.hop_count; j++)
			CU_ASSERT_FALSE(test->hops[j].is_lost &&
					strcmp(test->hops[j].endpoint,
					       id_of(test, hop)) == 0);
		if (hop->is_new) {
			const pipeline_stage_t *stage =
				&test->stages[hop->index];

			CU_ASSERT(stage->first_layer <= hop->first_layer);
			CU_ASSERT(stage->end_layer >= hop->end_layer);
			continue;
		}
		CU_ASSERT_EQUAL(test->hops[hop->index].first_layer,
				hop->first_layer);
		CU_ASSERT_EQUAL(test->hops[hop->index].end_layer,
				hop->end_layer);
	}
	CU_ASSERT_EQUAL(layer, LAYERS);
}

static bool plan(case_t *test)
{
	bool found = pipeline_repair_plan(&test->query, &test->repair);

	if (found)
		expect_sound(test);
	return found;
}

/* Expects the endpoints "ids", which end with NULL. */
static void expect_path(const case_t *test, const char *const ids[])
{
	uint32_t count = 0;

	while (ids[count] != NULL)
		count++;
	CU_ASSERT_EQUAL_FATAL(test->repair.count, count);
	for (uint32_t i = 0; i < count; i++)
		CU_ASSERT_STRING_EQUAL(id_of(test, &test->repair.hops[i]),
				       ids[i]);
}

/* a: layers 0-20, b: 20-60, lost, c: 60-80. */
static void begin_middle_lost(case_t *test)
{
	case_init(test);
	add_hop(test, "a", 0, 20, false);
	add_hop(test, "b", 20, 60, true);
	add_hop(test, "c", 60, 80, false);
}

/* Guards against a repair that moves hops that are not lost. */
static void test_only_the_lost_hop_is_replaced(void)
{
	case_t test;

	begin_middle_lost(&test);
	add_stage(&test, "whole", 0, 80);
	CU_ASSERT_TRUE_FATAL(plan(&test));
	expect_path(&test, (const char *const[]){ "a", "whole", "c", NULL });
	CU_ASSERT_EQUAL(test.repair.new_layers, 40);
}

/* Guards against a repair that is not the cheapest. */
static void test_cheapest_is_taken(void)
{
	case_t test;

	begin_middle_lost(&test);
	add_stage(&test, "slow", 20, 60)->pace = 5;
	add_stage(&test, "fast", 20, 60);
	add_stage(&test, "full", 20, 60)->used_tokens = 9000;
	CU_ASSERT_TRUE_FATAL(plan(&test));
	expect_path(&test, (const char *const[]){ "a", "fast", "c", NULL });
}

/* Guards against a path with an endpoint twice, which engines refuse. */
static void test_no_endpoint_is_used_twice(void)
{
	case_t test;

	begin_middle_lost(&test);
	add_stage(&test, "a", 0, 80);
	add_stage(&test, "b", 20, 60);
	add_stage(&test, "c", 20, 80);
	CU_ASSERT_FALSE(plan(&test));
	add_stage(&test, "d", 10, 70)->pace = 9;
	CU_ASSERT_TRUE_FATAL(plan(&test));
	expect_path(&test, (const char *const[]){ "a", "d", "c", NULL });
}

/*
 * Guards against the use of one endpoint for two lost ranges: "wide" is the
 * cheapest for both, and is in the path once only.
 */
static void test_no_endpoint_fills_two_gaps(void)
{
	case_t test;

	case_init(&test);
	add_hop(&test, "a", 0, 20, false);
	add_hop(&test, "b", 20, 40, true);
	add_hop(&test, "c", 40, 60, false);
	add_hop(&test, "d", 60, 80, true);
	add_stage(&test, "wide", 20, 80);
	CU_ASSERT_FALSE(plan(&test));
	add_stage(&test, "last", 60, 80)->pace = 3;
	CU_ASSERT_TRUE_FATAL(plan(&test));
	expect_path(&test,
		    (const char *const[]){ "a", "wide", "c", "last", NULL });
	CU_ASSERT_EQUAL(test.repair.new_layers, 40);
}

/* Guards against an order that the endpoint refuses for lack of memory. */
static void test_endpoints_without_room_are_left_out(void)
{
	case_t test;

	begin_middle_lost(&test);
	add_stage(&test, "e", 20, 60)->used_tokens = 10000 - REQUEST_TOKENS + 1;
	CU_ASSERT_FALSE(plan(&test));
	add_stage(&test, "f", 20, 60)->used_tokens = 10000 - REQUEST_TOKENS;
	CU_ASSERT_TRUE_FATAL(plan(&test));
	expect_path(&test, (const char *const[]){ "a", "f", "c", NULL });
}

/* Guards against the use of suspected endpoints. */
static void test_excluded_endpoints_are_left_out(void)
{
	case_t test;

	begin_middle_lost(&test);
	add_stage(&test, "e", 20, 60)->excluded = true;
	CU_ASSERT_FALSE(plan(&test));
}

/* Guards against a repair without the endpoint that holds the connection. */
static void test_lost_first_hop_is_not_repaired(void)
{
	case_t test;

	case_init(&test);
	add_hop(&test, "a", 0, 20, true);
	add_hop(&test, "b", 20, 80, false);
	add_stage(&test, "e", 0, 80);
	CU_ASSERT_FALSE(plan(&test));
	test.hops[1].is_lost = true;
	CU_ASSERT_FALSE(plan(&test));
}

/* Guards against an order that changes nothing. */
static void test_whole_pipeline_is_not_repaired(void)
{
	case_t test;

	begin_middle_lost(&test);
	test.hops[1].is_lost = false;
	add_stage(&test, "e", 0, 80);
	CU_ASSERT_FALSE(plan(&test));
}

/*
 * Guards against the loss of layers where two adjacent hops are lost: one range
 * of both, which no single hop needs to match.
 */
static void test_adjacent_lost_hops_are_one_range(void)
{
	case_t test;

	case_init(&test);
	add_hop(&test, "a", 0, 20, false);
	add_hop(&test, "b", 20, 45, true);
	add_hop(&test, "c", 45, 80, true);
	add_stage(&test, "e", 20, 50);
	add_stage(&test, "f", 50, 80);
	CU_ASSERT_TRUE_FATAL(plan(&test));
	expect_path(&test, (const char *const[]){ "a", "e", "f", NULL });
	CU_ASSERT_EQUAL(test.repair.new_layers, 60);
}

/*
 * Guards against layers that run twice or not at all where the endpoints hold
 * only parts of the lost range, and more on its outside.
 */
static void test_ranges_that_overlap_in_part(void)
{
	case_t test;

	begin_middle_lost(&test);
	add_stage(&test, "e", 0, 35);
	add_stage(&test, "f", 30, 70);
	CU_ASSERT_TRUE_FATAL(plan(&test));
	expect_path(&test, (const char *const[]){ "a", "e", "f", "c", NULL });
	test.stages[1].first_layer = 36;
	CU_ASSERT_FALSE(plan(&test));
}

/*
 * Guards against transfers between failure domains: a slow endpoint in the
 * domain of the lost one is preferred; another domain is used only if none is.
 */
static void test_domain_of_the_lost_hop_is_preferred(void)
{
	case_t test;

	begin_middle_lost(&test);
	test.hops[1].domain = 1;
	add_stage(&test, "other", 20, 60);
	CU_ASSERT_TRUE_FATAL(plan(&test));
	expect_path(&test, (const char *const[]){ "a", "other", "c", NULL });
	add_stage(&test, "same", 20, 60)->domain = 1;
	test.stages[1].pace = 20;
	CU_ASSERT_TRUE_FATAL(plan(&test));
	expect_path(&test, (const char *const[]){ "a", "same", "c", NULL });
}

/*
 * Guards against the limit for first hops, which does not concern the others:
 * an endpoint that also holds layer 0 and may get no new request.
 */
static void test_limit_of_first_hops_does_not_matter(void)
{
	case_t test;

	begin_middle_lost(&test);
	add_stage(&test, "e", 0, 80)->not_first = true;
	CU_ASSERT_TRUE(plan(&test));
}

/*
 * Guards against a path of more than 32 parts: of 32 hops one is lost, and two
 * fast endpoints in its place would be cheaper than the slow one.
 */
static void test_path_has_at_most_32_parts(void)
{
	static char ids[PIPELINE_HOPS_MAX][8];
	case_t test;

	case_init(&test);
	for (uint32_t i = 0; i < PIPELINE_HOPS_MAX; i++) {
		g_snprintf(ids[i], sizeof(ids[i]), "h%u", i);
		add_hop(&test, ids[i], 2 * i,
			i + 1 == PIPELINE_HOPS_MAX ? LAYERS : 2 * (i + 1),
			i == 5);
	}
	add_stage(&test, "e", 10, 11);
	add_stage(&test, "f", 11, 12);
	/* One without room is not taken for being short either. */
	add_stage(&test, "full", 10, 12)->used_tokens = 10000;
	CU_ASSERT_FALSE(plan(&test));
	add_stage(&test, "slow", 10, 12)->pace = 50;
	CU_ASSERT_TRUE_FATAL(plan(&test));
	CU_ASSERT_EQUAL(test.repair.count, PIPELINE_HOPS_MAX);
	CU_ASSERT_STRING_EQUAL(id_of(&test, &test.repair.hops[5]), "slow");
}

static const unit_test_t tests[] = {
	{ "only the lost hop is replaced", test_only_the_lost_hop_is_replaced },
	{ "cheapest is taken", test_cheapest_is_taken },
	{ "no endpoint is used twice", test_no_endpoint_is_used_twice },
	{ "no endpoint fills two gaps", test_no_endpoint_fills_two_gaps },
	{ "endpoints without room are left out",
	  test_endpoints_without_room_are_left_out },
	{ "excluded endpoints are left out",
	  test_excluded_endpoints_are_left_out },
	{ "lost first hop is not repaired",
	  test_lost_first_hop_is_not_repaired },
	{ "whole pipeline is not repaired",
	  test_whole_pipeline_is_not_repaired },
	{ "adjacent lost hops are one range",
	  test_adjacent_lost_hops_are_one_range },
	{ "ranges that overlap in part", test_ranges_that_overlap_in_part },
	{ "domain of the lost hop is preferred",
	  test_domain_of_the_lost_hop_is_preferred },
	{ "limit of first hops does not matter",
	  test_limit_of_first_hops_does_not_matter },
	{ "path has at most 32 parts", test_path_has_at_most_32_parts },
};

int main(void)
{
	return unit_run("pipeline_repair", tests, ARRAY_SIZE(tests));
}
