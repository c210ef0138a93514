/*
 * Fuzzes the replicated store against a plain list of accepted orders.  The
 * bytes choose among: a new order, an order resent, an id used again for
 * something else, orders that race with equal revisions, a snapshot restored
 * in place of the store, and a damaged snapshot.  A second replica applies
 * the same log later and must end in the same bytes.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz_input.h"
#include "wisteria/base/err.h"
#include "wisteria/store/store.h"

#define ORDERS_MAX 64
#define SNAPSHOTS_MAX 8 /* in one run */
#define NAMES 6
#define TEXTS 3

/* An order as sent, and what was answered the first time. */
typedef struct {
	char id[16];
	char text[96];
	msg_order_t order;
	order_outcome_t outcome;
	uint64_t revision;
	bool changed;
	char winner_id[16];
} sent_t;

/* What the oracle knows of an order to an engine. */
typedef struct {
	const char *name;
	engine_order_state_t state;
	uint64_t incarnation; /* that claimed it */
} engine_t;

typedef struct {
	store_t store;
	store_t replica;
	sent_t sent[ORDERS_MAX];
	size_t sent_count;
	size_t replica_count; /* of the log, applied by the replica */
	const sent_t *log[2 * ORDERS_MAX];
	size_t log_count;
	const sent_t *accepted[ORDERS_MAX]; /* the oracle */
	size_t accepted_count;
	size_t snapshot_count;
	engine_t engines[ORDERS_MAX]; /* by fencing number, from 1 */
	size_t engine_count;
} world_t;

static const char *const names[NAMES] = { "p0", "p1", "p2", "p3", "p4", "p5" };

static const sent_t *find_created(const world_t *world, const char *name)
{
	for (size_t i = 0; i < world->accepted_count; i++) {
		const msg_order_t *order = &world->accepted[i]->order;

		if (order->kind == ORDER_PRESET_CREATE &&
		    strcmp(order->name, name) == 0)
			return world->accepted[i];
	}
	return NULL;
}

static bool is_deleted(const world_t *world, const char *name)
{
	for (size_t i = 0; i < world->accepted_count; i++) {
		const msg_order_t *order = &world->accepted[i]->order;

		if (order->kind == ORDER_PRESET_DELETE &&
		    strcmp(order->name, name) == 0)
			return true;
	}
	return false;
}

/* Returns the order that made a preset which is still there, or NULL. */
static const sent_t *find_present(const world_t *world, const char *name)
{
	return is_deleted(world, name) ? NULL : find_created(world, name);
}

static const char *find_in_force(const world_t *world)
{
	for (size_t i = world->accepted_count; i > 0; i--)
		if (world->accepted[i - 1]->order.kind == ORDER_PRESET_USE)
			return world->accepted[i - 1]->order.name;
	return "";
}

static bool is_leaving(const world_t *world, const char *name)
{
	for (size_t i = world->accepted_count; i > 0; i--) {
		const msg_order_t *order = &world->accepted[i - 1]->order;

		if (strcmp(order->name, name) != 0)
			continue;
		if (order->kind == ORDER_ENDPOINT_LEAVE)
			return true;
		if (order->kind == ORDER_ENDPOINT_RETURN)
			return false;
	}
	return false;
}

/* What the oracle expects of an order with a new id. */
static void expect_create(const world_t *world, sent_t *sent)
{
	const sent_t *created = find_present(world, sent->order.name);

	if (created != NULL && strcmp(created->text, sent->text) == 0)
		sent->revision = created->revision;
	else if (created != NULL || is_deleted(world, sent->order.name) ||
		 strstr(sent->text, "layers: 0") != NULL)
		sent->outcome = ORDER_REFUSED;
	else
		sent->changed = true;
}

static void expect_use(const world_t *world, sent_t *sent)
{
	if (find_present(world, sent->order.name) == NULL)
		sent->outcome = ORDER_REFUSED;
	else
		sent->changed =
			strcmp(find_in_force(world), sent->order.name) != 0;
}

static void expect_delete(const world_t *world, sent_t *sent)
{
	if (is_deleted(world, sent->order.name))
		return;
	if (find_created(world, sent->order.name) == NULL ||
	    strcmp(find_in_force(world), sent->order.name) == 0)
		sent->outcome = ORDER_REFUSED;
	else
		sent->changed = true;
}

static const engine_t *find_engine(const world_t *world, const sent_t *sent)
{
	uint64_t fence = sent->order.fence;

	return fence == 0 || fence > world->engine_count
		       ? NULL
		       : &world->engines[fence - 1];
}

static void expect_claim(const world_t *world, sent_t *sent)
{
	const engine_t *engine = find_engine(world, sent);

	if (engine == NULL || engine->state != ENGINE_ORDER_PENDING)
		sent->outcome = ORDER_REFUSED;
}

static void expect_result(const world_t *world, sent_t *sent)
{
	const engine_t *engine = find_engine(world, sent);

	if (engine == NULL || engine->state != ENGINE_ORDER_CLAIMED ||
	    engine->incarnation != sent->order.incarnation ||
	    sent->order.engine_state < ENGINE_ORDER_DONE ||
	    sent->order.engine_state > ENGINE_ORDER_UNKNOWN)
		sent->outcome = ORDER_REFUSED;
}

static bool expectation_held(const world_t *world, const msg_order_t *order)
{
	return !order->has_expected ||
	       order->expected_revision == world->accepted_count;
}

/* Keeps what an order did to the orders to engines. */
static void note_engine(world_t *world, const sent_t *sent)
{
	engine_t *engine = (engine_t *)find_engine(world, sent);
	const msg_order_t *order = &sent->order;
	bool applied = sent->outcome == ORDER_APPLIED;

	if (order->kind == ORDER_ENGINE && applied) {
		world->engines[world->engine_count++].name = order->name;
	} else if (order->kind == ORDER_ENGINE_CLAIM && applied) {
		engine->state = ENGINE_ORDER_CLAIMED;
		engine->incarnation = order->incarnation;
	} else if (order->kind == ORDER_ENGINE_CLAIM && engine != NULL &&
		   expectation_held(world, order) &&
		   engine->state == ENGINE_ORDER_CLAIMED &&
		   engine->incarnation != order->incarnation) {
		engine->state = ENGINE_ORDER_UNKNOWN;
	} else if (order->kind == ORDER_ENGINE_RESULT && applied) {
		engine->state = order->engine_state;
	}
}

static void check_engines(const world_t *world)
{
	CHECK(world->store.fence == world->engine_count);
	CHECK(world->store.engines->len == world->engine_count);
	for (size_t i = 0; i < world->engine_count; i++) {
		const msg_engine_order_t *order = &g_array_index(
			world->store.engines, msg_engine_order_t, i);

		CHECK(order->fence == i + 1);
		CHECK(order->state == world->engines[i].state);
		CHECK(strcmp(order->endpoint, world->engines[i].name) == 0);
	}
}

static void expect_by_kind(const world_t *world, sent_t *sent)
{
	const msg_order_t *order = &sent->order;

	switch (order->kind) {
	case ORDER_PRESET_CREATE:
		expect_create(world, sent);
		break;
	case ORDER_PRESET_USE:
		expect_use(world, sent);
		break;
	case ORDER_PRESET_DELETE:
		expect_delete(world, sent);
		break;
	case ORDER_ENDPOINT_LEAVE:
		sent->changed = !is_leaving(world, order->name);
		break;
	case ORDER_ENDPOINT_RETURN:
		sent->changed = is_leaving(world, order->name);
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
		expect_claim(world, sent);
		break;
	case ORDER_ENGINE_RESULT:
		expect_result(world, sent);
		break;
	default:
		sent->changed = true;
	}
}

static void expect(const world_t *world, sent_t *sent)
{
	const msg_order_t *order = &sent->order;
	uint64_t revision = world->accepted_count;

	sent->outcome = ORDER_APPLIED;
	sent->revision = revision;
	if (order->has_expected && order->expected_revision != revision) {
		bool past = order->expected_revision < revision;

		sent->outcome = past ? ORDER_CONFLICT : ORDER_REFUSED;
		if (past)
			strcpy(sent->winner_id,
			       world->accepted[order->expected_revision]->id);
		return;
	}
	expect_by_kind(world, sent);
	if (sent->changed)
		sent->revision = revision + 1;
}

static void check_reply(const sent_t *sent, const msg_order_reply_t *reply)
{
	CHECK(strcmp(reply->id, sent->id) == 0);
	CHECK(reply->outcome == sent->outcome);
	CHECK(reply->revision == sent->revision);
	if (sent->outcome == ORDER_CONFLICT)
		CHECK(strcmp(reply->winner.id, sent->winner_id) == 0);
}

static void check_state(const world_t *world)
{
	msg_config_t config;
	size_t preset_count;
	size_t leaving = 0;

	store_config(&world->store, &config);
	CHECK(config.revision == world->accepted_count);
	CHECK(strcmp(config.preset, find_in_force(world)) == 0);
	for (size_t i = 0; i < NAMES; i++) {
		const sent_t *created = find_present(world, names[i]);
		const msg_preset_t *preset =
			store_preset(&world->store, names[i]);

		leaving += is_leaving(world, names[i]);
		CHECK((created == NULL) == (preset == NULL));
		if (created != NULL)
			CHECK(strcmp(preset->text, created->text) == 0 &&
			      preset->revision == created->revision);
	}
	CHECK(config.leaving_count == leaving);
	for (size_t i = 0; i < config.leaving_count; i++)
		CHECK(is_leaving(world, config.leaving[i].text));
	store_presets(&world->store, &preset_count);
	CHECK(preset_count <= NAMES);
}

static void check_history(const world_t *world)
{
	const store_change_t *changes[ORDERS_MAX];
	size_t count = store_history(&world->store, 0, changes, ORDERS_MAX);

	CHECK(count == world->accepted_count);
	for (size_t i = 0; i < count; i++) {
		CHECK(changes[i]->revision == i + 1);
		CHECK(strcmp(changes[i]->order.id, world->accepted[i]->id) ==
		      0);
	}
}

static void submit(world_t *world, const sent_t *sent, msg_order_reply_t *reply,
		   bool changed)
{
	world->log[world->log_count++] = sent;
	CHECK(store_apply(&world->store, &sent->order, world->log_count,
			  reply) == changed);
}

/* Agents of two incarnations speak of the orders that there are. */
static void choose_agent_order(const world_t *world, fuzz_input_t *input,
			       sent_t *sent)
{
	const engine_t *engine;

	sent->order.fence = fuzz_byte(input) % (world->engine_count + 1) + 1;
	sent->order.incarnation = 1 + fuzz_byte(input) % 2;
	sent->order.engine_state = fuzz_byte(input) % 6;
	engine = find_engine(world, sent);
	if (engine != NULL)
		sent->order.name = engine->name;
}

static void choose_order(const world_t *world, fuzz_input_t *input,
			 sent_t *sent)
{
	uint8_t choice = fuzz_byte(input);
	uint8_t name = fuzz_byte(input) % NAMES;
	uint8_t expected = fuzz_byte(input);

	snprintf(sent->id, sizeof(sent->id), "o%zu", world->sent_count);
	sent->order.id = sent->id;
	sent->order.kind = choice % ORDER_KIND_COUNT;
	sent->order.name = names[name];
	sent->order.operator_name = choice & 0x80 ? "rui" : "joana";
	sent->order.wall_ms = (int64_t)world->sent_count;
	sent->order.has_expected = (expected & 1) != 0;
	sent->order.expected_revision =
		expected >= 0xf0 ? world->accepted_count + 1
		: expected >= 0x80 && world->accepted_count > 0
			? world->accepted_count - 1
			: world->accepted_count;
	if (sent->order.kind == ORDER_PRESET_CREATE)
		snprintf(sent->text, sizeof(sent->text),
			 "name: %s\nmodels:\n  - {name: m, layers: %u}\n",
			 names[name], (unsigned)fuzz_byte(input) % TEXTS);
	if (sent->order.kind == ORDER_ENGINE)
		strcpy(sent->text, fuzz_byte(input) % 8 == 0 ? "x" : "{}");
	if (sent->order.kind == ORDER_ENGINE_CLAIM ||
	    sent->order.kind == ORDER_ENGINE_RESULT)
		choose_agent_order(world, input, sent);
	sent->order.text = sent->text;
}

static void send_new(world_t *world, fuzz_input_t *input)
{
	sent_t *sent = &world->sent[world->sent_count];
	msg_order_reply_t reply;

	if (world->sent_count == ORDERS_MAX)
		return;
	choose_order(world, input, sent);
	world->sent_count++;
	expect(world, sent);
	submit(world, sent, &reply, sent->changed);
	check_reply(sent, &reply);
	note_engine(world, sent);
	if (sent->changed)
		world->accepted[world->accepted_count++] = sent;
}

/* A resent order carries a new time and gets the first answer. */
static void resend(world_t *world, fuzz_input_t *input)
{
	msg_order_reply_t reply;
	sent_t *sent;

	if (world->sent_count == 0 || world->log_count == 2 * ORDERS_MAX)
		return;
	sent = &world->sent[fuzz_byte(input) % world->sent_count];
	submit(world, sent, &reply, false);
	check_reply(sent, &reply);
}

static void reuse_id(world_t *world, fuzz_input_t *input)
{
	msg_order_reply_t reply;
	msg_order_t other;

	if (world->sent_count == 0)
		return;
	other = world->sent[fuzz_byte(input) % world->sent_count].order;
	other.kind = (other.kind + 1) % ORDER_KIND_COUNT;
	CHECK(!store_apply(&world->store, &other, world->log_count, &reply));
	CHECK(reply.outcome == ORDER_REFUSED);
	CHECK(reply.revision == world->accepted_count);
}

static void restart(store_t *store)
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

static void catch_up(world_t *world, size_t until)
{
	msg_order_reply_t reply;

	while (world->replica_count < until) {
		const sent_t *sent = world->log[world->replica_count++];

		store_apply(&world->replica, &sent->order, world->replica_count,
			    &reply);
		check_reply(sent, &reply);
	}
}

/* A damaged snapshot is refused or read, and never half taken. */
static void damage(const world_t *world, fuzz_input_t *input)
{
	msgpack_sbuffer bytes;
	err_t err = ERR_INIT;
	store_t scratch;
	size_t place;

	msgpack_sbuffer_init(&bytes);
	store_snapshot(&world->store, &bytes);
	place = (fuzz_byte(input) * 256u + fuzz_byte(input)) % bytes.size;
	bytes.data[place] = (char)fuzz_byte(input);
	store_init(&scratch);
	if (!store_restore(&scratch, (const uint8_t *)bytes.data, bytes.size,
			   &err))
		CHECK(scratch.revision == 0 && err_is_set(&err));
	store_finish(&scratch);
	msgpack_sbuffer_destroy(&bytes);
}

static void check_replica(world_t *world)
{
	msgpack_sbuffer one;
	msgpack_sbuffer other;

	catch_up(world, world->log_count);
	msgpack_sbuffer_init(&one);
	msgpack_sbuffer_init(&other);
	store_snapshot(&world->store, &one);
	store_snapshot(&world->replica, &other);
	CHECK(one.size == other.size);
	CHECK(memcmp(one.data, other.data, one.size) == 0);
	msgpack_sbuffer_destroy(&one);
	msgpack_sbuffer_destroy(&other);
}

static void step_snapshot(world_t *world, fuzz_input_t *input, uint8_t choice)
{
	if (world->snapshot_count++ == SNAPSHOTS_MAX)
		world->snapshot_count--;
	else if (choice < 0xe4)
		restart(&world->store);
	else if (choice < 0xf4)
		restart(&world->replica);
	else
		damage(world, input);
}

static void step(world_t *world, fuzz_input_t *input)
{
	uint8_t choice = fuzz_byte(input);

	if (choice < 0x90)
		send_new(world, input);
	else if (choice < 0xc0)
		resend(world, input);
	else if (choice < 0xd0)
		reuse_id(world, input);
	else if (choice < 0xd8)
		catch_up(world, world->log_count);
	else
		step_snapshot(world, input, choice);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fuzz_input_t input = { .data = data, .size = size };
	world_t *world = calloc(1, sizeof(*world));

	store_init(&world->store);
	store_init(&world->replica);
	while (input.size > 0 && world->log_count < 2 * ORDERS_MAX) {
		step(world, &input);
		check_state(world);
		check_engines(world);
	}
	check_history(world);
	check_replica(world);
	store_finish(&world->store);
	store_finish(&world->replica);
	free(world);
	return 0;
}
