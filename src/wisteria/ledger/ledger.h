#ifndef WISTERIA_LEDGER_LEDGER_H
#define WISTERIA_LEDGER_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/ledger/ledger_defs.h"

/*
 * The ledger of non-idempotent calls: each idempotency key is dispatched at
 * most once.  It is a state machine of the replicated log: its state depends
 * only on bytes_max, the commands applied and their times, which the leader of
 * the log sets.  If a command's time is before that of an earlier command, the
 * latest time so far is used.
 */
typedef struct ledger_t ledger_t;

ledger_t *ledger_new(size_t bytes_max) ATTR_WARN_UNUSED;
void ledger_free(ledger_t *ledger);
void ledger_apply(ledger_t *ledger, const msg_ledger_t *command, int64_t now_ms,
		  msg_ledger_reply_t *reply) ATTR_NONNULL_ALL;
void ledger_snapshot(const ledger_t *ledger,
		     msgpack_sbuffer *out) ATTR_NONNULL_ALL;
bool ledger_restore(ledger_t *ledger, const uint8_t *data, size_t len,
		    err_t *err) ATTR_NONNULL(1, 4) ATTR_WARN_UNUSED;
ledger_usage_t ledger_usage(const ledger_t *ledger) ATTR_NONNULL_ALL;

#endif
