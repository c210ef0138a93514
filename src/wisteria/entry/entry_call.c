/*
 * Calls to plain services on the entry's traffic thread.  A call that may not
 * be repeated is dispatched again only if its agent says that it was not run.
 */
#include "wisteria/entry/entry_call.h"

#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/codec/codec.h"
#include "wisteria/codec/msg.h"
#include "wisteria/entry/call_ledger.h"
#include "wisteria/entry/refusal.h"
#include "wisteria/entry/request.h"
#include "wisteria/net/link.h"
#include "wisteria/settings/preset.h"
#include "wisteria/trace/explain.h"

#define CALL_PREFIX "/services/"
#define CALL_DISPATCHES_MAX 3
/* How long a lost agent is waited for before the outcome is unknown. */
#define CALL_RECONNECT_MS 2000
#define CALL_RETRY_AFTER_MS 1000
/* How often a key that another call holds is asked for again. */
#define CALL_PENDING_RETRY_MS 200

/* Headers that concern one connection only, and our own. */
static const char *const dropped_headers[] = {
	"Connection",	 "Keep-Alive",	     "Transfer-Encoding",
	"Upgrade",	 "Proxy-Connection", "TE",
	"Trailer",	 "Content-Length",   "Host",
	"Authorization", "Expect",
};

static bool is_dropped(const char *name)
{
	for (size_t i = 0; i < ARRAY_SIZE(dropped_headers); i++)
		if (g_ascii_strcasecmp(name, dropped_headers[i]) == 0)
			return true;
	return false;
}

static clock_ms_t now_of(const call_t *call)
{
	return clock_now(call->entry->net->clock);
}

static void release_agent(call_t *call)
{
	if (call->link == NULL)
		return;
	link_release(call->link);
	call->link = NULL;
	router_finished(call->entry->router, call->hop.endpoint);
}

static void end_call(call_t *call)
{
	release_agent(call);
	call->question = 0;
	call->state = CALL_ENDED;
	span_end(&call->span, call->entry->tracer);
	explain_log_add(&call->entry->explanations, &call->explain);
	g_ptr_array_add(call->entry->ended_calls, call);
}

static void refuse_call(call_t *call, err_code_t code, const char *step,
			const char *reason, bool not_run)
{
	entry_refusal_t refusal = {
		.not_run = not_run,
		.retry_after_ms = not_run ? CALL_RETRY_AFTER_MS : 0,
	};

	if (not_run)
		call_ledger_release(call);
	else
		call_ledger_record_unknown(call, reason);
	err_set(&refusal.err, code, step, call->hop.endpoint, "%s", reason);
	explain_refused(&call->explain, &refusal.err, not_run,
			refusal.retry_after_ms, now_of(call));
	call->span.is_error = true;
	refusal_send(call->request, &refusal, call->entry->view);
	end_call(call);
}

static void send_call(call_t *call)
{
	const request_t *request = call->request;
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(msg_header_t));
	msg_call_t body = {
		.call = call->id,
		.revision = call->entry->revision,
		.endpoint = call->hop.endpoint,
		.request_id = request->id,
		.customer = call->customer,
		.method = request->method,
		.path = call->path,
		.body = { request->body->data, request->body->len },
		.remaining_ms =
			call->deadline_ms - clock_now(call->entry->net->clock),
		.traceparent = call->traceparent,
	};

	for (guint i = 0; i < request->headers->len; i++) {
		const request_header_t *line =
			&g_array_index(request->headers, request_header_t, i);
		const msg_header_t copy = { line->name, line->value };

		if (!is_dropped(line->name))
			g_array_append_val(headers, copy);
	}
	body.headers = (msg_header_t *)headers->data;
	body.header_count = headers->len;
	link_send(call->link, MSG_CALL, &body);
	g_array_free(headers, TRUE);
}

/* Sends the call if the link is open; otherwise it leaves when it opens. */
static void send_when_open(call_t *call)
{
	if (!link_is_open(call->link))
		return;
	call->agent_incarnation = call->link->conn->peer_incarnation;
	send_call(call);
}

static bool try_dispatch(call_t *call, clock_ms_t now)
{
	entry_t *entry = call->entry;
	route_request_t request = {
		.target = call->service,
		.avoid_count = call->avoid_count,
	};
	route_choice_t choice;

	memcpy(request.avoid, call->avoid, sizeof(request.avoid));
	if (router_choose(entry->router, &request, now, &choice) != ROUTE_FOUND)
		return false;
	call->hop = choice.hops[0];
	call->link = agent_links_get(&entry->links, call->hop.address);
	call->agent_incarnation = 0;
	call->lost_ms = link_is_open(call->link) ? 0 : now;
	call->dispatches++;
	call->state = CALL_DISPATCHED;
	link_hold(call->link);
	router_started(entry->router, call->hop.endpoint);
	explain_call(&call->explain, call->hop.endpoint, call->idempotent, now);
	send_when_open(call);
	return true;
}

static void avoid_endpoint(call_t *call)
{
	size_t slot = call->avoid_count % ARRAY_SIZE(call->avoid);

	snprintf(call->avoid_names[slot], ROUTER_NAME_BYTES, "%s",
		 call->hop.endpoint);
	call->avoid[slot] = call->avoid_names[slot];
	if (call->avoid_count < ARRAY_SIZE(call->avoid))
		call->avoid_count++;
}

/* Queues the call for another endpoint, or gives it up as not run. */
static void dispatch_elsewhere(call_t *call, const char *reason)
{
	avoid_endpoint(call);
	release_agent(call);
	if (call->dispatches >= CALL_DISPATCHES_MAX) {
		refuse_call(call, ERR_UNAVAILABLE, "call", reason, true);
		return;
	}
	call->state = CALL_QUEUED;
}

/* The agent is gone with the call: repeats it or says that it is unknown. */
static void lose_call(call_t *call, const char *reason)
{
	router_failed(call->entry->router, call->hop.endpoint, now_of(call));
	explain_lost(&call->explain, call->hop.endpoint, reason, now_of(call));
	if (call->agent_incarnation == 0 ||
	    (call->idempotent && retry_budget_take(&call->entry->retries))) {
		dispatch_elsewhere(call, reason);
		return;
	}
	refuse_call(call, ERR_CLOSED, "call", reason, false);
}

static void send_answer(call_t *call, const msg_call_reply_t *reply)
{
	GArray *headers = request_headers_new();

	for (size_t i = 0; i < reply->header_count; i++)
		if (!is_dropped(reply->headers[i].name))
			request_headers_add(headers, reply->headers[i].name,
					    reply->headers[i].value);
	request_headers_add(headers, "X-Request-Id", call->request->id);
	request_head(call->request, reply->status, headers);
	request_write(call->request, reply->body.data, reply->body.len);
	request_end(call->request);
	explain_answered(&call->explain, 0, now_of(call));
	span_set_number(&call->span, "status", reply->status);
	end_call(call);
}

/* Keeps the result of a reserved call until the ledger has it. */
static void record_result(call_t *call, const msg_call_reply_t *reply)
{
	release_agent(call);
	codec_encode(&msg_call_reply_desc, reply, &call->result);
	call_ledger_record(call, clock_now(call->entry->net->clock));
}

/* Takes what an agent says of a call. */
void entry_call_reply(entry_t *entry, const msg_call_reply_t *reply)
{
	call_t *call = g_hash_table_lookup(entry->calls, &reply->call);

	router_load(entry->router, &reply->load, clock_now(entry->net->clock));
	if (call == NULL || call->state != CALL_DISPATCHED)
		return;
	if (reply->outcome == CALL_NOT_RUN) {
		explain_not_run(&call->explain, call->hop.endpoint,
				reply->reason, now_of(call));
		dispatch_elsewhere(call, reply->reason);
	} else if (reply->outcome != CALL_DONE)
		lose_call(call, reply->reason);
	else if (call->reserved)
		record_result(call, reply);
	else
		send_answer(call, reply);
}

/* Answers from what the ledger or "call" itself kept of a run. */
static void answer_stored(call_t *call, bytes_t stored)
{
	msg_call_reply_t reply;
	msgpack_zone zone;
	err_t err = ERR_INIT;

	msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (!codec_decode(&msg_call_reply_desc, stored.data, stored.len, &zone,
			  &reply, &err))
		refuse_call(call, ERR_CORRUPT, "ledger", err.text, false);
	else if (reply.outcome != CALL_DONE)
		refuse_call(call, ERR_CLOSED, "ledger", reply.reason, false);
	else
		send_answer(call, &reply);
	msgpack_zone_destroy(&zone);
}

static void on_granted(call_t *call, const msg_ledger_reply_t *reply)
{
	(void)reply;
	call->reserved = true;
	call->state = CALL_QUEUED;
	explain_reserved(&call->explain, now_of(call));
	try_dispatch(call, clock_now(call->entry->net->clock));
}

static void on_pending(call_t *call, const msg_ledger_reply_t *reply)
{
	(void)reply;
	call->reserve_at_ms =
		clock_now(call->entry->net->clock) + CALL_PENDING_RETRY_MS;
}

static void on_stored(call_t *call, const msg_ledger_reply_t *reply)
{
	explain_stored(&call->explain, now_of(call));
	answer_stored(call, reply->result);
}

static void on_unknown(call_t *call, const msg_ledger_reply_t *reply)
{
	(void)reply;
	refuse_call(call, ERR_CLOSED, "ledger",
		    "an earlier call with this key may have run", false);
}

static void on_full(call_t *call, const msg_ledger_reply_t *reply)
{
	(void)reply;
	refuse_call(call, ERR_OVERLOAD, "ledger", "the ledger is full", true);
}

/* The key may have been reserved for this call, which was not dispatched. */
static void on_unavailable(call_t *call, const msg_ledger_reply_t *reply)
{
	(void)reply;
	call->reserved = true;
	refuse_call(call, ERR_UNAVAILABLE, "ledger",
		    "no quorum of control instances in time", true);
}

static void on_mismatch(call_t *call, const msg_ledger_reply_t *reply)
{
	(void)reply;
	refuse_call(call, ERR_CONFLICT, "ledger",
		    "this key was used for another request", true);
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
void entry_call_ledger(entry_t *entry, const msg_ledger_reply_t *reply)
{
	call_t *call = call_of_question(entry, reply->sequence);

	if (call == NULL)
		return;
	call->question = 0;
	if (call->state == CALL_RECORDING)
		answer_stored(call,
			      (bytes_t){ (const uint8_t *)call->result.data,
					 call->result.size });
	else if (reply->state < ARRAY_SIZE(reserve_answers))
		reserve_answers[reply->state](call, reply);
}

/* Starts the span and the explanation of a call. */
static void start_record(call_t *call, const preset_contract_t *contract)
{
	const entry_t *entry = call->entry;
	const request_t *request = call->request;

	span_start_request(&call->span, request->traceparent, "call");
	span_set_text(&call->span, "request", request->id);
	span_set_text(&call->span, "customer", call->customer);
	span_set_text(&call->span, "service", call->service);
	trace_format_parent(&call->span.context, call->traceparent);
	explain_init(&call->explain, request->id, now_of(call));
	explain_request(&call->explain, call->customer, call->service);
	explain_preset(&call->explain, entry->view->preset->name,
		       entry->view->revision, contract);
}

/* Takes a call of the customer of "contract". */
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
	call->request = request_take(request);
	call->customer = g_strdup(contract->customer);
	call->service = g_strndup(name, name_len);
	call->path = name[name_len] == '/' ? name + name_len : "/";
	call->deadline_ms = clock_now(entry->net->clock) + limits->request_ms;
	g_hash_table_insert(entry->calls, &call->id, call);
	start_record(call, contract);
	counter_add(COUNTER_CALLS, 1);
	retry_budget_fresh(&entry->retries);
	service = preset_service(entry->view->preset, call->service);
	if (service == NULL) {
		refuse_call(call, ERR_NOT_FOUND, "route",
			    "the preset in force has no such service", true);
		return;
	}
	call->idempotent = preset_is_idempotent(service, request->method);
	call->state = CALL_QUEUED;
	if (!call->idempotent && request->idempotency_key != NULL)
		call_ledger_reserve(call, clock_now(entry->net->clock));
	else
		try_dispatch(call, clock_now(entry->net->clock));
}

/*
 * A reserved call that was dispatched goes on without its caller: the result
 * is recorded, and a resend with the same key gets it.
 */
static bool must_go_on(const call_t *call)
{
	return call->state == CALL_RECORDING ||
	       (call->reserved && call->state == CALL_DISPATCHED);
}

static void cancel_call(call_t *call)
{
	const msg_call_cancel_t cancel = { .call = call->id };

	if (must_go_on(call))
		return;
	/* The grant of a reservation may still be on its way. */
	if (call->state == CALL_RESERVING)
		call->reserved = true;
	call_ledger_release(call);
	if (call->link != NULL)
		link_send(call->link, MSG_CALL_CANCEL, &cancel);
	explain_cancelled(&call->explain, now_of(call));
	end_call(call);
}

/* Ends the call of a request whose caller has gone. */
void entry_call_cancel(entry_t *entry, const request_t *request)
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

static bool is_on(const call_t *call, const conn_t *conn)
{
	return call->state == CALL_DISPATCHED &&
	       strcmp(call->hop.address, conn->peer_address) == 0;
}

/* Sends again, to the same agent, the calls that the lost link carried. */
void entry_call_agent_up(entry_t *entry, const conn_t *conn)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		call_t *call = value;

		if (!is_on(call, conn))
			continue;
		call->lost_ms = 0;
		if (call->agent_incarnation != 0 &&
		    call->agent_incarnation != conn->peer_incarnation)
			lose_call(call, "the agent restarted");
		else
			send_when_open(call);
	}
}

/* Notes when the link that carries calls was lost. */
void entry_call_agent_down(entry_t *entry, const conn_t *conn)
{
	clock_ms_t now = clock_now(entry->net->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		call_t *call = value;

		if (is_on(call, conn) && call->lost_ms == 0)
			call->lost_ms = now;
	}
}

static void tick_call(call_t *call, clock_ms_t now)
{
	bool sent =
		call->state == CALL_DISPATCHED && call->agent_incarnation != 0;

	if (now >= call->deadline_ms)
		refuse_call(call, ERR_TIMEOUT, "call",
			    "no answer before the deadline", !sent);
	else if (call->state == CALL_QUEUED)
		try_dispatch(call, now);
	else if (call->state == CALL_RESERVING && call->question == 0 &&
		 now >= call->reserve_at_ms)
		call_ledger_reserve(call, now);
	else if (call->lost_ms != 0 && now - call->lost_ms > CALL_RECONNECT_MS)
		lose_call(call, "the agent was lost");
}

/* Dispatches queued calls and notices deadlines. */
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

/* Frees the calls that ended in this turn of the loop. */
void entry_call_reap(entry_t *entry)
{
	for (guint i = 0; i < entry->ended_calls->len; i++) {
		call_t *call = g_ptr_array_index(entry->ended_calls, i);

		g_hash_table_remove(entry->calls, &call->id);
		msgpack_sbuffer_destroy(&call->result);
		explain_finish(&call->explain);
		request_drop(call->request);
		g_free(call->customer);
		g_free(call->service);
		g_free(call);
	}
	g_ptr_array_set_size(entry->ended_calls, 0);
}
