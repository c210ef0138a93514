/*
 * End-to-end tests with real processes: exact answers, errors with a code and a
 * message, streams that survive lost endpoints, connections and failure
 * domains, and planned stops that cut no stream.
 */
#include "../unit/unit.h"

#include <signal.h>
#include <string.h>

#include <jansson.h>

#include "fakes/answer.h"
#include "harness/load.h"
#include "harness/relay.h"

#define STREAMS 200
#define RUN_MS 60000
#define SLOW_LINK_MS 20

static harness_t harness;
static unsigned int failures_before;

/* Each test has its own processes and files. */
static void begin_test(const char *name, cluster_t *cluster,
		       const cluster_params_t *params)
{
	harness_init(&harness, name);
	failures_before = CU_get_number_of_failures();
	cluster_init(cluster, &harness, params);
}

static void end_test(void)
{
	harness_finish(&harness,
		       CU_get_number_of_failures() == failures_before);
}

static void check_journal(const cluster_t *cluster, journal_t *journal)
{
	journal_read_cluster(journal, cluster);
	CU_ASSERT(journal_check(journal));
	journal_finish(journal);
}

static void test_answers(void)
{
	static const cluster_params_t params = { .entries = 1 };
	cluster_t cluster;
	http_client_t client;
	const http_request_t *streamed;
	const http_request_t *plain;
	const http_request_t *bounded;
	char *expected = answer_text("two pallets of M8 bolts", 12, 0, NULL);
	char *shorter = answer_text("two pallets of M8 bolts", 12, 5, NULL);
	char *text;

	begin_test("answers", &cluster, &params);
	cluster_write_files(&cluster);
	CU_ASSERT_FATAL(cluster_start(&cluster));
	http_client_init(&client);
	streamed = cluster_send_request(&cluster, &client, 0,
					"two pallets of M8 bolts", 0, true);
	plain = cluster_send_request(&cluster, &client, 0,
				     "two pallets of M8 bolts", 0, false);
	bounded = cluster_send_request(&cluster, &client, 0,
				       "two pallets of M8 bolts", 5, true);
	CU_ASSERT(http_client_run(&client, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(streamed->status, 200);
	CU_ASSERT(streamed->ended);
	CU_ASSERT_STRING_EQUAL(streamed->answer->str, expected);
	CU_ASSERT_STRING_EQUAL(bounded->answer->str, shorter);
	CU_ASSERT_EQUAL(bounded->events, 5);
	CU_ASSERT_EQUAL(plain->status, 200);
	text = http_body_text(plain);
	CU_ASSERT(text != NULL && strcmp(text, expected) == 0);
	g_free(text);
	http_client_finish(&client);
	g_free(expected);
	g_free(shorter);
	end_test();
}

typedef struct {
	const char *path;
	const char *method;
	const char *api_key;
	const char *body;
	long status;
} bad_case_t;

typedef struct {
	const char *header;
	long status;
} bad_header_t;

static const bad_case_t bad_cases[] = {
	{ "/v1/completions", NULL, NULL, "{\"model\":\"modelo\"}", 401 },
	{ "/v1/completions", NULL, "wrong",
	  "{\"model\":\"modelo\",\"prompt\":\"a\"}", 401 },
	{ "/v1/completions", NULL, CLUSTER_API_KEY, "{\"model\":", 400 },
	{ "/v1/completions", NULL, CLUSTER_API_KEY, "[]", 400 },
	{ "/v1/completions", NULL, CLUSTER_API_KEY, "{\"model\":\"modelo\"}",
	  400 },
	{ "/v1/completions", NULL, CLUSTER_API_KEY,
	  "{\"model\":\"modelo\",\"prompt\":7}", 400 },
	{ "/v1/completions", NULL, CLUSTER_API_KEY,
	  "{\"model\":\"modelo\",\"prompt\":\"a\",\"max_tokens\":-1}", 400 },
	{ "/v1/completions", NULL, CLUSTER_API_KEY,
	  "{\"model\":\"other\",\"prompt\":\"a\"}", 404 },
	{ "/v1/completions", "GET", CLUSTER_API_KEY, NULL, 405 },
	{ "/v1/other", NULL, CLUSTER_API_KEY, "{}", 404 },
	{ "/services/other/a", "GET", CLUSTER_API_KEY, NULL, 404 },
};

/* Each is sent with a request that is fine otherwise. */
static const bad_header_t bad_headers[] = {
	{ "X-Timeout-Ms: 0", 400 },
	{ "X-Timeout-Ms: -1", 400 },
	{ "X-Timeout-Ms: soon", 400 },
	{ "Content-Length: 90000000", 413 }, /* of which little is sent */
};

static void check_error(const http_request_t *request, const bad_case_t *bad)
{
	json_t *body = json_loads(request->body->str, 0, NULL);
	json_t *error = json_object_get(body, "error");

	if (request->status != bad->status || error == NULL)
		printf("%s %s: status %ld, body %s\n", bad->path,
		       bad->body == NULL ? "" : bad->body, request->status,
		       request->body->str);
	CU_ASSERT_EQUAL(request->status, bad->status);
	CU_ASSERT(json_is_string(json_object_get(error, "code")));
	CU_ASSERT(json_is_string(json_object_get(error, "message")));
	CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(error, "run")),
			       "not_run");
	json_decref(body);
}

static void check_header(const cluster_t *cluster, http_client_t *client,
			 const bad_header_t *bad)
{
	const char *const headers[] = { bad->header, NULL };
	const bad_case_t expected = { .status = bad->status };
	const http_params_t params = {
		.url = harness_string(&harness, "http://%s/v1/completions",
				      cluster->entries[0].http),
		.api_key = CLUSTER_API_KEY,
		.body = "{\"model\":\"modelo\",\"prompt\":\"a\"}",
		.headers = headers,
	};
	const http_request_t *request = http_send(client, &params);

	CU_ASSERT(http_wait(client, request, HARNESS_WAIT_MS));
	check_error(request, &expected);
}

static void test_bad_requests(void)
{
	static const cluster_params_t params = { .entries = 1,
						 .endpoints_per_range = 1 };
	cluster_t cluster;
	http_client_t client;

	begin_test("bad", &cluster, &params);
	cluster_write_files(&cluster);
	CU_ASSERT_FATAL(cluster_start(&cluster));
	http_client_init(&client);
	for (size_t i = 0; i < ARRAY_SIZE(bad_cases); i++) {
		const bad_case_t *bad = &bad_cases[i];
		const http_params_t bad_params = {
			.url = harness_string(&harness, "http://%s%s",
					      cluster.entries[0].http,
					      bad->path),
			.method = bad->method,
			.api_key = bad->api_key,
			.body = bad->body,
		};
		const http_request_t *request = http_send(&client, &bad_params);

		CU_ASSERT(http_wait(&client, request, HARNESS_WAIT_MS));
		check_error(request, bad);
	}
	for (size_t i = 0; i < ARRAY_SIZE(bad_headers); i++)
		check_header(&cluster, &client, &bad_headers[i]);
	http_client_finish(&client);
	end_test();
}

/* Returns endpoint "index" of layer range "range". */
static cluster_endpoint_t *find_endpoint(cluster_t *cluster, size_t range,
					 size_t index)
{
	return &cluster->endpoints[range * cluster->params.endpoints_per_range +
				   index];
}

static uint64_t sum_entry_metric(const cluster_t *cluster, const char *metric)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < cluster->entry_count; i++)
		sum += cluster_read_metric(cluster->entries[i].metrics, metric);
	return sum;
}

static void test_streams_survive(void)
{
	static const cluster_params_t params = { .entries = 3,
						 .endpoints_per_range = 3,
						 .step_us = 4000 };
	cluster_t cluster;
	journal_t journal;
	relay_t *relay;
	load_t load;

	begin_test("survive", &cluster, &params);
	relay = relay_new(&harness, find_endpoint(&cluster, 2, 1)->listen);
	find_endpoint(&cluster, 2, 1)->advertise = relay_address(relay);
	cluster_write_files(&cluster);
	CU_ASSERT_FATAL(cluster_start(&cluster));
	load_init(&load, &cluster);
	for (size_t i = 0; i < STREAMS; i++)
		load_open_stream(&load, i % params.entries);
	CU_ASSERT(load_wait_events(&load, 1000, RUN_MS));
	cluster_kill_endpoint(find_endpoint(&cluster, 1, 0));
	CU_ASSERT(load_wait_events(&load, 2000, RUN_MS));
	CU_ASSERT(relay_open_count(relay) > 0);
	relay_silence_open(relay);
	CU_ASSERT(http_client_run(&load.client, RUN_MS));
	CU_ASSERT(sum_entry_metric(&cluster, "wisteria_recoveries_total") > 0);
	CU_ASSERT(sum_entry_metric(&cluster,
				   "wisteria_connections_silent_total") > 0);
	journal_init(&journal, cluster.params.layers);
	load_check(&load, &journal);
	CU_ASSERT_EQUAL(load.whole, STREAMS);
	check_journal(&cluster, &journal);
	load_finish(&load);
	relay_free(relay);
	end_test();
}

/* Kills all endpoints and the entry of the first failure domain at once. */
static void kill_domain(cluster_t *cluster)
{
	for (size_t range = 0; range < cluster->params.ranges; range++) {
		const cluster_endpoint_t *endpoint =
			find_endpoint(cluster, range, 0);

		harness_signal(endpoint->agent, SIGKILL);
		harness_signal(endpoint->engine, SIGKILL);
	}
	harness_kill(cluster->entries[0].process);
}

static void test_domain_lost(void)
{
	static const cluster_params_t params = { .entries = 3,
						 .endpoints_per_range = 3,
						 .step_us = 4000 };
	cluster_t cluster;
	journal_t journal;
	load_t load;

	begin_test("domain", &cluster, &params);
	cluster_write_files(&cluster);
	CU_ASSERT_FATAL(cluster_start(&cluster));
	load_init(&load, &cluster);
	for (size_t i = 0; i < STREAMS / 2; i++)
		load_open_stream(&load, 1 + i % 2);
	CU_ASSERT(load_wait_events(&load, 500, RUN_MS));
	kill_domain(&cluster);
	for (size_t i = 0; i < STREAMS / 2; i++)
		load_open_stream(&load, 1 + i % 2);
	CU_ASSERT(http_client_run(&load.client, RUN_MS));
	journal_init(&journal, cluster.params.layers);
	load_check(&load, &journal);
	CU_ASSERT_EQUAL(load.whole, STREAMS);
	check_journal(&cluster, &journal);
	load_finish(&load);
	end_test();
}

static void test_link_degrades(void)
{
	static const cluster_params_t params = { .step_us = 2000 };
	cluster_t cluster;
	journal_t journal;
	relay_t *relay;
	load_t load;

	begin_test("link", &cluster, &params);
	relay = relay_new(&harness, find_endpoint(&cluster, 1, 0)->listen);
	find_endpoint(&cluster, 1, 0)->advertise = relay_address(relay);
	cluster_write_files(&cluster);
	CU_ASSERT_FATAL(cluster_start(&cluster));
	load_init(&load, &cluster);
	for (size_t i = 0; i < STREAMS / 4; i++)
		load_open_stream(&load, 0);
	CU_ASSERT(load_wait_events(&load, 300, RUN_MS));
	relay_set_delay(relay, SLOW_LINK_MS);
	CU_ASSERT(http_client_run(&load.client, RUN_MS));
	journal_init(&journal, cluster.params.layers);
	load_check(&load, &journal);
	CU_ASSERT_EQUAL(load.whole, STREAMS / 4);
	check_journal(&cluster, &journal);
	load_finish(&load);
	relay_free(relay);
	end_test();
}

/*
 * Stops a process by SIGTERM under load and starts it again; no stream is cut
 * or refused.
 */
static void stop_under_load(load_t *load, harness_process_t *process,
			    const char *metrics)
{
	uint64_t before = load_event_count(load);

	for (size_t i = 0; i < STREAMS / 4; i++)
		load_open_stream(load, i % load->cluster->entry_count);
	CU_ASSERT(load_wait_events(load, before + 200, RUN_MS));
	harness_signal(process, SIGTERM);
	for (size_t i = 0; i < STREAMS / 4; i++)
		load_open_stream(load,
				 1 + i % (load->cluster->entry_count - 1));
	CU_ASSERT(http_client_run(&load->client, RUN_MS));
	CU_ASSERT(harness_wait_exit(process, RUN_MS));
	CU_ASSERT_EQUAL(process->exit_status, 0);
	harness_restart(process);
	CU_ASSERT(harness_wait_http(metrics, "/readyz", 200, RUN_MS));
}

static void test_planned_stops(void)
{
	static const cluster_params_t params = { .entries = 3,
						 .endpoints_per_range = 2,
						 .step_us = 2000 };
	cluster_t cluster;
	journal_t journal;
	load_t load;

	begin_test("stops", &cluster, &params);
	cluster_write_files(&cluster);
	CU_ASSERT_FATAL(cluster_start(&cluster));
	load_init(&load, &cluster);
	for (size_t range = 0; range < cluster.params.ranges; range++)
		stop_under_load(&load, find_endpoint(&cluster, range, 0)->agent,
				find_endpoint(&cluster, range, 0)->metrics);
	stop_under_load(&load, cluster.entries[0].process,
			cluster.entries[0].metrics);
	journal_init(&journal, cluster.params.layers);
	load_check(&load, &journal);
	CU_ASSERT_EQUAL(load.faulty, 0);
	CU_ASSERT_EQUAL(load.whole, load.sent);
	check_journal(&cluster, &journal);
	load_finish(&load);
	end_test();
}

static void signal_majority(const cluster_t *cluster, int signal_number)
{
	for (size_t i = 1; i < cluster->entry_count; i++)
		harness_signal(cluster->entries[i].process, signal_number);
}

/*
 * Simulates the minority side of a partition: no other control instance
 * answers.  Running streams complete, new requests are refused as not run,
 * and requests are accepted again once the other instances answer.
 */
static void test_minority_refuses_as_not_run(void)
{
	static const cluster_params_t params = { .entries = 3,
						 .step_us = 20000 };
	cluster_t cluster;
	journal_t journal;
	load_t load;
	const http_request_t *refused;
	const char *metrics;

	begin_test("minority", &cluster, &params);
	cluster_write_files(&cluster);
	CU_ASSERT_FATAL(cluster_start(&cluster));
	metrics = cluster.entries[0].metrics;
	load_init(&load, &cluster);
	for (size_t i = 0; i < STREAMS / 10; i++)
		load_open_stream(&load, 0);
	CU_ASSERT(load_wait_events(&load, STREAMS / 10, RUN_MS));
	signal_majority(&cluster, SIGSTOP);
	CU_ASSERT(harness_wait_http(metrics, "/readyz", 503, RUN_MS));
	refused = cluster_send_request(&cluster, &load.client, 0, "alone", 0,
				       true);
	CU_ASSERT(http_client_run(&load.client, RUN_MS));
	CU_ASSERT_EQUAL(refused->status, 503);
	CU_ASSERT_PTR_NOT_NULL(strstr(refused->body->str, "\"not_run\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(refused->headers->str, "Retry-After"));
	http_request_free(&load.client, (http_request_t *)refused);
	signal_majority(&cluster, SIGCONT);
	CU_ASSERT(harness_wait_http(metrics, "/readyz", 200, RUN_MS));
	load_open_stream(&load, 0);
	CU_ASSERT(http_client_run(&load.client, RUN_MS));
	journal_init(&journal, cluster.params.layers);
	load_check(&load, &journal);
	CU_ASSERT_EQUAL(load.whole, STREAMS / 10 + 1);
	check_journal(&cluster, &journal);
	load_finish(&load);
	end_test();
}

static const unit_test_t tests[] = {
	{ "answers are complete", test_answers },
	{ "bad requests get clear errors", test_bad_requests },
	{ "streams survive a killed stage and a silent connection",
	  test_streams_survive },
	{ "streams survive the loss of a failure domain", test_domain_lost },
	{ "streams survive a link that degrades", test_link_degrades },
	{ "planned stops cut and refuse nothing", test_planned_stops },
	{ "a minority refuses truthfully", test_minority_refuses_as_not_run },
};

int main(void)
{
	return unit_run("path", tests, ARRAY_SIZE(tests));
}
