/*
 * Takes a voter out of an open group before its process ends, if the others are
 * enough for the losses that the group has to bear; see group_policy.c.  Without
 * this, a machine that was replaced counts until its loss is known, and a disk
 * that is lost in that time may end the group.
 *
 * The replica transfers leadership, if it leads, and tells the members that it
 * stops until the leader confirms that the membership without it is committed.  It
 * doesn't join while it stops.  Nothing says whether the machine is to be removed
 * or only restarted: one that is started again joins as a learner with its data.
 */
#include "wisteria/control/replica_leave.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/log.h"
#include "wisteria/control/replica.h"
#include "wisteria/control/replica_group.h"
#include "wisteria/raft/raft.h"
#include "wisteria/raft/raft_members.h"

static clock_ms_t now_of(const replica_t *replica)
{
	return clock_now(replica->net->clock);
}

/* Returns what the group has to bear; one lost machine if nothing says so. */
const settings_tolerance_t *replica_tolerance(const replica_t *replica)
{
	static const settings_tolerance_t one_machine = { .machines = 1 };
	const settings_control_t *control = replica->settings->control;

	return control->tolerance != NULL ? control->tolerance : &one_machine;
}

/* Returns the region of a failure domain, or NULL if it is not known. */
static const char *region_of(const replica_t *replica, const char *domain)
{
	const settings_control_t *control = replica->settings->control;

	for (unsigned i = 0; domain != NULL && i < control->domains_count; i++)
		if (strcmp(control->domains[i].name, domain) == 0)
			return control->domains[i].region;
	return NULL;
}

/* Fills in where the members are, as far as is known. */
void replica_fill_places(const replica_t *replica,
			 group_member_status_t statuses[RAFT_MEMBERS_MAX])
{
	const raft_members_t *members = &replica->raft.members;

	for (uint32_t i = 0; i < members->count; i++) {
		const replica_peer_t *peer =
			replica_peer(replica, members->items[i].instance);
		const char *domain = NULL;

		if (members->items[i].id == replica->raft.id)
			domain = replica->net->failure_domain;
		else if (peer != NULL && peer->failure_domain[0] != '\0')
			domain = peer->failure_domain;
		statuses[i].failure_domain = domain;
		statuses[i].region = region_of(replica, domain);
	}
}

/* Returns whether this replica votes and the others are enough without it. */
static bool is_spare_voter(const replica_t *replica)
{
	const raft_members_t *members = &replica->raft.members;
	group_member_status_t statuses[RAFT_MEMBERS_MAX] = { 0 };

	if (!replica->settings->control->open_group)
		return false;
	replica_fill_places(replica, statuses);
	for (uint32_t i = 0; i < members->count; i++)
		if (members->items[i].id == replica->raft.id)
			return members->items[i].voter &&
			       group_can_spare(members, statuses,
					       replica_tolerance(replica), i);
	return false;
}

/*
 * Tells all members that this replica stops, so that whoever leads next knows it
 * as well: of two that stop, neither may transfer leadership to the other.
 */
static void tell_members(replica_t *replica)
{
	const raft_members_t *members = &replica->raft.members;

	for (uint32_t i = 0; i < members->count; i++) {
		replica_peer_t *peer =
			replica_peer(replica, members->items[i].instance);

		if (peer != NULL && peer->linked)
			replica_send_group_message(replica, peer,
						   REPLICA_MSG_LEAVE, 0);
	}
}

/*
 * Begins to leave the group, as the process has been told to stop.  A learner
 * says so as well, so that it isn't promoted as it ends.
 */
void replica_begin_leaving(replica_t *replica)
{
	replica_leaving_t *leaving = &replica->leaving;
	clock_ms_t now = now_of(replica);

	if (leaving->begun)
		return;
	leaving->begun = true;
	leaving->until_ms = now + REPLICA_LEAVE_TIMEOUT_MS;
	leaving->tell_at_ms = now;
	LOG_INFO("leave_begun", "voters=%u spare=%d leads=%d",
		 raft_members_count_voters(&replica->raft.members),
		 is_spare_voter(replica), replica_is_leader(replica));
	tell_members(replica);
	replica_transfer_leadership(replica);
}

/* Says that this replica stops, each REPLICA_LEAVE_MS. */
void replica_tick_leaving(replica_t *replica)
{
	replica_leaving_t *leaving = &replica->leaving;
	clock_ms_t now = now_of(replica);

	if (replica_may_stop(replica) || now < leaving->tell_at_ms)
		return;
	leaving->tell_at_ms = now + REPLICA_LEAVE_MS;
	tell_members(replica);
	if (replica_is_leader(replica) && replica->raft.transfer_to == 0)
		replica_transfer_leadership(replica);
}

/*
 * Returns whether the process need not wait: the replica is not leaving, has
 * left, can't be spared, or no leader has removed it in REPLICA_LEAVE_TIMEOUT_MS.
 */
bool replica_may_stop(const replica_t *replica)
{
	const replica_leaving_t *leaving = &replica->leaving;

	return !leaving->begun || leaving->left ||
	       now_of(replica) >= leaving->until_ms || !is_spare_voter(replica);
}

/* Returns whether the member has just told this replica that it stops. */
bool replica_is_leaving_member(const replica_t *replica,
			       const raft_member_t *member)
{
	const replica_peer_t *peer = replica_peer(replica, member->instance);

	return peer != NULL && peer->leaving_id == member->id &&
	       now_of(replica) - peer->leaving_ms < REPLICA_LEAVE_STALE_MS;
}

/*
 * Handles the message of a replica that stops.  At the leader, confirms it once
 * the membership without that replica is committed.
 */
void replica_on_leave(replica_t *replica, replica_peer_t *peer,
		      const msg_raft_t *msg)
{
	const raft_t *raft = &replica->raft;

	if (peer->leaving_id != msg->from)
		LOG_INFO("leave_received",
			 "member=%s replica=%" G_GINT64_MODIFIER "x leads=%d",
			 peer->instance, msg->from, replica_is_leader(replica));
	peer->leaving_id = msg->from;
	peer->leaving_ms = now_of(replica);
	/* It may have asked to join seconds ago, when it was started. */
	joiners_forget(&replica->joiners, peer->instance);
	if (replica_is_ready_leader(replica) &&
	    raft->members_index <= raft->commit &&
	    !raft_members_is_voter(&raft->members, msg->from))
		replica_send_group_message(replica, peer, REPLICA_MSG_LEFT,
					   msg->from);
}

/* Handles the leader's confirmation that a replica votes no more. */
void replica_on_left(replica_t *replica, const msg_raft_t *msg)
{
	if (!replica->leaving.begun || replica->leaving.left ||
	    msg->context != replica->raft.id)
		return;
	replica->leaving.left = true;
	LOG_INFO("group_left", "replica=%" G_GINT64_MODIFIER "x",
		 replica->raft.id);
}
