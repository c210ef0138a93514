#ifndef WISTERIA_ROUTE_CANDIDATE_H
#define WISTERIA_ROUTE_CANDIDATE_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/route/candidate_defs.h"

void candidate_update(candidate_t *candidate,
		      const msg_endpoint_t *endpoint) ATTR_NONNULL_ALL;
void candidate_record_load(candidate_t *candidate, const msg_load_t *load,
			   clock_ms_t now) ATTR_NONNULL_ALL;
void candidate_record_failure(candidate_t *candidate,
			      clock_ms_t now) ATTR_NONNULL_ALL;
candidate_state_t candidate_state(const candidate_t *candidate,
				  clock_ms_t now) ATTR_NONNULL_ALL;
double candidate_expected_step_ms(const candidate_t *candidate, double step_ms,
				  clock_ms_t now) ATTR_NONNULL_ALL;

#endif
