/* Counts the prompt tokens that endpoints prefill again, by cause.  No I/O. */
#include "wisteria/gateway/prefill_again.h"

#include <glib.h>

#include "wisteria/base/counters.h"

/*
 * Returns why the attempt after a failed one prefills the prompt again.  The
 * attempt is no cause if it was not received: what an earlier one had read was
 * counted when this one was sent.  "is_endpoint_lost" says whether one of its
 * endpoints is known to be lost; what cannot be assigned counts as an error.
 */
prefill_again_cause_t prefill_again_cause(attempt_failure_t failure,
					  bool is_endpoint_lost)
{
	switch (failure) {
	case ATTEMPT_UNSENT:
		return PREFILL_AGAIN_NONE;
	case ATTEMPT_NOT_RUN:
		return PREFILL_AGAIN_NOT_RUN;
	case ATTEMPT_UNKNOWN:
	case ATTEMPT_TRUNCATED:
		if (is_endpoint_lost)
			return PREFILL_AGAIN_LOST_ENDPOINT;
		break;
	case ATTEMPT_ERROR:
		break;
	}
	return PREFILL_AGAIN_ERROR;
}

/* Adds prompt tokens, rounded, to the counter of "cause". */
void prefill_again_count(prefill_again_cause_t cause, double tokens)
{
	static const counter_t counters[] = {
		[PREFILL_AGAIN_NOT_RUN] = COUNTER_PREFILLED_AGAIN_NOT_RUN,
		[PREFILL_AGAIN_LOST_ENDPOINT] =
			COUNTER_PREFILLED_AGAIN_LOST_ENDPOINT,
		[PREFILL_AGAIN_SILENT] = COUNTER_PREFILLED_AGAIN_SILENT,
		[PREFILL_AGAIN_ERROR] = COUNTER_PREFILLED_AGAIN_ERROR,
	};

	if (cause != PREFILL_AGAIN_NONE)
		counter_add(counters[cause], (uint64_t)(MAX(tokens, 0) + 0.5));
}
