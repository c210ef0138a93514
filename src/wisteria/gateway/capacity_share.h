#ifndef WISTERIA_GATEWAY_CAPACITY_SHARE_H
#define WISTERIA_GATEWAY_CAPACITY_SHARE_H

#include <stdint.h>

#include "wisteria/base/macros_defs.h"

/* What an entry knows of an endpoint's memory, in tokens. */
typedef struct {
	double capacity;
	double used; /* by all entries, as far as known */
	/* Begun by this entry since the last sum over all entries. */
	double own_new;
} capacity_view_t;

/* What all entries are expected to begin between two sums. */
typedef struct {
	uint32_t entries;
	/* Tokens that this entry begins between two sums, anywhere. */
	double own_arriving;
} capacity_load_t;

double capacity_share_odds(const capacity_view_t *view,
			   const capacity_load_t *load) ATTR_NONNULL_ALL;

#endif
