#ifndef WISTERIA_DAEMON_FLEET_METRICS_H
#define WISTERIA_DAEMON_FLEET_METRICS_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/part_guard_defs.h"
#include "wisteria/fleet/request_limits.h"
#include "wisteria/gateway/gateway_defs.h"
#include "wisteria/http/http_server.h"

/* What a fleet process shows to operators, and the clock by which it is kept. */
typedef struct {
	const part_guard_t *parts;
	const request_limits_t *limits;
	const gateway_t *gateway; /* NULL: the process is no entry */
	const clock_source_t *clock;
} fleet_views_t;

/* Serves /metrics, /healthz and the views on the loop of a fleet process. */
typedef struct {
	http_server_handler_t handler;
	http_server_t server;
	fleet_views_t views;
} fleet_metrics_t;

bool fleet_metrics_init(fleet_metrics_t *metrics, uv_loop_t *loop,
			const char *address, const fleet_views_t *views,
			err_t *err) ATTR_WARN_UNUSED;
void fleet_metrics_close(fleet_metrics_t *metrics) ATTR_NONNULL_ALL;

#endif
