#ifndef WISTERIA_BASE_LOG_SINK_H
#define WISTERIA_BASE_LOG_SINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"

/* Most bytes kept pending while the reader of the logs does not read. */
#define LOG_SINK_PENDING_BYTES_MAX (256u << 10)
/*
 * Most lines of one class per second; with lines of up to 1000 bytes, each
 * class stays within 1 MB/s.
 */
#define LOG_ROUTINE_LINES_PER_SECOND_MAX 1000
#define LOG_FAILURE_LINES_PER_SECOND_MAX 1000

/*
 * The classes have separate rate limits, so that failure lines are not dropped
 * because of many routine lines.
 */
typedef enum {
	LOG_ROUTINE,
	LOG_FAILURE,
	LOG_CLASS_COUNT
} log_class_t;

/* The number of lines of each class in the current second. */
typedef struct {
	clock_ms_t window_start_ms;
	uint32_t lines[LOG_CLASS_COUNT];
	uint64_t dropped[LOG_CLASS_COUNT]; /* not reported yet */
} log_limiter_t;

bool log_limiter_allow(log_limiter_t *limiter, log_class_t class_,
		       clock_ms_t now) ATTR_NONNULL_ALL;

bool log_sink_start(int fd) ATTR_WARN_UNUSED;
bool log_sink_put(log_class_t class_, const char *line,
		  size_t len) ATTR_NONNULL_ALL;
void log_sink_stop(void);

#endif
