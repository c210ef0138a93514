#ifndef WISTERIA_ENTRY_LEDGER_CLIENT_H
#define WISTERIA_ENTRY_LEDGER_CLIENT_H

#include <glib.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/net/net_defs.h"
#include "wisteria/settings/settings_defs.h"

/* Receives the replies; embedded in the owner's struct. */
typedef struct ledger_reply_handler_t {
	void (*replied)(struct ledger_reply_handler_t *self,
			const msg_ledger_reply_t *reply);
} ledger_reply_handler_t;

/*
 * Sends commands to the replicated ledger from a traffic thread.  A command
 * without a reply is sent again, to the next control instance, until its
 * deadline; the ledger applies it once.
 */
typedef struct {
	conn_handler_t handler;
	net_t *net;
	const settings_t *settings;
	ledger_reply_handler_t *reply_handler;
	link_t link;
	unsigned instance_index; /* of the control instance in use */
	uint64_t sequence;
	clock_ms_t reply_wait_start_ms; /* start of the wait for a reply */
	GHashTable *pending_commands;	/* sequence -> pending_command_t */
} ledger_client_t;

void ledger_client_init(ledger_client_t *client, net_t *net,
			const settings_t *settings,
			ledger_reply_handler_t *reply_handler) ATTR_NONNULL_ALL;
void ledger_client_finish(ledger_client_t *client) ATTR_NONNULL_ALL;
uint64_t ledger_client_submit(ledger_client_t *client,
			      const msg_ledger_t *command,
			      clock_ms_t deadline_ms) ATTR_NONNULL_ALL;
size_t ledger_client_pending(const ledger_client_t *client) ATTR_NONNULL_ALL;
void ledger_client_tick(ledger_client_t *client,
			clock_ms_t now) ATTR_NONNULL_ALL;

#endif
