#ifndef WISTERIA_BASE_CLOCK_DEFS_H
#define WISTERIA_BASE_CLOCK_DEFS_H

#include <stdint.h>

/* A monotonic time or a duration, in milliseconds. */
typedef int64_t clock_ms_t;

/* Later than any time of a clock; stands for "no deadline". */
#define CLOCK_NEVER_MS INT64_MAX

/*
 * A source of monotonic time.  Modules that need the time hold a pointer to
 * one, so that a test can supply its own.
 */
typedef struct clock_source_t {
	clock_ms_t (*now)(const struct clock_source_t *self);
} clock_source_t;

#endif
