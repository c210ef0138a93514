/*
 * Keeps reports of requests whose endpoint closed the connection without a whole
 * answer, until it is known whether the endpoint has crashed: it takes no
 * connections, is silent, or was started again.  An endpoint that lives on has
 * only reset the connection, and one that leaves ends as planned; both say
 * nothing of the request.  No clock, no I/O.
 */
#include "wisteria/fleet/crash_reports.h"

#include <string.h>

#include "wisteria/fleet/registry.h"

/* Initializes an empty list. */
void crash_reports_init(crash_reports_t *reports)
{
	reports->count = 0;
}

static void remove_report(crash_reports_t *reports, uint32_t i)
{
	reports->count--;
	memmove(&reports->reports[i], &reports->reports[i + 1],
		(reports->count - i) * sizeof(reports->reports[0]));
}

static bool is_held(const crash_reports_t *reports,
		    const crash_report_t *report)
{
	for (uint32_t i = 0; i < reports->count; i++)
		if (reports->reports[i].crash.endpoint ==
			    report->crash.endpoint &&
		    reports->reports[i].crash.repetition ==
			    report->crash.repetition)
			return true;
	return false;
}

/*
 * Adds a report, unless it is held already, or its endpoint is not known or
 * leaves.  Returns whether it was added.
 */
bool crash_reports_add(crash_reports_t *reports, const crash_report_t *report,
		       const registry_t *registry)
{
	const endpoint_t *endpoint =
		registry_find(registry, report->endpoint_id);

	if (endpoint == NULL || endpoint->draining || endpoint->gone ||
	    is_held(reports, report))
		return false;
	if (reports->count == CRASH_REPORTS_MAX)
		remove_report(reports, 0);
	reports->reports[reports->count++] = *report;
	return true;
}

static bool has_ended(const crash_report_t *report, const registry_t *registry)
{
	const endpoint_t *endpoint =
		registry_find(registry, report->endpoint_id);

	return endpoint == NULL || endpoint->gone || endpoint->unreachable ||
	       endpoint->incarnation != report->incarnation ||
	       registry_is_silent(registry, endpoint);
}

/*
 * Removes a report whose endpoint has crashed and copies it to "confirmed";
 * returns false if there is none.  Drops reports that are too old.
 */
bool crash_reports_take(crash_reports_t *reports, const registry_t *registry,
			clock_ms_t now, crash_report_t *confirmed)
{
	uint32_t i = 0;

	while (i < reports->count) {
		const crash_report_t *report = &reports->reports[i];

		if (has_ended(report, registry)) {
			*confirmed = *report;
			remove_report(reports, i);
			return true;
		}
		if (now - report->heard_ms >= CRASH_REPORT_MAX_AGE_MS)
			remove_report(reports, i);
		else
			i++;
	}
	return false;
}
