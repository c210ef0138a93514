/* Follower: accepts entries and snapshots from the leader. */
#include "wisteria/base/err.h"
#include "wisteria/raft/raft_internal.h"
#include "wisteria/raft/raft_log.h"
#include "wisteria/raft/raft_members.h"

static void reply_append(raft_t *raft, uint64_t to, uint64_t match)
{
	const msg_raft_t reply = {
		.kind = RAFT_MSG_APPEND_REPLY,
		.to = to,
		.log_index = match,
	};

	raft_send(raft, &reply, NULL);
}

/*
 * Returns the last index before "index" that has another term, going back no
 * further than the commit index; the last index of the log if "index" is not
 * in it.
 */
static uint64_t last_index_before_term(const raft_t *raft, uint64_t index)
{
	uint64_t conflict_term = 0;
	uint64_t term = 0;

	if (!raft_log_term(&raft->log, index, &conflict_term))
		return raft_log_last(&raft->log);
	while (index > raft->commit &&
	       raft_log_term(&raft->log, index, &term) && term == conflict_term)
		index--;
	return index;
}

static void reject_append(raft_t *raft, const msg_raft_t *msg)
{
	const msg_raft_t reply = {
		.kind = RAFT_MSG_APPEND_REPLY,
		.to = msg->from,
		.log_index = msg->log_index,
		.reject = true,
		.hint = last_index_before_term(raft, msg->log_index),
	};

	raft_send(raft, &reply, NULL);
}

/*
 * Appends an entry.  A membership takes effect when it is appended, before it
 * is committed (Ongaro 2014, chapter 4); one that cannot be decoded has no
 * effect, as in members_at().
 */
static void append_entry(raft_t *raft, const msg_raft_entry_t *entry)
{
	raft_members_t members;
	err_t err = ERR_INIT;

	raft_log_add(&raft->log, entry->term, entry->kind,
		     g_bytes_new(entry->data.data, entry->data.len));
	if (entry->kind == RAFT_ENTRY_MEMBERS &&
	    raft_members_decode(&members, entry->data.data, entry->data.len,
				&err))
		raft_set_members(raft, &members, entry->index);
	if (entry->kind == RAFT_ENTRY_MEMBERS_COMMITTED)
		raft->committed_entry = entry->index;
}

/*
 * Appends the entries that the log lacks, truncating it at the first conflict.
 * Returns false for a message that no correct leader sends: one with gaps, or
 * in conflict with a committed entry.
 */
static bool append_missing_entries(raft_t *raft, const msg_raft_t *msg)
{
	for (size_t i = 0; i < msg->entry_count; i++) {
		const msg_raft_entry_t *entry = &msg->entries[i];
		uint64_t term = 0;

		if (entry->index != msg->log_index + 1 + i)
			return false;
		if (entry->index <= raft->log.base_index)
			continue;
		if (raft_log_term(&raft->log, entry->index, &term)) {
			if (term == entry->term)
				continue;
			if (entry->index <= raft->commit)
				return false;
			raft_truncate_log(raft, entry->index);
		}
		append_entry(raft, entry);
	}
	return true;
}

static void update_commit(raft_t *raft, uint64_t commit)
{
	uint64_t last = raft_log_last(&raft->log);

	raft->commit = MAX(raft->commit, MIN(commit, last));
}

/* Accepts entries from the leader; the reply is sent once they are synced. */
void raft_on_append(raft_t *raft, const msg_raft_t *msg)
{
	uint64_t last_new = msg->log_index + msg->entry_count;
	uint64_t term = 0;

	if (msg->log_index < raft->log.base_index) {
		reply_append(raft, msg->from, raft->commit);
		return;
	}
	if (!raft_log_term(&raft->log, msg->log_index, &term) ||
	    term != msg->log_term) {
		reject_append(raft, msg);
		return;
	}
	if (!append_missing_entries(raft, msg))
		return;
	update_commit(raft, MIN(msg->commit, last_new));
	reply_append(raft, msg->from, last_new);
}

/*
 * Replies to a heartbeat.  The leader limits "commit" in the message to entries
 * that this log is known to hold.
 */
void raft_on_heartbeat(raft_t *raft, const msg_raft_t *msg)
{
	const msg_raft_t reply = {
		.kind = RAFT_MSG_HEARTBEAT_REPLY,
		.to = msg->from,
		.context = msg->context,
	};

	update_commit(raft, msg->commit);
	raft_send(raft, &reply, NULL);
}

static void request_chunk(raft_t *raft, const msg_raft_t *msg, uint64_t offset)
{
	const msg_raft_t reply = {
		.kind = RAFT_MSG_SNAPSHOT_REPLY,
		.to = msg->from,
		.context = msg->log_index,
		.hint = offset,
	};

	raft_send(raft, &reply, NULL);
}

/*
 * Installs a complete snapshot.  If the log holds its last entry with the same
 * term, the entries after it are kept; otherwise the log is emptied.  The state
 * is restored when raft_next_apply() hands out the snapshot.
 */
static void install_snapshot(raft_t *raft, const msg_raft_t *msg,
			     const raft_members_t *members)
{
	raft_snapshot_t *snapshot = &raft->snapshot;
	uint64_t term = 0;
	bool log_matches = raft_log_term(&raft->log, msg->log_index, &term) &&
			   term == msg->log_term;

	if (snapshot->data != NULL)
		g_bytes_unref(snapshot->data);
	snapshot->index = msg->log_index;
	snapshot->term = msg->log_term;
	snapshot->members = *members;
	snapshot->data = g_byte_array_free_to_bytes(raft->incoming);
	raft->incoming = NULL;
	if (log_matches) {
		raft_log_drop_through(&raft->log, msg->log_index);
	} else {
		raft_truncate_log(raft, raft->log.base_index + 1);
		raft_log_reset(&raft->log, msg->log_index, msg->log_term);
	}
	/* The save replaces the stored log, so it repeats the kept entries. */
	raft->next_save_index = msg->log_index + 1;
	raft->snapshot_dirty = true;
	raft->commit = msg->log_index;
	raft->restore_pending = true;
	raft_reload_members(raft);
}

static bool is_new_snapshot(const raft_t *raft, const msg_raft_t *msg)
{
	return raft->incoming == NULL ||
	       raft->incoming_index != msg->log_index ||
	       raft->incoming_term != msg->log_term;
}

static void append_chunk(raft_t *raft, const msg_raft_t *msg)
{
	if (is_new_snapshot(raft, msg)) {
		if (raft->incoming != NULL)
			g_byte_array_unref(raft->incoming);
		raft->incoming = g_byte_array_new();
		raft->incoming_index = msg->log_index;
		raft->incoming_term = msg->log_term;
	}
	if (raft->incoming->len == msg->snapshot_offset)
		g_byte_array_append(raft->incoming, msg->snapshot.data,
				    (guint)msg->snapshot.len);
}

/*
 * Accepts one chunk of a snapshot.  Once the snapshot is complete, it is
 * installed, and answered like an append when it is synced.
 */
void raft_on_snapshot(raft_t *raft, const msg_raft_t *msg)
{
	raft_members_t members;
	err_t err = ERR_INIT;
	bool complete;

	if (msg->log_index <= raft->commit) {
		reply_append(raft, msg->from, raft->commit);
		return;
	}
	if (!raft_members_decode(&members, msg->members.data, msg->members.len,
				 &err))
		return;
	append_chunk(raft, msg);
	complete =
		msg->snapshot_done &&
		raft->incoming->len == msg->snapshot_offset + msg->snapshot.len;
	if (!complete) {
		request_chunk(raft, msg, raft->incoming->len);
		return;
	}
	install_snapshot(raft, msg, &members);
	reply_append(raft, msg->from, msg->log_index);
}
