/* Unit tests of the decision after a failed attempt, one row per case. */
#include "unit.h"

#include <string.h>

#include "wisteria/gateway/outcome.h"
#include "wisteria/http/http_message.h"

typedef struct {
	const char *name;
	failed_attempt_t attempt;
	outcome_t expected;
} row_t;

static const row_t rows[] = {
	{ "non-idempotent, not sent: retried",
	  { .failure = ATTEMPT_UNSENT, .has_time_left = true, .max_runs = 1 },
	  OUTCOME_RETRY },
	{ "non-idempotent, not run: retried",
	  { .failure = ATTEMPT_NOT_RUN, .has_time_left = true, .max_runs = 1 },
	  OUTCOME_RETRY },
	{ "non-idempotent, no answer: not retried",
	  { .failure = ATTEMPT_UNKNOWN,
	    .has_time_left = true,
	    .possible_runs = 1,
	    .max_runs = 2 },
	  OUTCOME_FAIL },
	{ "non-idempotent, truncated answer: not retried",
	  { .failure = ATTEMPT_TRUNCATED,
	    .has_time_left = true,
	    .possible_runs = 1,
	    .max_runs = 2 },
	  OUTCOME_FAIL },
	{ "non-idempotent, error: error is forwarded",
	  { .failure = ATTEMPT_ERROR,
	    .has_time_left = true,
	    .possible_runs = 1,
	    .max_runs = 2 },
	  OUTCOME_FORWARD_ERROR },
	{ "not run after a possible run: not reported as not run",
	  { .failure = ATTEMPT_NOT_RUN,
	    .has_time_left = true,
	    .possible_runs = 1,
	    .max_runs = 1 },
	  OUTCOME_FAIL },
	{ "non-idempotent, not sent, past the deadline: refused",
	  { .failure = ATTEMPT_UNSENT, .max_runs = 1 },
	  OUTCOME_REFUSE },
	{ "idempotent, no answer: retried",
	  { .failure = ATTEMPT_UNKNOWN,
	    .repeatable = true,
	    .has_time_left = true,
	    .possible_runs = 1,
	    .max_runs = 2 },
	  OUTCOME_RETRY },
	{ "idempotent, no answer, out of attempts: fails",
	  { .failure = ATTEMPT_UNKNOWN,
	    .repeatable = true,
	    .has_time_left = true,
	    .possible_runs = 2,
	    .max_runs = 2 },
	  OUTCOME_FAIL },
	{ "idempotent, second error: error is forwarded",
	  { .failure = ATTEMPT_ERROR,
	    .repeatable = true,
	    .has_time_left = true,
	    .possible_runs = 2,
	    .max_runs = 2 },
	  OUTCOME_FORWARD_ERROR },
	{ "resumable stream, truncated: resumed",
	  { .failure = ATTEMPT_TRUNCATED,
	    .repeatable = true,
	    .answer_started = true,
	    .resumable = true,
	    .has_time_left = true,
	    .possible_runs = 1,
	    .max_runs = 2 },
	  OUTCOME_RETRY },
	{ "stream that is not resumable, truncated: aborted",
	  { .failure = ATTEMPT_TRUNCATED,
	    .answer_started = true,
	    .has_time_left = true,
	    .possible_runs = 1,
	    .max_runs = 2 },
	  OUTCOME_ABORT },
	{ "started stream, out of attempts: aborted",
	  { .failure = ATTEMPT_NOT_RUN,
	    .repeatable = true,
	    .answer_started = true,
	    .resumable = true,
	    .has_time_left = true,
	    .possible_runs = 2,
	    .max_runs = 2 },
	  OUTCOME_ABORT },
};

static void test_rows(void)
{
	for (size_t i = 0; i < ARRAY_SIZE(rows); i++) {
		CU_ASSERT_EQUAL(outcome_decide(&rows[i].attempt),
				rows[i].expected);
		if (outcome_decide(&rows[i].attempt) != rows[i].expected)
			printf("\n  %s\n", rows[i].name);
	}
}

/* A request that reached no endpoint is retried without using the budget. */
static void test_first_arrival_uses_no_budget(void)
{
	failed_attempt_t attempt = { .failure = ATTEMPT_UNSENT,
				     .has_time_left = true,
				     .max_runs = 1 };

	CU_ASSERT_EQUAL(outcome_decide(&attempt), OUTCOME_RETRY);
	CU_ASSERT_FALSE(outcome_uses_retry_budget(&attempt));
	attempt.failure = ATTEMPT_NOT_RUN;
	attempt.possible_arrivals = 1;
	CU_ASSERT_EQUAL(outcome_decide(&attempt), OUTCOME_RETRY);
	CU_ASSERT_TRUE(outcome_uses_retry_budget(&attempt));
	attempt.failure = ATTEMPT_UNSENT;
	CU_ASSERT_TRUE(outcome_uses_retry_budget(&attempt));
}

/* In all cases, only requests that cannot have run are reported as not run. */
static void test_refused_only_if_not_run(void)
{
	for (unsigned bits = 0; bits < 64; bits++)
		for (int failure = ATTEMPT_UNSENT; failure <= ATTEMPT_ERROR;
		     failure++)
			for (unsigned runs = 0; runs <= 2; runs++) {
				const failed_attempt_t attempt = {
					.failure = (attempt_failure_t)failure,
					.repeatable = bits & 1,
					.answer_started = bits & 2,
					.resumable = bits & 4,
					.has_time_left = bits & 8,
					.possible_runs = runs,
					.max_runs = 2,
				};
				outcome_t outcome = outcome_decide(&attempt);

				if (outcome == OUTCOME_RETRY) {
					CU_ASSERT(attempt.repeatable ||
						  runs == 0);
					CU_ASSERT(runs < 2);
					outcome =
						outcome_without_retry(&attempt);
				}
				if (outcome == OUTCOME_REFUSE)
					CU_ASSERT_EQUAL(runs, 0);
			}
}

typedef struct {
	received_answer_t answer;
	bool is_forwarded;
	attempt_failure_t failure; /* if it is not */
} answer_row_t;

/* Every answer is whole, stamped and of the request, if not said otherwise. */
#define RAN .names_request = true, .stamped = true
#define MARKED .names_request = true, .not_run = true

static const answer_row_t answer_rows[] = {
	{ { RAN, .status = 200 }, true, ATTEMPT_UNKNOWN },
	{ { RAN, .status = 302 }, true, ATTEMPT_UNKNOWN },
	{ { RAN, .status = 400 }, true, ATTEMPT_UNKNOWN },
	{ { RAN, .status = 404 }, true, ATTEMPT_UNKNOWN },
	{ { RAN, .status = 408 }, false, ATTEMPT_ERROR },
	{ { RAN, .status = 421 }, false, ATTEMPT_ERROR },
	{ { RAN, .status = 429 }, false, ATTEMPT_ERROR },
	{ { RAN, .status = 500 }, false, ATTEMPT_ERROR },
	{ { RAN, .status = 502 }, false, ATTEMPT_ERROR },
	{ { RAN, .status = 503 }, false, ATTEMPT_ERROR },
	{ { RAN, .status = 504 }, false, ATTEMPT_ERROR },
	{ { MARKED, .status = 503 }, false, ATTEMPT_NOT_RUN },
	{ { MARKED, .status = 429 }, false, ATTEMPT_NOT_RUN },
	{ { MARKED, .status = 421, .stamped = true }, false, ATTEMPT_NOT_RUN },
	{ { .status = 503, .not_run = true }, false, ATTEMPT_UNKNOWN },
	{ { MARKED, .status = 503, .is_of_another = true },
	  false,
	  ATTEMPT_UNKNOWN },
	{ { RAN, .status = 200, .is_of_another = true },
	  false,
	  ATTEMPT_UNKNOWN },
	{ { .status = 200, .names_request = true }, false, ATTEMPT_UNKNOWN },
	{ { .status = 503, .names_request = true }, false, ATTEMPT_UNKNOWN },
	{ { RAN, .status = 200, .defect = "cut" }, false, ATTEMPT_TRUNCATED },
	{ { RAN, .status = 503, .defect = "cut" }, false, ATTEMPT_TRUNCATED },
	{ { RAN, .status = 404, .answer_started = true },
	  false,
	  ATTEMPT_ERROR },
};

static void test_answers_that_are_forwarded(void)
{
	for (size_t i = 0; i < ARRAY_SIZE(answer_rows); i++) {
		const answer_row_t *row = &answer_rows[i];
		attempt_failure_t failure;
		const char *rule;
		bool is_forwarded =
			outcome_is_forwarded(&row->answer, &failure, &rule);

		CU_ASSERT_EQUAL(is_forwarded, row->is_forwarded);
		CU_ASSERT(is_forwarded || failure == row->failure);
		if (row->answer.status == 503 && failure == ATTEMPT_ERROR)
			CU_ASSERT_STRING_EQUAL(rule, "promise_by_a_run");
	}
}

/* Returns the status that a caller gets of a request without a further attempt. */
static unsigned caller_status(const failed_attempt_t *attempt, unsigned status)
{
	switch (outcome_without_retry(attempt)) {
	case OUTCOME_FORWARD_ERROR:
		return status;
	case OUTCOME_REFUSE:
		return 503;
	case OUTCOME_FAIL:
		return http_status_to_caller(503, attempt->possible_runs > 0);
	default:
		return 0; /* the connection is closed */
	}
}

/*
 * Failure: a booking that has run is answered 503, and its caller makes it again.
 * In all cases of kind, status, mark and possible runs, a status that promises
 * "not run" reaches only the caller of a request that can't have run.
 */
static void test_no_promise_for_a_request_that_may_have_run(void)
{
	for (unsigned bits = 0; bits < 128; bits++)
		for (unsigned status = 200; status < 600; status++) {
			const received_answer_t answer = {
				.status = status,
				.names_request = bits & 1,
				.not_run = bits & 2,
				.stamped = bits & 4,
				.is_of_another = bits & 8,
				.defect = bits & 16 ? "cut" : NULL,
			};
			failed_attempt_t attempt = {
				.repeatable = bits & 32,
				.is_promise = http_status_is_promise(status),
				.possible_runs = bits & 64 ? 1 : 0,
				.max_runs = 1,
			};
			unsigned told = status;
			const char *rule;

			if (!outcome_is_forwarded(&answer, &attempt.failure,
						  &rule)) {
				attempt.possible_runs +=
					attempt.failure != ATTEMPT_NOT_RUN;
				told = caller_status(&attempt, status);
			} else {
				attempt.possible_runs++;
			}
			CU_ASSERT(!http_status_is_promise(told) ||
				  attempt.possible_runs == 0);
		}
}

static paused_stream_t decide_paused(const char *text,
				     const http_framing_t *framing)
{
	GByteArray *body = g_byte_array_new();
	event_stream_t stream;
	paused_stream_t decision;

	/* Behind event 4; a part of the next one had arrived. */
	event_stream_init(&stream, 4, true);
	stream.attempt_event_count = 5;
	stream.partial_bytes = 3;
	g_byte_array_append(body, (const guint8 *)text, (guint)strlen(text));
	decision = outcome_of_paused(&stream, body, framing);
	g_byte_array_unref(body);
	return decision;
}

static void test_paused_stream_goes_on_with_its_next_event(void)
{
	static const http_framing_t chunked = HTTP_FRAMING_CHUNKED;

	CU_ASSERT_EQUAL(decide_paused("id:", NULL), PAUSED_STREAM_WAITS);
	CU_ASSERT_EQUAL(decide_paused(": wait\n\n", NULL), PAUSED_STREAM_WAITS);
	CU_ASSERT_EQUAL(decide_paused("id: 5\ndata: a\n\n", NULL),
			PAUSED_STREAM_GOES_ON);
	CU_ASSERT_EQUAL(decide_paused("id: 5\ndata: a\n\nid: 5\n\n", NULL),
			PAUSED_STREAM_GOES_ON);
	CU_ASSERT_EQUAL(decide_paused("id: 4\ndata: a\n\n", NULL),
			PAUSED_STREAM_FAILS);
	CU_ASSERT_EQUAL(decide_paused("<html>\n\n", NULL), PAUSED_STREAM_FAILS);
	CU_ASSERT_EQUAL(decide_paused("id: 5\ndata: a", &chunked),
			PAUSED_STREAM_FAILS);
	CU_ASSERT_EQUAL(decide_paused("", &chunked), PAUSED_STREAM_FAILS);
	CU_ASSERT_EQUAL(decide_paused(": end\n\n", &chunked),
			PAUSED_STREAM_GOES_ON);
}

static const unit_test_t tests[] = {
	{ "paused stream goes on with its next event",
	  test_paused_stream_goes_on_with_its_next_event },
	{ "first arrival uses no budget", test_first_arrival_uses_no_budget },
	{ "rows", test_rows },
	{ "refused only if not run", test_refused_only_if_not_run },
	{ "answers that are forwarded", test_answers_that_are_forwarded },
	{ "no promise for a request that may have run",
	  test_no_promise_for_a_request_that_may_have_run },
};

int main(void)
{
	return unit_run("outcome", tests, ARRAY_SIZE(tests));
}
