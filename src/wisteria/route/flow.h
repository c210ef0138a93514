#ifndef WISTERIA_ROUTE_FLOW_H
#define WISTERIA_ROUTE_FLOW_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/route/flow_defs.h"

void flow_init(flow_t *flow) ATTR_NONNULL_ALL;
void flow_finish(flow_t *flow) ATTR_NONNULL_ALL;
uint32_t flow_add_node(flow_t *flow) ATTR_NONNULL_ALL;
void flow_add_edge(flow_t *flow, uint32_t from, uint32_t to,
		   double capacity) ATTR_NONNULL_ALL;
double flow_max(flow_t *flow, uint32_t source, uint32_t sink) ATTR_NONNULL_ALL;
double flow_throughput_bound(const flow_layout_t *layout) ATTR_NONNULL_ALL;

#endif
