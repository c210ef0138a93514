/*
 * Mutual authentication of a connection with the cluster key.  Each side
 * proves the key by a MAC over both nonces, its own identity and whether it
 * connected or accepted, so that a MAC cannot be reflected or replayed.
 */
#include "wisteria/net/auth.h"

#include <string.h>

#include <sodium.h>

typedef struct {
	bool connector;
	const uint8_t *nonce;
	const uint8_t *other_nonce;
	const char *instance;
	uint64_t incarnation;
} auth_side_t;

static void compute(const uint8_t *key, const auth_side_t *side,
		    uint8_t mac[AUTH_MAC_BYTES])
{
	crypto_auth_hmacsha256_state state;
	uint8_t role = side->connector ? 1 : 2;
	uint8_t incarnation[8];

	for (size_t i = 0; i < sizeof(incarnation); i++)
		incarnation[i] = (uint8_t)(side->incarnation >> (8 * i));
	crypto_auth_hmacsha256_init(&state, key, NET_KEY_BYTES);
	crypto_auth_hmacsha256_update(&state, &role, sizeof(role));
	crypto_auth_hmacsha256_update(&state, side->nonce, NET_NONCE_BYTES);
	crypto_auth_hmacsha256_update(&state, side->other_nonce,
				      NET_NONCE_BYTES);
	crypto_auth_hmacsha256_update(&state, incarnation, sizeof(incarnation));
	crypto_auth_hmacsha256_update(&state, (const uint8_t *)side->instance,
				      strlen(side->instance));
	crypto_auth_hmacsha256_final(&state, mac);
}

/* Computes the MAC with which this side of "conn" proves the key. */
void auth_make(const conn_t *conn, uint8_t mac[AUTH_MAC_BYTES])
{
	const auth_side_t side = {
		.connector = conn->link != NULL,
		.nonce = conn->own_nonce,
		.other_nonce = conn->peer_nonce,
		.instance = conn->net->instance,
		.incarnation = conn->net->incarnation,
	};

	compute(conn->net->key, &side, mac);
}

/* Returns whether "mac" proves that the peer of "conn" holds the key. */
bool auth_check(const conn_t *conn, bytes_t mac)
{
	const auth_side_t side = {
		.connector = conn->link == NULL,
		.nonce = conn->peer_nonce,
		.other_nonce = conn->own_nonce,
		.instance = conn->peer_instance,
		.incarnation = conn->peer_incarnation,
	};
	uint8_t expected[AUTH_MAC_BYTES];

	if (mac.len != sizeof(expected))
		return false;
	compute(conn->net->key, &side, expected);
	return sodium_memcmp(expected, mac.data, sizeof(expected)) == 0;
}
