#ifndef WISTERIA_SESSION_ENTRY_SESSION_H
#define WISTERIA_SESSION_ENTRY_SESSION_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/session/entry_session_defs.h"
#include "wisteria/settings/preset_defs.h"

/*
 * One model request on the entry, the daemon that serves the caller: attempts,
 * the order of tokens, and recovery.  It reads no clock (the current time is
 * passed in) and does no I/O (messages are sent through callbacks).
 */
typedef struct entry_session_t entry_session_t;

/* Parameters of a session; entry_session_new() copies the strings. */
typedef struct {
	uint64_t session;
	const char *request_id;
	const char *customer;
	const char *model;
	const char *prompt;
	const char *traceparent;
	uint32_t layers;
	uint32_t priority;
	uint32_t max_tokens;
	uint64_t revision;
	clock_ms_t deadline_ms;
	preset_recovery_t recovery;
} entry_session_params_t;

entry_session_t *entry_session_new(const entry_session_params_t *params,
				   entry_session_ops_t *ops) ATTR_NONNULL_ALL;
entry_session_t *entry_session_new_from_takeover(
	const entry_session_params_t *params, const msg_takeover_reply_t *reply,
	uint32_t next, entry_session_ops_t *ops,
	clock_ms_t now) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void entry_session_free(entry_session_t *session);
const entry_session_params_t *
entry_session_params(const entry_session_t *session) ATTR_NONNULL_ALL;
uint32_t entry_session_attempt(const entry_session_t *session) ATTR_NONNULL_ALL;
const route_choice_t *
entry_session_chain(const entry_session_t *session) ATTR_NONNULL_ALL;
void entry_session_set_revision(entry_session_t *session,
				uint64_t revision) ATTR_NONNULL_ALL;
void entry_session_start(entry_session_t *session, const route_choice_t *chain,
			 clock_ms_t now) ATTR_NONNULL_ALL;
void entry_session_on_open_reply(entry_session_t *session,
				 const msg_open_reply_t *reply,
				 clock_ms_t now) ATTR_NONNULL_ALL;
void entry_session_on_tokens(entry_session_t *session,
			     const msg_tokens_t *tokens,
			     clock_ms_t now) ATTR_NONNULL_ALL;
void entry_session_on_failed(entry_session_t *session,
			     const msg_session_failed_t *failed,
			     clock_ms_t now) ATTR_NONNULL_ALL;
/* The connection to an agent was opened (again) or lost. */
void entry_session_on_agent_up(entry_session_t *session, const char *address,
			       clock_ms_t now) ATTR_NONNULL_ALL;
void entry_session_on_agent_down(entry_session_t *session, const char *address,
				 clock_ms_t now) ATTR_NONNULL_ALL;
void entry_session_on_cancel(entry_session_t *session,
			     const char *reason) ATTR_NONNULL_ALL;
void entry_session_tick(entry_session_t *session,
			clock_ms_t now) ATTR_NONNULL_ALL;

#endif
