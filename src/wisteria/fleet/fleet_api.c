/*
 * The calls of endpoints and operators at a control instance.  A change is
 * acknowledged once it is committed; a change that is older than the one held,
 * or the same, is acknowledged once a quorum confirms what is held.
 */
#include "wisteria/fleet/fleet_api.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/histogram.h"
#include "wisteria/base/log.h"
#include "wisteria/control/replica.h"
#include "wisteria/fleet/fleet_group.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/routes.h"
#include "wisteria/http/http_message.h"

#define JSON_HEADER "Content-Type: application/json\r\n"
/* An instance that has just lost its leader usually knows the next by then. */
#define RETRY_HEADER "Retry-After: 0.3\r\n"

static clock_ms_t now_of(const fleet_control_t *control)
{
	return clock_now(control->net->clock);
}

static void refuse(http_conn_t *conn, unsigned status, const char *reason)
{
	http_conn_reply(conn, status, status == 503 ? RETRY_HEADER : "", reason,
			strlen(reason));
}

static void acknowledge(http_conn_t *conn)
{
	http_conn_reply(conn, 200, JSON_HEADER, "{}", 2);
}

static void take_heartbeat(fleet_control_t *control, http_conn_t *conn)
{
	endpoint_t endpoint;
	err_t err = ERR_INIT;
	registry_update_result_t news;

	if (!control->dialect->read_heartbeat(&conn->reader.message, &endpoint,
					      &err)) {
		log_err(G_LOG_LEVEL_WARNING, "heartbeat_refused", &err);
		refuse(conn, 400, err.text);
		return;
	}
	counter_add(COUNTER_HEARTBEATS, 1);
	news = registry_update(&control->registry, &endpoint, now_of(control));
	if (news != REGISTRY_STALE)
		g_hash_table_add(control->fresh, g_strdup(endpoint.id));
	if (news == REGISTRY_CHANGED)
		LOG_INFO("endpoint_changed",
			 "endpoint=%s address=%s service=%s layers=%u-%u "
			 "draining=%d incarnation=%" G_GUINT64_FORMAT
			 " sequence=%" G_GUINT64_FORMAT,
			 endpoint.id, endpoint.address, endpoint.service,
			 endpoint.first_layer, endpoint.end_layer,
			 endpoint.draining, endpoint.incarnation,
			 endpoint.sequence);
	acknowledge(conn);
}

static void take_leave(fleet_control_t *control, http_conn_t *conn)
{
	char id[ENDPOINT_ID_BYTES];

	if (!control->dialect->read_leave(&conn->reader.message, id)) {
		refuse(conn, 400, "no endpoint is named");
		return;
	}
	if (registry_mark_gone(&control->registry, id, now_of(control)) != NULL)
		g_hash_table_add(control->fresh, g_strdup(id));
	LOG_INFO("endpoint_left", "endpoint=%s", id);
	acknowledge(conn);
}

/*
 * Sends an operator's call on to the instance that leads; all instances use
 * the same port for calls.
 */
static void redirect(const fleet_control_t *control, http_conn_t *conn)
{
	const char *port =
		strrchr(control->settings->fleet->control_listen, ':');
	const char *leader = fleet_group_leader(control);
	const char *host_end = leader == NULL ? NULL : strrchr(leader, ':');
	GString *headers;

	if (host_end == NULL) {
		refuse(conn, 503, "no instance leads");
		return;
	}
	headers = g_string_new(NULL);
	g_string_append_printf(headers, "Location: http://%.*s%s%s\r\n",
			       (int)(host_end - leader), leader, port,
			       http_message_target(&conn->reader.message));
	http_conn_reply(conn, 307, headers->str, "", 0);
	g_string_free(headers, TRUE);
}

static void read_later(fleet_control_t *control, http_conn_t *conn,
		       bool is_write)
{
	fleet_read_t read = {
		.ticket = replica_read(&control->replica),
		.deadline_ms = now_of(control) + FLEET_QUORUM_MS,
		.http = conn,
		.is_write = is_write,
	};

	if (read.ticket == 0) {
		refuse(conn, 503, "no instance leads");
		return;
	}
	conn->user = control;
	g_array_append_val(control->reads, read);
}

static void propose(fleet_control_t *control, http_conn_t *conn,
		    uint64_t number)
{
	const GByteArray *body = conn->reader.message.body;
	fleet_write_t write = {
		.number = number,
		.deadline_ms = now_of(control) + FLEET_QUORUM_MS,
		.http = conn,
	};
	msgpack_sbuffer entry;

	msgpack_sbuffer_init(&entry);
	revisions_encode(number, body->data, body->len, &entry);
	write.index = replica_propose(&control->replica,
				      (const uint8_t *)entry.data, entry.size);
	msgpack_sbuffer_destroy(&entry);
	if (write.index == 0) {
		refuse(conn, 503, "this instance does not lead");
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
	uint64_t number;

	table = control->dialect->read_configuration(body->data, body->len,
						     &err);
	if (table == NULL) {
		log_err(G_LOG_LEVEL_WARNING, "configuration_refused", &err);
		refuse(conn, 400, err.text);
		return;
	}
	number = table->revision;
	route_table_unref(table);
	if (!control->replicates || !replica_leads(&control->replica))
		redirect(control, conn);
	else if (number <= control->revisions.number)
		read_later(control, conn, true);
	else
		propose(control, conn, number);
}

static void get_configuration(fleet_control_t *control, http_conn_t *conn)
{
	if (control->replicates)
		read_later(control, conn, false);
	else
		redirect(control, conn);
}

static void take_unknown(fleet_control_t *control, http_conn_t *conn)
{
	(void)control;
	refuse(conn, 404, "no such call");
}

typedef void (*call_handler_t)(fleet_control_t *control, http_conn_t *conn);

/* Takes one call; it is answered now or when a quorum has confirmed. */
void fleet_api_take(fleet_control_t *control, http_conn_t *conn)
{
	static const call_handler_t handlers[] = {
		[CONTROL_CALL_UNKNOWN] = take_unknown,
		[CONTROL_CALL_HEARTBEAT] = take_heartbeat,
		[CONTROL_CALL_LEAVE] = take_leave,
		[CONTROL_CALL_PUT_CONFIGURATION] = put_configuration,
		[CONTROL_CALL_GET_CONFIGURATION] = get_configuration,
	};

	handlers[control->dialect->read_control_call(&conn->reader.message)](
		control, conn);
}

/* The caller of an open call has left. */
void fleet_api_gone(fleet_control_t *control, const http_conn_t *conn)
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

/* The entry at "index" of "term" was applied: acknowledges its change. */
void fleet_api_applied(fleet_control_t *control, uint64_t index, uint64_t term)
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
			refuse(write.http, 503, "another instance leads now");
			continue;
		}
		histogram_add(LATENCY_COMMIT, now_of(control) -
						      write.deadline_ms +
						      FLEET_QUORUM_MS);
		LOG_INFO("revision_acknowledged", "revision=%" G_GUINT64_FORMAT,
			 write.number);
		acknowledge(write.http);
	}
}

static void show_configuration(const fleet_control_t *control,
			       http_conn_t *conn)
{
	err_t err = ERR_INIT;
	GBytes *document = revisions_document(&control->revisions, &err);
	const void *data;
	gsize len = 0;

	if (document == NULL) {
		log_err(G_LOG_LEVEL_CRITICAL, "revision_unreadable", &err);
		refuse(conn, 500, "the configuration held is damaged");
		return;
	}
	data = g_bytes_get_data(document, &len);
	http_conn_reply(conn, 200, JSON_HEADER, data, len);
	g_bytes_unref(document);
}

/* A quorum has confirmed what is held: answers an operator's call. */
void fleet_api_confirmed(fleet_control_t *control, fleet_read_t *read)
{
	if (read->http == NULL)
		return;
	if (read->is_write) {
		LOG_INFO("revision_acknowledged",
			 "revision=%" G_GUINT64_FORMAT " held=1",
			 control->revisions.number);
		acknowledge(read->http);
	} else if (control->revisions.number == 0) {
		refuse(read->http, 503, "there is no configuration yet");
	} else {
		show_configuration(control, read->http);
	}
}

/*
 * Gives up the calls that have waited too long for a quorum, and with
 * "all_writes" every change: this instance does not lead any more, and
 * whether the change will be committed is not known.
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
			refuse(read.http, 503, "no quorum confirms");
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
			refuse(write.http, 503, "no quorum has confirmed yet");
	}
}
