#ifndef WISTERIA_CONTROL_COMMAND_DEFS_H
#define WISTERIA_CONTROL_COMMAND_DEFS_H

#include <stdint.h>

#include "wisteria/codec/msg_defs.h"

/* A command as stored in one entry of the replicated log. */
typedef struct {
	uint32_t type;	 /* MSG_ORDER or MSG_LEDGER */
	int64_t time_ms; /* log time, which never decreases */
	bytes_t payload; /* encoded message body of "type" */
} command_t;

#endif
