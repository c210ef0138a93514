/*
 * Queue of requests that wait for capacity.  Within a pool, the requests that
 * need the same capacity, the most urgent request is started first, and one that
 * does not fit blocks those behind it, so that large requests are not starved by
 * small ones.  The queue lets small, short bursts wait instead of being refused.
 * Under a longer overload, requests that would not start before their callers
 * give up are refused at once, if their prompts and the rate of starts are known,
 * and when their waiting time expires otherwise.
 *
 * Customers take turns by deficit round robin, in the variant in which the last
 * request of a turn may exceed it and the excess is deducted later: a request
 * needs no more rounds for being large.  A request is in the round that follows
 * from the tokens of its customer before it, so the list is in the order of
 * starts.  A round is closed to newcomers once a request of it has started, or
 * those who always have one request waiting would be served in each round again
 * and again.  No clock, no I/O.
 */
#include "wisteria/gateway/wait_queue.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

/*
 * Maximum number of full pools that one dispatch records; once it is reached,
 * all other pools count as full until the next dispatch.
 */
#define POOLS_MAX 32

/* Prompt tokens of a customer in a round; engines prefill 512 in a pass. */
#define ROUND_TOKENS 512.0

/* The turns of customers whose requests wait in the same place of the order. */
typedef struct {
	const void *pool;
	uint32_t priority;
	bool is_late;
	double open_tokens; /* where the first open round begins */
	/* Customer -> double, where its started requests end. */
	GHashTable *used;
} turns_t;

static void free_turns(gpointer data)
{
	turns_t *turns = data;

	g_hash_table_unref(turns->used);
	g_free(turns);
}

/* Initializes an empty queue. */
void wait_queue_init(wait_queue_t *queue)
{
	TAILQ_INIT(&queue->items);
	queue->count = 0;
	queue->arrivals = 0;
	queue->turns = NULL;
	queue->starting = NULL;
}

/* Frees what the queue holds; it must not be used afterwards. */
void wait_queue_finish(wait_queue_t *queue)
{
	if (queue->turns != NULL)
		g_ptr_array_unref(queue->turns);
	queue->turns = NULL;
}

static const char *customer_of(const wait_item_t *item)
{
	return item->customer == NULL ? "" : item->customer;
}

static bool is_same_place(const wait_item_t *a, const wait_item_t *b)
{
	return a->pool == b->pool && a->priority == b->priority &&
	       a->is_late == b->is_late;
}

static bool is_same_turn(const wait_item_t *a, const wait_item_t *b)
{
	return is_same_place(a, b) &&
	       strcmp(customer_of(a), customer_of(b)) == 0;
}

/* Returns whether "a" is before "b" in the order of the queue. */
static bool is_before(const wait_item_t *a, const wait_item_t *b)
{
	double round_a = floor(a->turn / ROUND_TOKENS);
	double round_b = floor(b->turn / ROUND_TOKENS);

	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->is_late != b->is_late)
		return b->is_late;
	if (round_a != round_b)
		return round_a < round_b;
	return a->arrival < b->arrival;
}

static turns_t *find_turns(const wait_queue_t *queue, const wait_item_t *item)
{
	for (guint i = 0; queue->turns != NULL && i < queue->turns->len; i++) {
		turns_t *turns = g_ptr_array_index(queue->turns, i);

		if (turns->pool == item->pool &&
		    turns->priority == item->priority &&
		    turns->is_late == item->is_late)
			return turns;
	}
	return NULL;
}

/* Without customers, there are no turns to keep. */
static void ensure_turns(wait_queue_t *queue, const wait_item_t *item)
{
	turns_t *turns;

	if (item->customer == NULL || find_turns(queue, item) != NULL)
		return;
	if (queue->turns == NULL)
		queue->turns = g_ptr_array_new_with_free_func(free_turns);
	turns = g_new0(turns_t, 1);
	turns->pool = item->pool;
	turns->priority = item->priority;
	turns->is_late = item->is_late;
	turns->used =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_ptr_array_add(queue->turns, turns);
}

/* Forgets the turns of the place of "item" if nobody waits there any more. */
static void drop_unused_turns(wait_queue_t *queue, const wait_item_t *item)
{
	turns_t *turns = find_turns(queue, item);
	const wait_item_t *other;

	if (turns == NULL)
		return;
	TAILQ_FOREACH(other, &queue->items, entry)
	if (is_same_place(other, item))
		return;
	g_ptr_array_remove_fast(queue->turns, turns);
}

/* Returns where the next request of the customer of "item" would begin. */
static double first_turn(const turns_t *turns, const wait_item_t *item)
{
	const double *used =
		g_hash_table_lookup(turns->used, customer_of(item));

	return used == NULL ? turns->open_tokens
			    : MAX(*used, turns->open_tokens);
}

/*
 * Returns the turn of "item" behind all that its customer has queued; a customer
 * who has something queued is no newcomer to an open round.
 */
static double last_turn(const wait_queue_t *queue, const wait_item_t *item)
{
	const turns_t *turns = find_turns(queue, item);
	const wait_item_t *other;
	double turn = -1;

	if (turns == NULL)
		return 0;
	TAILQ_FOREACH(other, &queue->items, entry)
	if (is_same_turn(other, item))
		turn = MAX(turn, other->turn + other->prompt_tokens);
	return turn < 0 ? first_turn(turns, item) : turn;
}

static void insert(wait_queue_t *queue, wait_item_t *item)
{
	wait_item_t *previous = TAILQ_LAST(&queue->items, wait_list_t);

	while (previous != NULL && is_before(item, previous))
		previous = TAILQ_PREV(previous, wait_list_t, entry);
	if (previous == NULL)
		TAILQ_INSERT_HEAD(&queue->items, item, entry);
	else
		TAILQ_INSERT_AFTER(&queue->items, previous, item, entry);
}

static gboolean is_used_up(gpointer key, gpointer value, gpointer open_tokens)
{
	(void)key;
	return *(double *)value <= *(double *)open_tokens;
}

/* Counts a started request for its customer and closes its round. */
static void use_turn(wait_queue_t *queue, const wait_item_t *item)
{
	turns_t *turns = find_turns(queue, item);
	double *used;
	double open_tokens;

	if (turns == NULL)
		return;
	used = g_new(double, 1);
	*used = MAX(first_turn(turns, item), item->turn + item->prompt_tokens);
	g_hash_table_replace(turns->used, g_strdup(customer_of(item)), used);
	open_tokens = (floor(item->turn / ROUND_TOKENS) + 1) * ROUND_TOKENS;
	if (open_tokens <= turns->open_tokens)
		return;
	turns->open_tokens = open_tokens;
	g_hash_table_foreach_remove(turns->used, is_used_up, &open_tokens);
}

/*
 * Gives the turn of "item", which leaves without having started, to the later
 * requests of its customer; they must not wait for tokens that nobody used.
 */
static void pass_turn(wait_queue_t *queue, const wait_item_t *item)
{
	const turns_t *turns = find_turns(queue, item);
	wait_item_t *other = TAILQ_FIRST(&queue->items);
	double turn = item->turn;

	while (turns != NULL && other != NULL) {
		wait_item_t *next = TAILQ_NEXT(other, entry);

		if (is_same_turn(other, item) && other->turn >= item->turn) {
			other->turn = MIN(other->turn, turn);
			turn = other->turn + other->prompt_tokens;
			TAILQ_REMOVE(&queue->items, other, entry);
			insert(queue, other);
		}
		other = next;
	}
}

/* Takes the next number of arrival and the place that "is_late" says. */
static void take_place(const wait_queue_t *queue, wait_item_t *item,
		       bool is_late)
{
	item->is_late = is_late;
	item->was_first = false;
	item->arrival = queue->arrivals;
	item->turn = last_turn(queue, item);
}

static void add(wait_queue_t *queue, wait_item_t *item)
{
	ensure_turns(queue, item);
	insert(queue, item);
	item->queued = true;
	queue->count++;
	queue->arrivals++;
}

/*
 * Adds "item" after those of the same or a smaller priority number; 0 is the
 * most urgent.  Customers take turns if the requests state them.
 */
void wait_queue_push(wait_queue_t *queue, wait_item_t *item)
{
	take_place(queue, item, false);
	add(queue, item);
}

/* Removes "item"; does nothing if it is not queued. */
void wait_queue_remove(wait_queue_t *queue, wait_item_t *item)
{
	if (!item->queued)
		return;
	TAILQ_REMOVE(&queue->items, item, entry);
	item->queued = false;
	queue->count--;
	if (queue->starting == item)
		use_turn(queue, item);
	else
		pass_turn(queue, item);
	drop_unused_turns(queue, item);
}

/* Returns when "item" would start at "rate" behind what is before it. */
static clock_ms_t expect_start(const wait_queue_t *queue,
			       const wait_item_t *item, double rate,
			       clock_ms_t now)
{
	const wait_item_t *other;
	double tokens = 0;

	if (!(rate > 0))
		return now;
	TAILQ_FOREACH(other, &queue->items, entry)
	if (other->pool == item->pool && is_before(other, item))
		tokens += other->prompt_tokens;
	return now + (clock_ms_t)MIN(tokens / rate, (double)G_MAXINT32);
}

/* Finds the place of a new request; returns its expected start. */
static clock_ms_t find_place(const wait_queue_t *queue, wait_item_t *item,
			     double rate, clock_ms_t now)
{
	clock_ms_t start_ms;

	take_place(queue, item, false);
	start_ms = expect_start(queue, item, rate, now);
	if (item->on_time_until_ms == 0 || start_ms <= item->on_time_until_ms)
		return start_ms;
	take_place(queue, item, true);
	return expect_start(queue, item, rate, now);
}

/*
 * Returns when a request that is not queued would start if it were offered:
 * after the prompt tokens that go before it, of which "rate" per ms are started.
 * If the rate is not known, which 0 or less says, returns "now".
 */
clock_ms_t wait_queue_expected_start(const wait_queue_t *queue,
				     const wait_item_t *item, double rate,
				     clock_ms_t now)
{
	wait_item_t copy = *item;

	return find_place(queue, &copy, rate, now);
}

/*
 * Returns the last request behind "item" that can no longer start before its
 * caller gives up, or NULL.
 */
static wait_item_t *find_displaced(const wait_queue_t *queue,
				   const wait_item_t *item, double rate,
				   clock_ms_t now)
{
	wait_item_t *displaced = NULL;
	wait_item_t *other;
	double tokens = 0;

	if (!(rate > 0))
		return NULL;
	TAILQ_FOREACH(other, &queue->items, entry)
	{
		if (other->pool != item->pool)
			continue;
		if (is_before(item, other) &&
		    (double)now + tokens / rate > (double)other->expires_ms)
			displaced = other;
		tokens += other->prompt_tokens;
	}
	return displaced;
}

/*
 * Adds a request, unless its expected start is later than its "expires_ms".
 * "rate" is how many prompt tokens per ms of its pool are started; if it is not
 * known, which 0 or less says, nothing is refused and nobody is displaced.  A
 * request that can no longer start because of the new one is stored in
 * "displaced", NULL otherwise; it is still queued, and the caller removes it.
 */
wait_answer_t wait_queue_offer(wait_queue_t *queue, wait_item_t *item,
			       double rate, clock_ms_t now,
			       wait_item_t **displaced)
{
	*displaced = NULL;
	wait_queue_update(queue, now);
	if (find_place(queue, item, rate, now) > item->expires_ms && rate > 0)
		return WAIT_REFUSED;
	add(queue, item);
	*displaced = find_displaced(queue, item, rate, now);
	return *displaced == NULL ? WAIT_QUEUED : WAIT_QUEUED_DISPLACING;
}

/*
 * Puts the requests that can no longer be on time behind the others.  A request
 * that did not fit when it was first keeps its place: large requests fit last.
 */
void wait_queue_update(wait_queue_t *queue, clock_ms_t now)
{
	wait_item_t *item = TAILQ_FIRST(&queue->items);

	while (item != NULL) {
		wait_item_t *next = TAILQ_NEXT(item, entry);

		if (item->on_time_until_ms != 0 && !item->is_late &&
		    !item->was_first && now > item->on_time_until_ms) {
			TAILQ_REMOVE(&queue->items, item, entry);
			pass_turn(queue, item);
			drop_unused_turns(queue, item);
			item->is_late = true;
			item->turn = last_turn(queue, item);
			ensure_turns(queue, item);
			insert(queue, item);
		}
		item = next;
	}
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

static bool start_item(wait_queue_t *queue, wait_item_t *item,
		       wait_start_t start)
{
	bool started;

	queue->starting = item;
	started = start(item);
	queue->starting = NULL;
	if (!started)
		item->was_first = true;
	return started;
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

		if (!is_pool_full(&full, item->pool) &&
		    !start_item(queue, item, start))
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
