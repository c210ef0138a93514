#ifndef BENCH_ROUTED_H
#define BENCH_ROUTED_H

#include "direct.h"

#define ROUTED_CUSTOMERS_MAX 8

/* An open-loop load: requests arrive independently of earlier responses. */
typedef struct {
	double rate_per_s; /* mean rate of a Poisson process */
	double seconds;	   /* how long requests arrive */
	uint32_t seed;
	size_t customers;
	double weights[ROUTED_CUSTOMERS_MAX]; /* relative request rates */
} routed_load_t;

typedef struct {
	uint64_t sent;
	uint64_t completed;
	uint64_t refused;     /* with an HTTP error status */
	uint64_t interrupted; /* neither complete nor refused */
	uint64_t tokens;      /* of complete responses */
	double seconds;	      /* until the last response */
	int64_t end_us;	      /* when arrivals end */
	/* Tokens of responses that were complete before arrivals ended. */
	uint64_t customer_tokens[ROUTED_CUSTOMERS_MAX];
} routed_outcome_t;

void routed_run_closed_loop(cluster_t *cluster, uint32_t concurrent,
			    uint32_t total, bench_run_t *run) ATTR_NONNULL_ALL;
void routed_run_open_loop(cluster_t *cluster, const routed_load_t *load,
			  routed_outcome_t *outcome) ATTR_NONNULL_ALL;
/*
 * Keeps "concurrent" streams open and kills an endpoint.  Adds to "gap_ms" one
 * gap of each stream that had its first event before the kill and ended after
 * it: the longest time between two successive events of which the second
 * arrived after the kill, 0 if none did.  Adds to "interval_ms" all intervals
 * of the streams that ended before the kill.  Returns the number of streams
 * without a complete response.
 */
uint32_t routed_measure_kill(cluster_t *cluster, uint32_t concurrent,
			     cluster_endpoint_t *endpoint, GArray *gap_ms,
			     GArray *interval_ms) ATTR_NONNULL_ALL;

#endif
