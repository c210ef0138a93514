#ifndef WISTERIA_CONTROL_REPLICA_LOSSES_H
#define WISTERIA_CONTROL_REPLICA_LOSSES_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/control/replica_defs.h"

void replica_ask_identities(replica_t *replica) ATTR_NONNULL_ALL;
void replica_record_identity(replica_t *replica, const char *instance,
			     const msg_raft_t *msg) ATTR_NONNULL_ALL;
void replica_describe_voters(const replica_t *replica,
			     GString *text) ATTR_NONNULL_ALL;
void replica_describe_missing(const replica_t *replica,
			      GString *text) ATTR_NONNULL_ALL;

#endif
