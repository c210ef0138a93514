#ifndef WISTERIA_ENTRY_HTTP_FRONT_H
#define WISTERIA_ENTRY_HTTP_FRONT_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/entry/entry.h"

/* The HTTP server for callers. */
typedef struct http_front_t http_front_t;

http_front_t *http_front_new(const char *listen, unsigned threads,
			     entry_t *entry, err_t *err) ATTR_WARN_UNUSED;
void http_front_drain(http_front_t *front) ATTR_NONNULL_ALL;
void http_front_close(http_front_t *front) ATTR_NONNULL_ALL;
void http_front_free(http_front_t *front);

#endif
