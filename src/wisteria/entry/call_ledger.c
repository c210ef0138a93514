/*
 * Commands to the replicated ledger for non-idempotent calls with an
 * idempotency key: the key is reserved before the call is dispatched, and the
 * result is recorded before the caller is answered.
 */
#include "wisteria/entry/call_ledger.h"

#include <string.h>

#include <xxhash.h>

#include "wisteria/base/clock.h"
#include "wisteria/codec/codec.h"
#include "wisteria/codec/msg.h"
#include "wisteria/entry/call.h"
#include "wisteria/trace/explain.h"

/* Interval between attempts to reserve a key that another call holds. */
#define CALL_PENDING_RETRY_MS 200
/* Longest time that an answer is delayed to record the result. */
#define CALL_RECORD_TIMEOUT_MS 3000
/* Timeout of commands whose reply is not awaited. */
#define CALL_BACKGROUND_TIMEOUT_MS 30000

static uint64_t fingerprint(const call_t *call)
{
	const request_t *request = call->request;
	XXH64_hash_t hash = XXH64(request->method, strlen(request->method), 0);

	hash = XXH64(call->path, strlen(call->path), hash);
	return XXH64(request->body->data, request->body->len, hash);
}

static msg_ledger_t make_command(const call_t *call, ledger_op_t op)
{
	const view_t *view = call->entry->view;
	msg_ledger_t command = {
		.op = op,
		.customer = call->customer,
		.service = call->service,
		.key = call->request->idempotency_key,
		.owner = call->id,
		.fingerprint = fingerprint(call),
	};

	if (view != NULL && view->preset != NULL)
		command.retention_ms = view->preset->limits.ledger_retention_ms;
	return command;
}

static void send_command(call_t *call, const msg_ledger_t *command,
			 clock_ms_t deadline_ms)
{
	call->ledger_sequence = ledger_client_submit(&call->entry->ledger,
						     command, deadline_ms);
}

static void send_background_command(const call_t *call,
				    const msg_ledger_t *command)
{
	entry_t *entry = call->entry;
	clock_ms_t now = clock_now(entry->net->clock);

	ledger_client_submit(&entry->ledger, command,
			     now + CALL_BACKGROUND_TIMEOUT_MS);
}

/* Reserves the key of "call"; call_ledger_on_reply() handles the reply. */
void call_ledger_reserve(call_t *call, clock_ms_t now)
{
	const msg_ledger_t command = make_command(call, LEDGER_RESERVE);

	call->state = CALL_RESERVING;
	call->reserve_retry_ms = now;
	send_command(call, &command, call->deadline_ms);
}

/* Records call->result; call_ledger_on_reply() handles the reply. */
void call_ledger_record(call_t *call, clock_ms_t now)
{
	msg_ledger_t command = make_command(call, LEDGER_RECORD);

	command.result = (bytes_t){ (const uint8_t *)call->result.data,
				    call->result.size };
	call->state = CALL_RECORDING;
	send_command(call, &command, now + CALL_RECORD_TIMEOUT_MS);
}

/* Records that "call" may have run, without waiting for the reply. */
void call_ledger_record_unknown(call_t *call, const char *reason)
{
	const msg_call_reply_t unknown = {
		.call = call->id,
		.outcome = CALL_UNKNOWN,
		.reason = reason,
	};
	msg_ledger_t command = make_command(call, LEDGER_RECORD);

	if (!call->reserved)
		return;
	call->reserved = false;
	msgpack_sbuffer_clear(&call->result);
	codec_encode(&msg_call_reply_desc, &unknown, &call->result);
	command.result = (bytes_t){ (const uint8_t *)call->result.data,
				    call->result.size };
	send_background_command(call, &command);
}

/*
 * Releases the key of "call", which provably did not run.  The key is also
 * released if the reply to the reservation has not arrived yet.
 */
void call_ledger_release(call_t *call)
{
	const msg_ledger_t command = make_command(call, LEDGER_RELEASE);

	if (!call->reserved && call->state != CALL_RESERVING)
		return;
	call->reserved = false;
	send_background_command(call, &command);
}

static void on_granted(call_t *call, const msg_ledger_reply_t *reply)
{
	(void)reply;
	call->reserved = true;
	call->state = CALL_QUEUED;
	explain_key_reserved(&call->explain, call_now(call));
	call_dispatch(call, clock_now(call->entry->net->clock));
}

static void on_pending(call_t *call, const msg_ledger_reply_t *reply)
{
	(void)reply;
	call->reserve_retry_ms =
		clock_now(call->entry->net->clock) + CALL_PENDING_RETRY_MS;
}

static void on_stored(call_t *call, const msg_ledger_reply_t *reply)
{
	explain_result_reused(&call->explain, call_now(call));
	call_answer_stored(call, reply->result);
}

static void on_unknown(call_t *call, const msg_ledger_reply_t *reply)
{
	(void)reply;
	call_refuse(call, ERR_CLOSED, "ledger",
		    "an earlier call with this key may have run", false);
}

/*
 * Refuses a call for which the ledger reserved no key, so that none is
 * released.
 */
static void refuse_unreserved(call_t *call, err_code_t code, const char *reason)
{
	call->state = CALL_QUEUED;
	call_refuse(call, code, "ledger", reason, true);
}

static void on_full(call_t *call, const msg_ledger_reply_t *reply)
{
	(void)reply;
	refuse_unreserved(call, ERR_OVERLOAD, "the ledger is full");
}

/*
 * The key may have been reserved for this call, which was not dispatched;
 * call_refuse() releases it.
 */
static void on_unavailable(call_t *call, const msg_ledger_reply_t *reply)
{
	(void)reply;
	call_refuse(call, ERR_UNAVAILABLE, "ledger",
		    "no quorum of control instances in time", true);
}

static void on_mismatch(call_t *call, const msg_ledger_reply_t *reply)
{
	(void)reply;
	refuse_unreserved(call, ERR_CONFLICT,
			  "this key was used for another request");
}

typedef void (*reply_handler_t)(call_t *call, const msg_ledger_reply_t *reply);

static const reply_handler_t reserve_reply_handlers[] = {
	[LEDGER_GRANTED] = on_granted,
	[LEDGER_PENDING] = on_pending,
	[LEDGER_STORED] = on_stored,
	[LEDGER_UNKNOWN] = on_unknown,
	[LEDGER_OK] = on_unknown,
	[LEDGER_FULL] = on_full,
	[LEDGER_UNAVAILABLE] = on_unavailable,
	[LEDGER_MISMATCH] = on_mismatch,
};

static call_t *find_call(const entry_t *entry, uint64_t sequence)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		call_t *call = value;

		if (call->ledger_sequence == sequence)
			return call;
	}
	return NULL;
}

/*
 * Handles a reply of the ledger.  A result that could not be recorded is sent
 * to the caller all the same, because it is correct; a resend gets "unknown".
 */
void call_ledger_on_reply(entry_t *entry, const msg_ledger_reply_t *reply)
{
	call_t *call = find_call(entry, reply->sequence);

	if (call == NULL)
		return;
	call->ledger_sequence = 0;
	if (call->state == CALL_RECORDING)
		call_answer_stored(
			call, (bytes_t){ (const uint8_t *)call->result.data,
					 call->result.size });
	else if (reply->state < ARRAY_SIZE(reserve_reply_handlers))
		reserve_reply_handlers[reply->state](call, reply);
}
