#ifndef WISTERIA_TRACE_EXPLAIN_DEFS_H
#define WISTERIA_TRACE_EXPLAIN_DEFS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "wisteria/base/clock_defs.h"

#define EXPLAIN_ID_BYTES 64
#define EXPLAIN_SENTENCES_MAX 40
#define EXPLAIN_SENTENCE_LEN_MAX 400
/* Most memory of the kept explanations of one process. */
#define EXPLAIN_LOG_BYTES_MAX (64u << 20)

/*
 * What was decided on one request, in sentences for people.  It belongs to
 * the thread that handles the request.
 */
typedef struct {
	char request_id[EXPLAIN_ID_BYTES];
	clock_ms_t start_ms;
	unsigned sentence_count;
	GString *text; /* one sentence a line */
} explain_t;

/* The explanations of requests that ended, oldest dropped first. */
typedef struct {
	GMutex lock;
	size_t bytes;
	size_t bytes_max;
	GQueue records;	   /* oldest first */
	GHashTable *by_id; /* request id to record */
} explain_log_t;

#endif
