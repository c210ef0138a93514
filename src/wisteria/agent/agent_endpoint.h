#ifndef WISTERIA_AGENT_AGENT_ENDPOINT_H
#define WISTERIA_AGENT_AGENT_ENDPOINT_H

#include "wisteria/agent/agent_defs.h"

agent_endpoint_t *agent_endpoint_find(const agent_t *agent,
				      const char *name) ATTR_NONNULL_ALL;
refusal_t agent_endpoint_check_admission(agent_t *agent,
					 const agent_endpoint_t *endpoint,
					 uint64_t revision) ATTR_NONNULL_ALL;
msg_load_t
agent_endpoint_load(const agent_endpoint_t *endpoint) ATTR_NONNULL_ALL;

#endif
