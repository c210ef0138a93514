#ifndef WISTERIA_NET_LINK_H
#define WISTERIA_NET_LINK_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/net/net_defs.h"

void link_init(link_t *link, net_t *net, const char *address,
	       conn_handler_t *handler) ATTR_NONNULL_ALL;
void link_finish(link_t *link) ATTR_NONNULL_ALL;
bool link_is_open(const link_t *link) ATTR_NONNULL_ALL;
bool link_is_refused(const link_t *link) ATTR_NONNULL_ALL;
bool link_send(link_t *link, msg_type_t type,
	       const void *body) ATTR_NONNULL_ALL;
void link_mark_busy(link_t *link) ATTR_NONNULL_ALL;
void link_unmark_busy(link_t *link) ATTR_NONNULL_ALL;
void link_tick(link_t *link, clock_ms_t now) ATTR_NONNULL_ALL;
void link_on_conn_closed(link_t *link, const conn_t *conn) ATTR_NONNULL_ALL;
void link_on_conn_opened(link_t *link) ATTR_NONNULL_ALL;

#endif
