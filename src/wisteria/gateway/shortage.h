#ifndef WISTERIA_GATEWAY_SHORTAGE_H
#define WISTERIA_GATEWAY_SHORTAGE_H

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"

/* A shortage is over once nothing was refused for this long. */
#define SHORTAGE_GAP_MS 1500
/* Callers come back between this fraction of the time and 2 - this. */
#define SHORTAGE_SPREAD_MIN 0.75

/* Whether, and for how long, a service has had too little capacity. */
typedef struct {
	clock_ms_t since_ms; /* first refusal of the current shortage */
	clock_ms_t last_ms;  /* last refusal; 0: none yet */
} shortage_t;

/* A request that is refused. */
typedef struct {
	clock_ms_t least_ms; /* never come back sooner */
	clock_ms_t left_ms;  /* until its deadline */
	double drawn;	     /* between 0 and 1, for the spread */
} shortage_refusal_t;

clock_ms_t shortage_refuse(shortage_t *shortage,
			   const shortage_refusal_t *refusal,
			   clock_ms_t now) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
