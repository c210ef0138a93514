/*
 * Divides the capacity of a service among the ranks of its requests.  Each rank
 * gets a minimum in proportion to its demand; the rest is given to the ranks in
 * order.  Engines prefill the more urgent requests first, so a rank that gets no
 * more than the minimum would get nothing under a lasting shortage; the minimum
 * of its requests is promoted to rank 0 instead.  No clock, no I/O.
 */
#include "wisteria/fleet/admission_shares.h"

#include <glib.h>

/* Waiting requests are to be started in this time, as the plan drains backlog. */
#define WAITING_DRAIN_MS 1000

/*
 * The plan fills endpoints up to this part of their prefill rate.  Under a
 * shortage they prefill more, and the minimum is relative to what is served.
 */
#define PLANNED_PART 0.85
/*
 * The minimum is exceeded by this factor: demand is an average, and a rank may
 * arrive faster for a while.
 */
#define FLOOR_MARGIN 1.1
/* Least part of the capacity that a rank is taken to have. */
#define LEFT_MIN 0.05

static void admit_all(admission_shares_t *shares)
{
	for (int32_t rank = 0; rank < REQUEST_RANKS; rank++) {
		shares->admitted[rank] = 1;
		shares->promoted[rank] = 0;
		shares->left[rank] = 1;
	}
	shares->level = REQUEST_RANKS - 1;
}

/*
 * Gives the ranks the minimum, which is "floor" of what arrives, and "rest" in
 * order.  A rank without demand gets the fraction that its first request would.
 */
static void admit_in_order(const double demand[REQUEST_RANKS],
			   const double waiting_tokens[REQUEST_RANKS],
			   double floor, double rest,
			   admission_shares_t *shares)
{
	/* Part of what arrives with rank 0 that is served, promoted or not. */
	double urgent_part = 1;

	shares->level = REQUEST_RANK_NONE;
	for (int32_t rank = 0; rank < REQUEST_RANKS; rank++) {
		double arriving = MAX(demand[rank], 0);
		double wanted = arriving +
				MAX(waiting_tokens[rank], 0) / WAITING_DRAIN_MS;
		double kept = floor * arriving;

		shares->promoted[rank] = 0;
		if (rest > 0 && rest >= wanted - kept) {
			shares->admitted[rank] = 1;
			shares->level = rank;
			rest -= wanted - kept;
			continue;
		}
		shares->admitted[rank] = floor;
		if (rank == 0 && arriving > 0)
			urgent_part = MIN((kept + rest) / arriving, 1);
		if (rest > 0)
			shares->admitted[rank] =
				MAX((kept + rest) / wanted, floor);
		else if (floor > 0)
			shares->promoted[rank] = floor / urgent_part;
		rest = 0;
	}
}

/* What arrives with more urgent ranks is prefilled first. */
static void count_left(const double demand[REQUEST_RANKS], double capacity,
		       admission_shares_t *shares)
{
	double urgent = 0;

	for (int32_t rank = 0; rank < REQUEST_RANKS; rank++) {
		shares->left[rank] = LEFT_MIN;
		if (capacity > 0)
			shares->left[rank] = MAX(
				1 - PLANNED_PART * urgent / capacity, LEFT_MIN);
		urgent += MAX(demand[rank], 0);
	}
}

/*
 * Divides "capacity", that of the traffic plan, among the ranks.  "demand" and
 * "capacity" are in prompt tokens per ms, "demand" being what arrives;
 * "waiting_tokens" are the prompt tokens of requests that wait unsent.  If the
 * capacity suffices for what arrives, all ranks are admitted in full, and what
 * waits gets the rest.  Otherwise what waits also counts as demand, but not for
 * the minimum: a rank whose requests are refused at once would get too little.
 */
void admission_shares_compute(const double demand[REQUEST_RANKS],
			      const double waiting_tokens[REQUEST_RANKS],
			      double capacity, admission_shares_t *shares)
{
	double total = 0;
	double floor;

	for (int32_t rank = 0; rank < REQUEST_RANKS; rank++)
		total += MAX(demand[rank], 0);
	if (total <= capacity || total <= 0) {
		admit_all(shares);
		return;
	}
	capacity = MAX(capacity, 0);
	floor = ADMISSION_SHARES_FLOOR * FLOOR_MARGIN *
		MIN(capacity / PLANNED_PART / total, 1);
	admit_in_order(demand, waiting_tokens, floor, capacity - floor * total,
		       shares);
	count_left(demand, capacity, shares);
}

/* Returns whether the next request would be promoted; counts nothing. */
bool admission_shares_would_promote(double credit, double fraction)
{
	return fraction > 0 && credit >= 0;
}

/*
 * Returns whether a request of "tokens" prompt tokens is promoted, given the
 * fraction of its rank, and counts it.  "credit" is kept by the caller for each
 * rank, and 0 at first.  Over all requests, the fraction holds in tokens; it
 * does not depend on a request's own size, or large ones would hardly ever, or
 * mostly, be promoted.
 */
bool admission_shares_promote(double *credit, double fraction, double tokens)
{
	bool is_promoted = admission_shares_would_promote(*credit, fraction);

	*credit += (fraction - is_promoted) * tokens;
	return is_promoted;
}
