#ifndef WISTERIA_NET_LISTENER_H
#define WISTERIA_NET_LISTENER_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/net/net_defs.h"

bool listener_init(listener_t *listener, net_t *net, const char *address,
		   conn_handler_t *handler, err_t *err) ATTR_WARN_UNUSED;
void listener_close(listener_t *listener) ATTR_NONNULL_ALL;

#endif
