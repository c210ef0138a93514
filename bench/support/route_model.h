#ifndef BENCH_SUPPORT_ROUTE_MODEL_H
#define BENCH_SUPPORT_ROUTE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/route/router.h"

#define LAYERS 12
#define DOMAINS 3
#define ENTRIES 4
#define SERVERS 4
#define SLOTS 32
#define ENDPOINTS_MAX 128
#define WARM_UP_MS 15000.0

typedef struct {
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t domain;
	uint32_t in_flight;
	uint32_t serving;
	double step_ms;	  /* of one step, alone */
	double report_ms; /* smoothed time from arrival to result */
	bool gone;
	GQueue waiting;
	char name[16];
} bench_endpoint_t;

typedef struct {
	uint32_t entry;
	uint32_t hop;
	uint32_t hop_count;
	uint32_t tokens_left;
	double arrived_ms;
	uint32_t hops[ROUTER_HOPS_MAX];
	bool aborted;
} bench_session_t;

typedef enum {
	EVENT_ARRIVAL,
	EVENT_AT_HOP,
	EVENT_STEP_DONE,
	EVENT_RETRY,
	EVENT_FAILURE,
	EVENT_DIRECTORY
} event_kind_t;

typedef struct {
	double at_ms;
	uint64_t order;
	event_kind_t kind;
	uint32_t subject;
	bench_session_t *session;
} event_t;

typedef struct {
	uint32_t waiting;
	uint32_t own[ENDPOINTS_MAX];
	uint32_t turn[LAYERS + 1];
	bool known_gone[ENDPOINTS_MAX];
	bool retrying;
	router_t *router;
} entry_t;

typedef struct bench_t bench_t;

/* A policy picks a chain; returns the number of hops, 0 if there is none. */
typedef struct {
	const char *name;
	uint32_t (*pick)(bench_t *bench, entry_t *entry, const bool *refused,
			 uint32_t *hops);
} policy_t;

typedef struct {
	const char *name;
	void (*build)(bench_t *bench);
	bool failure;
} layout_t;

struct bench_t {
	bench_endpoint_t endpoints[ENDPOINTS_MAX];
	uint32_t endpoint_count;
	entry_t entries[ENTRIES];
	const layout_t *layout;
	const policy_t *policy;
	GRand *random;
	GArray *events;
	uint64_t event_order;
	double now_ms;
	double bound; /* tokens a second */
	double slow_link_per_s;
	double slow_link_free_ms;
	uint64_t tokens;
};

extern const policy_t route_policies[];
extern const size_t route_policy_count;

void model_schedule(bench_t *bench, double at_ms, event_kind_t kind,
		    uint32_t subject, bench_session_t *session);
event_t model_next_event(bench_t *bench);
void model_handle(bench_t *bench, const event_t *event);
void model_update_routers(bench_t *bench);
double model_bound(const bench_t *bench);

#endif
