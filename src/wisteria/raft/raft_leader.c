/* Leader: appends, snapshots to members that lag, and commit. */
#include "wisteria/raft/raft.h"
#include "wisteria/raft/raft_internal.h"
#include "wisteria/raft/raft_log.h"
#include "wisteria/raft/raft_members.h"

static void reset_progress(raft_t *raft)
{
	for (uint32_t i = 0; i < raft->members.count; i++)
		raft->progress[i] = (raft_progress_t){
			.id = raft->members.items[i].id,
			.next = raft_log_last(&raft->log) + 1,
			.last_heard_ms = raft->now_ms,
			.probed_ms = raft->now_ms - RAFT_HEARTBEAT_MS,
		};
}

/* Becomes leader; entries of earlier terms commit with the no-op entry. */
void raft_become_leader(raft_t *raft)
{
	raft->role = RAFT_LEADER;
	raft->leader = raft->id;
	raft->transfer_to = 0;
	reset_progress(raft);
	raft_reads_role_changed(raft);
	raft_log_add(&raft->log, raft->term, RAFT_ENTRY_NOOP,
		     g_bytes_new(NULL, 0));
	raft->quorum_check_at_ms = raft->now_ms + RAFT_ELECTION_TIMEOUT_MS;
	raft->heartbeat_at_ms = raft->now_ms + RAFT_HEARTBEAT_MS;
	raft_send_heartbeats(raft);
	raft->appends_due = true;
}

static uint64_t match_of(const raft_t *raft, const raft_progress_t *progress)
{
	return progress->id == raft->id ? raft->synced_index : progress->match;
}

static bool has_synced(const raft_t *raft, const raft_progress_t *progress,
		       uint64_t index)
{
	return match_of(raft, progress) >= index;
}

/* Returns the last index above the commit index that a quorum holds, or 0. */
static uint64_t quorum_match(const raft_t *raft)
{
	uint64_t best = 0;

	for (uint32_t i = 0; i < raft->members.count; i++) {
		uint64_t match = match_of(raft, &raft->progress[i]);

		if (match > raft->commit && match > best &&
		    raft_is_quorum(raft, has_synced, match))
			best = match;
	}
	return best;
}

/*
 * Writes into the log that the membership is committed, for replicas that start
 * with it and know no commit index.
 */
static void log_members_committed(raft_t *raft)
{
	if (raft->committed_entry != 0 || raft->commit < raft->members_index ||
	    raft->members_index <= raft->snapshot.index)
		return;
	raft_log_add(&raft->log, raft->term, RAFT_ENTRY_MEMBERS_COMMITTED,
		     g_bytes_new(NULL, 0));
	raft->committed_entry = raft_log_last(&raft->log);
}

/* Commits the entries that a quorum has synced, if the rules allow it. */
void raft_advance_commit(raft_t *raft)
{
	uint64_t index = quorum_match(raft);

	if (index <= raft->commit || !raft->rules->may_commit(raft, index))
		return;
	raft->commit = index;
	log_members_committed(raft);
	raft->appends_due = true;
	raft_reads_begin_round(raft);
}

static void attach_entries(const raft_t *raft, raft_message_t *message,
			   uint64_t first)
{
	size_t bytes = 0;
	size_t count = 0;
	const raft_entry_t *entry = raft_log_get(&raft->log, first);
	uint64_t last = raft_log_last(&raft->log);

	message->entries = g_new(msg_raft_entry_t, RAFT_APPEND_ENTRIES_MAX);
	message->owned =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	for (; first + count <= last && count < RAFT_APPEND_ENTRIES_MAX &&
	       bytes < RAFT_APPEND_BYTES_MAX;
	     count++, entry++) {
		msg_raft_entry_t *out = &message->entries[count];

		*out = (msg_raft_entry_t){
			.index = entry->index,
			.term = entry->term,
			.kind = entry->kind,
		};
		out->data.data = g_bytes_get_data(entry->data, &out->data.len);
		g_ptr_array_add(message->owned, g_bytes_ref(entry->data));
		bytes += out->data.len;
	}
	message->msg.entry_count = count;
}

static void send_entries(raft_t *raft, raft_progress_t *progress)
{
	raft_message_t *message = g_new0(raft_message_t, 1);
	msg_raft_t msg = {
		.kind = RAFT_MSG_APPEND,
		.to = progress->id,
		.log_index = progress->next - 1,
		.commit = raft->commit,
	};

	if (!raft_log_term(&raft->log, msg.log_index, &msg.log_term)) {
		raft_message_free(message);
		return;
	}
	if (progress->next <= raft_log_last(&raft->log))
		attach_entries(raft, message, progress->next);
	msg.entries = message->entries;
	msg.entry_count = message->msg.entry_count;
	progress->commit_sent = raft->commit;
	progress->probed_ms = raft->now_ms;
	if (progress->state == PROGRESS_REPLICATE)
		progress->next += msg.entry_count;
	raft_send(raft, &msg, message);
}

static void send_chunk(raft_t *raft, raft_progress_t *progress)
{
	raft_message_t *message = g_new0(raft_message_t, 1);
	const raft_snapshot_t *snapshot = &raft->snapshot;
	size_t len = 0;
	const uint8_t *data = g_bytes_get_data(snapshot->data, &len);
	size_t offset = progress->snapshot_offset;
	size_t count = MIN(len - offset, (size_t)RAFT_SNAPSHOT_CHUNK_BYTES);
	GBytes *members = raft_members_encode(&snapshot->members);
	msg_raft_t msg = {
		.kind = RAFT_MSG_SNAPSHOT,
		.to = progress->id,
		.log_index = snapshot->index,
		.log_term = snapshot->term,
		.commit = raft->commit,
		.snapshot = { data == NULL ? NULL : data + offset, count },
		.snapshot_offset = offset,
		.snapshot_done = offset + count == len,
	};

	msg.members.data = g_bytes_get_data(members, &msg.members.len);
	message->owned =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	g_ptr_array_add(message->owned, members);
	g_ptr_array_add(message->owned, g_bytes_ref(snapshot->data));
	progress->probed_ms = raft->now_ms;
	raft_send(raft, &msg, message);
}

static void begin_snapshot(raft_t *raft, raft_progress_t *progress)
{
	if (raft->snapshot.data == NULL)
		return;
	progress->state = PROGRESS_SNAPSHOT;
	progress->snapshot_index = raft->snapshot.index;
	progress->snapshot_offset = 0;
	send_chunk(raft, progress);
}

static bool has_updates_to_send(const raft_t *raft,
				const raft_progress_t *progress)
{
	uint64_t last = raft_log_last(&raft->log);

	if (progress->next - 1 - progress->match >= RAFT_IN_FLIGHT_ENTRIES_MAX)
		return false;
	return progress->next <= last || progress->commit_sent < raft->commit;
}

static void send_append(raft_t *raft, raft_progress_t *progress)
{
	bool probed_recently =
		raft->now_ms - progress->probed_ms < RAFT_HEARTBEAT_MS;

	if (progress->state != PROGRESS_REPLICATE && probed_recently)
		return;
	if (progress->state == PROGRESS_SNAPSHOT &&
	    progress->snapshot_index == raft->snapshot.index) {
		send_chunk(raft, progress);
		return;
	}
	if (progress->next <= raft->log.base_index) {
		begin_snapshot(raft, progress);
		return;
	}
	do
		send_entries(raft, progress);
	while (progress->state == PROGRESS_REPLICATE &&
	       has_updates_to_send(raft, progress));
}

/*
 * Sends every member the entries, snapshot chunk or commit index that it
 * lacks, within the in-flight limit.
 */
void raft_send_appends(raft_t *raft)
{
	for (uint32_t i = 0; i < raft->members.count; i++) {
		raft_progress_t *progress = &raft->progress[i];

		if (progress->id == raft->id)
			continue;
		if (progress->state == PROGRESS_REPLICATE &&
		    !has_updates_to_send(raft, progress))
			continue;
		send_append(raft, progress);
	}
}

/*
 * Sends every member a heartbeat, with the commit index limited to entries
 * that the member is known to hold.
 */
void raft_send_heartbeats(raft_t *raft)
{
	for (uint32_t i = 0; i < raft->members.count; i++) {
		const raft_progress_t *progress = &raft->progress[i];
		const msg_raft_t msg = {
			.kind = RAFT_MSG_HEARTBEAT,
			.to = progress->id,
			.commit = MIN(raft->commit, progress->match),
			.context = raft->round,
		};

		if (progress->id != raft->id)
			raft_send(raft, &msg, NULL);
	}
}

static void send_timeout_now(raft_t *raft, const raft_progress_t *progress)
{
	const msg_raft_t msg = {
		.kind = RAFT_MSG_TIMEOUT_NOW,
		.to = progress->id,
	};

	if (progress->id == raft->transfer_to &&
	    progress->match == raft_log_last(&raft->log))
		raft_send(raft, &msg, NULL);
}

static void on_append_rejected(raft_t *raft, raft_progress_t *progress,
			       const msg_raft_t *msg)
{
	if (msg->log_index <= progress->match)
		return;
	progress->state = PROGRESS_PROBE;
	progress->next =
		MAX(progress->match, MIN(msg->hint, msg->log_index - 1)) + 1;
	progress->probed_ms = raft->now_ms - RAFT_HEARTBEAT_MS;
	send_append(raft, progress);
}

/* Handles a member's reply: entries synced, or an append rejected. */
void raft_on_append_reply(raft_t *raft, const msg_raft_t *msg)
{
	raft_progress_t *progress = raft_progress(raft, msg->from);

	if (raft->role != RAFT_LEADER || progress == NULL)
		return;
	progress->last_heard_ms = raft->now_ms;
	if (progress->state == PROGRESS_SNAPSHOT && msg->reject)
		return;
	if (msg->reject) {
		on_append_rejected(raft, progress, msg);
		return;
	}
	if (msg->log_index > raft_log_last(&raft->log))
		return;
	progress->match = MAX(progress->match, msg->log_index);
	progress->next = MAX(progress->next, progress->match + 1);
	if (progress->state != PROGRESS_SNAPSHOT ||
	    progress->match >= progress->snapshot_index)
		progress->state = PROGRESS_REPLICATE;
	raft_advance_commit(raft);
	send_timeout_now(raft, progress);
	raft->appends_due = true;
}

/* Resends entries if "match" has not moved since the last heartbeat reply. */
static void resend_if_stalled(raft_t *raft, raft_progress_t *progress)
{
	bool stalled = progress->match == progress->match_at_heartbeat;

	progress->match_at_heartbeat = progress->match;
	if (!stalled || progress->match == raft_log_last(&raft->log))
		return;
	if (progress->state == PROGRESS_REPLICATE) {
		progress->state = PROGRESS_PROBE;
		progress->next = progress->match + 1;
	}
	send_append(raft, progress);
}

/* Handles a heartbeat reply; it may also confirm a round of reads. */
void raft_on_heartbeat_reply(raft_t *raft, const msg_raft_t *msg)
{
	raft_progress_t *progress = raft_progress(raft, msg->from);

	if (raft->role != RAFT_LEADER || progress == NULL)
		return;
	progress->last_heard_ms = raft->now_ms;
	progress->acked_round = MAX(progress->acked_round, msg->context);
	raft_reads_check_round(raft);
	resend_if_stalled(raft, progress);
}

/* Sends the snapshot chunk at the offset that a member requests. */
void raft_on_snapshot_reply(raft_t *raft, const msg_raft_t *msg)
{
	raft_progress_t *progress = raft_progress(raft, msg->from);

	if (raft->role != RAFT_LEADER || progress == NULL)
		return;
	progress->last_heard_ms = raft->now_ms;
	if (progress->state != PROGRESS_SNAPSHOT ||
	    msg->context != progress->snapshot_index ||
	    msg->context != raft->snapshot.index)
		return;
	if (msg->hint > g_bytes_get_size(raft->snapshot.data))
		return;
	progress->snapshot_offset = msg->hint;
	send_chunk(raft, progress);
}
