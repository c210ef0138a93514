/*
 * Measures the throughput that the router reaches as a share of the layout's
 * maximum flow, on several layouts, and compares it with three simple policies.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argp.h>
#include <glib.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>

#include "support/route_model.h"

#define SEEDS_MAX 32
#define MEASURED_MS 30000.0
/*
 * The failure occurs during the warm-up, so that the routers have received the
 * directory without the failed endpoints before the measurement begins.
 */
#define FAILURE_AT_MS 5000.0

static void add_endpoints(bench_t *bench, uint32_t first, uint32_t end,
			  uint32_t count, double step_ms)
{
	for (uint32_t i = 0; i < count; i++) {
		bench_endpoint_t *endpoint =
			&bench->endpoints[bench->endpoint_count];

		*endpoint = (bench_endpoint_t){
			.first_layer = first,
			.end_layer = end,
			.domain = i % DOMAINS,
			.step_ms = step_ms,
		};
		g_snprintf(endpoint->name, sizeof(endpoint->name), "%u",
			   bench->endpoint_count++);
	}
}

static void build_even(bench_t *bench)
{
	for (uint32_t layer = 0; layer < LAYERS; layer += 3)
		add_endpoints(bench, layer, layer + 3, 12, 10);
}

static void build_slow_accelerators(bench_t *bench)
{
	for (uint32_t layer = 0; layer < LAYERS; layer += 3) {
		add_endpoints(bench, layer, layer + 3, 6, 10);
		add_endpoints(bench, layer, layer + 3, 6, 40);
	}
}

static void build_overlapping_ranges(bench_t *bench)
{
	for (uint32_t layer = 0; layer < LAYERS; layer += 3)
		add_endpoints(bench, layer, layer + 3, 6, 10);
	for (uint32_t layer = 0; layer < LAYERS; layer += 4)
		add_endpoints(bench, layer, layer + 4, 6, 13);
	for (uint32_t layer = 0; layer < LAYERS; layer += 6)
		add_endpoints(bench, layer, layer + 6, 6, 20);
	add_endpoints(bench, 3, 8, 4, 17);
}

/*
 * Limits the rate, in steps per second, of the link from the first domain to
 * the second, which then also has a longer delay (SLOW_LINK_MS).
 */
static void build_slow_link(bench_t *bench)
{
	build_even(bench);
	bench->slow_link_per_s = 200;
}

static const layout_t layouts[] = {
	{ "even", build_even, false },
	{ "one kind slow", build_slow_accelerators, false },
	{ "crossing ranges", build_overlapping_ranges, false },
	{ "slow link", build_slow_link, false },
	{ "tenth gone", build_even, true },
};

static void start(bench_t *bench, uint32_t seed)
{
	bench->random = g_rand_new_with_seed(seed);
	bench->events = g_array_new(FALSE, FALSE, sizeof(event_t));
	bench->layout->build(bench);
	bench->bound = model_throughput_bound(bench);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		bench->entries[i].router =
			router_new("nordeste", "recife", seed * ENTRIES + i);
		model_schedule_event(bench, 0, EVENT_ARRIVAL, i, NULL);
	}
	model_update_routers(bench);
	if (bench->layout->failure)
		model_schedule_event(bench, FAILURE_AT_MS, EVENT_FAILURE, 0,
				     NULL);
}

static void finish(bench_t *bench)
{
	while (bench->events->len > 0)
		g_free(model_pop_event(bench).session);
	for (uint32_t i = 0; i < bench->endpoint_count; i++)
		g_queue_clear_full(&bench->endpoints[i].waiting, g_free);
	for (uint32_t i = 0; i < ENTRIES; i++)
		router_free(bench->entries[i].router);
	g_array_free(bench->events, TRUE);
	g_rand_free(bench->random);
}

/*
 * Returns the throughput as a share of the bound, which is that of the
 * remaining endpoints if the layout has a failure.
 */
static double measure_share(const layout_t *layout, const policy_t *policy,
			    uint32_t seed)
{
	bench_t *bench = g_new0(bench_t, 1);
	double share;

	bench->layout = layout;
	bench->policy = policy;
	start(bench, seed);
	while (bench->events->len > 0) {
		const event_t event = model_pop_event(bench);

		bench->now_ms = event.due_ms;
		if (bench->now_ms > WARM_UP_MS + MEASURED_MS) {
			g_free(event.session);
			break;
		}
		model_handle_event(bench, &event);
	}
	share = (double)bench->tokens * 1000 / MEASURED_MS / bench->bound;
	finish(bench);
	g_free(bench);
	return share;
}

typedef struct {
	uint32_t seeds;
	uint32_t first_seed;
	const char *layout;
	const char *policy;
} options_t;

static const struct argp_option option_list[] = {
	{ "seeds", 's', "N", 0, "Runs of each pair (5)", 0 },
	{ "first-seed", 'f', "N", 0, "Seed of the first run (1)", 0 },
	{ "layout", 'l', "NAME", 0, "Only this layout", 0 },
	{ "policy", 'p', "NAME", 0, "Only this policy", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *value, struct argp_state *state)
{
	options_t *options = state->input;

	switch (key) {
	case 's':
		options->seeds = (uint32_t)strtoul(value, NULL, 10);
		if (options->seeds == 0 || options->seeds > SEEDS_MAX)
			argp_error(state, "seeds: 1 to %d", SEEDS_MAX);
		return 0;
	case 'f':
		options->first_seed = (uint32_t)strtoul(value, NULL, 10);
		return 0;
	case 'l':
		options->layout = value;
		return 0;
	case 'p':
		options->policy = value;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void measure(const layout_t *layout, const policy_t *policy,
		    const options_t *options)
{
	double shares[SEEDS_MAX];

	for (uint32_t i = 0; i < options->seeds; i++)
		shares[i] =
			measure_share(layout, policy, options->first_seed + i);
	gsl_sort(shares, 1, options->seeds);
	printf("%-16s %-16s %6.3f %6.3f %6.3f\n", layout->name, policy->name,
	       gsl_stats_median_from_sorted_data(shares, 1, options->seeds),
	       shares[0], shares[options->seeds - 1]);
	fflush(stdout);
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = option_list,
		.parser = parse_option,
		.doc = "Throughput of routing policies over the bound",
	};
	options_t options = { .seeds = 5, .first_seed = 1 };

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	printf("%-16s %-16s %6s %6s %6s\n", "layout", "policy", "median", "min",
	       "max");
	for (size_t i = 0; i < G_N_ELEMENTS(layouts); i++) {
		if (options.layout != NULL &&
		    strcmp(options.layout, layouts[i].name) != 0)
			continue;
		for (size_t j = 0; j < route_policy_count; j++)
			if (options.policy == NULL ||
			    strcmp(options.policy, route_policies[j].name) == 0)
				measure(&layouts[i], &route_policies[j],
					&options);
	}
	return 0;
}
