/*
 * Endpoints that send without end, and callers that do not read: an entry keeps
 * within its memory, does not end, and serves its other callers.
 */
#include "../unit/unit.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness/fake_endpoint.h"
#include "harness/fleet_rig.h"
#include "harness/harness.h"
#include "harness/http.h"

#include "wisteria/net/net.h"

/* What an entry may use on the users' machines; one that uses more is ended. */
#define MEMORY_MAX_MB 160

/* Together they could make an entry hold several times its memory. */
#define SLOW_CALLERS 60
#define LINE_CALLERS 900
#define CALLERS_MAX LINE_CALLERS
/* The time in which the endpoints send what they can. */
#define FLOOD_MS 3000
#define SOUND_INTERVAL_MS 100
/* An answer is complete before the next one begins. */
#define ANSWER_INTERVAL_US 40000
#define RECEIVE_BUFFER_BYTES 4096

static harness_t harness;
static http_client_t client;
static fleet_rig_t rig;
static const char *control_address;
static const char *entry_address;
static harness_process_t *control;
static harness_process_t *entry;
static fake_endpoint_t sound;
static int callers[CALLERS_MAX];

static const char configuration[] =
	"{\"version\":1,\"routes\":["
	"{\"name\":\"chat\",\"host\":\"shop.example\",\"pathPrefix\":"
	"\"/chat/\",\"kind\":\"stream\",\"timeoutMs\":20000,\"goalMs\":500,"
	"\"priority\":1,\"service\":\"writer\",\"maxAttempts\":2,"
	"\"allowAnonymous\":true,\"streamResume\":true,\"gapGoalMs\":250},"
	"{\"name\":\"list\",\"host\":\"shop.example\",\"pathPrefix\":"
	"\"/list/\",\"kind\":\"idempotent\",\"timeoutMs\":20000,"
	"\"goalMs\":3000,\"priority\":1,\"service\":\"writer\","
	"\"maxAttempts\":2,\"allowAnonymous\":true},"
	"{\"name\":\"look\",\"host\":\"shop.example\",\"pathPrefix\":"
	"\"/look/\",\"kind\":\"idempotent\",\"timeoutMs\":5000,"
	"\"goalMs\":3000,\"priority\":1,\"service\":\"orders\","
	"\"maxAttempts\":2,\"allowAnonymous\":true}],\"services\":["
	"{\"name\":\"writer\",\"healthPath\":\"/health\",\"maxConns\":2000,"
	"\"protocol\":\"h1\",\"tls\":false},"
	"{\"name\":\"orders\",\"healthPath\":\"/health\",\"maxConns\":50,"
	"\"protocol\":\"h1\",\"tls\":false}],\"limits\":{}}";

static long request_status(const char *address, const char *path,
			   const char *id, const char *body)
{
	const char *headers[] = {
		"Host: shop.example",
		harness_string(&harness, "X-Wisteriadrift-Request-Id: %s", id),
		NULL,
	};
	const http_params_t params = {
		.url = harness_string(&harness, "http://%s%s", address, path),
		.body = body,
		.headers = headers,
	};
	http_request_t *request = http_send(&client, &params);
	long status;

	CU_ASSERT_FATAL(http_wait(&client, request, HARNESS_WAIT_MS));
	status = request->status;
	http_request_free(&client, request);
	return status;
}

static bool accepts_configuration(void *user)
{
	(void)user;
	return request_status(control_address, "/wisteriadrift/config/replace",
			      "c0", configuration) == 200;
}

static bool serves_look(void *user)
{
	(void)user;
	return request_status(entry_address, "/look/1", "look", "hi") == 200;
}

static void test_fleet_starts(void)
{
	fleet_rig_init(&rig, &harness, 1);
	control_address = rig.control_addresses[0];
	entry_address = harness_address(&harness);
	control = fleet_rig_start_control(&rig, 0, "control");
	entry = fleet_rig_start_entry(&rig, "entry", entry_address);
	CU_ASSERT_FATAL(harness_wait_until(accepts_configuration, NULL,
					   HARNESS_WAIT_MS));
	fake_endpoint_start(&sound, "sound", "orders", harness.ip,
			    control_address, FAKE_ENDPOINT_JSON);
	CU_ASSERT_FATAL(harness_wait_until(serves_look, NULL, HARNESS_WAIT_MS));
}

/* Returns a connection to the entry with a small receive buffer. */
static int open_caller(void)
{
	const int bytes = RECEIVE_BUFFER_BYTES;
	struct sockaddr_storage to;
	int fd;

	CU_ASSERT_FATAL(net_parse_address(entry_address, &to, NULL));
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	CU_ASSERT_FATAL(fd >= 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	CU_ASSERT_FATAL(connect(fd, (struct sockaddr *)&to,
				sizeof(struct sockaddr_in)) == 0);
	return fd;
}

/*
 * Sends requests whose callers never read, each on a connection of its own, one
 * every "interval_us".
 */
static void open_callers(size_t count, gulong interval_us, const char *path,
			 const char *name)
{
	for (size_t i = 0; i < count; i++) {
		char *text = g_strdup_printf(
			"POST %s HTTP/1.1\r\nHost: shop.example\r\n"
			"X-Wisteriadrift-Request-Id: %s%zu\r\n"
			"Content-Length: 2\r\n\r\nhi",
			path, name, i);

		callers[i] = open_caller();
		CU_ASSERT(send(callers[i], text, strlen(text), MSG_NOSIGNAL) ==
			  (ssize_t)strlen(text));
		g_free(text);
		g_usleep(interval_us);
	}
}

/*
 * Lets "count" callers send a request to an endpoint of "mode", one every
 * "interval_us", and read nothing of its answer; expects that the entry has
 * memory left and serves others.
 */
static void expect_memory_suffices(fake_endpoint_mode_t mode, size_t count,
				   gulong interval_us, const char *path,
				   const char *name)
{
	gint64 until_us;
	fake_endpoint_t endpoint;
	unsigned peak_mb;

	fake_endpoint_listen(&endpoint, name, "writer", harness.ip,
			     control_address, mode);
	endpoint.serves_many = true;
	fake_endpoint_start_threads(&endpoint);
	CU_ASSERT_FATAL(harness_wait_log(
		entry, harness_string(&harness, "endpoint=%s ", name),
		HARNESS_WAIT_MS));
	harness_forget_peak(entry);
	open_callers(count, interval_us, path, name);
	until_us = g_get_monotonic_time() + FLOOD_MS * G_TIME_SPAN_MILLISECOND;
	while (g_get_monotonic_time() < until_us) {
		CU_ASSERT(serves_look(NULL));
		g_usleep(SOUND_INTERVAL_MS * G_TIME_SPAN_MILLISECOND);
	}
	peak_mb = harness_peak_mb(entry);
	printf("%u MB ", peak_mb);
	CU_ASSERT(peak_mb > 0);
	CU_ASSERT(HARNESS_HAS_ASAN || peak_mb < MEMORY_MAX_MB);
	CU_ASSERT(endpoint.runs > 0);
	for (size_t i = 0; i < count; i++)
		close(callers[i]);
	fake_endpoint_stop(&endpoint);
	CU_ASSERT(serves_look(NULL));
}

/* Failure: what a slow caller has not read yet has no bound over all callers. */
static void test_endless_events_fit_in_memory(void)
{
	expect_memory_suffices(FAKE_ENDPOINT_ENDLESS_EVENTS, SLOW_CALLERS, 0,
			       "/chat/1", "events");
}

/* Failure: the unfinished events of many streams have no bound together. */
static void test_endless_lines_of_many_streams_fit_in_memory(void)
{
	expect_memory_suffices(FAKE_ENDPOINT_ENDLESS_LINE, LINE_CALLERS, 0,
			       "/chat/1", "lines");
}

/* Failure: whole answers that callers do not read have no bound together. */
static void test_unread_answers_fit_in_memory(void)
{
	expect_memory_suffices(FAKE_ENDPOINT_LARGE_WHOLE, SLOW_CALLERS,
			       ANSWER_INTERVAL_US, "/list/1", "answers");
}

static const unit_test_t tests[] = {
	{ "fleet starts", test_fleet_starts },
	{ "endless events fit in memory", test_endless_events_fit_in_memory },
	{ "endless lines of many streams fit in memory",
	  test_endless_lines_of_many_streams_fit_in_memory },
	{ "unread answers fit in memory", test_unread_answers_fit_in_memory },
};

int main(void)
{
	int status;

	harness_init(&harness, "endless_answers");
	http_client_init(&client);
	status = unit_run("endless_answers", tests, ARRAY_SIZE(tests));
	fake_endpoint_stop(&sound);
	http_client_finish(&client);
	harness_finish(&harness, status == EXIT_SUCCESS);
	return status;
}
