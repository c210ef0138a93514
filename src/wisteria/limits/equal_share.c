/*
 * An equal share of what several owners may use together in a sliding window.
 * Made for owners that come and go while others are told of it late: what one of
 * them has used still counts for a window after it has ended.
 *
 * An owner divides by the largest number that it was told within the window, so
 * that the share of one that has ended is not used twice.  It is settled once it
 * has been told a number for a window and the settling time, and again after a
 * window without one: by then all others have been told of it, and what its
 * predecessor of the same name has used is outside the window.
 *
 * Settled owners share EQUAL_SHARE_SETTLED_PART of the whole.  The part of one
 * that is not settled comes from EQUAL_SHARE_UNSETTLED_PART and grows with the
 * time since it was first told a number, to its share of that after a window.
 * Owners of the same name that follow one another within a window live no longer
 * than the window together, so however often they start, they use that share at
 * most once beside the share of the settled one before them.
 *
 * The part of an owner without a predecessor, as when all owners start for the
 * first time, grows to its share of the settled part.  It does not begin with
 * it, since those that start before the others are told of too few.
 *
 * An owner that keeps on disk what it has used counts that against its own
 * share, and needs no settling after a restart: it is continued.
 * No clock, no I/O.
 */
#include "wisteria/limits/equal_share.h"

#include <glib.h>

/*
 * Initializes the share of an owner that has been told nothing.  Within
 * "settle_ms" every other owner that uses its share is told of a new one.
 */
void equal_share_init(equal_share_t *share, clock_ms_t window_ms,
		      clock_ms_t settle_ms)
{
	*share = (equal_share_t){
		.window_ms = window_ms,
		.settle_ms = settle_ms,
		.bucket_ms = MAX(window_ms / (EQUAL_SHARE_BUCKETS - 1), 1),
		.told_ms = -1,
	};
}

/*
 * Declares that the owner had no predecessor, as when all owners start for the
 * first time: until it is settled, its part grows to its share of the settled
 * part.
 */
void equal_share_set_first(equal_share_t *share)
{
	share->is_first = true;
}

/*
 * Declares that the owner counts what its predecessors have used against its own
 * share, or had none: it is settled as soon as it is told a number.
 */
void equal_share_set_continued(equal_share_t *share)
{
	share->is_continued = true;
}

/* Makes the bucket of the time "now" the newest; returns its index. */
static size_t advance_to(equal_share_t *share, clock_ms_t now)
{
	int64_t newest = MAX(now / share->bucket_ms, share->newest_bucket);
	int64_t steps = MIN(newest - share->newest_bucket,
			    (int64_t)EQUAL_SHARE_BUCKETS);

	for (int64_t i = 0; i < steps; i++)
		share->most[(newest - i) % EQUAL_SHARE_BUCKETS] = 0;
	share->newest_bucket = newest;
	return (size_t)(newest % EQUAL_SHARE_BUCKETS);
}

/* Records the number of owners that is known at the time "now". */
void equal_share_told(equal_share_t *share, uint32_t owners, clock_ms_t now)
{
	size_t index = advance_to(share, now);

	if (share->told_ms < 0) {
		share->told_since_ms = now;
	} else if (now - share->told_ms >= share->window_ms) {
		share->told_since_ms = now;
		share->is_first = false;
		share->is_continued = false;
	}
	share->told_ms = now;
	share->most[index] = MAX(share->most[index], owners);
}

/* Returns the largest number that was told within the window; 0: none. */
uint32_t equal_share_owners(equal_share_t *share, clock_ms_t now)
{
	uint32_t most = 0;

	advance_to(share, now);
	for (size_t i = 0; i < EQUAL_SHARE_BUCKETS; i++)
		most = MAX(most, share->most[i]);
	return most;
}

/* Returns whether the owner was told a number within the window. */
static bool is_told(const equal_share_t *share, clock_ms_t now)
{
	return share->told_ms >= 0 && now - share->told_ms < share->window_ms;
}

/* Returns whether the owner may use all of its share of the settled part. */
bool equal_share_is_settled(equal_share_t *share, clock_ms_t now)
{
	return equal_share_owners(share, now) > 0 && is_told(share, now) &&
	       (share->is_continued ||
		now - share->told_since_ms >=
			share->window_ms + share->settle_ms);
}

/* Returns the part of the whole that this owner may use, 0 to 1. */
double equal_share_part(equal_share_t *share, clock_ms_t now)
{
	uint32_t owners = equal_share_owners(share, now);
	double most = share->is_first ? EQUAL_SHARE_SETTLED_PART
				      : EQUAL_SHARE_UNSETTLED_PART;
	double grown;

	if (owners == 0 || !is_told(share, now))
		return 0;
	if (equal_share_is_settled(share, now))
		return EQUAL_SHARE_SETTLED_PART / owners;
	grown = MIN(1, (double)(now - share->told_since_ms) /
			       (double)share->window_ms);
	return most * grown / owners;
}
