#ifndef WISTERIA_FLEET_PERMIT_ISSUER_H
#define WISTERIA_FLEET_PERMIT_ISSUER_H

#include <stdint.h>

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"

/* Time constant by which requests without a permit are given up. */
#define PERMIT_DEMAND_MS 300
/* Permits that were not issued are kept for this long, and one at least. */
#define PERMIT_CREDIT_MAX_MS 500
/* Permits that were not used expire after this, at least and at most. */
#define PERMIT_VALID_MIN_MS 600
#define PERMIT_VALID_MAX_MS 2000

/* Divides the requests that limited endpoints take among the entries. */
typedef struct {
	GHashTable *accounts; /* endpoint id -> permit_account_t */
} permit_issuer_t;

void permit_issuer_init(permit_issuer_t *issuer) ATTR_NONNULL_ALL;
void permit_issuer_finish(permit_issuer_t *issuer) ATTR_NONNULL_ALL;
void permit_issuer_want(permit_issuer_t *issuer, const char *id,
			const void *entry, uint32_t requests,
			clock_ms_t now) ATTR_NONNULL_ALL;
void permit_issuer_issue(permit_issuer_t *issuer, const char *id, double per_s,
			 clock_ms_t now) ATTR_NONNULL_ALL;
uint32_t permit_issuer_collect(permit_issuer_t *issuer, const char *id,
			       const void *entry) ATTR_NONNULL_ALL;
void permit_issuer_forget_entry(permit_issuer_t *issuer,
				const void *entry) ATTR_NONNULL_ALL;
void permit_issuer_forget(permit_issuer_t *issuer,
			  const char *id) ATTR_NONNULL_ALL;
clock_ms_t permit_valid_ms(double per_s);

#endif
