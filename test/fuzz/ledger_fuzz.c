/*
 * Fuzzes the ledger against a plain table.  Owners reserve keys, lose
 * answers, ask again, dispatch, record, give back or die; old commands arrive
 * again; time passes; the ledger is replaced by its snapshot.  Always: a key
 * is dispatched at most once for as long as it is kept, results never change,
 * and only the owner gives a key back.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz_input.h"
#include "wisteria/base/err.h"
#include "wisteria/ledger/ledger.h"

#define KEYS 4
#define OWNERS 64
#define RETENTION_MS LEDGER_RETENTION_MIN_MS
#define ROOMY_BYTES 1000000
#define TIGHT_BYTES 900

typedef enum {
	OWNER_ASKING,
	OWNER_GRANTED,
	OWNER_DISPATCHED,
	OWNER_DONE
} owner_state_t;

typedef struct {
	owner_state_t state;
	uint32_t key;
	uint64_t fingerprint;
	bool released;
	uint32_t release_number; /* among those of its key */
} owner_t;

/* What the oracle knows of one key. */
typedef struct {
	uint64_t holder; /* 0: nobody */
	uint64_t fingerprint;
	uint64_t result; /* 0: none */
	bool kept;
	bool ended; /* a result was recorded, kept or not */
	uint32_t runs;
	uint32_t releases;
	int64_t reserved_ms;
	int64_t changed_ms;
} oracle_key_t;

typedef struct {
	fuzz_input_t input;
	ledger_t *ledger;
	size_t bytes_max;
	int64_t now_ms;
	owner_t owners[OWNERS]; /* owner number n is at n - 1 */
	uint64_t owner_count;
	oracle_key_t keys[KEYS];
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
	static const char *const names[KEYS] = { "a", "b", "c", "d" };
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

static void take_key(fuzz_t *fuzz, oracle_key_t *key, uint64_t owner,
		     uint64_t fingerprint)
{
	key->holder = owner;
	key->fingerprint = fingerprint;
	key->kept = true;
	key->ended = false;
	key->reserved_ms = fuzz->now_ms;
	key->changed_ms = fuzz->now_ms;
}

/* Checks the answer to a reservation against the oracle. */
static void check_reserve(fuzz_t *fuzz, uint64_t owner,
			  const msg_ledger_reply_t *reply)
{
	const owner_t *asker = &fuzz->owners[owner - 1];
	oracle_key_t *key = &fuzz->keys[asker->key];
	uint64_t result = 0;

	if (key->holder == 0) {
		if (reply->state == LEDGER_FULL) {
			CHECK(fuzz->bytes_max == TIGHT_BYTES && !key->kept);
			return;
		}
		if (asker->released && reply->state != LEDGER_GRANTED) {
			CHECK(reply->state == LEDGER_PENDING);
			return;
		}
		CHECK(!asker->released || !key->kept ||
		      key->releases - asker->release_number >=
			      LEDGER_RELEASED_MAX);
		CHECK(reply->state == LEDGER_GRANTED);
		take_key(fuzz, key, owner, asker->fingerprint);
		return;
	}
	if (key->fingerprint != asker->fingerprint) {
		CHECK(reply->state == LEDGER_MISMATCH);
		return;
	}
	switch (reply->state) {
	case LEDGER_GRANTED:
		CHECK(key->holder == owner && !key->ended);
		return;
	case LEDGER_PENDING:
		CHECK(key->holder != owner && !key->ended);
		return;
	case LEDGER_UNKNOWN:
		CHECK(key->result == 0);
		CHECK(key->ended ||
		      (key->holder != owner &&
		       fuzz->now_ms - key->reserved_ms >= LEDGER_PENDING_MS));
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

/* An owner asks; "lost" answers aren't seen by it. */
static void ask(fuzz_t *fuzz, uint64_t owner, bool lost)
{
	owner_t *asker = &fuzz->owners[owner - 1];
	const msg_ledger_reply_t reply = apply(fuzz, LEDGER_RESERVE, asker->key,
					       owner, asker->fingerprint, 0);

	check_reserve(fuzz, owner, &reply);
	if (lost || asker->state != OWNER_ASKING)
		return;
	asker->state =
		reply.state == LEDGER_GRANTED ? OWNER_GRANTED : OWNER_DONE;
}

static void ask_anew(fuzz_t *fuzz)
{
	const uint8_t choice = fuzz_byte(&fuzz->input);

	if (fuzz->owner_count == OWNERS)
		return;
	fuzz->owners[fuzz->owner_count++] = (owner_t){
		.key = choice % KEYS,
		.fingerprint = choice / KEYS % 8 == 0,
	};
	ask(fuzz, fuzz->owner_count, choice >= 192);
}

static void ask_again(fuzz_t *fuzz)
{
	const uint64_t owner = pick_owner(fuzz);

	if (owner != 0)
		ask(fuzz, owner, fuzz_byte(&fuzz->input) % 2 == 0);
}

static void dispatch(fuzz_t *fuzz)
{
	const uint64_t owner = pick_owner(fuzz);

	if (owner == 0 || fuzz->owners[owner - 1].state != OWNER_GRANTED)
		return;
	fuzz->owners[owner - 1].state = OWNER_DISPATCHED;
	fuzz->keys[fuzz->owners[owner - 1].key].runs++;
	CHECK(fuzz->keys[fuzz->owners[owner - 1].key].runs == 1);
}

static void record(fuzz_t *fuzz)
{
	const uint64_t owner = pick_owner(fuzz);
	const bool known = fuzz_byte(&fuzz->input) % 4 != 0;
	const bool lost = fuzz_byte(&fuzz->input) % 2 == 0;
	msg_ledger_reply_t reply;
	oracle_key_t *key;
	owner_t *writer;

	if (owner == 0 || fuzz->owners[owner - 1].state != OWNER_DISPATCHED)
		return;
	writer = &fuzz->owners[owner - 1];
	key = &fuzz->keys[writer->key];
	reply = apply(fuzz, LEDGER_RECORD, writer->key, owner, 0,
		      known ? 1000 + owner : 0);
	CHECK(reply.state == LEDGER_OK && key->holder == owner);
	key->ended = true;
	if (key->result == 0) {
		const size_t before = ledger_usage(fuzz->ledger).bytes;

		key->changed_ms = fuzz->now_ms;
		reply = apply(fuzz, LEDGER_RESERVE, writer->key, owner + 1000,
			      key->fingerprint, 0);
		CHECK(reply.state == LEDGER_STORED ||
		      reply.state == LEDGER_UNKNOWN);
		if (reply.state == LEDGER_STORED)
			key->result = 1000 + owner;
		else
			CHECK(!known || (fuzz->bytes_max == TIGHT_BYTES &&
					 before + 8 > TIGHT_BYTES));
	}
	if (!lost)
		writer->state = OWNER_DONE;
}

/*
 * An owner that has not dispatched gives the key back, whatever answers it
 * has seen.  It may not be granted the key any more.
 */
static void give_back(fuzz_t *fuzz)
{
	const uint64_t owner = pick_owner(fuzz);
	const bool again = fuzz_byte(&fuzz->input) % 2 == 0;
	msg_ledger_reply_t reply;
	owner_t *giver;
	oracle_key_t *key;

	if (owner == 0)
		return;
	giver = &fuzz->owners[owner - 1];
	key = &fuzz->keys[giver->key];
	if (giver->state > OWNER_GRANTED || giver->released)
		return;
	reply = apply(fuzz, LEDGER_RELEASE, giver->key, owner, 0, 0);
	giver->state = OWNER_DONE;
	if (reply.state == LEDGER_FULL) {
		CHECK(!key->kept && fuzz->bytes_max == TIGHT_BYTES);
		return;
	}
	if (key->ended) {
		CHECK(reply.state == LEDGER_STORED ||
		      reply.state == LEDGER_UNKNOWN);
		return;
	}
	CHECK(reply.state == (key->holder == owner || key->holder == 0
				      ? LEDGER_OK
				      : LEDGER_PENDING));
	giver->released = true;
	giver->release_number = ++key->releases;
	if (key->holder == owner || !key->kept) {
		key->holder = 0;
		key->kept = true;
		key->changed_ms = fuzz->now_ms;
	}
	if (again)
		apply(fuzz, LEDGER_RELEASE, giver->key, owner, 0, 0);
}

/* Somebody who isn't the holder tries to end the reservation. */
static void meddle(fuzz_t *fuzz)
{
	const uint8_t choice = fuzz_byte(&fuzz->input);
	const uint32_t key = choice % KEYS;
	const ledger_op_t op = choice & 64 ? LEDGER_RECORD : LEDGER_RELEASE;
	const uint64_t owner = choice & 128 ? pick_owner(fuzz) : 5000;
	msg_ledger_reply_t reply;

	if (owner == fuzz->keys[key].holder)
		return;
	if (op == LEDGER_RELEASE && !fuzz->keys[key].kept)
		return;
	reply = apply(fuzz, op, key, owner, 0, 77);
	CHECK(reply.state != LEDGER_GRANTED);
	CHECK(reply.state != LEDGER_OK || op == LEDGER_RELEASE);
	if (op != LEDGER_RELEASE || fuzz->keys[key].ended)
		return;
	fuzz->keys[key].releases++;
	if (owner == 0 || owner > OWNERS || fuzz->owners[owner - 1].key != key)
		return;
	fuzz->owners[owner - 1].released = true;
	fuzz->owners[owner - 1].release_number = fuzz->keys[key].releases;
}

static void die(fuzz_t *fuzz)
{
	const uint64_t owner = pick_owner(fuzz);

	if (owner != 0)
		fuzz->owners[owner - 1].state = OWNER_DONE;
}

static void forget_key(fuzz_t *fuzz, uint32_t key)
{
	fuzz->keys[key] = (oracle_key_t){ 0 };
	for (uint64_t i = 0; i < fuzz->owner_count; i++)
		if (fuzz->owners[i].key == key) {
			fuzz->owners[i].state = OWNER_DONE;
			fuzz->owners[i].released = false;
		}
}

static void pass_time(fuzz_t *fuzz)
{
	static const int64_t spans_ms[] = {
		1,    1000, LEDGER_PENDING_MS, RETENTION_MS / 2, RETENTION_MS,
		-5000
	};

	fuzz->now_ms += spans_ms[fuzz_byte(&fuzz->input) %
				 (sizeof(spans_ms) / sizeof(int64_t))];
}

/* Time in the log doesn't run backwards, whatever the leader's clock does. */
static void pass_time_and_expire(fuzz_t *fuzz)
{
	const int64_t before_ms = fuzz->now_ms;

	pass_time(fuzz);
	apply(fuzz, LEDGER_RECORD, 0, 9999, 0, 0);
	if (fuzz->now_ms < before_ms)
		fuzz->now_ms = before_ms;
	for (uint32_t key = 0; key < KEYS; key++)
		if (fuzz->keys[key].kept &&
		    fuzz->now_ms - fuzz->keys[key].changed_ms >= RETENTION_MS)
			forget_key(fuzz, key);
}

static void restore(fuzz_t *fuzz)
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

/* A snapshot of arbitrary bytes is refused or taken whole. */
static void restore_garbage(const uint8_t *data, size_t size)
{
	ledger_t *ledger = ledger_new(ROOMY_BYTES);
	err_t err = ERR_INIT;

	if (!ledger_restore(ledger, data, size, &err))
		CHECK(err.code != ERR_NONE &&
		      ledger_usage(ledger).entries == 0);
	ledger_free(ledger);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static void (*const steps[])(fuzz_t * fuzz) = {
		ask_anew, ask_anew,  ask_again, dispatch,
		dispatch, record,    give_back, meddle,
		die,	  ask_again, restore,	pass_time_and_expire,
	};
	fuzz_t fuzz = { .input = { data, size } };
	const uint8_t mode = fuzz_byte(&fuzz.input);

	if (mode == 255) {
		restore_garbage(fuzz.input.data, fuzz.input.size);
		return 0;
	}
	fuzz.bytes_max = mode % 4 == 0 ? TIGHT_BYTES : ROOMY_BYTES;
	fuzz.ledger = ledger_new(fuzz.bytes_max);
	while (fuzz.input.size > 0)
		steps[fuzz_byte(&fuzz.input) %
		      (sizeof(steps) / sizeof(steps[0]))](&fuzz);
	ledger_free(fuzz.ledger);
	return 0;
}
