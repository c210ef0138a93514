#ifndef WISTERIA_GATEWAY_EXCHANGE_INTERNAL_H
#define WISTERIA_GATEWAY_EXCHANGE_INTERNAL_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/gateway/gateway_defs.h"
#include "wisteria/gateway/target.h"

/* What the files of an exchange share; other modules use exchange.h. */

/* Least Retry-After without an endpoint: heartbeats are sent every 1.2 s. */
#define RETRY_AFTER_ENDPOINT_MS 1000
/* Retry-After during a stop: other entries are ready; 0 would omit it. */
#define RETRY_AFTER_STOPPING_MS 50

clock_ms_t exchange_now(const exchange_t *exchange) ATTR_NONNULL_ALL;
const char *exchange_id(const exchange_t *exchange) ATTR_NONNULL_ALL;
void exchange_send_own_answer(http_conn_t *conn, const fleet_dialect_t *dialect,
			      const caller_request_t *caller, unsigned status,
			      clock_ms_t retry_after_ms,
			      const char *reason) ATTR_NONNULL_ALL;
void exchange_release_attempt(exchange_t *exchange) ATTR_NONNULL_ALL;
void exchange_end_attempt(exchange_t *exchange) ATTR_NONNULL_ALL;
void exchange_pause_attempt(exchange_t *exchange) ATTR_NONNULL_ALL;
void exchange_continue_paused(exchange_t *exchange) ATTR_NONNULL_ALL;
void exchange_stop_waiting(exchange_t *exchange) ATTR_NONNULL_ALL;
void exchange_give_up(exchange_t *exchange, unsigned wanted_status,
		      clock_ms_t retry_after_ms,
		      const char *reason) ATTR_NONNULL_ALL;
void exchange_refuse(exchange_t *exchange, clock_ms_t retry_after_ms,
		     const char *reason) ATTR_NONNULL_ALL;
void exchange_send_attempt(exchange_t *exchange, const target_t *target,
			   bool is_counted) ATTR_NONNULL_ALL;
void exchange_start(exchange_t *exchange,
		    const target_t *target) ATTR_NONNULL_ALL;
clock_ms_t exchange_patience_ms(const route_t *route) ATTR_NONNULL_ALL;
clock_ms_t exchange_retry_after_ms(const exchange_t *exchange,
				   target_result_t result,
				   const target_t *target) ATTR_NONNULL_ALL;
void exchange_refuse_without_target(exchange_t *exchange,
				    target_result_t result,
				    const target_t *target) ATTR_NONNULL_ALL;
service_flows_t *
exchange_find_plan(const exchange_t *exchange) ATTR_NONNULL_ALL;
void exchange_send_or_queue(exchange_t *exchange) ATTR_NONNULL_ALL;
bool exchange_has_outlasted_patience(const exchange_t *exchange,
				     clock_ms_t now) ATTR_NONNULL_ALL;

#endif
