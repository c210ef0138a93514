/*
 * One customer at one entry: its part of the contract, what it uses, and
 * whose turn comes before whose.
 *
 * A contract has three levels, as Volcano's queues have: guarantee, deserved
 * and capability.  Customers below their guarantee go first, then those
 * below what they deserve; what is left is lent by priority.  Within a level
 * the one that uses the least of what it deserves goes first (weighted
 * max-min fairness over the sessions at a time, which the contract counts).
 */
#include "wisteria/limits/customer.h"

#include <math.h>

#define INTERVAL_SMOOTHING 0.2
/* A customer may save up tokens for this long. */
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
 * The sessions that the entry may run: its leased part, cut down by as much
 * as the contract has shrunk since the part was leased.
 */
static uint32_t limit_of(const preset_contract_t *contract,
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

static uint32_t part_of(uint32_t whole, double part)
{
	return (uint32_t)ceil(whole * part);
}

static void refill(customer_t *customer, clock_ms_t now)
{
	const double burst = customer->tokens_per_ms * BURST_MS;
	const double added = customer->tokens_per_ms *
			     (double)MAX(now - customer->refilled_ms, 0);

	customer->token_balance = MIN(customer->token_balance + added, burst);
	customer->refilled_ms = MAX(now, customer->refilled_ms);
}

/*
 * Takes over a contract and this entry's leased part of it; either may be
 * NULL, and then nothing may start.
 */
void customer_set_contract(customer_t *customer,
			   const preset_contract_t *contract,
			   const msg_share_t *share, clock_ms_t now)
{
	const double old_rate = customer->tokens_per_ms;
	double part;

	refill(customer, now);
	customer->listed = contract != NULL;
	customer->held = share != NULL ? share->sessions : 0;
	customer->limit = limit_of(contract, share);
	customer->guarantee = 0;
	customer->deserved = 0;
	customer->tokens_per_ms = 0;
	if (contract == NULL || contract->capability_sessions == 0)
		return;
	part = (double)customer->limit / contract->capability_sessions;
	customer->priority = contract->priority;
	customer->guarantee = part_of(contract->guarantee_sessions, part);
	customer->deserved = part_of(contract->deserved_sessions, part);
	customer->tokens_per_ms = contract->tokens_per_s * part / 1000;
	if (old_rate == 0)
		customer->token_balance = customer->tokens_per_ms * BURST_MS;
}

/* Returns the customer's queue for one target. */
flow_queue_t *customer_flow(customer_t *customer, lane_t *lane)
{
	flow_queue_t *flow;

	while (customer->flows->len <= lane->index)
		g_ptr_array_add(customer->flows, NULL);
	flow = g_ptr_array_index(customer->flows, lane->index);
	if (flow != NULL)
		return flow;
	flow = g_new0(flow_queue_t, 1);
	flow->customer = customer;
	flow->lane = lane;
	g_queue_init(&flow->waiting);
	customer->flows->pdata[lane->index] = flow;
	return flow;
}

/* Whether the contract lets one session more start now. */
bool customer_may_start(customer_t *customer, clock_ms_t now)
{
	if (customer->running >= customer->limit)
		return false;
	if (customer->tokens_per_ms == 0)
		return true;
	refill(customer, now);
	return customer->token_balance > 0;
}

static int level_of(const customer_t *customer)
{
	if (customer->running < customer->guarantee)
		return 0;
	return customer->running < customer->deserved ? 1 : 2;
}

/* Whether it is this customer's turn before the other's. */
bool customer_goes_before(const customer_t *customer, const customer_t *other)
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

/* Time since the last start, or since something waits if that is less. */
static double pace_ms(const customer_t *customer, clock_ms_t now)
{
	const clock_ms_t since_ms =
		MAX(customer->last_start_ms, customer->backlog_ms);

	return (double)(now - since_ms);
}

/* A session starts; "waited" says that it comes out of the queue. */
void customer_started(customer_t *customer, bool waited, clock_ms_t now)
{
	const double interval_ms = pace_ms(customer, now);

	customer->running++;
	customer->interval_before_ms = customer->interval_ms;
	customer->start_before_ms = customer->last_start_ms;
	if (!waited)
		customer->interval_ms = 0;
	else if (customer->interval_ms == 0)
		customer->interval_ms = MAX(interval_ms, 1);
	else
		customer->interval_ms += INTERVAL_SMOOTHING *
					 (interval_ms - customer->interval_ms);
	customer->last_start_ms = now;
}

/* The session that was started last found no endpoint and waits again. */
void customer_put_back(customer_t *customer)
{
	if (customer->running > 0)
		customer->running--;
	customer->interval_ms = customer->interval_before_ms;
	customer->last_start_ms = customer->start_before_ms;
}

/* A session has ended after making "tokens". */
void customer_finished(customer_t *customer, uint64_t tokens, clock_ms_t now)
{
	if (customer->running > 0)
		customer->running--;
	if (customer->tokens_per_ms == 0)
		return;
	refill(customer, now);
	customer->token_balance -= (double)tokens;
}

/*
 * Returns how long a request would wait that has "behind" others of its
 * customer before it; 0 where nothing is known.
 */
double customer_wait_ms(const customer_t *customer, uint32_t behind,
			clock_ms_t now)
{
	if (customer->interval_ms == 0)
		return 0;
	return MAX(customer->interval_ms, pace_ms(customer, now)) *
	       (behind + 1);
}
