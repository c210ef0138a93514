#ifndef WISTERIA_ENTRY_CALL_H
#define WISTERIA_ENTRY_CALL_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/entry/entry_defs.h"

clock_ms_t call_now(const call_t *call) ATTR_NONNULL_ALL;
bool call_dispatch(call_t *call, clock_ms_t now) ATTR_NONNULL_ALL;
void call_dispatch_elsewhere(call_t *call, const char *reason) ATTR_NONNULL_ALL;
void call_send_if_open(call_t *call) ATTR_NONNULL_ALL;
void call_release_agent(call_t *call) ATTR_NONNULL_ALL;
void call_on_dispatch_failed(call_t *call, const char *reason) ATTR_NONNULL_ALL;
bool call_is_false_promise(const call_t *call,
			   const msg_call_reply_t *reply) ATTR_NONNULL_ALL;
void call_refuse_false_promise(call_t *call,
			       const msg_call_reply_t *reply) ATTR_NONNULL_ALL;
void call_answer(call_t *call, const msg_call_reply_t *reply) ATTR_NONNULL_ALL;
void call_answer_stored(call_t *call, bytes_t stored) ATTR_NONNULL_ALL;
void call_refuse(call_t *call, err_code_t code, const char *step,
		 const char *reason, bool not_run) ATTR_NONNULL_ALL;
void call_end(call_t *call) ATTR_NONNULL_ALL;

#endif
