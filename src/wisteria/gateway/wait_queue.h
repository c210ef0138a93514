#ifndef WISTERIA_GATEWAY_WAIT_QUEUE_H
#define WISTERIA_GATEWAY_WAIT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"

/*
 * A request that waits for capacity; embedded in its owner's struct.  The owner
 * sets the fields up to "on_time_until_ms" before it adds the request.
 */
typedef struct wait_item_t {
	TAILQ_ENTRY(wait_item_t) entry;
	const void *pool;  /* the service; its requests share its capacity */
	uint32_t priority; /* 0 is the most urgent */
	clock_ms_t expires_ms; /* latest start before the caller gives up */
	bool queued;
	const char *customer; /* valid while queued; NULL: none */
	double prompt_tokens; /* 0: not known */
	/*
	 * Latest start that is still on time; 0: none.  It should not depend on
	 * the size of the request: under a lasting shortage the wait is about
	 * as long as this allows, and requests with an earlier limit than the
	 * others of their rank would hardly ever start.
	 */
	clock_ms_t on_time_until_ms;
	/* Set by the queue. */
	bool is_late;
	bool was_first; /* was to start, but did not fit */
	double turn;	/* tokens of its customer that go before it */
	uint64_t arrival;
} wait_item_t;

typedef TAILQ_HEAD(wait_list_t, wait_item_t) wait_list_t;

/*
 * Requests in ascending order of the priority number; of these, the ones that
 * can be on time before the others; of these, customers in turn; then by
 * arrival.
 */
typedef struct {
	wait_list_t items;
	unsigned count;
	uint64_t arrivals;
	GPtrArray *turns;	     /* of turns_t; NULL: no customers */
	const wait_item_t *starting; /* in wait_queue_dispatch() */
} wait_queue_t;

typedef enum {
	WAIT_QUEUED,
	WAIT_QUEUED_DISPLACING, /* another request can no longer start */
	WAIT_REFUSED		/* would not start before its caller gives up */
} wait_answer_t;

/*
 * Starts "item" and removes it, and no other item, from the queue; returns
 * false and leaves it queued if it cannot be started now, because its pool has
 * no free capacity or no endpoint serves it.
 */
typedef bool (*wait_start_t)(wait_item_t *item);

void wait_queue_init(wait_queue_t *queue) ATTR_NONNULL_ALL;
void wait_queue_finish(wait_queue_t *queue) ATTR_NONNULL_ALL;
void wait_queue_push(wait_queue_t *queue, wait_item_t *item) ATTR_NONNULL_ALL;
wait_answer_t
wait_queue_offer(wait_queue_t *queue, wait_item_t *item, double rate,
		 clock_ms_t now,
		 wait_item_t **displaced) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void wait_queue_remove(wait_queue_t *queue, wait_item_t *item) ATTR_NONNULL_ALL;
void wait_queue_update(wait_queue_t *queue, clock_ms_t now) ATTR_NONNULL_ALL;
clock_ms_t wait_queue_expected_start(const wait_queue_t *queue,
				     const wait_item_t *item, double rate,
				     clock_ms_t now) ATTR_NONNULL_ALL;
uint32_t wait_queue_count(const wait_queue_t *queue,
			  const void *pool) ATTR_NONNULL_ALL;
bool wait_queue_must_wait(const wait_queue_t *queue, const void *pool,
			  uint32_t priority) ATTR_NONNULL_ALL;
void wait_queue_dispatch(wait_queue_t *queue,
			 wait_start_t start) ATTR_NONNULL_ALL;
wait_item_t *wait_queue_find_expired(const wait_queue_t *queue,
				     clock_ms_t now) ATTR_NONNULL_ALL;

#endif
