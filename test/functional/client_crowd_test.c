/*
 * Clients that do not keep to the limits, many at once: an entry keeps within
 * its memory and descriptors, does not end, and serves its other callers.
 */
#include "../unit/unit.h"

#include <dirent.h>
#include <errno.h>
#include <netinet/in.h>
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
/* The connections that the entry's settings allow, and what else it opens. */
#define CONNECTIONS_MAX 200
#define OTHER_DESCRIPTORS_MAX 100

#define BODY_CLIENTS 60
#define BODY_BYTES_MAX (4u << 20) /* that the configuration allows */
#define BODY_MISSING_BYTES 64
#define LARGE_CHUNK_BYTES (64u << 10)
#define SMALL_CHUNK_BYTES 32
#define EXCESS_BYTES (12u << 20)
#define PIPELINE_CLIENTS 40
#define PIPELINE_REQUESTS 60000
#define IDLE_CLIENTS 600
#define SEND_BYTES (256u << 10)
/* The clients give up when the entry takes nothing from any of them for it. */
#define SEND_IDLE_US (2 * G_USEC_PER_SEC)

static harness_t harness;
static http_client_t client;
static fleet_rig_t rig;
static const char *control_address;
static const char *entry_address;
static harness_process_t *control;
static harness_process_t *entry;
static fake_endpoint_t sound;

static const char configuration[] =
	"{\"version\":1,\"routes\":["
	"{\"name\":\"look\",\"host\":\"shop.example\",\"pathPrefix\":"
	"\"/look/\",\"kind\":\"idempotent\",\"timeoutMs\":5000,"
	"\"goalMs\":3000,\"priority\":1,\"service\":\"orders\","
	"\"maxAttempts\":2,\"allowAnonymous\":true}],\"services\":["
	"{\"name\":\"orders\",\"healthPath\":\"/health\",\"maxConns\":50,"
	"\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
	"\"headerTimeoutMs\":30000,\"idleTimeoutMs\":30000}}";

/* Clients that all send the same bytes and read nothing. */
typedef struct {
	GString *bytes;
	size_t count;
	int fds[IDLE_CLIENTS];
	size_t sent[IDLE_CLIENTS];
	bool has_failed[IDLE_CLIENTS];
} crowd_t;

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
	rig.fleet_settings = harness_string(
		&harness, "  front_connections: %u\n", CONNECTIONS_MAX);
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

/* Returns how many descriptors the entry has open; 0: it has ended. */
static unsigned entry_descriptors(void)
{
	char *path = g_strdup_printf("/proc/%d/fd", (int)entry->pid);
	DIR *folder = opendir(path);
	unsigned count = 0;

	while (folder != NULL && readdir(folder) != NULL)
		count++;
	if (folder != NULL)
		closedir(folder);
	g_free(path);
	return count;
}

static void open_crowd(crowd_t *crowd, size_t count)
{
	struct sockaddr_storage to;

	*crowd = (crowd_t){ .bytes = g_string_new(NULL), .count = count };
	CU_ASSERT_FATAL(net_parse_address(entry_address, &to, NULL));
	for (size_t i = 0; i < count; i++) {
		crowd->fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		CU_ASSERT_FATAL(crowd->fds[i] >= 0);
		CU_ASSERT_FATAL(connect(crowd->fds[i], (struct sockaddr *)&to,
					sizeof(struct sockaddr_in)) == 0);
	}
}

/* Sends what the entry takes from one client; returns whether it took any. */
static bool send_some(crowd_t *crowd, size_t i)
{
	size_t left = crowd->bytes->len - crowd->sent[i];
	ssize_t sent;

	if (crowd->has_failed[i] || left == 0)
		return false;
	sent = send(crowd->fds[i], crowd->bytes->str + crowd->sent[i],
		    MIN(left, SEND_BYTES), MSG_NOSIGNAL | MSG_DONTWAIT);
	if (sent > 0)
		crowd->sent[i] += (size_t)sent;
	else
		crowd->has_failed[i] = errno != EAGAIN;
	return sent > 0;
}

/* Sends in turn until the entry takes no more from any client. */
static void send_crowd(crowd_t *crowd)
{
	gint64 taken_us = g_get_monotonic_time();

	while (g_get_monotonic_time() - taken_us < SEND_IDLE_US) {
		bool any_taken = false;

		for (size_t i = 0; i < crowd->count; i++)
			any_taken |= send_some(crowd, i);
		if (any_taken)
			taken_us = g_get_monotonic_time();
		else
			g_usleep(G_USEC_PER_SEC / 100);
	}
}

static void close_crowd(crowd_t *crowd)
{
	for (size_t i = 0; i < crowd->count; i++)
		close(crowd->fds[i]);
	g_string_free(crowd->bytes, TRUE);
}

/* Expects that the entry lives within its bounds and serves a caller. */
static void expect_entry_within_limits(void)
{
	unsigned peak_mb = harness_peak_mb(entry);
	unsigned descriptors = entry_descriptors();

	printf("%u MB, %u descriptors ", peak_mb, descriptors);
	CU_ASSERT(peak_mb > 0);
	CU_ASSERT(HARNESS_HAS_ASAN || peak_mb < MEMORY_MAX_MB);
	CU_ASSERT(descriptors > 0);
	CU_ASSERT(descriptors <= CONNECTIONS_MAX + OTHER_DESCRIPTORS_MAX);
	CU_ASSERT(serves_look(NULL));
}

/* Sends the bytes of the crowd and expects that the entry survives them. */
static void expect_entry_survives(crowd_t *crowd)
{
	harness_forget_peak(entry);
	send_crowd(crowd);
	expect_entry_within_limits();
	close_crowd(crowd);
	CU_ASSERT(serves_look(NULL));
}

static void append_head(GString *bytes, const char *framing)
{
	g_string_append_printf(bytes,
			       "POST /look/1 HTTP/1.1\r\nHost: shop.example\r\n"
			       "X-Wisteriadrift-Request-Id: crowd\r\n%s\r\n",
			       framing);
}

/* Appends "len" bytes of a body in chunks of "chunk_len". */
static void append_chunks(GString *bytes, size_t len, size_t chunk_len)
{
	char *chunk = g_strnfill(chunk_len, 'z');

	for (size_t i = 0; i < len; i += chunk_len)
		g_string_append_printf(bytes, "%zx\r\n%s\r\n", chunk_len,
				       chunk);
	g_free(chunk);
}

static void send_unfinished_bodies(size_t chunk_len)
{
	crowd_t crowd;

	open_crowd(&crowd, BODY_CLIENTS);
	append_head(crowd.bytes, "Transfer-Encoding: chunked\r\n");
	append_chunks(crowd.bytes, BODY_BYTES_MAX - chunk_len, chunk_len);
	g_string_truncate(crowd.bytes, crowd.bytes->len - BODY_MISSING_BYTES);
	expect_entry_survives(&crowd);
}

/* Failure: the request bodies of many clients have no bound together. */
static void test_unfinished_bodies_in_large_chunks_fit_in_memory(void)
{
	send_unfinished_bodies(LARGE_CHUNK_BYTES);
}

static void test_unfinished_bodies_in_small_chunks_fit_in_memory(void)
{
	send_unfinished_bodies(SMALL_CHUNK_BYTES);
}

static void test_bodies_far_over_the_limit_fit_in_memory(void)
{
	crowd_t crowd;

	open_crowd(&crowd, BODY_CLIENTS);
	append_head(crowd.bytes, "Content-Length: 1000000000\r\n");
	g_string_set_size(crowd.bytes, EXCESS_BYTES);
	expect_entry_survives(&crowd);
	open_crowd(&crowd, BODY_CLIENTS);
	append_head(crowd.bytes, "Transfer-Encoding: chunked\r\n");
	append_chunks(crowd.bytes, EXCESS_BYTES, LARGE_CHUNK_BYTES);
	expect_entry_survives(&crowd);
}

/* Failure: an entry answers requests whose client takes none of the answers. */
static void test_unread_answers_to_pipelined_requests_fit_in_memory(void)
{
	crowd_t crowd;

	open_crowd(&crowd, PIPELINE_CLIENTS);
	for (int i = 0; i < PIPELINE_REQUESTS; i++)
		g_string_append(crowd.bytes,
				"GET /none HTTP/1.1\r\nHost: a\r\n\r\n");
	expect_entry_survives(&crowd);
}

/* Failure: idle connections take the descriptors that other callers need. */
static void test_connections_have_a_bound(void)
{
	crowd_t crowd;

	open_crowd(&crowd, IDLE_CLIENTS);
	expect_entry_survives(&crowd);
}

/* What a single client may send in calm is read to its end. */
static void test_largest_body_is_read_in_calm(void)
{
	char *body = g_strnfill(BODY_BYTES_MAX, 'z');

	CU_ASSERT_EQUAL(request_status(entry_address, "/none", "large", body),
			404);
	g_free(body);
}

static const unit_test_t tests[] = {
	{ "fleet starts", test_fleet_starts },
	{ "unfinished bodies in large chunks fit in memory",
	  test_unfinished_bodies_in_large_chunks_fit_in_memory },
	{ "unfinished bodies in small chunks fit in memory",
	  test_unfinished_bodies_in_small_chunks_fit_in_memory },
	{ "bodies far over the limit fit in memory",
	  test_bodies_far_over_the_limit_fit_in_memory },
	{ "unread answers to pipelined requests fit in memory",
	  test_unread_answers_to_pipelined_requests_fit_in_memory },
	{ "connections have a bound", test_connections_have_a_bound },
	{ "largest body is read in calm", test_largest_body_is_read_in_calm },
};

int main(void)
{
	int status;

	harness_init(&harness, "client_crowd");
	http_client_init(&client);
	status = unit_run("client_crowd", tests, ARRAY_SIZE(tests));
	fake_endpoint_stop(&sound);
	http_client_finish(&client);
	harness_finish(&harness, status == EXIT_SUCCESS);
	return status;
}
