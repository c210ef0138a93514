#ifndef WISTERIA_FLEET_PIPELINE_DEFS_H
#define WISTERIA_FLEET_PIPELINE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

/* Most hops that engines accept in one pipeline. */
#define PIPELINE_HOPS_MAX 32
/* Most failure domains that the search tells apart; others share an index. */
#define PIPELINE_DOMAINS_MAX 16

/*
 * Cost for a token of a crossing between failure domains: its delay and, more
 * than that, its use of the pipe (the link between two domains), which all
 * requests share.  Greater than the cost of a pipeline that lies entirely in
 * another domain.
 */
#define PIPELINE_DOMAIN_CROSSING_MS 20.0
/*
 * Fraction of the time of a pipe between two domains that all entries together
 * plan to use.  Transfers are queued; at twice this load the queueing delay
 * would exceed the time of a token.
 */
#define PIPELINE_PIPE_UTILIZATION_MAX 0.6
/*
 * A pipeline that begins in another domain is preferred if it saves this much
 * per token: only the answer then crosses, and the prompt's activations do not.
 */
#define PIPELINE_ENTRY_CROSSING_MS 12.0

/* An endpoint that can run layers of a pipeline. */
typedef struct {
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t domain;    /* index of its failure domain */
	double layer_ms;    /* time of one layer for one token */
	double pace;	    /* slowdown factor; 1: normal speed */
	double used_tokens; /* by requests, as far as known */
	double token_capacity;
	bool excluded;	/* suspected, or the request failed there */
	bool not_first; /* may not be the first of a pipeline */
} pipeline_stage_t;

/* Requirements of a request and the cost of crossing between domains. */
typedef struct {
	uint32_t layers;
	double request_tokens;
	uint32_t entry_domain;
	double hop_ms;	       /* cost of each hop besides its layers */
	double cross_ms;       /* each change of domain between hops */
	double entry_cross_ms; /* first hop outside the entry's domain */
	bool stays_in_domain;  /* all hops in one domain */
} pipeline_query_t;

/* Layers [first_layer, end_layer), run by the stage with index "stage". */
typedef struct {
	uint32_t stage;
	uint32_t first_layer;
	uint32_t end_layer;
} pipeline_hop_t;

typedef struct {
	pipeline_hop_t hops[PIPELINE_HOPS_MAX];
	uint32_t count;
	double cost_ms;
} pipeline_t;

/* Whether a pipeline was found, and if not, why. */
typedef enum {
	PIPELINE_FOUND,
	PIPELINE_NO_LAYERS, /* some layer is held by no usable endpoint */
	/*
	 * Each layer has a holder, but none of the allowed pipelines has
	 * memory for the request.
	 */
	PIPELINE_NO_MEMORY
} pipeline_result_t;

#endif
