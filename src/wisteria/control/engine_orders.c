/*
 * Orders to the engines of one agent.  The log is asked first: only a claim
 * that was committed for this process lets it give the order.  A restarted
 * agent has another incarnation and cannot claim again what was claimed.
 */
#include "wisteria/control/engine_orders.h"

#include <string.h>

#define STEP_ID_BYTES 96

typedef enum {
	STEP_CLAIMING,
	STEP_REFUSED, /* its claim; it may be held back, or be gone */
	STEP_GIVEN,   /* to the engine */
	STEP_REPORTING,
	STEP_ENDED
} step_state_t;

/* What is done for one endpoint. */
typedef struct {
	char *endpoint;
	char *text;
	uint64_t fence;
	step_state_t state;
	unsigned attempt; /* of the claim */
	engine_order_state_t result;
	char id[STEP_ID_BYTES]; /* of the order sent to control */
	clock_ms_t sent_ms;
} step_t;

static void free_step(gpointer data)
{
	step_t *step = data;

	g_free(step->endpoint);
	g_free(step->text);
	g_free(step);
}

/* Makes the orders of a process; "incarnation" differs from its past ones. */
void engine_orders_init(engine_orders_t *orders, engine_orders_ops_t *ops,
			uint64_t incarnation)
{
	orders->ops = ops;
	orders->incarnation = incarnation;
	orders->steps =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_step);
}

/* Frees what is held. */
void engine_orders_finish(engine_orders_t *orders)
{
	g_hash_table_destroy(orders->steps);
}

static void send_step(engine_orders_t *orders, step_t *step, clock_ms_t now)
{
	const msg_order_t order = {
		.id = step->id,
		.kind = step->state == STEP_CLAIMING ? ORDER_ENGINE_CLAIM
						     : ORDER_ENGINE_RESULT,
		.name = step->endpoint,
		.operator_name = "agent",
		.fence = step->fence,
		.incarnation = orders->incarnation,
		.engine_state = step->result,
	};

	step->sent_ms = now;
	orders->ops->send(orders->ops, &order);
}

/* A refused claim needs a new id: the old one keeps its answer. */
static void claim(engine_orders_t *orders, step_t *step, clock_ms_t now)
{
	step->state = STEP_CLAIMING;
	step->attempt++;
	g_snprintf(step->id, sizeof(step->id),
		   "claim-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT "-%u",
		   (guint64)step->fence, (guint64)orders->incarnation,
		   step->attempt);
	send_step(orders, step, now);
}

static void report(engine_orders_t *orders, step_t *step,
		   engine_order_state_t result, clock_ms_t now)
{
	step->state = STEP_REPORTING;
	step->result = result;
	g_snprintf(step->id, sizeof(step->id),
		   "result-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
		   (guint64)step->fence, (guint64)orders->incarnation);
	send_step(orders, step, now);
}

static step_t *add_step(engine_orders_t *orders,
			const msg_engine_order_t *order)
{
	step_t *step = g_new0(step_t, 1);

	step->endpoint = g_strdup(order->endpoint);
	step->text = g_strdup(order->text);
	step->fence = order->fence;
	g_hash_table_replace(orders->steps, step->endpoint, step);
	return step;
}

/* A claim was refused, and the order is still there for anyone to claim. */
static bool is_held_back(const step_t *step, const msg_engine_order_t *order,
			 clock_ms_t now)
{
	return step->fence == order->fence && step->state == STEP_REFUSED &&
	       order->state == ENGINE_ORDER_PENDING &&
	       now - step->sent_ms >= ENGINE_ORDERS_RETRY_MS;
}

static bool is_next(const step_t *step, const msg_engine_order_t *order)
{
	return step == NULL ||
	       (step->fence < order->fence &&
		(step->state == STEP_ENDED || step->state == STEP_REFUSED));
}

/*
 * Takes the open orders for this agent's endpoints, as a quorum confirmed
 * them: the oldest one of each.  An older fencing number than the one before
 * is never acted on.
 */
void engine_orders_learn(engine_orders_t *orders,
			 const msg_engine_order_t *open, size_t count,
			 clock_ms_t now)
{
	for (size_t i = 0; i < count; i++) {
		step_t *step =
			g_hash_table_lookup(orders->steps, open[i].endpoint);

		if (is_next(step, &open[i]))
			claim(orders, add_step(orders, &open[i]), now);
		else if (is_held_back(step, &open[i], now))
			claim(orders, step, now);
	}
}

static step_t *find_id(const engine_orders_t *orders, const char *id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, orders->steps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		step_t *step = value;

		if (strcmp(step->id, id) == 0)
			return step;
	}
	return NULL;
}

static void give(engine_orders_t *orders, step_t *step)
{
	const msg_engine_order_t order = {
		.endpoint = step->endpoint,
		.text = step->text,
		.fence = step->fence,
	};

	step->state = STEP_GIVEN;
	orders->ops->give(orders->ops, &order);
}

/*
 * Takes the answer to a claim or a result.  A claim of what an earlier
 * process claimed makes the order unknown in the log.
 */
void engine_orders_on_reply(engine_orders_t *orders,
			    const msg_order_reply_t *reply)
{
	step_t *step = find_id(orders, reply->id);

	if (step == NULL || reply->outcome == ORDER_UNKNOWN)
		return;
	if (step->state == STEP_REPORTING)
		step->state = STEP_ENDED;
	else if (step->state == STEP_CLAIMING &&
		 reply->outcome == ORDER_APPLIED)
		give(orders, step);
	else if (step->state == STEP_CLAIMING)
		step->state = STEP_REFUSED;
}

/* The engine answered, or nothing can be known of it. */
void engine_orders_given(engine_orders_t *orders, const char *endpoint,
			 uint64_t fence, engine_order_state_t result,
			 clock_ms_t now)
{
	step_t *step = g_hash_table_lookup(orders->steps, endpoint);

	if (step != NULL && step->fence == fence && step->state == STEP_GIVEN)
		report(orders, step, result, now);
}

/* Sends again what was not answered. */
void engine_orders_tick(engine_orders_t *orders, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, orders->steps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		step_t *step = value;

		if (now - step->sent_ms >= ENGINE_ORDERS_RETRY_MS &&
		    (step->state == STEP_CLAIMING ||
		     step->state == STEP_REPORTING))
			send_step(orders, step, now);
	}
}
