/*
 * Mutual authentication of a connection with the cluster key.  Each side
 * proves knowledge of the key with a MAC over its role (whether it connected or
 * accepted), both nonces, its incarnation and its instance name.  The role
 * prevents reflection of a MAC, and the nonces prevent replay.
 */
#include "wisteria/net/auth.h"

#include <string.h>

#include <sodium.h>

typedef struct {
	bool is_connector; /* only its conn_t has a link */
	const uint8_t *nonce;
	const uint8_t *other_nonce;
	const char *instance;
	uint64_t incarnation;
} auth_side_t;

static void compute_mac(const uint8_t *key, const auth_side_t *side,
			uint8_t mac[AUTH_MAC_BYTES])
{
	crypto_auth_hmacsha256_state state;
	uint8_t role = side->is_connector ? 1 : 2;
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

/* Computes the MAC that proves to the peer of "conn" that we have the key. */
void auth_compute_mac(const conn_t *conn, uint8_t mac[AUTH_MAC_BYTES])
{
	const auth_side_t side = {
		.is_connector = conn->link != NULL,
		.nonce = conn->own_nonce,
		.other_nonce = conn->peer_nonce,
		.instance = conn->net->instance,
		.incarnation = conn->net->incarnation,
	};

	compute_mac(conn->net->key, &side, mac);
}

/* Returns whether "mac" proves that the peer of "conn" has the key. */
bool auth_verify_mac(const conn_t *conn, bytes_t mac)
{
	const auth_side_t side = {
		.is_connector = conn->link == NULL,
		.nonce = conn->peer_nonce,
		.other_nonce = conn->own_nonce,
		.instance = conn->peer_instance,
		.incarnation = conn->peer_incarnation,
	};
	uint8_t expected[AUTH_MAC_BYTES];

	if (mac.len != sizeof(expected))
		return false;
	compute_mac(conn->net->key, &side, expected);
	return sodium_memcmp(expected, mac.data, sizeof(expected)) == 0;
}
