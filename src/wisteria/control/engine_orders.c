/*
 * Orders to the engines of one agent.  An order is sent to its engine only
 * after a claim for this process was committed in the replicated log.  A
 * restarted agent has a new incarnation and cannot claim an order that its
 * predecessor claimed.
 */
#include "wisteria/control/engine_orders.h"

#include <string.h>

#define ORDER_ID_BYTES 96

typedef enum {
	TRACKED_CLAIMING,
	TRACKED_CLAIM_REFUSED, /* retried while the order is pending */
	TRACKED_SENT,	       /* to the engine; its answer is awaited */
	TRACKED_REPORTING,
	TRACKED_FINISHED
} tracked_state_t;

/* The last order of one endpoint and how far it has been processed. */
typedef struct {
	char *endpoint;
	char *text;
	uint64_t fence;
	tracked_state_t state;
	unsigned attempt; /* number of the last claim */
	engine_order_state_t result;
	char id[ORDER_ID_BYTES]; /* of the last claim or result order */
	clock_ms_t sent_ms;
} tracked_order_t;

static void free_tracked(gpointer data)
{
	tracked_order_t *tracked = data;

	g_free(tracked->endpoint);
	g_free(tracked->text);
	g_free(tracked);
}

/*
 * Initializes the orders of this process.  "incarnation" differs from those of
 * its earlier runs.
 */
void engine_orders_init(engine_orders_t *orders, engine_orders_ops_t *ops,
			uint64_t incarnation)
{
	orders->ops = ops;
	orders->incarnation = incarnation;
	orders->by_endpoint = g_hash_table_new_full(g_str_hash, g_str_equal,
						    NULL, free_tracked);
}

/* Frees all tracked orders. */
void engine_orders_finish(engine_orders_t *orders)
{
	g_hash_table_destroy(orders->by_endpoint);
}

static void send_to_control(engine_orders_t *orders, tracked_order_t *tracked,
			    clock_ms_t now)
{
	const msg_order_t order = {
		.id = tracked->id,
		.kind = tracked->state == TRACKED_CLAIMING
				? ORDER_ENGINE_CLAIM
				: ORDER_ENGINE_RESULT,
		.name = tracked->endpoint,
		.operator_name = "agent",
		.fence = tracked->fence,
		.incarnation = orders->incarnation,
		.engine_state = tracked->result,
	};

	tracked->sent_ms = now;
	orders->ops->send(orders->ops, &order);
}

/*
 * Claims an order.  Each attempt has a new id, since an order that is repeated
 * under an earlier id only gets the earlier reply again.
 */
static void claim(engine_orders_t *orders, tracked_order_t *tracked,
		  clock_ms_t now)
{
	tracked->state = TRACKED_CLAIMING;
	tracked->attempt++;
	g_snprintf(tracked->id, sizeof(tracked->id),
		   "claim-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT "-%u",
		   (guint64)tracked->fence, (guint64)orders->incarnation,
		   tracked->attempt);
	send_to_control(orders, tracked, now);
}

static void report_result(engine_orders_t *orders, tracked_order_t *tracked,
			  engine_order_state_t result, clock_ms_t now)
{
	tracked->state = TRACKED_REPORTING;
	tracked->result = result;
	g_snprintf(tracked->id, sizeof(tracked->id),
		   "result-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
		   (guint64)tracked->fence, (guint64)orders->incarnation);
	send_to_control(orders, tracked, now);
}

static tracked_order_t *track_order(engine_orders_t *orders,
				    const msg_engine_order_t *order)
{
	tracked_order_t *tracked = g_new0(tracked_order_t, 1);

	tracked->endpoint = g_strdup(order->endpoint);
	tracked->text = g_strdup(order->text);
	tracked->fence = order->fence;
	g_hash_table_replace(orders->by_endpoint, tracked->endpoint, tracked);
	return tracked;
}

/*
 * Returns whether to claim an order again after a refusal: it is still pending
 * and the retry interval has passed.
 */
static bool should_retry_claim(const tracked_order_t *tracked,
			       const msg_engine_order_t *order, clock_ms_t now)
{
	return tracked->fence == order->fence &&
	       tracked->state == TRACKED_CLAIM_REFUSED &&
	       order->state == ENGINE_ORDER_PENDING &&
	       now - tracked->sent_ms >= ENGINE_ORDERS_RETRY_MS;
}

/*
 * Returns whether "order" is the first one of its endpoint, or newer than one
 * that is finished or whose claim was refused.
 */
static bool replaces_tracked(const tracked_order_t *tracked,
			     const msg_engine_order_t *order)
{
	return tracked == NULL || (tracked->fence < order->fence &&
				   (tracked->state == TRACKED_FINISHED ||
				    tracked->state == TRACKED_CLAIM_REFUSED));
}

/*
 * Claims the open orders for this agent's endpoints, which a quorum has
 * confirmed; "open_orders" holds the oldest one of each endpoint.  An order
 * with a lower fencing token than the endpoint's last one is never processed.
 */
void engine_orders_update(engine_orders_t *orders,
			  const msg_engine_order_t *open_orders, size_t count,
			  clock_ms_t now)
{
	for (size_t i = 0; i < count; i++) {
		tracked_order_t *tracked = g_hash_table_lookup(
			orders->by_endpoint, open_orders[i].endpoint);

		if (replaces_tracked(tracked, &open_orders[i]))
			claim(orders, track_order(orders, &open_orders[i]),
			      now);
		else if (should_retry_claim(tracked, &open_orders[i], now))
			claim(orders, tracked, now);
	}
}

static tracked_order_t *find_by_id(const engine_orders_t *orders,
				   const char *id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, orders->by_endpoint);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		tracked_order_t *tracked = value;

		if (strcmp(tracked->id, id) == 0)
			return tracked;
	}
	return NULL;
}

static void dispatch_order(engine_orders_t *orders, tracked_order_t *tracked)
{
	const msg_engine_order_t order = {
		.endpoint = tracked->endpoint,
		.text = tracked->text,
		.fence = tracked->fence,
	};

	tracked->state = TRACKED_SENT;
	orders->ops->send_to_engine(orders->ops, &order);
}

/*
 * Handles the reply to a claim or a result.  If an earlier process has claimed
 * the order, the claim is refused and the store marks the order as
 * ENGINE_ORDER_UNKNOWN.
 */
void engine_orders_on_reply(engine_orders_t *orders,
			    const msg_order_reply_t *reply)
{
	tracked_order_t *tracked = find_by_id(orders, reply->id);

	if (tracked == NULL || reply->outcome == ORDER_UNKNOWN)
		return;
	if (tracked->state == TRACKED_REPORTING)
		tracked->state = TRACKED_FINISHED;
	else if (tracked->state == TRACKED_CLAIMING &&
		 reply->outcome == ORDER_APPLIED)
		dispatch_order(orders, tracked);
	else if (tracked->state == TRACKED_CLAIMING)
		tracked->state = TRACKED_CLAIM_REFUSED;
}

/*
 * Reports the result of an order that was sent to its engine; "result" is
 * ENGINE_ORDER_UNKNOWN if the order may or may not have run.
 */
void engine_orders_on_engine_result(engine_orders_t *orders,
				    const char *endpoint, uint64_t fence,
				    engine_order_state_t result, clock_ms_t now)
{
	tracked_order_t *tracked =
		g_hash_table_lookup(orders->by_endpoint, endpoint);

	if (tracked != NULL && tracked->fence == fence &&
	    tracked->state == TRACKED_SENT)
		report_result(orders, tracked, result, now);
}

/* Resends claims and results that have not been answered in time. */
void engine_orders_tick(engine_orders_t *orders, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, orders->by_endpoint);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		tracked_order_t *tracked = value;

		if (now - tracked->sent_ms >= ENGINE_ORDERS_RETRY_MS &&
		    (tracked->state == TRACKED_CLAIMING ||
		     tracked->state == TRACKED_REPORTING))
			send_to_control(orders, tracked, now);
	}
}
