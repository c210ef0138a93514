/*
 * Measures the whole path under load: throughput, added latency, the cost of
 * open sessions, goodput under overload, fairness, and recovery after a
 * killed stage.  What has a counterpart without the router is measured
 * against the same fake engines directly, in the same run.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "bench_stats.h"
#include "held.h"
#include "routed.h"

#define RUNS_MAX 16
#define CAPACITY_RUNS 3
#define HIT_FACTOR 3
#define MIB (1024.0 * 1024.0)

typedef struct {
	uint32_t seed;
	uint32_t runs;
	uint32_t streams;
	uint32_t step_us;
	uint32_t ranges;
	uint32_t endpoints;
	const char *part;
	bool brief;
} options_t;

typedef struct {
	const char *name;
	void (*run)(const options_t *options);
} part_t;

static harness_t harness;

static void start(cluster_t *cluster, const cluster_params_t *params)
{
	cluster_init(cluster, &harness, params);
	cluster_write_files(cluster);
	if (!cluster_start(cluster)) {
		harness_finish(&harness, false);
		g_error("the set-up does not start");
	}
}

static void stop(cluster_t *cluster)
{
	for (size_t i = 0; i < cluster->endpoint_count; i++)
		cluster_kill_endpoint(&cluster->endpoints[i]);
	for (size_t i = 0; i < cluster->entry_count; i++)
		harness_kill(cluster->entries[i].process);
}

static cluster_params_t params_of(const options_t *options)
{
	return (cluster_params_t){
		.ranges = options->ranges,
		.endpoints_per_range = options->endpoints,
		.step_us = options->step_us,
		.slots = 4096,
		.engine_slots = 1000000,
		.sessions = 100000,
	};
}

/* Throughput: closed loop of streams, routed and direct by turns. */
static void run_throughput(const options_t *options)
{
	const cluster_params_t params = params_of(options);
	uint32_t total = options->streams * (options->brief ? 4 : 12);
	double routed[RUNS_MAX];
	double direct[RUNS_MAX];
	double ratio[RUNS_MAX];
	uint64_t failed = 0;
	cluster_t cluster;

	start(&cluster, &params);
	for (uint32_t i = 0; i < options->runs; i++) {
		bench_run_t run;

		bench_run_init(&run);
		routed_run(&cluster, options->streams, total, &run);
		routed[i] = (double)run.tokens / run.seconds;
		failed += run.failed;
		bench_run_finish(&run);
		bench_run_init(&run);
		direct_run(&cluster, options->streams, total, &run);
		direct[i] = (double)run.tokens / run.seconds;
		bench_run_finish(&run);
		ratio[i] = routed[i] / direct[i];
	}
	stop(&cluster);
	printf("throughput of one entry, %u streams, %u ranges x %u, step %u "
	       "us, %u runs\n"
	       "  routed tokens/s %.0f (spread %.0f%%), direct %.0f "
	       "(spread %.0f%%), ratio %.2f, not whole %" G_GUINT64_FORMAT "\n",
	       options->streams, options->ranges, options->endpoints,
	       options->step_us, options->runs,
	       bench_median(routed, options->runs),
	       100 * bench_spread(routed, options->runs),
	       bench_median(direct, options->runs),
	       100 * bench_spread(direct, options->runs),
	       bench_median(ratio, options->runs), failed);
}

static void print_added(const char *name, double routed, double direct,
			uint32_t hops)
{
	printf("  %s: routed %.3f ms, direct %.3f ms, added a hop %.3f ms\n",
	       name, routed, direct, (routed - direct) / hops);
}

/* Latency: one stream at a time, so that nothing queues. */
static void run_latency(const options_t *options)
{
	const cluster_params_t params = params_of(options);
	bench_run_t routed;
	bench_run_t direct;
	bench_stats_t with;
	bench_stats_t without;
	cluster_t cluster;

	start(&cluster, &params);
	bench_run_init(&routed);
	bench_run_init(&direct);
	for (uint32_t i = 0; i < options->runs; i++) {
		routed_run(&cluster, 1, options->brief ? 20 : 60, &routed);
		direct_run(&cluster, 1, options->brief ? 20 : 60, &direct);
	}
	stop(&cluster);
	with = bench_stats(routed.interval_ms);
	without = bench_stats(direct.interval_ms);
	printf("added latency of a token, 1 stream, %u hops, step %u us, "
	       "%zu intervals\n",
	       options->ranges, options->step_us, with.count);
	print_added("p50", with.p50, without.p50, options->ranges);
	print_added("p95", with.p95, without.p95, options->ranges);
	print_added("p99", with.p99, without.p99, options->ranges);
	with = bench_stats(routed.first_token_ms);
	without = bench_stats(direct.first_token_ms);
	printf("  first token p50: routed %.2f ms, direct %.2f ms; p95 %.2f "
	       "and %.2f ms\n",
	       with.p50, without.p50, with.p95, without.p95);
	bench_run_finish(&routed);
	bench_run_finish(&direct);
}

static void hold_sessions(cluster_t *cluster, uint32_t count)
{
	held_t held;

	held_measure(cluster, count, &held);
	printf("  %5u open: entry +%.1f MiB, agents +%.1f MiB; while they "
	       "wait: entry %.1f%% of a core, agents %.1f%%; not whole %u\n",
	       count, held.entry_bytes / MIB, held.agent_bytes / MIB,
	       100 * held.entry_cpu, 100 * held.agent_cpu, held.failed);
}

/* Memory and processor time of open sessions; a direct caller keeps none. */
static void run_sessions(const options_t *options)
{
	static const uint32_t counts[] = { 125, 250, 500, 1000 };
	const cluster_params_t params = params_of(options);

	printf("cost of open sessions, %u hops\n", options->ranges);
	for (size_t i = 0; i < ARRAY_SIZE(counts); i++) {
		cluster_t cluster;

		start(&cluster, &params);
		hold_sessions(&cluster, counts[i]);
		stop(&cluster);
	}
}

/* Requests a second in a closed loop; the median of a few runs. */
static double capacity_per_s(cluster_t *cluster, uint32_t concurrent,
			     uint32_t total)
{
	double per_s[CAPACITY_RUNS];

	for (size_t i = 0; i < CAPACITY_RUNS; i++) {
		bench_run_t run;

		bench_run_init(&run);
		routed_run(cluster, concurrent, total, &run);
		per_s[i] = total / run.seconds;
		bench_run_finish(&run);
	}
	return bench_median(per_s, CAPACITY_RUNS);
}

/* Goodput: open loop at one, two and three times what the engines can do. */
static void run_goodput(const options_t *options)
{
	cluster_params_t params = params_of(options);
	double goodput[3][RUNS_MAX];
	double peak = 0;
	double per_s;
	cluster_t cluster;

	params.slots = 16;
	start(&cluster, &params);
	per_s = capacity_per_s(&cluster, 16 * options->endpoints,
			       options->brief ? 200 : 800);
	printf("goodput, capacity %.1f requests/s, seed %u\n", per_s,
	       options->seed);
	for (uint32_t run = 0; run < options->runs; run++)
		for (size_t load = 0; load < 3; load++) {
			const routed_offer_t offer = {
				.per_s = per_s * (double)(load + 1),
				.seconds = options->brief ? 4 : 12,
				.seed = options->seed + run,
				.customers = 1,
				.weights = { 1 },
			};
			routed_outcome_t outcome;

			routed_offer(&cluster, &offer, &outcome);
			goodput[load][run] =
				(double)outcome.tokens / outcome.seconds;
			printf("  %zux: tokens/s %.0f, whole "
			       "%" G_GUINT64_FORMAT
			       ", refused %" G_GUINT64_FORMAT
			       ", cut %" G_GUINT64_FORMAT
			       " of %" G_GUINT64_FORMAT "\n",
			       load + 1, goodput[load][run], outcome.whole,
			       outcome.refused, outcome.cut, outcome.offered);
		}
	stop(&cluster);
	for (size_t load = 0; load < 3; load++)
		peak = MAX(peak, bench_median(goodput[load], options->runs));
	for (size_t load = 0; load < 3; load++)
		printf("  %zux offered: %.0f%% of the peak (spread %.0f%%)\n",
		       load + 1,
		       100 * bench_median(goodput[load], options->runs) / peak,
		       100 * bench_spread(goodput[load], options->runs));
}

/* Fairness: three equal contracts, one customer asks for ten times more. */
static void run_fairness(const options_t *options)
{
	cluster_params_t params = params_of(options);
	routed_offer_t offer = { .seconds = options->brief ? 5 : 15,
				 .seed = options->seed,
				 .customers = 3,
				 .weights = { 10, 1, 1 } };
	routed_outcome_t outcome;
	cluster_t cluster;
	double tokens = 0;
	double per_s;

	params.slots = 16;
	params.customers = 3;
	params.sessions = 16 * options->endpoints / 3;
	start(&cluster, &params);
	per_s = capacity_per_s(&cluster, params.sessions,
			       options->brief ? 200 : 800) *
		3;
	offer.per_s = 4 * per_s;
	routed_offer(&cluster, &offer, &outcome);
	for (size_t i = 0; i < offer.customers; i++)
		tokens += (double)outcome.customer_tokens[i];
	printf("fairness, offered 4x, demands 10:1:1, equal contracts, seed "
	       "%u\n  share of its third while offered: %.2f %.2f %.2f\n",
	       options->seed, 3.0 * (double)outcome.customer_tokens[0] / tokens,
	       3.0 * (double)outcome.customer_tokens[1] / tokens,
	       3.0 * (double)outcome.customer_tokens[2] / tokens);
	stop(&cluster);
}

/* Adds the gaps of the streams that were hit: three times the usual and more. */
static void sample_hit(GArray *gap_ms, double usual_ms, GArray *hit_ms)
{
	for (guint i = 0; i < gap_ms->len; i++) {
		double gap = g_array_index(gap_ms, double, i);

		if (gap >= HIT_FACTOR * usual_ms)
			bench_sample(hit_ms, gap);
	}
}

static void run_recovery_of(const options_t *options, const char *recovery)
{
	cluster_params_t params = params_of(options);
	GArray *hit_ms = bench_samples_new();
	double usual_ms = 0;
	bench_stats_t stats;
	uint32_t failed = 0;
	size_t open = 0;

	params.recovery = recovery;
	params.step_us = 10000;
	for (uint32_t run = 0; run < options->runs; run++) {
		size_t victim = (options->seed + run) %
				(options->ranges * options->endpoints);
		GArray *gap_ms = bench_samples_new();
		GArray *interval_ms = bench_samples_new();
		cluster_t cluster;

		start(&cluster, &params);
		failed += routed_kill(&cluster, options->streams,
				      &cluster.endpoints[victim], gap_ms,
				      interval_ms);
		stop(&cluster);
		open += gap_ms->len;
		usual_ms = bench_stats(interval_ms).p50;
		sample_hit(gap_ms, usual_ms, hit_ms);
		g_array_free(gap_ms, TRUE);
		g_array_free(interval_ms, TRUE);
	}
	stats = bench_stats(hit_ms);
	printf("recovery by %s, one killed stage, %u kills, %zu streams open, "
	       "%zu hit, not whole %u\n  usual gap %.0f ms; of those hit p50 "
	       "%.0f ms, p99 %.0f ms, max "
	       "%.0f ms (targets 1200 and 2500)\n",
	       recovery, options->runs, open, stats.count, failed, usual_ms,
	       stats.p50, stats.p99, stats.max);
	g_array_free(hit_ms, TRUE);
}

/* Recovery time of both ways, for kills of every stage by turns. */
static void run_recovery(const options_t *options)
{
	run_recovery_of(options, "restart");
	run_recovery_of(options, "replay");
}

static const part_t parts[] = {
	{ "throughput", run_throughput }, { "latency", run_latency },
	{ "sessions", run_sessions },	  { "goodput", run_goodput },
	{ "fairness", run_fairness },	  { "recovery", run_recovery },
};

static const struct argp_option option_table[] = {
	{ "seed", 's', "N", 0, "Seed of arrivals and kills [1]", 0 },
	{ "runs", 'r', "N", 0, "Runs of each part [5]", 0 },
	{ "streams", 'c', "N", 0, "Concurrent streams [64]", 0 },
	{ "step-us", 'u', "US", 0, "Time of an engine's batch [1000]", 0 },
	{ "ranges", 'g', "N", 0, "Layer ranges [3]", 0 },
	{ "endpoints", 'e', "N", 0, "Endpoints of each range [2]", 0 },
	{ "part", 'p', "NAME", 0, "Only one part", 0 },
	{ "short", 'b', NULL, 0, "Fewer and shorter runs", 0 },
	{ 0 },
};

static uint32_t number(const char *text, uint32_t most)
{
	return (uint32_t)CLAMP(g_ascii_strtoull(text, NULL, 10), 1, most);
}

static error_t parse(int key, char *text, struct argp_state *state)
{
	options_t *options = state->input;

	switch (key) {
	case 's':
		options->seed = number(text, UINT32_MAX);
		return 0;
	case 'r':
		options->runs = number(text, RUNS_MAX);
		return 0;
	case 'c':
		options->streams = number(text, 2000);
		return 0;
	case 'u':
		options->step_us = number(text, 1000000);
		return 0;
	case 'g':
		options->ranges = number(text, 8);
		return 0;
	case 'e':
		options->endpoints = number(text, 8);
		return 0;
	case 'p':
		options->part = text;
		return 0;
	case 'b':
		options->brief = true;
		options->runs = 2;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	const struct argp argp = { option_table, parse,
				   NULL,	 "Load of the whole path.",
				   NULL,	 NULL,
				   NULL };
	options_t options = { .seed = 1,
			      .runs = 5,
			      .streams = 64,
			      .step_us = 1000,
			      .ranges = 3,
			      .endpoints = 2 };

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	harness_init(&harness, "load_bench");
	for (size_t i = 0; i < ARRAY_SIZE(parts); i++) {
		if (options.part != NULL &&
		    strcmp(options.part, parts[i].name) != 0)
			continue;
		parts[i].run(&options);
		fflush(stdout);
	}
	harness_finish(&harness, true);
	return 0;
}
