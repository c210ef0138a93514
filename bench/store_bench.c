/*
 * Measures the replicated store and the preset parser at the target size of
 * 2,100 contracts, with 10,000 orders that let endpoints leave and return.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "wisteria/base/err.h"
#include "wisteria/settings/preset.h"
#include "wisteria/store/store.h"

#define CONTRACTS 2100
#define CHANGES 10000
#define PRESETS 10
#define LOOKUPS 100000
#define PARSES 20

static double now_ms(void)
{
	return (double)g_get_monotonic_time() / 1000.0;
}

static char *make_preset(const char *name, size_t *len)
{
	GString *text = g_string_new(NULL);
	char hex[2 * PRESET_KEY_HASH_BYTES + 1];
	char key[32];

	g_string_printf(text, "name: %s\nmodels:\n", name);
	for (unsigned i = 0; i < 8; i++)
		g_string_append_printf(text,
				       "  - {name: model-%u, layers: 48}\n", i);
	g_string_append(text, "contracts:\n");
	for (unsigned i = 0; i < CONTRACTS; i++) {
		g_snprintf(key, sizeof(key), "key-%u", i);
		preset_hash_key(key, hex);
		g_string_append_printf(
			text,
			"  - {customer: customer-%u, api_key_hash: %s, "
			"priority: 1, guarantee_sessions: 1, "
			"deserved_sessions: 2, capability_sessions: 8}\n",
			i, hex);
	}
	*len = text->len;
	return g_string_free(text, FALSE);
}

static void measure_preset(void)
{
	err_t err = ERR_INIT;
	size_t len;
	char *text = make_preset("day", &len);
	double start_ms = now_ms();
	preset_t *preset = NULL;
	size_t found = 0;
	char key[32];

	for (unsigned i = 0; i < PARSES; i++) {
		preset_free(preset);
		preset = preset_parse(text, len, &err);
	}
	if (preset == NULL) {
		fprintf(stderr, "%s\n", err.text);
		exit(EXIT_FAILURE);
	}
	printf("preset contracts=%d bytes=%zu parse_ms=%.2f\n", CONTRACTS, len,
	       (now_ms() - start_ms) / PARSES);
	start_ms = now_ms();
	for (unsigned i = 0; i < LOOKUPS; i++) {
		g_snprintf(key, sizeof(key), "key-%u", i % CONTRACTS);
		found += preset_find_contract_by_key(preset, key) != NULL;
	}
	printf("contract_by_key found=%zu us=%.3f\n", found,
	       (now_ms() - start_ms) * 1000.0 / LOOKUPS);
	preset_free(preset);
	g_free(text);
}

static void apply_order(store_t *store, uint64_t index, order_kind_t kind,
			const char *name, const char *text)
{
	char id[32];
	const msg_order_t order = {
		.id = id,
		.kind = kind,
		.name = name,
		.text = text,
		.operator_name = "joana",
		.wall_ms = 1,
	};
	msg_order_reply_t reply;

	g_snprintf(id, sizeof(id), "order-%" G_GUINT64_FORMAT, (guint64)index);
	store_apply(store, &order, index, &reply);
}

static void apply_orders(store_t *store)
{
	uint64_t index = 0;
	char name[32];
	double start_ms;

	for (unsigned i = 0; i < PRESETS; i++) {
		size_t len;
		char *text;

		g_snprintf(name, sizeof(name), "preset-%u", i);
		text = make_preset(name, &len);
		apply_order(store, ++index, ORDER_PRESET_CREATE, name, text);
		g_free(text);
	}
	start_ms = now_ms();
	for (unsigned i = 0; i < CHANGES; i++) {
		g_snprintf(name, sizeof(name), "endpoint-%u", i / 2 % 2400);
		apply_order(store, ++index,
			    i % 2 == 0 ? ORDER_ENDPOINT_LEAVE
				       : ORDER_ENDPOINT_RETURN,
			    name, NULL);
	}
	printf("apply changes=%d us=%.2f\n", CHANGES,
	       (now_ms() - start_ms) * 1000.0 / CHANGES);
}

static void measure_store(void)
{
	size_t before = mallinfo2().uordblks;
	msgpack_sbuffer bytes;
	err_t err = ERR_INIT;
	store_t store;
	double start_ms;

	store_init(&store);
	apply_orders(&store);
	printf("store revision=%" G_GUINT64_FORMAT " memory_bytes=%zu\n",
	       (guint64)store.revision, mallinfo2().uordblks - before);
	msgpack_sbuffer_init(&bytes);
	start_ms = now_ms();
	store_snapshot(&store, &bytes);
	printf("snapshot bytes=%zu ms=%.2f\n", bytes.size, now_ms() - start_ms);
	start_ms = now_ms();
	if (!store_restore(&store, (const uint8_t *)bytes.data, bytes.size,
			   &err))
		exit(EXIT_FAILURE);
	printf("restore ms=%.2f\n", now_ms() - start_ms);
	msgpack_sbuffer_destroy(&bytes);
	store_finish(&store);
}

int main(void)
{
	measure_preset();
	measure_store();
	return EXIT_SUCCESS;
}
