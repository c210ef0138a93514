#ifndef WISTERIA_SESSION_ENTRY_SESSION_INTERNAL_H
#define WISTERIA_SESSION_ENTRY_SESSION_INTERNAL_H

/* Shared by the source files of the entry session; include it nowhere else. */

#include <glib.h>

#include "wisteria/session/entry_session.h"

typedef enum {
	ENTRY_IDLE,
	ENTRY_OPENING,	 /* MSG_OPEN was sent to reserve a slot on each hop */
	ENTRY_RUNNING,	 /* MSG_START was sent */
	ENTRY_REPLACING, /* MSG_OPEN was sent to the replacement of a hop */
	ENTRY_CHOOSING,	 /* waits until a chain can be chosen */
	ENTRY_ENDED
} entry_session_state_t;

typedef struct {
	bool accepted;		  /* MSG_OPEN of the current attempt */
	bool has_current_chain;	  /* accepted MSG_REROUTE, or needs none */
	clock_ms_t down_since_ms; /* CLOCK_NEVER_MS: connected */
} entry_hop_t;

struct entry_session_t {
	entry_session_ops_t *ops;
	entry_session_params_t params;
	entry_session_state_t state;
	uint32_t attempt;
	uint32_t min_next_attempt; /* set by a takeover */
	route_choice_t chain;
	entry_hop_t hops[ROUTER_HOPS_MAX];
	uint32_t replaced_hop;	   /* of the last replacement */
	bool ever_started;	   /* MSG_START was sent in some attempt */
	clock_ms_t state_since_ms; /* when "state" was entered */
	clock_ms_t last_token_ms;  /* when the last token was received */
	clock_ms_t last_choose_ms; /* start of the wait for the next choose() */
	clock_ms_t not_running_since_ms; /* since when no attempt is running */
	/* Since then: refusals of MSG_OPEN, and hops lost while opening. */
	uint32_t open_refusals;
	route_result_t route_result;		 /* of the last choose() */
	char failed_endpoint[ROUTER_NAME_BYTES]; /* to avoid; may be empty */
	/* Endpoints that were disconnected when the last attempt failed. */
	char suspects[ROUTER_HOPS_MAX][ROUTER_NAME_BYTES];
	size_t suspect_count;
	err_t last_error;
	GPtrArray *tokens; /* texts of the delivered tokens */
};

void entry_set_state(entry_session_t *session, entry_session_state_t state,
		     clock_ms_t now) ATTR_NONNULL_ALL;

void entry_send_open(entry_session_t *session, size_t hop,
		     clock_ms_t now) ATTR_NONNULL_ALL;
void entry_send_reroute(entry_session_t *session, size_t hop) ATTR_NONNULL_ALL;
void entry_send_start(entry_session_t *session) ATTR_NONNULL_ALL;
void entry_send_next_index(entry_session_t *session, size_t hop,
			   msg_type_t type) ATTR_NONNULL_ALL;
void entry_send_close(entry_session_t *session,
		      const char *reason) ATTR_NONNULL_ALL;
void entry_send_close_hop(entry_session_t *session,
			  size_t hop) ATTR_NONNULL_ALL;

void entry_open_chain(entry_session_t *session,
		      clock_ms_t now) ATTR_NONNULL_ALL;
bool entry_choose_chain(entry_session_t *session,
			clock_ms_t now) ATTR_NONNULL_ALL;
void entry_refuse_request(entry_session_t *session,
			  clock_ms_t now) ATTR_NONNULL_ALL;
void entry_restart(entry_session_t *session, clock_ms_t now) ATTR_NONNULL_ALL;
void entry_handle_hop_loss(entry_session_t *session, size_t hop,
			   const char *step, const char *reason,
			   clock_ms_t now) ATTR_NONNULL_ALL;
void entry_handle_refusal(entry_session_t *session,
			  const msg_open_reply_t *reply,
			  clock_ms_t now) ATTR_NONNULL_ALL;

#endif
