#ifndef BENCH_SUPPORT_ROUTE_MODEL_H
#define BENCH_SUPPORT_ROUTE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/route/router.h"

#define LAYERS 12
#define DOMAINS 3
#define ENTRIES 4
#define SERVERS 4 /* steps that an endpoint runs at the same time */
#define SLOTS 32  /* open sessions that an endpoint accepts */
#define ENDPOINTS_MAX 128
#define WARM_UP_MS 15000.0

typedef struct {
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t domain;
	uint32_t in_flight;
	uint32_t serving;
	double step_ms;	    /* mean time of one step without queueing */
	double reported_ms; /* smoothed, from arrival to result */
	bool failed;
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
	EVENT_ARRIVAL,	   /* of a new request at an entry */
	EVENT_HOP_ARRIVAL, /* of a step at its next hop */
	EVENT_STEP_DONE,
	EVENT_RETRY,
	EVENT_FAILURE,
	EVENT_DIRECTORY_UPDATE /* entries learn the changed directory */
} event_kind_t;

typedef struct {
	double due_ms;
	uint64_t order; /* of scheduling, for events due at the same time */
	event_kind_t kind;
	uint32_t index;		  /* of the entry or endpoint */
	bench_session_t *session; /* NULL: the event has no session */
} event_t;

typedef struct {
	uint32_t waiting;		      /* requests */
	uint32_t own_sessions[ENDPOINTS_MAX]; /* open sessions of this entry */
	uint32_t next_turn[LAYERS + 1]; /* of round robin, by first layer */
	bool known_failed[ENDPOINTS_MAX];
	bool retrying;
	router_t *router;
} entry_t;

typedef struct bench_t bench_t;

/*
 * A policy of choosing chains.  "pick" writes the indexes of the endpoints to
 * "hops" and returns their number, 0 if there is no chain.  "refused" marks
 * endpoints that were found without a free slot in the current dispatch.
 */
typedef struct {
	const char *name;
	uint32_t (*pick)(bench_t *bench, entry_t *entry, const bool *refused,
			 uint32_t *hops);
} policy_t;

typedef struct {
	const char *name;
	void (*build)(bench_t *bench);
	bool failure; /* a tenth of the endpoints fails during the warm-up */
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
	/* Of the throughput, in tokens/s; recomputed at the failure. */
	double bound;
	double slow_link_per_s;	  /* steps; 0: the layout has no slow link */
	double slow_link_free_ms; /* when the link can take the next step */
	uint64_t tokens;	  /* produced after the warm-up */
};

extern const policy_t route_policies[];
extern const size_t route_policy_count;

void model_schedule_event(bench_t *bench, double due_ms, event_kind_t kind,
			  uint32_t index, bench_session_t *session);
event_t model_pop_event(bench_t *bench);
void model_handle_event(bench_t *bench, const event_t *event);
void model_update_routers(bench_t *bench);
double model_throughput_bound(const bench_t *bench);

#endif
