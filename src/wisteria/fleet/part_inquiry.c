/*
 * Holds crashes that call for a verdict on a part until the entries have said
 * when the part was last served and how many requests with it are under way.
 * Entries tell the leader at intervals of parts that it watches, which is too
 * late for endpoints that are lost within one interval.  No clock, no I/O.
 */
#include "wisteria/fleet/part_inquiry.h"

#include <string.h>

/* Initializes an inquiry that holds nothing. */
void part_inquiry_init(part_inquiry_t *inquiry)
{
	memset(inquiry, 0, sizeof(*inquiry));
	inquiry->unanswered = g_ptr_array_new();
}

/* Frees what an inquiry owns. */
void part_inquiry_finish(part_inquiry_t *inquiry)
{
	g_ptr_array_unref(inquiry->unanswered);
}

/* Drops the inquiry and what it holds. */
void part_inquiry_reset(part_inquiry_t *inquiry)
{
	inquiry->number = 0;
	inquiry->held_count = 0;
	inquiry->asked_held_count = 0;
	g_ptr_array_set_size(inquiry->unanswered, 0);
}

/*
 * Holds a crash that calls for a verdict on "part", in place of an earlier one that
 * does and that the entries were not asked about yet.  If too many parts are held
 * it is left out; the next crash under the part calls again.
 */
void part_inquiry_hold(part_inquiry_t *inquiry, const crash_report_t *report,
		       uint64_t part)
{
	uint32_t at = inquiry->asked_held_count;

	while (at < inquiry->held_count && inquiry->held[at].part != part)
		at++;
	if (at == PART_INQUIRY_CRASHES_MAX)
		return;
	inquiry->held[at] = (held_crash_t){ *report, part };
	inquiry->held_count = MAX(inquiry->held_count, at + 1);
}

/* Returns whether crashes are held that no open inquiry is about. */
bool part_inquiry_is_due(const part_inquiry_t *inquiry)
{
	return inquiry->number == 0 && inquiry->held_count > 0;
}

/* Begins to ask about all crashes that are held; "number" is not 0. */
void part_inquiry_open(part_inquiry_t *inquiry, uint64_t number, clock_ms_t now)
{
	inquiry->number = number;
	inquiry->asked_ms = now;
	inquiry->asked_count = 0;
	inquiry->gone_count = 0;
	inquiry->asked_held_count = inquiry->held_count;
	g_ptr_array_set_size(inquiry->unanswered, 0);
}

/* Records that "entry", a connection, was asked. */
void part_inquiry_ask(part_inquiry_t *inquiry, const void *entry)
{
	g_ptr_array_add(inquiry->unanswered, (gpointer)entry);
	inquiry->asked_count++;
}

/*
 * Records an answer.  Returns false if it is not one of this inquiry, or not the
 * first of this entry.
 */
bool part_inquiry_answer(part_inquiry_t *inquiry, uint64_t number,
			 const void *entry)
{
	return number != 0 && number == inquiry->number &&
	       g_ptr_array_remove_fast(inquiry->unanswered, (gpointer)entry);
}

/* Records that the connection of an entry has closed. */
void part_inquiry_forget(part_inquiry_t *inquiry, const void *entry)
{
	if (g_ptr_array_remove_fast(inquiry->unanswered, (gpointer)entry))
		inquiry->gone_count++;
}

/* Returns whether there is nothing left to wait for, or no more time. */
bool part_inquiry_is_over(const part_inquiry_t *inquiry, clock_ms_t now)
{
	return inquiry->number != 0 &&
	       (inquiry->unanswered->len == 0 ||
		now - inquiry->asked_ms >= PART_INQUIRY_MS);
}

/* Returns whether every entry that was asked has answered. */
bool part_inquiry_is_complete(const part_inquiry_t *inquiry)
{
	return inquiry->unanswered->len == 0 && inquiry->gone_count == 0;
}

/* Returns how many entries have answered. */
uint32_t part_inquiry_answer_count(const part_inquiry_t *inquiry)
{
	return inquiry->asked_count - inquiry->gone_count -
	       inquiry->unanswered->len;
}

/*
 * Takes the oldest crash that the entries were asked about.  Returns false, and
 * ends the inquiry, if there is none.
 */
bool part_inquiry_take(part_inquiry_t *inquiry, held_crash_t *held)
{
	if (inquiry->asked_held_count == 0) {
		inquiry->number = 0;
		return false;
	}
	*held = inquiry->held[0];
	inquiry->asked_held_count--;
	inquiry->held_count--;
	memmove(&inquiry->held[0], &inquiry->held[1],
		inquiry->held_count * sizeof(inquiry->held[0]));
	return true;
}
