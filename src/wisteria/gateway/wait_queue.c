/*
 * Queue of requests that wait a short time for capacity.  Within a pool, the
 * requests that need the same capacity, the most urgent request is started
 * first, and one that does not fit blocks those behind it, so that large
 * requests are not starved by small ones.  The queue lets small, short bursts
 * wait instead of being refused; under a longer overload requests are refused
 * when their waiting time expires.  No clock, no I/O.
 */
#include "wisteria/gateway/wait_queue.h"

#include <stddef.h>

/*
 * Maximum number of full pools that one dispatch records; once it is reached,
 * all other pools count as full until the next dispatch.
 */
#define POOLS_MAX 32

/* Initializes an empty queue. */
void wait_queue_init(wait_queue_t *queue)
{
	TAILQ_INIT(&queue->items);
	queue->count = 0;
}

/*
 * Adds "item" after those of the same or a smaller priority number; 0 is the
 * most urgent.
 */
void wait_queue_push(wait_queue_t *queue, wait_item_t *item)
{
	wait_item_t *previous = TAILQ_LAST(&queue->items, wait_list_t);

	while (previous != NULL && previous->priority > item->priority)
		previous = TAILQ_PREV(previous, wait_list_t, entry);
	if (previous == NULL)
		TAILQ_INSERT_HEAD(&queue->items, item, entry);
	else
		TAILQ_INSERT_AFTER(&queue->items, previous, item, entry);
	item->queued = true;
	queue->count++;
}

/* Removes "item"; does nothing if it is not queued. */
void wait_queue_remove(wait_queue_t *queue, wait_item_t *item)
{
	if (!item->queued)
		return;
	TAILQ_REMOVE(&queue->items, item, entry);
	item->queued = false;
	queue->count--;
}

/*
 * Returns whether a new request of "pool" has to wait because one of the same
 * or a smaller priority number is queued for it.
 */
bool wait_queue_must_wait(const wait_queue_t *queue, const void *pool,
			  uint32_t priority)
{
	const wait_item_t *item;

	TAILQ_FOREACH(item, &queue->items, entry)
	if (item->pool == pool && item->priority <= priority)
		return true;
	return false;
}

/* Returns how many requests of "pool" wait. */
uint32_t wait_queue_count(const wait_queue_t *queue, const void *pool)
{
	const wait_item_t *item;
	uint32_t count = 0;

	TAILQ_FOREACH(item, &queue->items, entry)
	count += item->pool == pool;
	return count;
}

/* The pools in which a request could not be started in this dispatch. */
typedef struct {
	const void *pools[POOLS_MAX];
	size_t count;
} tracked_full_pools_t;

static bool is_pool_full(const tracked_full_pools_t *full, const void *pool)
{
	for (size_t i = 0; i < full->count; i++)
		if (full->pools[i] == pool)
			return true;
	return full->count == POOLS_MAX;
}

/*
 * Calls "start" for each request in order; once it returns false, skips the
 * rest of that pool.
 */
void wait_queue_dispatch(wait_queue_t *queue, wait_start_t start)
{
	tracked_full_pools_t full = { .count = 0 };
	wait_item_t *item = TAILQ_FIRST(&queue->items);

	while (item != NULL) {
		wait_item_t *next = TAILQ_NEXT(item, entry);

		if (!is_pool_full(&full, item->pool) && !start(item))
			full.pools[full.count++] = item->pool;
		item = next;
	}
}

/*
 * Returns the first request in the queue whose waiting time has expired, or
 * NULL; does not remove it.  The gateway does not call this: exchange_tick()
 * checks the expiry of each exchange.
 */
wait_item_t *wait_queue_find_expired(const wait_queue_t *queue, clock_ms_t now)
{
	wait_item_t *item;

	TAILQ_FOREACH(item, &queue->items, entry)
	if (now >= item->expires_ms)
		return item;
	return NULL;
}
