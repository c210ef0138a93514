#ifndef WISTERIA_GATEWAY_WHERE_H
#define WISTERIA_GATEWAY_WHERE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/gateway/gateway_defs.h"
#include "wisteria/gateway/target.h"

/* Most tokens of a prompt, or of an answer, that a question may name. */
#define WHERE_TOKENS_MAX 100000000

/* A request that is not sent; numbers of tokens that are 0 are not stated. */
typedef struct {
	const char *route;
	const char *customer; /* NULL: none */
	uint32_t prompt_tokens;
	uint32_t answer_tokens;
} where_query_t;

typedef enum {
	WHERE_START,
	WHERE_WAIT,
	WHERE_REFUSE,
	WHERE_SEARCH /* no plan decides: all endpoints are searched */
} where_outcome_t;

typedef enum {
	WHERE_FOUND,
	WHERE_NO_CONFIGURATION,
	WHERE_NO_ROUTE,
	WHERE_NO_CUSTOMER
} where_result_t;

/* A flow of the plan and what it has for the request. */
typedef struct {
	const planned_flow_t *flow;
	flow_state_t state;
	double window_tokens; /* see flow_plan_window() */
	double unread_tokens; /* of the window, in use */
} where_flow_t;

/*
 * Where a request would go now, and why.  The pointers are to the gateway's
 * state; they are valid until it changes.
 */
typedef struct {
	uint64_t revision;
	const service_t *service;
	uint32_t service_weight; /* of the route's weights */
	uint32_t weight_sum;
	uint32_t prompt_tokens;
	uint32_t answer_tokens;
	int32_t rank; /* see route_table_rank(); before a promotion */
	bool is_promoted;
	const service_flows_t *plan; /* NULL: no valid one of the service */
	clock_ms_t plan_age_ms;	     /* of any plan; -1: there was none */
	uint64_t term;
	uint64_t sequence;
	uint32_t waiting;	      /* requests for the service */
	GArray *flows;		      /* of where_flow_t */
	const planned_flow_t *chosen; /* if it did not have to wait; or NULL */
	where_outcome_t outcome;
	const char *reason;	  /* of the outcome; NULL: none */
	clock_ms_t expected_ms;	  /* WHERE_WAIT: time until the start */
	clock_ms_t wait_limit_ms; /* WHERE_WAIT: longest wait */
} where_answer_t;

where_result_t
where_find(const gateway_t *gateway, const where_query_t *query,
	   where_answer_t *answer) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void where_answer_finish(where_answer_t *answer) ATTR_NONNULL_ALL;

#endif
