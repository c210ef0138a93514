/*
 * A retry budget: retries are a fraction of the fresh requests, so that they
 * never multiply an outage (Beyer et al., "Site Reliability Engineering",
 * 2016, chapter 21).
 */
#include "wisteria/limits/retry_budget.h"

#include <glib.h>

#define RETRY_COST 100
/* Retries that an entry without recent requests may make. */
#define INITIAL_RETRIES 10
/* Retries that may be saved up. */
#define SAVED_RETRIES_MAX 100

/* Makes a budget of "percent" retries for each 100 fresh requests. */
void retry_budget_init(retry_budget_t *budget, uint32_t percent)
{
	*budget = (retry_budget_t){
		.percent = percent,
		.balance = percent > 0 ? INITIAL_RETRIES * RETRY_COST : 0,
	};
}

/*
 * Changes the fraction; what has been saved up stays, but for a budget that
 * allowed nothing before, which begins anew.
 */
void retry_budget_set_percent(retry_budget_t *budget, uint32_t percent)
{
	if (percent == 0 || budget->percent == 0)
		retry_budget_init(budget, percent);
	budget->percent = percent;
}

/* A fresh request came in. */
void retry_budget_fresh(retry_budget_t *budget)
{
	const uint64_t balance = (uint64_t)budget->balance + budget->percent;

	budget->balance =
		(uint32_t)MIN(balance, SAVED_RETRIES_MAX * RETRY_COST);
}

/* Takes one retry from the budget; returns false if there is none. */
bool retry_budget_take(retry_budget_t *budget)
{
	if (budget->balance < RETRY_COST)
		return false;
	budget->balance -= RETRY_COST;
	return true;
}
