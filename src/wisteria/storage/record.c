/*
 * Records of the log and of snapshots: lengths, checksums, and telling a torn
 * tail from damage.  Every record says how much of its file was synced when
 * it was written; a good record behind a bad one that says so proves that the
 * bad one had been synced.
 */
#include "wisteria/storage/record.h"

#include <string.h>

#include <xxhash.h>

#define SYNCED_OFFSET 8
#define HASH_OFFSET 16

static void set_u32(uint8_t *out, uint32_t value)
{
	uint32_t little = GUINT32_TO_LE(value);

	memcpy(out, &little, sizeof(little));
}

static void set_u64(uint8_t *out, uint64_t value)
{
	uint64_t little = GUINT64_TO_LE(value);

	memcpy(out, &little, sizeof(little));
}

/* Appends a little-endian number. */
void record_put_u32(GByteArray *out, uint32_t value)
{
	uint8_t bytes[4];

	set_u32(bytes, value);
	g_byte_array_append(out, bytes, sizeof(bytes));
}

/* Appends a little-endian number. */
void record_put_u64(GByteArray *out, uint64_t value)
{
	uint8_t bytes[8];

	set_u64(bytes, value);
	g_byte_array_append(out, bytes, sizeof(bytes));
}

/* Reads a little-endian number. */
uint32_t record_get_u32(const uint8_t *data)
{
	uint32_t little;

	memcpy(&little, data, sizeof(little));
	return GUINT32_FROM_LE(little);
}

/* Reads a little-endian number. */
uint64_t record_get_u64(const uint8_t *data)
{
	uint64_t little;

	memcpy(&little, data, sizeof(little));
	return GUINT64_FROM_LE(little);
}

/* Appends the header of a record; its body follows, then record_end(). */
void record_begin(GByteArray *out, record_type_t type)
{
	static const uint8_t rest[RECORD_HEADER_BYTES - 8];

	record_put_u32(out, 0);
	record_put_u32(out, type);
	g_byte_array_append(out, rest, sizeof(rest));
}

/* Ends the record that began at "start". */
void record_end(GByteArray *out, size_t start)
{
	set_u32(out->data + start,
		(uint32_t)(out->len - start - RECORD_HEADER_BYTES));
}

static uint64_t hash_of(const uint8_t *header, const uint8_t *body, size_t len,
			uint64_t offset)
{
	XXH64_hash_t seed = XXH64(header, HASH_OFFSET, offset);

	return XXH64(body, len, seed);
}

/*
 * Fills in what is known only when records are written: "data" holds whole
 * records that go to "offset" of a file of which "synced" bytes are synced.
 */
void record_seal(uint8_t *data, size_t len, uint64_t offset, uint64_t synced)
{
	size_t at = 0;

	while (at < len) {
		uint8_t *header = data + at;
		size_t body_len = record_get_u32(header);

		set_u64(header + SYNCED_OFFSET, synced);
		set_u64(header + HASH_OFFSET,
			hash_of(header, header + RECORD_HEADER_BYTES, body_len,
				offset + at));
		at += RECORD_HEADER_BYTES + body_len;
	}
}

/* Reads the record at "offset"; false where there is no good one. */
bool record_read(const uint8_t *file, size_t len, uint64_t offset,
		 record_t *record)
{
	const uint8_t *header = file + offset;
	size_t body_len;
	uint32_t type;

	if (offset > len || len - offset < RECORD_HEADER_BYTES)
		return false;
	body_len = record_get_u32(header);
	type = record_get_u32(header + 4);
	if (body_len > RECORD_BODY_BYTES_MAX || type == 0 ||
	    type >= RECORD_TYPE_COUNT ||
	    body_len > len - offset - RECORD_HEADER_BYTES)
		return false;
	record->type = (record_type_t)type;
	record->synced = record_get_u64(header + SYNCED_OFFSET);
	record->body = header + RECORD_HEADER_BYTES;
	record->len = body_len;
	record->next = offset + RECORD_HEADER_BYTES + body_len;
	return record_get_u64(header + HASH_OFFSET) ==
	       hash_of(header, record->body, body_len, offset);
}

/* Returns whether a later record proves that "offset" had been synced. */
bool record_was_synced(const uint8_t *file, size_t len, uint64_t offset)
{
	record_t record;

	for (uint64_t at = offset + 1; at + RECORD_HEADER_BYTES <= len; at++) {
		uint64_t synced = record_get_u64(file + at + SYNCED_OFFSET);

		if (synced <= offset || synced > at)
			continue;
		if (record_read(file, len, at, &record))
			return true;
	}
	return false;
}
