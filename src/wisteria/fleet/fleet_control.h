#ifndef WISTERIA_FLEET_FLEET_CONTROL_H
#define WISTERIA_FLEET_FLEET_CONTROL_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/fleet_control_defs.h"

bool fleet_control_init(fleet_control_t *control, net_t *net,
			const settings_t *settings,
			const fleet_dialect_t *dialect,
			err_t *err) ATTR_WARN_UNUSED;
void fleet_control_set_seeds(fleet_control_t *control,
			     const settings_fleet_t *fleet) ATTR_NONNULL_ALL;
void fleet_control_pass_on(fleet_control_t *control) ATTR_NONNULL_ALL;
void fleet_control_drain(fleet_control_t *control) ATTR_NONNULL_ALL;
bool fleet_control_is_idle(const fleet_control_t *control) ATTR_NONNULL_ALL;
void fleet_control_close(fleet_control_t *control) ATTR_NONNULL_ALL;
void fleet_control_finish(fleet_control_t *control) ATTR_NONNULL_ALL;

#endif
