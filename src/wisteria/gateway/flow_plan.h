#ifndef WISTERIA_GATEWAY_FLOW_PLAN_H
#define WISTERIA_GATEWAY_FLOW_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/fleet/pipeline_defs.h"
#include "wisteria/fleet/registry_defs.h"
#include "wisteria/fleet/routes_defs.h"

/* A plan expires this long after the report that it answers was sent. */
#define FLOW_PLAN_MAX_AGE_MS 2000

/* One hop of a planned pipeline. */
typedef struct {
	char endpoint[ENDPOINT_ID_BYTES];
	uint64_t incarnation;
	uint32_t first_layer;
	uint32_t end_layer;
} planned_hop_t;

/* A pipeline and its part of this entry's requests. */
typedef struct {
	planned_hop_t hops[PIPELINE_HOPS_MAX];
	uint32_t hop_count;
	double weight;	   /* prompt tokens per s */
	double first_rate; /* of all flows with the same first endpoint */
	double first_event_ms;
	double pause_ms;
	double credit;	/* prompt tokens that it is behind the others */
	bool is_usable; /* for the request that is being placed */
} planned_flow_t;

/* What the leader planned for one service. */
typedef struct {
	char service[64];
	GArray *flows; /* of planned_flow_t */
	double share_per_s;
	double capacity_per_s;
	int32_t level; /* least urgent rank admitted in full; -1: none */
	double promoted[REQUEST_RANKS]; /* fraction sent with rank 0 */
	double left[REQUEST_RANKS];	/* of the capacity, for a rank */
	double promotion_credit[REQUEST_RANKS];
} service_flows_t;

/* The leader's last plan, as far as it concerns this entry. */
typedef struct {
	GPtrArray *services; /* of service_flows_t */
	uint64_t term;
	uint64_t sequence;
	clock_ms_t valid_until_ms;
} flow_plan_t;

/* Whether a request may use the flow now; "user" is the caller's. */
typedef bool (*flow_usable_t)(const planned_flow_t *flow, void *user);

void flow_plan_init(flow_plan_t *plan) ATTR_NONNULL_ALL;
void flow_plan_finish(flow_plan_t *plan) ATTR_NONNULL_ALL;
bool flow_plan_follow(flow_plan_t *plan, const msg_fleet_plan_t *message,
		      clock_ms_t now) ATTR_NONNULL_ALL;
service_flows_t *flow_plan_find(const flow_plan_t *plan, const char *service,
				clock_ms_t now) ATTR_NONNULL_ALL;
bool flow_plan_would_promote(const service_flows_t *service,
			     int32_t rank) ATTR_NONNULL_ALL;
bool flow_plan_promotes(service_flows_t *service, int32_t rank,
			double tokens) ATTR_NONNULL_ALL;
double flow_plan_start_rate(const service_flows_t *service) ATTR_NONNULL_ALL;
double flow_plan_window(const service_flows_t *service,
			const planned_flow_t *flow, int32_t rank,
			clock_ms_t goal_ms) ATTR_NONNULL_ALL;
const planned_flow_t *flow_plan_preview(const service_flows_t *service,
					double tokens,
					const bool *usable) ATTR_NONNULL_ALL;
planned_flow_t *flow_plan_choose(service_flows_t *service, double tokens,
				 flow_usable_t usable, void *user)
	ATTR_NONNULL(1, 3);

#endif
