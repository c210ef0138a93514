/*
 * Decides which parts of prompts, and which whole requests, are refused because
 * they crash endpoints.  It is made for a part that crashes every endpoint which
 * begins an answer to a request with it, whatever else the request has, and for a
 * request that crashes every endpoint and is repeated under other ids; other
 * requests share its caller and its other parts and are sound.  A request counts
 * as its own last part.
 *
 * A part is held responsible if requests with it crashed
 * PART_GUARD_CRASHES_MIN endpoints, and no request with it was served since the
 * first of these crashes or within PART_GUARD_PASS_MS.  Endpoints that are lost
 * at one moment say little of a part that many requests have: while many times
 * as many requests with it are under way as endpoints have crashed, the verdict
 * is left to a crash at a later moment.
 *
 * Of several such parts of one request only one is refused: one that was never
 * in a served request before any that was, then the most specific one, since
 * fewest requests have it.  A refusal ends after PART_GUARD_REFUSAL_MS; for
 * PART_GUARD_MEMORY_MS more a single crash renews it.  Does no I/O and reads no
 * clock.
 */
#include "wisteria/fleet/part_guard.h"

#include <stddef.h>
#include <string.h>

#include <glib.h>

/* Initializes a guard that knows no part. */
void part_guard_init(part_guard_t *guard)
{
	guard->count = 0;
}

static part_record_t *find_record(part_guard_t *guard, uint64_t part)
{
	for (uint32_t i = 0; i < guard->count; i++)
		if (guard->records[i].part == part)
			return &guard->records[i];
	return NULL;
}

/* Returns what is known of "part", or NULL. */
const part_record_t *part_guard_find(const part_guard_t *guard, uint64_t part)
{
	return find_record((part_guard_t *)guard, part);
}

static void remove_record(part_guard_t *guard, part_record_t *record)
{
	*record = guard->records[--guard->count];
}

/*
 * Returns until when the record is of use; 0: as long as another process wants
 * the part watched.
 */
static clock_ms_t forget_ms(const part_record_t *record)
{
	clock_ms_t until_ms =
		record->refused_until_ms == 0
			? 0
			: record->refused_until_ms + PART_GUARD_MEMORY_MS;

	for (uint32_t i = 0; i < record->crash_count; i++)
		until_ms = MAX(until_ms,
			       record->crashes[i].at_ms + PART_GUARD_MEMORY_MS);
	return until_ms;
}

/* Returns the record of "part"; a new one replaces the least useful. */
static part_record_t *find_or_add(part_guard_t *guard, uint64_t part)
{
	part_record_t *record = find_record(guard, part);

	if (record != NULL)
		return record;
	if (guard->count < PART_GUARD_PARTS_MAX) {
		record = &guard->records[guard->count++];
	} else {
		record = &guard->records[0];
		for (uint32_t i = 1; i < guard->count; i++)
			if (forget_ms(&guard->records[i]) < forget_ms(record))
				record = &guard->records[i];
	}
	*record = (part_record_t){ .part = part };
	return record;
}

/*
 * Adds a crash in place of an earlier one of the same endpoint, or else of the
 * oldest if there are PART_GUARD_CRASHES_MIN.
 */
static void add_crash(part_record_t *record, const part_crash_t *crash)
{
	uint32_t at = 0;

	while (at < record->crash_count &&
	       record->crashes[at].endpoint != crash->endpoint)
		at++;
	if (at == PART_GUARD_CRASHES_MIN)
		at = 0;
	if (at < record->crash_count) {
		record->crash_count--;
		memmove(&record->crashes[at], &record->crashes[at + 1],
			(record->crash_count - at) *
				sizeof(record->crashes[0]));
	}
	if (record->crash_count == 0)
		record->first_crash_ms = crash->at_ms;
	record->first_crash_ms = MIN(record->first_crash_ms, crash->at_ms);
	record->crashes[record->crash_count++] = *crash;
}

static void add_pass(part_record_t *record, clock_ms_t passed_ms)
{
	uint32_t kept = 0;

	if (record->has_passed && passed_ms <= record->passed_ms)
		return;
	record->has_passed = true;
	record->passed_ms = passed_ms;
	for (uint32_t i = 0; i < record->crash_count; i++)
		if (record->crashes[i].at_ms >= passed_ms)
			record->crashes[kept++] = record->crashes[i];
	if (kept < record->crash_count)
		record->refusal_is_due = false;
	record->crash_count = kept;
	if (kept > 0)
		record->first_crash_ms = record->crashes[0].at_ms;
}

static uint32_t count_requests(const part_record_t *record)
{
	uint32_t requests = 0;

	for (uint32_t i = 0; i < record->crash_count; i++) {
		uint32_t same = 0;

		while (same < i && record->crashes[same].request !=
					   record->crashes[i].request)
			same++;
		requests += same == i;
	}
	return requests;
}

static bool is_refused(const part_record_t *record, clock_ms_t now)
{
	return now < record->refused_until_ms;
}

static bool has_just_passed(const part_record_t *record, clock_ms_t now)
{
	return record->has_passed &&
	       now - record->passed_ms < PART_GUARD_PASS_MS;
}

static bool is_responsible(const part_record_t *record, clock_ms_t now)
{
	if (has_just_passed(record, now))
		return false;
	if (record->refused_until_ms != 0)
		return record->crash_count > 0;
	return record->crash_count >= PART_GUARD_CRASHES_MIN &&
	       count_requests(record) >= PART_GUARD_REQUESTS_MIN;
}

static clock_ms_t last_crash_ms(const part_record_t *record)
{
	clock_ms_t last_ms = record->first_crash_ms;

	for (uint32_t i = 0; i < record->crash_count; i++)
		last_ms = MAX(last_ms, record->crashes[i].at_ms);
	return last_ms;
}

/*
 * Whether the crashes may be one loss of several endpoints that requests with the
 * part only happened to be at.  "is_complete": all entries have said how many
 * requests with it are under way.
 */
static bool is_doubtful(const part_record_t *record, bool is_complete)
{
	return record->refused_until_ms == 0 &&
	       last_crash_ms(record) - record->first_crash_ms <
		       PART_GUARD_MOMENT_MS &&
	       (!is_complete ||
		record->under_way >
			PART_GUARD_UNDER_WAY_FACTOR * record->crash_count);
}

/* Whether refusing "record" does less harm than refusing "other". */
static bool is_preferred(const part_record_t *record,
			 const part_record_t *other)
{
	if (other == NULL)
		return true;
	if (record->has_passed != other->has_passed)
		return !record->has_passed;
	return record->position > other->position;
}

/* Whether the crash says something that is not known from what came later. */
static bool is_news(const part_record_t *record, const part_crash_t *crash)
{
	return (!record->has_passed || crash->at_ms >= record->passed_ms) &&
	       crash->at_ms >= record->refused_until_ms;
}

/* Whether this crash is recorded under "part" already. */
bool part_guard_has_crash(const part_guard_t *guard, uint64_t part,
			  const part_crash_t *crash)
{
	const part_record_t *record = part_guard_find(guard, part);

	for (uint32_t i = 0; record != NULL && i < record->crash_count; i++)
		if (record->crashes[i].endpoint == crash->endpoint &&
		    record->crashes[i].repetition == crash->repetition)
			return true;
	return false;
}

static bool is_any_refused(const part_guard_t *guard, const part_seen_t *parts,
			   uint32_t count, clock_ms_t now)
{
	for (uint32_t i = 0; i < count; i++)
		if (part_guard_refused_ms(guard, parts[i].part, now) > 0)
			return true;
	return false;
}

/* Marks the parts that the crash makes responsible. */
static void mark_due_refusals(part_guard_t *guard, const part_seen_t *parts,
			      uint32_t count, const part_crash_t *crash,
			      clock_ms_t now)
{
	for (uint32_t i = 0; i < count; i++) {
		part_record_t *record = find_record(guard, parts[i].part);

		if (record != NULL && is_news(record, crash) &&
		    is_responsible(record, now))
			record->refusal_is_due = true;
	}
}

/*
 * Returns the part to refuse for the crash, or NULL.  One that is doubtful
 * is left out if "leaves_out_doubtful"; a whole request never is, since its
 * repetitions are few.
 */
static const part_seen_t *
find_responsible(const part_guard_t *guard, const part_seen_t *parts,
		 uint32_t count, const part_crash_t *crash,
		 bool leaves_out_doubtful, bool is_complete, clock_ms_t now)
{
	const part_record_t *found = NULL;
	const part_seen_t *part = NULL;

	for (uint32_t i = 0; i < count; i++) {
		const part_record_t *record =
			part_guard_find(guard, parts[i].part);

		if (record == NULL || !record->refusal_is_due ||
		    !is_news(record, crash) || has_just_passed(record, now) ||
		    !is_preferred(record, found) ||
		    (leaves_out_doubtful && !parts[i].is_whole &&
		     is_doubtful(record, is_complete)))
			continue;
		found = record;
		part = &parts[i];
	}
	return part;
}

/*
 * Records that an endpoint crashed as it began the answer to a request with
 * these parts.  The crash may be an earlier one, and may be recorded already.
 * Returns the part that a verdict is due on, see part_guard_judge(), or NULL.
 */
const part_record_t *part_guard_crash(part_guard_t *guard,
				      const part_seen_t *parts, uint32_t count,
				      const part_crash_t *crash, clock_ms_t now)
{
	const part_seen_t *suspected;

	if (is_any_refused(guard, parts, count, now))
		return NULL;
	for (uint32_t i = 0; i < count; i++) {
		part_record_t *record = find_or_add(guard, parts[i].part);
		part_crash_t counted = *crash;

		if (parts[i].is_whole)
			counted.request = crash->repetition;
		record->position = i;
		if (parts[i].has_passed)
			add_pass(record, parts[i].passed_ms);
		if (is_news(record, crash))
			add_crash(record, &counted);
	}
	mark_due_refusals(guard, parts, count, crash, now);
	suspected =
		find_responsible(guard, parts, count, crash, false, true, now);
	return suspected == NULL ? NULL : find_record(guard, suspected->part);
}

/*
 * Decides on a crash that part_guard_crash() has recorded.  "is_complete": every
 * entry has said since then what it knows of the parts.  Returns the part that is
 * refused from "now" on, or NULL if none is, or if one of them was refused
 * already.
 */
const part_record_t *part_guard_judge(part_guard_t *guard,
				      const part_seen_t *parts, uint32_t count,
				      const part_crash_t *crash,
				      bool is_complete, clock_ms_t now)
{
	const part_seen_t *responsible;
	part_record_t *refused;

	if (is_any_refused(guard, parts, count, now))
		return NULL;
	responsible = find_responsible(guard, parts, count, crash, true,
				       is_complete, now);
	if (responsible == NULL)
		return NULL;
	refused = find_record(guard, responsible->part);
	refused->refused_until_ms = now + PART_GUARD_REFUSAL_MS;
	refused->refusal_is_due = false;
	/* Refusing one request does not account for crashes under others. */
	for (uint32_t i = 0; !responsible->is_whole && i < count; i++) {
		part_record_t *record = find_record(guard, parts[i].part);

		if (record == NULL || record == refused)
			continue;
		record->crash_count = 0;
		record->refusal_is_due = false;
	}
	return refused;
}

/* Forgets what part_guard_add_under_way() has recorded. */
void part_guard_clear_under_way(part_guard_t *guard)
{
	for (uint32_t i = 0; i < guard->count; i++)
		guard->records[i].under_way = 0;
}

/*
 * Records that an entry has sent endpoints this many requests with "part", under
 * which they have neither crashed nor gone on yet.
 */
void part_guard_add_under_way(part_guard_t *guard, uint64_t part,
			      uint32_t requests)
{
	part_record_t *record = find_record(guard, part);

	if (record != NULL)
		record->under_way += MIN(requests, PART_GUARD_UNDER_WAY_MAX);
}

/*
 * Records that an endpoint began to answer a request with "part" and did not
 * crash.  Nothing is recorded of parts that are in no record.
 */
void part_guard_pass(part_guard_t *guard, uint64_t part, clock_ms_t passed_ms)
{
	part_record_t *record = find_record(guard, part);

	if (record != NULL)
		add_pass(record, passed_ms);
}

/*
 * Takes over from another process that "part" is refused until
 * "refused_until_ms", or only watched if that is not after "now".  Returns
 * whether the refusal is new here.
 */
bool part_guard_watch(part_guard_t *guard, uint64_t part,
		      clock_ms_t refused_until_ms, clock_ms_t now)
{
	part_record_t *record = find_or_add(guard, part);
	bool was_refused = is_refused(record, now);

	if (refused_until_ms > now)
		record->refused_until_ms =
			MAX(record->refused_until_ms, refused_until_ms);
	return !was_refused && is_refused(record, now);
}

/* Forgets the parts that are only watched for another process. */
void part_guard_unwatch(part_guard_t *guard)
{
	for (uint32_t i = guard->count; i-- > 0;)
		if (guard->records[i].refused_until_ms == 0 &&
		    guard->records[i].crash_count == 0)
			remove_record(guard, &guard->records[i]);
}

/* Returns how many parts are refused. */
uint32_t part_guard_refused_count(const part_guard_t *guard, clock_ms_t now)
{
	uint32_t refused = 0;

	for (uint32_t i = 0; i < guard->count; i++)
		refused += is_refused(&guard->records[i], now);
	return refused;
}

/* Returns for how long yet requests with "part" are refused; 0: they are not. */
clock_ms_t part_guard_refused_ms(const part_guard_t *guard, uint64_t part,
				 clock_ms_t now)
{
	const part_record_t *record = part_guard_find(guard, part);

	return record != NULL && is_refused(record, now)
		       ? record->refused_until_ms - now
		       : 0;
}

/* Forgets what is of no use any more; to be called periodically. */
void part_guard_expire(part_guard_t *guard, clock_ms_t now)
{
	for (uint32_t i = guard->count; i-- > 0;) {
		clock_ms_t until_ms = forget_ms(&guard->records[i]);

		if (until_ms != 0 && until_ms <= now)
			remove_record(guard, &guard->records[i]);
	}
}
