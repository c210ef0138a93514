#ifndef WISTERIA_CONTROL_REPLICA_GROUP_H
#define WISTERIA_CONTROL_REPLICA_GROUP_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/control/replica_defs.h"

void replica_link_initial_voters(replica_t *replica) ATTR_NONNULL_ALL;
void replica_close_peers(replica_t *replica) ATTR_NONNULL_ALL;
void replica_link_members(replica_t *replica) ATTR_NONNULL_ALL;
void replica_send_group_message(replica_t *replica, replica_peer_t *peer,
				uint32_t kind,
				uint64_t context) ATTR_NONNULL_ALL;
replica_peer_t *replica_peer(const replica_t *replica,
			     const char *instance) ATTR_NONNULL_ALL;
bool replica_is_searching(const replica_t *replica) ATTR_NONNULL_ALL;
void replica_add_contact(replica_t *replica, const char *instance,
			 const char *address) ATTR_NONNULL_ALL;
void replica_drop_contacts(replica_t *replica,
			   GHashTable *known) ATTR_NONNULL_ALL;
void replica_record_referral(replica_t *replica,
			     const char *instance) ATTR_NONNULL_ALL;
bool replica_has_empty_log(const replica_t *replica) ATTR_NONNULL_ALL;
raft_member_t replica_candidate(const replica_t *replica) ATTR_NONNULL_ALL;
void replica_start_group(replica_t *replica,
			 const raft_members_t *members) ATTR_NONNULL_ALL;
void replica_learn_members(replica_t *replica,
			   const raft_members_t *members) ATTR_NONNULL_ALL;
void replica_search(replica_t *replica) ATTR_NONNULL_ALL;
void replica_update_membership(replica_t *replica) ATTR_NONNULL_ALL;
void replica_log_missing_leader(replica_t *replica) ATTR_NONNULL_ALL;
void replica_on_group_message(replica_t *replica, conn_t *conn,
			      const msg_raft_t *msg) ATTR_NONNULL_ALL;

#endif
