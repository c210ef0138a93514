#ifndef WISTERIA_DAEMON_FLEET_METRICS_H
#define WISTERIA_DAEMON_FLEET_METRICS_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/http/http_server.h"

/* Serves /metrics and /healthz on the event loop of a fleet process. */
typedef struct {
	http_server_handler_t handler;
	http_server_t server;
} fleet_metrics_t;

bool fleet_metrics_init(fleet_metrics_t *metrics, uv_loop_t *loop,
			const char *address, err_t *err) ATTR_WARN_UNUSED;
void fleet_metrics_close(fleet_metrics_t *metrics) ATTR_NONNULL_ALL;

#endif
