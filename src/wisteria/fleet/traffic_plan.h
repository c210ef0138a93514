#ifndef WISTERIA_FLEET_TRAFFIC_PLAN_H
#define WISTERIA_FLEET_TRAFFIC_PLAN_H

#include <stdint.h>

#include <glib.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/pipeline_defs.h"
#include "wisteria/fleet/pipeline_time.h"
#include "wisteria/fleet/routes_defs.h"

/* Most pipelines in the plan of a service: bounds the time of the planning. */
#define TRAFFIC_PLAN_FLOWS_MAX 64

/* An endpoint as the planning sees it. */
typedef struct {
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t domain;
	bool usable;
	/* Prompt tokens per ms that it takes as the first; INFINITY: any. */
	double first_rate;
	double pass_ms;	       /* of all its layers */
	double backlog_tokens; /* of prompts that it has not read */
	double memory_tokens;  /* capacity of its KV cache */
} traffic_stage_t;

typedef struct {
	const engine_model_t *engine;
	const traffic_stage_t *stages;
	uint32_t stage_count;
	/* Prompt tokens per ms that callers of each failure domain ask for. */
	const double *demand;
	uint32_t domain_count;
	double prompt_tokens; /* of a request, mean */
	double answer_tokens;
} traffic_input_t;

/* Requests of callers in one domain that go through one pipeline. */
typedef struct {
	uint32_t domain; /* of the callers */
	pipeline_t pipeline;
	double rate; /* prompt tokens per ms */
	pipeline_time_t time;
} traffic_flow_t;

typedef struct {
	GArray *flows; /* of traffic_flow_t */
	/* Prompt tokens per ms that all pipelines together read. */
	double capacity;
} traffic_plan_t;

void traffic_plan_init(traffic_plan_t *plan) ATTR_NONNULL_ALL;
void traffic_plan_finish(traffic_plan_t *plan) ATTR_NONNULL_ALL;
void traffic_plan_make(traffic_plan_t *plan,
		       const traffic_input_t *input) ATTR_NONNULL_ALL;

#endif
