/* Unit tests of the reachability check of engines, over loopback. */
#include "unit.h"

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <uv.h>

#include "wisteria/base/clock.h"
#include "wisteria/fleet/prober.h"
#include "wisteria/fleet/registry.h"

/* Loop iterations that establish or refuse a connection on loopback. */
#define LOOP_ITERATIONS 200

typedef struct {
	prober_handler_t handler;
	clock_source_t clock;
	clock_ms_t now_ms;
	uv_loop_t loop;
	registry_t registry;
	prober_t prober;
	unsigned unreachable;
	uint64_t incarnation;
} fixture_t;

static fixture_t fixture;

static clock_ms_t fixture_now(const clock_source_t *clock)
{
	(void)clock;
	return fixture.now_ms;
}

static void on_unreachable(prober_handler_t *handler, const char *id,
			   uint64_t incarnation)
{
	(void)handler;
	CU_ASSERT_STRING_EQUAL(id, "i-1");
	fixture.unreachable++;
	fixture.incarnation = incarnation;
}

static void write_probe(const char *address, GString *request)
{
	g_string_append_printf(request, "GET / HTTP/1.1\r\nHost: %s\r\n\r\n",
			       address);
}

static const fleet_dialect_t dialect = { .write_probe = write_probe };

/* Listens on loopback; sets "address" to IP:PORT. */
static int listen_on(char address[ENDPOINT_ADDRESS_BYTES])
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	CU_ASSERT_FATAL(bind(fd, (struct sockaddr *)&at, len) == 0);
	CU_ASSERT_FATAL(listen(fd, 8) == 0);
	CU_ASSERT_FATAL(getsockname(fd, (struct sockaddr *)&at, &len) == 0);
	snprintf(address, ENDPOINT_ADDRESS_BYTES, "127.0.0.1:%u",
		 ntohs(at.sin_port));
	return fd;
}

static const endpoint_t *set_up(const char *address)
{
	endpoint_t endpoint = { .incarnation = 7, .sequence = 1 };

	memset(&fixture, 0, sizeof(fixture));
	fixture.handler.unreachable = on_unreachable;
	fixture.clock.now = fixture_now;
	fixture.now_ms = 10000;
	uv_loop_init(&fixture.loop);
	registry_init(&fixture.registry);
	prober_init(&fixture.prober, &fixture.loop, &dialect, &fixture.registry,
		    &fixture.clock, &fixture.handler);
	g_strlcpy(endpoint.id, "i-1", sizeof(endpoint.id));
	g_strlcpy(endpoint.address, address, sizeof(endpoint.address));
	registry_update(&fixture.registry, &endpoint, fixture.now_ms);
	return registry_find(&fixture.registry, "i-1");
}

static void run_loop(void)
{
	for (int i = 0; i < LOOP_ITERATIONS; i++) {
		uv_run(&fixture.loop, UV_RUN_NOWAIT);
		g_usleep(50);
	}
}

static void tear_down(void)
{
	prober_finish(&fixture.prober);
	uv_run(&fixture.loop, UV_RUN_DEFAULT);
	uv_loop_close(&fixture.loop);
	registry_finish(&fixture.registry);
}

static void test_connection_refused(void)
{
	char address[ENDPOINT_ADDRESS_BYTES];
	const endpoint_t *endpoint;

	close(listen_on(address));
	endpoint = set_up(address);
	prober_check(&fixture.prober, endpoint);
	run_loop();
	CU_ASSERT_EQUAL(fixture.unreachable, 1);
	CU_ASSERT_EQUAL(fixture.incarnation, 7);
	/* No second check within the interval. */
	prober_check(&fixture.prober, endpoint);
	run_loop();
	CU_ASSERT_EQUAL(fixture.unreachable, 1);
	fixture.now_ms += PROBER_CHECK_INTERVAL_MS;
	prober_check(&fixture.prober, endpoint);
	run_loop();
	CU_ASSERT_EQUAL(fixture.unreachable, 2);
	tear_down();
}

/*
 * An engine that accepts connections is reachable, even if it does not answer.
 * The check that waits for its answer must not prevent later checks.
 */
static void test_engine_that_does_not_answer(void)
{
	char address[ENDPOINT_ADDRESS_BYTES];
	int fd = listen_on(address);
	const endpoint_t *endpoint = set_up(address);
	const probe_t *probe;

	prober_check(&fixture.prober, endpoint);
	run_loop();
	CU_ASSERT_EQUAL(fixture.unreachable, 0);
	/* After the timeout a new check replaces the one in progress. */
	fixture.now_ms += PROBER_TIMEOUT_MS;
	prober_check(&fixture.prober, endpoint);
	probe = g_hash_table_lookup(fixture.prober.probes, "i-1");
	CU_ASSERT_EQUAL(probe->sent_ms, fixture.now_ms);
	close(fd);
	fixture.now_ms += PROBER_TIMEOUT_MS;
	prober_check(&fixture.prober, endpoint);
	run_loop();
	CU_ASSERT_EQUAL(fixture.unreachable, 1);
	tear_down();
}

/*
 * A stalled router sees its connect timeouts late; a late failure must not make
 * the engine unreachable.
 */
static void test_late_attempt_is_ignored(void)
{
	char address[ENDPOINT_ADDRESS_BYTES];
	const endpoint_t *endpoint;

	close(listen_on(address));
	endpoint = set_up(address);
	prober_check(&fixture.prober, endpoint);
	fixture.now_ms += PROBER_CHECK_TIMEOUT_MS + PROBER_CHECK_MAX_DELAY_MS;
	run_loop();
	CU_ASSERT_EQUAL(fixture.unreachable, 0);
	fixture.now_ms += PROBER_CHECK_INTERVAL_MS;
	prober_check(&fixture.prober, endpoint);
	run_loop();
	CU_ASSERT_EQUAL(fixture.unreachable, 1);
	tear_down();
}

static const unit_test_t tests[] = {
	{ "connection refused", test_connection_refused },
	{ "engine that does not answer", test_engine_that_does_not_answer },
	{ "late attempt is ignored", test_late_attempt_is_ignored },
};

int main(void)
{
	return unit_run("prober", tests, ARRAY_SIZE(tests));
}
