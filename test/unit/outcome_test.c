/* Unit tests of what follows a failed attempt: one row for each case. */
#include "unit.h"

#include "wisteria/gateway/outcome.h"

typedef struct {
	const char *name;
	outcome_case_t given;
	outcome_t expected;
} row_t;

static const row_t rows[] = {
	{ "a booking that was not sent goes elsewhere",
	  { .end = ATTEMPT_UNSENT, .caller_waits = true, .max_runs = 1 },
	  OUTCOME_AGAIN },
	{ "a booking that was shed goes elsewhere",
	  { .end = ATTEMPT_NOT_RUN, .caller_waits = true, .max_runs = 1 },
	  OUTCOME_AGAIN },
	{ "a booking without an answer is not repeated",
	  { .end = ATTEMPT_UNKNOWN,
	    .caller_waits = true,
	    .runs = 1,
	    .max_runs = 2 },
	  OUTCOME_FAIL },
	{ "a booking whose answer was cut is not repeated",
	  { .end = ATTEMPT_CUT,
	    .caller_waits = true,
	    .runs = 1,
	    .max_runs = 2 },
	  OUTCOME_FAIL },
	{ "a booking that failed is passed on",
	  { .end = ATTEMPT_ERROR,
	    .caller_waits = true,
	    .runs = 1,
	    .max_runs = 2 },
	  OUTCOME_PASS },
	{ "shed after one that may have run is not called not run",
	  { .end = ATTEMPT_NOT_RUN,
	    .caller_waits = true,
	    .runs = 1,
	    .max_runs = 1 },
	  OUTCOME_FAIL },
	{ "a booking that was not sent, without time, is refused",
	  { .end = ATTEMPT_UNSENT, .max_runs = 1 },
	  OUTCOME_REFUSE },
	{ "a lookup without an answer is repeated",
	  { .end = ATTEMPT_UNKNOWN,
	    .repeatable = true,
	    .caller_waits = true,
	    .runs = 1,
	    .max_runs = 2 },
	  OUTCOME_AGAIN },
	{ "a lookup is run no more often than allowed",
	  { .end = ATTEMPT_UNKNOWN,
	    .repeatable = true,
	    .caller_waits = true,
	    .runs = 2,
	    .max_runs = 2 },
	  OUTCOME_FAIL },
	{ "a lookup that failed twice is passed on",
	  { .end = ATTEMPT_ERROR,
	    .repeatable = true,
	    .caller_waits = true,
	    .runs = 2,
	    .max_runs = 2 },
	  OUTCOME_PASS },
	{ "a stream that was cut goes on elsewhere",
	  { .end = ATTEMPT_CUT,
	    .repeatable = true,
	    .answer_begun = true,
	    .resumable = true,
	    .caller_waits = true,
	    .runs = 1,
	    .max_runs = 2 },
	  OUTCOME_AGAIN },
	{ "a stream that cannot go on is broken off",
	  { .end = ATTEMPT_CUT,
	    .answer_begun = true,
	    .caller_waits = true,
	    .runs = 1,
	    .max_runs = 2 },
	  OUTCOME_BREAK },
	{ "a begun stream out of attempts is broken off",
	  { .end = ATTEMPT_NOT_RUN,
	    .repeatable = true,
	    .answer_begun = true,
	    .resumable = true,
	    .caller_waits = true,
	    .runs = 2,
	    .max_runs = 2 },
	  OUTCOME_BREAK },
};

static void test_rows(void)
{
	for (size_t i = 0; i < ARRAY_SIZE(rows); i++) {
		CU_ASSERT_EQUAL(outcome_decide(&rows[i].given),
				rows[i].expected);
		if (outcome_decide(&rows[i].given) != rows[i].expected)
			printf("\n  %s\n", rows[i].name);
	}
}

/* A retry budget that is spent does not refuse what was never sent. */
static void test_first_arrival_is_no_repeat(void)
{
	outcome_case_t given = { .end = ATTEMPT_UNSENT,
				 .caller_waits = true,
				 .max_runs = 1 };

	CU_ASSERT_EQUAL(outcome_decide(&given), OUTCOME_AGAIN);
	CU_ASSERT_FALSE(outcome_is_repeat(&given));
	given.end = ATTEMPT_NOT_RUN;
	given.arrivals = 1;
	CU_ASSERT_EQUAL(outcome_decide(&given), OUTCOME_AGAIN);
	CU_ASSERT_TRUE(outcome_is_repeat(&given));
	given.end = ATTEMPT_UNSENT;
	CU_ASSERT_TRUE(outcome_is_repeat(&given));
}

/* Over all cases: "not run" is only said of what cannot have run. */
static void test_refusals_are_true(void)
{
	for (unsigned bits = 0; bits < 64; bits++)
		for (int end = ATTEMPT_UNSENT; end <= ATTEMPT_ERROR; end++)
			for (unsigned runs = 0; runs <= 2; runs++) {
				const outcome_case_t given = {
					.end = (attempt_end_t)end,
					.repeatable = bits & 1,
					.answer_begun = bits & 2,
					.resumable = bits & 4,
					.caller_waits = bits & 8,
					.runs = runs,
					.max_runs = 2,
				};
				outcome_t outcome = outcome_decide(&given);

				if (outcome == OUTCOME_AGAIN) {
					CU_ASSERT(given.repeatable ||
						  runs == 0);
					CU_ASSERT(runs < 2);
					outcome = outcome_without_retry(&given);
				}
				if (outcome == OUTCOME_REFUSE)
					CU_ASSERT_EQUAL(runs, 0);
			}
}

static const unit_test_t tests[] = {
	{ "first arrival is no repeat", test_first_arrival_is_no_repeat },
	{ "rows", test_rows },
	{ "refusals are true", test_refusals_are_true },
};

int main(void)
{
	return unit_run("outcome", tests, ARRAY_SIZE(tests));
}
