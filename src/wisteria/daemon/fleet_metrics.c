/*
 * What a fleet process tells operators: counters and histograms in the
 * Prometheus text format, the parts of prompts that are refused, the limits that
 * endpoints name and, at an entry, where a request would go.
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
#include "wisteria/daemon/fleet_where.h"
#include "wisteria/fleet/part_guard.h"
#include "wisteria/http/http_message.h"

#define WHERE_PATH "/where"
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
	clock_ms_t left_ms =
		part_guard_refused_ms(metrics->views.parts, record->part,
				      clock_now(metrics->views.clock));
	char id[17];

	g_snprintf(id, sizeof(id), "%" G_GINT64_MODIFIER "x", record->part);
	return json_pack("{s:s, s:s, s:I, s:i}", "part", id, "state",
			 left_ms > 0			 ? "refused"
			 : record->refused_until_ms != 0 ? "allowed again"
							 : "watched",
			 "left_s", (json_int_t)(left_ms + 999) / 1000,
			 "crashes", (int)record->crash_count);
}

/* Replies with the list "rows" as "name", and frees it. */
static void reply_rows(http_conn_t *conn, const char *name, json_t *rows)
{
	json_t *body = json_pack("{s:o}", name, rows);
	char *text = json_dumps(body, JSON_INDENT(2));

	http_conn_reply(conn, 200, "Content-Type: application/json\r\n", text,
			strlen(text));
	free(text);
	json_decref(body);
}

static void show_parts(const fleet_metrics_t *metrics, http_conn_t *conn)
{
	const part_guard_t *parts = metrics->views.parts;
	json_t *rows = json_array();

	for (uint32_t i = 0; i < parts->count; i++)
		json_array_append_new(
			rows, describe_part(metrics, &parts->records[i]));
	reply_rows(conn, "parts", rows);
}

static json_t *describe_limit(const request_limit_t *limit, clock_ms_t now)
{
	char per_s[32];

	g_snprintf(per_s, sizeof(per_s), "%.6g", limit->per_s);
	return json_pack("{s:s, s:s, s:I}", "endpoint", limit->id, "per_s",
			 per_s, "seen_s",
			 (json_int_t)(now - limit->seen_ms) / 1000);
}

static void show_limits(const fleet_metrics_t *metrics, http_conn_t *conn)
{
	clock_ms_t now = clock_now(metrics->views.clock);
	json_t *rows = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, metrics->views.limits->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((const request_limit_t *)value)->per_s >= 0)
			json_array_append_new(rows, describe_limit(value, now));
	reply_rows(conn, "limits", rows);
}

static void on_request(http_server_handler_t *handler, http_conn_t *conn)
{
	const char *target = http_message_target(&conn->reader.message);
	const gateway_t *gateway =
		CONTAINER_OF(handler, fleet_metrics_t, handler)->views.gateway;

	if (strcmp(target, "/metrics") == 0)
		show_metrics(conn);
	else if (strcmp(target, "/healthz") == 0)
		http_conn_reply(conn, 200, "", "ok\n", 3);
	else if (strcmp(target, "/v1/parts") == 0)
		show_parts(CONTAINER_OF(handler, fleet_metrics_t, handler),
			   conn);
	else if (strcmp(target, "/v1/limits") == 0)
		show_limits(CONTAINER_OF(handler, fleet_metrics_t, handler),
			    conn);
	else if (gateway != NULL && strcmp(target, WHERE_PATH) == 0)
		fleet_where_reply(gateway, "", conn);
	else if (gateway != NULL && g_str_has_prefix(target, WHERE_PATH "?"))
		fleet_where_reply(gateway, target + strlen(WHERE_PATH "?"),
				  conn);
	else
		http_conn_reply(conn, 404, "", "no such page\n", 13);
}

/* Listens on "address"; returns false if it cannot be bound. */
bool fleet_metrics_init(fleet_metrics_t *metrics, uv_loop_t *loop,
			const char *address, const fleet_views_t *views,
			err_t *err)
{
	metrics->views = *views;
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
