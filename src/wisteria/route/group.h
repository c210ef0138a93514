#ifndef WISTERIA_ROUTE_GROUP_H
#define WISTERIA_ROUTE_GROUP_H

#include <stddef.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/route/candidate_defs.h"
#include "wisteria/route/group_defs.h"

void group_finish(group_t *group) ATTR_NONNULL_ALL;
void group_add(group_t *group, const table_t *candidates, handle_t handle,
	       double key) ATTR_NONNULL_ALL;
void group_set_key(group_t *group, const table_t *candidates, uint32_t index,
		   double key) ATTR_NONNULL_ALL;
size_t group_best(const group_t *group, size_t count,
		  group_entry_t best[GROUP_BEST_MAX]) ATTR_NONNULL_ALL;

#endif
