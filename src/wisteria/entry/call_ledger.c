/*
 * What a call that may not be repeated asks of the replicated ledger: its key
 * is reserved before it is dispatched, and its result recorded before it is
 * answered.
 */
#include "wisteria/entry/call_ledger.h"

#include <string.h>

#include <xxhash.h>

#include "wisteria/base/clock.h"
#include "wisteria/codec/codec.h"
#include "wisteria/codec/msg.h"
#include "wisteria/entry/call.h"
#include "wisteria/trace/explain.h"

/* How often a key that another call holds is asked for again. */
#define CALL_PENDING_RETRY_MS 200
/* How long an answer waits for its result to be recorded. */
#define CALL_RECORD_MS 3000
/* How long the ledger is asked to take what nobody waits for. */
#define CALL_BACKGROUND_MS 30000

static uint64_t fingerprint(const call_t *call)
{
	const request_t *request = call->request;
	XXH64_hash_t hash = XXH64(request->method, strlen(request->method), 0);

	hash = XXH64(call->path, strlen(call->path), hash);
	return XXH64(request->body->data, request->body->len, hash);
}

static msg_ledger_t question_of(const call_t *call, ledger_op_t op)
{
	const view_t *view = call->entry->view;
	msg_ledger_t question = {
		.op = op,
		.customer = call->customer,
		.service = call->service,
		.key = call->request->idempotency_key,
		.owner = call->id,
		.fingerprint = fingerprint(call),
	};

	if (view != NULL && view->preset != NULL)
		question.retention_ms =
			view->preset->limits.ledger_retention_ms;
	return question;
}

static void ask(call_t *call, const msg_ledger_t *question,
		clock_ms_t deadline_ms)
{
	call->question =
		ledger_client_ask(&call->entry->ledger, question, deadline_ms);
}

static void ask_in_background(const call_t *call, const msg_ledger_t *question)
{
	entry_t *entry = call->entry;
	clock_ms_t now = clock_now(entry->net->clock);

	ledger_client_ask(&entry->ledger, question, now + CALL_BACKGROUND_MS);
}

/* Asks for the key of "call"; the answer comes to the ledger's owner. */
void call_ledger_reserve(call_t *call, clock_ms_t now)
{
	const msg_ledger_t question = question_of(call, LEDGER_RESERVE);

	call->state = CALL_RESERVING;
	call->reserve_at_ms = now;
	ask(call, &question, call->deadline_ms);
}

/* Records call->result; the answer comes to the ledger's owner. */
void call_ledger_record(call_t *call, clock_ms_t now)
{
	msg_ledger_t question = question_of(call, LEDGER_RECORD);

	question.result = (bytes_t){ (const uint8_t *)call->result.data,
				     call->result.size };
	call->state = CALL_RECORDING;
	ask(call, &question, now + CALL_RECORD_MS);
}

/* Records that "call" may have run, without waiting for the ledger. */
void call_ledger_record_unknown(call_t *call, const char *reason)
{
	const msg_call_reply_t unknown = {
		.call = call->id,
		.outcome = CALL_UNKNOWN,
		.reason = reason,
	};
	msg_ledger_t question = question_of(call, LEDGER_RECORD);

	if (!call->reserved)
		return;
	call->reserved = false;
	msgpack_sbuffer_clear(&call->result);
	codec_encode(&msg_call_reply_desc, &unknown, &call->result);
	question.result = (bytes_t){ (const uint8_t *)call->result.data,
				     call->result.size };
	ask_in_background(call, &question);
}

/*
 * Gives the key back because "call" provably did not run; also where it asked
 * for the key and has not seen the answer.
 */
void call_ledger_release(call_t *call)
{
	const msg_ledger_t question = question_of(call, LEDGER_RELEASE);

	if (!call->reserved && call->state != CALL_RESERVING)
		return;
	call->reserved = false;
	ask_in_background(call, &question);
}

static void on_granted(call_t *call, const msg_ledger_reply_t *reply)
{
	(void)reply;
	call->reserved = true;
	call->state = CALL_QUEUED;
	explain_reserved(&call->explain, call_now(call));
	call_dispatch(call, clock_now(call->entry->net->clock));
}

static void on_pending(call_t *call, const msg_ledger_reply_t *reply)
{
	(void)reply;
	call->reserve_at_ms =
		clock_now(call->entry->net->clock) + CALL_PENDING_RETRY_MS;
}

static void on_stored(call_t *call, const msg_ledger_reply_t *reply)
{
	explain_stored(&call->explain, call_now(call));
	call_answer_stored(call, reply->result);
}

static void on_unknown(call_t *call, const msg_ledger_reply_t *reply)
{
	(void)reply;
	call_refuse(call, ERR_CLOSED, "ledger",
		    "an earlier call with this key may have run", false);
}

/* The ledger answered that it holds nothing for this call. */
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

/* The key may have been reserved for this call, which was not dispatched. */
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

typedef void (*ledger_answer_t)(call_t *call, const msg_ledger_reply_t *reply);

static const ledger_answer_t reserve_answers[] = {
	[LEDGER_GRANTED] = on_granted,
	[LEDGER_PENDING] = on_pending,
	[LEDGER_STORED] = on_stored,
	[LEDGER_UNKNOWN] = on_unknown,
	[LEDGER_OK] = on_unknown,
	[LEDGER_FULL] = on_full,
	[LEDGER_UNAVAILABLE] = on_unavailable,
	[LEDGER_MISMATCH] = on_mismatch,
};

static call_t *call_of_question(const entry_t *entry, uint64_t sequence)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		call_t *call = value;

		if (call->question == sequence)
			return call;
	}
	return NULL;
}

/*
 * Takes an answer of the ledger.  A result that could not be recorded is
 * given to the caller all the same: it is true, and a resend gets "unknown".
 */
void call_ledger_answered(entry_t *entry, const msg_ledger_reply_t *reply)
{
	call_t *call = call_of_question(entry, reply->sequence);

	if (call == NULL)
		return;
	call->question = 0;
	if (call->state == CALL_RECORDING)
		call_answer_stored(
			call, (bytes_t){ (const uint8_t *)call->result.data,
					 call->result.size });
	else if (reply->state < ARRAY_SIZE(reserve_answers))
		reserve_answers[reply->state](call, reply);
}
