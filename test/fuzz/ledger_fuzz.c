/*
 * Fuzzes the ledger against a simple model.  Owners reserve keys, lose
 * replies, repeat reservations, dispatch calls, record results, release keys
 * or crash; old commands are delivered again; time advances; the ledger is
 * replaced by one restored from its snapshot.  Checked invariants: a key is
 * dispatched at most once for as long as it is kept, results never change,
 * and only the owner releases a key.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz_input.h"
#include "wisteria/base/err.h"
#include "wisteria/ledger/ledger.h"

#define KEY_COUNT 4
#define OWNERS_MAX 64
#define RETENTION_MS LEDGER_RETENTION_MIN_MS
#define LARGE_BYTES_MAX 1000000
#define SMALL_BYTES_MAX 900

typedef enum {
	OWNER_RESERVING,
	OWNER_GRANTED,
	OWNER_DISPATCHED,
	OWNER_DONE
} owner_state_t;

typedef struct {
	owner_state_t state;
	uint32_t key;
	uint64_t fingerprint;
	bool released;
	uint32_t release_number; /* among the releases of its key, from 1 */
} owner_t;

/* The state of one key that the oracle expects. */
typedef struct {
	uint64_t holder; /* 0: not reserved */
	uint64_t fingerprint;
	uint64_t result; /* 0: none */
	bool has_entry;	 /* the ledger keeps an entry for the key */
	bool recorded;	 /* a result was recorded, stored or not */
	uint32_t dispatch_count;
	uint32_t release_count;
	int64_t reserved_ms;
	int64_t changed_ms;
} oracle_key_t;

typedef struct {
	fuzz_input_t input;
	ledger_t *ledger;
	size_t bytes_max;
	int64_t now_ms;
	owner_t owners[OWNERS_MAX]; /* owner number n is at n - 1 */
	uint64_t owner_count;
	oracle_key_t keys[KEY_COUNT];
} fuzz_t;

static uint64_t pick_owner(fuzz_t *fuzz)
{
	return fuzz->owner_count == 0
		       ? 0
		       : fuzz_byte(&fuzz->input) % fuzz->owner_count + 1;
}

static msg_ledger_reply_t apply(fuzz_t *fuzz, ledger_op_t op, uint32_t key,
				uint64_t owner, uint64_t fingerprint,
				uint64_t result)
{
	static const char *const names[KEY_COUNT] = { "a", "b", "c", "d" };
	const msg_ledger_t command = {
		.sequence = owner,
		.op = op,
		.customer = key < 2 ? "deposito" : "oficina",
		.service = "pedidos",
		.key = names[key],
		.owner = owner,
		.fingerprint = fingerprint,
		.result = { (const uint8_t *)&result,
			    result != 0 ? sizeof(result) : 0 },
		.retention_ms = RETENTION_MS,
	};
	msg_ledger_reply_t reply;

	ledger_apply(fuzz->ledger, &command, fuzz->now_ms, &reply);
	CHECK(reply.sequence == owner);
	CHECK(ledger_usage(fuzz->ledger).bytes <= fuzz->bytes_max);
	return reply;
}

static void set_holder(fuzz_t *fuzz, oracle_key_t *key, uint64_t owner,
		       uint64_t fingerprint)
{
	key->holder = owner;
	key->fingerprint = fingerprint;
	key->has_entry = true;
	key->recorded = false;
	key->reserved_ms = fuzz->now_ms;
	key->changed_ms = fuzz->now_ms;
}

/* Checks the reply to a reservation against the oracle. */
static void check_reserve(fuzz_t *fuzz, uint64_t owner,
			  const msg_ledger_reply_t *reply)
{
	const owner_t *requester = &fuzz->owners[owner - 1];
	oracle_key_t *key = &fuzz->keys[requester->key];
	uint64_t result = 0;

	if (key->holder == 0) {
		if (reply->state == LEDGER_FULL) {
			CHECK(fuzz->bytes_max == SMALL_BYTES_MAX &&
			      !key->has_entry);
			return;
		}
		if (requester->released && reply->state != LEDGER_GRANTED) {
			CHECK(reply->state == LEDGER_PENDING);
			return;
		}
		CHECK(!requester->released || !key->has_entry ||
		      key->release_count - requester->release_number >=
			      LEDGER_RELEASED_OWNERS_MAX);
		CHECK(reply->state == LEDGER_GRANTED);
		set_holder(fuzz, key, owner, requester->fingerprint);
		return;
	}
	if (key->fingerprint != requester->fingerprint) {
		CHECK(reply->state == LEDGER_MISMATCH);
		return;
	}
	switch (reply->state) {
	case LEDGER_GRANTED:
		CHECK(key->holder == owner && !key->recorded);
		return;
	case LEDGER_PENDING:
		CHECK(key->holder != owner && !key->recorded);
		return;
	case LEDGER_UNKNOWN:
		CHECK(key->result == 0);
		CHECK(key->recorded || (key->holder != owner &&
					fuzz->now_ms - key->reserved_ms >=
						LEDGER_PENDING_TIMEOUT_MS));
		return;
	case LEDGER_STORED:
		CHECK(reply->result.len == sizeof(result));
		memcpy(&result, reply->result.data, sizeof(result));
		CHECK(result != 0 && result == key->result);
		return;
	default:
		CHECK(false);
	}
}

/* An owner reserves its key; it does not receive a lost reply. */
static void reserve(fuzz_t *fuzz, uint64_t owner, bool reply_lost)
{
	owner_t *requester = &fuzz->owners[owner - 1];
	const msg_ledger_reply_t reply =
		apply(fuzz, LEDGER_RESERVE, requester->key, owner,
		      requester->fingerprint, 0);

	check_reserve(fuzz, owner, &reply);
	if (reply_lost || requester->state != OWNER_RESERVING)
		return;
	requester->state =
		reply.state == LEDGER_GRANTED ? OWNER_GRANTED : OWNER_DONE;
}

static void reserve_as_new_owner(fuzz_t *fuzz)
{
	const uint8_t choice = fuzz_byte(&fuzz->input);

	if (fuzz->owner_count == OWNERS_MAX)
		return;
	fuzz->owners[fuzz->owner_count++] = (owner_t){
		.key = choice % KEY_COUNT,
		.fingerprint = choice / KEY_COUNT % 8 == 0,
	};
	reserve(fuzz, fuzz->owner_count, choice >= 192);
}

static void reserve_again(fuzz_t *fuzz)
{
	const uint64_t owner = pick_owner(fuzz);

	if (owner != 0)
		reserve(fuzz, owner, fuzz_byte(&fuzz->input) % 2 == 0);
}

static void dispatch(fuzz_t *fuzz)
{
	const uint64_t owner = pick_owner(fuzz);

	if (owner == 0 || fuzz->owners[owner - 1].state != OWNER_GRANTED)
		return;
	fuzz->owners[owner - 1].state = OWNER_DISPATCHED;
	fuzz->keys[fuzz->owners[owner - 1].key].dispatch_count++;
	CHECK(fuzz->keys[fuzz->owners[owner - 1].key].dispatch_count == 1);
}

static void record_result(fuzz_t *fuzz)
{
	const uint64_t owner = pick_owner(fuzz);
	const bool outcome_known = fuzz_byte(&fuzz->input) % 4 != 0;
	const bool reply_lost = fuzz_byte(&fuzz->input) % 2 == 0;
	msg_ledger_reply_t reply;
	oracle_key_t *key;
	owner_t *recorder;

	if (owner == 0 || fuzz->owners[owner - 1].state != OWNER_DISPATCHED)
		return;
	recorder = &fuzz->owners[owner - 1];
	key = &fuzz->keys[recorder->key];
	reply = apply(fuzz, LEDGER_RECORD, recorder->key, owner, 0,
		      outcome_known ? 1000 + owner : 0);
	CHECK(reply.state == LEDGER_OK && key->holder == owner);
	key->recorded = true;
	if (key->result == 0) {
		const size_t before = ledger_usage(fuzz->ledger).bytes;

		key->changed_ms = fuzz->now_ms;
		reply = apply(fuzz, LEDGER_RESERVE, recorder->key, owner + 1000,
			      key->fingerprint, 0);
		CHECK(reply.state == LEDGER_STORED ||
		      reply.state == LEDGER_UNKNOWN);
		if (reply.state == LEDGER_STORED)
			key->result = 1000 + owner;
		else
			CHECK(!outcome_known ||
			      (fuzz->bytes_max == SMALL_BYTES_MAX &&
			       before + 8 > SMALL_BYTES_MAX));
	}
	if (!reply_lost)
		recorder->state = OWNER_DONE;
}

/*
 * An owner that has not dispatched its call releases the key, whichever
 * replies it has received.  It must not be granted the key again.
 */
static void release_key(fuzz_t *fuzz)
{
	const uint64_t owner = pick_owner(fuzz);
	const bool repeated = fuzz_byte(&fuzz->input) % 2 == 0;
	msg_ledger_reply_t reply;
	owner_t *releaser;
	oracle_key_t *key;

	if (owner == 0)
		return;
	releaser = &fuzz->owners[owner - 1];
	key = &fuzz->keys[releaser->key];
	if (releaser->state > OWNER_GRANTED || releaser->released)
		return;
	reply = apply(fuzz, LEDGER_RELEASE, releaser->key, owner, 0, 0);
	releaser->state = OWNER_DONE;
	if (reply.state == LEDGER_FULL) {
		CHECK(!key->has_entry && fuzz->bytes_max == SMALL_BYTES_MAX);
		return;
	}
	if (key->recorded) {
		CHECK(reply.state == LEDGER_STORED ||
		      reply.state == LEDGER_UNKNOWN);
		return;
	}
	CHECK(reply.state == (key->holder == owner || key->holder == 0
				      ? LEDGER_OK
				      : LEDGER_PENDING));
	releaser->released = true;
	releaser->release_number = ++key->release_count;
	if (key->holder == owner || !key->has_entry) {
		key->holder = 0;
		key->has_entry = true;
		key->changed_ms = fuzz->now_ms;
	}
	if (repeated)
		apply(fuzz, LEDGER_RELEASE, releaser->key, owner, 0, 0);
}

/* An owner other than the holder tries to record or release. */
static void command_as_non_holder(fuzz_t *fuzz)
{
	const uint8_t choice = fuzz_byte(&fuzz->input);
	const uint32_t key = choice % KEY_COUNT;
	const ledger_op_t op = choice & 64 ? LEDGER_RECORD : LEDGER_RELEASE;
	const uint64_t owner = choice & 128 ? pick_owner(fuzz) : 5000;
	msg_ledger_reply_t reply;

	if (owner == fuzz->keys[key].holder)
		return;
	if (op == LEDGER_RELEASE && !fuzz->keys[key].has_entry)
		return;
	reply = apply(fuzz, op, key, owner, 0, 77);
	CHECK(reply.state != LEDGER_GRANTED);
	CHECK(reply.state != LEDGER_OK || op == LEDGER_RELEASE);
	if (op != LEDGER_RELEASE || fuzz->keys[key].recorded)
		return;
	fuzz->keys[key].release_count++;
	if (owner == 0 || owner > OWNERS_MAX ||
	    fuzz->owners[owner - 1].key != key)
		return;
	fuzz->owners[owner - 1].released = true;
	fuzz->owners[owner - 1].release_number = fuzz->keys[key].release_count;
}

static void crash_owner(fuzz_t *fuzz)
{
	const uint64_t owner = pick_owner(fuzz);

	if (owner != 0)
		fuzz->owners[owner - 1].state = OWNER_DONE;
}

static void reset_key(fuzz_t *fuzz, uint32_t key)
{
	fuzz->keys[key] = (oracle_key_t){ 0 };
	for (uint64_t i = 0; i < fuzz->owner_count; i++)
		if (fuzz->owners[i].key == key) {
			fuzz->owners[i].state = OWNER_DONE;
			fuzz->owners[i].released = false;
		}
}

static void advance_clock(fuzz_t *fuzz)
{
	static const int64_t steps_ms[] = { 1,
					    1000,
					    LEDGER_PENDING_TIMEOUT_MS,
					    RETENTION_MS / 2,
					    RETENTION_MS,
					    -5000 };

	fuzz->now_ms += steps_ms[fuzz_byte(&fuzz->input) %
				 (sizeof(steps_ms) / sizeof(int64_t))];
}

/* The ledger's time never decreases, even if the leader's clock does. */
static void advance_clock_and_expire(fuzz_t *fuzz)
{
	const int64_t before_ms = fuzz->now_ms;

	advance_clock(fuzz);
	apply(fuzz, LEDGER_RECORD, 0, 9999, 0, 0);
	if (fuzz->now_ms < before_ms)
		fuzz->now_ms = before_ms;
	for (uint32_t key = 0; key < KEY_COUNT; key++)
		if (fuzz->keys[key].has_entry &&
		    fuzz->now_ms - fuzz->keys[key].changed_ms >= RETENTION_MS)
			reset_key(fuzz, key);
}

static void restore_from_snapshot(fuzz_t *fuzz)
{
	ledger_t *copy = ledger_new(fuzz->bytes_max);
	msgpack_sbuffer first;
	msgpack_sbuffer second;
	err_t err = ERR_INIT;

	msgpack_sbuffer_init(&first);
	msgpack_sbuffer_init(&second);
	ledger_snapshot(fuzz->ledger, &first);
	CHECK(ledger_restore(copy, (const uint8_t *)first.data, first.size,
			     &err));
	ledger_snapshot(copy, &second);
	CHECK(first.size == second.size);
	CHECK(memcmp(first.data, second.data, first.size) == 0);
	CHECK(ledger_usage(copy).bytes == ledger_usage(fuzz->ledger).bytes);
	ledger_free(fuzz->ledger);
	fuzz->ledger = copy;
	msgpack_sbuffer_destroy(&first);
	msgpack_sbuffer_destroy(&second);
}

/* A snapshot of arbitrary bytes is rejected or restored completely. */
static void restore_arbitrary_bytes(const uint8_t *data, size_t size)
{
	ledger_t *ledger = ledger_new(LARGE_BYTES_MAX);
	err_t err = ERR_INIT;

	if (!ledger_restore(ledger, data, size, &err))
		CHECK(err.code != ERR_NONE &&
		      ledger_usage(ledger).entries == 0);
	ledger_free(ledger);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static void (*const actions[])(fuzz_t * fuzz) = {
		reserve_as_new_owner,
		reserve_as_new_owner,
		reserve_again,
		dispatch,
		dispatch,
		record_result,
		release_key,
		command_as_non_holder,
		crash_owner,
		reserve_again,
		restore_from_snapshot,
		advance_clock_and_expire,
	};
	fuzz_t fuzz = { .input = { data, size } };
	const uint8_t mode = fuzz_byte(&fuzz.input);

	if (mode == 255) {
		restore_arbitrary_bytes(fuzz.input.data, fuzz.input.size);
		return 0;
	}
	fuzz.bytes_max = mode % 4 == 0 ? SMALL_BYTES_MAX : LARGE_BYTES_MAX;
	fuzz.ledger = ledger_new(fuzz.bytes_max);
	while (fuzz.input.size > 0)
		actions[fuzz_byte(&fuzz.input) %
			(sizeof(actions) / sizeof(actions[0]))](&fuzz);
	ledger_free(fuzz.ledger);
	return 0;
}
