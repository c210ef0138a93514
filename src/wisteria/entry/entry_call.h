#ifndef WISTERIA_ENTRY_ENTRY_CALL_H
#define WISTERIA_ENTRY_ENTRY_CALL_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/entry/entry_defs.h"
#include "wisteria/settings/preset_defs.h"

void entry_call_accept(entry_t *entry, request_t *request,
		       const preset_contract_t *contract) ATTR_NONNULL_ALL;
void entry_call_on_cancel(entry_t *entry,
			  const request_t *request) ATTR_NONNULL_ALL;
void entry_call_on_agent_up(entry_t *entry,
			    const conn_t *conn) ATTR_NONNULL_ALL;
void entry_call_on_agent_down(entry_t *entry,
			      const conn_t *conn) ATTR_NONNULL_ALL;
void entry_call_on_reply(entry_t *entry,
			 const msg_call_reply_t *reply) ATTR_NONNULL_ALL;
void entry_call_tick(entry_t *entry, clock_ms_t now) ATTR_NONNULL_ALL;
void entry_call_free_ended(entry_t *entry) ATTR_NONNULL_ALL;

#endif
