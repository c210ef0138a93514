#ifndef WISTERIA_HTTP_HTTP_MESSAGE_DEFS_H
#define WISTERIA_HTTP_HTTP_MESSAGE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* One header field; offsets of NUL-terminated strings in the message. */
typedef struct {
	uint32_t name;
	uint32_t value;
} http_field_t;

/* One request or response as it was read; the body is decoded. */
typedef struct {
	GByteArray *text;
	GArray *fields; /* of http_field_t */
	GByteArray *body;
	const char *method; /* requests; a static string */
	uint32_t target;    /* requests; offset in "text" */
	unsigned status;    /* responses */
	bool keep_alive;
} http_message_t;

#endif
