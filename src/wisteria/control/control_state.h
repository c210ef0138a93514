#ifndef WISTERIA_CONTROL_CONTROL_STATE_H
#define WISTERIA_CONTROL_CONTROL_STATE_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/ledger/ledger.h"
#include "wisteria/store/store_defs.h"

/* The state that results from applying the replicated log. */
typedef struct {
	store_t store;
	ledger_t *ledger;
	int64_t time_ms; /* log time of the last command applied */
} control_state_t;

/* The result of an applied command; "type" tells which reply is set. */
typedef struct {
	msg_type_t type; /* MSG_ORDER, MSG_LEDGER, or 0: invalid command */
	bool changed;	 /* the configuration has a new revision */
	msg_order_reply_t order;
	msg_ledger_reply_t ledger;
} control_result_t;

void control_state_init(control_state_t *state) ATTR_NONNULL_ALL;
void control_state_finish(control_state_t *state) ATTR_NONNULL_ALL;
void control_state_apply(control_state_t *state, uint64_t index,
			 const uint8_t *data, size_t len,
			 control_result_t *result) ATTR_NONNULL_ALL;
void control_state_snapshot(const control_state_t *state,
			    msgpack_sbuffer *out) ATTR_NONNULL_ALL;
bool control_state_restore(control_state_t *state, const uint8_t *data,
			   size_t len, err_t *err) ATTR_WARN_UNUSED;

#endif
