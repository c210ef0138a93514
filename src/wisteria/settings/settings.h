#ifndef WISTERIA_SETTINGS_SETTINGS_H
#define WISTERIA_SETTINGS_SETTINGS_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/settings/settings_defs.h"

settings_t *settings_load(const char *path, err_t *err) ATTR_WARN_UNUSED;
void settings_free(settings_t *settings);
char *
settings_fleet_peer_address(const settings_fleet_t *fleet,
			    const char *seed) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool settings_has_role(const settings_t *settings,
		       const char *role) ATTR_NONNULL_ALL;

#endif
