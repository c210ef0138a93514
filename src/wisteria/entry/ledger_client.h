#ifndef WISTERIA_ENTRY_LEDGER_CLIENT_H
#define WISTERIA_ENTRY_LEDGER_CLIENT_H

#include <glib.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/net/net_defs.h"
#include "wisteria/settings/settings_defs.h"

/* Told of each answer; it stands first in the owner's struct. */
typedef struct ledger_owner_t {
	void (*answered)(struct ledger_owner_t *self,
			 const msg_ledger_reply_t *reply);
} ledger_owner_t;

/*
 * Asks the replicated ledger from a traffic thread.  A question without an
 * answer is asked again, at the next control instance, until its deadline;
 * the ledger applies it once.
 */
typedef struct {
	conn_handler_t handler;
	net_t *net;
	const settings_t *settings;
	ledger_owner_t *owner;
	link_t link;
	unsigned instance; /* index of the control instance asked */
	uint64_t sequence;
	clock_ms_t quiet_since_ms; /* last answer or connection */
	GHashTable *questions;	   /* sequence -> question_t */
} ledger_client_t;

void ledger_client_init(ledger_client_t *client, net_t *net,
			const settings_t *settings,
			ledger_owner_t *owner) ATTR_NONNULL_ALL;
void ledger_client_finish(ledger_client_t *client) ATTR_NONNULL_ALL;
uint64_t ledger_client_ask(ledger_client_t *client,
			   const msg_ledger_t *question,
			   clock_ms_t deadline_ms) ATTR_NONNULL_ALL;
size_t ledger_client_pending(const ledger_client_t *client) ATTR_NONNULL_ALL;
void ledger_client_tick(ledger_client_t *client,
			clock_ms_t now) ATTR_NONNULL_ALL;

#endif
