#ifndef WISTERIA_SESSION_ENTRY_SESSION_DEFS_H
#define WISTERIA_SESSION_ENTRY_SESSION_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/err_defs.h"
#include "wisteria/codec/msg_defs.h"
#include "wisteria/route/router_defs.h"

struct entry_session_t;

/* Why a request ended without its whole answer. */
typedef struct {
	err_t err;
	bool not_run;		   /* provably; otherwise unknown */
	clock_ms_t retry_after_ms; /* 0: no advice */
} entry_refusal_t;

/*
 * What a session asks of the world.  It stands first in the owner's struct.
 * "send" goes to the agent of a hop; the rest to the caller or the router.
 */
typedef struct entry_session_ops_t {
	void (*send)(struct entry_session_ops_t *self,
		     struct entry_session_t *session, const route_hop_t *hop,
		     msg_type_t type, const void *body);
	/* Chooses a new chain that avoids "failed" (may be empty). */
	route_result_t (*choose)(struct entry_session_ops_t *self,
				 struct entry_session_t *session,
				 const char *failed, route_choice_t *choice);
	/* Chooses a substitute for one hop of the session's chain. */
	route_result_t (*replace)(struct entry_session_ops_t *self,
				  struct entry_session_t *session,
				  size_t lost_hop, route_hop_t *replacement);
	/* Whether the retry budget lets this session try again. */
	bool (*may_retry)(struct entry_session_ops_t *self,
			  struct entry_session_t *session);
	void (*deliver)(struct entry_session_ops_t *self,
			struct entry_session_t *session,
			const msg_token_t *tokens, size_t count);
	void (*finished)(struct entry_session_ops_t *self,
			 struct entry_session_t *session);
	void (*refused)(struct entry_session_ops_t *self,
			struct entry_session_t *session,
			const entry_refusal_t *refusal);
} entry_session_ops_t;

#endif
