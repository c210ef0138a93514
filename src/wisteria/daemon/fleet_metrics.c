/*
 * What a fleet process tells operators: counters and histograms in the
 * Prometheus text format, and the parts of prompts that are refused.
 */
#include "wisteria/daemon/fleet_metrics.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/histogram.h"
#include "wisteria/base/log.h"
#include "wisteria/fleet/part_guard.h"
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

static json_t *describe_part(const fleet_metrics_t *metrics,
			     const part_record_t *record)
{
	clock_ms_t left_ms = part_guard_refused_ms(
		metrics->parts, record->part, clock_now(metrics->parts_clock));
	char id[17];

	g_snprintf(id, sizeof(id), "%" G_GINT64_MODIFIER "x", record->part);
	return json_pack("{s:s, s:s, s:I, s:i}", "part", id, "state",
			 left_ms > 0			 ? "refused"
			 : record->refused_until_ms != 0 ? "allowed again"
							 : "watched",
			 "left_s", (json_int_t)(left_ms + 999) / 1000,
			 "crashes", (int)record->crash_count);
}

static void show_parts(const fleet_metrics_t *metrics, http_conn_t *conn)
{
	json_t *body = json_object();
	json_t *rows = json_array();
	char *text;

	for (uint32_t i = 0; i < metrics->parts->count; i++)
		json_array_append_new(
			rows,
			describe_part(metrics, &metrics->parts->records[i]));
	json_object_set_new(body, "parts", rows);
	text = json_dumps(body, JSON_INDENT(2));
	http_conn_reply(conn, 200, "Content-Type: application/json\r\n", text,
			strlen(text));
	free(text);
	json_decref(body);
}

static void on_request(http_server_handler_t *handler, http_conn_t *conn)
{
	const char *target = http_message_target(&conn->reader.message);

	if (strcmp(target, "/metrics") == 0)
		show_metrics(conn);
	else if (strcmp(target, "/healthz") == 0)
		http_conn_reply(conn, 200, "", "ok\n", 3);
	else if (strcmp(target, "/v1/parts") == 0)
		show_parts(CONTAINER_OF(handler, fleet_metrics_t, handler),
			   conn);
	else
		http_conn_reply(conn, 404, "", "no such page\n", 13);
}

/*
 * Listens on "address"; returns false if it cannot be bound.  "parts" is shown
 * as of "parts_clock", by which it is kept.
 */
bool fleet_metrics_init(fleet_metrics_t *metrics, uv_loop_t *loop,
			const char *address, const part_guard_t *parts,
			const clock_source_t *parts_clock, err_t *err)
{
	metrics->parts = parts;
	metrics->parts_clock = parts_clock;
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
