/*
 * Group membership of a replica: bootstrapping a new group, joining an
 * existing one, and replacing a replica that lost its disk.
 *
 * A blank replica has never belonged to a group, or has lost its disk.  It
 * sends a search message to the others.  If all initial voters are blank, the
 * one whose instance name sorts first bootstraps the group, unless join_only is
 * set; the group of a fleet is founded by agreement instead, see founding.c.  If
 * any replica that replies is not blank, the blank replica requests to join.
 * The replies list the members that their senders know, so that the request
 * reaches the leader even if that is no initial voter.  Its owner adds the
 * instances that it learns of by other ways.  The leader adds the blank replica
 * as a learner under its new id.  Once the learner has caught up, the
 * instance's previous id, if it has one, is removed after REPLICA_STALE_MS of
 * silence (GROUP_REPLACE_TIMEOUT_MS in an open group).  A caught-up learner
 * without a previous id is promoted if its instance is an initial voter or the
 * group is open.
 *
 * In an open group (see settings_control_t.open_group) the leader also removes
 * lost members; see group_policy.c.
 */
#include "wisteria/control/replica_group.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/counters.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/control/group_policy.h"
#include "wisteria/control/replica_leave.h"
#include "wisteria/control/replica_losses.h"
#include "wisteria/net/conn.h"
#include "wisteria/net/link.h"
#include "wisteria/raft/raft.h"
#include "wisteria/raft/raft_log.h"
#include "wisteria/raft/raft_members.h"

static clock_ms_t now_of(const replica_t *replica)
{
	return clock_now(replica->net->clock);
}

static bool is_self(const replica_t *replica, const char *instance)
{
	return strcmp(instance, replica->net->instance) == 0;
}

/* Returns the peer named "instance", or NULL if there is none. */
replica_peer_t *replica_peer(const replica_t *replica, const char *instance)
{
	for (guint i = 0; i < replica->peers->len; i++) {
		replica_peer_t *peer = g_ptr_array_index(replica->peers, i);

		if (strcmp(peer->instance, instance) == 0)
			return peer;
	}
	return NULL;
}

static void link_peer(replica_t *replica, replica_peer_t *peer,
		      const char *address)
{
	if (peer->linked && strcmp(peer->address, address) == 0)
		return;
	if (peer->linked)
		link_finish(&peer->link);
	g_strlcpy(peer->address, address, sizeof(peer->address));
	link_init(&peer->link, replica->net, address, &replica->handler);
	/*
	 * A silent peer is detected after NET_BUSY_TIMEOUT_MS instead of
	 * NET_IDLE_TIMEOUT_MS.
	 */
	link_mark_busy(&peer->link);
	peer->linked = true;
}

static replica_peer_t *add_peer(replica_t *replica, const char *instance,
				const char *address)
{
	replica_peer_t *peer = replica_peer(replica, instance);

	if (is_self(replica, instance))
		return NULL;
	if (peer == NULL) {
		peer = g_new0(replica_peer_t, 1);
		peer->answered_ms = -REPLICA_STALE_MS;
		peer->referred_ms = -REPLICA_STALE_MS;
		g_strlcpy(peer->instance, instance, sizeof(peer->instance));
		g_ptr_array_add(replica->peers, peer);
	}
	link_peer(replica, peer, address);
	return peer;
}

/* Opens links to the initial voters, which the settings list. */
void replica_link_initial_voters(replica_t *replica)
{
	const settings_control_t *control = replica->settings->control;

	for (unsigned i = 0; i < control->voters_count; i++) {
		replica_peer_t *peer =
			add_peer(replica, control->voters[i].instance,
				 control->voters[i].address);

		if (peer != NULL)
			peer->is_initial_voter = true;
	}
}

/* Opens links to the group's members. */
void replica_link_members(replica_t *replica)
{
	const raft_members_t *members = &replica->raft.members;

	for (uint32_t i = 0; i < members->count; i++)
		add_peer(replica, members->items[i].instance,
			 members->items[i].address);
}

/* Closes the links to all peers. */
void replica_close_peers(replica_t *replica)
{
	for (guint i = 0; i < replica->peers->len; i++) {
		replica_peer_t *peer = g_ptr_array_index(replica->peers, i);

		if (peer->linked)
			link_finish(&peer->link);
		peer->linked = false;
	}
}

static const settings_peer_t *find_own_voter(const replica_t *replica)
{
	const settings_control_t *control = replica->settings->control;

	for (unsigned i = 0; i < control->voters_count; i++)
		if (is_self(replica, control->voters[i].instance))
			return &control->voters[i];
	return NULL;
}

/*
 * Returns this replica's member record.  "voter" is used only when a group is
 * bootstrapped; a replica that requests to join is added as a learner.
 */
static raft_member_t describe_self(const replica_t *replica)
{
	const settings_peer_t *voter = find_own_voter(replica);
	raft_member_t member = { .id = replica->raft.id, .voter = true };

	g_strlcpy(member.instance, replica->net->instance, RAFT_NAME_BYTES);
	g_strlcpy(member.address,
		  voter != NULL ? voter->address
				: replica->settings->control->listen,
		  RAFT_NAME_BYTES);
	return member;
}

/*
 * Sends a message that describes this replica.  "context" is the number of the
 * question for REPLICA_MSG_IDENTIFY and REPLICA_MSG_IDENTITY, otherwise 0.
 */
void replica_send_group_message(replica_t *replica, replica_peer_t *peer,
				uint32_t kind, uint64_t context)
{
	raft_members_t self = { .count = 1 };
	msg_raft_t msg = {
		.kind = kind,
		.from = replica->raft.id,
		.context = context,
		/* In a search reply: this replica is not blank. */
		.reject = !raft_is_blank(&replica->raft),
	};
	GBytes *bytes;

	self.items[0] = describe_self(replica);
	bytes = raft_members_encode(&self);
	msg.members.data = g_bytes_get_data(bytes, &msg.members.len);
	link_send(&peer->link, MSG_RAFT, &msg);
	g_bytes_unref(bytes);
}

/* Sends the members that this replica knows, if it knows any. */
static void send_members(replica_t *replica, replica_peer_t *peer)
{
	msg_raft_t msg = {
		.kind = REPLICA_MSG_MEMBERS,
		.from = replica->raft.id,
	};
	GBytes *bytes;

	if (replica->raft.members.count == 0)
		return;
	bytes = raft_members_encode(&replica->raft.members);
	msg.members.data = g_bytes_get_data(bytes, &msg.members.len);
	link_send(&peer->link, MSG_RAFT, &msg);
	g_bytes_unref(bytes);
}

static void send_to_all(replica_t *replica, uint32_t kind)
{
	for (guint i = 0; i < replica->peers->len; i++)
		replica_send_group_message(
			replica, g_ptr_array_index(replica->peers, i), kind, 0);
}

static bool is_bootstrap_replica(const replica_t *replica)
{
	const settings_control_t *control = replica->settings->control;
	const char *first = replica->net->instance;

	for (unsigned i = 0; i < control->voters_count; i++)
		if (strcmp(control->voters[i].instance, first) < 0)
			first = control->voters[i].instance;
	return !control->join_only && find_own_voter(replica) != NULL &&
	       is_self(replica, first);
}

static bool all_initial_voters_are_blank(const replica_t *replica)
{
	clock_ms_t now = now_of(replica);

	for (guint i = 0; i < replica->peers->len; i++) {
		const replica_peer_t *peer =
			g_ptr_array_index(replica->peers, i);

		if (peer->is_initial_voter &&
		    (!peer->blank ||
		     now - peer->answered_ms >= REPLICA_STALE_MS))
			return false;
	}
	return true;
}

static bool any_peer_has_group(const replica_t *replica)
{
	clock_ms_t now = now_of(replica);

	for (guint i = 0; i < replica->peers->len; i++) {
		const replica_peer_t *peer =
			g_ptr_array_index(replica->peers, i);

		if (!peer->blank && now - peer->answered_ms < REPLICA_STALE_MS)
			return true;
	}
	return false;
}

static void log_founding(const raft_members_t *members)
{
	GString *names = g_string_new(NULL);

	for (uint32_t i = 0; i < members->count; i++)
		g_string_append_printf(names, "%s%s", i > 0 ? "," : "",
				       members->items[i].instance);
	LOG_INFO("group_founded", "members=%u voters=%s", members->count,
		 names->str);
	g_string_free(names, TRUE);
}

static void bootstrap_group(replica_t *replica)
{
	raft_members_t members = { .count = 1 };

	members.items[0] = describe_self(replica);
	for (guint i = 0; i < replica->peers->len; i++) {
		const replica_peer_t *peer =
			g_ptr_array_index(replica->peers, i);
		raft_member_t *member = &members.items[members.count];

		if (!peer->is_initial_voter)
			continue;
		member->id = peer->id;
		member->voter = true;
		g_strlcpy(member->instance, peer->instance, RAFT_NAME_BYTES);
		g_strlcpy(member->address, peer->address, RAFT_NAME_BYTES);
		members.count++;
	}
	log_founding(&members);
	raft_bootstrap(&replica->raft, &members);
}

/*
 * Returns whether this replica has no log, which every member of a group
 * receives.
 */
bool replica_has_empty_log(const replica_t *replica)
{
	return raft_log_last(&replica->raft.log) == 0;
}

/* Returns this replica as a member of the group that is to be founded. */
raft_member_t replica_candidate(const replica_t *replica)
{
	return describe_self(replica);
}

/*
 * Starts the group of these members if this replica is one of them and its log
 * is empty.  Several replicas may start the same group; the list must be the
 * same at all of them.
 */
void replica_start_group(replica_t *replica, const raft_members_t *members)
{
	if (!replica_has_empty_log(replica) ||
	    raft_members_find(members, replica->raft.id) == NULL)
		return;
	log_founding(members);
	raft_bootstrap(&replica->raft, members);
	raft_shorten_election_timeout(&replica->raft);
}

/*
 * Returns whether this replica may have been removed from an open group, since
 * it receives no messages from a leader.  The leader ignores a join request
 * from a replica that is still a member.
 */
static bool may_have_been_removed(const replica_t *replica)
{
	const raft_t *raft = &replica->raft;

	return replica->settings->control->open_group &&
	       raft->role != RAFT_LEADER &&
	       raft->now_ms - raft->leader_contact_ms >= REPLICA_STALE_MS;
}

/*
 * Returns whether this replica is not in its list of members, or is in it but
 * may have been removed from the group.
 */
bool replica_is_searching(const replica_t *replica)
{
	const raft_t *raft = &replica->raft;

	return raft_members_find(&raft->members, raft->id) == NULL ||
	       may_have_been_removed(replica);
}

static bool is_open(const replica_peer_t *peer)
{
	return peer->linked && link_is_open(&peer->link);
}

/* Requests to join, from every instance that can be reached. */
static void request_to_join(replica_t *replica)
{
	clock_ms_t now = now_of(replica);
	unsigned asked = 0;

	send_to_all(replica, REPLICA_MSG_JOIN);
	if (now < replica->join_log_ms)
		return;
	replica->join_log_ms = now + REPLICA_JOIN_LOG_MS;
	for (guint i = 0; i < replica->peers->len; i++)
		asked += is_open(g_ptr_array_index(replica->peers, i));
	LOG_INFO("join_requested",
		 "replica=%" G_GINT64_MODIFIER "x asked=%u peers=%u",
		 replica->raft.id, asked, replica->peers->len);
}

/* While searching, looks for a group to join, or bootstraps one. */
void replica_search(replica_t *replica)
{
	const raft_t *raft = &replica->raft;
	clock_ms_t now = now_of(replica);

	if (now < replica->search_at_ms || replica->leaving.begun ||
	    !replica_is_searching(replica))
		return;
	replica->search_at_ms = now + REPLICA_SEARCH_MS;
	if (raft_is_blank(raft) && is_bootstrap_replica(replica) &&
	    all_initial_voters_are_blank(replica)) {
		bootstrap_group(replica);
		return;
	}
	send_to_all(replica, REPLICA_MSG_SEARCH);
	/* A replica with a term or a log knows that a group exists. */
	if (!raft_is_blank(raft) || any_peer_has_group(replica))
		request_to_join(replica);
}

static void record_search_reply(replica_t *replica, const char *instance,
				const msg_raft_t *msg)
{
	replica_peer_t *peer = replica_peer(replica, instance);

	if (peer == NULL)
		return;
	peer->id = msg->from;
	peer->blank = !msg->reject;
	peer->answered_ms = now_of(replica);
}

/*
 * Links the members of the group that another replica knows, so that a join
 * request reaches whoever leads.  A replica that has lost its disk knows the
 * initial voters only, and the leader may be none of them.
 */
void replica_learn_members(replica_t *replica, const raft_members_t *members)
{
	for (uint32_t i = 0; i < members->count; i++) {
		const raft_member_t *member = &members->items[i];

		if (replica_peer(replica, member->instance) != NULL ||
		    is_self(replica, member->instance))
			continue;
		add_peer(replica, member->instance, member->address);
		LOG_INFO("member_learned", "member=%s address=%s",
			 member->instance, member->address);
	}
}

/* Asks "instance" as well when this replica searches for its group. */
void replica_add_contact(replica_t *replica, const char *instance,
			 const char *address)
{
	if (replica_peer(replica, instance) != NULL ||
	    is_self(replica, instance))
		return;
	add_peer(replica, instance, address)->is_contact = true;
	LOG_INFO("contact_learned", "peer=%s address=%s", instance, address);
}

/*
 * Drops the contacts that "known" doesn't contain, unless this replica
 * searches; members and initial voters stay.  Not to be called while a message
 * of a peer is handled.
 */
void replica_drop_contacts(replica_t *replica, GHashTable *known)
{
	guint i = 0;

	if (replica_is_searching(replica))
		return;
	while (i < replica->peers->len) {
		replica_peer_t *peer = g_ptr_array_index(replica->peers, i);

		if (!peer->is_contact || peer->is_initial_voter ||
		    raft_members_find_instance(&replica->raft.members,
					       peer->instance) != NULL ||
		    g_hash_table_contains(known, peer->instance)) {
			i++;
			continue;
		}
		LOG_INFO("contact_dropped", "peer=%s", peer->instance);
		if (peer->linked)
			link_finish(&peer->link);
		g_ptr_array_remove_index(replica->peers, i);
	}
}

/* An instance without a replica has answered with those that it knows. */
void replica_record_referral(replica_t *replica, const char *instance)
{
	replica_peer_t *peer = replica_peer(replica, instance);

	if (peer != NULL)
		peer->referred_ms = now_of(replica);
}

/* Returns the instance that leads, or "-" if none is known. */
static const char *leader_instance(const replica_t *replica)
{
	const raft_member_t *leader =
		raft_members_find(&replica->raft.members, replica->raft.leader);

	return leader == NULL ? "-" : leader->instance;
}

static void record_joiner(replica_t *replica, const raft_member_t *joiner)
{
	const char *leader;

	if (!joiners_record(&replica->joiners, joiner, now_of(replica)))
		return;
	leader = leader_instance(replica);
	LOG_INFO("join_request_received",
		 "member=%s address=%s replica=%" G_GINT64_MODIFIER
		 "x is_member=%d leader=%s",
		 joiner->instance, joiner->address, joiner->id,
		 raft_members_find(&replica->raft.members, joiner->id) != NULL,
		 leader);
}

/*
 * Handles a search message, a search reply, a join request, a list of members,
 * or the question for an id and its answer.  All but the list describe their
 * sender.
 */
void replica_on_group_message(replica_t *replica, conn_t *conn,
			      const msg_raft_t *msg)
{
	raft_members_t members;
	replica_peer_t *peer;
	err_t err = ERR_INIT;

	if (!raft_members_decode(&members, msg->members.data, msg->members.len,
				 &err))
		return;
	if (msg->kind == REPLICA_MSG_MEMBERS) {
		if (replica_is_searching(replica))
			replica_learn_members(replica, &members);
		return;
	}
	if (members.count != 1 ||
	    strcmp(members.items[0].instance, conn->peer_instance) != 0)
		return;
	if (msg->kind == REPLICA_MSG_SEARCH_REPLY) {
		record_search_reply(replica, conn->peer_instance, msg);
		return;
	}
	if (msg->kind == REPLICA_MSG_JOIN) {
		record_joiner(replica, &members.items[0]);
		return;
	}
	if (msg->kind == REPLICA_MSG_IDENTITY) {
		replica_record_identity(replica, conn->peer_instance, msg);
		return;
	}
	if (msg->kind == REPLICA_MSG_LEFT) {
		replica_on_left(replica, msg);
		return;
	}
	peer = add_peer(replica, conn->peer_instance, members.items[0].address);
	if (peer == NULL)
		return;
	if (msg->kind == REPLICA_MSG_LEAVE) {
		replica_on_leave(replica, peer, msg);
		return;
	}
	if (msg->kind == REPLICA_MSG_IDENTIFY) {
		replica_send_group_message(replica, peer, REPLICA_MSG_IDENTITY,
					   msg->context);
		return;
	}
	replica_send_group_message(replica, peer, REPLICA_MSG_SEARCH_REPLY, 0);
	send_members(replica, peer);
}

static const raft_member_t *find_previous_member(const replica_t *replica,
						 const raft_member_t *joiner)
{
	const raft_members_t *members = &replica->raft.members;

	for (uint32_t i = 0; i < members->count; i++)
		if (members->items[i].id != joiner->id &&
		    strcmp(members->items[i].instance, joiner->instance) == 0)
			return &members->items[i];
	return NULL;
}

static const raft_progress_t *progress_of(const replica_t *replica, uint64_t id)
{
	const raft_t *raft = &replica->raft;

	for (uint32_t i = 0; i < raft->members.count; i++)
		if (raft->progress[i].id == id)
			return &raft->progress[i];
	return NULL;
}

static bool is_initial_voter(const replica_t *replica, const char *instance)
{
	const settings_control_t *control = replica->settings->control;

	for (unsigned i = 0; i < control->voters_count; i++)
		if (strcmp(control->voters[i].instance, instance) == 0)
			return true;
	return false;
}

/*
 * Returns whether the change has begun.  Takes "member" by value: the change
 * moves the items of the member list.
 */
static bool change_member(replica_t *replica, raft_member_change_t kind,
			  raft_member_t member, const char *event)
{
	err_t err = ERR_INIT;

	if (raft_change_member(&replica->raft, kind, &member, &err) == 0)
		return false;
	LOG_INFO(event, "member=%s address=%s replica=%" G_GINT64_MODIFIER "x",
		 member.instance, member.address, member.id);
	return true;
}

/*
 * For a learner that has caught up: removes the previous member of its instance
 * if that member has been silent for REPLICA_STALE_MS.  Without a previous
 * member, promotes the learner if its instance is an initial voter.
 */
static void replace_or_promote(replica_t *replica, const raft_member_t *learner)
{
	const raft_progress_t *progress = progress_of(replica, learner->id);
	const raft_member_t *previous = find_previous_member(replica, learner);

	if (progress == NULL || progress->match < replica->raft.commit)
		return;
	if (previous != NULL) {
		const raft_progress_t *old = progress_of(replica, previous->id);

		if (old != NULL && replica->raft.now_ms - old->last_heard_ms >=
					   REPLICA_STALE_MS)
			change_member(replica, RAFT_MEMBER_REMOVE, *previous,
				      "member_replaced");
		return;
	}
	if (is_initial_voter(replica, learner->instance))
		change_member(replica, RAFT_MEMBER_PROMOTE, *learner,
			      "member_promoted");
}

/* What a peer has answered to the search messages. */
static const char *search_state(const replica_t *replica,
				const replica_peer_t *peer)
{
	if (!is_open(peer))
		return "closed";
	if (now_of(replica) - peer->answered_ms < REPLICA_STALE_MS)
		return peer->blank ? "blank" : "member";
	return now_of(replica) - peer->referred_ms < REPLICA_STALE_MS
		       ? "referred"
		       : "silent";
}

/* Appends the peers that a searching replica asks, with their answers. */
static void append_asked(const replica_t *replica, GString *text)
{
	for (guint i = 0;
	     replica_is_searching(replica) && i < replica->peers->len; i++) {
		const replica_peer_t *peer =
			g_ptr_array_index(replica->peers, i);

		g_string_append_printf(text, "%s%s=%s",
				       text->len > 0 ? "," : "", peer->instance,
				       search_state(replica, peer));
	}
}

/*
 * Logs why a replica that may found a group has not: how each initial voter
 * answered the last search.
 */
static void log_postponed_founding(const replica_t *replica)
{
	const settings_control_t *control = replica->settings->control;
	GString *answers;

	if (control->join_only || !raft_is_blank(&replica->raft))
		return;
	answers = g_string_new(NULL);
	for (unsigned i = 0; i < control->voters_count; i++) {
		const char *voter = control->voters[i].instance;
		const replica_peer_t *peer = replica_peer(replica, voter);

		g_string_append_printf(
			answers, "%s%s=%s", i > 0 ? "," : "", voter,
			peer == NULL ? "self" : search_state(replica, peer));
	}
	LOG_INFO("founding_postponed", "founder=%s voters=%s",
		 is_bootstrap_replica(replica) ? "self" : "other",
		 answers->str);
	g_string_free(answers, TRUE);
}

/*
 * Logs each REPLICA_LEADERLESS_LOG_MS that no leader is known, how many voters
 * are needed, whether the membership is known to be committed, and what is known
 * of each voter: too few that answer explain why there is no quorum.  A replica
 * that searches names whom it asks.
 */
void replica_log_missing_leader(replica_t *replica)
{
	const raft_members_t *members = &replica->raft.members;
	clock_ms_t now = now_of(replica);
	GString *voters;
	GString *missing;
	GString *asked;

	counter_set(GAUGE_CONTROL_LEADER, replica->raft.leader != 0);
	if (replica->raft.leader != 0 || replica->leaderless_log_ms == 0) {
		replica->leaderless_log_ms = now + REPLICA_LEADERLESS_LOG_MS;
		return;
	}
	if (now < replica->leaderless_log_ms)
		return;
	replica->leaderless_log_ms = now + REPLICA_LEADERLESS_LOG_MS;
	voters = g_string_new(NULL);
	replica_describe_voters(replica, voters);
	missing = g_string_new(NULL);
	replica_describe_missing(replica, missing);
	asked = g_string_new(NULL);
	append_asked(replica, asked);
	LOG_INFO("leader_missing",
		 "term=%" G_GUINT64_FORMAT
		 " quorum=%u members_committed=%d voters=%s"
		 " waits_for=%s asked=%s",
		 replica->raft.term, raft_members_quorum(members),
		 raft_members_are_committed(&replica->raft),
		 voters->len > 0 ? voters->str : "none",
		 missing->len > 0 ? missing->str : "none",
		 asked->len > 0 ? asked->str : "none");
	g_string_free(asked, TRUE);
	g_string_free(missing, TRUE);
	g_string_free(voters, TRUE);
	log_postponed_founding(replica);
}

static bool is_refused(const replica_t *replica, const raft_member_t *member)
{
	const replica_peer_t *peer = replica_peer(replica, member->instance);

	return peer != NULL && peer->linked && link_is_refused(&peer->link);
}

/* Logs why the leader changes the membership. */
static void log_reason(const replica_t *replica,
		       const group_member_status_t *status,
		       const group_change_t *next)
{
	LOG_INFO("members_changed",
		 "reason=%s silent_ms=%" G_GINT64_FORMAT " refused=%d voters=%u"
		 " quorum=%u tolerated_machines=%u",
		 group_reason_names[next->reason], status->silent_ms,
		 status->refused,
		 raft_members_count_voters(&replica->raft.members),
		 raft_members_quorum(&replica->raft.members),
		 replica_tolerance(replica)->machines);
}

/* Makes the next membership change of an open group; see group_policy.c. */
static void update_open_group(replica_t *replica)
{
	static const char *const events[] = {
		[RAFT_MEMBER_ADD] = "member_added",
		[RAFT_MEMBER_PROMOTE] = "member_promoted",
		[RAFT_MEMBER_REMOVE] = "member_removed",
	};
	const raft_t *raft = &replica->raft;
	group_member_status_t statuses[RAFT_MEMBERS_MAX];
	group_change_t next;
	clock_ms_t watched_ms;

	watched_ms = group_watch_statuses(&replica->watch, raft, statuses);
	for (uint32_t i = 0; i < raft->members.count; i++) {
		const raft_member_t *member = &raft->members.items[i];

		statuses[i].refused = is_refused(replica, member);
		statuses[i].leaving =
			replica_is_leaving_member(replica, member);
	}
	replica_fill_places(replica, statuses);
	if (group_policy_next(&raft->members, statuses,
			      replica_tolerance(replica), watched_ms, &next) &&
	    change_member(replica, next.change,
			  raft->members.items[next.member],
			  events[next.change]))
		log_reason(replica, &statuses[next.member], &next);
}

/*
 * At the leader: adds replicas that requested to join, removes replaced members
 * (in an open group also lost ones) and promotes learners, one change at a
 * time.
 */
void replica_update_membership(replica_t *replica)
{
	const raft_members_t *members = &replica->raft.members;
	const raft_member_t *joiner;
	clock_ms_t now = now_of(replica);

	group_watch_tick(&replica->watch, &replica->raft, now);
	if (replica->raft.role != RAFT_LEADER)
		return;
	joiner = joiners_next(&replica->joiners, members, now);
	if (joiner != NULL)
		change_member(replica, RAFT_MEMBER_ADD, *joiner,
			      "member_added");
	if (replica->settings->control->open_group) {
		update_open_group(replica);
		return;
	}
	for (uint32_t i = 0; i < members->count; i++)
		if (!members->items[i].voter) {
			replace_or_promote(replica, &members->items[i]);
			return;
		}
}
