#ifndef WISTERIA_FLEET_PART_GUARD_DEFS_H
#define WISTERIA_FLEET_PART_GUARD_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/clock_defs.h"

/*
 * Most parts that are watched or refused at a time: those of all requests at two
 * endpoints with 192 slots, so that they do not displace what the next crash
 * needs.
 */
#define PART_GUARD_PARTS_MAX 1024
/*
 * A part is refused after it was in requests that crashed this many endpoints.
 * Fewer crashes can be a coincidence; each ends the streams of many callers.
 */
#define PART_GUARD_CRASHES_MIN 3
/* One request that crashes every endpoint says nothing of its shared parts. */
#define PART_GUARD_REQUESTS_MIN 2
/*
 * Crashes that entries saw within this time may be one loss of several endpoints,
 * which the requests there had no part in.  Busy entries see it this late.
 */
#define PART_GUARD_MOMENT_MS 250
/*
 * Crashes of one moment are taken for one loss if more than this many times as
 * many requests with the part are under way as endpoints have crashed: an outage
 * takes few of the busy endpoints, and a part that crashes endpoints is seldom at
 * many others.
 */
#define PART_GUARD_UNDER_WAY_FACTOR 4
/* A part that was in a served request this recently does not crash endpoints. */
#define PART_GUARD_PASS_MS 10000
/* More requests that one entry reports as under way count as this many. */
#define PART_GUARD_UNDER_WAY_MAX 1000000
/* How long a part is refused; then the engines may have been mended. */
#define PART_GUARD_REFUSAL_MS (5 * 60 * 1000)
/* A crash counts for this long, and so does an ended refusal. */
#define PART_GUARD_MEMORY_MS (5 * 60 * 1000)

/* A crash of an endpoint under a request with a part. */
typedef struct {
	uint64_t endpoint; /* and incarnation */
	uint64_t request;  /* the same for its repetitions */
	clock_ms_t at_ms;
	uint64_t repetition; /* another one for each */
} part_crash_t;

/* A part that was in a request under which an endpoint crashed. */
typedef struct {
	uint64_t part;
	uint32_t position; /* in the prompt; later parts are more specific */
	/* The last crashes that no pass followed, one for each endpoint. */
	part_crash_t crashes[PART_GUARD_CRASHES_MIN];
	uint32_t crash_count;
	clock_ms_t first_crash_ms; /* that no pass followed */
	uint32_t under_way; /* requests with it, when entries were last asked */
	/* Was found responsible, and no pass has cleared a crash since. */
	bool refusal_is_due;
	bool has_passed;
	clock_ms_t passed_ms;	     /* last known pass */
	clock_ms_t refused_until_ms; /* 0: never refused */
} part_record_t;

/* The parts of prompts that are suspected to crash endpoints, or refused. */
typedef struct {
	part_record_t records[PART_GUARD_PARTS_MAX];
	uint32_t count;
} part_guard_t;

/* A part of a request, in the order of the prompt; then the whole request. */
typedef struct {
	uint64_t part;
	bool is_whole;	 /* only the repetitions of the request have it, too */
	bool has_passed; /* in another request, as far as is known */
	clock_ms_t passed_ms;
} part_seen_t;

#endif
