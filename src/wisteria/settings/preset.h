#ifndef WISTERIA_SETTINGS_PRESET_H
#define WISTERIA_SETTINGS_PRESET_H

#include <stdbool.h>
#include <stddef.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/settings/preset_defs.h"

#define PRESET_KEY_HASH_BYTES 32
#define PRESET_TEXT_BYTES_MAX (2u << 20)

preset_t *preset_parse(const char *text, size_t len,
		       err_t *err) ATTR_WARN_UNUSED;
void preset_free(preset_t *preset);
const preset_model_t *preset_find_model(const preset_t *preset,
					const char *name) ATTR_NONNULL_ALL;
const preset_service_t *preset_find_service(const preset_t *preset,
					    const char *name) ATTR_NONNULL_ALL;
const preset_contract_t *
preset_find_contract(const preset_t *preset,
		     const char *customer) ATTR_NONNULL_ALL;
const preset_contract_t *
preset_find_contract_by_key(const preset_t *preset,
			    const char *api_key) ATTR_NONNULL_ALL;
bool preset_method_is_idempotent(const preset_service_t *service,
				 const char *method) ATTR_NONNULL_ALL;
void preset_hash_key(const char *api_key,
		     char hex[2 * PRESET_KEY_HASH_BYTES + 1]) ATTR_NONNULL_ALL;

#endif
