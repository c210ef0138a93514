#ifndef WISTERIA_CONTROL_COMMAND_DEFS_H
#define WISTERIA_CONTROL_COMMAND_DEFS_H

#include <stdint.h>

#include "wisteria/codec/msg_defs.h"

/* What one entry of the log holds. */
typedef struct {
	uint32_t type;	 /* MSG_ORDER or MSG_LEDGER */
	int64_t time_ms; /* the log's own time, which never runs backwards */
	bytes_t payload; /* the body of that type */
} command_t;

#endif
