/*
 * Latency histograms of the process, updated without locks by any thread.
 * All histograms have the same fixed buckets, so that those of many processes
 * can be summed.
 */
#include "wisteria/base/histogram.h"

#include <inttypes.h>

#include <ck_pr.h>

static const clock_ms_t bounds_ms[] = {
	1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000
};

#define BUCKET_COUNT (ARRAY_SIZE(bounds_ms) + 1)

static const char *const metric_names[LATENCY_COUNT] = {
	[LATENCY_QUEUE] = "queue_ms",
	[LATENCY_FIRST_EVENT] = "first_event_ms",
	[LATENCY_EVENT_GAP] = "event_gap_ms",
	[LATENCY_REPEAT] = "repeat_ms",
	[LATENCY_ANSWER] = "answer_ms",
	[LATENCY_RENEWAL] = "renewal_ms",
	[LATENCY_COMMIT] = "commit_ms",
};

static uint64_t buckets[LATENCY_COUNT][BUCKET_COUNT];
static uint64_t sums[LATENCY_COUNT];

/* Records one duration; a negative one counts as 0. */
void histogram_add(latency_t latency, clock_ms_t duration)
{
	size_t bucket = 0;

	if (duration < 0)
		duration = 0;
	while (bucket < ARRAY_SIZE(bounds_ms) && duration > bounds_ms[bucket])
		bucket++;
	ck_pr_add_64(&buckets[latency][bucket], 1);
	ck_pr_add_64(&sums[latency], (uint64_t)duration);
}

static void print_histogram(FILE *out, latency_t latency)
{
	uint64_t count = 0;

	fprintf(out, "# TYPE wisteria_%s histogram\n", metric_names[latency]);
	for (size_t i = 0; i < BUCKET_COUNT; i++) {
		count += ck_pr_load_64(&buckets[latency][i]);
		if (i < ARRAY_SIZE(bounds_ms))
			fprintf(out,
				"wisteria_%s_bucket{le=\"%" PRId64
				"\"} %" PRIu64 "\n",
				metric_names[latency], bounds_ms[i], count);
		else
			fprintf(out,
				"wisteria_%s_bucket{le=\"+Inf\"} %" PRIu64 "\n",
				metric_names[latency], count);
	}
	fprintf(out, "wisteria_%s_sum %" PRIu64 "\n", metric_names[latency],
		ck_pr_load_64(&sums[latency]));
	fprintf(out, "wisteria_%s_count %" PRIu64 "\n", metric_names[latency],
		count);
}

/* Writes all histograms to "out" in the Prometheus text format. */
void histogram_print(FILE *out)
{
	for (int i = 0; i < LATENCY_COUNT; i++)
		print_histogram(out, (latency_t)i);
}
