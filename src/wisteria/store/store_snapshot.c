/* Writes the store as one msgpack record and restores it from one. */
#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/codec/codec.h"
#include "wisteria/codec/msg.h"
#include "wisteria/settings/preset.h"
#include "wisteria/store/store.h"
#include "wisteria/store/store_engine.h"
#include "wisteria/store/store_order.h"

#define STORE_SNAPSHOT_VERSION 1

typedef struct {
	uint32_t version;
	uint64_t revision;
	uint64_t fence;
	uint64_t log_index;
	const char *in_force;
	const msg_preset_t *presets;
	size_t preset_count;
	const msg_name_t *leaving;
	size_t leaving_count;
	const store_change_t *changes;
	size_t change_count;
	const store_result_t *results;
	size_t result_count;
	const msg_name_t *deleted_presets;
	size_t deleted_preset_count;
	const msg_engine_order_t *engine_orders;
	size_t engine_order_count;
	int64_t weight_store_free_ms;
} store_snapshot_t;

static const field_desc_t change_fields[] = {
	FIELD(FIELD_U64, store_change_t, revision),
	FIELD(FIELD_U64, store_change_t, log_index),
	FIELD_RECORD_OF(store_change_t, order, &msg_order_desc),
};

static const record_desc_t change_desc =
	RECORD_DESC(store_change_t, change_fields);

static const field_desc_t result_fields[] = {
	FIELD(FIELD_STR, store_result_t, id),
	FIELD(FIELD_BYTES, store_result_t, fingerprint),
	FIELD(FIELD_U32, store_result_t, outcome),
	FIELD(FIELD_U64, store_result_t, revision),
	FIELD(FIELD_STR, store_result_t, reason),
	FIELD(FIELD_BOOL, store_result_t, has_winner),
	FIELD_RECORD_OF(store_result_t, winner, &msg_order_desc),
	FIELD(FIELD_U64, store_result_t, fence),
};

static const record_desc_t result_desc =
	RECORD_DESC(store_result_t, result_fields);

static const field_desc_t snapshot_fields[] = {
	FIELD(FIELD_U32, store_snapshot_t, version),
	FIELD(FIELD_U64, store_snapshot_t, revision),
	FIELD(FIELD_U64, store_snapshot_t, fence),
	FIELD(FIELD_U64, store_snapshot_t, log_index),
	FIELD(FIELD_STR, store_snapshot_t, in_force),
	FIELD_LIST_OF(store_snapshot_t, presets, preset_count,
		      &msg_preset_desc),
	FIELD_LIST_OF(store_snapshot_t, leaving, leaving_count, &msg_name_desc),
	FIELD_LIST_OF(store_snapshot_t, changes, change_count, &change_desc),
	FIELD_LIST_OF(store_snapshot_t, results, result_count, &result_desc),
	FIELD_LIST_OF(store_snapshot_t, deleted_presets, deleted_preset_count,
		      &msg_name_desc),
	FIELD_LIST_OF(store_snapshot_t, engine_orders, engine_order_count,
		      &msg_engine_order_desc),
	FIELD(FIELD_I64, store_snapshot_t, weight_store_free_ms),
};

static const record_desc_t snapshot_desc =
	RECORD_DESC(store_snapshot_t, snapshot_fields);

static store_change_t *copy_changes(const store_t *store)
{
	store_change_t *list =
		g_new0(store_change_t, store->changes.length + 1);
	size_t count = 0;

	for (GList *link = store->changes.head; link != NULL; link = link->next)
		list[count++] = *(const store_change_t *)link->data;
	return list;
}

static store_result_t *copy_results(const store_t *store)
{
	store_result_t *list =
		g_new0(store_result_t, store->results.length + 1);
	size_t count = 0;

	for (GList *link = store->results.head; link != NULL; link = link->next)
		list[count++] = *(const store_result_t *)link->data;
	return list;
}

/*
 * Appends the store to "out", except time_ms, which the caller sets before each
 * order.
 */
void store_snapshot(const store_t *store, msgpack_sbuffer *out)
{
	store_change_t *changes = copy_changes(store);
	store_result_t *results = copy_results(store);
	const store_snapshot_t snapshot = {
		.version = STORE_SNAPSHOT_VERSION,
		.revision = store->revision,
		.fence = store->fence,
		.log_index = store->log_index,
		.in_force = store->in_force,
		.presets = (const msg_preset_t *)store->presets->data,
		.preset_count = store->presets->len,
		.leaving = (const msg_name_t *)store->leaving->data,
		.leaving_count = store->leaving->len,
		.changes = changes,
		.change_count = store->changes.length,
		.results = results,
		.result_count = store->results.length,
		.deleted_presets =
			(const msg_name_t *)store->deleted_presets->data,
		.deleted_preset_count = store->deleted_presets->len,
		.engine_orders =
			(const msg_engine_order_t *)store->engine_orders->data,
		.engine_order_count = store->engine_orders->len,
		.weight_store_free_ms = store->weight_store_free_ms,
	};

	codec_encode(&snapshot_desc, &snapshot, out);
	g_free(changes);
	g_free(results);
}

static void restore_presets(store_t *store, const store_snapshot_t *snapshot)
{
	for (size_t i = 0; i < snapshot->preset_count; i++) {
		msg_preset_t preset = snapshot->presets[i];

		store->preset_bytes += strlen(preset.text);
		preset.name = g_strdup(preset.name);
		preset.text = g_strdup(preset.text);
		g_array_append_val(store->presets, preset);
	}
}

static void restore_names(GArray *names, const msg_name_t *from, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const msg_name_t name = { .text = g_strdup(from[i].text) };

		g_array_append_val(names, name);
	}
}

static void restore_changes(store_t *store, const store_snapshot_t *snapshot)
{
	for (size_t i = 0; i < snapshot->change_count; i++) {
		const store_change_t *change = &snapshot->changes[i];

		g_queue_push_tail(&store->changes,
				  store_change_new(&change->order,
						   change->revision,
						   change->log_index));
	}
}

static void restore_result(store_t *store, const store_result_t *from)
{
	store_result_t *result = g_memdup2(from, sizeof(*from));

	result->id = g_strdup(from->id);
	result->fingerprint.data =
		g_memdup2(from->fingerprint.data, from->fingerprint.len);
	result->reason = g_strdup(from->reason);
	store_order_copy(&result->winner, &from->winner, true);
	g_queue_push_tail(&store->results, result);
	g_hash_table_insert(store->results_by_id, (char *)result->id, result);
}

static bool results_are_valid(const store_snapshot_t *snapshot)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	for (size_t i = 0; ok && i < snapshot->result_count; i++) {
		const store_result_t *result = &snapshot->results[i];

		ok = result->fingerprint.len == STORE_FINGERPRINT_BYTES &&
		     g_hash_table_add(ids, (char *)result->id);
	}
	g_hash_table_destroy(ids);
	return ok;
}

static bool names_are_sorted(const msg_name_t *names, size_t count)
{
	for (size_t i = 1; i < count; i++)
		if (strcmp(names[i - 1].text, names[i].text) >= 0)
			return false;
	return true;
}

static bool check_snapshot(const store_snapshot_t *snapshot, err_t *err)
{
	if (snapshot->version != STORE_SNAPSHOT_VERSION) {
		err_set(err, ERR_CORRUPT, "restore", "",
			"unknown snapshot version %u", snapshot->version);
		return false;
	}
	if (!results_are_valid(snapshot) ||
	    !names_are_sorted(snapshot->leaving, snapshot->leaving_count) ||
	    !names_are_sorted(snapshot->deleted_presets,
			      snapshot->deleted_preset_count)) {
		err_set(err, ERR_CORRUPT, "restore", "",
			"the snapshot has an invalid fingerprint, a duplicate "
			"order id or unsorted names");
		return false;
	}
	return true;
}

static void restore_state(store_t *store, const store_snapshot_t *snapshot)
{
	store_finish(store);
	store_init(store);
	store->revision = snapshot->revision;
	store->fence = snapshot->fence;
	store->log_index = snapshot->log_index;
	g_free((char *)store->in_force);
	store->in_force = g_strdup(snapshot->in_force);
	restore_presets(store, snapshot);
	restore_names(store->leaving, snapshot->leaving,
		      snapshot->leaving_count);
	restore_names(store->deleted_presets, snapshot->deleted_presets,
		      snapshot->deleted_preset_count);
	for (size_t i = 0; i < snapshot->engine_order_count; i++)
		store_engine_append_copy(store->engine_orders,
					 &snapshot->engine_orders[i]);
	store->weight_store_free_ms = snapshot->weight_store_free_ms;
	restore_changes(store, snapshot);
	for (size_t i = 0; i < snapshot->result_count; i++)
		restore_result(store, &snapshot->results[i]);
}

/*
 * Replaces the contents of "store" by a snapshot of "len" bytes.  Returns false
 * and sets "err" if the snapshot is invalid; the store is then unchanged.
 */
bool store_restore(store_t *store, const uint8_t *data, size_t len, err_t *err)
{
	store_snapshot_t snapshot;
	msgpack_zone zone;
	bool ok;

	memset(&snapshot, 0, sizeof(snapshot));
	msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE);
	ok = codec_decode(&snapshot_desc, data, len, &zone, &snapshot, err) &&
	     check_snapshot(&snapshot, err);
	if (ok)
		restore_state(store, &snapshot);
	msgpack_zone_destroy(&zone);
	return ok;
}
