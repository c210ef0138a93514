#ifndef WISTERIA_BASE_TABLE_H
#define WISTERIA_BASE_TABLE_H

#include <stdbool.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/base/table_defs.h"

void table_init(table_t *table, size_t record_bytes) ATTR_NONNULL_ALL;
void table_finish(table_t *table) ATTR_NONNULL_ALL;
handle_t table_add(table_t *table) ATTR_NONNULL_ALL;
void *table_get(const table_t *table, handle_t handle) ATTR_NONNULL_ALL;
void table_remove(table_t *table, handle_t handle) ATTR_NONNULL_ALL;
handle_t table_next(const table_t *table, handle_t after) ATTR_NONNULL_ALL;
bool handle_is_null(handle_t handle);

#endif
