/*
 * Measures the throughput of the router's choices against the maximum flow
 * of the layout, next to three simple policies.  The driver is a queueing
 * model in virtual time: endpoints with a few servers and a queue, links with
 * a delay and perhaps a capacity, and entries that always have work waiting.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argp.h>
#include <glib.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>

#include "wisteria/route/flow.h"
#include "wisteria/route/router.h"

#define LAYERS 12
#define DOMAINS 3
#define ENTRIES 4
#define SERVERS 4
#define SLOTS 32
#define ENDPOINTS_MAX 128
#define SEEDS_MAX 32
#define TRIES_MAX 6
#define TOKENS_MIN 16
#define TOKENS_MAX 48
#define WARM_UP_MS 15000.0
#define MEASURED_MS 30000.0
#define FAILURE_AT_MS 5000.0
#define DIRECTORY_DELAY_MS 3000.0
#define LINK_MS 0.5
#define SLOW_LINK_MS 20.0
#define OFFERED 1.1
#define RETRY_MS 20.0

typedef struct {
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t domain;
	uint32_t in_flight;
	uint32_t serving;
	double step_ms;	  /* of one step, alone */
	double report_ms; /* smoothed time from arrival to result */
	bool gone;
	GQueue waiting;
	char name[16];
} bench_endpoint_t;

typedef struct {
	uint32_t entry;
	uint32_t hop;
	uint32_t hop_count;
	uint32_t tokens_left;
	double arrived_ms;
	uint32_t hops[ROUTER_HOPS_MAX];
	bool aborted;
} bench_session_t;

typedef enum {
	EVENT_ARRIVAL,
	EVENT_AT_HOP,
	EVENT_STEP_DONE,
	EVENT_RETRY,
	EVENT_FAILURE,
	EVENT_DIRECTORY
} event_kind_t;

typedef struct {
	double at_ms;
	uint64_t order;
	event_kind_t kind;
	uint32_t subject;
	bench_session_t *session;
} event_t;

typedef struct {
	uint32_t waiting;
	uint32_t own[ENDPOINTS_MAX];
	uint32_t turn[LAYERS + 1];
	bool known_gone[ENDPOINTS_MAX];
	bool retrying;
	router_t *router;
} entry_t;

typedef struct bench_t bench_t;

/* A policy picks a chain; returns the number of hops, 0 if there is none. */
typedef struct {
	const char *name;
	uint32_t (*pick)(bench_t *bench, entry_t *entry, const bool *refused,
			 uint32_t *hops);
} policy_t;

typedef struct {
	const char *name;
	void (*build)(bench_t *bench);
	bool failure;
} layout_t;

struct bench_t {
	bench_endpoint_t endpoints[ENDPOINTS_MAX];
	uint32_t endpoint_count;
	entry_t entries[ENTRIES];
	const layout_t *layout;
	const policy_t *policy;
	GRand *random;
	GArray *events;
	uint64_t event_order;
	double now_ms;
	double bound; /* tokens a second */
	double slow_link_per_s;
	double slow_link_free_ms;
	uint64_t tokens;
};

static bool event_before(const event_t *a, const event_t *b)
{
	if (a->at_ms != b->at_ms)
		return a->at_ms < b->at_ms;
	return a->order < b->order;
}

static void schedule(bench_t *bench, double at_ms, event_kind_t kind,
		     uint32_t subject, bench_session_t *session)
{
	event_t event = { at_ms, bench->event_order++, kind, subject, session };
	guint place = bench->events->len;
	event_t *events;

	g_array_append_val(bench->events, event);
	events = (event_t *)(void *)bench->events->data;
	while (place > 0 && event_before(&event, &events[(place - 1) / 2])) {
		events[place] = events[(place - 1) / 2];
		place = (place - 1) / 2;
	}
	events[place] = event;
}

static event_t next_event(bench_t *bench)
{
	event_t *events = (event_t *)(void *)bench->events->data;
	const event_t first = events[0];
	const guint count = bench->events->len - 1;
	const event_t last = events[count];
	guint place = 0;

	for (;;) {
		guint child = 2 * place + 1;

		if (child >= count)
			break;
		if (child + 1 < count &&
		    event_before(&events[child + 1], &events[child]))
			child++;
		if (!event_before(&events[child], &last))
			break;
		events[place] = events[child];
		place = child;
	}
	events[place] = last;
	g_array_set_size(bench->events, count);
	return first;
}

static msg_load_t load_of(const bench_endpoint_t *endpoint)
{
	return (msg_load_t){
		.endpoint = endpoint->name,
		.in_flight = endpoint->in_flight,
		.slots = SLOTS,
		.step_ms = endpoint->report_ms,
	};
}

static void report(bench_t *bench, entry_t *entry,
		   const bench_endpoint_t *endpoint)
{
	const msg_load_t load = load_of(endpoint);

	router_load(entry->router, &load, (clock_ms_t)bench->now_ms);
}

static uint32_t pick_router(bench_t *bench, entry_t *entry, const bool *refused,
			    uint32_t *hops)
{
	static const route_request_t request = {
		.target = "modelo",
		.layers = LAYERS,
	};
	route_choice_t choice;

	(void)refused;
	if (router_choose(entry->router, &request, (clock_ms_t)bench->now_ms,
			  &choice) != ROUTE_FOUND)
		return 0;
	for (size_t i = 0; i < choice.hop_count; i++)
		hops[i] = (uint32_t)atoi(choice.hops[i].endpoint);
	return (uint32_t)choice.hop_count;
}

/* Marks the layers from which usable endpoints lead to the last layer. */
static void find_viable(const bench_t *bench, const entry_t *entry,
			const bool *refused, bool viable[LAYERS + 1])
{
	memset(viable, 0, (LAYERS + 1) * sizeof(bool));
	viable[LAYERS] = true;
	for (int layer = LAYERS; layer-- > 0;)
		for (uint32_t i = 0; i < bench->endpoint_count; i++) {
			const bench_endpoint_t *endpoint = &bench->endpoints[i];

			if (endpoint->first_layer == (uint32_t)layer &&
			    viable[endpoint->end_layer] && !refused[i] &&
			    !entry->known_gone[i])
				viable[layer] = true;
		}
}

typedef uint32_t (*choose_one_t)(bench_t *bench, entry_t *entry, uint32_t layer,
				 const uint32_t *usable, uint32_t count);

/* Picks a chain hop by hop with a rule for one hop. */
static uint32_t pick_each(bench_t *bench, entry_t *entry, const bool *refused,
			  uint32_t *hops, choose_one_t choose_one)
{
	bool viable[LAYERS + 1];
	uint32_t usable[ENDPOINTS_MAX];
	uint32_t hop_count = 0;
	uint32_t layer = 0;

	find_viable(bench, entry, refused, viable);
	while (layer < LAYERS) {
		uint32_t count = 0;

		for (uint32_t i = 0; i < bench->endpoint_count; i++)
			if (bench->endpoints[i].first_layer == layer &&
			    viable[bench->endpoints[i].end_layer] &&
			    !refused[i] && !entry->known_gone[i])
				usable[count++] = i;
		if (count == 0)
			return 0;
		hops[hop_count] =
			choose_one(bench, entry, layer, usable, count);
		layer = bench->endpoints[hops[hop_count++]].end_layer;
	}
	return hop_count;
}

static uint32_t one_in_turn(bench_t *bench, entry_t *entry, uint32_t layer,
			    const uint32_t *usable, uint32_t count)
{
	(void)bench;
	return usable[entry->turn[layer]++ % count];
}

static uint32_t one_at_random(bench_t *bench, entry_t *entry, uint32_t layer,
			      const uint32_t *usable, uint32_t count)
{
	(void)entry;
	(void)layer;
	return usable[g_rand_int_range(bench->random, 0, (gint32)count)];
}

static uint32_t one_least_busy(bench_t *bench, entry_t *entry, uint32_t layer,
			       const uint32_t *usable, uint32_t count)
{
	const uint32_t start =
		(uint32_t)g_rand_int_range(bench->random, 0, (gint32)count);
	uint32_t best = usable[start];

	(void)layer;
	for (uint32_t i = 0; i < count; i++) {
		const uint32_t at = usable[(start + i) % count];

		if (entry->own[at] < entry->own[best])
			best = at;
	}
	return best;
}

static uint32_t pick_round_robin(bench_t *bench, entry_t *entry,
				 const bool *refused, uint32_t *hops)
{
	return pick_each(bench, entry, refused, hops, one_in_turn);
}

static uint32_t pick_random(bench_t *bench, entry_t *entry, const bool *refused,
			    uint32_t *hops)
{
	return pick_each(bench, entry, refused, hops, one_at_random);
}

static uint32_t pick_least_busy(bench_t *bench, entry_t *entry,
				const bool *refused, uint32_t *hops)
{
	return pick_each(bench, entry, refused, hops, one_least_busy);
}

static const policy_t policies[] = {
	{ "router", pick_router },
	{ "round robin", pick_round_robin },
	{ "random", pick_random },
	{ "least in flight", pick_least_busy },
};

/* Time for a step to go from one domain to another, queueing included. */
static double link_ms(bench_t *bench, uint32_t from, uint32_t to)
{
	double begin_ms;

	if (bench->slow_link_per_s == 0 || from != 0 || to != 1)
		return LINK_MS;
	begin_ms = MAX(bench->now_ms, bench->slow_link_free_ms);
	bench->slow_link_free_ms = begin_ms + 1000 / bench->slow_link_per_s;
	return bench->slow_link_free_ms - bench->now_ms + SLOW_LINK_MS;
}

static void serve(bench_t *bench, bench_endpoint_t *endpoint)
{
	while (endpoint->serving < SERVERS &&
	       !g_queue_is_empty(&endpoint->waiting)) {
		bench_session_t *session = g_queue_pop_head(&endpoint->waiting);
		const double ms = endpoint->step_ms *
				  g_rand_double_range(bench->random, 0.8, 1.2);

		endpoint->serving++;
		schedule(bench, bench->now_ms + ms, EVENT_STEP_DONE,
			 (uint32_t)(endpoint - bench->endpoints), session);
	}
}

static void send_on(bench_t *bench, bench_session_t *session, uint32_t from)
{
	const bench_endpoint_t *next =
		&bench->endpoints[session->hops[session->hop]];
	const double ms =
		link_ms(bench, bench->endpoints[from].domain, next->domain);

	if (session->hop > 0)
		router_link_time(bench->entries[session->entry].router,
				 bench->endpoints[from].name, next->name, ms);
	schedule(bench, bench->now_ms + ms, EVENT_AT_HOP, 0, session);
}

static void reserve(bench_t *bench, uint32_t entry_index, const uint32_t *hops,
		    uint32_t hop_count)
{
	entry_t *entry = &bench->entries[entry_index];
	bench_session_t *session = g_new0(bench_session_t, 1);

	session->entry = entry_index;
	session->hop_count = hop_count;
	session->tokens_left = (uint32_t)g_rand_int_range(
		bench->random, TOKENS_MIN, TOKENS_MAX + 1);
	memcpy(session->hops, hops, hop_count * sizeof(*hops));
	for (uint32_t i = 0; i < hop_count; i++) {
		bench_endpoint_t *endpoint = &bench->endpoints[hops[i]];

		endpoint->in_flight++;
		entry->own[hops[i]]++;
		router_started(entry->router, endpoint->name);
		report(bench, entry, endpoint);
	}
	schedule(bench, bench->now_ms + LINK_MS, EVENT_AT_HOP, 0, session);
}

/* Asks every hop for a slot; marks the one that has none. */
static bool all_accept(bench_t *bench, entry_t *entry, const uint32_t *hops,
		       uint32_t hop_count, bool *refused)
{
	for (uint32_t i = 0; i < hop_count; i++) {
		const bench_endpoint_t *endpoint = &bench->endpoints[hops[i]];

		if (endpoint->gone) {
			entry->known_gone[hops[i]] = true;
			router_failed(entry->router, endpoint->name,
				      (clock_ms_t)bench->now_ms);
			return false;
		}
		if (endpoint->in_flight >= SLOTS) {
			refused[hops[i]] = true;
			report(bench, entry, endpoint);
			return false;
		}
	}
	return true;
}

/* Starts waiting requests until no chain takes one. */
static void dispatch(bench_t *bench, uint32_t entry_index)
{
	entry_t *entry = &bench->entries[entry_index];
	bool refused[ENDPOINTS_MAX] = { false };
	uint32_t tries = 0;

	while (entry->waiting > 0 && tries < TRIES_MAX) {
		uint32_t hops[ROUTER_HOPS_MAX];
		const uint32_t hop_count =
			bench->policy->pick(bench, entry, refused, hops);

		tries++;
		if (hop_count == 0)
			break;
		if (!all_accept(bench, entry, hops, hop_count, refused))
			continue;
		reserve(bench, entry_index, hops, hop_count);
		entry->waiting--;
		tries = 0;
	}
	if (entry->waiting == 0 || entry->retrying)
		return;
	entry->retrying = true;
	schedule(bench, bench->now_ms + RETRY_MS, EVENT_RETRY, entry_index,
		 NULL);
}

static void end_session(bench_t *bench, bench_session_t *session)
{
	entry_t *entry = &bench->entries[session->entry];

	for (uint32_t i = 0; i < session->hop_count; i++) {
		bench_endpoint_t *endpoint =
			&bench->endpoints[session->hops[i]];

		endpoint->in_flight--;
		entry->own[session->hops[i]]--;
		router_finished(entry->router, endpoint->name);
	}
	if (session->aborted)
		entry->waiting++;
	dispatch(bench, session->entry);
	g_free(session);
}

/* Returns whether the chain has lost an endpoint; then the session ends. */
static bool abort_if_lost(bench_t *bench, bench_session_t *session)
{
	entry_t *entry = &bench->entries[session->entry];

	for (uint32_t i = 0; i < session->hop_count; i++) {
		const uint32_t at = session->hops[i];

		if (!bench->endpoints[at].gone)
			continue;
		entry->known_gone[at] = true;
		router_failed(entry->router, bench->endpoints[at].name,
			      (clock_ms_t)bench->now_ms);
		session->aborted = true;
	}
	if (session->aborted)
		end_session(bench, session);
	return session->aborted;
}

static void at_hop(bench_t *bench, bench_session_t *session)
{
	bench_endpoint_t *endpoint =
		&bench->endpoints[session->hops[session->hop]];

	session->arrived_ms = bench->now_ms;
	g_queue_push_tail(&endpoint->waiting, session);
	serve(bench, endpoint);
}

static void step_done(bench_t *bench, uint32_t at, bench_session_t *session)
{
	bench_endpoint_t *endpoint = &bench->endpoints[at];
	const double ms = bench->now_ms - session->arrived_ms;

	endpoint->serving--;
	endpoint->report_ms += endpoint->report_ms == 0
				       ? ms
				       : 0.1 * (ms - endpoint->report_ms);
	serve(bench, endpoint);
	session->hop = (session->hop + 1) % session->hop_count;
	if (session->hop == 0) {
		report(bench, &bench->entries[session->entry],
		       &bench->endpoints[session->hops[0]]);
		bench->tokens += bench->now_ms >= WARM_UP_MS;
		if (--session->tokens_left == 0) {
			end_session(bench, session);
			return;
		}
	}
	send_on(bench, session, at);
}

/* All entries learn which endpoints are there. */
static void update_routers(bench_t *bench)
{
	static const char *const domains[DOMAINS] = { "recife", "jaboatao",
						      "olinda" };
	msg_endpoint_t list[ENDPOINTS_MAX];
	size_t count = 0;

	for (uint32_t i = 0; i < bench->endpoint_count; i++) {
		const bench_endpoint_t *endpoint = &bench->endpoints[i];

		for (uint32_t j = 0; j < ENTRIES; j++)
			bench->entries[j].known_gone[i] = endpoint->gone;
		if (endpoint->gone)
			continue;
		list[count++] = (msg_endpoint_t){
			.name = endpoint->name,
			.instance = endpoint->name,
			.address = "127.0.0.1:1",
			.target = "modelo",
			.first_layer = endpoint->first_layer,
			.end_layer = endpoint->end_layer,
			.slots = SLOTS,
			.failure_domain = domains[endpoint->domain],
			.region = "nordeste",
		};
	}
	for (uint32_t i = 0; i < ENTRIES; i++)
		router_update(bench->entries[i].router, list, count, NULL, 0,
			      (clock_ms_t)bench->now_ms);
}

static void fail_tenth(bench_t *bench)
{
	for (uint32_t i = 0; i < bench->endpoint_count / 10; i++) {
		uint32_t at;

		do
			at = (uint32_t)g_rand_int_range(
				bench->random, 0,
				(gint32)bench->endpoint_count);
		while (bench->endpoints[at].gone);
		bench->endpoints[at].gone = true;
		while (!g_queue_is_empty(&bench->endpoints[at].waiting))
			abort_if_lost(bench,
				      g_queue_pop_head(
					      &bench->endpoints[at].waiting));
	}
	schedule(bench, bench->now_ms + DIRECTORY_DELAY_MS, EVENT_DIRECTORY, 0,
		 NULL);
}

static double bound_of(const bench_t *bench)
{
	const flow_link_t slow = { 0, 1, bench->slow_link_per_s };
	flow_endpoint_t endpoints[ENDPOINTS_MAX];
	flow_layout_t layout = {
		.endpoints = endpoints,
		.links = &slow,
		.link_count = bench->slow_link_per_s > 0,
		.domain_count = DOMAINS,
		.layers = LAYERS,
	};

	for (uint32_t i = 0; i < bench->endpoint_count; i++) {
		const bench_endpoint_t *endpoint = &bench->endpoints[i];

		if (endpoint->gone)
			continue;
		endpoints[layout.endpoint_count++] = (flow_endpoint_t){
			endpoint->first_layer,
			endpoint->end_layer,
			endpoint->domain,
			SERVERS * 1000 / endpoint->step_ms,
		};
	}
	return flow_bound(&layout);
}

static void arrive(bench_t *bench, uint32_t entry_index)
{
	const double mean_ms = ENTRIES * 1000 * (TOKENS_MIN + TOKENS_MAX) /
			       (2 * OFFERED * bench->bound);
	const double wait_ms = -mean_ms * log(1 - g_rand_double(bench->random));

	bench->entries[entry_index].waiting++;
	schedule(bench, bench->now_ms + wait_ms, EVENT_ARRIVAL, entry_index,
		 NULL);
	dispatch(bench, entry_index);
}

static void handle(bench_t *bench, const event_t *event)
{
	if (event->session != NULL && abort_if_lost(bench, event->session)) {
		if (event->kind == EVENT_STEP_DONE) {
			bench->endpoints[event->subject].serving--;
			serve(bench, &bench->endpoints[event->subject]);
		}
		return;
	}
	switch (event->kind) {
	case EVENT_ARRIVAL:
		arrive(bench, event->subject);
		break;
	case EVENT_AT_HOP:
		at_hop(bench, event->session);
		break;
	case EVENT_STEP_DONE:
		step_done(bench, event->subject, event->session);
		break;
	case EVENT_RETRY:
		bench->entries[event->subject].retrying = false;
		dispatch(bench, event->subject);
		break;
	case EVENT_FAILURE:
		fail_tenth(bench);
		bench->bound = bound_of(bench);
		break;
	case EVENT_DIRECTORY:
		update_routers(bench);
		break;
	}
}

static void add(bench_t *bench, uint32_t first, uint32_t end, uint32_t count,
		double step_ms)
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
		add(bench, layer, layer + 3, 12, 10);
}

static void build_slow_kind(bench_t *bench)
{
	for (uint32_t layer = 0; layer < LAYERS; layer += 3) {
		add(bench, layer, layer + 3, 6, 10);
		add(bench, layer, layer + 3, 6, 40);
	}
}

static void build_crossing(bench_t *bench)
{
	for (uint32_t layer = 0; layer < LAYERS; layer += 3)
		add(bench, layer, layer + 3, 6, 10);
	for (uint32_t layer = 0; layer < LAYERS; layer += 4)
		add(bench, layer, layer + 4, 6, 13);
	for (uint32_t layer = 0; layer < LAYERS; layer += 6)
		add(bench, layer, layer + 6, 6, 20);
	add(bench, 3, 8, 4, 17);
}

/* The first domain has less of the later layers than of the first. */
static void build_slow_link(bench_t *bench)
{
	build_even(bench);
	bench->slow_link_per_s = 200;
}

static const layout_t layouts[] = {
	{ "even", build_even, false },
	{ "one kind slow", build_slow_kind, false },
	{ "crossing ranges", build_crossing, false },
	{ "slow link", build_slow_link, false },
	{ "tenth gone", build_even, true },
};

static void start(bench_t *bench, uint32_t seed)
{
	bench->random = g_rand_new_with_seed(seed);
	bench->events = g_array_new(FALSE, FALSE, sizeof(event_t));
	bench->layout->build(bench);
	bench->bound = bound_of(bench);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		bench->entries[i].router =
			router_new("nordeste", "recife", seed * ENTRIES + i);
		schedule(bench, 0, EVENT_ARRIVAL, i, NULL);
	}
	update_routers(bench);
	if (bench->layout->failure)
		schedule(bench, FAILURE_AT_MS, EVENT_FAILURE, 0, NULL);
}

static void finish(bench_t *bench)
{
	while (bench->events->len > 0)
		g_free(next_event(bench).session);
	for (uint32_t i = 0; i < bench->endpoint_count; i++)
		g_queue_clear_full(&bench->endpoints[i].waiting, g_free);
	for (uint32_t i = 0; i < ENTRIES; i++)
		router_free(bench->entries[i].router);
	g_array_free(bench->events, TRUE);
	g_rand_free(bench->random);
}

/* Returns the throughput over the bound. */
static double run(const layout_t *layout, const policy_t *policy, uint32_t seed)
{
	bench_t *bench = g_new0(bench_t, 1);
	double share;

	bench->layout = layout;
	bench->policy = policy;
	start(bench, seed);
	while (bench->events->len > 0) {
		const event_t event = next_event(bench);

		bench->now_ms = event.at_ms;
		if (bench->now_ms > WARM_UP_MS + MEASURED_MS) {
			g_free(event.session);
			break;
		}
		handle(bench, &event);
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
		shares[i] = run(layout, policy, options->first_seed + i);
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
		for (size_t j = 0; j < G_N_ELEMENTS(policies); j++)
			if (options.policy == NULL ||
			    strcmp(options.policy, policies[j].name) == 0)
				measure(&layouts[i], &policies[j], &options);
	}
	return 0;
}
