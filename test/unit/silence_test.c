/* Unit tests of the silence limit, with simulated pauses of streams. */
#include "unit.h"

#include <glib.h>

#include "wisteria/gateway/silence.h"

static void test_limits(void)
{
	silence_t silence = { 0 };
	clock_ms_t unknown = silence_limit_ms(&silence);

	silence_add_pause(&silence, 5);
	CU_ASSERT(silence_limit_ms(&silence) < unknown);
	CU_ASSERT(silence_limit_ms(&silence) >= 100);
	for (int i = 0; i < 1000; i++)
		silence_add_pause(&silence, 5000);
	CU_ASSERT_EQUAL(silence_limit_ms(&silence), unknown);
}

/* Draws a pause: uniform from "low" to "high" ms, rarely twice "high". */
static clock_ms_t draw_pause(GRand *random, gint32 low, gint32 high)
{
	if (g_rand_int_range(random, 0, 1000) == 0)
		return 2 * high;
	return g_rand_int_range(random, low, high);
}

/*
 * Pauses of a lightly loaded pipeline, then of one with twice the load: less
 * than one in a hundred exceeds the limit and raises a false alarm.  Under
 * light load the limit is below 200 ms, so that the loss of the pipeline would
 * be detected in time.
 */
static void test_limit_under_load(void)
{
	GRand *random = g_rand_new_with_seed(20261204);
	silence_t silence = { 0 };
	unsigned false_alarms = 0;

	for (int i = 0; i < 4000; i++) {
		clock_ms_t pause = draw_pause(random, 35, 75);

		false_alarms += i > 100 && pause > silence_limit_ms(&silence);
		silence_add_pause(&silence, pause);
	}
	CU_ASSERT(silence_limit_ms(&silence) < 200);
	for (int i = 0; i < 4000; i++) {
		clock_ms_t pause = draw_pause(random, 70, 150);

		false_alarms += pause > silence_limit_ms(&silence);
		silence_add_pause(&silence, pause);
	}
	CU_ASSERT(false_alarms < 80);
	g_rand_free(random);
}

static const unit_test_t tests[] = {
	{ "limits", test_limits },
	{ "limit under load", test_limit_under_load },
};

int main(void)
{
	return unit_run("silence", tests, ARRAY_SIZE(tests));
}
