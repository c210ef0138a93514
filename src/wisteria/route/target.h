#ifndef WISTERIA_ROUTE_TARGET_H
#define WISTERIA_ROUTE_TARGET_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/route/candidate_defs.h"
#include "wisteria/route/target_defs.h"

target_t *target_new(void);
void target_free(target_t *target);
void target_add_range(target_t *target, uint32_t first_layer,
		      uint32_t end_layer) ATTR_NONNULL_ALL;
void target_find_predecessors(target_t *target) ATTR_NONNULL_ALL;
range_t *target_find_range(const target_t *target, uint32_t first_layer,
			   uint32_t end_layer) ATTR_NONNULL_ALL;
uint32_t range_group_index(range_t *range, uint32_t domain) ATTR_NONNULL_ALL;
bool target_is_covered(const target_t *target,
		       uint32_t layers) ATTR_NONNULL_ALL;

#endif
