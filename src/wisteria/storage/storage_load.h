#ifndef WISTERIA_STORAGE_STORAGE_LOAD_H
#define WISTERIA_STORAGE_STORAGE_LOAD_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/storage/storage_defs.h"

/* The file names of a data folder. */
#define STORAGE_LOG_PREFIX "log-"
#define STORAGE_SNAPSHOT_PREFIX "snapshot-"
#define STORAGE_IDENTITY_NAME "identity"
#define STORAGE_LOCK_NAME "lock"
#define STORAGE_TEMP_SUFFIX ".aside"

bool storage_find_newest(const char *folder, const char *prefix,
			 uint64_t *number, err_t *err)
	ATTR_NONNULL(1, 2, 3) ATTR_WARN_UNUSED;
char *storage_numbered_path(const char *folder, const char *prefix,
			    uint64_t number) ATTR_WARN_UNUSED;
void storage_remove_other_files(const char *folder, const char *prefix,
				uint64_t keep) ATTR_NONNULL_ALL;
bool storage_load_identity(const char *folder, uint64_t *id, bool *found,
			   err_t *err) ATTR_WARN_UNUSED;
bool storage_load_snapshot(const char *folder, raft_snapshot_t *snapshot,
			   err_t *err) ATTR_WARN_UNUSED;
bool storage_load_log(const char *path, raft_stored_t *stored,
		      uint64_t *valid_len, err_t *err) ATTR_WARN_UNUSED;

#endif
