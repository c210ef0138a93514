/*
 * Counts the entries of a fleet.  An entry may be connected to some of the
 * control instances only, and one that has ended still counts for a while, so
 * the instances tell each other when one of them last heard of each entry.  A
 * process that starts again under the same name is the same entry.
 * No clock, no I/O.
 */
#include "wisteria/fleet/entry_list.h"

/* Initializes an empty list. */
void entry_list_init(entry_list_t *list)
{
	list->heard_ms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the list's contents. */
void entry_list_finish(entry_list_t *list)
{
	g_hash_table_destroy(list->heard_ms);
}

/* Records that some control instance heard of an entry at "heard_ms". */
void entry_list_hear(entry_list_t *list, const char *instance,
		     clock_ms_t heard_ms)
{
	clock_ms_t *known = g_hash_table_lookup(list->heard_ms, instance);

	if (known == NULL) {
		known = g_new(clock_ms_t, 1);
		*known = heard_ms;
		g_hash_table_insert(list->heard_ms, g_strdup(instance), known);
	}
	*known = MAX(*known, heard_ms);
}

static gboolean is_older(gpointer instance, gpointer heard_ms, gpointer before)
{
	(void)instance;
	return *(const clock_ms_t *)heard_ms < *(const clock_ms_t *)before;
}

/* Removes the entries that were last heard of before "before_ms". */
void entry_list_expire(entry_list_t *list, clock_ms_t before_ms)
{
	g_hash_table_foreach_remove(list->heard_ms, is_older, &before_ms);
}

/* Returns the number of entries. */
uint32_t entry_list_count(const entry_list_t *list)
{
	return g_hash_table_size(list->heard_ms);
}

/*
 * Returns a message's records of the entries, and their number in "count".  The
 * caller frees the array; its names belong to the list.
 */
msg_fleet_entry_t *entry_list_describe(const entry_list_t *list, clock_ms_t now,
				       size_t *count)
{
	msg_fleet_entry_t *entries =
		g_new(msg_fleet_entry_t, entry_list_count(list) + 1);
	GHashTableIter iter;
	gpointer instance;
	gpointer heard_ms;

	*count = 0;
	g_hash_table_iter_init(&iter, list->heard_ms);
	while (g_hash_table_iter_next(&iter, &instance, &heard_ms))
		entries[(*count)++] = (msg_fleet_entry_t){
			.instance = instance,
			.age_ms = now - *(const clock_ms_t *)heard_ms,
		};
	return entries;
}
