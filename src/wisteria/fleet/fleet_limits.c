/*
 * The leader's side of the limits that endpoints name: collects what the
 * entries see and need, and tells them the limits and their permits.
 */
#include "wisteria/fleet/fleet_limits.h"

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/log.h"
#include "wisteria/fleet/dialect.h"
#include "wisteria/fleet/fleet_group.h"
#include "wisteria/fleet/permit_issuer.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/fleet/request_limits.h"
#include "wisteria/net/conn.h"

/* Least interval between two rounds that reports of a lack of permits cause. */
#define ROUND_INTERVAL_MS 25

/* Initializes the state of a leader that knows no limit. */
void fleet_limits_init(fleet_limits_t *limits)
{
	request_limits_init(&limits->known);
	permit_issuer_init(&limits->issuer);
	limits->reports_ms = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, g_free);
}

/* Frees the state's contents. */
void fleet_limits_finish(fleet_limits_t *limits)
{
	request_limits_finish(&limits->known);
	permit_issuer_finish(&limits->issuer);
	g_hash_table_destroy(limits->reports_ms);
}

static void issue(fleet_control_t *control, clock_ms_t now)
{
	fleet_limits_t *limits = &control->limits;
	GHashTableIter iter;
	gpointer value;

	limits->issued_ms = now;
	g_hash_table_iter_init(&iter, limits->known.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const request_limit_t *limit = value;

		if (limit->per_s >= 0)
			permit_issuer_issue(
				&limits->issuer, limit->id,
				MAX(limit->per_s, REQUEST_LIMIT_LEAST_PER_S),
				now);
	}
}

/* Sends an entry its permits and, if "complete", all limits. */
static void send_permits(fleet_control_t *control, conn_t *conn, bool complete,
			 clock_ms_t now)
{
	fleet_limits_t *limits = &control->limits;
	const int64_t *report_ms =
		g_hash_table_lookup(limits->reports_ms, conn);
	msg_fleet_limit_t *list = g_new(
		msg_fleet_limit_t, g_hash_table_size(limits->known.by_id) + 1);
	msg_fleet_limits_t message = {
		.report_sent_ms = report_ms == NULL ? 0 : *report_ms,
		.limits = list,
	};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->known.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const request_limit_t *limit = value;
		uint32_t permits =
			permit_issuer_collect(&limits->issuer, limit->id, conn);

		if (!complete && permits == 0)
			continue;
		counter_add(COUNTER_PERMITS_ISSUED, permits);
		list[message.limit_count++] = (msg_fleet_limit_t){
			.endpoint = limit->id,
			.incarnation = limit->incarnation,
			.per_s = limit->per_s,
			.seen_ago_ms = now - limit->seen_ms,
			.requests = permits,
		};
	}
	if (message.limit_count > 0)
		conn_send(conn, MSG_FLEET_LIMITS, &message);
	g_free(list);
}

static void send_to_entries(fleet_control_t *control, bool complete,
			    clock_ms_t now)
{
	for (guint i = 0; i < control->subscribers->len; i++) {
		conn_t *conn = g_ptr_array_index(control->subscribers, i);

		if (conn->user != NULL)
			send_permits(control, conn, complete, now);
	}
}

/* Tells an entry that has just connected all limits. */
void fleet_limits_send(fleet_control_t *control, conn_t *conn)
{
	if (fleet_group_leads(control) && conn->user != NULL)
		send_permits(control, conn, true,
			     clock_now(control->net->clock));
}

static bool learn(fleet_control_t *control, const endpoint_t *endpoint,
		  const msg_fleet_limit_t *limit, clock_ms_t now)
{
	if (!request_limits_learn(&control->limits.known, endpoint,
				  limit->per_s, now - limit->seen_ago_ms, now))
		return false;
	if (limit->per_s >= 0) {
		LOG_INFO("endpoint_limited",
			 "endpoint=%s per_s=%.3f source=entry", endpoint->id,
			 limit->per_s);
	} else {
		permit_issuer_forget(&control->limits.issuer, endpoint->id);
		LOG_INFO("endpoint_unlimited", "endpoint=%s source=entry",
			 endpoint->id);
	}
	return true;
}

/* Handles a report of an entry, at the leader. */
void fleet_limits_handle(fleet_control_t *control, conn_t *conn,
			 const msg_fleet_limits_t *report)
{
	fleet_limits_t *limits = &control->limits;
	clock_ms_t now = clock_now(control->net->clock);
	int64_t *report_ms = g_new(int64_t, 1);
	bool is_changed = false;

	*report_ms = report->report_sent_ms;
	g_hash_table_replace(limits->reports_ms, conn, report_ms);
	if (!fleet_group_leads(control))
		return;
	for (size_t i = 0; i < report->limit_count; i++) {
		const msg_fleet_limit_t *limit = &report->limits[i];
		const endpoint_t *endpoint =
			registry_find(&control->registry, limit->endpoint);

		if (endpoint == NULL ||
		    endpoint->incarnation != limit->incarnation)
			continue;
		if (limit->seen_ago_ms >= 0)
			is_changed |= learn(control, endpoint, limit, now);
		if (request_limits_rate(&limits->known, endpoint) >= 0)
			permit_issuer_want(&limits->issuer, endpoint->id, conn,
					   limit->requests, now);
	}
	if (is_changed || (report->is_short &&
			   now - limits->issued_ms >= ROUND_INTERVAL_MS)) {
		issue(control, now);
		send_to_entries(control, is_changed, now);
	}
}

/* Forgets an entry whose connection has closed. */
void fleet_limits_forget_entry(fleet_control_t *control, const conn_t *conn)
{
	permit_issuer_forget_entry(&control->limits.issuer, conn);
	g_hash_table_remove(control->limits.reports_ms, conn);
}

/* Issues permits and, at the leader, sends all limits to the entries. */
void fleet_limits_tick(fleet_control_t *control, clock_ms_t now)
{
	fleet_limits_t *limits = &control->limits;

	if (!fleet_group_leads(control)) {
		/* A later leader learns them from the entries. */
		g_hash_table_remove_all(limits->known.by_id);
		g_hash_table_remove_all(limits->issuer.accounts);
	}
	request_limits_expire(&limits->known, &control->registry, 0, now);
	counter_set(GAUGE_ENDPOINTS_LIMITED,
		    request_limits_count(&limits->known));
	if (g_hash_table_size(limits->known.by_id) == 0)
		return;
	issue(control, now);
	send_to_entries(control, true, now);
}
