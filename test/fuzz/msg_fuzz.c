/*
 * Fuzzes the message codec.  A decoded message is encoded, decoded and encoded
 * again; both encodings must be equal.
 */
#include <stdlib.h>
#include <string.h>

#include "wisteria/codec/msg.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	err_t err = { .code = ERR_NONE };
	msgpack_sbuffer first;
	msgpack_sbuffer second;
	msg_t msg;
	msg_t decoded_again;

	if (!msg_decode(&msg, data, size, &err))
		return 0;
	msgpack_sbuffer_init(&first);
	msgpack_sbuffer_init(&second);
	msg_encode(msg.type, msg.body, &first);
	if (!msg_decode(&decoded_again, (const uint8_t *)first.data, first.size,
			&err))
		abort();
	msg_encode(decoded_again.type, decoded_again.body, &second);
	if (first.size != second.size ||
	    memcmp(first.data, second.data, first.size) != 0)
		abort();
	msg_finish(&decoded_again);
	msg_finish(&msg);
	msgpack_sbuffer_destroy(&first);
	msgpack_sbuffer_destroy(&second);
	return 0;
}
