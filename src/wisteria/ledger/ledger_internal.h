#ifndef WISTERIA_LEDGER_LEDGER_INTERNAL_H
#define WISTERIA_LEDGER_LEDGER_INTERNAL_H

#include <glib.h>

#include "wisteria/ledger/ledger.h"
#include "wisteria/ledger/ledger_entry_defs.h"

/* The ledger's state, shared by ledger.c and ledger_snapshot.c. */
struct ledger_t {
	GHashTable *by_key; /* set of ledger_entry_t; owns them */
	GTree *by_expiry;   /* the same entries, by expiry time and serial */
	size_t bytes;	    /* total of ledger_entry_bytes() */
	size_t bytes_max;
	int64_t now_ms;
	uint64_t next_serial;
};

void ledger_init_tables(ledger_t *ledger) ATTR_NONNULL_ALL;
void ledger_finish_tables(ledger_t *ledger) ATTR_NONNULL_ALL;
void ledger_insert(ledger_t *ledger, ledger_entry_t *entry) ATTR_NONNULL_ALL;

#endif
