/*
 * Measures the time to recover from failed endpoints, with real processes.
 * Streams run through one entry; the agent and the engine of one endpoint or of
 * two are killed or frozen.  The pause that clients of the affected streams see
 * is measured for both kinds of recovery, restart and replay, in the same run.
 */
#include <argp.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>

#include "harness/cluster.h"
#include "harness/journal.h"

#define RANGES 3
/* Events of the stream sent last after which the failure is injected. */
#define FAIL_AFTER_EVENTS 8
/* Limit of each of the two waits of a round: before and after the failure. */
#define WAIT_LIMIT_MS 60000

typedef struct {
	uint32_t streams;
	uint32_t rounds;
	uint32_t step_us;
	const char *filter; /* substring of "RECOVERY FAILURE"; NULL: all */
} options_t;

/* A kind of failure: it hits the first endpoint of each of these ranges. */
typedef struct {
	const char *name;
	size_t ranges[2];
	size_t range_count;
	bool frozen; /* frozen instead of killed; its connections stay open */
} failure_t;

static const failure_t failures[] = {
	{ "first stage", { 0 }, 1, false },
	{ "middle stage", { 1 }, 1, false },
	{ "last stage", { 2 }, 1, false },
	{ "two stages", { 0, 2 }, 2, false },
	{ "silent stage", { 1 }, 1, true },
};

/*
 * Results of all rounds with one kind of failure.  Positions are summed over
 * all ranges.  The pauses are those of completed streams that ended after the
 * failure; a stream is affected if an engine ran a second or later attempt of
 * its session.
 */
typedef struct {
	GArray *pause_ms;	/* double, of the affected streams */
	GArray *other_pause_ms; /* double, of the other streams */
	/*
	 * Positions run but not needed: those run again, and also those of
	 * incomplete responses and of the readiness requests of
	 * cluster_start().
	 */
	double rerun_positions;
	double needed_positions; /* that the completed responses need */
	uint32_t completed;
	uint32_t sent;
} results_t;

typedef struct {
	harness_t harness;
	cluster_t cluster;
	http_client_t client;
	GPtrArray *requests;
	int64_t failed_us;
} round_t;

static options_t options = { .streams = 100, .rounds = 3, .step_us = 4000 };

static void send_streams(round_t *round)
{
	for (uint32_t i = 0; i < options.streams; i++) {
		char *prompt = g_strdup_printf("draft a letter %u", i);

		g_ptr_array_add(round->requests,
				cluster_send_request(&round->cluster,
						     &round->client, 0, prompt,
						     0, true));
		g_free(prompt);
	}
}

static void freeze_endpoint(cluster_endpoint_t *endpoint)
{
	harness_signal(endpoint->agent, SIGSTOP);
	harness_signal(endpoint->engine, SIGSTOP);
}

static void inject_failure(round_t *round, const failure_t *failure)
{
	size_t per_range = round->cluster.params.endpoints_per_range;

	round->failed_us = g_get_monotonic_time();
	for (size_t i = 0; i < failure->range_count; i++) {
		cluster_endpoint_t *endpoint =
			&round->cluster
				 .endpoints[failure->ranges[i] * per_range];

		if (failure->frozen)
			freeze_endpoint(endpoint);
		else
			cluster_kill_endpoint(endpoint);
	}
}

/*
 * Returns the longest time between two successive events of which the second
 * arrived after the failure; 0 if none did.
 */
static double longest_pause_ms(const http_request_t *request, int64_t failed_us)
{
	int64_t longest = 0;

	for (guint i = 1; i < request->event_us->len; i++) {
		int64_t from = g_array_index(request->event_us, int64_t, i - 1);
		int64_t to = g_array_index(request->event_us, int64_t, i);

		if (to > failed_us && to - from > longest)
			longest = to - from;
	}
	return (double)longest / 1000;
}

/*
 * Returns the ids of the recovered sessions: those of which an engine ran a
 * later attempt than the first.  Writes the number of journal lines to
 * "journal_lines"; an engine writes one line for each position that it runs.
 */
static GHashTable *recovered_sessions(const cluster_t *cluster,
				      double *journal_lines)
{
	GHashTable *sessions = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);

	*journal_lines = 0;
	for (size_t i = 0; i < cluster->endpoint_count; i++) {
		char *text = harness_read_file(cluster->endpoints[i].journal);
		char **rows = g_strsplit(text, "\n", -1);

		for (char **row = rows; *row != NULL; row++) {
			guint64 session;
			unsigned attempt;

			if (sscanf(*row, "%lu %u", &session, &attempt) != 2)
				continue;
			(*journal_lines)++;
			if (attempt > 1)
				g_hash_table_add(
					sessions,
					g_memdup2(&session, sizeof(session)));
		}
		g_strfreev(rows);
		g_free(text);
	}
	return sessions;
}

/* Returns the session of an event id of the form SESSION.ENDPOINT.INDEX. */
static guint64 session_id(const http_request_t *request)
{
	return g_ascii_strtoull(request->last_event_id, NULL, 16);
}

static void add_results(const round_t *round, results_t *results)
{
	double journal_lines;
	double needed_positions = 0;
	GHashTable *recovered =
		recovered_sessions(&round->cluster, &journal_lines);

	for (guint i = 0; i < round->requests->len; i++) {
		const http_request_t *request =
			g_ptr_array_index(round->requests, i);
		guint64 session = session_id(request);
		double pause_length_ms =
			longest_pause_ms(request, round->failed_us);

		results->sent++;
		if (!request->ended || request->failed)
			continue;
		results->completed++;
		needed_positions += request->events * RANGES;
		if (request->ended_us < round->failed_us)
			continue;
		if (g_hash_table_contains(recovered, &session))
			g_array_append_val(results->pause_ms, pause_length_ms);
		else
			g_array_append_val(results->other_pause_ms,
					   pause_length_ms);
	}
	results->needed_positions += needed_positions;
	results->rerun_positions += journal_lines - needed_positions;
	g_hash_table_destroy(recovered);
}

static bool run_round(const char *recovery, const failure_t *failure,
		      results_t *results)
{
	const cluster_params_t params = {
		.entries = 1,
		.ranges = RANGES,
		.endpoints_per_range = 2,
		.step_us = options.step_us,
		.recovery = recovery,
	};
	round_t round = { .requests = g_ptr_array_new() };
	bool ran = false;

	harness_init(&round.harness, "recovery");
	cluster_init(&round.cluster, &round.harness, &params);
	cluster_write_files(&round.cluster);
	http_client_init(&round.client);
	if (cluster_start(&round.cluster)) {
		send_streams(&round);
		ran = http_wait_events(
			&round.client,
			g_ptr_array_index(round.requests,
					  round.requests->len - 1),
			FAIL_AFTER_EVENTS, WAIT_LIMIT_MS);
		inject_failure(&round, failure);
		ran = http_client_run(&round.client, WAIT_LIMIT_MS) && ran;
		add_results(&round, results);
	}
	http_client_finish(&round.client);
	g_ptr_array_free(round.requests, TRUE);
	harness_finish(&round.harness, true);
	return ran;
}

static double quantile(GArray *values, double fraction)
{
	if (values->len == 0)
		return NAN;
	gsl_sort((double *)(void *)values->data, 1, values->len);
	return gsl_stats_quantile_from_sorted_data(
		(double *)(void *)values->data, 1, values->len, fraction);
}

static bool measure(const char *recovery, const failure_t *failure)
{
	results_t results = {
		.pause_ms = g_array_new(FALSE, FALSE, sizeof(double)),
		.other_pause_ms = g_array_new(FALSE, FALSE, sizeof(double)),
	};
	bool ran = true;

	for (uint32_t i = 0; i < options.rounds; i++)
		ran = run_round(recovery, failure, &results) && ran;
	printf("%-8s %-13s %5u/%-5u %6u %8.0f %8.0f %8.0f %10.0f %9.3f\n",
	       recovery, failure->name, results.completed, results.sent,
	       results.pause_ms->len, quantile(results.pause_ms, 0.5),
	       quantile(results.pause_ms, 0.99),
	       quantile(results.other_pause_ms, 0.99), results.rerun_positions,
	       results.rerun_positions / results.needed_positions);
	fflush(stdout);
	g_array_free(results.pause_ms, TRUE);
	g_array_free(results.other_pause_ms, TRUE);
	return ran && results.completed == results.sent;
}

static bool matches_filter(const char *recovery, const failure_t *failure)
{
	char name[64];

	snprintf(name, sizeof(name), "%s %s", recovery, failure->name);
	return options.filter == NULL || strstr(name, options.filter) != NULL;
}

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	uint32_t number =
		text == NULL ? 0 : (uint32_t)g_ascii_strtoull(text, NULL, 10);

	(void)state;
	switch (key) {
	case 's':
		options.streams = number;
		return 0;
	case 'r':
		options.rounds = number;
		return 0;
	case 'o':
		options.filter = text;
		return 0;
	case 'u':
		options.step_us = number;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option argp_options[] = {
	{ "streams", 's', "N", 0, "Streams in each round", 0 },
	{ "rounds", 'r', "N", 0, "Rounds of each kind", 0 },
	{ "only", 'o', "TEXT", 0, "Only those whose name has it", 0 },
	{ "step-us", 'u', "US", 0, "Engine time of one step", 0 },
	{ 0 },
};

int main(int argc, char **argv)
{
	static const char *const recoveries[] = { "restart", "replay" };
	const struct argp argp = {
		argp_options, parse_option,
		NULL,	      "Measures recovery from lost stages.",
		NULL,	      NULL,
		NULL
	};
	bool ran = true;

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	/*
	 * The columns after the kind of recovery and of failure are: completed
	 * and sent streams; number of affected streams; p50 and p99 of their
	 * pauses; p99 of the pauses of the other streams; rerun positions; and
	 * their ratio to the needed positions.
	 */
	printf("%u streams, %u rounds, step %u us; times in ms\n"
	       "recovery failure         whole       hit      p50      p99 "
	       "other99      rerun  rerun/needed\n",
	       options.streams, options.rounds, options.step_us);
	for (size_t i = 0; i < ARRAY_SIZE(recoveries); i++)
		for (size_t j = 0; j < ARRAY_SIZE(failures); j++)
			if (matches_filter(recoveries[i], &failures[j]))
				ran = measure(recoveries[i], &failures[j]) &&
				      ran;
	return ran ? EXIT_SUCCESS : EXIT_FAILURE;
}
