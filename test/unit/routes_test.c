/* Unit tests of route lookup, API keys and the token capacity of engines. */
#include "unit.h"

#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/fleet/routes.h"

static route_t *add_route(route_table_t *table, const char *name,
			  const char *host, const char *prefix)
{
	route_t *route = route_table_add_route(table);

	route->name = g_strdup(name);
	route->host = g_strdup(host);
	route->prefix = g_strdup(prefix);
	route->prefix_len = strlen(prefix);
	route->timeout_ms = 1000;
	route_add_target(route, "pedidos", 1);
	return route;
}

static route_table_t *new_table_with_service(void)
{
	route_table_t *table = route_table_new(3);

	route_table_add_service(table, "pedidos");
	return table;
}

static const char *find_route_name(const route_table_t *table, const char *host,
				   const char *target)
{
	const route_t *route = route_table_find_route(table, host, target);

	return route == NULL ? "none" : route->name;
}

static void test_longest_prefix(void)
{
	route_table_t *table = new_table_with_service();
	err_t err = ERR_INIT;

	add_route(table, "short", "a.example", "/x/");
	add_route(table, "long", "a.example", "/x/y/");
	add_route(table, "other", "b.example", "/x/y/z/");
	CU_ASSERT_TRUE(route_table_seal(table, &err));
	CU_ASSERT_STRING_EQUAL(find_route_name(table, "a.example", "/x/q"),
			       "short");
	CU_ASSERT_STRING_EQUAL(find_route_name(table, "a.example", "/x/y/z/1"),
			       "long");
	CU_ASSERT_STRING_EQUAL(find_route_name(table, "A.Example:80", "/x/y/"),
			       "long");
	CU_ASSERT_STRING_EQUAL(find_route_name(table, "a.example", "/x"),
			       "none");
	CU_ASSERT_STRING_EQUAL(find_route_name(table, "a.example.org", "/x/q"),
			       "none");
	CU_ASSERT_STRING_EQUAL(find_route_name(table, "c.example", "/x/q"),
			       "none");
	route_table_unref(table);
}

/*
 * Applies "change" to a valid table with one route; returns the error text of
 * its validation, which must fail.
 */
static const char *refusal_reason(void (*change)(route_table_t *table,
						 route_t *route))
{
	static err_t err;
	route_table_t *table = new_table_with_service();
	route_t *route = add_route(table, "r", "a.example", "/x/");

	err_clear(&err);
	change(table, route);
	CU_ASSERT_FALSE(route_table_seal(table, &err));
	CU_ASSERT_STRING_EQUAL(err.peer, "r");
	route_table_unref(table);
	return err.text;
}

static void clear_timeout(route_table_t *table, route_t *route)
{
	(void)table;
	route->timeout_ms = 0;
}

static void clear_weight_sum(route_table_t *table, route_t *route)
{
	(void)table;
	route->weight_sum = 0;
}

static void add_unknown_service(route_table_t *table, route_t *route)
{
	(void)table;
	route_add_target(route, "nobody", 1);
}

static void add_duplicate_route(route_table_t *table, route_t *route)
{
	(void)route;
	add_route(table, "r", "A.example", "/x/");
}

static void remove_last_slash(route_table_t *table, route_t *route)
{
	(void)table;
	route->prefix[route->prefix_len - 1] = 'x';
}

static void test_invalid_tables(void)
{
	CU_ASSERT_PTR_NOT_NULL(
		strstr(refusal_reason(clear_timeout), "timeout"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(refusal_reason(clear_weight_sum), "weights"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(refusal_reason(add_unknown_service), "nobody"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(refusal_reason(add_duplicate_route), "another route"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(refusal_reason(remove_last_slash), "slash"));
}

static void test_api_keys(void)
{
	route_table_t *table = new_table_with_service();
	customer_config_t *first = route_table_add_customer(table, "first");
	customer_config_t *second = route_table_add_customer(table, "second");
	err_t err = ERR_INIT;

	CU_ASSERT_TRUE(route_table_add_key(table, "k1", first, &err));
	CU_ASSERT_TRUE(route_table_add_key(table, "k1", first, &err));
	CU_ASSERT_TRUE(route_table_add_key(table, "k2", second, &err));
	CU_ASSERT_FALSE(route_table_add_key(table, "k1", second, &err));
	CU_ASSERT_PTR_EQUAL(route_table_find_customer(table, "k2"), second);
	CU_ASSERT_PTR_NULL(route_table_find_customer(table, "k3"));
	route_table_unref(table);
}

static void test_pick_service_by_weight(void)
{
	route_table_t *table = new_table_with_service();
	route_t *route = add_route(table, "r", "a.example", "/x/");
	unsigned second = 0;

	route_add_target(route, "padron", 3);
	for (uint32_t draw = 0; draw < 400; draw++)
		second +=
			strcmp(route_pick_service(route, draw), "padron") == 0;
	CU_ASSERT_EQUAL(second, 300);
	route_table_unref(table);
}

/* A table is freed only when its last reference is dropped. */
static void test_reference_count(void)
{
	route_table_t *table = new_table_with_service();

	add_route(table, "r", "a.example", "/x/");
	route_table_ref(table);
	route_table_unref(table);
	CU_ASSERT_EQUAL(table->routes->len, 1);
	route_table_unref(table);
	route_table_unref(NULL);
}

static void test_token_capacity(void)
{
	const engine_model_t engine = { .layers = 80,
					.layer_mb = 1750,
					.kv_token_bytes = 590000 };
	const accelerator_t accelerator = { .size_mb = 14400 };

	CU_ASSERT_EQUAL(engine_token_capacity(&engine, &accelerator, 0), 0);
	CU_ASSERT_EQUAL(engine_token_capacity(&engine, &accelerator, 9), 0);
	/* 3,900 MB free beside 6 layers, at 0.04425 MB a token. */
	CU_ASSERT_DOUBLE_EQUAL(engine_token_capacity(&engine, &accelerator, 6),
			       3900 / 0.04425, 1);
}

/* Guards against callers without a key where only the last customer is gone. */
static void test_callers_without_a_key(void)
{
	route_table_t *table = new_table_with_service();
	route_t *route = add_route(table, "a", "h", "/a/");
	const customer_config_t *customer =
		route_table_add_customer(table, "first");

	CU_ASSERT_PTR_NULL(route_table_find_customer(table, NULL));
	CU_ASSERT_TRUE(route_table_allows(table, route, NULL));
	route_table_require_keys(table);
	CU_ASSERT_FALSE(route_table_allows(table, route, NULL));
	CU_ASSERT_TRUE(route_table_allows(table, route, customer));
	route->allow_anonymous = true;
	CU_ASSERT_TRUE(route_table_allows(table, route, NULL));
	route_table_unref(table);
}

static customer_config_t *add_customer(route_table_t *table, const char *name,
				       int32_t priority)
{
	customer_config_t *customer = route_table_add_customer(table, name);

	customer->priority = priority;
	return customer;
}

/* The customer's priority goes before the route's; plain services have none. */
static void test_rank(void)
{
	route_table_t *table = new_table_with_service();
	route_t *urgent = add_route(table, "urgent", "a.example", "/u/");
	route_t *late = add_route(table, "late", "a.example", "/l/");
	route_t *plain = add_route(table, "plain", "a.example", "/p/");
	const customer_config_t *first = add_customer(table, "first", 0);
	const customer_config_t *second = add_customer(table, "second", 4);
	const customer_config_t *unstated = add_customer(table, "other", -1);
	err_t err = ERR_INIT;

	route_table_add_service(table, "modelo")->has_engine = true;
	route_add_target(urgent, "modelo", 1);
	route_add_target(late, "modelo", 1);
	late->priority = 2;
	plain->priority = 1;
	CU_ASSERT_TRUE(route_table_seal(table, &err));
	CU_ASSERT_EQUAL(route_table_rank(table, urgent, first), 0);
	CU_ASSERT_EQUAL(route_table_rank(table, late, first), 1);
	CU_ASSERT_EQUAL(route_table_rank(table, urgent, second), 2);
	CU_ASSERT_EQUAL(route_table_rank(table, late, second), 3);
	CU_ASSERT_EQUAL(route_table_rank(table, late, unstated), 3);
	CU_ASSERT_EQUAL(route_table_rank(table, urgent, NULL), 2);
	route_table_unref(table);
}

/* Without differences nothing is sent to endpoints, as before. */
static void test_rank_without_priorities(void)
{
	route_table_t *table = new_table_with_service();
	route_t *route = add_route(table, "only", "a.example", "/");
	err_t err = ERR_INIT;

	route_table_add_service(table, "modelo")->has_engine = true;
	route_add_target(route, "modelo", 1);
	CU_ASSERT_TRUE(route_table_seal(table, &err));
	CU_ASSERT_EQUAL(route_table_rank(table, route, NULL),
			REQUEST_RANK_NONE);
	route_table_unref(table);
}

/* Endpoints tell ten ranks apart; the order must survive the scaling. */
static void test_many_ranks(void)
{
	route_table_t *table = new_table_with_service();
	const customer_config_t *customers[6];
	route_t *routes[4];
	err_t err = ERR_INIT;
	int32_t last = 0;

	route_table_add_service(table, "modelo")->has_engine = true;
	for (int32_t i = 0; i < 6; i++)
		customers[i] = add_customer(table, "c", i);
	for (uint32_t i = 0; i < 4; i++) {
		const char prefix[] = { '/', (char)('a' + i), '/', '\0' };

		routes[i] = add_route(table, "r", "a.example", prefix);
		routes[i]->priority = i;
		route_add_target(routes[i], "modelo", 1);
	}
	CU_ASSERT_TRUE(route_table_seal(table, &err));
	for (int i = 0; i < 6; i++)
		for (int j = 0; j < 4; j++) {
			int32_t rank = route_table_rank(table, routes[j],
							customers[i]);

			CU_ASSERT(rank >= last && rank < REQUEST_RANKS);
			last = rank;
		}
	CU_ASSERT_EQUAL(last, REQUEST_RANKS - 1);
	route_table_unref(table);
}

static const unit_test_t tests[] = {
	{ "rank", test_rank },
	{ "rank without priorities", test_rank_without_priorities },
	{ "many ranks", test_many_ranks },
	{ "longest prefix", test_longest_prefix },
	{ "invalid tables", test_invalid_tables },
	{ "API keys", test_api_keys },
	{ "callers without a key", test_callers_without_a_key },
	{ "pick service by weight", test_pick_service_by_weight },
	{ "reference count", test_reference_count },
	{ "token capacity", test_token_capacity },
};

int main(void)
{
	return unit_run("routes", tests, ARRAY_SIZE(tests));
}
