/*
 * Leases shares of contracts to entries.  An entry may use a share until the
 * lease under which it was granted expires, also if a smaller one has replaced
 * it, since that reply may be delayed or lost.  The larger one counts as leased
 * at least until then (see grant()), so that the shares of a contract of
 * constant size never add up to more than the contract.  After a contract has
 * become smaller they may exceed it until the earlier shares no longer count.
 *
 * Shares follow demand.  A demand below the base share, an equal part of half
 * the contract, counts as the base share, so that a first request need not wait
 * for a renewal.  If the contract has enough for all demands, each is met and
 * the sessions without demand are divided equally.  Otherwise each demand is
 * met up to the base share, and the remaining sessions are divided in
 * proportion to the demand above it.  With more than IDLE_CONTRACTS_MAX
 * contracts, demand isn't raised to the base share and an entry without demand
 * gets no share.
 */
#include "wisteria/limits/shares.h"

#include <string.h>

/*
 * With more contracts than this in the preset, an entry without demand for a
 * contract gets no share of it, and a renewal reply lists only the contracts
 * with demand.
 */
#define IDLE_CONTRACTS_MAX 64
/* Time after which sessions left over by rounding pass to other entries. */
#define REMAINDER_ROTATION_MS 10000

/* One entry's demand for a contract and its share of it, in sessions. */
typedef struct {
	uint32_t wanted;
	uint32_t running;
	uint32_t granted;
	uint32_t previous_max;	      /* largest earlier share that counts */
	clock_ms_t previous_until_ms; /* counts as leased before this time */
	uint32_t capability; /* of the contract when "granted" was set */
} entry_share_t;

typedef struct {
	char *customer;
	bool in_preset; /* is in the preset in force */
	uint32_t capability;
	GArray *entry_shares; /* of entry_share_t, by index of the entry */
} contract_t;

/* The lease of one entry, as of its last renewal. */
typedef struct {
	char *instance;
	clock_ms_t renewed_ms;
} entry_lease_t;

struct shares_t {
	clock_ms_t lease_ms;
	clock_ms_t grace_until_ms; /* see shares_new() */
	GArray *entries;	   /* of entry_lease_t */
	GHashTable *contracts;	   /* customer -> contract_t * */
	guint preset_contract_count;
};

static void free_contract(void *data)
{
	contract_t *contract = data;

	g_array_free(contract->entry_shares, TRUE);
	g_free(contract->customer);
	g_free(contract);
}

static void clear_lease(void *data)
{
	entry_lease_t *lease = data;

	g_free(lease->instance);
}

/*
 * Returns a state without contracts or leases.  Shares that an earlier leader
 * granted may be in use until "grace_until_ms"; until then each entry is
 * granted at most the share that it already holds.  It is 0 for a group that
 * had no leader before.
 */
shares_t *shares_new(clock_ms_t lease_ms, clock_ms_t grace_until_ms)
{
	shares_t *shares = g_new0(shares_t, 1);

	shares->lease_ms = lease_ms;
	shares->grace_until_ms = grace_until_ms;
	shares->entries = g_array_new(FALSE, TRUE, sizeof(entry_lease_t));
	g_array_set_clear_func(shares->entries, clear_lease);
	shares->contracts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  free_contract);
	return shares;
}

/* Frees the state; NULL is ignored. */
void shares_free(shares_t *shares)
{
	if (shares == NULL)
		return;
	g_hash_table_destroy(shares->contracts);
	g_array_free(shares->entries, TRUE);
	g_free(shares);
}

static contract_t *find_or_add_contract(shares_t *shares, const char *customer)
{
	contract_t *contract = g_hash_table_lookup(shares->contracts, customer);

	if (contract != NULL)
		return contract;
	contract = g_new0(contract_t, 1);
	contract->customer = g_strdup(customer);
	contract->entry_shares =
		g_array_new(FALSE, TRUE, sizeof(entry_share_t));
	g_hash_table_insert(shares->contracts, contract->customer, contract);
	return contract;
}

/*
 * Applies the contracts of the preset in force.  A contract that the preset no
 * longer has keeps its recorded shares.  They count as leased if it returns,
 * unless the lease of the entry has expired meanwhile.
 */
void shares_set_contracts(shares_t *shares, const preset_t *preset)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shares->contracts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((contract_t *)value)->in_preset = false;
	for (unsigned i = 0; i < preset->contracts_count; i++) {
		contract_t *contract = find_or_add_contract(
			shares, preset->contracts[i].customer);

		contract->in_preset = true;
		contract->capability = preset->contracts[i].capability_sessions;
	}
	shares->preset_contract_count = preset->contracts_count;
}

static entry_share_t *share_at(const contract_t *contract, guint entry)
{
	if (contract->entry_shares->len <= entry)
		g_array_set_size(contract->entry_shares, entry + 1);
	return &g_array_index(contract->entry_shares, entry_share_t, entry);
}

/* Returns whether an entry renewed its lease within the last lease duration. */
static bool entry_is_live(const shares_t *shares, guint entry, clock_ms_t now)
{
	const entry_lease_t *lease =
		&g_array_index(shares->entries, entry_lease_t, entry);

	return now - lease->renewed_ms < shares->lease_ms;
}

/*
 * Scales a share down if its contract has become smaller since the grant.  The
 * entry applies the same scaling to its limit (session_limit() in customer.c).
 */
static uint32_t scale_to_contract(const contract_t *contract,
				  const entry_share_t *share, uint32_t sessions)
{
	if (share->capability <= contract->capability)
		return sessions;
	return (uint32_t)((uint64_t)sessions * contract->capability /
			  share->capability);
}

/*
 * Returns the sessions that count as leased to an entry: its share, or a larger
 * earlier one that still counts.
 */
static uint32_t leased_sessions(const shares_t *shares,
				const contract_t *contract, guint entry,
				clock_ms_t now)
{
	const entry_share_t *share = share_at(contract, entry);
	uint32_t sessions = share->granted;

	if (!entry_is_live(shares, entry, now))
		return 0;
	if (now < share->previous_until_ms)
		sessions = MAX(sessions, share->previous_max);
	return scale_to_contract(contract, share, sessions);
}

/*
 * Returns the sessions taken up by an entry: its leased or its running ones,
 * whichever are more.  More may run than are leased, since running sessions
 * continue when the share is reduced.
 */
static uint32_t committed_sessions(const shares_t *shares,
				   const contract_t *contract, guint entry,
				   clock_ms_t now)
{
	if (!entry_is_live(shares, entry, now))
		return 0;
	return MAX(leased_sessions(shares, contract, entry, now),
		   share_at(contract, entry)->running);
}

/*
 * Returns the sum of the leased shares of a customer's contract.  It may exceed
 * a contract that has become smaller.  Used by tests.
 */
uint32_t shares_leased_sessions(const shares_t *shares, const char *customer,
				clock_ms_t now)
{
	const contract_t *contract =
		g_hash_table_lookup(shares->contracts, customer);
	uint32_t sum = 0;

	if (contract == NULL)
		return 0;
	for (guint i = 0; i < shares->entries->len; i++)
		sum += leased_sessions(shares, contract, i, now);
	return sum;
}

/* Returns the index of an entry, added if it is new. */
static guint find_or_add_entry(shares_t *shares, const char *instance,
			       clock_ms_t now)
{
	entry_lease_t added = { .renewed_ms = now };

	for (guint i = 0; i < shares->entries->len; i++)
		if (strcmp(g_array_index(shares->entries, entry_lease_t, i)
				   .instance,
			   instance) == 0)
			return i;
	added.instance = g_strdup(instance);
	g_array_append_val(shares->entries, added);
	return shares->entries->len - 1;
}

/* Returns the number of live entries; at least 1, since it is a divisor. */
static guint live_entry_count(const shares_t *shares, clock_ms_t now)
{
	guint count = 0;

	for (guint i = 0; i < shares->entries->len; i++)
		count += entry_is_live(shares, i, now);
	return MAX(count, 1);
}

/*
 * Returns the base share of each live entry.  Demand up to it is met before the
 * rest of the contract is divided.
 */
static uint32_t base_share(const contract_t *contract, guint live_entries)
{
	return contract->capability / (2 * live_entries);
}

/*
 * Returns an entry's demand, raised to the base share so that an idle entry can
 * start first requests at once.  It isn't raised if there are more contracts
 * than IDLE_CONTRACTS_MAX.
 */
static uint32_t effective_demand(const shares_t *shares,
				 const contract_t *contract, guint entry,
				 guint live_entries)
{
	const uint32_t wanted = share_at(contract, entry)->wanted;

	if (shares->preset_contract_count > IDLE_CONTRACTS_MAX)
		return wanted;
	return MAX(wanted, base_share(contract, live_entries));
}

/* The sums needed to divide a contract among the live entries. */
typedef struct {
	guint live_entries;
	uint64_t demand_sum; /* of all effective demands */
	uint64_t remaining;  /* of the contract, after demands up to the base */
	uint64_t excess_sum; /* of the demands above the base share */
} division_t;

/* Returns the part of an entry's demand that is above its base share. */
static uint32_t excess_demand(const shares_t *shares,
			      const contract_t *contract, guint entry,
			      guint live_entries)
{
	const uint32_t demanded =
		effective_demand(shares, contract, entry, live_entries);

	return demanded - MIN(demanded, base_share(contract, live_entries));
}

static division_t divide_contract(const shares_t *shares,
				  const contract_t *contract, clock_ms_t now)
{
	division_t division = { .live_entries = live_entry_count(shares, now) };

	for (guint i = 0; i < shares->entries->len; i++) {
		if (!entry_is_live(shares, i, now))
			continue;
		division.demand_sum += effective_demand(shares, contract, i,
							division.live_entries);
		division.excess_sum += excess_demand(shares, contract, i,
						     division.live_entries);
	}
	division.remaining = contract->capability -
			     MIN(division.demand_sum - division.excess_sum,
				 contract->capability);
	return division;
}

/*
 * Returns whether an entry gets one of the sessions that rounding down leaves
 * undivided.  They rotate among the entries with excess demand.
 */
static bool gets_remainder(const shares_t *shares, const contract_t *contract,
			   guint entry, const division_t *division,
			   clock_ms_t now)
{
	uint64_t floor_sum = 0;
	uint64_t rank = (uint64_t)(now / REMAINDER_ROTATION_MS);
	uint64_t claimants = 0;

	for (guint i = 0; i < shares->entries->len; i++) {
		const uint64_t excess =
			entry_is_live(shares, i, now)
				? excess_demand(shares, contract, i,
						division->live_entries)
				: 0;

		if (excess == 0)
			continue;
		floor_sum +=
			excess * division->remaining / division->excess_sum;
		claimants++;
		rank += i < entry;
	}
	return claimants > 0 &&
	       rank % claimants < division->remaining - floor_sum;
}

/*
 * Returns the share that the demands alone give an entry, whatever is still
 * leased to others.
 */
static uint32_t ideal_share(const shares_t *shares, const contract_t *contract,
			    guint entry, clock_ms_t now)
{
	const division_t division = divide_contract(shares, contract, now);
	const uint32_t demanded = effective_demand(shares, contract, entry,
						   division.live_entries);
	const uint64_t excess =
		excess_demand(shares, contract, entry, division.live_entries);

	if (demanded == 0 && shares->preset_contract_count > IDLE_CONTRACTS_MAX)
		return 0;
	if (division.demand_sum <= contract->capability)
		return demanded +
		       (uint32_t)((contract->capability - division.demand_sum) /
				  division.live_entries);
	if (excess == 0 || division.excess_sum == 0)
		return demanded;
	return demanded - (uint32_t)excess +
	       (uint32_t)(excess * division.remaining / division.excess_sum) +
	       gets_remainder(shares, contract, entry, &division, now);
}

/* Returns the sessions of a contract that aren't committed to other entries. */
static uint32_t available_sessions(const shares_t *shares,
				   const contract_t *contract, guint entry,
				   clock_ms_t now)
{
	uint64_t others = 0;

	for (guint i = 0; i < shares->entries->len; i++)
		if (i != entry)
			others += committed_sessions(shares, contract, i, now);
	return others >= contract->capability
		       ? 0
		       : (uint32_t)(contract->capability - others);
}

/*
 * Sets an entry's share.  If it becomes smaller, the largest share that still
 * counts as leased does so for another lease duration: each further reduction
 * within that time, however small, extends it.  An earlier share that was
 * granted under a larger contract isn't scaled to the smaller one.
 */
static void grant(const shares_t *shares, const contract_t *contract,
		  guint entry, uint32_t sessions, clock_ms_t now)
{
	entry_share_t *share = share_at(contract, entry);

	if (now >= share->previous_until_ms)
		share->previous_max = 0;
	if (sessions < share->granted) {
		share->previous_max = MAX(share->previous_max, share->granted);
		share->previous_until_ms = now + shares->lease_ms;
	}
	share->granted = sessions;
	share->capability = contract->capability;
}

/*
 * Records an entry's demand for one contract.  During the grace period of a new
 * leader a current held share is recorded as granted if it is larger.
 */
static void record_demand(shares_t *shares, guint entry,
			  const msg_share_t *demand, bool held_is_current,
			  clock_ms_t now)
{
	contract_t *contract =
		g_hash_table_lookup(shares->contracts, demand->customer);
	entry_share_t *share;

	if (contract == NULL)
		return;
	share = share_at(contract, entry);
	share->wanted = demand->sessions;
	share->running = demand->running;
	if (held_is_current && now < shares->grace_until_ms &&
	    share->granted < demand->held) {
		share->granted = MIN(demand->held, contract->capability);
		share->capability = contract->capability;
	}
}

static void renew_share(const shares_t *shares, const contract_t *contract,
			guint entry, clock_ms_t now, GArray *granted_shares)
{
	const entry_share_t *share = share_at(contract, entry);
	msg_share_t granted_share = {
		.customer = contract->customer,
		.capability = contract->capability,
	};

	granted_share.sessions =
		MIN(ideal_share(shares, contract, entry, now),
		    available_sessions(shares, contract, entry, now));
	if (now < shares->grace_until_ms)
		granted_share.sessions =
			MIN(granted_share.sessions, share->granted);
	grant(shares, contract, entry, granted_share.sessions, now);
	if (granted_share.sessions > 0)
		g_array_append_val(granted_shares, granted_share);
}

/* Clears the shares of an entry whose lease has expired. */
static void reset_entry(const shares_t *shares, guint entry)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shares->contracts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		*share_at(value, entry) = (entry_share_t){ 0 };
}

/*
 * Renews the lease of an entry: appends to "granted_shares" the share of each
 * contract that it may use until its lease expires.  A demand record with an
 * empty customer name identifies the sender as an entry, also if it has no
 * demand; without any record nothing is done.  The shares that the entry
 * reports as held count only if "held_is_current": the entry sent the report
 * after it had received a reply from this leader.  An earlier report may arrive
 * after the lease that it refers to has expired, when another entry holds the
 * share.  The names in "granted_shares" belong to "shares".
 */
void shares_renew(shares_t *shares, const char *instance,
		  const msg_share_t *demand, size_t demand_count,
		  bool held_is_current, clock_ms_t now, GArray *granted_shares)
{
	guint entry;
	GHashTableIter iter;
	gpointer value;

	if (demand_count == 0)
		return;
	entry = find_or_add_entry(shares, instance, now);
	if (!entry_is_live(shares, entry, now))
		reset_entry(shares, entry);
	g_array_index(shares->entries, entry_lease_t, entry).renewed_ms = now;
	g_hash_table_iter_init(&iter, shares->contracts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		share_at(value, entry)->wanted = 0;
		share_at(value, entry)->running = 0;
	}
	for (size_t i = 0; i < demand_count; i++)
		record_demand(shares, entry, &demand[i], held_is_current, now);
	g_hash_table_iter_init(&iter, shares->contracts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((contract_t *)value)->in_preset)
			renew_share(shares, value, entry, now, granted_shares);
}
