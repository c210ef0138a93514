/*
 * Encodes, checks and reads the records of logs and snapshots, and tells a torn
 * write at the end of a file from corruption of synced data.  Every record
 * stores how many bytes of its file were synced when it was written.  If this
 * number in a later valid record includes an invalid one, the invalid record
 * had been synced, so it was corrupted on disk.
 */
#include "wisteria/storage/record.h"

#include <string.h>

#include <xxhash.h>

#define SYNCED_OFFSET 8
#define CHECKSUM_OFFSET 16

static void set_u32(uint8_t *out, uint32_t value)
{
	uint32_t little_endian = GUINT32_TO_LE(value);

	memcpy(out, &little_endian, sizeof(little_endian));
}

static void set_u64(uint8_t *out, uint64_t value)
{
	uint64_t little_endian = GUINT64_TO_LE(value);

	memcpy(out, &little_endian, sizeof(little_endian));
}

/* Appends a little-endian 32-bit number. */
void record_put_u32(GByteArray *out, uint32_t value)
{
	uint8_t bytes[4];

	set_u32(bytes, value);
	g_byte_array_append(out, bytes, sizeof(bytes));
}

/* Appends a little-endian 64-bit number. */
void record_put_u64(GByteArray *out, uint64_t value)
{
	uint8_t bytes[8];

	set_u64(bytes, value);
	g_byte_array_append(out, bytes, sizeof(bytes));
}

/* Reads a little-endian 32-bit number. */
uint32_t record_get_u32(const uint8_t *data)
{
	uint32_t little_endian;

	memcpy(&little_endian, data, sizeof(little_endian));
	return GUINT32_FROM_LE(little_endian);
}

/* Reads a little-endian 64-bit number. */
uint64_t record_get_u64(const uint8_t *data)
{
	uint64_t little_endian;

	memcpy(&little_endian, data, sizeof(little_endian));
	return GUINT64_FROM_LE(little_endian);
}

/* Appends a record header; the caller adds the body and record_end(). */
void record_begin(GByteArray *out, record_type_t type)
{
	static const uint8_t unset_fields[RECORD_HEADER_BYTES - 8];

	record_put_u32(out, 0);
	record_put_u32(out, type);
	g_byte_array_append(out, unset_fields, sizeof(unset_fields));
}

/* Sets the body length of the record whose header is at "start". */
void record_end(GByteArray *out, size_t start)
{
	set_u32(out->data + start,
		(uint32_t)(out->len - start - RECORD_HEADER_BYTES));
}

static uint64_t compute_checksum(const uint8_t *header, const uint8_t *body,
				 size_t len, uint64_t offset)
{
	XXH64_hash_t seed = XXH64(header, CHECKSUM_OFFSET, offset);

	return XXH64(body, len, seed);
}

/*
 * Sets the synced length and the checksum of all records in "data" just before
 * they are written at "offset" of a file of which "synced" bytes are synced.
 */
void record_set_checksums(uint8_t *data, size_t len, uint64_t offset,
			  uint64_t synced)
{
	size_t at = 0;

	while (at < len) {
		uint8_t *header = data + at;
		size_t body_len = record_get_u32(header);

		set_u64(header + SYNCED_OFFSET, synced);
		set_u64(header + CHECKSUM_OFFSET,
			compute_checksum(header, header + RECORD_HEADER_BYTES,
					 body_len, offset + at));
		at += RECORD_HEADER_BYTES + body_len;
	}
}

/* Reads the record at "offset"; returns false if there is no valid one. */
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
	return record_get_u64(header + CHECKSUM_OFFSET) ==
	       compute_checksum(header, record->body, body_len, offset);
}

/* Returns whether a later valid record shows that "offset" was synced. */
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
