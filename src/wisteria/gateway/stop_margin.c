/*
 * Which streams an entry that is about to stop still takes.  The load that it
 * answers: the balancer sends new requests for some seconds after a stop has
 * begun, and a long answer would be cut when the time for the stop is up.
 * Another entry serves it whole.  Pure.
 */
#include "wisteria/gateway/stop_margin.h"

/*
 * Time of an answer for each token and each ms of a pass through the pipeline,
 * beyond which three of four answers lie below; measured on the days
 * everything-restarts (1.15) and the grown scale day (1.26).
 */
#define STOP_MARGIN_PASSES 1.2

/*
 * Returns whether an answer of "answer_tokens" that begins now would probably
 * still run in "left_ms", with passes of "pass_ms" through its pipeline.
 */
bool stop_margin_is_short(clock_ms_t left_ms, uint32_t answer_tokens,
			  double pass_ms)
{
	return answer_tokens * pass_ms * STOP_MARGIN_PASSES > (double)left_ms;
}
