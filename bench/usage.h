#ifndef BENCH_USAGE_H
#define BENCH_USAGE_H

#include <sys/types.h>

/* What one process uses, as the kernel counts it. */
typedef struct {
	double resident_bytes;
	double cpu_s; /* user and system, since its start */
} usage_t;

usage_t usage_of(pid_t pid);

#endif
