#ifndef WISTERIA_TRACE_EXPLAIN_DEFS_H
#define WISTERIA_TRACE_EXPLAIN_DEFS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/base/clock_defs.h"

#define EXPLAIN_ID_BYTES 64
#define EXPLAIN_SENTENCES_MAX 40
#define EXPLAIN_SENTENCE_LEN_MAX 400
/* Maximum memory of the explanations that one process keeps. */
#define EXPLAIN_LOG_BYTES_MAX (64u << 20)

/*
 * The decisions taken on one request, as sentences for operators.  Owned by the
 * thread that handles the request, so it has no lock.
 */
typedef struct {
	char request_id[EXPLAIN_ID_BYTES];
	clock_ms_t start_ms;
	unsigned sentence_count;
	GString *text; /* one sentence per line */
} explain_t;

/* The explanations of ended requests; the oldest are dropped first. */
typedef struct {
	GMutex lock;
	size_t bytes;
	size_t bytes_max;
	GQueue records;	   /* oldest first */
	GHashTable *by_id; /* request id to record */
} explain_log_t;

#endif
