#ifndef WISTERIA_BASE_TABLE_DEFS_H
#define WISTERIA_BASE_TABLE_DEFS_H

#include <stddef.h>
#include <stdint.h>

/*
 * A handle of a record in a table.  The generation distinguishes a slot's
 * current record from earlier ones; a zero handle has no record.
 */
typedef struct {
	uint32_t index;
	uint32_t generation;
} handle_t;

/* A table of fixed-size records addressed by handles. */
typedef struct {
	unsigned char *records;
	uint32_t *generations;
	uint32_t *free_list;
	size_t record_bytes;
	uint32_t capacity;
	uint32_t used; /* slots used so far, free ones included */
	uint32_t free_count;
} table_t;

#endif
