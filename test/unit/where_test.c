/*
 * Unit tests of the explanation before sending: each outcome, and that neither
 * the plan, the permits nor the queue change.
 */
#include "unit.h"

#include <string.h>

#include <glib.h>

#include "wisteria/base/err.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/request_limits.h"
#include "wisteria/fleet/routes.h"
#include "wisteria/gateway/endpoint_limits.h"
#include "wisteria/gateway/where.h"

#define NOW_MS 100000
#define LAYERS 4
#define RATE_PER_S 10000.0
#define GOAL_MS 500
#define PROMPT_TOKENS 1000
#define ANSWER_TOKENS 100
#define ENDPOINTS 2

static const char *const endpoint_ids[ENDPOINTS] = { "e0", "e1" };
static const where_query_t question = { .route = "chat",
					.customer = "gold",
					.prompt_tokens = PROMPT_TOKENS,
					.answer_tokens = ANSWER_TOKENS };

typedef struct {
	clock_source_t clock;
	settings_t settings;
	gateway_t gateway;
	const service_t *service;
} fixture_t;

static clock_ms_t read_clock(const clock_source_t *self)
{
	(void)self;
	return NOW_MS;
}

static void add_customer(route_table_t *table, const char *name,
			 int32_t priority)
{
	route_table_add_customer(table, name)->priority = priority;
}

static void add_table(fixture_t *fixture)
{
	const accelerator_t accelerator = { "fast", 72000, 1, 1 };
	route_table_t *table = route_table_new(7);
	service_t *service = route_table_add_service(table, "model");
	route_t *route = route_table_add_route(table);
	err_t err = ERR_INIT;

	service->has_engine = true;
	service->engine.layers = LAYERS;
	service->engine.layer_mb = 1750;
	service->engine.kv_token_bytes = 590000;
	service->engine.slots = 192;
	service->engine.stride = 1;
	service->engine.step_ms = 1;
	g_array_append_val(service->engine.accelerators, accelerator);
	route->name = g_strdup("chat");
	route->host = g_strdup("a.example");
	route->prefix = g_strdup("/x/");
	route->prefix_len = strlen(route->prefix);
	route->kind = ROUTE_STREAM;
	route->timeout_ms = 10000;
	route->goal_ms = GOAL_MS;
	route_add_target(route, "model", 1);
	add_customer(table, "gold", 0);
	add_customer(table, "bronze", 1);
	CU_ASSERT_TRUE_FATAL(route_table_seal(table, &err));
	fixture->gateway.table = table;
	fixture->service = service;
}

static void add_endpoint(fixture_t *fixture, const char *id)
{
	endpoint_t endpoint = {
		.service = "model",
		.failure_domain = "here",
		.accelerator = "fast",
		.incarnation = 1,
		.sequence = 1,
		.slots = 192,
		.end_layer = LAYERS,
	};

	g_strlcpy(endpoint.id, id, sizeof(endpoint.id));
	g_snprintf(endpoint.address, sizeof(endpoint.address), "10.0.0.1:%u",
		   g_hash_table_size(fixture->gateway.registry.by_id) + 1);
	registry_update(&fixture->gateway.registry, &endpoint, NOW_MS);
}

/* Follows a plan with one flow for each endpoint. */
static void add_plan(fixture_t *fixture, double share_per_s,
		     double bronze_promoted)
{
	const msg_fleet_hop_t hops[ENDPOINTS] = {
		{ endpoint_ids[0], 1, 0, LAYERS },
		{ endpoint_ids[1], 1, 0, LAYERS },
	};
	const msg_fleet_flow_t flows[ENDPOINTS] = {
		{ RATE_PER_S, 50, 10, &hops[0], 1 },
		{ RATE_PER_S / 2, 60, 11, &hops[1], 1 },
	};
	const msg_fleet_rank_t ranks[] = { { 0, 1 }, { bronze_promoted, 1 } };
	const msg_fleet_service_plan_t service = {
		.service = "model",
		.share_per_s = share_per_s,
		.capacity_per_s = 2 * RATE_PER_S,
		.level = 0,
		.flows = flows,
		.flow_count = ENDPOINTS,
		.ranks = ranks,
		.rank_count = ARRAY_SIZE(ranks),
	};
	const msg_fleet_plan_t plan = {
		.term = 3,
		.sequence = 9,
		.report_sent_ms = NOW_MS - 200,
		.services = &service,
		.service_count = 1,
	};

	CU_ASSERT_TRUE_FATAL(
		flow_plan_follow(&fixture->gateway.plan, &plan, NOW_MS));
}

static fixture_t *set_up(void)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	gateway_t *gateway = &fixture->gateway;

	fixture->clock.now = read_clock;
	fixture->settings.failure_domain = (char *)"here";
	gateway->settings = &fixture->settings;
	gateway->clock = &fixture->clock;
	gateway->subscription.lease_clock = &fixture->clock;
	gateway->subscription.lease_until_ms = NOW_MS + 1000;
	gateway->first_endpoint_ms = NOW_MS - 2 * GATEWAY_WARM_UP_MS;
	gateway->entry_count = 1;
	gateway->random = g_rand_new_with_seed(1);
	wait_queue_init(&gateway->waiting);
	registry_init(&gateway->registry);
	usage_init(&gateway->usage);
	flow_plan_init(&gateway->plan);
	endpoint_notices_init(&gateway->notices);
	request_limits_init(&gateway->limits);
	permits_init(&gateway->permits, gateway->random);
	gateway->shortages =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gateway->suspects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	add_table(fixture);
	for (int i = 0; i < ENDPOINTS; i++)
		add_endpoint(fixture, endpoint_ids[i]);
	return fixture;
}

static void tear_down(fixture_t *fixture)
{
	gateway_t *gateway = &fixture->gateway;

	wait_queue_finish(&gateway->waiting);
	registry_finish(&gateway->registry);
	usage_finish(&gateway->usage);
	flow_plan_finish(&gateway->plan);
	endpoint_notices_finish(&gateway->notices);
	request_limits_finish(&gateway->limits);
	permits_finish(&gateway->permits);
	g_hash_table_destroy(gateway->shortages);
	g_hash_table_destroy(gateway->suspects);
	route_table_unref(gateway->table);
	g_rand_free(gateway->random);
	g_free(fixture);
}

static where_answer_t ask(const fixture_t *fixture, const where_query_t *query)
{
	where_answer_t answer;

	CU_ASSERT_EQUAL_FATAL(where_find(&fixture->gateway, query, &answer),
			      WHERE_FOUND);
	return answer;
}

static void check_outcome(const fixture_t *fixture, where_outcome_t outcome,
			  const char *reason)
{
	where_answer_t answer = ask(fixture, &question);

	CU_ASSERT_EQUAL(answer.outcome, outcome);
	if (reason == NULL)
		CU_ASSERT_PTR_NULL(answer.reason);
	if (reason != NULL)
		CU_ASSERT_STRING_EQUAL(answer.reason, reason);
	where_answer_finish(&answer);
}

static service_flows_t *plan_of(const fixture_t *fixture)
{
	return flow_plan_find(&fixture->gateway.plan, "model", NOW_MS);
}

static bool is_any_usable(const planned_flow_t *flow, void *user)
{
	(void)flow;
	(void)user;
	return true;
}

/* Fills the windows of both endpoints with prompts that are not read. */
static void fill_windows(fixture_t *fixture)
{
	for (int i = 0; i < ENDPOINTS; i++) {
		usage_begin(&fixture->gateway.usage, endpoint_ids[i], 1);
		usage_add_unread(&fixture->gateway.usage, endpoint_ids[i], 0,
				 RATE_PER_S);
	}
}

/* Guards against an answer that lacks or mixes up what the plan says. */
static void test_start(void)
{
	fixture_t *fixture = set_up();
	const where_flow_t *flow;
	where_answer_t answer;

	add_plan(fixture, RATE_PER_S, 0);
	answer = ask(fixture, &question);
	CU_ASSERT_EQUAL(answer.outcome, WHERE_START);
	CU_ASSERT_EQUAL(answer.revision, 7);
	CU_ASSERT_EQUAL(answer.rank, 0);
	CU_ASSERT_EQUAL(answer.term, 3);
	CU_ASSERT_EQUAL(answer.sequence, 9);
	CU_ASSERT_EQUAL(answer.plan_age_ms, 200);
	CU_ASSERT_EQUAL(answer.waiting, 0);
	CU_ASSERT_EQUAL_FATAL(answer.flows->len, ENDPOINTS);
	flow = &g_array_index(answer.flows, where_flow_t, 0);
	CU_ASSERT_EQUAL(flow->state, FLOW_USABLE);
	CU_ASSERT_EQUAL(flow->unread_tokens, 0);
	CU_ASSERT_PTR_EQUAL(answer.chosen, flow->flow);
	where_answer_finish(&answer);
	tear_down(fixture);
}

/*
 * Guards against questions that move the choice of requests: between requests,
 * each question names the flow that the next request gets, however often it is
 * asked.
 */
static void test_same_flow_before_and_after(void)
{
	fixture_t *fixture = set_up();
	unsigned second = 0;

	add_plan(fixture, RATE_PER_S, 0);
	for (int i = 0; i < 60; i++) {
		const planned_flow_t *chosen = NULL;
		double credits[ENDPOINTS];

		for (int j = 0; j < ENDPOINTS; j++)
			credits[j] = g_array_index(plan_of(fixture)->flows,
						   planned_flow_t, j)
					     .credit;
		for (int j = 0; j < 3; j++) {
			where_answer_t answer = ask(fixture, &question);

			chosen = answer.chosen;
			where_answer_finish(&answer);
		}
		for (int j = 0; j < ENDPOINTS; j++)
			CU_ASSERT_EQUAL(credits[j],
					g_array_index(plan_of(fixture)->flows,
						      planned_flow_t, j)
						.credit);
		CU_ASSERT_PTR_EQUAL(chosen,
				    flow_plan_choose(plan_of(fixture),
						     PROMPT_TOKENS,
						     is_any_usable, NULL));
		second += strcmp(chosen->hops[0].endpoint, "e1") == 0;
	}
	CU_ASSERT_EQUAL(second, 20);
	tear_down(fixture);
}

/* Guards against questions that use up promotions. */
static void test_promotion_is_not_counted(void)
{
	const where_query_t bronze = { .route = "chat",
				       .customer = "bronze",
				       .prompt_tokens = PROMPT_TOKENS };
	fixture_t *fixture = set_up();

	add_plan(fixture, RATE_PER_S, 0.5);
	for (int i = 0; i < 10; i++) {
		where_answer_t answer = ask(fixture, &bronze);

		CU_ASSERT_EQUAL(answer.rank, 1);
		CU_ASSERT_EQUAL(
			answer.is_promoted,
			flow_plan_promotes(plan_of(fixture), 1, PROMPT_TOKENS));
		where_answer_finish(&answer);
		answer = ask(fixture, &bronze);
		CU_ASSERT_EQUAL(answer.is_promoted, i % 2 == 1);
		where_answer_finish(&answer);
	}
	tear_down(fixture);
}

/*
 * Guards against questions that create, use or ask for permits at an endpoint
 * with a limit, and against an answer that differs from that of requests.
 */
static void test_permits_are_not_changed(void)
{
	fixture_t *fixture = set_up();
	gateway_t *gateway = &fixture->gateway;
	const endpoint_t *first =
		registry_find(&gateway->registry, endpoint_ids[0]);
	where_answer_t answer;

	add_plan(fixture, RATE_PER_S, 0);
	request_limits_learn(&gateway->limits, first, 5, NOW_MS, NOW_MS);
	answer = ask(fixture, &question);
	CU_ASSERT_EQUAL(g_array_index(answer.flows, where_flow_t, 0).state,
			FLOW_LIMITED);
	CU_ASSERT_STRING_EQUAL(answer.chosen->hops[0].endpoint, "e1");
	where_answer_finish(&answer);
	CU_ASSERT_EQUAL(g_hash_table_size(gateway->permits.balances), 0);
	CU_ASSERT_FALSE(gateway->permits_short);
	CU_ASSERT_FALSE(endpoint_limits_allow(gateway, first));
	permits_add(&gateway->permits, first->id, 1, 5, NOW_MS);
	for (int i = 0; i < 3; i++) {
		answer = ask(fixture, &question);
		CU_ASSERT_STRING_EQUAL(answer.chosen->hops[0].endpoint, "e0");
		where_answer_finish(&answer);
	}
	CU_ASSERT_TRUE(endpoint_limits_allow(gateway, first));
	CU_ASSERT_EQUAL(permits_collect_wanted(&gateway->permits, first->id),
			0);
	tear_down(fixture);
}

/* Guards against a wait or a refusal that the queue would not decide. */
static void test_wait_and_refusal(void)
{
	fixture_t *fixture = set_up();
	wait_queue_t *queue = &fixture->gateway.waiting;
	wait_item_t other = { .pool = fixture->service,
			      .customer = "bronze",
			      .expires_ms = NOW_MS + 2000,
			      .on_time_until_ms = NOW_MS + 1,
			      .prompt_tokens = 500 };
	where_answer_t answer;

	add_plan(fixture, 1000, 0);
	fill_windows(fixture);
	check_outcome(fixture, WHERE_WAIT, "endpoints_full");
	answer = ask(fixture, &question);
	CU_ASSERT_EQUAL(g_array_index(answer.flows, where_flow_t, 0).state,
			FLOW_NO_WINDOW);
	CU_ASSERT_PTR_NULL(answer.chosen);
	CU_ASSERT_EQUAL(answer.expected_ms, 0);
	where_answer_finish(&answer);
	wait_queue_push(queue, &other);
	check_outcome(fixture, WHERE_WAIT, "others_wait");
	CU_ASSERT_EQUAL(queue->count, 1);
	CU_ASSERT_EQUAL(queue->arrivals, 1);
	wait_queue_remove(queue, &other);
	/* More than the share starts before the caller gives up. */
	other.prompt_tokens = 100000;
	other.customer = "gold";
	wait_queue_push(queue, &other);
	check_outcome(fixture, WHERE_REFUSE, "endpoints_full");
	CU_ASSERT_EQUAL(queue->count, 1);
	wait_queue_remove(queue, &other);
	tear_down(fixture);
}

/* Guards against a promise for callers who would be turned away. */
static void test_refusal_without_lease_or_key(void)
{
	const where_query_t anonymous = { .route = "chat" };
	fixture_t *fixture = set_up();
	where_answer_t answer;

	add_plan(fixture, RATE_PER_S, 0);
	fixture->gateway.table->requires_key = true;
	check_outcome(fixture, WHERE_START, NULL);
	answer = ask(fixture, &anonymous);
	CU_ASSERT_EQUAL(answer.outcome, WHERE_REFUSE);
	CU_ASSERT_STRING_EQUAL(answer.reason, "unknown_api_key");
	where_answer_finish(&answer);
	fixture->gateway.subscription.lease_until_ms = NOW_MS;
	check_outcome(fixture, WHERE_REFUSE, "no_lease");
	tear_down(fixture);
}

/* Guards against an answer from a plan that requests would not use. */
static void test_search(void)
{
	fixture_t *fixture = set_up();

	check_outcome(fixture, WHERE_SEARCH, "no_valid_plan");
	add_plan(fixture, RATE_PER_S, 0);
	for (int i = 0; i < ENDPOINTS; i++)
		registry_mark_gone(&fixture->gateway.registry, endpoint_ids[i],
				   NOW_MS);
	check_outcome(fixture, WHERE_SEARCH, "no_planned_endpoint");
	fixture->gateway.plan.valid_until_ms = NOW_MS;
	check_outcome(fixture, WHERE_SEARCH, "no_valid_plan");
	tear_down(fixture);
}

/* Guards against memory that is counted differently from requests. */
static void test_flow_without_memory(void)
{
	fixture_t *fixture = set_up();
	where_answer_t answer;

	add_plan(fixture, RATE_PER_S, 0);
	usage_begin(&fixture->gateway.usage, endpoint_ids[0], 1e9);
	answer = ask(fixture, &question);
	CU_ASSERT_EQUAL(g_array_index(answer.flows, where_flow_t, 0).state,
			FLOW_NO_MEMORY);
	CU_ASSERT_STRING_EQUAL(answer.chosen->hops[0].endpoint, "e1");
	where_answer_finish(&answer);
	tear_down(fixture);
}

/* Guards against an answer about a route or customer that does not exist. */
static void test_unknown_names(void)
{
	const where_query_t no_route = { .route = "none" };
	const where_query_t no_customer = { .route = "chat",
					    .customer = "none" };
	fixture_t *fixture = set_up();
	route_table_t *table = fixture->gateway.table;
	where_answer_t answer;

	CU_ASSERT_EQUAL(where_find(&fixture->gateway, &no_route, &answer),
			WHERE_NO_ROUTE);
	CU_ASSERT_EQUAL(where_find(&fixture->gateway, &no_customer, &answer),
			WHERE_NO_CUSTOMER);
	fixture->gateway.table = NULL;
	CU_ASSERT_EQUAL(where_find(&fixture->gateway, &question, &answer),
			WHERE_NO_CONFIGURATION);
	fixture->gateway.table = table;
	tear_down(fixture);
}

static const unit_test_t tests[] = {
	{ "start", test_start },
	{ "same flow before and after", test_same_flow_before_and_after },
	{ "promotion is not counted", test_promotion_is_not_counted },
	{ "permits are not changed", test_permits_are_not_changed },
	{ "wait and refusal", test_wait_and_refusal },
	{ "refusal without lease or key", test_refusal_without_lease_or_key },
	{ "search", test_search },
	{ "flow without memory", test_flow_without_memory },
	{ "unknown names", test_unknown_names },
};

int main(void)
{
	return unit_run("where", tests, ARRAY_SIZE(tests));
}
