/* Writes and restores snapshots of the ledger, for the replicated log. */
#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/codec/codec.h"
#include "wisteria/ledger/ledger_entry.h"
#include "wisteria/ledger/ledger_internal.h"

/* Must have the layout of uint64_t: write_entry() casts released_owners. */
typedef struct {
	uint64_t owner;
} released_record_t;

typedef struct {
	const char *customer;
	const char *service;
	const char *key;
	uint32_t state;
	uint64_t owner;
	uint64_t fingerprint;
	int64_t reserved_ms;
	int64_t retention_ms;
	int64_t expires_ms;
	uint64_t serial;
	bytes_t result;
	const released_record_t *released_owners;
	size_t released_owner_count;
} entry_record_t;

typedef struct {
	int64_t now_ms;
	uint64_t next_serial;
	const entry_record_t *entries;
	size_t entry_count;
} ledger_record_t;

static const field_desc_t released_fields[] = {
	FIELD(FIELD_U64, released_record_t, owner),
};
static const record_desc_t released_desc =
	RECORD_DESC(released_record_t, released_fields);

static const field_desc_t entry_fields[] = {
	FIELD(FIELD_STR, entry_record_t, customer),
	FIELD(FIELD_STR, entry_record_t, service),
	FIELD(FIELD_STR, entry_record_t, key),
	FIELD(FIELD_U32, entry_record_t, state),
	FIELD(FIELD_U64, entry_record_t, owner),
	FIELD(FIELD_U64, entry_record_t, fingerprint),
	FIELD(FIELD_I64, entry_record_t, reserved_ms),
	FIELD(FIELD_I64, entry_record_t, retention_ms),
	FIELD(FIELD_I64, entry_record_t, expires_ms),
	FIELD(FIELD_U64, entry_record_t, serial),
	FIELD(FIELD_BYTES, entry_record_t, result),
	FIELD_LIST_OF(entry_record_t, released_owners, released_owner_count,
		      &released_desc),
};
static const record_desc_t entry_desc =
	RECORD_DESC(entry_record_t, entry_fields);

static const field_desc_t ledger_fields[] = {
	FIELD(FIELD_I64, ledger_record_t, now_ms),
	FIELD(FIELD_U64, ledger_record_t, next_serial),
	FIELD_LIST_OF(ledger_record_t, entries, entry_count, &entry_desc),
};
static const record_desc_t ledger_desc =
	RECORD_DESC(ledger_record_t, ledger_fields);

typedef struct {
	entry_record_t *records;
	size_t count;
} writer_t;

static gboolean write_entry(gpointer key, gpointer value, gpointer data)
{
	const ledger_entry_t *entry = value;
	writer_t *writer = data;

	(void)key;
	writer->records[writer->count++] = (entry_record_t){
		.customer = entry->customer,
		.service = entry->service,
		.key = entry->key,
		.state = entry->state,
		.owner = entry->owner,
		.fingerprint = entry->fingerprint,
		.reserved_ms = entry->reserved_ms,
		.retention_ms = entry->retention_ms,
		.expires_ms = entry->expires_ms,
		.serial = entry->serial,
		.result = { entry->result, entry->result_len },
		.released_owners =
			(const released_record_t *)entry->released_owners,
		.released_owner_count = entry->released_owner_count,
	};
	return FALSE;
}

/*
 * Appends the state, except bytes_max, to "out".  Ledgers with the same
 * bytes_max that have applied the same commands at the same times write
 * identical bytes.
 */
void ledger_snapshot(const ledger_t *ledger, msgpack_sbuffer *out)
{
	writer_t writer = {
		.records = g_new(entry_record_t,
				 g_hash_table_size(ledger->by_key) + 1),
	};
	ledger_record_t record = {
		.now_ms = ledger->now_ms,
		.next_serial = ledger->next_serial,
	};

	g_tree_foreach(ledger->by_expiry, write_entry, &writer);
	record.entries = writer.records;
	record.entry_count = writer.count;
	codec_encode(&ledger_desc, &record, out);
	g_free(writer.records);
}

/*
 * Returns whether an entry's state, result and number of released owners are
 * valid.  A stored result is never empty, and only stored entries have one.
 * The key, the times and the serial number are not checked.
 */
static bool entry_is_valid(const entry_record_t *record)
{
	if (record->state >= ENTRY_STATE_COUNT ||
	    record->released_owner_count > LEDGER_RELEASED_OWNERS_MAX ||
	    record->result.len > LEDGER_RESULT_BYTES_MAX)
		return false;
	return (record->state == ENTRY_STORED) == (record->result.len > 0);
}

static ledger_entry_t *read_entry(const entry_record_t *record)
{
	ledger_entry_t *entry = ledger_entry_new(record->customer,
						 record->service, record->key);

	entry->state = record->state;
	entry->owner = record->owner;
	entry->fingerprint = record->fingerprint;
	entry->reserved_ms = record->reserved_ms;
	entry->retention_ms = record->retention_ms;
	entry->expires_ms = record->expires_ms;
	entry->serial = record->serial;
	ledger_entry_set_result(entry, record->result);
	for (size_t i = 0; i < record->released_owner_count; i++)
		entry->released_owners[i] = record->released_owners[i].owner;
	entry->released_owner_count = (uint32_t)record->released_owner_count;
	return entry;
}

static bool read_entries(ledger_t *ledger, const ledger_record_t *record,
			 err_t *err)
{
	for (size_t i = 0; i < record->entry_count; i++) {
		ledger_entry_t *entry;

		if (!entry_is_valid(&record->entries[i])) {
			err_set(err, ERR_CORRUPT, "ledger_restore", "",
				"entry %zu has an invalid state, result or "
				"number of released owners",
				i);
			return false;
		}
		entry = read_entry(&record->entries[i]);
		if (g_hash_table_contains(ledger->by_key, entry) ||
		    g_tree_lookup(ledger->by_expiry, entry) != NULL) {
			ledger_entry_free(entry);
			err_set(err, ERR_CORRUPT, "ledger_restore", "",
				"entry %zu has the key, or the expiry time and "
				"serial number, of an earlier entry",
				i);
			return false;
		}
		ledger_insert(ledger, entry);
	}
	return true;
}

/*
 * Replaces the state with that of a snapshot.  Returns false and sets "err" if
 * the snapshot is invalid or memory is insufficient; the state is then
 * unchanged.  bytes_max is kept, and the size of the restored entries is not
 * checked against it.
 */
bool ledger_restore(ledger_t *ledger, const uint8_t *data, size_t len,
		    err_t *err)
{
	ledger_t restored = { .bytes_max = ledger->bytes_max };
	ledger_record_t record = { 0 };
	msgpack_zone zone;
	bool ok;

	if (!msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE)) {
		err_set(err, ERR_NO_MEMORY, "ledger_restore", "",
			"no memory for a snapshot of %zu bytes", len);
		return false;
	}
	ledger_init_tables(&restored);
	ok = codec_decode(&ledger_desc, data, len, &zone, &record, err) &&
	     read_entries(&restored, &record, err);
	if (ok) {
		restored.now_ms = record.now_ms;
		restored.next_serial = record.next_serial;
		ledger_finish_tables(ledger);
		*ledger = restored;
	} else {
		ledger_finish_tables(&restored);
	}
	msgpack_zone_destroy(&zone);
	return ok;
}
