#ifndef WISTERIA_FLEET_ENTRY_LIST_H
#define WISTERIA_FLEET_ENTRY_LIST_H

#include <glib.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"

/* The entries of a fleet, as one control instance knows them. */
typedef struct {
	GHashTable *heard_ms; /* instance -> clock_ms_t * */
} entry_list_t;

void entry_list_init(entry_list_t *list) ATTR_NONNULL_ALL;
void entry_list_finish(entry_list_t *list) ATTR_NONNULL_ALL;
void entry_list_hear(entry_list_t *list, const char *instance,
		     clock_ms_t heard_ms) ATTR_NONNULL_ALL;
void entry_list_expire(entry_list_t *list,
		       clock_ms_t before_ms) ATTR_NONNULL_ALL;
uint32_t entry_list_count(const entry_list_t *list) ATTR_NONNULL_ALL;
msg_fleet_entry_t *entry_list_describe(const entry_list_t *list, clock_ms_t now,
				       size_t *count) ATTR_NONNULL_ALL;

#endif
