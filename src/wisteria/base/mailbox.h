#ifndef WISTERIA_BASE_MAILBOX_H
#define WISTERIA_BASE_MAILBOX_H

#include "wisteria/base/macros_defs.h"
#include "wisteria/base/mailbox_defs.h"

void mailbox_init(mailbox_t *mailbox, uv_loop_t *loop) ATTR_NONNULL_ALL;
void mailbox_post(mailbox_t *mailbox, task_t *task) ATTR_NONNULL_ALL;
void mailbox_close(mailbox_t *mailbox) ATTR_NONNULL_ALL;

#endif
