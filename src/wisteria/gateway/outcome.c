/*
 * What follows when an attempt has failed.  A request that must not run twice
 * is tried again only where no attempt can have run; "not run" is said only
 * where that is sure.  Pure.
 */
#include "wisteria/gateway/outcome.h"

#include <stddef.h>

/* Returns what to do where no other attempt can be made. */
outcome_t outcome_without_retry(const outcome_case_t *given)
{
	if (given->answer_begun)
		return OUTCOME_BREAK;
	if (given->end == ATTEMPT_ERROR)
		return OUTCOME_PASS;
	return given->runs > 0 ? OUTCOME_FAIL : OUTCOME_REFUSE;
}

/* Returns what to do; OUTCOME_AGAIN still depends on budget and endpoints. */
outcome_t outcome_decide(const outcome_case_t *given)
{
	if (!given->caller_waits)
		return outcome_without_retry(given);
	if (given->answer_begun && !given->resumable)
		return OUTCOME_BREAK;
	if (given->runs > 0 && !given->repeatable)
		return outcome_without_retry(given);
	if (given->runs >= given->max_runs)
		return outcome_without_retry(given);
	return OUTCOME_AGAIN;
}

/*
 * Returns whether another attempt is a repeat, for which the budget pays.  The
 * load that it answers: a machine is lost, and what was on its way to it was
 * never read there; elsewhere it arrives for the first time.
 */
bool outcome_is_repeat(const outcome_case_t *given)
{
	return given->arrivals > 0;
}

/* Returns the name of "end" for logs. */
const char *attempt_end_name(attempt_end_t end)
{
	static const char *const names[] = {
		[ATTEMPT_UNSENT] = "unsent",   [ATTEMPT_NOT_RUN] = "not_run",
		[ATTEMPT_UNKNOWN] = "unknown", [ATTEMPT_CUT] = "cut",
		[ATTEMPT_ERROR] = "error",
	};

	return names[end];
}
