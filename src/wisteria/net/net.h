#ifndef WISTERIA_NET_NET_H
#define WISTERIA_NET_NET_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/net/net_defs.h"

bool net_parse_address(const char *text, struct sockaddr_storage *address,
		       err_t *err) ATTR_WARN_UNUSED;
bool net_is_acknowledged(int fd) ATTR_WARN_UNUSED;
bool net_load_key(const char *path, uint8_t key[NET_KEY_BYTES],
		  err_t *err) ATTR_WARN_UNUSED;
void net_init(net_t *net, uv_loop_t *loop, const clock_source_t *clock,
	      const char *instance, const char *failure_domain,
	      uint64_t incarnation,
	      const uint8_t key[NET_KEY_BYTES]) ATTR_NONNULL_ALL;
void net_flush(net_t *net) ATTR_NONNULL_ALL;
void net_close(net_t *net) ATTR_NONNULL_ALL;

#endif
