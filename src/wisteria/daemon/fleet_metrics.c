/* Counters and histograms of a fleet process in the Prometheus text format. */
#include "wisteria/daemon/fleet_metrics.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/histogram.h"
#include "wisteria/base/log.h"
#include "wisteria/http/http_message.h"

#define METRICS_TYPE "Content-Type: text/plain; version=0.0.4\r\n"

static const http_limits_t limits = {
	.header_bytes = 8u << 10,
	.body_bytes = 1u << 10,
	.header_ms = 3000,
	.idle_ms = 60000,
};

static void show_metrics(http_conn_t *conn)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);

	if (out == NULL) {
		LOG_WARN("metrics_failed", "reason=no_memory");
		http_conn_reply(conn, 500, "", "", 0);
		return;
	}
	counter_print(out);
	histogram_print(out);
	fclose(out);
	http_conn_reply(conn, 200, METRICS_TYPE, text, len);
	free(text);
}

static void on_request(http_server_handler_t *handler, http_conn_t *conn)
{
	const char *target = http_message_target(&conn->reader.message);

	(void)handler;
	if (strcmp(target, "/metrics") == 0)
		show_metrics(conn);
	else if (strcmp(target, "/healthz") == 0)
		http_conn_reply(conn, 200, "", "ok\n", 3);
	else
		http_conn_reply(conn, 404, "", "no such page\n", 13);
}

/* Listens on "address"; returns false if it cannot be bound. */
bool fleet_metrics_init(fleet_metrics_t *metrics, uv_loop_t *loop,
			const char *address, err_t *err)
{
	metrics->handler.request = on_request;
	return http_server_init(&metrics->server, loop, address,
				&clock_monotonic, &limits, &metrics->handler,
				err);
}

/* Stops listening. */
void fleet_metrics_close(fleet_metrics_t *metrics)
{
	http_server_close(&metrics->server);
}
