/*
 * Splits a stream of server-sent events (WHATWG HTML, 9.2) into complete
 * events, so that an event truncated by the failure of an endpoint is not
 * forwarded and the stream can be resumed after the last complete one.  No
 * clock, no I/O.
 */
#include "wisteria/gateway/event_stream.h"

#include <string.h>

/* Any number of this many digits fits in an int64_t; longer ids are ignored. */
#define ID_DIGITS_MAX 18

/* Starts after event "last_id"; -1: at the beginning of the stream. */
void event_stream_init(event_stream_t *stream, int64_t last_id)
{
	stream->last_id = last_id;
	stream->event_count = 0;
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

/* Returns the length of the first event in "data"; 0: it is incomplete. */
static size_t first_event_length(const uint8_t *data, size_t len, int64_t *id)
{
	size_t at = 0;

	while (at < len) {
		size_t line = line_length(data + at, len - at);

		if (line == 0)
			return 0;
		parse_id(data + at, line, id);
		at += line;
		if (is_blank_line(data + at - line, line))
			return at;
	}
	return 0;
}

/*
 * Counts the complete events at the start of "data", keeps the id of the last
 * one, and returns their total length in bytes.
 */
size_t event_stream_consume(event_stream_t *stream, const uint8_t *data,
			    size_t len)
{
	size_t consumed = 0;

	for (;;) {
		int64_t id = stream->last_id;
		size_t event = first_event_length(data + consumed,
						  len - consumed, &id);

		if (event == 0)
			return consumed;
		stream->last_id = id;
		stream->event_count++;
		consumed += event;
	}
}
