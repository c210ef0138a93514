#ifndef WISTERIA_GATEWAY_REPAIR_H
#define WISTERIA_GATEWAY_REPAIR_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/gateway/gateway_defs.h"

bool repair_check(exchange_t *exchange, clock_ms_t now) ATTR_NONNULL_ALL;
void repair_end_attempt(exchange_t *exchange) ATTR_NONNULL_ALL;
bool repair_has_lost_hop(const exchange_t *exchange) ATTR_NONNULL_ALL;

#endif
