/*
 * Compresses documents that are sent between processes: a configuration with
 * many routes is sent to every process at every change.
 */
#include "wisteria/codec/pack.h"

#include <string.h>

#include <zlib.h>

#include "wisteria/base/err.h"

/* Packed bytes begin with the document's length, in little-endian order. */
#define LENGTH_BYTES 4

/* Compresses at most PACK_BYTES_MAX bytes; the caller frees the result. */
GBytes *pack_bytes(const void *data, gsize len)
{
	uLongf packed_len = compressBound(len);
	guint8 *packed = g_malloc(LENGTH_BYTES + packed_len);

	for (int i = 0; i < LENGTH_BYTES; i++)
		packed[i] = (guint8)(len >> (8 * i));
	if (compress2(packed + LENGTH_BYTES, &packed_len, data, len,
		      Z_BEST_SPEED) != Z_OK)
		g_error("a document cannot be packed");
	return g_bytes_new_take(packed, LENGTH_BYTES + packed_len);
}

/*
 * Decompresses the output of pack_bytes(); the caller frees the result.
 * Returns NULL and sets "err" if "packed" is invalid.
 */
GBytes *unpack_bytes(const void *packed, gsize len, err_t *err)
{
	const guint8 *bytes = packed;
	uLongf unpacked_len = 0;
	uLongf expected;
	guint8 *unpacked;

	if (len < LENGTH_BYTES) {
		err_set(err, ERR_CORRUPT, "unpack", "", "%zu bytes", len);
		return NULL;
	}
	for (int i = 0; i < LENGTH_BYTES; i++)
		unpacked_len |= (uLongf)bytes[i] << (8 * i);
	expected = unpacked_len;
	if (unpacked_len > PACK_BYTES_MAX) {
		err_set(err, ERR_CORRUPT, "unpack", "",
			"the document claims %lu bytes", unpacked_len);
		return NULL;
	}
	unpacked = g_malloc(unpacked_len + 1);
	if (uncompress(unpacked, &unpacked_len, bytes + LENGTH_BYTES,
		       len - LENGTH_BYTES) == Z_OK &&
	    unpacked_len == expected)
		return g_bytes_new_take(unpacked, unpacked_len);
	g_free(unpacked);
	err_set(err, ERR_CORRUPT, "unpack", "", "the bytes are damaged");
	return NULL;
}
