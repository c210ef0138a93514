#ifndef WISTERIA_CONTROL_REPLICA_LEAVE_H
#define WISTERIA_CONTROL_REPLICA_LEAVE_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/control/replica_defs.h"

const settings_tolerance_t *
replica_tolerance(const replica_t *replica) ATTR_NONNULL_ALL;
void replica_fill_places(const replica_t *replica,
			 group_member_status_t statuses[RAFT_MEMBERS_MAX])
	ATTR_NONNULL_ALL;
void replica_begin_leaving(replica_t *replica) ATTR_NONNULL_ALL;
void replica_tick_leaving(replica_t *replica) ATTR_NONNULL_ALL;
bool replica_may_stop(const replica_t *replica) ATTR_NONNULL_ALL;
bool replica_is_leaving_member(const replica_t *replica,
			       const raft_member_t *member) ATTR_NONNULL_ALL;
void replica_on_leave(replica_t *replica, replica_peer_t *peer,
		      const msg_raft_t *msg) ATTR_NONNULL_ALL;
void replica_on_left(replica_t *replica,
		     const msg_raft_t *msg) ATTR_NONNULL_ALL;

#endif
