/* Unit tests of the router: which chain it chooses. */
#include "unit.h"

#include <string.h>

#include "wisteria/route/router.h"

#define LAYERS 12

static msg_endpoint_t endpoint(const char *name, uint32_t first, uint32_t end)
{
	return (msg_endpoint_t){
		.name = name,
		.instance = name,
		.incarnation = 1,
		.address = "127.0.0.1:1",
		.target = "modelo",
		.first_layer = first,
		.end_layer = end,
		.slots = 4,
		.failure_domain = "recife",
		.region = "nordeste",
	};
}

static const route_request_t request = {
	.target = "modelo",
	.layers = LAYERS,
};

static route_result_t choose(router_t *router, clock_ms_t now,
			     route_choice_t *choice)
{
	return router_choose(router, &request, now, choice);
}

static void report_step(router_t *router, const char *name, double step_ms)
{
	const msg_load_t load = {
		.endpoint = name,
		.slots = 4,
		.step_ms = step_ms,
	};

	router_record_load(router, &load, 0);
}

static void test_chain_covers_layers_exactly(void)
{
	const msg_endpoint_t endpoints[] = {
		endpoint("a", 0, 6), endpoint("b", 5, 12), endpoint("c", 0, 4),
		endpoint("d", 4, 9), endpoint("e", 9, 12), endpoint("f", 7, 12),
	};
	router_t *router = router_new("nordeste", "recife", 1);
	route_choice_t choice;

	router_update(router, endpoints, ARRAY_SIZE(endpoints), NULL, 0, 0);
	CU_ASSERT_EQUAL_FATAL(choose(router, 0, &choice), ROUTE_FOUND);
	CU_ASSERT_EQUAL_FATAL(choice.hop_count, 3);
	CU_ASSERT_STRING_EQUAL(choice.hops[0].endpoint, "c");
	CU_ASSERT_STRING_EQUAL(choice.hops[1].endpoint, "d");
	CU_ASSERT_STRING_EQUAL(choice.hops[2].endpoint, "e");
	router_update(router, endpoints, 4, NULL, 0, 0);
	CU_ASSERT_EQUAL(choose(router, 0, &choice), ROUTE_NO_CHAIN);
	router_free(router);
}

static void test_slow_endpoint_is_chosen_last(void)
{
	const msg_endpoint_t endpoints[] = { endpoint("a", 0, 12),
					     endpoint("b", 0, 12) };
	router_t *router = router_new("nordeste", "recife", 1);
	route_choice_t choice;

	router_update(router, endpoints, 2, NULL, 0, 0);
	report_step(router, "a", 40);
	report_step(router, "b", 10);
	for (int i = 0; i < 4; i++) {
		CU_ASSERT_EQUAL(choose(router, 0, &choice), ROUTE_FOUND);
		CU_ASSERT_STRING_EQUAL(choice.hops[0].endpoint, "b");
		router_session_started(router, "b");
	}
	CU_ASSERT_EQUAL(choose(router, 0, &choice), ROUTE_FOUND);
	CU_ASSERT_STRING_EQUAL(choice.hops[0].endpoint, "a");
	router_free(router);
}

static void test_slots_limit_sessions(void)
{
	const msg_endpoint_t endpoints[] = { endpoint("a", 0, 12) };
	router_t *router = router_new("nordeste", "recife", 1);
	route_choice_t choice;

	router_update(router, endpoints, 1, NULL, 0, 0);
	for (int i = 0; i < 4; i++) {
		CU_ASSERT_EQUAL(choose(router, 0, &choice), ROUTE_FOUND);
		router_session_started(router, "a");
	}
	CU_ASSERT_EQUAL(choose(router, 0, &choice), ROUTE_FULL);
	CU_ASSERT_EQUAL(choice.full, 1);
	router_session_finished(router, "a");
	CU_ASSERT_EQUAL(choose(router, 0, &choice), ROUTE_FOUND);
	router_free(router);
}

static void test_leaving_endpoint_is_not_chosen(void)
{
	const msg_endpoint_t endpoints[] = { endpoint("a", 0, 12),
					     endpoint("b", 0, 12) };
	const msg_name_t leaving[] = { { "a" } };
	router_t *router = router_new("nordeste", "recife", 1);
	route_choice_t choice;

	router_update(router, endpoints, 2, leaving, 1, 0);
	for (int i = 0; i < 4; i++) {
		CU_ASSERT_EQUAL(choose(router, 0, &choice), ROUTE_FOUND);
		CU_ASSERT_STRING_EQUAL(choice.hops[0].endpoint, "b");
		router_session_started(router, "b");
	}
	CU_ASSERT_EQUAL(choose(router, 0, &choice), ROUTE_FULL);
	router_update(router, endpoints, 1, leaving, 1, 0);
	CU_ASSERT_EQUAL(choose(router, 0, &choice), ROUTE_NO_CHAIN);
	router_free(router);
}

static void test_pause_grows_until_new_incarnation(void)
{
	msg_endpoint_t endpoints[] = { endpoint("a", 0, 12) };
	router_t *router = router_new("nordeste", "recife", 1);
	route_choice_t choice;
	clock_ms_t now = 1000;
	clock_ms_t last_pause = 0;

	router_update(router, endpoints, 1, NULL, 0, now);
	for (int i = 0; i < 3; i++) {
		const clock_ms_t failed_at = now;

		router_record_failure(router, "a", now);
		CU_ASSERT_EQUAL(choose(router, now, &choice), ROUTE_FULL);
		while (choose(router, now, &choice) != ROUTE_FOUND)
			now += 10;
		CU_ASSERT(now - failed_at > last_pause);
		last_pause = now - failed_at;
	}
	router_record_failure(router, "a", now);
	CU_ASSERT_EQUAL(choose(router, now, &choice), ROUTE_FULL);
	endpoints[0].incarnation = 2;
	router_update(router, endpoints, 1, NULL, 0, now);
	CU_ASSERT_EQUAL(choose(router, now, &choice), ROUTE_FOUND);
	CU_ASSERT_EQUAL(choice.hops[0].incarnation, 2);
	router_free(router);
}

static void test_avoided_endpoint_is_not_chosen(void)
{
	const msg_endpoint_t endpoints[] = { endpoint("a", 0, 12),
					     endpoint("b", 0, 12) };
	route_request_t avoiding_request = request;
	router_t *router = router_new("nordeste", "recife", 1);
	route_choice_t choice;

	avoiding_request.avoid[0] = "a";
	avoiding_request.avoid_count = 1;
	router_update(router, endpoints, 2, NULL, 0, 0);
	report_step(router, "b", 100);
	CU_ASSERT_EQUAL(router_choose(router, &avoiding_request, 0, &choice),
			ROUTE_FOUND);
	CU_ASSERT_STRING_EQUAL(choice.hops[0].endpoint, "b");
	router_free(router);
}

static void test_slow_link_is_avoided(void)
{
	const msg_endpoint_t endpoints[] = { endpoint("a", 0, 6),
					     endpoint("b", 6, 12),
					     endpoint("c", 6, 12) };
	router_t *router = router_new("nordeste", "recife", 1);
	route_choice_t choice;

	router_update(router, endpoints, 3, NULL, 0, 0);
	router_record_link_time(router, "a", "b", 30);
	router_session_started(router, "c");
	CU_ASSERT_EQUAL(choose(router, 0, &choice), ROUTE_FOUND);
	CU_ASSERT_STRING_EQUAL(choice.hops[1].endpoint, "c");
	router_free(router);
}

static void test_replacement_holds_the_same_layers(void)
{
	const msg_endpoint_t endpoints[] = { endpoint("a", 0, 6),
					     endpoint("b", 6, 12),
					     endpoint("c", 5, 12),
					     endpoint("d", 6, 12) };
	router_t *router = router_new("nordeste", "recife", 1);
	route_choice_t choice;
	route_hop_t hop;

	router_update(router, endpoints, 4, NULL, 0, 0);
	router_session_started(router, "d");
	CU_ASSERT_EQUAL(choose(router, 0, &choice), ROUTE_FOUND);
	CU_ASSERT_STRING_EQUAL_FATAL(choice.hops[1].endpoint, "b");
	CU_ASSERT_EQUAL(router_choose_replacement(router, &request, &choice, 1,
						  0, &hop),
			ROUTE_FOUND);
	CU_ASSERT_STRING_EQUAL(hop.endpoint, "d");
	CU_ASSERT_EQUAL(router_choose_replacement(router, &request, &choice, 0,
						  0, &hop),
			ROUTE_FULL);
	router_free(router);
}

static void test_new_endpoint_is_chosen(void)
{
	const msg_endpoint_t endpoints[] = { endpoint("a", 0, 12),
					     endpoint("b", 0, 12) };
	router_t *router = router_new("nordeste", "recife", 1);
	route_choice_t choice;

	router_update(router, endpoints, 1, NULL, 0, 0);
	report_step(router, "a", 5);
	router_session_started(router, "a");
	router_update(router, endpoints, 2, NULL, 0, 0);
	CU_ASSERT_EQUAL(choose(router, 0, &choice), ROUTE_FOUND);
	CU_ASSERT_STRING_EQUAL(choice.hops[0].endpoint, "b");
	router_free(router);
}

static void test_old_report_does_not_keep_endpoint_full(void)
{
	const msg_endpoint_t endpoints[] = {
		endpoint("a", 0, 12), endpoint("b", 0, 6), endpoint("c", 0, 6),
		endpoint("d", 0, 6),  endpoint("e", 0, 6), endpoint("f", 0, 6),
		endpoint("g", 0, 6),  endpoint("h", 0, 6)
	};
	const msg_load_t load = { .endpoint = "a", .in_flight = 4, .slots = 4 };
	router_t *router = router_new("nordeste", "recife", 1);
	route_choice_t choice;

	router_update(router, endpoints, 8, NULL, 0, 0);
	router_record_load(router, &load, 0);
	CU_ASSERT_EQUAL(choose(router, 0, &choice), ROUTE_FULL);
	CU_ASSERT_EQUAL(choose(router, 60000, &choice), ROUTE_FOUND);
	router_free(router);
}

static void test_service_chain_has_one_hop(void)
{
	msg_endpoint_t endpoints[] = { endpoint("a", 0, 0) };
	const route_request_t call = { .target = "pedidos" };
	router_t *router = router_new("nordeste", "recife", 1);
	route_choice_t choice;

	endpoints[0].kind = ENDPOINT_SERVICE;
	endpoints[0].target = "pedidos";
	router_update(router, endpoints, 1, NULL, 0, 0);
	CU_ASSERT_EQUAL(router_choose(router, &call, 0, &choice), ROUTE_FOUND);
	CU_ASSERT_EQUAL(choice.hop_count, 1);
	router_free(router);
}

/*
 * Of three alike endpoints, the first one that reports a step time below the
 * default doesn't get all sessions: the others count as equally fast.
 */
static void test_first_report_attracts_no_herd(void)
{
	msg_endpoint_t endpoints[] = { endpoint("a", 0, 12),
				       endpoint("b", 0, 12),
				       endpoint("c", 0, 12) };
	router_t *router = router_new("nordeste", "recife", 1);
	unsigned sessions[3] = { 0 };
	route_choice_t choice;

	for (size_t i = 0; i < ARRAY_SIZE(endpoints); i++)
		endpoints[i].slots = 64;
	router_update(router, endpoints, ARRAY_SIZE(endpoints), NULL, 0, 0);
	for (int i = 0; i < 60; i++) {
		msg_load_t load = { .slots = 64, .step_ms = 4 };
		size_t at;

		CU_ASSERT_EQUAL_FATAL(choose(router, i, &choice), ROUTE_FOUND);
		at = (size_t)(choice.hops[0].endpoint[0] - 'a');
		router_session_started(router, choice.hops[0].endpoint);
		load.endpoint = choice.hops[0].endpoint;
		load.in_flight = ++sessions[at];
		router_record_load(router, &load, i);
	}
	for (size_t i = 0; i < ARRAY_SIZE(sessions); i++)
		CU_ASSERT(sessions[i] >= 15);
	router_free(router);
}

static const unit_test_t tests[] = {
	{ "chain covers the layers exactly", test_chain_covers_layers_exactly },
	{ "slow endpoint is chosen last", test_slow_endpoint_is_chosen_last },
	{ "slots limit sessions", test_slots_limit_sessions },
	{ "leaving endpoint is not chosen",
	  test_leaving_endpoint_is_not_chosen },
	{ "pause grows until a new incarnation",
	  test_pause_grows_until_new_incarnation },
	{ "avoided endpoint is not chosen",
	  test_avoided_endpoint_is_not_chosen },
	{ "slow link is avoided", test_slow_link_is_avoided },
	{ "replacement holds the same layers",
	  test_replacement_holds_the_same_layers },
	{ "new endpoint is chosen", test_new_endpoint_is_chosen },
	{ "old report doesn't keep an endpoint full",
	  test_old_report_does_not_keep_endpoint_full },
	{ "chain of a service has one hop", test_service_chain_has_one_hop },
	{ "first report attracts no herd", test_first_report_attracts_no_herd },
};

int main(void)
{
	return unit_run("router", tests, ARRAY_SIZE(tests));
}
