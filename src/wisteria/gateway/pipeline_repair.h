#ifndef WISTERIA_GATEWAY_PIPELINE_REPAIR_H
#define WISTERIA_GATEWAY_PIPELINE_REPAIR_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/fleet/pipeline_defs.h"

/* A hop of a running pipeline: layers [first_layer, end_layer). */
typedef struct {
	const char *endpoint;
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t domain; /* index of its failure domain, as in a stage */
	bool is_lost;
} running_hop_t;

/* A running pipeline, and what its lost hops can be replaced by. */
typedef struct {
	const running_hop_t *hops;
	uint32_t hop_count;
	const pipeline_stage_t *stages;
	const char *const *stage_endpoints; /* endpoint ids of "stages" */
	uint32_t stage_count;
	double request_tokens; /* that the request holds at each endpoint */
	double hop_ms;	       /* as in pipeline_query_t */
	double cross_ms;
} repair_query_t;

typedef struct {
	bool is_new;
	uint32_t index; /* in "stages" if it is new, otherwise in "hops" */
	uint32_t first_layer;
	uint32_t end_layer;
} repaired_hop_t;

typedef struct {
	repaired_hop_t hops[PIPELINE_HOPS_MAX];
	uint32_t count;
	uint32_t new_layers; /* of all new hops */
} pipeline_repair_t;

bool pipeline_repair_plan(const repair_query_t *query,
			  pipeline_repair_t *repair)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
