/*
 * Sums the token usage that all entries report.  Entries receive only the sum:
 * sending each entry the reports of all others would cost bytes in proportion
 * to the square of the number of entries.
 */
#include "wisteria/fleet/load_sum.h"

typedef struct {
	clock_ms_t received_ms;
	GHashTable *uses; /* endpoint id -> load_use_t * */
} load_report_t;

static void free_report(gpointer data)
{
	g_hash_table_destroy(((load_report_t *)data)->uses);
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

static void add_use(GHashTable *uses, const char *id, const load_use_t *added)
{
	load_use_t *use = g_hash_table_lookup(uses, id);

	if (use == NULL) {
		use = g_new0(load_use_t, 1);
		g_hash_table_insert(uses, g_strdup(id), use);
	}
	use->tokens += added->tokens;
	use->unread_tokens += added->unread_tokens;
	use->sequences += added->sequences;
}

/* Stores an entry's report and drops its previous one. */
void load_sum_set_report(load_sum_t *sum, const msg_fleet_load_t *load,
			 clock_ms_t now)
{
	load_report_t *report = g_new0(load_report_t, 1);

	report->received_ms = now;
	report->uses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (size_t i = 0; i < load->use_count; i++) {
		const load_use_t use = {
			.tokens = load->uses[i].tokens,
			.unread_tokens = load->uses[i].unread_tokens,
			.sequences = load->uses[i].sequences,
		};

		add_use(report->uses, load->uses[i].id, &use);
	}
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
 * Returns what runs at each endpoint, id -> load_use_t *; the caller destroys
 * the table.  Removes expired reports.
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
		gpointer use;

		g_hash_table_iter_init(&ids, ((load_report_t *)report)->uses);
		while (g_hash_table_iter_next(&ids, &id, &use))
			add_use(total, id, use);
	}
	return total;
}
