#ifndef WISTERIA_SESSION_ENTRY_SESSION_DEFS_H
#define WISTERIA_SESSION_ENTRY_SESSION_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/err_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/route/router_defs.h"

struct entry_session_t;

/* Why a request ended before its answer was complete. */
typedef struct {
	err_t err;
	bool not_run;		   /* true: certainly; false: it may have run */
	clock_ms_t retry_after_ms; /* 0: none */
} entry_refusal_t;

/*
 * Callbacks of a session, provided by its owner.  Each receives this struct as
 * "self", so that the owner can find the struct in which it is embedded.
 */
typedef struct entry_session_ops_t {
	/* Sends a message to the agent of "hop". */
	void (*send)(struct entry_session_ops_t *self,
		     struct entry_session_t *session, const route_hop_t *hop,
		     msg_type_t type, const void *body);
	/* Chooses a new chain without endpoint "failed" (may be empty). */
	route_result_t (*choose)(struct entry_session_ops_t *self,
				 struct entry_session_t *session,
				 const char *failed, route_choice_t *choice);
	/* Chooses a replacement for one hop of the session's chain. */
	route_result_t (*replace)(struct entry_session_ops_t *self,
				  struct entry_session_t *session,
				  size_t lost_hop, route_hop_t *replacement);
	/* Returns whether the retry budget allows another attempt. */
	bool (*may_retry)(struct entry_session_ops_t *self,
			  struct entry_session_t *session);
	/* Passes the next tokens of the answer to the caller. */
	void (*deliver)(struct entry_session_ops_t *self,
			struct entry_session_t *session,
			const msg_token_t *tokens, size_t count);
	/* Reports that the whole answer was delivered. */
	void (*finished)(struct entry_session_ops_t *self,
			 struct entry_session_t *session);
	/* Reports that the session ended without the whole answer. */
	void (*refused)(struct entry_session_ops_t *self,
			struct entry_session_t *session,
			const entry_refusal_t *refusal);
} entry_session_ops_t;

#endif
