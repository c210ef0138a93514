/* Tests of the HTTP server over loopback, with a caller of plain sockets. */
#include "unit.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/http/http_message.h"
#include "wisteria/http/http_server.h"

/* Turns of the loop within which loopback delivers. */
#define TURNS 200

typedef struct {
	http_server_handler_t handler;
	http_server_t server;
	uv_loop_t loop;
	clock_source_t clock;
	http_conn_t *open; /* the request that is not answered yet */
	unsigned requests;
	unsigned gone;
	bool answers_at_once;
} rig_t;

static clock_ms_t rig_now = 1000;

static clock_ms_t read_clock(const clock_source_t *self)
{
	(void)self;
	return rig_now;
}

static void on_request(http_server_handler_t *self, http_conn_t *conn)
{
	rig_t *rig = CONTAINER_OF(self, rig_t, handler);

	rig->requests++;
	conn->user = rig;
	rig->open = conn;
	if (rig->answers_at_once)
		http_conn_reply(conn, 200, "", "ok", 2);
}

static void on_gone(http_server_handler_t *self, http_conn_t *conn)
{
	rig_t *rig = CONTAINER_OF(self, rig_t, handler);

	(void)conn;
	rig->gone++;
	rig->open = NULL;
}

/* Each test listens on a port of its own. */
static uint16_t start(rig_t *rig)
{
	static const http_limits_t limits = { .header_bytes = 1000,
					      .body_bytes = 1000,
					      .header_ms = 3000,
					      .idle_ms = 5000 };
	struct sockaddr_storage address;
	int len = sizeof(address);
	err_t err = ERR_INIT;

	memset(rig, 0, sizeof(*rig));
	rig->handler.request = on_request;
	rig->handler.gone = on_gone;
	rig->clock.now = read_clock;
	uv_loop_init(&rig->loop);
	CU_ASSERT_TRUE(http_server_init(&rig->server, &rig->loop, "127.0.0.1:0",
					&rig->clock, &limits, &rig->handler,
					&err));
	uv_tcp_getsockname(&rig->server.tcp, (struct sockaddr *)&address, &len);
	return ((struct sockaddr_in *)&address)->sin_port;
}

static void stop(rig_t *rig)
{
	http_server_close(&rig->server);
	uv_run(&rig->loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&rig->loop), 0);
}

static void turn(rig_t *rig)
{
	for (int i = 0; i < TURNS; i++) {
		uv_run(&rig->loop, UV_RUN_NOWAIT);
		usleep(100);
	}
}

static int call(uint16_t port, const char *text)
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

/* Returns what has arrived; "ended" tells whether the peer has closed. */
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

static unsigned count(const char *text, const char *what)
{
	unsigned found = 0;

	while ((text = strstr(text, what)) != NULL) {
		found++;
		text++;
	}
	return found;
}

static void test_requests_on_one_connection(void)
{
	rig_t rig;
	uint16_t port = start(&rig);
	bool ended;
	int fd;

	rig.answers_at_once = true;
	fd = call(port, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
			"GET /2 HTTP/1.1\r\nHost: x\r\n\r\n"
			"GET /3 HTTP/1.1\r\nHost: x\r\n\r\n");
	turn(&rig);
	CU_ASSERT_EQUAL(count(received(fd, &ended), "200 OK"), 3);
	CU_ASSERT_FALSE(ended);
	CU_ASSERT_EQUAL(rig.requests, 3);
	close(fd);
	stop(&rig);
}

/* What comes behind an open request waits for its answer. */
static void test_order_is_kept(void)
{
	rig_t rig;
	uint16_t port = start(&rig);
	bool ended;
	int fd = call(port, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
			    "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");

	turn(&rig);
	CU_ASSERT_EQUAL(rig.requests, 1);
	CU_ASSERT_STRING_EQUAL(http_message_target(&rig.open->reader.message),
			       "/1");
	http_conn_begin(rig.open, 200, "", -1);
	http_conn_send(rig.open, "abc", 3);
	http_conn_end(rig.open);
	turn(&rig);
	CU_ASSERT_EQUAL(rig.requests, 2);
	CU_ASSERT_STRING_EQUAL(http_message_target(&rig.open->reader.message),
			       "/2");
	CU_ASSERT_PTR_NOT_NULL(
		strstr(received(fd, &ended), "3\r\nabc\r\n0\r\n\r\n"));
	close(fd);
	turn(&rig);
	CU_ASSERT_EQUAL(rig.gone, 1);
	stop(&rig);
}

/* A caller that leaves is noticed while its request waits, or streams. */
static void test_a_caller_leaves(void)
{
	rig_t rig;
	uint16_t port = start(&rig);
	int fd = call(port, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");

	turn(&rig);
	CU_ASSERT_EQUAL(rig.gone, 0);
	close(fd);
	turn(&rig);
	CU_ASSERT_EQUAL(rig.gone, 1);
	fd = call(port, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	turn(&rig);
	http_conn_begin(rig.open, 200, "", -1);
	close(fd);
	turn(&rig);
	CU_ASSERT_EQUAL(rig.gone, 2);
	CU_ASSERT_EQUAL(rig.server.conn_count, 0);
	stop(&rig);
}

static void test_a_large_body_is_refused(void)
{
	rig_t rig;
	uint16_t port = start(&rig);
	bool ended;
	int fd = call(port, "POST / HTTP/1.1\r\nHost: x\r\n"
			    "Content-Length: 90000000\r\n\r\nabc");

	turn(&rig);
	CU_ASSERT_PTR_NOT_NULL(strstr(received(fd, &ended), " 413 "));
	CU_ASSERT_TRUE(ended);
	CU_ASSERT_EQUAL(rig.requests, 0);
	close(fd);
	stop(&rig);
}

static void test_an_expectation_is_answered(void)
{
	rig_t rig;
	uint16_t port = start(&rig);
	bool ended;
	int fd = call(port, "POST / HTTP/1.1\r\nHost: x\r\n"
			    "Expect: 100-continue\r\n"
			    "Content-Length: 2\r\n\r\n");

	rig.answers_at_once = true;
	turn(&rig);
	CU_ASSERT_PTR_NOT_NULL(strstr(received(fd, &ended), " 100 "));
	CU_ASSERT_EQUAL(write(fd, "ab", 2), 2);
	turn(&rig);
	CU_ASSERT_PTR_NOT_NULL(strstr(received(fd, &ended), " 200 "));
	close(fd);
	stop(&rig);
}

/* An answer that is broken off does not look complete. */
static void test_an_answer_is_broken_off(void)
{
	rig_t rig;
	uint16_t port = start(&rig);
	bool ended;
	int fd = call(port, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	const char *text;

	turn(&rig);
	http_conn_begin(rig.open, 200, "", -1);
	http_conn_send(rig.open, "abc", 3);
	http_conn_abort(rig.open);
	turn(&rig);
	text = received(fd, &ended);
	CU_ASSERT_TRUE(ended);
	CU_ASSERT_PTR_NULL(strstr(text, "0\r\n\r\n"));
	CU_ASSERT_EQUAL(rig.gone, 0);
	close(fd);
	stop(&rig);
}

/* While draining the open request is answered, as the last one. */
static void test_draining(void)
{
	rig_t rig;
	uint16_t port = start(&rig);
	int idle = call(port, "");
	int fd = call(port, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	bool ended;

	turn(&rig);
	http_server_drain(&rig.server);
	http_server_stop_listening(&rig.server);
	http_server_close_idle(&rig.server);
	turn(&rig);
	(void)received(idle, &ended);
	CU_ASSERT_TRUE(ended);
	(void)received(fd, &ended);
	CU_ASSERT_FALSE(ended);
	http_conn_reply(rig.open, 200, "", "ok", 2);
	turn(&rig);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(received(fd, &ended), "Connection: close"));
	CU_ASSERT_TRUE(ended);
	close(fd);
	close(idle);
	stop(&rig);
}

static const unit_test_t tests[] = {
	{ "requests on one connection", test_requests_on_one_connection },
	{ "order is kept", test_order_is_kept },
	{ "a caller leaves", test_a_caller_leaves },
	{ "a large body is refused", test_a_large_body_is_refused },
	{ "an expectation is answered", test_an_expectation_is_answered },
	{ "an answer is broken off", test_an_answer_is_broken_off },
	{ "draining", test_draining },
};

int main(void)
{
	return unit_run("http_server", tests, ARRAY_SIZE(tests));
}
