#ifndef WISTERIA_LEDGER_LEDGER_ENTRY_DEFS_H
#define WISTERIA_LEDGER_LEDGER_ENTRY_DEFS_H

#include <stdint.h>

#include "wisteria/codec/codec_defs.h"
#include "wisteria/ledger/ledger_defs.h"

typedef enum {
	ENTRY_PENDING,	/* reserved; the call may be running */
	ENTRY_STORED,	/* the call ran, and its result is stored */
	ENTRY_UNKNOWN,	/* the call may have run; no result is stored */
	ENTRY_RELEASED, /* the call provably did not run; key can be reserved */
	ENTRY_STATE_COUNT
} entry_state_t;

/* The state of one idempotency key of a customer for a service. */
typedef struct {
	char *customer;
	char *service;
	char *key;
	entry_state_t state;
	uint64_t owner;
	uint64_t fingerprint;
	int64_t reserved_ms;
	int64_t retention_ms;
	int64_t expires_ms;
	uint64_t serial; /* order of entries with the same expiry time */
	uint8_t *result;
	size_t result_len;
	uint64_t released_owners[LEDGER_RELEASED_OWNERS_MAX]; /* oldest first */
	uint32_t released_owner_count;
} ledger_entry_t;

#endif
