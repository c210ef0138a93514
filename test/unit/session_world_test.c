/*
 * The oracle of the session fuzz test: it detects injected faults, and reports
 * no violation without them.
 */
#include "unit.h"

#include <glib.h>
#include <stdio.h>

#include "session_world.h"

#define SEEDS 4000
#define FAULT_SEEDS 40000
#define INPUT_BYTES 400

static void fill_random(uint32_t seed, uint8_t *data, size_t size)
{
	GRand *random = g_rand_new_with_seed(seed);

	for (size_t i = 0; i < size; i++)
		data[i] = (uint8_t)g_rand_int(random);
	g_rand_free(random);
}

/* Returns the first seed up to "seeds" with a violation; 0 if none. */
static uint32_t find_violation(world_fault_t fault, uint32_t seeds,
			       world_outcome_t *outcome)
{
	uint8_t data[INPUT_BYTES];

	for (uint32_t seed = 1; seed <= seeds; seed++) {
		fill_random(seed, data, sizeof(data));
		world_run(data, sizeof(data), fault, outcome);
		if (outcome->violation[0] != '\0')
			return seed;
	}
	return 0;
}

static void test_no_violation(void)
{
	static world_outcome_t outcome;
	uint32_t seed = find_violation(FAULT_NONE, SEEDS, &outcome);

	if (seed != 0)
		printf("seed %u: %s\n%s\n", seed, outcome.violation,
		       outcome.trace);
	CU_ASSERT_EQUAL(seed, 0);
}

/* Inputs that once violated the oracle; see test/fuzz/seeds/session. */
static void test_inputs_that_failed(void)
{
	static const char *const seeds[] = { "regenerated_token" };
	static world_outcome_t outcome;

	for (size_t i = 0; i < ARRAY_SIZE(seeds); i++) {
		gchar *folder = g_path_get_dirname(__FILE__);
		gchar *path = g_build_filename(folder, "..", "fuzz", "seeds",
					       "session", seeds[i], NULL);
		gchar *data = NULL;
		gsize len = 0;

		CU_ASSERT_FATAL(g_file_get_contents(path, &data, &len, NULL));
		world_run((const uint8_t *)data, len, FAULT_NONE, &outcome);
		CU_ASSERT_STRING_EQUAL(outcome.violation, "");
		g_free(data);
		g_free(path);
		g_free(folder);
	}
}

static void test_faults_are_detected(void)
{
	static world_outcome_t outcome;

	for (int fault = FAULT_NONE + 1; fault < FAULT_COUNT; fault++) {
		uint32_t seed = find_violation((world_fault_t)fault,
					       FAULT_SEEDS, &outcome);

		printf("fault %d: seed %u: %s\n", fault, seed,
		       outcome.violation);
		CU_ASSERT_NOT_EQUAL(seed, 0);
	}
}

static void test_undisturbed_requests_finish(void)
{
	static world_outcome_t outcome;
	uint8_t data[2];

	for (unsigned int options = 0; options <= UINT8_MAX; options++) {
		data[0] = (uint8_t)options;
		data[1] = (uint8_t)(options / 2);
		world_run(data, sizeof(data), FAULT_NONE, &outcome);
		CU_ASSERT_STRING_EQUAL(outcome.violation, "");
		CU_ASSERT(outcome.finished);
		CU_ASSERT_EQUAL(outcome.attempts, 1);
	}
}

static const unit_test_t tests[] = {
	{ "undisturbed requests finish", test_undisturbed_requests_finish },
	{ "no violation without injected faults", test_no_violation },
	{ "inputs that failed", test_inputs_that_failed },
	{ "faults are found", test_faults_are_detected },
};

int main(void)
{
	return unit_run("session world", tests, ARRAY_SIZE(tests));
}
