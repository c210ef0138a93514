#ifndef WISTERIA_ROUTE_GROUP_DEFS_H
#define WISTERIA_ROUTE_GROUP_DEFS_H

#include <stdint.h>

#include "wisteria/base/table_defs.h"

/* Maximum number of entries that group_best() writes. */
#define GROUP_BEST_MAX 16

typedef struct {
	double key; /* expected step time, in ms; INFINITY: not free */
	handle_t candidate;
} group_entry_t;

/*
 * The candidates of one layer range in one failure domain, as a binary heap
 * by expected step time.
 */
typedef struct {
	uint32_t domain;
	uint32_t count;
	uint32_t capacity;
	group_entry_t *entries;
} group_t;

#endif
