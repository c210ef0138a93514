#ifndef WISTERIA_STORAGE_RECORD_H
#define WISTERIA_STORAGE_RECORD_H

#include <stdbool.h>

#include <glib.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/storage/record_defs.h"

void record_put_u32(GByteArray *out, uint32_t value) ATTR_NONNULL_ALL;
void record_put_u64(GByteArray *out, uint64_t value) ATTR_NONNULL_ALL;
uint32_t record_get_u32(const uint8_t *data) ATTR_NONNULL_ALL;
uint64_t record_get_u64(const uint8_t *data) ATTR_NONNULL_ALL;
void record_begin(GByteArray *out, record_type_t type) ATTR_NONNULL_ALL;
void record_end(GByteArray *out, size_t start) ATTR_NONNULL_ALL;
void record_set_checksums(uint8_t *data, size_t len, uint64_t offset,
			  uint64_t synced) ATTR_NONNULL_ALL;
bool record_read(const uint8_t *file, size_t len, uint64_t offset,
		 record_t *record) ATTR_NONNULL(4) ATTR_WARN_UNUSED;
bool record_was_synced(const uint8_t *file, size_t len,
		       uint64_t offset) ATTR_WARN_UNUSED;

#endif
