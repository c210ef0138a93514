/*
 * The oracle of the session fuzzing: it finds faults that are put between the
 * session modules and their world, and finds none without them.
 */
#include "unit.h"

#include <glib.h>
#include <stdio.h>

#include "session_world.h"

#define WORLDS 4000
#define FAULT_WORLDS 40000
#define BYTES 400

static void fill(uint32_t seed, uint8_t *data, size_t size)
{
	GRand *random = g_rand_new_with_seed(seed);

	for (size_t i = 0; i < size; i++)
		data[i] = (uint8_t)g_rand_int(random);
	g_rand_free(random);
}

/* Returns the first seed in which a rule is broken; 0 if none. */
static uint32_t find_fault(world_fault_t fault, uint32_t worlds,
			   world_outcome_t *outcome)
{
	uint8_t data[BYTES];

	for (uint32_t seed = 1; seed <= worlds; seed++) {
		fill(seed, data, sizeof(data));
		world_run(data, sizeof(data), fault, outcome);
		if (outcome->fault[0] != '\0')
			return seed;
	}
	return 0;
}

static void test_modules_hold(void)
{
	static world_outcome_t outcome;
	uint32_t seed = find_fault(FAULT_NONE, WORLDS, &outcome);

	if (seed != 0)
		printf("seed %u: %s\n%s\n", seed, outcome.fault, outcome.trace);
	CU_ASSERT_EQUAL(seed, 0);
}

static void test_faults_are_found(void)
{
	static world_outcome_t outcome;

	for (int fault = FAULT_NONE + 1; fault < FAULT_COUNT; fault++) {
		uint32_t seed = find_fault((world_fault_t)fault, FAULT_WORLDS,
					   &outcome);

		printf("fault %d: seed %u: %s\n", fault, seed, outcome.fault);
		CU_ASSERT_NOT_EQUAL(seed, 0);
	}
}

static void test_calm_worlds_answer(void)
{
	static world_outcome_t outcome;
	uint8_t data[2];

	for (unsigned int shape = 0; shape <= UINT8_MAX; shape++) {
		data[0] = (uint8_t)shape;
		data[1] = (uint8_t)(shape / 2);
		world_run(data, sizeof(data), FAULT_NONE, &outcome);
		CU_ASSERT_STRING_EQUAL(outcome.fault, "");
		CU_ASSERT(outcome.finished);
		CU_ASSERT_EQUAL(outcome.attempts, 1);
	}
}

static const unit_test_t tests[] = {
	{ "calm worlds answer", test_calm_worlds_answer },
	{ "the modules break no rule", test_modules_hold },
	{ "faults are found", test_faults_are_found },
};

int main(void)
{
	return unit_run("session world", tests, ARRAY_SIZE(tests));
}
