/* Links from one traffic thread to agents. */
#include "wisteria/entry/agent_links.h"

#include <string.h>

#include "wisteria/net/link.h"

static void free_link(gpointer data)
{
	link_t *link = data;

	link_finish(link);
	g_free(link);
}

/* Initializes an empty set; "handler" receives the events of all its links. */
void agent_links_init(agent_links_t *links, net_t *net, conn_handler_t *handler)
{
	links->net = net;
	links->handler = handler;
	links->by_address = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, free_link);
}

/* Closes and frees all links. */
void agent_links_finish(agent_links_t *links)
{
	g_hash_table_destroy(links->by_address);
}

/*
 * Returns the link to "address"; a new one is created, and starts to connect,
 * if there is none.
 */
link_t *agent_links_get(agent_links_t *links, const char *address)
{
	link_t *link = g_hash_table_lookup(links->by_address, address);

	if (link != NULL)
		return link;
	link = g_new0(link_t, 1);
	link_init(link, links->net, address, links->handler);
	g_hash_table_insert(links->by_address, g_strdup(address), link);
	return link;
}
