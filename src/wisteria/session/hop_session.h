#ifndef WISTERIA_SESSION_HOP_SESSION_H
#define WISTERIA_SESSION_HOP_SESSION_H

#include <stdbool.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/codec/msg_defs.h"

struct hop_session_t;

/* Consecutive positions for the engine to run. */
typedef struct {
	uint64_t session;
	uint32_t sequence; /* the attempt that opened the session */
	uint32_t attempt;
	uint32_t hop;
	uint32_t first_layer;
	uint32_t end_layer;
	uint32_t first_position;
	const msg_position_t *positions;
	size_t position_count;
	bool first_range; /* the inputs are texts, not activations */
	bool last_range;  /* the output of the last position is a token */
	uint32_t priority;
} hop_work_t;

/* Output of the engine for a hop_work_t. */
typedef struct {
	const msg_position_t *positions; /* unless it is the last range */
	size_t position_count;
	const char *text; /* for the last range */
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
	/* Sends to the entry of the session. */
	void (*send_entry)(struct hop_session_ops_t *self,
			   struct hop_session_t *session, msg_type_t type,
			   const void *body);
} hop_session_ops_t;

/*
 * An agent's side of one attempt on one endpoint.  It accepts the step
 * (session, attempt, position) only if it is the next one; a repeated step is
 * answered with the stored result, a step of an older attempt is refused.  It
 * reads no clock and does no I/O.
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
