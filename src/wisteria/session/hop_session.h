#ifndef WISTERIA_SESSION_HOP_SESSION_H
#define WISTERIA_SESSION_HOP_SESSION_H

#include <stdbool.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"

struct hop_session_t;

/*
 * Consecutive positions for the engine to run.  Position 0 is the prompt,
 * position n the token of index n - 1.
 */
typedef struct {
	uint64_t session;
	/*
	 * The attempt in which this hop was opened.  It identifies the engine's
	 * state, together with "session" and "first_layer".
	 */
	uint32_t sequence;
	uint32_t attempt;
	uint32_t hop;
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t first_position;
	const msg_position_t *positions;
	size_t position_count;
	/* Whether the layers include the model's first and last one. */
	bool has_first_layer; /* the inputs are texts, not activations */
	bool has_last_layer;  /* the output of the last position is a token */
	uint32_t priority;
} hop_work_t;

/* Output of the engine for a hop_work_t. */
typedef struct {
	const msg_position_t *positions; /* not on the last hop */
	size_t position_count;
	const char *text; /* the token; only on the last hop */
	bool last;	  /* the model has ended the answer */
} hop_result_t;

/*
 * Callbacks of a session on an agent, provided by its owner.  Each receives
 * this struct as "self", so that the owner can find the struct in which it is
 * embedded.
 */
typedef struct hop_session_ops_t {
	/* Runs positions on the engine; "work" is valid during the call. */
	void (*run)(struct hop_session_ops_t *self,
		    struct hop_session_t *session, const hop_work_t *work);
	/* Drops the engine's state of the session. */
	void (*forget)(struct hop_session_ops_t *self,
		       struct hop_session_t *session);
	/* Sends to the agent of hop "hop" of the session's chain. */
	void (*send_hop)(struct hop_session_ops_t *self,
			 struct hop_session_t *session, uint32_t hop,
			 msg_type_t type, const void *body);
	/* Sends to the entry, the daemon that serves the session's caller. */
	void (*send_entry)(struct hop_session_ops_t *self,
			   struct hop_session_t *session, msg_type_t type,
			   const void *body);
} hop_session_ops_t;

/*
 * One hop of a session, on the hop's agent.  A reroute moves it to a new
 * attempt and keeps its state.  It accepts positions only in order and each
 * once.  A repeated step is acknowledged, and the outputs that may have been
 * lost are resent; a step of another attempt is refused.  It reads no clock
 * (the current time is passed in) and does no I/O.
 */
typedef struct hop_session_t hop_session_t;

hop_session_t *hop_session_new(const msg_open_t *open,
			       hop_session_ops_t *ops) ATTR_NONNULL_ALL;
void hop_session_free(hop_session_t *session);
const msg_open_t *
hop_session_open_msg(const hop_session_t *session) ATTR_NONNULL_ALL;
const msg_hop_t *
hop_session_hops(const hop_session_t *session) ATTR_NONNULL_ALL;
msg_token_t *
hop_session_fill_open_msg(const hop_session_t *session,
			  msg_open_t *open) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
uint32_t hop_session_attempt(const hop_session_t *session) ATTR_NONNULL_ALL;
bool hop_session_has_started(const hop_session_t *session) ATTR_NONNULL_ALL;
bool hop_session_has_whole_answer(const hop_session_t *session)
	ATTR_NONNULL_ALL;
void hop_session_on_start(hop_session_t *session,
			  clock_ms_t now) ATTR_NONNULL_ALL;
void hop_session_on_step(hop_session_t *session, const msg_step_t *step,
			 clock_ms_t now) ATTR_NONNULL_ALL;
void hop_session_on_step_ack(hop_session_t *session, const msg_step_ack_t *ack,
			     clock_ms_t now) ATTR_NONNULL_ALL;
void hop_session_on_step_result(hop_session_t *session,
				const msg_step_result_t *result,
				clock_ms_t now) ATTR_NONNULL_ALL;
void hop_session_on_engine_done(hop_session_t *session, uint32_t attempt,
				const hop_result_t *result,
				clock_ms_t now) ATTR_NONNULL_ALL;
void hop_session_on_engine_failed(hop_session_t *session, uint32_t attempt,
				  const char *reason,
				  clock_ms_t now) ATTR_NONNULL_ALL;
void hop_session_on_tokens_ack(hop_session_t *session,
			       const msg_tokens_ack_t *ack,
			       clock_ms_t now) ATTR_NONNULL_ALL;
void hop_session_on_resume(hop_session_t *session,
			   const msg_tokens_ack_t *resume,
			   clock_ms_t now) ATTR_NONNULL_ALL;
void hop_session_on_reroute(hop_session_t *session,
			    const msg_reroute_t *reroute,
			    clock_ms_t now) ATTR_NONNULL_ALL;
void hop_session_on_hop_up(hop_session_t *session, uint32_t hop,
			   clock_ms_t now) ATTR_NONNULL_ALL;
void hop_session_on_hop_down(hop_session_t *session, uint32_t hop,
			     clock_ms_t now) ATTR_NONNULL_ALL;
void hop_session_on_hop_lost(hop_session_t *session, uint32_t hop,
			     const char *reason) ATTR_NONNULL_ALL;
void hop_session_tick(hop_session_t *session, clock_ms_t now) ATTR_NONNULL_ALL;

#endif
