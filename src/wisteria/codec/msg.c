/*
 * The table of messages between wisteriadrift processes.  A frame's payload is
 * a msgpack array of the type and the record of that type.
 */
#include "wisteria/codec/msg.h"

#include "wisteria/base/err.h"
#include "wisteria/codec/codec.h"

static const field_desc_t hello_fields[] = {
	FIELD(FIELD_U32, msg_hello_t, version),
	FIELD(FIELD_STR, msg_hello_t, instance),
	FIELD(FIELD_U64, msg_hello_t, incarnation),
	FIELD(FIELD_STR, msg_hello_t, failure_domain),
	FIELD(FIELD_BYTES, msg_hello_t, nonce),
};
static const record_desc_t msg_hello_desc =
	RECORD_DESC(msg_hello_t, hello_fields);

static const field_desc_t auth_fields[] = {
	FIELD(FIELD_BYTES, msg_auth_t, mac),
};
static const record_desc_t msg_auth_desc = RECORD_DESC(msg_auth_t, auth_fields);

static const field_desc_t ping_fields[] = {
	FIELD(FIELD_U64, msg_ping_t, sequence),
};
static const record_desc_t msg_ping_desc = RECORD_DESC(msg_ping_t, ping_fields);

static const field_desc_t hop_fields[] = {
	FIELD(FIELD_STR, msg_hop_t, endpoint),
	FIELD(FIELD_STR, msg_hop_t, address),
	FIELD(FIELD_U64, msg_hop_t, incarnation),
	FIELD(FIELD_U32, msg_hop_t, first_layer),
	FIELD(FIELD_U32, msg_hop_t, end_layer),
};
const record_desc_t msg_hop_desc = RECORD_DESC(msg_hop_t, hop_fields);

static const field_desc_t token_fields[] = {
	FIELD(FIELD_U32, msg_token_t, index),
	FIELD(FIELD_STR, msg_token_t, text),
	FIELD(FIELD_BOOL, msg_token_t, last),
};
const record_desc_t msg_token_desc = RECORD_DESC(msg_token_t, token_fields);

static const field_desc_t open_fields[] = {
	FIELD(FIELD_U64, msg_open_t, session),
	FIELD(FIELD_U32, msg_open_t, attempt),
	FIELD(FIELD_U64, msg_open_t, revision),
	FIELD(FIELD_STR, msg_open_t, request_id),
	FIELD(FIELD_STR, msg_open_t, customer),
	FIELD(FIELD_STR, msg_open_t, model),
	FIELD(FIELD_U32, msg_open_t, priority),
	FIELD(FIELD_I64, msg_open_t, remaining_ms),
	FIELD(FIELD_U32, msg_open_t, max_tokens),
	FIELD(FIELD_U32, msg_open_t, hop),
	FIELD_LIST_OF(msg_open_t, hops, hop_count, &msg_hop_desc),
	FIELD(FIELD_STR, msg_open_t, prompt),
	FIELD_LIST_OF(msg_open_t, tokens, token_count, &msg_token_desc),
	FIELD(FIELD_STR, msg_open_t, traceparent),
	FIELD(FIELD_BOOL, msg_open_t, is_replacement),
};
static const record_desc_t msg_open_desc = RECORD_DESC(msg_open_t, open_fields);

static const field_desc_t load_fields[] = {
	FIELD(FIELD_STR, msg_load_t, endpoint),
	FIELD(FIELD_U32, msg_load_t, in_flight),
	FIELD(FIELD_U32, msg_load_t, queued),
	FIELD(FIELD_U32, msg_load_t, slots),
	FIELD(FIELD_F64, msg_load_t, step_ms),
};
const record_desc_t msg_load_desc = RECORD_DESC(msg_load_t, load_fields);

static const field_desc_t open_reply_fields[] = {
	FIELD(FIELD_U64, msg_open_reply_t, session),
	FIELD(FIELD_U32, msg_open_reply_t, attempt),
	FIELD(FIELD_U32, msg_open_reply_t, hop),
	FIELD(FIELD_U32, msg_open_reply_t, refusal),
	FIELD_RECORD_OF(msg_open_reply_t, load, &msg_load_desc),
};
static const record_desc_t msg_open_reply_desc =
	RECORD_DESC(msg_open_reply_t, open_reply_fields);

static const field_desc_t session_fields[] = {
	FIELD(FIELD_U64, msg_session_t, session),
	FIELD(FIELD_U32, msg_session_t, attempt),
};
static const record_desc_t msg_session_desc =
	RECORD_DESC(msg_session_t, session_fields);

static const field_desc_t tokens_fields[] = {
	FIELD(FIELD_U64, msg_tokens_t, session),
	FIELD(FIELD_U32, msg_tokens_t, attempt),
	FIELD_LIST_OF(msg_tokens_t, tokens, token_count, &msg_token_desc),
	FIELD_RECORD_OF(msg_tokens_t, load, &msg_load_desc),
};
static const record_desc_t msg_tokens_desc =
	RECORD_DESC(msg_tokens_t, tokens_fields);

static const field_desc_t tokens_ack_fields[] = {
	FIELD(FIELD_U64, msg_tokens_ack_t, session),
	FIELD(FIELD_U32, msg_tokens_ack_t, attempt),
	FIELD(FIELD_U32, msg_tokens_ack_t, next),
	FIELD(FIELD_U32, msg_tokens_ack_t, hop),
};
static const record_desc_t msg_tokens_ack_desc =
	RECORD_DESC(msg_tokens_ack_t, tokens_ack_fields);

static const field_desc_t close_fields[] = {
	FIELD(FIELD_U64, msg_close_t, session),
	FIELD(FIELD_U32, msg_close_t, attempt),
	FIELD(FIELD_STR, msg_close_t, reason),
	FIELD(FIELD_BOOL, msg_close_t, one_hop),
	FIELD(FIELD_U32, msg_close_t, hop),
};
static const record_desc_t msg_close_desc =
	RECORD_DESC(msg_close_t, close_fields);

static const field_desc_t session_failed_fields[] = {
	FIELD(FIELD_U64, msg_session_failed_t, session),
	FIELD(FIELD_U32, msg_session_failed_t, attempt),
	FIELD(FIELD_U32, msg_session_failed_t, hop),
	FIELD(FIELD_STR, msg_session_failed_t, step),
	FIELD(FIELD_STR, msg_session_failed_t, peer),
	FIELD(FIELD_STR, msg_session_failed_t, reason),
};
static const record_desc_t msg_session_failed_desc =
	RECORD_DESC(msg_session_failed_t, session_failed_fields);

static const field_desc_t reroute_fields[] = {
	FIELD(FIELD_U64, msg_reroute_t, session),
	FIELD(FIELD_U32, msg_reroute_t, attempt),
	FIELD(FIELD_U32, msg_reroute_t, hop),
	FIELD_LIST_OF(msg_reroute_t, hops, hop_count, &msg_hop_desc),
	FIELD(FIELD_U32, msg_reroute_t, replaced),
};
static const record_desc_t msg_reroute_desc =
	RECORD_DESC(msg_reroute_t, reroute_fields);

static const field_desc_t takeover_fields[] = {
	FIELD(FIELD_U64, msg_takeover_t, session),
	FIELD(FIELD_STR, msg_takeover_t, customer),
};
static const record_desc_t msg_takeover_desc =
	RECORD_DESC(msg_takeover_t, takeover_fields);

static const field_desc_t takeover_reply_fields[] = {
	FIELD(FIELD_U64, msg_takeover_reply_t, session),
	FIELD(FIELD_BOOL, msg_takeover_reply_t, found),
	FIELD(FIELD_U32, msg_takeover_reply_t, next_attempt),
	FIELD_RECORD_OF(msg_takeover_reply_t, open, &msg_open_desc),
};
static const record_desc_t msg_takeover_reply_desc =
	RECORD_DESC(msg_takeover_reply_t, takeover_reply_fields);

static const field_desc_t position_fields[] = {
	FIELD(FIELD_BYTES, msg_position_t, activations),
};
const record_desc_t msg_position_desc =
	RECORD_DESC(msg_position_t, position_fields);

static const field_desc_t step_fields[] = {
	FIELD(FIELD_U64, msg_step_t, session),
	FIELD(FIELD_U32, msg_step_t, attempt),
	FIELD(FIELD_U32, msg_step_t, hop),
	FIELD(FIELD_U32, msg_step_t, first_position),
	FIELD_LIST_OF(msg_step_t, positions, position_count,
		      &msg_position_desc),
};
static const record_desc_t msg_step_desc = RECORD_DESC(msg_step_t, step_fields);

static const field_desc_t step_ack_fields[] = {
	FIELD(FIELD_U64, msg_step_ack_t, session),
	FIELD(FIELD_U32, msg_step_ack_t, attempt),
	FIELD(FIELD_U32, msg_step_ack_t, hop),
	FIELD(FIELD_U32, msg_step_ack_t, next),
	FIELD(FIELD_BOOL, msg_step_ack_t, resend),
};
static const record_desc_t msg_step_ack_desc =
	RECORD_DESC(msg_step_ack_t, step_ack_fields);

static const field_desc_t step_result_fields[] = {
	FIELD(FIELD_U64, msg_step_result_t, session),
	FIELD(FIELD_U32, msg_step_result_t, attempt),
	FIELD_RECORD_OF(msg_step_result_t, token, &msg_token_desc),
};
static const record_desc_t msg_step_result_desc =
	RECORD_DESC(msg_step_result_t, step_result_fields);

static const field_desc_t header_fields[] = {
	FIELD(FIELD_STR, msg_header_t, name),
	FIELD(FIELD_STR, msg_header_t, value),
};
const record_desc_t msg_header_desc = RECORD_DESC(msg_header_t, header_fields);

static const field_desc_t call_fields[] = {
	FIELD(FIELD_U64, msg_call_t, call),
	FIELD(FIELD_U64, msg_call_t, revision),
	FIELD(FIELD_STR, msg_call_t, endpoint),
	FIELD(FIELD_STR, msg_call_t, request_id),
	FIELD(FIELD_STR, msg_call_t, customer),
	FIELD(FIELD_STR, msg_call_t, method),
	FIELD(FIELD_STR, msg_call_t, path),
	FIELD_LIST_OF(msg_call_t, headers, header_count, &msg_header_desc),
	FIELD(FIELD_BYTES, msg_call_t, body),
	FIELD(FIELD_I64, msg_call_t, remaining_ms),
	FIELD(FIELD_STR, msg_call_t, traceparent),
	FIELD(FIELD_U64, msg_call_t, incarnation),
};
static const record_desc_t msg_call_desc = RECORD_DESC(msg_call_t, call_fields);

static const field_desc_t call_reply_fields[] = {
	FIELD(FIELD_U64, msg_call_reply_t, call),
	FIELD(FIELD_U32, msg_call_reply_t, outcome),
	FIELD(FIELD_U32, msg_call_reply_t, refusal),
	FIELD(FIELD_U32, msg_call_reply_t, status),
	FIELD_LIST_OF(msg_call_reply_t, headers, header_count,
		      &msg_header_desc),
	FIELD(FIELD_BYTES, msg_call_reply_t, body),
	FIELD(FIELD_STR, msg_call_reply_t, reason),
	FIELD_RECORD_OF(msg_call_reply_t, load, &msg_load_desc),
};
const record_desc_t msg_call_reply_desc =
	RECORD_DESC(msg_call_reply_t, call_reply_fields);

static const field_desc_t call_cancel_fields[] = {
	FIELD(FIELD_U64, msg_call_cancel_t, call),
	FIELD(FIELD_U64, msg_call_cancel_t, incarnation),
};
static const record_desc_t msg_call_cancel_desc =
	RECORD_DESC(msg_call_cancel_t, call_cancel_fields);

static const field_desc_t endpoint_fields[] = {
	FIELD(FIELD_STR, msg_endpoint_t, name),
	FIELD(FIELD_STR, msg_endpoint_t, instance),
	FIELD(FIELD_U64, msg_endpoint_t, incarnation),
	FIELD(FIELD_STR, msg_endpoint_t, address),
	FIELD(FIELD_U32, msg_endpoint_t, kind),
	FIELD(FIELD_STR, msg_endpoint_t, target),
	FIELD(FIELD_U32, msg_endpoint_t, first_layer),
	FIELD(FIELD_U32, msg_endpoint_t, end_layer),
	FIELD(FIELD_STR, msg_endpoint_t, accelerator),
	FIELD(FIELD_U32, msg_endpoint_t, slots),
	FIELD(FIELD_STR, msg_endpoint_t, failure_domain),
	FIELD(FIELD_STR, msg_endpoint_t, region),
	FIELD(FIELD_BOOL, msg_endpoint_t, checks_fencing),
	FIELD(FIELD_BOOL, msg_endpoint_t, leaving),
};
const record_desc_t msg_endpoint_desc =
	RECORD_DESC(msg_endpoint_t, endpoint_fields);

static const field_desc_t name_fields[] = {
	FIELD(FIELD_STR, msg_name_t, text),
};
const record_desc_t msg_name_desc = RECORD_DESC(msg_name_t, name_fields);

static const field_desc_t share_fields[] = {
	FIELD(FIELD_STR, msg_share_t, customer),
	FIELD(FIELD_U32, msg_share_t, sessions),
	FIELD(FIELD_U32, msg_share_t, running),
	FIELD(FIELD_U32, msg_share_t, held),
	FIELD(FIELD_U32, msg_share_t, capability),
};
const record_desc_t msg_share_desc = RECORD_DESC(msg_share_t, share_fields);

static const field_desc_t running_fields[] = {
	FIELD(FIELD_STR, msg_running_t, endpoint),
	FIELD(FIELD_U32, msg_running_t, running),
};
static const record_desc_t msg_running_desc =
	RECORD_DESC(msg_running_t, running_fields);

static const field_desc_t renew_fields[] = {
	FIELD(FIELD_U64, msg_renew_t, sequence),
	FIELD(FIELD_STR, msg_renew_t, instance),
	FIELD(FIELD_U64, msg_renew_t, incarnation),
	FIELD(FIELD_U64, msg_renew_t, revision),
	FIELD(FIELD_U64, msg_renew_t, directory_epoch),
	FIELD(FIELD_U64, msg_renew_t, directory_version),
	FIELD_LIST_OF(msg_renew_t, demand, demand_count, &msg_share_desc),
	FIELD_LIST_OF(msg_renew_t, presets, preset_count, &msg_name_desc),
	FIELD(FIELD_U64, msg_renew_t, shares_term),
};
static const record_desc_t msg_renew_desc =
	RECORD_DESC(msg_renew_t, renew_fields);

static const field_desc_t preset_fields[] = {
	FIELD(FIELD_STR, msg_preset_t, name),
	FIELD(FIELD_U64, msg_preset_t, revision),
	FIELD(FIELD_STR, msg_preset_t, text),
};
const record_desc_t msg_preset_desc = RECORD_DESC(msg_preset_t, preset_fields);

static const field_desc_t config_fields[] = {
	FIELD(FIELD_U64, msg_config_t, revision),
	FIELD(FIELD_STR, msg_config_t, preset),
	FIELD_LIST_OF(msg_config_t, leaving, leaving_count, &msg_name_desc),
};
const record_desc_t msg_config_desc = RECORD_DESC(msg_config_t, config_fields);

static const field_desc_t announce_fields[] = {
	FIELD(FIELD_STR, msg_announce_t, instance),
	FIELD(FIELD_U64, msg_announce_t, incarnation),
	FIELD(FIELD_BOOL, msg_announce_t, unchanged),
	FIELD_LIST_OF(msg_announce_t, endpoints, endpoint_count,
		      &msg_endpoint_desc),
	FIELD_LIST_OF(msg_announce_t, running, running_count,
		      &msg_running_desc),
};
static const record_desc_t msg_announce_desc =
	RECORD_DESC(msg_announce_t, announce_fields);

static const field_desc_t announce_reply_fields[] = {
	FIELD(FIELD_BOOL, msg_announce_reply_t, again),
};
static const record_desc_t msg_announce_reply_desc =
	RECORD_DESC(msg_announce_reply_t, announce_reply_fields);

static const field_desc_t shares_fields[] = {
	FIELD(FIELD_U64, msg_shares_t, sequence),
	FIELD(FIELD_STR, msg_shares_t, instance),
	FIELD_LIST_OF(msg_shares_t, demand, demand_count, &msg_share_desc),
	FIELD(FIELD_U64, msg_shares_t, shares_term),
};
static const record_desc_t msg_shares_desc =
	RECORD_DESC(msg_shares_t, shares_fields);

static const field_desc_t shares_reply_fields[] = {
	FIELD(FIELD_U64, msg_shares_reply_t, sequence),
	FIELD(FIELD_U64, msg_shares_reply_t, term),
	FIELD_LIST_OF(msg_shares_reply_t, shares, share_count, &msg_share_desc),
};
static const record_desc_t msg_shares_reply_desc =
	RECORD_DESC(msg_shares_reply_t, shares_reply_fields);

static const field_desc_t engine_order_fields[] = {
	FIELD(FIELD_STR, msg_engine_order_t, id),
	FIELD(FIELD_STR, msg_engine_order_t, endpoint),
	FIELD(FIELD_STR, msg_engine_order_t, text),
	FIELD(FIELD_U64, msg_engine_order_t, fence),
	FIELD(FIELD_U32, msg_engine_order_t, state),
	FIELD(FIELD_U64, msg_engine_order_t, incarnation),
};
const record_desc_t msg_engine_order_desc =
	RECORD_DESC(msg_engine_order_t, engine_order_fields);

static const field_desc_t renew_reply_fields[] = {
	FIELD(FIELD_U64, msg_renew_reply_t, sequence),
	FIELD(FIELD_BOOL, msg_renew_reply_t, granted),
	FIELD(FIELD_I64, msg_renew_reply_t, lease_ms),
	FIELD(FIELD_BOOL, msg_renew_reply_t, has_config),
	FIELD_RECORD_OF(msg_renew_reply_t, config, &msg_config_desc),
	FIELD_LIST_OF(msg_renew_reply_t, presets, preset_count,
		      &msg_preset_desc),
	FIELD(FIELD_U64, msg_renew_reply_t, directory_epoch),
	FIELD(FIELD_U64, msg_renew_reply_t, directory_version),
	FIELD(FIELD_BOOL, msg_renew_reply_t, directory_is_complete),
	FIELD_LIST_OF(msg_renew_reply_t, endpoints, endpoint_count,
		      &msg_endpoint_desc),
	FIELD_LIST_OF(msg_renew_reply_t, removed, removed_count,
		      &msg_name_desc),
	FIELD_LIST_OF(msg_renew_reply_t, shares, share_count, &msg_share_desc),
	FIELD(FIELD_U64, msg_renew_reply_t, fence),
	FIELD_LIST_OF(msg_renew_reply_t, orders, order_count,
		      &msg_engine_order_desc),
	FIELD(FIELD_U64, msg_renew_reply_t, shares_term),
};
static const record_desc_t msg_renew_reply_desc =
	RECORD_DESC(msg_renew_reply_t, renew_reply_fields);

static const field_desc_t order_fields[] = {
	FIELD(FIELD_STR, msg_order_t, id),
	FIELD(FIELD_U32, msg_order_t, kind),
	FIELD(FIELD_BOOL, msg_order_t, has_expected),
	FIELD(FIELD_U64, msg_order_t, expected_revision),
	FIELD(FIELD_STR, msg_order_t, name),
	FIELD(FIELD_STR, msg_order_t, text),
	FIELD(FIELD_STR, msg_order_t, operator_name),
	FIELD(FIELD_I64, msg_order_t, wall_ms),
	FIELD(FIELD_BOOL, msg_order_t, forwarded),
	FIELD(FIELD_U64, msg_order_t, fence),
	FIELD(FIELD_U64, msg_order_t, incarnation),
	FIELD(FIELD_U32, msg_order_t, engine_state),
	FIELD(FIELD_BOOL, msg_order_t, checked),
};
const record_desc_t msg_order_desc = RECORD_DESC(msg_order_t, order_fields);

static const field_desc_t order_reply_fields[] = {
	FIELD(FIELD_STR, msg_order_reply_t, id),
	FIELD(FIELD_U32, msg_order_reply_t, outcome),
	FIELD(FIELD_U64, msg_order_reply_t, revision),
	FIELD(FIELD_STR, msg_order_reply_t, reason),
	FIELD_RECORD_OF(msg_order_reply_t, winner, &msg_order_desc),
};
const record_desc_t msg_order_reply_desc =
	RECORD_DESC(msg_order_reply_t, order_reply_fields);

static const field_desc_t ledger_fields[] = {
	FIELD(FIELD_U64, msg_ledger_t, sequence),
	FIELD(FIELD_U32, msg_ledger_t, op),
	FIELD(FIELD_STR, msg_ledger_t, customer),
	FIELD(FIELD_STR, msg_ledger_t, service),
	FIELD(FIELD_STR, msg_ledger_t, key),
	FIELD(FIELD_U64, msg_ledger_t, owner),
	FIELD(FIELD_U64, msg_ledger_t, fingerprint),
	FIELD(FIELD_BYTES, msg_ledger_t, result),
	FIELD(FIELD_I64, msg_ledger_t, retention_ms),
	FIELD(FIELD_BOOL, msg_ledger_t, forwarded),
};
const record_desc_t msg_ledger_desc = RECORD_DESC(msg_ledger_t, ledger_fields);

static const field_desc_t ledger_reply_fields[] = {
	FIELD(FIELD_U64, msg_ledger_reply_t, sequence),
	FIELD(FIELD_U32, msg_ledger_reply_t, state),
	FIELD(FIELD_BYTES, msg_ledger_reply_t, result),
};
const record_desc_t msg_ledger_reply_desc =
	RECORD_DESC(msg_ledger_reply_t, ledger_reply_fields);

static const field_desc_t raft_entry_fields[] = {
	FIELD(FIELD_U64, msg_raft_entry_t, index),
	FIELD(FIELD_U64, msg_raft_entry_t, term),
	FIELD(FIELD_U32, msg_raft_entry_t, kind),
	FIELD(FIELD_BYTES, msg_raft_entry_t, data),
};
const record_desc_t msg_raft_entry_desc =
	RECORD_DESC(msg_raft_entry_t, raft_entry_fields);

static const field_desc_t raft_fields[] = {
	FIELD(FIELD_U32, msg_raft_t, kind),
	FIELD(FIELD_U64, msg_raft_t, from),
	FIELD(FIELD_U64, msg_raft_t, to),
	FIELD(FIELD_U64, msg_raft_t, term),
	FIELD(FIELD_U64, msg_raft_t, log_index),
	FIELD(FIELD_U64, msg_raft_t, log_term),
	FIELD(FIELD_U64, msg_raft_t, commit),
	FIELD(FIELD_U64, msg_raft_t, context),
	FIELD(FIELD_BOOL, msg_raft_t, reject),
	FIELD(FIELD_U64, msg_raft_t, hint),
	FIELD_LIST_OF(msg_raft_t, entries, entry_count, &msg_raft_entry_desc),
	FIELD(FIELD_BYTES, msg_raft_t, snapshot),
	FIELD(FIELD_U64, msg_raft_t, snapshot_offset),
	FIELD(FIELD_BOOL, msg_raft_t, snapshot_done),
	FIELD(FIELD_BYTES, msg_raft_t, members),
};
const record_desc_t msg_raft_desc = RECORD_DESC(msg_raft_t, raft_fields);

static const field_desc_t fleet_founding_fields[] = {
	FIELD(FIELD_U32, msg_fleet_founding_t, kind),
	FIELD(FIELD_U64, msg_fleet_founding_t, round),
	FIELD(FIELD_U64, msg_fleet_founding_t, proposer),
	FIELD(FIELD_U64, msg_fleet_founding_t, accepted_round),
	FIELD(FIELD_U64, msg_fleet_founding_t, accepted_proposer),
	FIELD(FIELD_BYTES, msg_fleet_founding_t, members),
};
static const record_desc_t msg_fleet_founding_desc =
	RECORD_DESC(msg_fleet_founding_t, fleet_founding_fields);

static const field_desc_t fleet_subscribe_fields[] = {
	FIELD(FIELD_BOOL, msg_fleet_subscribe_t, is_entry),
};
static const record_desc_t msg_fleet_subscribe_desc =
	RECORD_DESC(msg_fleet_subscribe_t, fleet_subscribe_fields);

static const field_desc_t fleet_renew_fields[] = {
	FIELD(FIELD_I64, msg_fleet_renew_t, request_sent_ms),
	FIELD(FIELD_U64, msg_fleet_renew_t, revision),
};
static const record_desc_t msg_fleet_renew_desc =
	RECORD_DESC(msg_fleet_renew_t, fleet_renew_fields);

static const field_desc_t fleet_control_fields[] = {
	FIELD(FIELD_STR, msg_fleet_control_t, address),
	FIELD(FIELD_BOOL, msg_fleet_control_t, has_disk),
	FIELD(FIELD_I64, msg_fleet_control_t, age_ms),
};
static const record_desc_t msg_fleet_control_desc =
	RECORD_DESC(msg_fleet_control_t, fleet_control_fields);

static const field_desc_t fleet_entry_fields[] = {
	FIELD(FIELD_STR, msg_fleet_entry_t, instance),
	FIELD(FIELD_I64, msg_fleet_entry_t, age_ms),
};
static const record_desc_t msg_fleet_entry_desc =
	RECORD_DESC(msg_fleet_entry_t, fleet_entry_fields);

static const field_desc_t fleet_meet_fields[] = {
	FIELD_LIST_OF(msg_fleet_meet_t, controls, control_count,
		      &msg_fleet_control_desc),
	FIELD_LIST_OF(msg_fleet_meet_t, entries, entry_count,
		      &msg_fleet_entry_desc),
};
static const record_desc_t msg_fleet_meet_desc =
	RECORD_DESC(msg_fleet_meet_t, fleet_meet_fields);

static const field_desc_t fleet_renew_reply_fields[] = {
	FIELD(FIELD_I64, msg_fleet_renew_reply_t, request_sent_ms),
	FIELD(FIELD_U64, msg_fleet_renew_reply_t, revision),
	FIELD(FIELD_BYTES, msg_fleet_renew_reply_t, packed_document),
	FIELD_LIST_OF(msg_fleet_renew_reply_t, controls, control_count,
		      &msg_fleet_control_desc),
	FIELD(FIELD_U32, msg_fleet_renew_reply_t, subscribers),
	FIELD(FIELD_STR, msg_fleet_renew_reply_t, leader),
	FIELD(FIELD_U32, msg_fleet_renew_reply_t, recent_entries),
};
static const record_desc_t msg_fleet_renew_reply_desc =
	RECORD_DESC(msg_fleet_renew_reply_t, fleet_renew_reply_fields);

static const field_desc_t fleet_endpoint_fields[] = {
	FIELD(FIELD_STR, msg_fleet_endpoint_t, id),
	FIELD(FIELD_STR, msg_fleet_endpoint_t, address),
	FIELD(FIELD_STR, msg_fleet_endpoint_t, service),
	FIELD(FIELD_STR, msg_fleet_endpoint_t, failure_domain),
	FIELD(FIELD_STR, msg_fleet_endpoint_t, accelerator),
	FIELD(FIELD_U64, msg_fleet_endpoint_t, incarnation),
	FIELD(FIELD_U64, msg_fleet_endpoint_t, sequence),
	FIELD(FIELD_U32, msg_fleet_endpoint_t, slots),
	FIELD(FIELD_U32, msg_fleet_endpoint_t, first_layer),
	FIELD(FIELD_U32, msg_fleet_endpoint_t, end_layer),
	FIELD(FIELD_BOOL, msg_fleet_endpoint_t, draining),
	FIELD(FIELD_BOOL, msg_fleet_endpoint_t, gone),
	FIELD(FIELD_I64, msg_fleet_endpoint_t, age_ms),
	FIELD(FIELD_BOOL, msg_fleet_endpoint_t, unreachable),
};
static const record_desc_t msg_fleet_endpoint_desc =
	RECORD_DESC(msg_fleet_endpoint_t, fleet_endpoint_fields);

static const field_desc_t fleet_alive_fields[] = {
	FIELD(FIELD_STR, msg_fleet_alive_t, id),
	FIELD(FIELD_U64, msg_fleet_alive_t, incarnation),
	FIELD(FIELD_U64, msg_fleet_alive_t, sequence),
	FIELD(FIELD_I64, msg_fleet_alive_t, age_ms),
};
static const record_desc_t msg_fleet_alive_desc =
	RECORD_DESC(msg_fleet_alive_t, fleet_alive_fields);

static const field_desc_t fleet_part_fields[] = {
	FIELD(FIELD_U64, msg_fleet_part_t, part),
	FIELD(FIELD_I64, msg_fleet_part_t, passed_ago_ms),
	FIELD(FIELD_I64, msg_fleet_part_t, refused_left_ms),
	FIELD(FIELD_U32, msg_fleet_part_t, under_way),
};
static const record_desc_t msg_fleet_part_desc =
	RECORD_DESC(msg_fleet_part_t, fleet_part_fields);

static const field_desc_t fleet_endpoints_fields[] = {
	FIELD_LIST_OF(msg_fleet_endpoints_t, endpoints, endpoint_count,
		      &msg_fleet_endpoint_desc),
	FIELD_LIST_OF(msg_fleet_endpoints_t, alive, alive_count,
		      &msg_fleet_alive_desc),
	FIELD(FIELD_U32, msg_fleet_endpoints_t, entries),
	FIELD_LIST_OF(msg_fleet_endpoints_t, parts, part_count,
		      &msg_fleet_part_desc),
};
static const record_desc_t msg_fleet_endpoints_desc =
	RECORD_DESC(msg_fleet_endpoints_t, fleet_endpoints_fields);

static const field_desc_t fleet_use_fields[] = {
	FIELD(FIELD_STR, msg_fleet_use_t, id),
	FIELD(FIELD_F64, msg_fleet_use_t, tokens),
	FIELD(FIELD_F64, msg_fleet_use_t, unread_tokens),
	FIELD(FIELD_F64, msg_fleet_use_t, sequences),
};
static const record_desc_t msg_fleet_use_desc =
	RECORD_DESC(msg_fleet_use_t, fleet_use_fields);

static const field_desc_t fleet_demand_fields[] = {
	FIELD(FIELD_STR, msg_fleet_demand_t, service),
	FIELD(FIELD_U32, msg_fleet_demand_t, rank),
	FIELD(FIELD_F64, msg_fleet_demand_t, arrived_tokens),
	FIELD(FIELD_F64, msg_fleet_demand_t, waiting_tokens),
};
static const record_desc_t msg_fleet_demand_desc =
	RECORD_DESC(msg_fleet_demand_t, fleet_demand_fields);

static const field_desc_t fleet_load_fields[] = {
	FIELD(FIELD_STR, msg_fleet_load_t, entry),
	FIELD(FIELD_U64, msg_fleet_load_t, sequence),
	FIELD_LIST_OF(msg_fleet_load_t, uses, use_count, &msg_fleet_use_desc),
	FIELD(FIELD_BOOL, msg_fleet_load_t, slow),
	FIELD(FIELD_I64, msg_fleet_load_t, sent_ms),
	FIELD_LIST_OF(msg_fleet_load_t, demands, demand_count,
		      &msg_fleet_demand_desc),
};
static const record_desc_t msg_fleet_load_desc =
	RECORD_DESC(msg_fleet_load_t, fleet_load_fields);

static const field_desc_t fleet_hop_fields[] = {
	FIELD(FIELD_STR, msg_fleet_hop_t, endpoint),
	FIELD(FIELD_U64, msg_fleet_hop_t, incarnation),
	FIELD(FIELD_U32, msg_fleet_hop_t, first_layer),
	FIELD(FIELD_U32, msg_fleet_hop_t, end_layer),
};
static const record_desc_t msg_fleet_hop_desc =
	RECORD_DESC(msg_fleet_hop_t, fleet_hop_fields);

static const field_desc_t fleet_flow_fields[] = {
	FIELD(FIELD_F64, msg_fleet_flow_t, tokens_per_s),
	FIELD(FIELD_F64, msg_fleet_flow_t, first_event_ms),
	FIELD(FIELD_F64, msg_fleet_flow_t, pause_ms),
	FIELD_LIST_OF(msg_fleet_flow_t, hops, hop_count, &msg_fleet_hop_desc),
};
static const record_desc_t msg_fleet_flow_desc =
	RECORD_DESC(msg_fleet_flow_t, fleet_flow_fields);

static const field_desc_t fleet_rank_fields[] = {
	FIELD(FIELD_F64, msg_fleet_rank_t, promoted),
	FIELD(FIELD_F64, msg_fleet_rank_t, left),
};
static const record_desc_t msg_fleet_rank_desc =
	RECORD_DESC(msg_fleet_rank_t, fleet_rank_fields);

static const field_desc_t fleet_service_plan_fields[] = {
	FIELD(FIELD_STR, msg_fleet_service_plan_t, service),
	FIELD(FIELD_F64, msg_fleet_service_plan_t, share_per_s),
	FIELD(FIELD_F64, msg_fleet_service_plan_t, capacity_per_s),
	FIELD(FIELD_I64, msg_fleet_service_plan_t, level),
	FIELD_LIST_OF(msg_fleet_service_plan_t, flows, flow_count,
		      &msg_fleet_flow_desc),
	FIELD_LIST_OF(msg_fleet_service_plan_t, ranks, rank_count,
		      &msg_fleet_rank_desc),
};
static const record_desc_t msg_fleet_service_plan_desc =
	RECORD_DESC(msg_fleet_service_plan_t, fleet_service_plan_fields);

static const field_desc_t fleet_plan_fields[] = {
	FIELD(FIELD_U64, msg_fleet_plan_t, term),
	FIELD(FIELD_U64, msg_fleet_plan_t, sequence),
	FIELD(FIELD_I64, msg_fleet_plan_t, report_sent_ms),
	FIELD_LIST_OF(msg_fleet_plan_t, services, service_count,
		      &msg_fleet_service_plan_desc),
};
static const record_desc_t msg_fleet_plan_desc =
	RECORD_DESC(msg_fleet_plan_t, fleet_plan_fields);

static const field_desc_t fleet_pace_fields[] = {
	FIELD(FIELD_STR, msg_fleet_pace_t, id),
	FIELD(FIELD_F64, msg_fleet_pace_t, pace),
};
static const record_desc_t msg_fleet_pace_desc =
	RECORD_DESC(msg_fleet_pace_t, fleet_pace_fields);

static const field_desc_t fleet_paces_fields[] = {
	FIELD_LIST_OF(msg_fleet_paces_t, slow_engines, slow_engine_count,
		      &msg_fleet_pace_desc),
};
static const record_desc_t msg_fleet_paces_desc =
	RECORD_DESC(msg_fleet_paces_t, fleet_paces_fields);

static const field_desc_t fleet_parts_fields[] = {
	FIELD(FIELD_U64, msg_fleet_parts_t, endpoint),
	FIELD(FIELD_U64, msg_fleet_parts_t, request),
	FIELD_LIST_OF(msg_fleet_parts_t, parts, part_count,
		      &msg_fleet_part_desc),
	FIELD(FIELD_U64, msg_fleet_parts_t, digest),
	FIELD(FIELD_I64, msg_fleet_parts_t, digest_passed_ago_ms),
	FIELD(FIELD_STR, msg_fleet_parts_t, suspected_id),
	FIELD(FIELD_U64, msg_fleet_parts_t, suspected_incarnation),
	FIELD(FIELD_I64, msg_fleet_parts_t, crashed_ago_ms),
	FIELD(FIELD_U64, msg_fleet_parts_t, question),
};
static const record_desc_t msg_fleet_parts_desc =
	RECORD_DESC(msg_fleet_parts_t, fleet_parts_fields);

static const field_desc_t fleet_limit_fields[] = {
	FIELD(FIELD_STR, msg_fleet_limit_t, endpoint),
	FIELD(FIELD_U64, msg_fleet_limit_t, incarnation),
	FIELD(FIELD_F64, msg_fleet_limit_t, per_s),
	FIELD(FIELD_I64, msg_fleet_limit_t, seen_ago_ms),
	FIELD(FIELD_U32, msg_fleet_limit_t, requests),
};
static const record_desc_t msg_fleet_limit_desc =
	RECORD_DESC(msg_fleet_limit_t, fleet_limit_fields);

static const field_desc_t fleet_limits_fields[] = {
	FIELD(FIELD_I64, msg_fleet_limits_t, report_sent_ms),
	FIELD(FIELD_BOOL, msg_fleet_limits_t, is_short),
	FIELD_LIST_OF(msg_fleet_limits_t, limits, limit_count,
		      &msg_fleet_limit_desc),
};
static const record_desc_t msg_fleet_limits_desc =
	RECORD_DESC(msg_fleet_limits_t, fleet_limits_fields);

static const field_desc_t fleet_silent_fields[] = {
	FIELD_LIST_OF(msg_fleet_silent_t, endpoints, endpoint_count,
		      &msg_name_desc),
};
static const record_desc_t msg_fleet_silent_desc =
	RECORD_DESC(msg_fleet_silent_t, fleet_silent_fields);

static const field_desc_t fleet_retries_fields[] = {
	FIELD(FIELD_STR, msg_fleet_retries_t, service),
	FIELD(FIELD_U32, msg_fleet_retries_t, count),
	FIELD(FIELD_I64, msg_fleet_retries_t, request_sent_ms),
};
static const record_desc_t msg_fleet_retries_desc =
	RECORD_DESC(msg_fleet_retries_t, fleet_retries_fields);

typedef struct {
	const char *name;
	const record_desc_t *desc;
} msg_info_t;

static const msg_info_t msg_table[MSG_TYPE_COUNT] = {
	[MSG_HELLO] = { "hello", &msg_hello_desc },
	[MSG_AUTH] = { "auth", &msg_auth_desc },
	[MSG_PING] = { "ping", &msg_ping_desc },
	[MSG_PONG] = { "pong", &msg_ping_desc },
	[MSG_OPEN] = { "open", &msg_open_desc },
	[MSG_OPEN_REPLY] = { "open_reply", &msg_open_reply_desc },
	[MSG_START] = { "start", &msg_session_desc },
	[MSG_TOKENS] = { "tokens", &msg_tokens_desc },
	[MSG_TOKENS_ACK] = { "tokens_ack", &msg_tokens_ack_desc },
	[MSG_RESUME] = { "resume", &msg_tokens_ack_desc },
	[MSG_CLOSE] = { "close", &msg_close_desc },
	[MSG_SESSION_FAILED] = { "session_failed", &msg_session_failed_desc },
	[MSG_REROUTE] = { "reroute", &msg_reroute_desc },
	[MSG_TAKEOVER] = { "takeover", &msg_takeover_desc },
	[MSG_TAKEOVER_REPLY] = { "takeover_reply", &msg_takeover_reply_desc },
	[MSG_STEP] = { "step", &msg_step_desc },
	[MSG_STEP_ACK] = { "step_ack", &msg_step_ack_desc },
	[MSG_STEP_RESULT] = { "step_result", &msg_step_result_desc },
	[MSG_CALL] = { "call", &msg_call_desc },
	[MSG_CALL_REPLY] = { "call_reply", &msg_call_reply_desc },
	[MSG_CALL_CANCEL] = { "call_cancel", &msg_call_cancel_desc },
	[MSG_RENEW] = { "renew", &msg_renew_desc },
	[MSG_RENEW_REPLY] = { "renew_reply", &msg_renew_reply_desc },
	[MSG_ORDER] = { "order", &msg_order_desc },
	[MSG_ORDER_REPLY] = { "order_reply", &msg_order_reply_desc },
	[MSG_LEDGER] = { "ledger", &msg_ledger_desc },
	[MSG_LEDGER_REPLY] = { "ledger_reply", &msg_ledger_reply_desc },
	[MSG_ANNOUNCE] = { "announce", &msg_announce_desc },
	[MSG_ANNOUNCE_REPLY] = { "announce_reply", &msg_announce_reply_desc },
	[MSG_SHARES] = { "shares", &msg_shares_desc },
	[MSG_SHARES_REPLY] = { "shares_reply", &msg_shares_reply_desc },
	[MSG_RAFT] = { "raft", &msg_raft_desc },
	[MSG_FLEET_FOUNDING] = { "fleet_founding", &msg_fleet_founding_desc },
	[MSG_FLEET_SUBSCRIBE] = { "fleet_subscribe",
				  &msg_fleet_subscribe_desc },
	[MSG_FLEET_RENEW] = { "fleet_renew", &msg_fleet_renew_desc },
	[MSG_FLEET_RENEW_REPLY] = { "fleet_renew_reply",
				    &msg_fleet_renew_reply_desc },
	[MSG_FLEET_ENDPOINTS] = { "fleet_endpoints",
				  &msg_fleet_endpoints_desc },
	[MSG_FLEET_LOAD] = { "fleet_load", &msg_fleet_load_desc },
	[MSG_FLEET_PACES] = { "fleet_paces", &msg_fleet_paces_desc },
	[MSG_FLEET_MEET] = { "fleet_meet", &msg_fleet_meet_desc },
	[MSG_FLEET_SILENT] = { "fleet_silent", &msg_fleet_silent_desc },
	[MSG_FLEET_PARTS] = { "fleet_parts", &msg_fleet_parts_desc },
	[MSG_FLEET_LIMITS] = { "fleet_limits", &msg_fleet_limits_desc },
	[MSG_FLEET_PLAN] = { "fleet_plan", &msg_fleet_plan_desc },
	[MSG_FLEET_RETRIES] = { "fleet_retries", &msg_fleet_retries_desc },
};

/* Returns the description of the body of "type"; NULL: unknown type. */
const record_desc_t *msg_desc(msg_type_t type)
{
	if ((size_t)type >= MSG_TYPE_COUNT)
		return NULL;
	return msg_table[type].desc;
}

/* Returns the name of "type" for logs. */
const char *msg_type_name(msg_type_t type)
{
	if (msg_desc(type) == NULL)
		return "unknown";
	return msg_table[type].name;
}

/* Appends a frame's payload, which holds "body", to "out". */
void msg_encode(msg_type_t type, const void *body, msgpack_sbuffer *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint32(&packer, type);
	codec_encode(msg_desc(type), body, out);
}

static bool decode_message(msg_t *msg, const msgpack_object *object, err_t *err)
{
	const msgpack_object *elements = object->via.array.ptr;
	const record_desc_t *desc;
	void *body;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size != 2 ||
	    elements[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		err_set(err, ERR_PROTOCOL, "decode", "", "not a message");
		return false;
	}
	desc = elements[0].via.u64 < MSG_TYPE_COUNT
		       ? msg_desc((msg_type_t)elements[0].via.u64)
		       : NULL;
	if (desc == NULL) {
		err_set(err, ERR_PROTOCOL, "decode", "",
			"unknown message type");
		return false;
	}
	body = msgpack_zone_malloc(&msg->zone, desc->size);
	if (body == NULL) {
		err_set(err, ERR_NO_MEMORY, "decode", "", "out of memory");
		return false;
	}
	msg->type = (msg_type_t)elements[0].via.u64;
	msg->body = body;
	return codec_read_object(desc, &elements[1], &msg->zone, body, err);
}

/*
 * Decodes the payload of a frame.  On success the caller frees "msg" with
 * msg_finish(); on error there is nothing to free.
 */
bool msg_decode(msg_t *msg, const uint8_t *data, size_t len, err_t *err)
{
	msgpack_object object;

	if (!msgpack_zone_init(&msg->zone, MSGPACK_ZONE_CHUNK_SIZE)) {
		err_set(err, ERR_NO_MEMORY, "decode", "", "out of memory");
		return false;
	}
	if (codec_unpack(data, len, &msg->zone, &object, err) &&
	    decode_message(msg, &object, err))
		return true;
	msgpack_zone_destroy(&msg->zone);
	return false;
}

/* Frees what msg_decode() allocated. */
void msg_finish(msg_t *msg)
{
	msgpack_zone_destroy(&msg->zone);
}
