/* Unit tests of the replicated store. */
#include "unit.h"

#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/store/store.h"
#include "wisteria/store/store_engine.h"

#define TEXT(name) "name: " name "\nmodels:\n  - {name: m, layers: 4}\n"

static uint64_t next_index = 1;

static msg_order_reply_t apply(store_t *store, const char *id,
			       order_kind_t kind, const char *name,
			       const char *text)
{
	const msg_order_t order = {
		.id = id,
		.kind = kind,
		.name = name,
		.text = text,
		.operator_name = "joana",
		.wall_ms = (int64_t)next_index,
	};
	msg_order_reply_t reply;

	store_apply(store, &order, next_index++, &reply);
	return reply;
}

static msg_order_reply_t apply_expecting(store_t *store, const char *id,
					 const char *name, const char *operator,
					 uint64_t revision)
{
	const msg_order_t order = {
		.id = id,
		.kind = ORDER_ENDPOINT_LEAVE,
		.name = name,
		.operator_name = operator,
		.wall_ms = 1700000000123,
		.has_expected = true,
		.expected_revision = revision,
	};
	msg_order_reply_t reply;

	store_apply(store, &order, next_index++, &reply);
	return reply;
}

static void test_create_and_use(void)
{
	msg_order_reply_t reply;
	msg_config_t config;
	store_t store;

	store_init(&store);
	reply = apply(&store, "1", ORDER_PRESET_USE, "day", NULL);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_REFUSED);
	CU_ASSERT_STRING_EQUAL(reply.reason, "there is no preset day");
	reply = apply(&store, "2", ORDER_PRESET_CREATE, "day", TEXT("day"));
	CU_ASSERT_EQUAL(reply.outcome, ORDER_APPLIED);
	CU_ASSERT_EQUAL(reply.revision, 1);
	reply = apply(&store, "3", ORDER_PRESET_USE, "day", NULL);
	CU_ASSERT_EQUAL(reply.revision, 2);
	store_config(&store, &config);
	CU_ASSERT_STRING_EQUAL(config.preset, "day");
	CU_ASSERT_EQUAL(config.revision, 2);
	reply = apply(&store, "4", ORDER_PRESET_USE, "day", NULL);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_APPLIED);
	CU_ASSERT_EQUAL(reply.revision, 2);
	store_finish(&store);
}

static void test_presets_are_immutable(void)
{
	msg_order_reply_t reply;
	store_t store;

	store_init(&store);
	apply(&store, "1", ORDER_PRESET_CREATE, "day", TEXT("day"));
	apply(&store, "2", ORDER_ENDPOINT_LEAVE, "e1", NULL);
	reply = apply(&store, "3", ORDER_PRESET_CREATE, "day", TEXT("day"));
	CU_ASSERT_EQUAL(reply.outcome, ORDER_APPLIED);
	CU_ASSERT_EQUAL(reply.revision, 1);
	reply = apply(&store, "4", ORDER_PRESET_CREATE, "day",
		      TEXT("day") "recovery: replay\n");
	CU_ASSERT_EQUAL(reply.outcome, ORDER_REFUSED);
	CU_ASSERT_PTR_NOT_NULL(strstr(reply.reason, "since revision 1"));
	reply = apply(&store, "5", ORDER_PRESET_CREATE, "peak", TEXT("day"));
	CU_ASSERT_EQUAL(reply.outcome, ORDER_REFUSED);
	CU_ASSERT_STRING_EQUAL(reply.reason,
			       "the text is of preset day, not peak");
	reply = apply(&store, "6", ORDER_PRESET_CREATE, "bad", "name: bad\n");
	CU_ASSERT_EQUAL(reply.outcome, ORDER_REFUSED);
	CU_ASSERT_EQUAL(store.revision, 2);
	store_finish(&store);
}

/* Another version of the program may have had other rules for presets. */
static void test_logged_presets_are_not_validated_again(void)
{
	const msg_order_t order = {
		.id = "1",
		.kind = ORDER_PRESET_CREATE,
		.name = "old",
		.text = "name: old\nrule_of_another_version: 1\n",
		.checked = true,
	};
	msg_order_reply_t reply;
	store_t store;
	err_t err = ERR_INIT;

	store_init(&store);
	CU_ASSERT_FALSE(store_check_preset(&order, &err));
	store_apply(&store, &order, next_index++, &reply);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_APPLIED);
	CU_ASSERT_PTR_NOT_NULL(store_find_preset(&store, "old"));
	store_finish(&store);
}

static void test_delete(void)
{
	msg_order_reply_t reply;
	store_t store;

	store_init(&store);
	apply(&store, "1", ORDER_PRESET_CREATE, "day", TEXT("day"));
	apply(&store, "2", ORDER_PRESET_CREATE, "peak", TEXT("peak"));
	apply(&store, "3", ORDER_PRESET_USE, "day", NULL);
	reply = apply(&store, "4", ORDER_PRESET_DELETE, "day", NULL);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_REFUSED);
	CU_ASSERT_STRING_EQUAL(reply.reason, "preset day is in force");
	reply = apply(&store, "5", ORDER_PRESET_DELETE, "night", NULL);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_REFUSED);
	reply = apply(&store, "6", ORDER_PRESET_DELETE, "peak", NULL);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_APPLIED);
	CU_ASSERT_EQUAL(reply.revision, 4);
	CU_ASSERT_PTR_NULL(store_find_preset(&store, "peak"));
	CU_ASSERT_EQUAL(store.preset_bytes, strlen(TEXT("day")));
	reply = apply(&store, "7", ORDER_PRESET_DELETE, "peak", NULL);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_APPLIED);
	CU_ASSERT_EQUAL(reply.revision, 4);
	reply = apply(&store, "8", ORDER_PRESET_CREATE, "peak", TEXT("peak"));
	CU_ASSERT_EQUAL(reply.outcome, ORDER_REFUSED);
	CU_ASSERT_PTR_NOT_NULL(strstr(reply.reason, "take a new name"));
	reply = apply(&store, "9", ORDER_PRESET_USE, "peak", NULL);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_REFUSED);
	store_finish(&store);
}

static void test_resent_order_applies_once(void)
{
	msg_order_reply_t reply;
	store_t store;

	store_init(&store);
	apply(&store, "1", ORDER_ENDPOINT_LEAVE, "e1", NULL);
	apply(&store, "2", ORDER_ENDPOINT_RETURN, "e1", NULL);
	reply = apply(&store, "1", ORDER_ENDPOINT_LEAVE, "e1", NULL);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_APPLIED);
	CU_ASSERT_EQUAL(reply.revision, 1);
	CU_ASSERT_EQUAL(store.leaving->len, 0);
	reply = apply(&store, "1", ORDER_ENDPOINT_LEAVE, "e2", NULL);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_REFUSED);
	CU_ASSERT_STRING_EQUAL(reply.reason,
			       "another order was sent with this id");
	CU_ASSERT_TRUE(store_find_order_reply(&store, "1", &reply));
	CU_ASSERT_EQUAL(reply.outcome, ORDER_APPLIED);
	CU_ASSERT_FALSE(store_find_order_reply(&store, "9", &reply));
	store_finish(&store);
}

static void test_conflict_returns_the_winner(void)
{
	msg_order_reply_t reply;
	store_t store;

	store_init(&store);
	reply = apply_expecting(&store, "a", "e1", "joana", 0);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_APPLIED);
	apply(&store, "z", ORDER_ENDPOINT_LEAVE, "e9", NULL);
	reply = apply_expecting(&store, "b", "e2", "rui", 0);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_CONFLICT);
	CU_ASSERT_EQUAL(reply.revision, 2);
	CU_ASSERT_STRING_EQUAL(reply.winner.operator_name, "joana");
	CU_ASSERT_STRING_EQUAL(reply.winner.name, "e1");
	CU_ASSERT_EQUAL(reply.winner.wall_ms, 1700000000123);
	CU_ASSERT_EQUAL(reply.winner.kind, ORDER_ENDPOINT_LEAVE);
	reply = apply_expecting(&store, "c", "e2", "rui", 7);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_REFUSED);
	CU_ASSERT_EQUAL(store.leaving->len, 2);
	store_finish(&store);
}

static msg_order_reply_t apply_agent_order(store_t *store, const char *id,
					   order_kind_t kind, uint64_t fence,
					   uint64_t incarnation,
					   engine_order_state_t state)
{
	const msg_order_t order = {
		.id = id,
		.kind = kind,
		.name = "e1",
		.fence = fence,
		.incarnation = incarnation,
		.engine_state = state,
	};
	msg_order_reply_t reply;

	CU_ASSERT_FALSE(store_apply(store, &order, next_index++, &reply));
	return reply;
}

/* Only the process that claimed an engine order may report its result. */
static void test_engine_orders(void)
{
	const msg_engine_order_t *order;
	store_t store;

	store_init(&store);
	CU_ASSERT_EQUAL(apply(&store, "1", ORDER_ENGINE, "e1", "x").outcome,
			ORDER_REFUSED);
	apply(&store, "2", ORDER_ENGINE, "e1", "{}");
	apply(&store, "3", ORDER_ENGINE, "e1", "{}");
	order = store_engine_oldest_open(&store, "e1");
	CU_ASSERT_EQUAL(order->fence, 1);
	CU_ASSERT_EQUAL(
		apply_agent_order(&store, "c1", ORDER_ENGINE_CLAIM, 1, 7, 0)
			.outcome,
		ORDER_APPLIED);
	CU_ASSERT_EQUAL(apply_agent_order(&store, "r1", ORDER_ENGINE_RESULT, 1,
					  8, ENGINE_ORDER_DONE)
				.outcome,
			ORDER_REFUSED);
	CU_ASSERT_EQUAL(order->state, ENGINE_ORDER_CLAIMED);
	CU_ASSERT_EQUAL(
		apply_agent_order(&store, "c2", ORDER_ENGINE_CLAIM, 1, 8, 0)
			.outcome,
		ORDER_REFUSED);
	CU_ASSERT_EQUAL(order->state, ENGINE_ORDER_UNKNOWN);
	CU_ASSERT_EQUAL(apply_agent_order(&store, "r2", ORDER_ENGINE_RESULT, 1,
					  7, ENGINE_ORDER_DONE)
				.outcome,
			ORDER_REFUSED);
	order = store_engine_oldest_open(&store, "e1");
	CU_ASSERT_EQUAL(order->fence, 2);
	apply_agent_order(&store, "c3", ORDER_ENGINE_CLAIM, 2, 8, 0);
	apply_agent_order(&store, "r3", ORDER_ENGINE_RESULT, 2, 8,
			  ENGINE_ORDER_DONE);
	CU_ASSERT_PTR_NULL(store_engine_oldest_open(&store, "e1"));
	CU_ASSERT_EQUAL(store_engine_find(&store, "3")->state,
			ENGINE_ORDER_DONE);
	CU_ASSERT_EQUAL(store.revision, 2);
	store_finish(&store);
}

/* Loading 1,000 bytes at 500 bytes/s reserves the weight store for 2 s. */
static void test_weight_store_rate(void)
{
	store_t store;

	store_init(&store);
	apply(&store, "1", ORDER_PRESET_CREATE, "day",
	      TEXT("day") "limits: {weight_bytes_per_s: 500}\n");
	apply(&store, "2", ORDER_PRESET_USE, "day", NULL);
	apply(&store, "3", ORDER_ENGINE, "e1", "{\"bytes\":1000}");
	apply(&store, "4", ORDER_ENGINE, "e1", "{\"bytes\":1}");
	store.time_ms = 100;
	CU_ASSERT_EQUAL(
		apply_agent_order(&store, "c1", ORDER_ENGINE_CLAIM, 1, 7, 0)
			.outcome,
		ORDER_APPLIED);
	store.time_ms = 2099;
	CU_ASSERT_EQUAL(
		apply_agent_order(&store, "c2", ORDER_ENGINE_CLAIM, 2, 7, 0)
			.outcome,
		ORDER_REFUSED);
	store.time_ms = 2100;
	CU_ASSERT_EQUAL(
		apply_agent_order(&store, "c3", ORDER_ENGINE_CLAIM, 2, 7, 0)
			.outcome,
		ORDER_APPLIED);
	store_finish(&store);
}

static void test_fencing_tokens_increase(void)
{
	store_t store;

	store_init(&store);
	apply(&store, "1", ORDER_ENGINE, "e1", "{\"load\":2}");
	apply(&store, "2", ORDER_ENGINE, "e1", "{\"load\":3}");
	apply(&store, "1", ORDER_ENGINE, "e1", "{\"load\":2}");
	CU_ASSERT_EQUAL(store_order_fence(&store, "1"), 1);
	CU_ASSERT_EQUAL(store_order_fence(&store, "2"), 2);
	CU_ASSERT_EQUAL(store.fence, 2);
	store_finish(&store);
}

static void test_invalid_orders_are_refused(void)
{
	msg_order_reply_t reply;
	char long_id[STORE_ID_LEN_MAX + 2];
	store_t store;

	memset(long_id, 'x', sizeof(long_id));
	long_id[sizeof(long_id) - 1] = '\0';
	store_init(&store);
	reply = apply(&store, "", ORDER_ENDPOINT_LEAVE, "e1", NULL);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_REFUSED);
	reply = apply(&store, long_id, ORDER_ENDPOINT_LEAVE, "e1", NULL);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_REFUSED);
	reply = apply(&store, "1", ORDER_KIND_COUNT, "e1", NULL);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_REFUSED);
	reply = apply(&store, "2", ORDER_ENDPOINT_LEAVE, "a/b", NULL);
	CU_ASSERT_EQUAL(reply.outcome, ORDER_REFUSED);
	CU_ASSERT_EQUAL(store.revision, 0);
	store_finish(&store);
}

/* The oldest replies and changes are dropped; the state itself is kept. */
static void test_retention_is_bounded(void)
{
	msg_order_reply_t reply;
	msg_config_t config;
	char id[16];
	store_t store;

	store_init(&store);
	for (unsigned i = 0; i < STORE_RESULTS_MAX + 10; i++) {
		snprintf(id, sizeof(id), "%u", i);
		apply(&store, id,
		      i % 2 == 0 ? ORDER_ENDPOINT_LEAVE : ORDER_ENDPOINT_RETURN,
		      "e1", NULL);
	}
	CU_ASSERT_EQUAL(store.results.length, STORE_RESULTS_MAX);
	CU_ASSERT_EQUAL(store.changes.length, STORE_CHANGES_MAX);
	CU_ASSERT_FALSE(store_find_order_reply(&store, "9", &reply));
	CU_ASSERT_TRUE(store_find_order_reply(&store, "10", &reply));
	store_config(&store, &config);
	CU_ASSERT_EQUAL(config.revision, STORE_RESULTS_MAX + 10);
	store_finish(&store);
}

static void test_history(void)
{
	const store_change_t *changes[2];
	store_t store;

	store_init(&store);
	apply(&store, "1", ORDER_PRESET_CREATE, "day", TEXT("day"));
	apply(&store, "2", ORDER_PRESET_USE, "night", NULL);
	apply(&store, "3", ORDER_PRESET_USE, "day", NULL);
	apply(&store, "4", ORDER_ENDPOINT_LEAVE, "e1", NULL);
	CU_ASSERT_EQUAL(store_history(&store, 0, changes, 2), 2);
	CU_ASSERT_STRING_EQUAL(changes[0]->order.text, "");
	CU_ASSERT_STRING_EQUAL(changes[1]->order.id, "3");
	CU_ASSERT_EQUAL(store_history(&store, 2, changes, 2), 1);
	CU_ASSERT_EQUAL(changes[0]->revision, 3);
	store_finish(&store);
}

static void test_snapshot(void)
{
	msg_order_reply_t reply;
	msgpack_sbuffer bytes;
	err_t err = ERR_INIT;
	store_t store;
	store_t other;

	store_init(&store);
	store_init(&other);
	msgpack_sbuffer_init(&bytes);
	apply(&store, "1", ORDER_PRESET_CREATE, "day", TEXT("day"));
	apply(&store, "2", ORDER_PRESET_USE, "day", NULL);
	apply(&store, "3", ORDER_ENDPOINT_LEAVE, "e1", NULL);
	apply(&store, "4", ORDER_ENGINE, "e1", "{}");
	store_snapshot(&store, &bytes);
	CU_ASSERT(store_restore(&other, (const uint8_t *)bytes.data, bytes.size,
				&err));
	CU_ASSERT_STRING_EQUAL(other.in_force, "day");
	CU_ASSERT_EQUAL(store_order_fence(&other, "4"), 1);
	reply = apply(&other, "3", ORDER_ENDPOINT_LEAVE, "e1", NULL);
	CU_ASSERT_EQUAL(reply.revision, 3);
	for (size_t len = 0; len < bytes.size; len++)
		CU_ASSERT_FALSE(store_restore(
			&other, (const uint8_t *)bytes.data, len, &err));
	CU_ASSERT_EQUAL(other.revision, 4);
	msgpack_sbuffer_destroy(&bytes);
	store_finish(&store);
	store_finish(&other);
}

static const unit_test_t tests[] = {
	{ "create and use", test_create_and_use },
	{ "presets are immutable", test_presets_are_immutable },
	{ "logged presets are not validated again",
	  test_logged_presets_are_not_validated_again },
	{ "delete", test_delete },
	{ "resent order applies once", test_resent_order_applies_once },
	{ "conflict returns the winner", test_conflict_returns_the_winner },
	{ "engine orders", test_engine_orders },
	{ "weight store rate", test_weight_store_rate },
	{ "fencing tokens increase", test_fencing_tokens_increase },
	{ "invalid orders are refused", test_invalid_orders_are_refused },
	{ "retention is bounded", test_retention_is_bounded },
	{ "history", test_history },
	{ "snapshot", test_snapshot },
};

int main(void)
{
	return unit_run("store", tests, ARRAY_SIZE(tests));
}
