#ifndef WISTERIA_BASE_MAILBOX_DEFS_H
#define WISTERIA_BASE_MAILBOX_DEFS_H

#include <ck_stack.h>
#include <uv.h>

/*
 * Something for another thread to do.  It stands first in a struct that the
 * poster allocates; run() takes over that memory.
 */
typedef struct task_t {
	ck_stack_entry_t entry;
	void (*run)(struct task_t *self);
} task_t;

/* Where other threads leave tasks for the thread of one event loop. */
typedef struct {
	ck_stack_t posted;
	uv_async_t wakeup;
} mailbox_t;

#endif
