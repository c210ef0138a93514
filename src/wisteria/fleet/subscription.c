/*
 * A process's connections to the control instances.  Each instance forwards
 * the heartbeats that it receives from endpoints; one instance at a time is
 * asked to renew the lease on the newest revision.  A lease counts from when
 * its renewal was sent, by the owner's clock; entries pass one that advances
 * while the machine is suspended.
 */
#include "wisteria/fleet/subscription.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/histogram.h"
#include "wisteria/base/log.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/link.h"

#define SUBSCRIPTION_TICK_MS 50

static subscription_t *subscription_of(conn_handler_t *handler)
{
	return CONTAINER_OF(handler, subscription_t, conn_handler);
}

static clock_ms_t now_of(const subscription_t *subscription)
{
	return clock_now(subscription->lease_clock);
}

static void on_opened(conn_handler_t *handler, conn_t *conn)
{
	subscription_t *subscription = subscription_of(handler);
	const msg_fleet_subscribe_t subscribe = {
		.is_entry = subscription->is_entry,
	};

	LOG_INFO("control_regained", "peer=%s address=%s", conn->peer_instance,
		 conn->peer_address);
	conn_send(conn, MSG_FLEET_SUBSCRIBE, &subscribe);
	subscription->leader_epoch++;
	if (subscription->handler->opened != NULL)
		subscription->handler->opened(subscription->handler, conn);
}

static void on_closed(conn_handler_t *handler, conn_t *conn, const err_t *why)
{
	subscription_t *subscription = subscription_of(handler);

	subscription->awaiting_reply = false;
	log_err(G_LOG_LEVEL_WARNING, "control_lost", why);
	(void)conn;
}

static void set_controls_from_reply(subscription_t *subscription,
				    const msg_fleet_renew_reply_t *reply)
{
	const char **addresses = g_new(const char *, reply->control_count + 1);

	for (size_t i = 0; i < reply->control_count; i++)
		addresses[i] = reply->controls[i].address;
	control_list_set_members(&subscription->discovered, addresses,
				 reply->control_count, now_of(subscription));
	subscription_set_controls(subscription, addresses,
				  reply->control_count);
	g_free(addresses);
}

/* Takes over the address of the leader; empty: it is not known. */
static void set_leader(subscription_t *subscription, const char *address)
{
	const char *leader = address[0] == '\0' ? NULL : address;

	if (g_strcmp0(subscription->leader, leader) == 0)
		return;
	g_free(subscription->leader);
	subscription->leader = g_strdup(leader);
	subscription->leader_epoch++;
}

static void on_renew_reply(subscription_t *subscription,
			   const msg_fleet_renew_reply_t *reply)
{
	counter_add(COUNTER_RENEWALS, 1);
	histogram_add(LATENCY_RENEWAL,
		      now_of(subscription) - reply->request_sent_ms);

	if (reply->request_sent_ms == subscription->request_sent_ms)
		subscription->awaiting_reply = false;
	set_leader(subscription, reply->leader);
	set_controls_from_reply(subscription, reply);
	if (subscription->handler->renew_reply(subscription->handler, reply))
		subscription_extend_lease(subscription, reply->request_sent_ms);
}

static void on_control_list(subscription_t *subscription,
			    const msg_fleet_meet_t *control_list)
{
	for (size_t i = 0; i < control_list->control_count; i++)
		subscription_add_discovered(subscription,
					    &control_list->controls[i]);
	if (subscription->handler->control_list != NULL)
		subscription->handler->control_list(subscription->handler,
						    control_list);
}

static void on_message(conn_handler_t *handler, conn_t *conn, const msg_t *msg)
{
	subscription_t *subscription = subscription_of(handler);

	if (subscription->closed)
		return;
	if (msg->type == MSG_FLEET_RENEW_REPLY)
		on_renew_reply(subscription, msg->body);
	else if (msg->type == MSG_FLEET_ENDPOINTS)
		subscription->handler->endpoints(subscription->handler,
						 msg->body);
	else if (msg->type == MSG_FLEET_LOAD &&
		 subscription->handler->load != NULL)
		subscription->handler->load(subscription->handler, msg->body);
	else if (msg->type == MSG_FLEET_MEET)
		on_control_list(subscription, msg->body);
	else if (msg->type == MSG_FLEET_PACES &&
		 subscription->handler->slow_engines != NULL)
		subscription->handler->slow_engines(subscription->handler,
						    msg->body);
	else if (msg->type == MSG_FLEET_PARTS &&
		 subscription->handler->parts != NULL)
		subscription->handler->parts(subscription->handler, msg->body);
	else if (msg->type == MSG_FLEET_LIMITS &&
		 subscription->handler->limits != NULL)
		subscription->handler->limits(subscription->handler, msg->body);
	else if (msg->type == MSG_FLEET_RETRIES &&
		 subscription->handler->retries != NULL)
		subscription->handler->retries(subscription->handler,
					       msg->body);
	else if (msg->type == MSG_FLEET_PLAN &&
		 subscription->handler->plan != NULL)
		subscription->handler->plan(subscription->handler, msg->body);
	else if (msg->type == MSG_FLEET_FOUNDING &&
		 subscription->handler->founding != NULL)
		subscription->handler->founding(subscription->handler, conn,
						msg->body);
}

static subscription_control_t *find_control(const subscription_t *subscription,
					    const char *address)
{
	for (guint i = 0; i < subscription->controls->len; i++) {
		subscription_control_t *control =
			g_ptr_array_index(subscription->controls, i);

		if (strcmp(control->address, address) == 0)
			return control;
	}
	return NULL;
}

static void add_control(subscription_t *subscription, const char *address)
{
	subscription_control_t *control;

	if (find_control(subscription, address) != NULL ||
	    g_strcmp0(address, subscription->own_address) == 0)
		return;
	control = g_new0(subscription_control_t, 1);
	g_strlcpy(control->address, address, sizeof(control->address));
	link_init(&control->link, subscription->net, address,
		  &subscription->conn_handler);
	link_mark_busy(&control->link);
	g_ptr_array_add(subscription->controls, control);
}

static void drop_unwanted(subscription_t *subscription)
{
	guint i = 0;

	while (i < subscription->controls->len) {
		subscription_control_t *control =
			g_ptr_array_index(subscription->controls, i);

		if (g_ptr_array_find_with_equal_func(subscription->wanted,
						     control->address,
						     g_str_equal, NULL)) {
			i++;
			continue;
		}
		LOG_INFO("control_dropped", "address=%s", control->address);
		link_finish(&control->link);
		g_ptr_array_remove_index(subscription->controls, i);
	}
}

static void apply_wanted(subscription_t *subscription)
{
	if (subscription->wanted == NULL)
		return;
	for (guint i = 0; i < subscription->wanted->len; i++)
		add_control(subscription,
			    g_ptr_array_index(subscription->wanted, i));
	drop_unwanted(subscription);
	g_ptr_array_unref(subscription->wanted);
	subscription->wanted = NULL;
}

/*
 * Extends the lease to SUBSCRIPTION_LEASE_MS after "request_sent_ms": the
 * revision that was the newest at that time is in force.
 */
void subscription_extend_lease(subscription_t *subscription,
			       clock_ms_t request_sent_ms)
{
	subscription->lease_until_ms =
		MAX(subscription->lease_until_ms,
		    request_sent_ms + SUBSCRIPTION_LEASE_MS);
}

/* Removes all seeds; open connections are kept. */
void subscription_clear_seeds(subscription_t *subscription)
{
	g_ptr_array_set_size(subscription->seeds, 0);
}

/*
 * Subscribes to the control instance at "address", IP:PORT for frames.  A
 * process that renews leases subscribes to it again whenever it has none.
 */
void subscription_add_seed(subscription_t *subscription, const char *address)
{
	g_ptr_array_add(subscription->seeds, g_strdup(address));
	add_control(subscription, address);
}

/*
 * Records a control instance that another one knows, if it has a data folder:
 * others cannot grant a lease, and the seeds may all be such.  A process that
 * renews leases subscribes to the recorded instances whenever it has none.
 */
void subscription_add_discovered(subscription_t *subscription,
				 const msg_fleet_control_t *control)
{
	if (control->has_disk)
		control_list_hear(&subscription->discovered, control,
				  now_of(subscription));
}

/* Forgets discovered instances; those with an open connection exist. */
static void tick_discovered(subscription_t *subscription, clock_ms_t now)
{
	for (guint i = 0; i < subscription->controls->len; i++) {
		const subscription_control_t *control =
			g_ptr_array_index(subscription->controls, i);

		if (link_is_open(&control->link))
			control_list_confirm(&subscription->discovered,
					     control->address, now);
	}
	control_list_tick(&subscription->discovered, now);
}

/*
 * Adds the seeds and the youngest of the discovered instances, the members that
 * the last renewal named before all others.
 */
static void add_fallback_controls(subscription_t *subscription)
{
	size_t count = 0;
	msg_fleet_control_t *discovered = control_list_describe(
		&subscription->discovered, now_of(subscription), &count);

	for (guint i = 0; i < subscription->seeds->len; i++)
		add_control(subscription,
			    g_ptr_array_index(subscription->seeds, i));
	for (size_t i = 0; i < MIN(count, SUBSCRIPTION_DISCOVERED_MAX); i++)
		add_control(subscription, discovered[i].address);
	g_free(discovered);
}

/*
 * Subscribes to exactly these control instances and drops all others, at the
 * next tick.  An empty list is ignored.
 */
void subscription_set_controls(subscription_t *subscription,
			       const char *const *addresses, size_t count)
{
	if (count == 0)
		return;
	if (subscription->wanted != NULL)
		g_ptr_array_unref(subscription->wanted);
	subscription->wanted = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; i < count; i++)
		g_ptr_array_add(subscription->wanted, g_strdup(addresses[i]));
}

/*
 * Returns the next control instance with an open connection, in rotation, or
 * NULL.
 */
static subscription_control_t *next_control(subscription_t *subscription)
{
	const GPtrArray *controls = subscription->controls;

	for (guint i = 0; i < controls->len; i++) {
		subscription_control_t *control =
			g_ptr_array_index(controls, (subscription->next_index +
						     i) % controls->len);

		if (!link_is_open(&control->link))
			continue;
		subscription->next_index =
			(subscription->next_index + i) % controls->len;
		return control;
	}
	return NULL;
}

static void send_renew(subscription_t *subscription, clock_ms_t now)
{
	subscription_control_t *control;
	msg_fleet_renew_t renew = {
		.request_sent_ms = now,
		.revision = subscription->handler->held(subscription->handler),
	};

	if (subscription->awaiting_reply)
		subscription->next_index++; /* the last renewal timed out */
	control = next_control(subscription);
	subscription->awaiting_reply = control != NULL;
	subscription->request_sent_ms = now;
	if (control != NULL)
		link_send(&control->link, MSG_FLEET_RENEW, &renew);
}

static void log_lease_change(subscription_t *subscription)
{
	bool has_lease = subscription_has_lease(subscription);

	if (has_lease == subscription->had_lease)
		return;
	subscription->had_lease = has_lease;
	LOG_INFO(has_lease ? "lease_gained" : "lease_lost",
		 "revision=%" G_GUINT64_FORMAT " until_ms=%" G_GINT64_FORMAT,
		 subscription->handler->held(subscription->handler),
		 subscription->lease_until_ms);
}

static void on_tick(uv_timer_t *timer)
{
	subscription_t *subscription = timer->data;
	clock_ms_t now = now_of(subscription);
	clock_ms_t wait = subscription->awaiting_reply
				  ? SUBSCRIPTION_REPLY_TIMEOUT_MS
				  : SUBSCRIPTION_RENEW_INTERVAL_MS;

	apply_wanted(subscription);
	tick_discovered(subscription, now);
	if (!subscription->renews_lease)
		return;
	log_lease_change(subscription);
	if (!subscription_has_lease(subscription))
		add_fallback_controls(subscription);
	if (now - subscription->request_sent_ms >= wait)
		send_renew(subscription, now);
}

/*
 * Initializes a subscription without control instances.  Leases are requested
 * only with "renews_lease", and timed by "lease_clock".  "own_address" is never
 * subscribed to; it may be NULL.
 */
void subscription_init(subscription_t *subscription, net_t *net,
		       const clock_source_t *lease_clock, bool renews_lease,
		       const char *own_address, subscription_handler_t *handler)
{
	memset(subscription, 0, sizeof(*subscription));
	subscription->conn_handler.opened = on_opened;
	subscription->conn_handler.closed = on_closed;
	subscription->conn_handler.message = on_message;
	subscription->handler = handler;
	subscription->net = net;
	subscription->lease_clock = lease_clock;
	subscription->renews_lease = renews_lease;
	subscription->own_address = g_strdup(own_address);
	subscription->controls = g_ptr_array_new_with_free_func(g_free);
	subscription->seeds = g_ptr_array_new_with_free_func(g_free);
	control_list_init(&subscription->discovered);
	subscription->request_sent_ms =
		now_of(subscription) - SUBSCRIPTION_RENEW_INTERVAL_MS;
	subscription->next_index = (guint)net->incarnation;
	uv_timer_init(net->loop, &subscription->tick);
	subscription->tick.data = subscription;
	uv_timer_start(&subscription->tick, on_tick, SUBSCRIPTION_TICK_MS,
		       SUBSCRIPTION_TICK_MS);
}

/* Closes all connections. */
void subscription_close(subscription_t *subscription)
{
	subscription->closed = true;
	for (guint i = 0; i < subscription->controls->len; i++) {
		subscription_control_t *control =
			g_ptr_array_index(subscription->controls, i);

		link_finish(&control->link);
	}
	uv_close((uv_handle_t *)&subscription->tick, NULL);
}

/* Frees a closed subscription, after the event loop has ended. */
void subscription_finish(subscription_t *subscription)
{
	g_ptr_array_unref(subscription->controls);
	g_ptr_array_unref(subscription->seeds);
	control_list_finish(&subscription->discovered);
	if (subscription->wanted != NULL)
		g_ptr_array_unref(subscription->wanted);
	g_free(subscription->own_address);
	g_free(subscription->leader);
}

/* Returns whether the lease on the held revision has not expired. */
bool subscription_has_lease(const subscription_t *subscription)
{
	return subscription->lease_until_ms > now_of(subscription);
}

/*
 * Sends a message to the leader; returns false if it is not known or not
 * connected.
 */
bool subscription_send_to_leader(subscription_t *subscription, msg_type_t type,
				 const void *body)
{
	subscription_control_t *control =
		subscription->leader == NULL
			? NULL
			: find_control(subscription, subscription->leader);

	return control != NULL && link_send(&control->link, type, body);
}

/* Sends a message to the control instance at "address", if it is connected. */
void subscription_send_to(subscription_t *subscription, const char *address,
			  msg_type_t type, const void *body)
{
	subscription_control_t *control = find_control(subscription, address);

	if (control != NULL)
		link_send(&control->link, type, body);
}

/* Returns the number of control instances with an open connection. */
uint32_t subscription_count_open(const subscription_t *subscription)
{
	uint32_t count = 0;

	for (guint i = 0; i < subscription->controls->len; i++) {
		const subscription_control_t *control =
			g_ptr_array_index(subscription->controls, i);

		count += link_is_open(&control->link);
	}
	return count;
}

/*
 * Sends a message to one connected control instance, if there is any: numbers
 * "index" that follow one another stand for all of them in turn.
 */
void subscription_send_to_one(subscription_t *subscription, uint32_t index,
			      msg_type_t type, const void *body)
{
	uint32_t open = subscription_count_open(subscription);
	uint32_t before = open > 0 ? index % open : 0;

	for (guint i = 0; i < subscription->controls->len; i++) {
		subscription_control_t *control =
			g_ptr_array_index(subscription->controls, i);

		if (!link_is_open(&control->link))
			continue;
		if (before == 0) {
			link_send(&control->link, type, body);
			return;
		}
		before--;
	}
}

/* Sends a message to every connected control instance. */
void subscription_send_all(subscription_t *subscription, msg_type_t type,
			   const void *body)
{
	for (guint i = 0; i < subscription->controls->len; i++) {
		subscription_control_t *control =
			g_ptr_array_index(subscription->controls, i);

		link_send(&control->link, type, body);
	}
}
