/*
 * Splits a stream of server-sent events into whole events (WHATWG HTML, 9.2),
 * so that an event that is broken off is never passed on in part and the
 * stream can go on behind the last whole one.  Pure.
 */
#include "wisteria/gateway/event_stream.h"

#include <string.h>

#define ID_DIGITS_MAX 18

/* Starts behind event "last_id"; -1: at the beginning. */
void event_stream_init(event_stream_t *stream, int64_t last_id)
{
	stream->last_id = last_id;
	stream->events = 0;
}

static size_t line_length(const uint8_t *data, size_t len)
{
	const uint8_t *end = memchr(data, '\n', len);

	return end == NULL ? 0 : (size_t)(end - data) + 1;
}

static bool is_blank(const uint8_t *line, size_t len)
{
	return len == 1 || (len == 2 && line[0] == '\r');
}

/* Reads the id of an "id:" line; leaves "id" alone on any other line. */
static void read_id(const uint8_t *line, size_t len, int64_t *id)
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

/* Returns the length of the first event in "data"; 0: it is not whole. */
static size_t first_event(const uint8_t *data, size_t len, int64_t *id)
{
	size_t at = 0;

	while (at < len) {
		size_t line = line_length(data + at, len - at);

		if (line == 0)
			return 0;
		read_id(data + at, line, id);
		at += line;
		if (is_blank(data + at - line, line))
			return at;
	}
	return 0;
}

/* Returns how many bytes of "data" are whole events and counts them. */
size_t event_stream_take(event_stream_t *stream, const uint8_t *data,
			 size_t len)
{
	size_t taken = 0;

	for (;;) {
		int64_t id = stream->last_id;
		size_t event = first_event(data + taken, len - taken, &id);

		if (event == 0)
			return taken;
		stream->last_id = id;
		stream->events++;
		taken += event;
	}
}
