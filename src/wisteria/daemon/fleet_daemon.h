#ifndef WISTERIA_DAEMON_FLEET_DAEMON_H
#define WISTERIA_DAEMON_FLEET_DAEMON_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/dialect.h"
#include "wisteria/settings/settings_defs.h"

bool fleet_daemon_run(const settings_t *settings, const char *settings_path,
		      const fleet_dialect_t *dialect,
		      err_t *err) ATTR_WARN_UNUSED;

#endif
