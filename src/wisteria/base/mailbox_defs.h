#ifndef WISTERIA_BASE_MAILBOX_DEFS_H
#define WISTERIA_BASE_MAILBOX_DEFS_H

#include <ck_stack.h>
#include <uv.h>

/*
 * A task for another thread.  It is the first member of a struct that the
 * poster allocates; run() takes ownership of that memory.
 */
typedef struct task_t {
	ck_stack_entry_t entry;
	void (*run)(struct task_t *self);
} task_t;

/* The tasks that other threads post to the thread of one event loop. */
typedef struct {
	ck_stack_t posted;
	uv_async_t wakeup;
} mailbox_t;

#endif
