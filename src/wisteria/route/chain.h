#ifndef WISTERIA_ROUTE_CHAIN_H
#define WISTERIA_ROUTE_CHAIN_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/base/table_defs.h"
#include "wisteria/route/chain_defs.h"
#include "wisteria/route/target_defs.h"

/* The input of a search for a chain. */
typedef struct {
	const table_t *candidates;
	const links_t *links;
	const target_t *target;
	const route_request_t *request;
	link_end_t entry;
} chain_search_t;

void chain_workspace_finish(chain_workspace_t *workspace) ATTR_NONNULL_ALL;
int chain_find(chain_workspace_t *workspace,
	       const chain_search_t *search) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void chain_write(const chain_workspace_t *workspace, int last,
		 route_choice_t *choice) ATTR_NONNULL_ALL;
void chain_write_hop(const chain_node_t *node,
		     route_hop_t *hop) ATTR_NONNULL_ALL;
size_t
chain_candidates(const chain_search_t *search, const range_t *range,
		 chain_node_t nodes[CHAIN_CANDIDATES_MAX]) ATTR_NONNULL_ALL;

#endif
