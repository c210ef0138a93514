#ifndef WISTERIA_FLEET_FLEET_GROUP_H
#define WISTERIA_FLEET_FLEET_GROUP_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/fleet_control_defs.h"

void fleet_group_tick_controls(fleet_control_t *control,
			       clock_ms_t now) ATTR_NONNULL_ALL;
void fleet_group_try_start(fleet_control_t *control,
			   clock_ms_t now) ATTR_NONNULL_ALL;
void fleet_group_update_contacts(fleet_control_t *control) ATTR_NONNULL_ALL;
bool fleet_group_forwards(const fleet_control_t *control) ATTR_NONNULL_ALL;
bool fleet_group_is_reachable(const fleet_control_t *control) ATTR_NONNULL_ALL;
void fleet_group_check_pause(fleet_control_t *control,
			     clock_ms_t now) ATTR_NONNULL_ALL;
void fleet_group_confirm(fleet_control_t *control,
			 uint64_t ticket) ATTR_NONNULL_ALL;
bool fleet_group_leads(const fleet_control_t *control) ATTR_NONNULL_ALL;
const char *
fleet_group_leader_address(const fleet_control_t *control) ATTR_NONNULL_ALL;

#endif
