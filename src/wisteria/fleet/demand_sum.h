#ifndef WISTERIA_FLEET_DEMAND_SUM_H
#define WISTERIA_FLEET_DEMAND_SUM_H

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/fleet/routes_defs.h"

/* Age at which an entry's demand expires: four report intervals. */
#define DEMAND_SUM_REPORT_TTL_MS 2000
/* Services of which an entry's demand is kept; further ones are ignored. */
#define DEMAND_SUM_SERVICES_MAX 8

/* What callers of one entry ask of one service. */
typedef struct {
	char service[64];
	double tokens_per_ms[REQUEST_RANKS]; /* of prompts, smoothed */
	double waiting_tokens[REQUEST_RANKS];
} service_demand_t;

/* The demand that one entry has reported. */
typedef struct {
	char failure_domain[64];
	int64_t sent_ms; /* of the last report, by the entry's clock */
	clock_ms_t received_ms;
	service_demand_t services[DEMAND_SUM_SERVICES_MAX];
	uint32_t service_count;
} entry_demand_t;

/* The demand of callers, as reported by the entries to the leader. */
typedef struct {
	GHashTable *entries; /* name -> entry_demand_t */
} demand_sum_t;

void demand_sum_init(demand_sum_t *sum) ATTR_NONNULL_ALL;
void demand_sum_finish(demand_sum_t *sum) ATTR_NONNULL_ALL;
void demand_sum_set_report(demand_sum_t *sum, const msg_fleet_load_t *load,
			   const char *failure_domain,
			   clock_ms_t now) ATTR_NONNULL_ALL;
void demand_sum_expire(demand_sum_t *sum, clock_ms_t now) ATTR_NONNULL_ALL;
const service_demand_t *
demand_sum_find_service(const entry_demand_t *entry,
			const char *service) ATTR_NONNULL_ALL;
double demand_total_rate(const service_demand_t *demand) ATTR_NONNULL_ALL;

#endif
