#ifndef WISTERIA_ENTRY_OPENAI_H
#define WISTERIA_ENTRY_OPENAI_H

#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/entry/request_defs.h"

bool openai_parse(request_t *request, err_t *err) ATTR_WARN_UNUSED;
char *openai_format_event(const request_t *request, const char *event_id,
			  const msg_token_t *token) ATTR_NONNULL_ALL;
char *openai_format_answer(const request_t *request, const char *text,
			   uint32_t token_count, bool stopped) ATTR_NONNULL_ALL;

#endif
