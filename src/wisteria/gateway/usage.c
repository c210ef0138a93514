/*
 * How much of each endpoint is in use: exact for this entry's own requests,
 * and for those of the others what the leader last summed up, less this
 * entry's own part in the sum.
 */
#include "wisteria/gateway/usage.h"

#include <string.h>

/* Makes an empty account. */
void usage_init(usage_t *usage)
{
	usage->own =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	usage->all =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	usage->all_ms = 0;
}

/* Frees what the account holds. */
void usage_finish(usage_t *usage)
{
	g_hash_table_destroy(usage->own);
	g_hash_table_destroy(usage->all);
}

/* A request of "tokens" tokens begins at endpoint "id". */
void usage_begin(usage_t *usage, const char *id, double tokens)
{
	usage_own_t *own = g_hash_table_lookup(usage->own, id);

	if (own == NULL) {
		own = g_new0(usage_own_t, 1);
		g_hash_table_insert(usage->own, g_strdup(id), own);
	}
	own->tokens += tokens;
	own->requests++;
}

/* Ends what usage_begin() began. */
void usage_end(usage_t *usage, const char *id, double tokens)
{
	usage_own_t *own = g_hash_table_lookup(usage->own, id);

	if (own == NULL)
		return;
	own->tokens -= tokens;
	if (--own->requests == 0)
		g_hash_table_remove(usage->own, id);
}

/* Returns how many requests of this entry are under way at "id". */
unsigned usage_requests(const usage_t *usage, const char *id)
{
	const usage_own_t *own = g_hash_table_lookup(usage->own, id);

	return own == NULL ? 0 : own->requests;
}

/* Returns the tokens of all entries' requests at "id", as far as known. */
double usage_tokens(const usage_t *usage, const char *id, clock_ms_t now)
{
	const usage_own_t *own = g_hash_table_lookup(usage->own, id);
	const double *all = g_hash_table_lookup(usage->all, id);
	double own_tokens = own == NULL ? 0 : own->tokens;
	double own_reported = own == NULL ? 0 : own->reported;

	if (all == NULL || now - usage->all_ms >= USAGE_FRESH_MS)
		return own_tokens;
	return own_tokens + MAX(*all - own_reported, 0);
}

/* Takes what all entries use, this one among them. */
void usage_take(usage_t *usage, const msg_fleet_load_t *load, clock_ms_t now)
{
	usage->all_ms = now;
	g_hash_table_remove_all(usage->all);
	for (size_t i = 0; i < load->use_count; i++) {
		double *tokens = g_new(double, 1);

		*tokens = load->uses[i].tokens;
		g_hash_table_insert(usage->all, g_strdup(load->uses[i].id),
				    tokens);
	}
}

/*
 * Returns what this entry uses, and notes it as reported; the caller frees the
 * list, not its strings.
 */
msg_fleet_use_t *usage_report(usage_t *usage, size_t *count)
{
	msg_fleet_use_t *list =
		g_new(msg_fleet_use_t, g_hash_table_size(usage->own) + 1);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	*count = 0;
	g_hash_table_iter_init(&iter, usage->own);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		usage_own_t *own = value;

		own->reported = own->tokens;
		list[(*count)++] = (msg_fleet_use_t){
			.id = key,
			.tokens = own->tokens,
		};
	}
	return list;
}
