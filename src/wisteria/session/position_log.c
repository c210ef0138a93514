/* The inputs or outputs of consecutive positions (see hop_work_t). */
#include "wisteria/session/position_log.h"

/* Initializes an empty log that begins at position 0. */
void position_log_init(position_log_t *log)
{
	*log = (position_log_t){ .items = g_ptr_array_new() };
}

/* Frees the contents of the log. */
void position_log_finish(position_log_t *log)
{
	position_log_drop(log, position_log_next(log));
	g_ptr_array_free(log->items, TRUE);
	log->items = NULL;
}

/* Returns the position that the next append gets. */
uint32_t position_log_next(const position_log_t *log)
{
	return log->first + (log->items->len - log->head);
}

/* Appends a copy of "data". */
void position_log_append(position_log_t *log, bytes_t data)
{
	g_ptr_array_add(log->items, g_bytes_new(data.data, data.len));
	log->bytes += data.len;
}

/* Removes the released items once they are half of the array. */
static void compact(position_log_t *log)
{
	if (log->head == 0 || log->head < log->items->len / 2)
		return;
	g_ptr_array_remove_range(log->items, 0, log->head);
	log->head = 0;
}

/* Drops all positions below "below". */
void position_log_drop(position_log_t *log, uint32_t below)
{
	while (log->first < below && log->head < log->items->len) {
		GBytes *item = g_ptr_array_index(log->items, log->head);

		log->bytes -= g_bytes_get_size(item);
		g_bytes_unref(item);
		log->head++;
		log->first++;
	}
	compact(log);
}

/* Returns the content of a position, which must be in the log. */
bytes_t position_log_get(const position_log_t *log, uint32_t position)
{
	guint index = log->head + (position - log->first);
	gsize len;
	const uint8_t *data =
		g_bytes_get_data(g_ptr_array_index(log->items, index), &len);

	return (bytes_t){ data, len };
}
