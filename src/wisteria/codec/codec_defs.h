#ifndef WISTERIA_CODEC_CODEC_DEFS_H
#define WISTERIA_CODEC_CODEC_DEFS_H

#include <stddef.h>
#include <stdint.h>

/* A sequence of bytes that the struct does not own. */
typedef struct {
	const uint8_t *data;
	size_t len;
} bytes_t;

typedef enum {
	FIELD_BOOL,   /* bool */
	FIELD_U32,    /* uint32_t */
	FIELD_U64,    /* uint64_t */
	FIELD_I64,    /* int64_t */
	FIELD_F64,    /* double */
	FIELD_STR,    /* const char *, never NULL after decoding */
	FIELD_BYTES,  /* bytes_t */
	FIELD_RECORD, /* an embedded struct */
	FIELD_LIST    /* const T *items and size_t count */
} field_kind_t;

struct record_desc_t;

/* One field of a record: its kind and its offset in the struct. */
typedef struct {
	field_kind_t kind;
	size_t offset;
	size_t count_offset;		    /* FIELD_LIST: of the count */
	const struct record_desc_t *record; /* FIELD_RECORD, FIELD_LIST */
} field_desc_t;

/*
 * Describes how a struct is encoded: as one msgpack array that holds its fields
 * in order.  New fields are added only at the end; a decoder sets missing
 * strings to "" and other missing fields to zero, and skips the fields that it
 * does not know.
 */
typedef struct record_desc_t {
	const char *name;
	size_t size;
	const field_desc_t *fields;
	size_t field_count;
} record_desc_t;

#define FIELD(kind_, type, member) \
	{ \
		.kind = (kind_), .offset = offsetof(type, member) \
	}
#define FIELD_RECORD_OF(type, member, desc) \
	{ \
		.kind = FIELD_RECORD, .offset = offsetof(type, member), \
		.record = (desc) \
	}
#define FIELD_LIST_OF(type, items, count, desc) \
	{ \
		.kind = FIELD_LIST, .offset = offsetof(type, items), \
		.count_offset = offsetof(type, count), .record = (desc) \
	}
#define RECORD_DESC(type, field_table) \
	{ \
		.name = #type, .size = sizeof(type), .fields = (field_table), \
		.field_count = sizeof(field_table) / sizeof((field_table)[0]) \
	}

#endif
