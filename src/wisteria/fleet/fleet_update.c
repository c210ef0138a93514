/* Conversion of endpoint heartbeats to and from messages between processes. */
#include "wisteria/fleet/fleet_update.h"

#include "wisteria/codec/msg.h"
#include "wisteria/fleet/part_guard.h"
#include "wisteria/fleet/registry.h"

/*
 * Returns the full description of an endpoint as of "now"; it points into
 * "endpoint".
 */
msg_fleet_endpoint_t fleet_update_describe(const endpoint_t *endpoint,
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
		.age_ms = now - endpoint->last_heard_ms,
		.unreachable = endpoint->unreachable,
	};
}

typedef struct {
	endpoint_t endpoint;
	clock_ms_t sent_ms;
} sent_endpoint_t;

/* Initializes an empty record of sent descriptions. */
void fleet_sent_init(fleet_sent_t *sent)
{
	sent->by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the record's contents. */
void fleet_sent_finish(fleet_sent_t *sent)
{
	g_hash_table_destroy(sent->by_id);
}

/*
 * Returns whether a keep-alive is enough for "endpoint": the same description
 * was sent less than FLEET_UPDATE_FULL_INTERVAL_MS ago.  Otherwise records it
 * as sent in full now.
 */
static bool is_already_sent(fleet_sent_t *sent, const endpoint_t *endpoint,
			    clock_ms_t now)
{
	sent_endpoint_t *known;

	if (sent == NULL)
		return false;
	known = g_hash_table_lookup(sent->by_id, endpoint->id);
	if (known != NULL &&
	    now - known->sent_ms < FLEET_UPDATE_FULL_INTERVAL_MS &&
	    endpoint_state_equal(&known->endpoint, endpoint))
		return true;
	known = g_new(sent_endpoint_t, 1);
	known->endpoint = *endpoint;
	known->sent_ms = now;
	g_hash_table_replace(sent->by_id, g_strdup(endpoint->id), known);
	return false;
}

/*
 * Builds an update of the endpoints whose ids are in "ids", or of all if it is
 * NULL.  Endpoints that are unchanged according to "sent" are only listed as
 * alive; if "sent" is NULL, all are described in full.
 */
void fleet_update_init(fleet_update_t *update, const registry_t *registry,
		       GHashTable *ids, fleet_sent_t *sent, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	update->full = g_array_new(FALSE, FALSE, sizeof(msg_fleet_endpoint_t));
	update->alive = g_array_new(FALSE, FALSE, sizeof(msg_fleet_alive_t));
	g_hash_table_iter_init(&iter, registry->by_id);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const endpoint_t *endpoint = value;
		msg_fleet_endpoint_t full =
			fleet_update_describe(endpoint, now);
		msg_fleet_alive_t alive = {
			.id = endpoint->id,
			.incarnation = endpoint->incarnation,
			.sequence = endpoint->sequence,
			.age_ms = full.age_ms,
		};

		if (ids != NULL && !g_hash_table_contains(ids, id))
			continue;
		if (is_already_sent(sent, endpoint, now))
			g_array_append_val(update->alive, alive);
		else
			g_array_append_val(update->full, full);
	}
}

/* Frees the update's contents. */
void fleet_update_finish(fleet_update_t *update)
{
	g_array_unref(update->full);
	g_array_unref(update->alive);
}

/* Returns the message; it is valid until the update is freed or changed. */
msg_fleet_endpoints_t fleet_update_message(const fleet_update_t *update)
{
	return (msg_fleet_endpoints_t){
		.endpoints = (const msg_fleet_endpoint_t *)(void *)
				     update->full->data,
		.endpoint_count = update->full->len,
		.alive = (const msg_fleet_alive_t *)(void *)update->alive->data,
		.alive_count = update->alive->len,
	};
}

/*
 * Fills "list", of PART_GUARD_PARTS_MAX items, with the refused parts; returns
 * their number.
 */
static size_t list_refused(const part_guard_t *parts, clock_ms_t now,
			   msg_fleet_part_t *list)
{
	size_t count = 0;

	for (uint32_t i = 0; i < parts->count; i++) {
		uint64_t part = parts->records[i].part;
		clock_ms_t left_ms = part_guard_refused_ms(parts, part, now);

		if (left_ms > 0)
			list[count++] = (msg_fleet_part_t){
				.part = part,
				.passed_ago_ms = -1,
				.refused_left_ms = left_ms,
			};
	}
	return count;
}

/*
 * Appends the whole registry, the refused parts and the number of entries,
 * encoded as a MSG_FLEET_ENDPOINTS message.
 */
void fleet_update_encode(const registry_t *registry, const part_guard_t *parts,
			 uint32_t entries, clock_ms_t now, msgpack_sbuffer *out)
{
	msg_fleet_part_t refused[PART_GUARD_PARTS_MAX];
	msg_fleet_endpoints_t message;
	fleet_update_t update;

	fleet_update_init(&update, registry, NULL, NULL, now);
	message = fleet_update_message(&update);
	message.entries = entries;
	message.parts = refused;
	message.part_count = list_refused(parts, now, refused);
	msg_encode(MSG_FLEET_ENDPOINTS, &message, out);
	fleet_update_finish(&update);
}

/*
 * Fills "endpoint" from a message of another process; the age in the message
 * becomes a time of our own clock.
 */
void fleet_update_read_endpoint(const msg_fleet_endpoint_t *message,
				clock_ms_t now, endpoint_t *endpoint)
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
		.last_heard_ms = now - message->age_ms,
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
