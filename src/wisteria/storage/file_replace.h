#ifndef WISTERIA_STORAGE_FILE_REPLACE_H
#define WISTERIA_STORAGE_FILE_REPLACE_H

#include <stdbool.h>
#include <stddef.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"

bool file_replace(const char *folder, const char *name, const void *data,
		  size_t len, err_t *err) ATTR_WARN_UNUSED;

#endif
