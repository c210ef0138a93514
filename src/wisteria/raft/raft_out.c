/*
 * The output of a replica: saves, messages and entries to apply.  A message
 * that depends on a save is held until the save is reported as synced.
 */
#include "wisteria/raft/raft.h"

#include "wisteria/raft/raft_internal.h"
#include "wisteria/raft/raft_log.h"

static bool has_unsaved_changes(const raft_t *raft)
{
	return raft->hard_state_dirty || raft->snapshot_dirty ||
	       raft->next_save_index <= raft_log_last(&raft->log);
}

/* Returns the sequence of the save that covers the current state. */
uint64_t raft_current_save(const raft_t *raft)
{
	return raft->issued_save + (has_unsaved_changes(raft) ? 1 : 0);
}

/* Sets term and vote and marks them to be saved. */
void raft_set_term(raft_t *raft, uint64_t term, uint64_t vote)
{
	if (raft->term == term && raft->vote == vote)
		return;
	raft->term = term;
	raft->vote = vote;
	raft->hard_state_dirty = true;
	raft->hard_state_save = raft_current_save(raft);
}

/*
 * Drops the entry at "index" and all later ones from the log and from pending
 * saves: a save that completes later does not count them as synced.
 */
void raft_truncate_log(raft_t *raft, uint64_t index)
{
	raft_log_truncate_from(&raft->log, index);
	raft->next_save_index = MIN(raft->next_save_index, index);
	raft->synced_index = MIN(raft->synced_index, index - 1);
	for (guint i = 0; i < raft->pending_saves->len; i++) {
		raft_pending_save_t *pending = &g_array_index(
			raft->pending_saves, raft_pending_save_t, i);

		pending->last_index = MIN(pending->last_index, index - 1);
	}
	if (raft->members_index >= index || raft->committed_entry >= index)
		raft_reload_members(raft);
}

/*
 * Hands out the next save; returns false if there is nothing to save.  The
 * caller syncs saves in order; the pointers in "save" are valid until the next
 * call on "raft".
 */
bool raft_next_save(raft_t *raft, raft_save_t *save)
{
	uint64_t last = raft_log_last(&raft->log);
	const raft_pending_save_t pending = { raft->issued_save + 1, last };

	if (!has_unsaved_changes(raft))
		return false;
	*save = (raft_save_t){
		.sequence = ++raft->issued_save,
		.term = raft->term,
		.vote = raft->vote,
		.snapshot = raft->snapshot_dirty ? &raft->snapshot : NULL,
		.first_index = raft->next_save_index,
		.entries = raft_log_get(&raft->log, raft->next_save_index),
		.entry_count = (size_t)(last + 1 - raft->next_save_index),
	};
	g_array_append_val(raft->pending_saves, pending);
	raft->hard_state_dirty = false;
	raft->snapshot_dirty = false;
	raft->next_save_index = last + 1;
	return true;
}

/* Marks the save "sequence" and all earlier ones as synced. */
void raft_saved(raft_t *raft, uint64_t sequence)
{
	GArray *pending = raft->pending_saves;

	while (pending->len > 0) {
		const raft_pending_save_t *first =
			&g_array_index(pending, raft_pending_save_t, 0);

		if (first->sequence > sequence)
			break;
		raft->synced_index = MAX(raft->synced_index, first->last_index);
		g_array_remove_index(pending, 0);
	}
	raft->synced_save = MAX(raft->synced_save, sequence);
	if (raft->role == RAFT_CANDIDATE)
		raft_count_own_vote(raft);
	if (raft->role == RAFT_LEADER)
		raft_advance_commit(raft);
}

/*
 * Queues a message from this replica.  "message" owns the data that "msg"
 * points to, or is NULL; the queue takes ownership of it.
 */
void raft_send(raft_t *raft, const msg_raft_t *msg, raft_message_t *message)
{
	if (message == NULL)
		message = g_new0(raft_message_t, 1);
	message->msg = *msg;
	message->msg.from = raft->id;
	if (message->msg.term == 0)
		message->msg.term = raft->term;
	message->release_after = raft->rules->release_after(raft, msg->kind);
	g_queue_push_tail(&raft->messages, message);
}

/*
 * Returns the next message that may be sent, or NULL; the caller frees it.
 * Entries proposed since the last call are sent in one batch.
 */
raft_message_t *raft_next_message(raft_t *raft)
{
	if (raft->appends_due && raft->role == RAFT_LEADER)
		raft_send_appends(raft);
	raft->appends_due = false;
	for (GList *link = raft->messages.head; link != NULL;
	     link = link->next) {
		raft_message_t *message = link->data;

		if (message->release_after > raft->synced_save)
			continue;
		g_queue_delete_link(&raft->messages, link);
		return message;
	}
	return NULL;
}

/* Frees a message and the data it owns. */
void raft_message_free(raft_message_t *message)
{
	if (message == NULL)
		return;
	if (message->owned != NULL)
		g_ptr_array_unref(message->owned);
	g_free(message->entries);
	g_free(message);
}

/*
 * Drops messages that wait for a save.  They belong to an older term, and the
 * entries that they acknowledge may be truncated before they are synced.
 */
void raft_drop_held_messages(raft_t *raft)
{
	GList *link = raft->messages.head;

	while (link != NULL) {
		GList *next = link->next;
		raft_message_t *message = link->data;

		if (message->release_after > raft->synced_save) {
			raft_message_free(message);
			g_queue_delete_link(&raft->messages, link);
		}
		link = next;
	}
}

/*
 * Hands out the next committed entry or snapshot and marks it as applied;
 * returns false if there is none.  The pointers are valid until the next call
 * on "raft".
 */
bool raft_next_apply(raft_t *raft, raft_apply_t *apply)
{
	*apply = (raft_apply_t){ .snapshot = NULL };
	if (raft->restore_pending) {
		raft->restore_pending = false;
		raft->applied = raft->snapshot.index;
		apply->snapshot = &raft->snapshot;
		return true;
	}
	if (raft->applied >= raft->commit)
		return false;
	apply->entry = raft_log_get(&raft->log, ++raft->applied);
	return true;
}

/* Hands out the next confirmed batch of reads; false if there is none. */
bool raft_next_read(raft_t *raft, raft_read_t *read)
{
	if (raft->read_results->len == 0)
		return false;
	*read = g_array_index(raft->read_results, raft_read_t, 0);
	g_array_remove_index(raft->read_results, 0);
	return true;
}
