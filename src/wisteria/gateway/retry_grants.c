/*
 * The entry's side of the retry reserve that the control instances hand out
 * (fleet/retry_reserve.c): whom to ask for how many, and what may be used.  One
 * instance is asked at a time, as what several would grant might not be used.  A
 * grant is for one retry and expires, so that entries don't save them up.
 * No clock, no I/O.
 */
#include "wisteria/gateway/retry_grants.h"

typedef struct {
	uint32_t granted; /* and not used */
	clock_ms_t expires_ms;
	uint32_t wanted;   /* since the last request */
	uint32_t instance; /* to ask next */
	uint32_t refusals; /* of different instances, one after another */
	bool is_asked;	   /* the last request is not answered */
	clock_ms_t ask_at_ms;
	clock_ms_t empty_until_ms;
} retry_balance_t;

/* Initializes an entry without grants. */
void retry_grants_init(retry_grants_t *grants)
{
	grants->balances =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the contents of "grants". */
void retry_grants_finish(retry_grants_t *grants)
{
	g_hash_table_destroy(grants->balances);
}

static retry_balance_t *find_or_add(retry_grants_t *grants, const char *service)
{
	retry_balance_t *balance =
		g_hash_table_lookup(grants->balances, service);

	if (balance == NULL) {
		balance = g_new0(retry_balance_t, 1);
		g_hash_table_insert(grants->balances, g_strdup(service),
				    balance);
	}
	return balance;
}

/* Returns whether a retry of a request for "service" is granted. */
bool retry_grants_has(retry_grants_t *grants, const char *service,
		      clock_ms_t now)
{
	const retry_balance_t *balance = find_or_add(grants, service);

	return balance->granted > 0 && now < balance->expires_ms;
}

/* Returns whether the instances have not said just now that nothing is left. */
bool retry_grants_may_come(retry_grants_t *grants, const char *service,
			   clock_ms_t now)
{
	return now >= find_or_add(grants, service)->empty_until_ms;
}

/* Uses a grant; returns false if there is none. */
bool retry_grants_take(retry_grants_t *grants, const char *service,
		       clock_ms_t now)
{
	if (!retry_grants_has(grants, service, now))
		return false;
	find_or_add(grants, service)->granted--;
	return true;
}

/*
 * Records that a request needs a retry for which there is neither a share nor a
 * grant.  Returns how many to ask "instance" for now, a number that stands for
 * one of the control instances; 0: none, as the last one has not answered or
 * has just answered.
 */
uint32_t retry_grants_want(retry_grants_t *grants, const char *service,
			   uint32_t *instance, clock_ms_t now)
{
	retry_balance_t *balance = find_or_add(grants, service);
	uint32_t count;

	if (now < balance->empty_until_ms)
		return 0;
	balance->wanted++;
	if (now < balance->ask_at_ms)
		return 0;
	balance->instance += balance->is_asked;
	balance->is_asked = true;
	balance->ask_at_ms = now + RETRY_GRANTS_ANSWER_MS;
	count = MIN(balance->wanted, RETRY_GRANTS_ASK_MAX);
	balance->wanted = 0;
	*instance = balance->instance;
	return count;
}

/*
 * Adds the answer to a request: "count" grants until "expires_ms", at least
 * one.  With those that are left of an earlier answer, all expire when the first
 * of them does.
 */
void retry_grants_add(retry_grants_t *grants, const char *service,
		      uint32_t count, clock_ms_t expires_ms, clock_ms_t now)
{
	retry_balance_t *balance = find_or_add(grants, service);

	balance->is_asked = false;
	balance->refusals = 0;
	balance->ask_at_ms = now + RETRY_GRANTS_ASK_INTERVAL_MS;
	if (balance->granted > 0 && now < balance->expires_ms)
		expires_ms = MIN(expires_ms, balance->expires_ms);
	else
		balance->granted = 0;
	balance->granted += count;
	balance->expires_ms = expires_ms;
}

/*
 * Records that the instance that was asked last has nothing left: the next one
 * is to be asked at once, unless all "instances" have answered so.
 */
void retry_grants_refused(retry_grants_t *grants, const char *service,
			  uint32_t instances, clock_ms_t now)
{
	retry_balance_t *balance = find_or_add(grants, service);

	balance->is_asked = false;
	balance->instance++;
	balance->refusals++;
	balance->ask_at_ms = now;
	if (balance->refusals < instances)
		return;
	balance->refusals = 0;
	balance->wanted = 0;
	balance->empty_until_ms = now + RETRY_GRANTS_EMPTY_INTERVAL_MS;
}
