#ifndef WISTERIA_FLEET_CRASH_REPORTS_H
#define WISTERIA_FLEET_CRASH_REPORTS_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/dialect.h"
#include "wisteria/fleet/part_guard_defs.h"
#include "wisteria/fleet/registry_defs.h"

/* Most reports that are kept; a new one replaces the oldest. */
#define CRASH_REPORTS_MAX 64
/* Above REGISTRY_SILENCE_MS, after which a crashed endpoint is silent. */
#define CRASH_REPORT_MAX_AGE_MS 4000

/* A request whose endpoint closed the connection without a whole answer. */
typedef struct {
	clock_ms_t heard_ms; /* when it was received */
	char endpoint_id[ENDPOINT_ID_BYTES];
	uint64_t incarnation;
	part_crash_t crash;
	part_seen_t parts[REQUEST_PARTS_MAX];
	uint32_t part_count;
} crash_report_t;

/* Reports of crashes that are not certain yet, the oldest first. */
typedef struct {
	crash_report_t reports[CRASH_REPORTS_MAX];
	uint32_t count;
} crash_reports_t;

void crash_reports_init(crash_reports_t *reports) ATTR_NONNULL_ALL;
bool crash_reports_add(crash_reports_t *reports, const crash_report_t *report,
		       const registry_t *registry) ATTR_NONNULL_ALL;
bool crash_reports_take(crash_reports_t *reports, const registry_t *registry,
			clock_ms_t now, crash_report_t *confirmed)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
