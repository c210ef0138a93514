/*
 * Spans and the W3C traceparent header (W3C Recommendation "Trace Context",
 * 2021), version 00.
 */
#include "wisteria/trace/trace.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#include <sodium.h>

#include "wisteria/trace/trace_writer.h"

#define TRACE_SAMPLED_FLAG 0x01
#define TRACE_HEX_ID_LEN (2 * TRACE_ID_BYTES)
#define TRACE_HEX_SPAN_ID_LEN (2 * TRACE_SPAN_ID_BYTES)

static uint64_t wall_clock_ns(void)
{
	struct timespec now;

	timespec_get(&now, TIME_UTC);
	return (uint64_t)now.tv_sec * 1000000000u + (uint64_t)now.tv_nsec;
}

/*
 * Returns the value of a hexadecimal digit, or -1 for anything else.  The
 * header allows lower case only.
 */
static int hex_digit_value(char digit)
{
	if (digit >= '0' && digit <= '9')
		return digit - '0';
	if (digit >= 'a' && digit <= 'f')
		return digit - 'a' + 10;
	return -1;
}

/*
 * Decodes "len" hexadecimal digits, an even number, to len / 2 bytes.  Returns
 * false if one of them is not a valid digit.
 */
static bool parse_hex(const char *hex, size_t len, uint8_t *out)
{
	for (size_t i = 0; i < len; i += 2) {
		int high = hex_digit_value(hex[i]);
		int low = hex_digit_value(hex[i + 1]);

		if (high < 0 || low < 0)
			return false;
		out[i / 2] = (uint8_t)(high << 4 | low);
	}
	return true;
}

/*
 * Parses the fields that follow the version: the trace id at offset 3, the span
 * id at 36 and the flags at 53, separated by "-".  Returns false if one is not
 * hexadecimal or an id is zero, which the Recommendation forbids.
 */
static bool parse_ids_and_flags(const char *header, trace_context_t *context)
{
	uint8_t flags = 0;

	if (!parse_hex(header + 3, TRACE_HEX_ID_LEN, context->trace_id) ||
	    !parse_hex(header + 36, TRACE_HEX_SPAN_ID_LEN, context->span_id) ||
	    !parse_hex(header + 53, 2, &flags))
		return false;
	context->is_sampled = (flags & TRACE_SAMPLED_FLAG) != 0;
	return !sodium_is_zero(context->trace_id, TRACE_ID_BYTES) &&
	       !sodium_is_zero(context->span_id, TRACE_SPAN_ID_BYTES);
}

/*
 * Parses a traceparent header.  Of a later version, only the fields that it
 * shares with version 00 are read.  Returns false and zeroes "context" if the
 * header is not valid.
 */
bool trace_parse_traceparent(const char *header, trace_context_t *context)
{
	size_t len = strlen(header);
	uint8_t version = 0;

	memset(context, 0, sizeof(*context));
	if (len < TRACEPARENT_LEN || header[2] != '-' || header[35] != '-' ||
	    header[52] != '-' || !parse_hex(header, 2, &version) ||
	    version == 0xff)
		return false;
	if (len > TRACEPARENT_LEN &&
	    (version == 0 || header[TRACEPARENT_LEN] != '-'))
		return false;
	if (parse_ids_and_flags(header, context))
		return true;
	memset(context, 0, sizeof(*context));
	return false;
}

/* Writes "context" as a traceparent header of version 00. */
void trace_format_traceparent(const trace_context_t *context,
			      char header[TRACEPARENT_LEN + 1])
{
	char trace_id[TRACE_HEX_ID_LEN + 1];
	char span_id[TRACE_HEX_SPAN_ID_LEN + 1];

	sodium_bin2hex(trace_id, sizeof(trace_id), context->trace_id,
		       TRACE_ID_BYTES);
	sodium_bin2hex(span_id, sizeof(span_id), context->span_id,
		       TRACE_SPAN_ID_BYTES);
	snprintf(header, TRACEPARENT_LEN + 1, "00-%s-%s-%02x", trace_id,
		 span_id, context->is_sampled ? TRACE_SAMPLED_FLAG : 0);
}

/* Starts a span as a child of "parent". */
void span_start(span_t *span, const trace_context_t *parent, const char *name)
{
	memset(span, 0, sizeof(*span));
	span->context = *parent;
	memcpy(span->parent_id, parent->span_id, TRACE_SPAN_ID_BYTES);
	randombytes_buf(span->context.span_id, TRACE_SPAN_ID_BYTES);
	snprintf(span->name, sizeof(span->name), "%s", name);
	span->start_ns = wall_clock_ns();
}

/* Starts the root span of a new, sampled trace. */
void span_start_trace(span_t *span, const char *name)
{
	trace_context_t parent = { .is_sampled = true };

	randombytes_buf(parent.trace_id, TRACE_ID_BYTES);
	span_start(span, &parent, name);
}

/*
 * Starts the span of a request: in the caller's trace if "traceparent" is a
 * valid header, as the root of a new trace otherwise (also if it is NULL).
 */
void span_start_request(span_t *span, const char *traceparent, const char *name)
{
	trace_context_t parent;

	if (traceparent != NULL &&
	    trace_parse_traceparent(traceparent, &parent))
		span_start(span, &parent, name);
	else
		span_start_trace(span, name);
}

static trace_attribute_t *add_attribute(span_t *span, const char *key)
{
	trace_attribute_t *attribute;

	if (span->attribute_count == TRACE_ATTRIBUTES_MAX)
		return NULL;
	attribute = &span->attributes[span->attribute_count++];
	snprintf(attribute->key, sizeof(attribute->key), "%s", key);
	return attribute;
}

/*
 * Adds a text attribute, truncated to TRACE_TEXT_BYTES including the NUL; if
 * that splits a UTF-8 character, the trace file gets "(not UTF-8)" instead.  An
 * earlier attribute with the same key is kept.  The attribute is dropped if the
 * span already has TRACE_ATTRIBUTES_MAX attributes.
 */
void span_add_text(span_t *span, const char *key, const char *text)
{
	trace_attribute_t *attribute = add_attribute(span, key);

	if (attribute == NULL)
		return;
	attribute->kind = TRACE_ATTRIBUTE_TEXT;
	snprintf(attribute->text, sizeof(attribute->text), "%s", text);
}

/*
 * Adds an integer attribute.  An earlier attribute with the same key is kept.
 * The attribute is dropped if the span already has TRACE_ATTRIBUTES_MAX
 * attributes.
 */
void span_add_number(span_t *span, const char *key, int64_t number)
{
	trace_attribute_t *attribute = add_attribute(span, key);

	if (attribute == NULL)
		return;
	attribute->kind = TRACE_ATTRIBUTE_NUMBER;
	attribute->number = number;
}

/*
 * Ends a span and queues a copy of it for "writer", unless "writer" is NULL or
 * the trace is not sampled.  Never blocks: if the queue is full, the span is
 * dropped and counted.
 */
void span_end(span_t *span, trace_writer_t *writer)
{
	span->end_ns = wall_clock_ns();
	if (writer != NULL && span->context.is_sampled)
		trace_writer_add(writer, span);
}
