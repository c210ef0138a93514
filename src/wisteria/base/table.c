/*
 * Tables of records addressed by small handles.  Records move when the table
 * grows, so a pointer from table_get() is valid until the next table_add().
 */
#include "wisteria/base/table.h"

#include <string.h>

#include <glib.h>

#define TABLE_INITIAL_CAPACITY 16

/* Odd generations mark a slot in use. */
static bool slot_in_use(const table_t *table, uint32_t index)
{
	return table->generations[index] % 2 == 1;
}

static void grow(table_t *table)
{
	uint32_t capacity = table->capacity * 2;

	if (capacity == 0)
		capacity = TABLE_INITIAL_CAPACITY;
	table->records =
		g_realloc_n(table->records, capacity, table->record_bytes);
	table->generations = g_renew(uint32_t, table->generations, capacity);
	table->free_list = g_renew(uint32_t, table->free_list, capacity);
	memset(table->generations + table->capacity, 0,
	       (capacity - table->capacity) * sizeof(uint32_t));
	table->capacity = capacity;
}

/* Makes "table" an empty table of records of "record_bytes" each. */
void table_init(table_t *table, size_t record_bytes)
{
	*table = (table_t){ .record_bytes = record_bytes };
}

/* Frees what the table owns; the records' own resources are the caller's. */
void table_finish(table_t *table)
{
	g_free(table->records);
	g_free(table->generations);
	g_free(table->free_list);
	*table = (table_t){ .record_bytes = table->record_bytes };
}

/* Adds a zeroed record and returns its handle. */
handle_t table_add(table_t *table)
{
	uint32_t index;

	if (table->free_count > 0) {
		index = table->free_list[--table->free_count];
	} else {
		if (table->used == table->capacity)
			grow(table);
		index = table->used++;
	}
	table->generations[index]++;
	memset(table->records + index * table->record_bytes, 0,
	       table->record_bytes);
	return (handle_t){ index, table->generations[index] };
}

/* Returns the record of "handle", or NULL if it has been removed. */
void *table_get(const table_t *table, handle_t handle)
{
	if (handle.index >= table->used || handle_is_null(handle))
		return NULL;
	if (table->generations[handle.index] != handle.generation)
		return NULL;
	return table->records + handle.index * table->record_bytes;
}

/* Removes the record of "handle"; a stale handle is ignored. */
void table_remove(table_t *table, handle_t handle)
{
	if (table_get(table, handle) == NULL)
		return;
	table->generations[handle.index]++;
	table->free_list[table->free_count++] = handle.index;
}

/*
 * Returns the handle of the first record after "after", or a zero handle at the
 * end.  A zero "after" starts the iteration.
 */
handle_t table_next(const table_t *table, handle_t after)
{
	uint32_t index = handle_is_null(after) ? 0 : after.index + 1;

	for (; index < table->used; index++)
		if (slot_in_use(table, index))
			return (handle_t){ index, table->generations[index] };
	return (handle_t){ 0, 0 };
}

/* Returns whether "handle" is the zero handle, which has no record. */
bool handle_is_null(handle_t handle)
{
	return handle.generation == 0;
}
