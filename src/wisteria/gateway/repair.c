/*
 * Repairs the pipeline of a running stream: when one of its endpoints is lost,
 * orders the first one to continue over others in its place.  The stream goes on
 * as the same attempt, and only the layers of the lost endpoint read the prompt
 * again.  A stream whose repair fails is resumed elsewhere.
 */
#include "wisteria/gateway/repair.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/log.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/gateway/exchange.h"
#include "wisteria/gateway/gateway.h"
#include "wisteria/gateway/target.h"

/*
 * Time for the answer to an order, which an endpoint gives at once.  Callers
 * leave after 2 s of silence; the time after a failed order suffices for the
 * detection of the loss before and for the prompt of a resumed stream.
 */
#define REPAIR_ANSWER_TIMEOUT_MS 300
/* A refusal names one address. */
#define REPAIR_ANSWER_BYTES_MAX 4096

/* An order that is under way; its new endpoints count as used already. */
typedef struct repair_t {
	http_call_handler_t handler;
	exchange_t *exchange;
	http_call_t *call; /* NULL: has ended */
	clock_ms_t sent_ms;
	bool is_lost[PIPELINE_HOPS_MAX]; /* of the hops before the repair */
	target_repair_t replacement;
} repair_t;

static repair_t *repair_of(http_call_handler_t *handler)
{
	return CONTAINER_OF(handler, repair_t, handler);
}

static clock_ms_t now_of(const exchange_t *exchange)
{
	return clock_now(exchange->gateway->clock);
}

/*
 * Returns the ids of the hops of "target" that are "chosen", separated by
 * commas.  The caller frees them.
 */
static char *list_hops(const target_t *target,
		       const bool chosen[PIPELINE_HOPS_MAX])
{
	GString *list = g_string_new(NULL);

	for (uint32_t i = 0; i < target->count; i++)
		if (chosen[i])
			g_string_append_printf(list, "%s%s",
					       list->len == 0 ? "" : ",",
					       target->ids[i]);
	return g_string_free(list, FALSE);
}

static void log_repair(const repair_t *repair, const char *event,
		       unsigned status, const char *reason)
{
	const exchange_t *exchange = repair->exchange;
	char *lost = list_hops(&exchange->target, repair->is_lost);
	char *new = list_hops(&repair->replacement.target,
			      repair->replacement.is_new);

	LOG_INFO(event,
		 "request=%s lost=%s new=%s status=%u reason=%s layers=%u "
		 "events=%" G_GUINT64_FORMAT " took_ms=%" G_GINT64_FORMAT,
		 exchange->caller.id, lost, new[0] == '\0' ? "-" : new, status,
		 reason, repair->replacement.new_layers,
		 exchange->event_stream.event_count,
		 repair->sent_ms == 0 ? 0 : now_of(exchange) - repair->sent_ms);
	g_free(lost);
	g_free(new);
}

/* Records the use of the new endpoints, or its end. */
static void count_new_endpoints(repair_t *repair, bool begins)
{
	usage_t *usage = &repair->exchange->gateway->usage;
	const target_t *target = &repair->replacement.target;

	for (uint32_t i = 0; i < target->count; i++) {
		if (!repair->replacement.is_new[i])
			continue;
		if (begins)
			usage_begin(usage, target->ids[i], target->tokens);
		else
			usage_end(usage, target->ids[i], target->tokens);
	}
}

/* Frees the repair of "exchange" and cancels its call. */
static void free_repair(exchange_t *exchange)
{
	repair_t *repair = exchange->repair;

	exchange->repair = NULL;
	if (repair->call != NULL)
		http_call_cancel(repair->call);
	g_free(repair);
}

/*
 * The order has failed.  The same attempt gets no other one: an order without an
 * answer may yet be carried out.
 */
static void fail_repair(exchange_t *exchange, unsigned status,
			const char *reason)
{
	repair_t *repair = exchange->repair;

	counter_add(COUNTER_PIPELINE_REPAIRS_FAILED, 1);
	log_repair(repair, "pipeline_repair_failed", status, reason);
	count_new_endpoints(repair, false);
	free_repair(exchange);
	exchange->repair_failed = true;
}

/*
 * The first endpoint continues over the new ones.  Their share of the prompt
 * does not count as unread: that count is for prompts ahead of a first event.
 */
static void finish_repair(exchange_t *exchange, unsigned status)
{
	repair_t *repair = exchange->repair;
	const target_t *before = &exchange->target;

	counter_add(COUNTER_PIPELINES_REPAIRED, 1);
	log_repair(repair, "pipeline_repaired", status, "-");
	exchange_prompt_read(exchange);
	for (uint32_t i = 0; i < before->count; i++)
		if (repair->is_lost[i])
			usage_end(&exchange->gateway->usage, before->ids[i],
				  before->tokens);
	prefill_again_count(PREFILL_AGAIN_LOST_ENDPOINT,
			    (double)exchange->caller.prompt_tokens *
				    repair->replacement.new_layers /
				    exchange->service->engine.layers);
	exchange->target = repair->replacement.target;
	exchange->last_progress_ms =
		MAX(exchange->last_progress_ms, repair->sent_ms);
	free_repair(exchange);
}

/* Avoids the new endpoint for which the order was refused. */
static void exclude_faulty_endpoint(repair_t *repair,
				    const http_message_t *answer)
{
	exchange_t *exchange = repair->exchange;
	const target_t *target = &repair->replacement.target;
	char address[ENDPOINT_ADDRESS_BYTES];

	if (!exchange->gateway->dialect->read_order_fault(answer, address))
		return;
	for (uint32_t i = 0; i < target->count; i++)
		if (repair->replacement.is_new[i] &&
		    strcmp(target->addresses[i], address) == 0)
			g_ptr_array_add(exchange->failed_ids,
					g_strdup(target->ids[i]));
}

static void on_complete(http_call_handler_t *handler,
			const http_message_t *answer)
{
	repair_t *repair = repair_of(handler);
	exchange_t *exchange = repair->exchange;

	repair->call = NULL;
	if (answer->status == 200 || answer->status == 202) {
		finish_repair(exchange, answer->status);
		return;
	}
	exclude_faulty_endpoint(repair, answer);
	fail_repair(exchange, answer->status, "refused");
	exchange_check_stall(exchange, now_of(exchange));
}

static void on_failed(http_call_handler_t *handler, http_call_stage_t stage,
		      const char *reason)
{
	repair_t *repair = repair_of(handler);
	exchange_t *exchange = repair->exchange;

	(void)stage;
	repair->call = NULL;
	fail_repair(exchange, 0, reason);
	exchange_check_stall(exchange, now_of(exchange));
}

/* Sends the order; returns false if the request's id cannot be written. */
static bool send_order(repair_t *repair, clock_ms_t now)
{
	gateway_t *gateway = repair->exchange->gateway;
	const target_t *target = &repair->replacement.target;
	const http_call_limits_t limits = {
		.connect_ms = REPAIR_ANSWER_TIMEOUT_MS,
		.body_bytes = REPAIR_ANSWER_BYTES_MAX,
	};
	forward_hop_t hops[PIPELINE_HOPS_MAX];
	const repath_order_t order = {
		.endpoint_id = target->ids[0],
		.request_id = repair->exchange->caller.id,
		.hops = hops,
		.hop_count = target->count,
	};
	GString *request = g_string_new(NULL);
	bool written;

	for (uint32_t i = 0; i < target->count; i++)
		hops[i] = (forward_hop_t){
			.address = target->addresses[i],
			.first_layer = target->first_layers[i],
			.end_layer = target->end_layers[i],
		};
	written = gateway->dialect->write_repath_order(&order, request);
	repair->sent_ms = now;
	if (written)
		repair->call =
			http_call_new(gateway->net->loop, target->addresses[0],
				      request, &limits, &repair->handler);
	g_string_free(request, TRUE);
	return written;
}

/*
 * Whether the hop's endpoint is known to be lost.  Missing heartbeats alone do
 * not count, as the endpoint may be cut off from control instances only.  One
 * that has deregistered serves its streams for some seconds, so it is lost only
 * if the stream pauses for longer than its goal.
 */
static bool is_hop_lost(const exchange_t *exchange, uint32_t hop)
{
	clock_ms_t silent_ms = now_of(exchange) - exchange->last_progress_ms;
	const endpoint_t *endpoint = registry_find(&exchange->gateway->registry,
						   exchange->target.ids[hop]);

	return endpoint != NULL &&
	       (endpoint->unreachable ||
		(endpoint->gone && silent_ms > exchange->route->gap_goal_ms));
}

/* Returns whether an endpoint of the current attempt is known to be lost. */
bool repair_has_lost_hop(const exchange_t *exchange)
{
	for (uint32_t i = 0; i < exchange->target.count; i++)
		if (is_hop_lost(exchange, i))
			return true;
	return false;
}

/*
 * Whether the attempt may be repaired.  Without an event of it, its first
 * endpoint may not have begun it and then knows no such request.
 */
static bool is_repairable(const exchange_t *exchange)
{
	return exchange->service->has_engine && exchange->target.is_pipeline &&
	       exchange->call != NULL && exchange->is_streaming &&
	       exchange->event_stream.attempt_event_count > 0 &&
	       !exchange->repair_failed;
}

/*
 * Orders a repair if an endpoint of a silent stream is lost.  Returns whether
 * an order is under way; the stream is then not resumed elsewhere yet.  Must be
 * called periodically, since it also ends an order without an answer.
 */
bool repair_check(exchange_t *exchange, clock_ms_t now)
{
	bool is_lost[PIPELINE_HOPS_MAX] = { false };
	bool found = false;
	repair_t *repair;

	if (exchange->repair != NULL) {
		if (now - exchange->repair->sent_ms < REPAIR_ANSWER_TIMEOUT_MS)
			return true;
		fail_repair(exchange, 0, "no_answer");
		return false;
	}
	if (now - exchange->last_progress_ms < GATEWAY_LOST_ENDPOINT_STALL_MS ||
	    !is_repairable(exchange))
		return false;
	for (uint32_t i = 0; i < exchange->target.count; i++)
		found |= is_lost[i] = is_hop_lost(exchange, i);
	if (!found || is_lost[0])
		return false;
	repair = g_new0(repair_t, 1);
	repair->handler.complete = on_complete;
	repair->handler.failed = on_failed;
	repair->exchange = exchange;
	memcpy(repair->is_lost, is_lost, sizeof(is_lost));
	exchange->repair = repair;
	if (!target_replace_lost(exchange, is_lost, &repair->replacement)) {
		fail_repair(exchange, 0, "no_replacement");
		return false;
	}
	count_new_endpoints(repair, true);
	if (send_order(repair, now))
		return true;
	fail_repair(exchange, 0, "unwritable_id");
	return false;
}

/* The attempt ends: cancels the order that is under way for it, if any. */
void repair_end_attempt(exchange_t *exchange)
{
	exchange->repair_failed = false;
	if (exchange->repair == NULL)
		return;
	count_new_endpoints(exchange->repair, false);
	free_repair(exchange);
}
