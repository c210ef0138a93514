/*
 * Measures goodput and fairness of admission under overload, next to a plain
 * first-in first-out queue and to deficit round robin over requests (Shreedhar
 * and Varghese 1995): one entry, a target with a number of slots, and
 * customers of which two send most of the load.  In half of the lines every
 * other customer's answers are longer.  Refused callers come back when they
 * were told to, a few times.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argp.h>
#include <glib.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>

#include "wisteria/limits/admission.h"

#define CUSTOMERS 10
#define LARGE 2
#define LARGE_SHARE 0.8 /* of the load */
#define SLOTS 64
#define SERVICE_MIN_MS 500
#define SERVICE_MAX_MS 1500
#define LONG_FACTOR 3
#define DEADLINE_MS 5000
#define QUEUE_MS 2000
#define QUEUE_LENGTH 256
#define COMEBACKS_MAX 3
#define TICK_MS 50
#define WARM_UP_MS 10000
#define END_MS 70000
#define SEEDS_MAX 32

typedef struct {
	uint32_t customer;
	clock_ms_t arrived_ms;
	uint32_t comebacks;
	double service_ms;
} request_t;

typedef enum {
	POLICY_ADMISSION,
	POLICY_ROUND_ROBIN,
	POLICY_PLAIN,
	POLICY_COUNT
} policy_t;

static const char *const policy_names[POLICY_COUNT] = { "admission",
							"round robin",
							"plain queue" };

typedef enum {
	EVENT_ARRIVAL,
	EVENT_BACK,
	EVENT_DONE,
	EVENT_TICK
} event_kind_t;

typedef struct {
	event_kind_t kind;
	uint32_t subject; /* customer or request */
} event_t;

/* What happened in the measured time. */
typedef struct {
	double good_ms; /* slots times time of answers in time */
	double refused;
	double busy_ms[CUSTOMERS]; /* slots times time */
	double refusal_ms;	   /* until the final answer */
} outcome_t;

typedef struct {
	policy_t policy;
	bool long_answers;
	double offered;
	GRand *random;
	GPtrArray *calendar[END_MS + LONG_FACTOR * SERVICE_MAX_MS + 1];
	GArray *requests;
	admission_t *admission;
	GQueue lines[CUSTOMERS]; /* the plain queue uses the first */
	double deficits[CUSTOMERS];
	uint32_t turn;
	uint32_t busy;
	clock_ms_t now_ms;
	preset_contract_t contracts[CUSTOMERS];
	char names[CUSTOMERS][8];
	outcome_t outcome;
} bench_t;

static request_t *request_at(const bench_t *bench, uint32_t number)
{
	return &g_array_index(bench->requests, request_t, number);
}

static void schedule(bench_t *bench, clock_ms_t at_ms, event_kind_t kind,
		     uint32_t subject)
{
	event_t *event;

	if (at_ms >= (clock_ms_t)G_N_ELEMENTS(bench->calendar))
		return;
	event = g_new(event_t, 1);
	*event = (event_t){ kind, subject };
	if (bench->calendar[at_ms] == NULL)
		bench->calendar[at_ms] = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(bench->calendar[at_ms], event);
}

static bool is_measured(const bench_t *bench)
{
	return bench->now_ms >= WARM_UP_MS && bench->now_ms < END_MS;
}

static clock_ms_t deadline_of(const bench_t *bench)
{
	return bench->long_answers ? LONG_FACTOR * DEADLINE_MS : DEADLINE_MS;
}

static admission_offer_t offer_of(const bench_t *bench, uint32_t number)
{
	const request_t *request = request_at(bench, number);

	return (admission_offer_t){
		.customer = bench->names[request->customer],
		.target = "modelo",
		.request = { number, 1 },
		.deadline_ms = request->arrived_ms + deadline_of(bench),
		.offered_ms = request->arrived_ms,
	};
}

static void refuse(bench_t *bench, uint32_t number, clock_ms_t retry_after_ms)
{
	request_t *request = request_at(bench, number);

	if (is_measured(bench)) {
		bench->outcome.refused++;
		bench->outcome.refusal_ms +=
			(double)(bench->now_ms - request->arrived_ms);
	}
	if (request->comebacks++ < COMEBACKS_MAX)
		schedule(bench, bench->now_ms + retry_after_ms, EVENT_BACK,
			 number);
}

/* How many times the usual the customer's answers take. */
static int length_of(const bench_t *bench, uint32_t customer)
{
	return bench->long_answers && customer % 2 == 1 ? LONG_FACTOR : 1;
}

/* A request that was let in takes a slot; without one it goes back. */
static void start(bench_t *bench, uint32_t number)
{
	const admission_offer_t offer = offer_of(bench, number);
	admission_answer_t answer;
	clock_ms_t service_ms;

	if (bench->busy == SLOTS) {
		answer = admission_requeue(bench->admission, &offer,
					   bench->now_ms);
		if (answer.result == ADMISSION_REFUSED)
			refuse(bench, number, answer.retry_after_ms);
		return;
	}
	bench->busy++;
	service_ms = g_rand_int_range(bench->random, SERVICE_MIN_MS,
				      SERVICE_MAX_MS + 1) *
		     length_of(bench, request_at(bench, number)->customer);
	request_at(bench, number)->service_ms = (double)service_ms;
	if (is_measured(bench))
		bench->outcome.busy_ms[request_at(bench, number)->customer] +=
			(double)service_ms;
	schedule(bench, bench->now_ms + service_ms, EVENT_DONE, number);
}

static bool all_lines_empty(const bench_t *bench)
{
	for (uint32_t i = 0; i < CUSTOMERS; i++)
		if (bench->lines[i].length > 0)
			return false;
	return true;
}

/* Returns the line whose turn it is; at least one isn't empty. */
static GQueue *next_line(bench_t *bench)
{
	if (bench->policy == POLICY_PLAIN)
		return &bench->lines[0];
	while (bench->lines[bench->turn].length == 0 ||
	       bench->deficits[bench->turn] < 1) {
		if (bench->lines[bench->turn].length == 0)
			bench->deficits[bench->turn] = 0;
		bench->turn = (bench->turn + 1) % CUSTOMERS;
		bench->deficits[bench->turn] +=
			bench->contracts[bench->turn].deserved_sessions;
	}
	bench->deficits[bench->turn] -= 1;
	return &bench->lines[bench->turn];
}

/* Refuses what has waited too long, except in the plain queue. */
static void expire_lines(bench_t *bench)
{
	if (bench->policy == POLICY_PLAIN)
		return;
	for (uint32_t i = 0; i < CUSTOMERS; i++) {
		GQueue *line = &bench->lines[i];

		while (!g_queue_is_empty(line)) {
			const uint32_t number =
				GPOINTER_TO_UINT(g_queue_peek_head(line));

			if (bench->now_ms -
				    request_at(bench, number)->arrived_ms <
			    QUEUE_MS)
				break;
			g_queue_pop_head(line);
			refuse(bench, number, QUEUE_MS);
		}
	}
}

static void drain_lines(bench_t *bench)
{
	expire_lines(bench);
	while (bench->busy < SLOTS && !all_lines_empty(bench))
		start(bench,
		      GPOINTER_TO_UINT(g_queue_pop_head(next_line(bench))));
}

static void drain(bench_t *bench)
{
	clock_ms_t retry_after_ms;
	handle_t handle;

	if (bench->policy != POLICY_ADMISSION) {
		drain_lines(bench);
		return;
	}
	while (admission_expire(bench->admission, bench->now_ms, &handle,
				&retry_after_ms))
		refuse(bench, handle.index, retry_after_ms);
	while (admission_next(bench->admission, bench->now_ms, &handle))
		start(bench, handle.index);
}

/* Puts a request into its line; round robin bounds each one's part. */
static void line_up(bench_t *bench, uint32_t number)
{
	const uint32_t customer = request_at(bench, number)->customer;
	const bool plain = bench->policy == POLICY_PLAIN;
	GQueue *line = &bench->lines[plain ? 0 : customer];

	if (!plain && line->length >= QUEUE_LENGTH / CUSTOMERS) {
		refuse(bench, number, QUEUE_MS);
		return;
	}
	g_queue_push_tail(line, GUINT_TO_POINTER(number));
	drain(bench);
}

static void offer(bench_t *bench, uint32_t number)
{
	const admission_offer_t offered = offer_of(bench, number);
	admission_answer_t answer;

	if (bench->policy != POLICY_ADMISSION) {
		line_up(bench, number);
		return;
	}
	answer = admission_offer(bench->admission, &offered, bench->now_ms);
	if (answer.result == ADMISSION_ADMITTED)
		start(bench, number);
	else if (answer.result == ADMISSION_REFUSED)
		refuse(bench, number, answer.retry_after_ms);
}

static double share_of(uint32_t customer)
{
	return customer < LARGE ? LARGE_SHARE / LARGE
				: (1 - LARGE_SHARE) / (CUSTOMERS - LARGE);
}

static void arrive(bench_t *bench, uint32_t customer)
{
	const request_t request = { .customer = customer,
				    .arrived_ms = bench->now_ms };
	const double mean_ms = length_of(bench, customer) *
			       (SERVICE_MIN_MS + SERVICE_MAX_MS) / 2.0 /
			       (bench->offered * SLOTS * share_of(customer));
	const double wait_ms = -mean_ms * log(1 - g_rand_double(bench->random));

	if (bench->now_ms > 0) {
		g_array_append_val(bench->requests, request);
		offer(bench, bench->requests->len - 1);
	}
	schedule(bench, bench->now_ms + 1 + (clock_ms_t)wait_ms, EVENT_ARRIVAL,
		 customer);
}

static void come_back(bench_t *bench, uint32_t number)
{
	request_at(bench, number)->arrived_ms = bench->now_ms;
	offer(bench, number);
}

static void done(bench_t *bench, uint32_t number)
{
	const request_t *request = request_at(bench, number);

	bench->busy--;
	if (is_measured(bench) &&
	    bench->now_ms - request->arrived_ms <= deadline_of(bench))
		bench->outcome.good_ms += request->service_ms;
	if (bench->policy == POLICY_ADMISSION)
		admission_finished(bench->admission,
				   bench->names[request->customer], "modelo", 0,
				   bench->now_ms);
	drain(bench);
}

static void handle(bench_t *bench, const event_t *event)
{
	switch (event->kind) {
	case EVENT_ARRIVAL:
		arrive(bench, event->subject);
		break;
	case EVENT_BACK:
		come_back(bench, event->subject);
		break;
	case EVENT_DONE:
		done(bench, event->subject);
		break;
	case EVENT_TICK:
		drain(bench);
		schedule(bench, bench->now_ms + TICK_MS, EVENT_TICK, 0);
		break;
	}
}

/* Large and small customers deserve all slots between them. */
static void set_contracts(bench_t *bench)
{
	msg_share_t shares[CUSTOMERS];
	preset_t preset = {
		.contracts = bench->contracts,
		.contracts_count = CUSTOMERS,
		.limits = { .queue_length = QUEUE_LENGTH,
			    .queue_ms = QUEUE_MS },
	};

	for (uint32_t i = 0; i < CUSTOMERS; i++) {
		const uint32_t deserved = i < LARGE ? 16 : 4;

		g_snprintf(bench->names[i], sizeof(bench->names[i]), "c%u", i);
		bench->contracts[i] = (preset_contract_t){
			.customer = bench->names[i],
			.guarantee_sessions = deserved / 2,
			.deserved_sessions = deserved,
			.capability_sessions = SLOTS,
		};
		shares[i] = (msg_share_t){
			.customer = bench->names[i],
			.sessions = SLOTS,
			.capability = SLOTS,
		};
	}
	admission_set_contracts(bench->admission, &preset, shares, CUSTOMERS,
				0);
}

static outcome_t run(policy_t policy, bool long_answers, double offered,
		     uint32_t seed)
{
	bench_t *bench = g_new0(bench_t, 1);
	outcome_t outcome;

	bench->policy = policy;
	bench->long_answers = long_answers;
	bench->offered = offered;
	bench->random = g_rand_new_with_seed(seed);
	bench->requests = g_array_new(FALSE, FALSE, sizeof(request_t));
	bench->admission = admission_new();
	set_contracts(bench);
	for (uint32_t i = 0; i < CUSTOMERS; i++)
		schedule(bench, 0, EVENT_ARRIVAL, i);
	schedule(bench, 0, EVENT_TICK, 0);
	for (; bench->now_ms < END_MS; bench->now_ms++) {
		GPtrArray *events = bench->calendar[bench->now_ms];

		for (guint i = 0; events != NULL && i < events->len; i++)
			handle(bench, g_ptr_array_index(events, i));
	}
	outcome = bench->outcome;
	for (size_t i = 0; i < G_N_ELEMENTS(bench->calendar); i++)
		if (bench->calendar[i] != NULL)
			g_ptr_array_free(bench->calendar[i], TRUE);
	for (uint32_t i = 0; i < CUSTOMERS; i++)
		g_queue_clear(&bench->lines[i]);
	admission_free(bench->admission);
	g_array_free(bench->requests, TRUE);
	g_rand_free(bench->random);
	g_free(bench);
	return outcome;
}

/* The least use of any customer over what it deserves or asks for. */
static double least_ratio(const outcome_t *outcome, double offered)
{
	double least = INFINITY;

	for (uint32_t i = 0; i < CUSTOMERS; i++) {
		const double deserved = i < LARGE ? 16 : 4;
		const double asked = offered * SLOTS * share_of(i);
		const double used = outcome->busy_ms[i] / (END_MS - WARM_UP_MS);

		least = MIN(least, used / MIN(deserved, asked));
	}
	return least;
}

static double median_of(double *values, uint32_t count)
{
	gsl_sort(values, 1, count);
	return gsl_stats_median_from_sorted_data(values, 1, count);
}

typedef struct {
	uint32_t seeds;
	uint32_t first_seed;
} options_t;

static void measure(policy_t policy, bool long_answers, double offered,
		    const options_t *options)
{
	double goodput[SEEDS_MAX];
	double ratio[SEEDS_MAX];
	double refusal_ms[SEEDS_MAX];

	for (uint32_t i = 0; i < options->seeds; i++) {
		const outcome_t outcome = run(policy, long_answers, offered,
					      options->first_seed + i);

		goodput[i] = outcome.good_ms / (END_MS - WARM_UP_MS) / SLOTS;
		ratio[i] = least_ratio(&outcome, offered);
		refusal_ms[i] = outcome.refused > 0
					? outcome.refusal_ms / outcome.refused
					: 0;
	}
	printf("%-12s %-6s %5.1f %8.3f", policy_names[policy],
	       long_answers ? "mixed" : "equal", offered,
	       median_of(goodput, options->seeds));
	printf(" %6.3f %6.3f %9.3f %12.0f\n", goodput[0],
	       goodput[options->seeds - 1], median_of(ratio, options->seeds),
	       median_of(refusal_ms, options->seeds));
}

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
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp_option option_list[] = {
		{ "seeds", 's', "N", 0, "Runs of each line (5)", 0 },
		{ "first-seed", 'f', "N", 0, "Seed of the first run (1)", 0 },
		{ 0 }
	};
	static const struct argp argp = {
		.options = option_list,
		.parser = parse_option,
		.doc = "Goodput and fairness of admission under overload",
	};
	static const double loads[] = { 0.8, 1, 2, 3 };
	options_t options = { .seeds = 5, .first_seed = 1 };

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	printf("%-12s %-6s %5s %8s %6s %6s %9s %12s\n", "policy", "length",
	       "load", "goodput", "min", "max", "fairness", "refused ms");
	for (int mixed = 0; mixed < 2; mixed++)
		for (int policy = 0; policy < POLICY_COUNT; policy++)
			for (size_t i = 0; i < G_N_ELEMENTS(loads); i++)
				measure((policy_t)policy, mixed == 1, loads[i],
					&options);
	return 0;
}
