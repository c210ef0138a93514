/* HTTP requests and responses in memory. */
#include "wisteria/http/http_message.h"

#include <string.h>
#include <strings.h>

#define STATUS_MIN 100
#define STATUS_MAX 599
/* A message keeps the memory of a body up to this size for the next one. */
#define BODY_KEPT_BYTES_MAX (16u << 10)

/* Initializes an empty message. */
void http_message_init(http_message_t *message)
{
	*message = (http_message_t){
		.text = g_byte_array_new(),
		.fields = g_array_new(FALSE, FALSE, sizeof(http_field_t)),
		.body = g_byte_array_new(),
		.method = "",
	};
	http_message_reset(message);
}

/* Frees the memory that the message owns. */
void http_message_finish(http_message_t *message)
{
	g_byte_array_unref(message->text);
	g_array_unref(message->fields);
	g_byte_array_unref(message->body);
}

/* Clears a message for reuse; the memory of a large body is freed. */
void http_message_reset(http_message_t *message)
{
	static const guint8 nul = 0;

	if (message->body->len > BODY_KEPT_BYTES_MAX) {
		g_byte_array_unref(message->body);
		message->body = g_byte_array_new();
	}
	g_byte_array_set_size(message->text, 0);
	g_byte_array_append(message->text, &nul, 1);
	g_array_set_size(message->fields, 0);
	g_byte_array_set_size(message->body, 0);
	message->method = "";
	message->target = 0;
	message->status = 0;
	message->framing = HTTP_FRAMING_NONE;
	message->declared_bytes = -1;
	message->excess_bytes = 0;
	message->keep_alive = false;
}

/* Whether "status" is one of a response, see RFC 9110, 15. */
bool http_status_is_valid(unsigned status)
{
	return status >= STATUS_MIN && status <= STATUS_MAX;
}

/*
 * Whether a response with "status" ends with its head, whatever length or coding
 * the head names (RFC 9110, 6.4.1; RFC 9112, 6.3).  So does any response to HEAD.
 */
bool http_status_has_no_body(unsigned status)
{
	return status / 100 == 1 || status == 204 || status == 304;
}

/*
 * Whether the body of a response must be empty.  That of 205 has an end like any
 * other, but no content (RFC 9110, 15.3.6), and some clients don't read one.
 */
bool http_status_has_no_content(unsigned status)
{
	return http_status_has_no_body(status) || status == 205;
}

/*
 * Whether callers take "status" as a promise that their request has not run and
 * never will: they send it again, also if it must not run twice.
 */
bool http_status_is_promise(unsigned status)
{
	switch (status) {
	case 408: /* Request Timeout */
	case 421: /* Misdirected Request */
	case 429: /* Too Many Requests */
	case 503: /* Service Unavailable */
		return true;
	default:
		return false;
	}
}

/*
 * Returns the status of an answer to a request that may have run if "may_have_run":
 * 502 (Bad Gateway) in place of a promise.
 */
unsigned http_status_to_caller(unsigned status, bool may_have_run)
{
	return may_have_run && http_status_is_promise(status) ? 502 : status;
}

/*
 * Whether all of "text" are characters of a token, which names of fields consist
 * of (RFC 9110, 5.6.2 and 5.1).  It may be a part of a token, or empty.
 */
bool http_is_token(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isalnum(text[i]) &&
		    (text[i] == '\0' ||
		     strchr("!#$%&'*+-.^_`|~", text[i]) == NULL))
			return false;
	return true;
}

/* Returns the target of a request: its path and query. */
const char *http_message_target(const http_message_t *message)
{
	return (const char *)message->text->data + message->target;
}

/* Returns the name of header or trailer "index". */
const char *http_message_header_name(const http_message_t *message, guint index)
{
	return (const char *)message->text->data +
	       g_array_index(message->fields, http_field_t, index).name;
}

/* Returns the value of header or trailer "index". */
const char *http_message_header_value(const http_message_t *message,
				      guint index)
{
	return (const char *)message->text->data +
	       g_array_index(message->fields, http_field_t, index).value;
}

/* Returns the value of the first header or trailer "name", or NULL. */
const char *http_message_find_header(const http_message_t *message,
				     const char *name)
{
	for (guint i = 0; i < message->fields->len; i++)
		if (strcasecmp(http_message_header_name(message, i), name) == 0)
			return http_message_header_value(message, i);
	return NULL;
}

/*
 * Returns whether header "name" applies to a single connection and must not be
 * forwarded (RFC 9110, section 7.6.1).
 */
bool http_is_hop_by_hop_header(const char *name)
{
	static const char *const names[] = {
		"connection",
		"keep-alive",
		"proxy-connection",
		"te",
		"trailer",
		"transfer-encoding",
		"upgrade",
		"proxy-authorization",
		"proxy-authenticate",
		"expect",
		"content-length",
	};

	for (size_t i = 0; i < ARRAY_SIZE(names); i++)
		if (strcasecmp(names[i], name) == 0)
			return true;
	return false;
}

/* Returns the name of "framing" for logs. */
const char *http_framing_name(http_framing_t framing)
{
	static const char *const names[] = {
		[HTTP_FRAMING_NONE] = "none",
		[HTTP_FRAMING_LENGTH] = "length",
		[HTTP_FRAMING_CHUNKED] = "chunked",
		[HTTP_FRAMING_CLOSE] = "close",
	};

	return names[framing];
}

typedef struct {
	unsigned status;
	const char *reason;
} reason_t;

/* Returns the reason phrase of "status", or "Status" if it is not listed. */
const char *http_reason_phrase(unsigned status)
{
	static const reason_t reasons[] = {
		{ 200, "OK" },
		{ 204, "No Content" },
		{ 205, "Reset Content" },
		{ 304, "Not Modified" },
		{ 307, "Temporary Redirect" },
		{ 400, "Bad Request" },
		{ 401, "Unauthorized" },
		{ 404, "Not Found" },
		{ 405, "Method Not Allowed" },
		{ 408, "Request Timeout" },
		{ 413, "Content Too Large" },
		{ 429, "Too Many Requests" },
		{ 431, "Request Header Fields Too Large" },
		{ 500, "Internal Server Error" },
		{ 502, "Bad Gateway" },
		{ 503, "Service Unavailable" },
		{ 504, "Gateway Timeout" },
	};

	for (size_t i = 0; i < ARRAY_SIZE(reasons); i++)
		if (reasons[i].status == status)
			return reasons[i].reason;
	return "Status";
}
