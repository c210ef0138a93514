#ifndef WISTERIA_GATEWAY_ANSWER_TIMES_H
#define WISTERIA_GATEWAY_ANSWER_TIMES_H

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"

/* Length of a window: also a service with few calls has some in this time. */
#define ANSWER_TIMES_WINDOW_MS 30000

/* The longest answers of a service; initialized with zeros. */
typedef struct {
	clock_ms_t window_since_ms; /* of the present window; 0: none */
	clock_ms_t longest_ms;	    /* in the present window */
	clock_ms_t previous_ms;	    /* in the window before */
} answer_times_t;

void answer_times_add(answer_times_t *times, clock_ms_t answer_ms,
		      clock_ms_t now) ATTR_NONNULL_ALL;
clock_ms_t answer_times_longest(const answer_times_t *times,
				clock_ms_t now) ATTR_NONNULL_ALL;

#endif
