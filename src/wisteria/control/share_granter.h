#ifndef WISTERIA_CONTROL_SHARE_GRANTER_H
#define WISTERIA_CONTROL_SHARE_GRANTER_H

#include <glib.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/control/replica_defs.h"
#include "wisteria/limits/shares.h"
#include "wisteria/store/store_defs.h"

/*
 * Grants shares of the customers' contracts to entries while this instance is
 * the leader; otherwise requests them from the leader.
 */
typedef struct {
	replica_t *replica;
	const store_t *store;
	shares_t *shares;  /* of "term"; NULL before the first grant */
	uint64_t term;	   /* in which "shares" was created */
	uint64_t revision; /* whose contracts were applied to "shares" */
	uint64_t sequence; /* of the last request to the leader */
} share_granter_t;

void share_granter_init(share_granter_t *granter, replica_t *replica,
			const store_t *store) ATTR_NONNULL_ALL;
void share_granter_finish(share_granter_t *granter) ATTR_NONNULL_ALL;
bool share_granter_grant(share_granter_t *granter, const msg_shares_t *request,
			 GArray *granted_shares)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void share_granter_on_request(share_granter_t *granter, conn_t *conn,
			      const msg_shares_t *request) ATTR_NONNULL_ALL;
uint64_t share_granter_request_from_leader(share_granter_t *granter,
					   msg_shares_t request)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
