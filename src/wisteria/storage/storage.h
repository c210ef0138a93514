#ifndef WISTERIA_STORAGE_STORAGE_H
#define WISTERIA_STORAGE_STORAGE_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/storage/storage_defs.h"

bool storage_open(storage_t *storage, const char *folder, const file_ops_t *ops,
		  raft_stored_t *stored, err_t *err) ATTR_WARN_UNUSED;
void storage_close(storage_t *storage) ATTR_NONNULL_ALL;
void storage_stored_clear(raft_stored_t *stored) ATTR_NONNULL_ALL;

void storage_put_state(GByteArray *out, uint64_t term,
		       uint64_t vote) ATTR_NONNULL_ALL;
void storage_put_entry(GByteArray *out,
		       const raft_entry_t *entry) ATTR_NONNULL_ALL;
bool storage_append(storage_t *storage, GByteArray *records,
		    err_t *err) ATTR_WARN_UNUSED;
bool storage_sync(storage_t *storage, err_t *err) ATTR_WARN_UNUSED;
bool storage_install_snapshot(storage_t *storage,
			      const raft_snapshot_t *snapshot,
			      const GByteArray *records,
			      err_t *err) ATTR_WARN_UNUSED;

#endif
