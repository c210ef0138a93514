/* What endpoints said, as it passes between processes of the system. */
#include "wisteria/fleet/fleet_news.h"

#include "wisteria/codec/msg.h"
#include "wisteria/fleet/subscription.h"
#include "wisteria/net/conn.h"

static msg_fleet_endpoint_t message_of(const endpoint_t *endpoint,
				       clock_ms_t now)
{
	return (msg_fleet_endpoint_t){
		.id = endpoint->id,
		.address = endpoint->address,
		.service = endpoint->service,
		.failure_domain = endpoint->failure_domain,
		.accelerator = endpoint->accelerator,
		.incarnation = endpoint->incarnation,
		.sequence = endpoint->sequence,
		.slots = endpoint->slots,
		.first_layer = endpoint->first_layer,
		.end_layer = endpoint->end_layer,
		.draining = endpoint->draining,
		.gone = endpoint->gone,
		.age_ms = now - endpoint->heard_ms,
	};
}

/* Makes a message of "endpoints"; the caller frees its list. */
static msg_fleet_endpoints_t news_of(const GPtrArray *endpoints, clock_ms_t now)
{
	msg_fleet_endpoint_t *list =
		g_new(msg_fleet_endpoint_t, endpoints->len + 1);

	for (guint i = 0; i < endpoints->len; i++)
		list[i] = message_of(g_ptr_array_index(endpoints, i), now);
	return (msg_fleet_endpoints_t){
		.endpoints = list,
		.endpoint_count = endpoints->len,
	};
}

static void free_news(const msg_fleet_endpoints_t *news)
{
	g_free((gpointer)(uintptr_t)news->endpoints);
}

/* Sends what is known of "endpoints", of const endpoint_t. */
void fleet_news_send(conn_t *conn, const GPtrArray *endpoints, clock_ms_t now)
{
	msg_fleet_endpoints_t news = news_of(endpoints, now);

	conn_send(conn, MSG_FLEET_ENDPOINTS, &news);
	free_news(&news);
}

/* Sends the same to every control instance subscribed to. */
void fleet_news_send_up(subscription_t *subscription,
			const GPtrArray *endpoints, clock_ms_t now)
{
	msg_fleet_endpoints_t news = news_of(endpoints, now);

	subscription_send_all(subscription, MSG_FLEET_ENDPOINTS, &news);
	free_news(&news);
}

/*
 * Returns the endpoints whose ids are in "ids", or all where it is NULL; the
 * caller frees the array, not the endpoints.
 */
GPtrArray *fleet_news_of(const registry_t *registry, GHashTable *ids)
{
	GPtrArray *endpoints = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, registry->by_id);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (ids == NULL || g_hash_table_contains(ids, key))
			g_ptr_array_add(endpoints, value);
	return endpoints;
}

/* Appends all that is known, as the message to a subscriber. */
void fleet_news_encode(const registry_t *registry, clock_ms_t now,
		       msgpack_sbuffer *out)
{
	GPtrArray *all = fleet_news_of(registry, NULL);
	msg_fleet_endpoints_t news = news_of(all, now);

	msg_encode(MSG_FLEET_ENDPOINTS, &news, out);
	free_news(&news);
	g_ptr_array_unref(all);
}

/* Reads what another process passed on. */
void fleet_news_read(const msg_fleet_endpoint_t *message, clock_ms_t now,
		     endpoint_t *endpoint)
{
	*endpoint = (endpoint_t){
		.incarnation = message->incarnation,
		.sequence = message->sequence,
		.slots = message->slots,
		.first_layer = message->first_layer,
		.end_layer = message->end_layer,
		.draining = message->draining,
		.gone = message->gone,
		.heard_ms = now - message->age_ms,
	};
	g_strlcpy(endpoint->id, message->id, sizeof(endpoint->id));
	g_strlcpy(endpoint->address, message->address,
		  sizeof(endpoint->address));
	g_strlcpy(endpoint->service, message->service,
		  sizeof(endpoint->service));
	g_strlcpy(endpoint->failure_domain, message->failure_domain,
		  sizeof(endpoint->failure_domain));
	g_strlcpy(endpoint->accelerator, message->accelerator,
		  sizeof(endpoint->accelerator));
}
