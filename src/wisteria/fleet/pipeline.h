#ifndef WISTERIA_FLEET_PIPELINE_H
#define WISTERIA_FLEET_PIPELINE_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/pipeline_defs.h"

pipeline_result_t pipeline_choose(const pipeline_stage_t *stages,
				  uint32_t count, const pipeline_query_t *query,
				  pipeline_t *pipeline)
	ATTR_NONNULL(3, 4) ATTR_WARN_UNUSED;

#endif
