#ifndef WISTERIA_FLEET_PIPELINE_TIME_H
#define WISTERIA_FLEET_PIPELINE_TIME_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/routes_defs.h"

/* What an engine runs, as far as it is known. */
typedef struct {
	double sequences;      /* requests that decode */
	double context_tokens; /* that they hold */
	double slowdown;       /* 1: normal speed */
} engine_load_t;

/* One hop of a pipeline, as its time is estimated. */
typedef struct {
	double pass_ms;	   /* of the layers that the hop runs */
	double backlog_ms; /* until the prompts before the request are read */
} hop_time_t;

/* Expected times of a request in a pipeline, in ms. */
typedef struct {
	double first_event_ms;
	double pause_ms; /* between two events */
} pipeline_time_t;

bool pipeline_time_is_known(const engine_model_t *engine) ATTR_NONNULL_ALL;
double pipeline_time_pass_ms(const engine_model_t *engine,
			     const accelerator_t *accelerator, uint32_t layers,
			     const engine_load_t *load) ATTR_NONNULL_ALL;
double pipeline_time_prefill_rate(const engine_model_t *engine,
				  double pass_ms) ATTR_NONNULL_ALL;
pipeline_time_t pipeline_time_estimate(const engine_model_t *engine,
				       const hop_time_t *hops, uint32_t count,
				       double prompt_tokens) ATTR_NONNULL_ALL;

#endif
