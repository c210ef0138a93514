#ifndef WISTERIA_FLEET_PLACER_H
#define WISTERIA_FLEET_PLACER_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/placer_defs.h"

void placer_init(placer_t *placer, uv_loop_t *loop,
		 const fleet_dialect_t *dialect, const registry_t *registry,
		 const prober_t *prober,
		 const clock_source_t *clock) ATTR_NONNULL_ALL;
void placer_finish(placer_t *placer) ATTR_NONNULL_ALL;
void placer_reset(placer_t *placer) ATTR_NONNULL_ALL;
void placer_tick(placer_t *placer, const route_table_t *table,
		 uint64_t fencing_token) ATTR_NONNULL_ALL;

#endif
