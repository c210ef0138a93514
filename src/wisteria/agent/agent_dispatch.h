#ifndef WISTERIA_AGENT_AGENT_DISPATCH_H
#define WISTERIA_AGENT_AGENT_DISPATCH_H

#include "wisteria/agent/agent_defs.h"

void agent_dispatch(agent_t *agent, conn_t *conn, const msg_t *msg)
	ATTR_NONNULL(1, 3);
void agent_on_local_idle(uv_idle_t *idle);

#endif
