#ifndef WISTERIA_LIMITS_CUSTOMER_DEFS_H
#define WISTERIA_LIMITS_CUSTOMER_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/table_defs.h"

struct customer_t;
struct target_queue_t;

/* The waiting requests of one customer for one target, oldest first. */
typedef struct {
	struct customer_t *customer;
	struct target_queue_t *target_queue;
	GQueue waiting; /* of waiting_request_t, through its "link" */
} flow_queue_t;

/* The flows of one target. */
typedef struct target_queue_t {
	char *target;
	uint32_t index;		     /* in "flows" of each customer */
	GPtrArray *active;	     /* the non-empty ones; flow_queue_t * */
	clock_ms_t blocked_until_ms; /* starts nothing before this time */
} target_queue_t;

/* A request that waits in a queue. */
typedef struct {
	GList link;
	handle_t request;
	flow_queue_t *flow;
	clock_ms_t expires_ms;
	uint64_t serial; /* order of queueing, for equal "expires_ms" */
} waiting_request_t;

/* One customer's contract at one entry, and what it uses there. */
typedef struct customer_t {
	char *name;
	bool has_contract; /* in the preset in force */
	uint32_t priority;
	uint32_t guarantee;   /* this entry's part of it, in sessions */
	uint32_t deserved;    /* likewise */
	uint32_t limit;	      /* sessions that may run here */
	uint32_t held;	      /* sessions of the leased share, unscaled */
	double tokens_per_ms; /* 0: unlimited */
	double token_balance; /* sessions start only while it is positive */
	clock_ms_t refilled_ms;
	uint32_t running;
	uint32_t queued;
	/* smoothed, between starts from the queue; 0: no estimate */
	double interval_ms;
	clock_ms_t last_start_ms;
	clock_ms_t backlog_since_ms; /* when the queue last became non-empty */
	double previous_interval_ms; /* both as before the last start */
	clock_ms_t previous_start_ms;
	GPtrArray *flows; /* of flow_queue_t * or NULL, by target index */
} customer_t;

#endif
