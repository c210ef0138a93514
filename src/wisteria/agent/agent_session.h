#ifndef WISTERIA_AGENT_AGENT_SESSION_H
#define WISTERIA_AGENT_AGENT_SESSION_H

#include "wisteria/agent/agent_defs.h"

void agent_session_init(agent_t *agent) ATTR_NONNULL_ALL;
void agent_session_finish(agent_t *agent) ATTR_NONNULL_ALL;
void agent_session_tick(agent_t *agent, clock_ms_t now) ATTR_NONNULL_ALL;
void agent_session_on_peer_up(agent_t *agent, const char *address,
			      uint64_t incarnation) ATTR_NONNULL_ALL;
void agent_session_on_peer_down(agent_t *agent,
				const char *address) ATTR_NONNULL_ALL;
void agent_session_on_entry_down(agent_t *agent,
				 const conn_t *conn) ATTR_NONNULL_ALL;
void agent_session_on_engine_done(engine_handler_t *self,
				  const engine_key_t *key, uint32_t attempt,
				  const hop_result_t *result) ATTR_NONNULL_ALL;
void agent_session_on_engine_failed(engine_handler_t *self,
				    const engine_key_t *key, uint32_t attempt,
				    const char *reason) ATTR_NONNULL_ALL;

void agent_session_on_open(agent_t *agent, conn_t *conn, const msg_t *msg);
void agent_session_on_start(agent_t *agent, conn_t *conn, const msg_t *msg);
void agent_session_on_tokens_ack(agent_t *agent, conn_t *conn,
				 const msg_t *msg);
void agent_session_on_resume(agent_t *agent, conn_t *conn, const msg_t *msg);
void agent_session_on_reroute(agent_t *agent, conn_t *conn, const msg_t *msg);
void agent_session_on_takeover(agent_t *agent, conn_t *conn, const msg_t *msg);
void agent_session_on_close(agent_t *agent, conn_t *conn, const msg_t *msg);
void agent_session_on_failed(agent_t *agent, conn_t *conn, const msg_t *msg);
void agent_session_on_step(agent_t *agent, conn_t *conn, const msg_t *msg);
void agent_session_on_step_ack(agent_t *agent, conn_t *conn, const msg_t *msg);
void agent_session_on_step_result(agent_t *agent, conn_t *conn,
				  const msg_t *msg);

#endif
