/*
 * Calls to plain services at the entry: dispatches a call, handles the outcome
 * of each dispatch and sends the response to the caller.
 */
#include "wisteria/entry/call.h"

#include <stdio.h>
#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/codec/codec.h"
#include "wisteria/codec/msg.h"
#include "wisteria/entry/call_ledger.h"
#include "wisteria/entry/refusal.h"
#include "wisteria/entry/request.h"
#include "wisteria/http/http_message.h"
#include "wisteria/net/link.h"
#include "wisteria/trace/explain.h"

#define CALL_DISPATCHES_MAX 3
#define CALL_RETRY_AFTER_MS 1000

/*
 * Headers that are not forwarded, neither to the service nor to the caller:
 * hop-by-hop headers, and those that the router handles itself.
 */
static const char *const dropped_headers[] = {
	"Connection",	 "Keep-Alive",	     "Transfer-Encoding",
	"Upgrade",	 "Proxy-Connection", "TE",
	"Trailer",	 "Content-Length",   "Host",
	"Authorization", "Expect",
};

static bool is_dropped_header(const char *name)
{
	for (size_t i = 0; i < ARRAY_SIZE(dropped_headers); i++)
		if (g_ascii_strcasecmp(name, dropped_headers[i]) == 0)
			return true;
	return false;
}

/* Returns the current time by the clock of the entry that owns "call". */
clock_ms_t call_now(const call_t *call)
{
	return clock_now(call->entry->net->clock);
}

/* Releases the link and the endpoint slot that a dispatched call holds. */
void call_release_agent(call_t *call)
{
	if (call->link == NULL)
		return;
	link_unmark_busy(call->link);
	call->link = NULL;
	router_session_finished(call->entry->router, call->hop.endpoint);
}

/*
 * Ends a call; entry_call_free_ended() frees it at the end of the current
 * event-loop callback.
 */
void call_end(call_t *call)
{
	call_release_agent(call);
	call->ledger_sequence = 0;
	call->state = CALL_ENDED;
	span_end(&call->span, call->entry->tracer);
	explain_log_add(&call->entry->explanations, &call->explain);
	g_ptr_array_add(call->entry->ended_calls, call);
}

/*
 * Ends a call with a refusal that states that the call was not run ("not_run")
 * or that this is unknown.  In the first case the call's key in the ledger, if
 * any, is released; in the second, the outcome of a call that has reserved its
 * key is recorded as unknown.
 */
void call_refuse(call_t *call, err_code_t code, const char *step,
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
			refusal.retry_after_ms, call_now(call));
	call->span.is_error = true;
	refusal_send(call->request, &refusal, call->entry->view);
	call_end(call);
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

		if (!is_dropped_header(line->name))
			g_array_append_val(headers, copy);
	}
	body.headers = (msg_header_t *)headers->data;
	body.header_count = headers->len;
	link_send(call->link, MSG_CALL, &body);
	g_array_free(headers, TRUE);
}

/*
 * Sends the call if the link is open; otherwise entry_call_on_agent_up() sends
 * it when the link opens.
 */
void call_send_if_open(call_t *call)
{
	if (!link_is_open(call->link))
		return;
	call->agent_incarnation = call->link->conn->peer_incarnation;
	send_call(call);
}

/*
 * Assigns a queued call to an endpoint, and sends it if the link is open.
 * Returns false, and leaves the call queued, if the router finds no endpoint.
 */
bool call_dispatch(call_t *call, clock_ms_t now)
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
	call->disconnected_ms = link_is_open(call->link) ? 0 : now;
	call->dispatches++;
	call->state = CALL_DISPATCHED;
	link_mark_busy(call->link);
	router_session_started(entry->router, call->hop.endpoint);
	explain_call_sent(&call->explain, call->hop.endpoint, call->idempotent,
			  now);
	call_send_if_open(call);
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

/*
 * Queues the call for another endpoint.  Refuses it after CALL_DISPATCHES_MAX
 * dispatches: as not run, unless the call may have run in an earlier dispatch.
 */
void call_dispatch_elsewhere(call_t *call, const char *reason)
{
	avoid_endpoint(call);
	call_release_agent(call);
	if (call->dispatches >= CALL_DISPATCHES_MAX) {
		call_refuse(call, ERR_UNAVAILABLE, "call", reason,
			    !call->may_have_run);
		return;
	}
	call->state = CALL_QUEUED;
}

/*
 * Handles a dispatch that failed: the call was not sent, because the link did
 * not open, or its outcome is unknown, because the agent was lost, has
 * restarted or reports it so.  Calls call_dispatch_elsewhere() if the call
 * cannot have run, or if it is idempotent and the retry budget allows it;
 * refuses it otherwise.
 */
void call_on_dispatch_failed(call_t *call, const char *reason)
{
	router_record_failure(call->entry->router, call->hop.endpoint,
			      call_now(call));
	explain_endpoint_lost(&call->explain, call->hop.endpoint, reason,
			      call_now(call));
	if (call->agent_incarnation != 0)
		call->may_have_run = true;
	if (!call->may_have_run ||
	    (call->idempotent &&
	     retry_budget_take(&call->entry->retry_budget))) {
		call_dispatch_elsewhere(call, reason);
		return;
	}
	call_refuse(call, ERR_CLOSED, "call", reason, false);
}

/*
 * Returns whether the reply would tell the caller that a call which must not run
 * twice has not run: the service has answered it, so it may have.
 */
bool call_is_false_promise(const call_t *call, const msg_call_reply_t *reply)
{
	return !call->idempotent && reply->outcome == CALL_DONE &&
	       http_status_is_promise(reply->status);
}

/* The caller gets 502; if the key is reserved, the outcome becomes unknown. */
void call_refuse_false_promise(call_t *call, const msg_call_reply_t *reply)
{
	char reason[96];

	snprintf(reason, sizeof(reason),
		 "the service answered %u, and may have run the call",
		 reply->status);
	LOG_INFO("answer_replaced",
		 "request=%s endpoint=%s status=%u rule=promise_by_a_run",
		 call->request->id, call->hop.endpoint, reply->status);
	call_release_agent(call);
	call_refuse(call, ERR_CLOSED, "call", reason, false);
}

/* Sends the service's response to the caller and ends the call. */
void call_answer(call_t *call, const msg_call_reply_t *reply)
{
	GArray *headers = request_headers_new();

	for (size_t i = 0; i < reply->header_count; i++)
		if (!is_dropped_header(reply->headers[i].name))
			request_headers_add(headers, reply->headers[i].name,
					    reply->headers[i].value);
	request_headers_add(headers, "X-Request-Id", call->request->id);
	request_send_head(call->request, reply->status, headers);
	request_write_body(call->request, reply->body.data, reply->body.len);
	request_end_response(call->request);
	explain_answered(&call->explain, 0, call_now(call));
	span_add_number(&call->span, "status", reply->status);
	call_end(call);
}

/*
 * Ends a call with "stored", an encoded msg_call_reply_t from the ledger or
 * from call->result: sends the response to the caller, or refuses the call if
 * "stored" holds no response or cannot be decoded.
 */
void call_answer_stored(call_t *call, bytes_t stored)
{
	msg_call_reply_t reply;
	msgpack_zone zone;
	err_t err = ERR_INIT;

	msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (!codec_decode(&msg_call_reply_desc, stored.data, stored.len, &zone,
			  &reply, &err))
		call_refuse(call, ERR_CORRUPT, "ledger", err.text, false);
	else if (reply.outcome != CALL_DONE)
		call_refuse(call, ERR_CLOSED, "ledger", reply.reason, false);
	else if (call_is_false_promise(call, &reply))
		call_refuse_false_promise(call, &reply);
	else
		call_answer(call, &reply);
	msgpack_zone_destroy(&zone);
}
