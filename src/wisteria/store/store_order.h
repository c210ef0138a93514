#ifndef WISTERIA_STORE_STORE_ORDER_H
#define WISTERIA_STORE_STORE_ORDER_H

#include <stdbool.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/store/store_defs.h"

void store_order_copy(msg_order_t *to, const msg_order_t *from,
		      bool with_text) ATTR_NONNULL_ALL;
void store_order_finish(msg_order_t *order) ATTR_NONNULL_ALL;
void store_order_fingerprint(const msg_order_t *order,
			     uint8_t fingerprint[STORE_FINGERPRINT_BYTES])
	ATTR_NONNULL_ALL;
const char *store_order_validate(const msg_order_t *order) ATTR_NONNULL_ALL;
store_change_t *store_change_new(const msg_order_t *order, uint64_t revision,
				 uint64_t log_index) ATTR_NONNULL_ALL;
void store_change_free(void *change);
void store_result_free(void *result);

#endif
