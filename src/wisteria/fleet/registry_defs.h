#ifndef WISTERIA_FLEET_REGISTRY_DEFS_H
#define WISTERIA_FLEET_REGISTRY_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/base/clock_defs.h"

#define ENDPOINT_ID_BYTES 64
#define ENDPOINT_ADDRESS_BYTES 48
#define ENDPOINT_NAME_BYTES 64

/*
 * Limits of what a process says of itself; one that exceeds them would keep its
 * id or its address from all that come later.
 */
#define ENDPOINT_INCARNATION_MAX 4102444800000	  /* the year 2100 */
#define ENDPOINT_SEQUENCE_MAX (UINT64_C(1) << 53) /* exact in any JSON */

/* Most layers of a model. */
#define ENDPOINT_LAYERS_MAX 1024

/* Last known state of one endpoint. */
typedef struct {
	char id[ENDPOINT_ID_BYTES];
	char address[ENDPOINT_ADDRESS_BYTES]; /* IP:PORT */
	char service[ENDPOINT_NAME_BYTES];
	char failure_domain[ENDPOINT_NAME_BYTES];
	char accelerator[ENDPOINT_NAME_BYTES]; /* empty: a plain service */
	uint64_t incarnation; /* start of its process, Unix time in ms */
	uint64_t sequence;    /* of its heartbeats, within an incarnation */
	uint32_t slots;
	uint32_t first_layer;
	uint32_t end_layer; /* equal to first_layer: holds no layers */
	bool draining;
	bool gone;	  /* has announced its end, or was replaced */
	bool unreachable; /* a check since last_heard_ms could not connect */
	clock_ms_t last_heard_ms; /* last message from it, by the local clock */
} endpoint_t;

/* The endpoints that a process knows. */
typedef struct {
	GHashTable *by_id;	    /* id -> endpoint_t */
	clock_ms_t newest_heard_ms; /* latest heartbeat of any endpoint */
	uint64_t version; /* incremented by each change that affects routing */
} registry_t;

/* Effect of a received endpoint state. */
typedef enum {
	REGISTRY_STALE,	    /* ignored: not newer, or its process is gone */
	REGISTRY_REFRESHED, /* a newer heartbeat without changes */
	REGISTRY_CHANGED,   /* a change that may affect routing */
	REGISTRY_REFUSED,   /* ignored: it describes no endpoint */
} registry_update_result_t;

#endif
