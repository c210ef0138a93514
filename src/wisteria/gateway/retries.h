#ifndef WISTERIA_GATEWAY_RETRIES_H
#define WISTERIA_GATEWAY_RETRIES_H

#include "wisteria/gateway/gateway_defs.h"

void retries_init(gateway_t *gateway) ATTR_NONNULL_ALL;
void retries_finish(gateway_t *gateway) ATTR_NONNULL_ALL;
void retries_granted(gateway_t *gateway,
		     const msg_fleet_retries_t *grant) ATTR_NONNULL_ALL;
void retries_set_entries(gateway_t *gateway, uint32_t entries) ATTR_NONNULL_ALL;
void retries_count_request(const exchange_t *exchange) ATTR_NONNULL_ALL;
bool retries_grant_may_come(const exchange_t *exchange)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool retries_allow(const exchange_t *exchange)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool retries_take(exchange_t *exchange) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void retries_attempt_arrived(exchange_t *exchange) ATTR_NONNULL_ALL;
void retries_attempt_unsent(exchange_t *exchange) ATTR_NONNULL_ALL;
void retries_request_ended(exchange_t *exchange) ATTR_NONNULL_ALL;
void retries_log_sent(const exchange_t *exchange,
		      bool uses_budget) ATTR_NONNULL_ALL;
void retries_log_received(const exchange_t *exchange) ATTR_NONNULL_ALL;
void retries_log_denied(const exchange_t *exchange) ATTR_NONNULL_ALL;

#endif
