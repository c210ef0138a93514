/*
 * One customer at one entry: its share of the contract, its usage, and its
 * precedence over other customers.
 *
 * A contract has three levels, as Volcano's queues have: guarantee, deserved
 * and capability.  Customers below their guarantee start first, then those
 * below their deserved sessions; the remaining sessions go by priority, highest
 * first.  Among customers that are equal in this order the one that uses the
 * smallest fraction of its deserved sessions starts first (weighted max-min
 * fairness over concurrent sessions, which are the unit of the contract).
 */
#include "wisteria/limits/customer.h"

#include <math.h>

/* Weight of the newest interval in the moving average. */
#define INTERVAL_SMOOTHING 0.2
/* Time over which unused tokens accumulate, at the contract's rate. */
#define BURST_MS 1000.0

/* Returns a customer without a contract. */
customer_t *customer_new(const char *name)
{
	customer_t *customer = g_new0(customer_t, 1);

	customer->name = g_strdup(name);
	customer->flows = g_ptr_array_new_with_free_func(g_free);
	return customer;
}

/* Frees a customer; its flows must be empty. */
void customer_free(customer_t *customer)
{
	g_ptr_array_free(customer->flows, TRUE);
	g_free(customer->name);
	g_free(customer);
}

/*
 * Returns how many sessions the entry may run: its leased share, scaled down if
 * the contract has become smaller since the share was leased.  The leader
 * scales leased shares likewise (scale_to_contract() in shares.c).
 */
static uint32_t session_limit(const preset_contract_t *contract,
			      const msg_share_t *share)
{
	uint64_t sessions;

	if (contract == NULL || share == NULL)
		return 0;
	sessions = share->sessions;
	if (share->capability > contract->capability_sessions)
		sessions = sessions * contract->capability_sessions /
			   share->capability;
	return (uint32_t)MIN(sessions, contract->capability_sessions);
}

static uint32_t fraction_of(uint32_t whole, double fraction)
{
	return (uint32_t)ceil(whole * fraction);
}

static void refill_tokens(customer_t *customer, clock_ms_t now)
{
	const double burst = customer->tokens_per_ms * BURST_MS;
	const double added = customer->tokens_per_ms *
			     (double)MAX(now - customer->refilled_ms, 0);

	customer->token_balance = MIN(customer->token_balance + added, burst);
	customer->refilled_ms = MAX(now, customer->refilled_ms);
}

/*
 * Applies a contract and this entry's leased share of it.  Either may be NULL;
 * then no session may start.
 */
void customer_set_contract(customer_t *customer,
			   const preset_contract_t *contract,
			   const msg_share_t *share, clock_ms_t now)
{
	const double old_rate = customer->tokens_per_ms;
	double fraction;

	refill_tokens(customer, now);
	customer->has_contract = contract != NULL;
	customer->held = share != NULL ? share->sessions : 0;
	customer->limit = session_limit(contract, share);
	customer->guarantee = 0;
	customer->deserved = 0;
	customer->tokens_per_ms = 0;
	if (contract == NULL || contract->capability_sessions == 0)
		return;
	fraction = (double)customer->limit / contract->capability_sessions;
	customer->priority = contract->priority;
	customer->guarantee =
		fraction_of(contract->guarantee_sessions, fraction);
	customer->deserved = fraction_of(contract->deserved_sessions, fraction);
	customer->tokens_per_ms = contract->tokens_per_s * fraction / 1000;
	if (old_rate == 0)
		customer->token_balance = customer->tokens_per_ms * BURST_MS;
}

/* Returns the customer's queue for one target, created if it is new. */
flow_queue_t *customer_flow(customer_t *customer, target_queue_t *target_queue)
{
	flow_queue_t *flow;

	while (customer->flows->len <= target_queue->index)
		g_ptr_array_add(customer->flows, NULL);
	flow = g_ptr_array_index(customer->flows, target_queue->index);
	if (flow != NULL)
		return flow;
	flow = g_new0(flow_queue_t, 1);
	flow->customer = customer;
	flow->target_queue = target_queue;
	g_queue_init(&flow->waiting);
	customer->flows->pdata[target_queue->index] = flow;
	return flow;
}

/* Returns whether the contract allows one more session to start now. */
bool customer_may_start(customer_t *customer, clock_ms_t now)
{
	if (customer->running >= customer->limit)
		return false;
	if (customer->tokens_per_ms == 0)
		return true;
	refill_tokens(customer, now);
	return customer->token_balance > 0;
}

/* Returns 0 below the guarantee, 1 below the deserved sessions, else 2. */
static int level_of(const customer_t *customer)
{
	if (customer->running < customer->guarantee)
		return 0;
	return customer->running < customer->deserved ? 1 : 2;
}

/* Returns whether this customer's next session starts before the other's. */
bool customer_precedes(const customer_t *customer, const customer_t *other)
{
	const int level = level_of(customer);
	const int other_level = level_of(other);

	if (level != other_level)
		return level < other_level;
	if (level == 2 && customer->priority != other->priority)
		return customer->priority > other->priority;
	return (uint64_t)customer->running * MAX(other->deserved, 1) <
	       (uint64_t)other->running * MAX(customer->deserved, 1);
}

/*
 * Returns the time since the last start from this customer, or since its queue
 * last became non-empty if that is later.
 */
static double elapsed_interval_ms(const customer_t *customer, clock_ms_t now)
{
	const clock_ms_t since_ms =
		MAX(customer->last_start_ms, customer->backlog_since_ms);

	return (double)(now - since_ms);
}

/* Records that a session starts; "waited": it comes from the queue. */
void customer_started(customer_t *customer, bool waited, clock_ms_t now)
{
	const double interval_ms = elapsed_interval_ms(customer, now);

	customer->running++;
	customer->previous_interval_ms = customer->interval_ms;
	customer->previous_start_ms = customer->last_start_ms;
	if (!waited)
		customer->interval_ms = 0;
	else if (customer->interval_ms == 0)
		customer->interval_ms = MAX(interval_ms, 1);
	else
		customer->interval_ms += INTERVAL_SMOOTHING *
					 (interval_ms - customer->interval_ms);
	customer->last_start_ms = now;
}

/* Reverts the last customer_started(): the session found no free endpoint. */
void customer_undo_start(customer_t *customer)
{
	if (customer->running > 0)
		customer->running--;
	customer->interval_ms = customer->previous_interval_ms;
	customer->last_start_ms = customer->previous_start_ms;
}

/* Records that a session has ended, after "tokens" generated tokens. */
void customer_finished(customer_t *customer, uint64_t tokens, clock_ms_t now)
{
	if (customer->running > 0)
		customer->running--;
	if (customer->tokens_per_ms == 0)
		return;
	refill_tokens(customer, now);
	customer->token_balance -= (double)tokens;
}

/*
 * Returns the estimated wait in milliseconds of a request with "requests_ahead"
 * requests of its customer ahead of it in the queue; 0 if there is no estimate.
 */
double customer_estimated_wait_ms(const customer_t *customer,
				  uint32_t requests_ahead, clock_ms_t now)
{
	if (customer->interval_ms == 0)
		return 0;
	return MAX(customer->interval_ms, elapsed_interval_ms(customer, now)) *
	       (requests_ahead + 1);
}
