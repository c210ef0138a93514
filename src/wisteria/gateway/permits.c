/*
 * Keeps the permits of this entry to send requests to endpoints that have named
 * a limit.  The leader issues them (fleet/permit_issuer.c); while it is silent,
 * as in an election or for an entry that is cut off, the entry issues its own at
 * its equal share of the limit.  No clock, no I/O.
 */
#include "wisteria/gateway/permits.h"

#include <math.h>
#include <string.h>

#include "wisteria/fleet/permit_issuer.h"

/* Time constant of the average of the permits that are received. */
#define RECEIVED_MS 1000.0

/* Initializes a table without permits; "random" must outlive it. */
void permits_init(permits_t *permits, GRand *random)
{
	permits->balances =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	permits->random = random;
}

/* Frees the table's contents. */
void permits_finish(permits_t *permits)
{
	g_hash_table_destroy(permits->balances);
}

static permit_balance_t *find_or_add(permits_t *permits, const char *id)
{
	permit_balance_t *balance = g_hash_table_lookup(permits->balances, id);

	if (balance == NULL) {
		balance = g_new0(permit_balance_t, 1);
		g_hash_table_insert(permits->balances, g_strdup(id), balance);
	}
	return balance;
}

/* Records that the leader issues permits for the endpoint. */
void permits_hear(permits_t *permits, const char *id, clock_ms_t now)
{
	permit_balance_t *balance = find_or_add(permits, id);

	balance->heard_ms = now;
	balance->own_filled_ms = 0;
}

static void drop_batch(permit_balance_t *balance)
{
	balance->batch_count--;
	memmove(&balance->batches[0], &balance->batches[1],
		balance->batch_count * sizeof(balance->batches[0]));
}

static double received_per_s(const permit_balance_t *balance, clock_ms_t now)
{
	return balance->received *
	       exp(-(double)(now - balance->received_ms) / RECEIVED_MS);
}

/* Adds permits of the leader for an endpoint with this limit. */
void permits_add(permits_t *permits, const char *id, uint32_t count,
		 double per_s, clock_ms_t now)
{
	permit_balance_t *balance = find_or_add(permits, id);

	if (count == 0)
		return;
	if (balance->batch_count == PERMITS_BATCHES_MAX)
		drop_batch(balance);
	balance->batches[balance->batch_count++] = (permit_batch_t){
		.count = count,
		.expires_ms = now + permit_valid_ms(per_s),
	};
	balance->received = received_per_s(balance, now) + count;
	balance->received_ms = now;
}

static bool is_leader_silent(const permit_balance_t *balance, clock_ms_t now)
{
	return balance->heard_ms == 0 ||
	       now - balance->heard_ms >= PERMITS_LEADER_SILENT_MS;
}

/*
 * Adds this entry's own permits since the last call.  It begins with a random
 * part of one, so that the entries do not all send at the same moment.
 */
static void fill_own(permits_t *permits, permit_balance_t *balance,
		     double own_per_s, clock_ms_t now)
{
	if (balance->own_filled_ms == 0) {
		balance->own_credit = g_rand_double(permits->random);
		balance->own_filled_ms = now;
	}
	balance->own_credit +=
		own_per_s * (double)(now - balance->own_filled_ms) / 1000;
	balance->own_credit = MIN(balance->own_credit, 1);
	balance->own_filled_ms = now;
}

/*
 * Returns whether a request may be sent to the endpoint.  "own_per_s" is this
 * entry's equal share of the limit.
 */
bool permits_allow(permits_t *permits, const char *id, double own_per_s,
		   clock_ms_t now)
{
	permit_balance_t *balance = find_or_add(permits, id);

	while (balance->batch_count > 0 &&
	       now >= balance->batches[0].expires_ms)
		drop_batch(balance);
	if (balance->batch_count > 0)
		return true;
	if (!is_leader_silent(balance, now))
		return false;
	fill_own(permits, balance, own_per_s, now);
	return balance->own_credit >= 1;
}

/*
 * Returns what permits_allow() would; changes nothing.  The random part with
 * which own permits begin is less than one, so that the first call never allows.
 */
bool permits_would_allow(const permits_t *permits, const char *id,
			 double own_per_s, clock_ms_t now)
{
	const permit_balance_t *balance =
		g_hash_table_lookup(permits->balances, id);
	double filled;

	if (balance == NULL)
		return false;
	for (uint32_t i = 0; i < balance->batch_count; i++)
		if (now < balance->batches[i].expires_ms)
			return true;
	if (!is_leader_silent(balance, now) || balance->own_filled_ms == 0)
		return false;
	filled = own_per_s * (double)(now - balance->own_filled_ms) / 1000;
	return MIN(balance->own_credit + filled, 1) >= 1;
}

/* Uses a permit, after permits_allow(). */
void permits_use(permits_t *permits, const char *id, clock_ms_t now)
{
	permit_balance_t *balance = find_or_add(permits, id);

	if (balance->batch_count == 0) {
		if (is_leader_silent(balance, now))
			balance->own_credit -= 1;
		return;
	}
	if (--balance->batches[0].count == 0)
		drop_batch(balance);
}

/* Returns how many permits per second this entry can count on. */
double permits_rate(permits_t *permits, const char *id, double own_per_s,
		    clock_ms_t now)
{
	const permit_balance_t *balance = find_or_add(permits, id);

	return is_leader_silent(balance, now) ? own_per_s
					      : received_per_s(balance, now);
}

/* Records that a request would be sent to the endpoint. */
void permits_want(permits_t *permits, const char *id)
{
	find_or_add(permits, id)->wanted++;
}

/* Returns the requests that permits_want() recorded since the last call. */
uint32_t permits_collect_wanted(permits_t *permits, const char *id)
{
	permit_balance_t *balance = g_hash_table_lookup(permits->balances, id);
	uint32_t wanted = balance == NULL ? 0 : balance->wanted;

	if (balance != NULL)
		balance->wanted = 0;
	return wanted;
}

/* Forgets an endpoint that has no limit any more. */
void permits_forget(permits_t *permits, const char *id)
{
	g_hash_table_remove(permits->balances, id);
}
