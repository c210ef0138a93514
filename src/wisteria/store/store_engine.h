#ifndef WISTERIA_STORE_STORE_ENGINE_H
#define WISTERIA_STORE_STORE_ENGINE_H

#include <stdbool.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/store/store_defs.h"

const char *store_engine_add(store_t *store,
			     const msg_order_t *order) ATTR_NONNULL_ALL;
const char *store_engine_claim(store_t *store,
			       const msg_order_t *order) ATTR_NONNULL_ALL;
const char *store_engine_finish(store_t *store,
				const msg_order_t *order) ATTR_NONNULL_ALL;
const msg_engine_order_t *store_engine_find(const store_t *store,
					    const char *id) ATTR_NONNULL_ALL;
const msg_engine_order_t *
store_engine_oldest_open(const store_t *store,
			 const char *endpoint) ATTR_NONNULL_ALL;
bool store_engine_any_open(const store_t *store) ATTR_NONNULL_ALL;
bool store_engine_is_open(const msg_engine_order_t *order) ATTR_NONNULL_ALL;
void store_engine_append_copy(GArray *engine_orders,
			      const msg_engine_order_t *order) ATTR_NONNULL_ALL;
void store_engine_free_list(GArray *engine_orders) ATTR_NONNULL_ALL;

#endif
