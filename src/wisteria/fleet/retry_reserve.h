#ifndef WISTERIA_FLEET_RETRY_RESERVE_H
#define WISTERIA_FLEET_RETRY_RESERVE_H

#include <glib.h>
#include <msgpack.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/limits/equal_share.h"

/* The part of the retry slack that no entry has a share of. */
#define RETRY_RESERVE_PART \
	(1 - EQUAL_SHARE_SETTLED_PART - EQUAL_SHARE_UNSETTLED_PART)
/*
 * How long an entry may use a grant, from when it asked: long enough to choose
 * other endpoints for a request that has failed.
 */
#define RETRY_GRANT_VALID_MS 1000
/* Time in which a leader that is cut off notices it, and a little more. */
#define RETRY_RESERVE_SETTLE_MS 3000

/* What a control instance may grant of the retry slack, and has granted. */
typedef struct {
	clock_ms_t window_ms;
	equal_share_t share; /* of the reserve */
	/* Every grant that can count is counted, also of processes before. */
	bool is_complete;
	GHashTable *windows; /* service -> retry_window_t */
} retry_reserve_t;

void retry_reserve_init(retry_reserve_t *reserve,
			clock_ms_t window_ms) ATTR_NONNULL_ALL;
void retry_reserve_finish(retry_reserve_t *reserve) ATTR_NONNULL_ALL;
void retry_reserve_continue(retry_reserve_t *reserve) ATTR_NONNULL_ALL;
void retry_reserve_set_members(retry_reserve_t *reserve, uint32_t members,
			       clock_ms_t now) ATTR_NONNULL_ALL;
uint32_t retry_reserve_grant(retry_reserve_t *reserve, const char *service,
			     uint32_t wanted, double slack,
			     clock_ms_t now) ATTR_NONNULL_ALL;
uint32_t retry_reserve_granted(retry_reserve_t *reserve,
			       clock_ms_t now) ATTR_NONNULL_ALL;
void retry_reserve_encode(retry_reserve_t *reserve, clock_ms_t now,
			  msgpack_sbuffer *out) ATTR_NONNULL_ALL;
bool retry_reserve_restore(retry_reserve_t *reserve, const void *data,
			   size_t len, clock_ms_t now,
			   err_t *err) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
