#ifndef BENCH_USAGE_H
#define BENCH_USAGE_H

#include <sys/types.h>

/* Memory and processor time of a process, as the kernel accounts them. */
typedef struct {
	double resident_bytes;
	double cpu_s; /* user and system time since its start */
} usage_t;

usage_t usage_read(pid_t pid);

#endif
