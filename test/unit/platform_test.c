/* Unit tests of the adapter to the users' platform, by example messages. */
#include "unit.h"

#include <string.h>

#include "platform/platform.h"
#include "wisteria/base/err.h"
#include "wisteria/fleet/routes.h"
#include "wisteria/http/http_message.h"
#include "wisteria/http/http_reader.h"

#define ENGINE \
	"\"engine\":{\"slots\":192,\"kvTokenBytes\":590000,\"stride\":2," \
	"\"models\":[{\"name\":\"m\",\"loadS\":14.0}],\"step_ms\":0.85," \
	"\"layers\":80,\"layerMb\":1750.0,\"usual\":{\"prompt\":772," \
	"\"answer\":172},\"kinds\":[{\"name\":\"h100\",\"sizeMb\":72000.0," \
	"\"pace\":1.4,\"readFactor\":1.0}]}"
#define SERVICES \
	"\"services\":[{\"name\":\"llm\",\"maxConns\":998," ENGINE "}," \
	"{\"name\":\"stock\",\"maxConns\":55}]"
#define ROUTE(more) \
	"{\"name\":\"r1\",\"host\":\"h.example\",\"pathPrefix\":\"/a/\"," \
	"\"kind\":\"stream\",\"timeoutMs\":20000,\"goalMs\":500," \
	"\"gapGoalMs\":200,\"streamResume\":true,\"maxAttempts\":2" more "}"
#define TENANTS \
	"\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\",\"k2\"]," \
	"\"priority\":1}]"

static route_table_t *read_table(const char *text, err_t *err)
{
	return platform_dialect.read_configuration(text, strlen(text), err);
}

static void test_configuration(void)
{
	err_t err = ERR_INIT;
	route_table_t *table = read_table(
		"{\"version\":7,\"routes\":[" ROUTE(
			",\"backends\":[{\"service\":"
			"\"llm\",\"weight\":90},"
			"{\"service\":\"stock\",\"weight\":"
			"10}]") "]," SERVICES "," TENANTS ",\"limits\":{"
				"\"maxHeaderBytes\":100,"
				"\"idleTimeoutMs\":9000},"
				"\"unknown\":[]}",
		&err);
	const route_t *route;
	const service_t *service;

	CU_ASSERT_PTR_NOT_NULL(table);
	if (table == NULL)
		return;
	CU_ASSERT_EQUAL(table->revision, 7);
	CU_ASSERT_EQUAL(table->limits.header_bytes, 100);
	CU_ASSERT_EQUAL(table->limits.idle_ms, 9000);
	route = route_table_find_route(table, "h.example", "/a/x");
	CU_ASSERT_PTR_NOT_NULL(route);
	if (route == NULL)
		return;
	CU_ASSERT_EQUAL(route->kind, ROUTE_STREAM);
	CU_ASSERT_TRUE(route->resumable);
	CU_ASSERT_EQUAL(route->weight_sum, 100);
	CU_ASSERT_EQUAL(route->gap_goal_ms, 200);
	CU_ASSERT_EQUAL(route->max_attempts, 2);
	service = route_table_find_service(table, "llm");
	CU_ASSERT_TRUE(service->has_engine);
	CU_ASSERT_EQUAL(service->engine.layers, 80);
	CU_ASSERT_EQUAL(service->engine.mean_answer_tokens, 172);
	CU_ASSERT_DOUBLE_EQUAL(
		engine_find_accelerator(&service->engine, "h100")->size_mb,
		72000, 1);
	CU_ASSERT_FALSE(route_table_find_service(table, "stock")->has_engine);
	CU_ASSERT_STRING_EQUAL(route_table_find_customer(table, "k2")->name,
			       "t1");
	route_table_unref(table);
}

/* Guards against a list without customers that lets every caller in. */
static void test_empty_list_of_customers_requires_keys(void)
{
	static const struct {
		const char *tenants;
		bool requires_key;
	} cases[] = {
		{ "", false },
		{ ",\"tenants\":[]", true },
		{ ",\"tenants\":[{\"name\":\"t1\"}]", true },
		{ ",\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[]}]", true },
		{ "," TENANTS, true },
	};

	for (size_t i = 0; i < ARRAY_SIZE(cases); i++) {
		char *text = g_strdup_printf(
			"{\"version\":7,\"routes\":[]," SERVICES "%s}",
			cases[i].tenants);
		err_t err = ERR_INIT;
		route_table_t *table = read_table(text, &err);

		g_free(text);
		CU_ASSERT_PTR_NOT_NULL(table);
		if (table == NULL)
			continue;
		CU_ASSERT_EQUAL(table->requires_key, cases[i].requires_key);
		CU_ASSERT_PTR_NULL(route_table_find_customer(table, "k3"));
		route_table_unref(table);
	}
}

static void test_refused_configurations(void)
{
	static const char *const refused[] = {
		"",
		"[]",
		("{\"version\":7"),
		("{\"routes\":[]," SERVICES "}"),
		("{\"version\":\"7\",\"routes\":[]," SERVICES "}"),
		("{\"version\":0,\"routes\":[]," SERVICES "}"),
		("{\"version\":7," SERVICES "}"),
		("{\"version\":7,\"routes\":[]}"),
		("{\"version\":7,\"routes\":[3]," SERVICES "}"),
		("{\"version\":7,\"routes\":[" ROUTE("") "]," SERVICES "}"),
		("{\"version\":7,\"routes\":[" ROUTE(
			",\"service\":\"nobody\"") "]," SERVICES "}"),
		("{\"version\":7,\"routes\":[" ROUTE(
			",\"service\":"
			"\"llm\"") "," ROUTE(",\"service\":\"stock\"") "]"
								       "," SERVICES
								       "}"),
		("{\"version\":7,\"routes\":[" ROUTE(
			",\"backends\":[{\"service\":\"llm\","
			"\"weight\":0}]") "]," SERVICES "}"),
		("{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":"
		 "\"h\","
		 "\"pathPrefix\":\"/a/"
		 "\",\"kind\":\"stream\",\"timeoutMs\":0,"
		 "\"service\":\"llm\"}]," SERVICES "}"),
		("{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":"
		 "\"h\","
		 "\"pathPrefix\":\"/a/"
		 "\",\"kind\":\"odd\",\"timeoutMs\":9,"
		 "\"service\":\"llm\"}]," SERVICES "}"),
		("{\"version\":7,\"routes\":[]," SERVICES ",\"tenants\":["
		 "{\"name\":\"a\",\"apiKeys\":[\"k\"]},"
		 "{\"name\":\"b\",\"apiKeys\":[\"k\"]}]}"),
		"{\"version\":7,\"routes\":[]," SERVICES ",\"tenants\":null}",
		"{\"version\":7,\"routes\":[]," SERVICES ",\"tenants\":{}}",
		"{\"version\":7,\"routes\":[]," SERVICES ",\"tenants\":["
		"{\"name\":\"a\",\"apiKeys\":\"k\"}]}",
		"{\"version\":7,\"routes\":[]," SERVICES ",\"tenants\":["
		"{\"name\":\"a\",\"apiKeys\":null}]}",
	};

	for (size_t i = 0; i < ARRAY_SIZE(refused); i++) {
		err_t err = ERR_INIT;

		CU_ASSERT_PTR_NULL(read_table(refused[i], &err));
		CU_ASSERT_EQUAL(err.code, ERR_INVALID);
		if (!err_is_set(&err))
			printf("\n  %s\n", refused[i]);
	}
}

static http_reader_t reader;

/* Parses "text" as a request or an answer; the caller finishes "reader". */
static const http_message_t *parse_message(enum http_parser_type type,
					   const char *text)
{
	http_reader_init(&reader, type, 10000, 1000000);
	CU_ASSERT_EQUAL(http_reader_feed(&reader, text, strlen(text)),
			strlen(text));
	CU_ASSERT_EQUAL(reader.state, HTTP_READ_COMPLETE);
	return &reader.message;
}

static bool read_heartbeat(const char *body, endpoint_t *endpoint)
{
	char *text = g_strdup_printf(
		"POST /wisteriadrift/instances/i-7f/heartbeat HTTP/1.1\r\n"
		"Host: x\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(body), body);
	err_t err = ERR_INIT;
	bool ok = platform_dialect.read_heartbeat(
		parse_message(HTTP_REQUEST, text), endpoint, &err);

	CU_ASSERT_EQUAL(ok, !err_is_set(&err));
	http_reader_finish(&reader);
	g_free(text);
	return ok;
}

#define HEARTBEAT(more) \
	"{\"service\":\"llm\",\"address\":\"10.0.0.9:80\",\"zone\":\"z1\"," \
	"\"slots\":192,\"seq\":4" more "}"

static void test_heartbeats(void)
{
	endpoint_t endpoint;

	CU_ASSERT_TRUE(read_heartbeat(
		HEARTBEAT(",\"state\":\"ready\",\"born\":1700000000123,"
			  "\"kind\":\"h100\",\"layers\":{\"from\":20,\"to\":31,"
			  "\"version\":1},\"new\":1"),
		&endpoint));
	CU_ASSERT_STRING_EQUAL(endpoint.id, "i-7f");
	CU_ASSERT_EQUAL(endpoint.incarnation, 1700000000123);
	CU_ASSERT_EQUAL(endpoint.sequence, 4);
	CU_ASSERT_EQUAL(endpoint.first_layer, 20);
	CU_ASSERT_EQUAL(endpoint.end_layer, 31);
	CU_ASSERT_STRING_EQUAL(endpoint.accelerator, "h100");
	CU_ASSERT_FALSE(endpoint.draining);
	CU_ASSERT_TRUE(read_heartbeat(HEARTBEAT(",\"state\":\"draining\""),
				      &endpoint));
	CU_ASSERT_TRUE(endpoint.draining);
	CU_ASSERT_EQUAL(endpoint.end_layer, 0);
	CU_ASSERT_TRUE(read_heartbeat(
		HEARTBEAT(",\"state\":\"ready\",\"layers\":null"), &endpoint));
}

/* Invalid heartbeats, as other implementations send them, are refused. */
static void test_invalid_heartbeats(void)
{
	static const char *const refused[] = {
		"",
		"{",
		"[]",
		HEARTBEAT(""),
		HEARTBEAT(",\"state\":\"resting\""),
		HEARTBEAT(",\"state\":3"),
		HEARTBEAT(",\"state\":\"ready\",\"born\":\"x\""),
		HEARTBEAT(",\"state\":\"ready\",\"born\":1.5"),
		HEARTBEAT(",\"state\":\"ready\",\"kind\":7"),
		HEARTBEAT(",\"state\":\"ready\",\"slots\":192"),
		HEARTBEAT(",\"state\":\"ready\",\"born\":-1"),
		HEARTBEAT(",\"state\":\"ready\",\"born\":1e400"),
		HEARTBEAT(",\"state\":\"ready\",\"born\":18446744073709551616"),
		HEARTBEAT(",\"state\":\"ready\",\"coldLeftMs\":\"soon\""),
		HEARTBEAT(",\"state\":\"ready\",\"models\":{}"),
		HEARTBEAT(",\"state\":\"ready\",\"version\":1"),
		HEARTBEAT(",\"state\":\"ready\",\"layers\":{\"from\":0,\"to\":"
			  "4294967296}"),
		HEARTBEAT(",\"state\":\"ready\",\"stage\":\"\\u0000\""),
		HEARTBEAT(",\"state\":\"ready\",\"stage\":\"\xff\""),
		("{\"service\":\"llm\",\"address\":\"10.0.0.9:80\","
		 "\"zone\":\"z1\",\"slots\":4294967296,\"seq\":4,"
		 "\"state\":\"ready\"}"),
		HEARTBEAT(",\"state\":\"ready\",\"layers\":{\"from\":9,\"to\":"
			  "3}"),
		HEARTBEAT(",\"state\":\"ready\",\"layers\":{\"from\":-1,\"to\":"
			  "3}"),
		("{\"service\":\"llm\",\"address\":\"10.0.0.9:80\","
		 "\"zone\":\"z1\",\"slots\":\"many\",\"seq\":4,"
		 "\"state\":\"ready\"}"),
		("{\"service\":\"\",\"address\":\"10.0.0.9:80\",\"zone\":"
		 "\"z1\","
		 "\"slots\":1,\"seq\":4,\"state\":\"ready\"}"),
	};
	endpoint_t endpoint;

	for (size_t i = 0; i < ARRAY_SIZE(refused); i++)
		CU_ASSERT_FALSE(read_heartbeat(refused[i], &endpoint));
}

/* Failure: a heartbeat that is nested too deep, or too long, is used. */
static void test_oversized_heartbeats_are_refused(void)
{
	GString *nested = g_string_new(
		"{\"service\":\"llm\",\"address\":\"10.0.0.9:80\",\"zone\":"
		"\"z1\",\"slots\":192,\"seq\":4,\"state\":\"ready\",\"new\":");
	GString *text = g_string_new(nested->str);
	endpoint_t endpoint;

	for (int i = 0; i < 10000; i++)
		g_string_append_c(nested, '[');
	for (int i = 0; i < 10000; i++)
		g_string_append_c(nested, ']');
	g_string_append_c(nested, '}');
	CU_ASSERT_FALSE(read_heartbeat(nested->str, &endpoint));
	g_string_append_c(text, '"');
	while (text->len < 300000)
		g_string_append_c(text, 'x');
	g_string_append(text, "\"}");
	CU_ASSERT_FALSE(read_heartbeat(text->str, &endpoint));
	g_string_free(nested, TRUE);
	g_string_free(text, TRUE);
}

typedef struct {
	const char *line;
	control_call_t call;
} call_row_t;

static void test_control_calls(void)
{
	static const call_row_t rows[] = {
		{ "POST /wisteriadrift/config/replace",
		  CONTROL_CALL_PUT_CONFIGURATION },
		{ "GET /wisteriadrift/config/get",
		  CONTROL_CALL_GET_CONFIGURATION },
		{ "POST /wisteriadrift/instances/i-1/heartbeat",
		  CONTROL_CALL_HEARTBEAT },
		{ "POST /wisteriadrift/instances/i-1/deregister",
		  CONTROL_CALL_LEAVE },
		{ "POST /wisteriadrift/instances//heartbeat",
		  CONTROL_CALL_UNKNOWN },
		{ "POST /wisteriadrift/instances/a/b/heartbeat",
		  CONTROL_CALL_UNKNOWN },
		{ "GET /wisteriadrift/instances/i-1/heartbeat",
		  CONTROL_CALL_UNKNOWN },
		{ "GET /", CONTROL_CALL_UNKNOWN },
	};

	for (size_t i = 0; i < ARRAY_SIZE(rows); i++) {
		char *text = g_strdup_printf("%s HTTP/1.1\r\nHost: x\r\n\r\n",
					     rows[i].line);

		CU_ASSERT_EQUAL(platform_dialect.read_control_call(
					parse_message(HTTP_REQUEST, text)),
				rows[i].call);
		http_reader_finish(&reader);
		g_free(text);
	}
}

static void test_callers(void)
{
	caller_request_t caller;
	err_t err = ERR_INIT;

	CU_ASSERT_TRUE(platform_dialect.read_caller(
		parse_message(HTTP_REQUEST,
			      "GET /a/ HTTP/1.1\r\nHost: h\r\n"
			      "X-Wisteriadrift-Request-Id: 9c\r\n"
			      "X-Wisteriadrift-Token-Count: 1460,80\r\n"
			      "X-Wisteriadrift-Length-Hint: 50\r\n"
			      "X-Wisteriadrift-Prefix-Hash: 5c1e07a2:800, "
			      "91BD3f06:410,e4402b7d:250\r\n"
			      "X-Wisteriadrift-Deadline-Ms: 2500\r\n"
			      "Last-Event-Id: 12\r\n"
			      "Authorization: bearer  k1\r\n\r\n"),
		&caller, &err));
	CU_ASSERT_STRING_EQUAL(caller.id, "9c");
	CU_ASSERT_STRING_EQUAL(caller.api_key, "k1");
	CU_ASSERT_EQUAL(caller.prompt_tokens, 1460);
	CU_ASSERT_EQUAL(caller.answer_tokens_max, 80);
	CU_ASSERT_EQUAL(caller.answer_tokens_hint, 50);
	CU_ASSERT_EQUAL(caller.shared_part_count, 2);
	CU_ASSERT_EQUAL(caller.shared_parts[0], 0x5c1e07a2);
	CU_ASSERT_EQUAL(caller.shared_parts[1], 0x91bd3f06);
	CU_ASSERT_EQUAL(caller.time_limit_ms, 2500);
	CU_ASSERT_EQUAL(caller.last_event_id, 12);
	http_reader_finish(&reader);
	CU_ASSERT_FALSE(platform_dialect.read_caller(
		parse_message(HTTP_REQUEST,
			      "GET /a/ HTTP/1.1\r\nHost: h\r\n"
			      "X-Wisteriadrift-Deadline-Ms: soon\r\n"
			      "\r\n"),
		&caller, &err));
	http_reader_finish(&reader);
}

/* Forwards no API key, the gateway's headers once, and the unchanged body. */
static void test_forward(void)
{
	static const forward_hop_t hops[] = { { "10.0.0.1:80", 0, 20 },
					      { "10.0.0.2:80", 20, 80 } };
	forward_t forward = { .endpoint_id = "i-1",
			      .customer = "t1",
			      .time_limit_ms = 900,
			      .last_event_id = 4,
			      .hops = hops,
			      .hop_count = 2,
			      .rank = REQUEST_RANK_NONE };
	GString *out = g_string_new(NULL);

	platform_dialect.write_forward(
		parse_message(HTTP_REQUEST,
			      "POST /a/b?c HTTP/1.1\r\nHost: h\r\n"
			      "Authorization: Bearer k1\r\nX-Mine: 1\r\n"
			      "X-Hop: 2\r\nConnection: keep-alive, x-hop\r\n"
			      "X-Wisteriadrift-Tenant: forged\r\n"
			      "X-Wisteriadrift-Hop-Count: forged\r\n"
			      "X-Wisteriadrift-Expect-Instance: forged\r\n"
			      "X-Wisteriadrift-Deadline-Ms: 5000\r\n"
			      "Last-Event-Id: 1\r\n"
			      "Content-Length: 3\r\n\r\nabc"),
		&forward, out);
	http_reader_finish(&reader);
	CU_ASSERT_STRING_EQUAL(
		out->str, "POST /a/b?c HTTP/1.1\r\nHost: h\r\nX-Mine: 1\r\n"
			  "X-Wisteriadrift-Deadline-Ms: 900\r\n"
			  "X-Wisteriadrift-Expect-Instance: i-1\r\n"
			  "X-Wisteriadrift-Tenant: t1\r\nLast-Event-Id: 4\r\n"
			  "X-Wisteriadrift-Hop-Count: 10.0.0.1:80=0-20,"
			  "10.0.0.2:80=20-80\r\n"
			  "Content-Length: 3\r\nConnection: close\r\n\r\nabc");
	g_string_truncate(out, 0);
	forward.rank = 3;
	platform_dialect.write_forward(
		parse_message(HTTP_REQUEST,
			      "GET /a/ HTTP/1.1\r\nHost: h\r\n"
			      "X-Wisteriadrift-Request-Priority: 0\r\n\r\n"),
		&forward, out);
	http_reader_finish(&reader);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(out->str, "X-Wisteriadrift-Request-Priority: 3\r\n"));
	CU_ASSERT_PTR_NULL(
		strstr(out->str, "X-Wisteriadrift-Request-Priority: 0\r\n"));
	g_string_free(out, TRUE);
}

#define MODEL(layers) \
	"{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"llm\"," \
	"\"engine\":{\"layers\":" layers "}}]}"

/* Failure: a number that is too large ends the instances that hold it. */
static void test_numbers_out_of_range(void)
{
	static const char *const refused[] = {
		MODEL("1025"),
		MODEL("4294967295"),
		MODEL("1e300"),
		MODEL("1e400"),
	};
	err_t err = ERR_INIT;
	const route_t *route;
	route_table_t *table;

	for (size_t i = 0; i < ARRAY_SIZE(refused); i++)
		CU_ASSERT_PTR_NULL(read_table(refused[i], &err));
	table = read_table(MODEL("-1"), &err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(table);
	CU_ASSERT_EQUAL(route_table_find_service(table, "llm")->engine.layers,
			0);
	route_table_unref(table);
	table = read_table(
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		"\"pathPrefix\":\"/a/\",\"kind\":\"stream\",\"service\":"
		"\"llm\",\"timeoutMs\":1e300,\"goalMs\":-5,\"maxAttempts\":"
		"1e20}]," SERVICES ",\"limits\":{\"maxHeaderBytes\":1e300,"
		"\"idleTimeoutMs\":1e300}}",
		&err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(table);
	route = route_table_find_route(table, "h", "/a/x");
	CU_ASSERT(route->timeout_ms > 20000);
	CU_ASSERT_EQUAL(route->goal_ms, 0);
	CU_ASSERT_EQUAL(route->max_attempts, UINT32_MAX);
	CU_ASSERT(table->limits.header_bytes > 16384);
	CU_ASSERT(table->limits.idle_ms > 9000);
	route_table_unref(table);
}

typedef struct {
	const char *status;
	bool not_run;
} refusal_t;

/* Failure: the answer of a run is taken for a refusal. */
static void test_statuses_of_refusals(void)
{
	static const refusal_t refusals[] = {
		{ "400", true },  { "421", true },  { "429", true },
		{ "503", true },  { "200", false }, { "404", false },
		{ "408", false }, { "500", false }, { "502", false },
		{ "504", false },
	};
	endpoint_answer_t read;

	for (size_t i = 0; i < ARRAY_SIZE(refusals); i++) {
		char *text =
			g_strdup_printf("HTTP/1.1 %s No\r\n"
					"X-Wisteriadrift-Not-Executed: 1\r\n"
					"Content-Length: 0\r\n\r\n",
					refusals[i].status);

		platform_dialect.read_answer(parse_message(HTTP_RESPONSE, text),
					     &read);
		CU_ASSERT_EQUAL(read.not_run, refusals[i].not_run);
		http_reader_finish(&reader);
		g_free(text);
	}
}

static void test_answers_that_name_two_requests(void)
{
	endpoint_answer_t read;

	platform_dialect.read_answer(
		parse_message(HTTP_RESPONSE,
			      "HTTP/1.1 503 No\r\n"
			      "X-Wisteriadrift-Request-Id: 9c\r\n"
			      "x-wisteriadrift-request-id: 9c\r\n"
			      "Content-Length: 0\r\n\r\n"),
		&read);
	CU_ASSERT_FALSE(read.names_others);
	http_reader_finish(&reader);
	platform_dialect.read_answer(
		parse_message(HTTP_RESPONSE,
			      "HTTP/1.1 503 No\r\n"
			      "X-Wisteriadrift-Request-Id: 9c\r\n"
			      "X-Wisteriadrift-Request-Id: 9C\r\n"
			      "Content-Length: 0\r\n\r\n"),
		&read);
	CU_ASSERT_TRUE(read.names_others);
	http_reader_finish(&reader);
}

static void test_answers(void)
{
	endpoint_answer_t read;
	GString *out = g_string_new(NULL);
	const http_message_t *answer;

	answer = parse_message(HTTP_RESPONSE,
			       "HTTP/1.1 200 OK\r\n"
			       "X-Wisteriadrift-Request-Id: 9c\r\n"
			       "X-Wisteriadrift-Response-Stamp: 3e.1\r\n"
			       "Connection: close\r\nKeep-Alive: timeout=5\r\n"
			       "Content-Length: 0\r\n\r\n");
	platform_dialect.read_answer(answer, &read);
	CU_ASSERT_STRING_EQUAL(read.request_id, "9c");
	CU_ASSERT_TRUE(read.stamped);
	CU_ASSERT_FALSE(read.not_run);
	platform_dialect.write_answer_headers(answer, out);
	CU_ASSERT_STRING_EQUAL(out->str,
			       "X-Wisteriadrift-Request-Id: 9c\r\n"
			       "X-Wisteriadrift-Response-Stamp: 3e.1\r\n");
	http_reader_finish(&reader);
	platform_dialect.read_answer(
		parse_message(
			HTTP_RESPONSE,
			"HTTP/1.1 503 No\r\nX-Wisteriadrift-Not-Executed: 1\r\n"
			"At-Server: 10.0.0.2:80\r\nContent-Length: 0\r\n\r\n"),
		&read);
	CU_ASSERT_TRUE(read.not_run);
	CU_ASSERT_STRING_EQUAL(read.faulty_address, "10.0.0.2:80");
	http_reader_finish(&reader);
	platform_dialect.read_answer(parse_message(HTTP_RESPONSE,
						   "HTTP/1.1 421 No\r\n"
						   "Content-Length: 0\r\n\r\n"),
				     &read);
	CU_ASSERT_TRUE(read.not_run);
	http_reader_finish(&reader);
	platform_dialect.read_answer(parse_message(HTTP_RESPONSE,
						   "HTTP/1.1 503 No\r\n"
						   "Content-Length: 0\r\n\r\n"),
				     &read);
	CU_ASSERT_FALSE(read.not_run);
	http_reader_finish(&reader);
	g_string_free(out, TRUE);
}

static const http_message_t *parse_rejection(const char *headers)
{
	char *text = g_strdup_printf(
		"HTTP/1.1 503 No\r\n%sContent-Length: 0\r\n\r\n", headers);
	const http_message_t *answer = parse_message(HTTP_RESPONSE, text);

	g_free(text);
	return answer;
}

static void expect_pause(const char *headers, clock_ms_t expected)
{
	endpoint_answer_t read;

	platform_dialect.read_answer(parse_rejection(headers), &read);
	CU_ASSERT_EQUAL(read.pause_ms, expected);
	CU_ASSERT_PTR_NULL(read.unreadable_pause);
	http_reader_finish(&reader);
}

static void expect_unreadable_pause(const char *headers, const char *expected)
{
	endpoint_answer_t read;

	platform_dialect.read_answer(parse_rejection(headers), &read);
	CU_ASSERT_EQUAL(read.pause_ms, 0);
	CU_ASSERT(read.unreadable_pause != NULL &&
		  strcmp(read.unreadable_pause, expected) == 0);
	http_reader_finish(&reader);
}

static void test_pauses_of_endpoints(void)
{
	endpoint_answer_t read;

	expect_pause("", 0);
	expect_pause("Retry-After: 2\r\n", 2000);
	expect_pause("Retry-After: 0.25\r\n", 250);
	expect_pause("Retry-After: 1000000000\r\n", 86400 * 1000);
	expect_unreadable_pause("Retry-After: -1\r\n", "-1");
	expect_unreadable_pause("Retry-After: \r\n", "");
	expect_unreadable_pause("Retry-After: nan\r\n", "nan");
	expect_unreadable_pause(
		"Retry-After: Fri, 04 Dec 2026 08:00:00 GMT\r\n",
		"Fri, 04 Dec 2026 08:00:00 GMT");
	/* Only a refusal asks for a pause. */
	platform_dialect.read_answer(parse_message(HTTP_RESPONSE,
						   "HTTP/1.1 500 No\r\n"
						   "Retry-After: 2\r\n"
						   "Content-Length: 0\r\n\r\n"),
				     &read);
	CU_ASSERT_EQUAL(read.pause_ms, 0);
	http_reader_finish(&reader);
}

static void expect_limit(const char *status, const char *headers,
			 double expected, const char *unreadable)
{
	char *text = g_strdup_printf(
		"HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n", status, headers);
	const http_message_t *answer = parse_message(HTTP_RESPONSE, text);
	GString *forwarded = g_string_new(NULL);
	endpoint_answer_t read;

	platform_dialect.read_answer(answer, &read);
	CU_ASSERT_EQUAL(read.request_limit, expected);
	CU_ASSERT_EQUAL(g_strcmp0(read.unreadable_limit, unreadable), 0);
	platform_dialect.write_answer_headers(answer, forwarded);
	CU_ASSERT_PTR_NULL(strstr(forwarded->str, "Server-Limit"));
	g_string_free(forwarded, TRUE);
	g_free(text);
	http_reader_finish(&reader);
}

/* Any answer may name a limit; callers don't see it. */
static void test_request_limits_of_endpoints(void)
{
	expect_limit("200 OK", "", REQUEST_LIMIT_NONE, NULL);
	expect_limit("200 OK", "Server-Limit: 12.3\r\n", 12.3, NULL);
	expect_limit("503 No", "Server-Limit: 0\r\n", 0, NULL);
	expect_limit("500 No", "Server-Limit: 0.004\r\n", 0.004, NULL);
	expect_limit("200 OK", "Server-Limit: 99999999999\r\n", 1e6, NULL);
	expect_limit("200 OK", "Server-Limit: -1\r\n", REQUEST_LIMIT_NONE,
		     "-1");
	expect_limit("200 OK", "Server-Limit: nan\r\n", REQUEST_LIMIT_NONE,
		     "nan");
	expect_limit("200 OK", "Server-Limit: inf\r\n", REQUEST_LIMIT_NONE,
		     "inf");
	expect_limit("200 OK", "Server-Limit: 1e999\r\n", REQUEST_LIMIT_NONE,
		     "1e999");
	expect_limit("200 OK", "Server-Limit: 10 a second\r\n",
		     REQUEST_LIMIT_NONE, "10 a second");
	expect_limit("200 OK", "Server-Limit: \r\n", REQUEST_LIMIT_NONE, "");
}

/* An endpoint may say that it leaves in any answer; callers don't see it. */
static void test_leaving_endpoint(void)
{
	endpoint_answer_t read;
	GString *out = g_string_new(NULL);
	const http_message_t *answer;

	platform_dialect.read_answer(
		parse_rejection("Server-Leaving: 1\r\nRetry-After: 1\r\n"),
		&read);
	CU_ASSERT_TRUE(read.leaving);
	CU_ASSERT_EQUAL(read.pause_ms, 1000);
	http_reader_finish(&reader);
	platform_dialect.read_answer(parse_rejection("Server-Leaving: 0\r\n"),
				     &read);
	CU_ASSERT_FALSE(read.leaving);
	http_reader_finish(&reader);
	answer = parse_message(HTTP_RESPONSE,
			       "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n"
			       "Retry-After: 9\r\nX-Other: 2\r\n"
			       "Content-Length: 0\r\n\r\n");
	platform_dialect.read_answer(answer, &read);
	CU_ASSERT_TRUE(read.leaving);
	platform_dialect.write_answer_headers(answer, out);
	CU_ASSERT_PTR_NULL(strcasestr(out->str, "leaving"));
	CU_ASSERT_PTR_NULL(strcasestr(out->str, "retry-after"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out->str, "X-Other: 2"));
	http_reader_finish(&reader);
	g_string_free(out, TRUE);
}

static void test_own_headers_and_orders(void)
{
	const caller_request_t caller = { .id = "9c" };
	const place_order_t order = { .address = "10.0.0.9:80",
				      .fencing_token = 5,
				      .first_layer = 20,
				      .end_layer = 31 };
	GString *out = g_string_new(NULL);

	platform_dialect.write_own_headers(&caller, 500, out);
	CU_ASSERT_STRING_EQUAL(out->str, "Content-Type: text/plain\r\n"
					 "X-Wisteriadrift-Request-Id: 9c\r\n"
					 "Retry-After: 0.50\r\n");
	g_string_truncate(out, 0);
	platform_dialect.write_place_order(&order, out);
	CU_ASSERT_PTR_NOT_NULL(strstr(out->str,
				      "{\"op\":\"place\",\"from\":20,\"to\":31,"
				      "\"method\":\"queue\",\"fence\":5}"));
	g_string_free(out, TRUE);
}

/*
 * Guards against an order that the endpoint cannot read, that another endpoint
 * carries out, or that the id of a request breaks.
 */
static void test_repath_order(void)
{
	static const forward_hop_t hops[] = {
		{ "10.0.0.9:80", 0, 20 },
		{ "10.0.0.7:81", 20, 80 },
	};
	repath_order_t order = { .endpoint_id = "i-9",
				 .request_id = "9c\"x",
				 .hops = hops,
				 .hop_count = ARRAY_SIZE(hops) };
	GString *out = g_string_new(NULL);

	CU_ASSERT_TRUE(platform_dialect.write_repath_order(&order, out));
	CU_ASSERT_STRING_EQUAL(
		out->str, "POST /wisteriadrift/order HTTP/1.1\r\n"
			  "Host: 10.0.0.9:80\r\n"
			  "X-Wisteriadrift-Expect-Instance: i-9\r\n"
			  "Content-Type: application/json\r\n"
			  "Connection: close\r\n"
			  "Content-Length: 72\r\n\r\n"
			  "{\"op\":\"repath\",\"id\":\"9c\\\"x\","
			  "\"path\":\"10.0.0.9:80=0-20,10.0.0.7:81=20-80\"}");
	g_string_truncate(out, 0);
	order.request_id = "\xff";
	CU_ASSERT_FALSE(platform_dialect.write_repath_order(&order, out));
	CU_ASSERT_EQUAL(out->len, 0);
	g_string_free(out, TRUE);
}

static bool read_order_fault(const char *body, char *address)
{
	char *text = g_strdup_printf("HTTP/1.1 409 Conflict\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
				     strlen(body), body);
	bool found = platform_dialect.read_order_fault(
		parse_message(HTTP_RESPONSE, text), address);

	http_reader_finish(&reader);
	g_free(text);
	return found;
}

/* Guards against the use of an answer without an address, or with a bad one. */
static void test_order_fault(void)
{
	char address[ENDPOINT_ADDRESS_BYTES];

	CU_ASSERT_TRUE(
		read_order_fault("{\"address\":\"10.0.0.7:81\"}", address));
	CU_ASSERT_STRING_EQUAL(address, "10.0.0.7:81");
	CU_ASSERT_FALSE(read_order_fault("", address));
	CU_ASSERT_FALSE(read_order_fault("no room", address));
	CU_ASSERT_FALSE(read_order_fault("[1]", address));
	CU_ASSERT_FALSE(read_order_fault("{\"address\":7}", address));
	CU_ASSERT_FALSE(read_order_fault(
		"{\"address\":\"0123456789012345678901234567890123456789"
		"01234567\"}",
		address));
}

/* Failure: an odd pace upsets the plans for all engines. */
static void test_odd_reports_are_unreadable(void)
{
	static const char *const bodies[] = {
		"",
		"[]",
		"7",
		"{\"pace\":0}",
		"{\"pace\":-1}",
		"{\"pace\":1e300}",
		"{\"pace\":1e400}",
		"{\"pace\":\"fast\"}",
		"{\"pace\":null}",
		"{\"pace\":[[]]}",
		"{\"pace\":1,\"pace\":9}",
	};
	engine_report_t report;

	for (size_t i = 0; i < ARRAY_SIZE(bodies); i++) {
		char *text = g_strdup_printf(
			"HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
			strlen(bodies[i]), bodies[i]);

		CU_ASSERT_FALSE(platform_dialect.read_probe(
			parse_message(HTTP_RESPONSE, text), &report));
		http_reader_finish(&reader);
		g_free(text);
	}
	CU_ASSERT_TRUE(platform_dialect.read_probe(
		parse_message(HTTP_RESPONSE,
			      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
		&report));
	CU_ASSERT_EQUAL(report.pace, 1);
	http_reader_finish(&reader);
}

static void test_reports(void)
{
	engine_report_t report;

	CU_ASSERT_TRUE(platform_dialect.read_probe(
		parse_message(HTTP_RESPONSE,
			      "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n"
			      "{\"pace\": 12.5}"),
		&report));
	CU_ASSERT_DOUBLE_EQUAL(report.pace, 12.5, 0.01);
	http_reader_finish(&reader);
	CU_ASSERT_FALSE(platform_dialect.read_probe(
		parse_message(
			HTTP_RESPONSE,
			"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone"),
		&report));
	http_reader_finish(&reader);
}

static const unit_test_t tests[] = {
	{ "configuration", test_configuration },
	{ "empty list of customers requires keys",
	  test_empty_list_of_customers_requires_keys },
	{ "refused configurations", test_refused_configurations },
	{ "heartbeats", test_heartbeats },
	{ "numbers out of range", test_numbers_out_of_range },
	{ "odd reports are unreadable", test_odd_reports_are_unreadable },
	{ "statuses of refusals", test_statuses_of_refusals },
	{ "answers that name two requests",
	  test_answers_that_name_two_requests },
	{ "invalid heartbeats", test_invalid_heartbeats },
	{ "oversized heartbeats are refused",
	  test_oversized_heartbeats_are_refused },
	{ "control calls", test_control_calls },
	{ "callers", test_callers },
	{ "forward", test_forward },
	{ "answers", test_answers },
	{ "pauses of endpoints", test_pauses_of_endpoints },
	{ "request limits of endpoints", test_request_limits_of_endpoints },
	{ "leaving endpoint", test_leaving_endpoint },
	{ "own headers and orders", test_own_headers_and_orders },
	{ "repath order", test_repath_order },
	{ "order fault", test_order_fault },
	{ "reports", test_reports },
};

int main(void)
{
	return unit_run("platform", tests, ARRAY_SIZE(tests));
}
