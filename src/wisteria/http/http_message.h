#ifndef WISTERIA_HTTP_HTTP_MESSAGE_H
#define WISTERIA_HTTP_HTTP_MESSAGE_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/http/http_message_defs.h"

void http_message_init(http_message_t *message) ATTR_NONNULL_ALL;
void http_message_finish(http_message_t *message) ATTR_NONNULL_ALL;
void http_message_reset(http_message_t *message) ATTR_NONNULL_ALL;
bool http_status_is_valid(unsigned status) ATTR_WARN_UNUSED;
bool http_status_has_no_body(unsigned status) ATTR_WARN_UNUSED;
bool http_status_has_no_content(unsigned status) ATTR_WARN_UNUSED;
bool http_status_is_promise(unsigned status) ATTR_WARN_UNUSED;
unsigned http_status_to_caller(unsigned status,
			       bool may_have_run) ATTR_WARN_UNUSED;
bool http_is_token(const char *text, size_t len) ATTR_WARN_UNUSED;
const char *http_message_target(const http_message_t *message) ATTR_NONNULL_ALL;
const char *http_message_header_name(const http_message_t *message,
				     guint index) ATTR_NONNULL_ALL;
const char *http_message_header_value(const http_message_t *message,
				      guint index) ATTR_NONNULL_ALL;
const char *http_message_find_header(const http_message_t *message,
				     const char *name) ATTR_NONNULL_ALL;
bool http_is_hop_by_hop_header(const char *name) ATTR_NONNULL_ALL;
const char *http_framing_name(http_framing_t framing);
const char *http_reason_phrase(unsigned status);

#endif
