#ifndef WISTERIA_LIMITS_CUSTOMER_DEFS_H
#define WISTERIA_LIMITS_CUSTOMER_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/table_defs.h"

struct customer_t;
struct lane_t;

/* The waiting requests of one customer for one target, the oldest first. */
typedef struct {
	struct customer_t *customer;
	struct lane_t *lane;
	GQueue waiting; /* of waiting_t, linked through waiting_t.link */
} flow_queue_t;

/* One target's flows that have something waiting. */
typedef struct lane_t {
	char *target;
	uint32_t index;
	GPtrArray *active;	     /* of flow_queue_t * */
	clock_ms_t blocked_until_ms; /* no endpoint was free */
} lane_t;

/* A waiting request. */
typedef struct {
	GList link;
	handle_t request;
	flow_queue_t *flow;
	clock_ms_t expires_ms;
	uint64_t serial;
} waiting_t;

/* One customer's contract and use, as one entry sees it. */
typedef struct customer_t {
	char *name;
	bool listed; /* has a contract in the preset in force */
	uint32_t priority;
	uint32_t guarantee; /* this entry's part; sessions */
	uint32_t deserved;
	uint32_t limit;
	uint32_t held; /* leased sessions, as given */
	double tokens_per_ms;
	double token_balance;
	clock_ms_t refilled_ms;
	uint32_t running;
	uint32_t queued;
	double interval_ms; /* smoothed, between starts out of the queue */
	clock_ms_t last_start_ms;
	clock_ms_t backlog_ms;	   /* when the queue last began to fill */
	double interval_before_ms; /* both before the last start */
	clock_ms_t start_before_ms;
	GPtrArray *flows; /* of flow_queue_t *, by lane; some NULL */
} customer_t;

#endif
