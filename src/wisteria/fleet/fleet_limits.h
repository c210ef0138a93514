#ifndef WISTERIA_FLEET_FLEET_LIMITS_H
#define WISTERIA_FLEET_FLEET_LIMITS_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/fleet_control_defs.h"

void fleet_limits_init(fleet_limits_t *limits) ATTR_NONNULL_ALL;
void fleet_limits_finish(fleet_limits_t *limits) ATTR_NONNULL_ALL;
void fleet_limits_handle(fleet_control_t *control, conn_t *conn,
			 const msg_fleet_limits_t *report) ATTR_NONNULL_ALL;
void fleet_limits_send(fleet_control_t *control, conn_t *conn) ATTR_NONNULL_ALL;
void fleet_limits_forget_entry(fleet_control_t *control,
			       const conn_t *conn) ATTR_NONNULL_ALL;
void fleet_limits_tick(fleet_control_t *control,
		       clock_ms_t now) ATTR_NONNULL_ALL;

#endif
