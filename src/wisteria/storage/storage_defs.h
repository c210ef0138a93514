#ifndef WISTERIA_STORAGE_STORAGE_DEFS_H
#define WISTERIA_STORAGE_STORAGE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/raft/raft_defs.h"
#include "wisteria/storage/file_ops_defs.h"

/*
 * The data folder of one replica: a file with its identity, the newest
 * snapshot, and one log file with the records after the snapshot.
 */
typedef struct {
	const file_ops_t *ops;
	char *folder;
	int folder_fd;
	int lock_fd;
	int log_fd;
	char *log_path;
	uint64_t log_number;
	uint64_t log_len;    /* bytes written */
	uint64_t log_synced; /* bytes written and synced */
	uint64_t replica_id;
	bool failed; /* a sync or truncation failed: no more writes */
} storage_t;

#endif
