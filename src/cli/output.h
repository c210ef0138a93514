#ifndef CLI_OUTPUT_H
#define CLI_OUTPUT_H

#include <stddef.h>

#include <jansson.h>

#include "wisteria/base/macros_defs.h"

/* One column of a table: its title and its key in each row object. */
typedef struct {
	const char *title;
	const char *key;
} output_column_t;

void output_json(json_t *value);
void output_table(const json_t *rows, const output_column_t *columns,
		  size_t column_count) ATTR_NONNULL_ALL;
void output_pairs(const json_t *object, const output_column_t *columns,
		  size_t column_count) ATTR_NONNULL_ALL;
void output_order(const json_t *response) ATTR_NONNULL_ALL;

#endif
