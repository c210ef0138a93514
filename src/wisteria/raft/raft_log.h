#ifndef WISTERIA_RAFT_RAFT_LOG_H
#define WISTERIA_RAFT_RAFT_LOG_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/raft/raft_defs.h"

void raft_entry_clear(raft_entry_t *entry) ATTR_NONNULL_ALL;
GArray *raft_entries_new(void) ATTR_WARN_UNUSED;
void raft_entries_add(GArray *entries,
		      const raft_entry_t *entry) ATTR_NONNULL_ALL;
void raft_log_init(raft_log_t *log) ATTR_NONNULL_ALL;
void raft_log_finish(raft_log_t *log) ATTR_NONNULL_ALL;
uint64_t raft_log_last(const raft_log_t *log) ATTR_NONNULL_ALL;
uint64_t raft_log_last_term(const raft_log_t *log) ATTR_NONNULL_ALL;
bool raft_log_term(const raft_log_t *log, uint64_t index,
		   uint64_t *term) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
const raft_entry_t *raft_log_get(const raft_log_t *log,
				 uint64_t index) ATTR_NONNULL_ALL;
void raft_log_add(raft_log_t *log, uint64_t term, uint32_t kind,
		  GBytes *data) ATTR_NONNULL_ALL;
void raft_log_truncate_from(raft_log_t *log, uint64_t index) ATTR_NONNULL_ALL;
void raft_log_drop_through(raft_log_t *log, uint64_t index) ATTR_NONNULL_ALL;
void raft_log_reset(raft_log_t *log, uint64_t index,
		    uint64_t term) ATTR_NONNULL_ALL;

#endif
