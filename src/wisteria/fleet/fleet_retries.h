#ifndef WISTERIA_FLEET_FLEET_RETRIES_H
#define WISTERIA_FLEET_FLEET_RETRIES_H

#include "wisteria/codec/msg_defs.h"
#include "wisteria/fleet/fleet_control_defs.h"

void fleet_retries_init(fleet_control_t *control) ATTR_NONNULL_ALL;
void fleet_retries_finish(fleet_control_t *control) ATTR_NONNULL_ALL;
void fleet_retries_load(fleet_control_t *control,
			clock_ms_t now) ATTR_NONNULL_ALL;
void fleet_retries_handle(fleet_control_t *control, conn_t *conn,
			  const msg_fleet_retries_t *message) ATTR_NONNULL_ALL;
void fleet_retries_forget_conn(fleet_control_t *control,
			       const conn_t *conn) ATTR_NONNULL_ALL;
void fleet_retries_tick(fleet_control_t *control,
			clock_ms_t now) ATTR_NONNULL_ALL;

#endif
