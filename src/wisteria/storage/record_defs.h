#ifndef WISTERIA_STORAGE_RECORD_DEFS_H
#define WISTERIA_STORAGE_RECORD_DEFS_H

#include <stddef.h>
#include <stdint.h>

typedef enum {
	RECORD_BASE = 1, /* first of a log; index and term before its entries */
	RECORD_STATE,	 /* term and vote */
	RECORD_ENTRY,
	RECORD_SNAPSHOT,
	RECORD_IDENTITY,
	RECORD_FOUNDING, /* votes on the first members of a group */
	RECORD_TYPE_COUNT
} record_type_t;

/*
 * A record on disk, little-endian: length of the body (4 bytes), type (4),
 * number of bytes of the file that were synced when the record was written (8),
 * checksum (8), body.  The checksum covers the other fields, the body and the
 * offset of the record in the file.
 */
#define RECORD_HEADER_BYTES 24
#define RECORD_BODY_BYTES_MAX (1u << 30)

typedef struct {
	record_type_t type;
	uint64_t synced; /* bytes of the file that were synced before it */
	const uint8_t *body;
	size_t len;
	uint64_t next; /* offset of the next record */
} record_t;

#endif
