#ifndef WISTERIA_HTTP_HTTP_READER_H
#define WISTERIA_HTTP_HTTP_READER_H

#include <http_parser.h>

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/http/http_message_defs.h"

typedef enum {
	HTTP_READ_HEADERS,
	HTTP_READ_BODY,
	HTTP_READ_COMPLETE,
	HTTP_READ_FAILED
} http_read_state_t;

/* Why reading failed; the values are the HTTP status for the response. */
typedef enum {
	HTTP_BAD_SYNTAX = 400,
	HTTP_BODY_TOO_LARGE = 413,
	HTTP_HEADERS_TOO_LARGE = 431
} http_read_error_t;

/* Parses the bytes of a connection, one message at a time. */
typedef struct {
	http_parser parser;
	http_message_t message;
	http_read_state_t state;
	http_read_error_t error;
	bool in_header_value; /* the last header callback was for a value */
	bool is_interim;      /* the message is a 1xx response */
	bool answers_head; /* the response is one to HEAD; set by the owner */
	size_t header_bytes;
	size_t header_bytes_max;
	size_t body_bytes_max;
} http_reader_t;

void http_reader_init(http_reader_t *reader, enum http_parser_type type,
		      size_t header_bytes_max,
		      size_t body_bytes_max) ATTR_NONNULL_ALL;
void http_reader_finish(http_reader_t *reader) ATTR_NONNULL_ALL;
void http_reader_reset(http_reader_t *reader) ATTR_NONNULL_ALL;
size_t http_reader_feed(http_reader_t *reader, const char *data,
			size_t len) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void http_reader_eof(http_reader_t *reader) ATTR_NONNULL_ALL;

#endif
