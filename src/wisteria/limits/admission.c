/*
 * Admission at one entry.  What the contracts allow and an endpoint may take
 * starts at once; the rest waits in queues bounded by length and by time.  A
 * request that can't be served in time is refused when it comes, with the
 * time after which it is worth asking again.
 */
#include "wisteria/limits/admission.h"

#include <string.h>

#include <glib.h>

#include "wisteria/limits/customer.h"

/* How long a target without a free endpoint is left alone. */
#define BLOCKED_MS 20
#define RETRY_AFTER_LEAST_MS 100
#define RETRY_AFTER_MOST_MS 60000
#define RETRY_AFTER_DEFAULT_MS 1000

struct admission_t {
	GHashTable *customers; /* name -> customer_t * */
	GHashTable *lanes;     /* target -> lane_t * */
	GHashTable *requests;  /* gint64 of the handle -> waiting_t * */
	GTree *by_expiry;      /* waiting_t *, the next to expire first */
	uint32_t queue_length;
	clock_ms_t queue_ms;
	uint32_t queued;
	uint64_t next_serial;
};

static int compare_expiry(const void *a, const void *b, void *unused)
{
	const waiting_t *left = a;
	const waiting_t *right = b;

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

static void free_lane(void *data)
{
	lane_t *lane = data;

	g_ptr_array_free(lane->active, TRUE);
	g_free(lane->target);
	g_free(lane);
}

/* Returns an admission under which nobody has a contract yet. */
admission_t *admission_new(void)
{
	admission_t *admission = g_new0(admission_t, 1);

	admission->customers = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, free_customer);
	admission->lanes =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_lane);
	admission->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, g_free);
	admission->by_expiry =
		g_tree_new_full(compare_expiry, NULL, NULL, NULL);
	return admission;
}

/* Frees an admission; NULL is ignored. */
void admission_free(admission_t *admission)
{
	if (admission == NULL)
		return;
	g_tree_destroy(admission->by_expiry);
	g_hash_table_destroy(admission->requests);
	g_hash_table_destroy(admission->customers);
	g_hash_table_destroy(admission->lanes);
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

/* Returns the lane of a target, added if it is new; NULL at the limit. */
static lane_t *find_or_add_lane(admission_t *admission, const char *target)
{
	lane_t *lane = g_hash_table_lookup(admission->lanes, target);

	if (lane != NULL)
		return lane;
	if (g_hash_table_size(admission->lanes) == ADMISSION_TARGETS_MAX)
		return NULL;
	lane = g_new0(lane_t, 1);
	lane->target = g_strdup(target);
	lane->index = g_hash_table_size(admission->lanes);
	lane->active = g_ptr_array_new();
	g_hash_table_insert(admission->lanes, lane->target, lane);
	return lane;
}

static void reschedule_expiry(admission_t *admission, waiting_t *waiting,
			      clock_ms_t expires_ms)
{
	g_tree_remove(admission->by_expiry, waiting);
	waiting->expires_ms = expires_ms;
	g_tree_insert(admission->by_expiry, waiting, waiting);
}

/* Lets all that waits for a customer without a contract expire. */
static void expire_all_of(admission_t *admission, customer_t *customer,
			  clock_ms_t now)
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
	expire_all_of(admission, customer, now);
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
 * Takes over the contracts of the preset in force and the parts of them that
 * this entry has leased.  What has started goes on; what waits for a customer
 * that has no contract any more expires at once.
 */
void admission_set_contracts(admission_t *admission, const preset_t *preset,
			     const msg_share_t *shares, size_t share_count,
			     clock_ms_t now)
{
	GHashTable *by_name = shares_by_name(shares, share_count);
	GHashTable *contracts = g_hash_table_new(g_str_hash, g_str_equal);

	admission->queue_length = preset->limits.queue_length;
	admission->queue_ms = preset->limits.queue_ms;
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

static admission_answer_t refuse(const customer_t *customer,
				 admission_reason_t reason, clock_ms_t now)
{
	double wait_ms = 0;

	if (customer != NULL && customer->queued > 0)
		wait_ms = customer_wait_ms(customer, customer->queued - 1, now);
	if (wait_ms == 0)
		wait_ms = RETRY_AFTER_DEFAULT_MS;
	wait_ms = CLAMP(wait_ms, RETRY_AFTER_LEAST_MS, RETRY_AFTER_MOST_MS);
	return (admission_answer_t){
		.result = ADMISSION_REFUSED,
		.reason = reason,
		.retry_after_ms = (clock_ms_t)wait_ms,
	};
}

/*
 * Whether the queue has room for one more of this customer.  A customer may
 * take as much as is left free, so that some always is (Choudhury and Hahne
 * 1998, "Dynamic queue length thresholds for shared-memory packet
 * switches").
 */
static bool has_room(const admission_t *admission, const customer_t *customer)
{
	if (admission->queued >= admission->queue_length)
		return false;
	return customer->queued < admission->queue_length - admission->queued;
}

static bool comes_too_late(const admission_t *admission,
			   const customer_t *customer, clock_ms_t expires_ms,
			   clock_ms_t now)
{
	if (expires_ms <= now)
		return true;
	if (customer->queued == 0)
		return false;
	return customer_wait_ms(customer, customer->queued, now) >
	       (double)MIN(expires_ms - now, admission->queue_ms);
}

static clock_ms_t expiry_of(const admission_t *admission,
			    const admission_offer_t *offer, clock_ms_t now)
{
	const clock_ms_t since_ms =
		offer->offered_ms != 0 ? offer->offered_ms : now;

	return MIN(offer->deadline_ms, since_ms + admission->queue_ms);
}

static waiting_t *enqueue(admission_t *admission, flow_queue_t *flow,
			  handle_t request, clock_ms_t expires_ms,
			  clock_ms_t now)
{
	waiting_t *waiting = g_new0(waiting_t, 1);

	if (g_queue_is_empty(&flow->waiting))
		g_ptr_array_add(flow->lane->active, flow);
	waiting->link.data = waiting;
	waiting->request = request;
	waiting->flow = flow;
	waiting->expires_ms = expires_ms;
	waiting->serial = admission->next_serial++;
	if (flow->customer->queued++ == 0)
		flow->customer->backlog_ms = now;
	admission->queued++;
	g_tree_insert(admission->by_expiry, waiting, waiting);
	g_hash_table_insert(admission->requests, &waiting->request, waiting);
	return waiting;
}

static handle_t dequeue(admission_t *admission, waiting_t *waiting)
{
	flow_queue_t *flow = waiting->flow;
	const handle_t request = waiting->request;

	g_queue_unlink(&flow->waiting, &waiting->link);
	if (g_queue_is_empty(&flow->waiting))
		g_ptr_array_remove_fast(flow->lane->active, flow);
	flow->customer->queued--;
	admission->queued--;
	g_tree_remove(admission->by_expiry, waiting);
	g_hash_table_remove(admission->requests, &waiting->request);
	return request;
}

/* Returns the flow of a lane whose turn it is, or NULL. */
static flow_queue_t *next_of_lane(const lane_t *lane, clock_ms_t now)
{
	flow_queue_t *best = NULL;

	if (now < lane->blocked_until_ms)
		return NULL;
	for (guint i = 0; i < lane->active->len; i++) {
		flow_queue_t *flow = g_ptr_array_index(lane->active, i);
		const waiting_t *head = g_queue_peek_head(&flow->waiting);

		if (head->expires_ms <= now ||
		    !customer_may_start(flow->customer, now))
			continue;
		if (best == NULL ||
		    customer_goes_before(flow->customer, best->customer))
			best = flow;
	}
	return best;
}

/* Whether a request may start without passing any that waits. */
static bool may_start_at_once(customer_t *customer, const flow_queue_t *flow,
			      clock_ms_t now)
{
	if (now < flow->lane->blocked_until_ms || flow->waiting.length > 0)
		return false;
	return customer_may_start(customer, now) &&
	       next_of_lane(flow->lane, now) == NULL;
}

/*
 * Answers a request that comes in.  ADMISSION_ADMITTED counts it as running;
 * ADMISSION_QUEUED keeps its handle until it is given out, expired or
 * cancelled.
 */
admission_answer_t admission_offer(admission_t *admission,
				   const admission_offer_t *offer,
				   clock_ms_t now)
{
	const clock_ms_t expires_ms = expiry_of(admission, offer, now);
	customer_t *customer =
		g_hash_table_lookup(admission->customers, offer->customer);
	lane_t *lane = find_or_add_lane(admission, offer->target);
	flow_queue_t *flow;
	waiting_t *waiting;

	if (customer == NULL || !customer->listed)
		return refuse(NULL, ADMISSION_REASON_NO_CONTRACT, now);
	if (lane == NULL)
		return refuse(customer, ADMISSION_REASON_QUEUE_FULL, now);
	flow = customer_flow(customer, lane);
	if (expires_ms > now && may_start_at_once(customer, flow, now)) {
		customer_started(customer, false, now);
		return (admission_answer_t){ .result = ADMISSION_ADMITTED };
	}
	if (!has_room(admission, customer))
		return refuse(customer, ADMISSION_REASON_QUEUE_FULL, now);
	if (comes_too_late(admission, customer, expires_ms, now))
		return refuse(customer, ADMISSION_REASON_TOO_LATE, now);
	waiting = enqueue(admission, flow, offer->request, expires_ms, now);
	g_queue_push_tail_link(&flow->waiting, &waiting->link);
	return (admission_answer_t){ .result = ADMISSION_QUEUED };
}

/*
 * Gives out the next waiting request that may start, and counts it as
 * running.
 */
bool admission_next(admission_t *admission, clock_ms_t now, handle_t *request)
{
	GHashTableIter iter;
	gpointer lane;

	g_hash_table_iter_init(&iter, admission->lanes);
	while (g_hash_table_iter_next(&iter, NULL, &lane)) {
		flow_queue_t *flow = next_of_lane(lane, now);

		if (flow == NULL)
			continue;
		customer_started(flow->customer, true, now);
		*request = dequeue(admission, flow->waiting.head->data);
		return true;
	}
	return false;
}

/*
 * Takes back a request that was just let in but found no free endpoint.  It
 * waits at the head of its queue, and its target is left alone until a
 * session there ends, or for a moment.  Refused only where its deadline has
 * passed or its contract is gone.
 */
admission_answer_t admission_put_back(admission_t *admission,
				      const admission_offer_t *offer,
				      clock_ms_t now)
{
	const clock_ms_t expires_ms = expiry_of(admission, offer, now);
	customer_t *customer =
		g_hash_table_lookup(admission->customers, offer->customer);
	lane_t *lane = find_or_add_lane(admission, offer->target);
	flow_queue_t *flow;
	waiting_t *waiting;

	if (lane != NULL)
		lane->blocked_until_ms = now + BLOCKED_MS;
	if (customer == NULL || lane == NULL)
		return refuse(customer, ADMISSION_REASON_NO_CONTRACT, now);
	customer_put_back(customer);
	if (!customer->listed)
		return refuse(customer, ADMISSION_REASON_NO_CONTRACT, now);
	if (expires_ms <= now)
		return refuse(customer, ADMISSION_REASON_TOO_LATE, now);
	if (admission->queued >= admission->queue_length)
		return refuse(customer, ADMISSION_REASON_QUEUE_FULL, now);
	flow = customer_flow(customer, lane);
	waiting = enqueue(admission, flow, offer->request, expires_ms, now);
	g_queue_push_head_link(&flow->waiting, &waiting->link);
	return (admission_answer_t){ .result = ADMISSION_QUEUED };
}

/* A request that was let in has ended, after making "tokens". */
void admission_finished(admission_t *admission, const char *customer_name,
			const char *target, uint64_t tokens, clock_ms_t now)
{
	customer_t *customer =
		g_hash_table_lookup(admission->customers, customer_name);
	lane_t *lane = g_hash_table_lookup(admission->lanes, target);

	if (customer != NULL)
		customer_finished(customer, tokens, now);
	if (lane != NULL)
		lane->blocked_until_ms = now;
}

/* Forgets a waiting request; returns whether it was waiting. */
bool admission_cancel(admission_t *admission, handle_t request)
{
	waiting_t *waiting = g_hash_table_lookup(admission->requests, &request);

	if (waiting == NULL)
		return false;
	dequeue(admission, waiting);
	return true;
}

/*
 * Gives out a waiting request whose time is over, to be refused at once, and
 * the time after which it is worth asking again.
 */
bool admission_expire(admission_t *admission, clock_ms_t now, handle_t *request,
		      clock_ms_t *retry_after_ms)
{
	GTreeNode *node = g_tree_node_first(admission->by_expiry);
	waiting_t *waiting;

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
 * Writes what the entry wants of each contract, for the next renewal, and
 * returns the number of lines.  The first has no customer: it marks an entry
 * also where nothing is wanted.  Names live as long as the contracts do.
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

/* Returns how many requests wait. */
uint32_t admission_queued(const admission_t *admission)
{
	return admission->queued;
}
