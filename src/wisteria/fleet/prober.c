/*
 * Probes the pace of engines and checks whether they are reachable.  A
 * heartbeat shows that an engine runs, not that it is fast, and a slow engine
 * delays every token of its pipelines.  Missing heartbeats reveal an ended
 * engine after REGISTRY_SILENCE_MS, but the streams through it stop at the next
 * token.  Only the leader probes, once entries report that streams pause, and
 * sends the results to the others.
 */
#include "wisteria/fleet/prober.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/log.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/routes.h"

/* A pace above this is reported as slow; less may be a measuring error. */
#define REPORTED_PACE_MIN 1.2
/* A report lists the engine's models and its stalled requests. */
#define PROBER_REPORT_BYTES_MAX (256u << 10)

static void free_probe(gpointer data)
{
	probe_t *probe = data;

	if (probe->call != NULL)
		http_call_cancel(probe->call);
	g_free(probe);
}

/* Initializes a prober without probes. */
void prober_init(prober_t *prober, uv_loop_t *loop,
		 const fleet_dialect_t *dialect, const registry_t *registry,
		 const clock_source_t *clock, prober_handler_t *handler)
{
	prober->handler = handler;
	prober->loop = loop;
	prober->dialect = dialect;
	prober->registry = registry;
	prober->clock = clock;
	prober->probes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_probe);
}

/* Frees a prober and cancels its calls in progress. */
void prober_finish(prober_t *prober)
{
	g_hash_table_destroy(prober->probes);
}

/* Drops all probes; for an instance that is not the active leader. */
void prober_reset(prober_t *prober)
{
	g_hash_table_remove_all(prober->probes);
}

static probe_t *probe_of(http_call_handler_t *handler)
{
	return CONTAINER_OF(handler, probe_t, handler);
}

static void on_complete(http_call_handler_t *handler,
			const http_message_t *answer)
{
	probe_t *probe = probe_of(handler);
	engine_report_t report;

	probe->call = NULL;
	probe->attempts_left = 0;
	if (!probe->prober->dialect->read_probe(answer, &report)) {
		LOG_WARN("probe_unreadable", "endpoint=%s status=%u", probe->id,
			 answer->status);
		return;
	}
	if ((report.pace > REPORTED_PACE_MIN) !=
	    (probe->pace > REPORTED_PACE_MIN))
		LOG_INFO("pace_changed", "endpoint=%s pace=%.2f before=%.2f",
			 probe->id, report.pace, probe->pace);
	probe->pace = report.pace;
}

static void send_probe(probe_t *probe, const endpoint_t *endpoint,
		       clock_ms_t connect_ms)
{
	prober_t *prober = probe->prober;
	const http_call_limits_t limits = {
		.connect_ms = connect_ms,
		.body_bytes = PROBER_REPORT_BYTES_MAX,
	};
	GString *request = g_string_new(NULL);

	prober->dialect->write_probe(endpoint->address, request);
	probe->sent_ms = clock_now(prober->clock);
	probe->call = http_call_new(prober->loop, endpoint->address, request,
				    &limits, &probe->handler);
	g_string_free(request, TRUE);
}

/* Handles a failed attempt of a check: retries, or reports the engine. */
static void handle_failed_attempt(probe_t *probe)
{
	prober_t *prober = probe->prober;
	const endpoint_t *endpoint = registry_find(prober->registry, probe->id);

	bool is_late = clock_now(prober->clock) - probe->sent_ms >=
		       PROBER_CHECK_TIMEOUT_MS + PROBER_CHECK_MAX_DELAY_MS;

	if (is_late || endpoint == NULL ||
	    endpoint->incarnation != probe->incarnation)
		probe->attempts_left = 0;
	else if (--probe->attempts_left > 0)
		send_probe(probe, endpoint, PROBER_CHECK_TIMEOUT_MS);
	else
		prober->handler->unreachable(prober->handler, probe->id,
					     probe->incarnation);
}

/*
 * A failed probe of the pace leaves the engine usable: only checks and missing
 * heartbeats decide that.
 */
static void on_failed(http_call_handler_t *handler, http_call_stage_t stage,
		      const char *reason)
{
	probe_t *probe = probe_of(handler);

	probe->call = NULL;
	LOG_DEBUG("probe_failed", "endpoint=%s stage=%d reason=%s", probe->id,
		  (int)stage, reason);
	if (stage != HTTP_CALL_UNSENT)
		probe->attempts_left = 0;
	else if (probe->attempts_left > 0)
		handle_failed_attempt(probe);
}

static probe_t *probe_new(prober_t *prober, const endpoint_t *endpoint,
			  clock_ms_t now)
{
	probe_t *probe = g_new0(probe_t, 1);

	probe->handler.complete = on_complete;
	probe->handler.failed = on_failed;
	probe->prober = prober;
	probe->pace = 1;
	g_strlcpy(probe->id, endpoint->id, sizeof(probe->id));
	/* Spreads the probes of all engines over the interval. */
	probe->sent_ms = now - g_str_hash(probe->id) % PROBER_INTERVAL_MS;
	g_hash_table_insert(prober->probes, probe->id, probe);
	return probe;
}

static probe_t *find_or_add_probe(prober_t *prober, const endpoint_t *endpoint,
				  clock_ms_t now)
{
	probe_t *probe = g_hash_table_lookup(prober->probes, endpoint->id);

	if (probe == NULL)
		probe = probe_new(prober, endpoint, now);
	if (probe->incarnation != endpoint->incarnation) {
		probe->incarnation = endpoint->incarnation;
		probe->pace = 1;
	}
	return probe;
}

static void probe_if_due(prober_t *prober, const endpoint_t *endpoint,
			 clock_ms_t now)
{
	probe_t *probe = find_or_add_probe(prober, endpoint, now);

	if (probe->call != NULL && now - probe->sent_ms >= PROBER_TIMEOUT_MS) {
		http_call_cancel(probe->call);
		probe->call = NULL;
	}
	if (probe->call != NULL || now - probe->sent_ms < PROBER_INTERVAL_MS)
		return;
	probe->attempts_left = 0;
	send_probe(probe, endpoint, PROBER_CONNECT_TIMEOUT_MS);
}

/*
 * Checks immediately whether an engine accepts connections, unless it was
 * checked within PROBER_CHECK_INTERVAL_MS or a check has been in progress for
 * less than PROBER_TIMEOUT_MS.  Calls the handler's unreachable() if all
 * attempts fail to connect.
 */
void prober_check(prober_t *prober, const endpoint_t *endpoint)
{
	clock_ms_t now = clock_now(prober->clock);
	probe_t *probe = find_or_add_probe(prober, endpoint, now);

	clock_ms_t min_interval_ms = probe->attempts_left > 0
					     ? PROBER_TIMEOUT_MS
					     : PROBER_CHECK_INTERVAL_MS;

	if (probe->checked_ms != 0 && now - probe->checked_ms < min_interval_ms)
		return;
	if (probe->call != NULL)
		http_call_cancel(probe->call);
	probe->checked_ms = now;
	probe->attempts_left = PROBER_CHECK_ATTEMPTS;
	send_probe(probe, endpoint, PROBER_CHECK_TIMEOUT_MS);
}

/*
 * Probes the engines that are due.  Must be called periodically by the leader
 * while entries report pauses or an engine is slow.
 */
void prober_tick(prober_t *prober, const route_table_t *table)
{
	clock_ms_t now = clock_now(prober->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, prober->registry->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const endpoint_t *endpoint = value;
		const service_t *service =
			route_table_find_service(table, endpoint->service);

		if (service != NULL && service->has_engine &&
		    endpoint->first_layer < endpoint->end_layer &&
		    registry_is_usable(prober->registry, endpoint))
			probe_if_due(prober, endpoint, now);
	}
}

/* Returns the slowdown factor of engine "id"; 1: normal speed. */
double prober_pace(const prober_t *prober, const char *id)
{
	const probe_t *probe = g_hash_table_lookup(prober->probes, id);

	return probe == NULL ? 1 : probe->pace;
}

/*
 * Returns the slow engines and their pace.  The caller frees the list; the ids
 * in it belong to the prober.
 */
msg_fleet_pace_t *prober_list_slow(const prober_t *prober, size_t *count)
{
	msg_fleet_pace_t *list =
		g_new(msg_fleet_pace_t, g_hash_table_size(prober->probes) + 1);
	GHashTableIter iter;
	gpointer value;

	*count = 0;
	g_hash_table_iter_init(&iter, prober->probes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const probe_t *probe = value;

		if (probe->pace > REPORTED_PACE_MIN)
			list[(*count)++] = (msg_fleet_pace_t){
				.id = probe->id,
				.pace = probe->pace,
			};
	}
	return list;
}
