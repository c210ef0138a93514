/*
 * The leader's side of the parts of prompts that crash endpoints: collects what
 * the entries see, decides with part_guard.c, and tells all subscribers.  The
 * other control instances keep the refusals, so that a new leader has them.
 */
#include "wisteria/fleet/fleet_parts.h"

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/log.h"
#include "wisteria/control/replica.h"
#include "wisteria/fleet/dialect.h"
#include "wisteria/fleet/part_guard.h"
#include "wisteria/net/conn.h"

#define PART_FORMAT "%" G_GINT64_MODIFIER "x"

static bool leads(const fleet_control_t *control)
{
	return control->has_replica &&
	       replica_is_ready_leader(&control->replica);
}

static void log_refused(const fleet_control_t *control, uint64_t part,
			const char *source, clock_ms_t now)
{
	const part_record_t *record = part_guard_find(&control->parts, part);

	LOG_WARN("part_refused",
		 "part=" PART_FORMAT " crashes=%u for_ms=%" G_GINT64_FORMAT
		 " source=%s",
		 part, record->crash_count,
		 part_guard_refused_ms(&control->parts, part, now), source);
}

static void log_suspected(const fleet_control_t *control, uint64_t part,
			  clock_ms_t now)
{
	const part_record_t *record = part_guard_find(&control->parts, part);

	if (record != NULL && record->crash_count > 0)
		LOG_INFO("part_suspected",
			 "part=" PART_FORMAT
			 " crashes=%u passed_ago_ms=%" G_GINT64_FORMAT,
			 part, record->crash_count,
			 record->has_passed ? now - record->passed_ms
					    : (clock_ms_t)-1);
}

/* Takes over refusals and passes that another process knows of. */
static void learn(fleet_control_t *control, const msg_fleet_parts_t *list,
		  clock_ms_t now)
{
	for (size_t i = 0; i < list->part_count; i++) {
		const msg_fleet_part_t *part = &list->parts[i];

		if (part->refused_left_ms > 0 &&
		    part_guard_watch(&control->parts, part->part,
				     now + MIN(part->refused_left_ms,
					       PART_GUARD_REFUSAL_MS),
				     now))
			log_refused(control, part->part, "peer", now);
		if (part->passed_ago_ms >= 0)
			part_guard_pass(&control->parts, part->part,
					now - part->passed_ago_ms);
	}
}

static void handle_crash(fleet_control_t *control,
			 const msg_fleet_parts_t *report, clock_ms_t now)
{
	const part_crash_t crash = {
		.endpoint = report->endpoint,
		.request = report->request,
		.at_ms = now,
	};
	uint32_t count = (uint32_t)MIN(report->part_count, PROMPT_PARTS_MAX);
	part_seen_t seen[PROMPT_PARTS_MAX] = { 0 };
	const part_record_t *refused;

	for (uint32_t i = 0; i < count; i++)
		seen[i] = (part_seen_t){
			.part = report->parts[i].part,
			.has_passed = report->parts[i].passed_ago_ms >= 0,
			.passed_ms = now - report->parts[i].passed_ago_ms,
		};
	refused = part_guard_crash(&control->parts, seen, count, &crash);
	for (uint32_t i = 0; i < count; i++)
		log_suspected(control, seen[i].part, now);
	if (refused == NULL)
		return;
	log_refused(control, refused->part, "crashes", now);
	fleet_parts_send(control, now);
}

/* Handles a report of an entry, at the leader. */
void fleet_parts_handle(fleet_control_t *control,
			const msg_fleet_parts_t *report)
{
	clock_ms_t now = clock_now(control->net->clock);

	if (!leads(control))
		return;
	if (report->endpoint != 0)
		handle_crash(control, report, now);
	else
		learn(control, report, now);
}

/* Takes over the refusals that the leader sends. */
void fleet_parts_follow(fleet_control_t *control, const msg_fleet_parts_t *list)
{
	if (!leads(control))
		learn(control, list, clock_now(control->net->clock));
}

/* Whether the next crash can decide on the part, so that passes matter. */
static bool is_worth_watching(const part_record_t *record)
{
	return record->crash_count >= PART_GUARD_CRASHES_MIN - 1;
}

/*
 * Sends all subscribers the parts that are refused or worth watching.  An empty
 * list is sent only once, after a list that was not empty.
 */
void fleet_parts_send(fleet_control_t *control, clock_ms_t now)
{
	const part_guard_t *guard = &control->parts;
	msg_fleet_part_t parts[PART_GUARD_PARTS_MAX];
	msg_fleet_parts_t list = { .parts = parts };

	for (uint32_t i = 0; i < guard->count; i++) {
		const part_record_t *record = &guard->records[i];
		clock_ms_t refused_ms =
			part_guard_refused_ms(guard, record->part, now);

		if (refused_ms > 0 || is_worth_watching(record))
			parts[list.part_count++] = (msg_fleet_part_t){
				.part = record->part,
				.passed_ago_ms = -1,
				.refused_left_ms = refused_ms,
			};
	}
	for (guint i = 0; (list.part_count > 0 || control->parts_sent > 0) &&
			  i < control->subscribers->len;
	     i++)
		conn_send(g_ptr_array_index(control->subscribers, i),
			  MSG_FLEET_PARTS, &list);
	control->parts_sent = list.part_count;
	control->parts_sent_ms = now;
}

/* Forgets old parts and, at the leader, sends the list at intervals. */
void fleet_parts_tick(fleet_control_t *control, clock_ms_t now)
{
	part_guard_expire(&control->parts, now);
	part_guard_unwatch(&control->parts);
	counter_set(GAUGE_PARTS_REFUSED,
		    part_guard_refused_count(&control->parts, now));
	if (leads(control) &&
	    now - control->parts_sent_ms >= FLEET_LOAD_INTERVAL_MS)
		fleet_parts_send(control, now);
}
