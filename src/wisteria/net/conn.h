#ifndef WISTERIA_NET_CONN_H
#define WISTERIA_NET_CONN_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/net/net_defs.h"

conn_t *conn_new(net_t *net, conn_handler_t *handler) ATTR_NONNULL_ALL;
void conn_start(conn_t *conn) ATTR_NONNULL_ALL;
void conn_send(conn_t *conn, msg_type_t type,
	       const void *body) ATTR_NONNULL_ALL;
void conn_mark_busy(conn_t *conn) ATTR_NONNULL_ALL;
void conn_unmark_busy(conn_t *conn) ATTR_NONNULL_ALL;
void conn_close(conn_t *conn, const err_t *why) ATTR_NONNULL_ALL;
void conn_flush(conn_t *conn) ATTR_NONNULL_ALL;
void conn_extend_timeouts(conn_t *conn, clock_ms_t delay) ATTR_NONNULL_ALL;
void conn_tick(conn_t *conn, clock_ms_t now) ATTR_NONNULL_ALL;

#endif
