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

/* One of the services that share a route's requests by weight. */
typedef struct {
	char *service;
	uint32_t weight;
} route_target_t;

/* Which requests go to which services, and with which limits. */
typedef struct {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	size_t prefix_len;
	route_kind_t kind;
	bool resumable;	      /* another endpoint may resume a stream */
	bool allow_anonymous; /* needs no API key */
	clock_ms_t timeout_ms;
	clock_ms_t goal_ms;	/* target time to the first event */
	clock_ms_t gap_goal_ms; /* streams: target time between events */
	uint32_t priority;	/* 0 is the most urgent */
	uint32_t max_attempts;	/* runs of a request, the first included */
	GArray *targets;	/* of route_target_t */
	uint32_t weight_sum;
} route_t;

/* Memory and speed of one kind of accelerator. */
typedef struct {
	char name[32];
	double size_mb;	       /* memory */
	double pace;	       /* relative time of a step; above 1: slower */
	double prefill_factor; /* relative time of prefill */
} accelerator_t;

/* Memory and time needs of a model, and the kinds of accelerator it runs on. */
typedef struct {
	uint32_t layers;
	double layer_mb;
	double kv_token_bytes;	 /* KV cache per token, all layers */
	uint32_t slots;		 /* concurrent requests per engine */
	uint32_t stride;	 /* decode steps in one pass */
	uint32_t chunk_tokens;	 /* prompt tokens in one pass; 0: not stated */
	double step_ms;		 /* for all layers, at pace 1 */
	double per_sequence_ms;	 /* added to a step for each sequence */
	double context_per_k_ms; /* added for 1,000 tokens of context */
	double prefill_tokens_per_s;
	double activation_bytes; /* per token, between two endpoints */
	double domain_link_mbps; /* Mbit/s between two failure domains */
	double load_s;		 /* to load all layers; not used */
	uint32_t mean_prompt_tokens;
	uint32_t mean_answer_tokens;
	GArray *accelerators; /* of accelerator_t */
} engine_model_t;

typedef struct {
	char *name;
	/* Per endpoint, over all callers; not enforced. */
	uint32_t max_connections;
	bool has_engine;
	/* Routes of different priority lead to it and have a goal. */
	bool has_ranks;
	engine_model_t engine;
} service_t;

typedef struct {
	char *name;
	int32_t priority; /* 0 is the most urgent; -1: none */
} customer_config_t;

/* Number of ranks that endpoints tell apart; 0 is the most urgent. */
#define REQUEST_RANKS 10
/* All requests of the configuration have the same priority. */
#define REQUEST_RANK_NONE (-1)

/* Limits on requests and connections of callers. */
typedef struct {
	size_t header_bytes;
	size_t body_bytes;
	clock_ms_t header_ms; /* first byte to end of the headers */
	clock_ms_t idle_ms;   /* between requests */
} route_limits_t;

/*
 * One complete and validated revision of the configuration.  It is reference
 * counted, because requests that began under it may outlive its replacement.
 */
typedef struct {
	unsigned references;
	uint64_t revision;
	GPtrArray *routes;	      /* of route_t, longest prefix first */
	GPtrArray *services;	      /* of service_t */
	GPtrArray *customers;	      /* of customer_config_t */
	GHashTable *customers_by_key; /* API key -> customer_config_t */
	/* Callers need an API key, unless their route allows anonymous ones. */
	bool requires_key;
	/* Distinct priorities of customers and routes, ascending; int32_t. */
	GArray *customer_priorities;
	GArray *route_priorities;
	route_limits_t limits;
} route_table_t;

#endif
