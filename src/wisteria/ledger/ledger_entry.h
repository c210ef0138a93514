#ifndef WISTERIA_LEDGER_LEDGER_ENTRY_H
#define WISTERIA_LEDGER_LEDGER_ENTRY_H

#include <stdbool.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/ledger/ledger_entry_defs.h"

ledger_entry_t *ledger_entry_new(const char *customer, const char *service,
				 const char *key) ATTR_NONNULL_ALL;
void ledger_entry_free(ledger_entry_t *entry);
unsigned ledger_entry_hash(const void *entry);
int ledger_entry_equal(const void *a, const void *b);
size_t ledger_entry_bytes(const ledger_entry_t *entry) ATTR_NONNULL_ALL;
void ledger_entry_set_result(ledger_entry_t *entry,
			     bytes_t result) ATTR_NONNULL_ALL;
void ledger_entry_record_release(ledger_entry_t *entry,
				 uint64_t owner) ATTR_NONNULL_ALL;
bool ledger_entry_was_released_by(const ledger_entry_t *entry,
				  uint64_t owner) ATTR_NONNULL_ALL;

#endif
