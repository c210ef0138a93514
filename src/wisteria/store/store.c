/*
 * The replicated state machine that holds the configuration.  Every replica
 * applies the same committed orders in the same sequence and produces the
 * same state and the same replies; it reads no clock and does no I/O.
 *
 * The replies to the latest STORE_RESULTS_MAX orders are kept by order id, so
 * that an order that is sent again gets the same reply and is not applied
 * twice.
 */
#include "wisteria/store/store.h"

#include <string.h>

#include "wisteria/store/store_engine.h"
#include "wisteria/store/store_internal.h"
#include "wisteria/store/store_order.h"

typedef void (*order_handler_t)(store_t *store, const msg_order_t *order,
				store_decision_t *decision);

/* Sets "decision" to refused, with a formatted reason. */
void store_refuse(store_decision_t *decision, const char *format, ...)
	ATTR_PRINTF(2, 3);

/* Sets "decision" to refused, with a formatted reason. */
void store_refuse(store_decision_t *decision, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	decision->outcome = ORDER_REFUSED;
	decision->reason = g_strdup_vprintf(format, args);
	va_end(args);
}

/*
 * Returns the index of "name" in the sorted "names", or the index at which it
 * has to be inserted.
 */
guint store_name_index(const GArray *names, const char *name, bool *found)
{
	guint low = 0;
	guint high = names->len;

	*found = false;
	while (low < high) {
		guint middle = low + (high - low) / 2;
		int order = strcmp(
			g_array_index(names, msg_name_t, middle).text, name);

		if (order == 0) {
			*found = true;
			return middle;
		}
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Returns whether the sorted "names" contain "name". */
bool store_has_name(const GArray *names, const char *name)
{
	bool found;

	store_name_index(names, name, &found);
	return found;
}

/* Inserts a copy of "name", which "names" must not contain yet. */
void store_add_name(GArray *names, const char *name)
{
	const msg_name_t copy = { .text = g_strdup(name) };
	bool found;

	g_array_insert_val(names, store_name_index(names, name, &found), copy);
}

static const char *or_empty(const char *text)
{
	return text == NULL ? "" : text;
}

/* Initializes an empty store at revision 0. */
void store_init(store_t *store)
{
	memset(store, 0, sizeof(*store));
	store->in_force = g_strdup("");
	store->presets = g_array_new(FALSE, TRUE, sizeof(msg_preset_t));
	store->leaving = g_array_new(FALSE, TRUE, sizeof(msg_name_t));
	store->deleted_presets = g_array_new(FALSE, TRUE, sizeof(msg_name_t));
	store->engine_orders =
		g_array_new(FALSE, TRUE, sizeof(msg_engine_order_t));
	g_queue_init(&store->changes);
	g_queue_init(&store->results);
	store->results_by_id = g_hash_table_new(g_str_hash, g_str_equal);
}

static void free_names(GArray *names)
{
	for (guint i = 0; i < names->len; i++)
		g_free((char *)g_array_index(names, msg_name_t, i).text);
	g_array_free(names, TRUE);
}

/* Frees the contents of the store. */
void store_finish(store_t *store)
{
	for (guint i = 0; i < store->presets->len; i++) {
		msg_preset_t *preset =
			&g_array_index(store->presets, msg_preset_t, i);

		g_free((char *)preset->name);
		g_free((char *)preset->text);
	}
	g_array_free(store->presets, TRUE);
	free_names(store->leaving);
	free_names(store->deleted_presets);
	store_engine_free_list(store->engine_orders);
	g_hash_table_destroy(store->results_by_id);
	g_queue_clear_full(&store->changes, store_change_free);
	g_queue_clear_full(&store->results, store_result_free);
	g_free((char *)store->in_force);
	memset(store, 0, sizeof(*store));
}

/* The endpoint need not have announced itself yet. */
static void add_leaving_endpoint(store_t *store, const msg_order_t *order,
				 store_decision_t *decision)
{
	if (store_has_name(store->leaving, order->name))
		return;
	if (store->leaving->len >= STORE_LEAVING_MAX) {
		store_refuse(decision,
			     "%d endpoints are leaving and no more may",
			     STORE_LEAVING_MAX);
		return;
	}
	store_add_name(store->leaving, order->name);
	decision->changed = true;
}

static void remove_leaving_endpoint(store_t *store, const msg_order_t *order,
				    store_decision_t *decision)
{
	bool found;
	guint index = store_name_index(store->leaving, order->name, &found);

	if (!found)
		return;
	g_free((char *)g_array_index(store->leaving, msg_name_t, index).text);
	g_array_remove_index(store->leaving, index);
	decision->changed = true;
}

static void add_engine_order(store_t *store, const msg_order_t *order,
			     store_decision_t *decision)
{
	const char *refusal = store_engine_add(store, order);

	if (refusal != NULL) {
		store_refuse(decision, "%s", refusal);
		return;
	}
	decision->fence = store->fence;
	decision->changed = true;
}

/* Claims and results of agents do not change the configuration. */
static void claim_engine_order(store_t *store, const msg_order_t *order,
			       store_decision_t *decision)
{
	const char *refusal = store_engine_claim(store, order);

	if (refusal != NULL)
		store_refuse(decision, "%s", refusal);
}

static void finish_engine_order(store_t *store, const msg_order_t *order,
				store_decision_t *decision)
{
	const char *refusal = store_engine_finish(store, order);

	if (refusal != NULL)
		store_refuse(decision, "%s", refusal);
}

/* The log itself manages its voters; the order is only recorded. */
static void accept_member_order(store_t *store, const msg_order_t *order,
				store_decision_t *decision)
{
	(void)store;
	(void)order;
	decision->changed = true;
}

static void refuse_member_order(store_t *store, const msg_order_t *order,
				store_decision_t *decision)
{
	(void)store;
	(void)order;
	store_refuse(decision, "control instances join by themselves");
}

static const order_handler_t handlers[ORDER_KIND_COUNT] = {
	[ORDER_PRESET_CREATE] = store_create_preset,
	[ORDER_PRESET_USE] = store_use_preset,
	[ORDER_ENDPOINT_LEAVE] = add_leaving_endpoint,
	[ORDER_ENDPOINT_RETURN] = remove_leaving_endpoint,
	[ORDER_ENGINE] = add_engine_order,
	[ORDER_MEMBER_ADD] = refuse_member_order,
	[ORDER_MEMBER_PROMOTE] = accept_member_order,
	[ORDER_MEMBER_REMOVE] = accept_member_order,
	[ORDER_PRESET_DELETE] = store_delete_preset,
	[ORDER_ENGINE_CLAIM] = claim_engine_order,
	[ORDER_ENGINE_RESULT] = finish_engine_order,
};

/*
 * Returns the change that created the revision after "expected", or, if that
 * is no longer in the history, the oldest change that is.
 */
static const store_change_t *find_winner(const store_t *store,
					 uint64_t expected)
{
	for (GList *link = store->changes.head; link != NULL;
	     link = link->next) {
		const store_change_t *change = link->data;

		if (change->revision > expected)
			return change;
	}
	return NULL;
}

/*
 * Returns whether the order expects the current revision or none.  Otherwise
 * sets "decision" to refused or to a conflict.
 */
static bool check_expected_revision(const store_t *store,
				    const msg_order_t *order,
				    store_decision_t *decision)
{
	if (!order->has_expected || order->expected_revision == store->revision)
		return true;
	if (order->expected_revision > store->revision) {
		store_refuse(decision,
			     "the revision is %" G_GUINT64_FORMAT
			     ", which is before the expected one",
			     (guint64)store->revision);
		return false;
	}
	decision->outcome = ORDER_CONFLICT;
	decision->reason = g_strdup("another order came first");
	return false;
}

static void evaluate_order(store_t *store, const msg_order_t *order,
			   store_decision_t *decision)
{
	const char *refusal = store_order_validate(order);

	decision->outcome = ORDER_APPLIED;
	if (refusal != NULL)
		store_refuse(decision, "%s", refusal);
	else if (check_expected_revision(store, order, decision))
		handlers[order->kind](store, order, decision);
}

static void record_change(store_t *store, const msg_order_t *order)
{
	store->revision++;
	g_queue_push_tail(
		&store->changes,
		store_change_new(order, store->revision, store->log_index));
	if (store->changes.length > STORE_CHANGES_MAX)
		store_change_free(g_queue_pop_head(&store->changes));
}

static void evict_oldest_result(store_t *store)
{
	store_result_t *oldest = g_queue_pop_head(&store->results);

	g_hash_table_remove(store->results_by_id, oldest->id);
	store_result_free(oldest);
}

static store_result_t *record_result(store_t *store, const msg_order_t *order,
				     const store_decision_t *decision)
{
	store_result_t *result = g_new0(store_result_t, 1);
	uint8_t *fingerprint = g_malloc(STORE_FINGERPRINT_BYTES);
	const store_change_t *winner = NULL;

	store_order_fingerprint(order, fingerprint);
	result->id = g_strdup(order->id);
	result->fingerprint.data = fingerprint;
	result->fingerprint.len = STORE_FINGERPRINT_BYTES;
	result->outcome = decision->outcome;
	result->revision =
		decision->revision != 0 ? decision->revision : store->revision;
	result->reason = g_strdup(or_empty(decision->reason));
	result->fence = decision->fence;
	if (decision->outcome == ORDER_CONFLICT)
		winner = find_winner(store, order->expected_revision);
	result->has_winner = winner != NULL;
	if (winner != NULL)
		store_order_copy(&result->winner, &winner->order, true);
	g_queue_push_tail(&store->results, result);
	g_hash_table_insert(store->results_by_id, (char *)result->id, result);
	if (store->results.length > STORE_RESULTS_MAX)
		evict_oldest_result(store);
	return result;
}

static void fill_reply(const store_result_t *result, msg_order_reply_t *reply)
{
	*reply = (msg_order_reply_t){
		.id = result->id,
		.outcome = result->outcome,
		.revision = result->revision,
		.reason = result->reason,
		.winner = result->winner,
	};
}

static void fill_refused_reply(const store_t *store, const char *id,
			       const char *reason, msg_order_reply_t *reply)
{
	*reply = (msg_order_reply_t){
		.id = id,
		.outcome = ORDER_REFUSED,
		.revision = store->revision,
		.reason = reason,
	};
}

static void fill_repeated_reply(const store_t *store,
				const store_result_t *earlier,
				const msg_order_t *order,
				msg_order_reply_t *reply)
{
	uint8_t fingerprint[STORE_FINGERPRINT_BYTES];

	store_order_fingerprint(order, fingerprint);
	if (memcmp(fingerprint, earlier->fingerprint.data,
		   sizeof(fingerprint)) == 0)
		fill_reply(earlier, reply);
	else
		fill_refused_reply(store, order->id,
				   "another order was sent with this id",
				   reply);
}

/*
 * Applies the committed order at "log_index" and fills "reply", whose strings
 * are valid until the next call that changes the store.  Returns whether the
 * configuration changed.  An order whose id has a stored reply does not change
 * it.
 */
bool store_apply(store_t *store, const msg_order_t *order, uint64_t log_index,
		 msg_order_reply_t *reply)
{
	const char *id = or_empty(order->id);
	const store_result_t *earlier;
	store_decision_t decision = { .outcome = ORDER_REFUSED };

	if (log_index > store->log_index)
		store->log_index = log_index;
	if (id[0] == '\0' || strlen(id) > STORE_ID_LEN_MAX) {
		fill_refused_reply(store, id, "an order id has 1 to 128 bytes",
				   reply);
		return false;
	}
	earlier = g_hash_table_lookup(store->results_by_id, id);
	if (earlier != NULL) {
		fill_repeated_reply(store, earlier, order, reply);
		return false;
	}
	evaluate_order(store, order, &decision);
	if (decision.changed)
		record_change(store, order);
	fill_reply(record_result(store, order, &decision), reply);
	g_free(decision.reason);
	return decision.changed;
}

/*
 * Fills "reply" with the stored reply to order "id".  Returns false if there
 * is none.
 */
bool store_find_order_reply(const store_t *store, const char *id,
			    msg_order_reply_t *reply)
{
	const store_result_t *result =
		g_hash_table_lookup(store->results_by_id, id);

	if (result == NULL)
		return false;
	fill_reply(result, reply);
	return true;
}

/*
 * Returns the fencing token of engine order "id", or 0 if its reply is not
 * stored or has no token.
 */
uint64_t store_order_fence(const store_t *store, const char *id)
{
	const store_result_t *result =
		g_hash_table_lookup(store->results_by_id, id);

	return result == NULL ? 0 : result->fence;
}

/* Fills "config"; its strings are valid until the store next changes. */
void store_config(const store_t *store, msg_config_t *config)
{
	*config = (msg_config_t){
		.revision = store->revision,
		.preset = store->in_force,
		.leaving = (const msg_name_t *)store->leaving->data,
		.leaving_count = store->leaving->len,
	};
}

/*
 * Returns all presets in order of creation; valid until the store next changes.
 */
const msg_preset_t *store_list_presets(const store_t *store, size_t *count)
{
	*count = store->presets->len;
	return (const msg_preset_t *)store->presets->data;
}

/* Returns the preset called "name", or NULL. */
const msg_preset_t *store_find_preset(const store_t *store, const char *name)
{
	for (guint i = 0; i < store->presets->len; i++) {
		const msg_preset_t *preset =
			&g_array_index(store->presets, msg_preset_t, i);

		if (strcmp(preset->name, name) == 0)
			return preset;
	}
	return NULL;
}

/*
 * Writes pointers to at most "max" changes after "after_revision" to "changes",
 * oldest first, and returns their number.  The pointers are valid until the
 * store next changes.
 */
size_t store_history(const store_t *store, uint64_t after_revision,
		     const store_change_t **changes, size_t max)
{
	size_t count = 0;

	for (GList *link = store->changes.head; link != NULL && count < max;
	     link = link->next) {
		const store_change_t *change = link->data;

		if (change->revision > after_revision)
			changes[count++] = change;
	}
	return count;
}
