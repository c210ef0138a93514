/*
 * Failures that operators of similar systems reported, played against the fleet
 * roles: entries of other writers in the list of endpoints, refusals that are
 * none, and errors behind a stream that has begun.
 */
#include "../unit/unit.h"

#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness/fake_endpoint.h"
#include "harness/fleet_rig.h"
#include "harness/harness.h"
#include "harness/http.h"

#include "wisteria/net/net.h"

#define CONTROLS 3
#define LAYERS 80

static harness_t harness;
static http_client_t client;
static fleet_rig_t rig;
static const char *entry_address;
static harness_process_t *controls[CONTROLS];
static harness_process_t *entry;
static const char *other_controls[CONTROLS]; /* ends with NULL */
static unsigned request_count;

static const char configuration[] =
	"{\"version\":1,\"routes\":["
	"{\"name\":\"write\",\"host\":\"shop.example\",\"pathPrefix\":"
	"\"/write/\",\"kind\":\"stream\",\"timeoutMs\":9000,\"goalMs\":3000,"
	"\"priority\":1,\"service\":\"llm\",\"maxAttempts\":3,"
	"\"allowAnonymous\":true,\"streamResume\":true,\"gapGoalMs\":500},"
	"{\"name\":\"chat\",\"host\":\"shop.example\",\"pathPrefix\":"
	"\"/chat/\",\"kind\":\"stream\",\"timeoutMs\":9000,\"goalMs\":3000,"
	"\"priority\":1,\"service\":\"writer\",\"maxAttempts\":3,"
	"\"allowAnonymous\":true,\"streamResume\":true,\"gapGoalMs\":500},"
	"{\"name\":\"book\",\"host\":\"shop.example\",\"pathPrefix\":"
	"\"/book/\",\"kind\":\"non_idempotent\",\"timeoutMs\":5000,"
	"\"goalMs\":3000,\"priority\":0,\"service\":\"orders\","
	"\"maxAttempts\":2,\"allowAnonymous\":true}],\"services\":["
	"{\"name\":\"llm\",\"maxConns\":50,\"engine\":{\"slots\":64,"
	"\"kvTokenBytes\":800000,\"step_ms\":1,\"layers\":80,"
	"\"layerMb\":1,\"usual\":{\"prompt\":100,\"answer\":12},"
	"\"kinds\":[{\"name\":\"fast\",\"sizeMb\":72000,\"pace\":1}]}},"
	"{\"name\":\"writer\",\"healthPath\":\"/health\",\"maxConns\":50,"
	"\"protocol\":\"h1\",\"tls\":false},"
	"{\"name\":\"orders\",\"healthPath\":\"/health\",\"maxConns\":50,"
	"\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4000000,"
	"\"headerTimeoutMs\":5000,\"idleTimeoutMs\":30000}}";

static http_request_t *send_and_wait(const char *address, const char *path,
				     const char *request_id, const char *body)
{
	const char *headers[] = {
		"Host: shop.example",
		harness_string(&harness, "X-Wisteriadrift-Request-Id: %s",
			       request_id),
		"X-Wisteriadrift-Deadline-Ms: 9000",
		"X-Wisteriadrift-Token-Count: 100,12",
		"Expect:",
		NULL,
	};
	const http_params_t params = {
		.url = harness_string(&harness, "http://%s%s", address, path),
		.body = body,
		.headers = headers,
	};
	http_request_t *request = http_send(&client, &params);

	CU_ASSERT_FATAL(http_wait(&client, request, HARNESS_WAIT_MS));
	return request;
}

static long request_status(const char *address, const char *path,
			   const char *request_id, const char *body)
{
	http_request_t *request =
		send_and_wait(address, path, request_id, body);
	long status = request->status;

	http_request_free(&client, request);
	return status;
}

static const char *next_id(void)
{
	return harness_string(&harness, "request%u", request_count++);
}

static bool accepts_configuration(void *user)
{
	(void)user;
	for (size_t i = 0; i < CONTROLS; i++)
		if (request_status(rig.control_addresses[i],
				   "/wisteriadrift/config/replace", "c0",
				   configuration) == 200)
			return true;
	return false;
}

static bool serves(void *user)
{
	return request_status(entry_address, user, next_id(), "hi") == 200;
}

static void start_known(fake_endpoint_t *endpoint)
{
	fake_endpoint_start_threads(endpoint);
	CU_ASSERT(harness_wait_log(
		entry, harness_string(&harness, "endpoint=%s ", endpoint->id),
		HARNESS_WAIT_MS));
}

/* Listens; the first control instance hears it while it lives. */
static void listen_as(fake_endpoint_t *endpoint, const char *id,
		      const char *service, fake_endpoint_mode_t mode)
{
	fake_endpoint_listen(endpoint, id, service, harness.ip,
			     rig.control_addresses[0], mode);
	endpoint->fallback_controls = other_controls;
	if (strcmp(service, "llm") == 0) {
		endpoint->accelerator = "fast";
		endpoint->end_layer = LAYERS;
	}
}

/* Starts the processes that the tests below share. */
static void test_fleet_starts(void)
{
	fleet_rig_init(&rig, &harness, CONTROLS);
	entry_address = harness_address(&harness);
	for (size_t i = 0; i < CONTROLS; i++)
		controls[i] = fleet_rig_start_control(
			&rig, i, harness_string(&harness, "control%zu", i));
	for (size_t i = 1; i < CONTROLS; i++)
		other_controls[i - 1] = rig.control_addresses[i];
	entry = fleet_rig_start_entry(&rig, "entry", entry_address);
	CU_ASSERT_FATAL(harness_wait_until(accepts_configuration, NULL,
					   HARNESS_WAIT_MS));
	CU_ASSERT(
		harness_wait_log(entry, "event=lease_gained", HARNESS_WAIT_MS));
}

/* 1. Entries of other writers. */

#define NESTED_ARRAYS 100000
#define LARGE_BYTES (4u << 20)

/* A heartbeat of the service "llm", with these fields. */
#define ODD(address, slots, seq, more) \
	"{\"service\":\"llm\",\"address\":\"" address "\",\"zone\":\"z1\"," \
	"\"version\":\"v1\",\"slots\":" slots ",\"state\":\"ready\"," \
	"\"kind\":\"fast\",\"seq\":" seq more "}"
#define NOWHERE "127.0.0.1:9"
#define ALL_LAYERS ",\"layers\":{\"from\":0,\"to\":80}"

static const char *const odd_heartbeats[] = {
	ODD(NOWHERE, "8", "4", ",\"layers\":{\"from\":0,\"to\":4294967295}"),
	ODD(NOWHERE, "8", "4", ",\"layers\":{\"from\":0,\"to\":4294967296}"),
	ODD(NOWHERE, "8", "4", ",\"layers\":{\"from\":70,\"to\":2000000000}"),
	ODD(NOWHERE, "8", "4", ",\"layers\":{\"from\":0,\"to\":20000}"),
	ODD(NOWHERE, "8", "4", ",\"layers\":{\"from\":0,\"to\":1e400}"),
	ODD(NOWHERE, "4294967296", "4", ALL_LAYERS),
	ODD(NOWHERE, "18446744073709551616", "4", ALL_LAYERS),
	ODD(NOWHERE, "8", "9223372036854775807", ALL_LAYERS),
	ODD(NOWHERE, "8", "4", ALL_LAYERS ",\"born\":9223372036854775807"),
	ODD(NOWHERE, "8", "4", ALL_LAYERS ",\"coldLeftMs\":\"soon\""),
	ODD(NOWHERE, "8", "4", ALL_LAYERS ",\"models\":7"),
	ODD(NOWHERE, "8", "4", ALL_LAYERS ",\"state\":\"draining\""),
	ODD("127.0.0.1:0", "8", "4", ALL_LAYERS),
	ODD("127.0.0.1:65536", "8", "4", ALL_LAYERS),
	ODD("127.0.0.1:99999999999", "8", "4", ALL_LAYERS),
	ODD("127.0.0.1", "8", "4", ALL_LAYERS),
	ODD("host.example:80", "8", "4", ALL_LAYERS),
	ODD("127.0.0.1:9\\r\\nX-Odd: 1\\r\\n", "8", "4", ALL_LAYERS),
	ODD("127.0.0.1:9\\u0000", "8", "4", ALL_LAYERS),
	ODD("127.0.0.1:9\xff", "8", "4", ALL_LAYERS),
};

/* Sends a heartbeat of endpoint "id" to a control instance. */
static long send_heartbeat(size_t control, const char *id, const char *body)
{
	return request_status(
		rig.control_addresses[control],
		harness_string(&harness,
			       "/wisteriadrift/instances/%s/heartbeat", id),
		next_id(), body);
}

/* Returns a heartbeat whose "models" has "unit" again and again. */
static char *make_large_heartbeat(const char *unit, size_t count,
				  const char *end_unit)
{
	GString *body = g_string_new(
		"{\"service\":\"llm\",\"address\":\"" NOWHERE "\",\"zone\":"
		"\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
		"\"kind\":\"fast\",\"seq\":4" ALL_LAYERS ",\"models\":[");

	for (size_t i = 0; i < count; i++)
		g_string_append(body, unit);
	g_string_append(body, "0");
	for (size_t i = 0; i < count; i++)
		g_string_append(body, end_unit);
	g_string_append(body, "]}");
	return g_string_free(body, FALSE);
}

static void expect_refused(const char *id, const char *body)
{
	for (size_t i = 0; i < CONTROLS; i++)
		CU_ASSERT_EQUAL(send_heartbeat(i, id, body) / 100, 4);
	CU_ASSERT(serves((void *)(uintptr_t) "/write/1"));
	CU_ASSERT(serves((void *)(uintptr_t) "/book/1"));
}

static void expect_all_running(void)
{
	for (size_t i = 0; i < CONTROLS; i++)
		CU_ASSERT(harness_is_running(controls[i]));
	CU_ASSERT(harness_is_running(entry));
}

/* Sends all odd heartbeats, and some in the name or place of "good". */
static void send_odd_heartbeats(const fake_endpoint_t *good)
{
	char *deep = make_large_heartbeat("[", NESTED_ARRAYS, "]");
	char *large = make_large_heartbeat("0,", LARGE_BYTES / 2, "");

	for (size_t i = 0; i < ARRAY_SIZE(odd_heartbeats); i++)
		expect_refused(harness_string(&harness, "odd-%zu", i),
			       odd_heartbeats[i]);
	/* Another model may have as many layers. */
	CU_ASSERT_EQUAL(
		send_heartbeat(0, "larger",
			       ODD(NOWHERE, "8", "4",
				   ",\"layers\":{\"from\":0,\"to\":1000}")),
		200);
	expect_refused("odd-deep", deep);
	expect_refused("odd-large", large);
	expect_refused("odd-born",
		       harness_string(&harness,
				      "{\"service\":\"llm\",\"address\":\"%s\","
				      "\"zone\":\"z1\",\"slots\":8,\"state\":"
				      "\"ready\",\"seq\":4,"
				      "\"born\":9223372036854775807}",
				      good->address));
	expect_refused(good->id, ODD(NOWHERE, "8", "9223372036854775807", ""));
	g_free(deep);
	g_free(large);
}

/*
 * Failure: an odd entry of another writer ends the processes that read it, now
 * or when they start again, or good endpoints are lost by it.
 */
static void test_odd_entries_name_no_endpoint(void)
{
	fake_endpoint_t writer;
	fake_endpoint_t orders;
	fake_endpoint_t late;
	char *log;

	listen_as(&writer, "writer-1", "llm", FAKE_ENDPOINT_SERVE);
	listen_as(&orders, "orders-1", "orders", FAKE_ENDPOINT_JSON);
	start_known(&writer);
	start_known(&orders);
	CU_ASSERT(harness_wait_until(serves, (void *)(uintptr_t) "/write/1",
				     HARNESS_WAIT_MS));
	send_odd_heartbeats(&writer);
	expect_all_running();
	for (size_t i = 0; i < CONTROLS; i++) {
		harness_kill(controls[i]);
		harness_restart(controls[i]);
	}
	CU_ASSERT(harness_wait_until(accepts_configuration, NULL,
				     HARNESS_WAIT_MS));
	listen_as(&late, "late-1", "llm", FAKE_ENDPOINT_SERVE);
	start_known(&late);
	fake_endpoint_stop(&writer);
	CU_ASSERT(harness_wait_until(serves, (void *)(uintptr_t) "/write/1",
				     HARNESS_WAIT_MS));
	CU_ASSERT(late.runs > 0);
	CU_ASSERT(harness_wait_until(serves, (void *)(uintptr_t) "/book/1",
				     HARNESS_WAIT_MS));
	expect_all_running();
	log = harness_read_file(entry->log_path);
	CU_ASSERT_PTR_NULL(strstr(log, "endpoint=odd-"));
	CU_ASSERT_PTR_NULL(strstr(log, "send=1 endpoint=larger "));
	g_free(log);
	fake_endpoint_stop(&late);
	fake_endpoint_stop(&orders);
}

/* 2. Refusals that are none. */

#define ID(id) "X-Wisteriadrift-Request-Id: " id "\r\n"
#define OWN_ID ID(FAKE_ENDPOINT_OWN_ID)
#define OTHER_ID ID(FAKE_ENDPOINT_OTHER_ID)
#define STAMP "X-Wisteriadrift-Response-Stamp: 1.2.3\r\n"
#define NOT_RUN "X-Wisteriadrift-Not-Executed: full\r\n"
#define EMPTY "Content-Length: 0\r\n\r\n"
#define REFUSAL(status, headers) "HTTP/1.1 " status " No\r\n" headers EMPTY
#define SUCCESS "HTTP/1.1 200 OK\r\n" OWN_ID STAMP "Content-Length: 2\r\n\r\nhi"

/* An answer to a request that has run, and the status that a caller may get. */
typedef struct {
	const char *text;
	long status;
} told_t;

static const told_t refusals[] = {
	{ REFUSAL("503", NOT_RUN), 502 },
	{ REFUSAL("429", NOT_RUN), 502 },
	{ REFUSAL("421", ""), 502 },
	{ REFUSAL("400", NOT_RUN), 502 },
	{ REFUSAL("503", OTHER_ID NOT_RUN), 502 },
	{ REFUSAL("421", OTHER_ID NOT_RUN), 502 },
	{ REFUSAL("503", OTHER_ID OWN_ID NOT_RUN), 502 },
	{ REFUSAL("503", OWN_ID OTHER_ID NOT_RUN), 502 },
	{ REFUSAL("500", OWN_ID NOT_RUN), 502 },
	{ REFUSAL("504", OWN_ID STAMP NOT_RUN), 504 },
	{ REFUSAL("503", OTHER_ID NOT_RUN) SUCCESS, 502 },
	{ "HTTP/1.1 100 Continue\r\n\r\n" REFUSAL("503", OTHER_ID NOT_RUN),
	  502 },
	{ "HTTP/1.1 103 Early\r\n" OWN_ID NOT_RUN "\r\n" SUCCESS, 200 },
	{ SUCCESS REFUSAL("503", OWN_ID NOT_RUN), 200 },
	{ REFUSAL("503", OWN_ID STAMP), 502 },
	{ REFUSAL("429", OWN_ID STAMP), 502 },
	{ REFUSAL("408", OWN_ID STAMP), 502 },
	{ REFUSAL("408", OWN_ID STAMP NOT_RUN), 502 },
	{ REFUSAL("503", OWN_ID STAMP "Retry-After: 1\r\n"), 502 },
	{ REFUSAL("503", OWN_ID STAMP "Connection: close\r\n"), 502 },
	{ REFUSAL("503", OWN_ID), 502 },
	{ REFUSAL("502", OWN_ID STAMP), 502 },
	{ REFUSAL("404", OWN_ID STAMP), 404 },
};

/*
 * Failure: a request that has run is reported as not run, or runs again, since
 * an endpoint wrote a refusal that is not about it, or failed it with a status
 * that promises callers that it has not run.
 */
static void test_refusal_of_another_request_is_not_believed(void)
{
	fake_endpoint_t endpoints[2];
	fake_endpoint_journal_t journal;

	fake_endpoint_journal_init(&journal);
	for (size_t i = 0; i < ARRAY_SIZE(endpoints); i++) {
		listen_as(&endpoints[i],
			  harness_string(&harness, "refuser-%zu", i), "orders",
			  FAKE_ENDPOINT_TEXT);
		endpoints[i].journal = &journal;
		endpoints[i].answer_text = refusals[0].text;
		start_known(&endpoints[i]);
	}
	for (size_t i = 0; i < ARRAY_SIZE(refusals); i++) {
		const char *id = next_id();

		for (size_t j = 0; j < ARRAY_SIZE(endpoints); j++)
			endpoints[j].answer_text = refusals[i].text;
		CU_ASSERT_EQUAL(
			request_status(entry_address, "/book/1", id, "hi"),
			refusals[i].status);
		CU_ASSERT_EQUAL(fake_endpoint_journal_runs(&journal, id), 1);
	}
	for (size_t i = 0; i < ARRAY_SIZE(endpoints); i++)
		fake_endpoint_stop(&endpoints[i]);
	fake_endpoint_journal_finish(&journal);
}

/*
 * Failure: the caller of a stream that has run is told that it has not, after the
 * first attempt or the second one.
 */
static void test_failed_stream_is_no_promise(void)
{
	static const char *const statuses[] = { "503", "429", "408" };
	fake_endpoint_t endpoints[2];

	for (size_t i = 0; i < ARRAY_SIZE(endpoints); i++) {
		listen_as(&endpoints[i],
			  harness_string(&harness, "failer-%zu", i), "writer",
			  FAKE_ENDPOINT_TEXT);
		endpoints[i].answer_text = refusals[0].text;
		start_known(&endpoints[i]);
	}
	for (size_t i = 0; i < ARRAY_SIZE(statuses); i++) {
		for (size_t j = 0; j < ARRAY_SIZE(endpoints); j++)
			endpoints[j].answer_text = harness_string(
				&harness, REFUSAL("%s", OWN_ID STAMP),
				statuses[i]);
		CU_ASSERT_EQUAL(request_status(entry_address, "/chat/1",
					       next_id(), "hi"),
				502);
		endpoints[1].answer_text = REFUSAL("503", OWN_ID NOT_RUN);
		CU_ASSERT_EQUAL(request_status(entry_address, "/chat/1",
					       next_id(), "hi"),
				502);
	}
	for (size_t i = 0; i < ARRAY_SIZE(endpoints); i++)
		fake_endpoint_stop(&endpoints[i]);
}

/* 3. Errors behind a stream that has begun. */

/* Takes longer than the retry budget of a new entry is empty. */
#define STREAMS_MAX 200
#define EVENTS "Content-Type: text/event-stream\r\n"
#define ANSWER(status, headers) "HTTP/1.1 " status " X\r\n" OWN_ID headers
#define LENGTH(bytes) "Content-Length: " #bytes "\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
/* 20 bytes each. */
#define LATE_EVENT "id: 90\ndata: oops!\n\n"
#define LATE_CHUNK "14\r\n" LATE_EVENT "\r\n0\r\n\r\n"

/* What endpoints answer when a stream that broke off goes on there. */
static const char *const errors_behind_streams[] = {
	ANSWER("500", STAMP "Content-Type: text/plain\r\n") LENGTH(4) "oops",
	ANSWER("500", STAMP EVENTS) LENGTH(20) LATE_EVENT,
	ANSWER("500", STAMP EVENTS) CHUNKED LATE_CHUNK,
	ANSWER("404", STAMP EVENTS) CHUNKED LATE_CHUNK,
	ANSWER("400", STAMP EVENTS) LENGTH(20) LATE_EVENT,
	ANSWER("413", STAMP EVENTS) "\r\n" LATE_EVENT,
	ANSWER("302", STAMP EVENTS) LENGTH(20) LATE_EVENT,
	ANSWER("503", NOT_RUN EVENTS) LENGTH(20) LATE_EVENT,
	ANSWER("200", EVENTS) CHUNKED LATE_CHUNK,
	ANSWER("200", STAMP "Content-Type: application/json\r\n") LENGTH(20)
		LATE_EVENT,
	ANSWER("201", STAMP EVENTS) CHUNKED LATE_CHUNK,
	ANSWER("202", STAMP) LENGTH(0),
	ANSWER("204", STAMP) "\r\n",
	ANSWER("205", STAMP) LENGTH(0),
	ANSWER("206", STAMP EVENTS) CHUNKED LATE_CHUNK,
	ANSWER("304", STAMP) "\r\n",
	"HTTP/1.1 103 Early\r\n\r\n" ANSWER("500", STAMP EVENTS) LENGTH(20)
		LATE_EVENT,
	"oops\r\n",
	"<html>oops</html>\n",
	ANSWER("200", STAMP EVENTS) "\r\noops\n\n",
	ANSWER("200", STAMP EVENTS) "\r\nerror: oops\n\n",
	ANSWER("200", STAMP EVENTS) "\r\ndata: oops\n\n",
	ANSWER("200", STAMP EVENTS) "\r\nid: 2\ndata: oops\n\n",
	ANSWER("200", STAMP EVENTS) "\r\n" REFUSAL("500", OWN_ID) "oops\n\n",
	ANSWER("200", STAMP EVENTS) LENGTH(40) "id: 90\n",
	ANSWER("200", STAMP EVENTS) "\r\nid: 6\ndata: w" REFUSAL("500", OWN_ID),
	ANSWER("200", STAMP EVENTS) "\r\nid: 6" REFUSAL("500", OWN_ID) "oops",
	"HTTP/1.1 200 OK\r\n" OTHER_ID STAMP EVENTS CHUNKED LATE_CHUNK,
	ANSWER("200", OTHER_ID STAMP EVENTS) CHUNKED LATE_CHUNK,
};

/* Returns a connection to the entry, or -1. */
static int connect_to_entry(void)
{
	const struct timeval limit = { .tv_sec = HARNESS_WAIT_MS / 1000 };
	struct sockaddr_storage to;
	int fd;

	if (!net_parse_address(entry_address, &to, NULL))
		return -1;
	fd = socket(to.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&to, sizeof(struct sockaddr_in)) ==
	    0)
		return fd;
	close(fd);
	return -1;
}

/*
 * Sends the bytes of a request and returns all bytes until the connection ends;
 * "is_reset": by a reset.
 */
static GString *send_bytes(const char *request, bool *is_reset)
{
	GString *received = g_string_new(NULL);
	int fd = connect_to_entry();
	char block[4096];
	ssize_t got;

	CU_ASSERT_FATAL(fd >= 0);
	CU_ASSERT(send(fd, request, strlen(request), MSG_NOSIGNAL) > 0);
	while ((got = recv(fd, block, sizeof(block), 0)) > 0)
		g_string_append_len(received, block, got);
	*is_reset = got < 0 && errno == ECONNRESET;
	close(fd);
	return received;
}

/* Sends a request for a stream and returns all bytes, as send_bytes() does. */
static GString *receive_stream(const char *http_version, bool *is_reset)
{
	char *request = g_strdup_printf(
		"POST /chat/1 %s\r\n"
		"Host: shop.example\r\n" ID("%s") "Content-Length: 2\r\n\r\nhi",
		http_version, next_id());
	GString *received = send_bytes(request, is_reset);

	g_free(request);
	return received;
}

/* Expects the events before the break, and nothing of what came behind it. */
static void expect_broken_off(const char *http_version, bool is_chunked)
{
	bool is_reset;
	GString *received = receive_stream(http_version, &is_reset);
	const char *head_end = strstr(received->str, "\r\n\r\n");

	CU_ASSERT(g_str_has_prefix(received->str, "HTTP/1.1 200 OK\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(received->str, "id: 5\ndata: word5"));
	CU_ASSERT_PTR_NULL(strstr(received->str, "oops"));
	CU_ASSERT_PTR_NULL(strstr(received->str, "id: 6"));
	CU_ASSERT_PTR_NULL(strstr(received->str, "id: 90"));
	CU_ASSERT(head_end != NULL && strstr(head_end, "HTTP/1.1") == NULL);
	CU_ASSERT_FALSE(g_str_has_suffix(received->str, "\r\n0\r\n\r\n"));
	CU_ASSERT(is_chunked || is_reset);
	g_string_free(received, TRUE);
}

/* Repeats until the entry's retry budget lets a stream go on elsewhere. */
static void expect_resumed_and_broken_off(const fake_endpoint_t endpoints[2],
					  const char *http_version,
					  bool is_chunked)
{
	unsigned runs = 0;

	for (unsigned i = 0; i < STREAMS_MAX && runs < 2; i++) {
		runs = endpoints[0].runs + endpoints[1].runs;
		expect_broken_off(http_version, is_chunked);
		runs = endpoints[0].runs + endpoints[1].runs - runs;
	}
	CU_ASSERT_EQUAL(runs, 2);
}

/*
 * Failure: a stream that broke off goes on with the error of the next endpoint,
 * or ends as if it were complete.
 */
static void test_error_does_not_continue_a_stream(void)
{
	fake_endpoint_t endpoints[2];

	for (size_t i = 0; i < ARRAY_SIZE(endpoints); i++) {
		listen_as(&endpoints[i],
			  harness_string(&harness, "breaker-%zu", i), "writer",
			  FAKE_ENDPOINT_TEXT);
		endpoints[i].breaks_first = true;
		endpoints[i].answer_text = errors_behind_streams[0];
		start_known(&endpoints[i]);
	}
	for (size_t i = 0; i < ARRAY_SIZE(errors_behind_streams); i++) {
		for (size_t j = 0; j < ARRAY_SIZE(endpoints); j++)
			endpoints[j].answer_text = errors_behind_streams[i];
		expect_resumed_and_broken_off(endpoints, "HTTP/1.1", true);
		expect_resumed_and_broken_off(endpoints, "HTTP/1.0", false);
	}
	for (size_t i = 0; i < ARRAY_SIZE(endpoints); i++)
		fake_endpoint_stop(&endpoints[i]);
}

/* 4. Answers that break off in their head. */

#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define INTERIM "HTTP/1.1 100 Continue\r\n\r\n"

/* Answers that end with their connection before they are complete. */
static const char *const broken_heads[] = {
	"HTTP/1.1 200 OK",
	OK_LINE,
	OK_LINE OWN_ID STAMP,
	OK_LINE OWN_ID STAMP "Content-Length: 2",
	OK_LINE OWN_ID STAMP "Content-Length: 2\r\n",
	OK_LINE OWN_ID STAMP "Content-Length: 2\r\n\r",
	OK_LINE OWN_ID STAMP EVENTS "Transfer-Encoding: chu",
	OK_LINE OWN_ID STAMP EVENTS "Transfer-Encoding: chunked\r\n",
	OK_LINE OWN_ID STAMP EVENTS CHUNKED,
	OK_LINE OWN_ID STAMP EVENTS CHUNKED "0\r\n",
	OK_LINE OWN_ID STAMP EVENTS CHUNKED "0\r\nX-Trailer: a\r\n",
	OK_LINE OWN_ID STAMP LENGTH(9) "short",
	INTERIM,
	INTERIM OK_LINE OWN_ID STAMP,
	"HTTP/1.1 503 No\r\n" OWN_ID NOT_RUN,
	"HTTP/1.1 503 No\r\n" OWN_ID NOT_RUN "Content-Length: 0\r\n",
};

/*
 * Guards against an answer whose head breaks off as a complete one, with an
 * empty or a short body, and against a refusal of which the end is not known.
 */
static void test_answer_that_breaks_off_in_its_head_is_none(void)
{
	static const char *const services[] = { "orders", "writer" };
	static const char *const paths[] = { "/book/1", "/chat/1" };
	fake_endpoint_t endpoints[ARRAY_SIZE(services)];
	fake_endpoint_journal_t journal;

	fake_endpoint_journal_init(&journal);
	for (size_t i = 0; i < ARRAY_SIZE(services); i++) {
		listen_as(&endpoints[i],
			  harness_string(&harness, "header-%zu", i),
			  services[i], FAKE_ENDPOINT_TEXT);
		endpoints[i].journal = &journal;
		endpoints[i].answer_text = broken_heads[0];
		start_known(&endpoints[i]);
	}
	for (size_t i = 0; i < ARRAY_SIZE(broken_heads); i++)
		for (size_t j = 0; j < ARRAY_SIZE(services); j++) {
			const char *id = next_id();

			endpoints[j].answer_text = broken_heads[i];
			CU_ASSERT_EQUAL(request_status(entry_address, paths[j],
						       id, "hi"),
					502);
			CU_ASSERT_EQUAL(
				fake_endpoint_journal_runs(&journal, id), 1);
		}
	for (size_t i = 0; i < ARRAY_SIZE(services); i++)
		fake_endpoint_stop(&endpoints[i]);
	fake_endpoint_journal_finish(&journal);
}

/* 5. Answers whose status is none, see RFC 9110, 15. */

static const char *const odd_statuses[] = { "000", "0",	  "001", "099",
					    "600", "999", "1000" };

static void test_answer_with_an_invalid_status_is_none(void)
{
	static const char *const paths[] = { "/chat/1", "/book/1" };
	static const char *const services[] = { "writer", "orders" };
	static const char *const headers[] = { STAMP EVENTS LENGTH(2) "hi",
					       STAMP LENGTH(2) "hi" };
	fake_endpoint_t endpoints[ARRAY_SIZE(services)];
	fake_endpoint_journal_t journal;

	fake_endpoint_journal_init(&journal);
	for (size_t i = 0; i < ARRAY_SIZE(services); i++) {
		listen_as(&endpoints[i],
			  harness_string(&harness, "odd-status-%zu", i),
			  services[i], FAKE_ENDPOINT_TEXT);
		endpoints[i].journal = &journal;
		endpoints[i].answer_text = broken_heads[0];
		start_known(&endpoints[i]);
	}
	for (size_t i = 0; i < ARRAY_SIZE(odd_statuses); i++)
		for (size_t j = 0; j < ARRAY_SIZE(services); j++) {
			const char *id = next_id();

			endpoints[j].answer_text = harness_string(
				&harness, "HTTP/1.1 %s X\r\n" OWN_ID "%s",
				odd_statuses[i], headers[j]);
			CU_ASSERT_EQUAL(request_status(entry_address, paths[j],
						       id, "hi"),
					502);
			CU_ASSERT_EQUAL(
				fake_endpoint_journal_runs(&journal, id), 1);
		}
	for (size_t i = 0; i < ARRAY_SIZE(services); i++)
		fake_endpoint_stop(&endpoints[i]);
	fake_endpoint_journal_finish(&journal);
}

/* 6. Answers that end while the request is still sent. */

#define UPLOAD_BYTES 3500000
#define EARLY_ANSWERS 60 /* to each service */
#define PART ANSWER("200", STAMP) "\r\npart"
#define FIRST_EVENT ANSWER("200", STAMP EVENTS) "\r\nid: 0\ndata: word0\n\n"

/*
 * Whether the entry passes the answer on as a complete one.  The caller of an
 * answer that is not must get a 502, or a stream that breaks off.
 */
static bool is_answer_complete(const char *path, const char *body)
{
	http_request_t *request =
		send_and_wait(entry_address, path, next_id(), body);
	bool is_whole = request->result == CURLE_OK;
	bool is_complete = is_whole && request->status == 200;

	CU_ASSERT(is_complete || (is_whole && request->status == 502) ||
		  (!is_whole && request->status == 200 &&
		   strstr(path, "/chat/") != NULL));
	http_request_free(&client, request);
	return is_complete;
}

/* Counts the early answers that are passed on as complete. */
static unsigned count_complete_answers(fake_endpoint_mode_t mode)
{
	static const char *const services[] = { "orders", "writer" };
	static const char *const paths[] = { "/book/1", "/chat/1" };
	static const char *const texts[] = { PART, FIRST_EVENT };
	char *filler = g_strnfill(UPLOAD_BYTES, 'x');
	fake_endpoint_t endpoints[ARRAY_SIZE(services)];
	unsigned count = 0;

	for (size_t i = 0; i < ARRAY_SIZE(services); i++) {
		listen_as(&endpoints[i],
			  harness_string(&harness, "early-%d-%zu", mode, i),
			  services[i], mode);
		endpoints[i].answer_text = texts[i];
		start_known(&endpoints[i]);
	}
	for (size_t i = 0; i < ARRAY_SIZE(services); i++) {
		/* A body that several endpoints break off on is refused. */
		char *upload = g_strconcat(endpoints[i].id, filler, NULL);

		for (unsigned j = 0; j < EARLY_ANSWERS; j++)
			count += is_answer_complete(paths[i], upload);
		CU_ASSERT(endpoints[i].runs >= EARLY_ANSWERS);
		fake_endpoint_stop(&endpoints[i]);
		g_free(upload);
	}
	g_free(filler);
	return count;
}

/*
 * Failure: an endpoint answers a long upload at once, without a length, and
 * resets the connection; the part of its answer reaches the caller as whole.
 */
static void test_answer_reset_during_upload_is_none(void)
{
	CU_ASSERT_EQUAL(count_complete_answers(FAKE_ENDPOINT_EARLY_RESET), 0);
}

/* Failure: the same, but the endpoint ends its side of the connection first. */
static void test_answer_ended_during_upload_is_none(void)
{
	CU_ASSERT_EQUAL(count_complete_answers(FAKE_ENDPOINT_EARLY_END), 0);
}

/* 7. Fields whose names are no tokens, see RFC 9110, 5.1. */

static const char *const odd_fields[] = {
	"X Odd: 1",
	"X-Odd : 1",
	"Content-Length : 1",
	"Content Length: 1",
	"Transfer Encoding: chunked",
	"Transfer-Encoding : chunked",
	"Content\x01-Length: 1",
	"X\tOdd: 1",
	"X\x01Odd: 1",
	"X\x7fOdd: 1",
	"X\x80Odd: 1",
	"X\rOdd: 1",
	": 1",
	"no colon",
};

/*
 * Failure: an answer with a field whose name is invalid reaches the caller, with
 * that field or with a body that is not the endpoint's.
 */
static void test_answer_with_an_invalid_field_name_is_none(void)
{
	static const char *const services[] = { "orders", "writer" };
	static const char *const paths[] = { "/book/1", "/chat/1" };
	static const char *const formats[] = {
		OK_LINE OWN_ID STAMP "%s\r\n" LENGTH(2) "hi",
		OK_LINE OWN_ID STAMP "%s\r\n\r\nhi",
		OK_LINE OWN_ID STAMP CHUNKED "2\r\nhi\r\n0\r\n%s\r\n\r\n",
		"HTTP/1.1 103 Early\r\n%s\r\n\r\n" SUCCESS,
	};
	fake_endpoint_t endpoints[ARRAY_SIZE(services)];

	for (size_t i = 0; i < ARRAY_SIZE(services); i++) {
		listen_as(&endpoints[i],
			  harness_string(&harness, "odd-field-%zu", i),
			  services[i], FAKE_ENDPOINT_TEXT);
		endpoints[i].answer_text = broken_heads[0];
		start_known(&endpoints[i]);
	}
	for (size_t i = 0; i < ARRAY_SIZE(odd_fields); i++)
		for (size_t j = 0; j < ARRAY_SIZE(formats); j++) {
			char **parts = g_strsplit(formats[j], "%s", 2);
			const char *text =
				harness_string(&harness, "%s%s%s", parts[0],
					       odd_fields[i], parts[1]);

			for (size_t k = 0; k < ARRAY_SIZE(services); k++) {
				endpoints[k].answer_text = text;
				CU_ASSERT_EQUAL(
					request_status(entry_address, paths[k],
						       next_id(), services[k]),
					502);
			}
			g_strfreev(parts);
		}
	for (size_t i = 0; i < ARRAY_SIZE(services); i++)
		fake_endpoint_stop(&endpoints[i]);
}

/* Sends a request with the line "field"; returns what the entry answers. */
static GString *send_with_field(const char *field)
{
	char *request = g_strdup_printf(
		"POST /book/1 HTTP/1.1\r\nHost: shop.example\r\n" ID(
			"%s") "Connection: close\r\n%s\r\n"
			      "Content-Length: 2\r\n\r\nhi",
		next_id(), field);
	bool is_reset;
	GString *received = send_bytes(request, &is_reset);

	CU_ASSERT_FALSE(is_reset);
	g_free(request);
	return received;
}

/*
 * Failure: the entry and an endpoint see two ends of one request, so that a
 * request is smuggled in the body of another one.
 */
static void test_request_with_an_invalid_field_name_is_refused(void)
{
	fake_endpoint_t endpoint;
	GString *received;

	listen_as(&endpoint, "field-reader", "orders", FAKE_ENDPOINT_JSON);
	start_known(&endpoint);
	for (size_t i = 0; i < ARRAY_SIZE(odd_fields); i++) {
		received = send_with_field(odd_fields[i]);
		CU_ASSERT(g_str_has_prefix(received->str, "HTTP/1.1 400 "));
		g_string_free(received, TRUE);
	}
	CU_ASSERT_EQUAL(endpoint.runs, 0);
	received = send_with_field("X-Sound: 1");
	CU_ASSERT(g_str_has_prefix(received->str, "HTTP/1.1 200 "));
	CU_ASSERT_EQUAL(endpoint.runs, 1);
	g_string_free(received, TRUE);
	fake_endpoint_stop(&endpoint);
}

/* 8. Answers that end with their head, and what comes behind them. */

#define SECOND "HTTP/1.1 200 OK\r\n" OTHER_ID STAMP LENGTH(4) "oops"

typedef struct {
	const char *method;
	const char *answer;
	const char *status_line; /* of what the caller gets */
	bool may_have_length;
} head_only_t;

static const head_only_t head_only[] = {
	{ "POST", ANSWER("204", STAMP) "\r\n" SECOND, "HTTP/1.1 204 ", false },
	{ "POST", ANSWER("204", STAMP) LENGTH(2) SECOND, "HTTP/1.1 204 ",
	  false },
	{ "POST", ANSWER("204", STAMP) LENGTH(100) SECOND, "HTTP/1.1 204 ",
	  false },
	{ "POST", ANSWER("204", STAMP) LENGTH(4) "oops", "HTTP/1.1 204 ",
	  false },
	{ "POST", ANSWER("204", STAMP) CHUNKED "4\r\noops\r\n0\r\n\r\n" SECOND,
	  "HTTP/1.1 204 ", false },
	{ "POST", ANSWER("304", STAMP) LENGTH(100) SECOND, "HTTP/1.1 304 ",
	  false },
	{ "POST", ANSWER("304", STAMP) CHUNKED "4\r\noops\r\n0\r\n\r\n",
	  "HTTP/1.1 304 ", false },
	{ "POST",
	  "HTTP/1.1 103 Early\r\nContent-Length: 100\r\n\r\n" ANSWER(
		  "204", STAMP) "\r\n" SECOND,
	  "HTTP/1.1 204 ", false },
	{ "POST", ANSWER("205", STAMP) LENGTH(0) SECOND, "HTTP/1.1 205 ",
	  true },
	{ "POST", ANSWER("205", STAMP) LENGTH(4) "oops", "HTTP/1.1 502 ",
	  true },
	{ "POST", ANSWER("205", STAMP) CHUNKED "4\r\noops\r\n0\r\n\r\n",
	  "HTTP/1.1 502 ", true },
	{ "HEAD", ANSWER("200", STAMP) LENGTH(100) SECOND, "HTTP/1.1 200 ",
	  true },
	{ "HEAD", ANSWER("200", STAMP) LENGTH(4) "oops", "HTTP/1.1 200 ",
	  true },
	{ "HEAD", ANSWER("200", STAMP) CHUNKED "4\r\noops\r\n0\r\n\r\n",
	  "HTTP/1.1 200 ", false },
	{ "HEAD", ANSWER("204", STAMP) LENGTH(100) SECOND, "HTTP/1.1 204 ",
	  false },
	{ "HEAD", ANSWER("404", STAMP) LENGTH(100), "HTTP/1.1 404 ", true },
};

/*
 * Sends two requests on a connection that is kept; the second one is for a route
 * that is not there.  Returns all that the entry answers.
 */
static GString *send_two(const char *method, const char *path)
{
	bool is_reset;
	char *request = g_strdup_printf(
		"%s %s HTTP/1.1\r\n"
		"Host: shop.example\r\n" ID(
			"%s") "Content-Length: 0\r\n\r\n"
			      "GET /nowhere HTTP/1.1\r\nHost: "
			      "shop.example\r\n" ID(
				      "%s") "Connection: close\r\n\r\n",
		method, path, next_id(), next_id());
	GString *received = send_bytes(request, &is_reset);

	g_free(request);
	return received;
}

static void check_head_only(const head_only_t *row, const char *path)
{
	GString *received = send_two(row->method, path);
	const char *end = strstr(received->str, "\r\n\r\n");
	bool has_body = g_str_has_prefix(row->status_line, "HTTP/1.1 502");

	CU_ASSERT(g_str_has_prefix(received->str, row->status_line));
	CU_ASSERT_PTR_NOT_NULL_FATAL(end);
	CU_ASSERT(has_body || g_str_has_prefix(end, "\r\n\r\nHTTP/1.1 404 "));
	CU_ASSERT_PTR_NULL(strstr(received->str, "oops"));
	CU_ASSERT_PTR_NULL(strstr(received->str, "chunked"));
	CU_ASSERT(row->may_have_length ||
		  g_strstr_len(received->str, end - received->str,
			       "Content-Length") == NULL);
	g_string_free(received, TRUE);
}

/*
 * Failure: a second answer behind a 204 is handed on as its body, and the caller
 * reads it as the answer to its next request.
 */
static void test_second_answer_behind_a_head_reaches_nobody(void)
{
	static const char *const services[] = { "orders", "writer" };
	static const char *const paths[] = { "/book/1", "/chat/1" };
	fake_endpoint_t endpoints[ARRAY_SIZE(services)];

	for (size_t i = 0; i < ARRAY_SIZE(services); i++) {
		listen_as(&endpoints[i],
			  harness_string(&harness, "head-only-%zu", i),
			  services[i], FAKE_ENDPOINT_TEXT);
		endpoints[i].answer_text = head_only[0].answer;
		start_known(&endpoints[i]);
	}
	for (size_t i = 0; i < ARRAY_SIZE(head_only); i++)
		for (size_t j = 0; j < ARRAY_SIZE(services); j++) {
			endpoints[j].answer_text = head_only[i].answer;
			check_head_only(&head_only[i], paths[j]);
		}
	CU_ASSERT(harness_wait_log(entry, "event=bytes_behind_answer ", 0));
	for (size_t i = 0; i < ARRAY_SIZE(services); i++)
		fake_endpoint_stop(&endpoints[i]);
}

static const unit_test_t tests[] = {
	{ "the fleet starts", test_fleet_starts },
	{ "odd entries name no endpoint", test_odd_entries_name_no_endpoint },
	{ "refusal of another request is not believed",
	  test_refusal_of_another_request_is_not_believed },
	{ "failed stream is no promise", test_failed_stream_is_no_promise },
	{ "error does not continue a stream",
	  test_error_does_not_continue_a_stream },
	{ "answer that breaks off in its head is none",
	  test_answer_that_breaks_off_in_its_head_is_none },
	{ "answer with an invalid status is none",
	  test_answer_with_an_invalid_status_is_none },
	{ "answer reset during the upload is none",
	  test_answer_reset_during_upload_is_none },
	{ "answer ended during the upload is none",
	  test_answer_ended_during_upload_is_none },
	{ "answer with an invalid field name is none",
	  test_answer_with_an_invalid_field_name_is_none },
	{ "request with an invalid field name is refused",
	  test_request_with_an_invalid_field_name_is_refused },
	{ "second answer behind a head reaches nobody",
	  test_second_answer_behind_a_head_reaches_nobody },
};

int main(void)
{
	int status;

	harness_init(&harness, "fleet_reports");
	http_client_init(&client);
	status = unit_run("fleet_reports", tests, ARRAY_SIZE(tests));
	http_client_finish(&client);
	harness_finish(&harness, status == EXIT_SUCCESS);
	return status;
}
