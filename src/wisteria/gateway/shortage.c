/*
 * Refuses at once what would wait in vain, and tells refused callers when to
 * come back.  Answers a lack of capacity that lasts: after the loss of endpoints others load their layers for seconds, and a
 * caller who comes back sooner is refused again, for good if it tries only
 * twice.  How long a shortage will last is not known, so a caller is told to
 * wait for as long as it has lasted already; each comes back at another moment.
 * No clock, no I/O.
 */
#include "wisteria/gateway/shortage.h"

#include <glib.h>

/* Callers wait no longer than this fraction of the time that they have left. */
#define WAIT_FRACTION_MAX (1.0 / 3)

/*
 * Returns whether a request may wait for capacity behind "ahead" others.  If the
 * last ones waited in vain, only one waits, to notice when there is capacity
 * again; if it is known how many are started in time, only these wait.
 */
bool shortage_allows_wait(const shortage_t *shortage, uint32_t ahead)
{
	if (ahead == 0)
		return true;
	return shortage->vain_waits < SHORTAGE_VAIN_WAITS &&
	       (shortage->places == 0 || ahead < shortage->places);
}

/*
 * Records that the endpoints take "per_s" more requests per second, while a
 * request waits for "wait_ms"; below 0: it is not known.
 */
void shortage_expect_starts(shortage_t *shortage, double per_s,
			    clock_ms_t wait_ms)
{
	double starts = per_s * (double)wait_ms / 1000;

	shortage->places =
		per_s < 0 ? 0 : (uint32_t)CLAMP(starts, 1.0, UINT32_MAX);
}

/* Records that a request that waited was started, or was not. */
void shortage_wait_ended(shortage_t *shortage, bool started)
{
	if (started)
		shortage->vain_waits = 0;
	else if (shortage->vain_waits < SHORTAGE_VAIN_WAITS)
		shortage->vain_waits++;
}

/*
 * Records a refusal and returns after how long the caller should come back, in
 * milliseconds: at most a third of the time that it has left, so that the rest
 * is enough for an answer.
 */
clock_ms_t shortage_refuse(shortage_t *shortage,
			   const shortage_refusal_t *refusal, clock_ms_t now)
{
	double spread = SHORTAGE_SPREAD_MIN +
			2 * (1 - SHORTAGE_SPREAD_MIN) * refusal->drawn;
	double wait_ms;

	if (shortage->last_ms == 0 ||
	    now - shortage->last_ms >= SHORTAGE_GAP_MS)
		shortage->since_ms = now;
	shortage->last_ms = now;
	wait_ms = (double)MAX(now - shortage->since_ms, refusal->least_ms) *
		  spread;
	wait_ms = MIN(wait_ms, (double)refusal->left_ms * WAIT_FRACTION_MAX);
	return MAX((clock_ms_t)wait_ms, 1);
}
