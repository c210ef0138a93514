#ifndef WISTERIA_FLEET_FLEET_API_H
#define WISTERIA_FLEET_FLEET_API_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/fleet_control_defs.h"

void fleet_api_handle(fleet_control_t *control,
		      http_conn_t *conn) ATTR_NONNULL_ALL;
void fleet_api_conn_closed(fleet_control_t *control,
			   const http_conn_t *conn) ATTR_NONNULL_ALL;
void fleet_api_on_applied(fleet_control_t *control, uint64_t index,
			  uint64_t term) ATTR_NONNULL_ALL;
void fleet_api_on_confirmed(fleet_control_t *control,
			    fleet_read_t *read) ATTR_NONNULL_ALL;
void fleet_api_expire(fleet_control_t *control, clock_ms_t now,
		      bool all_writes) ATTR_NONNULL_ALL;

#endif
