/* Loading and checking of the operators' bearer token. */
#include "wisteria/admin/token.h"

#include <string.h>

#include <glib.h>
#include <sodium.h>

#include "wisteria/base/err.h"

#define ADMIN_TOKEN_LEN_MIN 8

static void hash_token(const char *text, uint8_t hash[ADMIN_TOKEN_HASH_BYTES])
{
	crypto_generichash(hash, ADMIN_TOKEN_HASH_BYTES, (const uint8_t *)text,
			   strlen(text), NULL, 0);
}

/* Reads the token from the file "path" and strips surrounding whitespace. */
bool admin_token_load(admin_token_t *token, const char *path, err_t *err)
{
	gchar *text = NULL;
	size_t len;

	memset(token, 0, sizeof(*token));
	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		err_set(err, ERR_IO, "load_token", path,
			"cannot read the file");
		return false;
	}
	g_strstrip(text);
	len = strlen(text);
	hash_token(text, token->hash);
	sodium_memzero(text, len);
	g_free(text);
	token->is_loaded = len >= ADMIN_TOKEN_LEN_MIN;
	if (!token->is_loaded)
		err_set(err, ERR_INVALID, "load_token", path,
			"the token must have at least %d bytes",
			ADMIN_TOKEN_LEN_MIN);
	return token->is_loaded;
}

/*
 * Returns whether "text" is the token; false for NULL.  Compares hashes in
 * constant time, so that the duration reveals nothing about the token.
 */
bool admin_token_matches(const admin_token_t *token, const char *text)
{
	uint8_t hash[ADMIN_TOKEN_HASH_BYTES];

	if (!token->is_loaded || text == NULL)
		return false;
	hash_token(text, hash);
	return sodium_memcmp(hash, token->hash, sizeof(hash)) == 0;
}
