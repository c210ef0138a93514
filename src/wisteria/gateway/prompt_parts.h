#ifndef WISTERIA_GATEWAY_PROMPT_PARTS_H
#define WISTERIA_GATEWAY_PROMPT_PARTS_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/gateway/gateway_defs.h"

uint64_t prompt_parts_digest(const http_message_t *message,
			     const caller_request_t *caller,
			     const char *customer) ATTR_NONNULL(1, 2);
char *prompt_parts_describe(const caller_request_t *caller)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void prompt_parts_passed(gateway_t *gateway,
			 const caller_request_t *caller) ATTR_NONNULL_ALL;
void prompt_parts_crashed(gateway_t *gateway, const caller_request_t *caller,
			  const char *endpoint_id, uint64_t incarnation,
			  bool is_certain) ATTR_NONNULL_ALL;
clock_ms_t
prompt_parts_refused_ms(const gateway_t *gateway,
			const caller_request_t *caller) ATTR_NONNULL_ALL;
void prompt_parts_answer(gateway_t *gateway,
			 const msg_fleet_parts_t *list) ATTR_NONNULL_ALL;
bool prompt_parts_follow(gateway_t *gateway,
			 const msg_fleet_parts_t *list) ATTR_NONNULL_ALL;
void prompt_parts_report(gateway_t *gateway, clock_ms_t now) ATTR_NONNULL_ALL;

#endif
