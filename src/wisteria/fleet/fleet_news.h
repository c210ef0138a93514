#ifndef WISTERIA_FLEET_FLEET_NEWS_H
#define WISTERIA_FLEET_FLEET_NEWS_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/fleet/registry_defs.h"

/* An endpoint is described in full again this often, for whoever missed it. */
#define FLEET_NEWS_FULL_MS 10000

/* What subscribers have been told in full. */
typedef struct {
	GHashTable *by_id; /* endpoint id -> told_endpoint_t */
} fleet_told_t;

/* News for several subscribers; the strings are those of the registry. */
typedef struct {
	GArray *full;  /* of msg_fleet_endpoint_t */
	GArray *alive; /* of msg_fleet_alive_t */
} fleet_news_t;

void fleet_told_init(fleet_told_t *told) ATTR_NONNULL_ALL;
void fleet_told_finish(fleet_told_t *told) ATTR_NONNULL_ALL;
void fleet_news_init(fleet_news_t *news, const registry_t *registry,
		     GHashTable *ids, fleet_told_t *told, clock_ms_t now)
	ATTR_NONNULL(1, 2);
void fleet_news_finish(fleet_news_t *news) ATTR_NONNULL_ALL;
msg_fleet_endpoints_t
fleet_news_message(const fleet_news_t *news) ATTR_NONNULL_ALL;
void fleet_news_encode(const registry_t *registry, clock_ms_t now,
		       msgpack_sbuffer *out) ATTR_NONNULL_ALL;
void fleet_news_read(const msg_fleet_endpoint_t *message, clock_ms_t now,
		     endpoint_t *endpoint) ATTR_NONNULL_ALL;

#endif
