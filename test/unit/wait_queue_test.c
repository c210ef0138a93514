/* Unit tests of the queue for places, and a play of load through it. */
#include "unit.h"

#include "wisteria/gateway/wait_queue.h"

static const int pool_a;
static const int pool_b;

static unsigned places;
static wait_queue_t queue;
static wait_item_t *started[16];
static unsigned started_count;

static bool start_one(wait_item_t *item)
{
	if (places == 0)
		return false;
	places--;
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

static void test_urgency_then_arrival(void)
{
	wait_item_t items[] = {
		{ .pool = &pool_a, .priority = 1 },
		{ .pool = &pool_a, .priority = 1 },
		{ .pool = &pool_a, .priority = 0 },
	};

	wait_queue_init(&queue);
	for (size_t i = 0; i < ARRAY_SIZE(items); i++)
		wait_queue_push(&queue, &items[i]);
	CU_ASSERT_TRUE(wait_queue_has(&queue, &pool_a, 1));
	CU_ASSERT_FALSE(wait_queue_has(&queue, &pool_b, 1));
	started_count = 0;
	places = 2;
	wait_queue_serve(&queue, start_one);
	CU_ASSERT_EQUAL(started_count, 2);
	CU_ASSERT_PTR_EQUAL(started[0], &items[2]);
	CU_ASSERT_PTR_EQUAL(started[1], &items[0]);
	CU_ASSERT_EQUAL(queue.count, 1);
}

static void test_pools_do_not_hold_each_other_up(void)
{
	wait_item_t items[] = { { .pool = &pool_a }, { .pool = &pool_b } };

	wait_queue_init(&queue);
	wait_queue_push(&queue, &items[0]);
	wait_queue_push(&queue, &items[1]);
	started_count = 0;
	places = 5;
	wait_queue_serve(&queue, start_b_only);
	CU_ASSERT_EQUAL(started_count, 1);
	CU_ASSERT_PTR_EQUAL(started[0], &items[1]);
}

static void test_expiry(void)
{
	wait_item_t items[] = { { .pool = &pool_a, .until_ms = 20 },
				{ .pool = &pool_a, .until_ms = 10 } };

	wait_queue_init(&queue);
	wait_queue_push(&queue, &items[0]);
	wait_queue_push(&queue, &items[1]);
	CU_ASSERT_PTR_NULL(wait_queue_expired(&queue, 9));
	CU_ASSERT_PTR_EQUAL(wait_queue_expired(&queue, 10), &items[1]);
	wait_queue_remove(&queue, &items[1]);
	wait_queue_remove(&queue, &items[1]);
	CU_ASSERT_EQUAL(queue.count, 1);
}

#define PLAY_REQUESTS 600
#define PLAY_WAIT_MS 300

typedef struct {
	wait_item_t wait;
	clock_ms_t arrived_ms;
	clock_ms_t started_ms;
	bool refused;
} played_t;

static clock_ms_t play_now;

static bool start_played(wait_item_t *item)
{
	played_t *played = CONTAINER_OF(item, played_t, wait);

	if (!start_one(item))
		return false;
	played->started_ms = play_now;
	return true;
}

/*
 * Plays arrivals at one each "gap_ms", or five times as often in a spell that
 * begins at 1 s and lasts "burst_ms", against 20 places that are each held
 * for 200 ms.  Returns how many requests are refused.
 */
static unsigned play(played_t *requests, clock_ms_t gap_ms, clock_ms_t burst_ms)
{
	unsigned next = 0;
	unsigned refused = 0;
	clock_ms_t next_ms = 1;

	wait_queue_init(&queue);
	places = 20;
	for (play_now = 1; play_now < 20000; play_now++) {
		wait_item_t *late;

		for (unsigned i = 0; i < next; i++)
			if (requests[i].started_ms > 0 &&
			    play_now - requests[i].started_ms == 200)
				places++;
		if (next < PLAY_REQUESTS && play_now == next_ms) {
			played_t *played = &requests[next++];
			bool burst =
				play_now >= 1000 && play_now < 1000 + burst_ms;

			*played = (played_t){ .arrived_ms = play_now };
			played->wait.pool = &pool_a;
			played->wait.until_ms = play_now + PLAY_WAIT_MS;
			wait_queue_push(&queue, &played->wait);
			next_ms += burst ? gap_ms / 5 : gap_ms;
		}
		wait_queue_serve(&queue, start_played);
		while ((late = wait_queue_expired(&queue, play_now)) != NULL) {
			wait_queue_remove(&queue, late);
			CONTAINER_OF(late, played_t, wait)->refused = true;
			refused++;
		}
	}
	for (unsigned i = 0; i < PLAY_REQUESTS; i++)
		CU_ASSERT(requests[i].refused != (requests[i].started_ms > 0));
	return refused;
}

/*
 * A burst of 200 ms, at 2.5 times what the places can take, is served whole;
 * one of 3 s is not, and callers hear so within their wait.
 */
static void test_play_of_bursts(void)
{
	static played_t requests[PLAY_REQUESTS];
	unsigned refused;

	CU_ASSERT_EQUAL(play(requests, 20, 0), 0);
	CU_ASSERT_EQUAL(play(requests, 20, 200), 0);
	refused = play(requests, 20, 3000);
	CU_ASSERT(refused > 0);
	for (unsigned i = 0; i < PLAY_REQUESTS; i++)
		if (!requests[i].refused)
			CU_ASSERT(requests[i].started_ms -
					  requests[i].arrived_ms <=
				  PLAY_WAIT_MS);
}

static const unit_test_t tests[] = {
	{ "urgency, then arrival", test_urgency_then_arrival },
	{ "pools do not hold each other up",
	  test_pools_do_not_hold_each_other_up },
	{ "expiry", test_expiry },
	{ "play of bursts", test_play_of_bursts },
};

int main(void)
{
	return unit_run("wait_queue", tests, ARRAY_SIZE(tests));
}
