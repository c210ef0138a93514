/*
 * Fuzzes the replicated store against a plain list of accepted orders.  The
 * input selects among: a new order, a resent order, an id reused for another
 * order, concurrent orders with the same expected revision, replacing the
 * store by its restored snapshot, and a damaged snapshot.  A second replica
 * applies the same log later, and its snapshot must have the same bytes.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz_input.h"
#include "wisteria/base/err.h"
#include "wisteria/store/store.h"

#define ORDERS_MAX 64
#define SNAPSHOTS_MAX 8 /* per input */
#define NAME_COUNT 6
#define TEXT_VARIANTS 3

/* An order as sent, and the first reply that the oracle expects. */
typedef struct {
	char id[16];
	char text[96];
	msg_order_t order;
	order_outcome_t outcome;
	uint64_t revision;
	bool changed;
	char winner_id[16];
} sent_order_t;

/* The state of an engine order that the oracle expects. */
typedef struct {
	const char *name;
	engine_order_state_t state;
	uint64_t incarnation; /* of the process that claimed it */
} engine_model_t;

typedef struct {
	store_t store;
	store_t replica;
	sent_order_t sent[ORDERS_MAX];
	size_t sent_count;
	size_t replica_count; /* log entries applied by the replica */
	const sent_order_t *log[2 * ORDERS_MAX];
	size_t log_count;
	const sent_order_t *accepted[ORDERS_MAX]; /* of the oracle */
	size_t accepted_count;
	size_t snapshot_count;
	engine_model_t engine_orders[ORDERS_MAX]; /* token n is at n - 1 */
	size_t engine_order_count;
} fuzz_t;

static const char *const names[NAME_COUNT] = { "p0", "p1", "p2",
					       "p3", "p4", "p5" };

static const sent_order_t *find_created(const fuzz_t *fuzz, const char *name)
{
	for (size_t i = 0; i < fuzz->accepted_count; i++) {
		const msg_order_t *order = &fuzz->accepted[i]->order;

		if (order->kind == ORDER_PRESET_CREATE &&
		    strcmp(order->name, name) == 0)
			return fuzz->accepted[i];
	}
	return NULL;
}

static bool is_deleted(const fuzz_t *fuzz, const char *name)
{
	for (size_t i = 0; i < fuzz->accepted_count; i++) {
		const msg_order_t *order = &fuzz->accepted[i]->order;

		if (order->kind == ORDER_PRESET_DELETE &&
		    strcmp(order->name, name) == 0)
			return true;
	}
	return false;
}

/* Returns the order that created a preset not deleted since, or NULL. */
static const sent_order_t *find_existing(const fuzz_t *fuzz, const char *name)
{
	return is_deleted(fuzz, name) ? NULL : find_created(fuzz, name);
}

static const char *find_in_force(const fuzz_t *fuzz)
{
	for (size_t i = fuzz->accepted_count; i > 0; i--)
		if (fuzz->accepted[i - 1]->order.kind == ORDER_PRESET_USE)
			return fuzz->accepted[i - 1]->order.name;
	return "";
}

static bool is_leaving(const fuzz_t *fuzz, const char *name)
{
	for (size_t i = fuzz->accepted_count; i > 0; i--) {
		const msg_order_t *order = &fuzz->accepted[i - 1]->order;

		if (strcmp(order->name, name) != 0)
			continue;
		if (order->kind == ORDER_ENDPOINT_LEAVE)
			return true;
		if (order->kind == ORDER_ENDPOINT_RETURN)
			return false;
	}
	return false;
}

/* Sets the reply that the oracle expects to a "create" with a new id. */
static void expect_create(const fuzz_t *fuzz, sent_order_t *sent)
{
	const sent_order_t *created = find_existing(fuzz, sent->order.name);

	if (created != NULL && strcmp(created->text, sent->text) == 0)
		sent->revision = created->revision;
	else if (created != NULL || is_deleted(fuzz, sent->order.name) ||
		 strstr(sent->text, "layers: 0") != NULL)
		sent->outcome = ORDER_REFUSED;
	else
		sent->changed = true;
}

static void expect_use(const fuzz_t *fuzz, sent_order_t *sent)
{
	if (find_existing(fuzz, sent->order.name) == NULL)
		sent->outcome = ORDER_REFUSED;
	else
		sent->changed =
			strcmp(find_in_force(fuzz), sent->order.name) != 0;
}

static void expect_delete(const fuzz_t *fuzz, sent_order_t *sent)
{
	if (is_deleted(fuzz, sent->order.name))
		return;
	if (find_created(fuzz, sent->order.name) == NULL ||
	    strcmp(find_in_force(fuzz), sent->order.name) == 0)
		sent->outcome = ORDER_REFUSED;
	else
		sent->changed = true;
}

static const engine_model_t *find_engine(const fuzz_t *fuzz,
					 const sent_order_t *sent)
{
	uint64_t fence = sent->order.fence;

	return fence == 0 || fence > fuzz->engine_order_count
		       ? NULL
		       : &fuzz->engine_orders[fence - 1];
}

static void expect_claim(const fuzz_t *fuzz, sent_order_t *sent)
{
	const engine_model_t *engine = find_engine(fuzz, sent);

	if (engine == NULL || engine->state != ENGINE_ORDER_PENDING)
		sent->outcome = ORDER_REFUSED;
}

static void expect_result(const fuzz_t *fuzz, sent_order_t *sent)
{
	const engine_model_t *engine = find_engine(fuzz, sent);

	if (engine == NULL || engine->state != ENGINE_ORDER_CLAIMED ||
	    engine->incarnation != sent->order.incarnation ||
	    sent->order.engine_state < ENGINE_ORDER_DONE ||
	    sent->order.engine_state > ENGINE_ORDER_UNKNOWN)
		sent->outcome = ORDER_REFUSED;
}

static bool expected_revision_matches(const fuzz_t *fuzz,
				      const msg_order_t *order)
{
	return !order->has_expected ||
	       order->expected_revision == fuzz->accepted_count;
}

/* Updates the oracle's engine orders after an order. */
static void update_engine_model(fuzz_t *fuzz, const sent_order_t *sent)
{
	engine_model_t *engine = (engine_model_t *)find_engine(fuzz, sent);
	const msg_order_t *order = &sent->order;
	bool applied = sent->outcome == ORDER_APPLIED;

	if (order->kind == ORDER_ENGINE && applied) {
		fuzz->engine_orders[fuzz->engine_order_count++].name =
			order->name;
	} else if (order->kind == ORDER_ENGINE_CLAIM && applied) {
		engine->state = ENGINE_ORDER_CLAIMED;
		engine->incarnation = order->incarnation;
	} else if (order->kind == ORDER_ENGINE_CLAIM && engine != NULL &&
		   expected_revision_matches(fuzz, order) &&
		   engine->state == ENGINE_ORDER_CLAIMED &&
		   engine->incarnation != order->incarnation) {
		engine->state = ENGINE_ORDER_UNKNOWN;
	} else if (order->kind == ORDER_ENGINE_RESULT && applied) {
		engine->state = order->engine_state;
	}
}

static void check_engine_orders(const fuzz_t *fuzz)
{
	CHECK(fuzz->store.fence == fuzz->engine_order_count);
	CHECK(fuzz->store.engine_orders->len == fuzz->engine_order_count);
	for (size_t i = 0; i < fuzz->engine_order_count; i++) {
		const msg_engine_order_t *order = &g_array_index(
			fuzz->store.engine_orders, msg_engine_order_t, i);

		CHECK(order->fence == i + 1);
		CHECK(order->state == fuzz->engine_orders[i].state);
		CHECK(strcmp(order->endpoint, fuzz->engine_orders[i].name) ==
		      0);
	}
}

static void expect_by_kind(const fuzz_t *fuzz, sent_order_t *sent)
{
	const msg_order_t *order = &sent->order;

	switch (order->kind) {
	case ORDER_PRESET_CREATE:
		expect_create(fuzz, sent);
		break;
	case ORDER_PRESET_USE:
		expect_use(fuzz, sent);
		break;
	case ORDER_PRESET_DELETE:
		expect_delete(fuzz, sent);
		break;
	case ORDER_ENDPOINT_LEAVE:
		sent->changed = !is_leaving(fuzz, order->name);
		break;
	case ORDER_ENDPOINT_RETURN:
		sent->changed = is_leaving(fuzz, order->name);
		break;
	case ORDER_MEMBER_ADD:
		sent->outcome = ORDER_REFUSED;
		break;
	case ORDER_ENGINE:
		sent->changed = sent->text[0] == '{';
		if (!sent->changed)
			sent->outcome = ORDER_REFUSED;
		break;
	case ORDER_ENGINE_CLAIM:
		expect_claim(fuzz, sent);
		break;
	case ORDER_ENGINE_RESULT:
		expect_result(fuzz, sent);
		break;
	default:
		sent->changed = true;
	}
}

static void expect(const fuzz_t *fuzz, sent_order_t *sent)
{
	const msg_order_t *order = &sent->order;
	uint64_t revision = fuzz->accepted_count;

	sent->outcome = ORDER_APPLIED;
	sent->revision = revision;
	if (order->has_expected && order->expected_revision != revision) {
		bool outdated = order->expected_revision < revision;

		sent->outcome = outdated ? ORDER_CONFLICT : ORDER_REFUSED;
		if (outdated)
			strcpy(sent->winner_id,
			       fuzz->accepted[order->expected_revision]->id);
		return;
	}
	expect_by_kind(fuzz, sent);
	if (sent->changed)
		sent->revision = revision + 1;
}

static void check_reply(const sent_order_t *sent,
			const msg_order_reply_t *reply)
{
	CHECK(strcmp(reply->id, sent->id) == 0);
	CHECK(reply->outcome == sent->outcome);
	CHECK(reply->revision == sent->revision);
	if (sent->outcome == ORDER_CONFLICT)
		CHECK(strcmp(reply->winner.id, sent->winner_id) == 0);
}

static void check_state(const fuzz_t *fuzz)
{
	msg_config_t config;
	size_t preset_count;
	size_t leaving = 0;

	store_config(&fuzz->store, &config);
	CHECK(config.revision == fuzz->accepted_count);
	CHECK(strcmp(config.preset, find_in_force(fuzz)) == 0);
	for (size_t i = 0; i < NAME_COUNT; i++) {
		const sent_order_t *created = find_existing(fuzz, names[i]);
		const msg_preset_t *preset =
			store_find_preset(&fuzz->store, names[i]);

		leaving += is_leaving(fuzz, names[i]);
		CHECK((created == NULL) == (preset == NULL));
		if (created != NULL)
			CHECK(strcmp(preset->text, created->text) == 0 &&
			      preset->revision == created->revision);
	}
	CHECK(config.leaving_count == leaving);
	for (size_t i = 0; i < config.leaving_count; i++)
		CHECK(is_leaving(fuzz, config.leaving[i].text));
	store_list_presets(&fuzz->store, &preset_count);
	CHECK(preset_count <= NAME_COUNT);
}

static void check_history(const fuzz_t *fuzz)
{
	const store_change_t *changes[ORDERS_MAX];
	size_t count = store_history(&fuzz->store, 0, changes, ORDERS_MAX);

	CHECK(count == fuzz->accepted_count);
	for (size_t i = 0; i < count; i++) {
		CHECK(changes[i]->revision == i + 1);
		CHECK(strcmp(changes[i]->order.id, fuzz->accepted[i]->id) == 0);
	}
}

static void append_and_apply(fuzz_t *fuzz, const sent_order_t *sent,
			     msg_order_reply_t *reply, bool changed)
{
	fuzz->log[fuzz->log_count++] = sent;
	CHECK(store_apply(&fuzz->store, &sent->order, fuzz->log_count, reply) ==
	      changed);
}

/* Two agent incarnations claim and report on existing engine orders. */
static void choose_agent_order(const fuzz_t *fuzz, fuzz_input_t *input,
			       sent_order_t *sent)
{
	const engine_model_t *engine;

	sent->order.fence =
		fuzz_byte(input) % (fuzz->engine_order_count + 1) + 1;
	sent->order.incarnation = 1 + fuzz_byte(input) % 2;
	sent->order.engine_state = fuzz_byte(input) % 6;
	engine = find_engine(fuzz, sent);
	if (engine != NULL)
		sent->order.name = engine->name;
}

static void choose_order(const fuzz_t *fuzz, fuzz_input_t *input,
			 sent_order_t *sent)
{
	uint8_t choice = fuzz_byte(input);
	uint8_t name = fuzz_byte(input) % NAME_COUNT;
	uint8_t expected = fuzz_byte(input);

	snprintf(sent->id, sizeof(sent->id), "o%zu", fuzz->sent_count);
	sent->order.id = sent->id;
	sent->order.kind = choice % ORDER_KIND_COUNT;
	sent->order.name = names[name];
	sent->order.operator_name = choice & 0x80 ? "rui" : "joana";
	sent->order.wall_ms = (int64_t)fuzz->sent_count;
	sent->order.has_expected = (expected & 1) != 0;
	sent->order.expected_revision =
		expected >= 0xf0 ? fuzz->accepted_count + 1
		: expected >= 0x80 && fuzz->accepted_count > 0
			? fuzz->accepted_count - 1
			: fuzz->accepted_count;
	if (sent->order.kind == ORDER_PRESET_CREATE)
		snprintf(sent->text, sizeof(sent->text),
			 "name: %s\nmodels:\n  - {name: m, layers: %u}\n",
			 names[name],
			 (unsigned)fuzz_byte(input) % TEXT_VARIANTS);
	if (sent->order.kind == ORDER_ENGINE)
		strcpy(sent->text, fuzz_byte(input) % 8 == 0 ? "x" : "{}");
	if (sent->order.kind == ORDER_ENGINE_CLAIM ||
	    sent->order.kind == ORDER_ENGINE_RESULT)
		choose_agent_order(fuzz, input, sent);
	sent->order.text = sent->text;
}

static void send_new(fuzz_t *fuzz, fuzz_input_t *input)
{
	sent_order_t *sent = &fuzz->sent[fuzz->sent_count];
	msg_order_reply_t reply;

	if (fuzz->sent_count == ORDERS_MAX)
		return;
	choose_order(fuzz, input, sent);
	fuzz->sent_count++;
	expect(fuzz, sent);
	append_and_apply(fuzz, sent, &reply, sent->changed);
	check_reply(sent, &reply);
	update_engine_model(fuzz, sent);
	if (sent->changed)
		fuzz->accepted[fuzz->accepted_count++] = sent;
}

/* A resent order gets the reply to the first one. */
static void resend(fuzz_t *fuzz, fuzz_input_t *input)
{
	msg_order_reply_t reply;
	sent_order_t *sent;

	if (fuzz->sent_count == 0 || fuzz->log_count == 2 * ORDERS_MAX)
		return;
	sent = &fuzz->sent[fuzz_byte(input) % fuzz->sent_count];
	append_and_apply(fuzz, sent, &reply, false);
	check_reply(sent, &reply);
}

static void reuse_id(fuzz_t *fuzz, fuzz_input_t *input)
{
	msg_order_reply_t reply;
	msg_order_t other;

	if (fuzz->sent_count == 0)
		return;
	other = fuzz->sent[fuzz_byte(input) % fuzz->sent_count].order;
	other.kind = (other.kind + 1) % ORDER_KIND_COUNT;
	CHECK(!store_apply(&fuzz->store, &other, fuzz->log_count, &reply));
	CHECK(reply.outcome == ORDER_REFUSED);
	CHECK(reply.revision == fuzz->accepted_count);
}

static void restore_from_snapshot(store_t *store)
{
	msgpack_sbuffer before;
	msgpack_sbuffer after;
	err_t err = ERR_INIT;

	msgpack_sbuffer_init(&before);
	msgpack_sbuffer_init(&after);
	store_snapshot(store, &before);
	store_finish(store);
	store_init(store);
	CHECK(store_restore(store, (const uint8_t *)before.data, before.size,
			    &err));
	store_snapshot(store, &after);
	CHECK(before.size == after.size);
	CHECK(memcmp(before.data, after.data, before.size) == 0);
	msgpack_sbuffer_destroy(&before);
	msgpack_sbuffer_destroy(&after);
}

static void catch_up(fuzz_t *fuzz, size_t until)
{
	msg_order_reply_t reply;

	while (fuzz->replica_count < until) {
		const sent_order_t *sent = fuzz->log[fuzz->replica_count++];

		store_apply(&fuzz->replica, &sent->order, fuzz->replica_count,
			    &reply);
		check_reply(sent, &reply);
	}
}

/* A damaged snapshot is rejected or restored, never restored in part. */
static void restore_damaged_snapshot(const fuzz_t *fuzz, fuzz_input_t *input)
{
	msgpack_sbuffer bytes;
	err_t err = ERR_INIT;
	store_t scratch;
	size_t offset;

	msgpack_sbuffer_init(&bytes);
	store_snapshot(&fuzz->store, &bytes);
	offset = (fuzz_byte(input) * 256u + fuzz_byte(input)) % bytes.size;
	bytes.data[offset] = (char)fuzz_byte(input);
	store_init(&scratch);
	if (!store_restore(&scratch, (const uint8_t *)bytes.data, bytes.size,
			   &err))
		CHECK(scratch.revision == 0 && err_is_set(&err));
	store_finish(&scratch);
	msgpack_sbuffer_destroy(&bytes);
}

static void check_replica(fuzz_t *fuzz)
{
	msgpack_sbuffer one;
	msgpack_sbuffer other;

	catch_up(fuzz, fuzz->log_count);
	msgpack_sbuffer_init(&one);
	msgpack_sbuffer_init(&other);
	store_snapshot(&fuzz->store, &one);
	store_snapshot(&fuzz->replica, &other);
	CHECK(one.size == other.size);
	CHECK(memcmp(one.data, other.data, one.size) == 0);
	msgpack_sbuffer_destroy(&one);
	msgpack_sbuffer_destroy(&other);
}

static void step_snapshot(fuzz_t *fuzz, fuzz_input_t *input, uint8_t choice)
{
	if (fuzz->snapshot_count++ == SNAPSHOTS_MAX)
		fuzz->snapshot_count--;
	else if (choice < 0xe4)
		restore_from_snapshot(&fuzz->store);
	else if (choice < 0xf4)
		restore_from_snapshot(&fuzz->replica);
	else
		restore_damaged_snapshot(fuzz, input);
}

static void step(fuzz_t *fuzz, fuzz_input_t *input)
{
	uint8_t choice = fuzz_byte(input);

	if (choice < 0x90)
		send_new(fuzz, input);
	else if (choice < 0xc0)
		resend(fuzz, input);
	else if (choice < 0xd0)
		reuse_id(fuzz, input);
	else if (choice < 0xd8)
		catch_up(fuzz, fuzz->log_count);
	else
		step_snapshot(fuzz, input, choice);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fuzz_input_t input = { .data = data, .size = size };
	fuzz_t *fuzz = calloc(1, sizeof(*fuzz));

	store_init(&fuzz->store);
	store_init(&fuzz->replica);
	while (input.size > 0 && fuzz->log_count < 2 * ORDERS_MAX) {
		step(fuzz, &input);
		check_state(fuzz);
		check_engine_orders(fuzz);
	}
	check_history(fuzz);
	check_replica(fuzz);
	store_finish(&fuzz->store);
	store_finish(&fuzz->replica);
	free(fuzz);
	return 0;
}
