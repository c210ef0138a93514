#ifndef WISTERIA_HTTP_HTTP_MESSAGE_DEFS_H
#define WISTERIA_HTTP_HTTP_MESSAGE_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * One header or trailer field, as offsets of NUL-terminated strings in "text".
 * The value of the last trailer field is not terminated.
 */
typedef struct {
	uint32_t name;
	uint32_t value;
} http_field_t;

/* What marks the end of a message's body. */
typedef enum {
	HTTP_FRAMING_NONE,    /* it ends with its head, or none was read */
	HTTP_FRAMING_LENGTH,  /* Content-Length */
	HTTP_FRAMING_CHUNKED, /* the last chunk */
	HTTP_FRAMING_CLOSE    /* the end of the connection */
} http_framing_t;

/*
 * One request or response; the body is stored without chunk framing.  "text"
 * begins with an empty string, so that offset 0 stands for a target or value
 * that was not read.  The target and the names and values of the fields follow.
 */
typedef struct {
	GByteArray *text;
	GArray *fields; /* of http_field_t; headers, then trailers */
	GByteArray *body;
	const char *method; /* requests; a static string */
	uint32_t target;    /* requests; offset in "text" */
	unsigned status;    /* responses */
	http_framing_t framing;
	int64_t declared_bytes; /* Content-Length; -1: none */
	size_t excess_bytes;	/* that came with the end, and are not of it */
	bool keep_alive;
} http_message_t;

#endif
