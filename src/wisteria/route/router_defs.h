#ifndef WISTERIA_ROUTE_ROUTER_DEFS_H
#define WISTERIA_ROUTE_ROUTER_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/err_defs.h"
#include "wisteria/base/table_defs.h"
#include "wisteria/codec/msg_defs.h"

/* Maximum number of hops of a chain. */
#define ROUTER_HOPS_MAX 32
/* Size of a name, with the terminating NUL. */
#define ROUTER_NAME_BYTES 64

/* A request for a chain. */
typedef struct {
	const char *target; /* name of a model or service */
	uint32_t layers;    /* number of layers of the model; 0 for a service */
	uint32_t expected_tokens; /* not used by the router */
	uint64_t prefix_hash; /* of the prompt's beginning; 0: none; not used */
	const char *avoid[4]; /* endpoints that failed this request */
	size_t avoid_count;
} route_request_t;

/* One endpoint of a chosen chain. */
typedef struct {
	char endpoint[ROUTER_NAME_BYTES];
	char instance[ROUTER_NAME_BYTES];
	char address[ROUTER_NAME_BYTES];
	uint64_t incarnation;
	uint32_t first_layer;
	uint32_t end_layer;
	/* Of one step, with queueing; see heap_key(). */
	double expected_step_ms;
} route_hop_t;

/* A chosen chain: its hops cover the layers exactly, each once, in order. */
typedef struct {
	route_hop_t hops[ROUTER_HOPS_MAX];
	size_t hop_count;
	/* Of one token, from the entry to the end of the last hop's step. */
	double expected_ms;
	uint32_t alternatives; /* endpoints of the target, free or full */
	uint32_t full;	       /* of those, the ones without a free slot */
} route_choice_t;

typedef enum {
	ROUTE_FOUND,
	ROUTE_FULL,    /* chains exist, but none was found to be usable */
	ROUTE_NO_CHAIN /* the layers can't be covered */
} route_result_t;

#endif
