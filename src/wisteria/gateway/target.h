#ifndef WISTERIA_GATEWAY_TARGET_H
#define WISTERIA_GATEWAY_TARGET_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/gateway/gateway_defs.h"

typedef enum {
	TARGET_FOUND,
	TARGET_NONE, /* no usable endpoint serves what is needed */
	TARGET_FULL, /* the endpoints that do have no free capacity */
	/* As the two above, and some endpoints want nothing for a while. */
	TARGET_PAUSED,
	TARGET_LIMITED /* as TARGET_FULL, and some are at a limit they name */
} target_result_t;

/* Whether a flow of the plan takes a request now, or what it lacks. */
typedef enum {
	FLOW_USABLE,
	FLOW_NO_ENDPOINT, /* one of its endpoints can't be used */
	FLOW_NO_WINDOW,
	FLOW_NO_MEMORY,
	FLOW_LIMITED /* its first endpoint is at a limit that it names */
} flow_state_t;

/* The current pipeline of a request with its lost hops replaced. */
typedef struct {
	target_t target;
	bool is_new[PIPELINE_HOPS_MAX]; /* of its hops */
	uint32_t new_layers;		/* of all new hops */
} target_repair_t;

target_result_t target_choose(exchange_t *exchange, target_t *target)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
target_result_t
target_preview(const exchange_t *exchange, const service_flows_t *service,
	       flow_state_t *states, const planned_flow_t **chosen,
	       target_t *target) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
bool target_replace_lost(
	const exchange_t *exchange, const bool is_lost[PIPELINE_HOPS_MAX],
	target_repair_t *repair) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
