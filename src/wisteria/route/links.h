#ifndef WISTERIA_ROUTE_LINKS_H
#define WISTERIA_ROUTE_LINKS_H

#include <stddef.h>

#include "wisteria/base/macros_defs.h"
#include "wisteria/route/links_defs.h"

void links_init(links_t *links) ATTR_NONNULL_ALL;
void links_finish(links_t *links) ATTR_NONNULL_ALL;
uint32_t links_domain_id(links_t *links, const char *domain,
			 const char *region) ATTR_NONNULL_ALL;
uint32_t links_instance_id(links_t *links, const char *instance,
			   uint32_t domain) ATTR_NONNULL_ALL;
void links_record_time(links_t *links, const char *from, const char *to,
		       double ms) ATTR_NONNULL_ALL;
double links_time(const links_t *links, const link_end_t *from,
		  const link_end_t *to) ATTR_NONNULL_ALL;

/* Returns the one-way time between two failure domains, in milliseconds. */
static inline double links_domain_time(const links_t *links, uint32_t from,
				       uint32_t to)
{
	return links->times[(size_t)from * links->domain_capacity + to];
}

/* Returns whether any link from the instance of "end" is an exception. */
static inline bool links_has_exceptions(const links_t *links,
					const link_end_t *end)
{
	return end->instance != LINK_NO_INSTANCE &&
	       g_array_index(links->instances, link_instance_t, end->instance)
			       .exception_count > 0;
}

#endif
