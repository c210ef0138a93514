/* Unit tests of the log limits and of a blocked log reader. */
#include "unit.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "wisteria/base/log_sink.h"

static void test_rate_limit(void)
{
	log_limiter_t limiter = { 0 };

	for (int i = 0; i < LOG_ROUTINE_LINES_PER_SECOND_MAX; i++)
		CU_ASSERT_TRUE(log_limiter_allow(&limiter, LOG_ROUTINE, 5));
	CU_ASSERT_FALSE(log_limiter_allow(&limiter, LOG_ROUTINE, 900));
	CU_ASSERT_TRUE(log_limiter_allow(&limiter, LOG_FAILURE, 900));
	CU_ASSERT_EQUAL(limiter.dropped[LOG_ROUTINE], 1);
	CU_ASSERT_TRUE(log_limiter_allow(&limiter, LOG_ROUTINE, 1005));
}

static void test_lines_arrive(void)
{
	char text[64] = "";
	int pipe_fds[2];

	CU_ASSERT_EQUAL(pipe(pipe_fds), 0);
	CU_ASSERT_FALSE(log_sink_put(LOG_ROUTINE, "no\n", 3));
	CU_ASSERT_TRUE(log_sink_start(pipe_fds[1]));
	CU_ASSERT_TRUE(log_sink_put(LOG_ROUTINE, "one\n", 4));
	CU_ASSERT_TRUE(log_sink_put(LOG_FAILURE, "two\n", 4));
	log_sink_stop();
	CU_ASSERT_EQUAL(read(pipe_fds[0], text, sizeof(text) - 1), 8);
	CU_ASSERT_STRING_EQUAL(text, "one\ntwo\n");
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}

/*
 * While the reader does not read, every line is accepted, memory stays bounded
 * and log_sink_stop() returns.  The test would hang if log_sink_put() blocked.
 */
static void test_blocked_reader(void)
{
	char line[1000];
	int pipe_fds[2];

	memset(line, 'x', sizeof(line));
	line[sizeof(line) - 1] = '\n';
	CU_ASSERT_EQUAL(pipe(pipe_fds), 0);
	CU_ASSERT_TRUE(log_sink_start(pipe_fds[1]));
	for (int i = 0; i < 5000; i++)
		CU_ASSERT_TRUE(
			log_sink_put(i % 2 == 0 ? LOG_ROUTINE : LOG_FAILURE,
				     line, sizeof(line)));
	log_sink_stop();
	close(pipe_fds[0]);
}

static const unit_test_t tests[] = {
	{ "rate limit", test_rate_limit },
	{ "lines arrive", test_lines_arrive },
	{ "blocked reader", test_blocked_reader },
};

int main(void)
{
	signal(SIGPIPE, SIG_IGN);
	return unit_run("log_sink", tests, ARRAY_SIZE(tests));
}
