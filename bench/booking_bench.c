/*
 * Measures the cost of at-most-once execution: calls to a plain service with an
 * Idempotency-Key, which are reserved and recorded in the replicated ledger of
 * three control instances, compared with the same calls without a key.  Series
 * of both kinds alternate in one run.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "bench_stats.h"
#include "harness/cluster.h"

#define RUNS_MAX 16
#define SERIES_LIMIT_MS 60000

typedef struct {
	uint32_t runs;
	uint32_t concurrent;
	uint32_t calls;
} options_t;

/* Results of one series of calls. */
typedef struct {
	double per_s;
	bench_stats_t latency_ms;
	uint32_t failed;
} series_t;

static harness_t harness;
static cluster_t cluster;
static uint64_t next_key;

static void send_call(http_client_t *client, bool keyed)
{
	const char *const headers[] = {
		harness_string(&harness,
			       "Idempotency-Key: key-%" G_GUINT64_FORMAT,
			       next_key++),
		NULL,
	};
	const http_params_t params = {
		.url = harness_string(
			&harness, "http://%s/services/" CLUSTER_SERVICE "/book",
			cluster.entries[0].http),
		.api_key = cluster_api_key(&cluster, 0),
		.body = "pallet",
		.headers = keyed ? headers : NULL,
	};

	http_send(client, &params);
}

/*
 * Keeps "concurrent" calls open until "calls" were sent, and waits for the
 * responses, at most SERIES_LIMIT_MS in all.
 */
static void send_calls(http_client_t *client, const options_t *options,
		       bool keyed)
{
	int64_t limit_us = g_get_monotonic_time() + SERIES_LIMIT_MS * 1000;
	uint32_t sent = 0;

	while ((sent < options->calls || client->open > 0) &&
	       g_get_monotonic_time() < limit_us) {
		while (sent < options->calls &&
		       client->open < options->concurrent) {
			send_call(client, keyed);
			sent++;
		}
		http_client_poll(client, 100);
	}
}

static series_t run_series(const options_t *options, bool keyed)
{
	int64_t started_us = g_get_monotonic_time();
	GArray *latency_ms = bench_samples_new();
	series_t series = { .failed = 0 };
	http_client_t client;

	http_client_init(&client);
	send_calls(&client, options, keyed);
	series.per_s = options->calls * 1e6 /
		       (double)(g_get_monotonic_time() - started_us);
	for (guint i = 0; i < client.requests->len; i++) {
		const http_request_t *request =
			g_ptr_array_index(client.requests, i);

		if (!request->done || request->status != 200)
			series.failed++;
		else
			bench_add_sample(latency_ms,
					 (double)(request->ended_us -
						  request->started_us) /
						 1e3);
	}
	series.latency_ms = bench_stats(latency_ms);
	g_array_free(latency_ms, TRUE);
	http_client_finish(&client);
	return series;
}

static void print_series(const char *name, const series_t *series,
			 uint32_t runs)
{
	double per_s[RUNS_MAX];
	double p50[RUNS_MAX];
	double p99[RUNS_MAX];
	uint32_t failed = 0;

	for (uint32_t i = 0; i < runs; i++) {
		per_s[i] = series[i].per_s;
		p50[i] = series[i].latency_ms.p50;
		p99[i] = series[i].latency_ms.p99;
		failed += series[i].failed;
	}
	printf("%-12s %8.0f calls/s (spread %.0f%%)  p50 %.2f ms  p99 %.2f ms"
	       "  failed %u\n",
	       name, bench_median(per_s, runs), 100 * bench_spread(per_s, runs),
	       bench_median(p50, runs), bench_median(p99, runs), failed);
}

static const struct argp_option option_table[] = {
	{ "runs", 'r', "N", 0, "Runs of each series [3]", 0 },
	{ "concurrent", 'c', "N", 0, "Calls at a time [32]", 0 },
	{ "calls", 'n', "N", 0, "Calls of a series [2000]", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	options_t *options = state->input;
	uint32_t number = arg == NULL ? 0 : (uint32_t)strtoul(arg, NULL, 10);

	switch (key) {
	case 'r':
		options->runs = CLAMP(number, 1, RUNS_MAX);
		return 0;
	case 'c':
		options->concurrent = MAX(number, 1);
		return 0;
	case 'n':
		options->calls = MAX(number, 1);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void run(const options_t *options)
{
	series_t keyed[RUNS_MAX];
	series_t unkeyed[RUNS_MAX];

	for (uint32_t i = 0; i < options->runs; i++) {
		unkeyed[i] = run_series(options, false);
		keyed[i] = run_series(options, true);
	}
	printf("calls through one entry, %u at a time, %u a series, %u runs\n",
	       options->concurrent, options->calls, options->runs);
	print_series("without key", unkeyed, options->runs);
	print_series("with key", keyed, options->runs);
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = option_table,
		.parser = parse_option,
		.doc = "Measures non-idempotent calls with and without a key.",
	};
	static const cluster_params_t params = { .entries = 3,
						 .ranges = 1,
						 .endpoints_per_range = 1,
						 .services = 3 };
	options_t options = { .runs = 3, .concurrent = 32, .calls = 2000 };

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	harness_init(&harness, "booking_bench");
	cluster_init(&cluster, &harness, &params);
	cluster_write_files(&cluster);
	if (!cluster_start(&cluster)) {
		harness_finish(&harness, false);
		return EXIT_FAILURE;
	}
	run(&options);
	harness_finish(&harness, true);
	return EXIT_SUCCESS;
}
