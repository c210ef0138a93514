/* Drives a set-up through its first entry, as callers do. */
#include "routed.h"

#include <math.h>

#include "bench_stats.h"
#include "harness/load.h"

#define POLL_MS 10
#define KILL_AFTER_US 1500000
#define KILL_RUN_US 8000000
#define MS_PER_US 1e-3

typedef void (*take_request_t)(const http_request_t *request, void *user);

static bool is_whole(const http_request_t *request)
{
	return request->result == CURLE_OK && request->status == 200 &&
	       request->ended && !request->failed;
}

static int64_t event_at(const http_request_t *request, guint index)
{
	return g_array_index(request->event_us, int64_t, index);
}

static void sample_intervals(const http_request_t *request, GArray *samples)
{
	for (guint i = 1; i < request->event_us->len; i++)
		bench_sample(samples, (double)(event_at(request, i) -
					       event_at(request, i - 1)) *
					      MS_PER_US);
}

/* Hands every request that has ended to "take" and forgets it. */
static void take_ended(http_client_t *client, take_request_t take, void *user)
{
	for (guint i = 0; i < client->requests->len;) {
		http_request_t *request =
			g_ptr_array_index(client->requests, i);

		if (!request->done) {
			i++;
			continue;
		}
		take(request, user);
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

static void take_run(const http_request_t *request, void *user)
{
	bench_run_t *run = user;

	if (!is_whole(request)) {
		run->failed++;
		return;
	}
	run->tokens += request->events;
	bench_sample(run->first_token_ms,
		     (double)(request->first_event_us - request->started_us) *
			     MS_PER_US);
	sample_intervals(request, run->interval_ms);
}

/* Runs "total" streams, "concurrent" at a time, and adds to "run". */
void routed_run(cluster_t *cluster, uint32_t concurrent, uint32_t total,
		bench_run_t *run)
{
	int64_t began_us = g_get_monotonic_time();
	http_client_t client;
	uint32_t sent = 0;

	http_client_init(&client);
	while (sent < total || client.open > 0) {
		while (sent < total && client.open < concurrent)
			send_prompt(cluster, &client, ++sent);
		http_client_poll(&client, POLL_MS);
		take_ended(&client, take_run, run);
	}
	run->seconds += (double)(g_get_monotonic_time() - began_us) * 1e-6;
	http_client_finish(&client);
}

static void take_offered(const http_request_t *request, void *user)
{
	routed_outcome_t *outcome = user;

	if (is_whole(request)) {
		outcome->whole++;
		outcome->tokens += request->events;
		if (g_get_monotonic_time() < outcome->end_us)
			outcome->customer_tokens[GPOINTER_TO_SIZE(
				request->user)] += request->events;
	} else if (request->result == CURLE_OK && request->status >= 400) {
		outcome->refused++;
	} else {
		outcome->cut++;
	}
}

static size_t pick_customer(const routed_offer_t *offer, GRand *random)
{
	double sum = 0;
	double pick;

	for (size_t i = 0; i < offer->customers; i++)
		sum += offer->weights[i];
	pick = g_rand_double_range(random, 0, sum);
	for (size_t i = 0; i < offer->customers; i++) {
		pick -= offer->weights[i];
		if (pick < 0)
			return i;
	}
	return offer->customers - 1;
}

static void offer_one(cluster_t *cluster, http_client_t *client,
		      const routed_offer_t *offer, GRand *random,
		      uint64_t number)
{
	size_t customer = pick_customer(offer, random);
	char *prompt = g_strdup_printf("offer %u %" G_GUINT64_FORMAT,
				       offer->seed, number);
	http_request_t *request =
		cluster_send_request_as(cluster, client, customer, 0, prompt);

	request->user = GSIZE_TO_POINTER(customer);
	g_free(prompt);
}

/* Offers requests at a rate; waits for the answers to all of them. */
void routed_offer(cluster_t *cluster, const routed_offer_t *offer,
		  routed_outcome_t *outcome)
{
	GRand *random = g_rand_new_with_seed(offer->seed);
	int64_t began_us = g_get_monotonic_time();
	int64_t end_us = began_us + (int64_t)(offer->seconds * 1e6);
	double due_us = (double)began_us;
	int64_t now_us = began_us;
	http_client_t client;

	*outcome = (routed_outcome_t){ .end_us = end_us };
	http_client_init(&client);
	while (now_us < end_us || client.open > 0) {
		while (due_us <= (double)now_us && due_us < (double)end_us) {
			offer_one(cluster, &client, offer, random,
				  ++outcome->offered);
			due_us -= 1e6 / offer->per_s *
				  log(1 - g_rand_double(random));
		}
		http_client_poll(&client, 1);
		take_ended(&client, take_offered, outcome);
		now_us = g_get_monotonic_time();
	}
	outcome->seconds = (double)(now_us - began_us) * 1e-6;
	http_client_finish(&client);
	g_rand_free(random);
}

typedef struct {
	int64_t killed_us;
	GArray *gap_ms;
	GArray *interval_ms;
	uint32_t failed;
} kill_t;

static void take_killed(const http_request_t *request, void *user)
{
	kill_t *state = user;
	int64_t longest_us = 0;

	if (!is_whole(request))
		state->failed++;
	if (state->killed_us == 0 || request->ended_us < state->killed_us) {
		sample_intervals(request, state->interval_ms);
		return;
	}
	if (request->first_event_us == 0 ||
	    request->first_event_us > state->killed_us)
		return;
	for (guint i = 1; i < request->event_us->len; i++)
		if (event_at(request, i) > state->killed_us)
			longest_us = MAX(longest_us,
					 event_at(request, i) -
						 event_at(request, i - 1));
	bench_sample(state->gap_ms, (double)longest_us * MS_PER_US);
}

/* Measures what one killed stage costs the streams that were open. */
uint32_t routed_kill(cluster_t *cluster, uint32_t concurrent,
		     cluster_endpoint_t *endpoint, GArray *gap_ms,
		     GArray *interval_ms)
{
	kill_t state = { .gap_ms = gap_ms, .interval_ms = interval_ms };
	int64_t began_us = g_get_monotonic_time();
	int64_t now_us = began_us;
	http_client_t client;
	uint32_t sent = 0;

	http_client_init(&client);
	while (now_us < began_us + KILL_RUN_US || client.open > 0) {
		while (now_us < began_us + KILL_RUN_US &&
		       client.open < concurrent)
			send_prompt(cluster, &client, ++sent);
		if (state.killed_us == 0 &&
		    now_us >= began_us + KILL_AFTER_US) {
			state.killed_us = now_us;
			cluster_kill_endpoint(endpoint);
		}
		http_client_poll(&client, POLL_MS);
		take_ended(&client, take_killed, &state);
		now_us = g_get_monotonic_time();
	}
	http_client_finish(&client);
	return state.failed;
}
