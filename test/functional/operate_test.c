/*
 * Tests operators' tasks with real processes: changing the preset in force,
 * taking endpoints out of service, orders to engines, the history, and the
 * explanation and the trace of a request.
 */
#include "../unit/unit.h"

#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include <jansson.h>

#include "harness/cluster.h"

#define ARGS_MAX 16

static harness_t harness;
static cluster_t cluster;
static char *output;
static unsigned run_count;

/*
 * Runs wisteriactl against "server" with the arguments in "command", which are
 * separated by spaces.  Returns its exit code, or -1 if it was killed; what it
 * printed is in "output" until the next run.
 */
static int run_ctl(const char *server, const char *command)
{
	const char *argv[ARGS_MAX + 8] = {
		harness_program(&harness, "wisteriactl"),
		"-s",
		server,
		"--token-file",
		cluster.token_file,
	};
	gchar **arguments = g_strsplit(command, " ", ARGS_MAX);
	harness_process_t *process;
	size_t count = 5;

	for (size_t i = 0; arguments[i] != NULL; i++)
		argv[count++] = harness_string(&harness, "%s", arguments[i]);
	g_strfreev(arguments);
	process = harness_start(&harness,
				harness_string(&harness, "ctl-%u", run_count++),
				argv);
	CU_ASSERT_FATAL(harness_wait_exit(process, HARNESS_WAIT_MS));
	g_free(output);
	output = harness_read_file(process->log_path);
	return WIFEXITED(process->exit_status)
		       ? WEXITSTATUS(process->exit_status)
		       : -1;
}

static void expect_ctl(size_t entry, const char *command, int code,
		       const char *fragment)
{
	int actual_code = run_ctl(cluster.entries[entry].admin, command);

	CU_ASSERT_EQUAL(actual_code, code);
	CU_ASSERT_PTR_NOT_NULL(strstr(output, fragment));
	if (actual_code != code || strstr(output, fragment) == NULL)
		printf("\n  %s: %d\n%s", command, actual_code, output);
}

static void start_cluster(const char *name, const cluster_params_t *params)
{
	harness_init(&harness, name);
	cluster_init(&cluster, &harness, params);
	cluster_write_files(&cluster);
	CU_ASSERT_FATAL(cluster_start(&cluster));
}

static void stop_cluster(void)
{
	for (size_t i = 0; i < cluster.endpoint_count; i++)
		cluster_kill_endpoint(&cluster.endpoints[i]);
	for (size_t i = 0; i < cluster.entry_count; i++)
		harness_kill(cluster.entries[i].process);
	g_clear_pointer(&output, g_free);
	harness_finish(&harness, CU_get_number_of_failures() == 0);
}

/*
 * Returns the id of a request from its response headers, or "none"; freed with
 * g_free().
 */
static char *request_id(const http_request_t *request)
{
	const char *name = "X-Request-Id: ";
	const char *value = strstr(request->headers->str, name);

	if (value == NULL)
		return g_strdup("none");
	value += strlen(name);
	return g_strndup(value, strcspn(value, "\r\n"));
}

static void test_explanation(void)
{
	static const cluster_params_t params = { .entries = 1 };
	const http_request_t *request;
	http_client_t client;
	char *id;

	start_cluster("operate-explanation", &params);
	http_client_init(&client);
	request = cluster_send_request(&cluster, &client, 0, "two pallets", 0,
				       true);
	CU_ASSERT(http_client_run(&client, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(request->status, 200);
	id = request_id(request);
	CU_ASSERT_EQUAL(run_ctl(cluster.entries[0].http,
				harness_string(&harness, "explain %s", id)),
			0);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(output, "Customer customer-0 asked for modelo.\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(
		output, "Preset everyday was in force (revision 2); it grants "
			"customer-0 1000 sessions always"));
	CU_ASSERT_PTR_NOT_NULL(strstr(output, "(layers 0 to 3), then "));
	CU_ASSERT_PTR_NOT_NULL(strstr(
		output, harness_string(&harness, "delivered: %u tokens.\n",
				       request->events)));
	CU_ASSERT_EQUAL(run_ctl(cluster.entries[0].http, "explain req-0"), 1);
	CU_ASSERT_PTR_NOT_NULL(strstr(output, "keeps no such request"));
	g_free(id);
	http_client_finish(&client);
	stop_cluster();
}

/* Sends one booking and expects "fragment" in the explanation of it. */
static void explain_booking(http_client_t *client, const char *fragment)
{
	static const char *const headers[] = { "Idempotency-Key: order-77",
					       NULL };
	const http_params_t sent = {
		.url = harness_string(
			&harness, "http://%s/services/" CLUSTER_SERVICE "/book",
			cluster.entries[0].http),
		.api_key = cluster_api_key(&cluster, 0),
		.body = "pallet 9",
		.headers = headers,
	};
	const http_request_t *request = http_send(client, &sent);
	char *id;

	CU_ASSERT(http_client_run(client, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(request->status, 200);
	id = request_id(request);
	CU_ASSERT_EQUAL(run_ctl(cluster.entries[0].http,
				harness_string(&harness, "explain %s", id)),
			0);
	CU_ASSERT_PTR_NOT_NULL(strstr(output, fragment));
	CU_ASSERT_PTR_NOT_NULL(strstr(output, "whole answer was delivered.\n"));
	g_free(id);
}

static void test_explanation_of_booking(void)
{
	static const cluster_params_t params = { .entries = 1, .services = 2 };
	http_client_t client;

	start_cluster("operate-booking", &params);
	http_client_init(&client);
	explain_booking(&client, "it may run once only");
	explain_booking(&client, "had run before; it was not run again");
	CU_ASSERT_PTR_NULL(strstr(output, "the call was sent to"));
	http_client_finish(&client);
	stop_cluster();
}

/* A change made through one entry is seen through the others. */
static void test_presets_everywhere(void)
{
	static const cluster_params_t params = { .entries = 3 };
	const char *peak;
	char *text;

	start_cluster("operate-presets-everywhere", &params);
	text = harness_read_file(cluster.preset_file);
	peak = harness_write_file(&harness, "peak.yaml",
				  harness_string(&harness, "name: peak\n%s",
						 strchr(text, '\n') + 1));
	g_free(text);
	expect_ctl(0, harness_string(&harness, "preset create %s", peak), 0,
		   "applied");
	expect_ctl(1, "preset use peak --expect 3 --operator joana", 0,
		   "applied");
	expect_ctl(2, "preset use everyday --expect 3 --operator rui", 3,
		   "preset_use peak, by joana");
	for (size_t i = 0; i < cluster.entry_count; i++) {
		expect_ctl(i, "status", 0, "preset         peak");
		expect_ctl(i, "config history", 0, "joana");
		CU_ASSERT(harness_wait_log(cluster.entries[i].process,
					   "event=revision_in_force revision=4",
					   HARNESS_WAIT_MS));
	}
	stop_cluster();
}

#define RACERS 6
#define ROUNDS 5
#define KILL_ROUND 2

static const char *servers_from(size_t first)
{
	return harness_string(&harness, "%s,%s,%s",
			      cluster.entries[first % 3].admin,
			      cluster.entries[(first + 1) % 3].admin,
			      cluster.entries[(first + 2) % 3].admin);
}

static harness_process_t *start_racer(size_t round, size_t racer)
{
	const char *const argv[] = {
		harness_program(&harness, "wisteriactl"),
		"-s",
		servers_from(racer),
		"--token-file",
		cluster.token_file,
		"--timeout-ms",
		"30000",
		"--expect",
		harness_string(&harness, "%zu", 2 + round),
		"--order-id",
		harness_string(&harness, "race-%zu-%zu", round, racer),
		"endpoint",
		"leave",
		harness_string(&harness, "spare-%zu-%zu", round, racer),
		NULL,
	};

	return harness_start(
		&harness,
		harness_string(&harness, "racer-%zu-%zu", round, racer), argv);
}

/* Returns how many of the racers ended with "code". */
static size_t count_exits(harness_process_t *const racers[RACERS], int code)
{
	size_t count = 0;

	for (size_t i = 0; i < RACERS; i++)
		count += WIFEXITED(racers[i]->exit_status) &&
			 WEXITSTATUS(racers[i]->exit_status) == code;
	return count;
}

static void run_race(size_t round)
{
	harness_process_t *racers[RACERS];

	for (size_t i = 0; i < RACERS; i++)
		racers[i] = start_racer(round, i);
	if (round == KILL_ROUND)
		harness_kill(cluster.entries[0].process);
	for (size_t i = 0; i < RACERS; i++)
		CU_ASSERT(harness_wait_exit(racers[i], 2 * HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(count_exits(racers, 0), 1);
	CU_ASSERT_EQUAL(count_exits(racers, 3), RACERS - 1);
}

/*
 * Operators race: through all entries they send orders that expect the same
 * revision, and an entry is killed meanwhile.  One order is applied in each
 * round, and the outcome of every order can be queried afterwards.
 */
static void test_racing_operators(void)
{
	static const cluster_params_t params = { .entries = 3 };
	size_t applied = 0;

	start_cluster("operate-race", &params);
	for (size_t round = 0; round < ROUNDS; round++)
		run_race(round);
	for (size_t round = 0; round < ROUNDS; round++) {
		for (size_t i = 0; i < RACERS; i++) {
			int code = run_ctl(
				cluster.entries[1 + i % 2].admin,
				harness_string(&harness,
					       "order show race-%zu-%zu", round,
					       i));

			CU_ASSERT(code == 0 || code == 3);
			applied += code == 0;
		}
	}
	CU_ASSERT_EQUAL(applied, ROUNDS);
	expect_ctl(1, "config history --json", 0, "{\n  \"revision\": 7,\n");
	stop_cluster();
}

static bool endpoint_may_stop(void *user)
{
	const cluster_endpoint_t *endpoint = user;
	json_t *body;
	json_t *list;
	bool found = false;

	if (run_ctl(cluster.entries[0].admin, "endpoint list --json") != 0)
		return false;
	body = json_loads(output, 0, NULL);
	list = json_object_get(body, "endpoints");
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *row = json_array_get(list, i);

		if (strcmp(json_string_value(json_object_get(row, "name")),
			   endpoint->name) == 0)
			found = json_is_true(json_object_get(row, "may_stop"));
	}
	json_decref(body);
	return found;
}

static void test_leaving_endpoint(void)
{
	static const cluster_params_t params = { .entries = 1 };
	cluster_endpoint_t *endpoint;
	const http_request_t *request;
	http_client_t client;

	start_cluster("operate-leaving-endpoint", &params);
	endpoint = &cluster.endpoints[0];
	CU_ASSERT_FALSE(endpoint_may_stop(endpoint));
	expect_ctl(
		0,
		harness_string(&harness, "endpoint leave %s", endpoint->name),
		0, "applied");
	CU_ASSERT(harness_wait_until(endpoint_may_stop, endpoint,
				     HARNESS_WAIT_MS));
	cluster_kill_endpoint(endpoint);
	http_client_init(&client);
	request = cluster_send_request(&cluster, &client, 0, "two pallets", 0,
				       true);
	CU_ASSERT(http_client_run(&client, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(request->status, 200);
	CU_ASSERT(request->ended);
	http_client_finish(&client);
	stop_cluster();
}

#define LOAD_ORDER "{\"load\":\"modelo\",\"version\":2}"

/* Returns whether order "id" is shown with "state" at the engine. */
static bool order_has_state(const char *id, const char *state)
{
	return run_ctl(cluster.entries[0].admin,
		       harness_string(&harness, "order show %s", id)) == 0 &&
	       strstr(output, harness_string(&harness, "at the engine  %s\n",
					     state)) != NULL;
}

/* Returns whether order "once" has the state named by "user" at the engine. */
static bool engine_order_is_in_state(void *user)
{
	return order_has_state("once", user);
}

static bool next_order_is_in_state(void *user)
{
	return order_has_state("next", user);
}

/* Returns how many orders the engine of "endpoint" has run. */
static size_t count_orders_run(const cluster_endpoint_t *endpoint)
{
	char *journal = harness_read_file(endpoint->journal);
	size_t count = 0;

	for (const char *match = strstr(journal, "order "); match != NULL;
	     match = strstr(match + 1, "order "))
		count++;
	g_free(journal);
	return count;
}

static void send_engine_order(const cluster_endpoint_t *endpoint,
			      const char *id)
{
	expect_ctl(0,
		   harness_string(&harness,
				  "order engine %s " LOAD_ORDER
				  " --order-id %s",
				  endpoint->name, id),
		   0, "applied");
}

static void test_engine_order(void)
{
	static const cluster_params_t params = { .entries = 1 };
	cluster_endpoint_t *endpoint = &cluster.endpoints[0];

	start_cluster("operate-engine", &params);
	expect_ctl(0,
		   harness_string(&harness, "order engine %s load",
				  endpoint->name),
		   1, "a JSON object");
	send_engine_order(endpoint, "once");
	CU_ASSERT(harness_wait_until(engine_order_is_in_state, (void *)"done",
				     HARNESS_WAIT_MS));
	send_engine_order(endpoint, "once");
	send_engine_order(endpoint, "other");
	CU_ASSERT(harness_wait_until(engine_order_is_in_state, (void *)"done",
				     HARNESS_WAIT_MS));
	stop_cluster();
}

/*
 * The agent is killed after it sent the order and before the engine answers.
 * Whether or not the engine checks fencing numbers, the order runs at most
 * once, and its outcome is reported as unknown.
 */
static void kill_agent_during_order(const char *name,
				    const cluster_params_t *params)
{
	cluster_endpoint_t *endpoint = &cluster.endpoints[0];

	start_cluster(name, params);
	harness_signal(endpoint->engine, SIGSTOP);
	send_engine_order(endpoint, "once");
	CU_ASSERT(harness_wait_until(engine_order_is_in_state, (void *)"given",
				     HARNESS_WAIT_MS));
	harness_kill(endpoint->agent);
	harness_signal(endpoint->engine, SIGCONT);
	harness_restart(endpoint->agent);
	CU_ASSERT(harness_wait_until(engine_order_is_in_state,
				     (void *)"unknown", HARNESS_WAIT_MS));
	send_engine_order(endpoint, "next");
	CU_ASSERT(harness_wait_log(endpoint->agent,
				   "event=engine_order endpoint",
				   HARNESS_WAIT_MS));
	CU_ASSERT(count_orders_run(endpoint) <= 2);
	/* The agent reports what it logs with its next renewal. */
	CU_ASSERT(harness_wait_until(next_order_is_in_state, (void *)"done",
				     HARNESS_WAIT_MS));
	stop_cluster();
}

static void test_engine_order_agent_lost(void)
{
	static const cluster_params_t checks_fencing = { .entries = 1 };
	static const cluster_params_t no_fencing = { .entries = 1,
						     .ignores_fencing = true };

	kill_agent_during_order("operate-fenced", &checks_fencing);
	kill_agent_during_order("operate-unfenced", &no_fencing);
}

#define TRACE_ID "4bf92f3577b34da6a3ce929d0e0e4736"

/*
 * Adds a trace file to the settings file "path" of process "name"; returns the
 * path of the trace file.
 */
static const char *add_trace_file(const char *path, const char *name)
{
	const char *file = harness_path(
		&harness, harness_string(&harness, "%s.spans", name));
	char *text = harness_read_file(path);

	harness_write_file(
		&harness, harness_string(&harness, "%s.yaml", name),
		harness_string(&harness, "%strace_file: %s\n", text, file));
	g_free(text);
	return file;
}

static const char *add_trace_files(void)
{
	const char *files = add_trace_file(cluster.entries[0].settings,
					   cluster.entries[0].name);

	for (size_t i = 0; i < cluster.endpoint_count; i++) {
		const char *name = harness_string(&harness, "agent-%s",
						  cluster.endpoints[i].name);

		files = harness_string(
			&harness, "%s %s", files,
			add_trace_file(cluster.endpoints[i].settings, name));
	}
	return files;
}

static size_t count_matches(const char *fragment)
{
	size_t count = 0;

	for (const char *match = strstr(output, fragment); match != NULL;
	     match = strstr(match + 1, fragment))
		count++;
	return count;
}

/* A hop writes its span only when its session has been closed. */
static bool trace_has_all_hops(void *files)
{
	if (run_ctl(cluster.entries[0].admin,
		    harness_string(&harness, "trace " TRACE_ID " %s",
				   (const char *)files)) != 0)
		return false;
	return count_matches("  hop  (agent-range-") == 3;
}

static void test_trace(void)
{
	static const cluster_params_t params = { .entries = 1 };
	static const char *const headers[] = {
		"Content-Type: application/json",
		"traceparent: 00-" TRACE_ID "-00f067aa0ba902b7-01",
		NULL,
	};
	http_params_t sent = {
		.body = "{\"model\":\"modelo\",\"prompt\":\"two pallets\"}",
		.headers = headers,
	};
	const http_request_t *request;
	http_client_t client;
	const char *files;

	harness_init(&harness, "operate-trace");
	cluster_init(&cluster, &harness, &params);
	cluster_write_files(&cluster);
	files = add_trace_files();
	CU_ASSERT_FATAL(cluster_start(&cluster));
	sent.url = harness_string(&harness, "http://%s/v1/completions",
				  cluster.entries[0].http);
	sent.api_key = cluster_api_key(&cluster, 0);
	http_client_init(&client);
	request = http_send(&client, &sent);
	CU_ASSERT(http_client_run(&client, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(request->status, 200);
	CU_ASSERT(harness_wait_until(trace_has_all_hops, (void *)files,
				     HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(count_matches("ms  request  (entry-1)"), 1);
	CU_ASSERT_EQUAL(count_matches("ms    entry_queue  (entry-1)"), 1);
	CU_ASSERT(count_matches("ms      engine_steps  (agent-range-") >= 3);
	http_client_finish(&client);
	stop_cluster();
}

static const unit_test_t tests[] = {
	{ "explanation", test_explanation },
	{ "explanation of a booking", test_explanation_of_booking },
	{ "presets everywhere", test_presets_everywhere },
	{ "racing operators", test_racing_operators },
	{ "leaving endpoint", test_leaving_endpoint },
	{ "engine order", test_engine_order },
	{ "engine order, agent lost", test_engine_order_agent_lost },
	{ "trace", test_trace },
};

int main(void)
{
	return unit_run("operate", tests, ARRAY_SIZE(tests));
}
