#ifndef WISTERIA_BASE_TABLE_DEFS_H
#define WISTERIA_BASE_TABLE_DEFS_H

#include <stddef.h>
#include <stdint.h>

/*
 * A handle into a table.  The generation tells a slot's present holder from
 * earlier ones; a zero handle refers to nothing.
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
	uint32_t used;
	uint32_t free_count;
} table_t;

#endif
