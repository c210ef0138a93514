#ifndef WISTERIA_ROUTE_ROUTER_H
#define WISTERIA_ROUTE_ROUTER_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/route/router_defs.h"

/*
 * Chooses chains of endpoints.  A router is used by one traffic thread only,
 * reads no clock and does no I/O.
 */
typedef struct router_t router_t;

router_t *router_new(const char *region, const char *failure_domain,
		     uint32_t seed) ATTR_NONNULL_ALL;
void router_free(router_t *router);
void router_update(router_t *router, const msg_endpoint_t *endpoints,
		   size_t endpoint_count, const msg_name_t *leaving,
		   size_t leaving_count, clock_ms_t now) ATTR_NONNULL(1);
route_result_t
router_choose(router_t *router, const route_request_t *request, clock_ms_t now,
	      route_choice_t *choice) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
route_result_t router_choose_replacement(
	router_t *router, const route_request_t *request,
	const route_choice_t *chain, size_t lost_hop, clock_ms_t now,
	route_hop_t *replacement) ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void router_session_started(router_t *router,
			    const char *endpoint) ATTR_NONNULL_ALL;
void router_session_finished(router_t *router,
			     const char *endpoint) ATTR_NONNULL_ALL;
void router_record_load(router_t *router, const msg_load_t *load,
			clock_ms_t now) ATTR_NONNULL_ALL;
void router_record_failure(router_t *router, const char *endpoint,
			   clock_ms_t now) ATTR_NONNULL_ALL;
void router_record_link_time(router_t *router, const char *from, const char *to,
			     double ms) ATTR_NONNULL_ALL;

#endif
