/*
 * Simulates admission under overload and measures its goodput and fairness, in
 * comparison with a first-in first-out queue and with deficit round robin over
 * requests (Shreedhar and Varghese 1995).  One entry serves a target with a
 * number of slots; two of the customers send most of the load.  In half of the
 * output lines every other customer has longer responses.  Refused clients
 * retry a few times, after the time that the refusal named.
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
#define LARGE_CUSTOMERS 2
#define LARGE_LOAD_SHARE 0.8 /* of the load */
#define SLOTS 64
#define SERVICE_MIN_MS 500
#define SERVICE_MAX_MS 1500
#define LONG_FACTOR 3
#define DEADLINE_MS 5000
#define QUEUE_MS 2000
#define QUEUE_LENGTH 256
#define RETRIES_MAX 3
#define TICK_MS 50
#define WARM_UP_MS 10000
#define END_MS 70000
#define SEEDS_MAX 32

typedef struct {
	uint32_t customer;
	clock_ms_t arrived_ms;
	uint32_t retries;
	double service_ms;
} request_t;

typedef enum {
	POLICY_ADMISSION,
	POLICY_ROUND_ROBIN,
	POLICY_FIFO,
	POLICY_COUNT
} policy_t;

static const char *const policy_names[POLICY_COUNT] = { "admission",
							"round robin",
							"plain queue" };

typedef enum {
	EVENT_ARRIVAL,
	EVENT_RETRY,
	EVENT_DONE,
	EVENT_TICK
} event_kind_t;

typedef struct {
	event_kind_t kind;
	uint32_t index; /* customer or request */
} event_t;

/* Sums over the measured time. */
typedef struct {
	double goodput_ms; /* slot time of responses before their deadline */
	double refused;
	double busy_ms[CUSTOMERS]; /* slot time */
	double refusal_ms;	   /* from arrival to refusal */
} outcome_t;

typedef struct {
	policy_t policy;
	bool long_answers;
	double load_factor;
	GRand *random;
	GPtrArray *calendar[END_MS + LONG_FACTOR * SERVICE_MAX_MS + 1];
	GArray *requests;
	admission_t *admission;
	GQueue queues[CUSTOMERS]; /* FIFO uses only the first */
	double deficits[CUSTOMERS];
	uint32_t next_queue_index;
	uint32_t busy_slots;
	clock_ms_t now_ms;
	preset_contract_t contracts[CUSTOMERS];
	char names[CUSTOMERS][8];
	outcome_t outcome;
} bench_t;

static request_t *request_at(const bench_t *bench, uint32_t number)
{
	return &g_array_index(bench->requests, request_t, number);
}

static void schedule(bench_t *bench, clock_ms_t due_ms, event_kind_t kind,
		     uint32_t index)
{
	event_t *event;

	if (due_ms >= (clock_ms_t)G_N_ELEMENTS(bench->calendar))
		return;
	event = g_new(event_t, 1);
	*event = (event_t){ kind, index };
	if (bench->calendar[due_ms] == NULL)
		bench->calendar[due_ms] =
			g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(bench->calendar[due_ms], event);
}

static bool is_measured(const bench_t *bench)
{
	return bench->now_ms >= WARM_UP_MS && bench->now_ms < END_MS;
}

static clock_ms_t time_limit_ms(const bench_t *bench)
{
	return bench->long_answers ? LONG_FACTOR * DEADLINE_MS : DEADLINE_MS;
}

static admission_offer_t make_offer(const bench_t *bench, uint32_t number)
{
	const request_t *request = request_at(bench, number);

	return (admission_offer_t){
		.customer = bench->names[request->customer],
		.target = "modelo",
		.request = { number, 1 },
		.deadline_ms = request->arrived_ms + time_limit_ms(bench),
		.offered_ms = request->arrived_ms,
	};
}

static void refuse_request(bench_t *bench, uint32_t number,
			   clock_ms_t retry_after_ms)
{
	request_t *request = request_at(bench, number);

	if (is_measured(bench)) {
		bench->outcome.refused++;
		bench->outcome.refusal_ms +=
			(double)(bench->now_ms - request->arrived_ms);
	}
	if (request->retries++ < RETRIES_MAX)
		schedule(bench, bench->now_ms + retry_after_ms, EVENT_RETRY,
			 number);
}

/* Returns the factor by which the customer's responses take longer. */
static int service_factor(const bench_t *bench, uint32_t customer)
{
	return bench->long_answers && customer % 2 == 1 ? LONG_FACTOR : 1;
}

/* Gives an admitted request a slot, or requeues it if no slot is free. */
static void start_request(bench_t *bench, uint32_t number)
{
	const admission_offer_t offer = make_offer(bench, number);
	admission_answer_t answer;
	clock_ms_t service_ms;

	if (bench->busy_slots == SLOTS) {
		answer = admission_requeue(bench->admission, &offer,
					   bench->now_ms);
		if (answer.result == ADMISSION_REFUSED)
			refuse_request(bench, number, answer.retry_after_ms);
		return;
	}
	bench->busy_slots++;
	service_ms = g_rand_int_range(bench->random, SERVICE_MIN_MS,
				      SERVICE_MAX_MS + 1) *
		     service_factor(bench, request_at(bench, number)->customer);
	request_at(bench, number)->service_ms = (double)service_ms;
	if (is_measured(bench))
		bench->outcome.busy_ms[request_at(bench, number)->customer] +=
			(double)service_ms;
	schedule(bench, bench->now_ms + service_ms, EVENT_DONE, number);
}

static bool are_queues_empty(const bench_t *bench)
{
	for (uint32_t i = 0; i < CUSTOMERS; i++)
		if (bench->queues[i].length > 0)
			return false;
	return true;
}

/* Returns the next queue to serve; at least one must not be empty. */
static GQueue *next_queue(bench_t *bench)
{
	if (bench->policy == POLICY_FIFO)
		return &bench->queues[0];
	while (bench->queues[bench->next_queue_index].length == 0 ||
	       bench->deficits[bench->next_queue_index] < 1) {
		if (bench->queues[bench->next_queue_index].length == 0)
			bench->deficits[bench->next_queue_index] = 0;
		bench->next_queue_index =
			(bench->next_queue_index + 1) % CUSTOMERS;
		bench->deficits[bench->next_queue_index] +=
			bench->contracts[bench->next_queue_index]
				.deserved_sessions;
	}
	bench->deficits[bench->next_queue_index] -= 1;
	return &bench->queues[bench->next_queue_index];
}

/* Refuses requests that have waited too long, except with FIFO. */
static void expire_queues(bench_t *bench)
{
	if (bench->policy == POLICY_FIFO)
		return;
	for (uint32_t i = 0; i < CUSTOMERS; i++) {
		GQueue *queue = &bench->queues[i];

		while (!g_queue_is_empty(queue)) {
			const uint32_t number =
				GPOINTER_TO_UINT(g_queue_peek_head(queue));

			if (bench->now_ms -
				    request_at(bench, number)->arrived_ms <
			    QUEUE_MS)
				break;
			g_queue_pop_head(queue);
			refuse_request(bench, number, QUEUE_MS);
		}
	}
}

static void drain_queues(bench_t *bench)
{
	expire_queues(bench);
	while (bench->busy_slots < SLOTS && !are_queues_empty(bench))
		start_request(bench, GPOINTER_TO_UINT(g_queue_pop_head(
					     next_queue(bench))));
}

static void drain(bench_t *bench)
{
	clock_ms_t retry_after_ms;
	handle_t handle;

	if (bench->policy != POLICY_ADMISSION) {
		drain_queues(bench);
		return;
	}
	while (admission_expire(bench->admission, bench->now_ms, &handle,
				&retry_after_ms))
		refuse_request(bench, handle.index, retry_after_ms);
	while (admission_next(bench->admission, bench->now_ms, &handle))
		start_request(bench, handle.index);
}

/* Queues a request; round robin limits the length of each queue. */
static void enqueue(bench_t *bench, uint32_t number)
{
	const uint32_t customer = request_at(bench, number)->customer;
	const bool fifo = bench->policy == POLICY_FIFO;
	GQueue *queue = &bench->queues[fifo ? 0 : customer];

	if (!fifo && queue->length >= QUEUE_LENGTH / CUSTOMERS) {
		refuse_request(bench, number, QUEUE_MS);
		return;
	}
	g_queue_push_tail(queue, GUINT_TO_POINTER(number));
	drain(bench);
}

static void offer_request(bench_t *bench, uint32_t number)
{
	const admission_offer_t offer = make_offer(bench, number);
	admission_answer_t answer;

	if (bench->policy != POLICY_ADMISSION) {
		enqueue(bench, number);
		return;
	}
	answer = admission_offer(bench->admission, &offer, bench->now_ms);
	if (answer.result == ADMISSION_ADMITTED)
		start_request(bench, number);
	else if (answer.result == ADMISSION_REFUSED)
		refuse_request(bench, number, answer.retry_after_ms);
}

static double load_share(uint32_t customer)
{
	return customer < LARGE_CUSTOMERS
		       ? LARGE_LOAD_SHARE / LARGE_CUSTOMERS
		       : (1 - LARGE_LOAD_SHARE) / (CUSTOMERS - LARGE_CUSTOMERS);
}

static void on_arrival(bench_t *bench, uint32_t customer)
{
	const request_t request = { .customer = customer,
				    .arrived_ms = bench->now_ms };
	const double mean_ms =
		service_factor(bench, customer) *
		(SERVICE_MIN_MS + SERVICE_MAX_MS) / 2.0 /
		(bench->load_factor * SLOTS * load_share(customer));
	const double wait_ms = -mean_ms * log(1 - g_rand_double(bench->random));

	/* The event at time 0 only schedules the customer's first arrival. */
	if (bench->now_ms > 0) {
		g_array_append_val(bench->requests, request);
		offer_request(bench, bench->requests->len - 1);
	}
	schedule(bench, bench->now_ms + 1 + (clock_ms_t)wait_ms, EVENT_ARRIVAL,
		 customer);
}

static void retry_request(bench_t *bench, uint32_t number)
{
	request_at(bench, number)->arrived_ms = bench->now_ms;
	offer_request(bench, number);
}

static void finish_request(bench_t *bench, uint32_t number)
{
	const request_t *request = request_at(bench, number);

	bench->busy_slots--;
	if (is_measured(bench) &&
	    bench->now_ms - request->arrived_ms <= time_limit_ms(bench))
		bench->outcome.goodput_ms += request->service_ms;
	if (bench->policy == POLICY_ADMISSION)
		admission_finished(bench->admission,
				   bench->names[request->customer], "modelo", 0,
				   bench->now_ms);
	drain(bench);
}

static void handle_event(bench_t *bench, const event_t *event)
{
	switch (event->kind) {
	case EVENT_ARRIVAL:
		on_arrival(bench, event->index);
		break;
	case EVENT_RETRY:
		retry_request(bench, event->index);
		break;
	case EVENT_DONE:
		finish_request(bench, event->index);
		break;
	case EVENT_TICK:
		drain(bench);
		schedule(bench, bench->now_ms + TICK_MS, EVENT_TICK, 0);
		break;
	}
}

/* The deserved sessions of all customers add up to the number of slots. */
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
		const uint32_t deserved = i < LARGE_CUSTOMERS ? 16 : 4;

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

static outcome_t run(policy_t policy, bool long_answers, double load_factor,
		     uint32_t seed)
{
	bench_t *bench = g_new0(bench_t, 1);
	outcome_t outcome;

	bench->policy = policy;
	bench->long_answers = long_answers;
	bench->load_factor = load_factor;
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
			handle_event(bench, g_ptr_array_index(events, i));
	}
	outcome = bench->outcome;
	for (size_t i = 0; i < G_N_ELEMENTS(bench->calendar); i++)
		if (bench->calendar[i] != NULL)
			g_ptr_array_free(bench->calendar[i], TRUE);
	for (uint32_t i = 0; i < CUSTOMERS; i++)
		g_queue_clear(&bench->queues[i]);
	admission_free(bench->admission);
	g_array_free(bench->requests, TRUE);
	g_rand_free(bench->random);
	g_free(bench);
	return outcome;
}

/*
 * Returns the smallest ratio of any customer between the slots that it used and
 * those that it deserves or requested, whichever is less.
 */
static double min_share_ratio(const outcome_t *outcome, double load_factor)
{
	double smallest = INFINITY;

	for (uint32_t i = 0; i < CUSTOMERS; i++) {
		const double deserved = i < LARGE_CUSTOMERS ? 16 : 4;
		const double requested = load_factor * SLOTS * load_share(i);
		const double used = outcome->busy_ms[i] / (END_MS - WARM_UP_MS);

		smallest = MIN(smallest, used / MIN(deserved, requested));
	}
	return smallest;
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

static void measure(policy_t policy, bool long_answers, double load_factor,
		    const options_t *options)
{
	double goodput[SEEDS_MAX];
	double ratio[SEEDS_MAX];
	double refusal_ms[SEEDS_MAX];

	for (uint32_t i = 0; i < options->seeds; i++) {
		const outcome_t outcome = run(policy, long_answers, load_factor,
					      options->first_seed + i);

		goodput[i] = outcome.goodput_ms / (END_MS - WARM_UP_MS) / SLOTS;
		ratio[i] = min_share_ratio(&outcome, load_factor);
		refusal_ms[i] = outcome.refused > 0
					? outcome.refusal_ms / outcome.refused
					: 0;
	}
	printf("%-12s %-6s %5.1f %8.3f", policy_names[policy],
	       long_answers ? "mixed" : "equal", load_factor,
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
