/*
 * The way of an order to an engine: claimed on the control thread, given on
 * the traffic thread, and reported on the control thread again.
 */
#include "wisteria/daemon/engine_relay.h"

#include "wisteria/base/clock.h"
#include "wisteria/base/log.h"
#include "wisteria/base/mailbox.h"

/* One order on its way; it goes there and back. */
typedef struct {
	task_t task;
	engine_order_done_t done;
	engine_relay_t *relay;
	char *endpoint;
	char *text;
	uint64_t fence;
	engine_order_state_t result;
} errand_t;

static engine_relay_t *relay_of(engine_orders_ops_t *ops)
{
	return CONTAINER_OF(ops, engine_relay_t, ops);
}

static void send_order(engine_orders_ops_t *ops, const msg_order_t *order)
{
	lease_client_send_order(relay_of(ops)->lease, order);
}

static void run_back(task_t *task)
{
	errand_t *errand = CONTAINER_OF(task, errand_t, task);

	LOG_INFO("engine_order",
		 "endpoint=%s fence=%" G_GUINT64_FORMAT " result=%d",
		 errand->endpoint, (guint64)errand->fence, errand->result);
	engine_orders_on_engine_result(&errand->relay->orders, errand->endpoint,
				       errand->fence, errand->result,
				       clock_now(&clock_monotonic));
	g_free(errand->endpoint);
	g_free(errand->text);
	g_free(errand);
}

static void go_back(errand_t *errand, engine_order_state_t result)
{
	errand->result = result;
	errand->task.run = run_back;
	mailbox_post(errand->relay->control_mailbox, &errand->task);
}

/* Without a clear answer the engine may have run the order. */
static void on_done(engine_order_done_t *self, bool applied, bool refused)
{
	errand_t *errand = CONTAINER_OF(self, errand_t, done);

	if (applied)
		go_back(errand, ENGINE_ORDER_DONE);
	else
		go_back(errand,
			refused ? ENGINE_ORDER_REFUSED : ENGINE_ORDER_UNKNOWN);
}

static void run_there(task_t *task)
{
	errand_t *errand = CONTAINER_OF(task, errand_t, task);
	agent_t *agent = traffic_agent(errand->relay->traffic);

	errand->done.done = on_done;
	if (!agent_send_engine_order(agent, errand->endpoint, errand->text,
				     errand->fence, &errand->done))
		go_back(errand, ENGINE_ORDER_REFUSED);
}

static void give_order(engine_orders_ops_t *ops,
		       const msg_engine_order_t *order)
{
	engine_relay_t *relay = relay_of(ops);
	errand_t *errand = g_new0(errand_t, 1);

	errand->relay = relay;
	errand->endpoint = g_strdup(order->endpoint);
	errand->text = g_strdup(order->text);
	errand->fence = order->fence;
	errand->task.run = run_there;
	traffic_post(relay->traffic, &errand->task);
}

/* Starts carrying orders; all arguments outlive the relay. */
void engine_relay_init(engine_relay_t *relay, lease_client_t *lease,
		       mailbox_t *control_mailbox, traffic_t *traffic,
		       uint64_t incarnation)
{
	relay->ops.send = send_order;
	relay->ops.send_to_engine = give_order;
	relay->lease = lease;
	relay->control_mailbox = control_mailbox;
	relay->traffic = traffic;
	engine_orders_init(&relay->orders, &relay->ops, incarnation);
	lease_client_set_orders(lease, &relay->orders);
}

/* Frees what is held; nothing is on its way any more. */
void engine_relay_finish(engine_relay_t *relay)
{
	engine_orders_finish(&relay->orders);
}
