#ifndef WISTERIA_LIMITS_SHARES_H
#define WISTERIA_LIMITS_SHARES_H

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/settings/preset_defs.h"

/*
 * Leases shares of the customers' contracts to entries when they renew their
 * leases.  Used by the control instance that leads.  Does no I/O and reads no
 * clock; the caller passes the time.
 */
typedef struct shares_t shares_t;

shares_t *shares_new(clock_ms_t lease_ms,
		     clock_ms_t grace_until_ms) ATTR_WARN_UNUSED;
void shares_free(shares_t *shares);
void shares_set_contracts(shares_t *shares,
			  const preset_t *preset) ATTR_NONNULL_ALL;
void shares_renew(shares_t *shares, const char *instance,
		  const msg_share_t *demand, size_t demand_count,
		  bool held_is_current, clock_ms_t now, GArray *granted_shares)
	ATTR_NONNULL(1, 2, 7);
uint32_t shares_leased_sessions(const shares_t *shares, const char *customer,
				clock_ms_t now) ATTR_NONNULL_ALL;

#endif
