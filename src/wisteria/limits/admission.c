/*
 * Admission control at one entry.  A request starts at once if its customer's
 * leased share allows it, the target isn't known to lack a free endpoint and no
 * request that waits for the target may start first; otherwise it waits in a
 * queue that is bounded by length and by time.  A request that isn't expected
 * to start in time is refused on arrival, with the time after which a retry may
 * succeed.
 */
#include "wisteria/limits/admission.h"

#include <string.h>

#include <glib.h>

#include "wisteria/limits/customer.h"

/* Delay before a target that had no free endpoint is tried again. */
#define TARGET_RETRY_DELAY_MS 20
/* Bounds of the retry time in a refusal, and its value without an estimate. */
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 60000
#define RETRY_AFTER_DEFAULT_MS 1000

struct admission_t {
	GHashTable *customers;	   /* name -> customer_t * */
	GHashTable *target_queues; /* target -> target_queue_t * */
	GHashTable *requests;	   /* handle as gint64 -> waiting_request_t * */
	GTree *by_expiry;	   /* waiting_request_t *, by expiry time */
	uint32_t queue_length_max;
	clock_ms_t queue_time_max_ms;
	uint32_t queued;
	uint64_t next_serial;
};

static int compare_expiry(const void *a, const void *b, void *unused)
{
	const waiting_request_t *left = a;
	const waiting_request_t *right = b;

	(void)unused;
	if (left->expires_ms != right->expires_ms)
		return left->expires_ms < right->expires_ms ? -1 : 1;
	if (left->serial != right->serial)
		return left->serial < right->serial ? -1 : 1;
	return 0;
}

static void free_customer(void *customer)
{
	customer_free(customer);
}

static void free_target_queue(void *data)
{
	target_queue_t *target_queue = data;

	g_ptr_array_free(target_queue->active, TRUE);
	g_free(target_queue->target);
	g_free(target_queue);
}

/* Returns an admission control in which no customer has a contract. */
admission_t *admission_new(void)
{
	admission_t *admission = g_new0(admission_t, 1);

	admission->customers = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, free_customer);
	admission->target_queues = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, free_target_queue);
	admission->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, g_free);
	admission->by_expiry =
		g_tree_new_full(compare_expiry, NULL, NULL, NULL);
	return admission;
}

/* Frees an admission control; NULL is ignored. */
void admission_free(admission_t *admission)
{
	if (admission == NULL)
		return;
	g_tree_destroy(admission->by_expiry);
	g_hash_table_destroy(admission->requests);
	g_hash_table_destroy(admission->customers);
	g_hash_table_destroy(admission->target_queues);
	g_free(admission);
}

static customer_t *find_or_add_customer(admission_t *admission,
					const char *name)
{
	customer_t *customer = g_hash_table_lookup(admission->customers, name);

	if (customer != NULL)
		return customer;
	customer = customer_new(name);
	g_hash_table_insert(admission->customers, customer->name, customer);
	return customer;
}

/*
 * Returns the queue of a target, added if it is new.  Returns NULL if there are
 * ADMISSION_TARGETS_MAX others already; queues of targets are never removed.
 */
static target_queue_t *find_or_add_target_queue(admission_t *admission,
						const char *target)
{
	target_queue_t *target_queue =
		g_hash_table_lookup(admission->target_queues, target);

	if (target_queue != NULL)
		return target_queue;
	if (g_hash_table_size(admission->target_queues) ==
	    ADMISSION_TARGETS_MAX)
		return NULL;
	target_queue = g_new0(target_queue_t, 1);
	target_queue->target = g_strdup(target);
	target_queue->index = g_hash_table_size(admission->target_queues);
	target_queue->active = g_ptr_array_new();
	g_hash_table_insert(admission->target_queues, target_queue->target,
			    target_queue);
	return target_queue;
}

static void reschedule_expiry(admission_t *admission,
			      waiting_request_t *waiting, clock_ms_t expires_ms)
{
	g_tree_remove(admission->by_expiry, waiting);
	waiting->expires_ms = expires_ms;
	g_tree_insert(admission->by_expiry, waiting, waiting);
}

/* Makes all waiting requests of a customer expire now. */
static void expire_waiting_requests(admission_t *admission,
				    customer_t *customer, clock_ms_t now)
{
	for (guint i = 0; i < customer->flows->len; i++) {
		flow_queue_t *flow = g_ptr_array_index(customer->flows, i);

		if (flow == NULL)
			continue;
		for (GList *link = flow->waiting.head; link != NULL;
		     link = link->next)
			reschedule_expiry(admission, link->data, now);
	}
}

static GHashTable *shares_by_name(const msg_share_t *shares, size_t count)
{
	GHashTable *by_name = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < count; i++)
		g_hash_table_insert(by_name, (char *)shares[i].customer,
				    (msg_share_t *)&shares[i]);
	return by_name;
}

static void drop_contract(admission_t *admission, customer_t *customer,
			  clock_ms_t now)
{
	customer_set_contract(customer, NULL, NULL, now);
	expire_waiting_requests(admission, customer, now);
}

static void drop_missing_contracts(admission_t *admission,
				   GHashTable *contracts, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, admission->customers);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const customer_t *customer = value;

		if (g_hash_table_contains(contracts, name))
			continue;
		drop_contract(admission, value, now);
		if (customer->running == 0 && customer->queued == 0)
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Applies the contracts of the preset in force and this entry's leased shares
 * of them.  A customer without a leased share may not start a request.  Running
 * requests continue; waiting requests of a customer that no longer has a
 * contract expire at once.
 */
void admission_set_contracts(admission_t *admission, const preset_t *preset,
			     const msg_share_t *shares, size_t share_count,
			     clock_ms_t now)
{
	GHashTable *by_name = shares_by_name(shares, share_count);
	GHashTable *contracts = g_hash_table_new(g_str_hash, g_str_equal);

	admission->queue_length_max = preset->limits.queue_length;
	admission->queue_time_max_ms = preset->limits.queue_ms;
	for (unsigned i = 0; i < preset->contracts_count; i++) {
		const preset_contract_t *contract = &preset->contracts[i];

		g_hash_table_add(contracts, contract->customer);
		customer_set_contract(
			find_or_add_customer(admission, contract->customer),
			contract,
			g_hash_table_lookup(by_name, contract->customer), now);
	}
	drop_missing_contracts(admission, contracts, now);
	g_hash_table_destroy(contracts);
	g_hash_table_destroy(by_name);
}

/*
 * Returns a refusal.  Its retry time is the estimated wait of the customer's
 * last queued request.
 */
static admission_answer_t refuse(const customer_t *customer,
				 admission_reason_t reason, clock_ms_t now)
{
	double wait_ms = 0;

	if (customer != NULL && customer->queued > 0)
		wait_ms = customer_estimated_wait_ms(customer,
						     customer->queued - 1, now);
	if (wait_ms == 0)
		wait_ms = RETRY_AFTER_DEFAULT_MS;
	wait_ms = CLAMP(wait_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
	return (admission_answer_t){
		.result = ADMISSION_REFUSED,
		.reason = reason,
		.retry_after_ms = (clock_ms_t)wait_ms,
	};
}

/*
 * Returns whether the queue has room for one more request of this customer.  A
 * customer may have as many requests queued as there are free places, so that
 * one customer can't fill the queue (Choudhury and Hahne 1998, "Dynamic queue
 * length thresholds for shared-memory packet switches").
 */
static bool queue_has_room(const admission_t *admission,
			   const customer_t *customer)
{
	if (admission->queued >= admission->queue_length_max)
		return false;
	return customer->queued <
	       admission->queue_length_max - admission->queued;
}

/* Returns whether the request is expected to expire before it can start. */
static bool would_expire(const admission_t *admission,
			 const customer_t *customer, clock_ms_t expires_ms,
			 clock_ms_t now)
{
	if (expires_ms <= now)
		return true;
	if (customer->queued == 0)
		return false;
	return customer_estimated_wait_ms(customer, customer->queued, now) >
	       (double)MIN(expires_ms - now, admission->queue_time_max_ms);
}

/*
 * Returns when the request expires: at its deadline or its queue time limit,
 * whichever is earlier.
 */
static clock_ms_t expiry_of(const admission_t *admission,
			    const admission_offer_t *offer, clock_ms_t now)
{
	const clock_ms_t since_ms =
		offer->offered_ms != 0 ? offer->offered_ms : now;

	return MIN(offer->deadline_ms, since_ms + admission->queue_time_max_ms);
}

/*
 * Creates a waiting request and enters it in all indexes.  The caller inserts
 * it into the flow's queue, at the head or the tail.
 */
static waiting_request_t *add_waiting(admission_t *admission,
				      flow_queue_t *flow, handle_t request,
				      clock_ms_t expires_ms, clock_ms_t now)
{
	waiting_request_t *waiting = g_new0(waiting_request_t, 1);

	if (g_queue_is_empty(&flow->waiting))
		g_ptr_array_add(flow->target_queue->active, flow);
	waiting->link.data = waiting;
	waiting->request = request;
	waiting->flow = flow;
	waiting->expires_ms = expires_ms;
	waiting->serial = admission->next_serial++;
	if (flow->customer->queued++ == 0)
		flow->customer->backlog_since_ms = now;
	admission->queued++;
	g_tree_insert(admission->by_expiry, waiting, waiting);
	g_hash_table_insert(admission->requests, &waiting->request, waiting);
	return waiting;
}

/*
 * Removes a waiting request from its flow's queue and all indexes and frees it;
 * returns its handle.
 */
static handle_t dequeue(admission_t *admission, waiting_request_t *waiting)
{
	flow_queue_t *flow = waiting->flow;
	const handle_t request = waiting->request;

	g_queue_unlink(&flow->waiting, &waiting->link);
	if (g_queue_is_empty(&flow->waiting))
		g_ptr_array_remove_fast(flow->target_queue->active, flow);
	flow->customer->queued--;
	admission->queued--;
	g_tree_remove(admission->by_expiry, waiting);
	g_hash_table_remove(admission->requests, &waiting->request);
	return request;
}

/*
 * Returns the flow, of those of a target, whose oldest request starts next;
 * NULL if none may start.
 */
static flow_queue_t *next_flow(const target_queue_t *target_queue,
			       clock_ms_t now)
{
	flow_queue_t *best = NULL;

	if (now < target_queue->blocked_until_ms)
		return NULL;
	for (guint i = 0; i < target_queue->active->len; i++) {
		flow_queue_t *flow = g_ptr_array_index(target_queue->active, i);
		const waiting_request_t *head =
			g_queue_peek_head(&flow->waiting);

		if (head->expires_ms <= now ||
		    !customer_may_start(flow->customer, now))
			continue;
		if (best == NULL ||
		    customer_precedes(flow->customer, best->customer))
			best = flow;
	}
	return best;
}

/*
 * Returns whether a request may start now without overtaking another that waits
 * for the same target: one of its own customer, or one that may start now.
 */
static bool may_start_at_once(customer_t *customer, const flow_queue_t *flow,
			      clock_ms_t now)
{
	if (now < flow->target_queue->blocked_until_ms ||
	    flow->waiting.length > 0)
		return false;
	return customer_may_start(customer, now) &&
	       next_flow(flow->target_queue, now) == NULL;
}

/*
 * Admits, queues or refuses a new request.  An admitted request counts as
 * running.  A queued one stays queued until admission_next() or
 * admission_expire() returns its handle or admission_cancel() removes it.
 */
admission_answer_t admission_offer(admission_t *admission,
				   const admission_offer_t *offer,
				   clock_ms_t now)
{
	const clock_ms_t expires_ms = expiry_of(admission, offer, now);
	customer_t *customer =
		g_hash_table_lookup(admission->customers, offer->customer);
	target_queue_t *target_queue =
		find_or_add_target_queue(admission, offer->target);
	flow_queue_t *flow;
	waiting_request_t *waiting;

	if (customer == NULL || !customer->has_contract)
		return refuse(NULL, ADMISSION_REASON_NO_CONTRACT, now);
	if (target_queue == NULL)
		return refuse(customer, ADMISSION_REASON_QUEUE_FULL, now);
	flow = customer_flow(customer, target_queue);
	if (expires_ms > now && may_start_at_once(customer, flow, now)) {
		customer_started(customer, false, now);
		return (admission_answer_t){ .result = ADMISSION_ADMITTED };
	}
	if (!queue_has_room(admission, customer))
		return refuse(customer, ADMISSION_REASON_QUEUE_FULL, now);
	if (would_expire(admission, customer, expires_ms, now))
		return refuse(customer, ADMISSION_REASON_TOO_LATE, now);
	waiting = add_waiting(admission, flow, offer->request, expires_ms, now);
	g_queue_push_tail_link(&flow->waiting, &waiting->link);
	return (admission_answer_t){ .result = ADMISSION_QUEUED };
}

/*
 * Removes a request that may start from its queue, stores its handle in
 * "request" and counts it as running.  It is the first in order among those for
 * one target; among targets the order is arbitrary.  Returns false if no
 * request may start.
 */
bool admission_next(admission_t *admission, clock_ms_t now, handle_t *request)
{
	GHashTableIter iter;
	gpointer target_queue;

	g_hash_table_iter_init(&iter, admission->target_queues);
	while (g_hash_table_iter_next(&iter, NULL, &target_queue)) {
		flow_queue_t *flow = next_flow(target_queue, now);

		if (flow == NULL)
			continue;
		customer_started(flow->customer, true, now);
		*request = dequeue(admission, flow->waiting.head->data);
		return true;
	}
	return false;
}

/*
 * Puts a request that was just admitted but found no free endpoint at the head
 * of its queue.  No request for its target starts until a request there ends or
 * TARGET_RETRY_DELAY_MS have passed.  The request is refused if it has expired,
 * its customer no longer has a contract or the queue is full.
 */
admission_answer_t admission_requeue(admission_t *admission,
				     const admission_offer_t *offer,
				     clock_ms_t now)
{
	const clock_ms_t expires_ms = expiry_of(admission, offer, now);
	customer_t *customer =
		g_hash_table_lookup(admission->customers, offer->customer);
	target_queue_t *target_queue =
		find_or_add_target_queue(admission, offer->target);
	flow_queue_t *flow;
	waiting_request_t *waiting;

	if (target_queue != NULL)
		target_queue->blocked_until_ms = now + TARGET_RETRY_DELAY_MS;
	if (customer == NULL || target_queue == NULL)
		return refuse(customer, ADMISSION_REASON_NO_CONTRACT, now);
	customer_undo_start(customer);
	if (!customer->has_contract)
		return refuse(customer, ADMISSION_REASON_NO_CONTRACT, now);
	if (expires_ms <= now)
		return refuse(customer, ADMISSION_REASON_TOO_LATE, now);
	if (admission->queued >= admission->queue_length_max)
		return refuse(customer, ADMISSION_REASON_QUEUE_FULL, now);
	flow = customer_flow(customer, target_queue);
	waiting = add_waiting(admission, flow, offer->request, expires_ms, now);
	g_queue_push_head_link(&flow->waiting, &waiting->link);
	return (admission_answer_t){ .result = ADMISSION_QUEUED };
}

/*
 * Records that an admitted request has ended, after "tokens" generated tokens.
 * Requests for its target may start again.
 */
void admission_finished(admission_t *admission, const char *customer_name,
			const char *target, uint64_t tokens, clock_ms_t now)
{
	customer_t *customer =
		g_hash_table_lookup(admission->customers, customer_name);
	target_queue_t *target_queue =
		g_hash_table_lookup(admission->target_queues, target);

	if (customer != NULL)
		customer_finished(customer, tokens, now);
	if (target_queue != NULL)
		target_queue->blocked_until_ms = now;
}

/* Removes a request from its queue; returns whether it was queued. */
bool admission_cancel(admission_t *admission, handle_t request)
{
	waiting_request_t *waiting =
		g_hash_table_lookup(admission->requests, &request);

	if (waiting == NULL)
		return false;
	dequeue(admission, waiting);
	return true;
}

/*
 * Removes an expired request from its queue, for the caller to refuse.  Stores
 * its handle and the time after which a retry may succeed.  Returns false if no
 * request has expired.
 */
bool admission_expire(admission_t *admission, clock_ms_t now, handle_t *request,
		      clock_ms_t *retry_after_ms)
{
	GTreeNode *node = g_tree_node_first(admission->by_expiry);
	waiting_request_t *waiting;

	if (node == NULL)
		return false;
	waiting = g_tree_node_value(node);
	if (waiting->expires_ms > now)
		return false;
	*retry_after_ms =
		refuse(waiting->flow->customer, ADMISSION_REASON_TOO_LATE, now)
			.retry_after_ms;
	*request = dequeue(admission, waiting);
	return true;
}

/*
 * Writes the entry's demand for sessions of each contract, for the next lease
 * renewal, and returns the number of records.  The first record has an empty
 * customer name: it identifies the sender as an entry even if it has no demand.
 * Customers beyond "capacity" records are left out.  The customer names remain
 * valid as long as the contracts do.
 */
size_t admission_demand(const admission_t *admission, msg_share_t *demand,
			size_t capacity)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	if (capacity > 0)
		demand[count++] = (msg_share_t){ .customer = "" };
	g_hash_table_iter_init(&iter, admission->customers);
	while (count < capacity &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		const customer_t *customer = value;

		if (customer->running + customer->queued + customer->held == 0)
			continue;
		demand[count++] = (msg_share_t){
			.customer = customer->name,
			.sessions = customer->running + customer->queued,
			.running = customer->running,
			.held = customer->held,
		};
	}
	return count;
}

/* Returns the number of queued requests. */
uint32_t admission_queue_length(const admission_t *admission)
{
	return admission->queued;
}
