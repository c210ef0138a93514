#ifndef WISTERIA_FLEET_FLEET_PARTS_H
#define WISTERIA_FLEET_FLEET_PARTS_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/fleet_control_defs.h"

void fleet_parts_handle(fleet_control_t *control, const conn_t *conn,
			const msg_fleet_parts_t *report) ATTR_NONNULL_ALL;
void fleet_parts_follow(fleet_control_t *control,
			const msg_fleet_parts_t *list) ATTR_NONNULL_ALL;
void fleet_parts_send(fleet_control_t *control,
		      clock_ms_t now) ATTR_NONNULL_ALL;
void fleet_parts_send_to(const fleet_control_t *control,
			 conn_t *conn) ATTR_NONNULL_ALL;
void fleet_parts_confirm(fleet_control_t *control,
			 clock_ms_t now) ATTR_NONNULL_ALL;
void fleet_parts_forget(fleet_control_t *control,
			const conn_t *conn) ATTR_NONNULL_ALL;
void fleet_parts_tick(fleet_control_t *control,
		      clock_ms_t now) ATTR_NONNULL_ALL;

#endif
