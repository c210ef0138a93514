/* Unit tests of routes, customers and what engines can hold. */
#include "unit.h"

#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/fleet/routes.h"

static route_t *add(route_table_t *table, const char *name, const char *host,
		    const char *prefix)
{
	route_t *route = route_table_add(table);

	route->name = g_strdup(name);
	route->host = g_strdup(host);
	route->prefix = g_strdup(prefix);
	route->prefix_len = strlen(prefix);
	route->timeout_ms = 1000;
	route_add_target(route, "pedidos", 1);
	return route;
}

static route_table_t *table_with_service(void)
{
	route_table_t *table = route_table_new(3);

	route_table_add_service(table, "pedidos");
	return table;
}

static const char *find(const route_table_t *table, const char *host,
			const char *target)
{
	const route_t *route = route_table_find(table, host, target);

	return route == NULL ? "none" : route->name;
}

static void test_longest_prefix(void)
{
	route_table_t *table = table_with_service();
	err_t err = ERR_INIT;

	add(table, "short", "a.example", "/x/");
	add(table, "long", "a.example", "/x/y/");
	add(table, "other", "b.example", "/x/y/z/");
	CU_ASSERT_TRUE(route_table_seal(table, &err));
	CU_ASSERT_STRING_EQUAL(find(table, "a.example", "/x/q"), "short");
	CU_ASSERT_STRING_EQUAL(find(table, "a.example", "/x/y/z/1"), "long");
	CU_ASSERT_STRING_EQUAL(find(table, "A.Example:80", "/x/y/"), "long");
	CU_ASSERT_STRING_EQUAL(find(table, "a.example", "/x"), "none");
	CU_ASSERT_STRING_EQUAL(find(table, "a.example.org", "/x/q"), "none");
	CU_ASSERT_STRING_EQUAL(find(table, "c.example", "/x/q"), "none");
	route_table_unref(table);
}

/* Returns why a table with one changed route is refused. */
static const char *refusal(void (*change)(route_table_t *table, route_t *route))
{
	static err_t err;
	route_table_t *table = table_with_service();
	route_t *route = add(table, "r", "a.example", "/x/");

	err_clear(&err);
	change(table, route);
	CU_ASSERT_FALSE(route_table_seal(table, &err));
	CU_ASSERT_STRING_EQUAL(err.peer, "r");
	route_table_unref(table);
	return err.text;
}

static void no_timeout(route_table_t *table, route_t *route)
{
	(void)table;
	route->timeout_ms = 0;
}

static void no_weight(route_table_t *table, route_t *route)
{
	(void)table;
	route->weight_sum = 0;
}

static void unknown_service(route_table_t *table, route_t *route)
{
	(void)table;
	route_add_target(route, "nobody", 1);
}

static void same_place(route_table_t *table, route_t *route)
{
	(void)route;
	add(table, "r", "A.example", "/x/");
}

static void no_slash(route_table_t *table, route_t *route)
{
	(void)table;
	route->prefix[route->prefix_len - 1] = 'x';
}

static void test_refused_tables(void)
{
	CU_ASSERT_PTR_NOT_NULL(strstr(refusal(no_timeout), "timeout"));
	CU_ASSERT_PTR_NOT_NULL(strstr(refusal(no_weight), "weights"));
	CU_ASSERT_PTR_NOT_NULL(strstr(refusal(unknown_service), "nobody"));
	CU_ASSERT_PTR_NOT_NULL(strstr(refusal(same_place), "another route"));
	CU_ASSERT_PTR_NOT_NULL(strstr(refusal(no_slash), "slash"));
}

static void test_keys(void)
{
	route_table_t *table = table_with_service();
	customer_entry_t *first = route_table_add_customer(table, "first");
	customer_entry_t *second = route_table_add_customer(table, "second");
	err_t err = ERR_INIT;

	CU_ASSERT_TRUE(route_table_add_key(table, "k1", first, &err));
	CU_ASSERT_TRUE(route_table_add_key(table, "k1", first, &err));
	CU_ASSERT_TRUE(route_table_add_key(table, "k2", second, &err));
	CU_ASSERT_FALSE(route_table_add_key(table, "k1", second, &err));
	CU_ASSERT_PTR_EQUAL(route_table_customer(table, "k2"), second);
	CU_ASSERT_PTR_NULL(route_table_customer(table, "k3"));
	route_table_unref(table);
}

static void test_weights(void)
{
	route_table_t *table = table_with_service();
	route_t *route = add(table, "r", "a.example", "/x/");
	unsigned second = 0;

	route_add_target(route, "padron", 3);
	for (uint32_t draw = 0; draw < 400; draw++)
		second +=
			strcmp(route_pick_service(route, draw), "padron") == 0;
	CU_ASSERT_EQUAL(second, 300);
	route_table_unref(table);
}

/* A table in use outlives the one that replaces it. */
static void test_references(void)
{
	route_table_t *table = table_with_service();

	add(table, "r", "a.example", "/x/");
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

static const unit_test_t tests[] = {
	{ "longest prefix", test_longest_prefix },
	{ "refused tables", test_refused_tables },
	{ "keys", test_keys },
	{ "weights", test_weights },
	{ "references", test_references },
	{ "token capacity", test_token_capacity },
};

int main(void)
{
	return unit_run("routes", tests, ARRAY_SIZE(tests));
}
