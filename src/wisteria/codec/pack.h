#ifndef WISTERIA_CODEC_PACK_H
#define WISTERIA_CODEC_PACK_H

#include <glib.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"

/* Larger documents are neither packed nor unpacked. */
#define PACK_BYTES_MAX (16u << 20)

GBytes *pack_bytes(const void *data, gsize len) ATTR_WARN_UNUSED;
GBytes *unpack_bytes(const void *packed, gsize len,
		     err_t *err) ATTR_WARN_UNUSED;

#endif
