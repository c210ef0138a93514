/* Unit tests of the wait queue, with simulated load. */
#include "unit.h"

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
};

int main(void)
{
	return unit_run("wait_queue", tests, ARRAY_SIZE(tests));
}
