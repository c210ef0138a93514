/* Unit tests of the counters of prompt tokens that are prefilled again. */
#include "unit.h"

#include "wisteria/base/counters.h"
#include "wisteria/gateway/prefill_again.h"

/* Guards against a cause that hides lost endpoints, or invents them. */
static void test_causes_of_failures(void)
{
	CU_ASSERT_EQUAL(prefill_again_cause(ATTEMPT_UNSENT, true),
			PREFILL_AGAIN_NONE);
	CU_ASSERT_EQUAL(prefill_again_cause(ATTEMPT_NOT_RUN, false),
			PREFILL_AGAIN_NOT_RUN);
	CU_ASSERT_EQUAL(prefill_again_cause(ATTEMPT_UNKNOWN, true),
			PREFILL_AGAIN_LOST_ENDPOINT);
	CU_ASSERT_EQUAL(prefill_again_cause(ATTEMPT_TRUNCATED, true),
			PREFILL_AGAIN_LOST_ENDPOINT);
	CU_ASSERT_EQUAL(prefill_again_cause(ATTEMPT_UNKNOWN, false),
			PREFILL_AGAIN_ERROR);
	CU_ASSERT_EQUAL(prefill_again_cause(ATTEMPT_TRUNCATED, false),
			PREFILL_AGAIN_ERROR);
	CU_ASSERT_EQUAL(prefill_again_cause(ATTEMPT_ERROR, true),
			PREFILL_AGAIN_ERROR);
}

/* Guards against tokens under the wrong cause, or under several. */
static void test_each_cause_has_its_counter(void)
{
	prefill_again_count(PREFILL_AGAIN_NONE, 1);
	prefill_again_count(PREFILL_AGAIN_NOT_RUN, 10);
	prefill_again_count(PREFILL_AGAIN_LOST_ENDPOINT, 99.6);
	prefill_again_count(PREFILL_AGAIN_SILENT, 1000);
	prefill_again_count(PREFILL_AGAIN_ERROR, 10000);
	prefill_again_count(PREFILL_AGAIN_ERROR, -5);
	CU_ASSERT_EQUAL(counter_get(COUNTER_PREFILLED_AGAIN_NOT_RUN), 10);
	CU_ASSERT_EQUAL(counter_get(COUNTER_PREFILLED_AGAIN_LOST_ENDPOINT),
			100);
	CU_ASSERT_EQUAL(counter_get(COUNTER_PREFILLED_AGAIN_SILENT), 1000);
	CU_ASSERT_EQUAL(counter_get(COUNTER_PREFILLED_AGAIN_ERROR), 10000);
}

static const unit_test_t tests[] = {
	{ "causes of failures", test_causes_of_failures },
	{ "each cause has its counter", test_each_cause_has_its_counter },
};

int main(void)
{
	return unit_run("prefill_again", tests, ARRAY_SIZE(tests));
}
