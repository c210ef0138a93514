#ifndef WISTERIA_CONTROL_REQUESTS_DEFS_H
#define WISTERIA_CONTROL_REQUESTS_DEFS_H

#include <glib.h>

#include "wisteria/control/replica_defs.h"
#include "wisteria/store/store_defs.h"

/* Without a commit for this long the outcome is said to be unknown. */
#define REQUESTS_ANSWER_MS 2500
/* A change of the group that is still not possible this long before is refused. */
#define REQUESTS_LAST_TRY_MS 500

/* Told once of the outcome of an order, on the control thread. */
typedef void (*order_done_t)(void *user, const msg_order_reply_t *reply);

/* Orders and ledger questions that wait for their commit. */
typedef struct {
	replica_t *replica;
	const store_t *store;
	GQueue waiting; /* of request_t, oldest first */
	uint64_t sequence;
	bool open; /* the leader knows its state and takes commands */
	/* The log's own time: grows with this leader's clock. */
	int64_t log_time_ms;
	clock_ms_t log_time_at_ms;
} requests_t;

#endif
