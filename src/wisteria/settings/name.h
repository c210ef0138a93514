#ifndef WISTERIA_SETTINGS_NAME_H
#define WISTERIA_SETTINGS_NAME_H

#include <stdbool.h>

#include "wisteria/base/macros_defs.h"

#define NAME_LEN_MAX 63

bool name_is_valid(const char *name, const char *extra) ATTR_NONNULL_ALL;

#endif
