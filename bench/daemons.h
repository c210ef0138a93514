#ifndef BENCH_DAEMONS_H
#define BENCH_DAEMONS_H

#include <stdbool.h>

#include "harness/cluster.h"

/*
 * Daemons that only keep their configuration lease: the product's own lease
 * client, many of them in this process, each with connections of its own.
 */
typedef struct daemons_t daemons_t;

typedef struct {
	const cluster_t *cluster; /* whose control instances they use */
	size_t count;
	size_t endpoints_each; /* announced by each; 0: entries */
	size_t customers;      /* of whom each entry asks for a share */
} daemons_params_t;

daemons_t *daemons_start(const daemons_params_t *params) ATTR_NONNULL_ALL;
void daemons_stop(daemons_t *daemons) ATTR_NONNULL_ALL;
/* Waits until all hold a lease, so many endpoints and this revision. */
bool daemons_wait(daemons_t *daemons, size_t endpoints, uint64_t revision,
		  clock_ms_t limit_ms) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
