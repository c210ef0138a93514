#ifndef BENCH_HELD_H
#define BENCH_HELD_H

#include "harness/cluster.h"
#include "usage.h"

/* The resources that open sessions use while they wait for slow engines. */
typedef struct {
	double entry_bytes; /* memory added by the sessions */
	double agent_bytes; /* the same, of all agents together */
	double entry_cpu;   /* cores used while the sessions wait */
	double agent_cpu;
	uint32_t failed; /* incomplete after the engines were fast again */
} held_cost_t;

usage_t held_agents_usage(const cluster_t *cluster) ATTR_NONNULL_ALL;
void held_measure(cluster_t *cluster, uint32_t count,
		  held_cost_t *cost) ATTR_NONNULL_ALL;

#endif
