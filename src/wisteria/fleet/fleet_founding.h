#ifndef WISTERIA_FLEET_FLEET_FOUNDING_H
#define WISTERIA_FLEET_FLEET_FOUNDING_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/fleet_control_defs.h"

void fleet_founding_init(fleet_control_t *control) ATTR_NONNULL_ALL;
void fleet_founding_restore(fleet_control_t *control) ATTR_NONNULL_ALL;
void fleet_founding_tick(fleet_control_t *control,
			 clock_ms_t now) ATTR_NONNULL_ALL;
void fleet_founding_on_request(fleet_control_t *control, conn_t *conn,
			       const msg_fleet_founding_t *msg)
	ATTR_NONNULL_ALL;
void fleet_founding_on_reply(fleet_control_t *control, const conn_t *conn,
			     const msg_fleet_founding_t *msg) ATTR_NONNULL_ALL;

#endif
