/*
 * Monotonic time in milliseconds, used for all timeouts and leases.  Wall-clock
 * time is used only in logs and traces, for display and as the incarnation of a
 * process.
 */
#include "wisteria/base/clock.h"

#include <time.h>

static clock_ms_t read_monotonic(const clock_source_t *self)
{
	struct timespec now;

	(void)self;
	clock_gettime(CLOCK_MONOTONIC, &now);
	return (clock_ms_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

const clock_source_t clock_monotonic = { .now = read_monotonic };

static clock_ms_t read_boottime(const clock_source_t *self)
{
	struct timespec now;

	(void)self;
	clock_gettime(CLOCK_BOOTTIME, &now);
	return (clock_ms_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Advances while the machine is suspended, so that leases expire on time. */
const clock_source_t clock_boottime = { .now = read_boottime };

/* Returns the time of "clock" in milliseconds since an arbitrary start. */
clock_ms_t clock_now(const clock_source_t *clock)
{
	return clock->now(clock);
}
