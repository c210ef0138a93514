#ifndef WISTERIA_HTTP_HEAD_WATCH_H
#define WISTERIA_HTTP_HEAD_WATCH_H

#include <stdbool.h>
#include <stddef.h>

#include "wisteria/base/macros_defs.h"

/* Whether the head of a response is complete; initialized with zeros. */
typedef struct {
	bool is_interim;
	bool is_complete;
} head_watch_t;

bool head_watch_line(head_watch_t *watch, const char *line,
		     size_t len) ATTR_NONNULL_ALL;

#endif
