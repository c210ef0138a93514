#ifndef WISTERIA_DAEMON_FLEET_WHERE_H
#define WISTERIA_DAEMON_FLEET_WHERE_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/gateway/gateway_defs.h"

void fleet_where_reply(const gateway_t *gateway, const char *query,
		       http_conn_t *conn) ATTR_NONNULL_ALL;

#endif
