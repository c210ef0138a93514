/*
 * Decides which streams an entry still accepts while it is stopping.  The load
 * balancer sends new requests for some seconds after a stop has begun; a long
 * answer would be truncated when the entry exits, while another entry can serve
 * it completely.  No clock, no I/O.
 */
#include "wisteria/gateway/stop_margin.h"

/*
 * Upper bound on the time of an answer token, in estimated pipeline passes; the
 * 99th percentile is 0.9 in the scenario everything-restarts.
 */
#define STOP_MARGIN_PASSES 1.0

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
