/* Unit tests of the sum of the token usage that entries report. */
#include "unit.h"

#include "wisteria/fleet/load_sum.h"

static double tokens_at(load_sum_t *sum, const char *id, clock_ms_t now)
{
	GHashTable *total = load_sum_total(sum, now);
	const load_use_t *use = g_hash_table_lookup(total, id);
	double value = use == NULL ? 0 : use->tokens;

	g_hash_table_destroy(total);
	return value;
}

static void test_sum(void)
{
	const msg_fleet_use_t first[] = { { .id = "i-1", .tokens = 500 },
					  { .id = "i-2", .tokens = 300 } };
	const msg_fleet_use_t second[] = { { .id = "i-1", .tokens = 200 } };
	msg_fleet_load_t a = { .entry = "a", .uses = first, .use_count = 2 };
	msg_fleet_load_t b = { .entry = "b", .uses = second, .use_count = 1 };
	load_sum_t sum;

	load_sum_init(&sum);
	load_sum_set_report(&sum, &a, 0);
	load_sum_set_report(&sum, &b, 1000);
	CU_ASSERT_DOUBLE_EQUAL(tokens_at(&sum, "i-1", 1000), 700, 0.1);
	CU_ASSERT_DOUBLE_EQUAL(tokens_at(&sum, "i-2", 1000), 300, 0.1);
	a.use_count = 1;
	load_sum_set_report(&sum, &a, 1500);
	CU_ASSERT_DOUBLE_EQUAL(tokens_at(&sum, "i-2", 1500), 0, 0.1);
	/* The report of an entry that stopped reporting expires. */
	CU_ASSERT_DOUBLE_EQUAL(
		tokens_at(&sum, "i-1", 1000 + LOAD_SUM_REPORT_TTL_MS), 500,
		0.1);
	load_sum_finish(&sum);
}

static const unit_test_t tests[] = { { "sum", test_sum } };

int main(void)
{
	return unit_run("load_sum", tests, ARRAY_SIZE(tests));
}
