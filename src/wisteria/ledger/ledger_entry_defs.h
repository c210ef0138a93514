#ifndef WISTERIA_LEDGER_LEDGER_ENTRY_DEFS_H
#define WISTERIA_LEDGER_LEDGER_ENTRY_DEFS_H

#include <stdint.h>

#include "wisteria/codec/codec_defs.h"
#include "wisteria/ledger/ledger_defs.h"

typedef enum {
	ENTRY_PENDING,	/* reserved; it may be running */
	ENTRY_STORED,	/* it ran, and its result is kept */
	ENTRY_UNKNOWN,	/* it may have run; there is no result */
	ENTRY_RELEASED, /* it provably did not run; free to be reserved */
	ENTRY_STATE_COUNT
} entry_state_t;

/* One key of one customer for one service. */
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
	uint64_t serial; /* orders entries that expire together */
	uint8_t *result;
	size_t result_len;
	uint64_t released[LEDGER_RELEASED_MAX]; /* the latest owners */
	uint32_t released_count;
} ledger_entry_t;

#endif
