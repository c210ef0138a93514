/*
 * Which voters suffice for an election, a commit or a read.
 *
 * A group of n voters needs a full quorum, n / 2 + 1 of them.  A voter whose disk
 * is lost can neither vote nor acknowledge again, and if n is even and at least
 * 4, a replica that knows of such voters needs only n / 2 of the others.  An odd
 * group needs a full quorum all the same, and one of two would be left with a
 * single copy.  This is safe because
 *
 * - n / 2 voters have one in common with every full quorum;
 * - two halves may have none in common.  The voters that one replica discounts
 *   are then in the other's half.  A replica fixes whom it discounts before its
 *   election and counts only what was sent since, so each of the two elections
 *   would have begun after the loss of a voter that took part in the other one,
 *   or in its term: there are no two such halves;
 * - half of the voters suffice only if the membership is known to be committed,
 *   and one that follows such a membership needs quorums of both until it is
 *   known to be committed itself, as in joint consensus (Ongaro 2014, section
 *   4.3).
 */
#include "wisteria/raft/raft.h"

#include "wisteria/raft/raft_internal.h"
#include "wisteria/raft/raft_members.h"

/* Returns whether "id" is in the set. */
bool raft_id_set_contains(const raft_id_set_t *set, uint64_t id)
{
	for (uint32_t i = 0; i < set->count; i++)
		if (set->items[i] == id)
			return true;
	return false;
}

static bool is_member(const raft_t *raft, uint64_t id)
{
	return raft_members_find(&raft->members, id) != NULL ||
	       raft_members_find(&raft->old_members, id) != NULL;
}

static void drop_former_members(raft_t *raft)
{
	raft_lost_t *lost = &raft->lost;
	uint32_t kept = 0;

	for (uint32_t i = 0; i < lost->count; i++)
		if (is_member(raft, lost->items[i]))
			lost->items[kept++] = lost->items[i];
	lost->count = kept;
}

/*
 * Records that the disk of the member "id" is lost.  The caller must be certain
 * that no process can send anything more under this id.  It counts from this
 * replica's next election on.  Returns false if it was known, or "id" is no
 * member.
 */
bool raft_record_lost(raft_t *raft, uint64_t id)
{
	raft_lost_t *lost = &raft->lost;

	if (!is_member(raft, id) || raft_id_set_contains(lost, id))
		return false;
	if (lost->count == RAFT_MEMBERS_MAX)
		drop_former_members(raft);
	if (lost->count == RAFT_MEMBERS_MAX)
		return false;
	lost->items[lost->count++] = id;
	return true;
}

/* Returns whether the disk of "id" is known to be lost. */
bool raft_is_lost(const raft_t *raft, uint64_t id)
{
	return raft_id_set_contains(&raft->lost, id);
}

/* Fixes which voters this replica discounts, before it asks for votes. */
void raft_discount_lost(raft_t *raft)
{
	raft->discounted = raft->lost;
}

/* Returns the voters that were discounted when the last election began. */
const raft_lost_t *raft_discounted(const raft_t *raft)
{
	return &raft->discounted;
}

/* Returns whether the membership in force is known to be committed. */
bool raft_members_are_committed(const raft_t *raft)
{
	return raft->commit >= raft->members_index ||
	       raft->committed_entry != 0;
}

/* Returns whether a quorum of "members" can do without a voter that is lost. */
static bool can_discount(const raft_members_t *members)
{
	uint32_t voters = raft_members_count_voters(members);

	return voters % 2 == 0 && voters >= RAFT_DISCOUNT_VOTERS_MIN;
}

static bool holds(const raft_t *raft, uint64_t id, raft_predicate_t test,
		  uint64_t value)
{
	const raft_progress_t *progress = raft_progress((raft_t *)raft, id);

	return progress != NULL && test(raft, progress, value);
}

static bool is_quorum_of(const raft_t *raft, const raft_members_t *members,
			 bool may_discount, raft_predicate_t test,
			 uint64_t value)
{
	const raft_lost_t *discounted = raft->rules->discounted(raft);
	uint32_t quorum = raft_members_quorum(members);
	uint32_t lost = 0;
	uint32_t holders = 0;

	for (uint32_t i = 0; i < members->count; i++) {
		uint64_t id = members->items[i].id;

		if (!members->items[i].voter)
			continue;
		if (raft_id_set_contains(discounted, id))
			lost++;
		else if (holds(raft, id, test, value))
			holders++;
	}
	if (may_discount && lost > 0 && can_discount(members))
		quorum--;
	return members->count > 0 && holders >= quorum;
}

/* Returns whether the last change was one of learners only. */
static bool has_same_voters(const raft_t *raft)
{
	const raft_members_t *members = &raft->members;
	const raft_members_t *old = &raft->old_members;

	for (uint32_t i = 0; i < members->count; i++)
		if (members->items[i].voter !=
		    raft_members_is_voter(old, members->items[i].id))
			return false;
	for (uint32_t i = 0; i < old->count; i++)
		if (old->items[i].voter !=
		    raft_members_is_voter(members, old->items[i].id))
			return false;
	return true;
}

/*
 * Returns whether the voters for which "test" holds with "value" are a quorum.
 */
bool raft_is_quorum(const raft_t *raft, raft_predicate_t test, uint64_t value)
{
	bool members_are_committed = raft->rules->members_are_committed(raft) ||
				     has_same_voters(raft);

	if (!is_quorum_of(raft, &raft->members, members_are_committed, test,
			  value))
		return false;
	return members_are_committed || !can_discount(&raft->old_members) ||
	       is_quorum_of(raft, &raft->old_members, true, test, value);
}
