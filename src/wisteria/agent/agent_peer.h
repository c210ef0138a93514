#ifndef WISTERIA_AGENT_AGENT_PEER_H
#define WISTERIA_AGENT_AGENT_PEER_H

#include "wisteria/agent/agent_defs.h"

agent_peer_t *agent_peer_acquire(agent_t *agent,
				 const char *address) ATTR_NONNULL_ALL;
void agent_peer_release(agent_peer_t *peer);
void agent_peer_send(agent_t *agent, const char *address, msg_type_t type,
		     const void *body) ATTR_NONNULL_ALL;
void agent_peer_reply(agent_t *agent, conn_t *conn, msg_type_t type,
		      const void *body) ATTR_NONNULL(1, 4);
void agent_peer_handle_local(agent_t *agent) ATTR_NONNULL_ALL;
void agent_peer_tick(agent_t *agent, clock_ms_t now) ATTR_NONNULL_ALL;
void agent_peer_free(gpointer data);

#endif
