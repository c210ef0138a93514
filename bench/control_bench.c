/*
 * Measures the control group: the time from the acceptance of an order until it
 * is in force everywhere, the time until orders are accepted again after the
 * leader is killed, the restart with a long log, and the bytes per second of
 * one daemon.  The bounds are those of the target.
 */
#include <stdio.h>
#include <string.h>

#include "bench_stats.h"
#include "harness/control_rig.h"

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"

#define DAEMONS 24
#define CHANGES 200
#define IN_FORCE_BOUND_MS 6000
#define FAILOVERS 10
#define FAILOVER_BOUND_MS 3000
#define LONG_LOG_CHANGES 10000
#define BYTES_WINDOW_MS 10000
#define BYTES_BOUND 2048
#define SETTLE_MS 3000

static harness_t harness;

typedef struct {
	control_rig_t *rig;
	uint64_t revision;
} in_force_wait_t;

static clock_ms_t now_ms(void)
{
	return clock_now(&clock_monotonic);
}

static bool is_in_force(void *user)
{
	const in_force_wait_t *wait = user;

	for (size_t i = 0; i < wait->rig->daemon_count; i++)
		if (control_rig_revision(wait->rig->daemons[i]) <
		    wait->revision)
			return false;
	return true;
}

static void require(bool holds, const char *what)
{
	if (!holds)
		g_error("control_bench: %s", what);
}

static void start_group(control_rig_t *rig, size_t daemons)
{
	char name[HARNESS_NAME_BYTES];

	control_rig_init(rig, &harness, 3, 3, false);
	require(control_rig_start_all(rig), "the group did not start");
	for (size_t i = 0; i < daemons; i++) {
		snprintf(name, sizeof(name), "daemon-%zu", i + 1);
		control_rig_add_daemon(rig, name, 0, rig->control_count);
	}
}

static uint64_t expected_revision(const control_rig_t *rig)
{
	return RIG_FIRST_REVISION + rig->orders;
}

static void wait_in_force(control_rig_t *rig)
{
	in_force_wait_t wait = { rig, expected_revision(rig) };

	require(control_rig_run_until(rig, is_in_force, &wait, HARNESS_WAIT_MS),
		"a change did not come in force");
}

static void print_stats(const char *what, GArray *samples, double bound)
{
	bench_stats_t stats = bench_stats(samples);

	printf("%-44s n=%zu p50=%.0f p95=%.0f max=%.0f ms (bound %.0f: %s)\n",
	       what, stats.count, stats.p50, stats.p95, stats.max, bound,
	       stats.max <= bound ? "met" : "MISSED");
	fflush(stdout);
}

/*
 * Measures the time from the response to the operator until every daemon has
 * the change and a valid lease.
 */
static void measure_in_force(control_rig_t *rig, bool kill_leaders)
{
	GArray *samples = bench_samples_new();

	for (size_t i = 0; i < CHANGES; i++) {
		clock_ms_t accepted_ms;
		size_t leader = control_rig_leader(rig);
		bool kill = kill_leaders && i % 20 == 10;

		require(control_rig_submit_change(rig, i % 3).outcome ==
				ORDER_APPLIED,
			"an order was not applied");
		accepted_ms = now_ms();
		if (kill)
			harness_kill(rig->controls[leader].process);
		wait_in_force(rig);
		bench_add_sample(samples, (double)(now_ms() - accepted_ms));
		if (kill)
			control_rig_start(rig, leader);
	}
	print_stats(kill_leaders ? "accepted to in force, leader killed 10x"
				 : "accepted to in force",
		    samples, IN_FORCE_BOUND_MS);
	g_array_unref(samples);
}

static void measure_failover(control_rig_t *rig)
{
	GArray *samples = bench_samples_new();

	for (size_t i = 0; i < FAILOVERS; i++) {
		size_t leader = control_rig_leader(rig);
		clock_ms_t killed_ms;

		harness_kill(rig->controls[leader].process);
		killed_ms = now_ms();
		require(control_rig_submit_change(rig, (leader + 1) % 3)
					.outcome == ORDER_APPLIED,
			"no order after the leader was lost");
		bench_add_sample(samples, (double)(now_ms() - killed_ms));
		control_rig_start(rig, leader);
		control_rig_run_for(rig, SETTLE_MS);
	}
	print_stats("orders accepted again, leader killed", samples,
		    FAILOVER_BOUND_MS);
	g_array_unref(samples);
}

/*
 * The counters are those of this process, which runs all daemons; no orders are
 * sent meanwhile.
 */
static void measure_bytes(control_rig_t *rig)
{
	uint64_t before;
	uint64_t bytes;
	double per_daemon;

	wait_in_force(rig);
	before = counter_get(COUNTER_BYTES_IN) + counter_get(COUNTER_BYTES_OUT);
	control_rig_run_for(rig, BYTES_WINDOW_MS);
	bytes = counter_get(COUNTER_BYTES_IN) + counter_get(COUNTER_BYTES_OUT) -
		before;
	per_daemon = (double)bytes * 1000 / BYTES_WINDOW_MS /
		     (double)rig->daemon_count;
	printf("%-44s %.0f B/s each, both ways, n=%zu (bound %d: %s)\n",
	       "lease alone, no endpoints", per_daemon, rig->daemon_count,
	       BYTES_BOUND, per_daemon <= BYTES_BOUND ? "met" : "MISSED");
	fflush(stdout);
}

static void measure_restart(void)
{
	control_rig_t rig;
	clock_ms_t start_ms;

	start_group(&rig, 0);
	start_ms = now_ms();
	while (rig.orders < LONG_LOG_CHANGES)
		require(control_rig_submit_change(&rig, 0).outcome ==
				ORDER_APPLIED,
			"an order was not applied");
	printf("%-44s %.0f/s, one after the other\n", "orders",
	       (double)LONG_LOG_CHANGES * 1000 / (double)(now_ms() - start_ms));
	for (size_t i = 0; i < rig.control_count; i++)
		harness_kill(rig.controls[i].process);
	start_ms = now_ms();
	for (size_t i = 0; i < rig.control_count; i++)
		control_rig_start(&rig, i);
	control_rig_add_daemon(&rig, "after-restart", 0, rig.control_count);
	wait_in_force(&rig);
	printf("%-44s %lld ms\n", "restart to serving, 10,000 changes in log",
	       (long long)(now_ms() - start_ms));
	control_rig_finish(&rig);
}

int main(void)
{
	control_rig_t rig;

	harness_init(&harness, "control_bench");
	printf("3 control instances, %d daemons, loopback\n", DAEMONS);
	start_group(&rig, DAEMONS);
	wait_in_force(&rig);
	measure_bytes(&rig);
	measure_in_force(&rig, false);
	measure_in_force(&rig, true);
	measure_failover(&rig);
	control_rig_finish(&rig);
	measure_restart();
	harness_finish(&harness, true);
	return 0;
}
