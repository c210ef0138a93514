/*
 * Tells when a retry of an entry's own budget is settled, see retry_window.c.
 * Whichever attempt of a request arrives first, each further one is a repeat at
 * the time of its arrival, and it doesn't matter which of them was a retry.  A
 * granted retry is counted by the instance that granted it, from the grant on, so
 * repeats are counted against grants first: the entry's own retries stay under
 * way until all that may have arrived has.
 * No clock, no I/O.
 */
#include "wisteria/limits/retry_arrivals.h"

/* Records that a retry is sent, of the own budget or granted. */
void retry_arrivals_expect(retry_arrivals_t *arrivals, bool is_granted)
{
	if (is_granted)
		arrivals->granted++;
	else
		arrivals->own++;
}

/* Records that an attempt has arrived; returns whether an own retry is settled. */
bool retry_arrivals_count(retry_arrivals_t *arrivals)
{
	bool is_repeat = arrivals->has_arrived;

	arrivals->has_arrived = true;
	return is_repeat && retry_arrivals_withdraw(arrivals);
}

/*
 * Records that a retry was never sent, or that none can arrive any more; returns
 * whether an own retry is settled.
 */
bool retry_arrivals_withdraw(retry_arrivals_t *arrivals)
{
	if (arrivals->granted > 0) {
		arrivals->granted--;
		return false;
	}
	if (arrivals->own == 0)
		return false;
	arrivals->own--;
	return true;
}
