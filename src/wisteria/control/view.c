/*
 * Publishes immutable views from the control thread to traffic threads with
 * epoch-based reclamation (Fraser, "Practical lock-freedom", 2004): readers
 * take no lock, and a replaced view is freed once no reader can still use it.
 */
#include "wisteria/control/view.h"

#include <stdlib.h>
#include <string.h>

#include <ck_pr.h>
#include <glib.h>

CK_EPOCH_CONTAINER(view_t, reclaim, view_of_entry)

static void free_view(ck_epoch_entry_t *entry)
{
	view_t *view = view_of_entry(entry);

	view->release(view);
}

/* Initializes a board without a view. */
void view_board_init(view_board_t *board)
{
	memset(board, 0, sizeof(*board));
	board->records = g_ptr_array_new_with_free_func(g_aligned_free);
	ck_epoch_init(&board->epoch);
	ck_epoch_register(&board->epoch, &board->writer, NULL);
}

/* Frees the last view and the records; all readers must have finished. */
void view_board_finish(view_board_t *board)
{
	ck_epoch_barrier(&board->writer);
	if (board->current != NULL)
		board->current->release(board->current);
	board->current = NULL;
	g_ptr_array_free(board->records, TRUE);
}

/*
 * Replaces the current view.  Called by the control thread only.  The board
 * takes ownership of "view" and frees it by its release function.
 */
void view_publish(view_board_t *board, view_t *view)
{
	view_t *old = board->current;

	ck_pr_fence_store();
	ck_pr_store_ptr(&board->current, view);
	if (old != NULL)
		ck_epoch_call(&board->writer, &old->reclaim, free_view);
	ck_epoch_poll(&board->writer);
}

/*
 * Registers a reader for one thread, before the threads run.  ck_epoch keeps
 * its record until the board is freed.
 */
void view_reader_init(view_reader_t *reader, view_board_t *board)
{
	reader->board = board;
	reader->record =
		g_aligned_alloc0(1, sizeof(ck_epoch_record_t), CK_MD_CACHELINE);
	g_ptr_array_add(board->records, reader->record);
	ck_epoch_register(&board->epoch, reader->record, NULL);
}

/* Unregisters a reader; its record stays in the board for ck_epoch. */
void view_reader_finish(view_reader_t *reader)
{
	ck_epoch_unregister(reader->record);
}

/*
 * Returns the current view, or NULL if none is published yet.  It is valid
 * until view_exit(), which must be called in the same loop iteration.
 */
const view_t *view_enter(view_reader_t *reader)
{
	ck_epoch_begin(reader->record, NULL);
	return ck_pr_load_ptr(&reader->board->current);
}

/* Ends the use of the view that view_enter() returned. */
void view_exit(view_reader_t *reader)
{
	ck_epoch_end(reader->record, NULL);
}

/* Returns whether "endpoint" is leaving, by an order or with its daemon. */
bool view_is_leaving(const view_t *view, const char *endpoint)
{
	for (size_t i = 0; i < view->leaving_count; i++)
		if (strcmp(view->leaving[i].text, endpoint) == 0)
			return true;
	return false;
}
