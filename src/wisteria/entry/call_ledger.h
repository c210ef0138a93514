#ifndef WISTERIA_ENTRY_CALL_LEDGER_H
#define WISTERIA_ENTRY_CALL_LEDGER_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/entry/entry_defs.h"

void call_ledger_reserve(call_t *call, clock_ms_t now) ATTR_NONNULL_ALL;
void call_ledger_record(call_t *call, clock_ms_t now) ATTR_NONNULL_ALL;
void call_ledger_record_unknown(call_t *call,
				const char *reason) ATTR_NONNULL_ALL;
void call_ledger_release(call_t *call) ATTR_NONNULL_ALL;
void call_ledger_on_reply(entry_t *entry,
			  const msg_ledger_reply_t *reply) ATTR_NONNULL_ALL;

#endif
