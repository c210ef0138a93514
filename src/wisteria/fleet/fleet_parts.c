/*
 * The leader's side of the parts of prompts, and the requests, that crash
 * endpoints: collects what the entries see, asks them before a verdict, decides
 * with part_guard.c, and tells all subscribers.  The other control instances keep
 * the refusals, so that a new leader has them.
 */
#include "wisteria/fleet/fleet_parts.h"

#include <sodium.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/log.h"
#include "wisteria/fleet/crash_reports.h"
#include "wisteria/fleet/dialect.h"
#include "wisteria/fleet/fleet_group.h"
#include "wisteria/fleet/part_guard.h"
#include "wisteria/fleet/part_inquiry.h"
#include "wisteria/fleet/prober.h"
#include "wisteria/fleet/registry.h"
#include "wisteria/net/conn.h"

#define PART_FORMAT "%" G_GINT64_MODIFIER "x"

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

static part_seen_t read_part(uint64_t part, int64_t passed_ago_ms,
			     clock_ms_t now)
{
	return (part_seen_t){
		.part = part,
		.has_passed = passed_ago_ms >= 0,
		.passed_ms = now - passed_ago_ms,
	};
}

static void read_report(const msg_fleet_parts_t *message, clock_ms_t now,
			crash_report_t *report)
{
	*report = (crash_report_t){
		.heard_ms = now,
		.incarnation = message->suspected_incarnation,
		.crash = {
			.endpoint = message->endpoint,
			.request = message->digest == 0 ? message->request
							: message->digest,
			.repetition = message->request,
			.at_ms = now - CLAMP(message->crashed_ago_ms, 0,
					     PART_GUARD_MEMORY_MS),
		},
		.part_count =
			(uint32_t)MIN(message->part_count,
				      REQUEST_PARTS_MAX - 1),
	};
	g_strlcpy(report->endpoint_id, message->suspected_id,
		  sizeof(report->endpoint_id));
	for (uint32_t i = 0; i < report->part_count; i++)
		report->parts[i] =
			read_part(message->parts[i].part,
				  message->parts[i].passed_ago_ms, now);
	if (message->digest == 0)
		return;
	report->parts[report->part_count] =
		read_part(message->digest, message->digest_passed_ago_ms, now);
	report->parts[report->part_count++].is_whole = true;
}

static bool is_counted(const fleet_control_t *control,
		       const crash_report_t *report)
{
	for (uint32_t i = 0; i < report->part_count; i++)
		if (!part_guard_has_crash(&control->parts,
					  report->parts[i].part,
					  &report->crash))
			return false;
	return true;
}

/* Counts a crash, unless an entry has told it again. */
static void count_crash(fleet_control_t *control, const crash_report_t *report,
			clock_ms_t now)
{
	const part_record_t *suspected;

	if (is_counted(control, report))
		return;
	suspected = part_guard_crash(&control->parts, report->parts,
				     report->part_count, &report->crash, now);
	for (uint32_t i = 0; i < report->part_count; i++)
		log_suspected(control, report->parts[i].part, now);
	if (suspected != NULL)
		part_inquiry_hold(&control->part_inquiry, report,
				  suspected->part);
}

/*
 * Logs what a verdict rests on, the record as it was before it: "passed_ago_ms"
 * is of the last pass that any entry knows, -1 if none does.
 */
static void log_judged(const fleet_control_t *control, uint64_t part,
		       const part_record_t *record, const char *verdict,
		       clock_ms_t now)
{
	const part_inquiry_t *inquiry = &control->part_inquiry;

	LOG_INFO("part_judged",
		 "part=" PART_FORMAT
		 " verdict=%s crashes=%u first_ago_ms=%" G_GINT64_FORMAT
		 " passed_ago_ms=%" G_GINT64_FORMAT
		 " under_way=%u asked=%u answered=%u "
		 "waited_ms=%" G_GINT64_FORMAT,
		 part, verdict, record->crash_count,
		 record->crash_count == 0 ? (clock_ms_t)-1
					  : now - record->first_crash_ms,
		 record->has_passed ? now - record->passed_ms : (clock_ms_t)-1,
		 record->under_way, inquiry->asked_count,
		 part_inquiry_answer_count(inquiry), now - inquiry->asked_ms);
}

/* Whether a request with the part was served lately, or since its crashes. */
static bool was_served(const part_record_t *record, clock_ms_t now)
{
	return record->has_passed &&
	       (!record->refusal_is_due ||
		now - record->passed_ms < PART_GUARD_PASS_MS);
}

/* Decides on one held crash; returns whether a part is refused for it. */
static bool judge(fleet_control_t *control, const held_crash_t *held,
		  clock_ms_t now)
{
	const crash_report_t *report = &held->report;
	const part_record_t *record =
		part_guard_find(&control->parts, held->part);
	part_record_t before;
	const part_record_t *refused;

	if (record == NULL)
		return false;
	before = *record;
	refused = part_guard_judge(
		&control->parts, report->parts, report->part_count,
		&report->crash,
		part_inquiry_is_complete(&control->part_inquiry), now);
	if (part_guard_refused_ms(&control->parts, held->part, now) == 0)
		log_judged(control, held->part, &before,
			   was_served(&before, now) ? "passed" : "doubtful",
			   now);
	if (refused == NULL)
		return false;
	log_judged(control, refused->part,
		   refused->part == held->part ? &before : refused, "refused",
		   now);
	log_refused(control, refused->part, "crashes", now);
	return true;
}

/* Asks all entries what they know of the parts of the held crashes. */
static void begin_inquiry(fleet_control_t *control, clock_ms_t now)
{
	uint64_t number;

	do
		randombytes_buf(&number, sizeof(number));
	while (number == 0);
	part_guard_clear_under_way(&control->parts);
	part_inquiry_open(&control->part_inquiry, number, now);
	for (guint i = 0; i < control->subscribers->len; i++) {
		const conn_t *conn = g_ptr_array_index(control->subscribers, i);

		if (conn->user != NULL)
			part_inquiry_ask(&control->part_inquiry, conn);
	}
	fleet_parts_send(control, now);
}

/* Decides on held crashes once the entries have answered, or are too late. */
static void continue_inquiry(fleet_control_t *control, clock_ms_t now)
{
	part_inquiry_t *inquiry = &control->part_inquiry;
	held_crash_t held;
	bool any_refused = false;

	if (part_inquiry_is_due(inquiry))
		begin_inquiry(control, now);
	if (!part_inquiry_is_over(inquiry, now))
		return;
	while (part_inquiry_take(inquiry, &held))
		any_refused |= judge(control, &held, now);
	if (any_refused)
		fleet_parts_send(control, now);
}

/* The connection of a subscriber has closed. */
void fleet_parts_forget(fleet_control_t *control, const conn_t *conn)
{
	part_inquiry_forget(&control->part_inquiry, conn);
}

/* Counts the reported crashes that are certain now. */
void fleet_parts_confirm(fleet_control_t *control, clock_ms_t now)
{
	crash_report_t report;

	while (crash_reports_take(&control->crash_reports, &control->registry,
				  now, &report)) {
		LOG_INFO("crash_confirmed",
			 "endpoint=%s incarnation=%" G_GUINT64_FORMAT
			 " digest=" PART_FORMAT,
			 report.endpoint_id, report.incarnation,
			 report.crash.request);
		count_crash(control, &report, now);
	}
	continue_inquiry(control, now);
}

static void handle_crash(fleet_control_t *control,
			 const msg_fleet_parts_t *message, clock_ms_t now)
{
	crash_report_t report;

	read_report(message, now, &report);
	if (report.endpoint_id[0] == '\0') {
		count_crash(control, &report, now);
		continue_inquiry(control, now);
		return;
	}
	if (!crash_reports_add(&control->crash_reports, &report,
			       &control->registry))
		return;
	prober_check(&control->prober,
		     registry_find(&control->registry, report.endpoint_id));
	fleet_parts_confirm(control, now);
}

/* Takes over what an entry knows of the parts that it was asked about. */
static void handle_answer(fleet_control_t *control, const conn_t *conn,
			  const msg_fleet_parts_t *answer, clock_ms_t now)
{
	if (!part_inquiry_answer(&control->part_inquiry, answer->question,
				 conn))
		return;
	for (size_t i = 0; i < answer->part_count; i++)
		part_guard_add_under_way(&control->parts, answer->parts[i].part,
					 answer->parts[i].under_way);
	continue_inquiry(control, now);
}

/* Handles a report of an entry, at the leader. */
void fleet_parts_handle(fleet_control_t *control, const conn_t *conn,
			const msg_fleet_parts_t *report)
{
	clock_ms_t now = clock_now(control->net->clock);

	if (!fleet_group_leads(control))
		return;
	if (report->endpoint != 0)
		handle_crash(control, report, now);
	else
		learn(control, report, now);
	if (report->question != 0)
		handle_answer(control, conn, report, now);
}

/* Takes over the refusals that the leader sends. */
void fleet_parts_follow(fleet_control_t *control, const msg_fleet_parts_t *list)
{
	if (!fleet_group_leads(control))
		learn(control, list, clock_now(control->net->clock));
}

/* Whether the next crash can decide on the part, so that passes matter. */
static bool is_worth_watching(const part_record_t *record)
{
	return record->crash_count >= PART_GUARD_CRASHES_MIN - 1 ||
	       record->refused_until_ms != 0;
}

/*
 * Fills "parts", of PART_GUARD_PARTS_MAX items, with those that are refused or
 * worth watching; returns the message with them.
 */
static msg_fleet_parts_t list_parts(const fleet_control_t *control,
				    clock_ms_t now, msg_fleet_part_t *parts)
{
	const part_guard_t *guard = &control->parts;
	msg_fleet_parts_t list = {
		.parts = parts,
		.question = control->part_inquiry.number,
	};

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
	return list;
}

/*
 * Sends all subscribers the parts that are refused or worth watching.  An empty
 * list is sent only once, after a list that was not empty.
 */
void fleet_parts_send(fleet_control_t *control, clock_ms_t now)
{
	msg_fleet_part_t parts[PART_GUARD_PARTS_MAX];
	const msg_fleet_parts_t list = list_parts(control, now, parts);

	for (guint i = 0; (list.part_count > 0 || control->parts_sent > 0) &&
			  i < control->subscribers->len;
	     i++)
		conn_send(g_ptr_array_index(control->subscribers, i),
			  MSG_FLEET_PARTS, &list);
	control->parts_sent = list.part_count;
	control->parts_sent_ms = now;
}

/* Tells a subscriber that has just connected what is refused. */
void fleet_parts_send_to(const fleet_control_t *control, conn_t *conn)
{
	msg_fleet_part_t parts[PART_GUARD_PARTS_MAX];
	const msg_fleet_parts_t list =
		list_parts(control, clock_now(control->net->clock), parts);

	if (list.part_count > 0)
		conn_send(conn, MSG_FLEET_PARTS, &list);
}

/* Drops what only a leader needs. */
static void drop_reports(fleet_control_t *control)
{
	crash_reports_init(&control->crash_reports);
	part_inquiry_reset(&control->part_inquiry);
}

/* Forgets old parts and, at the leader, sends the list at intervals. */
void fleet_parts_tick(fleet_control_t *control, clock_ms_t now)
{
	if (fleet_group_leads(control))
		fleet_parts_confirm(control, now);
	else
		drop_reports(control);
	part_guard_expire(&control->parts, now);
	part_guard_unwatch(&control->parts);
	counter_set(GAUGE_PARTS_REFUSED,
		    part_guard_refused_count(&control->parts, now));
	if (fleet_group_leads(control) &&
	    now - control->parts_sent_ms >= FLEET_LOAD_INTERVAL_MS)
		fleet_parts_send(control, now);
}
