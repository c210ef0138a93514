#ifndef BENCH_BENCH_STATS_H
#define BENCH_BENCH_STATS_H

#include <stddef.h>

#include <glib.h>

#include "wisteria/base/macros_defs.h"

/* Order statistics of samples. */
typedef struct {
	size_t count;
	double min;
	double p50;
	double p95;
	double p99;
	double max;
} bench_stats_t;

/* A line fitted to points: y = offset + slope * x. */
typedef struct {
	double offset;
	double slope;
	double residual; /* largest relative deviation of a point */
} bench_line_t;

GArray *bench_samples_new(void);
void bench_add_sample(GArray *samples, double value) ATTR_NONNULL_ALL;
bench_stats_t bench_stats(GArray *samples) ATTR_NONNULL_ALL;
double bench_median(const double *values, size_t count) ATTR_NONNULL_ALL;
double bench_spread(const double *values, size_t count) ATTR_NONNULL_ALL;
bench_line_t bench_fit_line(const double *x, const double *y,
			    size_t count) ATTR_NONNULL_ALL;

#endif
