/*
 * Tells whether the head of a response is complete and well-formed, from the
 * lines that libcurl passes to a header callback.  If a connection closes behind
 * a header line, libcurl 7.88 reports success with the status read so far and an
 * empty body, whatever length the rest of the head would have named.  It also
 * takes any bytes for the name of a field.
 */
#include "wisteria/http/head_watch.h"

#include <string.h>

#include <glib.h>

#include "wisteria/http/http_message.h"

#define STATUS_LINE_PREFIX "HTTP/"

static bool is_status_line(const char *line, size_t len)
{
	size_t prefix_len = strlen(STATUS_LINE_PREFIX);

	return len >= prefix_len &&
	       memcmp(line, STATUS_LINE_PREFIX, prefix_len) == 0;
}

/* Returns the status in a status line, or 0. */
static unsigned read_status(const char *line, size_t len)
{
	const char *at = memchr(line, ' ', len);
	unsigned status = 0;

	if (at == NULL)
		return 0;
	while (++at < line + len && g_ascii_isdigit(*at))
		status = 10 * status + (unsigned)(*at - '0');
	return status;
}

/* Starts a head; some statuses have no body (RFC 9110, 6.4.1). */
static void begin_head(head_watch_t *watch, unsigned status)
{
	watch->is_interim = status / 100 == 1;
	watch->is_complete = false;
	watch->ends_with_close = status != 204 && status != 304;
}

/* Whether the field's name is "name", in any case. */
static bool has_name(const char *line, size_t len, const char *name)
{
	size_t name_len = strlen(name);

	return len > name_len && line[name_len] == ':' &&
	       g_ascii_strncasecmp(line, name, name_len) == 0;
}

/* Whether the field gives the body another end than that of the connection. */
static bool delimits_body(const char *line, size_t len)
{
	char *text;
	bool is_chunked;

	if (!has_name(line, len, "transfer-encoding"))
		return has_name(line, len, "content-length");
	text = g_ascii_strdown(line, (gssize)len);
	is_chunked = strstr(text, "chunked") != NULL;
	g_free(text);
	return is_chunked;
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
		begin_head(watch, read_status(line, len));
	} else if (len > 0 && (line[0] == '\r' || line[0] == '\n')) {
		watch->is_complete = !watch->is_interim;
	} else if (!is_field(line, len)) {
		watch->is_malformed = true;
	} else if (delimits_body(line, len)) {
		watch->ends_with_close = false;
	}
	return begins_head;
}
