/* Encoding of the commands in the entries of the replicated log. */
#include "wisteria/control/command.h"

#include "wisteria/codec/codec.h"

static const field_desc_t command_fields[] = {
	FIELD(FIELD_U32, command_t, type),
	FIELD(FIELD_I64, command_t, time_ms),
	FIELD(FIELD_BYTES, command_t, payload),
};
static const record_desc_t command_desc =
	RECORD_DESC(command_t, command_fields);

/* Appends the encoded "command" to "out". */
void command_encode(const command_t *command, msgpack_sbuffer *out)
{
	codec_encode(&command_desc, command, out);
}

/* Decodes a command; its payload is valid as long as "zone". */
bool command_decode(command_t *command, const uint8_t *data, size_t len,
		    msgpack_zone *zone, err_t *err)
{
	return codec_decode(&command_desc, data, len, zone, command, err);
}
