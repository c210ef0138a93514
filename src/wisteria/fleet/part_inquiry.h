#ifndef WISTERIA_FLEET_PART_INQUIRY_H
#define WISTERIA_FLEET_PART_INQUIRY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/crash_reports.h"

/*
 * How long the leader waits for answers, which take a round trip.  A part that
 * crashes endpoints goes on doing so while a frozen entry is waited for.
 */
#define PART_INQUIRY_MS 1000
/* Most crashes that wait for a verdict, one for each part that is asked about. */
#define PART_INQUIRY_CRASHES_MAX 16

/* A crash that waits for a verdict. */
typedef struct {
	crash_report_t report;
	uint64_t part; /* the one that the verdict is about */
} held_crash_t;

/* What the leader asks the entries before it refuses a part. */
typedef struct {
	uint64_t number; /* 0: none is open */
	clock_ms_t asked_ms;
	GPtrArray *unanswered; /* of the entries that were asked */
	uint32_t asked_count;
	uint32_t gone_count; /* asked, and gone without an answer */
	held_crash_t held[PART_INQUIRY_CRASHES_MAX]; /* the oldest first */
	uint32_t held_count;
	uint32_t asked_held_count; /* held when the entries were asked */
} part_inquiry_t;

void part_inquiry_init(part_inquiry_t *inquiry) ATTR_NONNULL_ALL;
void part_inquiry_finish(part_inquiry_t *inquiry) ATTR_NONNULL_ALL;
void part_inquiry_reset(part_inquiry_t *inquiry) ATTR_NONNULL_ALL;
void part_inquiry_hold(part_inquiry_t *inquiry, const crash_report_t *report,
		       uint64_t part) ATTR_NONNULL_ALL;
bool part_inquiry_is_due(const part_inquiry_t *inquiry) ATTR_NONNULL_ALL;
void part_inquiry_open(part_inquiry_t *inquiry, uint64_t number,
		       clock_ms_t now) ATTR_NONNULL_ALL;
void part_inquiry_ask(part_inquiry_t *inquiry,
		      const void *entry) ATTR_NONNULL_ALL;
bool part_inquiry_answer(part_inquiry_t *inquiry, uint64_t number,
			 const void *entry) ATTR_NONNULL_ALL;
void part_inquiry_forget(part_inquiry_t *inquiry,
			 const void *entry) ATTR_NONNULL_ALL;
bool part_inquiry_is_over(const part_inquiry_t *inquiry,
			  clock_ms_t now) ATTR_NONNULL_ALL;
bool part_inquiry_is_complete(const part_inquiry_t *inquiry) ATTR_NONNULL_ALL;
uint32_t
part_inquiry_answer_count(const part_inquiry_t *inquiry) ATTR_NONNULL_ALL;
bool part_inquiry_take(part_inquiry_t *inquiry,
		       held_crash_t *held) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
