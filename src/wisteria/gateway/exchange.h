#ifndef WISTERIA_GATEWAY_EXCHANGE_H
#define WISTERIA_GATEWAY_EXCHANGE_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/gateway/gateway_defs.h"
#include "wisteria/gateway/target.h"

void exchange_begin(gateway_t *gateway, http_conn_t *conn,
		    clock_ms_t arrived_ms) ATTR_NONNULL_ALL;
void exchange_caller_left(exchange_t *exchange) ATTR_NONNULL_ALL;
void exchange_record_long_pause(exchange_t *exchange,
				clock_ms_t now) ATTR_NONNULL_ALL;
void exchange_check_stall(exchange_t *exchange,
			  clock_ms_t now) ATTR_NONNULL_ALL;
void exchange_collect_silent(const exchange_t *exchange, clock_ms_t now,
			     clock_ms_t limit_ms,
			     GHashTable *ids) ATTR_NONNULL_ALL;
void exchange_retry_waiting(gateway_t *gateway) ATTR_NONNULL_ALL;
void exchange_refuse_parts(gateway_t *gateway) ATTR_NONNULL_ALL;
void exchange_tick(exchange_t *exchange, clock_ms_t now) ATTR_NONNULL_ALL;
void exchange_attempt_failed(exchange_t *exchange, attempt_failure_t failure,
			     const char *faulty_address, const char *reason,
			     const http_message_t *answer) ATTR_NONNULL(1, 4);
void exchange_prompt_read(exchange_t *exchange) ATTR_NONNULL_ALL;
void exchange_end_paused(exchange_t *exchange,
			 const char *end) ATTR_NONNULL_ALL;
void exchange_excuse_paused(exchange_t *exchange, clock_ms_t pause_ms,
			    clock_ms_t now) ATTR_NONNULL_ALL;
void exchange_discard(exchange_t *exchange) ATTR_NONNULL_ALL;
void exchange_abort(exchange_t *exchange) ATTR_NONNULL_ALL;
void exchange_start_queued(gateway_t *gateway) ATTR_NONNULL_ALL;
clock_ms_t exchange_max_wait_ms(const exchange_t *exchange,
				target_result_t result, const target_t *target,
				clock_ms_t now) ATTR_NONNULL_ALL;
bool exchange_might_outlast_stop(const exchange_t *exchange,
				 const target_t *target) ATTR_NONNULL_ALL;
const char *exchange_refusal_reason(target_result_t result);
void exchange_set_pool(const exchange_t *exchange,
		       wait_item_t *wait) ATTR_NONNULL_ALL;
void exchange_describe_wait(const exchange_t *exchange,
			    wait_item_t *wait) ATTR_NONNULL_ALL;

#endif
