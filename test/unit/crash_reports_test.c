/* Unit tests of which closed connections count as crashes of an endpoint. */
#include "unit.h"

#include <string.h>

#include "wisteria/fleet/crash_reports.h"
#include "wisteria/fleet/registry.h"

static registry_t registry;
static crash_reports_t reports;
static crash_report_t confirmed;

static void hear(const char *id, uint64_t incarnation, uint64_t sequence,
		 bool draining, clock_ms_t now)
{
	endpoint_t endpoint = {
		.incarnation = incarnation,
		.sequence = sequence,
		.draining = draining,
		.last_heard_ms = now,
	};

	g_strlcpy(endpoint.id, id, sizeof(endpoint.id));
	g_snprintf(endpoint.address, sizeof(endpoint.address), "10.0.0.1:%u",
		   g_str_hash(id) % UINT16_MAX + 1);
	g_strlcpy(endpoint.service, "orders", sizeof(endpoint.service));
	registry_update(&registry, &endpoint, now);
}

static void init(void)
{
	registry_init(&registry);
	crash_reports_init(&reports);
	hear("i-1", 7, 1, false, 1000);
}

static bool add(const char *id, uint64_t incarnation, clock_ms_t now)
{
	crash_report_t report = {
		.heard_ms = now,
		.incarnation = incarnation,
		.crash = { .at_ms = now,
			   .endpoint = g_str_hash(id),
			   .repetition = (uint64_t)now },
	};

	g_strlcpy(report.endpoint_id, id, sizeof(report.endpoint_id));
	return crash_reports_add(&reports, &report, &registry);
}

static bool take(clock_ms_t now)
{
	return crash_reports_take(&reports, &registry, now, &confirmed);
}

static void test_endpoint_that_lives_has_not_crashed(void)
{
	init();
	CU_ASSERT_TRUE(add("i-1", 7, 1000));
	CU_ASSERT_FALSE(take(1000));
	for (uint64_t i = 2; i < 9; i++) {
		hear("i-1", 7, i, false, 1000 + 1000 * (clock_ms_t)i);
		CU_ASSERT_FALSE(take(1000 + 1000 * (clock_ms_t)i));
	}
	CU_ASSERT_EQUAL(reports.count, 0);
	registry_finish(&registry);
}

static void test_endpoint_without_connections_has_crashed(void)
{
	init();
	CU_ASSERT_TRUE(add("i-1", 7, 1000));
	registry_mark_unreachable(&registry, "i-1", 7);
	CU_ASSERT_TRUE(take(1100));
	CU_ASSERT_STRING_EQUAL(confirmed.endpoint_id, "i-1");
	CU_ASSERT_FALSE(take(1100));
	registry_finish(&registry);
}

static void test_endpoint_that_started_again_has_crashed(void)
{
	init();
	CU_ASSERT_TRUE(add("i-1", 7, 1000));
	hear("i-1", 8, 1, false, 1500);
	CU_ASSERT_TRUE(take(1500));
	registry_finish(&registry);
}

static void test_silent_endpoint_has_crashed(void)
{
	init();
	hear("i-2", 1, 1, false, 1000);
	CU_ASSERT_TRUE(add("i-1", 7, 1000));
	CU_ASSERT_FALSE(take(1100));
	hear("i-2", 1, 2, false, 1000 + REGISTRY_SILENCE_MS + 1);
	CU_ASSERT_TRUE(take(1000 + REGISTRY_SILENCE_MS + 1));
	registry_finish(&registry);
}

static void test_planned_end_is_no_crash(void)
{
	init();
	hear("i-1", 7, 2, true, 1100);
	CU_ASSERT_FALSE(add("i-1", 7, 1200));
	CU_ASSERT_FALSE(add("i-unknown", 1, 1200));
	registry_finish(&registry);
}

static void test_report_that_is_told_again_is_held_once(void)
{
	init();
	CU_ASSERT_TRUE(add("i-1", 7, 1000));
	CU_ASSERT_FALSE(add("i-1", 7, 1000));
	CU_ASSERT_EQUAL(reports.count, 1);
	registry_finish(&registry);
}

static void test_newest_reports_are_kept(void)
{
	init();
	for (clock_ms_t i = 0; i < 3 * CRASH_REPORTS_MAX; i++)
		CU_ASSERT_TRUE(add("i-1", 7, 1000 + i));
	CU_ASSERT_EQUAL(reports.count, CRASH_REPORTS_MAX);
	registry_mark_unreachable(&registry, "i-1", 7);
	CU_ASSERT_TRUE(take(1300));
	CU_ASSERT_EQUAL(confirmed.crash.at_ms, 1000 + 2 * CRASH_REPORTS_MAX);
	registry_finish(&registry);
}

static const unit_test_t tests[] = {
	{ "endpoint that lives has not crashed",
	  test_endpoint_that_lives_has_not_crashed },
	{ "endpoint without connections has crashed",
	  test_endpoint_without_connections_has_crashed },
	{ "endpoint that started again has crashed",
	  test_endpoint_that_started_again_has_crashed },
	{ "silent endpoint has crashed", test_silent_endpoint_has_crashed },
	{ "planned end is no crash", test_planned_end_is_no_crash },
	{ "report that is told again is held once",
	  test_report_that_is_told_again_is_held_once },
	{ "newest reports are kept", test_newest_reports_are_kept },
};

int main(void)
{
	return unit_run("crash_reports", tests, ARRAY_SIZE(tests));
}
