/*
 * Limits retries in a sliding window to a fraction of the original requests
 * plus a fixed slack.  It is made for the failure of an endpoint that ends
 * hundreds of streams at once.  A token bucket with the same limit admits a
 * burst no larger than its depth, although the preceding window had room; here
 * all retries that the window still allows may go in one burst, and no more
 * are allowed until the burst leaves the window.
 *
 * The window is one of arrivals: a retry is under way until it is settled, which
 * must not be before it can have arrived last.  It counts while it is under way
 * and for a window after that, so that retries that are held up do not arrive
 * beside those of the next window.
 */
#include "wisteria/limits/retry_window.h"

#include <string.h>

#include <glib.h>

/* Initializes a window of "window_ms" that allows no retries yet. */
void retry_window_init(retry_window_t *window, clock_ms_t window_ms)
{
	*window = (retry_window_t){
		.bucket_ms = MAX(window_ms / (RETRY_WINDOW_BUCKETS - 1), 1),
	};
}

/*
 * Sets the retries allowed per original request ("ratio") and in addition
 * ("slack"); both are at least 0.
 */
void retry_window_set_limits(retry_window_t *window, double ratio, double slack)
{
	window->ratio = ratio;
	window->slack = slack;
}

/* Makes the bucket of the time "now" the newest; returns its index. */
static size_t advance_to(retry_window_t *window, clock_ms_t now)
{
	int64_t newest_bucket =
		MAX(now / window->bucket_ms, window->newest_bucket);
	int64_t steps = MIN(newest_bucket - window->newest_bucket,
			    (int64_t)RETRY_WINDOW_BUCKETS);

	for (int64_t i = 0; i < steps; i++) {
		size_t index =
			(size_t)((newest_bucket - i) % RETRY_WINDOW_BUCKETS);

		window->requests[index] = 0;
		window->retries[index] = 0;
	}
	window->newest_bucket = newest_bucket;
	return (size_t)(newest_bucket % RETRY_WINDOW_BUCKETS);
}

/* Counts an original request, one that isn't a retry. */
void retry_window_count_request(retry_window_t *window, clock_ms_t now)
{
	window->requests[advance_to(window, now)]++;
}

/*
 * Returns whether the window allows one more retry.  The retries of the oldest
 * bucket count but its original requests don't, so that the limit holds for
 * every window, wherever it begins within a bucket.
 */
bool retry_window_allows(retry_window_t *window, clock_ms_t now)
{
	size_t index = advance_to(window, now);
	double requests =
		-(double)window->requests[(index + 1) % RETRY_WINDOW_BUCKETS];
	double retries = window->under_way;

	for (size_t i = 0; i < RETRY_WINDOW_BUCKETS; i++) {
		requests += window->requests[i];
		retries += window->retries[i];
	}
	return retries + 1 <= window->ratio * requests + window->slack;
}

/*
 * Counts one retry, which is under way from now on; returns false if the window
 * doesn't allow it.
 */
bool retry_window_take(retry_window_t *window, clock_ms_t now)
{
	if (!retry_window_allows(window, now))
		return false;
	window->under_way++;
	return true;
}

/* Records that one retry under way has arrived, or no longer can. */
void retry_window_settle(retry_window_t *window, clock_ms_t now)
{
	window->under_way--;
	window->retries[advance_to(window, now)]++;
}

/* Counts "count" retries that have been made already. */
void retry_window_add(retry_window_t *window, uint32_t count, clock_ms_t now)
{
	window->retries[advance_to(window, now)] += count;
}

/* Returns the retries that count at the time "now". */
uint32_t retry_window_retries(retry_window_t *window, clock_ms_t now)
{
	uint32_t requests;
	uint32_t retries;

	(void)advance_to(window, now);
	retry_window_sum(window, &requests, &retries);
	return retries;
}

/*
 * Returns the original requests and the retries that were counted in the window
 * by the time of the last call with a time, with those under way.
 */
void retry_window_sum(const retry_window_t *window, uint32_t *requests,
		      uint32_t *retries)
{
	*requests = 0;
	*retries = window->under_way;
	for (size_t i = 0; i < RETRY_WINDOW_BUCKETS; i++) {
		*requests += window->requests[i];
		*retries += window->retries[i];
	}
}
