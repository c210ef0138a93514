/*
 * Unit tests of the ledger: the state of a key when replies are lost, commands
 * arrive out of order, owners crash and keys expire.
 */
#include "unit.h"

#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/ledger/ledger.h"

#define BYTES_MAX 100000
#define RETENTION_MS (2 * LEDGER_RETENTION_MIN_MS)

static msg_ledger_reply_t apply(ledger_t *ledger, ledger_op_t op,
				uint64_t owner, const char *result,
				int64_t now_ms)
{
	const msg_ledger_t command = {
		.op = op,
		.customer = "ferragens",
		.service = "pedidos",
		.key = "k1",
		.owner = owner,
		.fingerprint = 7,
		.result = { (const uint8_t *)result, strlen(result) },
		.retention_ms = RETENTION_MS,
	};
	msg_ledger_reply_t reply;

	ledger_apply(ledger, &command, now_ms, &reply);
	return reply;
}

/* Applies a command without a result and returns the state in its reply. */
static ledger_state_t state(ledger_t *ledger, ledger_op_t op, uint64_t owner,
			    int64_t now_ms)
{
	return apply(ledger, op, owner, "", now_ms).state;
}

static void test_first_result_is_returned(void)
{
	ledger_t *ledger = ledger_new(BYTES_MAX);
	msg_ledger_reply_t reply;

	CU_ASSERT_EQUAL(state(ledger, LEDGER_RESERVE, 1, 0), LEDGER_GRANTED);
	CU_ASSERT_EQUAL(apply(ledger, LEDGER_RECORD, 1, "ok", 1).state,
			LEDGER_OK);
	CU_ASSERT_EQUAL(apply(ledger, LEDGER_RECORD, 1, "no", 2).state,
			LEDGER_OK);
	reply = apply(ledger, LEDGER_RESERVE, 2, "", 3);
	CU_ASSERT_EQUAL_FATAL(reply.state, LEDGER_STORED);
	CU_ASSERT_EQUAL_FATAL(reply.result.len, 2);
	CU_ASSERT_EQUAL(memcmp(reply.result.data, "ok", 2), 0);
	ledger_free(ledger);
}

/* The owner repeats its reservation because the grant was lost. */
static void test_repeated_reservation_is_granted(void)
{
	ledger_t *ledger = ledger_new(BYTES_MAX);

	CU_ASSERT_EQUAL(state(ledger, LEDGER_RESERVE, 1, 0), LEDGER_GRANTED);
	CU_ASSERT_EQUAL(state(ledger, LEDGER_RESERVE, 1, 5), LEDGER_GRANTED);
	CU_ASSERT_EQUAL(state(ledger, LEDGER_RESERVE, 2, 5), LEDGER_PENDING);
	ledger_free(ledger);
}

/* After a crash of the owner, the outcome is unknown until a late result. */
static void test_pending_key_times_out(void)
{
	ledger_t *ledger = ledger_new(BYTES_MAX);

	CU_ASSERT_EQUAL(state(ledger, LEDGER_RESERVE, 1, 0), LEDGER_GRANTED);
	CU_ASSERT_EQUAL(
		state(ledger, LEDGER_RESERVE, 2, LEDGER_PENDING_TIMEOUT_MS - 1),
		LEDGER_PENDING);
	CU_ASSERT_EQUAL(
		state(ledger, LEDGER_RESERVE, 2, LEDGER_PENDING_TIMEOUT_MS),
		LEDGER_UNKNOWN);
	CU_ASSERT_EQUAL(apply(ledger, LEDGER_RECORD, 1, "late",
			      LEDGER_PENDING_TIMEOUT_MS + 1)
				.state,
			LEDGER_OK);
	CU_ASSERT_EQUAL(
		state(ledger, LEDGER_RESERVE, 2, LEDGER_PENDING_TIMEOUT_MS + 2),
		LEDGER_STORED);
	ledger_free(ledger);
}

static void test_only_the_owner_releases(void)
{
	ledger_t *ledger = ledger_new(BYTES_MAX);

	CU_ASSERT_EQUAL(state(ledger, LEDGER_RESERVE, 1, 0), LEDGER_GRANTED);
	CU_ASSERT_EQUAL(state(ledger, LEDGER_RELEASE, 2, 1), LEDGER_PENDING);
	CU_ASSERT_EQUAL(state(ledger, LEDGER_RESERVE, 2, 2), LEDGER_PENDING);
	CU_ASSERT_EQUAL(state(ledger, LEDGER_RELEASE, 1, 3), LEDGER_OK);
	CU_ASSERT_EQUAL(state(ledger, LEDGER_RESERVE, 1, 4), LEDGER_PENDING);
	CU_ASSERT_EQUAL(state(ledger, LEDGER_RESERVE, 2, 5), LEDGER_PENDING);
	CU_ASSERT_EQUAL(state(ledger, LEDGER_RESERVE, 3, 6), LEDGER_GRANTED);
	ledger_free(ledger);
}

/* The release of a key overtakes the reservation that it belongs to. */
static void test_release_before_reservation(void)
{
	ledger_t *ledger = ledger_new(BYTES_MAX);

	CU_ASSERT_EQUAL(state(ledger, LEDGER_RELEASE, 1, 0), LEDGER_OK);
	CU_ASSERT_EQUAL(state(ledger, LEDGER_RESERVE, 1, 1), LEDGER_PENDING);
	CU_ASSERT_EQUAL(state(ledger, LEDGER_RESERVE, 2, 2), LEDGER_GRANTED);
	CU_ASSERT_EQUAL(state(ledger, LEDGER_RELEASE, 1, 3), LEDGER_PENDING);
	CU_ASSERT_EQUAL(state(ledger, LEDGER_RESERVE, 3, 4), LEDGER_PENDING);
	ledger_free(ledger);
}

static void test_expired_keys_free_space(void)
{
	ledger_t *ledger = ledger_new(300);
	const msg_ledger_t other = {
		.op = LEDGER_RESERVE,
		.customer = "ferragens",
		.service = "pedidos",
		.key = "k2",
		.owner = 9,
	};
	msg_ledger_reply_t reply;

	CU_ASSERT_EQUAL(state(ledger, LEDGER_RESERVE, 1, 0), LEDGER_GRANTED);
	ledger_apply(ledger, &other, 1, &reply);
	CU_ASSERT_EQUAL(reply.state, LEDGER_FULL);
	ledger_apply(ledger, &other, RETENTION_MS, &reply);
	CU_ASSERT_EQUAL(reply.state, LEDGER_GRANTED);
	CU_ASSERT_EQUAL(ledger_usage(ledger).entries, 1);
	ledger_free(ledger);
}

static void test_invalid_snapshot_changes_nothing(void)
{
	static const uint8_t garbage[] = { 0x93, 1, 2, 0x91, 0x91, 5 };
	ledger_t *ledger = ledger_new(BYTES_MAX);
	err_t err = ERR_INIT;

	CU_ASSERT_EQUAL(state(ledger, LEDGER_RESERVE, 1, 0), LEDGER_GRANTED);
	CU_ASSERT_FALSE(ledger_restore(ledger, garbage, sizeof(garbage), &err));
	CU_ASSERT_NOT_EQUAL(err.code, ERR_NONE);
	CU_ASSERT_EQUAL(state(ledger, LEDGER_RESERVE, 2, 1), LEDGER_PENDING);
	ledger_free(ledger);
}

static const unit_test_t tests[] = {
	{ "first result is returned", test_first_result_is_returned },
	{ "repeated reservation is granted",
	  test_repeated_reservation_is_granted },
	{ "pending key times out", test_pending_key_times_out },
	{ "only the owner releases", test_only_the_owner_releases },
	{ "release before reservation", test_release_before_reservation },
	{ "expired keys free space", test_expired_keys_free_space },
	{ "invalid snapshot changes nothing",
	  test_invalid_snapshot_changes_nothing },
};

int main(void)
{
	return unit_run("ledger", tests, ARRAY_SIZE(tests));
}
