/*
 * Engine orders.  An order is pending until an agent claims it, and only the
 * process that claimed it may send it to its engine, so it is sent at most
 * once.  If that process ends before it reports a result, the outcome becomes
 * unknown when another process tries to claim the order.
 */
#include "wisteria/store/store_engine.h"

#include <string.h>

#include <jansson.h>

#include "wisteria/base/err.h"
#include "wisteria/settings/preset.h"
#include "wisteria/store/store.h"

#define STORE_MS_PER_S 1000

/*
 * Reads the number of bytes that an order loads from the weight store.  Returns
 * false if the text is not a valid order.
 */
static bool parse_weight_bytes(const char *text, uint64_t *bytes)
{
	json_t *object = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
	const json_t *value = json_object_get(object, "bytes");
	bool ok = json_is_object(object) &&
		  (value == NULL ||
		   (json_is_integer(value) && json_integer_value(value) >= 0));

	*bytes = ok ? (uint64_t)json_integer_value(value) : 0;
	json_decref(object);
	return ok;
}

static msg_engine_order_t *engine_order_at(const store_t *store, guint index)
{
	return &g_array_index(store->engine_orders, msg_engine_order_t, index);
}

/* Returns whether an order is pending or claimed. */
bool store_engine_is_open(const msg_engine_order_t *order)
{
	return order->state == ENGINE_ORDER_PENDING ||
	       order->state == ENGINE_ORDER_CLAIMED;
}

static void free_strings(msg_engine_order_t *order)
{
	g_free((char *)order->id);
	g_free((char *)order->endpoint);
	g_free((char *)order->text);
}

/* Appends a copy of "order". */
void store_engine_append_copy(GArray *engine_orders,
			      const msg_engine_order_t *order)
{
	msg_engine_order_t copy = *order;

	copy.id = g_strdup(order->id);
	copy.endpoint = g_strdup(order->endpoint);
	copy.text = g_strdup(order->text);
	g_array_append_val(engine_orders, copy);
}

/* Frees the list and its contents. */
void store_engine_free_list(GArray *engine_orders)
{
	for (guint i = 0; i < engine_orders->len; i++)
		free_strings(
			&g_array_index(engine_orders, msg_engine_order_t, i));
	g_array_free(engine_orders, TRUE);
}

/*
 * Removes the oldest order that has ended if the list is full.  Returns false
 * if it is full of open orders.
 */
static bool evict_if_full(store_t *store)
{
	if (store->engine_orders->len < STORE_ENGINE_ORDERS_MAX)
		return true;
	for (guint i = 0; i < store->engine_orders->len; i++) {
		if (store_engine_is_open(engine_order_at(store, i)))
			continue;
		free_strings(engine_order_at(store, i));
		g_array_remove_index(store->engine_orders, i);
		return true;
	}
	return false;
}

/* Adds an operator's order; returns the reason for refusing it, or NULL. */
const char *store_engine_add(store_t *store, const msg_order_t *order)
{
	const char *text = order->text == NULL ? "" : order->text;
	msg_engine_order_t engine_order = {
		.id = order->id,
		.endpoint = order->name,
		.text = text,
		.fence = store->fence + 1,
	};
	uint64_t bytes;

	if (!parse_weight_bytes(text, &bytes))
		return "an order to an engine is a JSON object; \"bytes\" is "
		       "what it takes from the weight store";
	if (!evict_if_full(store))
		return "too many orders to engines are open";
	store->fence++;
	store_engine_append_copy(store->engine_orders, &engine_order);
	return NULL;
}

static msg_engine_order_t *find_by_fence(const store_t *store,
					 const msg_order_t *order)
{
	for (guint i = 0; i < store->engine_orders->len; i++) {
		msg_engine_order_t *engine_order = engine_order_at(store, i);

		if (engine_order->fence == order->fence &&
		    strcmp(engine_order->endpoint, order->name) == 0)
			return engine_order;
	}
	return NULL;
}

/*
 * Returns the rate of the weight store, in bytes per second, that the preset in
 * force sets; 0 without a preset.
 */
static uint64_t weight_store_rate(const store_t *store)
{
	const msg_preset_t *stored = store_find_preset(store, store->in_force);
	err_t err = ERR_INIT;
	preset_t *preset;
	uint64_t rate;

	if (stored == NULL)
		return 0;
	preset = preset_parse(stored->text, strlen(stored->text), &err);
	rate = preset == NULL ? 0 : preset->limits.weight_bytes_per_s;
	preset_free(preset);
	return rate;
}

/* Reserves the weight store for as long as it takes to read the bytes. */
static void reserve_weight_store(store_t *store, const char *text)
{
	uint64_t rate = weight_store_rate(store);
	uint64_t bytes;

	if (!parse_weight_bytes(text, &bytes) || rate == 0)
		return;
	store->weight_store_free_ms =
		store->time_ms +
		(int64_t)((double)bytes * STORE_MS_PER_S / (double)rate);
}

/*
 * Claims the engine order with the fencing token of "order" for the agent
 * process with its incarnation.  Returns the reason for refusing the claim, or
 * NULL.  A claim by another process than the first makes the outcome unknown.
 */
const char *store_engine_claim(store_t *store, const msg_order_t *order)
{
	msg_engine_order_t *engine_order = find_by_fence(store, order);

	if (engine_order == NULL || !store_engine_is_open(engine_order))
		return "no such order is open";
	if (engine_order->state == ENGINE_ORDER_CLAIMED) {
		if (engine_order->incarnation != order->incarnation)
			engine_order->state = ENGINE_ORDER_UNKNOWN;
		return "the order was claimed before";
	}
	if (store->time_ms < store->weight_store_free_ms)
		return "the weight store is in use up to its rate";
	engine_order->state = ENGINE_ORDER_CLAIMED;
	engine_order->incarnation = order->incarnation;
	reserve_weight_store(store, engine_order->text);
	return NULL;
}

/*
 * Records the result of an engine order, reported by the process that claimed
 * it.  Returns the reason for refusing the report, or NULL.
 */
const char *store_engine_finish(store_t *store, const msg_order_t *order)
{
	msg_engine_order_t *engine_order = find_by_fence(store, order);

	if (order->engine_state < ENGINE_ORDER_DONE ||
	    order->engine_state > ENGINE_ORDER_UNKNOWN)
		return "not a result";
	if (engine_order == NULL ||
	    engine_order->state != ENGINE_ORDER_CLAIMED ||
	    engine_order->incarnation != order->incarnation)
		return "the order was not claimed by this process";
	engine_order->state = order->engine_state;
	return NULL;
}

/* Returns the engine order that an operator sent with "id", or NULL. */
const msg_engine_order_t *store_engine_find(const store_t *store,
					    const char *id)
{
	for (guint i = 0; i < store->engine_orders->len; i++)
		if (strcmp(engine_order_at(store, i)->id, id) == 0)
			return engine_order_at(store, i);
	return NULL;
}

/* Returns the oldest open engine order for "endpoint", or NULL. */
const msg_engine_order_t *store_engine_oldest_open(const store_t *store,
						   const char *endpoint)
{
	for (guint i = 0; i < store->engine_orders->len; i++) {
		const msg_engine_order_t *engine_order =
			engine_order_at(store, i);

		if (store_engine_is_open(engine_order) &&
		    strcmp(engine_order->endpoint, endpoint) == 0)
			return engine_order;
	}
	return NULL;
}

/* Returns whether any engine order is open. */
bool store_engine_any_open(const store_t *store)
{
	for (guint i = 0; i < store->engine_orders->len; i++)
		if (store_engine_is_open(engine_order_at(store, i)))
			return true;
	return false;
}
