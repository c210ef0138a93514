#ifndef WISTERIA_SESSION_HOP_SESSION_INTERNAL_H
#define WISTERIA_SESSION_HOP_SESSION_INTERNAL_H

/* What the files of the hop session share; nobody else includes it. */

#include <glib.h>

#include "wisteria/session/hop_session.h"
#include "wisteria/session/position_log.h"

typedef struct {
	uint32_t index;
	char *text;
	bool last;
} stored_token_t;

struct hop_session_t {
	hop_session_ops_t *ops;
	msg_t open_copy;
	msg_t reroute_copy;
	bool rerouted;
	const msg_open_t *open;
	const msg_hop_t *hops;
	uint32_t hop_count;
	uint32_t hop;
	uint32_t attempt;
	uint32_t sequence;
	bool started;
	bool done;
	bool broken;	       /* the engine's state is not known */
	bool failure_reported; /* of this attempt */
	position_log_t inputs; /* received and not yet run to the end */
	uint32_t run_count;    /* positions that the engine runs now */
	uint32_t acked_to_peer;
	position_log_t outputs;
	uint32_t output_sent;
	uint32_t output_acked;
	GArray *tokens; /* hop 0: all; last hop: those it made */
	uint32_t tokens_acked;
	clock_ms_t next_down_ms;
	clock_ms_t first_down_ms;
};

bool hop_is_first(const hop_session_t *session) ATTR_NONNULL_ALL;
bool hop_is_last(const hop_session_t *session) ATTR_NONNULL_ALL;
const stored_token_t *hop_token_at(const hop_session_t *session,
				   guint i) ATTR_NONNULL_ALL;
void hop_copy_message(msg_t *copy, msg_type_t type,
		      const void *body) ATTR_NONNULL_ALL;
void hop_report_failure(hop_session_t *session, uint32_t hop, const char *step,
			const char *reason) ATTR_NONNULL_ALL;
void hop_send_tokens(hop_session_t *session, uint32_t from) ATTR_NONNULL_ALL;
void hop_send_outputs(hop_session_t *session) ATTR_NONNULL_ALL;
void hop_send_result(hop_session_t *session,
		     const stored_token_t *stored) ATTR_NONNULL_ALL;
void hop_send_results(hop_session_t *session,
		      uint32_t from_index) ATTR_NONNULL_ALL;
void hop_send_ack(hop_session_t *session, bool resend) ATTR_NONNULL_ALL;
void hop_ask_for_results(hop_session_t *session) ATTR_NONNULL_ALL;

#endif
