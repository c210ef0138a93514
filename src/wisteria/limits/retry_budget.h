#ifndef WISTERIA_LIMITS_RETRY_BUDGET_H
#define WISTERIA_LIMITS_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/macros_defs.h"

/* The retry budget of one entry. */
typedef struct {
	uint32_t percent; /* retries per 100 original requests */
	uint32_t balance; /* remaining budget, in hundredths of a retry */
} retry_budget_t;

void retry_budget_init(retry_budget_t *budget,
		       uint32_t percent) ATTR_NONNULL_ALL;
void retry_budget_set_percent(retry_budget_t *budget,
			      uint32_t percent) ATTR_NONNULL_ALL;
void retry_budget_count_request(retry_budget_t *budget) ATTR_NONNULL_ALL;
bool retry_budget_take(retry_budget_t *budget)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
