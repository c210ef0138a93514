#ifndef WISTERIA_CONTROL_LEASE_CLIENT_H
#define WISTERIA_CONTROL_LEASE_CLIENT_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/control/engine_orders.h"
#include "wisteria/control/view_defs.h"
#include "wisteria/net/net_defs.h"
#include "wisteria/settings/settings_defs.h"

/* Renews the lease of a daemon.  Used by the control thread only. */
typedef struct lease_client_t lease_client_t;

lease_client_t *lease_client_new(net_t *net, const settings_t *settings,
				 view_board_t *board) ATTR_NONNULL_ALL;
void lease_client_free(lease_client_t *client);
void lease_client_set_orders(lease_client_t *client,
			     engine_orders_t *orders) ATTR_NONNULL_ALL;
void lease_client_send_order(lease_client_t *client,
			     const msg_order_t *order) ATTR_NONNULL_ALL;
void lease_client_set_demand(lease_client_t *client, const msg_share_t *demand,
			     size_t count) ATTR_NONNULL(1);

#endif
