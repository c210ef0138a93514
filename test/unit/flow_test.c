/* Unit tests of the throughput bound. */
#include "unit.h"

#include "wisteria/route/flow.h"

static double bound(const flow_endpoint_t *endpoints, size_t count,
		    const flow_link_t *links, size_t link_count)
{
	const flow_layout_t layout = {
		.endpoints = endpoints,
		.endpoint_count = count,
		.links = links,
		.link_count = link_count,
		.domain_count = 2,
		.layers = 6,
	};

	return flow_throughput_bound(&layout);
}

static void test_slowest_range_limits_flow(void)
{
	static const flow_endpoint_t endpoints[] = { { 0, 3, 0, 50 },
						     { 0, 3, 1, 50 },
						     { 3, 6, 0, 70 } };

	CU_ASSERT_DOUBLE_EQUAL(bound(endpoints, 3, NULL, 0), 70, 1e-6);
}

static void test_ranges_with_unaligned_boundaries(void)
{
	static const flow_endpoint_t endpoints[] = { { 0, 2, 0, 30 },
						     { 2, 6, 0, 20 },
						     { 0, 4, 1, 50 },
						     { 4, 6, 1, 10 },
						     { 2, 4, 0, 100 } };

	CU_ASSERT_DOUBLE_EQUAL(bound(endpoints, 5, NULL, 0), 30, 1e-6);
}

static void test_slow_link_limits_flow(void)
{
	static const flow_endpoint_t endpoints[] = { { 0, 3, 0, 50 },
						     { 3, 6, 1, 50 },
						     { 3, 6, 0, 5 } };
	static const flow_link_t links[] = { { 0, 1, 7 } };

	CU_ASSERT_DOUBLE_EQUAL(bound(endpoints, 3, links, 1), 12, 1e-6);
}

static void test_no_flow_without_chain(void)
{
	static const flow_endpoint_t endpoints[] = { { 0, 3, 0, 50 },
						     { 4, 6, 1, 50 } };

	CU_ASSERT_DOUBLE_EQUAL(bound(endpoints, 2, NULL, 0), 0, 1e-6);
}

static void test_flow_is_rerouted_from_bad_path(void)
{
	flow_t flow;

	flow_init(&flow);
	for (int i = 0; i < 4; i++)
		flow_add_node(&flow);
	flow_add_edge(&flow, 0, 1, 1);
	flow_add_edge(&flow, 0, 2, 1);
	flow_add_edge(&flow, 1, 2, 1);
	flow_add_edge(&flow, 1, 3, 1);
	flow_add_edge(&flow, 2, 3, 1);
	CU_ASSERT_DOUBLE_EQUAL(flow_max(&flow, 0, 3), 2, 1e-6);
	flow_finish(&flow);
}

static const unit_test_t tests[] = {
	{ "slowest range limits the flow", test_slowest_range_limits_flow },
	{ "ranges with unaligned boundaries",
	  test_ranges_with_unaligned_boundaries },
	{ "slow link limits the flow", test_slow_link_limits_flow },
	{ "no flow without a chain", test_no_flow_without_chain },
	{ "flow is rerouted from a bad path",
	  test_flow_is_rerouted_from_bad_path },
};

int main(void)
{
	return unit_run("flow", tests, ARRAY_SIZE(tests));
}
