#ifndef WISTERIA_CONTROL_RENEWALS_H
#define WISTERIA_CONTROL_RENEWALS_H

#include <glib.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/control/directory.h"
#include "wisteria/control/replica_defs.h"
#include "wisteria/control/share_granter.h"
#include "wisteria/store/store_defs.h"

/*
 * The pending renewals of the daemons' leases.  All that arrive between two
 * ticks are confirmed by one read of the log, at any control instance.
 */
typedef struct {
	replica_t *replica;
	const store_t *store;
	directory_t *directory;
	share_granter_t share_granter;
	GPtrArray *pending; /* of renewal_t */
} renewals_t;

void renewals_init(renewals_t *renewals, replica_t *replica,
		   const store_t *store,
		   directory_t *directory) ATTR_NONNULL_ALL;
void renewals_finish(renewals_t *renewals) ATTR_NONNULL_ALL;
void renewals_add(renewals_t *renewals, conn_t *conn,
		  const msg_renew_t *renew) ATTR_NONNULL_ALL;
void renewals_tick(renewals_t *renewals) ATTR_NONNULL_ALL;
void renewals_read_confirmed(renewals_t *renewals,
			     uint64_t ticket) ATTR_NONNULL_ALL;
void renewals_on_shares_reply(renewals_t *renewals,
			      const msg_shares_reply_t *reply) ATTR_NONNULL_ALL;
void renewals_conn_closed(renewals_t *renewals,
			  const conn_t *conn) ATTR_NONNULL_ALL;

#endif
