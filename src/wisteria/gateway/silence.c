/*
 * Computes how long a stream may be silent before its endpoints are suspected
 * to have failed.  When an engine in the middle of a pipeline fails, a hundred
 * streams stop at once, each with a fraction of a second left until its pause
 * goal is missed.  An engine under load is slow for all its streams, so the
 * limit follows the average pause.  No clock, no I/O.
 */
#include "wisteria/gateway/silence.h"

#include <glib.h>

/* Weight of a pause in the average; 20 streams send one event each in 50 ms. */
#define SILENCE_PAUSE_WEIGHT 0.02
/*
 * The limit as a multiple of the average pause.  Under normal load the 99th
 * percentile of the longest pause of a stream is 2.2 times the median pause.
 */
#define SILENCE_LIMIT_FACTOR 2.5
/* Timers of an instance that is short of CPU time are late by as much. */
#define SILENCE_LIMIT_MIN_MS 100
/* Waiting longer than the shortest pause goals gains nothing. */
#define SILENCE_LIMIT_MAX_MS 400

/* Adds the pause before an event that has just arrived to the average. */
void silence_add_pause(silence_t *silence, clock_ms_t pause_ms)
{
	if (silence->average_ms == 0)
		silence->average_ms = (double)pause_ms;
	silence->average_ms +=
		SILENCE_PAUSE_WEIGHT * ((double)pause_ms - silence->average_ms);
}

/* Returns the silence after which the endpoints of a stream are suspected. */
clock_ms_t silence_limit_ms(const silence_t *silence)
{
	double limit = SILENCE_LIMIT_FACTOR * silence->average_ms;

	if (silence->average_ms == 0)
		return SILENCE_LIMIT_MAX_MS;
	return (clock_ms_t)CLAMP(limit, SILENCE_LIMIT_MIN_MS,
				 SILENCE_LIMIT_MAX_MS);
}
