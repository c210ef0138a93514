#ifndef WISTERIA_BASE_HISTOGRAM_H
#define WISTERIA_BASE_HISTOGRAM_H

#include <stdint.h>
#include <stdio.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"

/* The latencies that a process measures. */
typedef enum {
	LATENCY_QUEUE,	     /* of a request that waits for an endpoint */
	LATENCY_FIRST_EVENT, /* from a request to its first event */
	LATENCY_EVENT_GAP,   /* between two events of a stream */
	LATENCY_REPEAT,	     /* from a repeat to the head of its answer */
	LATENCY_ANSWER,	     /* from a request to the end of its answer */
	LATENCY_RENEWAL,     /* of a lease, from the request to the reply */
	LATENCY_COMMIT,	     /* of a change, from the proposal to its commit */
	LATENCY_COUNT
} latency_t;

void histogram_add(latency_t latency, clock_ms_t duration);
void histogram_print(FILE *out) ATTR_NONNULL_ALL;

#endif
