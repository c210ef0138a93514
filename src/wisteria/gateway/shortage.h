#ifndef WISTERIA_GATEWAY_SHORTAGE_H
#define WISTERIA_GATEWAY_SHORTAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"

/* A shortage is over once nothing was refused for this long. */
#define SHORTAGE_GAP_MS 1500
/*
 * After this many requests in a row have waited in vain, the next ones are
 * refused at once while another one waits.
 */
#define SHORTAGE_VAIN_WAITS 3
/* Callers come back between this fraction of the time and 2 - this. */
#define SHORTAGE_SPREAD_MIN 0.75

/* Whether, and for how long, a service has had too little capacity. */
typedef struct {
	clock_ms_t since_ms; /* first refusal of the current shortage */
	clock_ms_t last_ms;  /* last refusal; 0: none yet */
	uint32_t vain_waits; /* since a request that waited was started */
	/*
	 * Requests that can be started while one waits; 0: not known.
	 */
	uint32_t places;
} shortage_t;

/* A request that is refused. */
typedef struct {
	clock_ms_t least_ms; /* never come back sooner */
	clock_ms_t left_ms;  /* until its deadline */
	double drawn;	     /* between 0 and 1, for the spread */
} shortage_refusal_t;

bool shortage_allows_wait(const shortage_t *shortage,
			  uint32_t ahead) ATTR_NONNULL_ALL;
void shortage_expect_starts(shortage_t *shortage, double per_s,
			    clock_ms_t wait_ms) ATTR_NONNULL_ALL;
void shortage_wait_ended(shortage_t *shortage, bool started) ATTR_NONNULL_ALL;
clock_ms_t shortage_refuse(shortage_t *shortage,
			   const shortage_refusal_t *refusal,
			   clock_ms_t now) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
