/* Unit tests of leasing shares of contracts to entries. */
#include "unit.h"

#include <string.h>

#include "wisteria/limits/shares.h"

#define LEASE_MS 2500
#define RENEW_MS 500

static preset_contract_t contract = { .customer = "deposito",
				      .capability_sessions = 8 };
static const preset_t preset = { .contracts = &contract, .contracts_count = 1 };

static shares_t *new_shares(uint32_t capability, clock_ms_t grace_until_ms)
{
	shares_t *shares = shares_new(LEASE_MS, grace_until_ms);

	contract.capability_sessions = capability;
	shares_set_contracts(shares, &preset);
	return shares;
}

/* Renews an entry's lease; returns the share that it is granted. */
static uint32_t renew_with_held(shares_t *shares, const char *entry,
				uint32_t wanted, uint32_t held,
				bool held_is_current, clock_ms_t now)
{
	const msg_share_t demand[] = {
		{ .customer = "" },
		{ .customer = "deposito", .sessions = wanted, .held = held },
	};
	GArray *granted_shares = g_array_new(FALSE, FALSE, sizeof(msg_share_t));
	uint32_t share = 0;

	shares_renew(shares, entry, demand, ARRAY_SIZE(demand), held_is_current,
		     now, granted_shares);
	if (granted_shares->len == 1)
		share = g_array_index(granted_shares, msg_share_t, 0).sessions;
	g_array_free(granted_shares, TRUE);
	return share;
}

static uint32_t renew(shares_t *shares, const char *entry, uint32_t wanted,
		      uint32_t held, clock_ms_t now)
{
	return renew_with_held(shares, entry, wanted, held, true, now);
}

static void test_shares_follow_demand(void)
{
	shares_t *shares = new_shares(8, 0);
	clock_ms_t now = 0;
	uint32_t first = renew(shares, "e1", 0, 0, now);
	uint32_t second = renew(shares, "e2", 0, 0, now);

	CU_ASSERT(first > 0);
	CU_ASSERT(first + second <= 8);
	for (; now < 4 * LEASE_MS; now += RENEW_MS) {
		first = renew(shares, "e1", 20, first, now);
		second = renew(shares, "e2", 0, second, now);
		CU_ASSERT(shares_leased_sessions(shares, "deposito", now) <= 8);
	}
	CU_ASSERT(first >= 6);
	CU_ASSERT(second >= 1);
	shares_free(shares);
}

static void test_reduced_share_stays_reserved_for_one_lease(void)
{
	shares_t *shares = new_shares(8, 0);

	CU_ASSERT_EQUAL(renew(shares, "e1", 8, 0, 0), 8);
	CU_ASSERT_EQUAL(renew(shares, "e2", 8, 0, 100), 0);
	CU_ASSERT_EQUAL(renew(shares, "e1", 8, 8, 500), 4);
	CU_ASSERT_EQUAL(renew(shares, "e2", 8, 0, 600), 0);
	CU_ASSERT_EQUAL(renew(shares, "e1", 8, 4, 2400), 4);
	CU_ASSERT_EQUAL(renew(shares, "e2", 8, 0, 500 + LEASE_MS), 4);
	shares_free(shares);
}

static void test_entry_without_renewals_loses_its_share(void)
{
	shares_t *shares = new_shares(8, 0);

	CU_ASSERT_EQUAL(renew(shares, "e1", 8, 0, 0), 8);
	CU_ASSERT_EQUAL(renew(shares, "e2", 8, 0, LEASE_MS - 1), 0);
	CU_ASSERT_EQUAL(renew(shares, "e2", 8, 0, LEASE_MS), 8);
	shares_free(shares);
}

static void test_new_leader_grants_held_share(void)
{
	shares_t *shares = new_shares(8, LEASE_MS);

	CU_ASSERT_EQUAL(renew(shares, "e1", 8, 3, 0), 3);
	CU_ASSERT_EQUAL(renew(shares, "e2", 8, 0, 100), 0);
	CU_ASSERT_EQUAL(renew(shares, "e1", 8, 3, LEASE_MS), 4);
	shares_free(shares);
}

/*
 * A renewal that reports a held share arrives after the lease of that share has
 * expired.  Meanwhile the previous leader granted the share to another entry,
 * which has not renewed with the new leader yet: it must not be granted twice.
 */
static void test_stale_held_share_is_ignored(void)
{
	shares_t *shares = new_shares(8, LEASE_MS);

	CU_ASSERT_EQUAL(renew_with_held(shares, "e1", 8, 3, false, 0), 0);
	CU_ASSERT_EQUAL(renew(shares, "e1", 8, 0, 100), 0);
	CU_ASSERT_EQUAL(renew(shares, "e2", 8, 8, 200), 4);
	CU_ASSERT(shares_leased_sessions(shares, "deposito", 200) <= 8);
	shares_free(shares);
}

static void test_single_session_rotates_between_entries(void)
{
	shares_t *shares = new_shares(1, 0);
	uint32_t turns[2] = { 0, 0 };

	for (clock_ms_t now = 0; now < 60000; now += RENEW_MS) {
		turns[0] += renew(shares, "e1", 1, 0, now);
		turns[1] += renew(shares, "e2", 1, 0, now);
		CU_ASSERT(shares_leased_sessions(shares, "deposito", now) <= 1);
	}
	CU_ASSERT(turns[0] > 0);
	CU_ASSERT(turns[1] > 0);
	shares_free(shares);
}

static const unit_test_t tests[] = {
	{ "shares follow demand", test_shares_follow_demand },
	{ "reduced share stays reserved for one lease",
	  test_reduced_share_stays_reserved_for_one_lease },
	{ "entry without renewals loses its share",
	  test_entry_without_renewals_loses_its_share },
	{ "new leader grants held share", test_new_leader_grants_held_share },
	{ "stale held share is ignored", test_stale_held_share_is_ignored },
	{ "single session rotates between entries",
	  test_single_session_rotates_between_entries },
};

int main(void)
{
	return unit_run("shares", tests, ARRAY_SIZE(tests));
}
