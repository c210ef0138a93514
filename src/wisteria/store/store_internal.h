#ifndef WISTERIA_STORE_STORE_INTERNAL_H
#define WISTERIA_STORE_STORE_INTERNAL_H

#include <stdbool.h>

#include <glib.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/store/store_defs.h"

/* The decision of a handler on an order. */
typedef struct {
	order_outcome_t outcome;
	bool changed;
	uint64_t revision; /* of an equal earlier change; 0: the current one */
	uint64_t fence;
	char *reason; /* owned; NULL: none */
} store_decision_t;

void store_refuse(store_decision_t *decision, const char *format, ...)
	ATTR_PRINTF(2, 3) ATTR_NONNULL_ALL;
guint store_name_index(const GArray *names, const char *name,
		       bool *found) ATTR_NONNULL_ALL;
bool store_has_name(const GArray *names, const char *name) ATTR_NONNULL_ALL;
void store_add_name(GArray *names, const char *name) ATTR_NONNULL_ALL;
void store_create_preset(store_t *store, const msg_order_t *order,
			 store_decision_t *decision) ATTR_NONNULL_ALL;
void store_delete_preset(store_t *store, const msg_order_t *order,
			 store_decision_t *decision) ATTR_NONNULL_ALL;
void store_use_preset(store_t *store, const msg_order_t *order,
		      store_decision_t *decision) ATTR_NONNULL_ALL;

#endif
