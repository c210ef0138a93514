#ifndef WISTERIA_AGENT_AGENT_CALL_H
#define WISTERIA_AGENT_AGENT_CALL_H

#include "wisteria/agent/agent_defs.h"

void agent_call_init(agent_t *agent) ATTR_NONNULL_ALL;
void agent_call_finish(agent_t *agent) ATTR_NONNULL_ALL;
void agent_call_tick(agent_t *agent, clock_ms_t now) ATTR_NONNULL_ALL;
void agent_call_on_entry_down(agent_t *agent,
			      const conn_t *conn) ATTR_NONNULL_ALL;
void agent_call_on_call(agent_t *agent, conn_t *conn, const msg_t *msg);
void agent_call_on_cancel(agent_t *agent, conn_t *conn, const msg_t *msg);

#endif
