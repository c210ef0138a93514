/*
 * The state machine driven by the replicated log: the store, the ledger and
 * the log time.
 */
#include "wisteria/control/control_state.h"

#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/codec/codec.h"
#include "wisteria/codec/msg.h"
#include "wisteria/control/command.h"
#include "wisteria/store/store.h"

/* Maximum size of the ledger's entries, which every replica keeps in memory. */
#define CONTROL_LEDGER_BYTES_MAX (64u << 20)

typedef struct {
	int64_t time_ms;
	bytes_t store;
	bytes_t ledger;
} snapshot_t;

static const field_desc_t snapshot_fields[] = {
	FIELD(FIELD_I64, snapshot_t, time_ms),
	FIELD(FIELD_BYTES, snapshot_t, store),
	FIELD(FIELD_BYTES, snapshot_t, ledger),
};
static const record_desc_t snapshot_desc =
	RECORD_DESC(snapshot_t, snapshot_fields);

/* Initializes the empty state that precedes the first command. */
void control_state_init(control_state_t *state)
{
	store_init(&state->store);
	state->ledger = ledger_new(CONTROL_LEDGER_BYTES_MAX);
	state->time_ms = 0;
}

/* Frees the store and the ledger. */
void control_state_finish(control_state_t *state)
{
	store_finish(&state->store);
	ledger_free(state->ledger);
}

static bool apply_order(control_state_t *state, uint64_t index,
			const command_t *command, msgpack_zone *zone,
			control_result_t *result, err_t *err)
{
	msg_order_t order;

	if (!codec_decode(&msg_order_desc, command->payload.data,
			  command->payload.len, zone, &order, err))
		return false;
	state->store.time_ms = command->time_ms;
	result->changed =
		store_apply(&state->store, &order, index, &result->order);
	return true;
}

static bool apply_ledger(control_state_t *state, const command_t *command,
			 msgpack_zone *zone, control_result_t *result,
			 err_t *err)
{
	msg_ledger_t request;

	if (!codec_decode(&msg_ledger_desc, command->payload.data,
			  command->payload.len, zone, &request, err))
		return false;
	ledger_apply(state->ledger, &request, command->time_ms,
		     &result->ledger);
	return true;
}

static bool apply(control_state_t *state, uint64_t index, const uint8_t *data,
		  size_t len, msgpack_zone *zone, control_result_t *result,
		  err_t *err)
{
	command_t command;

	if (!command_decode(&command, data, len, zone, err))
		return false;
	state->time_ms = MAX(state->time_ms, command.time_ms);
	command.time_ms = state->time_ms;
	result->type = command.type;
	if (command.type == MSG_ORDER)
		return apply_order(state, index, &command, zone, result, err);
	if (command.type == MSG_LEDGER)
		return apply_ledger(state, &command, zone, result, err);
	err_set(err, ERR_PROTOCOL, "apply", "", "unknown command");
	return false;
}

/*
 * Applies one committed command.  The strings in "result" are valid until the
 * next call that changes the state.  A command that cannot be decoded is
 * skipped without an effect on any replica.
 */
void control_state_apply(control_state_t *state, uint64_t index,
			 const uint8_t *data, size_t len,
			 control_result_t *result)
{
	err_t err = ERR_INIT;
	msgpack_zone zone;

	memset(result, 0, sizeof(*result));
	msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (!apply(state, index, data, len, &zone, result, &err)) {
		log_err(G_LOG_LEVEL_CRITICAL, "command_unreadable", &err);
		result->type = 0;
	}
	msgpack_zone_destroy(&zone);
}

/* Appends an encoded snapshot of the state to "out". */
void control_state_snapshot(const control_state_t *state, msgpack_sbuffer *out)
{
	snapshot_t snapshot = { .time_ms = state->time_ms };
	msgpack_sbuffer store;
	msgpack_sbuffer ledger;

	msgpack_sbuffer_init(&store);
	msgpack_sbuffer_init(&ledger);
	store_snapshot(&state->store, &store);
	ledger_snapshot(state->ledger, &ledger);
	snapshot.store = (bytes_t){ (uint8_t *)store.data, store.size };
	snapshot.ledger = (bytes_t){ (uint8_t *)ledger.data, ledger.size };
	codec_encode(&snapshot_desc, &snapshot, out);
	msgpack_sbuffer_destroy(&store);
	msgpack_sbuffer_destroy(&ledger);
}

/*
 * Replaces the state by a snapshot from control_state_snapshot().  Returns
 * false and sets "err" if the snapshot is invalid.
 */
bool control_state_restore(control_state_t *state, const uint8_t *data,
			   size_t len, err_t *err)
{
	snapshot_t snapshot;
	msgpack_zone zone;
	bool ok;

	msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE);
	ok = codec_decode(&snapshot_desc, data, len, &zone, &snapshot, err) &&
	     store_restore(&state->store, snapshot.store.data,
			   snapshot.store.len, err) &&
	     ledger_restore(state->ledger, snapshot.ledger.data,
			    snapshot.ledger.len, err);
	if (ok)
		state->time_ms = snapshot.time_ms;
	msgpack_zone_destroy(&zone);
	return ok;
}
