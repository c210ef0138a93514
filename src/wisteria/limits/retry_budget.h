#ifndef WISTERIA_LIMITS_RETRY_BUDGET_H
#define WISTERIA_LIMITS_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/macros_defs.h"

/* How many retries one entry may still make; in hundredths of a retry. */
typedef struct {
	uint32_t percent;
	uint32_t balance;
} retry_budget_t;

void retry_budget_init(retry_budget_t *budget,
		       uint32_t percent) ATTR_NONNULL_ALL;
void retry_budget_set_percent(retry_budget_t *budget,
			      uint32_t percent) ATTR_NONNULL_ALL;
void retry_budget_fresh(retry_budget_t *budget) ATTR_NONNULL_ALL;
bool retry_budget_take(retry_budget_t *budget)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
