/*
 * Parts of contracts, leased to entries.  What an entry may still use of a
 * part counts as given out until the lease under which it was given has run
 * out, so that the parts never add up to more than the contract.
 *
 * Parts follow demand: each entry gets what it wants if the contract has
 * enough, and else in proportion; what nobody wants is spread evenly, so
 * that a first request need not wait for a renewal.
 */
#include "wisteria/limits/shares.h"

#include <string.h>

/* Installations with more contracts get no parts before they ask for them. */
#define IDLE_CONTRACTS_MAX 64
/* A remainder too small to divide goes round the entries in this time. */
#define REMAINDER_TURN_MS 10000

/* One entry's part of one contract. */
typedef struct {
	uint32_t wanted;
	uint32_t running;
	uint32_t granted;
	uint32_t before; /* the largest part still leased before this one */
	clock_ms_t before_until_ms;
	uint32_t capability; /* that "granted" is part of */
} part_t;

typedef struct {
	char *customer;
	bool listed;
	uint32_t capability;
	GArray *parts; /* of part_t, by entry */
} contract_t;

typedef struct {
	char *instance;
	clock_ms_t renewed_ms;
} entry_t;

struct shares_t {
	clock_ms_t lease_ms;
	clock_ms_t unknown_until_ms;
	GArray *entries;       /* of entry_t */
	GHashTable *contracts; /* customer -> contract_t * */
	guint listed_count;
};

static void free_contract(void *data)
{
	contract_t *contract = data;

	g_array_free(contract->parts, TRUE);
	g_free(contract->customer);
	g_free(contract);
}

static void clear_entry(void *data)
{
	entry_t *entry = data;

	g_free(entry->instance);
}

/*
 * Returns an empty state.  Until "unknown_until_ms" parts that an earlier
 * leader gave may be in use, and each entry gets at most what it holds; for a
 * group without an earlier leader that is 0.
 */
shares_t *shares_new(clock_ms_t lease_ms, clock_ms_t unknown_until_ms)
{
	shares_t *shares = g_new0(shares_t, 1);

	shares->lease_ms = lease_ms;
	shares->unknown_until_ms = unknown_until_ms;
	shares->entries = g_array_new(FALSE, TRUE, sizeof(entry_t));
	g_array_set_clear_func(shares->entries, clear_entry);
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
	contract->parts = g_array_new(FALSE, TRUE, sizeof(part_t));
	g_hash_table_insert(shares->contracts, contract->customer, contract);
	return contract;
}

/* Takes over the contracts of the preset in force. */
void shares_set_contracts(shares_t *shares, const preset_t *preset)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shares->contracts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((contract_t *)value)->listed = false;
	for (unsigned i = 0; i < preset->contracts_count; i++) {
		contract_t *contract = find_or_add_contract(
			shares, preset->contracts[i].customer);

		contract->listed = true;
		contract->capability = preset->contracts[i].capability_sessions;
	}
	shares->listed_count = preset->contracts_count;
}

static part_t *part_at(const contract_t *contract, guint entry)
{
	if (contract->parts->len <= entry)
		g_array_set_size(contract->parts, entry + 1);
	return &g_array_index(contract->parts, part_t, entry);
}

static bool is_live(const shares_t *shares, guint entry, clock_ms_t now)
{
	const entry_t *known = &g_array_index(shares->entries, entry_t, entry);

	return now - known->renewed_ms < shares->lease_ms;
}

/* Cuts a part down as far as its contract has shrunk since. */
static uint32_t scaled(const contract_t *contract, const part_t *part,
		       uint32_t sessions)
{
	if (part->capability <= contract->capability)
		return sessions;
	return (uint32_t)((uint64_t)sessions * contract->capability /
			  part->capability);
}

/* The most sessions that an entry may have under parts given to it. */
static uint32_t committed(const shares_t *shares, const contract_t *contract,
			  guint entry, clock_ms_t now)
{
	const part_t *part = part_at(contract, entry);
	uint32_t sessions = part->granted;

	if (!is_live(shares, entry, now))
		return 0;
	if (now < part->before_until_ms)
		sessions = MAX(sessions, part->before);
	return MAX(scaled(contract, part, sessions), part->running);
}

/* Returns the sum of what is given out of a customer's contract. */
uint32_t shares_committed(const shares_t *shares, const char *customer,
			  clock_ms_t now)
{
	const contract_t *contract =
		g_hash_table_lookup(shares->contracts, customer);
	uint32_t sum = 0;

	if (contract == NULL)
		return 0;
	for (guint i = 0; i < shares->entries->len; i++)
		sum += committed(shares, contract, i, now);
	return sum;
}

/* Returns the entry's number, added if it is new. */
static guint entry_number(shares_t *shares, const char *instance,
			  clock_ms_t now)
{
	entry_t added = { .renewed_ms = now };

	for (guint i = 0; i < shares->entries->len; i++)
		if (strcmp(g_array_index(shares->entries, entry_t, i).instance,
			   instance) == 0)
			return i;
	added.instance = g_strdup(instance);
	g_array_append_val(shares->entries, added);
	return shares->entries->len - 1;
}

/* Returns the number of live entries, the one that asks among them. */
static guint live_count(const shares_t *shares, clock_ms_t now)
{
	guint count = 0;

	for (guint i = 0; i < shares->entries->len; i++)
		count += is_live(shares, i, now);
	return MAX(count, 1);
}

/* What all live entries want; an idle one wants a little, for first calls. */
static uint32_t want_of(const shares_t *shares, const contract_t *contract,
			guint entry, guint live)
{
	const uint32_t idle = shares->listed_count <= IDLE_CONTRACTS_MAX
				      ? contract->capability / (2 * live)
				      : 0;

	return MAX(part_at(contract, entry)->wanted, idle);
}

/* What all live entries together want of a contract. */
typedef struct {
	guint live;
	uint64_t sum;
} wants_t;

static wants_t wants_of(const shares_t *shares, const contract_t *contract,
			clock_ms_t now)
{
	wants_t wants = { .live = live_count(shares, now) };

	for (guint i = 0; i < shares->entries->len; i++)
		if (is_live(shares, i, now))
			wants.sum += want_of(shares, contract, i, wants.live);
	return wants;
}

/*
 * Whether an entry gets one of the sessions that are left over when the
 * contract is divided in proportion; they go round the entries.
 */
static bool gets_remainder(const shares_t *shares, const contract_t *contract,
			   guint entry, const wants_t *wants, clock_ms_t now)
{
	uint64_t floors = 0;
	uint64_t rank = (uint64_t)(now / REMAINDER_TURN_MS);
	uint64_t asking = 0;

	if (wants->sum == 0)
		return false;
	for (guint i = 0; i < shares->entries->len; i++) {
		const uint64_t want =
			is_live(shares, i, now)
				? want_of(shares, contract, i, wants->live)
				: 0;

		floors += want * contract->capability / wants->sum;
		asking += want > 0;
		rank += want > 0 && i < entry;
	}
	return asking > 0 && rank % asking < contract->capability - floors;
}

/* The part that would be right for an entry, were all parts free. */
static uint32_t target_of(const shares_t *shares, const contract_t *contract,
			  guint entry, clock_ms_t now)
{
	const wants_t wants = wants_of(shares, contract, now);
	const uint64_t want = want_of(shares, contract, entry, wants.live);

	if (want == 0 && shares->listed_count > IDLE_CONTRACTS_MAX)
		return 0;
	if (wants.sum <= contract->capability)
		return (uint32_t)(want + (contract->capability - wants.sum) /
						 wants.live);
	if (want == 0)
		return 0;
	return (uint32_t)(want * contract->capability / wants.sum) +
	       gets_remainder(shares, contract, entry, &wants, now);
}

static uint32_t room_for(const shares_t *shares, const contract_t *contract,
			 guint entry, clock_ms_t now)
{
	uint64_t others = 0;

	for (guint i = 0; i < shares->entries->len; i++)
		if (i != entry)
			others += committed(shares, contract, i, now);
	return others >= contract->capability
		       ? 0
		       : (uint32_t)(contract->capability - others);
}

static void grant(const shares_t *shares, const contract_t *contract,
		  guint entry, uint32_t sessions, clock_ms_t now)
{
	part_t *part = part_at(contract, entry);

	if (now >= part->before_until_ms)
		part->before = 0;
	if (sessions < part->granted) {
		part->before = MAX(part->before, part->granted);
		part->before_until_ms = now + shares->lease_ms;
	}
	part->granted = sessions;
	part->capability = contract->capability;
}

/* Takes in one line of an entry's demand. */
static void take_demand(shares_t *shares, guint entry,
			const msg_share_t *demand, clock_ms_t now)
{
	contract_t *contract =
		g_hash_table_lookup(shares->contracts, demand->customer);
	part_t *part;

	if (contract == NULL)
		return;
	part = part_at(contract, entry);
	part->wanted = demand->sessions;
	part->running = demand->running;
	if (now < shares->unknown_until_ms && part->granted < demand->held) {
		part->granted = MIN(demand->held, contract->capability);
		part->capability = contract->capability;
	}
}

static void renew_contract(const shares_t *shares, const contract_t *contract,
			   guint entry, clock_ms_t now, GArray *parts)
{
	const part_t *part = part_at(contract, entry);
	msg_share_t given = {
		.customer = contract->customer,
		.capability = contract->capability,
	};

	given.sessions = MIN(target_of(shares, contract, entry, now),
			     room_for(shares, contract, entry, now));
	if (now < shares->unknown_until_ms)
		given.sessions = MIN(given.sessions, part->granted);
	grant(shares, contract, entry, given.sessions, now);
	if (given.sessions > 0)
		g_array_append_val(parts, given);
}

/* An entry that was silent for a lease has nothing left. */
static void start_over(const shares_t *shares, guint entry)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shares->contracts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		*part_at(value, entry) = (part_t){ 0 };
}

/*
 * Answers the renewal of an entry that wants "demand": appends to "parts" the
 * part of each contract that it has until its lease ends.  A line without a
 * customer marks an entry that wants nothing now.  The names belong to
 * "shares".
 */
void shares_renew(shares_t *shares, const char *instance,
		  const msg_share_t *demand, size_t demand_count,
		  clock_ms_t now, GArray *parts)
{
	guint entry;
	GHashTableIter iter;
	gpointer value;

	if (demand_count == 0)
		return;
	entry = entry_number(shares, instance, now);
	if (!is_live(shares, entry, now))
		start_over(shares, entry);
	g_array_index(shares->entries, entry_t, entry).renewed_ms = now;
	g_hash_table_iter_init(&iter, shares->contracts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		part_at(value, entry)->wanted = 0;
		part_at(value, entry)->running = 0;
	}
	for (size_t i = 0; i < demand_count; i++)
		take_demand(shares, entry, &demand[i], now);
	g_hash_table_iter_init(&iter, shares->contracts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((contract_t *)value)->listed)
			renew_contract(shares, value, entry, now, parts);
}
