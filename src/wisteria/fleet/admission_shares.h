#ifndef WISTERIA_FLEET_ADMISSION_SHARES_H
#define WISTERIA_FLEET_ADMISSION_SHARES_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/routes_defs.h"

/*
 * Least served fraction of the demand of a rank, relative to the served
 * fraction of all demand.  Requirement R5 in docs/design/demand.md.
 */
#define ADMISSION_SHARES_FLOOR 0.3

/* How the capacity of a service is divided among the ranks. */
typedef struct {
	/* Fraction of the demand of a rank that the capacity suffices for. */
	double admitted[REQUEST_RANKS];
	/* Fraction of the requests of a rank that are sent with rank 0. */
	double promoted[REQUEST_RANKS];
	/* Part of the capacity that the more urgent ranks leave for a rank. */
	double left[REQUEST_RANKS];
	/* Least urgent rank that is admitted in full, or REQUEST_RANK_NONE. */
	int32_t level;
} admission_shares_t;

void admission_shares_compute(const double demand[REQUEST_RANKS],
			      const double waiting_tokens[REQUEST_RANKS],
			      double capacity,
			      admission_shares_t *shares) ATTR_NONNULL_ALL;
bool admission_shares_would_promote(double credit,
				    double fraction) ATTR_WARN_UNUSED;
bool admission_shares_promote(double *credit, double fraction,
			      double tokens) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
