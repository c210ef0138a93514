/* Unit tests of the wait queue, with simulated load. */
#include "unit.h"

#include <math.h>

#include <glib.h>

#include "wisteria/gateway/wait_queue.h"

static const int pool_a;
static const int pool_b;

static unsigned free_slots;
static wait_queue_t queue;
static wait_item_t *started[16];
static unsigned started_count;

static bool start_one(wait_item_t *item)
{
	if (free_slots == 0)
		return false;
	free_slots--;
	wait_queue_remove(&queue, item);
	if (started_count < ARRAY_SIZE(started))
		started[started_count] = item;
	started_count++;
	return true;
}

static bool start_b_only(wait_item_t *item)
{
	return item->pool == &pool_b && start_one(item);
}

static void test_priority_then_arrival(void)
{
	wait_item_t items[] = {
		{ .pool = &pool_a, .priority = 1 },
		{ .pool = &pool_a, .priority = 1 },
		{ .pool = &pool_a, .priority = 0 },
	};

	wait_queue_init(&queue);
	for (size_t i = 0; i < ARRAY_SIZE(items); i++)
		wait_queue_push(&queue, &items[i]);
	CU_ASSERT_TRUE(wait_queue_must_wait(&queue, &pool_a, 1));
	CU_ASSERT_FALSE(wait_queue_must_wait(&queue, &pool_b, 1));
	started_count = 0;
	free_slots = 2;
	wait_queue_dispatch(&queue, start_one);
	CU_ASSERT_EQUAL(started_count, 2);
	CU_ASSERT_PTR_EQUAL(started[0], &items[2]);
	CU_ASSERT_PTR_EQUAL(started[1], &items[0]);
	CU_ASSERT_EQUAL(queue.count, 1);
}

static void test_pools_do_not_block_each_other(void)
{
	wait_item_t items[] = { { .pool = &pool_a }, { .pool = &pool_b } };

	wait_queue_init(&queue);
	wait_queue_push(&queue, &items[0]);
	wait_queue_push(&queue, &items[1]);
	started_count = 0;
	free_slots = 5;
	wait_queue_dispatch(&queue, start_b_only);
	CU_ASSERT_EQUAL(started_count, 1);
	CU_ASSERT_PTR_EQUAL(started[0], &items[1]);
}

static void test_expiry(void)
{
	wait_item_t items[] = { { .pool = &pool_a, .expires_ms = 20 },
				{ .pool = &pool_a, .expires_ms = 10 } };

	wait_queue_init(&queue);
	wait_queue_push(&queue, &items[0]);
	wait_queue_push(&queue, &items[1]);
	CU_ASSERT_PTR_NULL(wait_queue_find_expired(&queue, 9));
	CU_ASSERT_PTR_EQUAL(wait_queue_find_expired(&queue, 10), &items[1]);
	wait_queue_remove(&queue, &items[1]);
	wait_queue_remove(&queue, &items[1]);
	CU_ASSERT_EQUAL(queue.count, 1);
}

/* Starts everything that is queued; returns the names of the customers. */
static const char *start_all(char *names, size_t size)
{
	started_count = 0;
	free_slots = ARRAY_SIZE(started);
	wait_queue_dispatch(&queue, start_one);
	CU_ASSERT_FATAL(started_count < size);
	for (unsigned i = 0; i < started_count; i++)
		names[i] = started[i]->customer[0];
	names[started_count] = '\0';
	return names;
}

static void push_for(wait_item_t *item, const char *customer, double tokens)
{
	*item = (wait_item_t){ .pool = &pool_a,
			       .customer = customer,
			       .prompt_tokens = tokens };
	wait_queue_push(&queue, item);
}

/* Guards against a customer that delays others by sending many requests. */
static void test_customers_take_turns(void)
{
	wait_item_t items[6];
	char names[16];

	wait_queue_init(&queue);
	for (size_t i = 0; i < 4; i++)
		push_for(&items[i], "a", 512);
	push_for(&items[4], "b", 512);
	push_for(&items[5], "b", 512);
	CU_ASSERT_STRING_EQUAL(start_all(names, sizeof(names)), "ababaa");
	wait_queue_finish(&queue);
}

/* Guards against turns that count requests instead of prompt tokens. */
static void test_turns_count_tokens(void)
{
	wait_item_t items[6];
	char names[16];

	wait_queue_init(&queue);
	push_for(&items[0], "a", 1536);
	push_for(&items[1], "a", 1536);
	for (size_t i = 2; i < 6; i++)
		push_for(&items[i], "b", 512);
	CU_ASSERT_STRING_EQUAL(start_all(names, sizeof(names)), "abbbab");
	wait_queue_finish(&queue);
}

/*
 * Guards against a customer that pays for requests that were never started, as
 * those of its callers who gave up.
 */
static void test_unstarted_requests_use_no_turn(void)
{
	wait_item_t items[6];
	char names[16];

	wait_queue_init(&queue);
	for (size_t i = 0; i < 4; i++)
		push_for(&items[i], "a", 512);
	push_for(&items[4], "b", 512);
	push_for(&items[5], "b", 512);
	wait_queue_remove(&queue, &items[0]);
	wait_queue_remove(&queue, &items[1]);
	CU_ASSERT_STRING_EQUAL(start_all(names, sizeof(names)), "abab");
	wait_queue_finish(&queue);
}

/*
 * Guards against a request that starves although others of its rank are
 * started: there is always a newcomer with a single request.
 */
static void test_newcomers_do_not_starve_a_second_request(void)
{
	static const char *const newcomers[] = { "b", "c", "d", "e" };
	wait_item_t items[64];
	wait_item_t patient[2];
	unsigned starts = 0;

	wait_queue_init(&queue);
	push_for(&patient[0], "a", 4000);
	push_for(&patient[1], "a", 4000);
	push_for(&items[0], "b", 100);
	for (size_t i = 1; i < ARRAY_SIZE(items) && patient[1].queued; i++) {
		push_for(&items[i], newcomers[i % ARRAY_SIZE(newcomers)], 100);
		free_slots = 1;
		wait_queue_dispatch(&queue, start_one);
		starts++;
	}
	/* Each of the others has at most 100 tokens in each of 8 rounds. */
	CU_ASSERT(starts <= 1 + 8 * ARRAY_SIZE(newcomers));
	CU_ASSERT_FALSE(patient[1].queued);
	wait_queue_finish(&queue);
}

#define CUSTOMERS 4
#define BACKLOG 8
#define TOKENS_MAX 4000

/*
 * Guards against customers who get more than others by the size of their
 * requests: with a lasting backlog of each, what two have got never differs by
 * more than a round and a request of each.
 */
static void test_customers_get_equal_tokens(void)
{
	static const char *const names[CUSTOMERS] = { "a", "b", "c", "d" };
	static const int largest[CUSTOMERS] = { 50, 500, 2000, TOKENS_MAX };
	wait_item_t items[CUSTOMERS][BACKLOG];
	double got[CUSTOMERS] = { 0 };
	GRand *random = g_rand_new_with_seed(20261204);

	wait_queue_init(&queue);
	for (int i = 0; i < CUSTOMERS; i++)
		for (int j = 0; j < BACKLOG; j++)
			push_for(&items[i][j], names[i],
				 g_rand_int_range(random, 1, largest[i]));
	for (int n = 0; n < 20000; n++) {
		double least = INFINITY;
		double most = 0;

		started_count = 0;
		free_slots = 1;
		wait_queue_dispatch(&queue, start_one);
		for (int i = 0; i < CUSTOMERS; i++) {
			if (started[0] >= items[i] &&
			    started[0] < items[i] + BACKLOG) {
				got[i] += started[0]->prompt_tokens;
				push_for(started[0], names[i],
					 g_rand_int_range(random, 1,
							  largest[i]));
			}
			least = MIN(least, got[i]);
			most = MAX(most, got[i]);
		}
		CU_ASSERT(most - least <= 512 + 2 * TOKENS_MAX);
	}
	g_rand_free(random);
	wait_queue_finish(&queue);
}

/*
 * Guards against another order where a deployment states neither customers nor
 * tokens nor times: by priority, then by arrival.
 */
static void test_order_without_statements_is_unchanged(void)
{
	wait_item_t items[ARRAY_SIZE(started)];
	GRand *random = g_rand_new_with_seed(20261204);

	for (int n = 0; n < 1000; n++) {
		wait_item_t *displaced;

		wait_queue_init(&queue);
		for (size_t i = 0; i < ARRAY_SIZE(items); i++) {
			items[i] = (wait_item_t){
				.pool = &pool_a,
				.priority = (uint32_t)g_rand_int_range(random,
								       0, 4),
				.expires_ms = 1,
			};
			CU_ASSERT_EQUAL(wait_queue_offer(&queue, &items[i], 1,
							 1, &displaced),
					WAIT_QUEUED);
			wait_queue_update(&queue,
					  g_rand_int_range(random, 0, 9));
		}
		started_count = 0;
		free_slots = ARRAY_SIZE(items);
		wait_queue_dispatch(&queue, start_one);
		CU_ASSERT_EQUAL_FATAL(started_count, ARRAY_SIZE(items));
		for (size_t i = 1; i < ARRAY_SIZE(items); i++)
			CU_ASSERT(started[i - 1]->priority <
					  started[i]->priority ||
				  (started[i - 1]->priority ==
					   started[i]->priority &&
				   started[i - 1] < started[i]));
		CU_ASSERT_PTR_NULL(queue.turns);
	}
	g_rand_free(random);
}

/*
 * Guards against capacity that is spent on requests that are late anyway while
 * others become late; and against a late one that passes a more urgent one.
 */
static void test_late_requests_wait_behind_others(void)
{
	wait_item_t items[] = {
		{ .pool = &pool_a, .priority = 1, .on_time_until_ms = 10 },
		{ .pool = &pool_a, .priority = 1, .on_time_until_ms = 20 },
		{ .pool = &pool_a, .priority = 2, .on_time_until_ms = 20 },
	};

	wait_queue_init(&queue);
	for (size_t i = 0; i < ARRAY_SIZE(items); i++)
		wait_queue_push(&queue, &items[i]);
	wait_queue_update(&queue, 10);
	CU_ASSERT_FALSE(items[0].is_late);
	wait_queue_update(&queue, 11);
	CU_ASSERT_TRUE(items[0].is_late);
	started_count = 0;
	free_slots = 5;
	wait_queue_dispatch(&queue, start_one);
	CU_ASSERT_PTR_EQUAL(started[0], &items[1]);
	CU_ASSERT_PTR_EQUAL(started[1], &items[0]);
	CU_ASSERT_PTR_EQUAL(started[2], &items[2]);
}

/*
 * Guards against a large request that is passed by small ones whenever it does
 * not fit: it blocks them, also after it has become late.
 */
static void test_request_that_did_not_fit_keeps_its_place(void)
{
	wait_item_t items[] = {
		{ .pool = &pool_a, .on_time_until_ms = 10 },
		{ .pool = &pool_a, .on_time_until_ms = 30 },
	};

	wait_queue_init(&queue);
	wait_queue_push(&queue, &items[0]);
	wait_queue_push(&queue, &items[1]);
	free_slots = 0;
	wait_queue_dispatch(&queue, start_one);
	wait_queue_update(&queue, 20);
	started_count = 0;
	free_slots = 1;
	wait_queue_dispatch(&queue, start_one);
	CU_ASSERT_PTR_EQUAL(started[0], &items[0]);
}

static wait_item_t offered(uint32_t priority, double tokens,
			   clock_ms_t expires_ms)
{
	return (wait_item_t){ .pool = &pool_a,
			      .priority = priority,
			      .prompt_tokens = tokens,
			      .expires_ms = expires_ms };
}

/* Guards against requests that are held although they can't be served. */
static void test_hopeless_requests_are_refused_at_once(void)
{
	wait_item_t first = offered(1, 1000, 200);
	wait_item_t second = offered(1, 1000, 199);
	wait_item_t urgent = offered(0, 1000, 100);
	wait_item_t *displaced;

	/* 1,000 tokens before it at 10 per ms: in 100 ms, at 200. */
	wait_queue_init(&queue);
	CU_ASSERT_EQUAL(wait_queue_offer(&queue, &first, 10, 100, &displaced),
			WAIT_QUEUED);
	CU_ASSERT_EQUAL(wait_queue_expected_start(&queue, &second, 10, 100),
			200);
	CU_ASSERT_EQUAL(wait_queue_offer(&queue, &second, 10, 100, &displaced),
			WAIT_REFUSED);
	CU_ASSERT_FALSE(second.queued);
	CU_ASSERT_EQUAL(queue.count, 1);
	/* Less urgent requests do not delay it. */
	CU_ASSERT_EQUAL(wait_queue_offer(&queue, &urgent, 10, 100, &displaced),
			WAIT_QUEUED);
	/* Neither does what waits for another service. */
	second.pool = &pool_b;
	CU_ASSERT_EQUAL(wait_queue_expected_start(&queue, &second, 10, 100),
			100);
}

/*
 * Guards against less urgent requests that are held in vain after more urgent
 * ones arrived, and against more or other requests that are refused for these.
 */
static void test_last_hopeless_request_is_displaced(void)
{
	wait_item_t items[] = { offered(1, 1000, 250), offered(2, 1000, 250),
				offered(2, 1000, 350), offered(2, 10, 1000) };
	wait_item_t urgent = offered(0, 1000, 200);
	wait_item_t *displaced;

	wait_queue_init(&queue);
	for (size_t i = 0; i < ARRAY_SIZE(items); i++)
		CU_ASSERT_EQUAL(wait_queue_offer(&queue, &items[i], 10, 100,
						 &displaced),
				WAIT_QUEUED);
	CU_ASSERT_EQUAL(wait_queue_offer(&queue, &urgent, 10, 100, &displaced),
			WAIT_QUEUED_DISPLACING);
	CU_ASSERT_PTR_EQUAL(displaced, &items[2]);
	wait_queue_remove(&queue, displaced);
	/* One that is less urgent than all of them displaces nobody. */
	urgent = offered(3, 1000, 1000);
	wait_queue_remove(&queue, &items[1]);
	CU_ASSERT_EQUAL(wait_queue_offer(&queue, &urgent, 10, 100, &displaced),
			WAIT_QUEUED);
	CU_ASSERT_PTR_NULL(displaced);
}

/* Guards against refusals for a rate that nobody has stated. */
static void test_unknown_rate_refuses_nobody(void)
{
	static const double rates[] = { 0, -1, NAN };

	for (size_t i = 0; i < ARRAY_SIZE(rates); i++) {
		wait_item_t items[] = { offered(1, 1e9, 200),
					offered(1, 1e9, 200),
					offered(0, 1e9, 200) };
		wait_item_t *displaced;

		wait_queue_init(&queue);
		for (size_t j = 0; j < ARRAY_SIZE(items); j++)
			CU_ASSERT_EQUAL(wait_queue_offer(&queue, &items[j],
							 rates[i], 100,
							 &displaced),
					WAIT_QUEUED);
	}
}

/* Guards against a request that waits as if it could be on time. */
static void test_expected_lateness_counts_on_arrival(void)
{
	wait_item_t items[] = { offered(0, 1000, 900), offered(0, 1000, 900),
				offered(0, 100, 900) };
	wait_item_t *displaced;

	wait_queue_init(&queue);
	items[1].on_time_until_ms = 150;
	items[2].on_time_until_ms = 220;
	for (size_t i = 0; i < ARRAY_SIZE(items); i++)
		CU_ASSERT_EQUAL(wait_queue_offer(&queue, &items[i], 10, 100,
						 &displaced),
				WAIT_QUEUED);
	CU_ASSERT_TRUE(items[1].is_late);
	CU_ASSERT_FALSE(items[2].is_late);
	CU_ASSERT_PTR_EQUAL(TAILQ_NEXT(&items[0], entry), &items[2]);
}

#define SIMULATED_REQUESTS 600
#define SIMULATED_WAIT_MS 300

typedef struct {
	wait_item_t wait;
	clock_ms_t arrived_ms;
	clock_ms_t started_ms;
	bool refused;
} simulated_request_t;

static clock_ms_t now_ms;

static bool start_simulated(wait_item_t *item)
{
	simulated_request_t *request =
		CONTAINER_OF(item, simulated_request_t, wait);

	if (!start_one(item))
		return false;
	request->started_ms = now_ms;
	return true;
}

/*
 * Simulates one arrival per "gap_ms", five times as many in a burst that begins
 * at 1 s and lasts "burst_ms".  There are 20 slots, and each request occupies
 * one for 200 ms.  A request is refused once wait_queue_find_expired() returns
 * it; the gateway refuses it in exchange_tick() instead.  Returns the number of
 * refused requests.
 */
static unsigned simulate(simulated_request_t *requests, clock_ms_t gap_ms,
			 clock_ms_t burst_ms)
{
	unsigned next = 0;
	unsigned refused = 0;
	clock_ms_t next_ms = 1;

	wait_queue_init(&queue);
	free_slots = 20;
	for (now_ms = 1; now_ms < 20000; now_ms++) {
		wait_item_t *expired;

		for (unsigned i = 0; i < next; i++)
			if (requests[i].started_ms > 0 &&
			    now_ms - requests[i].started_ms == 200)
				free_slots++;
		if (next < SIMULATED_REQUESTS && now_ms == next_ms) {
			simulated_request_t *request = &requests[next++];
			bool burst = now_ms >= 1000 && now_ms < 1000 + burst_ms;

			*request =
				(simulated_request_t){ .arrived_ms = now_ms };
			request->wait.pool = &pool_a;
			request->wait.expires_ms = now_ms + SIMULATED_WAIT_MS;
			wait_queue_push(&queue, &request->wait);
			next_ms += burst ? gap_ms / 5 : gap_ms;
		}
		wait_queue_dispatch(&queue, start_simulated);
		while ((expired = wait_queue_find_expired(&queue, now_ms)) !=
		       NULL) {
			wait_queue_remove(&queue, expired);
			CONTAINER_OF(expired, simulated_request_t, wait)
				->refused = true;
			refused++;
		}
	}
	for (unsigned i = 0; i < SIMULATED_REQUESTS; i++)
		CU_ASSERT(requests[i].refused != (requests[i].started_ms > 0));
	return refused;
}

/*
 * A burst of 200 ms at 2.5 times the capacity is served completely.  One of 3 s
 * is not, but no started request has waited longer than its limit.
 */
static void test_simulated_bursts(void)
{
	static simulated_request_t requests[SIMULATED_REQUESTS];
	unsigned refused;

	CU_ASSERT_EQUAL(simulate(requests, 20, 0), 0);
	CU_ASSERT_EQUAL(simulate(requests, 20, 200), 0);
	refused = simulate(requests, 20, 3000);
	CU_ASSERT(refused > 0);
	for (unsigned i = 0; i < SIMULATED_REQUESTS; i++)
		if (!requests[i].refused)
			CU_ASSERT(requests[i].started_ms -
					  requests[i].arrived_ms <=
				  SIMULATED_WAIT_MS);
}

static const unit_test_t tests[] = {
	{ "priority, then arrival", test_priority_then_arrival },
	{ "pools do not block each other", test_pools_do_not_block_each_other },
	{ "expiry", test_expiry },
	{ "simulated bursts", test_simulated_bursts },
	{ "customers take turns", test_customers_take_turns },
	{ "turns count tokens", test_turns_count_tokens },
	{ "unstarted requests use no turn",
	  test_unstarted_requests_use_no_turn },
	{ "newcomers do not starve a second request",
	  test_newcomers_do_not_starve_a_second_request },
	{ "customers get equal tokens", test_customers_get_equal_tokens },
	{ "order without statements is unchanged",
	  test_order_without_statements_is_unchanged },
	{ "late requests wait behind others",
	  test_late_requests_wait_behind_others },
	{ "request that did not fit keeps its place",
	  test_request_that_did_not_fit_keeps_its_place },
	{ "hopeless requests are refused at once",
	  test_hopeless_requests_are_refused_at_once },
	{ "last hopeless request is displaced",
	  test_last_hopeless_request_is_displaced },
	{ "unknown rate refuses nobody", test_unknown_rate_refuses_nobody },
	{ "expected lateness counts on arrival",
	  test_expected_lateness_counts_on_arrival },
};

int main(void)
{
	return unit_run("wait_queue", tests, ARRAY_SIZE(tests));
}
