#ifndef WISTERIA_FLEET_FLEET_UPDATE_H
#define WISTERIA_FLEET_FLEET_UPDATE_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/fleet/part_guard_defs.h"
#include "wisteria/fleet/registry_defs.h"

/*
 * An unchanged endpoint is described in full again at this interval, for
 * receivers that missed the last description.
 */
#define FLEET_UPDATE_FULL_INTERVAL_MS 10000

/* The endpoint descriptions that subscribers were last sent in full. */
typedef struct {
	GHashTable *by_id; /* endpoint id -> sent_endpoint_t */
} fleet_sent_t;

/* An update for subscribers; its strings belong to the registry. */
typedef struct {
	GArray *full;  /* of msg_fleet_endpoint_t */
	GArray *alive; /* of msg_fleet_alive_t */
} fleet_update_t;

msg_fleet_endpoint_t
fleet_update_describe(const endpoint_t *endpoint,
		      clock_ms_t now) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void fleet_sent_init(fleet_sent_t *sent) ATTR_NONNULL_ALL;
void fleet_sent_finish(fleet_sent_t *sent) ATTR_NONNULL_ALL;
void fleet_update_init(fleet_update_t *update, const registry_t *registry,
		       GHashTable *ids, fleet_sent_t *sent, clock_ms_t now)
	ATTR_NONNULL(1, 2);
void fleet_update_finish(fleet_update_t *update) ATTR_NONNULL_ALL;
msg_fleet_endpoints_t
fleet_update_message(const fleet_update_t *update) ATTR_NONNULL_ALL;
void fleet_update_encode(const registry_t *registry, const part_guard_t *parts,
			 uint32_t entries, clock_ms_t now,
			 msgpack_sbuffer *out) ATTR_NONNULL_ALL;
void fleet_update_read_endpoint(const msg_fleet_endpoint_t *message,
				clock_ms_t now,
				endpoint_t *endpoint) ATTR_NONNULL_ALL;

#endif
