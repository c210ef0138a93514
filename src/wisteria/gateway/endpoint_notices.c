/*
 * Remembers what endpoints have asked of this entry in their answers: to send
 * nothing more because they leave, or to send nothing for a while because they
 * are overloaded.  A request holds for one incarnation of the endpoint.  Answers
 * the load at which endpoints are short of capacity: requests go to those that
 * have some, instead of being refused again.  No clock, no I/O.
 */
#include "wisteria/gateway/endpoint_notices.h"

typedef struct {
	uint64_t incarnation;
	bool leaving;
	clock_ms_t paused_until_ms; /* 0: no pause */
} endpoint_notice_t;

/* Initializes an empty memory. */
void endpoint_notices_init(endpoint_notices_t *notices)
{
	notices->by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the memory's contents. */
void endpoint_notices_finish(endpoint_notices_t *notices)
{
	g_hash_table_destroy(notices->by_id);
}

static const endpoint_notice_t *find(const endpoint_notices_t *notices,
				     const endpoint_t *endpoint)
{
	const endpoint_notice_t *notice =
		g_hash_table_lookup(notices->by_id, endpoint->id);

	if (notice == NULL || notice->incarnation != endpoint->incarnation)
		return NULL;
	return notice;
}

static endpoint_notice_t *find_or_add(endpoint_notices_t *notices,
				      const endpoint_t *endpoint)
{
	endpoint_notice_t *notice =
		g_hash_table_lookup(notices->by_id, endpoint->id);

	if (notice == NULL) {
		notice = g_new0(endpoint_notice_t, 1);
		g_hash_table_insert(notices->by_id, g_strdup(endpoint->id),
				    notice);
	}
	if (notice->incarnation != endpoint->incarnation)
		*notice = (endpoint_notice_t){
			.incarnation = endpoint->incarnation,
		};
	return notice;
}

/* Records that the endpoint leaves; returns false if that was known. */
bool endpoint_notices_leave(endpoint_notices_t *notices,
			    const endpoint_t *endpoint)
{
	endpoint_notice_t *notice = find_or_add(notices, endpoint);
	bool is_new = !notice->leaving;

	notice->leaving = true;
	return is_new;
}

/*
 * Records that the endpoint wants nothing for "pause_ms"; a pause that ends
 * later stays.  "spread", between 0 and 1, is drawn by the caller.  Returns when
 * the pause ends.
 */
clock_ms_t endpoint_notices_pause(endpoint_notices_t *notices,
				  const endpoint_t *endpoint,
				  clock_ms_t pause_ms, double spread,
				  clock_ms_t now)
{
	endpoint_notice_t *notice = find_or_add(notices, endpoint);
	double extra_ms = MIN((double)pause_ms * ENDPOINT_PAUSE_SPREAD,
			      ENDPOINT_PAUSE_SPREAD_MAX_MS);
	clock_ms_t until_ms = now + MIN(pause_ms, ENDPOINT_PAUSE_MAX_MS) +
			      (clock_ms_t)(extra_ms * spread);

	notice->paused_until_ms = MAX(notice->paused_until_ms, until_ms);
	return notice->paused_until_ms;
}

/* Returns whether this incarnation of the endpoint has said that it leaves. */
bool endpoint_notices_is_leaving(const endpoint_notices_t *notices,
				 const endpoint_t *endpoint)
{
	const endpoint_notice_t *notice = find(notices, endpoint);

	return notice != NULL && notice->leaving;
}

/* Returns when the pause of the endpoint ends; 0: it has asked for none. */
clock_ms_t endpoint_notices_pause_end(const endpoint_notices_t *notices,
				      const endpoint_t *endpoint)
{
	const endpoint_notice_t *notice = find(notices, endpoint);

	return notice == NULL ? 0 : notice->paused_until_ms;
}

/* Forgets pauses that have ended, and endpoints that are no longer known. */
void endpoint_notices_expire(endpoint_notices_t *notices,
			     const registry_t *registry, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	g_hash_table_iter_init(&iter, notices->by_id);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const endpoint_notice_t *notice = value;

		if ((!notice->leaving && now >= notice->paused_until_ms) ||
		    registry_find(registry, id) == NULL)
			g_hash_table_iter_remove(&iter);
	}
}
