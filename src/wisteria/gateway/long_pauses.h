#ifndef WISTERIA_GATEWAY_LONG_PAUSES_H
#define WISTERIA_GATEWAY_LONG_PAUSES_H

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/registry_defs.h"

/*
 * For how long a pause tells about an endpoint.  With 10 s, a stream was cut
 * again when the endpoint that served none meanwhile was forgotten; three
 * streams with such pauses take 12 s.
 */
#define LONG_PAUSES_AGE_MS 30000

/* The last long pause of a stream at each endpoint. */
typedef struct {
	GHashTable *by_id; /* endpoint id -> its last pause */
} long_pauses_t;

void long_pauses_init(long_pauses_t *pauses) ATTR_NONNULL_ALL;
void long_pauses_finish(long_pauses_t *pauses) ATTR_NONNULL_ALL;
void long_pauses_add(long_pauses_t *pauses, const char *id, clock_ms_t pause_ms,
		     clock_ms_t now) ATTR_NONNULL_ALL;
clock_ms_t long_pauses_expected(const long_pauses_t *pauses,
				const char (*ids)[ENDPOINT_ID_BYTES],
				uint32_t count,
				clock_ms_t now) ATTR_NONNULL_ALL;
void long_pauses_expire(long_pauses_t *pauses, clock_ms_t now) ATTR_NONNULL_ALL;

#endif
