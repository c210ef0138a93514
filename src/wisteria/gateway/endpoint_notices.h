#ifndef WISTERIA_GATEWAY_ENDPOINT_NOTICES_H
#define WISTERIA_GATEWAY_ENDPOINT_NOTICES_H

#include <glib.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/registry.h"

/* A pause that an endpoint asks for is cut to this: it is then forgotten. */
#define ENDPOINT_PAUSE_MAX_MS REGISTRY_EXPIRY_MS
/*
 * A pause is extended by up to this fraction of it, so that the entries do not
 * all return at the same moment, and by ENDPOINT_PAUSE_SPREAD_MAX_MS at most.
 */
#define ENDPOINT_PAUSE_SPREAD 0.25
#define ENDPOINT_PAUSE_SPREAD_MAX_MS 250

/* What endpoints have asked of this entry in their answers. */
typedef struct {
	GHashTable *by_id; /* endpoint id -> endpoint_notice_t */
} endpoint_notices_t;

void endpoint_notices_init(endpoint_notices_t *notices) ATTR_NONNULL_ALL;
void endpoint_notices_finish(endpoint_notices_t *notices) ATTR_NONNULL_ALL;
bool endpoint_notices_leave(endpoint_notices_t *notices,
			    const endpoint_t *endpoint) ATTR_NONNULL_ALL;
clock_ms_t endpoint_notices_pause(endpoint_notices_t *notices,
				  const endpoint_t *endpoint,
				  clock_ms_t pause_ms, double spread,
				  clock_ms_t now) ATTR_NONNULL_ALL;
bool endpoint_notices_is_leaving(const endpoint_notices_t *notices,
				 const endpoint_t *endpoint) ATTR_NONNULL_ALL;
clock_ms_t
endpoint_notices_pause_end(const endpoint_notices_t *notices,
			   const endpoint_t *endpoint) ATTR_NONNULL_ALL;
void endpoint_notices_expire(endpoint_notices_t *notices,
			     const registry_t *registry,
			     clock_ms_t now) ATTR_NONNULL_ALL;

#endif
