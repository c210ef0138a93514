/* Unit tests of the bounds on logs and of a reader that does not read. */
#include "unit.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "wisteria/base/log_sink.h"

static void test_budget(void)
{
	log_budget_t budget = { 0 };

	for (int i = 0; i < LOG_ROUTINE_LINES_MAX; i++)
		CU_ASSERT_TRUE(log_budget_take(&budget, LOG_ROUTINE, 5));
	CU_ASSERT_FALSE(log_budget_take(&budget, LOG_ROUTINE, 900));
	CU_ASSERT_TRUE(log_budget_take(&budget, LOG_FAILURE, 900));
	CU_ASSERT_EQUAL(budget.dropped[LOG_ROUTINE], 1);
	CU_ASSERT_TRUE(log_budget_take(&budget, LOG_ROUTINE, 1005));
}

static void test_lines_arrive(void)
{
	char text[64] = "";
	int ends[2];

	CU_ASSERT_EQUAL(pipe(ends), 0);
	CU_ASSERT_FALSE(log_sink_put(LOG_ROUTINE, "no\n", 3));
	CU_ASSERT_TRUE(log_sink_start(ends[1]));
	CU_ASSERT_TRUE(log_sink_put(LOG_ROUTINE, "one\n", 4));
	CU_ASSERT_TRUE(log_sink_put(LOG_FAILURE, "two\n", 4));
	log_sink_stop();
	CU_ASSERT_EQUAL(read(ends[0], text, sizeof(text) - 1), 8);
	CU_ASSERT_STRING_EQUAL(text, "one\ntwo\n");
	close(ends[0]);
	close(ends[1]);
}

/*
 * A reader that does not read: every line is taken, memory stays bounded, and
 * a stop does not hang.  The test itself would hang if a line waited.
 */
static void test_a_reader_that_does_not_read(void)
{
	char line[1000];
	int ends[2];

	memset(line, 'x', sizeof(line));
	line[sizeof(line) - 1] = '\n';
	CU_ASSERT_EQUAL(pipe(ends), 0);
	CU_ASSERT_TRUE(log_sink_start(ends[1]));
	for (int i = 0; i < 5000; i++)
		CU_ASSERT_TRUE(
			log_sink_put(i % 2 == 0 ? LOG_ROUTINE : LOG_FAILURE,
				     line, sizeof(line)));
	log_sink_stop();
	close(ends[0]);
}

static const unit_test_t tests[] = {
	{ "budget", test_budget },
	{ "lines arrive", test_lines_arrive },
	{ "a reader that does not read", test_a_reader_that_does_not_read },
};

int main(void)
{
	signal(SIGPIPE, SIG_IGN);
	return unit_run("log_sink", tests, ARRAY_SIZE(tests));
}
