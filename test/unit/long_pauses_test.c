/* Unit tests of the record of long pauses. */
#include "unit.h"

#include "wisteria/gateway/long_pauses.h"

/*
 * Failure: a slow but sound stream is cut and resumed where it is as slow.  A
 * pipeline is as slow as its fastest endpoint shows; one that is not known to be
 * slow may be faster.
 */
static void test_expected_pause(void)
{
	static const char ids[2][ENDPOINT_ID_BYTES] = { "a", "b" };
	long_pauses_t pauses;

	long_pauses_init(&pauses);
	CU_ASSERT_EQUAL(long_pauses_expected(&pauses, ids, 2, 1000), 0);
	long_pauses_add(&pauses, "a", 1500, 1000);
	CU_ASSERT_EQUAL(long_pauses_expected(&pauses, ids, 1, 1000), 1500);
	CU_ASSERT_EQUAL(long_pauses_expected(&pauses, ids, 2, 1000), 0);
	long_pauses_add(&pauses, "b", 1200, 2000);
	CU_ASSERT_EQUAL(long_pauses_expected(&pauses, ids, 2, 2000), 1200);
	long_pauses_finish(&pauses);
}

/* Failure: endpoints that were slow once count as slow for good. */
static void test_pauses_expire(void)
{
	static const char ids[1][ENDPOINT_ID_BYTES] = { "a" };
	long_pauses_t pauses;

	long_pauses_init(&pauses);
	long_pauses_add(&pauses, "a", 1500, 1000);
	CU_ASSERT_EQUAL(long_pauses_expected(&pauses, ids, 1,
					     1000 + LONG_PAUSES_AGE_MS - 1),
			1500);
	CU_ASSERT_EQUAL(long_pauses_expected(&pauses, ids, 1,
					     1000 + LONG_PAUSES_AGE_MS),
			0);
	long_pauses_expire(&pauses, 1000 + LONG_PAUSES_AGE_MS);
	CU_ASSERT_EQUAL(g_hash_table_size(pauses.by_id), 0);
	long_pauses_finish(&pauses);
}

static const unit_test_t tests[] = {
	{ "expected pause", test_expected_pause },
	{ "pauses expire", test_pauses_expire },
};

int main(void)
{
	return unit_run("long_pauses", tests, ARRAY_SIZE(tests));
}
