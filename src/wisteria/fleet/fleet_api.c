/*
 * The HTTP API of a control instance for endpoints and operators.  A new
 * configuration is acknowledged once it is committed.  A configuration whose
 * revision is not newer than the one held is acknowledged once a quorum
 * confirms the held one.
 */
#include "wisteria/fleet/fleet_api.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/histogram.h"
#include "wisteria/base/log.h"
#include "wisteria/control/replica.h"
#include "wisteria/fleet/fleet_control.h"
#include "wisteria/fleet/fleet_group.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/routes.h"
#include "wisteria/http/http_message.h"

#define JSON_HEADER "Content-Type: application/json\r\n"
/*
 * In seconds; an instance that has just lost its leader usually knows the new
 * one by then.
 */
#define RETRY_HEADER "Retry-After: 0.3\r\n"

static clock_ms_t now_of(const fleet_control_t *control)
{
	return clock_now(control->net->clock);
}

static void reply_error(http_conn_t *conn, unsigned status, const char *reason)
{
	http_conn_reply(conn, status, status == 503 ? RETRY_HEADER : "", reason,
			strlen(reason));
}

static void acknowledge(http_conn_t *conn)
{
	http_conn_reply(conn, 200, JSON_HEADER, "{}", 2);
}

/*
 * Refuses what an endpoint reports if that would reach no entry: an endpoint that
 * is refused calls the next instance, one that is acknowledged relies on this
 * one.  Returns whether it was refused.
 */
static bool refuse_unreachable(const fleet_control_t *control,
			       http_conn_t *conn)
{
	if (fleet_group_is_reachable(control))
		return false;
	counter_add(COUNTER_REPORTS_REFUSED, 1);
	reply_error(conn, 503, "the control group is not reached");
	return true;
}

/* An endpoint leaves: what is on disk must not bring it back. */
static void write_registry(fleet_control_t *control)
{
	if (control->has_replica)
		registry_file_write_now(&control->registry_file,
					&control->registry, now_of(control));
}

/* Parses the heartbeat of an endpoint; false: "err" says what is wrong. */
static bool read_heartbeat(const fleet_control_t *control,
			   const http_conn_t *conn, endpoint_t *endpoint,
			   err_t *err)
{
	const char *defect;

	if (!control->dialect->read_heartbeat(&conn->reader.message, endpoint,
					      err))
		return false;
	defect = endpoint_defect(endpoint);
	if (defect != NULL)
		err_set(err, ERR_INVALID, "heartbeat", endpoint->id, "%s",
			defect);
	return defect == NULL;
}

/*
 * Records the heartbeat of an endpoint.  That it drains is passed on before it
 * is acknowledged, since from then on it is to get no requests, whatever
 * happens to this instance.
 */
static void handle_heartbeat(fleet_control_t *control, http_conn_t *conn)
{
	endpoint_t endpoint;
	err_t err = ERR_INIT;
	registry_update_result_t result;

	if (!read_heartbeat(control, conn, &endpoint, &err)) {
		counter_add(COUNTER_HEARTBEATS_REFUSED, 1);
		log_err(G_LOG_LEVEL_WARNING, "heartbeat_refused", &err);
		reply_error(conn, 400, err.text);
		return;
	}
	if (refuse_unreachable(control, conn))
		return;
	counter_add(COUNTER_HEARTBEATS, 1);
	result =
		registry_update(&control->registry, &endpoint, now_of(control));
	if (result != REGISTRY_STALE)
		g_hash_table_add(control->updated_ids, g_strdup(endpoint.id));
	if (result == REGISTRY_CHANGED)
		LOG_INFO("endpoint_changed",
			 "endpoint=%s address=%s service=%s layers=%u-%u "
			 "draining=%d incarnation=%" G_GUINT64_FORMAT
			 " sequence=%" G_GUINT64_FORMAT,
			 endpoint.id, endpoint.address, endpoint.service,
			 endpoint.first_layer, endpoint.end_layer,
			 endpoint.draining, endpoint.incarnation,
			 endpoint.sequence);
	if (result == REGISTRY_CHANGED && endpoint.draining)
		write_registry(control);
	if (result != REGISTRY_STALE && endpoint.draining)
		fleet_control_pass_on(control);
	acknowledge(conn);
}

/*
 * Records that an endpoint leaves, and passes it on before acknowledging it.  An
 * endpoint that is not known here calls the next instance: there would be
 * nothing to record or to pass on.
 */
static void handle_leave(fleet_control_t *control, http_conn_t *conn)
{
	char id[ENDPOINT_ID_BYTES];

	if (!control->dialect->read_leave(&conn->reader.message, id)) {
		reply_error(conn, 400, "no endpoint is named");
		return;
	}
	if (refuse_unreachable(control, conn))
		return;
	if (registry_mark_gone(&control->registry, id, now_of(control)) ==
	    NULL) {
		counter_add(COUNTER_REPORTS_REFUSED, 1);
		reply_error(conn, 503, "the endpoint is not known here");
		return;
	}
	g_hash_table_add(control->updated_ids, g_strdup(id));
	write_registry(control);
	LOG_INFO("endpoint_left", "endpoint=%s", id);
	fleet_control_pass_on(control);
	acknowledge(conn);
}

/*
 * Redirects an operator's call to the leader; all instances listen for calls
 * on the same port.
 */
static void redirect(const fleet_control_t *control, http_conn_t *conn)
{
	const char *port =
		strrchr(control->settings->fleet->control_listen, ':');
	const char *leader = fleet_group_leader_address(control);
	const char *host_end = leader == NULL ? NULL : strrchr(leader, ':');
	GString *headers;

	if (host_end == NULL) {
		reply_error(conn, 503, "no instance leads");
		return;
	}
	headers = g_string_new(NULL);
	g_string_append_printf(headers, "Location: http://%.*s%s%s\r\n",
			       (int)(host_end - leader), leader, port,
			       http_message_target(&conn->reader.message));
	http_conn_reply(conn, 307, headers->str, "", 0);
	g_string_free(headers, TRUE);
}

/*
 * Starts a quorum read whose confirmation answers the call: with
 * "acknowledges_write" by acknowledging a write, otherwise with the
 * configuration.
 */
static void start_quorum_read(fleet_control_t *control, http_conn_t *conn,
			      bool acknowledges_write)
{
	fleet_read_t read = {
		.ticket = replica_read(&control->replica),
		.deadline_ms = now_of(control) + FLEET_QUORUM_TIMEOUT_MS,
		.http = conn,
		.acknowledges_write = acknowledges_write,
	};

	if (read.ticket == 0) {
		reply_error(conn, 503, "no instance leads");
		return;
	}
	conn->user = control;
	g_array_append_val(control->reads, read);
}

/*
 * Proposes the configuration in the request; the call is acknowledged once its
 * log entry is applied.
 */
static void propose(fleet_control_t *control, http_conn_t *conn,
		    uint64_t revision)
{
	const GByteArray *body = conn->reader.message.body;
	fleet_write_t write = {
		.revision = revision,
		.deadline_ms = now_of(control) + FLEET_QUORUM_TIMEOUT_MS,
		.http = conn,
	};
	msgpack_sbuffer entry;

	msgpack_sbuffer_init(&entry);
	revisions_encode(revision, body->data, body->len, &entry);
	write.index = replica_propose(&control->replica,
				      (const uint8_t *)entry.data, entry.size);
	msgpack_sbuffer_destroy(&entry);
	if (write.index == 0) {
		reply_error(conn, 503, "this instance does not lead");
		return;
	}
	write.term = control->replica.raft.term;
	conn->user = control;
	g_array_append_val(control->writes, write);
}

static void put_configuration(fleet_control_t *control, http_conn_t *conn)
{
	const GByteArray *body = conn->reader.message.body;
	err_t err = ERR_INIT;
	route_table_t *table;
	uint64_t revision;

	table = control->dialect->read_configuration(body->data, body->len,
						     &err);
	if (table == NULL) {
		log_err(G_LOG_LEVEL_WARNING, "configuration_refused", &err);
		reply_error(conn, 400, err.text);
		return;
	}
	revision = table->revision;
	route_table_unref(table);
	if (!control->has_replica || !replica_is_leader(&control->replica))
		redirect(control, conn);
	else if (revision <= control->revisions.revision)
		start_quorum_read(control, conn, true);
	else
		propose(control, conn, revision);
}

static void get_configuration(fleet_control_t *control, http_conn_t *conn)
{
	if (control->has_replica)
		start_quorum_read(control, conn, false);
	else
		redirect(control, conn);
}

static void handle_unknown(fleet_control_t *control, http_conn_t *conn)
{
	(void)control;
	reply_error(conn, 404, "no such call");
}

typedef void (*call_handler_t)(fleet_control_t *control, http_conn_t *conn);

/* Handles one call; it is answered now or when a quorum has confirmed. */
void fleet_api_handle(fleet_control_t *control, http_conn_t *conn)
{
	static const call_handler_t handlers[] = {
		[CONTROL_CALL_UNKNOWN] = handle_unknown,
		[CONTROL_CALL_HEARTBEAT] = handle_heartbeat,
		[CONTROL_CALL_LEAVE] = handle_leave,
		[CONTROL_CALL_PUT_CONFIGURATION] = put_configuration,
		[CONTROL_CALL_GET_CONFIGURATION] = get_configuration,
	};

	handlers[control->dialect->read_control_call(&conn->reader.message)](
		control, conn);
}

/* Forgets the connection of a caller that closed it during a call. */
void fleet_api_conn_closed(fleet_control_t *control, const http_conn_t *conn)
{
	for (guint i = 0; i < control->reads->len; i++) {
		fleet_read_t *read =
			&g_array_index(control->reads, fleet_read_t, i);

		if (read->http == conn)
			read->http = NULL;
	}
	for (guint i = 0; i < control->writes->len; i++) {
		fleet_write_t *write =
			&g_array_index(control->writes, fleet_write_t, i);

		if (write->http == conn)
			write->http = NULL;
	}
}

/*
 * The log entry at "index" of "term" was applied: acknowledges the write that
 * proposed it, or refuses the write if the entry is of another term.
 */
void fleet_api_on_applied(fleet_control_t *control, uint64_t index,
			  uint64_t term)
{
	guint i = 0;

	while (i < control->writes->len) {
		const fleet_write_t write =
			g_array_index(control->writes, fleet_write_t, i);

		if (write.index != index) {
			i++;
			continue;
		}
		g_array_remove_index(control->writes, i);
		if (write.http == NULL)
			continue;
		if (write.term != term) {
			reply_error(write.http, 503,
				    "another instance leads now");
			continue;
		}
		histogram_add(LATENCY_COMMIT, now_of(control) -
						      write.deadline_ms +
						      FLEET_QUORUM_TIMEOUT_MS);
		LOG_INFO("revision_acknowledged", "revision=%" G_GUINT64_FORMAT,
			 write.revision);
		acknowledge(write.http);
	}
}

static void reply_configuration(const fleet_control_t *control,
				http_conn_t *conn)
{
	err_t err = ERR_INIT;
	GBytes *document = revisions_document(&control->revisions, &err);
	const void *data;
	gsize len = 0;

	if (document == NULL) {
		log_err(G_LOG_LEVEL_CRITICAL, "revision_unreadable", &err);
		reply_error(conn, 500, "the configuration held is damaged");
		return;
	}
	data = g_bytes_get_data(document, &len);
	http_conn_reply(conn, 200, JSON_HEADER, data, len);
	g_bytes_unref(document);
}

/* A quorum has confirmed the held revision: answers an operator's call. */
void fleet_api_on_confirmed(fleet_control_t *control, fleet_read_t *read)
{
	if (read->http == NULL)
		return;
	if (read->acknowledges_write) {
		LOG_INFO("revision_acknowledged",
			 "revision=%" G_GUINT64_FORMAT " held=1",
			 control->revisions.revision);
		acknowledge(read->http);
	} else if (control->revisions.revision == 0) {
		reply_error(read->http, 503, "there is no configuration yet");
	} else {
		reply_configuration(control, read->http);
	}
}

/*
 * Refuses the calls whose deadline for a quorum has passed.  "all_writes"
 * refuses every pending write: this instance is no longer the leader, and
 * whether the write will be committed is unknown.
 */
void fleet_api_expire(fleet_control_t *control, clock_ms_t now, bool all_writes)
{
	guint i = 0;

	while (i < control->reads->len) {
		const fleet_read_t read =
			g_array_index(control->reads, fleet_read_t, i);

		if (now < read.deadline_ms) {
			i++;
			continue;
		}
		g_array_remove_index(control->reads, i);
		if (read.http != NULL)
			reply_error(read.http, 503, "no quorum confirms");
	}
	i = 0;
	while (i < control->writes->len) {
		const fleet_write_t write =
			g_array_index(control->writes, fleet_write_t, i);

		if (now < write.deadline_ms && !all_writes) {
			i++;
			continue;
		}
		g_array_remove_index(control->writes, i);
		if (write.http != NULL)
			reply_error(write.http, 503,
				    "no quorum has confirmed yet");
	}
}
