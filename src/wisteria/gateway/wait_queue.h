#ifndef WISTERIA_GATEWAY_WAIT_QUEUE_H
#define WISTERIA_GATEWAY_WAIT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"

/* A request that waits for capacity; embedded in its owner's struct. */
typedef struct wait_item_t {
	TAILQ_ENTRY(wait_item_t) entry;
	const void *pool;  /* the service; its requests share its capacity */
	uint32_t priority; /* 0 is the most urgent */
	clock_ms_t expires_ms;
	bool queued;
} wait_item_t;

typedef TAILQ_HEAD(wait_list_t, wait_item_t) wait_list_t;

/* Requests in ascending order of the priority number, then by arrival. */
typedef struct {
	wait_list_t items;
	unsigned count;
} wait_queue_t;

/*
 * Starts "item" and removes it, and no other item, from the queue; returns
 * false and leaves it queued if it cannot be started now, because its pool has
 * no free capacity or no endpoint serves it.
 */
typedef bool (*wait_start_t)(wait_item_t *item);

void wait_queue_init(wait_queue_t *queue) ATTR_NONNULL_ALL;
void wait_queue_push(wait_queue_t *queue, wait_item_t *item) ATTR_NONNULL_ALL;
void wait_queue_remove(wait_queue_t *queue, wait_item_t *item) ATTR_NONNULL_ALL;
uint32_t wait_queue_count(const wait_queue_t *queue,
			  const void *pool) ATTR_NONNULL_ALL;
bool wait_queue_must_wait(const wait_queue_t *queue, const void *pool,
			  uint32_t priority) ATTR_NONNULL_ALL;
void wait_queue_dispatch(wait_queue_t *queue,
			 wait_start_t start) ATTR_NONNULL_ALL;
wait_item_t *wait_queue_find_expired(const wait_queue_t *queue,
				     clock_ms_t now) ATTR_NONNULL_ALL;

#endif
