#ifndef WISTERIA_ADMIN_TOKEN_H
#define WISTERIA_ADMIN_TOKEN_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"

#define ADMIN_TOKEN_HASH_BYTES 32

/* The hash of the operators' bearer token. */
typedef struct {
	uint8_t hash[ADMIN_TOKEN_HASH_BYTES];
	bool is_loaded;
} admin_token_t;

bool admin_token_load(admin_token_t *token, const char *path,
		      err_t *err) ATTR_WARN_UNUSED;
bool admin_token_matches(const admin_token_t *token, const char *text)
	ATTR_NONNULL(1) ATTR_WARN_UNUSED;

#endif
