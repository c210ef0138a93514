#ifndef WISTERIA_CONTROL_REPLICA_H
#define WISTERIA_CONTROL_REPLICA_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/control/replica_defs.h"

bool replica_init(replica_t *replica, net_t *net, const settings_t *settings,
		  replica_machine_t *machine, err_t *err) ATTR_WARN_UNUSED;
void replica_close(replica_t *replica) ATTR_NONNULL_ALL;
void replica_finish(replica_t *replica) ATTR_NONNULL_ALL;
void replica_transfer_leadership(replica_t *replica) ATTR_NONNULL_ALL;
void replica_on_message(replica_t *replica, conn_t *conn,
			const msg_raft_t *msg) ATTR_NONNULL_ALL;
bool replica_is_leader(const replica_t *replica) ATTR_NONNULL_ALL;
bool replica_is_ready_leader(const replica_t *replica) ATTR_NONNULL_ALL;
uint64_t replica_propose(replica_t *replica, const uint8_t *data,
			 size_t len) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
uint64_t replica_read(replica_t *replica) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool replica_send_to_leader(replica_t *replica, msg_type_t type,
			    const void *body) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool replica_change_member(replica_t *replica, raft_member_change_t change,
			   const char *instance, err_t *err) ATTR_WARN_UNUSED;

#endif
