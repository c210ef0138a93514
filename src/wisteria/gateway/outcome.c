/*
 * Decides whether a failed attempt is retried and how the caller is answered
 * if it is not.  A request that must not run twice is retried only if no
 * attempt can have run, and it is reported as "not run" only if that is
 * certain.  No clock, no I/O.
 */
#include "wisteria/gateway/outcome.h"

#include <stddef.h>

#include "wisteria/http/http_message.h"

/*
 * Returns whether the caller gets the answer as it is.  If not, "failure" is how
 * the attempt ended, and "rule" names the rule that the answer breaks; NULL if it
 * breaks none.
 */
bool outcome_is_forwarded(const received_answer_t *answer,
			  attempt_failure_t *failure, const char **rule)
{
	*rule = NULL;
	*failure = ATTEMPT_UNKNOWN;
	if (answer->is_of_another) {
		*rule = "answer_of_another_request";
	} else if (answer->not_run && !answer->names_request) {
		*rule = "refusal_without_id";
	} else if (answer->not_run) {
		*failure = ATTEMPT_NOT_RUN;
	} else if (!answer->stamped) {
		*rule = "answer_without_stamp";
	} else if (answer->defect != NULL) {
		*failure = ATTEMPT_TRUNCATED;
		*rule = answer->defect;
	} else if (http_status_is_promise(answer->status)) {
		*failure = ATTEMPT_ERROR;
		*rule = "promise_by_a_run";
	} else if (answer->status >= 500 || answer->answer_started) {
		*failure = ATTEMPT_ERROR;
	} else {
		return true;
	}
	return false;
}

/* Returns what to do if no further attempt can be made. */
outcome_t outcome_without_retry(const failed_attempt_t *attempt)
{
	if (attempt->answer_started)
		return OUTCOME_ABORT;
	if (attempt->failure == ATTEMPT_ERROR && !attempt->is_promise)
		return OUTCOME_FORWARD_ERROR;
	return attempt->possible_runs > 0 ? OUTCOME_FAIL : OUTCOME_REFUSE;
}

/* Returns what to do; OUTCOME_RETRY also needs a budget and an endpoint. */
outcome_t outcome_decide(const failed_attempt_t *attempt)
{
	if (!attempt->has_time_left)
		return outcome_without_retry(attempt);
	if (attempt->answer_started && !attempt->resumable)
		return OUTCOME_ABORT;
	if (attempt->possible_runs > 0 && !attempt->repeatable)
		return outcome_without_retry(attempt);
	if (attempt->possible_runs >= attempt->max_runs)
		return outcome_without_retry(attempt);
	return OUTCOME_RETRY;
}

/*
 * Returns whether another attempt counts against the retry budget.  It does not
 * if no endpoint has received the request: when a machine is lost, requests in
 * transit to it were never read, and elsewhere they are not repeated work.
 */
bool outcome_uses_retry_budget(const failed_attempt_t *attempt)
{
	return attempt->possible_arrivals > 0;
}

/*
 * Returns what becomes of a paused stream when "body" has arrived behind its
 * last event.  "framing" is NULL unless the answer has ended.
 */
paused_stream_t outcome_of_paused(const event_stream_t *stream,
				  const GByteArray *body,
				  const http_framing_t *framing)
{
	event_stream_t next = *stream;

	if (body->len > 0 &&
	    event_stream_consume(&next, body->data, body->len) > 0)
		return PAUSED_STREAM_GOES_ON;
	if (next.defect != NULL)
		return PAUSED_STREAM_FAILS;
	if (framing == NULL)
		return PAUSED_STREAM_WAITS;
	return event_stream_defect(&next, *framing) == NULL
		       ? PAUSED_STREAM_GOES_ON
		       : PAUSED_STREAM_FAILS;
}

/* Returns the name of "failure" for logs. */
const char *attempt_failure_name(attempt_failure_t failure)
{
	static const char *const names[] = {
		[ATTEMPT_UNSENT] = "unsent",   [ATTEMPT_NOT_RUN] = "not_run",
		[ATTEMPT_UNKNOWN] = "unknown", [ATTEMPT_TRUNCATED] = "cut",
		[ATTEMPT_ERROR] = "error",
	};

	return names[failure];
}
