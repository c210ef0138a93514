/*
 * Measures the whole path under load: throughput, added latency, the resources
 * of open sessions, goodput under overload, fairness, and recovery after an
 * endpoint is killed.  Throughput and latency are compared, in the same run,
 * with requests that go straight to the same fake engines.
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
#define AFFECTED_GAP_FACTOR 3
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

static void start_cluster(cluster_t *cluster, const cluster_params_t *params)
{
	cluster_init(cluster, &harness, params);
	cluster_write_files(cluster);
	if (!cluster_start(cluster)) {
		harness_finish(&harness, false);
		g_error("the cluster did not start");
	}
}

static void stop_cluster(cluster_t *cluster)
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

/* Measures the throughput of a closed loop, routed and direct alternately. */
static void run_throughput(const options_t *options)
{
	const cluster_params_t params = params_of(options);
	uint32_t total = options->streams * (options->brief ? 4 : 12);
	double routed[RUNS_MAX];
	double direct[RUNS_MAX];
	double ratio[RUNS_MAX];
	uint64_t failed = 0;
	cluster_t cluster;

	start_cluster(&cluster, &params);
	for (uint32_t i = 0; i < options->runs; i++) {
		bench_run_t run;

		bench_run_init(&run);
		routed_run_closed_loop(&cluster, options->streams, total, &run);
		routed[i] = (double)run.tokens / run.seconds;
		failed += run.failed;
		bench_run_finish(&run);
		bench_run_init(&run);
		direct_run(&cluster, options->streams, total, &run);
		direct[i] = (double)run.tokens / run.seconds;
		bench_run_finish(&run);
		ratio[i] = routed[i] / direct[i];
	}
	stop_cluster(&cluster);
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

static void print_added_latency(const char *name, double routed, double direct,
				uint32_t hops)
{
	printf("  %s: routed %.3f ms, direct %.3f ms, added a hop %.3f ms\n",
	       name, routed, direct, (routed - direct) / hops);
}

/* Measures the latency of one stream at a time, so that nothing queues. */
static void run_latency(const options_t *options)
{
	const cluster_params_t params = params_of(options);
	bench_run_t routed;
	bench_run_t direct;
	bench_stats_t routed_stats;
	bench_stats_t direct_stats;
	cluster_t cluster;

	start_cluster(&cluster, &params);
	bench_run_init(&routed);
	bench_run_init(&direct);
	for (uint32_t i = 0; i < options->runs; i++) {
		routed_run_closed_loop(&cluster, 1, options->brief ? 20 : 60,
				       &routed);
		direct_run(&cluster, 1, options->brief ? 20 : 60, &direct);
	}
	stop_cluster(&cluster);
	routed_stats = bench_stats(routed.interval_ms);
	direct_stats = bench_stats(direct.interval_ms);
	printf("added latency of a token, 1 stream, %u hops, step %u us, "
	       "%zu intervals\n",
	       options->ranges, options->step_us, routed_stats.count);
	print_added_latency("p50", routed_stats.p50, direct_stats.p50,
			    options->ranges);
	print_added_latency("p95", routed_stats.p95, direct_stats.p95,
			    options->ranges);
	print_added_latency("p99", routed_stats.p99, direct_stats.p99,
			    options->ranges);
	routed_stats = bench_stats(routed.first_token_ms);
	direct_stats = bench_stats(direct.first_token_ms);
	printf("  first token p50: routed %.2f ms, direct %.2f ms; p95 %.2f "
	       "and %.2f ms\n",
	       routed_stats.p50, direct_stats.p50, routed_stats.p95,
	       direct_stats.p95);
	bench_run_finish(&routed);
	bench_run_finish(&direct);
}

static void measure_open_sessions(cluster_t *cluster, uint32_t count)
{
	held_cost_t cost;

	held_measure(cluster, count, &cost);
	printf("  %5u open: entry +%.1f MiB, agents +%.1f MiB; while they "
	       "wait: entry %.1f%% of a core, agents %.1f%%; not whole %u\n",
	       count, cost.entry_bytes / MIB, cost.agent_bytes / MIB,
	       100 * cost.entry_cpu, 100 * cost.agent_cpu, cost.failed);
}

/*
 * Measures memory and processor time of open sessions.  Direct requests have no
 * sessions to compare with.
 */
static void run_sessions(const options_t *options)
{
	static const uint32_t counts[] = { 125, 250, 500, 1000 };
	const cluster_params_t params = params_of(options);

	printf("cost of open sessions, %u hops\n", options->ranges);
	for (size_t i = 0; i < ARRAY_SIZE(counts); i++) {
		cluster_t cluster;

		start_cluster(&cluster, &params);
		measure_open_sessions(&cluster, counts[i]);
		stop_cluster(&cluster);
	}
}

/* Returns the median rate of requests of a few closed-loop runs. */
static double measure_capacity_per_s(cluster_t *cluster, uint32_t concurrent,
				     uint32_t total)
{
	double rate_per_s[CAPACITY_RUNS];

	for (size_t i = 0; i < CAPACITY_RUNS; i++) {
		bench_run_t run;

		bench_run_init(&run);
		routed_run_closed_loop(cluster, concurrent, total, &run);
		rate_per_s[i] = total / run.seconds;
		bench_run_finish(&run);
	}
	return bench_median(rate_per_s, CAPACITY_RUNS);
}

/* Measures the goodput of open loops at one to three times the capacity. */
static void run_goodput(const options_t *options)
{
	cluster_params_t params = params_of(options);
	double goodput[3][RUNS_MAX];
	double peak = 0;
	double rate_per_s;
	cluster_t cluster;

	params.slots = 16;
	start_cluster(&cluster, &params);
	rate_per_s = measure_capacity_per_s(&cluster, 16 * options->endpoints,
					    options->brief ? 200 : 800);
	printf("goodput, capacity %.1f requests/s, seed %u\n", rate_per_s,
	       options->seed);
	for (uint32_t run = 0; run < options->runs; run++)
		for (size_t load_index = 0; load_index < 3; load_index++) {
			const routed_load_t open_loop = {
				.rate_per_s =
					rate_per_s * (double)(load_index + 1),
				.seconds = options->brief ? 4 : 12,
				.seed = options->seed + run,
				.customers = 1,
				.weights = { 1 },
			};
			routed_outcome_t outcome;

			routed_run_open_loop(&cluster, &open_loop, &outcome);
			goodput[load_index][run] =
				(double)outcome.tokens / outcome.seconds;
			printf("  %zux: tokens/s %.0f, whole "
			       "%" G_GUINT64_FORMAT
			       ", refused %" G_GUINT64_FORMAT
			       ", cut %" G_GUINT64_FORMAT
			       " of %" G_GUINT64_FORMAT "\n",
			       load_index + 1, goodput[load_index][run],
			       outcome.completed, outcome.refused,
			       outcome.interrupted, outcome.sent);
		}
	stop_cluster(&cluster);
	for (size_t load_index = 0; load_index < 3; load_index++)
		peak = MAX(peak,
			   bench_median(goodput[load_index], options->runs));
	for (size_t load_index = 0; load_index < 3; load_index++)
		printf("  %zux offered: %.0f%% of the peak (spread %.0f%%)\n",
		       load_index + 1,
		       100 * bench_median(goodput[load_index], options->runs) /
			       peak,
		       100 * bench_spread(goodput[load_index], options->runs));
}

/*
 * Measures three customers with equal contracts; one sends tenfold load.  The
 * capacity is measured with one customer, whose contract allows a third of the
 * slots of a range, and multiplied by 3.
 */
static void run_fairness(const options_t *options)
{
	cluster_params_t params = params_of(options);
	routed_load_t open_loop = { .seconds = options->brief ? 5 : 15,
				    .seed = options->seed,
				    .customers = 3,
				    .weights = { 10, 1, 1 } };
	routed_outcome_t outcome;
	cluster_t cluster;
	double tokens = 0;
	double rate_per_s;

	params.slots = 16;
	params.customers = 3;
	params.sessions = 16 * options->endpoints / 3;
	start_cluster(&cluster, &params);
	rate_per_s = measure_capacity_per_s(&cluster, params.sessions,
					    options->brief ? 200 : 800) *
		     3;
	open_loop.rate_per_s = 4 * rate_per_s;
	routed_run_open_loop(&cluster, &open_loop, &outcome);
	for (size_t i = 0; i < open_loop.customers; i++)
		tokens += (double)outcome.customer_tokens[i];
	printf("fairness, offered 4x, demands 10:1:1, equal contracts, seed "
	       "%u\n  share of its third while offered: %.2f %.2f %.2f\n",
	       options->seed, 3.0 * (double)outcome.customer_tokens[0] / tokens,
	       3.0 * (double)outcome.customer_tokens[1] / tokens,
	       3.0 * (double)outcome.customer_tokens[2] / tokens);
	stop_cluster(&cluster);
}

/*
 * Adds the gaps of the affected streams, which are those with a gap of at least
 * AFFECTED_GAP_FACTOR times the median interval.
 */
static void sample_affected(GArray *gap_ms, double median_interval_ms,
			    GArray *affected_ms)
{
	for (guint i = 0; i < gap_ms->len; i++) {
		double gap = g_array_index(gap_ms, double, i);

		if (gap >= AFFECTED_GAP_FACTOR * median_interval_ms)
			bench_add_sample(affected_ms, gap);
	}
}

static void measure_recovery(const options_t *options, const char *recovery)
{
	cluster_params_t params = params_of(options);
	GArray *affected_ms = bench_samples_new();
	double median_interval_ms = 0;
	bench_stats_t stats;
	uint32_t failed = 0;
	size_t open = 0;

	params.recovery = recovery;
	params.step_us = 10000;
	for (uint32_t run = 0; run < options->runs; run++) {
		size_t killed_index = (options->seed + run) %
				      (options->ranges * options->endpoints);
		GArray *gap_ms = bench_samples_new();
		GArray *interval_ms = bench_samples_new();
		cluster_t cluster;

		start_cluster(&cluster, &params);
		failed += routed_measure_kill(&cluster, options->streams,
					      &cluster.endpoints[killed_index],
					      gap_ms, interval_ms);
		stop_cluster(&cluster);
		open += gap_ms->len;
		median_interval_ms = bench_stats(interval_ms).p50;
		sample_affected(gap_ms, median_interval_ms, affected_ms);
		g_array_free(gap_ms, TRUE);
		g_array_free(interval_ms, TRUE);
	}
	stats = bench_stats(affected_ms);
	printf("recovery by %s, one killed stage, %u kills, %zu streams open, "
	       "%zu hit, not whole %u\n  usual gap %.0f ms; of those hit p50 "
	       "%.0f ms, p99 %.0f ms, max "
	       "%.0f ms (targets 1200 and 2500)\n",
	       recovery, options->runs, open, stats.count, failed,
	       median_interval_ms, stats.p50, stats.p99, stats.max);
	g_array_free(affected_ms, TRUE);
}

/* Measures both kinds of recovery; the runs kill the endpoints in turn. */
static void run_recovery(const options_t *options)
{
	measure_recovery(options, "restart");
	measure_recovery(options, "replay");
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

static uint32_t parse_number(const char *text, uint32_t limit)
{
	return (uint32_t)CLAMP(g_ascii_strtoull(text, NULL, 10), 1, limit);
}

static error_t parse(int key, char *text, struct argp_state *state)
{
	options_t *options = state->input;

	switch (key) {
	case 's':
		options->seed = parse_number(text, UINT32_MAX);
		return 0;
	case 'r':
		options->runs = parse_number(text, RUNS_MAX);
		return 0;
	case 'c':
		options->streams = parse_number(text, 2000);
		return 0;
	case 'u':
		options->step_us = parse_number(text, 1000000);
		return 0;
	case 'g':
		options->ranges = parse_number(text, 8);
		return 0;
	case 'e':
		options->endpoints = parse_number(text, 8);
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
