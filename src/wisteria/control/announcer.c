/*
 * Announces the endpoints of an agent directly to every control instance: the
 * full list once per connection and whenever it changes, and heartbeats in
 * between.  A control instance that has just started therefore knows all live
 * endpoints within one interval, whichever instance leads.
 */
#include "wisteria/control/announcer.h"

#include <string.h>

#include <glib.h>

#include "wisteria/control/control_defs.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/link.h"

/* The link to one control instance. */
typedef struct {
	link_t link;
	bool list_sent; /* the full list was sent on this connection */
} announcer_peer_t;

struct announcer_t {
	conn_handler_t handler;
	net_t *net;
	announcer_peer_t *peers;
	unsigned peer_count;
	uv_timer_t tick;
	bool leaving;
	msg_endpoint_t *endpoints;
	size_t endpoint_count;
	GArray *running; /* of msg_running_t; the names are owned */
};

static announcer_t *announcer_of(conn_handler_t *handler)
{
	return CONTAINER_OF(handler, announcer_t, handler);
}

static void announce(announcer_t *announcer, announcer_peer_t *peer)
{
	msg_announce_t body = {
		.instance = announcer->net->instance,
		.incarnation = announcer->net->incarnation,
		.unchanged = peer->list_sent,
		.running = (msg_running_t *)announcer->running->data,
		.running_count = announcer->running->len,
	};

	if (!peer->list_sent) {
		body.endpoints = announcer->endpoints;
		body.endpoint_count = announcer->endpoint_count;
	}
	if (link_send(&peer->link, MSG_ANNOUNCE, &body))
		peer->list_sent = true;
}

static void announce_all(announcer_t *announcer)
{
	for (unsigned i = 0; i < announcer->peer_count; i++)
		announce(announcer, &announcer->peers[i]);
}

static announcer_peer_t *peer_of(conn_t *conn)
{
	return CONTAINER_OF(conn->link, announcer_peer_t, link);
}

static void on_opened(conn_handler_t *handler, conn_t *conn)
{
	announcer_peer_t *peer = peer_of(conn);

	peer->list_sent = false;
	announce(announcer_of(handler), peer);
}

static void on_closed(conn_handler_t *handler, conn_t *conn, const err_t *why)
{
	(void)handler;
	(void)conn;
	(void)why;
}

static void on_message(conn_handler_t *handler, conn_t *conn, const msg_t *msg)
{
	const msg_announce_reply_t *reply = msg->body;
	announcer_peer_t *peer = peer_of(conn);

	if (msg->type != MSG_ANNOUNCE_REPLY || !reply->again)
		return;
	peer->list_sent = false;
	announce(announcer_of(handler), peer);
}

static void on_tick(uv_timer_t *timer)
{
	announce_all(timer->data);
}

static msg_endpoint_t make_endpoint_msg(const announcer_t *announcer,
					const settings_t *settings,
					const settings_endpoint_t *endpoint)
{
	const settings_agent_t *agent = settings->agent;
	bool is_model = endpoint->kind == SETTINGS_MODEL;

	return (msg_endpoint_t){
		.name = endpoint->name,
		.instance = settings->instance,
		.incarnation = announcer->net->incarnation,
		.address = agent->advertise != NULL ? agent->advertise
						    : agent->listen,
		.kind = is_model ? ENDPOINT_MODEL : ENDPOINT_SERVICE,
		.target = endpoint->target,
		.first_layer = endpoint->first_layer,
		.end_layer = endpoint->end_layer,
		.accelerator = endpoint->accelerator,
		.slots = endpoint->slots,
		.failure_domain = settings->failure_domain,
		.region = settings->region,
		.checks_fencing = endpoint->checks_fencing,
	};
}

static void collect_endpoints(announcer_t *announcer,
			      const settings_t *settings)
{
	const settings_agent_t *agent = settings->agent;

	announcer->endpoint_count = agent->endpoints_count;
	announcer->endpoints = g_new0(msg_endpoint_t, agent->endpoints_count);
	for (unsigned i = 0; i < agent->endpoints_count; i++)
		announcer->endpoints[i] = make_endpoint_msg(
			announcer, settings, &agent->endpoints[i]);
}

/* Starts announcing on the loop of "net"; "settings" must outlive it. */
announcer_t *announcer_new(net_t *net, const settings_t *settings)
{
	announcer_t *announcer = g_new0(announcer_t, 1);

	announcer->handler.opened = on_opened;
	announcer->handler.message = on_message;
	announcer->handler.closed = on_closed;
	announcer->net = net;
	announcer->running = g_array_new(FALSE, FALSE, sizeof(msg_running_t));
	collect_endpoints(announcer, settings);
	announcer->peer_count = settings->control_instances_count;
	announcer->peers = g_new0(announcer_peer_t, announcer->peer_count);
	for (unsigned i = 0; i < announcer->peer_count; i++)
		link_init(&announcer->peers[i].link, net,
			  settings->control_instances[i].address,
			  &announcer->handler);
	uv_timer_init(net->loop, &announcer->tick);
	announcer->tick.data = announcer;
	uv_timer_start(&announcer->tick, on_tick, ANNOUNCE_INTERVAL_MS,
		       ANNOUNCE_INTERVAL_MS);
	return announcer;
}

static void clear_running(announcer_t *announcer)
{
	for (guint i = 0; i < announcer->running->len; i++)
		g_free((char *)g_array_index(announcer->running, msg_running_t,
					     i)
			       .endpoint);
	g_array_set_size(announcer->running, 0);
}

/* Frees the announcer; the event loop must have ended. */
void announcer_free(announcer_t *announcer)
{
	if (announcer == NULL)
		return;
	clear_running(announcer);
	g_array_free(announcer->running, TRUE);
	g_free(announcer->endpoints);
	g_free(announcer->peers);
	g_free(announcer);
}

/*
 * Copies the number of sessions and calls in progress at each endpoint, to be
 * sent with each announcement and heartbeat.
 */
void announcer_set_running(announcer_t *announcer, const msg_running_t *running,
			   size_t count)
{
	clear_running(announcer);
	for (size_t i = 0; i < count; i++) {
		const msg_running_t copy = {
			.endpoint = g_strdup(running[i].endpoint),
			.running = running[i].running,
		};

		g_array_append_val(announcer->running, copy);
	}
}

static void announce_full_list(announcer_t *announcer)
{
	for (unsigned i = 0; i < announcer->peer_count; i++)
		announcer->peers[i].list_sent = false;
	announce_all(announcer);
}

/* Announces at once that all endpoints are leaving: this daemon stops. */
void announcer_announce_leaving(announcer_t *announcer)
{
	for (size_t i = 0; i < announcer->endpoint_count; i++)
		announcer->endpoints[i].leaving = true;
	announce_full_list(announcer);
}

/* Withdraws all endpoints at once; they must have finished their work. */
void announcer_withdraw(announcer_t *announcer)
{
	announcer->endpoint_count = 0;
	announce_full_list(announcer);
}
