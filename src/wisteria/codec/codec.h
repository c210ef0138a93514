#ifndef WISTERIA_CODEC_CODEC_H
#define WISTERIA_CODEC_CODEC_H

#include <stdbool.h>

#include <msgpack.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/codec_defs.h"

void codec_encode(const record_desc_t *desc, const void *record,
		  msgpack_sbuffer *out) ATTR_NONNULL_ALL;
bool codec_decode(const record_desc_t *desc, const uint8_t *data, size_t len,
		  msgpack_zone *zone, void *record,
		  err_t *err) ATTR_WARN_UNUSED;
bool codec_read_object(const record_desc_t *desc, const msgpack_object *object,
		       msgpack_zone *zone, void *record,
		       err_t *err) ATTR_WARN_UNUSED;
bool codec_unpack(const uint8_t *data, size_t len, msgpack_zone *zone,
		  msgpack_object *object, err_t *err) ATTR_WARN_UNUSED;

#endif
