/* Unit tests of connections, over loopback and with an injected clock. */
#include "unit.h"

#include <stdio.h>
#include <string.h>

#include <arpa/inet.h>
#include <sodium.h>

#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/link.h"
#include "wisteria/net/listener.h"
#include "wisteria/net/net.h"

#define LOOP_ITERATIONS_MAX 200

typedef struct {
	clock_source_t source;
	clock_ms_t now_ms;
} fake_clock_t;

/* Counts the calls of a handler. */
typedef struct {
	conn_handler_t handler;
	int opened;
	int closed;
	int messages;
	err_code_t why;
	conn_t *conn;
} counting_handler_t;

typedef struct {
	uv_loop_t loop;
	fake_clock_t clock;
	net_t near;
	net_t far;
	listener_t listener;
	link_t link;
	counting_handler_t connector;
	counting_handler_t acceptor;
	char address[NET_ADDRESS_BYTES];
} pair_t;

static clock_ms_t fake_now(const clock_source_t *self)
{
	return CONTAINER_OF(self, const fake_clock_t, source)->now_ms;
}

static void on_opened(conn_handler_t *handler, conn_t *conn)
{
	counting_handler_t *counting =
		CONTAINER_OF(handler, counting_handler_t, handler);

	counting->opened++;
	counting->conn = conn;
}

static void on_message(conn_handler_t *handler, conn_t *conn, const msg_t *msg)
{
	(void)conn;
	(void)msg;
	CONTAINER_OF(handler, counting_handler_t, handler)->messages++;
}

static void on_closed(conn_handler_t *handler, conn_t *conn, const err_t *why)
{
	counting_handler_t *counting =
		CONTAINER_OF(handler, counting_handler_t, handler);

	(void)conn;
	counting->closed++;
	counting->why = why->code;
}

static void counting_handler_init(counting_handler_t *counting)
{
	*counting = (counting_handler_t){ .handler = { on_opened, on_message,
						       on_closed } };
}

static void set_listener_address(pair_t *pair)
{
	struct sockaddr_in bound;
	int len = sizeof(bound);

	uv_tcp_getsockname(&pair->listener.tcp, (struct sockaddr *)&bound,
			   &len);
	snprintf(pair->address, sizeof(pair->address), "127.0.0.1:%d",
		 ntohs(bound.sin_port));
}

static void pair_init(pair_t *pair, uint8_t far_key)
{
	uint8_t key[NET_KEY_BYTES] = { 1 };
	err_t err = ERR_INIT;

	memset(pair, 0, sizeof(*pair));
	CU_ASSERT_FATAL(sodium_init() >= 0);
	uv_loop_init(&pair->loop);
	pair->clock = (fake_clock_t){ { fake_now }, 1000 };
	counting_handler_init(&pair->connector);
	counting_handler_init(&pair->acceptor);
	net_init(&pair->near, &pair->loop, &pair->clock.source, "near", "d", 1,
		 key);
	key[0] = far_key;
	net_init(&pair->far, &pair->loop, &pair->clock.source, "far", "d", 2,
		 key);
	CU_ASSERT_FATAL(listener_init(&pair->listener, &pair->far,
				      "127.0.0.1:0", &pair->acceptor.handler,
				      &err));
	set_listener_address(pair);
}

static void pair_finish(pair_t *pair)
{
	listener_close(&pair->listener);
	net_close(&pair->near);
	net_close(&pair->far);
	uv_run(&pair->loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&pair->loop), 0);
}

static void run_loop_until(pair_t *pair, const int *value, int expected)
{
	for (int i = 0; i < LOOP_ITERATIONS_MAX && *value < expected; i++)
		uv_run(&pair->loop, UV_RUN_ONCE);
	CU_ASSERT(*value >= expected);
}

static void connect_pair(pair_t *pair)
{
	link_init(&pair->link, &pair->near, pair->address,
		  &pair->connector.handler);
	run_loop_until(pair, &pair->connector.opened, 1);
	run_loop_until(pair, &pair->acceptor.opened, 1);
}

/* Advances the clock in steps of one tick, as a loop that is not blocked. */
static void advance_clock(pair_t *pair, clock_ms_t duration)
{
	for (clock_ms_t i = 0; i < duration; i += NET_TICK_MS) {
		pair->clock.now_ms += NET_TICK_MS;
		pair->near.tick.timer_cb(&pair->near.tick);
		uv_run(&pair->loop, UV_RUN_NOWAIT);
	}
}

static void test_opens_and_delivers_messages(void)
{
	const msg_session_t start = { 7, 1 };
	pair_t pair;

	pair_init(&pair, 1);
	connect_pair(&pair);
	CU_ASSERT_STRING_EQUAL(pair.acceptor.conn->peer_instance, "near");
	CU_ASSERT(link_send(&pair.link, MSG_START, &start));
	run_loop_until(&pair, &pair.acceptor.messages, 1);
	pair_finish(&pair);
}

static void test_wrong_key_is_refused(void)
{
	uint64_t refused = counter_get(COUNTER_CONNECTIONS_REFUSED);
	pair_t pair;

	pair_init(&pair, 2);
	link_init(&pair.link, &pair.near, pair.address,
		  &pair.connector.handler);
	for (int i = 0; i < LOOP_ITERATIONS_MAX &&
			counter_get(COUNTER_CONNECTIONS_REFUSED) == refused;
	     i++)
		uv_run(&pair.loop, UV_RUN_ONCE);
	CU_ASSERT(counter_get(COUNTER_CONNECTIONS_REFUSED) > refused);
	CU_ASSERT_EQUAL(pair.connector.opened, 0);
	CU_ASSERT_EQUAL(pair.acceptor.opened, 0);
	pair_finish(&pair);
}

static void on_raw_connected(uv_connect_t *request, int status)
{
	*(int *)request->data = status == 0 ? 1 : -1;
}

/*
 * Sends bytes from an unauthenticated client; the listener must close that
 * connection and go on accepting others.
 */
static void expect_refused(const void *bytes, size_t len)
{
	uint64_t refused = counter_get(COUNTER_CONNECTIONS_REFUSED);
	uv_buf_t buf = uv_buf_init((char *)bytes, (unsigned int)len);
	struct sockaddr_storage address;
	int connected = 0;
	uv_connect_t request = { .data = &connected };
	uv_tcp_t raw;
	pair_t pair;

	pair_init(&pair, 1);
	CU_ASSERT_FATAL(net_parse_address(pair.address, &address, NULL));
	uv_tcp_init(&pair.loop, &raw);
	uv_tcp_connect(&request, &raw, (struct sockaddr *)&address,
		       on_raw_connected);
	run_loop_until(&pair, &connected, 1);
	CU_ASSERT_EQUAL(uv_try_write((uv_stream_t *)&raw, &buf, 1), (int)len);
	for (int i = 0; i < LOOP_ITERATIONS_MAX &&
			counter_get(COUNTER_CONNECTIONS_REFUSED) == refused;
	     i++)
		uv_run(&pair.loop, UV_RUN_ONCE);
	CU_ASSERT_EQUAL(counter_get(COUNTER_CONNECTIONS_REFUSED), refused + 1);
	connect_pair(&pair);
	uv_close((uv_handle_t *)&raw, NULL);
	pair_finish(&pair);
}

static void test_bad_frames_are_refused(void)
{
	/* A length above the limit. */
	static const uint8_t overlong[] = { 0xff, 0xff, 0xff, 0xff };
	/* Not a msgpack message. */
	static const uint8_t garbage[] = { 0, 0, 0, 2, 0xc1, 0xc1 };
	/* A message of an unknown type. */
	static const uint8_t unknown[] = { 0, 0, 0, 3, 0x92, 95, 0x90 };
	/* A session message before the hello. */
	static const uint8_t early[] = { 0, 0, 0, 3, 0x92, MSG_START, 0x90 };

	expect_refused(overlong, sizeof(overlong));
	expect_refused(garbage, sizeof(garbage));
	expect_refused(unknown, sizeof(unknown));
	expect_refused(early, sizeof(early));
}

/* Stops "conn" from reading, as if the network dropped all bytes to it. */
static void stop_reading(conn_t *conn)
{
	uv_read_stop((uv_stream_t *)&conn->tcp);
}

static void test_silence_with_work_is_detected(void)
{
	pair_t pair;

	pair_init(&pair, 1);
	connect_pair(&pair);
	link_mark_busy(&pair.link);
	stop_reading(pair.acceptor.conn);
	advance_clock(&pair, NET_BUSY_TIMEOUT_MS + 2 * NET_TICK_MS);
	CU_ASSERT_EQUAL(pair.connector.closed, 1);
	CU_ASSERT_EQUAL(pair.connector.why, ERR_TIMEOUT);
	pair_finish(&pair);
}

static void test_silence_without_work_is_tolerated(void)
{
	pair_t pair;

	pair_init(&pair, 1);
	connect_pair(&pair);
	stop_reading(pair.acceptor.conn);
	advance_clock(&pair, NET_BUSY_TIMEOUT_MS + 2 * NET_TICK_MS);
	CU_ASSERT_EQUAL(pair.connector.closed, 0);
	pair_finish(&pair);
}

static void test_blocked_loop_is_not_silence(void)
{
	pair_t pair;

	pair_init(&pair, 1);
	connect_pair(&pair);
	link_mark_busy(&pair.link);
	pair.clock.now_ms += 10 * NET_BUSY_TIMEOUT_MS;
	pair.near.tick.timer_cb(&pair.near.tick);
	CU_ASSERT_EQUAL(pair.connector.closed, 0);
	pair_finish(&pair);
}

static void test_lost_connection_is_reestablished(void)
{
	const err_t why = { .code = ERR_CLOSED };
	pair_t pair;

	pair_init(&pair, 1);
	connect_pair(&pair);
	conn_close(pair.acceptor.conn, &why);
	run_loop_until(&pair, &pair.connector.closed, 1);
	advance_clock(&pair, NET_RECONNECT_MAX_MS);
	run_loop_until(&pair, &pair.connector.opened, 2);
	pair_finish(&pair);
}

static void test_addresses(void)
{
	static const char *const bad[] = { "localhost:80", "127.0.0.1",
					   "127.0.0.1:70000", "[::1]", "" };
	struct sockaddr_storage address;

	for (size_t i = 0; i < ARRAY_SIZE(bad); i++) {
		err_t err = ERR_INIT;

		CU_ASSERT_FALSE(net_parse_address(bad[i], &address, &err));
		CU_ASSERT_EQUAL(err.code, ERR_INVALID);
	}
	CU_ASSERT(net_parse_address("[::1]:80", &address, NULL));
	CU_ASSERT_EQUAL(address.ss_family, AF_INET6);
}

static const unit_test_t tests[] = {
	{ "opens and delivers messages", test_opens_and_delivers_messages },
	{ "wrong key is refused", test_wrong_key_is_refused },
	{ "bad frames are refused", test_bad_frames_are_refused },
	{ "silence with work is detected", test_silence_with_work_is_detected },
	{ "silence without work is tolerated",
	  test_silence_without_work_is_tolerated },
	{ "blocked loop is not silence", test_blocked_loop_is_not_silence },
	{ "lost connection is reestablished",
	  test_lost_connection_is_reestablished },
	{ "addresses", test_addresses },
};

int main(void)
{
	return unit_run("net", tests, ARRAY_SIZE(tests));
}
