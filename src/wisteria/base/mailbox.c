/*
 * A lock-free task queue: any thread may post, and the loop's thread runs the
 * tasks in the order in which they were posted.
 */
#include "wisteria/base/mailbox.h"

CK_STACK_CONTAINER(task_t, entry, task_of_entry)

static void run_posted(mailbox_t *mailbox)
{
	ck_stack_entry_t *entry = ck_stack_batch_pop_upmc(&mailbox->posted);
	ck_stack_entry_t *ordered = NULL;

	while (entry != NULL) {
		ck_stack_entry_t *next = entry->next;

		entry->next = ordered;
		ordered = entry;
		entry = next;
	}
	while (ordered != NULL) {
		task_t *task = task_of_entry(ordered);

		ordered = ordered->next;
		task->run(task);
	}
}

static void on_wakeup(uv_async_t *wakeup)
{
	run_posted(wakeup->data);
}

/* Attaches "mailbox" to "loop"; called on the loop's thread. */
void mailbox_init(mailbox_t *mailbox, uv_loop_t *loop)
{
	ck_stack_init(&mailbox->posted);
	uv_async_init(loop, &mailbox->wakeup, on_wakeup);
	mailbox->wakeup.data = mailbox;
}

/* Queues "task" for the loop's thread; may be called on any thread. */
void mailbox_post(mailbox_t *mailbox, task_t *task)
{
	ck_stack_push_upmc(&mailbox->posted, &task->entry);
	uv_async_send(&mailbox->wakeup);
}

/*
 * Runs the posted tasks and detaches from the loop.  No thread may post any
 * more; "mailbox" may be freed once the loop has run to its end.
 */
void mailbox_close(mailbox_t *mailbox)
{
	run_posted(mailbox);
	uv_close((uv_handle_t *)&mailbox->wakeup, NULL);
}
