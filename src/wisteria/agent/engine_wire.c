/* The msgpack encoding of the bodies of HTTP requests to an engine. */
#include "wisteria/agent/engine_wire.h"

#include "wisteria/codec/msg.h"

static const field_desc_t step_fields[] = {
	FIELD(FIELD_U64, engine_step_t, session),
	FIELD(FIELD_U32, engine_step_t, sequence),
	FIELD(FIELD_U32, engine_step_t, attempt),
	FIELD(FIELD_U32, engine_step_t, first_layer),
	FIELD(FIELD_U32, engine_step_t, end_layer),
	FIELD(FIELD_U32, engine_step_t, first_position),
	FIELD_LIST_OF(engine_step_t, positions, position_count,
		      &msg_position_desc),
	FIELD(FIELD_BOOL, engine_step_t, has_first_layer),
	FIELD(FIELD_BOOL, engine_step_t, has_last_layer),
	FIELD(FIELD_U32, engine_step_t, priority),
};
static const record_desc_t engine_step_desc =
	RECORD_DESC(engine_step_t, step_fields);

static const field_desc_t batch_fields[] = {
	FIELD_LIST_OF(engine_batch_t, steps, step_count, &engine_step_desc),
};
const record_desc_t engine_batch_desc =
	RECORD_DESC(engine_batch_t, batch_fields);

static const field_desc_t result_fields[] = {
	FIELD(FIELD_U64, engine_result_t, session),
	FIELD(FIELD_U32, engine_result_t, sequence),
	FIELD(FIELD_U32, engine_result_t, first_layer),
	FIELD(FIELD_BOOL, engine_result_t, ok),
	FIELD(FIELD_STR, engine_result_t, reason),
	FIELD_LIST_OF(engine_result_t, positions, position_count,
		      &msg_position_desc),
	FIELD(FIELD_STR, engine_result_t, text),
	FIELD(FIELD_BOOL, engine_result_t, last),
};
static const record_desc_t engine_result_desc =
	RECORD_DESC(engine_result_t, result_fields);

static const field_desc_t reply_fields[] = {
	FIELD_LIST_OF(engine_reply_t, results, result_count,
		      &engine_result_desc),
};
const record_desc_t engine_reply_desc =
	RECORD_DESC(engine_reply_t, reply_fields);

static const field_desc_t forget_fields[] = {
	FIELD(FIELD_U64, engine_forget_t, session),
	FIELD(FIELD_U32, engine_forget_t, sequence),
	FIELD(FIELD_U32, engine_forget_t, first_layer),
};
const record_desc_t engine_forget_desc =
	RECORD_DESC(engine_forget_t, forget_fields);
