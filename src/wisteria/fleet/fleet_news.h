#ifndef WISTERIA_FLEET_FLEET_NEWS_H
#define WISTERIA_FLEET_FLEET_NEWS_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/registry_defs.h"
#include "wisteria/fleet/subscription_defs.h"
#include "wisteria/net/net_defs.h"

void fleet_news_send(conn_t *conn, const GPtrArray *endpoints,
		     clock_ms_t now) ATTR_NONNULL_ALL;
void fleet_news_send_up(subscription_t *subscription,
			const GPtrArray *endpoints,
			clock_ms_t now) ATTR_NONNULL_ALL;
GPtrArray *fleet_news_of(const registry_t *registry, GHashTable *ids)
	ATTR_NONNULL(1) ATTR_WARN_UNUSED;
void fleet_news_encode(const registry_t *registry, clock_ms_t now,
		       msgpack_sbuffer *out) ATTR_NONNULL_ALL;
void fleet_news_read(const msg_fleet_endpoint_t *message, clock_ms_t now,
		     endpoint_t *endpoint) ATTR_NONNULL_ALL;

#endif
