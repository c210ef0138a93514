#ifndef WISTERIA_GATEWAY_ENDPOINT_LIMITS_H
#define WISTERIA_GATEWAY_ENDPOINT_LIMITS_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/gateway/gateway_defs.h"

bool endpoint_limits_allow(gateway_t *gateway,
			   const endpoint_t *endpoint) ATTR_NONNULL_ALL;
bool endpoint_limits_would_allow(const gateway_t *gateway,
				 const endpoint_t *endpoint) ATTR_NONNULL_ALL;
void endpoint_limits_want(gateway_t *gateway, const endpoint_t *endpoint,
			  bool is_short) ATTR_NONNULL_ALL;
double endpoint_limits_rate(gateway_t *gateway,
			    const endpoint_t *endpoint) ATTR_NONNULL_ALL;
void endpoint_limits_use(gateway_t *gateway, const char *id) ATTR_NONNULL_ALL;
void endpoint_limits_answered(const exchange_t *exchange,
			      const http_message_t *answer,
			      const endpoint_answer_t *read) ATTR_NONNULL_ALL;
void endpoint_limits_follow(gateway_t *gateway,
			    const msg_fleet_limits_t *list) ATTR_NONNULL_ALL;
void endpoint_limits_tick(gateway_t *gateway, clock_ms_t now) ATTR_NONNULL_ALL;

#endif
