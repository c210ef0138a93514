#ifndef WISTERIA_LIMITS_EQUAL_SHARE_H
#define WISTERIA_LIMITS_EQUAL_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"

/* Time buckets of a window, and one more for the incomplete newest one. */
#define EQUAL_SHARE_BUCKETS 21

/* The part of the whole that settled owners share. */
#define EQUAL_SHARE_SETTLED_PART 0.48
/* The part for those that have just started; the rest is no owner's share. */
#define EQUAL_SHARE_UNSETTLED_PART 0.12

/* The numbers of owners that one owner was told during the last window. */
typedef struct {
	clock_ms_t window_ms;
	clock_ms_t settle_ms;
	clock_ms_t bucket_ms;
	int64_t newest_bucket; /* its number, counted from time 0 */
	uint32_t most[EQUAL_SHARE_BUCKETS];
	clock_ms_t told_ms;	  /* last time; -1: never */
	clock_ms_t told_since_ms; /* without a gap of a window */
	bool is_first;		  /* has no predecessor; until such a gap */
	bool is_continued;	  /* goes on as its predecessor; likewise */
} equal_share_t;

void equal_share_init(equal_share_t *share, clock_ms_t window_ms,
		      clock_ms_t settle_ms) ATTR_NONNULL_ALL;
void equal_share_set_first(equal_share_t *share) ATTR_NONNULL_ALL;
void equal_share_set_continued(equal_share_t *share) ATTR_NONNULL_ALL;
void equal_share_told(equal_share_t *share, uint32_t owners,
		      clock_ms_t now) ATTR_NONNULL_ALL;
uint32_t equal_share_owners(equal_share_t *share,
			    clock_ms_t now) ATTR_NONNULL_ALL;
bool equal_share_is_settled(equal_share_t *share,
			    clock_ms_t now) ATTR_NONNULL_ALL;
double equal_share_part(equal_share_t *share, clock_ms_t now) ATTR_NONNULL_ALL;

#endif
