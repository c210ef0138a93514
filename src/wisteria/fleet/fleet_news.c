/* What endpoints said, as it passes between processes of the system. */
#include "wisteria/fleet/fleet_news.h"

#include "wisteria/codec/msg.h"
#include "wisteria/fleet/registry.h"

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
		.unreachable = endpoint->unreachable,
	};
}

typedef struct {
	endpoint_t endpoint;
	clock_ms_t told_ms;
} told_endpoint_t;

/* Nothing has been told yet. */
void fleet_told_init(fleet_told_t *told)
{
	told->by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees what is held. */
void fleet_told_finish(fleet_told_t *told)
{
	g_hash_table_destroy(told->by_id);
}

/* Whether it is enough to say that "endpoint" lives. */
static bool is_told(fleet_told_t *told, const endpoint_t *endpoint,
		    clock_ms_t now)
{
	told_endpoint_t *known;

	if (told == NULL)
		return false;
	known = g_hash_table_lookup(told->by_id, endpoint->id);
	if (known != NULL && now - known->told_ms < FLEET_NEWS_FULL_MS &&
	    endpoint_state_equal(&known->endpoint, endpoint))
		return true;
	known = g_new(told_endpoint_t, 1);
	known->endpoint = *endpoint;
	known->told_ms = now;
	g_hash_table_replace(told->by_id, g_strdup(endpoint->id), known);
	return false;
}

/*
 * Makes news of the endpoints whose ids are in "ids", or of all where it is
 * NULL.  What "told" knows to be the same as before is only said to live; NULL
 * describes everything in full.
 */
void fleet_news_init(fleet_news_t *news, const registry_t *registry,
		     GHashTable *ids, fleet_told_t *told, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	news->full = g_array_new(FALSE, FALSE, sizeof(msg_fleet_endpoint_t));
	news->alive = g_array_new(FALSE, FALSE, sizeof(msg_fleet_alive_t));
	g_hash_table_iter_init(&iter, registry->by_id);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const endpoint_t *endpoint = value;
		msg_fleet_endpoint_t full = message_of(endpoint, now);
		msg_fleet_alive_t alive = {
			.id = endpoint->id,
			.incarnation = endpoint->incarnation,
			.sequence = endpoint->sequence,
			.age_ms = full.age_ms,
		};

		if (ids != NULL && !g_hash_table_contains(ids, id))
			continue;
		if (is_told(told, endpoint, now))
			g_array_append_val(news->alive, alive);
		else
			g_array_append_val(news->full, full);
	}
}

/* Frees what the news hold. */
void fleet_news_finish(fleet_news_t *news)
{
	g_array_unref(news->full);
	g_array_unref(news->alive);
}

/* Returns the message; it is good while the news are. */
msg_fleet_endpoints_t fleet_news_message(const fleet_news_t *news)
{
	return (msg_fleet_endpoints_t){
		.endpoints =
			(const msg_fleet_endpoint_t *)(void *)news->full->data,
		.endpoint_count = news->full->len,
		.alive = (const msg_fleet_alive_t *)(void *)news->alive->data,
		.alive_count = news->alive->len,
	};
}

/* Appends all that is known, as the message to a subscriber. */
void fleet_news_encode(const registry_t *registry, clock_ms_t now,
		       msgpack_sbuffer *out)
{
	msg_fleet_endpoints_t message;
	fleet_news_t news;

	fleet_news_init(&news, registry, NULL, NULL, now);
	message = fleet_news_message(&news);
	msg_encode(MSG_FLEET_ENDPOINTS, &message, out);
	fleet_news_finish(&news);
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
		.unreachable = message->unreachable,
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
