#ifndef WISTERIA_ADMIN_ADMIN_ROUTE_H
#define WISTERIA_ADMIN_ADMIN_ROUTE_H

#include <stddef.h>

#include "wisteria/admin/admin_defs.h"
#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"

/* The result of a route lookup. */
typedef enum {
	ADMIN_ROUTE_FOUND,
	ADMIN_ROUTE_UNKNOWN_PATH,
	ADMIN_ROUTE_UNKNOWN_METHOD
} admin_route_result_t;

admin_route_result_t admin_route(admin_job_t *job, const char *method,
				 const char *path) ATTR_NONNULL_ALL;
bool admin_read_order(admin_job_t *job, const char *body, size_t len,
		      err_t *err) ATTR_WARN_UNUSED ATTR_NONNULL(1, 2);
void admin_job_finish(admin_job_t *job) ATTR_NONNULL_ALL;

#endif
