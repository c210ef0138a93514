/* Order statistics and line fits, computed by GSL. */
#include "bench_stats.h"

#include <math.h>
#include <string.h>

#include <gsl/gsl_fit.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>

/* Returns an empty array of samples, to be freed by g_array_free(). */
GArray *bench_samples_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(double));
}

/* Adds one sample. */
void bench_add_sample(GArray *samples, double value)
{
	g_array_append_val(samples, value);
}

/* Sorts the samples and returns their order statistics; zeros if none. */
bench_stats_t bench_stats(GArray *samples)
{
	double *data = (double *)(void *)samples->data;
	size_t count = samples->len;

	if (count == 0)
		return (bench_stats_t){ .count = 0 };
	gsl_sort(data, 1, count);
	return (bench_stats_t){
		.count = count,
		.min = data[0],
		.p50 = gsl_stats_quantile_from_sorted_data(data, 1, count, 0.5),
		.p95 = gsl_stats_quantile_from_sorted_data(data, 1, count,
							   0.95),
		.p99 = gsl_stats_quantile_from_sorted_data(data, 1, count,
							   0.99),
		.max = data[count - 1],
	};
}

static bench_stats_t stats_of(const double *values, size_t count)
{
	GArray *samples = bench_samples_new();
	bench_stats_t stats;

	g_array_append_vals(samples, values, (guint)count);
	stats = bench_stats(samples);
	g_array_free(samples, TRUE);
	return stats;
}

/* Returns the median of a few values. */
double bench_median(const double *values, size_t count)
{
	return stats_of(values, count).p50;
}

/* Returns the difference of the largest and smallest value over the median. */
double bench_spread(const double *values, size_t count)
{
	bench_stats_t stats = stats_of(values, count);

	return stats.p50 == 0 ? 0 : (stats.max - stats.min) / stats.p50;
}

/* Returns the least-squares line through the points. */
bench_line_t bench_fit_line(const double *x, const double *y, size_t count)
{
	bench_line_t line = { .residual = 0 };
	double covariance[3];
	double squares;

	gsl_fit_linear(x, 1, y, 1, count, &line.offset, &line.slope,
		       &covariance[0], &covariance[1], &covariance[2],
		       &squares);
	for (size_t i = 0; i < count; i++) {
		double deviation = fabs(line.offset + line.slope * x[i] - y[i]);

		if (y[i] != 0 && deviation / fabs(y[i]) > line.residual)
			line.residual = deviation / fabs(y[i]);
	}
	return line;
}
