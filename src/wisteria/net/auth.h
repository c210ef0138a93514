#ifndef WISTERIA_NET_AUTH_H
#define WISTERIA_NET_AUTH_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/net/net_defs.h"

#define AUTH_MAC_BYTES 32

void auth_compute_mac(const conn_t *conn,
		      uint8_t mac[AUTH_MAC_BYTES]) ATTR_NONNULL_ALL;
bool auth_verify_mac(const conn_t *conn,
		     bytes_t mac) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
