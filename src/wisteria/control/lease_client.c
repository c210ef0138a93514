/*
 * A daemon's side of the configuration lease: renews it from one control
 * instance at a time, goes to the next when that one is silent, and publishes
 * what it learns.  A lease counts from when the renewal was sent.
 */
#include "wisteria/control/lease_client.h"

#include <string.h>

#include <glib.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/control/control_defs.h"
#include "wisteria/control/lease.h"
#include "wisteria/control/view.h"
#include "wisteria/control/view_builder.h"
#include "wisteria/net/link.h"

#define LEASE_TICK_MS 50
#define LEASE_PRESETS_MAX 16

struct lease_client_t {
	conn_handler_t handler;
	net_t *net;
	const settings_t *settings;
	view_board_t *board;
	view_builder_t *builder;
	link_t link;
	unsigned instance; /* index of the one renewed from */
	uv_timer_t tick;
	uint64_t sequence;
	clock_ms_t asked_ms; /* 0: no question is open */
	clock_ms_t next_ms;
	clock_ms_t lease_until_ms;
	GArray *demand;		 /* msg_share_t; names are owned */
	uint64_t parts_term;	 /* of the leader that gave the parts */
	engine_orders_t *orders; /* NULL without the agent role */
};

static lease_client_t *client_of(conn_handler_t *handler)
{
	return CONTAINER_OF(handler, lease_client_t, handler);
}

static void send_renewal(lease_client_t *client, clock_ms_t now)
{
	msg_name_t presets[LEASE_PRESETS_MAX];
	msg_renew_t renew = {
		.sequence = ++client->sequence,
		.instance = client->net->instance,
		.incarnation = client->net->incarnation,
		.revision = view_builder_revision(client->builder),
		.demand = (msg_share_t *)client->demand->data,
		.demand_count = client->demand->len,
		.presets = presets,
		.parts_term = client->parts_term,
	};

	view_builder_directory(client->builder, &renew.directory_epoch,
			       &renew.directory_version);
	renew.preset_count = view_builder_presets(client->builder, presets,
						  LEASE_PRESETS_MAX);
	client->asked_ms = now;
	client->next_ms = now + LEASE_RENEW_MS;
	link_send(&client->link, MSG_RENEW, &renew);
}

static void use_next_instance(lease_client_t *client)
{
	const settings_t *settings = client->settings;

	client->asked_ms = 0;
	if (settings->control_instances_count > 1) {
		link_finish(&client->link);
		client->instance = (client->instance + 1) %
				   settings->control_instances_count;
		link_init(&client->link, client->net,
			  settings->control_instances[client->instance].address,
			  &client->handler);
	}
	client->next_ms = clock_now(client->net->clock) + LEASE_ANSWER_MS;
}

static void on_opened(conn_handler_t *handler, conn_t *conn)
{
	lease_client_t *client = client_of(handler);

	(void)conn;
	send_renewal(client, clock_now(client->net->clock));
}

static void on_closed(conn_handler_t *handler, conn_t *conn, const err_t *why)
{
	(void)conn;
	log_err(G_LOG_LEVEL_WARNING, "control_lost", why);
	use_next_instance(client_of(handler));
}

/*
 * A new leader heeds what an entry holds only once the entry has heard of it,
 * and until then gives no parts: the entry keeps its parts and asks again.
 */
static bool has_new_leader(const lease_client_t *client,
			   const msg_renew_reply_t *reply)
{
	return client->demand->len > 0 &&
	       reply->parts_term != client->parts_term;
}

static void publish(lease_client_t *client)
{
	view_t *view =
		view_builder_make(client->builder, client->lease_until_ms);

	counter_set(GAUGE_ENDPOINTS, view->endpoint_count);
	view_publish(client->board, view);
}

static void take_reply(lease_client_t *client, const msg_renew_reply_t *reply)
{
	uint64_t revision = view_builder_revision(client->builder);
	err_t err = ERR_INIT;

	if (reply->sequence != client->sequence || client->asked_ms == 0)
		return;
	if (!reply->granted ||
	    !view_builder_apply(client->builder, reply, &err)) {
		if (err_is_set(&err))
			log_err(G_LOG_LEVEL_WARNING, "renewal_failed", &err);
		use_next_instance(client);
		return;
	}
	if (has_new_leader(client, reply)) {
		client->parts_term = reply->parts_term;
		send_renewal(client, clock_now(client->net->clock));
		return;
	}
	client->lease_until_ms =
		lease_end_ms(client->asked_ms, reply->lease_ms);
	client->asked_ms = 0;
	counter_add(COUNTER_RENEWALS, 1);
	if (client->orders != NULL)
		engine_orders_update(client->orders, reply->orders,
				     reply->order_count,
				     clock_now(client->net->clock));
	publish(client);
	if (view_builder_revision(client->builder) == revision)
		return;
	revision = view_builder_revision(client->builder);
	counter_set(GAUGE_REVISION, revision);
	LOG_INFO("revision_in_force",
		 "revision=%" G_GUINT64_FORMAT " preset=%s", revision,
		 reply->config.preset);
}

static void on_message(conn_handler_t *handler, conn_t *conn, const msg_t *msg)
{
	lease_client_t *client = client_of(handler);

	(void)conn;
	if (msg->type == MSG_RENEW_REPLY)
		take_reply(client, msg->body);
	else if (msg->type == MSG_ORDER_REPLY && client->orders != NULL)
		engine_orders_on_reply(client->orders, msg->body);
}

static void on_tick(uv_timer_t *timer)
{
	lease_client_t *client = timer->data;
	clock_ms_t now = clock_now(client->net->clock);

	if (client->orders != NULL)
		engine_orders_tick(client->orders, now);
	if (client->asked_ms != 0 && now - client->asked_ms > LEASE_ANSWER_MS)
		use_next_instance(client);
	if (client->asked_ms != 0 || now < client->next_ms)
		return;
	if (link_is_open(&client->link))
		send_renewal(client, now);
	else
		use_next_instance(client);
}

/*
 * Starts renewing for this daemon on the loop of "net" and publishing to
 * "board".  "settings" must outlive the client.
 */
lease_client_t *lease_client_new(net_t *net, const settings_t *settings,
				 view_board_t *board)
{
	lease_client_t *client = g_new0(lease_client_t, 1);

	client->handler.opened = on_opened;
	client->handler.message = on_message;
	client->handler.closed = on_closed;
	client->net = net;
	client->settings = settings;
	client->board = board;
	client->builder = view_builder_new();
	client->demand = g_array_new(FALSE, FALSE, sizeof(msg_share_t));
	client->instance = (unsigned)(net->incarnation %
				      settings->control_instances_count);
	client->next_ms = clock_now(net->clock) + LEASE_ANSWER_MS;
	link_init(&client->link, net,
		  settings->control_instances[client->instance].address,
		  &client->handler);
	uv_timer_init(net->loop, &client->tick);
	client->tick.data = client;
	uv_timer_start(&client->tick, on_tick, LEASE_TICK_MS, LEASE_TICK_MS);
	return client;
}

static void clear_demand(lease_client_t *client)
{
	for (guint i = 0; i < client->demand->len; i++)
		g_free((char *)g_array_index(client->demand, msg_share_t, i)
			       .customer);
	g_array_set_size(client->demand, 0);
}

/* Frees the client; the loop must have run to its end. */
void lease_client_free(lease_client_t *client)
{
	if (client == NULL)
		return;
	clear_demand(client);
	g_array_free(client->demand, TRUE);
	view_builder_free(client->builder);
	g_free(client);
}

/* Has "orders" learn of the open orders to this agent's engines. */
void lease_client_set_orders(lease_client_t *client, engine_orders_t *orders)
{
	client->orders = orders;
}

/* Sends an order of the agent's own; its answer goes to the orders. */
void lease_client_send_order(lease_client_t *client, const msg_order_t *order)
{
	link_send(&client->link, MSG_ORDER, order);
}

/* Sets the sessions that this entry wants for each customer. */
void lease_client_set_demand(lease_client_t *client, const msg_share_t *demand,
			     size_t count)
{
	clear_demand(client);
	for (size_t i = 0; i < count; i++) {
		msg_share_t copy = demand[i];

		copy.customer = g_strdup(demand[i].customer);
		g_array_append_val(client->demand, copy);
	}
}
