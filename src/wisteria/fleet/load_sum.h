#ifndef WISTERIA_FLEET_LOAD_SUM_H
#define WISTERIA_FLEET_LOAD_SUM_H

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"

/* Age at which an entry's report expires: four report intervals. */
#define LOAD_SUM_REPORT_TTL_MS 2000

/* What runs at an endpoint, over all entries. */
typedef struct {
	double tokens;
	double unread_tokens; /* prompts of requests without a first event */
	double sequences;
} load_use_t;

/* Token usage of endpoints, as reported by the entries to the leader. */
typedef struct {
	GHashTable *reports; /* entry -> load_report_t */
} load_sum_t;

void load_sum_init(load_sum_t *sum) ATTR_NONNULL_ALL;
void load_sum_finish(load_sum_t *sum) ATTR_NONNULL_ALL;
void load_sum_set_report(load_sum_t *sum, const msg_fleet_load_t *load,
			 clock_ms_t now) ATTR_NONNULL_ALL;
GHashTable *load_sum_total(load_sum_t *sum,
			   clock_ms_t now) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
