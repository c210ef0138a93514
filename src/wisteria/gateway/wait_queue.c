/*
 * Requests that wait a short time for a place.  Within a pool the most urgent
 * one is served first, and one that does not fit holds up those behind it, so
 * that large requests are not starved by small ones.  Answers a load that
 * exceeds the places for less than the time that a caller can wait; whatever
 * exceeds them for longer is refused when its time is up.  Pure.
 */
#include "wisteria/gateway/wait_queue.h"

#include <stddef.h>

/* Most pools whose requests wait at the same time; more share a place. */
#define POOLS_MAX 32

/* Makes an empty queue. */
void wait_queue_init(wait_queue_t *queue)
{
	TAILQ_INIT(&queue->items);
	queue->count = 0;
}

/* Adds "item" behind those that are as urgent. */
void wait_queue_push(wait_queue_t *queue, wait_item_t *item)
{
	wait_item_t *behind = TAILQ_LAST(&queue->items, wait_list_t);

	while (behind != NULL && behind->priority > item->priority)
		behind = TAILQ_PREV(behind, wait_list_t, entry);
	if (behind == NULL)
		TAILQ_INSERT_HEAD(&queue->items, item, entry);
	else
		TAILQ_INSERT_AFTER(&queue->items, behind, item, entry);
	item->queued = true;
	queue->count++;
}

/* Takes "item" out; does nothing where it is not queued. */
void wait_queue_remove(wait_queue_t *queue, wait_item_t *item)
{
	if (!item->queued)
		return;
	TAILQ_REMOVE(&queue->items, item, entry);
	item->queued = false;
	queue->count--;
}

/* Whether a new request of "pool" has to wait behind another. */
bool wait_queue_has(const wait_queue_t *queue, const void *pool,
		    uint32_t priority)
{
	const wait_item_t *item;

	TAILQ_FOREACH(item, &queue->items, entry)
	if (item->pool == pool && item->priority <= priority)
		return true;
	return false;
}

typedef struct {
	const void *pools[POOLS_MAX];
	size_t count;
} full_pools_t;

static bool is_full(const full_pools_t *full, const void *pool)
{
	for (size_t i = 0; i < full->count; i++)
		if (full->pools[i] == pool)
			return true;
	return full->count == POOLS_MAX;
}

/* Starts, in order, the requests whose pools have places. */
void wait_queue_serve(wait_queue_t *queue, wait_start_t start)
{
	full_pools_t full = { .count = 0 };
	wait_item_t *item = TAILQ_FIRST(&queue->items);

	while (item != NULL) {
		wait_item_t *next = TAILQ_NEXT(item, entry);

		if (!is_full(&full, item->pool) && !start(item))
			full.pools[full.count++] = item->pool;
		item = next;
	}
}

/* Returns a request whose time is up, or NULL. */
wait_item_t *wait_queue_expired(const wait_queue_t *queue, clock_ms_t now)
{
	wait_item_t *item;

	TAILQ_FOREACH(item, &queue->items, entry)
	if (now >= item->until_ms)
		return item;
	return NULL;
}
