/*
 * Encodes structs as msgpack and decodes them, as their record_desc_t describes
 * them.  The strings, bytes and lists of a decoded struct are copied into the
 * caller's msgpack zone and live as long as the zone.
 */
#include "wisteria/codec/codec.h"

#include <string.h>

#include "wisteria/base/err.h"

/*
 * Most memory for the structs of one decoded list; what their fields point to
 * is not included.  An encoded record may take a single byte, so the structs
 * can be far larger than the data.
 */
#define CODEC_LIST_BYTES_MAX (64u << 20)

typedef void (*encode_field_t)(msgpack_packer *packer,
			       const field_desc_t *field, const char *record);
typedef bool (*decode_field_t)(const field_desc_t *field,
			       const msgpack_object *object, msgpack_zone *zone,
			       char *record, err_t *err);

static void encode_record(msgpack_packer *packer, const record_desc_t *desc,
			  const char *record);
static bool decode_record(const record_desc_t *desc,
			  const msgpack_object *object, msgpack_zone *zone,
			  char *record, err_t *err);

static bool fail_decode(err_t *err, const char *reason)
{
	err_set(err, ERR_PROTOCOL, "decode", "", "%s", reason);
	return false;
}

static void encode_bool(msgpack_packer *packer, const field_desc_t *field,
			const char *record)
{
	if (*(const bool *)(record + field->offset))
		msgpack_pack_true(packer);
	else
		msgpack_pack_false(packer);
}

static void encode_u32(msgpack_packer *packer, const field_desc_t *field,
		       const char *record)
{
	msgpack_pack_uint32(packer,
			    *(const uint32_t *)(record + field->offset));
}

static void encode_u64(msgpack_packer *packer, const field_desc_t *field,
		       const char *record)
{
	msgpack_pack_uint64(packer,
			    *(const uint64_t *)(record + field->offset));
}

static void encode_i64(msgpack_packer *packer, const field_desc_t *field,
		       const char *record)
{
	msgpack_pack_int64(packer, *(const int64_t *)(record + field->offset));
}

static void encode_f64(msgpack_packer *packer, const field_desc_t *field,
		       const char *record)
{
	const void *location = record + field->offset;

	msgpack_pack_double(packer, *(const double *)location);
}

static void encode_str(msgpack_packer *packer, const field_desc_t *field,
		       const char *record)
{
	const char *text = *(const char *const *)(record + field->offset);
	size_t len = text == NULL ? 0 : strlen(text);

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, text, len);
}

static void encode_bytes(msgpack_packer *packer, const field_desc_t *field,
			 const char *record)
{
	const bytes_t *bytes = (const bytes_t *)(record + field->offset);

	msgpack_pack_bin(packer, bytes->len);
	msgpack_pack_bin_body(packer, bytes->data, bytes->len);
}

static void encode_embedded(msgpack_packer *packer, const field_desc_t *field,
			    const char *record)
{
	encode_record(packer, field->record, record + field->offset);
}

static void encode_list(msgpack_packer *packer, const field_desc_t *field,
			const char *record)
{
	const char *items = *(const char *const *)(record + field->offset);
	size_t count = *(const size_t *)(record + field->count_offset);

	msgpack_pack_array(packer, count);
	for (size_t i = 0; i < count; i++)
		encode_record(packer, field->record,
			      items + i * field->record->size);
}

static const encode_field_t encoders[] = {
	[FIELD_BOOL] = encode_bool,   [FIELD_U32] = encode_u32,
	[FIELD_U64] = encode_u64,     [FIELD_I64] = encode_i64,
	[FIELD_F64] = encode_f64,     [FIELD_STR] = encode_str,
	[FIELD_BYTES] = encode_bytes, [FIELD_RECORD] = encode_embedded,
	[FIELD_LIST] = encode_list,
};

static void encode_record(msgpack_packer *packer, const record_desc_t *desc,
			  const char *record)
{
	msgpack_pack_array(packer, desc->field_count);
	for (size_t i = 0; i < desc->field_count; i++)
		encoders[desc->fields[i].kind](packer, &desc->fields[i],
					       record);
}

static bool decode_bool(const field_desc_t *field, const msgpack_object *object,
			msgpack_zone *zone, char *record, err_t *err)
{
	(void)zone;
	if (object->type != MSGPACK_OBJECT_BOOLEAN)
		return fail_decode(err, "expected a boolean");
	*(bool *)(record + field->offset) = object->via.boolean;
	return true;
}

static bool decode_u32(const field_desc_t *field, const msgpack_object *object,
		       msgpack_zone *zone, char *record, err_t *err)
{
	(void)zone;
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > UINT32_MAX)
		return fail_decode(err, "expected an integer of 32 bits");
	*(uint32_t *)(record + field->offset) = (uint32_t)object->via.u64;
	return true;
}

static bool decode_u64(const field_desc_t *field, const msgpack_object *object,
		       msgpack_zone *zone, char *record, err_t *err)
{
	(void)zone;
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return fail_decode(err, "expected an unsigned integer");
	*(uint64_t *)(record + field->offset) = object->via.u64;
	return true;
}

static bool decode_i64(const field_desc_t *field, const msgpack_object *object,
		       msgpack_zone *zone, char *record, err_t *err)
{
	bool positive = object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
			object->via.u64 <= INT64_MAX;

	(void)zone;
	if (!positive && object->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return fail_decode(err, "expected a signed integer");
	*(int64_t *)(record + field->offset) = object->via.i64;
	return true;
}

static bool decode_f64(const field_desc_t *field, const msgpack_object *object,
		       msgpack_zone *zone, char *record, err_t *err)
{
	void *location = record + field->offset;

	(void)zone;
	if (object->type != MSGPACK_OBJECT_FLOAT64)
		return fail_decode(err, "expected a number");
	*(double *)location = object->via.f64;
	return true;
}

static bool decode_str(const field_desc_t *field, const msgpack_object *object,
		       msgpack_zone *zone, char *record, err_t *err)
{
	size_t len = object->via.str.size;
	char *copy;

	if (object->type != MSGPACK_OBJECT_STR)
		return fail_decode(err, "expected a string");
	copy = msgpack_zone_malloc(zone, len + 1);
	if (copy == NULL)
		return fail_decode(err, "out of memory");
	if (len > 0)
		memcpy(copy, object->via.str.ptr, len);
	copy[len] = '\0';
	if (strlen(copy) != len)
		return fail_decode(err, "string holds a zero byte");
	*(const char **)(record + field->offset) = copy;
	return true;
}

static bool decode_bytes(const field_desc_t *field,
			 const msgpack_object *object, msgpack_zone *zone,
			 char *record, err_t *err)
{
	bytes_t *bytes = (bytes_t *)(record + field->offset);
	uint8_t *copy;

	if (object->type != MSGPACK_OBJECT_BIN)
		return fail_decode(err, "expected bytes");
	copy = msgpack_zone_malloc(zone, object->via.bin.size + 1);
	if (copy == NULL)
		return fail_decode(err, "out of memory");
	if (object->via.bin.size > 0)
		memcpy(copy, object->via.bin.ptr, object->via.bin.size);
	*bytes = (bytes_t){ copy, object->via.bin.size };
	return true;
}

static bool decode_embedded(const field_desc_t *field,
			    const msgpack_object *object, msgpack_zone *zone,
			    char *record, err_t *err)
{
	return decode_record(field->record, object, zone,
			     record + field->offset, err);
}

static bool decode_list(const field_desc_t *field, const msgpack_object *object,
			msgpack_zone *zone, char *record, err_t *err)
{
	size_t count = object->via.array.size;
	size_t size = field->record->size;
	char *items;

	if (object->type != MSGPACK_OBJECT_ARRAY)
		return fail_decode(err, "expected a list");
	if (count > CODEC_LIST_BYTES_MAX / size)
		return fail_decode(err, "list too long");
	items = msgpack_zone_malloc(zone, count * size + 1);
	if (items == NULL)
		return fail_decode(err, "out of memory");
	memset(items, 0, count * size + 1);
	for (size_t i = 0; i < count; i++)
		if (!decode_record(field->record, &object->via.array.ptr[i],
				   zone, items + i * size, err))
			return false;
	*(const char **)(record + field->offset) = items;
	*(size_t *)(record + field->count_offset) = count;
	return true;
}

static const decode_field_t decoders[] = {
	[FIELD_BOOL] = decode_bool,   [FIELD_U32] = decode_u32,
	[FIELD_U64] = decode_u64,     [FIELD_I64] = decode_i64,
	[FIELD_F64] = decode_f64,     [FIELD_STR] = decode_str,
	[FIELD_BYTES] = decode_bytes, [FIELD_RECORD] = decode_embedded,
	[FIELD_LIST] = decode_list,
};

/*
 * Sets all strings, also those of embedded records, to "".  An older sender
 * omits the fields that it does not know.
 */
static void set_defaults(const record_desc_t *desc, char *record)
{
	for (size_t i = 0; i < desc->field_count; i++) {
		const field_desc_t *field = &desc->fields[i];

		if (field->kind == FIELD_STR)
			*(const char **)(record + field->offset) = "";
		if (field->kind == FIELD_RECORD)
			set_defaults(field->record, record + field->offset);
	}
}

static bool decode_record(const record_desc_t *desc,
			  const msgpack_object *object, msgpack_zone *zone,
			  char *record, err_t *err)
{
	size_t count;

	memset(record, 0, desc->size);
	set_defaults(desc, record);
	if (object->type != MSGPACK_OBJECT_ARRAY)
		return fail_decode(err, "expected a record");
	count = object->via.array.size;
	if (count > desc->field_count)
		count = desc->field_count;
	for (size_t i = 0; i < count; i++) {
		const field_desc_t *field = &desc->fields[i];

		if (!decoders[field->kind](field, &object->via.array.ptr[i],
					   zone, record, err))
			return false;
	}
	return true;
}

/* Appends "record", a struct that "desc" describes, to "out". */
void codec_encode(const record_desc_t *desc, const void *record,
		  msgpack_sbuffer *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	encode_record(&packer, desc, record);
}

static uint64_t read_big_endian(const uint8_t *data, size_t bytes)
{
	uint64_t value = 0;

	for (size_t i = 0; i < bytes; i++)
		value = value << 8 | data[i];
	return value;
}

/*
 * The layout of the msgpack objects whose first byte, the tag, is in
 * [first, last].  The length counts the items of an array, the pairs of a map
 * or the bytes of any other object of variable size.
 */
typedef struct {
	uint8_t first;
	uint8_t last;
	uint8_t length_bytes;	  /* size of the length field after the tag */
	uint8_t payload_bytes;	  /* size of the fixed part after the length */
	uint8_t items_per_length; /* 1: array, 2: map, 0: length in bytes */
	uint8_t length_mask;	  /* bits of the tag that hold the length */
} tag_layout_t;

static const tag_layout_t tag_layouts[] = {
	{ 0x00, 0x7f, 0, 0, 0, 0 },    { 0x80, 0x8f, 0, 0, 2, 0x0f },
	{ 0x90, 0x9f, 0, 0, 1, 0x0f }, { 0xa0, 0xbf, 0, 0, 0, 0x1f },
	{ 0xc0, 0xc3, 0, 0, 0, 0 },    { 0xc4, 0xc4, 1, 0, 0, 0 },
	{ 0xc5, 0xc5, 2, 0, 0, 0 },    { 0xc6, 0xc6, 4, 0, 0, 0 },
	{ 0xc7, 0xc7, 1, 1, 0, 0 },    { 0xc8, 0xc8, 2, 1, 0, 0 },
	{ 0xc9, 0xc9, 4, 1, 0, 0 },    { 0xca, 0xca, 0, 4, 0, 0 },
	{ 0xcb, 0xcb, 0, 8, 0, 0 },    { 0xcc, 0xcc, 0, 1, 0, 0 },
	{ 0xcd, 0xcd, 0, 2, 0, 0 },    { 0xce, 0xce, 0, 4, 0, 0 },
	{ 0xcf, 0xcf, 0, 8, 0, 0 },    { 0xd0, 0xd0, 0, 1, 0, 0 },
	{ 0xd1, 0xd1, 0, 2, 0, 0 },    { 0xd2, 0xd2, 0, 4, 0, 0 },
	{ 0xd3, 0xd3, 0, 8, 0, 0 },    { 0xd4, 0xd4, 0, 2, 0, 0 },
	{ 0xd5, 0xd5, 0, 3, 0, 0 },    { 0xd6, 0xd6, 0, 5, 0, 0 },
	{ 0xd7, 0xd7, 0, 9, 0, 0 },    { 0xd8, 0xd8, 0, 17, 0, 0 },
	{ 0xd9, 0xd9, 1, 0, 0, 0 },    { 0xda, 0xda, 2, 0, 0, 0 },
	{ 0xdb, 0xdb, 4, 0, 0, 0 },    { 0xdc, 0xdc, 2, 0, 1, 0 },
	{ 0xdd, 0xdd, 4, 0, 1, 0 },    { 0xde, 0xde, 2, 0, 2, 0 },
	{ 0xdf, 0xdf, 4, 0, 2, 0 },    { 0xe0, 0xff, 0, 0, 0, 0 },
};

static const tag_layout_t *find_tag_layout(uint8_t byte)
{
	for (size_t i = 0; i < ARRAY_SIZE(tag_layouts); i++)
		if (byte >= tag_layouts[i].first && byte <= tag_layouts[i].last)
			return &tag_layouts[i];
	return NULL;
}

/*
 * Returns whether the lengths that "data" declares fit in its "len" bytes;
 * returns false also for an invalid tag and for a truncated length field.
 * Every declared object takes at least one byte, so there can be no more of
 * them than bytes.  msgpack-c allocates a list by its declared length before
 * reading it, so a few bytes could otherwise cause an allocation of gigabytes.
 */
static bool lengths_fit(const uint8_t *data, size_t len)
{
	size_t offset = 0;
	uint64_t declared = 1; /* objects, with the outermost one */

	while (offset < len) {
		const tag_layout_t *tag = find_tag_layout(data[offset]);
		uint64_t length;

		if (tag == NULL || len - offset - 1 < tag->length_bytes)
			return false;
		length = data[offset] & tag->length_mask;
		if (tag->length_bytes > 0)
			length = read_big_endian(data + offset + 1,
						 tag->length_bytes);
		declared += length * tag->items_per_length;
		offset += 1u + tag->length_bytes + tag->payload_bytes;
		if (tag->items_per_length == 0)
			offset += length;
		if (declared > len || offset > len)
			return false;
	}
	return true;
}

/*
 * Parses "len" bytes as exactly one msgpack object.  Nesting deeper than
 * msgpack-c's own limit, trailing bytes and lists that declare more items than
 * there are bytes are refused with ERR_PROTOCOL.
 */
bool codec_unpack(const uint8_t *data, size_t len, msgpack_zone *zone,
		  msgpack_object *object, err_t *err)
{
	size_t offset = 0;
	msgpack_unpack_return result;

	if (!lengths_fit(data, len))
		return fail_decode(err, "claims more than it holds");
	result = msgpack_unpack((const char *)data, len, &offset, zone, object);
	if (result != MSGPACK_UNPACK_SUCCESS)
		return fail_decode(err, "not one msgpack object");
	if (offset != len)
		return fail_decode(err, "bytes after the object");
	return true;
}

/*
 * Decodes "record" from an unpacked object.  On error "record" is partly filled
 * and must not be used.
 */
bool codec_read_object(const record_desc_t *desc, const msgpack_object *object,
		       msgpack_zone *zone, void *record, err_t *err)
{
	return decode_record(desc, object, zone, record, err);
}

/* Decodes "record" from "len" bytes; see codec_read_object(). */
bool codec_decode(const record_desc_t *desc, const uint8_t *data, size_t len,
		  msgpack_zone *zone, void *record, err_t *err)
{
	msgpack_object object;

	if (!codec_unpack(data, len, zone, &object, err))
		return false;
	return codec_read_object(desc, &object, zone, record, err);
}
