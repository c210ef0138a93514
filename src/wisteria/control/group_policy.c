/*
 * Automatic membership changes of an open group (see
 * settings_control_t.open_group), one member at a time.  A learner becomes a
 * voter once it has caught up.  A lost voter is removed when enough other
 * voters are reachable, with a replacement counted among them.  A removed
 * member that comes back joins again as a learner.  Does no I/O and reads no
 * clock.
 */
#include "wisteria/control/group_policy.h"

#include <string.h>

/*
 * Returns the index of the member that the learner's instance was before it
 * lost its disk and got a new id, or -1.
 */
static int32_t find_previous_member(const raft_members_t *members,
				    uint32_t learner)
{
	for (uint32_t i = 0; i < members->count; i++)
		if (i != learner &&
		    members->items[i].id != members->items[learner].id &&
		    strcmp(members->items[i].instance,
			   members->items[learner].instance) == 0)
			return (int32_t)i;
	return -1;
}

static bool next_learner_change(const raft_members_t *members,
				const group_member_status_t *statuses,
				uint32_t learner, group_change_t *next)
{
	int32_t previous = find_previous_member(members, learner);

	next->member = learner;
	if (statuses[learner].silent_ms >= GROUP_MEMBER_TIMEOUT_MS) {
		next->change = RAFT_MEMBER_REMOVE;
		return true;
	}
	if (!statuses[learner].caught_up)
		return false;
	if (previous < 0) {
		next->change = RAFT_MEMBER_PROMOTE;
		return true;
	}
	next->change = RAFT_MEMBER_REMOVE;
	next->member = (uint32_t)previous;
	return statuses[previous].silent_ms >= GROUP_REPLACE_TIMEOUT_MS;
}

static bool next_voter_removal(const raft_members_t *members,
			       const group_member_status_t *statuses,
			       group_change_t *next)
{
	uint32_t reachable = 0;
	int32_t lost = -1;

	for (uint32_t i = 0; i < members->count; i++) {
		if (!members->items[i].voter)
			continue;
		if (statuses[i].silent_ms < GROUP_REACHABLE_MS)
			reachable++;
		if (statuses[i].silent_ms >= GROUP_MEMBER_TIMEOUT_MS &&
		    (lost < 0 ||
		     statuses[i].silent_ms > statuses[lost].silent_ms))
			lost = (int32_t)i;
	}
	if (lost < 0 || reachable < GROUP_VOTERS_MIN)
		return false;
	next->change = RAFT_MEMBER_REMOVE;
	next->member = (uint32_t)lost;
	return true;
}

/* Records a tick of the leader; to be called at least every 100 ms. */
void group_watch_tick(group_watch_t *watch, clock_ms_t now)
{
	if (now - watch->last_tick_ms > GROUP_LATE_TICK_MS)
		watch->since_ms = now;
	watch->last_tick_ms = now;
}

/*
 * Fills "statuses", one for each member, as of the last tick.  A member counts
 * as silent only for the time that it was watched.
 */
void group_watch_statuses(const group_watch_t *watch, const raft_t *raft,
			  group_member_status_t statuses[RAFT_MEMBERS_MAX])
{
	for (uint32_t i = 0; i < raft->members.count; i++) {
		const raft_progress_t *progress = &raft->progress[i];
		clock_ms_t from_ms =
			MAX(progress->last_heard_ms, watch->since_ms);
		bool is_leader = progress->id == raft->id;

		statuses[i] = (group_member_status_t){
			.silent_ms =
				is_leader ? 0 : watch->last_tick_ms - from_ms,
			.caught_up =
				is_leader || progress->match >= raft->commit,
		};
	}
}

/* Finds the next membership change; returns false if there is none. */
bool group_policy_next(const raft_members_t *members,
		       const group_member_status_t *statuses,
		       group_change_t *next)
{
	for (uint32_t i = 0; i < members->count; i++)
		if (!members->items[i].voter &&
		    next_learner_change(members, statuses, i, next))
			return true;
	return next_voter_removal(members, statuses, next);
}
