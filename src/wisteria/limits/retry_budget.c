/*
 * A retry budget: limits retries to a fraction of the original requests, so
 * that retries can't amplify an outage (Beyer et al., "Site Reliability
 * Engineering", 2016, chapter 21).
 */
#include "wisteria/limits/retry_budget.h"

#include <glib.h>

/* One retry, in the unit of the balance. */
#define RETRY_COST 100
/* Retries available before the first request. */
#define INITIAL_RETRIES 10
/* Most unused retries that accumulate. */
#define SAVED_RETRIES_MAX 100

/* Initializes a budget of "percent" retries per 100 original requests. */
void retry_budget_init(retry_budget_t *budget, uint32_t percent)
{
	*budget = (retry_budget_t){
		.percent = percent,
		.balance = percent > 0 ? INITIAL_RETRIES * RETRY_COST : 0,
	};
}

/*
 * Changes the fraction.  The balance is kept, unless the old or the new
 * fraction is 0: then the budget is initialized again.
 */
void retry_budget_set_percent(retry_budget_t *budget, uint32_t percent)
{
	if (percent == 0 || budget->percent == 0)
		retry_budget_init(budget, percent);
	budget->percent = percent;
}

/* Adds the fraction that one original request earns to the budget. */
void retry_budget_count_request(retry_budget_t *budget)
{
	const uint64_t balance = (uint64_t)budget->balance + budget->percent;

	budget->balance =
		(uint32_t)MIN(balance, SAVED_RETRIES_MAX * RETRY_COST);
}

/* Takes one retry from the budget; returns false if the budget is spent. */
bool retry_budget_take(retry_budget_t *budget)
{
	if (budget->balance < RETRY_COST)
		return false;
	budget->balance -= RETRY_COST;
	return true;
}
