#ifndef WISTERIA_FLEET_ROUTES_DEFS_H
#define WISTERIA_FLEET_ROUTES_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/base/clock_defs.h"

typedef enum {
	ROUTE_IDEMPOTENT,
	ROUTE_NON_IDEMPOTENT,
	ROUTE_STREAM
} route_kind_t;

/* One of the services among which a route divides its requests. */
typedef struct {
	char *service;
	uint32_t weight;
} route_target_t;

/* Which requests go where, and within which limits. */
typedef struct {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	size_t prefix_len;
	route_kind_t kind;
	bool resumable;	      /* a stream may go on at another endpoint */
	bool allow_anonymous; /* needs no API key */
	clock_ms_t timeout_ms;
	clock_ms_t goal_ms;
	clock_ms_t gap_goal_ms; /* streams: between two events */
	uint32_t priority;	/* 0 is the most urgent */
	uint32_t max_attempts;	/* endpoints that one request may be run on */
	GArray *targets;	/* of route_target_t */
	uint32_t weight_sum;
} route_t;

/* How fast and how large one kind of accelerator is. */
typedef struct {
	char name[32];
	double size_mb;
	double pace;	    /* factor on the time of a step */
	double read_factor; /* factor on the time of reading prompts */
} accelerator_t;

/* What the engines of a model are known to do. */
typedef struct {
	uint32_t layers;
	double layer_mb;
	double kv_token_bytes; /* of one token over all layers */
	uint32_t slots;	       /* requests that one engine runs at once */
	uint32_t stride;       /* steps in one pass */
	double step_ms;	       /* of all layers, at pace 1 */
	double per_sequence_ms;
	double context_per_k_ms;
	double read_tokens_per_s;
	double activation_bytes; /* of one token, between two endpoints */
	double pipe_mbps;	 /* between two failure domains */
	double load_s;		 /* of all layers */
	uint32_t usual_prompt;	 /* mean tokens of a prompt */
	uint32_t usual_answer;	 /* mean tokens of an answer */
	GArray *accelerators;	 /* of accelerator_t */
} engine_model_t;

typedef struct {
	char *name;
	uint32_t max_connections; /* of one endpoint, from all callers */
	bool has_engine;
	engine_model_t engine;
} service_t;

typedef struct {
	char *name;
	int32_t priority; /* negative: that of the route */
} customer_entry_t;

/* What callers may send. */
typedef struct {
	size_t header_bytes;
	size_t body_bytes;
	clock_ms_t header_ms;
	clock_ms_t idle_ms;
} route_limits_t;

/*
 * One revision of the configuration, whole and checked.  Counted, because
 * requests that began under it may outlive it.
 */
typedef struct {
	unsigned references;
	uint64_t revision;
	GPtrArray *routes;	      /* of route_t, longest prefix first */
	GPtrArray *services;	      /* of service_t */
	GPtrArray *customers;	      /* of customer_entry_t */
	GHashTable *customers_by_key; /* API key -> customer_entry_t */
	bool has_customers;	      /* requests need an API key */
	route_limits_t limits;
} route_table_t;

#endif
