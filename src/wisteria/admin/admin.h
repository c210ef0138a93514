#ifndef WISTERIA_ADMIN_ADMIN_H
#define WISTERIA_ADMIN_ADMIN_H

#include "wisteria/admin/admin_defs.h"
#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"

/* The HTTP interface for operators. */
typedef struct admin_t admin_t;

admin_t *admin_new(const char *address, const char *token_file,
		   admin_backend_t *backend, err_t *err) ATTR_WARN_UNUSED;
void admin_free(admin_t *admin);
unsigned admin_port(const admin_t *admin) ATTR_NONNULL_ALL;
void admin_job_reply_order(admin_job_t *job,
			   const msg_order_reply_t *reply) ATTR_NONNULL_ALL;
void admin_job_reply_unknown(admin_job_t *job,
			     const char *reason) ATTR_NONNULL_ALL;
void admin_job_reply_state(admin_job_t *job,
			   const admin_state_t *state) ATTR_NONNULL_ALL;

#endif
