#ifndef WISTERIA_ENTRY_AGENT_LINKS_H
#define WISTERIA_ENTRY_AGENT_LINKS_H

#include <glib.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/net/net_defs.h"

/* Links to agents, one per address, created on first use. */
typedef struct {
	net_t *net;
	conn_handler_t *handler;
	GHashTable *by_address; /* address -> link_t */
} agent_links_t;

void agent_links_init(agent_links_t *links, net_t *net,
		      conn_handler_t *handler) ATTR_NONNULL_ALL;
void agent_links_finish(agent_links_t *links) ATTR_NONNULL_ALL;
link_t *agent_links_get(agent_links_t *links,
			const char *address) ATTR_NONNULL_ALL;

#endif
