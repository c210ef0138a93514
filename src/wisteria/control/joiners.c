/*
 * Join requests that a replica has received.  Every replica records them, since
 * any of them may become the leader, which adds the joiners as learners.  Does
 * no I/O and reads no clock.
 */
#include "wisteria/control/joiners.h"

#include <string.h>

#include "wisteria/raft/raft_members.h"

/*
 * Returns the item for a request of "instance": the one that it has, a free
 * one, or the one with the oldest request.
 */
static joiner_t *find_item(joiners_t *joiners, const char *instance)
{
	joiner_t *oldest = &joiners->items[0];

	for (uint32_t i = 0; i < joiners->count; i++) {
		joiner_t *item = &joiners->items[i];

		if (strcmp(item->member.instance, instance) == 0)
			return item;
		if (item->requested_ms < oldest->requested_ms)
			oldest = item;
	}
	if (joiners->count < RAFT_MEMBERS_MAX)
		return &joiners->items[joiners->count++];
	return oldest;
}

/*
 * Records a join request; it replaces an earlier one of the same instance.
 * Returns whether to log it: the first one, and then one each JOINERS_LOG_MS.
 */
bool joiners_record(joiners_t *joiners, const raft_member_t *member,
		    clock_ms_t now)
{
	joiner_t *item = find_item(joiners, member->instance);
	bool is_due = item->member.id != member->id ||
		      now - item->logged_ms >= JOINERS_LOG_MS;

	*item = (joiner_t){
		.member = *member,
		.requested_ms = now,
		.logged_ms = is_due ? now : item->logged_ms,
	};
	return is_due;
}

/*
 * Returns an instance that requested to join within JOINERS_STALE_MS and is not
 * a member under its current id, or NULL.
 */
const raft_member_t *joiners_next(const joiners_t *joiners,
				  const raft_members_t *members, clock_ms_t now)
{
	for (uint32_t i = 0; i < joiners->count; i++) {
		const joiner_t *item = &joiners->items[i];

		if (now - item->requested_ms < JOINERS_STALE_MS &&
		    raft_members_find(members, item->member.id) == NULL)
			return &item->member;
	}
	return NULL;
}

/* Forgets the request of an instance, which no longer wants to join. */
void joiners_forget(joiners_t *joiners, const char *instance)
{
	for (uint32_t i = 0; i < joiners->count; i++)
		if (strcmp(joiners->items[i].member.instance, instance) == 0) {
			joiners->items[i] = joiners->items[--joiners->count];
			return;
		}
}
