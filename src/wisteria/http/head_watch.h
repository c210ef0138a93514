#ifndef WISTERIA_HTTP_HEAD_WATCH_H
#define WISTERIA_HTTP_HEAD_WATCH_H

#include <stdbool.h>
#include <stddef.h>

#include "wisteria/base/macros_defs.h"

/* What is known of the head of a response; initialized with zeros. */
typedef struct {
	bool is_interim;
	bool is_complete;
	bool is_malformed;    /* a line is not a field */
	bool ends_with_close; /* only the connection's end delimits the body */
} head_watch_t;

bool head_watch_line(head_watch_t *watch, const char *line,
		     size_t len) ATTR_NONNULL_ALL;

#endif
