/*
 * Runs wisteriactl against a fake control instance and checks its output, the
 * changes that it makes and its exit codes.
 */
#include "../unit/unit.h"

#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include "harness/fake_endpoint.h"
#include "harness/harness.h"

#define TOKEN "operator-token"
#define ARGS_MAX 16

static harness_t harness;
static const char *address;
static const char *token_file;
static char *output;
static unsigned run_count;

static harness_process_t *start_admin(unsigned answers_to_lose)
{
	const char *argv[] = {
		harness_program(&harness, "fake_admin"), NULL, NULL, NULL, NULL,
	};
	harness_process_t *process;

	address = harness_address(&harness);
	token_file = harness_write_file(&harness, "token", TOKEN "\n");
	argv[1] = harness_string(&harness, "--listen=%s", address);
	argv[2] = harness_string(&harness, "--token-file=%s", token_file);
	argv[3] =
		harness_string(&harness, "--lose-answers=%u", answers_to_lose);
	process = harness_start(
		&harness, harness_string(&harness, "admin-%u", run_count++),
		argv);
	CU_ASSERT_FATAL(
		harness_wait_http(address, "/v1/status", 401, HARNESS_WAIT_MS));
	return process;
}

static void stop_admin(harness_process_t *process)
{
	harness_signal(process, SIGTERM);
	CU_ASSERT(harness_wait_exit(process, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(process->exit_status, 0);
}

/*
 * Runs wisteriactl with the arguments in "command", which are separated by
 * spaces.  Returns its exit code, or -1 if it was killed; what it printed is
 * in "output" until the next run.
 */
static int run_ctl(const char *command)
{
	const char *argv[ARGS_MAX + 4] = { harness_program(&harness,
							   "wisteriactl") };
	gchar **arguments = g_strsplit(command, " ", ARGS_MAX);
	harness_process_t *process;
	size_t count = 1;

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

/* Runs a command with the options for the server and the token added. */
static int run_ctl_on_server(const char *command)
{
	return run_ctl(harness_string(&harness, "-s %s --token-file %s %s",
				      address, token_file, command));
}

static void expect_ctl(const char *command, int code, const char *fragment)
{
	int actual_code = run_ctl_on_server(command);

	CU_ASSERT_EQUAL(actual_code, code);
	CU_ASSERT_PTR_NOT_NULL(strstr(output, fragment));
	if (actual_code != code || strstr(output, fragment) == NULL)
		printf("\n  %s: %d\n%s", command, actual_code, output);
}

static const char *write_preset(const char *name, unsigned layers)
{
	return harness_write_file(
		&harness, harness_string(&harness, "%s-%u.yaml", name, layers),
		harness_string(&harness,
			       "name: %s\nmodels:\n"
			       "  - {name: modelo, layers: %u}\n",
			       name, layers));
}

static void expect_create(const char *path, int code, const char *fragment)
{
	expect_ctl(harness_string(&harness, "preset create %s", path), code,
		   fragment);
}

static void test_presets(void)
{
	harness_process_t *admin = start_admin(0);

	expect_ctl("preset use day", 1, "there is no preset day");
	expect_create(write_preset("day", 4), 0, "applied");
	expect_create(write_preset("day", 4), 0, "applied");
	expect_create(write_preset("day", 5), 1, "since revision 1");
	expect_create(write_preset("bad", 0), 1, "key layers");
	expect_create("/nonexistent.yaml", 2, "No such file");
	expect_ctl("preset use day --expect 1 --operator joana", 0, "applied");
	expect_ctl("preset use day --expect 1", 3, "by joana at 20");
	expect_ctl("preset use day --expect 9", 1, "before the expected one");
	expect_ctl("preset list", 0, "day     1         yes");
	expect_ctl("preset delete day", 1, "preset day is in force");
	expect_create(write_preset("peak", 4), 0, "applied");
	expect_ctl("preset delete peak", 0, "revision       4");
	expect_create(write_preset("peak", 4), 1, "take a new name");
	stop_admin(admin);
}

static void test_show_commands(void)
{
	harness_process_t *admin = start_admin(0);

	expect_create(write_preset("day", 4), 0, "applied");
	expect_ctl("preset use day", 0, "applied");
	expect_ctl("preset show day", 0, "layers: 4");
	expect_ctl("preset show night", 1, "there is no preset night");
	expect_ctl("status", 0, "preset         day");
	expect_ctl("status --json", 0, "\"preset\": \"day\"");
	expect_ctl("endpoint leave stage-0-0", 0, "applied");
	expect_ctl("endpoint leave stage-0-1", 0, "applied");
	expect_ctl("endpoint list --json", 0, "\"may_stop\": true");
	expect_ctl("endpoint list", 0, "stage-0-1");
	expect_ctl("endpoint return stage-0-1 --order-id back", 0, "applied");
	expect_ctl("order show back", 0, "revision       5");
	expect_ctl("order show other", 1, "no order with id other");
	expect_ctl("config history", 0, "endpoint_return");
	expect_ctl("explain q-1", 1, "no such path");
	stop_admin(admin);
}

static void test_incomplete_response_is_not_taken_for_success(void)
{
	fake_endpoint_t server;

	fake_endpoint_start(&server, "i-1", "admin", harness.ip, "127.0.0.1:1",
			    FAKE_ENDPOINT_UNFRAMED_EMPTY);
	CU_ASSERT_EQUAL(
		run_ctl(harness_string(&harness,
				       "-s %s --timeout-ms 500 endpoint leave "
				       "e1 --order-id cut",
				       server.address)),
		4);
	CU_ASSERT(server.runs > 0);
	fake_endpoint_crash(&server);
}

/*
 * Sends an order to a server that answers with each of "answers"; its outcome
 * must be unknown.
 */
static void expect_no_outcome(const char *const answers[], size_t count)
{
	fake_endpoint_t server;

	fake_endpoint_start(&server, "i-1", "admin", harness.ip, "127.0.0.1:1",
			    FAKE_ENDPOINT_TEXT);
	for (size_t i = 0; i < count; i++) {
		int code;

		server.answer_text = answers[i];
		code = run_ctl(harness_string(&harness,
					      "-s %s --timeout-ms 500 "
					      "endpoint leave e1 --order-id "
					      "head",
					      server.address));
		CU_ASSERT_EQUAL(code, 4);
		if (code != 4)
			printf("\n  case %zu: %d\n%s", i, code, output);
	}
	CU_ASSERT(server.runs >= count);
	fake_endpoint_crash(&server);
}

/*
 * Guards against a refusal whose head breaks off as the outcome of an order:
 * its body would tell whether the order had applied before.
 */
static void test_broken_head_is_no_outcome(void)
{
	static const char *const heads[] = {
		"HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 409 Conflict\r\n",
		"HTTP/1.1 404 Not Found\r\nContent-Type: application/json\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 400 Bad Request\r\n",
	};

	expect_no_outcome(heads, ARRAY_SIZE(heads));
}

#define APPLIED \
	"Content-Length: " \
	"38\r\n\r\n{\"outcome\":\"applied\",\"revision\":12345}"

/* Failure: the response of a server in trouble counts as an outcome. */
static void test_invalid_field_name_is_no_outcome(void)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n" APPLIED,
		"HTTP/1.1 200 OK\r\nX-Odd : 1\r\n" APPLIED,
		"HTTP/1.1 200 OK\r\nX\tOdd: 1\r\n" APPLIED,
		"HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n" APPLIED,
		"HTTP/1.1 200 OK\r\n: 1\r\n" APPLIED,
		"HTTP/1.1 200 OK\r\nno colon\r\n" APPLIED,
		"HTTP/1.1 409 Conflict\r\nContent-Length : 2\r\n\r\n{}",
	};

	expect_no_outcome(answers, ARRAY_SIZE(answers));
}

/* The same, with statuses outside RFC 9110, 15. */
static void test_invalid_status_is_no_outcome(void)
{
	static const char *const answers[] = {
		"HTTP/1.1 000 X\r\n" APPLIED, "HTTP/1.1 0 X\r\n" APPLIED,
		"HTTP/1.1 099 X\r\n" APPLIED, "HTTP/1.1 600 X\r\n" APPLIED,
		"HTTP/1.1 999 X\r\n" APPLIED,
	};

	expect_no_outcome(answers, ARRAY_SIZE(answers));
}

/* The most memory that a command may use; the longest response is a few MB. */
#define MEMORY_MAX_MB 160

/* Failure: a response without end is kept until the command's time is over. */
static void test_endless_response_fits_in_memory(void)
{
	static const fake_endpoint_mode_t modes[] = {
		FAKE_ENDPOINT_ENDLESS_INTERIM,
		FAKE_ENDPOINT_ENDLESS_HEAD,
		FAKE_ENDPOINT_ENDLESS_BYTES,
	};

	for (size_t i = 0; i < ARRAY_SIZE(modes); i++) {
		struct rusage usage;
		fake_endpoint_t server;

		fake_endpoint_start(&server, "i-1", "admin", harness.ip,
				    "127.0.0.1:1", modes[i]);
		CU_ASSERT_EQUAL(
			run_ctl(harness_string(&harness,
					       "-s %s --timeout-ms 1000 "
					       "endpoint leave e1 --order-id "
					       "endless",
					       server.address)),
			4);
		CU_ASSERT(server.runs > 0);
		fake_endpoint_crash(&server);
		CU_ASSERT_EQUAL(getrusage(RUSAGE_CHILDREN, &usage), 0);
		printf("%ld MB ", usage.ru_maxrss / 1024);
		CU_ASSERT(HARNESS_HAS_ASAN ||
			  usage.ru_maxrss / 1024 < MEMORY_MAX_MB);
	}
}

/* The server reports an unknown outcome twice; the order applies once. */
static void test_lost_answers(void)
{
	harness_process_t *admin = start_admin(2);

	expect_ctl("endpoint leave e1 --order-id once", 0, "revision       1");
	expect_ctl("config history --json", 0, "{\n  \"revision\": 1,\n");
	stop_admin(admin);
}

static void test_unknown_outcome(void)
{
	harness_process_t *admin = start_admin(1000);

	expect_ctl("endpoint leave e1 --order-id first --timeout-ms 50", 4,
		   "--order-id first");
	expect_ctl("endpoint leave e1 --order-id first --timeout-ms 50 --json",
		   4, "\"outcome\": \"unknown\"");
	expect_ctl("order show first", 0, "revision       1");
	stop_admin(admin);
}

static void test_servers_are_tried_in_turn(void)
{
	harness_process_t *admin = start_admin(0);
	const char *unreachable = harness_address(&harness);

	CU_ASSERT_EQUAL(run_ctl(harness_string(
				&harness, "-s %s,%s --token-file %s status",
				unreachable, address, token_file)),
			0);
	CU_ASSERT_EQUAL(
		run_ctl(harness_string(&harness, "-s %s --timeout-ms 50 status",
				       unreachable)),
		5);
	CU_ASSERT_EQUAL(
		run_ctl(harness_string(&harness,
				       "-s %s --timeout-ms 50 preset use day",
				       unreachable)),
		5);
	CU_ASSERT_PTR_NOT_NULL(strstr(output, "nothing was sent"));
	CU_ASSERT_EQUAL(
		run_ctl(harness_string(&harness, "-s %s status", address)), 1);
	CU_ASSERT_PTR_NOT_NULL(strstr(output, "no valid bearer token"));
	stop_admin(admin);
}

static void test_usage_errors_change_nothing(void)
{
	static const char *const invalid_commands[] = {
		"",
		"preset",
		"preset use",
		"preset use a b",
		"preset drop a",
		"endpoint leave",
		"endpoint leave e1 --expect many",
		"endpoint leave e1 --expect -1",
		"endpoint leave e1 --colour red",
		"endpoint leave e1 --order-id a/b",
		"endpoint leave e1 --timeout-ms 0",
		"endpoint leave e1 -s host:1",
		"status --expect 3",
		"trace 00",
		"where",
		"where chat --route chat",
		"where --route chat --tokens 5",
		"where --route chat --tokens 5,x",
		"where --route chat --tokens 0,5",
		"status --route chat",
		"status --customer gold",
	};
	harness_process_t *admin = start_admin(0);

	for (size_t i = 0; i < ARRAY_SIZE(invalid_commands); i++)
		CU_ASSERT_EQUAL(run_ctl_on_server(invalid_commands[i]), 2);
	CU_ASSERT_EQUAL(run_ctl("endpoint leave e1"), 2);
	expect_ctl("config history --json", 0, "\"revision\": 0");
	stop_admin(admin);
}

#define SPAN(id, parent, name, start, end) \
	"{\"resourceSpans\":[{\"resource\":{\"attributes\":[{\"key\":" \
	"\"service.instance.id\",\"value\":{\"stringValue\":\"a1\"}}]}," \
	"\"scopeSpans\":[{\"spans\":[{\"traceId\":\"0af7\",\"spanId\":\"" id \
	"\",\"parentSpanId\":\"" parent "\",\"name\":\"" name \
	"\",\"startTimeUnixNano\":\"" start "\",\"endTimeUnixNano\":\"" end \
	"\"}]}]}]}\n"

static void test_trace(void)
{
	const char *entry = harness_write_file(
		&harness, "entry.jsonl",
		SPAN("01", "", "request", "1000000", "9000000")
			SPAN("02", "01", "queue", "1000000", "3000000"));
	const char *agent = harness_write_file(
		&harness, "agent.jsonl",
		SPAN("03", "01", "steps", "3000000", "9000000") "{\"torn");

	CU_ASSERT_EQUAL(run_ctl(harness_string(&harness, "trace 0af7 %s %s",
					       agent, entry)),
			0);
	CU_ASSERT_PTR_NOT_NULL(strstr(
		output,
		"|========================================|     8.000 ms  "
		"request  (a1)\n"
		"|==========                              |     2.000 ms    "
		"queue  (a1)\n"
		"|          ==============================|     6.000 ms    "
		"steps  (a1)\n"));
	CU_ASSERT_EQUAL(
		run_ctl(harness_string(&harness, "trace ffff %s", entry)), 1);
	CU_ASSERT_EQUAL(run_ctl("trace 0af7 /nonexistent"), 2);
}

/*
 * The log lines of one request come from two files; they include an event that
 * the tool doesn't know.  The request's id is a prefix of another one.
 */
static void test_explain_file(void)
{
	const char *first = harness_write_file(
		&harness, "entry-1.log",
		"ts=2026-04-01T00:00:02.000Z level=info instance=e1 "
		"event=request_sent request=ab1 send=1 endpoint=i-1 hops=3 "
		"left_ms=900 behind_event=-1 registry=7\n"
		"ts=2026-04-01T00:00:02.100Z level=info instance=e1 "
		"event=request_sent request=ab12 send=1 endpoint=i-9\n"
		"ts=2026-04-01T00:00:02.500Z level=info instance=e1 "
		"event=something_new request=ab1 of=it\n");
	const char *second = harness_write_file(
		&harness, "entry-2.log",
		"ts=2026-04-01T00:00:01.000Z level=info instance=e2 "
		"event=request_queued request=ab1 waiting=2 for_ms=300\n"
		"ts=2026-04-01T00:00:03.000Z level=info instance=e2 "
		"event=request_given_up request=ab1 status=502 reason=reset "
		"sends=1 runs=1 after_ms=2000");

	CU_ASSERT_EQUAL(
		run_ctl(harness_string(&harness, "explain-file ab1 %s %s",
				       first, second)),
		0);
	CU_ASSERT_STRING_EQUAL(
		output,
		"2026-04-01T00:00:01.000Z e2: All places were taken: it "
		"waited, for 300 ms at most, with 2 waiting in all.\n"
		"2026-04-01T00:00:02.000Z e1: Attempt 1 went to i-1, first of "
		"3 endpoints, behind event -1 (-1: from the start), with 900 "
		"ms left and version 7 of the registry.\n"
		"ts=2026-04-01T00:00:02.500Z level=info instance=e1 "
		"event=something_new request=ab1 of=it\n"
		"2026-04-01T00:00:03.000Z e2: Given up with 502 (0: broken "
		"off) after 2000 ms, because of reset; 1 of its 1 attempts may "
		"have run.\n");
	CU_ASSERT_EQUAL(
		run_ctl(harness_string(&harness, "explain-file ab %s", first)),
		1);
	CU_ASSERT_EQUAL(run_ctl("explain-file ab1 /nonexistent"), 2);
}

static const unit_test_t tests[] = {
	{ "presets", test_presets },
	{ "commands that show state", test_show_commands },
	{ "lost answers", test_lost_answers },
	{ "incomplete response is not taken for success",
	  test_incomplete_response_is_not_taken_for_success },
	{ "broken head is no outcome", test_broken_head_is_no_outcome },
	{ "invalid field name is no outcome",
	  test_invalid_field_name_is_no_outcome },
	{ "invalid status is no outcome", test_invalid_status_is_no_outcome },
	{ "endless response fits in memory",
	  test_endless_response_fits_in_memory },
	{ "unknown outcome", test_unknown_outcome },
	{ "servers are tried in turn", test_servers_are_tried_in_turn },
	{ "usage errors change nothing", test_usage_errors_change_nothing },
	{ "trace", test_trace },
	{ "explain from files", test_explain_file },
};

int main(void)
{
	int status;

	harness_init(&harness, "cli");
	status = unit_run("cli", tests, ARRAY_SIZE(tests));
	g_free(output);
	harness_finish(&harness, status == EXIT_SUCCESS);
	return status;
}
