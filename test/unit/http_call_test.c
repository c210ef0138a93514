/* Unit tests of HTTP calls: complete responses and stages of failed calls. */
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

#include "wisteria/http/http_call.h"

#define CONNECT_MS 2000
#define SHORT_CONNECT_MS 50
#define BODY_BYTES 100
/* More than the kernel takes of a request that its peer does not read. */
#define UPLOAD_BYTES (8u << 20)
/* Fits in the send buffer, but not in a receive buffer of this size. */
#define SMALL_UPLOAD_BYTES (256u << 10)
#define SMALL_RECEIVE_BYTES 4096
/* Iterations of the loop in which all that is pending is handled. */
#define LOOP_ITERATIONS 10

/* A peer that sends one response and then closes or resets the connection. */
typedef struct {
	uv_loop_t loop;
	uv_poll_t poll;
	int fd;
	const char *response;
	bool resets;
} peer_t;

typedef struct {
	http_call_handler_t handler;
	bool complete;
	bool failed;
	http_call_stage_t stage;
	char body[256];
	size_t body_len;
} call_result_t;

static void on_headers(http_call_handler_t *self,
		       const http_message_t *response)
{
	(void)self;
	(void)response;
}

static void on_body(http_call_handler_t *self, GByteArray *body)
{
	(void)self;
	(void)body;
}

static void on_complete(http_call_handler_t *self,
			const http_message_t *response)
{
	call_result_t *result = CONTAINER_OF(self, call_result_t, handler);

	result->complete = true;
	result->body_len = MIN(response->body->len, sizeof(result->body));
	memcpy(result->body, response->body->data, result->body_len);
}

static void on_failed(http_call_handler_t *self, http_call_stage_t stage,
		      const char *reason)
{
	call_result_t *result = CONTAINER_OF(self, call_result_t, handler);

	(void)reason;
	result->failed = true;
	result->stage = stage;
}

/*
 * Sends the response in one system call and ends the connection immediately, so
 * that the client receives both at once.
 */
static void on_peer_readable(uv_poll_t *poll, int status, int events)
{
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
	peer_t *peer = poll->data;
	char request[1024];

	(void)status;
	(void)events;
	CU_ASSERT(read(peer->fd, request, sizeof(request)) > 0);
	CU_ASSERT(write(peer->fd, peer->response, strlen(peer->response)) ==
		  (ssize_t)strlen(peer->response));
	uv_poll_stop(poll);
	if (peer->resets)
		setsockopt(peer->fd, SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
	close(peer->fd);
	uv_close((uv_handle_t *)poll, NULL);
}

/* Listens on a free port of loopback; "text" is its address, IP:PORT. */
static int listen_on_loopback(char text[64])
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL(bind(listener, (struct sockaddr *)&address, len), 0);
	CU_ASSERT_EQUAL(listen(listener, 1), 0);
	getsockname(listener, (struct sockaddr *)&address, &len);
	g_snprintf(text, 64, "127.0.0.1:%u", ntohs(address.sin_port));
	return listener;
}

/* Runs one call against a peer and returns its result. */
static call_result_t call_peer(const char *response, bool resets)
{
	call_result_t result = { .handler = { on_headers, on_body, on_complete,
					      on_failed } };
	peer_t peer = { .response = response, .resets = resets };
	const http_call_limits_t limits = { .connect_ms = CONNECT_MS,
					    .body_bytes = BODY_BYTES };
	GString *request = g_string_new("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	char text[64];
	int listener = listen_on_loopback(text);

	uv_loop_init(&peer.loop);
	CU_ASSERT_PTR_NOT_NULL(http_call_new(&peer.loop, text, request, &limits,
					     &result.handler));
	/* Sends the request on the connection, which is not accepted yet. */
	uv_run(&peer.loop, UV_RUN_NOWAIT);
	peer.fd = accept(listener, NULL, NULL);
	uv_poll_init(&peer.loop, &peer.poll, peer.fd);
	peer.poll.data = &peer;
	uv_poll_start(&peer.poll, UV_READABLE, on_peer_readable);
	uv_run(&peer.loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&peer.loop), 0);
	close(listener);
	g_string_free(request, TRUE);
	return result;
}

static void test_response_with_length(void)
{
	call_result_t result = call_peer(
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false);

	CU_ASSERT_TRUE(result.complete);
	CU_ASSERT_EQUAL(result.body_len, 5);
}

static void test_response_ended_by_close(void)
{
	call_result_t result = call_peer("HTTP/1.1 200 OK\r\n\r\nhello", false);

	CU_ASSERT_TRUE(result.complete);
	CU_ASSERT_EQUAL(result.body_len, 5);
}

static void test_response_ended_by_reset(void)
{
	call_result_t result = call_peer("HTTP/1.1 200 OK\r\n\r\nhel", true);

	CU_ASSERT_FALSE(result.complete);
	CU_ASSERT_TRUE(result.failed);
}

static void test_truncated_response(void)
{
	call_result_t result = call_peer(
		"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhel", false);

	CU_ASSERT_TRUE(result.failed);
	CU_ASSERT_EQUAL(result.stage, HTTP_CALL_TRUNCATED);
}

static void test_body_over_the_limit(void)
{
	static const char *const heads[] = {
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n"
	};

	for (size_t i = 0; i < ARRAY_SIZE(heads); i++)
		for (int len = BODY_BYTES; len <= BODY_BYTES + 1; len++) {
			char *text =
				g_strdup_printf("%s%0*d", heads[i], len, 0);
			call_result_t result = call_peer(text, false);

			CU_ASSERT_EQUAL(result.complete,
					i == 0 && len == BODY_BYTES);
			CU_ASSERT_EQUAL(result.failed, !result.complete);
			g_free(text);
		}
}

static void test_no_response(void)
{
	call_result_t result = call_peer("HTTP/1.1 200", false);

	CU_ASSERT_TRUE(result.failed);
	CU_ASSERT_EQUAL(result.stage, HTTP_CALL_SENT);
}

/*
 * Failure: a request that was cancelled, and that the network holds, reaches its
 * endpoint later.  The end of the connection follows its data; a reset does not
 * wait for it.
 */
static void test_cancelled_call_is_reset(void)
{
	call_result_t result = { .handler = { on_headers, on_body, on_complete,
					      on_failed } };
	const http_call_limits_t limits = { .connect_ms = CONNECT_MS,
					    .body_bytes = BODY_BYTES };
	GString *request = g_string_new("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	char bytes[1024];
	char text[64];
	int listener = listen_on_loopback(text);
	http_call_t *call;
	uv_loop_t loop;
	int fd;

	uv_loop_init(&loop);
	call = http_call_new(&loop, text, request, &limits, &result.handler);
	uv_run(&loop, UV_RUN_NOWAIT);
	fd = accept(listener, NULL, NULL);
	CU_ASSERT(recv(fd, bytes, sizeof(bytes), 0) == (ssize_t)request->len);
	http_call_cancel(call);
	uv_run(&loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(recv(fd, bytes, sizeof(bytes), 0), -1);
	CU_ASSERT_EQUAL(errno, ECONNRESET);
	CU_ASSERT_FALSE(result.complete || result.failed);
	close(fd);
	close(listener);
	CU_ASSERT_EQUAL(uv_loop_close(&loop), 0);
	g_string_free(request, TRUE);
}

/* A call whose peer is played step by step. */
typedef struct {
	call_result_t result;
	uv_loop_t loop;
	http_call_t *call;
	GString *request;
	int listener;
	int fd; /* the peer's end of the connection */
} upload_t;

static void hold_call(http_call_handler_t *self, GByteArray *body)
{
	upload_t *upload = CONTAINER_OF(self, upload_t, result.handler);

	(void)body;
	http_call_hold(upload->call, true);
}

static void run_loop(upload_t *upload)
{
	for (int i = 0; i < LOOP_ITERATIONS; i++)
		uv_run(&upload->loop, UV_RUN_NOWAIT);
}

/*
 * Starts a call with a body of "bytes"; its peer receives at most
 * "receive_bytes" that it does not read, 0: as many as usual.
 */
static void start_upload(upload_t *upload, size_t bytes, int receive_bytes)
{
	const http_call_limits_t limits = { .connect_ms = CONNECT_MS,
					    .body_bytes = BODY_BYTES };
	char text[64];

	*upload = (upload_t){ .result.handler = { on_headers, on_body,
						  on_complete, on_failed } };
	upload->listener = listen_on_loopback(text);
	if (receive_bytes > 0)
		setsockopt(upload->listener, SOL_SOCKET, SO_RCVBUF,
			   &receive_bytes, sizeof(receive_bytes));
	upload->request = g_string_new(NULL);
	g_string_printf(upload->request,
			"POST / HTTP/1.1\r\nHost: x\r\n"
			"Content-Length: %zu\r\n\r\n%0*d",
			bytes, (int)bytes, 0);
	uv_loop_init(&upload->loop);
	upload->call = http_call_new(&upload->loop, text, upload->request,
				     &limits, &upload->result.handler);
	run_loop(upload);
	upload->fd = accept(upload->listener, NULL, NULL);
	CU_ASSERT_FATAL(upload->fd >= 0);
}

/* Reads all of the request and returns how many bytes that were. */
static size_t read_upload(upload_t *upload)
{
	char bytes[65536];
	size_t total = 0;

	while (total < upload->request->len) {
		ssize_t got = recv(upload->fd, bytes, sizeof(bytes), 0);

		if (got <= 0)
			break;
		total += (size_t)got;
		uv_run(&upload->loop, UV_RUN_NOWAIT);
	}
	return total;
}

static void respond(upload_t *upload, const char *response)
{
	CU_ASSERT(send(upload->fd, response, strlen(response), MSG_NOSIGNAL) ==
		  (ssize_t)strlen(response));
}

static void reset_connection(upload_t *upload)
{
	const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(upload->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(upload->fd);
	upload->fd = -1;
}

/* Runs the call to its end. */
static void finish_upload(upload_t *upload)
{
	uv_run(&upload->loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&upload->loop), 0);
	CU_ASSERT(upload->result.complete != upload->result.failed);
	if (upload->fd >= 0)
		close(upload->fd);
	close(upload->listener);
	g_string_free(upload->request, TRUE);
}

/*
 * Failure: the kernel reports a reset once, to a write of the request; the read
 * behind it gets the end of the stream, and a part of a response without a
 * length counts as complete.
 */
static void test_reset_reported_to_a_write(void)
{
	upload_t upload;

	start_upload(&upload, UPLOAD_BYTES, SMALL_RECEIVE_BYTES);
	upload.result.handler.body = hold_call;
	respond(&upload, "HTTP/1.1 200 OK\r\n\r\npart");
	run_loop(&upload);
	reset_connection(&upload);
	run_loop(&upload); /* writes; does not read */
	http_call_hold(upload.call, false);
	finish_upload(&upload);
	CU_ASSERT_FALSE(upload.result.complete);
	CU_ASSERT_EQUAL(upload.result.stage, HTTP_CALL_TRUNCATED);
}

/* A length shows that a response is complete, also before a reset. */
static void test_early_response_with_length(void)
{
	upload_t upload;

	start_upload(&upload, UPLOAD_BYTES, 0);
	respond(&upload, "HTTP/1.1 503 No\r\nContent-Length: 4\r\n\r\nfull");
	reset_connection(&upload);
	finish_upload(&upload);
	CU_ASSERT_TRUE(upload.result.complete);
	CU_ASSERT_EQUAL(upload.result.body_len, 4);
}

/*
 * Failure: a peer ends its response before it has received the request, and a
 * part counts as complete.  The rest of the request is still queued here, or
 * held by the kernel.
 */
static void test_response_ended_during_upload(void)
{
	static const struct {
		size_t bytes;
		int receive_bytes;
	} uploads[] = {
		{ UPLOAD_BYTES, 0 },
		{ SMALL_UPLOAD_BYTES, SMALL_RECEIVE_BYTES },
	};

	for (size_t i = 0; i < ARRAY_SIZE(uploads); i++) {
		upload_t upload;

		start_upload(&upload, uploads[i].bytes,
			     uploads[i].receive_bytes);
		respond(&upload, "HTTP/1.1 200 OK\r\n\r\npart");
		CU_ASSERT_EQUAL(shutdown(upload.fd, SHUT_WR), 0);
		finish_upload(&upload);
		CU_ASSERT_FALSE(upload.result.complete);
		CU_ASSERT_EQUAL(upload.result.stage, HTTP_CALL_TRUNCATED);
	}
}

static void test_response_ended_after_upload(void)
{
	upload_t upload;

	start_upload(&upload, UPLOAD_BYTES, 0);
	CU_ASSERT_EQUAL(read_upload(&upload), upload.request->len);
	respond(&upload, "HTTP/1.1 200 OK\r\n\r\nwhole");
	CU_ASSERT_EQUAL(shutdown(upload.fd, SHUT_WR), 0);
	finish_upload(&upload);
	CU_ASSERT_TRUE(upload.result.complete);
	CU_ASSERT_EQUAL(upload.result.body_len, 5);
}

static void sleep_past_timeout(uv_prepare_t *prepare)
{
	g_usleep(2 * SHORT_CONNECT_MS * G_TIME_SPAN_MILLISECOND);
	uv_prepare_stop(prepare);
}

/*
 * Failure: a process that was paused while it connected sends the request
 * afterwards, when what allowed it has run out.  The pause is between the
 * timers and the sockets of one loop iteration.
 */
static void test_pause_while_connecting(void)
{
	call_result_t result = { .handler = { on_headers, on_body, on_complete,
					      on_failed } };
	const http_call_limits_t limits = { .connect_ms = SHORT_CONNECT_MS,
					    .body_bytes = BODY_BYTES };
	GString *request = g_string_new("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	uv_prepare_t prepare;
	uv_loop_t loop;
	char text[64];
	int listener = listen_on_loopback(text);
	char byte;
	int fd;

	uv_loop_init(&loop);
	uv_prepare_init(&loop, &prepare);
	uv_prepare_start(&prepare, sleep_past_timeout);
	CU_ASSERT_PTR_NOT_NULL(
		http_call_new(&loop, text, request, &limits, &result.handler));
	fd = accept(listener, NULL, NULL);
	for (int i = 0; i < 3; i++)
		uv_run(&loop, UV_RUN_NOWAIT);
	CU_ASSERT_TRUE(result.failed);
	CU_ASSERT_EQUAL(result.stage, HTTP_CALL_UNSENT);
	CU_ASSERT(recv(fd, &byte, 1, MSG_DONTWAIT) <= 0);
	uv_close((uv_handle_t *)&prepare, NULL);
	close(fd);
	close(listener);
	uv_run(&loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&loop), 0);
	g_string_free(request, TRUE);
}

int main(void)
{
	CU_pSuite suite;
	unsigned failures;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return CU_get_error();
	suite = CU_add_suite("http_call", NULL, NULL);
	CU_ADD_TEST(suite, test_response_with_length);
	CU_ADD_TEST(suite, test_response_ended_by_close);
	CU_ADD_TEST(suite, test_response_ended_by_reset);
	CU_ADD_TEST(suite, test_truncated_response);
	CU_ADD_TEST(suite, test_body_over_the_limit);
	CU_ADD_TEST(suite, test_no_response);
	CU_ADD_TEST(suite, test_cancelled_call_is_reset);
	CU_ADD_TEST(suite, test_pause_while_connecting);
	CU_ADD_TEST(suite, test_reset_reported_to_a_write);
	CU_ADD_TEST(suite, test_early_response_with_length);
	CU_ADD_TEST(suite, test_response_ended_during_upload);
	CU_ADD_TEST(suite, test_response_ended_after_upload);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures > 0;
}
