#ifndef WISTERIA_DAEMON_FLEET_METRICS_H
#define WISTERIA_DAEMON_FLEET_METRICS_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/part_guard_defs.h"
#include "wisteria/http/http_server.h"

/* Serves /metrics, /healthz and /v1/parts on the loop of a fleet process. */
typedef struct {
	http_server_handler_t handler;
	http_server_t server;
	const part_guard_t *parts;
	const clock_source_t *parts_clock;
} fleet_metrics_t;

bool fleet_metrics_init(fleet_metrics_t *metrics, uv_loop_t *loop,
			const char *address, const part_guard_t *parts,
			const clock_source_t *parts_clock,
			err_t *err) ATTR_WARN_UNUSED;
void fleet_metrics_close(fleet_metrics_t *metrics) ATTR_NONNULL_ALL;

#endif
