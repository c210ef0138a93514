#ifndef WISTERIA_ENTRY_ENTRY_H
#define WISTERIA_ENTRY_ENTRY_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/base/mailbox_defs.h"
#include "wisteria/control/view_defs.h"
#include "wisteria/entry/request_defs.h"
#include "wisteria/net/net_defs.h"
#include "wisteria/settings/settings_defs.h"
#include "wisteria/trace/trace.h"

/* The entry role; it belongs to one traffic thread. */
typedef struct entry_t entry_t;

entry_t *entry_new(net_t *net, const settings_t *settings, view_board_t *board,
		   mailbox_t *mailbox, trace_writer_t *tracer)
	ATTR_NONNULL(1, 2, 3, 4);
void entry_free(entry_t *entry);
/* The next two may be called on any thread. */
void entry_post(entry_t *entry, request_t *request) ATTR_NONNULL_ALL;
void entry_cancel(entry_t *entry, request_t *request) ATTR_NONNULL_ALL;
size_t entry_demand(const entry_t *entry, msg_share_t *demand, size_t max)
	ATTR_NONNULL(1);
bool entry_is_idle(const entry_t *entry) ATTR_NONNULL_ALL;

#endif
