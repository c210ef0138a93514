/* Sends load to a cluster through its first entry, as clients do. */
#include "routed.h"

#include <math.h>

#include "bench_stats.h"
#include "harness/load.h"

#define POLL_MS 10
#define KILL_AFTER_US 1500000
#define KILL_RUN_US 8000000
#define MS_PER_US 1e-3

typedef void (*record_request_t)(const http_request_t *request, void *user);

static bool is_complete(const http_request_t *request)
{
	return request->result == CURLE_OK && request->status == 200 &&
	       request->ended && !request->failed;
}

static int64_t event_time_us(const http_request_t *request, guint index)
{
	return g_array_index(request->event_us, int64_t, index);
}

static void sample_intervals(const http_request_t *request, GArray *samples)
{
	for (guint i = 1; i < request->event_us->len; i++)
		bench_add_sample(samples,
				 (double)(event_time_us(request, i) -
					  event_time_us(request, i - 1)) *
					 MS_PER_US);
}

/* Passes every request that has ended to "record" and frees it. */
static void record_ended(http_client_t *client, record_request_t record,
			 void *user)
{
	for (guint i = 0; i < client->requests->len;) {
		http_request_t *request =
			g_ptr_array_index(client->requests, i);

		if (!request->done) {
			i++;
			continue;
		}
		record(request, user);
		http_request_free(client, request);
	}
}

static void send_prompt(cluster_t *cluster, http_client_t *client,
			uint32_t number)
{
	char *prompt = g_strdup_printf("quote %u", number);

	cluster_send_request(cluster, client, 0, prompt, 0, true);
	g_free(prompt);
}

static void record_stream(const http_request_t *request, void *user)
{
	bench_run_t *run = user;

	if (!is_complete(request)) {
		run->failed++;
		return;
	}
	run->tokens += request->events;
	bench_add_sample(run->first_token_ms, (double)(request->first_event_us -
						       request->started_us) *
						      MS_PER_US);
	sample_intervals(request, run->interval_ms);
}

/* Runs "total" streams, "concurrent" at a time, and adds to "run". */
void routed_run_closed_loop(cluster_t *cluster, uint32_t concurrent,
			    uint32_t total, bench_run_t *run)
{
	int64_t start_us = g_get_monotonic_time();
	http_client_t client;
	uint32_t sent_count = 0;

	http_client_init(&client);
	while (sent_count < total || client.open > 0) {
		while (sent_count < total && client.open < concurrent)
			send_prompt(cluster, &client, ++sent_count);
		http_client_poll(&client, POLL_MS);
		record_ended(&client, record_stream, run);
	}
	run->seconds += (double)(g_get_monotonic_time() - start_us) * 1e-6;
	http_client_finish(&client);
}

static void record_outcome(const http_request_t *request, void *user)
{
	routed_outcome_t *outcome = user;

	if (is_complete(request)) {
		outcome->completed++;
		outcome->tokens += request->events;
		if (g_get_monotonic_time() < outcome->end_us)
			outcome->customer_tokens[GPOINTER_TO_SIZE(
				request->user)] += request->events;
	} else if (request->result == CURLE_OK && request->status >= 400) {
		outcome->refused++;
	} else {
		outcome->interrupted++;
	}
}

static size_t pick_customer(const routed_load_t *load, GRand *random)
{
	double sum = 0;
	double pick;

	for (size_t i = 0; i < load->customers; i++)
		sum += load->weights[i];
	pick = g_rand_double_range(random, 0, sum);
	for (size_t i = 0; i < load->customers; i++) {
		pick -= load->weights[i];
		if (pick < 0)
			return i;
	}
	return load->customers - 1;
}

static void send_one(cluster_t *cluster, http_client_t *client,
		     const routed_load_t *load, GRand *random, uint64_t number)
{
	size_t customer = pick_customer(load, random);
	char *prompt = g_strdup_printf("offer %u %" G_GUINT64_FORMAT,
				       load->seed, number);
	http_request_t *request =
		cluster_send_request_as(cluster, client, customer, 0, prompt);

	request->user = GSIZE_TO_POINTER(customer);
	g_free(prompt);
}

/* Sends requests at the rate of "load" and waits for all responses. */
void routed_run_open_loop(cluster_t *cluster, const routed_load_t *load,
			  routed_outcome_t *outcome)
{
	GRand *random = g_rand_new_with_seed(load->seed);
	int64_t start_us = g_get_monotonic_time();
	int64_t end_us = start_us + (int64_t)(load->seconds * 1e6);
	double due_us = (double)start_us;
	int64_t now_us = start_us;
	http_client_t client;

	*outcome = (routed_outcome_t){ .end_us = end_us };
	http_client_init(&client);
	while (now_us < end_us || client.open > 0) {
		while (due_us <= (double)now_us && due_us < (double)end_us) {
			send_one(cluster, &client, load, random,
				 ++outcome->sent);
			due_us -= 1e6 / load->rate_per_s *
				  log(1 - g_rand_double(random));
		}
		http_client_poll(&client, 1);
		record_ended(&client, record_outcome, outcome);
		now_us = g_get_monotonic_time();
	}
	outcome->seconds = (double)(now_us - start_us) * 1e-6;
	http_client_finish(&client);
	g_rand_free(random);
}

typedef struct {
	int64_t killed_us;
	GArray *gap_ms;
	GArray *interval_ms;
	uint32_t failed;
} kill_run_t;

static void record_killed_stream(const http_request_t *request, void *user)
{
	kill_run_t *state = user;
	int64_t longest_us = 0;

	if (!is_complete(request))
		state->failed++;
	if (state->killed_us == 0 || request->ended_us < state->killed_us) {
		sample_intervals(request, state->interval_ms);
		return;
	}
	if (request->first_event_us == 0 ||
	    request->first_event_us > state->killed_us)
		return;
	for (guint i = 1; i < request->event_us->len; i++)
		if (event_time_us(request, i) > state->killed_us)
			longest_us = MAX(longest_us,
					 event_time_us(request, i) -
						 event_time_us(request, i - 1));
	bench_add_sample(state->gap_ms, (double)longest_us * MS_PER_US);
}

/* Measures how long one killed endpoint interrupts the open streams. */
uint32_t routed_measure_kill(cluster_t *cluster, uint32_t concurrent,
			     cluster_endpoint_t *endpoint, GArray *gap_ms,
			     GArray *interval_ms)
{
	kill_run_t state = { .gap_ms = gap_ms, .interval_ms = interval_ms };
	int64_t start_us = g_get_monotonic_time();
	int64_t now_us = start_us;
	http_client_t client;
	uint32_t sent_count = 0;

	http_client_init(&client);
	while (now_us < start_us + KILL_RUN_US || client.open > 0) {
		while (now_us < start_us + KILL_RUN_US &&
		       client.open < concurrent)
			send_prompt(cluster, &client, ++sent_count);
		if (state.killed_us == 0 &&
		    now_us >= start_us + KILL_AFTER_US) {
			state.killed_us = now_us;
			cluster_kill_endpoint(endpoint);
		}
		http_client_poll(&client, POLL_MS);
		record_ended(&client, record_killed_stream, &state);
		now_us = g_get_monotonic_time();
	}
	http_client_finish(&client);
	return state.failed;
}
