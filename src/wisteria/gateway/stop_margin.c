/*
 * Decides which requests an entry still passes on while it is stopping.  The
 * load balancer sends new requests for some seconds after a stop has begun, and
 * on open connections they come until its end.  An answer that is not complete
 * when the entry exits is cut, and whether the request has run is then unknown;
 * another entry can serve it completely.  No clock, no I/O.
 */
#include "wisteria/gateway/stop_margin.h"

/*
 * Upper bound on the time of an answer token, in estimated pipeline passes; the
 * 99th percentile is 0.9 in the scenario everything-restarts.
 */
#define STOP_MARGIN_PASSES 1.0
/*
 * An answer may take this many times as long as the longest recent one.  Too many
 * refusals cost their callers another attempt; a call that is cut may not be
 * repeated.
 */
#define STOP_MARGIN_LONGEST 2

/*
 * Returns whether an answer of up to "answer_tokens_max" tokens that starts now
 * might not be complete in "remaining_ms", with "pass_ms" for one pass through
 * its pipeline.  The caller's length hint is not reliable enough: one answer in
 * ten is twice as long.
 */
bool stop_margin_is_too_short(clock_ms_t remaining_ms,
			      uint32_t answer_tokens_max, double pass_ms)
{
	return answer_tokens_max * pass_ms * STOP_MARGIN_PASSES >
	       (double)remaining_ms;
}

/*
 * Returns whether the answer to a call of a service without an engine, sent now,
 * might not be complete in "remaining_ms".  "longest_ms" is the time of the
 * service's longest recent answer; "left_ms" is left until the request's
 * deadline, which ends it in any case.
 */
bool stop_margin_is_too_short_for_call(clock_ms_t remaining_ms,
				       clock_ms_t left_ms,
				       clock_ms_t longest_ms)
{
	return left_ms > remaining_ms &&
	       longest_ms * STOP_MARGIN_LONGEST > remaining_ms;
}
