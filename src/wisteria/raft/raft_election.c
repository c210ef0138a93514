/*
 * Elections: pre-vote, so that a replica that was isolated does not depose a
 * working leader (Ongaro 2014, section 9.6), and votes, which are refused
 * while the leader is active (section 4.2.3).
 */
#include "wisteria/raft/raft_internal.h"
#include "wisteria/raft/raft_log.h"
#include "wisteria/raft/raft_members.h"

/* Restarts the election timer with a random timeout. */
void raft_reset_election(raft_t *raft)
{
	raft->election_at_ms =
		raft->now_ms + RAFT_ELECTION_TIMEOUT_MS +
		g_rand_int_range(raft->random, 0, RAFT_ELECTION_TIMEOUT_MS);
}

/*
 * Returns whether this replica is the leader, or the leader that it knows made
 * contact within the election timeout.
 */
bool raft_has_active_leader(const raft_t *raft)
{
	if (raft->role == RAFT_LEADER)
		return true;
	return raft->leader != 0 && raft->now_ms - raft->leader_contact_ms <
					    RAFT_ELECTION_TIMEOUT_MS;
}

static bool is_active(const raft_t *raft, const raft_progress_t *progress,
		      uint64_t timeout_ms)
{
	return progress->id == raft->id ||
	       raft->now_ms - progress->last_heard_ms < (clock_ms_t)timeout_ms;
}

/* Returns whether a quorum replied within the election timeout. */
bool raft_has_active_quorum(const raft_t *raft)
{
	return raft_is_quorum(raft, is_active, RAFT_ELECTION_TIMEOUT_MS);
}

static bool has_granted(const raft_t *raft, const raft_progress_t *progress,
			uint64_t unused)
{
	(void)raft;
	(void)unused;
	return progress->granted;
}

static void check_election(raft_t *raft)
{
	if (!raft_is_quorum(raft, has_granted, 0))
		return;
	if (raft->role == RAFT_PRE_CANDIDATE)
		raft_campaign(raft, RAFT_CANDIDATE, false);
	else
		raft_become_leader(raft);
}

static void request_votes(raft_t *raft, const msg_raft_t *request)
{
	for (uint32_t i = 0; i < raft->members.count; i++) {
		const raft_member_t *member = &raft->members.items[i];
		msg_raft_t msg = *request;

		if (!member->voter || member->id == raft->id)
			continue;
		msg.to = member->id;
		raft_send(raft, &msg, NULL);
	}
}

/*
 * Begins an election as pre-candidate or candidate.  "leader_transfer" marks
 * one that the leader requested; voters do not ignore it while a leader is
 * active.
 */
void raft_campaign(raft_t *raft, raft_role_t role, bool leader_transfer)
{
	msg_raft_t request = {
		.kind = role == RAFT_CANDIDATE ? RAFT_MSG_VOTE
					       : RAFT_MSG_PRE_VOTE,
		.term = raft->term + 1,
		.log_index = raft_log_last(&raft->log),
		.log_term = raft_log_last_term(&raft->log),
		.context = leader_transfer ? 1 : 0,
	};

	if (role == RAFT_CANDIDATE)
		raft_become_follower(raft, raft->term + 1, 0);
	raft->role = role;
	raft->leader = 0;
	raft_discount_lost(raft);
	raft_reset_election(raft);
	for (uint32_t i = 0; i < raft->members.count; i++)
		raft->progress[i].granted = false;
	if (role == RAFT_CANDIDATE)
		raft_set_term(raft, raft->term, raft->id);
	request_votes(raft, &request);
	raft_count_own_vote(raft);
}

/* Counts this replica's vote for itself; a candidate's once it is synced. */
void raft_count_own_vote(raft_t *raft)
{
	raft_progress_t *progress = raft_progress(raft, raft->id);

	if (progress == NULL || progress->granted)
		return;
	if (raft->role == RAFT_CANDIDATE &&
	    raft->synced_save < raft->hard_state_save)
		return;
	progress->granted = true;
	check_election(raft);
}

static bool is_up_to_date(const raft_t *raft, const msg_raft_t *msg)
{
	uint64_t last_term = raft_log_last_term(&raft->log);

	if (msg->log_term != last_term)
		return msg->log_term > last_term;
	return msg->log_index >= raft_log_last(&raft->log);
}

/* Replies whether this replica would grant a vote; changes no state. */
void raft_on_pre_vote(raft_t *raft, const msg_raft_t *msg)
{
	bool granted = msg->term > raft->term &&
		       !raft_has_active_leader(raft) &&
		       is_up_to_date(raft, msg);
	const msg_raft_t reply = {
		.kind = RAFT_MSG_PRE_VOTE_REPLY,
		.to = msg->from,
		.term = granted ? msg->term : raft->term,
		.reject = !granted,
	};

	raft_send(raft, &reply, NULL);
}

/* Grants or refuses a vote; the reply is sent once the vote is synced. */
void raft_on_vote(raft_t *raft, const msg_raft_t *msg)
{
	bool may_vote = raft->vote == msg->from ||
			(raft->vote == 0 && raft->leader == 0);
	bool granted = may_vote && is_up_to_date(raft, msg);
	const msg_raft_t reply = {
		.kind = RAFT_MSG_VOTE_REPLY,
		.to = msg->from,
		.reject = !granted,
	};

	if (granted) {
		raft_set_term(raft, raft->term, msg->from);
		raft_reset_election(raft);
	}
	raft_send(raft, &reply, NULL);
}

/* Counts a vote or a pre-vote. */
void raft_on_vote_reply(raft_t *raft, const msg_raft_t *msg)
{
	raft_role_t expected = msg->kind == RAFT_MSG_VOTE_REPLY
				       ? RAFT_CANDIDATE
				       : RAFT_PRE_CANDIDATE;
	raft_progress_t *progress = raft_progress(raft, msg->from);

	if (raft->role != expected || msg->reject || progress == NULL)
		return;
	if (expected == RAFT_PRE_CANDIDATE && msg->term != raft->term + 1)
		return;
	progress->granted = true;
	check_election(raft);
}

/* Begins an election at once: leadership is transferred to this replica. */
void raft_on_timeout_now(raft_t *raft, const msg_raft_t *msg)
{
	(void)msg;
	if (raft_members_is_voter(&raft->members, raft->id))
		raft_campaign(raft, RAFT_CANDIDATE, true);
}
