#ifndef BENCH_DIRECT_H
#define BENCH_DIRECT_H

#include "harness/cluster.h"

/* Results of a run; the arrays hold double samples in milliseconds. */
typedef struct {
	uint64_t tokens;
	uint64_t failed; /* streams without a complete response */
	double seconds;
	GArray *interval_ms;	/* between tokens of a stream */
	GArray *first_token_ms; /* from the start of a stream */
} bench_run_t;

void bench_run_init(bench_run_t *run) ATTR_NONNULL_ALL;
void bench_run_finish(bench_run_t *run) ATTR_NONNULL_ALL;
void direct_run(const cluster_t *cluster, uint32_t concurrent,
		uint32_t total_streams, bench_run_t *run) ATTR_NONNULL_ALL;

#endif
