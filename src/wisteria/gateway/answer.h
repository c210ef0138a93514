#ifndef WISTERIA_GATEWAY_ANSWER_H
#define WISTERIA_GATEWAY_ANSWER_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/gateway/gateway_defs.h"

/* Handles the calls of exchanges to endpoints. */
void answer_report_crash(const exchange_t *exchange) ATTR_NONNULL_ALL;

extern const http_call_handler_t answer_handler;

void answer_check_backlog(exchange_t *exchange,
			  clock_ms_t now) ATTR_NONNULL_ALL;
void answer_hold(exchange_t *exchange, size_t bytes) ATTR_NONNULL_ALL;
void answer_forward(exchange_t *exchange,
		    const http_message_t *answer) ATTR_NONNULL_ALL;

#endif
