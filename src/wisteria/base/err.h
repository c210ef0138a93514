#ifndef WISTERIA_BASE_ERR_H
#define WISTERIA_BASE_ERR_H

#include <stdbool.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"

void err_set(err_t *err, err_code_t code, const char *step, const char *peer,
	     const char *format, ...) ATTR_PRINTF(5, 6) ATTR_NONNULL(3, 4, 5);
bool err_is_set(const err_t *err);
void err_clear(err_t *err);
const char *err_code_name(err_code_t code);

#endif
