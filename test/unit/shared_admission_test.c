/*
 * Property tests of shared admission: plays loads above the capacity through the
 * shares of the ranks, the plan, the windows and the queues of several entries,
 * and checks what callers get.  Simulated time; the seed is fixed, or the first
 * argument.
 */
#include "unit.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "wisteria/fleet/admission_shares.h"
#include "wisteria/gateway/flow_plan.h"
#include "wisteria/gateway/shortage.h"
#include "wisteria/gateway/usage.h"
#include "wisteria/gateway/wait_queue.h"

#define ENTRIES 4
#define ENGINES 2
#define CLASSES 3
#define CUSTOMERS 6

/* Figures of docs/design/demand.md. */
#define PLAN_FILL 0.85	      /* of the prefill rate of an endpoint */
#define WINDOW_GOAL_RATIO 0.8 /* of the goal for the first event */
#define REPORT_MS 500
#define SIZE_FLOOR 0.5 /* served, relative to the class */
#define RECOVERED_LOAD 0.9
#define PATIENCE_MS 2000 /* no less than four times the goal */

#define GOAL_MS 500
#define DEADLINE_MS 10000
/* When a caller comes back who does not honour Retry-After. */
#define IMPATIENT_MS 100
/* Weight of the last report in the average demand. */
#define DEMAND_WEIGHT 0.2
#define SHARE_MIN 0.01

/* What is not judged, until the first plans answer the load. */
#define SETTLED_MS 4000
#define SHORTAGE_MS 60000
/* Later requests may come back after the shortage. */
#define JUDGED_MS (SHORTAGE_MS - DEADLINE_MS / 3 - PATIENCE_MS)
/*
 * From then on, a load that the capacity suffices for is served in full: "within
 * seconds", which is read as five.
 */
#define RECOVERED_MS (SHORTAGE_MS + 5000)
#define ARRIVALS_END_MS (RECOVERED_MS + 5000)
#define END_MS (ARRIVALS_END_MS + DEADLINE_MS)

static const double engine_rates[ENGINES] = { 60, 30 }; /* tokens per ms */
static const double entry_parts[ENTRIES] = { 0.5, 0.3, 0.15, 0.05 };
static const double class_parts[CLASSES] = { 0.2, 0.3, 0.5 };
static const double customer_parts[CUSTOMERS] = {
	0.4, 0.2, 0.1, 0.1, 0.1, 0.1
};
static const char *const customers[CUSTOMERS] = {
	"a", "b", "c", "d", "e", "f"
};
static const char *const engine_names[ENGINES] = { "fast", "slow" };

/* Prompts of 100 to 4,000 tokens; each doubling is as frequent as the next. */
#define TOKENS_MIN 100.0
#define TOKENS_DOUBLINGS 5.32
/* From here on, a request is in the largest tenth, or in the largest 0.3. */
#define LARGEST_TENTH (0.9 * TOKENS_DOUBLINGS)
#define LARGEST_THREE_TENTHS (0.7 * TOKENS_DOUBLINGS)
#define TOKENS_MEAN 1057.0

/* Whose requests are more than the capacity suffices for. */
typedef enum {
	EXCESS_ALL,
	EXCESS_MOST_URGENT,
	EXCESS_LEAST_URGENT,
	EXCESS_CUSTOMER,
	EXCESS_LARGE,
	EXCESS_COUNT
} excess_t;

typedef struct {
	double load; /* of the planned capacity at "speed" 1 */
	excess_t excess;
	bool honours; /* callers honour Retry-After */
	double speed; /* of the engines */
} scenario_t;

typedef struct {
	wait_item_t wait;
	unsigned entry;
	unsigned class;
	unsigned customer;
	double doublings; /* of TOKENS_MIN, its size */
	clock_ms_t arrived_ms;
	clock_ms_t attempt_ms;
	unsigned attempts;
	unsigned engine;
	double left_tokens; /* not prefilled */
	bool served;
	bool on_time;
	bool held; /* was refused after it had waited until its expiry */
} request_t;

typedef struct {
	flow_plan_t plan;
	usage_t usage;
	wait_queue_t waiting;
	shortage_t shortage;
	double promoted[REQUEST_RANKS];
	double promotion_credit[REQUEST_RANKS]; /* tokens */
	double arrived_tokens[REQUEST_RANKS];	/* since the last report */
	double demand[REQUEST_RANKS];		/* tokens per ms, average */
	double waiting_tokens[REQUEST_RANKS];	/* at the last report */
} entry_t;

static uint32_t seed = 20261204;
static scenario_t scenario;
static clock_ms_t now_ms;
static GRand *generator;
static entry_t entries[ENTRIES];
static GQueue engines[ENGINES][REQUEST_RANKS]; /* of request_t */
static GPtrArray *requests;		       /* of request_t */
static GSList *due[END_MS];		       /* of request_t, attempts */

static double tokens_of(const request_t *request)
{
	return request->wait.prompt_tokens;
}

static void refuse(request_t *request)
{
	entry_t *entry = &entries[request->entry];
	const shortage_refusal_t refusal = {
		.least_ms = REPORT_MS,
		.left_ms = request->arrived_ms + DEADLINE_MS - now_ms,
		.drawn = g_rand_double(generator),
	};
	clock_ms_t after_ms =
		shortage_refuse(&entry->shortage, &refusal, now_ms);
	clock_ms_t at_ms =
		now_ms + (scenario.honours ? after_ms : IMPATIENT_MS);

	if (request->attempts < 2 && at_ms < END_MS)
		due[at_ms] = g_slist_prepend(due[at_ms], request);
}

/* A flow_usable_t: the window of the page's section 4. */
static bool has_window(const planned_flow_t *flow, void *user)
{
	const request_t *request = user;
	double unread = usage_own_unread(&entries[request->entry].usage,
					 flow->hops[0].endpoint,
					 (int32_t)request->wait.priority);
	const service_flows_t *service =
		flow_plan_find(&entries[request->entry].plan, "s", now_ms);
	double window = flow_plan_window(
		service, flow, (int32_t)request->wait.priority, GOAL_MS);

	return unread <= 0 || unread + tokens_of(request) <= window;
}

/* A wait_start_t. */
static bool start(wait_item_t *item)
{
	request_t *request = CONTAINER_OF(item, request_t, wait);
	entry_t *entry = &entries[request->entry];
	service_flows_t *service = flow_plan_find(&entry->plan, "s", now_ms);
	const planned_flow_t *flow = flow_plan_choose(
		service, tokens_of(request), has_window, request);

	if (flow == NULL)
		return false;
	wait_queue_remove(&entry->waiting, item);
	request->engine =
		strcmp(flow->hops[0].endpoint, engine_names[0]) == 0 ? 0 : 1;
	request->left_tokens = tokens_of(request);
	usage_begin(&entry->usage, flow->hops[0].endpoint, tokens_of(request));
	usage_add_unread(&entry->usage, flow->hops[0].endpoint,
			 (int32_t)item->priority, tokens_of(request));
	g_queue_push_tail(&engines[request->engine][item->priority], request);
	return true;
}

/* Removes a request from the window when it is prefilled or given up. */
static void leave_engine(const request_t *request)
{
	entry_t *entry = &entries[request->entry];
	const char *name = engine_names[request->engine];

	usage_add_unread(&entry->usage, name, (int32_t)request->wait.priority,
			 -tokens_of(request));
	usage_end(&entry->usage, name, tokens_of(request));
}

/* Returns the rank of a new request; some less urgent ones are promoted. */
static uint32_t choose_rank(entry_t *entry, const request_t *request)
{
	return admission_shares_promote(
		       &entry->promotion_credit[request->class],
		       entry->promoted[request->class], tokens_of(request))
		       ? 0
		       : request->class;
}

static void attempt(request_t *request)
{
	entry_t *entry = &entries[request->entry];
	service_flows_t *service = flow_plan_find(&entry->plan, "s", now_ms);
	wait_item_t *displaced = NULL;
	clock_ms_t window_ms = (clock_ms_t)(GOAL_MS * WINDOW_GOAL_RATIO);
	wait_item_t *wait = &request->wait;

	request->attempts++;
	request->attempt_ms = now_ms;
	if (request->attempts == 1)
		wait->priority = choose_rank(entry, request);
	wait->on_time_until_ms = now_ms + GOAL_MS - window_ms;
	wait->expires_ms = now_ms + PATIENCE_MS - window_ms;
	if (!wait_queue_must_wait(&entry->waiting, wait->pool,
				  wait->priority) &&
	    start(wait))
		return;
	if (wait_queue_offer(&entry->waiting, wait,
			     flow_plan_start_rate(service), now_ms,
			     &displaced) == WAIT_REFUSED)
		refuse(request);
	if (displaced == NULL)
		return;
	wait_queue_remove(&entry->waiting, displaced);
	refuse(CONTAINER_OF(displaced, request_t, wait));
}

static void run_queue(entry_t *entry)
{
	wait_item_t *expired;

	wait_queue_update(&entry->waiting, now_ms);
	wait_queue_dispatch(&entry->waiting, start);
	while ((expired = wait_queue_find_expired(&entry->waiting, now_ms)) !=
	       NULL) {
		request_t *request = CONTAINER_OF(expired, request_t, wait);

		wait_queue_remove(&entry->waiting, expired);
		request->held = true;
		refuse(request);
	}
}

/* Prefills for 1 ms, the more urgent first; drops what callers gave up. */
static void run_engine(unsigned engine)
{
	double budget = engine_rates[engine] * scenario.speed;

	for (unsigned rank = 0; rank < REQUEST_RANKS; rank++) {
		GQueue *queue = &engines[engine][rank];

		while (!g_queue_is_empty(queue)) {
			request_t *request = g_queue_peek_head(queue);
			clock_ms_t age_ms = now_ms - request->attempt_ms;
			double prefilled = MIN(budget, request->left_tokens);

			if (age_ms < PATIENCE_MS) {
				budget -= prefilled;
				request->left_tokens -= prefilled;
				if (request->left_tokens > 0)
					break;
				request->served = true;
				request->on_time = age_ms <= GOAL_MS;
			}
			leave_engine(request);
			g_queue_pop_head(queue);
		}
	}
}

static void send_plan(entry_t *entry, double part, uint64_t sequence,
		      const admission_shares_t *shares)
{
	msg_fleet_rank_t ranks[REQUEST_RANKS];
	msg_fleet_hop_t hops[ENGINES];
	msg_fleet_flow_t flows[ENGINES];
	msg_fleet_service_plan_t service = { .service = "s",
					     .flows = flows,
					     .flow_count = ENGINES };
	const msg_fleet_plan_t plan = { .term = 1,
					.sequence = sequence,
					.report_sent_ms = now_ms,
					.services = &service,
					.service_count = 1 };

	for (unsigned i = 0; i < REQUEST_RANKS; i++)
		ranks[i] = (msg_fleet_rank_t){ .promoted = shares->promoted[i],
					       .left = shares->left[i] };
	service.ranks = ranks;
	service.rank_count = REQUEST_RANKS;
	for (unsigned i = 0; i < ENGINES; i++) {
		hops[i] = (msg_fleet_hop_t){ .endpoint = engine_names[i],
					     .end_layer = 1 };
		flows[i] = (msg_fleet_flow_t){
			.tokens_per_s = engine_rates[i] * scenario.speed *
					PLAN_FILL * 1000 * part,
			.hops = &hops[i],
			.hop_count = 1,
		};
		service.share_per_s += flows[i].tokens_per_s;
	}
	CU_ASSERT_TRUE(flow_plan_follow(&entry->plan, &plan, now_ms));
}

static void take_report(entry_t *entry)
{
	const wait_item_t *item;

	memset(entry->waiting_tokens, 0, sizeof(entry->waiting_tokens));
	TAILQ_FOREACH(item, &entry->waiting.items, entry)
	entry->waiting_tokens[item->priority] += item->prompt_tokens;
	for (unsigned rank = 0; rank < REQUEST_RANKS; rank++) {
		entry->demand[rank] +=
			DEMAND_WEIGHT *
			(entry->arrived_tokens[rank] / REPORT_MS -
			 entry->demand[rank]);
		entry->arrived_tokens[rank] = 0;
	}
}

/* The leader: divides the capacity among ranks, and then among entries. */
static void make_plan(double capacity)
{
	double demand[REQUEST_RANKS] = { 0 };
	double waiting[REQUEST_RANKS] = { 0 };
	double admitted[ENTRIES] = { 0 };
	double total = 0;
	admission_shares_t shares;

	for (unsigned i = 0; i < ENTRIES; i++) {
		take_report(&entries[i]);
		for (unsigned rank = 0; rank < REQUEST_RANKS; rank++) {
			demand[rank] += entries[i].demand[rank];
			waiting[rank] += entries[i].waiting_tokens[rank];
		}
	}
	admission_shares_compute(demand, waiting, capacity, &shares);
	for (unsigned i = 0; i < ENTRIES; i++) {
		memcpy(entries[i].promoted, shares.promoted,
		       sizeof(shares.promoted));
		for (unsigned rank = 0; rank < REQUEST_RANKS; rank++)
			admitted[i] +=
				shares.admitted[rank] * entries[i].demand[rank];
		total += admitted[i];
	}
	for (unsigned i = 0; i < ENTRIES; i++)
		send_plan(&entries[i],
			  total > 0 ? MAX(admitted[i] / total, SHARE_MIN)
				    : entry_parts[i],
			  (uint64_t)(now_ms / REPORT_MS) + 1, &shares);
}

static unsigned draw(const double *parts, unsigned count)
{
	double drawn = g_rand_double(generator);
	unsigned i = 0;

	while (i + 1 < count && drawn >= parts[i])
		drawn -= parts[i++];
	return i;
}

static void arrive(bool is_excess)
{
	request_t *request = g_new0(request_t, 1);
	double doublings = g_rand_double_range(generator, 0, TOKENS_DOUBLINGS);

	request->entry = draw(entry_parts, ENTRIES);
	request->class = draw(class_parts, CLASSES);
	request->customer = draw(customer_parts, CUSTOMERS);
	if (is_excess && scenario.excess == EXCESS_MOST_URGENT)
		request->class = 0;
	if (is_excess && scenario.excess == EXCESS_LEAST_URGENT)
		request->class = CLASSES - 1;
	if (is_excess && scenario.excess == EXCESS_CUSTOMER)
		request->customer = 0;
	if (is_excess && scenario.excess == EXCESS_LARGE)
		doublings = TOKENS_DOUBLINGS;
	request->doublings = doublings;
	request->arrived_ms = now_ms;
	request->wait.pool = engine_names;
	request->wait.customer = customers[request->customer];
	request->wait.prompt_tokens = TOKENS_MIN * exp2(doublings);
	entries[request->entry].arrived_tokens[request->class] +=
		tokens_of(request);
	g_ptr_array_add(requests, request);
	attempt(request);
}

/* Lets as many requests arrive at random as "tokens" per ms stand for. */
static void arrive_at_rate(double tokens, bool is_excess)
{
	double mean = is_excess && scenario.excess == EXCESS_LARGE
			      ? TOKENS_MIN * exp2(TOKENS_DOUBLINGS)
			      : TOKENS_MEAN;

	if (g_rand_double(generator) < tokens / mean)
		arrive(is_excess);
}

static void step(double capacity)
{
	double load = now_ms < SHORTAGE_MS ? scenario.load : RECOVERED_LOAD;
	double usual = MIN(load, RECOVERED_LOAD);

	if (now_ms % REPORT_MS == 0)
		make_plan(capacity * scenario.speed);
	if (now_ms < ARRIVALS_END_MS) {
		arrive_at_rate(usual * capacity, false);
		arrive_at_rate((load - usual) * capacity, true);
	}
	for (GSList *i = due[now_ms]; i != NULL; i = i->next)
		attempt(i->data);
	g_slist_free(due[now_ms]);
	due[now_ms] = NULL;
	for (unsigned i = 0; i < ENTRIES; i++)
		run_queue(&entries[i]);
	for (unsigned i = 0; i < ENGINES; i++)
		run_engine(i);
}

/* Plays the scenario; afterwards "requests" holds what callers got. */
static void play(const scenario_t *played)
{
	double capacity = 0;

	scenario = *played;
	generator = g_rand_new_with_seed(seed);
	requests = g_ptr_array_new_with_free_func(g_free);
	memset(entries, 0, sizeof(entries));
	for (unsigned i = 0; i < ENTRIES; i++) {
		flow_plan_init(&entries[i].plan);
		usage_init(&entries[i].usage);
		wait_queue_init(&entries[i].waiting);
	}
	for (unsigned i = 0; i < ENGINES; i++)
		capacity += engine_rates[i] * PLAN_FILL;
	for (now_ms = 0; now_ms < END_MS; now_ms++)
		step(capacity);
	for (unsigned i = 0; i < ENTRIES; i++) {
		CU_ASSERT_EQUAL(entries[i].waiting.count, 0);
		flow_plan_finish(&entries[i].plan);
		usage_finish(&entries[i].usage);
		wait_queue_finish(&entries[i].waiting);
	}
	g_rand_free(generator);
}

/* What a part of the callers got whose requests arrived in a time. */
typedef struct {
	double tokens, served_tokens;
	double count, served, on_time, held;
} outcome_t;

typedef struct {
	outcome_t all;
	outcome_t classes[CLASSES];
	outcome_t in_order[CLASSES];	 /* of these, not promoted */
	outcome_t largest[CLASSES];	 /* tenth */
	outcome_t next_largest[CLASSES]; /* fifth */
	outcome_t customers[CUSTOMERS];
} outcomes_t;

static void count(outcome_t *outcome, const request_t *request)
{
	outcome->tokens += tokens_of(request);
	outcome->served_tokens += request->served ? tokens_of(request) : 0;
	outcome->count++;
	outcome->served += request->served;
	outcome->on_time += request->on_time;
	outcome->held += request->held;
}

static void judge(clock_ms_t from_ms, clock_ms_t to_ms, outcomes_t *outcomes)
{
	memset(outcomes, 0, sizeof(*outcomes));
	for (guint i = 0; i < requests->len; i++) {
		const request_t *request = g_ptr_array_index(requests, i);

		if (request->arrived_ms < from_ms ||
		    request->arrived_ms >= to_ms)
			continue;
		count(&outcomes->all, request);
		count(&outcomes->classes[request->class], request);
		if (request->wait.priority == request->class)
			count(&outcomes->in_order[request->class], request);
		count(&outcomes->customers[request->customer], request);
		if (request->doublings >= LARGEST_TENTH)
			count(&outcomes->largest[request->class], request);
		else if (request->doublings >= LARGEST_THREE_TENTHS)
			count(&outcomes->next_largest[request->class], request);
	}
}

static double part(double some, double all)
{
	return all > 0 ? some / all : 1;
}

static double served_part(const outcome_t *outcome)
{
	return part(outcome->served, outcome->count);
}

static double served_tokens_part(const outcome_t *outcome)
{
	return part(outcome->served_tokens, outcome->tokens);
}

static double on_time_part(const outcome_t *outcome)
{
	return part(outcome->on_time, outcome->count);
}

#define LOADS 4

static const double loads[LOADS] = { 1.2, 1.5, 2, 3 };

typedef struct {
	scenario_t scenario;
	outcomes_t shortage;
	outcomes_t recovered;
} result_t;

/* After each load, whoever causes it and however callers come back. */
static result_t results[LOADS * EXCESS_COUNT * 2];

static void play_and_judge(result_t *result)
{
	play(&result->scenario);
	judge(SETTLED_MS, JUDGED_MS, &result->shortage);
	judge(RECOVERED_MS, ARRIVALS_END_MS, &result->recovered);
	g_ptr_array_unref(requests);
}

static void print_result(const result_t *result)
{
	const outcomes_t *outcomes = &result->shortage;

	printf("\n    load %.1f by %d%s: served %.3f, held %.3f; by class",
	       result->scenario.load, result->scenario.excess,
	       result->scenario.honours ? "" : ", impatient",
	       served_tokens_part(&outcomes->all),
	       part(outcomes->all.held, outcomes->all.count));
	for (int i = 0; i < CLASSES; i++)
		printf(" %.3f (%.3f on time)",
		       served_tokens_part(&outcomes->classes[i]),
		       on_time_part(&outcomes->classes[i]));
	printf("; then %.0f of %.0f ", result->recovered.all.served,
	       result->recovered.all.count);
}

/* Guards against plays that do not run; the other tests judge the results. */
static void test_plays(void)
{
	for (size_t i = 0; i < ARRAY_SIZE(results); i++) {
		results[i].scenario = (scenario_t){
			.load = loads[i / (EXCESS_COUNT * 2)],
			.excess = (excess_t)(i / 2 % EXCESS_COUNT),
			.honours = i % 2 == 1,
			.speed = 1,
		};
		play_and_judge(&results[i]);
		print_result(&results[i]);
		CU_ASSERT(results[i].shortage.all.count > 0);
		CU_ASSERT(results[i].recovered.all.count > 0);
	}
}

/* Guards against a class that starves: R5, 0.3 of the served fraction of all. */
static void test_no_class_starves(void)
{
	for (size_t i = 0; i < ARRAY_SIZE(results); i++) {
		const outcomes_t *outcomes = &results[i].shortage;

		for (int j = 0; j < CLASSES; j++)
			CU_ASSERT(served_tokens_part(&outcomes->classes[j]) >=
				  ADMISSION_SHARES_FLOOR *
					  served_tokens_part(&outcomes->all));
	}
}

/* Guards against a customer that starves; R5 has no other figure for these. */
static void test_no_customer_starves(void)
{
	for (size_t i = 0; i < ARRAY_SIZE(results); i++) {
		const outcomes_t *outcomes = &results[i].shortage;

		for (int j = 0; j < CUSTOMERS; j++)
			CU_ASSERT(served_tokens_part(&outcomes->customers[j]) >=
				  ADMISSION_SHARES_FLOOR *
					  served_tokens_part(&outcomes->all));
	}
}

/* Guards against large requests that starve: R5, half as often as the class. */
static void test_no_size_starves(void)
{
	for (size_t i = 0; i < ARRAY_SIZE(results); i++) {
		const outcomes_t *outcomes = &results[i].shortage;

		for (int j = 0; j < CLASSES; j++) {
			double least =
				SIZE_FLOOR * served_part(&outcomes->classes[j]);

			CU_ASSERT(served_part(&outcomes->largest[j]) >= least);
			CU_ASSERT(served_part(&outcomes->next_largest[j]) >=
				  least);
		}
	}
}

/*
 * Guards against a less urgent class that is on time at the cost of a more
 * urgent one.  Promoted requests do not count: they are the minimum of R5.
 */
static void test_more_urgent_classes_are_on_time_more_often(void)
{
	for (size_t i = 0; i < ARRAY_SIZE(results); i++) {
		const outcome_t *classes = results[i].shortage.in_order;

		for (int j = 1; j < CLASSES; j++)
			CU_ASSERT(on_time_part(&classes[j]) <=
				  on_time_part(&classes[j - 1]));
	}
}

/* Guards against a shortage that outlasts its cause: R8, all are served. */
static void test_all_are_served_after_the_shortage(void)
{
	for (size_t i = 0; i < ARRAY_SIZE(results); i++)
		CU_ASSERT_EQUAL(results[i].recovered.all.served,
				results[i].recovered.all.count);
}

/* Guards against a class that is served less when engines are added. */
static void test_more_capacity_serves_no_class_less(void)
{
	static const double speeds[] = { 1, 1.25, 1.5, 2 };
	outcomes_t before;

	for (size_t i = 0; i < ARRAY_SIZE(speeds); i++) {
		result_t result = { .scenario = { 3, EXCESS_ALL, true,
						  speeds[i] } };

		play_and_judge(&result);
		for (int j = 0; i > 0 && j < CLASSES; j++)
			CU_ASSERT(served_tokens_part(
					  &result.shortage.classes[j]) >=
				  served_tokens_part(&before.classes[j]));
		before = result.shortage;
	}
}

static const unit_test_t tests[] = {
	{ "plays", test_plays },
	{ "no class starves", test_no_class_starves },
	{ "no customer starves", test_no_customer_starves },
	{ "no size starves", test_no_size_starves },
	{ "more urgent classes are on time more often",
	  test_more_urgent_classes_are_on_time_more_often },
	{ "all are served after the shortage",
	  test_all_are_served_after_the_shortage },
	{ "more capacity serves no class less",
	  test_more_capacity_serves_no_class_less },
};

int main(int argc, char **argv)
{
	if (argc > 1)
		seed = (uint32_t)strtoul(argv[1], NULL, 10);
	return unit_run("shared_admission", tests, ARRAY_SIZE(tests));
}
