/*
 * Failures that operators of similar systems reported, played against the fleet
 * roles: answers of others, planned stops under load, slow and stalled streams,
 * restarts, paused processes and hand-overs between leaders.
 */
#include "../unit/unit.h"

#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness/fake_endpoint.h"
#include "harness/fleet_rig.h"
#include "harness/harness.h"
#include "harness/http.h"

#include "wisteria/net/net.h"

#define ANSWER_BYTES 65536

static harness_t harness;
static http_client_t client;
static fleet_rig_t rig;
static const char *control_address;
static const char *entry_address;
static harness_process_t *control;
static harness_process_t *entry;

/*
 * The least patience of a caller is 2 s: "quick" has goals that keep it there.
 * "secret" needs a key.
 */
static const char configuration_format[] =
	"{\"version\":%u,\"tenants\":[%s],"
	"\"routes\":["
	"{\"name\":\"quick\",\"host\":\"shop.example\",\"pathPrefix\":"
	"\"/quick/\",\"kind\":\"stream\",\"timeoutMs\":9000,\"goalMs\":500,"
	"\"priority\":1,\"service\":\"writer\",\"maxAttempts\":3,"
	"\"allowAnonymous\":true,\"streamResume\":true,\"gapGoalMs\":250},"
	"{\"name\":\"chat\",\"host\":\"shop.example\",\"pathPrefix\":"
	"\"/chat/\",\"kind\":\"stream\",\"timeoutMs\":9000,\"goalMs\":3000,"
	"\"priority\":1,\"service\":\"writer\",\"maxAttempts\":3,"
	"\"allowAnonymous\":true,\"streamResume\":false,\"gapGoalMs\":500},"
	"{\"name\":\"look\",\"host\":\"shop.example\",\"pathPrefix\":"
	"\"/look/\",\"kind\":\"idempotent\",\"timeoutMs\":5000,"
	"\"goalMs\":3000,\"priority\":1,\"service\":\"orders\","
	"\"maxAttempts\":2,\"allowAnonymous\":true},"
	"{\"name\":\"secret\",\"host\":\"shop.example\",\"pathPrefix\":"
	"\"/secret/\",\"kind\":\"non_idempotent\",\"timeoutMs\":9000,"
	"\"goalMs\":3000,\"priority\":1,\"service\":\"orders\","
	"\"maxAttempts\":1,\"allowAnonymous\":false},"
	"{\"name\":\"book\",\"host\":\"shop.example\",\"pathPrefix\":"
	"\"/book/\",\"kind\":\"non_idempotent\",\"timeoutMs\":5000,"
	"\"goalMs\":3000,\"priority\":0,\"service\":\"orders\","
	"\"maxAttempts\":2,\"allowAnonymous\":true}],\"services\":["
	"{\"name\":\"writer\",\"healthPath\":\"/health\",\"maxConns\":50,"
	"\"protocol\":\"h1\",\"tls\":false},"
	"{\"name\":\"orders\",\"healthPath\":\"/health\",\"maxConns\":50,"
	"\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000000,"
	"\"headerTimeoutMs\":5000,\"idleTimeoutMs\":30000}}";

#define CUSTOMER(keys) "{\"name\":\"acme\",\"apiKeys\":[" keys "]}"
#define KEYS_BOTH CUSTOMER("\"key-old\",\"key-new\"")
#define KEYS_NEW CUSTOMER("\"key-new\"")
#define KEYS_NONE CUSTOMER("")
#define NO_CUSTOMERS ""

static unsigned version;

static http_request_t *send_request(const char *address, const char *path,
				    const char *request_id, const char *body)
{
	const char *headers[] = {
		"Host: shop.example",
		harness_string(&harness, "X-Wisteriadrift-Request-Id: %s",
			       request_id),
		"X-Wisteriadrift-Deadline-Ms: 9000",
		NULL,
	};
	const http_params_t params = {
		.url = harness_string(&harness, "http://%s%s", address, path),
		.body = body,
		.headers = headers,
	};

	return http_send(&client, &params);
}

static http_request_t *send_and_wait(const char *address, const char *path,
				     const char *request_id, const char *body)
{
	http_request_t *request = send_request(address, path, request_id, body);

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

static bool accepts_configuration(void *user)
{
	return request_status(control_address, "/wisteriadrift/config/replace",
			      "c0", user) == 200;
}

/* Puts the next version of the configuration, with these customers. */
static void configure(const char *customers)
{
	char *text =
		g_strdup_printf(configuration_format, ++version, customers);

	CU_ASSERT_FATAL(harness_wait_until(accepts_configuration, text,
					   HARNESS_WAIT_MS));
	g_free(text);
}

/* Waits until the last version is in force at the entry. */
static void wait_in_force(void)
{
	CU_ASSERT(harness_wait_log(
		entry,
		harness_string(&harness, "event=revision_in_force revision=%u ",
			       version),
		HARNESS_WAIT_MS));
}

static void restore_keys(void)
{
	configure(KEYS_BOTH);
	wait_in_force();
}

/* Starts an endpoint and waits until "process", an entry, knows it. */
static void start_known(fake_endpoint_t *endpoint, const char *id,
			const char *service, fake_endpoint_mode_t mode)
{
	fake_endpoint_start(endpoint, id, service, harness.ip, control_address,
			    mode);
	CU_ASSERT(harness_wait_log(entry,
				   harness_string(&harness, "endpoint=%s ", id),
				   HARNESS_WAIT_MS));
}

/* Waits until an entry that has just started knows "endpoint" and serves. */
static void wait_ready(const harness_process_t *process, const char *endpoint)
{
	CU_ASSERT(harness_wait_log(
		process, harness_string(&harness, "endpoint=%s ", endpoint),
		HARNESS_WAIT_MS));
	CU_ASSERT(harness_wait_log(process, "event=lease_gained",
				   HARNESS_WAIT_MS));
}

/* Starts the processes that the tests below share. */
static void test_fleet_starts(void)
{
	fleet_rig_init(&rig, &harness, 1);
	control_address = rig.control_addresses[0];
	entry_address = harness_address(&harness);
	control = fleet_rig_start_control(&rig, 0, "control");
	entry = fleet_rig_start_entry(&rig, "entry", entry_address);
	configure(KEYS_BOTH);
	CU_ASSERT(
		harness_wait_log(entry, "event=lease_gained", HARNESS_WAIT_MS));
}

/* Plain connections, for what a caller's library would not do. */

/* Returns a connection to "address", or -1. */
static int open_connection(const char *address)
{
	const struct timeval limit = { .tv_sec = HARNESS_WAIT_MS / 1000 };
	struct sockaddr_storage to;
	int fd;

	if (!net_parse_address(address, &to, NULL))
		return -1;
	fd = socket(to.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&to, sizeof(struct sockaddr_in)) ==
	    0)
		return fd;
	close(fd);
	return -1;
}

/* Returns whether the whole request was handed to the kernel. */
static bool write_request(int fd, const char *path, const char *request_id,
			  const char *key)
{
	char *text = g_strdup_printf(
		"POST %s HTTP/1.1\r\nHost: shop.example\r\n"
		"X-Wisteriadrift-Request-Id: %s\r\n%s%s%s"
		"Content-Length: 2\r\n\r\nhi",
		path, request_id, key == NULL ? "" : "Authorization: Bearer ",
		key == NULL ? "" : key, key == NULL ? "" : "\r\n");
	size_t len = strlen(text);
	bool ok = send(fd, text, len, MSG_NOSIGNAL) == (ssize_t)len;

	g_free(text);
	return ok;
}

/*
 * Reads one answer with a Content-Length into "answer"; returns its status, or
 * 0 if the connection ended before it.
 */
static unsigned read_answer(int fd, char answer[ANSWER_BYTES])
{
	size_t used = 0;

	for (;;) {
		ssize_t got;
		char *end;
		const char *length;

		answer[used] = '\0';
		end = strstr(answer, "\r\n\r\n");
		length = strcasestr(answer, "\r\ncontent-length:");
		if (end != NULL && length != NULL && length < end &&
		    used - (size_t)(end + 4 - answer) >=
			    strtoul(strchr(length, ':') + 1, NULL, 10))
			return (unsigned)atoi(answer + strlen("HTTP/1.1 "));
		/* One byte at a time: the next answer may follow. */
		if (used == ANSWER_BYTES - 1)
			return 0;
		got = recv(fd, answer + used, 1, 0);
		if (got <= 0)
			return 0;
		used++;
	}
}

/* 1. Answers of others. */

/* Expects the own answer, whole, and no word of another. */
static void expect_own(const char *answer, unsigned status,
		       const char *request_id)
{
	const char *own = harness_string(&harness, "word0 of %s", request_id);

	CU_ASSERT_EQUAL(status, 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(answer, own));
	CU_ASSERT_PTR_NULL(strstr(answer, FAKE_ENDPOINT_OTHER_ID));
}

/*
 * Failure: an endpoint sends a second answer behind a complete one, and the
 * caller whose request follows on a connection in use again gets it.
 */
static void test_second_answer_reaches_nobody(void)
{
	static char answer[ANSWER_BYTES];
	fake_endpoint_t endpoint;
	int fd;

	start_known(&endpoint, "twice", "orders", FAKE_ENDPOINT_TWICE);
	fd = open_connection(entry_address);
	CU_ASSERT_FATAL(fd >= 0);
	for (int i = 0; i < 20; i++) {
		const char *id = harness_string(&harness, "kept%d", i);

		CU_ASSERT(write_request(fd, "/book/1", id, NULL));
		expect_own(answer, read_answer(fd, answer), id);
	}
	CU_ASSERT_EQUAL(endpoint.runs, 20);
	close(fd);
	fake_endpoint_stop(&endpoint);
}

/* Failure: an answer that names another request is passed on. */
static void test_answer_of_another_request_is_not_passed_on(void)
{
	static const char *const services[] = { "orders", "writer" };
	static const char *const paths[] = { "/book/1", "/chat/1" };

	for (size_t i = 0; i < ARRAY_SIZE(services); i++) {
		fake_endpoint_t endpoint;
		http_request_t *request;

		start_known(&endpoint,
			    harness_string(&harness, "foreign%zu", i),
			    services[i], FAKE_ENDPOINT_FOREIGN);
		request = send_and_wait(entry_address, paths[i],
					harness_string(&harness, "mine%zu", i),
					"hi");
		CU_ASSERT_EQUAL(request->status, 502);
		CU_ASSERT_PTR_NULL(
			strstr(request->body->str, FAKE_ENDPOINT_OTHER_ID));
		CU_ASSERT_EQUAL(endpoint.runs, 1);
		http_request_free(&client, request);
		fake_endpoint_stop(&endpoint);
	}
}

/*
 * Failure: the answer to a caller who has gone reaches the next one.  Two
 * requests are also sent at once on one connection, and answered in order.
 */
static void test_answer_to_a_caller_who_has_gone_reaches_nobody(void)
{
	static char answer[ANSWER_BYTES];
	fake_endpoint_t endpoint;

	start_known(&endpoint, "late", "orders", FAKE_ENDPOINT_SERVE);
	for (int i = 0; i < 5; i++) {
		const char *gone = harness_string(&harness, "gone%d", i);
		const char *first = harness_string(&harness, "first%d", i);
		const char *second = harness_string(&harness, "second%d", i);
		int fd = open_connection(entry_address);

		CU_ASSERT(write_request(fd, "/look/1", gone, NULL));
		/* An answer takes 0.24 s. */
		g_usleep(60000);
		close(fd);
		fd = open_connection(entry_address);
		CU_ASSERT(write_request(fd, "/look/1", first, NULL));
		CU_ASSERT(write_request(fd, "/look/1", second, NULL));
		expect_own(answer, read_answer(fd, answer), first);
		CU_ASSERT_PTR_NULL(strstr(answer, gone));
		expect_own(answer, read_answer(fd, answer), second);
		close(fd);
	}
	fake_endpoint_stop(&endpoint);
}

/* 2. Planned stops. */

/* How long callers go on after SIGTERM; the entry listens for 2.6 s of it. */
#define STOP_LOAD_MS 4000
#define KEPT_CALLERS 4
#define NEW_CALLERS 4
/* Between the opening of a connection and the request: a slow network. */
#define SLOW_CALLER_US 300000

/* One caller thread, and what became of its requests. */
typedef struct {
	unsigned index;
	bool keeps; /* its connection, as long as the entry does */
	bool is_slow;
	const char *address;
	atomic_bool *stopping;
	unsigned answered;
	unsigned cut; /* written whole, and no answer */
	pthread_t thread;
} load_caller_t;

static void *call_under_load(void *user)
{
	static _Thread_local char answer[ANSWER_BYTES];
	load_caller_t *caller = user;
	unsigned sent = 0;
	int fd = -1;

	while (!*caller->stopping) {
		char id[64];
		unsigned status;

		if (fd < 0)
			fd = open_connection(caller->address);
		if (fd < 0) {
			g_usleep(5000); /* nothing listens any more */
			continue;
		}
		if (caller->is_slow)
			g_usleep(SLOW_CALLER_US);
		g_snprintf(id, sizeof(id), "load-%u-%u", caller->index, sent++);
		status = write_request(fd, "/look/1", id, NULL)
				 ? read_answer(fd, answer)
				 : 0;
		caller->answered += status != 0;
		caller->cut += status == 0;
		if (!caller->keeps || status == 0 ||
		    strcasestr(answer, "connection: close") != NULL) {
			close(fd);
			fd = -1;
		}
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

/*
 * Failure: requests that were just accepted are cut without an answer while an
 * entry stops, on kept connections, on new ones, and on new ones whose request
 * comes a little later.
 */
static void test_stop_under_load_answers_all(void)
{
	static load_caller_t callers[KEPT_CALLERS + 2 * NEW_CALLERS];
	const char *address = harness_address(&harness);
	harness_process_t *stopped =
		fleet_rig_start_entry(&rig, "entry-stop", address);
	atomic_bool stopping = false;
	fake_endpoint_t endpoint;
	unsigned answered = 0;
	unsigned cut = 0;

	start_known(&endpoint, "stop-load", "orders", FAKE_ENDPOINT_JSON);
	wait_ready(stopped, "stop-load");
	for (unsigned i = 0; i < ARRAY_SIZE(callers); i++) {
		callers[i] = (load_caller_t){
			.index = i,
			.keeps = i < KEPT_CALLERS,
			.is_slow = i >= KEPT_CALLERS + NEW_CALLERS,
			.address = address,
			.stopping = &stopping,
		};
		CU_ASSERT_EQUAL_FATAL(pthread_create(&callers[i].thread, NULL,
						     call_under_load,
						     &callers[i]),
				      0);
	}
	g_usleep(500 * G_TIME_SPAN_MILLISECOND);
	harness_signal(stopped, SIGTERM);
	g_usleep(STOP_LOAD_MS * G_TIME_SPAN_MILLISECOND);
	stopping = true;
	for (unsigned i = 0; i < ARRAY_SIZE(callers); i++) {
		pthread_join(callers[i].thread, NULL);
		answered += callers[i].answered;
		cut += callers[i].cut;
	}
	printf(" [%u answered, %u cut] ", answered, cut);
	CU_ASSERT(answered > 0);
	CU_ASSERT_EQUAL(cut, 0);
	CU_ASSERT(harness_wait_exit(stopped, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(stopped->exit_status, 0);
	fake_endpoint_stop(&endpoint);
}

/*
 * Failure: requests that still wait when the time for a planned stop is over
 * are cut without an answer.  No endpoint has begun to answer them.
 */
static void test_stop_refuses_what_still_waits(void)
{
	static char answer[ANSWER_BYTES];
	const char *address = harness_address(&harness);
	harness_process_t *stopped =
		fleet_rig_start_entry(&rig, "entry-wait", address);
	fake_endpoint_t endpoint;
	int fd;

	start_known(&endpoint, "stop-wait", "writer", FAKE_ENDPOINT_SILENT);
	wait_ready(stopped, "stop-wait");
	harness_signal(stopped, SIGTERM);
	CU_ASSERT(
		harness_wait_log(stopped, "event=stop_begun", HARNESS_WAIT_MS));
	fd = open_connection(address);
	CU_ASSERT_FATAL(fd >= 0);
	CU_ASSERT(write_request(fd, "/chat/1", "waits", NULL));
	/* It may have run: the endpoint has read it. */
	CU_ASSERT_EQUAL(read_answer(fd, answer), 502);
	close(fd);
	CU_ASSERT(harness_wait_exit(stopped, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(stopped->exit_status, 0);
	fake_endpoint_stop(&endpoint);
}

/* Longer than what is left of the stop when the late requests arrive. */
#define LATE_ANSWER_MS 1500

/* Connects and writes a request but for the last byte of its body, or -1. */
static int begin_request(const char *address, const char *path,
			 const char *request_id)
{
	int fd = open_connection(address);
	char *text =
		g_strdup_printf("POST %s HTTP/1.1\r\nHost: shop.example\r\n"
				"X-Wisteriadrift-Request-Id: %s\r\n"
				"Content-Length: 2\r\n\r\nh",
				path, request_id);
	bool ok = fd >= 0 && send(fd, text, strlen(text), MSG_NOSIGNAL) ==
				     (ssize_t)strlen(text);

	g_free(text);
	return ok ? fd : -1;
}

/*
 * Failure: a request that is complete only late in a planned stop is passed on
 * though its answer can't be ready in time, and is cut at the end of the stop;
 * whether it has run is then unknown to its caller.
 */
static void test_stop_passes_on_nothing_that_it_would_cut(void)
{
	static const struct {
		const char *path;
		int64_t at_ms; /* since SIGTERM; the stop takes 7,750 */
		bool is_served;
	} requests[] = {
		{ "/book/1", 1000, true },  { "/look/1", 4000, true },
		{ "/book/1", 6900, false }, { "/book/1", 7100, false },
		{ "/look/1", 7300, false }, { "/book/1", 7500, false },
	};
	static char answer[ANSWER_BYTES];
	const char *address = harness_address(&harness);
	harness_process_t *stopped =
		fleet_rig_start_entry(&rig, "entry-late-stop", address);
	fake_endpoint_journal_t journal;
	fake_endpoint_t endpoint;
	int fds[ARRAY_SIZE(requests)];
	gint64 since_us;

	fake_endpoint_journal_init(&journal);
	start_known(&endpoint, "stop-late", "orders", FAKE_ENDPOINT_JSON);
	endpoint.answer_ms = LATE_ANSWER_MS;
	endpoint.journal = &journal;
	wait_ready(stopped, "stop-late");
	CU_ASSERT_EQUAL(request_status(address, "/book/1", "stop-first", "hi"),
			200);
	for (size_t i = 0; i < ARRAY_SIZE(requests); i++) {
		fds[i] = begin_request(
			address, requests[i].path,
			harness_string(&harness, "stop-late-%zu", i));
		CU_ASSERT_FATAL(fds[i] >= 0);
	}
	harness_signal(stopped, SIGTERM);
	since_us = g_get_monotonic_time();
	for (size_t i = 0; i < ARRAY_SIZE(requests); i++) {
		gint64 wait_us = since_us +
				 requests[i].at_ms * G_TIME_SPAN_MILLISECOND -
				 g_get_monotonic_time();

		if (wait_us > 0)
			g_usleep((gulong)wait_us);
		CU_ASSERT_EQUAL(send(fds[i], "i", 1, MSG_NOSIGNAL), 1);
	}
	for (size_t i = 0; i < ARRAY_SIZE(requests); i++) {
		const char *id = harness_string(&harness, "stop-late-%zu", i);

		CU_ASSERT_EQUAL(read_answer(fds[i], answer),
				requests[i].is_served ? 200 : 503);
		CU_ASSERT_EQUAL(fake_endpoint_journal_runs(&journal, id),
				requests[i].is_served);
		close(fds[i]);
	}
	CU_ASSERT(harness_wait_exit(stopped, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(stopped->exit_status, 0);
	fake_endpoint_stop(&endpoint);
	fake_endpoint_journal_finish(&journal);
}

/* 3. Slow and stalled streams. */

/* Expects each event once and in order. */
static void expect_complete_stream(const http_request_t *request,
				   const char *request_id)
{
	GString *expected = g_string_new(NULL);

	for (unsigned i = 0; i < FAKE_ENDPOINT_EVENTS; i++)
		g_string_append_printf(expected,
				       "id: %u\ndata: word%u of %s\n\n", i, i,
				       request_id);
	CU_ASSERT_EQUAL(request->status, 200);
	CU_ASSERT_EQUAL(request->result, CURLE_OK);
	CU_ASSERT_STRING_EQUAL(request->body->str, expected->str);
	g_string_free(expected, TRUE);
}

static bool has_run(void *user)
{
	const fake_endpoint_t *endpoint = user;

	http_client_poll(&client, 1);
	return endpoint->runs > 0;
}

/* The least patience of a caller, and that of route "quick". */
#define PATIENCE_MS 2000

/*
 * Failure: a stream that sends comments or single bytes now and then counts as
 * alive, and its caller waits for an event in vain although another endpoint
 * would serve it.
 */
static void test_stalled_stream_goes_on_elsewhere(void)
{
	static const fake_endpoint_mode_t modes[] = { FAKE_ENDPOINT_COMMENTS,
						      FAKE_ENDPOINT_DRIBBLE };

	for (size_t i = 0; i < ARRAY_SIZE(modes); i++) {
		const char *id = harness_string(&harness, "stalled%zu", i);
		fake_endpoint_t endpoints[2];
		http_request_t *request;

		start_known(&endpoints[0],
			    harness_string(&harness, "stall-%zu", i), "writer",
			    modes[i]);
		request = send_request(entry_address, "/quick/1", id, "hi");
		CU_ASSERT(harness_wait_until(has_run, &endpoints[0],
					     HARNESS_WAIT_MS));
		start_known(&endpoints[1],
			    harness_string(&harness, "sound-%zu", i), "writer",
			    FAKE_ENDPOINT_SERVE);
		CU_ASSERT(http_wait(&client, request, HARNESS_WAIT_MS));
		expect_complete_stream(request, id);
		/* The last event is sent 0.24 s after the first. */
		CU_ASSERT(request->ended_us - request->started_us <
			  (PATIENCE_MS + 240) * G_TIME_SPAN_MILLISECOND);
		CU_ASSERT_EQUAL(endpoints[0].runs, 1);
		http_request_free(&client, request);
		fake_endpoint_stop(&endpoints[0]);
		fake_endpoint_stop(&endpoints[1]);
	}
}

/* Failure: such a stream never ends where no other endpoint can serve it. */
static void test_stalled_stream_ends(void)
{
	static const fake_endpoint_mode_t modes[] = { FAKE_ENDPOINT_COMMENTS,
						      FAKE_ENDPOINT_DRIBBLE };

	for (size_t i = 0; i < ARRAY_SIZE(modes); i++) {
		fake_endpoint_t endpoint;
		http_request_t *request;

		start_known(&endpoint,
			    harness_string(&harness, "endless-%zu", i),
			    "writer", modes[i]);
		request = send_and_wait(entry_address, "/quick/1",
					harness_string(&harness, "ends%zu", i),
					"hi");
		CU_ASSERT_EQUAL(request->status, 502);
		/* Twice the patience; the deadline is at 9 s. */
		CU_ASSERT(request->ended_us - request->started_us <
			  2 * PATIENCE_MS * G_TIME_SPAN_MILLISECOND);
		http_request_free(&client, request);
		fake_endpoint_stop(&endpoint);
	}
}

/*
 * Failure: a slow but sound stream, with pauses below its caller's patience, is
 * cut although the other endpoint is as slow.  The first stream shows that.
 */
static void test_slow_stream_is_not_cut(void)
{
	fake_endpoint_t endpoints[2];
	http_request_t *request;
	unsigned runs;

	start_known(&endpoints[0], "slow-0", "writer", FAKE_ENDPOINT_SLOW);
	start_known(&endpoints[1], "slow-1", "writer", FAKE_ENDPOINT_SLOW);
	request = send_and_wait(entry_address, "/quick/1", "slow-first", "hi");
	expect_complete_stream(request, "slow-first");
	http_request_free(&client, request);
	runs = endpoints[0].runs + endpoints[1].runs;
	for (unsigned i = 0; i < 2; i++) {
		const char *id = harness_string(&harness, "slow%u", i);

		request = send_and_wait(entry_address, "/quick/1", id, "hi");
		expect_complete_stream(request, id);
		http_request_free(&client, request);
		CU_ASSERT_EQUAL(endpoints[0].runs + endpoints[1].runs,
				runs + i + 1);
	}
	fake_endpoint_stop(&endpoints[0]);
	fake_endpoint_stop(&endpoints[1]);
}

/*
 * Failure: a stream whose endpoint pauses is cut because another endpoint, which
 * it is offered meanwhile, rejects it, fails or does not answer.
 */
static void test_pausing_stream_outlives_a_failed_offer(void)
{
	static const fake_endpoint_mode_t offers[] = {
		FAKE_ENDPOINT_REJECT,
		FAKE_ENDPOINT_DROP,
		FAKE_ENDPOINT_SILENT,
		FAKE_ENDPOINT_SERVE,
	};

	for (size_t i = 0; i < ARRAY_SIZE(offers); i++) {
		const char *id = harness_string(&harness, "paused%zu", i);
		fake_endpoint_t endpoints[2];
		http_request_t *request;

		start_known(&endpoints[0],
			    harness_string(&harness, "pausing-%zu", i),
			    "writer", FAKE_ENDPOINT_SLOW);
		request = send_request(entry_address, "/quick/1", id, "hi");
		CU_ASSERT(harness_wait_until(has_run, &endpoints[0],
					     HARNESS_WAIT_MS));
		start_known(&endpoints[1],
			    harness_string(&harness, "offered-%zu", i),
			    "writer", offers[i]);
		CU_ASSERT(http_wait(&client, request, HARNESS_WAIT_MS));
		expect_complete_stream(request, id);
		CU_ASSERT_EQUAL(endpoints[0].runs, 1);
		CU_ASSERT_EQUAL(endpoints[1].runs + endpoints[1].rejections, 1);
		http_request_free(&client, request);
		fake_endpoint_stop(&endpoints[0]);
		fake_endpoint_stop(&endpoints[1]);
	}
}

#define LATE_ENDPOINTS 6

static unsigned count_runs(const fake_endpoint_t *endpoints, size_t count)
{
	unsigned runs = 0;

	for (size_t i = 0; i < count; i++)
		runs += endpoints[i].runs;
	return runs;
}

/* Sends a request whose prompt has a bad part; returns its status. */
static long late_status(const char *id)
{
	const char *headers[] = {
		"Host: shop.example",
		harness_string(&harness, "X-Wisteriadrift-Request-Id: %s", id),
		"X-Wisteriadrift-Deadline-Ms: 9000",
		harness_string(&harness,
			       "X-Wisteriadrift-Prefix-Hash: aa:9,bad3:9,%x:9",
			       g_str_hash(id)),
		NULL,
	};
	const http_params_t params = {
		.url = harness_string(&harness, "http://%s/quick/3",
				      entry_address),
		.body = id,
		.headers = headers,
	};
	http_request_t *request = http_send(&client, &params);
	long status;

	CU_ASSERT_FATAL(http_wait(&client, request, HARNESS_WAIT_MS));
	status = request->status;
	http_request_free(&client, request);
	return status;
}

/* Failure: the crash of an endpoint whose attempt was set aside is not counted. */
static void test_part_that_crashes_endpoints_late_is_refused(void)
{
	fake_endpoint_t endpoints[LATE_ENDPOINTS];
	unsigned runs;

	for (int i = 0; i < LATE_ENDPOINTS; i++)
		start_known(&endpoints[i],
			    harness_string(&harness, "late-%d", i), "writer",
			    FAKE_ENDPOINT_SLOW_EMPTY);
	CU_ASSERT_NOT_EQUAL(late_status("late1"), 200);
	CU_ASSERT_NOT_EQUAL(late_status("late2"), 200);
	CU_ASSERT(harness_wait_log(entry, "event=part_refused part=bad3 ",
				   HARNESS_WAIT_MS));
	runs = count_runs(endpoints, LATE_ENDPOINTS);
	CU_ASSERT_EQUAL(late_status("late3"), 503);
	CU_ASSERT_EQUAL(count_runs(endpoints, LATE_ENDPOINTS), runs);
	for (int i = 0; i < LATE_ENDPOINTS; i++)
		fake_endpoint_stop(&endpoints[i]);
}

/* Beyond all that callers of route "quick" wait, below its time limit. */
#define LONG_SILENCE_MS 4000

/*
 * Failure: an entry closes a stream that is only silent, before its first event
 * or behind one, although its endpoint goes on and its caller still waits.
 */
static void test_silent_stream_is_ended_by_its_endpoint_or_caller(void)
{
	static const unsigned silent_events[] = { 0, 2 };

	for (size_t i = 0; i < ARRAY_SIZE(silent_events); i++) {
		const char *id = harness_string(&harness, "quiet%zu", i);
		fake_endpoint_t endpoint;
		http_request_t *request;

		start_known(&endpoint, harness_string(&harness, "quiet-%zu", i),
			    "writer", FAKE_ENDPOINT_SLOW);
		endpoint.silent_event = silent_events[i];
		endpoint.silent_ms = LONG_SILENCE_MS;
		request = send_and_wait(entry_address, "/quick/1", id, "hi");
		expect_complete_stream(request, id);
		CU_ASSERT_EQUAL(endpoint.runs, 1);
		http_request_free(&client, request);
		fake_endpoint_stop(&endpoint);
	}
}

/* Times of one stream: the freeze and the closing of the offered endpoint. */
#define FREEZE_US 2200000
#define FREEZE_TO_CLOSE_US 300000
/* The patience of 2.5 s ends before it with the freeze, and not without. */
#define FROZEN_FIRST_EVENT_MS 3800

/*
 * Failure: a stream that pauses is cut because the entry was frozen while the
 * request was offered elsewhere, and the offered endpoint closed meanwhile: the
 * freeze counts as silence of the paused attempt.
 */
static void test_pausing_stream_outlives_a_freeze_of_the_entry(void)
{
	fake_endpoint_t endpoints[2];
	http_request_t *request;

	start_known(&endpoints[0], "thaw-pausing", "writer",
		    FAKE_ENDPOINT_SLOW);
	endpoints[0].silent_ms = FROZEN_FIRST_EVENT_MS;
	request = send_request(entry_address, "/quick/1", "thaw", "hi");
	CU_ASSERT(harness_wait_until(has_run, &endpoints[0], HARNESS_WAIT_MS));
	start_known(&endpoints[1], "thaw-offered", "writer",
		    FAKE_ENDPOINT_SILENT);
	CU_ASSERT(harness_wait_until(has_run, &endpoints[1], HARNESS_WAIT_MS));
	harness_signal(entry, SIGSTOP);
	g_usleep(FREEZE_TO_CLOSE_US);
	fake_endpoint_stop(&endpoints[1]);
	g_usleep(FREEZE_US - FREEZE_TO_CLOSE_US);
	harness_signal(entry, SIGCONT);
	CU_ASSERT(http_wait(&client, request, HARNESS_WAIT_MS));
	expect_complete_stream(request, "thaw");
	CU_ASSERT_EQUAL(endpoints[0].runs, 1);
	http_request_free(&client, request);
	fake_endpoint_stop(&endpoints[0]);
}

/* 4. Restarts. */

/* Power is lost this long after an endpoint was told that its leave is known. */
#define LEAVE_TO_LOSS_US 200000
#define REQUESTS_AFTER_LOSS 10

static void restart_control(void)
{
	harness_kill(control);
	harness_restart(control);
}

static void leave(const char *id)
{
	CU_ASSERT_EQUAL(
		request_status(control_address,
			       harness_string(&harness,
					      "/wisteriadrift/instances/%s/"
					      "deregister",
					      id),
			       "leave", "{}"),
		200);
}

static bool serves_look(void *user)
{
	return request_status(user, "/look/1", "look", "hi") == 200;
}

/*
 * Failure: an endpoint that has left is in use again after a power loss of all
 * control instances, at an entry that starts then: by the copy on disk, or by
 * its own late heartbeats, which go on here.
 */
static void test_left_endpoint_stays_left(void)
{
	const char *address = harness_address(&harness);
	harness_process_t *late_entry;
	fake_endpoint_t leaver;
	fake_endpoint_t stayer;
	unsigned runs;

	start_known(&leaver, "leaver", "orders", FAKE_ENDPOINT_JSON);
	start_known(&stayer, "stayer", "orders", FAKE_ENDPOINT_JSON);
	/* The copy on disk then has both. */
	g_usleep(G_USEC_PER_SEC);
	leave("leaver");
	g_usleep(LEAVE_TO_LOSS_US);
	restart_control();
	runs = leaver.runs;
	late_entry = fleet_rig_start_entry(&rig, "entry-late", address);
	CU_ASSERT(harness_wait_until(serves_look, (void *)address,
				     HARNESS_WAIT_MS));
	for (int i = 0; i < REQUESTS_AFTER_LOSS; i++) {
		CU_ASSERT(serves_look((void *)address));
		CU_ASSERT(serves_look((void *)entry_address));
		g_usleep(LEAVE_TO_LOSS_US);
	}
	CU_ASSERT_EQUAL(leaver.runs, runs);
	harness_signal(late_entry, SIGTERM);
	CU_ASSERT(harness_wait_exit(late_entry, HARNESS_WAIT_MS));
	fake_endpoint_stop(&leaver);
	fake_endpoint_stop(&stayer);
}

/* Returns the status of a request with an API key; 0: no answer. */
static unsigned secret_status(const char *address, const char *key)
{
	static char answer[ANSWER_BYTES];
	int fd = open_connection(address);
	unsigned status = 0;

	if (fd >= 0 && write_request(fd, "/secret/1", "secret", key))
		status = read_answer(fd, answer);
	if (fd >= 0)
		close(fd);
	return status;
}

static bool serves_new_key(void *user)
{
	CU_ASSERT_NOT_EQUAL(secret_status(user, "key-old"), 200);
	return secret_status(user, "key-new") == 200;
}

/*
 * Failure: a key whose withdrawal was acknowledged is in use again after the
 * control instance and an entry have restarted.
 */
static void test_withdrawn_key_stays_withdrawn(void)
{
	const char *address = harness_address(&harness);
	harness_process_t *late_entry =
		fleet_rig_start_entry(&rig, "entry-keys", address);
	fake_endpoint_t endpoint;

	start_known(&endpoint, "keys", "orders", FAKE_ENDPOINT_JSON);
	wait_ready(late_entry, "keys");
	CU_ASSERT_EQUAL(secret_status(address, "key-old"), 200);
	configure(KEYS_NEW);
	harness_kill(late_entry);
	restart_control();
	harness_restart(late_entry);
	CU_ASSERT(harness_wait_until(serves_new_key, (void *)address,
				     HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(secret_status(address, "key-old"), 401);
	restore_keys();
	harness_signal(late_entry, SIGTERM);
	CU_ASSERT(harness_wait_exit(late_entry, HARNESS_WAIT_MS));
	fake_endpoint_stop(&endpoint);
}

/*
 * Failure: the removal of the last key, or of the last customer, lets in
 * requests with that key, with unknown keys and with none.
 */
static void test_removal_of_the_last_key_lets_nobody_in(void)
{
	static const char *const customers[] = { KEYS_NONE, NO_CUSTOMERS };
	static const char *const keys[] = { "key-old", "key-new", "key-odd",
					    NULL };
	const char *address = harness_address(&harness);
	harness_process_t *late_entry;
	fake_endpoint_t endpoint;
	unsigned runs;

	start_known(&endpoint, "last-key", "orders", FAKE_ENDPOINT_JSON);
	CU_ASSERT_EQUAL(secret_status(entry_address, "key-old"), 200);
	runs = endpoint.runs;
	for (size_t i = 0; i < ARRAY_SIZE(customers); i++) {
		configure(customers[i]);
		wait_in_force();
		for (size_t j = 0; j < ARRAY_SIZE(keys); j++)
			CU_ASSERT_EQUAL(secret_status(entry_address, keys[j]),
					401);
	}
	restart_control();
	late_entry = fleet_rig_start_entry(&rig, "entry-last-key", address);
	CU_ASSERT(harness_wait_log(late_entry, "event=revision_in_force ",
				   HARNESS_WAIT_MS));
	for (size_t j = 0; j < ARRAY_SIZE(keys); j++)
		CU_ASSERT_EQUAL(secret_status(address, keys[j]), 401);
	CU_ASSERT_EQUAL(endpoint.runs, runs);
	/* Routes that allow anonymous callers are served as before. */
	CU_ASSERT(harness_wait_until(serves_look, (void *)address,
				     HARNESS_WAIT_MS));
	harness_signal(late_entry, SIGTERM);
	CU_ASSERT(harness_wait_exit(late_entry, HARNESS_WAIT_MS));
	restore_keys();
	CU_ASSERT_EQUAL(secret_status(entry_address, "key-old"), 200);
	fake_endpoint_stop(&endpoint);
}

/* 5. Paused processes. */

/* Longer than the lease of 3 s. */
#define PAUSE_US 4500000
#define PAUSED_REQUESTS 6

/*
 * Failure: an entry that was paused for longer than its lease serves what has
 * arrived meanwhile, on kept connections and on new ones, under a key that was
 * withdrawn in that time.
 */
static void test_paused_entry_serves_nothing_old(void)
{
	static char answer[ANSWER_BYTES];
	int fds[PAUSED_REQUESTS];
	fake_endpoint_t endpoint;

	start_known(&endpoint, "paused", "orders", FAKE_ENDPOINT_JSON);
	for (size_t i = 0; i < ARRAY_SIZE(fds) / 2; i++) {
		fds[i] = open_connection(entry_address);
		CU_ASSERT(
			write_request(fds[i], "/secret/1", "kept", "key-old"));
		CU_ASSERT_EQUAL(read_answer(fds[i], answer), 200);
	}
	CU_ASSERT_EQUAL(endpoint.runs, ARRAY_SIZE(fds) / 2);
	harness_signal(entry, SIGSTOP);
	for (size_t i = 0; i < ARRAY_SIZE(fds); i++) {
		if (i >= ARRAY_SIZE(fds) / 2)
			fds[i] = open_connection(entry_address);
		CU_ASSERT(write_request(fds[i], "/secret/1", "old", "key-old"));
	}
	configure(KEYS_NEW);
	g_usleep(PAUSE_US);
	harness_signal(entry, SIGCONT);
	for (size_t i = 0; i < ARRAY_SIZE(fds); i++) {
		CU_ASSERT_EQUAL(read_answer(fds[i], answer), 401);
		close(fds[i]);
	}
	CU_ASSERT_EQUAL(endpoint.runs, ARRAY_SIZE(fds) / 2);
	restore_keys();
	fake_endpoint_stop(&endpoint);
}

/* One permit in 1.7 s; a request waits for one up to 1.8 s. */
#define SLOW_LIMIT "0.6"
#define WAITING_REQUESTS 2
/*
 * The permits of an entry begin with a random part of one, so that a request may
 * start before its key is withdrawn; so often it is played.
 */
#define WITHDRAWALS_MAX 5

/*
 * Puts "customers" while a request of another key waits for an endpoint that
 * takes few requests a second, and expects that it is refused.  Returns false if
 * it had started before.
 */
static bool withdraw_key_of_waiting_request(const char *customers,
					    const char *name)
{
	static char answer[ANSWER_BYTES];
	int fds[WAITING_REQUESTS];
	fake_endpoint_t endpoint;
	unsigned refused = 0;
	unsigned runs;
	bool had_started;

	start_known(&endpoint, harness_string(&harness, "limited-%s", name),
		    "orders", FAKE_ENDPOINT_JSON);
	endpoint.request_limit = SLOW_LIMIT;
	CU_ASSERT_EQUAL(secret_status(entry_address, "key-old"), 200);
	runs = endpoint.runs;
	for (size_t i = 0; i < ARRAY_SIZE(fds); i++) {
		fds[i] = open_connection(entry_address);
		CU_ASSERT(write_request(fds[i], "/secret/1", name, "key-old"));
	}
	CU_ASSERT(harness_wait_log(
		entry,
		harness_string(&harness, "event=request_queued request=%s ",
			       name),
		HARNESS_WAIT_MS));
	configure(customers);
	wait_in_force();
	had_started = endpoint.runs > runs;
	runs = endpoint.runs;
	for (size_t i = 0; i < ARRAY_SIZE(fds); i++) {
		refused += read_answer(fds[i], answer) == 401;
		close(fds[i]);
	}
	CU_ASSERT(had_started || refused > 0);
	CU_ASSERT_EQUAL(endpoint.runs, runs);
	restore_keys();
	fake_endpoint_stop(&endpoint);
	return !had_started;
}

/* Failure: a request that waits starts although its key was withdrawn. */
static void test_waiting_request_of_a_withdrawn_key_does_not_start(void)
{
	static const char *const customers[] = { KEYS_NEW, NO_CUSTOMERS };

	for (size_t i = 0; i < ARRAY_SIZE(customers); i++) {
		bool was_waiting = false;

		for (unsigned j = 0; !was_waiting && j < WITHDRAWALS_MAX; j++)
			was_waiting = withdraw_key_of_waiting_request(
				customers[i],
				harness_string(&harness, "waits%zu-%u", i, j));
		CU_ASSERT(was_waiting);
	}
}

/* 6. Hand-overs between leaders. */

#define ENGINES 2
/* Longer than PLACER_RESEND_MS, in which a leader repeats its orders. */
#define RESEND_WAIT_US 4000000

static const char model_configuration[] =
	"{\"version\":1,\"routes\":[{\"name\":\"model\",\"host\":"
	"\"shop.example\",\"pathPrefix\":\"/model/\",\"kind\":\"stream\","
	"\"timeoutMs\":9000,\"goalMs\":3000,\"gapGoalMs\":500,\"priority\":1,"
	"\"service\":\"model\",\"maxAttempts\":2,\"allowAnonymous\":true,"
	"\"streamResume\":true}],\"services\":[{\"name\":\"model\","
	"\"maxConns\":50,\"engine\":{\"layers\":20,\"layerMb\":100,"
	"\"kvTokenBytes\":1000,\"slots\":8,\"stride\":4,\"step_ms\":5,"
	"\"per_seq_ms\":0.1,\"context_per_k\":0.1,\"read_per_s\":20000,"
	"\"chunk\":512,\"kinds\":[{\"name\":\"a\",\"sizeMb\":2400,"
	"\"pace\":1,\"readFactor\":1}]}}],\"limits\":{}}";

/* Three control instances, and endpoints that take orders of the leader. */
typedef struct {
	fleet_rig_t rig;
	harness_process_t *controls[FLEET_RIG_CONTROLS_MAX];
	fake_endpoint_t engines[ENGINES];
	const char *fallbacks[FLEET_RIG_CONTROLS_MAX]; /* ends with NULL */
	guint64 fence;				       /* to be exceeded */
	harness_process_t *leader;
} trio_t;

static bool trio_accepts_configuration(void *user)
{
	const trio_t *trio = user;

	for (size_t i = 0; i < trio->rig.control_count; i++)
		if (request_status(trio->rig.control_addresses[i],
				   "/wisteriadrift/config/replace", "c0",
				   model_configuration) == 200)
			return true;
	return false;
}

/* Returns whether all engines have got an order of a later leader. */
static bool has_later_orders(void *user)
{
	trio_t *trio = user;
	bool was_lowered;

	for (size_t i = 0; i < ENGINES; i++)
		if (fake_endpoint_highest_fence(&trio->engines[i],
						&was_lowered) <= trio->fence)
			return false;
	return true;
}

/* Waits for orders of a leader behind the one that has given orders so far. */
static void wait_for_orders(trio_t *trio)
{
	bool was_lowered;

	for (size_t i = 0; i < ENGINES; i++)
		trio->fence = MAX(trio->fence,
				  fake_endpoint_highest_fence(&trio->engines[i],
							      &was_lowered));
	CU_ASSERT_FATAL(
		harness_wait_until(has_later_orders, trio, HARNESS_WAIT_MS));
}

static void expect_no_older_orders(trio_t *trio)
{
	bool was_lowered;

	for (size_t i = 0; i < ENGINES; i++) {
		fake_endpoint_highest_fence(&trio->engines[i], &was_lowered);
		CU_ASSERT_FALSE(was_lowered);
	}
}

static void start_trio(trio_t *trio)
{
	memset(trio, 0, sizeof(*trio));
	fleet_rig_init(&trio->rig, &harness, ARRAY_SIZE(trio->controls));
	for (size_t i = 0; i < ARRAY_SIZE(trio->controls); i++)
		trio->controls[i] = fleet_rig_start_control(
			&trio->rig, i, harness_string(&harness, "trio-%zu", i));
	for (size_t i = 0; i < ENGINES; i++) {
		fake_endpoint_listen(&trio->engines[i],
				     harness_string(&harness, "engine-%zu", i),
				     "model", harness.ip,
				     trio->rig.control_addresses[0],
				     FAKE_ENDPOINT_SERVE);
		trio->engines[i].accelerator = "a";
		trio->fallbacks[0] = trio->rig.control_addresses[1];
		trio->fallbacks[1] = trio->rig.control_addresses[2];
		trio->engines[i].fallback_controls = trio->fallbacks;
		fake_endpoint_start_threads(&trio->engines[i]);
	}
	CU_ASSERT_FATAL(harness_wait_until(trio_accepts_configuration, trio,
					   HARNESS_WAIT_MS));
}

/* Looks for the instance whose log shows orders with the highest fence. */
static bool finds_leader(void *user)
{
	trio_t *trio = user;
	bool was_lowered;
	const char *text = harness_string(
		&harness, "fence=%" G_GUINT64_FORMAT "\n",
		fake_endpoint_highest_fence(&trio->engines[0], &was_lowered));

	for (size_t i = 0; i < ARRAY_SIZE(trio->controls); i++) {
		char *log = harness_read_file(trio->controls[i]->log_path);

		if (strstr(log, text) != NULL)
			trio->leader = trio->controls[i];
		g_free(log);
	}
	return trio->leader != NULL;
}

/* Returns the process that gave the last orders. */
static harness_process_t *leader_of(trio_t *trio)
{
	trio->leader = NULL;
	CU_ASSERT_FATAL(
		harness_wait_until(finds_leader, trio, HARNESS_WAIT_MS));
	return trio->leader;
}

static void stop_trio(trio_t *trio)
{
	for (size_t i = 0; i < ENGINES; i++)
		fake_endpoint_stop(&trio->engines[i]);
	for (size_t i = 0; i < ARRAY_SIZE(trio->controls); i++)
		harness_kill(trio->controls[i]);
}

/*
 * Failure: two leaders act at once, and orders go out twice.  A leader that was
 * paused until another one gave orders, and one that hands over as it stops,
 * give none behind them.
 */
static void test_only_one_leader_gives_orders(void)
{
	static trio_t trio;
	harness_process_t *leader;

	start_trio(&trio);
	wait_for_orders(&trio);
	leader = leader_of(&trio);
	harness_signal(leader, SIGSTOP);
	wait_for_orders(&trio);
	harness_signal(leader, SIGCONT);
	g_usleep(RESEND_WAIT_US);
	expect_no_older_orders(&trio);
	harness_signal(leader_of(&trio), SIGTERM);
	wait_for_orders(&trio);
	g_usleep(RESEND_WAIT_US);
	expect_no_older_orders(&trio);
	stop_trio(&trio);
}

static const unit_test_t tests[] = {
	{ "fleet starts", test_fleet_starts },
	{ "second answer reaches nobody", test_second_answer_reaches_nobody },
	{ "answer of another request is not passed on",
	  test_answer_of_another_request_is_not_passed_on },
	{ "answer to a caller who has gone reaches nobody",
	  test_answer_to_a_caller_who_has_gone_reaches_nobody },
	{ "stop under load answers all", test_stop_under_load_answers_all },
	{ "stop refuses what still waits", test_stop_refuses_what_still_waits },
	{ "stop passes on nothing that it would cut",
	  test_stop_passes_on_nothing_that_it_would_cut },
	{ "stalled stream goes on elsewhere",
	  test_stalled_stream_goes_on_elsewhere },
	{ "stalled stream ends", test_stalled_stream_ends },
	{ "slow stream is not cut", test_slow_stream_is_not_cut },
	{ "pausing stream outlives a failed offer",
	  test_pausing_stream_outlives_a_failed_offer },
	{ "part that crashes endpoints late is refused",
	  test_part_that_crashes_endpoints_late_is_refused },
	{ "silent stream is ended by its endpoint or caller",
	  test_silent_stream_is_ended_by_its_endpoint_or_caller },
	{ "pausing stream outlives a freeze of the entry",
	  test_pausing_stream_outlives_a_freeze_of_the_entry },
	{ "left endpoint stays left", test_left_endpoint_stays_left },
	{ "withdrawn key stays withdrawn", test_withdrawn_key_stays_withdrawn },
	{ "removal of the last key lets nobody in",
	  test_removal_of_the_last_key_lets_nobody_in },
	{ "paused entry serves nothing old",
	  test_paused_entry_serves_nothing_old },
	{ "waiting request of a withdrawn key does not start",
	  test_waiting_request_of_a_withdrawn_key_does_not_start },
	{ "only one leader gives orders", test_only_one_leader_gives_orders },
};

int main(void)
{
	int status;

	harness_init(&harness, "fleet_faults");
	http_client_init(&client);
	status = unit_run("fleet_faults", tests, ARRAY_SIZE(tests));
	http_client_finish(&client);
	harness_finish(&harness, status == EXIT_SUCCESS);
	return status;
}
