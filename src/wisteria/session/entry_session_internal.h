#ifndef WISTERIA_SESSION_ENTRY_SESSION_INTERNAL_H
#define WISTERIA_SESSION_ENTRY_SESSION_INTERNAL_H

/* What the files of the entry session share; nobody else includes it. */

#include <glib.h>

#include "wisteria/session/entry_session.h"

typedef enum {
	ENTRY_IDLE,
	ENTRY_OPENING,	 /* the hops are asked to reserve a slot */
	ENTRY_RUNNING,	 /* MSG_START was sent */
	ENTRY_REPLACING, /* the substitute of a hop is asked */
	ENTRY_CHOOSING,	 /* no chain is possible now */
	ENTRY_ENDED
} entry_state_t;

typedef struct {
	bool accepted;	 /* of the present attempt */
	bool up_to_date; /* has taken MSG_REROUTE, or needs none */
	clock_ms_t down_ms;
} entry_hop_t;

struct entry_session_t {
	entry_session_ops_t *ops;
	entry_session_params_t params;
	entry_state_t state;
	uint32_t attempt;
	uint32_t attempt_floor; /* of attempts begun after a takeover */
	route_choice_t chain;
	entry_hop_t hops[ROUTER_HOPS_MAX];
	uint32_t replaced;
	bool ever_started;
	clock_ms_t state_ms;	/* when "state" was entered */
	clock_ms_t progress_ms; /* when the last token came */
	clock_ms_t chosen_ms;	/* when a chain was last asked for */
	clock_ms_t seeking_ms;	/* since when no attempt runs */
	uint32_t refusals;	/* of MSG_OPEN since then */
	route_result_t route;	/* the last answer of the router */
	char failed[ROUTER_NAME_BYTES];
	char suspects[ROUTER_HOPS_MAX][ROUTER_NAME_BYTES];
	size_t suspect_count;
	err_t why;
	GPtrArray *tokens; /* texts delivered */
};

void entry_enter(entry_session_t *session, entry_state_t state,
		 clock_ms_t now) ATTR_NONNULL_ALL;

void entry_send_open(entry_session_t *session, size_t hop,
		     clock_ms_t now) ATTR_NONNULL_ALL;
void entry_send_reroute(entry_session_t *session, size_t hop) ATTR_NONNULL_ALL;
void entry_send_start(entry_session_t *session) ATTR_NONNULL_ALL;
void entry_send_next(entry_session_t *session, size_t hop,
		     msg_type_t type) ATTR_NONNULL_ALL;
void entry_send_close(entry_session_t *session,
		      const char *reason) ATTR_NONNULL_ALL;
void entry_send_close_hop(entry_session_t *session,
			  size_t hop) ATTR_NONNULL_ALL;

void entry_open_chain(entry_session_t *session,
		      clock_ms_t now) ATTR_NONNULL_ALL;
bool entry_choose(entry_session_t *session, clock_ms_t now) ATTR_NONNULL_ALL;
void entry_refuse(entry_session_t *session, clock_ms_t now) ATTR_NONNULL_ALL;
void entry_begin_again(entry_session_t *session,
		       clock_ms_t now) ATTR_NONNULL_ALL;
void entry_lose_hop(entry_session_t *session, size_t hop, const char *step,
		    const char *reason, clock_ms_t now) ATTR_NONNULL_ALL;
void entry_take_refusal(entry_session_t *session, const msg_open_reply_t *reply,
			clock_ms_t now) ATTR_NONNULL_ALL;

#endif
