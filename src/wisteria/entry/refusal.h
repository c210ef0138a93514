#ifndef WISTERIA_ENTRY_REFUSAL_H
#define WISTERIA_ENTRY_REFUSAL_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/control/view_defs.h"
#include "wisteria/entry/request_defs.h"
#include "wisteria/session/entry_session_defs.h"

unsigned refusal_status(err_code_t code);
char *refusal_body(const request_t *request, const entry_refusal_t *refusal,
		   const view_t *view) ATTR_NONNULL(1, 2);
void refusal_send(request_t *request, const entry_refusal_t *refusal,
		  const view_t *view) ATTR_NONNULL(1, 2);

#endif
