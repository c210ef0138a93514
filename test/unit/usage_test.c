/* Unit tests of the usage of endpoints. */
#include "unit.h"

#include "wisteria/gateway/usage.h"

static void test_own_requests(void)
{
	usage_t usage;

	usage_init(&usage);
	usage_begin(&usage, "i-1", 900);
	usage_begin(&usage, "i-1", 100);
	CU_ASSERT_EQUAL(usage_requests(&usage, "i-1"), 2);
	CU_ASSERT_DOUBLE_EQUAL(usage_tokens(&usage, "i-1", 0), 1000, 0.1);
	usage_end(&usage, "i-1", 900);
	usage_end(&usage, "i-1", 100);
	usage_end(&usage, "i-1", 100);
	CU_ASSERT_EQUAL(usage_requests(&usage, "i-1"), 0);
	CU_ASSERT_DOUBLE_EQUAL(usage_tokens(&usage, "i-1", 0), 0, 0.1);
	usage_finish(&usage);
}

/* Own requests count at once, those of other entries by the last sum. */
static void test_usage_of_all_entries(void)
{
	const msg_fleet_use_t uses[] = { { .id = "i-1", .tokens = 500 },
					 { .id = "i-2", .tokens = 300 } };
	msg_fleet_load_t load = { .entry = "", .uses = uses, .use_count = 2 };
	usage_t usage;
	size_t count;

	usage_init(&usage);
	usage_begin(&usage, "i-1", 100);
	g_free(usage_report(&usage, &count));
	usage_begin(&usage, "i-1", 50);
	usage_update(&usage, &load, 1000);
	CU_ASSERT_DOUBLE_EQUAL(usage_tokens(&usage, "i-1", 1000), 550, 0.1);
	CU_ASSERT_DOUBLE_EQUAL(usage_tokens(&usage, "i-2", 1000), 300, 0.1);
	load.use_count = 0;
	usage_update(&usage, &load, 1500);
	CU_ASSERT_DOUBLE_EQUAL(usage_tokens(&usage, "i-1", 1500), 150, 0.1);
	CU_ASSERT_DOUBLE_EQUAL(usage_tokens(&usage, "i-2", 1500), 0, 0.1);
	usage_finish(&usage);
}

static void test_expired_sum_is_ignored(void)
{
	const msg_fleet_use_t uses[] = { { .id = "i-1", .tokens = 500 } };
	msg_fleet_load_t load = { .entry = "", .uses = uses, .use_count = 1 };
	usage_t usage;

	usage_init(&usage);
	usage_begin(&usage, "i-1", 100);
	usage_update(&usage, &load, 1000);
	CU_ASSERT_DOUBLE_EQUAL(
		usage_tokens(&usage, "i-1", 1000 + USAGE_MAX_AGE_MS), 100, 0.1);
	usage_finish(&usage);
}

static void test_own_report(void)
{
	msg_fleet_use_t *list;
	usage_t usage;
	size_t count;

	usage_init(&usage);
	usage_begin(&usage, "i-1", 700);
	list = usage_report(&usage, &count);
	CU_ASSERT_EQUAL(count, 1);
	CU_ASSERT_STRING_EQUAL(list[0].id, "i-1");
	CU_ASSERT_DOUBLE_EQUAL(list[0].tokens, 700, 0.1);
	g_free(list);
	usage_finish(&usage);
}

static const unit_test_t tests[] = {
	{ "own requests", test_own_requests },
	{ "usage of all entries", test_usage_of_all_entries },
	{ "expired sum is ignored", test_expired_sum_is_ignored },
	{ "own report", test_own_report },
};

int main(void)
{
	return unit_run("usage", tests, ARRAY_SIZE(tests));
}
