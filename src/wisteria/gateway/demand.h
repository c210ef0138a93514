#ifndef WISTERIA_GATEWAY_DEMAND_H
#define WISTERIA_GATEWAY_DEMAND_H

#include <stdint.h>

#include <glib.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"

/* What callers of this entry asked for since the last report. */
typedef struct {
	GArray *items; /* of demand_item_t */
} demand_t;

/* Requests of one rank for one service. */
typedef struct {
	char service[64];
	int32_t rank;
	double arrived_tokens;
	double waiting_tokens;
} demand_item_t;

void demand_init(demand_t *demand) ATTR_NONNULL_ALL;
void demand_finish(demand_t *demand) ATTR_NONNULL_ALL;
void demand_add(demand_t *demand, const char *service, int32_t rank,
		double prompt_tokens) ATTR_NONNULL_ALL;
void demand_add_waiting(demand_t *demand, const char *service, int32_t rank,
			double prompt_tokens) ATTR_NONNULL_ALL;
msg_fleet_demand_t *demand_report(demand_t *demand,
				  size_t *count) ATTR_NONNULL_ALL;

#endif
