#ifndef WISTERIA_BASE_LOG_SINK_H
#define WISTERIA_BASE_LOG_SINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"

/* Bytes that wait for a reader of the logs that does not read. */
#define LOG_SINK_BYTES_MAX (256u << 10)
/* Lines of one class that a second may have; both stay under 1 MB a second. */
#define LOG_ROUTINE_LINES_MAX 1000
#define LOG_FAILURE_LINES_MAX 1000

/* Routine lines give way before those that tell of failures. */
typedef enum {
	LOG_ROUTINE,
	LOG_FAILURE,
	LOG_CLASSES
} log_class_t;

/* How many lines of each class the present second has had. */
typedef struct {
	clock_ms_t second_ms;
	uint32_t lines[LOG_CLASSES];
	uint64_t dropped[LOG_CLASSES]; /* not reported yet */
} log_budget_t;

bool log_budget_take(log_budget_t *budget, log_class_t class_,
		     clock_ms_t now) ATTR_NONNULL_ALL;

bool log_sink_start(int fd) ATTR_WARN_UNUSED;
bool log_sink_put(log_class_t class_, const char *line,
		  size_t len) ATTR_NONNULL_ALL;
void log_sink_stop(void);

#endif
