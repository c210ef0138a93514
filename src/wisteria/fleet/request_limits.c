/*
 * Keeps the limits that endpoints name in their answers: the requests per second
 * that they take from all entries together.  Of two reports about one
 * incarnation the one with the newer answer holds.  Answers the load under
 * which endpoints are short of capacity and say how much they still take.  No
 * clock, no I/O.
 */
#include "wisteria/fleet/request_limits.h"

#include "wisteria/fleet/dialect.h"
#include "wisteria/fleet/registry.h"

/* Initializes an empty table. */
void request_limits_init(request_limits_t *limits)
{
	limits->by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

/* Frees the table's contents. */
void request_limits_finish(request_limits_t *limits)
{
	g_hash_table_destroy(limits->by_id);
}

/*
 * Returns what is known of the limit of this incarnation of the endpoint, also
 * its end; NULL: nothing.
 */
const request_limit_t *request_limits_find(const request_limits_t *limits,
					   const endpoint_t *endpoint)
{
	const request_limit_t *limit =
		g_hash_table_lookup(limits->by_id, endpoint->id);

	return limit != NULL && limit->incarnation == endpoint->incarnation
		       ? limit
		       : NULL;
}

/*
 * Records that an answer of "seen_ms" names "per_s", or REQUEST_LIMIT_NONE.
 * Returns whether the limit changes.
 */
bool request_limits_learn(request_limits_t *limits, const endpoint_t *endpoint,
			  double per_s, clock_ms_t seen_ms, clock_ms_t now)
{
	const request_limit_t *known = request_limits_find(limits, endpoint);
	request_limit_t *limit = (request_limit_t *)known;
	bool is_changed;

	if (known == NULL && per_s < 0)
		return false;
	if (known != NULL && seen_ms < known->seen_ms) {
		limit->confirmed_ms = now;
		return false;
	}
	if (known == NULL) {
		limit = g_new0(request_limit_t, 1);
		g_strlcpy(limit->id, endpoint->id, sizeof(limit->id));
		limit->incarnation = endpoint->incarnation;
		limit->per_s = REQUEST_LIMIT_NONE;
		g_hash_table_replace(limits->by_id, limit->id, limit);
	}
	is_changed = limit->per_s != per_s;
	limit->per_s = per_s;
	limit->seen_ms = seen_ms;
	limit->confirmed_ms = now;
	return is_changed;
}

/*
 * Returns the requests per second that the endpoint may be sent, at least
 * REQUEST_LIMIT_LEAST_PER_S; REQUEST_LIMIT_NONE: any number.
 */
double request_limits_rate(const request_limits_t *limits,
			   const endpoint_t *endpoint)
{
	const request_limit_t *limit = request_limits_find(limits, endpoint);

	if (limit == NULL || limit->per_s < 0)
		return REQUEST_LIMIT_NONE;
	return MAX(limit->per_s, REQUEST_LIMIT_LEAST_PER_S);
}

/* Returns how many limits are in force. */
uint32_t request_limits_count(const request_limits_t *limits)
{
	GHashTableIter iter;
	uint32_t count = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((const request_limit_t *)value)->per_s >= 0;
	return count;
}

/*
 * Forgets endpoints and incarnations that are no longer known, ends of limits
 * after REQUEST_LIMIT_END_MS, and limits that were not confirmed for
 * "unconfirmed_ms"; 0: these are kept.
 */
void request_limits_expire(request_limits_t *limits, const registry_t *registry,
			   clock_ms_t unconfirmed_ms, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const request_limit_t *limit = value;
		const endpoint_t *endpoint = registry_find(registry, limit->id);

		if (endpoint == NULL ||
		    endpoint->incarnation != limit->incarnation ||
		    (limit->per_s < 0 &&
		     now - limit->seen_ms >= REQUEST_LIMIT_END_MS) ||
		    (unconfirmed_ms > 0 &&
		     now - limit->confirmed_ms >= unconfirmed_ms))
			g_hash_table_iter_remove(&iter);
	}
}
