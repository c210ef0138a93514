#ifndef WISTERIA_CODEC_MSG_H
#define WISTERIA_CODEC_MSG_H

#include <stdbool.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"

extern const record_desc_t msg_hop_desc;
extern const record_desc_t msg_token_desc;
extern const record_desc_t msg_position_desc;
extern const record_desc_t msg_header_desc;
extern const record_desc_t msg_load_desc;
extern const record_desc_t msg_endpoint_desc;
extern const record_desc_t msg_name_desc;
extern const record_desc_t msg_share_desc;
extern const record_desc_t msg_preset_desc;
extern const record_desc_t msg_config_desc;
extern const record_desc_t msg_order_desc;
extern const record_desc_t msg_engine_order_desc;
extern const record_desc_t msg_order_reply_desc;
extern const record_desc_t msg_ledger_desc;
extern const record_desc_t msg_ledger_reply_desc;
extern const record_desc_t msg_call_reply_desc;
extern const record_desc_t msg_raft_desc;
extern const record_desc_t msg_raft_entry_desc;

const record_desc_t *msg_desc(msg_type_t type);
const char *msg_type_name(msg_type_t type);
void msg_encode(msg_type_t type, const void *body,
		msgpack_sbuffer *out) ATTR_NONNULL_ALL;
bool msg_decode(msg_t *msg, const uint8_t *data, size_t len,
		err_t *err) ATTR_WARN_UNUSED;
void msg_finish(msg_t *msg) ATTR_NONNULL_ALL;

#endif
