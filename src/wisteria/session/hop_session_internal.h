#ifndef WISTERIA_SESSION_HOP_SESSION_INTERNAL_H
#define WISTERIA_SESSION_HOP_SESSION_INTERNAL_H

/* Shared by the source files of the hop session; include it nowhere else. */

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
	bool rerouted; /* reroute_copy is valid */
	const msg_open_t *open;
	const msg_hop_t *hops; /* of open_copy or reroute_copy */
	uint32_t hop_count;
	uint32_t hop;
	uint32_t attempt;
	uint32_t sequence; /* attempt of "open"; see hop_work_t */
	bool started;
	bool has_whole_answer;	/* first hop only */
	bool engine_failed;	/* the engine's state is not known */
	bool failure_reported;	/* in this attempt, since MSG_RESUME */
	position_log_t inputs;	/* received and not yet completed */
	uint32_t running_count; /* positions being run by the engine */
	uint32_t input_acked;	/* next position in the last MSG_STEP_ACK */
	position_log_t outputs;
	uint32_t output_sent;
	uint32_t output_acked;
	GArray *tokens; /* first hop: all; last hop: those it generated */
	uint32_t tokens_acked;
	clock_ms_t next_down_since_ms;
	clock_ms_t first_down_since_ms;
};

bool hop_is_first(const hop_session_t *session) ATTR_NONNULL_ALL;
bool hop_is_last(const hop_session_t *session) ATTR_NONNULL_ALL;
const stored_token_t *hop_get_token(const hop_session_t *session,
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
void hop_request_results(hop_session_t *session) ATTR_NONNULL_ALL;

#endif
