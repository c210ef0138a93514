/*
 * Measures the time of choosing one chain as the number of endpoints grows: 13
 * failure domains in 4 regions and 8 layer ranges of one model.  Sessions start
 * and finish and loads are reported between the choices, as in operation.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <argp.h>
#include <glib.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>

#include "wisteria/route/router.h"

#define LAYERS 80
#define RANGES 8
#define DOMAINS 13
#define REGIONS 4
#define SLOTS 32
#define CHOICES 20000
#define OPEN_SESSIONS 2000

static double now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/*
 * Returns a router that was updated twice with the same directory, and the time
 * of the second update.
 */
static router_t *make_router(uint32_t count, GStringChunk *names,
			     double *update_us)
{
	msg_endpoint_t *endpoints = g_new0(msg_endpoint_t, count);
	router_t *router = router_new("r0", "d0", 1);
	char text[32];

	for (uint32_t i = 0; i < count; i++) {
		msg_endpoint_t *endpoint = &endpoints[i];
		const uint32_t domain = i / RANGES % DOMAINS;

		g_snprintf(text, sizeof(text), "e%u", i);
		endpoint->name = g_string_chunk_insert(names, text);
		endpoint->instance = endpoint->name;
		endpoint->address = "127.0.0.1:1";
		endpoint->target = "modelo";
		endpoint->first_layer = i % RANGES * (LAYERS / RANGES);
		endpoint->end_layer = endpoint->first_layer + LAYERS / RANGES;
		endpoint->slots = SLOTS;
		g_snprintf(text, sizeof(text), "d%u", domain);
		endpoint->failure_domain =
			g_string_chunk_insert_const(names, text);
		g_snprintf(text, sizeof(text), "r%u", domain % REGIONS);
		endpoint->region = g_string_chunk_insert_const(names, text);
	}
	router_update(router, endpoints, count, NULL, 0, 0);
	*update_us = -now_us();
	router_update(router, endpoints, count, NULL, 0, 0);
	*update_us += now_us();
	g_free(endpoints);
	return router;
}

static void start_hops(router_t *router, const route_choice_t *choice,
		       GRand *random, clock_ms_t now)
{
	for (size_t i = 0; i < choice->hop_count; i++) {
		const msg_load_t load = {
			.endpoint = choice->hops[i].endpoint,
			.in_flight = (uint32_t)g_rand_int_range(random, 0, 16),
			.slots = SLOTS,
			.step_ms = g_rand_double_range(random, 5, 15),
		};

		router_session_started(router, choice->hops[i].endpoint);
		router_record_load(router, &load, now);
	}
}

static void finish_hops(router_t *router, const route_choice_t *choice)
{
	for (size_t i = 0; i < choice->hop_count; i++)
		router_session_finished(router, choice->hops[i].endpoint);
}

/* Times of one router, in microseconds. */
typedef struct {
	double update;
	double session_us; /* start, finish and loads of one session */
} router_costs_t;

/* Writes the time of each choice to "choice_us" and returns the other times. */
static router_costs_t measure(uint32_t count, double *choice_us)
{
	static const route_request_t request = {
		.target = "modelo",
		.layers = LAYERS,
	};
	GStringChunk *names = g_string_chunk_new(1 << 16);
	GRand *random = g_rand_new_with_seed(1);
	router_costs_t costs = { 0 };
	router_t *router = make_router(count, names, &costs.update);
	route_choice_t *open = g_new0(route_choice_t, OPEN_SESSIONS);
	const uint32_t sessions =
		MIN(OPEN_SESSIONS, count * SLOTS / RANGES / 4);

	for (uint32_t i = 0; i < CHOICES; i++) {
		route_choice_t *choice = &open[i % sessions];
		double start_us = now_us();

		finish_hops(router, choice);
		costs.session_us += now_us() - start_us;
		start_us = now_us();
		if (router_choose(router, &request, i, choice) != ROUTE_FOUND)
			abort();
		choice_us[i] = now_us() - start_us;
		start_us = now_us();
		start_hops(router, choice, random, i);
		costs.session_us += now_us() - start_us;
	}
	g_free(open);
	router_free(router);
	g_rand_free(random);
	g_string_chunk_free(names);
	costs.session_us /= CHOICES;
	return costs;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.doc = "Cost of one choice of a chain by number of endpoints",
	};
	static const uint32_t counts[] = { 240, 600, 1200, 2400 };
	double *choice_us = g_new(double, CHOICES);

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	printf("%9s %10s %10s %10s %10s\n", "endpoints", "median us", "p99 us",
	       "events us", "update us");
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		const router_costs_t costs = measure(counts[i], choice_us);

		gsl_sort(choice_us, 1, CHOICES);
		printf("%9u %10.2f %10.2f %10.2f %10.0f\n", counts[i],
		       gsl_stats_median_from_sorted_data(choice_us, 1, CHOICES),
		       gsl_stats_quantile_from_sorted_data(choice_us, 1,
							   CHOICES, 0.99),
		       costs.session_us, costs.update);
	}
	g_free(choice_us);
	return 0;
}
