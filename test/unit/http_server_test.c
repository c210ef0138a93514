/* Unit tests of the HTTP server over loopback, with plain client sockets. */
#include "unit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/http/http_message.h"
#include "wisteria/http/http_server.h"

/* Loop iterations within which data over loopback arrives. */
#define LOOP_ITERATIONS 200

typedef struct {
	http_server_handler_t handler;
	http_server_t server;
	uv_loop_t loop;
	clock_source_t clock;
	http_conn_t *open; /* the connection that waits for a response */
	unsigned requests;
	unsigned disconnects;
	bool responds_immediately;
} fixture_t;

static clock_ms_t clock_now_ms = 1000;

static clock_ms_t read_clock(const clock_source_t *self)
{
	(void)self;
	return clock_now_ms;
}

static void on_request(http_server_handler_t *self, http_conn_t *conn)
{
	fixture_t *fixture = CONTAINER_OF(self, fixture_t, handler);

	fixture->requests++;
	conn->user = fixture;
	fixture->open = conn;
	if (fixture->responds_immediately)
		http_conn_reply(conn, 200, "", "ok", 2);
}

static void on_disconnect(http_server_handler_t *self, http_conn_t *conn)
{
	fixture_t *fixture = CONTAINER_OF(self, fixture_t, handler);

	(void)conn;
	fixture->disconnects++;
	fixture->open = NULL;
}

/* Each test listens on a port of its own. */
static uint16_t start(fixture_t *fixture)
{
	static const http_limits_t limits = { .header_bytes = 1000,
					      .body_bytes = 1000,
					      .header_ms = 3000,
					      .idle_ms = 5000 };
	struct sockaddr_storage address;
	int len = sizeof(address);
	err_t err = ERR_INIT;

	memset(fixture, 0, sizeof(*fixture));
	fixture->handler.request = on_request;
	fixture->handler.gone = on_disconnect;
	fixture->clock.now = read_clock;
	uv_loop_init(&fixture->loop);
	CU_ASSERT_TRUE(http_server_init(&fixture->server, &fixture->loop,
					"127.0.0.1:0", &fixture->clock, &limits,
					&fixture->handler, &err));
	uv_tcp_getsockname(&fixture->server.tcp, (struct sockaddr *)&address,
			   &len);
	return ((struct sockaddr_in *)&address)->sin_port;
}

static void stop(fixture_t *fixture)
{
	http_server_close(&fixture->server);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&fixture->loop), 0);
}

static void run_loop(fixture_t *fixture)
{
	for (int i = 0; i < LOOP_ITERATIONS; i++) {
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
		usleep(100);
	}
}

static int send_request(uint16_t port, const char *text)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = port };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	CU_ASSERT_EQUAL(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	return fd;
}

/* Returns the received text; sets "ended" if the server has closed. */
static const char *received(int fd, bool *ended)
{
	static char text[4096];
	size_t used = 0;
	ssize_t len;

	*ended = false;
	while ((len = recv(fd, text + used, sizeof(text) - 1 - used,
			   MSG_DONTWAIT)) > 0)
		used += (size_t)len;
	*ended = len == 0;
	text[used] = '\0';
	return text;
}

static unsigned count_occurrences(const char *text, const char *pattern)
{
	unsigned occurrences = 0;

	while ((text = strstr(text, pattern)) != NULL) {
		occurrences++;
		text++;
	}
	return occurrences;
}

static void test_requests_on_one_connection(void)
{
	fixture_t fixture;
	uint16_t port = start(&fixture);
	bool ended;
	int fd;

	fixture.responds_immediately = true;
	fd = send_request(port, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
				"GET /2 HTTP/1.1\r\nHost: x\r\n\r\n"
				"GET /3 HTTP/1.1\r\nHost: x\r\n\r\n");
	run_loop(&fixture);
	CU_ASSERT_EQUAL(count_occurrences(received(fd, &ended), "200 OK"), 3);
	CU_ASSERT_FALSE(ended);
	CU_ASSERT_EQUAL(fixture.requests, 3);
	close(fd);
	stop(&fixture);
}

/* A pipelined request waits until the previous response is complete. */
static void test_responses_keep_request_order(void)
{
	fixture_t fixture;
	uint16_t port = start(&fixture);
	bool ended;
	int fd = send_request(port, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
				    "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");

	run_loop(&fixture);
	CU_ASSERT_EQUAL(fixture.requests, 1);
	CU_ASSERT_STRING_EQUAL(
		http_message_target(&fixture.open->reader.message), "/1");
	http_conn_begin(fixture.open, 200, "", -1);
	http_conn_send(fixture.open, "abc", 3);
	http_conn_end(fixture.open);
	run_loop(&fixture);
	CU_ASSERT_EQUAL(fixture.requests, 2);
	CU_ASSERT_STRING_EQUAL(
		http_message_target(&fixture.open->reader.message), "/2");
	CU_ASSERT_PTR_NOT_NULL(
		strstr(received(fd, &ended), "3\r\nabc\r\n0\r\n\r\n"));
	close(fd);
	run_loop(&fixture);
	CU_ASSERT_EQUAL(fixture.disconnects, 1);
	stop(&fixture);
}

/* A disconnect is detected before and during the response. */
static void test_client_disconnects(void)
{
	fixture_t fixture;
	uint16_t port = start(&fixture);
	int fd = send_request(port, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");

	run_loop(&fixture);
	CU_ASSERT_EQUAL(fixture.disconnects, 0);
	close(fd);
	run_loop(&fixture);
	CU_ASSERT_EQUAL(fixture.disconnects, 1);
	fd = send_request(port, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	run_loop(&fixture);
	http_conn_begin(fixture.open, 200, "", -1);
	close(fd);
	run_loop(&fixture);
	CU_ASSERT_EQUAL(fixture.disconnects, 2);
	CU_ASSERT_EQUAL(fixture.server.conn_count, 0);
	stop(&fixture);
}

static void test_large_body_is_rejected(void)
{
	fixture_t fixture;
	uint16_t port = start(&fixture);
	bool ended;
	int fd = send_request(port, "POST / HTTP/1.1\r\nHost: x\r\n"
				    "Content-Length: 90000000\r\n\r\nabc");

	run_loop(&fixture);
	CU_ASSERT_PTR_NOT_NULL(strstr(received(fd, &ended), " 413 "));
	CU_ASSERT_TRUE(ended);
	CU_ASSERT_EQUAL(fixture.requests, 0);
	close(fd);
	stop(&fixture);
}

static void test_100_continue_is_sent(void)
{
	fixture_t fixture;
	uint16_t port = start(&fixture);
	bool ended;
	int fd = send_request(port, "POST / HTTP/1.1\r\nHost: x\r\n"
				    "Expect: 100-continue\r\n"
				    "Content-Length: 2\r\n\r\n");

	fixture.responds_immediately = true;
	run_loop(&fixture);
	CU_ASSERT_PTR_NOT_NULL(strstr(received(fd, &ended), " 100 "));
	CU_ASSERT_EQUAL(write(fd, "ab", 2), 2);
	run_loop(&fixture);
	CU_ASSERT_PTR_NOT_NULL(strstr(received(fd, &ended), " 200 "));
	close(fd);
	stop(&fixture);
}

/* An aborted chunked response lacks the final chunk. */
static void test_aborted_response(void)
{
	fixture_t fixture;
	uint16_t port = start(&fixture);
	bool ended;
	int fd = send_request(port, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	const char *text;

	run_loop(&fixture);
	http_conn_begin(fixture.open, 200, "", -1);
	http_conn_send(fixture.open, "abc", 3);
	http_conn_abort(fixture.open);
	run_loop(&fixture);
	text = received(fd, &ended);
	CU_ASSERT_TRUE(ended);
	CU_ASSERT_PTR_NULL(strstr(text, "0\r\n\r\n"));
	CU_ASSERT_EQUAL(fixture.disconnects, 0);
	close(fd);
	stop(&fixture);
}

/* Ends the response as a whole one, or aborts it; returns the last error. */
static int end_http_1_0_response(bool aborts, const char **text)
{
	fixture_t fixture;
	uint16_t port = start(&fixture);
	int fd = send_request(port, "GET / HTTP/1.0\r\n\r\n");
	bool ended;
	int error;

	run_loop(&fixture);
	http_conn_begin(fixture.open, 200, "", -1);
	http_conn_send(fixture.open, "part", 4);
	run_loop(&fixture);
	*text = received(fd, &ended);
	CU_ASSERT_FALSE(ended);
	if (aborts)
		http_conn_abort(fixture.open);
	else
		http_conn_end(fixture.open);
	run_loop(&fixture);
	error = recv(fd, &ended, 1, MSG_DONTWAIT) < 0 ? errno : 0;
	close(fd);
	stop(&fixture);
	return error;
}

static void test_aborted_response_of_http_1_0_is_not_complete(void)
{
	const char *text;

	CU_ASSERT_EQUAL(end_http_1_0_response(true, &text), ECONNRESET);
	CU_ASSERT_EQUAL(end_http_1_0_response(false, &text), 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\r\n\r\npart"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "Connection: close\r\n"));
	CU_ASSERT_PTR_NULL(strstr(text, "chunked"));
}

typedef struct {
	const char *method;
	unsigned status;
	const char *expected; /* behind the status line */
} reply_row_t;

/* How a response is sent. */
typedef enum {
	REPLIES,
	BEGINS,
	BEGINS_WITHOUT_LENGTH
} sending_t;

static void send_response(http_conn_t *conn, unsigned status, sending_t sending)
{
	if (sending == REPLIES) {
		http_conn_reply(conn, status, "", "ok", 2);
		return;
	}
	http_conn_begin(conn, status, "", sending == BEGINS ? 2 : -1);
	http_conn_send(conn, "ok", 2);
	http_conn_end(conn);
}

/* Expects this response, without its status line, on a connection that is kept. */
static void expect_response(const reply_row_t *row, sending_t sending)
{
	fixture_t fixture;
	uint16_t port = start(&fixture);
	const char *text;
	const char *line_end;
	char request[64];
	bool ended;
	int fd;

	g_snprintf(request, sizeof(request), "%s / HTTP/1.1\r\nHost: x\r\n\r\n",
		   row->method);
	fd = send_request(port, request);
	run_loop(&fixture);
	CU_ASSERT_PTR_NOT_NULL(fixture.open);
	if (fixture.open != NULL)
		send_response(fixture.open, row->status, sending);
	run_loop(&fixture);
	text = received(fd, &ended);
	line_end = strstr(text, "\r\n");
	CU_ASSERT_STRING_EQUAL(line_end == NULL ? text : line_end + 2,
			       row->expected);
	CU_ASSERT_FALSE(ended);
	close(fd);
	stop(&fixture);
}

/*
 * Failure: bytes behind a response that ends with its head are read as the next
 * response.
 */
static void test_response_without_a_body_ends_with_its_head(void)
{
	static const reply_row_t rows[] = {
		{ "GET", 200, "Content-Length: 2\r\n\r\nok" },
		{ "GET", 204, "\r\n" },
		{ "GET", 304, "\r\n" },
		{ "HEAD", 200, "Content-Length: 2\r\n\r\n" },
		{ "HEAD", 204, "\r\n" },
	};
	static const reply_row_t reset_content = {
		"GET", 205, "Content-Length: 0\r\n\r\n"
	};

	for (size_t i = 0; i < ARRAY_SIZE(rows); i++) {
		expect_response(&rows[i], REPLIES);
		expect_response(&rows[i], BEGINS);
	}
	expect_response(&reset_content, REPLIES);
}

/* Neither chunks nor the end of the connection end what ends with its head. */
static void test_response_without_a_body_has_no_chunks(void)
{
	static const reply_row_t rows[] = { { "GET", 204, "\r\n" },
					    { "GET", 304, "\r\n" },
					    { "HEAD", 200, "\r\n" } };

	for (size_t i = 0; i < ARRAY_SIZE(rows); i++)
		expect_response(&rows[i], BEGINS_WITHOUT_LENGTH);
}

/* A draining server completes the open request, then closes its connection. */
static void test_draining(void)
{
	fixture_t fixture;
	uint16_t port = start(&fixture);
	int idle = send_request(port, "");
	int fd = send_request(port, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	bool ended;

	run_loop(&fixture);
	http_server_drain(&fixture.server);
	http_server_stop_listening(&fixture.server);
	http_server_close_idle(&fixture.server);
	run_loop(&fixture);
	/* Its client may be about to send the first request. */
	(void)received(idle, &ended);
	CU_ASSERT_FALSE(ended);
	clock_now_ms += 1000;
	http_server_close_idle(&fixture.server);
	run_loop(&fixture);
	(void)received(idle, &ended);
	CU_ASSERT_TRUE(ended);
	(void)received(fd, &ended);
	CU_ASSERT_FALSE(ended);
	http_conn_reply(fixture.open, 200, "", "ok", 2);
	run_loop(&fixture);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(received(fd, &ended), "Connection: close"));
	CU_ASSERT_TRUE(ended);
	close(fd);
	close(idle);
	stop(&fixture);
}

#define SHORT_REQUEST "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

/*
 * Failure: a stop resets connections whose requests have arrived and were not
 * read yet: one that was not accepted, and one that was idle between requests.
 */
static void test_stop_answers_unread_requests(void)
{
	fixture_t fixture;
	uint16_t port = start(&fixture);
	int kept = send_request(port, SHORT_REQUEST);
	int waiting;
	bool ended;

	fixture.responds_immediately = true;
	run_loop(&fixture);
	CU_ASSERT_PTR_NOT_NULL(strstr(received(kept, &ended), "200"));
	clock_now_ms += 1000;
	CU_ASSERT(write(kept, SHORT_REQUEST, strlen(SHORT_REQUEST)) > 0);
	waiting = send_request(port, SHORT_REQUEST);
	http_server_drain(&fixture.server);
	http_server_stop_listening(&fixture.server);
	http_server_close_idle(&fixture.server);
	run_loop(&fixture);
	CU_ASSERT_EQUAL(fixture.requests, 3);
	CU_ASSERT_PTR_NOT_NULL(strstr(received(kept, &ended), "200"));
	CU_ASSERT_TRUE(ended);
	CU_ASSERT_PTR_NOT_NULL(strstr(received(waiting, &ended), "200"));
	CU_ASSERT_TRUE(ended);
	close(kept);
	close(waiting);
	stop(&fixture);
}

/*
 * Failure: a stop closes a connection behind a response whose head, sent before
 * the stop, had promised to keep it, and the client's next request is lost.
 */
static void test_stop_keeps_a_promised_connection(void)
{
	fixture_t fixture;
	uint16_t port = start(&fixture);
	int fd = send_request(port, SHORT_REQUEST);
	bool ended;

	run_loop(&fixture);
	http_conn_begin(fixture.open, 200, "", -1);
	http_server_drain(&fixture.server);
	http_conn_end(fixture.open);
	fixture.responds_immediately = true;
	CU_ASSERT(write(fd, SHORT_REQUEST, strlen(SHORT_REQUEST)) > 0);
	run_loop(&fixture);
	CU_ASSERT_EQUAL(fixture.requests, 2);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(received(fd, &ended), "Connection: close"));
	CU_ASSERT_TRUE(ended);
	close(fd);
	stop(&fixture);
}

/* Sends a request when the server has accepted all that waited; -1: no such. */
static int late_client = -1;
static bool late_request_sent;
static struct sockaddr_in late_address;

/* Stands in for the function of the C library. */
int accept4(int fd, struct sockaddr *address, socklen_t *len, int flags)
{
	int accepted = (int)syscall(SYS_accept4, fd, address, len, flags);
	int error = errno;
	int client = late_client;

	if (accepted >= 0 || client < 0)
		return accepted;
	late_client = -1;
	(void)connect(client, (struct sockaddr *)&late_address,
		      sizeof(late_address));
	late_request_sent = send(client, SHORT_REQUEST, strlen(SHORT_REQUEST),
				 MSG_NOSIGNAL) > 0;
	errno = error;
	return accepted;
}

static void test_stop_resets_no_connection_behind_the_last_accept(void)
{
	fixture_t fixture;
	bool ended;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	late_address = (struct sockaddr_in){ .sin_family = AF_INET,
					     .sin_port = start(&fixture) };
	late_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fixture.responds_immediately = true;
	http_server_drain(&fixture.server);
	late_client = fd;
	http_server_stop_listening(&fixture.server);
	clock_now_ms += 1000;
	usleep(300000);
	run_loop(&fixture);
	CU_ASSERT_EQUAL(late_client, -1);
	CU_ASSERT_FALSE(http_server_is_listening(&fixture.server));
	if (late_request_sent)
		CU_ASSERT_PTR_NOT_NULL(strstr(received(fd, &ended), "200"));
	close(fd);
	stop(&fixture);
}

#define LARGE_BODY_BYTES (6u << 20)

/* Reads until the connection ends while the server runs; returns the bytes. */
static size_t read_to_end(fixture_t *fixture, int fd)
{
	static char text[1u << 20];
	size_t total = 0;

	for (int i = 0; i < 10000; i++) {
		ssize_t len = recv(fd, text, sizeof(text), MSG_DONTWAIT);

		if (len == 0 || (len < 0 && errno != EAGAIN))
			break;
		total += len > 0 ? (size_t)len : 0;
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
	}
	return total;
}

/* The connection ends behind the response, or is kept until the stop. */
static void test_slow_reader_gets_the_last_response_whole(void)
{
	static char body[LARGE_BODY_BYTES];

	for (int is_kept = 0; is_kept < 2; is_kept++) {
		fixture_t fixture;
		int fd = send_request(start(&fixture), SHORT_REQUEST);

		run_loop(&fixture);
		if (!is_kept)
			http_server_drain(&fixture.server);
		http_conn_reply(fixture.open, 200, "", body, sizeof(body));
		http_server_drain(&fixture.server);
		clock_now_ms += 1500;
		http_server_close_idle(&fixture.server);
		usleep(300000);
		run_loop(&fixture);
		CU_ASSERT(read_to_end(&fixture, fd) > sizeof(body));
		close(fd);
		stop(&fixture);
	}
}

static void test_timeouts_reset_no_request_that_has_arrived(void)
{
	static const char *const begun[] = { "", "GET / HTTP/1.1\r\nHo" };

	for (size_t i = 0; i < ARRAY_SIZE(begun); i++) {
		const char *rest = &SHORT_REQUEST[strlen(begun[i])];
		fixture_t fixture;
		bool ended;
		int fd = send_request(start(&fixture), begun[i]);

		fixture.responds_immediately = true;
		run_loop(&fixture);
		usleep(300000);
		clock_now_ms += 6000;
		CU_ASSERT(write(fd, rest, strlen(rest)) > 0);
		run_loop(&fixture);
		CU_ASSERT_PTR_NOT_NULL(strstr(received(fd, &ended), " 200 "));
		close(fd);
		stop(&fixture);
	}
}

static const unit_test_t tests[] = {
	{ "slow reader gets the last response whole",
	  test_slow_reader_gets_the_last_response_whole },
	{ "time-outs reset no request that has arrived",
	  test_timeouts_reset_no_request_that_has_arrived },
	{ "stop resets no connection behind the last accept",
	  test_stop_resets_no_connection_behind_the_last_accept },
	{ "requests on one connection", test_requests_on_one_connection },
	{ "responses keep the order of requests",
	  test_responses_keep_request_order },
	{ "client disconnects", test_client_disconnects },
	{ "large body is rejected", test_large_body_is_rejected },
	{ "100-continue is sent", test_100_continue_is_sent },
	{ "stop answers unread requests", test_stop_answers_unread_requests },
	{ "stop keeps a promised connection",
	  test_stop_keeps_a_promised_connection },
	{ "aborted response", test_aborted_response },
	{ "aborted response of HTTP/1.0 is not complete",
	  test_aborted_response_of_http_1_0_is_not_complete },
	{ "response without a body ends with its head",
	  test_response_without_a_body_ends_with_its_head },
	{ "response without a body has no chunks",
	  test_response_without_a_body_has_no_chunks },
	{ "draining", test_draining },
};

int main(void)
{
	return unit_run("http_server", tests, ARRAY_SIZE(tests));
}
