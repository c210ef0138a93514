/*
 * The HTTP listener for monitoring: /metrics in the Prometheus text format,
 * /healthz, which returns 200 while the process runs, and /readyz, which
 * returns 200 while it accepts new work and 503 otherwise.
 */
#include "wisteria/admin/metrics_http.h"

#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "wisteria/admin/admin_http.h"
#include "wisteria/base/counters.h"

#define METRICS_TYPE "text/plain; version=0.0.4"

struct metrics_http_t {
	struct MHD_Daemon *daemon;
	atomic_bool is_ready;
};

typedef void (*page_t)(metrics_http_t *metrics,
		       admin_http_response_t *response);

static void show_metrics(metrics_http_t *metrics,
			 admin_http_response_t *response)
{
	size_t len = 0;
	FILE *out = open_memstream(&response->body, &len);

	(void)metrics;
	if (out == NULL)
		return;
	counter_print(out);
	fclose(out);
	response->type = METRICS_TYPE;
}

static void show_health(metrics_http_t *metrics,
			admin_http_response_t *response)
{
	(void)metrics;
	response->body = strdup("ok\n");
}

static void show_readiness(metrics_http_t *metrics,
			   admin_http_response_t *response)
{
	if (atomic_load(&metrics->is_ready)) {
		response->body = strdup("ready\n");
		return;
	}
	response->status = MHD_HTTP_SERVICE_UNAVAILABLE;
	response->body = strdup("not ready\n");
}

static const struct {
	const char *path;
	page_t show;
} pages[] = {
	{ "/metrics", show_metrics },
	{ "/healthz", show_health },
	{ "/readyz", show_readiness },
};

static page_t find_page(const char *path)
{
	for (size_t i = 0; i < ARRAY_SIZE(pages); i++)
		if (strcmp(pages[i].path, path) == 0)
			return pages[i].show;
	return NULL;
}

static enum MHD_Result on_request(void *owner,
				  struct MHD_Connection *connection,
				  const char *path, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **context)
{
	admin_http_response_t response = { .status = MHD_HTTP_OK,
					   .type = "text/plain" };
	page_t show = find_page(path);

	(void)version;
	(void)data;
	(void)context;
	*len = 0;
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0)
		response.status = MHD_HTTP_METHOD_NOT_ALLOWED;
	else if (show == NULL)
		response.status = MHD_HTTP_NOT_FOUND;
	else
		show(owner, &response);
	if (response.body == NULL)
		response.body = strdup("no such page\n");
	return admin_http_respond(connection, &response);
}

/* Listens on "address" (IP:PORT); /readyz returns 503 at first. */
metrics_http_t *metrics_http_new(const char *address, err_t *err)
{
	metrics_http_t *metrics = g_new0(metrics_http_t, 1);

	metrics->daemon =
		admin_http_start(address, on_request, NULL, metrics, err);
	if (metrics->daemon != NULL)
		return metrics;
	g_free(metrics);
	return NULL;
}

/* Stops listening; "metrics" may be NULL. */
void metrics_http_free(metrics_http_t *metrics)
{
	if (metrics == NULL)
		return;
	MHD_stop_daemon(metrics->daemon);
	g_free(metrics);
}

/* Sets whether the process accepts new work; may be called on any thread. */
void metrics_http_set_ready(metrics_http_t *metrics, bool is_ready)
{
	atomic_store(&metrics->is_ready, is_ready);
}

/* Returns the port of the listener. */
unsigned metrics_http_port(const metrics_http_t *metrics)
{
	return admin_http_port(metrics->daemon);
}
