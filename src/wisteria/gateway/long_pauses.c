/*
 * Records the long pauses of streams, by endpoint.  A silent stream is not
 * resumed at endpoints where others pause for as long: its prompt would be
 * processed again, and its next event would come no sooner.  A pause does not
 * tell which endpoint of a pipeline caused it, so a pipeline counts as slow only
 * if all its endpoints have had one.  No clock, no I/O.
 */
#include "wisteria/gateway/long_pauses.h"

typedef struct {
	clock_ms_t pause_ms;
	clock_ms_t at_ms;
} long_pause_t;

/* Initializes an empty record. */
void long_pauses_init(long_pauses_t *pauses)
{
	pauses->by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the record's contents. */
void long_pauses_finish(long_pauses_t *pauses)
{
	g_hash_table_destroy(pauses->by_id);
}

/* Records that a stream through endpoint "id" has paused for long. */
void long_pauses_add(long_pauses_t *pauses, const char *id, clock_ms_t pause_ms,
		     clock_ms_t now)
{
	long_pause_t *pause = g_new(long_pause_t, 1);

	*pause = (long_pause_t){ .pause_ms = pause_ms, .at_ms = now };
	g_hash_table_replace(pauses->by_id, g_strdup(id), pause);
}

/*
 * Returns the pause in ms to expect of a stream through these endpoints: the
 * shortest of their last ones, or 0 if one of them has had none lately.
 */
clock_ms_t long_pauses_expected(const long_pauses_t *pauses,
				const char (*ids)[ENDPOINT_ID_BYTES],
				uint32_t count, clock_ms_t now)
{
	clock_ms_t expected_ms = 0;

	for (uint32_t i = 0; i < count; i++) {
		const long_pause_t *pause =
			g_hash_table_lookup(pauses->by_id, ids[i]);

		if (pause == NULL || now - pause->at_ms >= LONG_PAUSES_AGE_MS)
			return 0;
		if (i == 0 || pause->pause_ms < expected_ms)
			expected_ms = pause->pause_ms;
	}
	return expected_ms;
}

static gboolean is_expired(gpointer id, gpointer value, gpointer now)
{
	const long_pause_t *pause = value;

	(void)id;
	return *(const clock_ms_t *)now - pause->at_ms >= LONG_PAUSES_AGE_MS;
}

/* Forgets the pauses that tell nothing any more. */
void long_pauses_expire(long_pauses_t *pauses, clock_ms_t now)
{
	g_hash_table_foreach_remove(pauses->by_id, is_expired, &now);
}
