#ifndef BENCH_ROUTED_H
#define BENCH_ROUTED_H

#include "direct.h"

#define ROUTED_CUSTOMERS_MAX 8

/* Requests that come whether or not earlier ones were answered. */
typedef struct {
	double per_s;	/* mean of a Poisson process */
	double seconds; /* requests come for so long */
	uint32_t seed;
	size_t customers;
	double weights[ROUTED_CUSTOMERS_MAX]; /* of the customers' demand */
} routed_offer_t;

typedef struct {
	uint64_t offered;
	uint64_t whole;
	uint64_t refused; /* with a status of its own, before any token */
	uint64_t cut;	  /* neither whole nor refused */
	uint64_t tokens;  /* of whole answers */
	double seconds;	  /* until the last came back */
	int64_t end_us;	  /* of the offers */
	/* Of answers that were whole before the offers ended. */
	uint64_t customer_tokens[ROUTED_CUSTOMERS_MAX];
} routed_outcome_t;

void routed_run(cluster_t *cluster, uint32_t concurrent, uint32_t total,
		bench_run_t *run) ATTR_NONNULL_ALL;
void routed_offer(cluster_t *cluster, const routed_offer_t *offer,
		  routed_outcome_t *outcome) ATTR_NONNULL_ALL;
/*
 * Keeps "concurrent" streams open, kills an endpoint and adds to "gap_ms" the
 * longest gap of each stream that was open then.  Returns the streams that
 * were not answered whole.
 */
uint32_t routed_kill(cluster_t *cluster, uint32_t concurrent,
		     cluster_endpoint_t *endpoint, GArray *gap_ms,
		     GArray *interval_ms) ATTR_NONNULL_ALL;

#endif
