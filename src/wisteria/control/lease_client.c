/*
 * The daemon's side of the configuration lease: renews it at one control
 * instance at a time, switches to the next if the connection or the renewal
 * fails or times out, and publishes the replies as views.  A lease counts from
 * when the renewal was sent.
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

/* Interval between checks for due renewals and timeouts. */
#define LEASE_TICK_MS 50
/*
 * Maximum number of presets that a renewal names as held by the daemon; the
 * reply does not include the text of a preset that is named.
 */
#define LEASE_PRESETS_MAX 16

struct lease_client_t {
	conn_handler_t handler;
	net_t *net;
	const settings_t *settings;
	view_board_t *board;
	view_builder_t *builder;
	link_t link;
	unsigned instance_index; /* of the control instance in use */
	uv_timer_t tick;
	uint64_t sequence;
	clock_ms_t renewal_sent_ms; /* 0: no renewal awaits a reply */
	clock_ms_t next_renewal_ms;
	clock_ms_t lease_until_ms;
	GArray *demand;		 /* of msg_share_t; the names are owned */
	uint64_t shares_term;	 /* in which shares were granted; 0: none */
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
		.shares_term = client->shares_term,
	};

	view_builder_directory_version(client->builder, &renew.directory_epoch,
				       &renew.directory_version);
	renew.preset_count = view_builder_preset_names(client->builder, presets,
						       LEASE_PRESETS_MAX);
	client->renewal_sent_ms = now;
	client->next_renewal_ms = now + LEASE_RENEW_MS;
	link_send(&client->link, MSG_RENEW, &renew);
}

/*
 * Abandons the pending renewal and connects to the next control instance.  If
 * there is only one, the link is kept and reconnects by itself if it is lost.
 * on_opened() sends the next renewal, or on_tick() tries again after
 * LEASE_REPLY_TIMEOUT_MS.
 */
static void use_next_instance(lease_client_t *client)
{
	const settings_t *settings = client->settings;

	client->renewal_sent_ms = 0;
	if (settings->control_instances_count > 1) {
		link_finish(&client->link);
		client->instance_index = (client->instance_index + 1) %
					 settings->control_instances_count;
		link_init(&client->link, client->net,
			  settings->control_instances[client->instance_index]
				  .address,
			  &client->handler);
	}
	client->next_renewal_ms =
		clock_now(client->net->clock) + LEASE_REPLY_TIMEOUT_MS;
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
 * Returns whether the shares were granted in another term than that which the
 * entry named.  A new leader counts the shares that an entry reports as held
 * only if the renewal names the leader's term, and in its grace period grants
 * no more than those.  The entry therefore keeps its shares and renews again
 * with the new term.  Only entries have a demand.
 */
static bool has_new_leader_term(const lease_client_t *client,
				const msg_renew_reply_t *reply)
{
	return client->demand->len > 0 &&
	       reply->shares_term != client->shares_term;
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

	if (reply->sequence != client->sequence || client->renewal_sent_ms == 0)
		return;
	if (!reply->granted ||
	    !view_builder_apply(client->builder, reply, &err)) {
		if (err_is_set(&err))
			log_err(G_LOG_LEVEL_WARNING, "renewal_failed", &err);
		use_next_instance(client);
		return;
	}
	if (has_new_leader_term(client, reply)) {
		client->shares_term = reply->shares_term;
		send_renewal(client, clock_now(client->net->clock));
		return;
	}
	client->lease_until_ms =
		lease_end_ms(client->renewal_sent_ms, reply->lease_ms);
	client->renewal_sent_ms = 0;
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
	if (client->renewal_sent_ms != 0 &&
	    now - client->renewal_sent_ms > LEASE_REPLY_TIMEOUT_MS)
		use_next_instance(client);
	if (client->renewal_sent_ms != 0 || now < client->next_renewal_ms)
		return;
	if (link_is_open(&client->link))
		send_renewal(client, now);
	else
		use_next_instance(client);
}

/*
 * Starts renewing the lease of this daemon on the loop of "net" and publishing
 * views to "board".  "settings" must outlive the client.
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
	client->instance_index = (unsigned)(net->incarnation %
					    settings->control_instances_count);
	client->next_renewal_ms =
		clock_now(net->clock) + LEASE_REPLY_TIMEOUT_MS;
	link_init(&client->link, net,
		  settings->control_instances[client->instance_index].address,
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

/* Frees the client; the event loop must have ended. */
void lease_client_free(lease_client_t *client)
{
	if (client == NULL)
		return;
	clear_demand(client);
	g_array_free(client->demand, TRUE);
	view_builder_free(client->builder);
	g_free(client);
}

/*
 * Sets the receiver of the open engine orders for this agent, which come with
 * each renewal, and of the replies to lease_client_send_order().
 */
void lease_client_set_orders(lease_client_t *client, engine_orders_t *orders)
{
	client->orders = orders;
}

/*
 * Sends this agent's claim or result of an engine order to the control
 * instance; engine_orders_on_reply() gets the reply.  Nothing is sent while not
 * connected; engine_orders_tick() resends what has not been answered.
 */
void lease_client_send_order(lease_client_t *client, const msg_order_t *order)
{
	link_send(&client->link, MSG_ORDER, order);
}

/*
 * Copies the demand of this entry, to be sent with each renewal: for each
 * customer the sessions that it requests and runs and the share that it holds.
 */
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
