#ifndef WISTERIA_DAEMON_OPERATORS_H
#define WISTERIA_DAEMON_OPERATORS_H

#include "wisteria/admin/admin_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/control/control.h"

/*
 * Answers operators' questions from the control role: the HTTP thread submits
 * them, the control thread answers.
 */
typedef struct {
	admin_backend_t backend;
	mailbox_t *mailbox; /* of the control thread */
	control_t *control;
	const char *instance;
} operators_t;

void operators_init(operators_t *operators, mailbox_t *mailbox,
		    control_t *control, const char *instance) ATTR_NONNULL_ALL;

#endif
