#ifndef WISTERIA_RAFT_RAFT_MEMBERS_H
#define WISTERIA_RAFT_RAFT_MEMBERS_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/raft/raft_defs.h"

const raft_member_t *raft_members_find(const raft_members_t *members,
				       uint64_t id) ATTR_NONNULL_ALL;
bool raft_members_is_voter(const raft_members_t *members,
			   uint64_t id) ATTR_NONNULL_ALL;
const raft_member_t *
raft_members_find_instance(const raft_members_t *members,
			   const char *instance) ATTR_NONNULL_ALL;
uint32_t
raft_members_count_voters(const raft_members_t *members) ATTR_NONNULL_ALL;
uint32_t raft_members_quorum(const raft_members_t *members) ATTR_NONNULL_ALL;
bool raft_members_change(raft_members_t *members, raft_member_change_t change,
			 const raft_member_t *member,
			 err_t *err) ATTR_WARN_UNUSED;
GBytes *raft_members_encode(const raft_members_t *members) ATTR_NONNULL_ALL;
bool raft_members_decode(raft_members_t *members, const uint8_t *data,
			 size_t len, err_t *err) ATTR_WARN_UNUSED;

#endif
