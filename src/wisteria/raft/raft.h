#ifndef WISTERIA_RAFT_RAFT_H
#define WISTERIA_RAFT_RAFT_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/raft/raft_defs.h"

extern const raft_rules_t raft_rules;

void raft_init(raft_t *raft, uint64_t id, uint32_t seed,
	       const raft_stored_t *stored, clock_ms_t now) ATTR_NONNULL_ALL;
void raft_finish(raft_t *raft) ATTR_NONNULL_ALL;
void raft_shorten_election_timeout(raft_t *raft) ATTR_NONNULL_ALL;
void raft_bootstrap(raft_t *raft,
		    const raft_members_t *members) ATTR_NONNULL_ALL;
bool raft_is_blank(const raft_t *raft) ATTR_NONNULL_ALL;
bool raft_members_are_committed(const raft_t *raft) ATTR_NONNULL_ALL;
bool raft_record_lost(raft_t *raft, uint64_t id) ATTR_NONNULL_ALL;
bool raft_is_lost(const raft_t *raft, uint64_t id) ATTR_NONNULL_ALL;

void raft_tick(raft_t *raft, clock_ms_t now) ATTR_NONNULL_ALL;
void raft_step(raft_t *raft, const msg_raft_t *msg,
	       clock_ms_t now) ATTR_NONNULL_ALL;
uint64_t raft_propose(raft_t *raft, const uint8_t *data, size_t len)
	ATTR_NONNULL(1) ATTR_WARN_UNUSED;
uint64_t raft_change_member(raft_t *raft, raft_member_change_t change,
			    const raft_member_t *member,
			    err_t *err) ATTR_WARN_UNUSED;
bool raft_id_set_contains(const raft_id_set_t *set,
			  uint64_t id) ATTR_NONNULL_ALL;
bool raft_transfer(raft_t *raft, const raft_id_set_t *avoided)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
uint64_t raft_read(raft_t *raft) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool raft_make_snapshot(const raft_t *raft, uint64_t index, GBytes *data,
			raft_snapshot_t *snapshot)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void raft_compact(raft_t *raft, uint64_t index, GBytes *data) ATTR_NONNULL_ALL;

bool raft_next_save(raft_t *raft,
		    raft_save_t *save) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void raft_saved(raft_t *raft, uint64_t sequence) ATTR_NONNULL_ALL;
raft_message_t *
raft_next_message(raft_t *raft) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void raft_message_free(raft_message_t *message);
bool raft_next_apply(raft_t *raft,
		     raft_apply_t *apply) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool raft_next_read(raft_t *raft,
		    raft_read_t *read) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
