#ifndef WISTERIA_LEDGER_LEDGER_DEFS_H
#define WISTERIA_LEDGER_LEDGER_DEFS_H

#include <stddef.h>
#include <stdint.h>

/* A call that is reserved for this long counts as of unknown outcome. */
#define LEDGER_PENDING_MS 60000
/* Least time that a key is kept after its last change. */
#define LEDGER_RETENTION_MIN_MS 600000
/* Longer results are not kept; their calls are of unknown outcome. */
#define LEDGER_RESULT_BYTES_MAX 65536
#define LEDGER_KEY_BYTES_MAX 1024
/* Owners that gave a key back and may not be granted it again. */
#define LEDGER_RELEASED_MAX 8

/* What the ledger holds, for counters and status. */
typedef struct {
	size_t entries;
	size_t bytes;
} ledger_usage_t;

#endif
