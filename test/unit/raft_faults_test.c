/*
 * Tests that the oracle of the raft fuzz target detects known faults: the seed
 * of each fault violates it if the fault is injected, and only then.
 */
#include "unit.h"

#include "../fuzz/raft_faults.h"

static const char *run_seed(const char *seed, const char *fault)
{
	gchar *folder = g_path_get_dirname(__FILE__);
	gchar *path = g_build_filename(folder, "..", "fuzz", "seeds", "raft",
				       seed, NULL);
	gchar *data = NULL;
	gsize len = 0;
	const char *violation;

	CU_ASSERT_FATAL(g_file_get_contents(path, &data, &len, NULL));
	violation = data == NULL ? "cannot read the seed"
				 : sim_run((const uint8_t *)data, len,
					   fault_variant(fault));
	g_free(data);
	g_free(path);
	g_free(folder);
	return violation == NULL ? "none" : violation;
}

static void expect_detected(const char *fault, const char *expected)
{
	CU_ASSERT_STRING_EQUAL(run_seed(fault, fault), expected);
	CU_ASSERT_STRING_EQUAL(run_seed(fault, "none"), "none");
}

static void test_vote_before_sync_is_detected(void)
{
	expect_detected("vote_before_sync", "two leaders in one term");
}

static void test_commit_of_older_term_is_detected(void)
{
	expect_detected("commit_older_term",
			"a leader lacks a committed entry");
}

static void test_lease_from_answer_is_detected(void)
{
	expect_detected("lease_from_answer",
			"an old revision under a valid lease");
}

static const unit_test_t tests[] = {
	{ "vote before sync is detected", test_vote_before_sync_is_detected },
	{ "commit of older term is detected",
	  test_commit_of_older_term_is_detected },
	{ "lease from answer is detected", test_lease_from_answer_is_detected },
};

int main(void)
{
	return unit_run("raft_faults", tests, ARRAY_SIZE(tests));
}
