/*
 * The page /where of an entry: reads the question, and writes the answer of
 * gateway/where.c as JSON.
 */
#include "wisteria/daemon/fleet_where.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "wisteria/gateway/where.h"
#include "wisteria/http/http_message.h"

/* Takes ownership of "body". */
static void reply(http_conn_t *conn, unsigned status, json_t *body)
{
	char *text = json_dumps(body, JSON_INDENT(2));

	http_conn_reply(conn, status, "Content-Type: application/json\r\n",
			text, strlen(text));
	free(text);
	json_decref(body);
}

static void reply_error(http_conn_t *conn, unsigned status, const char *reason)
{
	reply(conn, status, json_pack("{s:s}", "reason", reason));
}

/* Reads a number of tokens; one that is not there stays 0. */
static bool read_tokens(GHashTable *params, const char *name, uint32_t *tokens)
{
	const char *text = g_hash_table_lookup(params, name);
	guint64 value;

	if (text == NULL)
		return true;
	if (!g_ascii_string_to_unsigned(text, 10, 1, WHERE_TOKENS_MAX, &value,
					NULL))
		return false;
	*tokens = (uint32_t)value;
	return true;
}

static json_t *write_number(double value)
{
	char text[32];

	g_snprintf(text, sizeof(text), "%.6g", value);
	return json_string(text);
}

static json_t *write_hops(const planned_flow_t *flow)
{
	json_t *hops = json_array();

	for (uint32_t i = 0; i < flow->hop_count; i++) {
		const planned_hop_t *hop = &flow->hops[i];

		json_array_append_new(
			hops,
			json_pack("{s:s, s:i, s:i}", "endpoint", hop->endpoint,
				  "first_layer", (int)hop->first_layer,
				  "end_layer", (int)hop->end_layer));
	}
	return hops;
}

static json_t *write_flow(const where_flow_t *flow, bool is_chosen)
{
	static const char *const states[] = {
		[FLOW_USABLE] = "usable",    [FLOW_NO_ENDPOINT] = "endpoint",
		[FLOW_NO_WINDOW] = "window", [FLOW_NO_MEMORY] = "memory",
		[FLOW_LIMITED] = "limit",
	};
	const planned_flow_t *planned = flow->flow;

	return json_pack(
		"{s:s, s:i, s:o, s:o, s:o, s:o, s:o, s:s, s:b, s:o}", "first",
		planned->hops[0].endpoint, "hop_count", (int)planned->hop_count,
		"tokens_per_s", write_number(planned->weight), "first_event_ms",
		write_number(planned->first_event_ms), "pause_ms",
		write_number(planned->pause_ms), "window_tokens",
		write_number(flow->window_tokens), "unread_tokens",
		write_number(flow->unread_tokens), "state", states[flow->state],
		"chosen", is_chosen, "hops", write_hops(planned));
}

static json_t *write_flows(const where_answer_t *answer)
{
	json_t *flows = json_array();

	for (guint i = 0; i < answer->flows->len; i++) {
		const where_flow_t *flow =
			&g_array_index(answer->flows, where_flow_t, i);

		json_array_append_new(
			flows, write_flow(flow, flow->flow == answer->chosen));
	}
	return flows;
}

static void write_plan(const where_answer_t *answer, json_t *body)
{
	const service_flows_t *plan = answer->plan;

	json_object_set_new(body, "plan_valid", json_boolean(plan != NULL));
	if (answer->plan_age_ms >= 0) {
		json_object_set_new(body, "plan_age_ms",
				    json_integer(answer->plan_age_ms));
		json_object_set_new(body, "term",
				    json_integer((json_int_t)answer->term));
		json_object_set_new(body, "sequence",
				    json_integer((json_int_t)answer->sequence));
	}
	if (plan == NULL)
		return;
	json_object_set_new(body, "share_per_s",
			    write_number(plan->share_per_s));
	json_object_set_new(body, "capacity_per_s",
			    write_number(plan->capacity_per_s));
	json_object_set_new(body, "level", json_integer(plan->level));
	json_object_set_new(body, "promoted_fraction",
			    write_number(plan->promoted[MAX(answer->rank, 0)]));
	json_object_set_new(body, "promoted",
			    json_boolean(answer->is_promoted));
}

static json_t *write_answer(const where_answer_t *answer)
{
	static const char *const outcomes[] = {
		[WHERE_START] = "start",
		[WHERE_WAIT] = "wait",
		[WHERE_REFUSE] = "refuse",
		[WHERE_SEARCH] = "search",
	};
	json_t *body = json_pack(
		"{s:s, s:I, s:s, s:i, s:i, s:i, s:i, s:i, s:i, s:o}", "outcome",
		outcomes[answer->outcome], "revision",
		(json_int_t)answer->revision, "service", answer->service->name,
		"service_weight", (int)answer->service_weight, "weight_sum",
		(int)answer->weight_sum, "prompt_tokens",
		(int)answer->prompt_tokens, "answer_tokens",
		(int)answer->answer_tokens, "rank", (int)answer->rank,
		"waiting", (int)answer->waiting, "flows", write_flows(answer));

	if (answer->reason != NULL)
		json_object_set_new(body, "reason",
				    json_string(answer->reason));
	if (answer->outcome == WHERE_WAIT) {
		json_object_set_new(body, "expected_wait_ms",
				    json_integer(answer->expected_ms));
		json_object_set_new(body, "longest_wait_ms",
				    json_integer(answer->wait_limit_ms));
	}
	if (answer->chosen != NULL)
		json_object_set_new(
			body, "chosen",
			json_string(answer->chosen->hops[0].endpoint));
	write_plan(answer, body);
	return body;
}

static void find_and_reply(const gateway_t *gateway, const where_query_t *query,
			   http_conn_t *conn)
{
	where_answer_t answer;

	switch (where_find(gateway, query, &answer)) {
	case WHERE_NO_CONFIGURATION:
		reply_error(conn, 503, "no configuration is in force yet");
		return;
	case WHERE_NO_ROUTE:
		reply_error(conn, 404, "no such route");
		return;
	case WHERE_NO_CUSTOMER:
		reply_error(conn, 404, "no such customer");
		return;
	case WHERE_FOUND:
		break;
	}
	reply(conn, 200, write_answer(&answer));
	where_answer_finish(&answer);
}

/*
 * Answers a question; "query" is the part of the URL after the question mark.
 * Runs on the gateway's event loop.
 */
void fleet_where_reply(const gateway_t *gateway, const char *query,
		       http_conn_t *conn)
{
	GHashTable *params =
		g_uri_parse_params(query, -1, "&", G_URI_PARAMS_NONE, NULL);
	where_query_t question = { 0 };

	if (params == NULL) {
		reply_error(conn, 400, "the query cannot be read");
		return;
	}
	question.route = g_hash_table_lookup(params, "route");
	question.customer = g_hash_table_lookup(params, "customer");
	if (question.route == NULL)
		reply_error(conn, 400, "route is missing");
	else if (!read_tokens(params, "prompt", &question.prompt_tokens) ||
		 !read_tokens(params, "answer", &question.answer_tokens))
		reply_error(conn, 400,
			    "prompt and answer must be numbers from 1 "
			    "to " G_STRINGIFY(WHERE_TOKENS_MAX));
	else
		find_and_reply(gateway, &question, conn);
	g_hash_table_unref(params);
}
