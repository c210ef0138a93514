#ifndef WISTERIA_LIMITS_RETRY_ARRIVALS_H
#define WISTERIA_LIMITS_RETRY_ARRIVALS_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/macros_defs.h"

/* The retries of one request that may yet arrive at endpoints. */
typedef struct {
	bool has_arrived; /* an attempt of the request has */
	uint32_t own;	  /* retries of the entry's own budget */
	uint32_t granted;
} retry_arrivals_t;

void retry_arrivals_expect(retry_arrivals_t *arrivals,
			   bool is_granted) ATTR_NONNULL_ALL;
bool retry_arrivals_count(retry_arrivals_t *arrivals)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool retry_arrivals_withdraw(retry_arrivals_t *arrivals)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
