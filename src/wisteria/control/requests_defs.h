#ifndef WISTERIA_CONTROL_REQUESTS_DEFS_H
#define WISTERIA_CONTROL_REQUESTS_DEFS_H

#include <glib.h>

#include "wisteria/control/replica_defs.h"
#include "wisteria/store/store_defs.h"

/* A request that is not committed in this time is answered as unknown. */
#define REQUESTS_TIMEOUT_MS 2500
/*
 * A membership change is retried until this long before the request times out
 * and then refused.
 */
#define REQUESTS_RETRY_MARGIN_MS 500

/* Called once with the outcome of an order, on the control thread. */
typedef void (*order_done_t)(void *user, const msg_order_reply_t *reply);

/* Orders and ledger requests that wait to be committed. */
typedef struct {
	replica_t *replica;
	const store_t *store;
	GQueue waiting; /* of request_t, oldest first */
	uint64_t sequence;
	bool open; /* this leader's state is current and it accepts requests */
	/* The log time, which advances with the leader's clock. */
	int64_t log_time_ms;
	clock_ms_t log_time_at_ms; /* local time of the last advance */
} requests_t;

#endif
