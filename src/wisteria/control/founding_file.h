#ifndef WISTERIA_CONTROL_FOUNDING_FILE_H
#define WISTERIA_CONTROL_FOUNDING_FILE_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/control/founding_defs.h"

bool founding_file_save(const char *folder, const founding_t *founding,
			err_t *err) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool founding_file_load(const char *folder, const char *own_address,
			founding_t *founding, bool *found,
			err_t *err) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
