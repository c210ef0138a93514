#ifndef WISTERIA_TRACE_EXPLAIN_H
#define WISTERIA_TRACE_EXPLAIN_H

#include <stdbool.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/route/router_defs.h"
#include "wisteria/settings/preset_defs.h"
#include "wisteria/trace/explain_defs.h"

void explain_init(explain_t *explain, const char *request_id,
		  clock_ms_t now) ATTR_NONNULL_ALL;
void explain_finish(explain_t *explain) ATTR_NONNULL_ALL;
void explain_request(explain_t *explain, const char *customer,
		     const char *target) ATTR_NONNULL_ALL;
void explain_preset(explain_t *explain, const char *preset, uint64_t revision,
		    const preset_contract_t *contract) ATTR_NONNULL(1, 2);
void explain_queued(explain_t *explain, uint32_t waiting,
		    clock_ms_t now) ATTR_NONNULL_ALL;
void explain_admitted(explain_t *explain, clock_ms_t now) ATTR_NONNULL_ALL;
void explain_chain_chosen(explain_t *explain, const route_choice_t *choice,
			  clock_ms_t now) ATTR_NONNULL_ALL;
void explain_no_chain(explain_t *explain, route_result_t result,
		      clock_ms_t now) ATTR_NONNULL_ALL;
void explain_endpoint_lost(explain_t *explain, const char *endpoint,
			   const char *reason, clock_ms_t now) ATTR_NONNULL_ALL;
void explain_endpoint_replaced(explain_t *explain, const char *lost,
			       const route_hop_t *replacement, uint32_t tokens,
			       clock_ms_t now) ATTR_NONNULL_ALL;
void explain_retried(explain_t *explain, uint32_t tokens,
		     clock_ms_t now) ATTR_NONNULL_ALL;
void explain_not_retried(explain_t *explain, const char *reason,
			 clock_ms_t now) ATTR_NONNULL_ALL;
void explain_call_sent(explain_t *explain, const char *endpoint,
		       bool is_idempotent, clock_ms_t now) ATTR_NONNULL_ALL;
void explain_call_not_run(explain_t *explain, const char *endpoint,
			  const char *reason, clock_ms_t now) ATTR_NONNULL_ALL;
void explain_key_reserved(explain_t *explain, clock_ms_t now) ATTR_NONNULL_ALL;
void explain_result_reused(explain_t *explain, clock_ms_t now) ATTR_NONNULL_ALL;
void explain_refused(explain_t *explain, const err_t *err, bool not_run,
		     clock_ms_t retry_after_ms,
		     clock_ms_t now) ATTR_NONNULL_ALL;
void explain_cancelled(explain_t *explain, clock_ms_t now) ATTR_NONNULL_ALL;
void explain_answered(explain_t *explain, uint32_t tokens,
		      clock_ms_t now) ATTR_NONNULL_ALL;
char *explain_render(const char *request_id, const char *text) ATTR_NONNULL_ALL;

void explain_log_init(explain_log_t *log, size_t bytes_max) ATTR_NONNULL_ALL;
void explain_log_finish(explain_log_t *log) ATTR_NONNULL_ALL;
void explain_log_add(explain_log_t *log,
		     const explain_t *explain) ATTR_NONNULL_ALL;
char *explain_log_find(explain_log_t *log,
		       const char *request_id) ATTR_NONNULL_ALL;

#endif
