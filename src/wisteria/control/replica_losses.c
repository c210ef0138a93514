/*
 * Finds out which members of the group have lost their disks while there is no
 * leader.  An instance has one replica at a time, whose id is on its disk: if a
 * process of the same instance answers under another id, the replica with the
 * member's id is gone for good, and the group may do without its vote; see
 * raft_quorum.c.
 *
 * The answer must be younger than the id that it contradicts: an instance that
 * loses its disk twice may have sent something under its second id that arrives
 * once its third id is a member.  So each question has a number, drawn after the
 * members that it asks about were known, and only an answer with that number
 * counts.
 *
 * Only in open groups, where the instance is an address, which two processes
 * can't have at a time.  Other instances are named by their settings.
 */
#include "wisteria/control/replica_losses.h"

#include <string.h>

#include <sodium.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/log.h"
#include "wisteria/control/replica_group.h"
#include "wisteria/net/link.h"
#include "wisteria/raft/raft.h"
#include "wisteria/raft/raft_members.h"

/* Draws a new number if the members are others than those last asked about. */
static void update_question(replica_t *replica)
{
	const raft_t *raft = &replica->raft;
	replica_question_t *question = &replica->question;

	if (question->number != 0 &&
	    question->members_index == raft->members_index &&
	    question->term == raft->term)
		return;
	question->members = raft->members;
	question->old_members = raft->old_members;
	question->members_index = raft->members_index;
	question->term = raft->term;
	randombytes_buf(&question->number, sizeof(question->number));
}

static bool is_asked_about(const replica_question_t *question,
			   const char *instance)
{
	return raft_members_find_instance(&question->members, instance) !=
		       NULL ||
	       raft_members_find_instance(&question->old_members, instance) !=
		       NULL;
}

/*
 * At a voter of an open group that knows no leader: asks the instances of all members under
 * which id they take part, each REPLICA_SEARCH_MS.
 */
void replica_ask_identities(replica_t *replica)
{
	const raft_t *raft = &replica->raft;
	replica_question_t *question = &replica->question;
	clock_ms_t now = clock_now(replica->net->clock);

	if (!replica->settings->control->open_group || raft->leader != 0 ||
	    now < question->ask_at_ms ||
	    !raft_members_is_voter(&raft->members, raft->id))
		return;
	question->ask_at_ms = now + REPLICA_SEARCH_MS;
	update_question(replica);
	for (guint i = 0; i < replica->peers->len; i++) {
		replica_peer_t *peer = g_ptr_array_index(replica->peers, i);

		if (is_asked_about(question, peer->instance))
			replica_send_group_message(replica, peer,
						   REPLICA_MSG_IDENTIFY,
						   question->number);
	}
}

static void record_others_as_lost(replica_t *replica,
				  const raft_members_t *members,
				  const char *instance, uint64_t id)
{
	for (uint32_t i = 0; i < members->count; i++) {
		const raft_member_t *member = &members->items[i];

		if (member->id == id ||
		    strcmp(member->instance, instance) != 0 ||
		    !raft_record_lost(&replica->raft, member->id))
			continue;
		LOG_WARN("member_disk_lost",
			 "member=%s replica=%" G_GINT64_MODIFIER
			 "x now=%" G_GINT64_MODIFIER "x",
			 instance, member->id, id);
	}
}

/* Handles the answer of "instance" to replica_ask_identities(). */
void replica_record_identity(replica_t *replica, const char *instance,
			     const msg_raft_t *msg)
{
	const replica_question_t *question = &replica->question;

	if (question->number == 0 || msg->context != question->number)
		return;
	record_others_as_lost(replica, &question->members, instance, msg->from);
	record_others_as_lost(replica, &question->old_members, instance,
			      msg->from);
}

/*
 * Returns for how many ms nothing has come from the member, or -1 if nothing ever
 * came under its id.
 */
static clock_ms_t silence_of(const replica_t *replica,
			     const raft_member_t *member)
{
	const replica_peer_t *peer = replica_peer(replica, member->instance);

	if (peer == NULL || peer->heard_id != member->id)
		return -1;
	return clock_now(replica->net->clock) - peer->heard_ms;
}

static bool is_linked(const replica_t *replica, const raft_member_t *member)
{
	const replica_peer_t *peer = replica_peer(replica, member->instance);

	return peer != NULL && link_is_open(&peer->link);
}

/*
 * Appends each voter with what is known of it: "self", "lost" (its disk), or
 * whether the link to its instance is open and for how many ms nothing came
 * from it.
 */
void replica_describe_voters(const replica_t *replica, GString *text)
{
	const raft_members_t *members = &replica->raft.members;

	for (uint32_t i = 0; i < members->count; i++) {
		const raft_member_t *member = &members->items[i];
		clock_ms_t silence_ms = silence_of(replica, member);

		if (!member->voter)
			continue;
		g_string_append_printf(text, "%s%s=", text->len > 0 ? "," : "",
				       member->instance);
		if (member->id == replica->raft.id)
			g_string_append(text, "self");
		else if (raft_is_lost(&replica->raft, member->id))
			g_string_append(text, "lost");
		else if (silence_ms < 0)
			g_string_append(text, "never_heard");
		else
			g_string_append_printf(
				text, "%s/%" G_GINT64_FORMAT "ms",
				is_linked(replica, member) ? "open" : "closed",
				silence_ms);
	}
}

/*
 * Appends the voters other than this one from which nothing has come for
 * GROUP_REACHABLE_MS: a leader can't be elected while too few are left.
 */
void replica_describe_missing(const replica_t *replica, GString *text)
{
	const raft_members_t *members = &replica->raft.members;

	for (uint32_t i = 0; i < members->count; i++) {
		const raft_member_t *member = &members->items[i];
		clock_ms_t silence_ms = silence_of(replica, member);

		if (member->voter && member->id != replica->raft.id &&
		    (silence_ms < 0 || silence_ms >= GROUP_REACHABLE_MS))
			g_string_append_printf(text, "%s%s",
					       text->len > 0 ? "," : "",
					       member->instance);
	}
}
