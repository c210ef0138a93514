/*
 * Keeps the explanations of ended requests up to a bound in bytes.  Taken
 * once a request and once a question, so one lock serves all threads.
 */
#include <string.h>

#include "wisteria/trace/explain.h"

typedef struct {
	char *request_id;
	char *text;
	size_t bytes;
	GList link;
} record_t;

static void free_record(record_t *record)
{
	g_free(record->request_id);
	g_free(record->text);
	g_free(record);
}

static void drop(explain_log_t *log, record_t *record)
{
	log->bytes -= record->bytes;
	g_queue_unlink(&log->records, &record->link);
	g_hash_table_remove(log->by_id, record->request_id);
	free_record(record);
}

/* Makes an empty log that holds at most "bytes_max" bytes. */
void explain_log_init(explain_log_t *log, size_t bytes_max)
{
	memset(log, 0, sizeof(*log));
	g_mutex_init(&log->lock);
	g_queue_init(&log->records);
	log->bytes_max = bytes_max;
	log->by_id = g_hash_table_new(g_str_hash, g_str_equal);
}

/* Frees the log. */
void explain_log_finish(explain_log_t *log)
{
	while (log->records.head != NULL)
		drop(log, log->records.head->data);
	g_hash_table_destroy(log->by_id);
	g_mutex_clear(&log->lock);
}

static record_t *make_record(const explain_t *explain)
{
	record_t *record = g_new0(record_t, 1);

	record->request_id = g_strdup(explain->request_id);
	record->text = g_strdup(explain->text->str);
	record->bytes = sizeof(*record) + strlen(record->request_id) +
			explain->text->len + 2;
	record->link.data = record;
	return record;
}

/* Keeps a copy of "explain" in place of an earlier one of that request. */
void explain_log_add(explain_log_t *log, const explain_t *explain)
{
	record_t *record = make_record(explain);
	record_t *earlier;

	g_mutex_lock(&log->lock);
	earlier = g_hash_table_lookup(log->by_id, record->request_id);
	if (earlier != NULL)
		drop(log, earlier);
	g_queue_push_tail_link(&log->records, &record->link);
	g_hash_table_insert(log->by_id, record->request_id, record);
	log->bytes += record->bytes;
	while (log->bytes > log->bytes_max)
		drop(log, log->records.head->data);
	g_mutex_unlock(&log->lock);
}

/*
 * Returns the JSON answer on "request_id", freed by the caller with free(),
 * or NULL where it is not known or no longer kept.
 */
char *explain_log_find(explain_log_t *log, const char *request_id)
{
	const record_t *record;
	char *out = NULL;

	g_mutex_lock(&log->lock);
	record = g_hash_table_lookup(log->by_id, request_id);
	if (record != NULL)
		out = explain_render(record->request_id, record->text);
	g_mutex_unlock(&log->lock);
	return out;
}
