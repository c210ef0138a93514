/*
 * Sums up what entries use.  Were each entry told what every other one uses,
 * the bytes would grow with the square of their number.
 */
#include "wisteria/fleet/load_sum.h"

typedef struct {
	clock_ms_t taken_ms;
	GHashTable *tokens; /* endpoint id -> double * */
} load_report_t;

static void free_report(gpointer data)
{
	g_hash_table_destroy(((load_report_t *)data)->tokens);
	g_free(data);
}

/* Makes an empty sum. */
void load_sum_init(load_sum_t *sum)
{
	sum->reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_report);
}

/* Frees what the sum holds. */
void load_sum_finish(load_sum_t *sum)
{
	g_hash_table_destroy(sum->reports);
}

static void add(GHashTable *tokens, const char *id, double amount)
{
	double *value = g_hash_table_lookup(tokens, id);

	if (value == NULL) {
		value = g_new0(double, 1);
		g_hash_table_insert(tokens, g_strdup(id), value);
	}
	*value += amount;
}

/* Takes an entry's report in place of its last one. */
void load_sum_take(load_sum_t *sum, const msg_fleet_load_t *load,
		   clock_ms_t now)
{
	load_report_t *report = g_new0(load_report_t, 1);

	report->taken_ms = now;
	report->tokens =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (size_t i = 0; i < load->use_count; i++)
		add(report->tokens, load->uses[i].id, load->uses[i].tokens);
	g_hash_table_replace(sum->reports, g_strdup(load->entry), report);
}

static gboolean is_old(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return *(const clock_ms_t *)data -
		       ((const load_report_t *)value)->taken_ms >=
	       LOAD_SUM_FRESH_MS;
}

/*
 * Returns the tokens in use at each endpoint, id -> double *; the caller
 * destroys the table.  Reports that are too old are forgotten.
 */
GHashTable *load_sum_total(load_sum_t *sum, clock_ms_t now)
{
	GHashTable *total =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter reports;
	gpointer report;

	g_hash_table_foreach_remove(sum->reports, is_old, &now);
	g_hash_table_iter_init(&reports, sum->reports);
	while (g_hash_table_iter_next(&reports, NULL, &report)) {
		GHashTableIter ids;
		gpointer id;
		gpointer tokens;

		g_hash_table_iter_init(&ids, ((load_report_t *)report)->tokens);
		while (g_hash_table_iter_next(&ids, &id, &tokens))
			add(total, id, *(double *)tokens);
	}
	return total;
}
