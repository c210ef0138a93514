/* Unit tests of an entry's use of the leader's plan, and of the demand. */
#include "unit.h"

#include <string.h>

#include "wisteria/fleet/demand_sum.h"
#include "wisteria/gateway/demand.h"
#include "wisteria/gateway/flow_plan.h"

static const msg_fleet_hop_t hops[] = { { "i-1", 1, 0, 80 },
					{ "i-2", 1, 0, 80 },
					{ "i-3", 1, 0, 80 } };
static msg_fleet_flow_t flows[] = {
	{ .tokens_per_s = 6000, .hops = &hops[0], .hop_count = 1 },
	{ .tokens_per_s = 3000, .hops = &hops[1], .hop_count = 1 },
	{ .tokens_per_s = 1000, .hops = &hops[2], .hop_count = 1 },
};
static const msg_fleet_service_plan_t service = {
	.service = "s",
	.share_per_s = 10000,
	.flows = flows,
	.flow_count = ARRAY_SIZE(flows),
};

static bool follow(flow_plan_t *plan, uint64_t term, uint64_t sequence,
		   int64_t sent_ms, clock_ms_t now)
{
	const msg_fleet_plan_t message = { .term = term,
					   .sequence = sequence,
					   .report_sent_ms = sent_ms,
					   .services = &service,
					   .service_count = 1 };

	return flow_plan_follow(plan, &message, now);
}

static bool is_any(const planned_flow_t *flow, void *user)
{
	return user == NULL || strcmp(flow->hops[0].endpoint, user) != 0;
}

/* Counts which of "count" requests of 800 tokens each flow gets. */
static void play(flow_plan_t *plan, unsigned count, void *user,
		 unsigned chosen[3])
{
	memset(chosen, 0, 3 * sizeof(chosen[0]));
	for (unsigned i = 0; i < count; i++) {
		planned_flow_t *flow = flow_plan_choose(
			flow_plan_find(plan, "s", 0), 800, is_any, user);

		chosen[flow->hops[0].endpoint[2] - '1']++;
	}
}

/* Guards against herds: parts hold over a few requests, not on average only. */
static void test_parts(void)
{
	flow_plan_t plan;
	unsigned chosen[3];

	flow_plan_init(&plan);
	CU_ASSERT_TRUE(follow(&plan, 1, 1, 0, 0));
	play(&plan, 10, NULL, chosen);
	CU_ASSERT_EQUAL(chosen[0], 6);
	CU_ASSERT_EQUAL(chosen[1], 3);
	CU_ASSERT_EQUAL(chosen[2], 1);
	/* A new plan with the same pipelines goes on where the last one was. */
	play(&plan, 5, NULL, chosen);
	CU_ASSERT_TRUE(follow(&plan, 1, 2, 0, 0));
	play(&plan, 5, NULL, chosen);
	CU_ASSERT(chosen[2] <= 1);
	flow_plan_finish(&plan);
}

/* Guards against a burst to a pipeline that was not usable for a while. */
static void test_unusable_flow(void)
{
	flow_plan_t plan;
	unsigned chosen[3];

	flow_plan_init(&plan);
	CU_ASSERT_TRUE(follow(&plan, 1, 1, 0, 0));
	play(&plan, 100, (void *)"i-1", chosen);
	CU_ASSERT_EQUAL(chosen[0], 0);
	CU_ASSERT_EQUAL(chosen[1], 75);
	play(&plan, 10, NULL, chosen);
	CU_ASSERT(chosen[0] >= 5 && chosen[0] <= 8);
	flow_plan_finish(&plan);
}

/*
 * Guards against acting on a plan that has run out, as that of a leader that was
 * frozen or has been replaced, or at an entry that was paused.
 */
static void test_old_plans(void)
{
	flow_plan_t plan;

	flow_plan_init(&plan);
	CU_ASSERT_PTR_NULL(flow_plan_find(&plan, "s", 0));
	CU_ASSERT_TRUE(follow(&plan, 3, 7, 1000, 1100));
	CU_ASSERT_FALSE(follow(&plan, 3, 7, 1100, 1200));
	CU_ASSERT_FALSE(follow(&plan, 2, 9, 1100, 1200));
	CU_ASSERT_FALSE(follow(&plan, 3, 8, 1000, 1000 + FLOW_PLAN_MAX_AGE_MS));
	CU_ASSERT_FALSE(follow(&plan, 3, 8, 5000, 1200));
	CU_ASSERT_PTR_NOT_NULL(
		flow_plan_find(&plan, "s", 999 + FLOW_PLAN_MAX_AGE_MS));
	CU_ASSERT_PTR_NULL(
		flow_plan_find(&plan, "s", 1000 + FLOW_PLAN_MAX_AGE_MS));
	CU_ASSERT_PTR_NULL(flow_plan_find(&plan, "other", 1100));
	CU_ASSERT_TRUE(follow(&plan, 4, 1, 1100, 1200));
	flow_plan_finish(&plan);
}

/* Guards against one entry whose reports give it the demand of another. */
static void test_demand(void)
{
	demand_sum_t sum;
	demand_t demand;
	msg_fleet_load_t load = { .entry = "a", .sent_ms = 1000 };
	const service_demand_t *service_demand;
	msg_fleet_demand_t *list;

	demand_init(&demand);
	demand_sum_init(&sum);
	for (int i = 0; i < 20; i++) {
		demand_add(&demand, "s", 2, 500);
		demand_add_waiting(&demand, "s", 0, i == 0 ? 700 : 0);
		list = demand_report(&demand, &load.demand_count);
		load.demands = list;
		demand_sum_set_report(&sum, &load, "z1", load.sent_ms);
		load.sent_ms += 500;
		g_free(list);
	}
	service_demand = demand_sum_find_service(
		g_hash_table_lookup(sum.entries, "a"), "s");
	CU_ASSERT_PTR_NOT_NULL_FATAL(service_demand);
	CU_ASSERT_DOUBLE_EQUAL(service_demand->tokens_per_ms[2], 1, 0.05);
	CU_ASSERT_DOUBLE_EQUAL(demand_total_rate(service_demand), 1, 0.05);
	CU_ASSERT_DOUBLE_EQUAL(service_demand->waiting_tokens[0], 700, 0.1);
	demand_sum_expire(&sum, load.sent_ms - 500 + DEMAND_SUM_REPORT_TTL_MS);
	CU_ASSERT_EQUAL(g_hash_table_size(sum.entries), 0);
	demand_sum_finish(&sum);
	demand_finish(&demand);
}

static const unit_test_t tests[] = {
	{ "parts", test_parts },
	{ "unusable flow", test_unusable_flow },
	{ "old plans", test_old_plans },
	{ "demand", test_demand },
};

int main(void)
{
	return unit_run("flow_plan", tests, ARRAY_SIZE(tests));
}
