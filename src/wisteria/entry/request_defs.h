#ifndef WISTERIA_ENTRY_REQUEST_DEFS_H
#define WISTERIA_ENTRY_REQUEST_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <ck_fifo.h>
#include <glib.h>
#include <microhttpd.h>

#include "wisteria/base/mailbox_defs.h"

#define REQUEST_ID_BYTES 40

typedef enum {
	REQUEST_COMPLETION, /* POST /v1/completions */
	REQUEST_CHAT,	    /* POST /v1/chat/completions */
	REQUEST_CALL,	    /* any method, /services/NAME/... */
	REQUEST_EXPLAIN	    /* GET /v1/explain/ID */
} request_kind_t;

typedef struct {
	char *name;
	char *value;
} request_header_t;

/* A part of the response, queued for the HTTP thread. */
typedef struct {
	ck_fifo_spsc_entry_t entry;
	bool head; /* carries status and headers */
	bool end;  /* nothing follows */
	unsigned status;
	GArray *headers; /* request_header_t, or NULL */
	char *data;
	size_t len;
} request_chunk_t;

/*
 * One HTTP request, reference-counted and shared by the HTTP thread that reads
 * and answers it and the traffic thread that serves it.  The HTTP thread fills
 * the first part before it posts the request and does not change it afterwards.
 */
typedef struct request_t {
	task_t task;
	request_kind_t kind;
	char id[REQUEST_ID_BYTES];
	char *method;
	char *path; /* with the query */
	char *api_key;
	char *idempotency_key;
	char *last_event_id;
	char *traceparent;
	GArray *headers; /* request_header_t */
	GByteArray *body;
	char *model;
	char *prompt;
	uint32_t max_tokens; /* 0: the limit of the model */
	int64_t timeout_ms;  /* 0: the limit of the preset */
	bool stream;

	struct MHD_Connection *connection;
	struct entry_t *entry;
	struct http_front_t *front;
	uint32_t references;
	uint32_t suspended; /* until the next chunk is queued */
	uint32_t cancelled; /* the caller has disconnected */
	ck_fifo_spsc_t out;

	/* Used by the HTTP thread only. */
	bool has_invalid_field; /* a name is not a token */
	bool posted;
	bool responded;
	request_chunk_t *sending;
	size_t sent;
} request_t;

#endif
