#ifndef WISTERIA_ADMIN_METRICS_HTTP_H
#define WISTERIA_ADMIN_METRICS_HTTP_H

#include <stdbool.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"

/* The HTTP listener for /metrics, /healthz and /readyz. */
typedef struct metrics_http_t metrics_http_t;

metrics_http_t *metrics_http_new(const char *address,
				 err_t *err) ATTR_WARN_UNUSED;
void metrics_http_free(metrics_http_t *metrics);
unsigned metrics_http_port(const metrics_http_t *metrics) ATTR_NONNULL_ALL;
void metrics_http_set_ready(metrics_http_t *metrics,
			    bool is_ready) ATTR_NONNULL_ALL;

#endif
