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

/*
 * Starts after event "last_id"; -1: at the beginning of the stream.  In an
 * ordered stream each event has a higher id than the one before.
 */
void event_stream_init(event_stream_t *stream, int64_t last_id, bool is_ordered)
{
	stream->last_id = last_id;
	stream->event_count = 0;
	stream->is_ordered = is_ordered;
	event_stream_begin_attempt(stream);
}

/* The next bytes come from the start of another answer. */
void event_stream_begin_attempt(event_stream_t *stream)
{
	stream->attempt_event_count = 0;
	stream->partial_bytes = 0;
	stream->ignored_bytes = 0;
	stream->defect = NULL;
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
	if (stream->defect != NULL)
		return stream->defect;
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

/* Returns whether the line is field "name", with or without a value. */
static bool is_field(const uint8_t *line, size_t len, const char *name)
{
	size_t name_len = strlen(name);

	return len > name_len && memcmp(line, name, name_len) == 0 &&
	       strchr(":\r\n", line[name_len]) != NULL;
}

/* Parses the id of an "id" line; returns -1 if it is not a number. */
static int64_t parse_id(const uint8_t *line, size_t len)
{
	int64_t value = 0;
	size_t at = sizeof("id:") - 1;
	size_t digits = 0;

	if (at < len && line[at] == ' ')
		at++;
	for (; at < len && g_ascii_isdigit(line[at]); at++, digits++)
		if (digits < ID_DIGITS_MAX)
			value = value * 10 + (line[at] - '0');
	return digits > 0 && digits <= ID_DIGITS_MAX ? value : -1;
}

/* One event, or a block of lines that is none. */
typedef struct {
	size_t len;	 /* 0: it is incomplete */
	int64_t id;	 /* -1: none */
	bool has_lines;	 /* other than comments */
	bool has_fields; /* lines that name a field of events */
	bool has_data;
	bool has_foreign_end; /* other lines behind these */
} event_t;

/* Returns whether the line is a field of events. */
static bool is_known_field(const uint8_t *line, size_t len)
{
	return is_field(line, len, "id") || is_field(line, len, "data") ||
	       is_field(line, len, "event") || is_field(line, len, "retry");
}

static void read_line(event_t *event, const uint8_t *line, size_t len)
{
	if (line[0] == ':')
		return;
	event->has_lines = true;
	if (is_field(line, len, "id"))
		event->id = parse_id(line, len);
	if (is_field(line, len, "data"))
		event->has_data = true;
	if (is_known_field(line, len))
		event->has_fields = true;
	else if (event->has_fields)
		event->has_foreign_end = true;
}

/* Returns the first event in "data". */
static event_t first_event(const uint8_t *data, size_t len)
{
	event_t event = { .id = -1 };
	size_t at = 0;

	while (at < len) {
		size_t line = line_length(data + at, len - at);

		if (line == 0)
			break;
		if (is_blank_line(data + at, line)) {
			event.len = at + line;
			break;
		}
		read_line(&event, data + at, line);
		at += line;
	}
	return event;
}

/*
 * Returns why "event" cannot come next in the stream; NULL if it can.  Lines that
 * are no fields may lead an event of an ordered stream, but not end it: there,
 * an endpoint has broken off inside the event and gone on with an error.
 */
static const char *event_defect(const event_stream_t *stream,
				const event_t *event)
{
	if (event->has_lines && !event->has_fields)
		return "not_an_event";
	if (stream->is_ordered && event->has_foreign_end)
		return "foreign_lines_in_event";
	if (stream->is_ordered && (event->has_data || event->id >= 0) &&
	    event->id <= stream->last_id)
		return "event_out_of_order";
	return NULL;
}

/*
 * Counts the complete events at the start of "data" and returns the length up
 * to the end of the last one.  "data" starts behind the last event that was
 * counted; comments and blank lines are left in it until an event follows, so
 * that all that is forwarded leads up to an event.  Stops at a block of lines
 * that cannot come next, and sets "defect".
 */
size_t event_stream_consume(event_stream_t *stream, const uint8_t *data,
			    size_t len)
{
	size_t at = stream->ignored_bytes;
	size_t consumed = 0;

	for (;;) {
		event_t event = first_event(data + at, len - at);

		if (event.len == 0)
			break;
		stream->defect = event_defect(stream, &event);
		if (stream->defect != NULL)
			break;
		at += event.len;
		if (!event.has_lines)
			continue;
		if (event.id >= 0)
			stream->last_id = event.id;
		stream->event_count++;
		stream->attempt_event_count++;
		consumed = at;
	}
	stream->ignored_bytes = at - consumed;
	stream->partial_bytes = len - at;
	return consumed;
}

/* Returns why "body" is not a whole stream, as event_stream_defect() does. */
const char *event_stream_find_defect(const GByteArray *body,
				     http_framing_t framing)
{
	event_stream_t stream;

	event_stream_init(&stream, -1, false);
	if (body->len > 0)
		(void)!event_stream_consume(&stream, body->data, body->len);
	return event_stream_defect(&stream, framing);
}
