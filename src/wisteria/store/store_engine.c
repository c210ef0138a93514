/*
 * Orders to engines.  An order is pending until an agent claims it, and only
 * the process that claimed it may give it to its engine; so it is given at
 * most once.  Where that process ends before it reports, the outcome stays
 * unknown.
 */
#include "wisteria/store/store_engine.h"

#include <string.h>

#include <jansson.h>

#include "wisteria/base/err.h"
#include "wisteria/settings/preset.h"
#include "wisteria/store/store.h"

#define STORE_MS_PER_S 1000

/* Reads how much an order takes from the weight store; false: no order. */
static bool read_bytes(const char *text, uint64_t *bytes)
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

static msg_engine_order_t *engine_at(const store_t *store, guint index)
{
	return &g_array_index(store->engines, msg_engine_order_t, index);
}

/* Returns whether an order may still be given, or is being given. */
bool store_engine_is_open(const msg_engine_order_t *order)
{
	return order->state == ENGINE_ORDER_PENDING ||
	       order->state == ENGINE_ORDER_CLAIMED;
}

static void free_texts(msg_engine_order_t *order)
{
	g_free((char *)order->id);
	g_free((char *)order->endpoint);
	g_free((char *)order->text);
}

/* Appends a copy of "order". */
void store_engine_take(GArray *engines, const msg_engine_order_t *order)
{
	msg_engine_order_t copy = *order;

	copy.id = g_strdup(order->id);
	copy.endpoint = g_strdup(order->endpoint);
	copy.text = g_strdup(order->text);
	g_array_append_val(engines, copy);
}

/* Frees the list and what it holds. */
void store_engine_free(GArray *engines)
{
	for (guint i = 0; i < engines->len; i++)
		free_texts(&g_array_index(engines, msg_engine_order_t, i));
	g_array_free(engines, TRUE);
}

/* Makes room by forgetting the oldest order that has ended. */
static bool make_room(store_t *store)
{
	if (store->engines->len < STORE_ENGINES_MAX)
		return true;
	for (guint i = 0; i < store->engines->len; i++) {
		if (store_engine_is_open(engine_at(store, i)))
			continue;
		free_texts(engine_at(store, i));
		g_array_remove_index(store->engines, i);
		return true;
	}
	return false;
}

/* Takes in an operator's order; returns why not, or NULL. */
const char *store_engine_add(store_t *store, const msg_order_t *order)
{
	const char *text = order->text == NULL ? "" : order->text;
	msg_engine_order_t engine = {
		.id = order->id,
		.endpoint = order->name,
		.text = text,
		.fence = store->fence + 1,
	};
	uint64_t bytes;

	if (!read_bytes(text, &bytes))
		return "an order to an engine is a JSON object; \"bytes\" is "
		       "what it takes from the weight store";
	if (!make_room(store))
		return "too many orders to engines are open";
	store->fence++;
	store_engine_take(store->engines, &engine);
	return NULL;
}

static msg_engine_order_t *find_fence(const store_t *store,
				      const msg_order_t *order)
{
	for (guint i = 0; i < store->engines->len; i++) {
		msg_engine_order_t *engine = engine_at(store, i);

		if (engine->fence == order->fence &&
		    strcmp(engine->endpoint, order->name) == 0)
			return engine;
	}
	return NULL;
}

/* The bytes a second that the preset in force grants; 0: no preset. */
static uint64_t weight_rate(const store_t *store)
{
	const msg_preset_t *text = store_preset(store, store->in_force);
	err_t err = ERR_INIT;
	preset_t *preset;
	uint64_t rate;

	if (text == NULL)
		return 0;
	preset = preset_parse(text->text, strlen(text->text), &err);
	rate = preset == NULL ? 0 : preset->limits.weight_bytes_per_s;
	preset_free(preset);
	return rate;
}

/* The weight store is busy for as long as the order's bytes take. */
static void use_weight_store(store_t *store, const char *text)
{
	uint64_t rate = weight_rate(store);
	uint64_t bytes;

	if (!read_bytes(text, &bytes) || rate == 0)
		return;
	store->weight_free_ms =
		store->time_ms +
		(int64_t)((double)bytes * STORE_MS_PER_S / (double)rate);
}

/*
 * An agent's process, "incarnation", asks to give order "fence"; returns why
 * it may not, or NULL.
 */
const char *store_engine_claim(store_t *store, const msg_order_t *order)
{
	msg_engine_order_t *engine = find_fence(store, order);

	if (engine == NULL || !store_engine_is_open(engine))
		return "no such order is open";
	if (engine->state == ENGINE_ORDER_CLAIMED) {
		if (engine->incarnation != order->incarnation)
			engine->state = ENGINE_ORDER_UNKNOWN;
		return "the order was claimed before";
	}
	if (store->time_ms < store->weight_free_ms)
		return "the weight store is in use up to its rate";
	engine->state = ENGINE_ORDER_CLAIMED;
	engine->incarnation = order->incarnation;
	use_weight_store(store, engine->text);
	return NULL;
}

/* The process that claimed an order says what became of it. */
const char *store_engine_finish(store_t *store, const msg_order_t *order)
{
	msg_engine_order_t *engine = find_fence(store, order);

	if (order->engine_state < ENGINE_ORDER_DONE ||
	    order->engine_state > ENGINE_ORDER_UNKNOWN)
		return "not a result";
	if (engine == NULL || engine->state != ENGINE_ORDER_CLAIMED ||
	    engine->incarnation != order->incarnation)
		return "the order was not claimed by this process";
	engine->state = order->engine_state;
	return NULL;
}

/* Returns the order to an engine that an operator sent as "id", or NULL. */
const msg_engine_order_t *store_engine_find(const store_t *store,
					    const char *id)
{
	for (guint i = 0; i < store->engines->len; i++)
		if (strcmp(engine_at(store, i)->id, id) == 0)
			return engine_at(store, i);
	return NULL;
}

/* Returns the oldest open order for "endpoint", or NULL. */
const msg_engine_order_t *store_engine_next(const store_t *store,
					    const char *endpoint)
{
	for (guint i = 0; i < store->engines->len; i++) {
		const msg_engine_order_t *engine = engine_at(store, i);

		if (store_engine_is_open(engine) &&
		    strcmp(engine->endpoint, endpoint) == 0)
			return engine;
	}
	return NULL;
}

/* Returns whether any order to an engine is open. */
bool store_engine_any_open(const store_t *store)
{
	for (guint i = 0; i < store->engines->len; i++)
		if (store_engine_is_open(engine_at(store, i)))
			return true;
	return false;
}
