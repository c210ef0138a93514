#ifndef WISTERIA_CONTROL_LOG_WRITER_H
#define WISTERIA_CONTROL_LOG_WRITER_H

#include <uv.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/storage/storage_defs.h"

/* A thread that writes and syncs the log on behalf of the control thread. */
typedef struct log_writer_t log_writer_t;

/* Callbacks, called on the control thread in the order of the jobs. */
typedef struct log_writer_owner_t {
	/* All jobs up to "sequence" are synced. */
	void (*saved)(struct log_writer_owner_t *self, uint64_t sequence);
	/* A snapshot that the owner made (sequence 0) is synced. */
	void (*snapshot_saved)(struct log_writer_owner_t *self, uint64_t index,
			       GBytes *data);
} log_writer_owner_t;

log_writer_t *
log_writer_new(storage_t *storage, uv_loop_t *loop,
	       log_writer_owner_t *owner) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void log_writer_append(log_writer_t *writer, GByteArray *records,
		       uint64_t sequence) ATTR_NONNULL_ALL;
void log_writer_install(log_writer_t *writer, const raft_snapshot_t *snapshot,
			GByteArray *records,
			uint64_t sequence) ATTR_NONNULL_ALL;
void log_writer_close(log_writer_t *writer) ATTR_NONNULL_ALL;
void log_writer_free(log_writer_t *writer);

#endif
