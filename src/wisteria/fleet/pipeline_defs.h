#ifndef WISTERIA_FLEET_PIPELINE_DEFS_H
#define WISTERIA_FLEET_PIPELINE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

/* Most parts that engines take in one pipeline. */
#define PIPELINE_HOPS_MAX 32
/* Most failure domains that one model spans. */
#define PIPELINE_DOMAINS_MAX 16

/* An endpoint that may serve a part of a pipeline. */
typedef struct {
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t domain;    /* number of its failure domain */
	double layer_ms;    /* time of one layer for one token */
	double pace;	    /* how much slower than usual it runs; 1: not */
	double used_tokens; /* of requests, as far as known */
	double token_capacity;
	bool excluded; /* at fault, or the request has failed there */
} pipeline_stage_t;

/* What a request needs and what crossing between domains costs. */
typedef struct {
	uint32_t layers;
	double request_tokens;
	uint32_t entry_domain;
	double hop_ms;	       /* of each part, besides its layers */
	double cross_ms;       /* each crossing between two parts */
	double entry_cross_ms; /* the first part is in another domain */
	bool stays_in_domain;  /* all parts in one domain */
} pipeline_query_t;

/* Layers [first_layer, end_layer) at stage number "stage". */
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

/* Why there is no pipeline. */
typedef enum {
	PIPELINE_FOUND,
	PIPELINE_NO_LAYERS, /* some layer is held by no usable endpoint */
	PIPELINE_NO_MEMORY  /* the endpoints that hold it have no room */
} pipeline_result_t;

#endif
