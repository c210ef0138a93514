/* Incremental parsing of HTTP/1.1 messages with the http-parser library. */
#include "wisteria/http/http_reader.h"

#include <string.h>

#include "wisteria/http/http_message.h"

/*
 * What each interim response adds to the header bytes, besides its headers; the
 * parser does not pass on its status line.
 */
#define INTERIM_BYTES_MIN (sizeof("HTTP/1.1 100\r\n\r\n") - 1)

/* What on_headers_complete() returns if the message has no body. */
#define SKIP_BODY 1

static const guint8 NUL = 0;

static int fail(http_reader_t *reader, http_read_error_t error)
{
	reader->error = error;
	reader->state = HTTP_READ_FAILED;
	return -1;
}

static int count_header_bytes(http_reader_t *reader, size_t len)
{
	reader->header_bytes += len;
	if (reader->header_bytes > reader->header_bytes_max)
		return fail(reader, HTTP_HEADERS_TOO_LARGE);
	return 0;
}

static void terminate_string(http_reader_t *reader)
{
	g_byte_array_append(reader->message.text, &NUL, 1);
}

static void append(http_reader_t *reader, const char *at, size_t len)
{
	g_byte_array_append(reader->message.text, (const guint8 *)at,
			    (guint)len);
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	http_reader_t *reader = parser->data;

	if (reader->message.target == 0)
		reader->message.target = reader->message.text->len;
	append(reader, at, len);
	return count_header_bytes(reader, len);
}

/*
 * Fails if the name is not a token.  http-parser is lenient with blanks: it takes
 * "Content-Length : 5" for a length, where another reader of the message finds an
 * unknown field, and thus another end of the message.
 */
static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	http_reader_t *reader = parser->data;
	GArray *fields = reader->message.fields;
	http_field_t field = { 0 };

	if (!http_is_token(at, len))
		return fail(reader, HTTP_BAD_SYNTAX);
	if (fields->len == 0 || reader->in_header_value) {
		terminate_string(reader);
		field.name = reader->message.text->len;
		g_array_append_val(fields, field);
		reader->in_header_value = false;
	}
	append(reader, at, len);
	return count_header_bytes(reader, len);
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	http_reader_t *reader = parser->data;
	GArray *fields = reader->message.fields;

	if (!reader->in_header_value) {
		terminate_string(reader);
		g_array_index(fields, http_field_t, fields->len - 1).value =
			reader->message.text->len;
		reader->in_header_value = true;
	}
	append(reader, at, len);
	return count_header_bytes(reader, len);
}

/*
 * Whether the message ends with its head.  http-parser reads a body behind any
 * head that names a length or chunks.
 */
static bool ends_with_head(const http_reader_t *reader)
{
	const http_parser *parser = &reader->parser;

	return parser->type == HTTP_RESPONSE &&
	       (reader->answers_head ||
		http_status_has_no_body(parser->status_code));
}

/* See RFC 9112, 6.3. */
static http_framing_t framing_of(const http_reader_t *reader)
{
	const http_parser *parser = &reader->parser;

	if (ends_with_head(reader))
		return HTTP_FRAMING_NONE;
	if ((parser->flags & F_CHUNKED) != 0)
		return HTTP_FRAMING_CHUNKED;
	if (parser->content_length != ULLONG_MAX)
		return HTTP_FRAMING_LENGTH;
	return parser->type == HTTP_RESPONSE ? HTTP_FRAMING_CLOSE
					     : HTTP_FRAMING_NONE;
}

static int on_headers_complete(http_parser *parser)
{
	http_reader_t *reader = parser->data;

	if (parser->type == HTTP_RESPONSE &&
	    !http_status_is_valid(parser->status_code))
		return fail(reader, HTTP_BAD_SYNTAX);
	terminate_string(reader);
	if (parser->type == HTTP_REQUEST)
		reader->message.method =
			http_method_str((enum http_method)parser->method);
	reader->message.status = parser->status_code;
	reader->message.framing = framing_of(reader);
	if (parser->content_length != ULLONG_MAX)
		reader->message.declared_bytes =
			(int64_t)MIN(parser->content_length, INT64_MAX);
	reader->message.keep_alive = http_should_keep_alive(parser) != 0;
	reader->is_interim =
		parser->type == HTTP_RESPONSE && parser->status_code / 100 == 1;
	if (reader->is_interim)
		return count_header_bytes(reader, INTERIM_BYTES_MIN) == 0
			       ? SKIP_BODY
			       : -1;
	reader->state = HTTP_READ_BODY;
	if (ends_with_head(reader))
		return SKIP_BODY;
	if (parser->content_length != ULLONG_MAX &&
	    parser->content_length > reader->body_bytes_max)
		return fail(reader, HTTP_BODY_TOO_LARGE);
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	http_reader_t *reader = parser->data;

	if (reader->message.body->len + len > reader->body_bytes_max)
		return fail(reader, HTTP_BODY_TOO_LARGE);
	g_byte_array_append(reader->message.body, (const guint8 *)at,
			    (guint)len);
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	http_reader_t *reader = parser->data;

	if (reader->is_interim) {
		http_message_reset(&reader->message);
		reader->in_header_value = false;
		return 0;
	}
	terminate_string(reader); /* of the last trailer */
	reader->state = HTTP_READ_COMPLETE;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

/*
 * Initializes a reader of requests or responses.  Reading fails if the request
 * target and the names and values of all headers and trailers together exceed
 * "header_bytes_max"; those of interim responses are included.  It also fails
 * if the declared body length or the body bytes held at a time exceed
 * "body_bytes_max"; the owner may remove body bytes between calls.
 */
void http_reader_init(http_reader_t *reader, enum http_parser_type type,
		      size_t header_bytes_max, size_t body_bytes_max)
{
	memset(reader, 0, sizeof(*reader));
	http_message_init(&reader->message);
	http_parser_init(&reader->parser, type);
	reader->parser.data = reader;
	reader->header_bytes_max = header_bytes_max;
	reader->body_bytes_max = body_bytes_max;
}

/* Frees the memory that the reader owns. */
void http_reader_finish(http_reader_t *reader)
{
	http_message_finish(&reader->message);
}

/* Prepares for the next message on the same connection. */
void http_reader_reset(http_reader_t *reader)
{
	http_message_reset(&reader->message);
	reader->state = HTTP_READ_HEADERS;
	reader->in_header_value = false;
	reader->header_bytes = 0;
	http_parser_init(&reader->parser, reader->parser.type);
}

/*
 * Parses bytes and returns how many were consumed; stops after the end of a
 * message.  Sets "state", and "error" if parsing failed.
 */
size_t http_reader_feed(http_reader_t *reader, const char *data, size_t len)
{
	size_t consumed;
	enum http_errno error;

	if (reader->state >= HTTP_READ_COMPLETE || len == 0)
		return 0;
	consumed = http_parser_execute(&reader->parser, &callbacks, data, len);
	error = HTTP_PARSER_ERRNO(&reader->parser);
	if (reader->state == HTTP_READ_COMPLETE) {
		consumed = MIN(consumed, len);
		reader->message.excess_bytes = len - consumed;
		return consumed;
	}
	/*
	 * Protocol upgrades are not supported.  "upgrade" is set here after a
	 * 101 response, and for a request that asks for an upgrade if its body
	 * is incomplete.  The upgrade of a complete request is ignored.
	 */
	if (reader->state != HTTP_READ_FAILED &&
	    (error != HPE_OK || reader->parser.upgrade))
		fail(reader, error == HPE_HEADER_OVERFLOW
				     ? HTTP_HEADERS_TOO_LARGE
				     : HTTP_BAD_SYNTAX);
	return consumed;
}

/*
 * Handles the end of the stream: completes a response whose body extends to the
 * end of the stream, and sets the state to HTTP_READ_FAILED for any other
 * incomplete message.
 */
void http_reader_eof(http_reader_t *reader)
{
	if (reader->state >= HTTP_READ_COMPLETE)
		return;
	http_parser_execute(&reader->parser, &callbacks, NULL, 0);
	if (reader->state != HTTP_READ_COMPLETE)
		fail(reader, HTTP_BAD_SYNTAX);
}
