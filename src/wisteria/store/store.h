#ifndef WISTERIA_STORE_STORE_H
#define WISTERIA_STORE_STORE_H

#include <stdbool.h>

#include <msgpack.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/store/store_defs.h"

void store_init(store_t *store) ATTR_NONNULL_ALL;
void store_finish(store_t *store) ATTR_NONNULL_ALL;
bool store_check_preset(const msg_order_t *order, err_t *err)
	ATTR_NONNULL(1) ATTR_WARN_UNUSED;
bool store_apply(store_t *store, const msg_order_t *order, uint64_t log_index,
		 msg_order_reply_t *reply) ATTR_NONNULL_ALL;
bool store_find_order_reply(const store_t *store, const char *id,
			    msg_order_reply_t *reply) ATTR_NONNULL_ALL;
uint64_t store_order_fence(const store_t *store,
			   const char *id) ATTR_NONNULL_ALL;
void store_config(const store_t *store, msg_config_t *config) ATTR_NONNULL_ALL;
const msg_preset_t *store_list_presets(const store_t *store,
				       size_t *count) ATTR_NONNULL_ALL;
const msg_preset_t *store_find_preset(const store_t *store,
				      const char *name) ATTR_NONNULL_ALL;
size_t store_history(const store_t *store, uint64_t after_revision,
		     const store_change_t **changes,
		     size_t max) ATTR_NONNULL_ALL;
void store_snapshot(const store_t *store,
		    msgpack_sbuffer *out) ATTR_NONNULL_ALL;
bool store_restore(store_t *store, const uint8_t *data, size_t len,
		   err_t *err) ATTR_WARN_UNUSED;

#endif
