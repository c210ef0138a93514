/*
 * How a group that mends itself changes, one member at a time: who has joined
 * votes once it has caught up, and who is lost leaves when its place is taken
 * or enough others are left.  One that comes back after it was removed joins
 * again.  Pure.
 */
#include "wisteria/control/group_policy.h"

#include <string.h>

/* Returns the member that "learner" was before it lost its disk; -1: none. */
static int32_t older_self(const raft_members_t *members, uint32_t learner)
{
	for (uint32_t i = 0; i < members->count; i++)
		if (i != learner &&
		    members->items[i].id != members->items[learner].id &&
		    strcmp(members->items[i].instance,
			   members->items[learner].instance) == 0)
			return (int32_t)i;
	return -1;
}

static bool settle_learner(const raft_members_t *members,
			   const group_sight_t *sights, uint32_t learner,
			   group_change_t *next)
{
	int32_t older = older_self(members, learner);

	next->member = learner;
	if (sights[learner].silent_ms >= GROUP_LOST_MS) {
		next->change = RAFT_MEMBER_REMOVE;
		return true;
	}
	if (!sights[learner].caught_up)
		return false;
	if (older < 0) {
		next->change = RAFT_MEMBER_PROMOTE;
		return true;
	}
	next->change = RAFT_MEMBER_REMOVE;
	next->member = (uint32_t)older;
	return sights[older].silent_ms >= GROUP_REPLACED_MS;
}

static bool remove_lost(const raft_members_t *members,
			const group_sight_t *sights, group_change_t *next)
{
	uint32_t heard = 0;
	int32_t lost = -1;

	for (uint32_t i = 0; i < members->count; i++) {
		if (!members->items[i].voter)
			continue;
		if (sights[i].silent_ms < GROUP_LOST_MS)
			heard++;
		else if (lost < 0 ||
			 sights[i].silent_ms > sights[lost].silent_ms)
			lost = (int32_t)i;
	}
	if (lost < 0 || heard < GROUP_VOTERS_MIN)
		return false;
	next->change = RAFT_MEMBER_REMOVE;
	next->member = (uint32_t)lost;
	return true;
}

/* Finds the next change; returns false where the group stays as it is. */
bool group_policy_next(const raft_members_t *members,
		       const group_sight_t *sights, group_change_t *next)
{
	for (uint32_t i = 0; i < members->count; i++)
		if (!members->items[i].voter &&
		    settle_learner(members, sights, i, next))
			return true;
	return remove_lost(members, sights, next);
}
