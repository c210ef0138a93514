/*
 * Plays the load of many entries before one fast endpoint that has room for few
 * of their requests, and checks how many the endpoint must reject.  The others
 * go to slower endpoints with room for all.
 */
#include "unit.h"

#include <glib.h>

#include "wisteria/gateway/capacity_share.h"
#include "wisteria/gateway/usage.h"

#define ENTRIES 105
#define REQUEST_TOKENS 900.0
#define CAPACITY (90 * REQUEST_TOKENS)
#define SERVICE_MS 5000
#define SUM_INTERVAL_MS 500
/* From the reports of the entries to the arrival of their sum. */
#define SUM_DELAY_MS 100
#define STEP_MS 5
#define FAST "fast"

typedef struct {
	clock_ms_t end_ms;
	unsigned entry;
} run_t;

typedef struct {
	GRand *random;
	usage_t usages[ENTRIES];
	GArray *runs; /* of run_t, at the fast endpoint */
	double pending_sum;
	bool shares; /* the entries divide the free capacity */
	unsigned requests;
	unsigned rejected;
	double used_ms; /* integral of the used tokens */
	clock_ms_t now;
} play_t;

static void begin(play_t *play, bool shares)
{
	*play = (play_t){ .random = g_rand_new_with_seed(1),
			  .shares = shares,
			  .now = 100000 };
	play->runs = g_array_new(FALSE, FALSE, sizeof(run_t));
	for (unsigned i = 0; i < ENTRIES; i++)
		usage_init(&play->usages[i]);
}

static void end(play_t *play)
{
	for (unsigned i = 0; i < ENTRIES; i++)
		usage_finish(&play->usages[i]);
	g_array_unref(play->runs);
	g_rand_free(play->random);
}

static bool may_use_fast(play_t *play, usage_t *usage)
{
	const capacity_view_t view = {
		.capacity = CAPACITY,
		.used = usage_tokens(usage, FAST, play->now),
		.own_new = usage_own_new_tokens(usage, FAST, play->now),
	};
	const capacity_load_t load = {
		.entries = ENTRIES,
		.own_arriving = usage_arriving_tokens(usage, REQUEST_TOKENS),
	};

	if (view.used + REQUEST_TOKENS > CAPACITY)
		return false;
	return !play->shares ||
	       g_rand_double(play->random) < capacity_share_odds(&view, &load);
}

static void request(play_t *play, unsigned entry)
{
	usage_t *usage = &play->usages[entry];
	const run_t run = { play->now + SERVICE_MS, entry };

	play->requests++;
	if (!may_use_fast(play, usage)) {
		usage_count_begun(usage, REQUEST_TOKENS);
		return;
	}
	usage_count_begun(usage, REQUEST_TOKENS);
	if ((play->runs->len + 1) * REQUEST_TOKENS > CAPACITY) {
		play->rejected++;
		return;
	}
	usage_begin(usage, FAST, REQUEST_TOKENS);
	g_array_append_val(play->runs, run);
}

static void end_runs(play_t *play)
{
	guint i = 0;

	while (i < play->runs->len) {
		run_t run = g_array_index(play->runs, run_t, i);

		if (run.end_ms > play->now) {
			i++;
			continue;
		}
		usage_end(&play->usages[run.entry], FAST, REQUEST_TOKENS);
		g_array_remove_index_fast(play->runs, i);
	}
}

static void report(play_t *play)
{
	play->pending_sum = 0;
	for (unsigned i = 0; i < ENTRIES; i++) {
		size_t count;
		msg_fleet_use_t *uses = usage_report(&play->usages[i], &count);

		for (size_t j = 0; j < count; j++)
			play->pending_sum += uses[j].tokens;
		g_free(uses);
	}
}

static void distribute_sum(play_t *play)
{
	const msg_fleet_use_t use = { .id = FAST, .tokens = play->pending_sum };
	const msg_fleet_load_t load = { .entry = "",
					.uses = &use,
					.use_count = 1 };

	for (unsigned i = 0; i < ENTRIES; i++)
		usage_update(&play->usages[i], &load, play->now);
}

/* Plays "duration_ms" with "per_s" requests a second over all entries. */
static void play_for(play_t *play, clock_ms_t duration_ms, double per_s)
{
	clock_ms_t until = play->now + duration_ms;

	for (; play->now < until; play->now += STEP_MS) {
		clock_ms_t phase = play->now % SUM_INTERVAL_MS;

		end_runs(play);
		if (phase == 0)
			report(play);
		if (phase == SUM_DELAY_MS)
			distribute_sum(play);
		for (unsigned i = 0; i < ENTRIES; i++)
			if (g_rand_double(play->random) <
			    per_s * STEP_MS / 1000 / ENTRIES)
				request(play, i);
		play->used_ms += play->runs->len * REQUEST_TOKENS * STEP_MS;
	}
}

/* Returns the share of requests that the fast endpoint rejects. */
static double steady_rejections(bool shares, double *utilization)
{
	play_t play;
	double rejected;

	begin(&play, shares);
	play_for(&play, 20000, 330);
	play.requests = 0;
	play.rejected = 0;
	play.used_ms = 0;
	play_for(&play, 40000, 330);
	rejected = (double)play.rejected / play.requests;
	*utilization = play.used_ms / 40000 / CAPACITY;
	end(&play);
	return rejected;
}

/*
 * In a steady load far above the room of the fast endpoint, it is used nearly
 * to the full and rejects few requests.
 */
static void test_full_endpoint_is_shared(void)
{
	double utilization;
	double rejected = steady_rejections(false, &utilization);
	double shared_utilization;
	double shared = steady_rejections(true, &shared_utilization);

	printf("\n    rejected %.3f -> %.3f, utilization %.2f -> %.2f ",
	       rejected, shared, utilization, shared_utilization);
	CU_ASSERT(shared < rejected / 10);
	CU_ASSERT(shared < 0.02);
	CU_ASSERT(shared_utilization > 0.8);
}

/*
 * All entries have just started, and all streams that were cut come back at
 * once, 16 at each entry, while nobody knows what the others use.
 */
static unsigned restart_rejections(bool shares)
{
	unsigned rejected;
	play_t play;

	begin(&play, shares);
	for (unsigned round = 0; round < 16; round++) {
		for (unsigned i = 0; i < ENTRIES; i++)
			request(&play, i);
		play.now += STEP_MS;
	}
	rejected = play.rejected;
	end(&play);
	return rejected;
}

static void test_return_after_a_restart_is_shared(void)
{
	unsigned rejected = restart_rejections(false);
	unsigned shared = restart_rejections(true);

	printf("\n    rejected %u -> %u of %d ", rejected, shared,
	       16 * ENTRIES);
	CU_ASSERT(shared < rejected / 10);
	CU_ASSERT(shared < 16 * ENTRIES / 20);
}

static void test_odds(void)
{
	capacity_view_t view = { .capacity = 1000, .used = 0 };
	capacity_load_t load = { .entries = 10, .own_arriving = 100 };

	CU_ASSERT_EQUAL(capacity_share_odds(&view, &load), 1);
	view.used = 500;
	CU_ASSERT_DOUBLE_EQUAL(capacity_share_odds(&view, &load), 0.5, 1e-9);
	view.own_new = 50;
	CU_ASSERT_DOUBLE_EQUAL(capacity_share_odds(&view, &load), 0.05, 1e-9);
	view.used = 1000;
	CU_ASSERT_EQUAL(capacity_share_odds(&view, &load), 0);
	/* An entry that is alone divides with nobody. */
	view = (capacity_view_t){ .capacity = 1000, .own_new = 900 };
	load.entries = 1;
	CU_ASSERT_EQUAL(capacity_share_odds(&view, &load), 1);
	/* More capacity never lowers the odds. */
	load.entries = 40;
	for (double before = 0; view.capacity < 9000; view.capacity += 100) {
		double odds = capacity_share_odds(&view, &load);

		CU_ASSERT(odds >= before);
		before = odds;
	}
}

static const unit_test_t tests[] = {
	{ "odds", test_odds },
	{ "full endpoint is shared", test_full_endpoint_is_shared },
	{ "return after a restart is shared",
	  test_return_after_a_restart_is_shared },
};

int main(void)
{
	return unit_run("capacity_share", tests, ARRAY_SIZE(tests));
}
