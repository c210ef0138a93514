/*
 * Sums the token usage that all entries report.  Entries receive only the sum:
 * sending each entry the reports of all others would cost bytes in proportion
 * to the square of the number of entries.
 */
#include "wisteria/fleet/load_sum.h"

typedef struct {
	clock_ms_t received_ms;
	GHashTable *tokens; /* endpoint id -> double * */
} load_report_t;

static void free_report(gpointer data)
{
	g_hash_table_destroy(((load_report_t *)data)->tokens);
	g_free(data);
}

/* Initializes an empty sum. */
void load_sum_init(load_sum_t *sum)
{
	sum->reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_report);
}

/* Frees the reports of a sum. */
void load_sum_finish(load_sum_t *sum)
{
	g_hash_table_destroy(sum->reports);
}

static void add_tokens(GHashTable *tokens, const char *id, double amount)
{
	double *value = g_hash_table_lookup(tokens, id);

	if (value == NULL) {
		value = g_new0(double, 1);
		g_hash_table_insert(tokens, g_strdup(id), value);
	}
	*value += amount;
}

/* Stores an entry's report and drops its previous one. */
void load_sum_set_report(load_sum_t *sum, const msg_fleet_load_t *load,
			 clock_ms_t now)
{
	load_report_t *report = g_new0(load_report_t, 1);

	report->received_ms = now;
	report->tokens =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (size_t i = 0; i < load->use_count; i++)
		add_tokens(report->tokens, load->uses[i].id,
			   load->uses[i].tokens);
	g_hash_table_replace(sum->reports, g_strdup(load->entry), report);
}

static gboolean is_expired(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return *(const clock_ms_t *)data -
		       ((const load_report_t *)value)->received_ms >=
	       LOAD_SUM_REPORT_TTL_MS;
}

/*
 * Returns the tokens in use at each endpoint, id -> double *; the caller
 * destroys the table.  Removes expired reports.
 */
GHashTable *load_sum_total(load_sum_t *sum, clock_ms_t now)
{
	GHashTable *total =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter reports;
	gpointer report;

	g_hash_table_foreach_remove(sum->reports, is_expired, &now);
	g_hash_table_iter_init(&reports, sum->reports);
	while (g_hash_table_iter_next(&reports, NULL, &report)) {
		GHashTableIter ids;
		gpointer id;
		gpointer tokens;

		g_hash_table_iter_init(&ids, ((load_report_t *)report)->tokens);
		while (g_hash_table_iter_next(&ids, &id, &tokens))
			add_tokens(total, id, *(double *)tokens);
	}
	return total;
}
