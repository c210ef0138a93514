#ifndef WISTERIA_LIMITS_RETRY_WINDOW_H
#define WISTERIA_LIMITS_RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"

/*
 * Time buckets of a window, and one more: the newest bucket is incomplete, so
 * the oldest one still overlaps the window.
 */
#define RETRY_WINDOW_BUCKETS 21

/* What one entry sent during the last window, counted per time bucket. */
typedef struct {
	clock_ms_t bucket_ms;
	int64_t newest_bucket; /* its number, counted from time 0 */
	uint32_t requests[RETRY_WINDOW_BUCKETS];
	uint32_t retries[RETRY_WINDOW_BUCKETS]; /* settled */
	uint32_t under_way;			/* retries not settled */
	double ratio; /* retries allowed per original request */
	double slack; /* retries allowed in addition */
} retry_window_t;

void retry_window_init(retry_window_t *window,
		       clock_ms_t window_ms) ATTR_NONNULL_ALL;
void retry_window_set_limits(retry_window_t *window, double ratio,
			     double slack) ATTR_NONNULL_ALL;
void retry_window_count_request(retry_window_t *window,
				clock_ms_t now) ATTR_NONNULL_ALL;
void retry_window_sum(const retry_window_t *window, uint32_t *requests,
		      uint32_t *retries) ATTR_NONNULL_ALL;
bool retry_window_allows(retry_window_t *window,
			 clock_ms_t now) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool retry_window_take(retry_window_t *window,
		       clock_ms_t now) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void retry_window_settle(retry_window_t *window,
			 clock_ms_t now) ATTR_NONNULL_ALL;
void retry_window_add(retry_window_t *window, uint32_t count,
		      clock_ms_t now) ATTR_NONNULL_ALL;
uint32_t retry_window_retries(retry_window_t *window,
			      clock_ms_t now) ATTR_NONNULL_ALL;

#endif
