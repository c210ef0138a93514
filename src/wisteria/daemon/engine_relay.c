/*
 * Passes orders to engines between threads: an order is claimed on the control
 * thread, sent to the engine on the traffic thread, and its result is reported
 * on the control thread.
 */
#include "wisteria/daemon/engine_relay.h"

#include "wisteria/base/clock.h"
#include "wisteria/base/log.h"
#include "wisteria/base/mailbox.h"

/* One order; posted to the traffic thread, then back to the control thread. */
typedef struct {
	task_t task;
	engine_order_done_t done;
	engine_relay_t *relay;
	char *endpoint;
	char *text;
	uint64_t fence;
	engine_order_state_t result;
} relayed_order_t;

static engine_relay_t *relay_of(engine_orders_ops_t *ops)
{
	return CONTAINER_OF(ops, engine_relay_t, ops);
}

static void send_order(engine_orders_ops_t *ops, const msg_order_t *order)
{
	lease_client_send_order(relay_of(ops)->lease, order);
}

static void run_on_control_thread(task_t *task)
{
	relayed_order_t *relayed = CONTAINER_OF(task, relayed_order_t, task);

	LOG_INFO("engine_order",
		 "endpoint=%s fence=%" G_GUINT64_FORMAT " result=%d",
		 relayed->endpoint, (guint64)relayed->fence, relayed->result);
	engine_orders_on_engine_result(
		&relayed->relay->orders, relayed->endpoint, relayed->fence,
		relayed->result, clock_now(&clock_monotonic));
	g_free(relayed->endpoint);
	g_free(relayed->text);
	g_free(relayed);
}

static void post_result(relayed_order_t *relayed, engine_order_state_t result)
{
	relayed->result = result;
	relayed->task.run = run_on_control_thread;
	mailbox_post(relayed->relay->control_mailbox, &relayed->task);
}

/*
 * An order that was neither applied nor refused has an unknown result: the
 * engine may have run it.
 */
static void on_done(engine_order_done_t *self, bool applied, bool refused)
{
	relayed_order_t *relayed = CONTAINER_OF(self, relayed_order_t, done);

	if (applied)
		post_result(relayed, ENGINE_ORDER_DONE);
	else
		post_result(relayed, refused ? ENGINE_ORDER_REFUSED
					     : ENGINE_ORDER_UNKNOWN);
}

static void run_on_traffic_thread(task_t *task)
{
	relayed_order_t *relayed = CONTAINER_OF(task, relayed_order_t, task);
	agent_t *agent = traffic_agent(relayed->relay->traffic);

	relayed->done.done = on_done;
	if (!agent_send_engine_order(agent, relayed->endpoint, relayed->text,
				     relayed->fence, &relayed->done))
		post_result(relayed, ENGINE_ORDER_REFUSED);
}

static void send_order_to_engine(engine_orders_ops_t *ops,
				 const msg_engine_order_t *order)
{
	engine_relay_t *relay = relay_of(ops);
	relayed_order_t *relayed = g_new0(relayed_order_t, 1);

	relayed->relay = relay;
	relayed->endpoint = g_strdup(order->endpoint);
	relayed->text = g_strdup(order->text);
	relayed->fence = order->fence;
	relayed->task.run = run_on_traffic_thread;
	traffic_post(relay->traffic, &relayed->task);
}

/* Starts passing on orders; all arguments must outlive the relay. */
void engine_relay_init(engine_relay_t *relay, lease_client_t *lease,
		       mailbox_t *control_mailbox, traffic_t *traffic,
		       uint64_t incarnation)
{
	relay->ops.send = send_order;
	relay->ops.send_to_engine = send_order_to_engine;
	relay->lease = lease;
	relay->control_mailbox = control_mailbox;
	relay->traffic = traffic;
	engine_orders_init(&relay->orders, &relay->ops, incarnation);
	lease_client_set_orders(lease, &relay->orders);
}

/* Frees the relay's memory; no order may be in progress on any thread. */
void engine_relay_finish(engine_relay_t *relay)
{
	engine_orders_finish(&relay->orders);
}
