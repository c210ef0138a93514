#ifndef WISTERIA_GATEWAY_GATEWAY_H
#define WISTERIA_GATEWAY_GATEWAY_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/gateway/gateway_defs.h"

bool gateway_init(gateway_t *gateway, net_t *net, const settings_t *settings,
		  const fleet_dialect_t *dialect, err_t *err) ATTR_WARN_UNUSED;
void gateway_set_seeds(gateway_t *gateway,
		       const settings_fleet_t *fleet) ATTR_NONNULL_ALL;
void gateway_drain(gateway_t *gateway,
		   clock_ms_t remaining_ms) ATTR_NONNULL_ALL;
bool gateway_is_idle(const gateway_t *gateway) ATTR_NONNULL_ALL;
void gateway_close(gateway_t *gateway) ATTR_NONNULL_ALL;
void gateway_finish(gateway_t *gateway) ATTR_NONNULL_ALL;

uint64_t gateway_revision(const gateway_t *gateway) ATTR_NONNULL_ALL;
bool gateway_is_suspect(const gateway_t *gateway,
			const char *id) ATTR_NONNULL_ALL;
double gateway_slowdown(const gateway_t *gateway,
			const char *id) ATTR_NONNULL_ALL;
answer_times_t *gateway_answer_times(gateway_t *gateway,
				     const char *service) ATTR_NONNULL_ALL;
shortage_t *gateway_shortage(gateway_t *gateway,
			     const char *service) ATTR_NONNULL_ALL;
void gateway_obey_endpoint(gateway_t *gateway, const char *id,
			   const endpoint_answer_t *answer) ATTR_NONNULL_ALL;
void gateway_mark_suspect(gateway_t *gateway, const char *id) ATTR_NONNULL_ALL;

#endif
