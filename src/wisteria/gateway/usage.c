/*
 * How much of each endpoint is in use: exact for this entry's own requests,
 * as last reported for those of other entries.
 */
#include "wisteria/gateway/usage.h"

#include <string.h>

typedef struct {
	clock_ms_t taken_ms;
	GHashTable *tokens; /* endpoint id -> double * */
} usage_report_t;

static void free_report(gpointer data)
{
	g_hash_table_destroy(((usage_report_t *)data)->tokens);
	g_free(data);
}

/* Makes an empty account. */
void usage_init(usage_t *usage)
{
	usage->own =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	usage->others = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_report);
}

/* Frees what the account holds. */
void usage_finish(usage_t *usage)
{
	g_hash_table_destroy(usage->own);
	g_hash_table_destroy(usage->others);
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
	double sum = own == NULL ? 0 : own->tokens;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, usage->others);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const usage_report_t *report = value;
		const double *tokens = g_hash_table_lookup(report->tokens, id);

		if (tokens != NULL && now - report->taken_ms < USAGE_FRESH_MS)
			sum += *tokens;
	}
	return sum;
}

/* Takes the report of another entry. */
void usage_take(usage_t *usage, const msg_fleet_load_t *load, clock_ms_t now)
{
	usage_report_t *report =
		g_hash_table_lookup(usage->others, load->entry);

	if (report == NULL) {
		report = g_new0(usage_report_t, 1);
		report->tokens = g_hash_table_new_full(g_str_hash, g_str_equal,
						       g_free, g_free);
		g_hash_table_insert(usage->others, g_strdup(load->entry),
				    report);
	}
	report->taken_ms = now;
	g_hash_table_remove_all(report->tokens);
	for (size_t i = 0; i < load->use_count; i++) {
		double *tokens = g_new(double, 1);

		*tokens = load->uses[i].tokens;
		g_hash_table_insert(report->tokens, g_strdup(load->uses[i].id),
				    tokens);
	}
}

/* Returns what this entry uses; the caller frees the list, not its strings. */
msg_fleet_use_t *usage_list(const usage_t *usage, size_t *count)
{
	msg_fleet_use_t *list =
		g_new(msg_fleet_use_t, g_hash_table_size(usage->own) + 1);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	*count = 0;
	g_hash_table_iter_init(&iter, usage->own);
	while (g_hash_table_iter_next(&iter, &key, &value))
		list[(*count)++] = (msg_fleet_use_t){
			.id = key,
			.tokens = ((const usage_own_t *)value)->tokens,
		};
	return list;
}
