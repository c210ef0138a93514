#ifndef WISTERIA_HTTP_HTTP_MESSAGE_DEFS_H
#define WISTERIA_HTTP_HTTP_MESSAGE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* One header field, as offsets of NUL-terminated strings in "text". */
typedef struct {
	uint32_t name;
	uint32_t value;
} http_field_t;

/* One request or response; the body is stored without chunk framing. */
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
