/*
 * Latency histograms of the process, updated without locks by any thread.
 * The buckets are the same for all and never change, so that histograms of
 * many processes can be added up.
 */
#include "wisteria/base/histogram.h"

#include <inttypes.h>

#include <ck_pr.h>

static const clock_ms_t bounds[] = { 1,	  2,   5,    10,   20,	 50,	100,
				     200, 500, 1000, 2000, 5000, 10000, 20000 };

#define BUCKETS (ARRAY_SIZE(bounds) + 1)

static const char *const names[LATENCY_COUNT] = {
	[LATENCY_QUEUE] = "queue_ms",
	[LATENCY_FIRST_EVENT] = "first_event_ms",
	[LATENCY_EVENT_GAP] = "event_gap_ms",
	[LATENCY_ANSWER] = "answer_ms",
	[LATENCY_RENEWAL] = "renewal_ms",
	[LATENCY_COMMIT] = "commit_ms",
};

static uint64_t buckets[LATENCY_COUNT][BUCKETS];
static uint64_t sums[LATENCY_COUNT];

/* Counts one span of time; a negative one counts as none. */
void histogram_add(latency_t latency, clock_ms_t span)
{
	size_t bucket = 0;

	if (span < 0)
		span = 0;
	while (bucket < ARRAY_SIZE(bounds) && span > bounds[bucket])
		bucket++;
	ck_pr_add_64(&buckets[latency][bucket], 1);
	ck_pr_add_64(&sums[latency], (uint64_t)span);
}

static void print_one(FILE *out, latency_t latency)
{
	uint64_t count = 0;

	fprintf(out, "# TYPE wisteria_%s histogram\n", names[latency]);
	for (size_t i = 0; i < BUCKETS; i++) {
		count += ck_pr_load_64(&buckets[latency][i]);
		if (i < ARRAY_SIZE(bounds))
			fprintf(out,
				"wisteria_%s_bucket{le=\"%" PRId64
				"\"} %" PRIu64 "\n",
				names[latency], bounds[i], count);
		else
			fprintf(out,
				"wisteria_%s_bucket{le=\"+Inf\"} %" PRIu64 "\n",
				names[latency], count);
	}
	fprintf(out, "wisteria_%s_sum %" PRIu64 "\n", names[latency],
		ck_pr_load_64(&sums[latency]));
	fprintf(out, "wisteria_%s_count %" PRIu64 "\n", names[latency], count);
}

/* Prints all histograms in the usual text format. */
void histogram_print(FILE *out)
{
	for (int i = 0; i < LATENCY_COUNT; i++)
		print_one(out, (latency_t)i);
}
