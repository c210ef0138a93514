#ifndef BENCH_HELD_H
#define BENCH_HELD_H

#include "harness/cluster.h"
#include "usage.h"

/* What sessions that wait for slow engines cost. */
typedef struct {
	double entry_bytes; /* more memory than before */
	double agent_bytes; /* of all agents together */
	double entry_cpu;   /* cores while nothing happens */
	double agent_cpu;
	uint32_t failed; /* not whole after the engines went on */
} held_t;

usage_t held_agents_usage(const cluster_t *cluster) ATTR_NONNULL_ALL;
void held_measure(cluster_t *cluster, uint32_t count,
		  held_t *held) ATTR_NONNULL_ALL;

#endif
