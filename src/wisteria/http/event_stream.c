/*
 * Splits a stream of server-sent events (WHATWG HTML, 9.2) into complete
 * events, so that one that was truncated by the failure of an endpoint is not
 * taken for a complete one.  No clock, no I/O.
 */
#include "wisteria/http/event_stream.h"

#include <string.h>

/* Any number of this many digits fits in an int64_t; longer ids are ignored. */
#define ID_DIGITS_MAX 18

/* Returns whether this Content-Type means server-sent events. */
bool event_stream_is_named_by(const char *content_type)
{
	static const char type[] = "text/event-stream";

	return g_ascii_strncasecmp(content_type, type, sizeof(type) - 1) == 0;
}

/* Starts after event "last_id"; -1: at the beginning of the stream. */
void event_stream_init(event_stream_t *stream, int64_t last_id)
{
	stream->last_id = last_id;
	stream->event_count = 0;
	event_stream_begin_attempt(stream);
}

/* The next bytes come from the start of another answer. */
void event_stream_begin_attempt(event_stream_t *stream)
{
	stream->attempt_event_count = 0;
	stream->partial_bytes = 0;
}

/*
 * Returns why the answer of the current attempt, which has ended as its framing
 * says, is not a complete stream; NULL if it is.  An endpoint that breaks off
 * ends its connection as well, so this end proves nothing by itself: some event
 * must have come, and the last one must be whole.
 */
const char *event_stream_defect(const event_stream_t *stream,
				http_framing_t framing)
{
	if (stream->partial_bytes > 0)
		return "ended_in_event";
	if (framing == HTTP_FRAMING_CLOSE && stream->attempt_event_count == 0)
		return "ended_without_event";
	return NULL;
}

/* Returns the length of the first line with its LF; 0: incomplete. */
static size_t line_length(const uint8_t *data, size_t len)
{
	const uint8_t *end = memchr(data, '\n', len);

	return end == NULL ? 0 : (size_t)(end - data) + 1;
}

static bool is_blank_line(const uint8_t *line, size_t len)
{
	return len == 1 || (len == 2 && line[0] == '\r');
}

/* Parses the id of an "id:" line; leaves "id" unchanged on other lines. */
static void parse_id(const uint8_t *line, size_t len, int64_t *id)
{
	int64_t value = 0;
	size_t at = 3;
	size_t digits = 0;

	if (len < 4 || memcmp(line, "id:", 3) != 0)
		return;
	if (line[at] == ' ')
		at++;
	for (; at < len && g_ascii_isdigit(line[at]); at++, digits++)
		if (digits < ID_DIGITS_MAX)
			value = value * 10 + (line[at] - '0');
	if (digits > 0 && digits <= ID_DIGITS_MAX)
		*id = value;
}

/*
 * Returns the length of the first event in "data"; 0: it is incomplete.  Sets
 * "has_fields" to false for an event of comments and blank lines only.
 */
static size_t first_event_length(const uint8_t *data, size_t len, int64_t *id,
				 bool *has_fields)
{
	size_t at = 0;

	*has_fields = false;

	while (at < len) {
		size_t line = line_length(data + at, len - at);

		if (line == 0)
			return 0;
		parse_id(data + at, line, id);
		at += line;
		if (is_blank_line(data + at - line, line))
			return at;
		if (data[at - line] != ':')
			*has_fields = true;
	}
	return 0;
}

/*
 * Counts the complete events at the start of "data", keeps the id of the last
 * one, and returns their total length in bytes.  The rest of "data" belongs to
 * an incomplete event.
 */
size_t event_stream_consume(event_stream_t *stream, const uint8_t *data,
			    size_t len)
{
	size_t consumed = 0;

	for (;;) {
		int64_t id = stream->last_id;
		bool has_fields;
		size_t event = first_event_length(
			data + consumed, len - consumed, &id, &has_fields);

		if (event == 0) {
			stream->partial_bytes = len - consumed;
			return consumed;
		}
		stream->last_id = id;
		stream->event_count += has_fields;
		stream->attempt_event_count += has_fields;
		consumed += event;
	}
}
