/*
 * Calls to plain services on the entry's traffic thread: acceptance, replies,
 * lost agents and deadlines.  A non-idempotent call is dispatched again only if
 * it provably was not run.
 */
#include "wisteria/entry/entry_call.h"

#include <string.h>

#include <sodium.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/codec/codec.h"
#include "wisteria/codec/msg.h"
#include "wisteria/entry/call.h"
#include "wisteria/entry/call_ledger.h"
#include "wisteria/entry/request.h"
#include "wisteria/net/link.h"
#include "wisteria/settings/preset.h"
#include "wisteria/trace/explain.h"

#define CALL_PREFIX "/services/"
/* Longest time without a link to the agent before a dispatch has failed. */
#define CALL_RECONNECT_TIMEOUT_MS 2000

/* Keeps the result of a reserved call and records it in the ledger. */
static void record_result(call_t *call, const msg_call_reply_t *reply)
{
	call_release_agent(call);
	codec_encode(&msg_call_reply_desc, reply, &call->result);
	call_ledger_record(call, clock_now(call->entry->net->clock));
}

/* Handles an agent's reply to a call. */
void entry_call_on_reply(entry_t *entry, const msg_call_reply_t *reply)
{
	call_t *call = g_hash_table_lookup(entry->calls, &reply->call);

	router_record_load(entry->router, &reply->load,
			   clock_now(entry->net->clock));
	if (call == NULL || call->state != CALL_DISPATCHED)
		return;
	if (reply->outcome == CALL_NOT_RUN) {
		explain_call_not_run(&call->explain, call->hop.endpoint,
				     reply->reason, call_now(call));
		call_dispatch_elsewhere(call, reply->reason);
	} else if (reply->outcome != CALL_DONE)
		call_on_dispatch_failed(call, reply->reason);
	else if (call_is_false_promise(call, reply))
		call_refuse_false_promise(call, reply);
	else if (call->reserved)
		record_result(call, reply);
	else
		call_answer(call, reply);
}

/* Starts the span and the explanation of a call. */
static void start_span_and_explanation(call_t *call,
				       const preset_contract_t *contract)
{
	const entry_t *entry = call->entry;
	const request_t *request = call->request;

	span_start_request(&call->span, request->traceparent, "call");
	span_add_text(&call->span, "request", request->id);
	span_add_text(&call->span, "customer", call->customer);
	span_add_text(&call->span, "service", call->service);
	trace_format_traceparent(&call->span.context, call->traceparent);
	explain_init(&call->explain, request->id, call_now(call));
	explain_request(&call->explain, call->customer, call->service);
	explain_preset(&call->explain, entry->view->preset->name,
		       entry->view->revision, contract);
}

/* Accepts a call of the customer of "contract". */
void entry_call_accept(entry_t *entry, request_t *request,
		       const preset_contract_t *contract)
{
	const preset_limits_t *limits = &entry->view->preset->limits;
	const char *name = request->path + strlen(CALL_PREFIX);
	size_t name_len = strcspn(name, "/?");
	const preset_service_t *service;
	call_t *call = g_new0(call_t, 1);

	randombytes_buf(&call->id, sizeof(call->id));
	msgpack_sbuffer_init(&call->result);
	call->entry = entry;
	call->request = request_ref(request);
	call->customer = g_strdup(contract->customer);
	call->service = g_strndup(name, name_len);
	call->path = name[name_len] == '/' ? name + name_len : "/";
	call->deadline_ms = clock_now(entry->net->clock) + limits->request_ms;
	g_hash_table_insert(entry->calls, &call->id, call);
	start_span_and_explanation(call, contract);
	counter_add(COUNTER_CALLS, 1);
	retry_budget_count_request(&entry->retry_budget);
	service = preset_find_service(entry->view->preset, call->service);
	if (service == NULL) {
		call_refuse(call, ERR_NOT_FOUND, "route",
			    "the preset in force has no such service", true);
		return;
	}
	call->idempotent =
		preset_method_is_idempotent(service, request->method);
	call->state = CALL_QUEUED;
	if (!call->idempotent && request->idempotency_key != NULL)
		call_ledger_reserve(call, clock_now(entry->net->clock));
	else
		call_dispatch(call, clock_now(entry->net->clock));
}

/*
 * Returns whether a call continues after its caller has disconnected.  A
 * reserved call that was dispatched does: the result is recorded, and a resend
 * with the same key gets it.
 */
static bool must_outlive_caller(const call_t *call)
{
	return call->state == CALL_RECORDING ||
	       (call->reserved && call->state == CALL_DISPATCHED);
}

static void cancel_call(call_t *call)
{
	const msg_call_cancel_t cancel = { .call = call->id };

	if (must_outlive_caller(call))
		return;
	call_ledger_release(call);
	if (call->link != NULL)
		link_send(call->link, MSG_CALL_CANCEL, &cancel);
	explain_cancelled(&call->explain, call_now(call));
	call_end(call);
}

/*
 * Cancels the call of a request whose caller has disconnected, unless it must
 * continue.
 */
void entry_call_on_cancel(entry_t *entry, const request_t *request)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		call_t *call = value;

		if (call->request != request || call->state == CALL_ENDED)
			continue;
		cancel_call(call);
		return;
	}
}

static bool is_dispatched_over(const call_t *call, const conn_t *conn)
{
	return call->state == CALL_DISPATCHED &&
	       strcmp(call->hop.address, conn->peer_address) == 0;
}

/*
 * Sends the calls dispatched over a link that has opened, also those that were
 * sent before: the agent runs each once.  If the agent has restarted since, the
 * dispatches that were sent before have failed.
 */
void entry_call_on_agent_up(entry_t *entry, const conn_t *conn)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		call_t *call = value;

		if (!is_dispatched_over(call, conn))
			continue;
		call->disconnected_ms = 0;
		if (call->agent_incarnation != 0 &&
		    call->agent_incarnation != conn->peer_incarnation)
			call_on_dispatch_failed(call, "the agent restarted");
		else
			call_send_if_open(call);
	}
}

/* Records the time at which the link of dispatched calls was lost. */
void entry_call_on_agent_down(entry_t *entry, const conn_t *conn)
{
	clock_ms_t now = clock_now(entry->net->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		call_t *call = value;

		if (is_dispatched_over(call, conn) &&
		    call->disconnected_ms == 0)
			call->disconnected_ms = now;
	}
}

static void tick_call(call_t *call, clock_ms_t now)
{
	bool sent =
		call->state == CALL_DISPATCHED && call->agent_incarnation != 0;

	if (now >= call->deadline_ms)
		call_refuse(call, ERR_TIMEOUT, "call",
			    "no answer before the deadline",
			    !sent && !call->may_have_run);
	else if (call->state == CALL_QUEUED)
		call_dispatch(call, now);
	else if (call->state == CALL_RESERVING && call->ledger_sequence == 0 &&
		 now >= call->reserve_retry_ms)
		call_ledger_reserve(call, now);
	else if (call->disconnected_ms != 0 &&
		 now - call->disconnected_ms > CALL_RECONNECT_TIMEOUT_MS)
		call_on_dispatch_failed(call, "the agent was lost");
}

/*
 * Dispatches queued calls, retries reservations, checks deadlines, and handles
 * the dispatches whose agent did not connect in time.
 */
void entry_call_tick(entry_t *entry, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		call_t *call = value;

		if (call->state != CALL_ENDED)
			tick_call(call, now);
	}
}

/* Frees the calls that ended during the current event-loop callback. */
void entry_call_free_ended(entry_t *entry)
{
	for (guint i = 0; i < entry->ended_calls->len; i++) {
		call_t *call = g_ptr_array_index(entry->ended_calls, i);

		g_hash_table_remove(entry->calls, &call->id);
		msgpack_sbuffer_destroy(&call->result);
		explain_finish(&call->explain);
		request_unref(call->request);
		g_free(call->customer);
		g_free(call->service);
		g_free(call);
	}
	g_ptr_array_set_size(entry->ended_calls, 0);
}
