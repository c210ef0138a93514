#ifndef WISTERIA_DAEMON_CONTROL_ADMIN_H
#define WISTERIA_DAEMON_CONTROL_ADMIN_H

#include "wisteria/admin/admin_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/control/control.h"

/*
 * The admin backend of the control role: the HTTP thread submits operators'
 * requests, the control thread answers them.
 */
typedef struct {
	admin_backend_t backend;
	mailbox_t *mailbox; /* of the control thread */
	control_t *control;
	const char *instance;
} control_admin_t;

void control_admin_init(control_admin_t *admin, mailbox_t *mailbox,
			control_t *control,
			const char *instance) ATTR_NONNULL_ALL;

#endif
