/*
 * A replicated log that implements Raft (Ongaro and Ousterhout, "In search of
 * an understandable consensus algorithm", 2014; Ongaro, "Consensus: bridging
 * theory and practice", 2014) as a state machine without I/O or clock.  The
 * caller passes in messages and the time, and takes out saves, messages and
 * committed entries (raft_out.c).
 */
#include "wisteria/raft/raft.h"

#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/raft/raft_internal.h"
#include "wisteria/raft/raft_log.h"
#include "wisteria/raft/raft_members.h"

typedef void (*raft_handler_t)(raft_t *raft, const msg_raft_t *msg);

typedef struct {
	raft_handler_t handle;
	bool from_leader;
} raft_msg_info_t;

static const raft_msg_info_t msg_info[RAFT_MSG_COUNT] = {
	[RAFT_MSG_PRE_VOTE] = { raft_on_pre_vote, false },
	[RAFT_MSG_PRE_VOTE_REPLY] = { raft_on_vote_reply, false },
	[RAFT_MSG_VOTE] = { raft_on_vote, false },
	[RAFT_MSG_VOTE_REPLY] = { raft_on_vote_reply, false },
	[RAFT_MSG_APPEND] = { raft_on_append, true },
	[RAFT_MSG_APPEND_REPLY] = { raft_on_append_reply, false },
	[RAFT_MSG_HEARTBEAT] = { raft_on_heartbeat, true },
	[RAFT_MSG_HEARTBEAT_REPLY] = { raft_on_heartbeat_reply, false },
	[RAFT_MSG_SNAPSHOT] = { raft_on_snapshot, true },
	[RAFT_MSG_SNAPSHOT_REPLY] = { raft_on_snapshot_reply, false },
	[RAFT_MSG_READ] = { raft_on_read, false },
	[RAFT_MSG_READ_REPLY] = { raft_on_read_reply, false },
	[RAFT_MSG_TIMEOUT_NOW] = { raft_on_timeout_now, true },
};

static uint64_t release_after_sync(const raft_t *raft, uint32_t kind)
{
	switch (kind) {
	case RAFT_MSG_VOTE:
	case RAFT_MSG_VOTE_REPLY:
	case RAFT_MSG_HEARTBEAT_REPLY:
		return raft->hard_state_save;
	case RAFT_MSG_APPEND_REPLY:
	case RAFT_MSG_SNAPSHOT_REPLY:
		return raft_current_save(raft);
	default:
		return 0;
	}
}

/*
 * Section 5.4.2 of the 2014 paper: a leader never commits an entry of an older
 * term by counting replicas.
 */
static bool is_in_current_term(const raft_t *raft, uint64_t index)
{
	uint64_t term = 0;

	return raft_log_term(&raft->log, index, &term) && term == raft->term;
}

const raft_rules_t raft_rules = {
	.release_after = release_after_sync,
	.may_commit = is_in_current_term,
	.members_are_committed = raft_members_are_committed,
	.discounted = raft_discounted,
};

/* Returns the progress of the member "id", or NULL. */
raft_progress_t *raft_progress(raft_t *raft, uint64_t id)
{
	for (uint32_t i = 0; i < raft->members.count; i++)
		if (raft->progress[i].id == id)
			return &raft->progress[i];
	return NULL;
}

/*
 * Sets the membership that follows the present one in the log, keeping the
 * progress of members that remain.
 */
void raft_set_members(raft_t *raft, const raft_members_t *members,
		      uint64_t index)
{
	raft_progress_t kept[RAFT_MEMBERS_MAX] = { 0 };

	for (uint32_t i = 0; i < members->count; i++) {
		const raft_progress_t *known =
			raft_progress(raft, members->items[i].id);

		if (known != NULL) {
			kept[i] = *known;
			continue;
		}
		kept[i] = (raft_progress_t){
			.id = members->items[i].id,
			.next = raft_log_last(&raft->log) + 1,
			.last_heard_ms = raft->now_ms,
			.probed_ms = raft->now_ms - RAFT_HEARTBEAT_MS,
		};
	}
	memcpy(raft->progress, kept, members->count * sizeof(kept[0]));
	raft->old_members = raft->members;
	raft->members = *members;
	raft->members_index = index;
	raft->committed_entry = 0;
}

static bool members_of_entry(const raft_entry_t *entry, raft_members_t *members)
{
	err_t err = ERR_INIT;
	size_t len = 0;
	const uint8_t *data = g_bytes_get_data(entry->data, &len);

	return entry->kind == RAFT_ENTRY_MEMBERS &&
	       raft_members_decode(members, data, len, &err);
}

/*
 * Finds the newest membership entry at or before "limit" that can be decoded,
 * or else the membership of the snapshot; returns its index.
 */
static uint64_t members_at(const raft_t *raft, uint64_t limit,
			   raft_members_t *members)
{
	for (uint64_t i = limit; i > raft->snapshot.index; i--) {
		const raft_entry_t *entry = raft_log_get(&raft->log, i);

		if (entry != NULL && members_of_entry(entry, members))
			return i;
	}
	*members = raft->snapshot.members;
	return raft->snapshot.index;
}

/* Returns the last entry that says that the membership is committed, or 0. */
static uint64_t find_committed_entry(const raft_t *raft)
{
	for (uint64_t i = raft_log_last(&raft->log); i > raft->members_index;
	     i--) {
		const raft_entry_t *entry = raft_log_get(&raft->log, i);

		if (entry != NULL &&
		    entry->kind == RAFT_ENTRY_MEMBERS_COMMITTED)
			return i;
	}
	return 0;
}

/* Sets the membership to the newest one in the log or the snapshot. */
void raft_reload_members(raft_t *raft)
{
	raft_members_t members;
	uint64_t index = members_at(raft, raft_log_last(&raft->log), &members);

	raft_set_members(raft, &members, index);
	raft->old_members = (raft_members_t){ .count = 0 };
	if (index > raft->snapshot.index)
		members_at(raft, index - 1, &raft->old_members);
	raft->committed_entry = find_committed_entry(raft);
}

/* Becomes a follower of "leader" (0: not known yet) in "term". */
void raft_become_follower(raft_t *raft, uint64_t term, uint64_t leader)
{
	bool changed = raft->role != RAFT_FOLLOWER || raft->leader != leader ||
		       raft->term != term;

	if (term > raft->term) {
		raft_drop_held_messages(raft);
		raft_set_term(raft, term, 0);
	}
	raft->role = RAFT_FOLLOWER;
	raft->leader = leader;
	raft->transfer_to = 0;
	if (changed) {
		raft_reset_election(raft);
		raft_reads_role_changed(raft);
	}
}

static void load_stored(raft_t *raft, const raft_stored_t *stored)
{
	const raft_snapshot_t *snapshot = &stored->snapshot;

	raft->term = stored->term;
	raft->vote = stored->vote;
	raft->snapshot = *snapshot;
	if (snapshot->data != NULL) {
		g_bytes_ref(snapshot->data);
		raft_log_reset(&raft->log, snapshot->index, snapshot->term);
		raft->restore_pending = true;
	}
	for (guint i = 0; stored->entries != NULL && i < stored->entries->len;
	     i++) {
		const raft_entry_t *entry =
			&g_array_index(stored->entries, raft_entry_t, i);

		raft_log_add(&raft->log, entry->term, entry->kind,
			     g_bytes_ref(entry->data));
	}
	raft->commit = snapshot->index;
	raft->applied = snapshot->index;
	raft->synced_index = raft_log_last(&raft->log);
	raft->next_save_index = raft->synced_index + 1;
}

/*
 * Initializes a replica from its stored state; "stored" keeps its references.
 * "seed" seeds the random election timeouts.
 */
void raft_init(raft_t *raft, uint64_t id, uint32_t seed,
	       const raft_stored_t *stored, clock_ms_t now)
{
	memset(raft, 0, sizeof(*raft));
	raft->rules = &raft_rules;
	raft->id = id;
	raft->random = g_rand_new_with_seed(seed);
	/*
	 * Starts at a random value, so that replies to reads of an earlier run
	 * of this replica match no ticket of this run.
	 */
	raft->ticket_last = (uint64_t)g_rand_int(raft->random) << 32;
	raft->now_ms = now;
	raft_log_init(&raft->log);
	g_queue_init(&raft->messages);
	raft->pending_saves =
		g_array_new(FALSE, FALSE, sizeof(raft_pending_save_t));
	raft->waiting_reads =
		g_array_new(FALSE, FALSE, sizeof(raft_waiting_read_t));
	raft->read_results = g_array_new(FALSE, FALSE, sizeof(raft_read_t));
	load_stored(raft, stored);
	raft_reload_members(raft);
	raft_reset_election(raft);
}

/*
 * Shortens the first election timeout of a replica that has just started.  A
 * running leader makes contact within it, and if the whole group has
 * restarted, it is unavailable until a leader is elected.
 */
void raft_shorten_election_timeout(raft_t *raft)
{
	raft->election_at_ms = raft->now_ms + RAFT_START_ELECTION_TIMEOUT_MS +
			       g_rand_int_range(raft->random, 0,
						RAFT_START_ELECTION_TIMEOUT_MS);
}

/* Frees what the replica owns. */
void raft_finish(raft_t *raft)
{
	raft_message_t *message;

	while ((message = g_queue_pop_head(&raft->messages)) != NULL)
		raft_message_free(message);
	raft_log_finish(&raft->log);
	if (raft->snapshot.data != NULL)
		g_bytes_unref(raft->snapshot.data);
	if (raft->incoming != NULL)
		g_byte_array_unref(raft->incoming);
	g_array_unref(raft->pending_saves);
	g_array_unref(raft->waiting_reads);
	g_array_unref(raft->read_results);
	g_rand_free(raft->random);
}

/*
 * Bootstraps a group: the first entry of an empty log lists its members, in
 * term 1.  Several replicas may do so with the same list, as the entry is then
 * the same; the others receive it from the leader.  A replica that has already
 * met a candidate keeps its term and its vote.
 */
void raft_bootstrap(raft_t *raft, const raft_members_t *members)
{
	if (raft->term == 0)
		raft_set_term(raft, 1, 0);
	raft_log_add(&raft->log, 1, RAFT_ENTRY_MEMBERS,
		     raft_members_encode(members));
	raft_reload_members(raft);
}

/* Returns whether this replica has no term and no log, so no group yet. */
bool raft_is_blank(const raft_t *raft)
{
	return raft->term == 0 && raft_log_last(&raft->log) == 0;
}

static void tick_leader(raft_t *raft)
{
	if (raft->now_ms >= raft->quorum_check_at_ms) {
		raft->quorum_check_at_ms =
			raft->now_ms + RAFT_ELECTION_TIMEOUT_MS;
		if (!raft_has_active_quorum(raft)) {
			raft_become_follower(raft, raft->term, 0);
			return;
		}
	}
	if (raft->transfer_to != 0 && raft->now_ms >= raft->transfer_until_ms)
		raft->transfer_to = 0;
	if (raft->now_ms < raft->heartbeat_at_ms)
		return;
	raft->heartbeat_at_ms = raft->now_ms + RAFT_HEARTBEAT_MS;
	raft_send_heartbeats(raft);
	raft->appends_due = true;
}

/*
 * Advances the clock and runs what is due: elections, read retries, heartbeats
 * and the leader's quorum check.
 */
void raft_tick(raft_t *raft, clock_ms_t now)
{
	raft->now_ms = MAX(raft->now_ms, now);
	if (raft->role == RAFT_LEADER) {
		tick_leader(raft);
		return;
	}
	raft_reads_tick(raft);
	if (raft->now_ms < raft->election_at_ms)
		return;
	raft_reset_election(raft);
	if (raft_members_is_voter(&raft->members, raft->id))
		raft_campaign(raft, RAFT_PRE_CANDIDATE, false);
}

/* Tells a leader or pre-candidate of an older term the current term. */
static void reject_old_term(raft_t *raft, const msg_raft_t *msg)
{
	const msg_raft_t reply = {
		.kind = msg->kind == RAFT_MSG_PRE_VOTE ? RAFT_MSG_PRE_VOTE_REPLY
						       : RAFT_MSG_APPEND_REPLY,
		.to = msg->from,
		.log_index = msg->log_index,
		.reject = true,
	};

	if (msg->kind == RAFT_MSG_PRE_VOTE || msg_info[msg->kind].from_leader)
		raft_send(raft, &reply, NULL);
}

/*
 * Adopts the newer term of "msg", except from pre-votes and granted replies to
 * them, whose term has not begun.  Returns false for a vote request that must
 * be ignored because a leader is active.
 */
static bool adopt_newer_term(raft_t *raft, const msg_raft_t *msg)
{
	if (msg->kind == RAFT_MSG_PRE_VOTE)
		return true;
	if (msg->kind == RAFT_MSG_PRE_VOTE_REPLY && !msg->reject)
		return true;
	if (msg->kind == RAFT_MSG_VOTE && msg->context != 1 &&
	    raft_has_active_leader(raft))
		return false;
	raft_become_follower(raft, msg->term,
			     msg_info[msg->kind].from_leader ? msg->from : 0);
	return true;
}

static void accept_leader(raft_t *raft, const msg_raft_t *msg)
{
	if (raft->role != RAFT_FOLLOWER || raft->leader != msg->from)
		raft_become_follower(raft, raft->term, msg->from);
	raft->leader_contact_ms = raft->now_ms;
	raft_reset_election(raft);
}

/* Handles a message that another replica sent to this one. */
void raft_step(raft_t *raft, const msg_raft_t *msg, clock_ms_t now)
{
	raft->now_ms = MAX(raft->now_ms, now);
	if (msg->kind == 0 || msg->kind >= RAFT_MSG_COUNT ||
	    msg->to != raft->id || msg->from == raft->id || msg->term == 0)
		return;
	if (msg->term < raft->term) {
		reject_old_term(raft, msg);
		return;
	}
	if (msg->term > raft->term && !adopt_newer_term(raft, msg))
		return;
	if (msg_info[msg->kind].from_leader) {
		if (raft->role == RAFT_LEADER)
			return;
		accept_leader(raft, msg);
	}
	msg_info[msg->kind].handle(raft, msg);
}

/*
 * Appends an entry at the leader.  Returns its index, or 0 if this replica is
 * not the leader or is transferring leadership.  The proposal has succeeded
 * only once the entry at that index is applied with the current term.
 */
uint64_t raft_propose(raft_t *raft, const uint8_t *data, size_t len)
{
	if (raft->role != RAFT_LEADER || raft->transfer_to != 0)
		return 0;
	raft_log_add(&raft->log, raft->term, RAFT_ENTRY_DATA,
		     g_bytes_new(data, len));
	raft->appends_due = true;
	return raft_log_last(&raft->log);
}

static bool check_member_change(raft_t *raft, raft_member_change_t change,
				const raft_member_t *member, err_t *err)
{
	const raft_progress_t *progress = raft_progress(raft, member->id);
	const char *reason = NULL;

	if (raft->role != RAFT_LEADER || raft->transfer_to != 0)
		reason = "not the leader";
	else if (raft->members_index > raft->commit)
		reason = "another membership change is in progress";
	else if (!is_in_current_term(raft, raft->commit))
		reason =
			"the leader has not committed an entry in its term yet";
	else if (change == RAFT_MEMBER_REMOVE && member->id == raft->id)
		reason = "the leader must transfer leadership first";
	else if (change == RAFT_MEMBER_PROMOTE && progress != NULL &&
		 progress->match < raft->commit)
		reason = "the learner has not caught up";
	if (reason == NULL)
		return true;
	err_set(err, ERR_UNAVAILABLE, "change_member", member->instance, "%s",
		reason);
	return false;
}

/*
 * Changes the membership by one member, at the leader.  Returns the index of
 * the membership entry, or 0 with "err" set.  A learner becomes a voter only
 * when it holds all committed entries.
 */
uint64_t raft_change_member(raft_t *raft, raft_member_change_t change,
			    const raft_member_t *member, err_t *err)
{
	raft_members_t members = raft->members;

	if (!check_member_change(raft, change, member, err) ||
	    !raft_members_change(&members, change, member, err))
		return 0;
	raft_log_add(&raft->log, raft->term, RAFT_ENTRY_MEMBERS,
		     raft_members_encode(&members));
	raft_set_members(raft, &members, raft_log_last(&raft->log));
	raft->appends_due = true;
	return raft->members_index;
}

/*
 * Transfers leadership to the most up-to-date voter that is reachable and not in
 * "avoided", before a planned stop (Ongaro 2014, section 3.10).  Returns false if
 * there is none or this replica is not the leader.
 */
bool raft_transfer(raft_t *raft, const raft_id_set_t *avoided)
{
	const raft_progress_t *best = NULL;
	msg_raft_t msg = { .kind = RAFT_MSG_TIMEOUT_NOW };

	if (raft->role != RAFT_LEADER)
		return false;
	for (uint32_t i = 0; i < raft->members.count; i++) {
		const raft_progress_t *progress = &raft->progress[i];

		if (!raft->members.items[i].voter || progress->id == raft->id ||
		    raft->now_ms - progress->last_heard_ms >=
			    RAFT_ELECTION_TIMEOUT_MS ||
		    raft_id_set_contains(avoided, progress->id))
			continue;
		if (best == NULL || progress->match > best->match)
			best = progress;
	}
	if (best == NULL)
		return false;
	raft->transfer_to = best->id;
	raft->transfer_until_ms = raft->now_ms + RAFT_ELECTION_TIMEOUT_MS;
	msg.to = best->id;
	if (best->match == raft_log_last(&raft->log))
		raft_send(raft, &msg, NULL);
	return true;
}

/*
 * Makes a snapshot from "data", the state at the applied index "index".
 * Returns false if "index" is not applied or not newer than the last
 * snapshot.  "snapshot" holds its own reference to "data".
 */
bool raft_make_snapshot(const raft_t *raft, uint64_t index, GBytes *data,
			raft_snapshot_t *snapshot)
{
	*snapshot = (raft_snapshot_t){ .index = index };
	if (index <= raft->snapshot.index || index > raft->applied ||
	    !raft_log_term(&raft->log, index, &snapshot->term))
		return false;
	members_at(raft, index, &snapshot->members);
	snapshot->data = g_bytes_ref(data);
	return true;
}

/*
 * Replaces the log up to "index" by the snapshot state "data", which the
 * caller has synced.  The last RAFT_KEEP_ENTRIES of these entries are kept for
 * followers that lag.
 */
void raft_compact(raft_t *raft, uint64_t index, GBytes *data)
{
	raft_snapshot_t next;

	if (!raft_make_snapshot(raft, index, data, &next))
		return;
	if (raft->snapshot.data != NULL)
		g_bytes_unref(raft->snapshot.data);
	raft->snapshot = next;
	if (index > RAFT_KEEP_ENTRIES)
		raft_log_drop_through(&raft->log, index - RAFT_KEEP_ENTRIES);
}
