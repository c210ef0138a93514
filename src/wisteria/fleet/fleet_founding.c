/*
 * Founds the control group at the first start of a fleet: carries the messages
 * of the agreement on its first members, see founding.c, and starts the replica
 * with the result.  Requests go to the seeds over the subscription, and replies
 * come back on the same connection, so that seeds without a data folder vote.
 */
#include "wisteria/fleet/fleet_founding.h"

#include <sodium.h>

#include "wisteria/base/clock.h"
#include "wisteria/base/err.h"
#include "wisteria/base/log.h"
#include "wisteria/control/founding.h"
#include "wisteria/control/founding_file.h"
#include "wisteria/control/replica_group.h"
#include "wisteria/fleet/subscription.h"
#include "wisteria/net/conn.h"
#include "wisteria/raft/raft_members.h"
#include "wisteria/settings/settings.h"

#define FOUNDING_LOG_INTERVAL_MS 2000

static clock_ms_t now_of(const fleet_control_t *control)
{
	return clock_now(control->net->clock);
}

/* The caller frees the result, which "out" points to. */
static GBytes *encode(const founding_msg_t *msg, msg_fleet_founding_t *out)
{
	GBytes *members = raft_members_encode(&msg->members);

	*out = (msg_fleet_founding_t){
		.kind = msg->kind,
		.round = msg->ballot.round,
		.proposer = msg->ballot.proposer,
		.accepted_round = msg->accepted.round,
		.accepted_proposer = msg->accepted.proposer,
	};
	out->members.data = g_bytes_get_data(members, &out->members.len);
	return members;
}

/* Returns false if the list of members is malformed. */
static bool decode(const msg_fleet_founding_t *msg, founding_msg_t *out)
{
	err_t err = ERR_INIT;

	*out = (founding_msg_t){
		.kind = msg->kind,
		.ballot = { msg->round, msg->proposer },
		.accepted = { msg->accepted_round, msg->accepted_proposer },
	};
	return raft_members_decode(&out->members, msg->members.data,
				   msg->members.len, &err);
}

static void send_to_seeds(fleet_control_t *control,
			  const founding_msg_t *request)
{
	const founding_t *founding = &control->founding;
	msg_fleet_founding_t msg;
	GBytes *members = encode(request, &msg);

	for (uint32_t i = 0; i < founding->seed_count; i++)
		if ((int)i != founding->own_seed)
			subscription_send_to(&control->subscription,
					     founding->seeds[i].address,
					     MSG_FLEET_FOUNDING, &msg);
	g_bytes_unref(members);
}

static void send_requests(fleet_control_t *control)
{
	founding_msg_t request;

	while (founding_next_request(&control->founding, now_of(control),
				     &request))
		send_to_seeds(control, &request);
}

/*
 * An instance that has a log belongs to a group: it is no candidate and, so that
 * "bootstrap" in the settings of a later start does no harm, does not vote.
 */
static void update_standing(fleet_control_t *control)
{
	raft_member_t self;

	if (!control->has_replica || !control->may_found) {
		founding_set_candidate(&control->founding, NULL);
		return;
	}
	if (!replica_has_empty_log(&control->replica)) {
		control->founding.votes = false;
		founding_set_candidate(&control->founding, NULL);
		return;
	}
	self = replica_candidate(&control->replica);
	founding_set_candidate(&control->founding, &self);
}

/* Logs each FOUNDING_LOG_INTERVAL_MS how the seeds answered the last attempt. */
static void log_postponed(fleet_control_t *control, clock_ms_t now)
{
	const founding_t *founding = &control->founding;
	GString *answers;

	if (now < control->founding_log_at_ms)
		return;
	control->founding_log_at_ms = now + FOUNDING_LOG_INTERVAL_MS;
	answers = g_string_new(NULL);
	for (uint32_t i = 0; i < founding->seed_count; i++)
		g_string_append_printf(
			answers, "%s%s=%s", i > 0 ? "," : "",
			founding->seeds[i].address,
			founding_answer_name(founding->seeds[i].answer));
	LOG_INFO("founding_postponed",
		 "round=%" G_GUINT64_FORMAT " members=%u seeds=%s",
		 founding->ballot.round, founding->list.count, answers->str);
	g_string_free(answers, TRUE);
}

/*
 * Passes the decision on to the replica: one that is on the list starts the
 * group, and one that is not asks the members to join.
 */
static void apply_decision(fleet_control_t *control, clock_ms_t now)
{
	const raft_members_t *members = founding_decision(&control->founding);

	if (members == NULL || !control->has_replica)
		return;
	if (!control->founding_is_known) {
		control->founding_is_known = true;
		replica_learn_members(&control->replica, members);
	}
	if (founding_may_start_group(&control->founding, now))
		replica_start_group(&control->replica, members);
}

/* Takes the next step of the agreement, at each tick. */
void fleet_founding_tick(fleet_control_t *control, clock_ms_t now)
{
	update_standing(control);
	founding_tick(&control->founding, now);
	send_requests(control);
	if (control->founding.self.id != 0 &&
	    founding_decision(&control->founding) == NULL)
		log_postponed(control, now);
	apply_decision(control, now);
}

/* Answers a candidate, or learns the decision from it. */
void fleet_founding_on_request(fleet_control_t *control, conn_t *conn,
			       const msg_fleet_founding_t *msg)
{
	msg_fleet_founding_t encoded;
	founding_msg_t request;
	founding_msg_t reply;
	GBytes *members;

	update_standing(control);
	if (!decode(msg, &request) ||
	    !founding_on_request(&control->founding, &request, now_of(control),
				 &reply))
		return;
	members = encode(&reply, &encoded);
	conn_send(conn, MSG_FLEET_FOUNDING, &encoded);
	g_bytes_unref(members);
}

/* Handles the answer of a seed to a request of this instance. */
void fleet_founding_on_reply(fleet_control_t *control, const conn_t *conn,
			     const msg_fleet_founding_t *msg)
{
	founding_msg_t reply;

	if (!decode(msg, &reply))
		return;
	update_standing(control);
	founding_on_reply(&control->founding, conn->peer_instance, &reply,
			  now_of(control));
	send_requests(control);
	apply_decision(control, now_of(control));
}

/*
 * Initializes the agreement.  The seeds of the start are the electorate, also if
 * the settings name others later.
 */
void fleet_founding_init(fleet_control_t *control)
{
	const settings_fleet_t *fleet = control->settings->fleet;

	founding_init(&control->founding, FLEET_INITIAL_VOTERS_MAX,
		      randombytes_random(), control->started_ms);
	control->may_found = fleet->bootstrap;
	control->founding.votes = fleet->bootstrap;
	control->founding_log_at_ms = control->started_ms +
				      FOUNDING_DISCOVERY_MS +
				      FOUNDING_LOG_INTERVAL_MS;
	for (unsigned i = 0; i < fleet->seeds_count; i++) {
		char *address =
			settings_fleet_peer_address(fleet, fleet->seeds[i]);

		founding_add_seed(&control->founding, fleet->peer_listen,
				  address);
		g_free(address);
	}
}

static bool save_votes(founding_store_t *store, const founding_t *founding)
{
	const fleet_control_t *control =
		CONTAINER_OF(store, fleet_control_t, founding_store);
	err_t err = ERR_INIT;

	if (founding_file_save(control->settings->fleet->data_dir, founding,
			       &err))
		return true;
	log_err(G_LOG_LEVEL_WARNING, "votes_not_saved", &err);
	return false;
}

static void abstain(fleet_control_t *control)
{
	control->may_found = false;
	control->founding.votes = false;
}

/*
 * Takes up the votes of an earlier process of this seed, if there is no log yet,
 * or begins to keep them at the first start.  One that does not know what it has
 * promised does not vote.  To be called once the data folder is open.
 */
void fleet_founding_restore(fleet_control_t *control)
{
	const settings_fleet_t *fleet = control->settings->fleet;
	founding_t *founding = &control->founding;
	err_t err = ERR_INIT;
	bool found = false;

	if (!control->has_replica || !replica_has_empty_log(&control->replica))
		return;
	if (!founding_file_load(fleet->data_dir, fleet->peer_listen, founding,
				&found, &err)) {
		log_err(G_LOG_LEVEL_WARNING, "votes_unreadable", &err);
		abstain(control);
		return;
	}
	if (found && founding->own_seed < 0) {
		/* No seed at its present address; only seeds keep their rounds. */
		abstain(control);
		return;
	}
	control->may_found |= found;
	if (found)
		LOG_INFO("votes_recalled",
			 "promised=%" G_GUINT64_FORMAT
			 " accepted=%" G_GUINT64_FORMAT " seeds=%u",
			 founding->promised.round, founding->accepted.round,
			 founding->seed_count);
	if (!control->may_found || founding->own_seed < 0)
		return;
	control->founding_store.save = save_votes;
	founding->store = &control->founding_store;
	/* If this fails, the votes are saved before the first answer. */
	if (!found)
		(void)save_votes(&control->founding_store, founding);
}
