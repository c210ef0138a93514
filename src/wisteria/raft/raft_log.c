/* The in-memory log of a replica. */
#include "wisteria/raft/raft_log.h"

/* Frees what "entry" owns. */
void raft_entry_clear(raft_entry_t *entry)
{
	g_bytes_unref(entry->data);
}

/* Makes an empty array of entries that frees what its entries own. */
GArray *raft_entries_new(void)
{
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(raft_entry_t));

	g_array_set_clear_func(entries, (GDestroyNotify)raft_entry_clear);
	return entries;
}

/* Appends a copy of "entry", sharing its data. */
void raft_entries_add(GArray *entries, const raft_entry_t *entry)
{
	raft_entry_t copy = *entry;

	g_bytes_ref(copy.data);
	g_array_append_val(entries, copy);
}

/* Makes an empty log. */
void raft_log_init(raft_log_t *log)
{
	*log = (raft_log_t){ .entries = raft_entries_new() };
}

/* Frees the entries. */
void raft_log_finish(raft_log_t *log)
{
	g_array_unref(log->entries);
	log->entries = NULL;
}

/* Returns the index of the last entry; "base_index" (0 at first) if none. */
uint64_t raft_log_last(const raft_log_t *log)
{
	return log->base_index + log->entries->len;
}

/* Returns the term of the last entry, or "base_term" if there is none. */
uint64_t raft_log_last_term(const raft_log_t *log)
{
	if (log->entries->len == 0)
		return log->base_term;
	return g_array_index(log->entries, raft_entry_t, log->entries->len - 1)
		.term;
}

/* Finds the term of "index"; returns false if it is outside the log. */
bool raft_log_term(const raft_log_t *log, uint64_t index, uint64_t *term)
{
	const raft_entry_t *entry = raft_log_get(log, index);

	if (index == log->base_index) {
		*term = log->base_term;
		return true;
	}
	if (entry == NULL)
		return false;
	*term = entry->term;
	return true;
}

/* Returns the entry at "index", or NULL if the log does not hold it. */
const raft_entry_t *raft_log_get(const raft_log_t *log, uint64_t index)
{
	if (index <= log->base_index || index > raft_log_last(log))
		return NULL;
	return &g_array_index(log->entries, raft_entry_t,
			      index - log->base_index - 1);
}

/* Appends an entry; takes ownership of the reference to "data". */
void raft_log_add(raft_log_t *log, uint64_t term, uint32_t kind, GBytes *data)
{
	raft_entry_t entry = {
		.index = raft_log_last(log) + 1,
		.term = term,
		.kind = kind,
		.data = data,
	};

	g_array_append_val(log->entries, entry);
}

/* Drops the entry at "index" and all later ones. */
void raft_log_truncate_from(raft_log_t *log, uint64_t index)
{
	if (index > raft_log_last(log))
		return;
	g_array_set_size(log->entries, (guint)(index - log->base_index - 1));
}

/* Drops all entries up to and including "index", if the log holds it. */
void raft_log_drop_through(raft_log_t *log, uint64_t index)
{
	const raft_entry_t *entry = raft_log_get(log, index);

	if (entry == NULL)
		return;
	log->base_term = entry->term;
	g_array_remove_range(log->entries, 0, (guint)(index - log->base_index));
	log->base_index = index;
}

/* Empties the log and bases it on a snapshot at "index". */
void raft_log_reset(raft_log_t *log, uint64_t index, uint64_t term)
{
	g_array_set_size(log->entries, 0);
	log->base_index = index;
	log->base_term = term;
}
