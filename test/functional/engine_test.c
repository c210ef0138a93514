/*
 * Failure: an engine in trouble answers a health check or an order with an invalid
 * head, and counts as alive, or the order as applied or refused.
 */
#include "../unit/unit.h"

#include <string.h>

#include <uv.h>

#include "harness/fake_endpoint.h"
#include "harness/harness.h"

#include "wisteria/agent/engine_http.h"
#include "wisteria/base/clock.h"

#define LOOP_PAUSE_US 1000
/* Longer than a request may take before the engine's health is checked. */
#define OVERDUE_MS 60000

#define EMPTY "Content-Length: 0\r\n\r\n"

static const char *const odd_answers[] = {
	"HTTP/1.1 000 X\r\n" EMPTY,
	"HTTP/1.1 099 X\r\n" EMPTY,
	"HTTP/1.1 200 OK\r\n",
	"HTTP/1.1 200 OK\r\nX Odd: 1\r\n" EMPTY,
	"HTTP/1.1 200 OK\r\nX-Odd : 1\r\n" EMPTY,
	"HTTP/1.1 200 OK\r\nX\tOdd: 1\r\n" EMPTY,
	"HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n" EMPTY,
	"HTTP/1.1 200 OK\r\n: 1\r\n" EMPTY,
	"HTTP/1.1 200 OK\r\nno colon\r\n" EMPTY,
	"HTTP/1.1 409 Conflict\r\nX Odd: 1\r\n" EMPTY,
};

static harness_t harness;
static uv_loop_t loop;
static curl_loop_t client;
static fake_endpoint_t fake;
static engine_ops_t *engine;
static unsigned failed_runs;
static unsigned ended_orders;
static unsigned applied_orders;
static unsigned refused_orders;

static void on_run_done(engine_handler_t *self, const engine_key_t *key,
			uint32_t attempt, const hop_result_t *result)
{
	(void)self;
	(void)key;
	(void)attempt;
	(void)result;
}

static void on_run_failed(engine_handler_t *self, const engine_key_t *key,
			  uint32_t attempt, const char *reason)
{
	(void)self;
	(void)key;
	(void)attempt;
	(void)reason;
	failed_runs++;
}

static void on_order_ended(engine_order_done_t *self, bool applied,
			   bool refused)
{
	(void)self;
	ended_orders++;
	applied_orders += applied;
	refused_orders += refused;
}

static engine_handler_t handler = { on_run_done, on_run_failed };
static engine_order_done_t order_done = { on_order_ended };

static void start_engine(fake_endpoint_mode_t mode)
{
	harness_init(&harness, "engine");
	uv_loop_init(&loop);
	curl_loop_init(&client, &loop);
	fake_endpoint_listen(&fake, "i-1", "engine", harness.ip, "127.0.0.1:1",
			     mode);
	fake.serves_many = true;
	fake.answer_text = odd_answers[0];
	fake_endpoint_start_threads(&fake);
	engine = engine_http_new(
		&client, &clock_monotonic,
		harness_string(&harness, "http://%s", fake.address), &handler);
}

static void finish_engine(void)
{
	engine->close(engine);
	curl_loop_close(&client);
	uv_run(&loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&loop), 0);
	fake_endpoint_crash(&fake);
	harness_finish(&harness, true);
}

/* Runs the loop until "count" has reached "goal"; returns whether it has. */
static bool run_until(const unsigned *count, unsigned goal)
{
	clock_ms_t until_ms = clock_now(&clock_monotonic) + HARNESS_WAIT_MS;

	while (*count < goal && clock_now(&clock_monotonic) < until_ms) {
		uv_run(&loop, UV_RUN_NOWAIT);
		g_usleep(LOOP_PAUSE_US);
	}
	return *count >= goal;
}

static void send_order(const char *answer)
{
	fake.answer_text = answer;
	engine->order(engine, "{}", 1, &order_done);
	CU_ASSERT(run_until(&ended_orders, ended_orders + 1));
}

static void test_order_with_an_invalid_head_is_unknown(void)
{
	start_engine(FAKE_ENDPOINT_TEXT);
	for (size_t i = 0; i < ARRAY_SIZE(odd_answers); i++)
		send_order(odd_answers[i]);
	CU_ASSERT_EQUAL(applied_orders, 0);
	CU_ASSERT_EQUAL(refused_orders, 0);
	send_order("HTTP/1.1 200 OK\r\n" EMPTY);
	send_order("HTTP/1.1 409 Conflict\r\n" EMPTY);
	CU_ASSERT_EQUAL(applied_orders, 1);
	CU_ASSERT_EQUAL(refused_orders, 1);
	finish_engine();
}

static bool has_runs(void *user)
{
	const unsigned *count = user;

	uv_run(&loop, UV_RUN_NOWAIT);
	return fake.runs >= *count;
}

/* Lets the engine be silent to a run, and answer a health check. */
static void check_health(const char *answer)
{
	const hop_work_t work = { .session = 1, .end_layer = 1 };
	unsigned runs = fake.runs + 1;

	fake.mode = FAKE_ENDPOINT_SILENT;
	engine->run(engine, &work);
	CU_ASSERT(harness_wait_until(has_runs, &runs, HARNESS_WAIT_MS));
	fake.answer_text = answer;
	fake.mode = FAKE_ENDPOINT_TEXT;
	engine->tick(engine, clock_now(&clock_monotonic) + OVERDUE_MS);
}

/* A further check begins only behind the end of the one before. */
static bool has_checks(void *user)
{
	engine->tick(engine, clock_now(&clock_monotonic) + OVERDUE_MS);
	return has_runs(user);
}

static void test_health_check_with_an_invalid_head_fails(void)
{
	unsigned runs;

	start_engine(FAKE_ENDPOINT_SILENT);
	for (unsigned i = 0; i < ARRAY_SIZE(odd_answers); i++) {
		check_health(odd_answers[i]);
		CU_ASSERT(run_until(&failed_runs, i + 1));
		if (failed_runs != i + 1)
			printf("\n  case %u", i);
	}
	check_health("HTTP/1.1 200 OK\r\n" EMPTY);
	runs = fake.runs + 2;
	CU_ASSERT(harness_wait_until(has_checks, &runs, HARNESS_WAIT_MS));
	CU_ASSERT_EQUAL(failed_runs, ARRAY_SIZE(odd_answers));
	finish_engine();
}

static const unit_test_t tests[] = {
	{ "order with an invalid head is unknown",
	  test_order_with_an_invalid_head_is_unknown },
	{ "health check with an invalid head fails",
	  test_health_check_with_an_invalid_head_fails },
};

int main(void)
{
	return unit_run("engine", tests, ARRAY_SIZE(tests));
}
