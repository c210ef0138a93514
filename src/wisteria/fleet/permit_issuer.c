/*
 * Divides the requests that limited endpoints take among the entries.  Permits
 * for an endpoint are issued at the rate of its limit and go to the entries in
 * proportion to their demand; they are whole requests, since a hundred entries
 * may share one request per second, and they expire, so that entries cannot save
 * them up and use them together.  Within any time all entries together send at
 * most the limit times that time, PERMIT_CREDIT_MAX_MS, the validity of a permit
 * and its time in transit.
 * No clock, no I/O.
 */
#include "wisteria/fleet/permit_issuer.h"

#include <math.h>
#include <stdbool.h>

/* Less demand than this is none: the request has most likely been given up. */
#define DEMAND_MIN 0.3

typedef struct {
	const void *entry;
	double wanted; /* requests for which it has had no permit yet */
	clock_ms_t reported_ms;
	double due; /* permits that it is owed, or has had too many of */
	uint32_t granted;
} permit_share_t;

typedef struct {
	double credit; /* permits that can be issued */
	clock_ms_t filled_ms;
	GArray *shares; /* of permit_share_t */
} permit_account_t;

static void free_account(gpointer data)
{
	g_array_unref(((permit_account_t *)data)->shares);
	g_free(data);
}

/* Initializes an issuer without endpoints. */
void permit_issuer_init(permit_issuer_t *issuer)
{
	issuer->accounts = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_account);
}

/* Frees the issuer's contents. */
void permit_issuer_finish(permit_issuer_t *issuer)
{
	g_hash_table_destroy(issuer->accounts);
}

/* Returns how long a permit for an endpoint with this limit is valid. */
clock_ms_t permit_valid_ms(double per_s)
{
	return (clock_ms_t)CLAMP(1000 / per_s, PERMIT_VALID_MIN_MS,
				 PERMIT_VALID_MAX_MS);
}

static permit_account_t *find_or_add(permit_issuer_t *issuer, const char *id,
				     clock_ms_t now)
{
	permit_account_t *account = g_hash_table_lookup(issuer->accounts, id);

	if (account != NULL)
		return account;
	account = g_new0(permit_account_t, 1);
	account->filled_ms = now;
	account->shares = g_array_new(FALSE, FALSE, sizeof(permit_share_t));
	g_hash_table_insert(issuer->accounts, g_strdup(id), account);
	return account;
}

static permit_share_t *share_at(const permit_account_t *account, guint i)
{
	return &g_array_index(account->shares, permit_share_t, i);
}

static permit_share_t *find_share(const permit_account_t *account,
				  const void *entry)
{
	for (guint i = 0; i < account->shares->len; i++)
		if (share_at(account, i)->entry == entry)
			return share_at(account, i);
	return NULL;
}

/* Returns how many requests of the entry still want a permit. */
static double demand(const permit_share_t *share, clock_ms_t now)
{
	double age_ms = (double)(now - share->reported_ms);
	double wanted = share->wanted * exp(-age_ms / PERMIT_DEMAND_MS);

	return wanted < DEMAND_MIN ? 0 : wanted;
}

/* Records that "entry" had "requests" for the endpoint since its last report. */
void permit_issuer_want(permit_issuer_t *issuer, const char *id,
			const void *entry, uint32_t requests, clock_ms_t now)
{
	permit_account_t *account = find_or_add(issuer, id, now);
	permit_share_t *share = find_share(account, entry);

	if (share == NULL) {
		const permit_share_t added = { .entry = entry };

		g_array_append_val(account->shares, added);
		share = share_at(account, account->shares->len - 1);
	}
	share->wanted = demand(share, now) + requests;
	share->reported_ms = now;
}

static double total_demand(const permit_account_t *account, clock_ms_t now)
{
	double total = 0;

	for (guint i = 0; i < account->shares->len; i++)
		total += demand(share_at(account, i), now);
	return total;
}

/* Returns the entry with demand that is owed most; NULL: there is no demand. */
static permit_share_t *most_due(const permit_account_t *account, clock_ms_t now)
{
	permit_share_t *most = NULL;

	for (guint i = 0; i < account->shares->len; i++) {
		permit_share_t *share = share_at(account, i);

		if (demand(share, now) > 0 &&
		    (most == NULL || share->due > most->due))
			most = share;
	}
	return most;
}

static void grant(permit_share_t *share, uint32_t permits, clock_ms_t now)
{
	share->wanted = MAX(demand(share, now) - permits, 0);
	share->reported_ms = now;
	share->granted += permits;
	share->due -= permits;
}

/*
 * Divides up to "count" permits in proportion to the demand of the entries.
 * Returns how many are left over.
 */
static uint32_t divide(permit_account_t *account, uint32_t count, double total,
		       clock_ms_t now)
{
	double part = MIN(count / total, 1);
	permit_share_t *share;

	for (guint i = 0; i < account->shares->len; i++) {
		uint32_t permits;

		share = share_at(account, i);
		share->due =
			CLAMP(share->due, -1, 1) + demand(share, now) * part;
		permits = (uint32_t)CLAMP(share->due, 0, (double)count);
		grant(share, permits, now);
		count -= permits;
	}
	while (count > 0 && (share = most_due(account, now)) != NULL) {
		grant(share, 1, now);
		count--;
	}
	return count;
}

/*
 * Issues the permits for the time since the last call.  Without demand they are
 * kept as credit.
 */
void permit_issuer_issue(permit_issuer_t *issuer, const char *id, double per_s,
			 clock_ms_t now)
{
	permit_account_t *account = find_or_add(issuer, id, now);
	double total = total_demand(account, now);
	uint32_t count;

	account->credit += per_s * (double)(now - account->filled_ms) / 1000;
	account->credit = MIN(account->credit,
			      MAX(1, per_s * PERMIT_CREDIT_MAX_MS / 1000.0));
	account->filled_ms = now;
	count = (uint32_t)account->credit;
	if (count > 0 && total > 0)
		account->credit -= count - divide(account, count, total, now);
}

/* Returns the permits that were issued to "entry" since the last call. */
uint32_t permit_issuer_collect(permit_issuer_t *issuer, const char *id,
			       const void *entry)
{
	const permit_account_t *account =
		g_hash_table_lookup(issuer->accounts, id);
	permit_share_t *share =
		account == NULL ? NULL : find_share(account, entry);
	uint32_t granted = share == NULL ? 0 : share->granted;

	if (share != NULL)
		share->granted = 0;
	return granted;
}

/* Forgets the demand of an entry that is disconnected. */
void permit_issuer_forget_entry(permit_issuer_t *issuer, const void *entry)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, issuer->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const permit_account_t *account = value;

		for (guint i = account->shares->len; i-- > 0;)
			if (share_at(account, i)->entry == entry)
				g_array_remove_index_fast(account->shares, i);
	}
}

/* Forgets an endpoint that has no limit any more. */
void permit_issuer_forget(permit_issuer_t *issuer, const char *id)
{
	g_hash_table_remove(issuer->accounts, id);
}
