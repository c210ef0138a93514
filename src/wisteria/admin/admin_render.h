#ifndef WISTERIA_ADMIN_ADMIN_RENDER_H
#define WISTERIA_ADMIN_ADMIN_RENDER_H

#include <stdbool.h>

#include "wisteria/admin/admin_defs.h"
#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"

char *admin_render_order(const msg_order_reply_t *reply) ATTR_NONNULL_ALL;
char *admin_render_state(const admin_job_t *job, const admin_state_t *state,
			 unsigned *http_status) ATTR_NONNULL_ALL;
char *admin_render_err(const err_t *err) ATTR_NONNULL_ALL;
const char *admin_outcome_name(uint32_t outcome);

#endif
