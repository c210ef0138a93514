/*
 * Tells whether the head of a response is complete and well-formed, from the
 * lines that libcurl passes to a header callback.  If a connection closes behind
 * a header line, libcurl 7.88 reports success with the status read so far and an
 * empty body, whatever length the rest of the head would have named.  It also
 * takes any bytes for the name of a field.
 */
#include "wisteria/http/head_watch.h"

#include <string.h>

#include "wisteria/http/http_message.h"

#define STATUS_LINE_PREFIX "HTTP/"

static bool is_status_line(const char *line, size_t len)
{
	size_t prefix_len = strlen(STATUS_LINE_PREFIX);

	return len >= prefix_len &&
	       memcmp(line, STATUS_LINE_PREFIX, prefix_len) == 0;
}

/* Interim responses have a status from 100 to 199 (RFC 9110, 15.2). */
static bool is_interim(const char *status_line, size_t len)
{
	const char *space = memchr(status_line, ' ', len);

	return space != NULL && space + 1 < status_line + len &&
	       space[1] == '1';
}

/*
 * Whether the line has a field's name and a colon (RFC 9112, 5).  A folded line
 * does not; a gateway may refuse a response with one (RFC 9112, 5.2).
 */
static bool is_field(const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);

	return colon != NULL && colon > line &&
	       http_is_token(line, (size_t)(colon - line));
}

/*
 * Records the next line of a response, with its line end; also those of
 * trailers.  The empty line behind the final status line completes the head.
 * Returns whether it is a status line, which begins a new head.
 */
bool head_watch_line(head_watch_t *watch, const char *line, size_t len)
{
	bool begins_head = is_status_line(line, len);

	if (begins_head) {
		watch->is_interim = is_interim(line, len);
		watch->is_complete = false;
	} else if (len > 0 && (line[0] == '\r' || line[0] == '\n')) {
		watch->is_complete = !watch->is_interim;
	} else if (!is_field(line, len)) {
		watch->is_malformed = true;
	}
	return begins_head;
}
