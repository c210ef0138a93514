/*
 * Stores the endpoints as described by their heartbeats.  Heartbeats can arrive
 * out of order, and after the end of their process.  Incarnation and sequence
 * decide which state is newer, except that "gone" is final within an
 * incarnation.  A process that reports from an address replaces all others at
 * that address, unless one of them is newer.
 */
#include "wisteria/fleet/registry.h"

#include <string.h>

#include <netinet/in.h>

#include "wisteria/net/net.h"

/* Initializes an empty registry. */
void registry_init(registry_t *registry)
{
	memset(registry, 0, sizeof(*registry));
	registry->by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

/* Frees the endpoints of the registry. */
void registry_finish(registry_t *registry)
{
	g_hash_table_destroy(registry->by_id);
}

/* Returns the endpoint "id", or NULL if it is unknown. */
const endpoint_t *registry_find(const registry_t *registry, const char *id)
{
	return g_hash_table_lookup(registry->by_id, id);
}

static bool is_newer(const endpoint_t *update, const endpoint_t *known)
{
	if (update->incarnation != known->incarnation)
		return update->incarnation > known->incarnation;
	/* Once gone, a process stays gone, whatever the sequence. */
	if (update->gone != known->gone)
		return update->gone;
	/* Marks made between two heartbeats have the sequence of the first. */
	if (update->sequence == known->sequence)
		return (update->unreachable && !known->unreachable) ||
		       (update->draining && !known->draining);
	return update->sequence > known->sequence;
}

/*
 * Whether two states of an endpoint differ at most in their heartbeats, failure
 * domain and accelerator.
 */
bool endpoint_state_equal(const endpoint_t *a, const endpoint_t *b)
{
	return a->incarnation == b->incarnation &&
	       strcmp(a->address, b->address) == 0 &&
	       strcmp(a->service, b->service) == 0 &&
	       a->first_layer == b->first_layer &&
	       a->end_layer == b->end_layer && a->draining == b->draining &&
	       a->gone == b->gone && a->unreachable == b->unreachable &&
	       a->slots == b->slots;
}

/* Whether "text" can be connected to: an IP number and a port. */
static bool is_usable_address(const char *text)
{
	struct sockaddr_storage address;

	if (!net_parse_address(text, &address, NULL))
		return false;
	if (address.ss_family == AF_INET6)
		return ((struct sockaddr_in6 *)(void *)&address)->sin6_port !=
		       0;
	return ((struct sockaddr_in *)(void *)&address)->sin_port != 0;
}

/* Whether "text" has control characters, which end a line of a message. */
static bool has_control_characters(const char *text)
{
	for (; *text != '\0'; text++)
		if (g_ascii_iscntrl(*text))
			return true;
	return false;
}

/*
 * Returns why "endpoint" cannot be the state of an endpoint, as that of another
 * writer may be; NULL if it can.
 */
const char *endpoint_defect(const endpoint_t *endpoint)
{
	if (endpoint->id[0] == '\0')
		return "no_id";
	if (!is_usable_address(endpoint->address))
		return "unusable_address";
	if (has_control_characters(endpoint->id) ||
	    has_control_characters(endpoint->service) ||
	    has_control_characters(endpoint->failure_domain) ||
	    has_control_characters(endpoint->accelerator))
		return "control_characters";
	if (endpoint->first_layer > endpoint->end_layer ||
	    endpoint->end_layer > ENDPOINT_LAYERS_MAX)
		return "invalid_layers";
	if (endpoint->incarnation > ENDPOINT_INCARNATION_MAX)
		return "incarnation_too_large";
	if (endpoint->sequence > ENDPOINT_SEQUENCE_MAX)
		return "sequence_too_large";
	return NULL;
}

/* Whether the registry has a newer process at the address of "update". */
static bool is_replaced(const registry_t *registry, const endpoint_t *update)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registry->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const endpoint_t *other = value;

		if (strcmp(other->address, update->address) == 0 &&
		    strcmp(other->id, update->id) != 0 &&
		    other->incarnation > update->incarnation)
			return true;
	}
	return false;
}

/*
 * Marks all other processes at the address of "update" as gone; the caller has
 * checked that none of them is newer.
 */
static void mark_others_gone(registry_t *registry, const endpoint_t *update)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registry->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		endpoint_t *other = value;

		if (strcmp(other->address, update->address) == 0 &&
		    strcmp(other->id, update->id) != 0)
			other->gone = true;
	}
}

/*
 * Stores the state that an endpoint reported at "last_heard_ms".  Ignores a
 * state that is not newer than the known one, and any state of a process that
 * is gone or whose address a newer process uses.  Refuses what endpoint_defect()
 * finds, whoever sent it, so that it is neither used nor passed on.
 */
registry_update_result_t registry_update(registry_t *registry,
					 const endpoint_t *update,
					 clock_ms_t last_heard_ms)
{
	endpoint_t *known = g_hash_table_lookup(registry->by_id, update->id);
	bool is_unchanged;

	if (endpoint_defect(update) != NULL)
		return REGISTRY_REFUSED;
	if (known != NULL && !is_newer(update, known))
		return REGISTRY_STALE;
	if (is_replaced(registry, update) ||
	    (known != NULL && known->gone &&
	     known->incarnation == update->incarnation))
		return REGISTRY_STALE;
	is_unchanged = known != NULL && endpoint_state_equal(known, update);
	if (known == NULL) {
		known = g_new0(endpoint_t, 1);
		*known = *update;
		g_hash_table_insert(registry->by_id, known->id, known);
	} else {
		*known = *update;
	}
	known->last_heard_ms = last_heard_ms;
	registry->newest_heard_ms =
		MAX(registry->newest_heard_ms, last_heard_ms);
	if (is_unchanged)
		return REGISTRY_REFRESHED;
	mark_others_gone(registry, known);
	registry->version++;
	return REGISTRY_CHANGED;
}

/*
 * Records a heartbeat of an endpoint whose state has not changed.  Returns
 * whether the endpoint is known in this incarnation; if not, its full state is
 * needed.
 */
bool registry_record_heartbeat(registry_t *registry, const char *id,
			       uint64_t incarnation, uint64_t sequence,
			       clock_ms_t last_heard_ms)
{
	endpoint_t *known = g_hash_table_lookup(registry->by_id, id);

	if (known == NULL || known->incarnation != incarnation)
		return false;
	if (known->gone || sequence <= known->sequence)
		return true;
	if (known->unreachable)
		registry->version++;
	known->unreachable = false;
	known->sequence = sequence;
	known->last_heard_ms = last_heard_ms;
	registry->newest_heard_ms =
		MAX(registry->newest_heard_ms, last_heard_ms);
	return true;
}

/*
 * Marks the endpoint "id" as accepting no connections, until its next
 * heartbeat.  Returns false if it is unknown in this incarnation, gone, or
 * marked already.
 */
bool registry_mark_unreachable(registry_t *registry, const char *id,
			       uint64_t incarnation)
{
	endpoint_t *known = g_hash_table_lookup(registry->by_id, id);

	if (known == NULL || known->incarnation != incarnation || known->gone ||
	    known->unreachable)
		return false;
	known->unreachable = true;
	registry->version++;
	return true;
}

/*
 * Marks the endpoint "id" as gone, since it has announced its end at "now".
 * Returns it, or NULL if it is unknown.  Later heartbeats of the same process
 * do not undo this.
 */
const endpoint_t *registry_mark_gone(registry_t *registry, const char *id,
				     clock_ms_t now)
{
	endpoint_t *known = g_hash_table_lookup(registry->by_id, id);

	if (known == NULL)
		return NULL;
	if (!known->gone)
		registry->version++;
	known->gone = true;
	known->last_heard_ms = now;
	return known;
}

/*
 * Whether an endpoint has stopped sending heartbeats.  Its silence is measured
 * against the latest heartbeat of any endpoint: if all are silent, the local
 * connection is probably lost, and the last known state remains in use.
 */
bool registry_is_silent(const registry_t *registry, const endpoint_t *endpoint)
{
	return registry->newest_heard_ms - endpoint->last_heard_ms >
	       REGISTRY_SILENCE_MS;
}

/* Whether new requests may be sent to an endpoint. */
bool registry_is_usable(const registry_t *registry, const endpoint_t *endpoint)
{
	return !endpoint->draining && !endpoint->gone &&
	       !endpoint->unreachable &&
	       !registry_is_silent(registry, endpoint);
}

static gboolean is_expired(gpointer key, gpointer value, gpointer data)
{
	const clock_ms_t *now = data;

	(void)key;
	return *now - ((const endpoint_t *)value)->last_heard_ms >
	       REGISTRY_EXPIRY_MS;
}

/* Removes the endpoints that sent nothing for REGISTRY_EXPIRY_MS. */
void registry_remove_expired(registry_t *registry, clock_ms_t now)
{
	g_hash_table_foreach_remove(registry->by_id, is_expired, &now);
}

/*
 * Returns the index of failure domain "name" in "names"; appends a name that is
 * missing.  The array keeps "name" itself, not a copy: the string must outlive
 * the array.
 */
uint32_t registry_domain_index(GPtrArray *names, const char *name)
{
	guint at;

	if (g_ptr_array_find_with_equal_func(names, name, g_str_equal, &at))
		return at;
	g_ptr_array_add(names, (gpointer)(uintptr_t)name);
	return names->len - 1;
}
