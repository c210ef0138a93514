#ifndef WISTERIA_DAEMON_DAEMON_H
#define WISTERIA_DAEMON_DAEMON_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/settings/settings_defs.h"

bool daemon_run(const settings_t *settings,
		err_t *err) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
