#ifndef WISTERIA_LEDGER_LEDGER_DEFS_H
#define WISTERIA_LEDGER_LEDGER_DEFS_H

#include <stddef.h>
#include <stdint.h>

/* A reserved call without a result is reported as unknown after this time. */
#define LEDGER_PENDING_TIMEOUT_MS 60000
/* Minimum time for which a key is kept after its last change. */
#define LEDGER_RETENTION_MIN_MS 600000
/* Longer results are not stored: the call's outcome becomes unknown. */
#define LEDGER_RESULT_BYTES_MAX 65536
/* Maximum total length of customer, service and key. */
#define LEDGER_KEY_BYTES_MAX 1024
/*
 * How many owners that released a key are remembered; they are not granted
 * the key again.
 */
#define LEDGER_RELEASED_OWNERS_MAX 8

/* The size of the ledger, for metrics and status. */
typedef struct {
	size_t entries;
	size_t bytes;
} ledger_usage_t;

#endif
