#ifndef WISTERIA_DAEMON_ENGINE_RELAY_H
#define WISTERIA_DAEMON_ENGINE_RELAY_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/base/mailbox_defs.h"
#include "wisteria/control/engine_orders.h"
#include "wisteria/control/lease_client.h"
#include "wisteria/daemon/traffic.h"

/*
 * Passes orders from the control thread to the agent's engines, on the traffic
 * thread, and their results back.
 */
typedef struct {
	engine_orders_ops_t ops; /* first member */
	engine_orders_t orders;
	lease_client_t *lease;
	mailbox_t *control_mailbox;
	traffic_t *traffic;
} engine_relay_t;

void engine_relay_init(engine_relay_t *relay, lease_client_t *lease,
		       mailbox_t *control_mailbox, traffic_t *traffic,
		       uint64_t incarnation) ATTR_NONNULL_ALL;
void engine_relay_finish(engine_relay_t *relay) ATTR_NONNULL_ALL;

#endif
