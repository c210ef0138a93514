/*
 * Keeps the explanations of ended requests, up to a maximum size in bytes.  One
 * lock serves all threads: it is taken only once per request and once per
 * lookup.
 */
#include <string.h>

#include "wisteria/trace/explain.h"

typedef struct {
	char *request_id;
	char *text;
	size_t bytes;
	GList link;
} explain_record_t;

static void free_record(explain_record_t *record)
{
	g_free(record->request_id);
	g_free(record->text);
	g_free(record);
}

static void remove_record(explain_log_t *log, explain_record_t *record)
{
	log->bytes -= record->bytes;
	g_queue_unlink(&log->records, &record->link);
	g_hash_table_remove(log->by_id, record->request_id);
	free_record(record);
}

/* Initializes an empty log that holds at most "bytes_max" bytes. */
void explain_log_init(explain_log_t *log, size_t bytes_max)
{
	memset(log, 0, sizeof(*log));
	g_mutex_init(&log->lock);
	g_queue_init(&log->records);
	log->bytes_max = bytes_max;
	log->by_id = g_hash_table_new(g_str_hash, g_str_equal);
}

/* Frees the contents of the log. */
void explain_log_finish(explain_log_t *log)
{
	while (log->records.head != NULL)
		remove_record(log, log->records.head->data);
	g_hash_table_destroy(log->by_id);
	g_mutex_clear(&log->lock);
}

static explain_record_t *make_record(const explain_t *explain)
{
	explain_record_t *record = g_new0(explain_record_t, 1);

	record->request_id = g_strdup(explain->request_id);
	record->text = g_strdup(explain->text->str);
	record->bytes = sizeof(*record) + strlen(record->request_id) +
			explain->text->len + 2;
	record->link.data = record;
	return record;
}

/* Stores a copy of "explain"; replaces an earlier one of the same request. */
void explain_log_add(explain_log_t *log, const explain_t *explain)
{
	explain_record_t *record = make_record(explain);
	explain_record_t *previous;

	g_mutex_lock(&log->lock);
	previous = g_hash_table_lookup(log->by_id, record->request_id);
	if (previous != NULL)
		remove_record(log, previous);
	g_queue_push_tail_link(&log->records, &record->link);
	g_hash_table_insert(log->by_id, record->request_id, record);
	log->bytes += record->bytes;
	while (log->bytes > log->bytes_max)
		remove_record(log, log->records.head->data);
	g_mutex_unlock(&log->lock);
}

/*
 * Returns the explanation of "request_id" as JSON, or NULL if it is not known
 * or no longer kept.  The caller frees it with free().
 */
char *explain_log_find(explain_log_t *log, const char *request_id)
{
	const explain_record_t *record;
	char *out = NULL;

	g_mutex_lock(&log->lock);
	record = g_hash_table_lookup(log->by_id, request_id);
	if (record != NULL)
		out = explain_render(record->request_id, record->text);
	g_mutex_unlock(&log->lock);
	return out;
}
