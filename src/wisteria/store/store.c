/*
 * The replicated state machine that holds the configuration.  Every replica
 * applies the same committed orders in the same order and reaches the same
 * state and the same answers; there is no clock and no I/O.
 *
 * An order is remembered by its id together with its answer, so that one
 * sent again is answered again and not applied again.
 */
#include "wisteria/store/store.h"

#include <string.h>

#include "wisteria/store/store_engine.h"
#include "wisteria/store/store_internal.h"
#include "wisteria/store/store_order.h"

typedef void (*order_handler_t)(store_t *store, const msg_order_t *order,
				store_verdict_t *verdict);

/* Makes "verdict" a refusal with a reason. */
void store_refuse(store_verdict_t *verdict, const char *format, ...)
	ATTR_PRINTF(2, 3);

/* Makes "verdict" a refusal with a reason. */
void store_refuse(store_verdict_t *verdict, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	verdict->outcome = ORDER_REFUSED;
	verdict->reason = g_strdup_vprintf(format, args);
	va_end(args);
}

/* Returns where "name" stands in the sorted "names", or would be inserted. */
guint store_name_place(const GArray *names, const char *name, bool *found)
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

/* Returns whether "name" is among the sorted "names". */
bool store_has_name(const GArray *names, const char *name)
{
	bool found;

	store_name_place(names, name, &found);
	return found;
}

/* Inserts "name"; it must not be there. */
void store_add_name(GArray *names, const char *name)
{
	const msg_name_t copy = { .text = g_strdup(name) };
	bool found;

	g_array_insert_val(names, store_name_place(names, name, &found), copy);
}

static const char *or_empty(const char *text)
{
	return text == NULL ? "" : text;
}

/* Makes an empty store at revision 0. */
void store_init(store_t *store)
{
	memset(store, 0, sizeof(*store));
	store->in_force = g_strdup("");
	store->presets = g_array_new(FALSE, TRUE, sizeof(msg_preset_t));
	store->leaving = g_array_new(FALSE, TRUE, sizeof(msg_name_t));
	store->retired = g_array_new(FALSE, TRUE, sizeof(msg_name_t));
	store->engines = g_array_new(FALSE, TRUE, sizeof(msg_engine_order_t));
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

/* Frees what the store holds. */
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
	free_names(store->retired);
	store_engine_free(store->engines);
	g_hash_table_destroy(store->results_by_id);
	g_queue_clear_full(&store->changes, store_change_free);
	g_queue_clear_full(&store->results, store_result_free);
	g_free((char *)store->in_force);
	memset(store, 0, sizeof(*store));
}

/* An endpoint may be told to leave before it has announced itself. */
static void leave_endpoint(store_t *store, const msg_order_t *order,
			   store_verdict_t *verdict)
{
	if (store_has_name(store->leaving, order->name))
		return;
	if (store->leaving->len >= STORE_LEAVING_MAX) {
		store_refuse(verdict,
			     "%d endpoints are leaving and no more may",
			     STORE_LEAVING_MAX);
		return;
	}
	store_add_name(store->leaving, order->name);
	verdict->changed = true;
}

static void return_endpoint(store_t *store, const msg_order_t *order,
			    store_verdict_t *verdict)
{
	bool found;
	guint place = store_name_place(store->leaving, order->name, &found);

	if (!found)
		return;
	g_free((char *)g_array_index(store->leaving, msg_name_t, place).text);
	g_array_remove_index(store->leaving, place);
	verdict->changed = true;
}

static void order_engine(store_t *store, const msg_order_t *order,
			 store_verdict_t *verdict)
{
	const char *fault = store_engine_add(store, order);

	if (fault != NULL) {
		store_refuse(verdict, "%s", fault);
		return;
	}
	verdict->fence = store->fence;
	verdict->changed = true;
}

/* Agents' own orders are no changes of the configuration. */
static void claim_engine(store_t *store, const msg_order_t *order,
			 store_verdict_t *verdict)
{
	const char *fault = store_engine_claim(store, order);

	if (fault != NULL)
		store_refuse(verdict, "%s", fault);
}

static void finish_engine(store_t *store, const msg_order_t *order,
			  store_verdict_t *verdict)
{
	const char *fault = store_engine_finish(store, order);

	if (fault != NULL)
		store_refuse(verdict, "%s", fault);
}

/* The group of voters is kept by the log itself; the order is recorded. */
static void record_member(store_t *store, const msg_order_t *order,
			  store_verdict_t *verdict)
{
	(void)store;
	(void)order;
	verdict->changed = true;
}

static void refuse_member(store_t *store, const msg_order_t *order,
			  store_verdict_t *verdict)
{
	(void)store;
	(void)order;
	store_refuse(verdict, "control instances join by themselves");
}

static const order_handler_t handlers[ORDER_KIND_COUNT] = {
	[ORDER_PRESET_CREATE] = store_create_preset,
	[ORDER_PRESET_USE] = store_use_preset,
	[ORDER_ENDPOINT_LEAVE] = leave_endpoint,
	[ORDER_ENDPOINT_RETURN] = return_endpoint,
	[ORDER_ENGINE] = order_engine,
	[ORDER_MEMBER_ADD] = refuse_member,
	[ORDER_MEMBER_PROMOTE] = record_member,
	[ORDER_MEMBER_REMOVE] = record_member,
	[ORDER_PRESET_DELETE] = store_delete_preset,
	[ORDER_ENGINE_CLAIM] = claim_engine,
	[ORDER_ENGINE_RESULT] = finish_engine,
};

/*
 * Returns the change that took the revision after "expected", or, where that
 * is no longer listed, the oldest that is.
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

static bool expectation_holds(const store_t *store, const msg_order_t *order,
			      store_verdict_t *verdict)
{
	if (!order->has_expected || order->expected_revision == store->revision)
		return true;
	if (order->expected_revision > store->revision) {
		store_refuse(verdict,
			     "the revision is %" G_GUINT64_FORMAT
			     ", which is before the expected one",
			     (guint64)store->revision);
		return false;
	}
	verdict->outcome = ORDER_CONFLICT;
	verdict->reason = g_strdup("another order came first");
	return false;
}

static void judge(store_t *store, const msg_order_t *order,
		  store_verdict_t *verdict)
{
	const char *fault = store_order_fault(order);

	verdict->outcome = ORDER_APPLIED;
	if (fault != NULL)
		store_refuse(verdict, "%s", fault);
	else if (expectation_holds(store, order, verdict))
		handlers[order->kind](store, order, verdict);
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

static void forget_oldest_result(store_t *store)
{
	store_result_t *oldest = g_queue_pop_head(&store->results);

	g_hash_table_remove(store->results_by_id, oldest->id);
	store_result_free(oldest);
}

static store_result_t *record_result(store_t *store, const msg_order_t *order,
				     const store_verdict_t *verdict)
{
	store_result_t *result = g_new0(store_result_t, 1);
	uint8_t *fingerprint = g_malloc(STORE_FINGERPRINT_BYTES);
	const store_change_t *winner = NULL;

	store_order_fingerprint(order, fingerprint);
	result->id = g_strdup(order->id);
	result->fingerprint.data = fingerprint;
	result->fingerprint.len = STORE_FINGERPRINT_BYTES;
	result->outcome = verdict->outcome;
	result->revision =
		verdict->revision != 0 ? verdict->revision : store->revision;
	result->reason = g_strdup(or_empty(verdict->reason));
	result->fence = verdict->fence;
	if (verdict->outcome == ORDER_CONFLICT)
		winner = find_winner(store, order->expected_revision);
	result->has_winner = winner != NULL;
	if (winner != NULL)
		store_order_copy(&result->winner, &winner->order, true);
	g_queue_push_tail(&store->results, result);
	g_hash_table_insert(store->results_by_id, (char *)result->id, result);
	if (store->results.length > STORE_RESULTS_MAX)
		forget_oldest_result(store);
	return result;
}

static void answer(const store_result_t *result, msg_order_reply_t *reply)
{
	*reply = (msg_order_reply_t){
		.id = result->id,
		.outcome = result->outcome,
		.revision = result->revision,
		.reason = result->reason,
		.winner = result->winner,
	};
}

static void answer_refused(const store_t *store, const char *id,
			   const char *reason, msg_order_reply_t *reply)
{
	*reply = (msg_order_reply_t){
		.id = id,
		.outcome = ORDER_REFUSED,
		.revision = store->revision,
		.reason = reason,
	};
}

static void answer_again(const store_t *store, const store_result_t *earlier,
			 const msg_order_t *order, msg_order_reply_t *reply)
{
	uint8_t fingerprint[STORE_FINGERPRINT_BYTES];

	store_order_fingerprint(order, fingerprint);
	if (memcmp(fingerprint, earlier->fingerprint.data,
		   sizeof(fingerprint)) == 0)
		answer(earlier, reply);
	else
		answer_refused(store, order->id,
			       "another order was sent with this id", reply);
}

/*
 * Applies the committed order at "log_index" and fills "reply", whose strings
 * last until the next call that changes the store.  Returns whether the
 * configuration changed.  An order whose id is remembered changes nothing.
 */
bool store_apply(store_t *store, const msg_order_t *order, uint64_t log_index,
		 msg_order_reply_t *reply)
{
	const char *id = or_empty(order->id);
	const store_result_t *earlier;
	store_verdict_t verdict = { .outcome = ORDER_REFUSED };

	if (log_index > store->log_index)
		store->log_index = log_index;
	if (id[0] == '\0' || strlen(id) > STORE_ID_LEN_MAX) {
		answer_refused(store, id, "an order id has 1 to 128 bytes",
			       reply);
		return false;
	}
	earlier = g_hash_table_lookup(store->results_by_id, id);
	if (earlier != NULL) {
		answer_again(store, earlier, order, reply);
		return false;
	}
	judge(store, order, &verdict);
	if (verdict.changed)
		record_change(store, order);
	answer(record_result(store, order, &verdict), reply);
	g_free(verdict.reason);
	return verdict.changed;
}

/*
 * Fills "reply" with the answer that was given to order "id".  Returns false
 * if no such order is remembered.
 */
bool store_find_order(const store_t *store, const char *id,
		      msg_order_reply_t *reply)
{
	const store_result_t *result =
		g_hash_table_lookup(store->results_by_id, id);

	if (result == NULL)
		return false;
	answer(result, reply);
	return true;
}

/* Returns the fencing number of engine order "id", or 0. */
uint64_t store_order_fence(const store_t *store, const char *id)
{
	const store_result_t *result =
		g_hash_table_lookup(store->results_by_id, id);

	return result == NULL ? 0 : result->fence;
}

/* Fills "config"; its strings last until the store next changes. */
void store_config(const store_t *store, msg_config_t *config)
{
	*config = (msg_config_t){
		.revision = store->revision,
		.preset = store->in_force,
		.leaving = (const msg_name_t *)store->leaving->data,
		.leaving_count = store->leaving->len,
	};
}

/* Returns all presets by creation; valid until the store next changes. */
const msg_preset_t *store_presets(const store_t *store, size_t *count)
{
	*count = store->presets->len;
	return (const msg_preset_t *)store->presets->data;
}

/* Returns the preset called "name", or NULL. */
const msg_preset_t *store_preset(const store_t *store, const char *name)
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
 * Points "changes" to at most "max" changes after "after_revision", oldest
 * first, and returns how many; valid until the store next changes.
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
