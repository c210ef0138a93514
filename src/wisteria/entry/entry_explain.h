#ifndef WISTERIA_ENTRY_ENTRY_EXPLAIN_H
#define WISTERIA_ENTRY_ENTRY_EXPLAIN_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/entry/entry_defs.h"

void entry_explain_init(entry_t *entry) ATTR_NONNULL_ALL;
void entry_explain_accept(entry_t *entry, request_t *request) ATTR_NONNULL_ALL;

#endif
