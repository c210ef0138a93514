#ifndef WISTERIA_FLEET_FLEET_LOAD_H
#define WISTERIA_FLEET_FLEET_LOAD_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/fleet_control_defs.h"

void fleet_load_send(fleet_control_t *control, clock_ms_t now) ATTR_NONNULL_ALL;
void fleet_load_send_slow_engines(fleet_control_t *control,
				  clock_ms_t now) ATTR_NONNULL_ALL;

#endif
