#ifndef WISTERIA_FLEET_REGISTRY_H
#define WISTERIA_FLEET_REGISTRY_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/registry_defs.h"

/*
 * An endpoint is not used after this long without a heartbeat while others
 * still send theirs: three heartbeats of 1.2 s.
 */
#define REGISTRY_SILENCE_MS 3600
/* An endpoint is removed after this long without a heartbeat. */
#define REGISTRY_EXPIRY_MS 60000

void registry_init(registry_t *registry) ATTR_NONNULL_ALL;
void registry_finish(registry_t *registry) ATTR_NONNULL_ALL;
registry_update_result_t
registry_update(registry_t *registry, const endpoint_t *update,
		clock_ms_t last_heard_ms) ATTR_NONNULL_ALL;
bool registry_record_heartbeat(registry_t *registry, const char *id,
			       uint64_t incarnation, uint64_t sequence,
			       clock_ms_t last_heard_ms) ATTR_NONNULL_ALL;
const char *endpoint_defect(const endpoint_t *endpoint) ATTR_NONNULL_ALL;
bool endpoint_state_equal(const endpoint_t *a,
			  const endpoint_t *b) ATTR_NONNULL_ALL;
bool registry_mark_unreachable(registry_t *registry, const char *id,
			       uint64_t incarnation) ATTR_NONNULL_ALL;
const endpoint_t *registry_mark_gone(registry_t *registry, const char *id,
				     clock_ms_t now) ATTR_NONNULL_ALL;
const endpoint_t *registry_find(const registry_t *registry,
				const char *id) ATTR_NONNULL_ALL;
bool registry_is_silent(const registry_t *registry,
			const endpoint_t *endpoint) ATTR_NONNULL_ALL;
bool registry_is_usable(const registry_t *registry,
			const endpoint_t *endpoint) ATTR_NONNULL_ALL;
void registry_remove_expired(registry_t *registry,
			     clock_ms_t now) ATTR_NONNULL_ALL;
uint32_t registry_domain_index(GPtrArray *names,
			       const char *name) ATTR_NONNULL_ALL;

#endif
