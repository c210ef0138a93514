/*
 * Records how long the answers of a service take: the longest one of the last
 * ANSWER_TIMES_WINDOW_MS to twice that time, in two windows.  No clock, no I/O.
 */
#include "wisteria/gateway/answer_times.h"

#include <glib.h>

/* Returns how many windows have begun since the present one: 0, 1 or more. */
static clock_ms_t windows_since(const answer_times_t *times, clock_ms_t now)
{
	return (now - times->window_since_ms) / ANSWER_TIMES_WINDOW_MS;
}

/* Records an answer that took "answer_ms", at least 1, and ended at "now". */
void answer_times_add(answer_times_t *times, clock_ms_t answer_ms,
		      clock_ms_t now)
{
	clock_ms_t windows = windows_since(times, now);

	if (times->window_since_ms == 0 || windows > 0) {
		times->previous_ms = windows == 1 ? times->longest_ms : 0;
		times->longest_ms = 0;
		times->window_since_ms = now;
	}
	times->longest_ms = MAX(times->longest_ms, MAX(answer_ms, 1));
}

/*
 * Returns the time of the longest recent answer in ms; 0 if there was none in
 * the last two windows.
 */
clock_ms_t answer_times_longest(const answer_times_t *times, clock_ms_t now)
{
	clock_ms_t windows = windows_since(times, now);

	if (times->window_since_ms == 0 || windows > 1)
		return 0;
	return windows == 1 ? times->longest_ms
			    : MAX(times->longest_ms, times->previous_ms);
}
