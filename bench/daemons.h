#ifndef BENCH_DAEMONS_H
#define BENCH_DAEMONS_H

#include <stdbool.h>

#include "harness/cluster.h"

/*
 * Simulated daemons that only renew their configuration lease.  All run in this
 * process, each with the product's lease client and its own connections.
 */
typedef struct daemons_t daemons_t;

typedef struct {
	const cluster_t *cluster; /* has the control instances */
	size_t count;
	size_t endpoints_each; /* announced by each; 0: they are entries */
	size_t customers;      /* for which each entry requests a share */
} daemons_params_t;

daemons_t *daemons_start(const daemons_params_t *params) ATTR_NONNULL_ALL;
void daemons_stop(daemons_t *daemons) ATTR_NONNULL_ALL;
/*
 * Waits until all daemons hold a lease and have at least this number of
 * endpoints and this revision.  Returns false after "limit_ms".
 */
bool daemons_wait(daemons_t *daemons, size_t endpoints, uint64_t revision,
		  clock_ms_t limit_ms) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
