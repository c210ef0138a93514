#ifndef WISTERIA_RAFT_RAFT_INTERNAL_H
#define WISTERIA_RAFT_RAFT_INTERNAL_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/raft/raft_defs.h"

/* raft.c */
void raft_become_follower(raft_t *raft, uint64_t term,
			  uint64_t leader) ATTR_NONNULL_ALL;
raft_progress_t *raft_progress(raft_t *raft, uint64_t id) ATTR_NONNULL_ALL;
void raft_set_members(raft_t *raft, const raft_members_t *members,
		      uint64_t index) ATTR_NONNULL_ALL;
void raft_reload_members(raft_t *raft) ATTR_NONNULL_ALL;

/* raft_quorum.c */
typedef bool (*raft_predicate_t)(const raft_t *raft,
				 const raft_progress_t *progress,
				 uint64_t value);

bool raft_is_quorum(const raft_t *raft, raft_predicate_t test,
		    uint64_t value) ATTR_NONNULL_ALL;
void raft_discount_lost(raft_t *raft) ATTR_NONNULL_ALL;
const raft_lost_t *raft_discounted(const raft_t *raft) ATTR_NONNULL_ALL;

/* raft_out.c */
void raft_send(raft_t *raft, const msg_raft_t *msg, raft_message_t *message)
	ATTR_NONNULL(1, 2);
void raft_drop_held_messages(raft_t *raft) ATTR_NONNULL_ALL;
uint64_t raft_current_save(const raft_t *raft) ATTR_NONNULL_ALL;
void raft_set_term(raft_t *raft, uint64_t term, uint64_t vote) ATTR_NONNULL_ALL;
void raft_truncate_log(raft_t *raft, uint64_t index) ATTR_NONNULL_ALL;

/* raft_election.c */
void raft_reset_election(raft_t *raft) ATTR_NONNULL_ALL;
void raft_campaign(raft_t *raft, raft_role_t role,
		   bool leader_transfer) ATTR_NONNULL_ALL;
void raft_on_pre_vote(raft_t *raft, const msg_raft_t *msg) ATTR_NONNULL_ALL;
void raft_on_vote(raft_t *raft, const msg_raft_t *msg) ATTR_NONNULL_ALL;
void raft_on_vote_reply(raft_t *raft, const msg_raft_t *msg) ATTR_NONNULL_ALL;
void raft_on_timeout_now(raft_t *raft, const msg_raft_t *msg) ATTR_NONNULL_ALL;
void raft_count_own_vote(raft_t *raft) ATTR_NONNULL_ALL;
bool raft_has_active_leader(const raft_t *raft) ATTR_NONNULL_ALL;
bool raft_has_active_quorum(const raft_t *raft) ATTR_NONNULL_ALL;

/* raft_leader.c */
void raft_become_leader(raft_t *raft) ATTR_NONNULL_ALL;
void raft_advance_commit(raft_t *raft) ATTR_NONNULL_ALL;
void raft_send_appends(raft_t *raft) ATTR_NONNULL_ALL;
void raft_send_heartbeats(raft_t *raft) ATTR_NONNULL_ALL;
void raft_on_append_reply(raft_t *raft, const msg_raft_t *msg) ATTR_NONNULL_ALL;
void raft_on_heartbeat_reply(raft_t *raft,
			     const msg_raft_t *msg) ATTR_NONNULL_ALL;
void raft_on_snapshot_reply(raft_t *raft,
			    const msg_raft_t *msg) ATTR_NONNULL_ALL;

/* raft_follower.c */
void raft_on_append(raft_t *raft, const msg_raft_t *msg) ATTR_NONNULL_ALL;
void raft_on_heartbeat(raft_t *raft, const msg_raft_t *msg) ATTR_NONNULL_ALL;
void raft_on_snapshot(raft_t *raft, const msg_raft_t *msg) ATTR_NONNULL_ALL;

/* raft_read.c */
void raft_on_read(raft_t *raft, const msg_raft_t *msg) ATTR_NONNULL_ALL;
void raft_on_read_reply(raft_t *raft, const msg_raft_t *msg) ATTR_NONNULL_ALL;
void raft_reads_begin_round(raft_t *raft) ATTR_NONNULL_ALL;
void raft_reads_check_round(raft_t *raft) ATTR_NONNULL_ALL;
void raft_reads_role_changed(raft_t *raft) ATTR_NONNULL_ALL;
void raft_reads_tick(raft_t *raft) ATTR_NONNULL_ALL;

#endif
