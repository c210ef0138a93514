#ifndef WISTERIA_AGENT_AGENT_SESSION_TABLE_H
#define WISTERIA_AGENT_AGENT_SESSION_TABLE_H

#include "wisteria/agent/agent_defs.h"

/* How long a session is kept after its caller's deadline. */
#define AGENT_SESSION_GRACE_MS 5000

agent_session_t *agent_session_find(const agent_t *agent, uint64_t session,
				    uint32_t hop) ATTR_NONNULL_ALL;
const msg_hop_t *agent_session_hop(const agent_session_t *session,
				   uint32_t hop) ATTR_NONNULL_ALL;
uint32_t
agent_session_hop_count(const agent_session_t *session) ATTR_NONNULL_ALL;
void agent_session_set_entry(agent_session_t *session, conn_t *conn)
	ATTR_NONNULL(1);
void agent_session_release_peers(agent_session_t *session) ATTR_NONNULL_ALL;
void agent_session_acquire_peers(agent_session_t *session) ATTR_NONNULL_ALL;
agent_session_t *agent_session_new(agent_t *agent, agent_endpoint_t *endpoint,
				   const msg_open_t *open) ATTR_NONNULL_ALL;
uint32_t agent_session_highest_closed(const agent_t *agent,
				      uint64_t session) ATTR_NONNULL_ALL;
void agent_session_mark_closed(agent_t *agent, uint64_t session,
			       uint32_t attempt) ATTR_NONNULL_ALL;
void agent_session_purge_closed(agent_t *agent,
				clock_ms_t now) ATTR_NONNULL_ALL;

#endif
