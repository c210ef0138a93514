#ifndef WISTERIA_HTTP_EVENT_STREAM_H
#define WISTERIA_HTTP_EVENT_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/http/http_message_defs.h"

/* Position in a forwarded stream of server-sent events. */
typedef struct {
	int64_t last_id; /* of the last complete event; -1: none had one */
	uint64_t event_count;
	bool is_ordered;
	/* Of the current attempt: */
	uint64_t attempt_event_count;
	size_t partial_bytes; /* received of an incomplete event */
	/* Comments and blank lines behind the last event, not consumed. */
	size_t ignored_bytes;
	const char *defect; /* what follows is no next event; NULL: it may */
} event_stream_t;

bool event_stream_is_named_by(const char *content_type) ATTR_NONNULL_ALL;
void event_stream_init(event_stream_t *stream, int64_t last_id,
		       bool is_ordered) ATTR_NONNULL_ALL;
void event_stream_begin_attempt(event_stream_t *stream) ATTR_NONNULL_ALL;
const char *
event_stream_defect(const event_stream_t *stream,
		    http_framing_t framing) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
const char *event_stream_find_defect(const GByteArray *body,
				     http_framing_t framing)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
size_t event_stream_consume(event_stream_t *stream, const uint8_t *data,
			    size_t len) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;

#endif
