/*
 * The agreement on the first members of a control group.  The instances that
 * the settings name as seeds accept lists of members; an instance with a disk
 * that belongs to no group is a candidate and proposes one.  Only a list that
 * more than half of the seeds have accepted becomes a group, and a proposer
 * adopts a list that may have been accepted before: the single-decree synod of
 * Lamport, "Paxos made simple" (2001).  So there is one list at most, whatever
 * is frozen, late or lost.
 *
 * A seed with a disk saves its votes before it answers, and is bound by them when
 * it is started again.  One without a disk must not vote then.  Does no I/O of
 * its own and reads no clock.
 */
#include "wisteria/control/founding.h"

#include <stdlib.h>
#include <string.h>

#include "wisteria/raft/raft_members.h"

static int compare_ballots(const founding_ballot_t *a,
			   const founding_ballot_t *b)
{
	if (a->round != b->round)
		return a->round < b->round ? -1 : 1;
	if (a->proposer != b->proposer)
		return a->proposer < b->proposer ? -1 : 1;
	return 0;
}

static bool is_decided(const founding_t *founding)
{
	return founding->decided.count > 0;
}

static void decide(founding_t *founding, const raft_members_t *members,
		   clock_ms_t now)
{
	if (is_decided(founding) || members->count == 0)
		return;
	founding->decided = *members;
	founding->decided_ms = now;
	founding->phase = FOUNDING_IDLE;
	founding->request = 0;
}

/* The acceptor. */

static void list_candidates(const founding_t *founding, clock_ms_t now,
			    raft_members_t *members)
{
	const joiners_t *candidates = &founding->candidates;

	members->count = 0;
	for (uint32_t i = 0; i < candidates->count; i++)
		if (now - candidates->items[i].requested_ms <
		    FOUNDING_OFFER_VALID_MS)
			members->items[members->count++] =
				candidates->items[i].member;
}

static void on_offer(founding_t *founding, const founding_msg_t *request,
		     clock_ms_t now, founding_msg_t *reply)
{
	if (request->members.count == 1)
		joiners_record(&founding->candidates,
			       &request->members.items[0], now);
	reply->kind = FOUNDING_MSG_CANDIDATES;
	list_candidates(founding, now, &reply->members);
}

static void refuse(const founding_t *founding, founding_msg_t *reply)
{
	reply->kind = FOUNDING_MSG_REFUSAL;
	reply->ballot = founding->promised;
}

/*
 * Returns whether the votes of this seed outlast the process, if they have to.
 * Without that it does not answer: it might vote otherwise after a restart.
 */
static bool save_votes(founding_t *founding)
{
	return founding->store == NULL ||
	       founding->store->save(founding->store, founding);
}

static void on_prepare(founding_t *founding, const founding_msg_t *request,
		       clock_ms_t now, founding_msg_t *reply)
{
	if (compare_ballots(&request->ballot, &founding->promised) < 0) {
		refuse(founding, reply);
		return;
	}
	founding->promised = request->ballot;
	if (!save_votes(founding))
		return;
	reply->kind = FOUNDING_MSG_PROMISE;
	reply->ballot = request->ballot;
	reply->accepted = founding->accepted;
	if (founding->accepted.round != 0)
		reply->members = founding->accepted_members;
	else
		list_candidates(founding, now, &reply->members);
}

static void on_accept(founding_t *founding, const founding_msg_t *request,
		      founding_msg_t *reply)
{
	if (compare_ballots(&request->ballot, &founding->promised) < 0 ||
	    request->members.count == 0) {
		refuse(founding, reply);
		return;
	}
	founding->promised = request->ballot;
	founding->accepted = request->ballot;
	founding->accepted_members = request->members;
	if (!save_votes(founding))
		return;
	reply->kind = FOUNDING_MSG_ACCEPTED;
	reply->ballot = request->ballot;
}

/*
 * Handles a request that a candidate sent to this seed.  Returns whether there
 * is a reply to it.
 */
bool founding_on_request(founding_t *founding, const founding_msg_t *request,
			 clock_ms_t now, founding_msg_t *reply)
{
	memset(reply, 0, sizeof(*reply));
	if (request->kind == FOUNDING_MSG_DECISION) {
		decide(founding, &request->members, now);
		return false;
	}
	if (is_decided(founding)) {
		reply->kind = FOUNDING_MSG_DECISION;
		reply->members = founding->decided;
	} else if (!founding->votes) {
		reply->kind = FOUNDING_MSG_ABSTENTION;
	} else if (request->kind == FOUNDING_MSG_OFFER) {
		on_offer(founding, request, now, reply);
	} else if (request->kind == FOUNDING_MSG_PREPARE) {
		on_prepare(founding, request, now, reply);
	} else if (request->kind == FOUNDING_MSG_ACCEPT) {
		on_accept(founding, request, reply);
	}
	return reply->kind != 0;
}

/* The proposer. */

/*
 * Ends the attempt.  The next one is at a random time, so that two proposers do
 * not refuse each other's ballots for long.
 */
static void back_off(founding_t *founding, clock_ms_t now)
{
	founding->phase = FOUNDING_IDLE;
	founding->request = 0;
	founding->attempt_at_ms =
		now +
		g_rand_int_range(founding->random, 1, FOUNDING_BACKOFF_MS + 1);
}

static void set_phase(founding_t *founding, founding_phase_t phase,
		      uint32_t request)
{
	founding->phase = phase;
	founding->request = request;
	for (uint32_t i = 0; i < founding->seed_count; i++)
		founding->seeds[i].answer = 0;
}

static uint32_t count_answers(const founding_t *founding, uint32_t kind)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < founding->seed_count; i++)
		count += founding->seeds[i].answer == kind;
	return count;
}

static bool is_majority(const founding_t *founding, uint32_t count)
{
	return count > founding->seed_count / 2;
}

static int compare_members(const void *a, const void *b)
{
	const raft_member_t *first = a;
	const raft_member_t *second = b;

	return strcmp(first->instance, second->instance);
}

static bool contains(const raft_members_t *members, const char *instance)
{
	for (uint32_t i = 0; i < members->count; i++)
		if (strcmp(members->items[i].instance, instance) == 0)
			return true;
	return false;
}

static void add_candidate(founding_t *founding, const raft_member_t *member)
{
	raft_members_t *list = &founding->list;

	if (list->count == RAFT_MEMBERS_MAX || contains(list, member->instance))
		return;
	list->items[list->count] = *member;
	list->items[list->count++].voter = true;
}

/*
 * Collects the list to propose: the one accepted in the highest ballot or, if
 * there is none, the candidates that the seeds know.
 */
static void take_promise(founding_t *founding, const founding_msg_t *reply)
{
	if (compare_ballots(&reply->accepted, &founding->adopted) > 0) {
		founding->adopted = reply->accepted;
		founding->list = reply->members;
	}
	for (uint32_t i = 0;
	     founding->adopted.round == 0 && i < reply->members.count; i++)
		add_candidate(founding, &reply->members.items[i]);
}

static void begin_accepting(founding_t *founding)
{
	raft_members_t *list = &founding->list;

	if (founding->adopted.round == 0) {
		add_candidate(founding, &founding->self);
		qsort(list->items, list->count, sizeof(list->items[0]),
		      compare_members);
		list->count = MIN(list->count, founding->members_max);
	}
	set_phase(founding, FOUNDING_ACCEPTING, FOUNDING_MSG_ACCEPT);
}

static void on_promise(founding_t *founding, founding_seed_t *seed,
		       const founding_msg_t *reply)
{
	if (founding->phase != FOUNDING_PREPARING ||
	    compare_ballots(&reply->ballot, &founding->ballot) != 0)
		return;
	seed->answer = reply->kind;
	take_promise(founding, reply);
	if (is_majority(founding,
			count_answers(founding, FOUNDING_MSG_PROMISE)))
		begin_accepting(founding);
}

static void on_accepted(founding_t *founding, founding_seed_t *seed,
			const founding_msg_t *reply, clock_ms_t now)
{
	if (founding->phase != FOUNDING_ACCEPTING ||
	    compare_ballots(&reply->ballot, &founding->ballot) != 0)
		return;
	seed->answer = reply->kind;
	if (!is_majority(founding,
			 count_answers(founding, FOUNDING_MSG_ACCEPTED)))
		return;
	decide(founding, &founding->list, now);
	founding->decided_here = true;
	founding->request = FOUNDING_MSG_DECISION;
}

static void on_refusal(founding_t *founding, founding_seed_t *seed,
		       const founding_msg_t *reply, clock_ms_t now)
{
	founding->round_seen = MAX(founding->round_seen, reply->ballot.round);
	if (founding->phase == FOUNDING_IDLE ||
	    compare_ballots(&reply->ballot, &founding->ballot) <= 0)
		return;
	seed->answer = reply->kind;
	back_off(founding, now);
}

/* The rank of this candidate decides when it makes its first attempt. */
static void on_candidates(const founding_t *founding, founding_seed_t *seed,
			  const founding_msg_t *reply, clock_ms_t now)
{
	seed->rank = 0;
	seed->ranked_ms = now;
	for (uint32_t i = 0; i < reply->members.count; i++)
		seed->rank += compare_members(&reply->members.items[i],
					      &founding->self) < 0;
}

static void take_reply(founding_t *founding, founding_seed_t *seed,
		       const founding_msg_t *reply, clock_ms_t now)
{
	if (reply->kind == FOUNDING_MSG_DECISION)
		decide(founding, &reply->members, now);
	if (is_decided(founding))
		return;
	if (reply->kind == FOUNDING_MSG_CANDIDATES)
		on_candidates(founding, seed, reply, now);
	else if (reply->kind == FOUNDING_MSG_PROMISE)
		on_promise(founding, seed, reply);
	else if (reply->kind == FOUNDING_MSG_ACCEPTED)
		on_accepted(founding, seed, reply, now);
	else if (reply->kind == FOUNDING_MSG_REFUSAL)
		on_refusal(founding, seed, reply, now);
	else if (reply->kind == FOUNDING_MSG_ABSTENTION)
		seed->answer = reply->kind;
}

static founding_seed_t *find_seed(founding_t *founding, const char *address)
{
	for (uint32_t i = 0; i < founding->seed_count; i++)
		if (strcmp(founding->seeds[i].address, address) == 0)
			return &founding->seeds[i];
	return NULL;
}

/* Handles the reply of the seed at this address; others are ignored. */
void founding_on_reply(founding_t *founding, const char *seed,
		       const founding_msg_t *reply, clock_ms_t now)
{
	founding_seed_t *found = find_seed(founding, seed);

	if (found != NULL)
		take_reply(founding, found, reply, now);
}

static clock_ms_t rank_delay(const founding_t *founding, clock_ms_t now)
{
	uint32_t rank = 0;

	for (uint32_t i = 0; i < founding->seed_count; i++) {
		const founding_seed_t *seed = &founding->seeds[i];

		if (now - seed->ranked_ms < FOUNDING_OFFER_VALID_MS)
			rank = MAX(rank, seed->rank);
	}
	return (clock_ms_t)rank * FOUNDING_RANK_DELAY_MS;
}

static void begin_attempt(founding_t *founding, clock_ms_t now)
{
	founding->has_attempted = true;
	founding->attempt_at_ms = now + FOUNDING_ATTEMPT_MS;
	founding->ballot = (founding_ballot_t){
		.round = ++founding->round_seen,
		.proposer = founding->self.id,
	};
	founding->adopted = (founding_ballot_t){ 0 };
	founding->list.count = 0;
	set_phase(founding, FOUNDING_PREPARING, FOUNDING_MSG_PREPARE);
}

/*
 * To be called regularly; the requests that are due then come from
 * founding_next_request().
 */
void founding_tick(founding_t *founding, clock_ms_t now)
{
	if (is_decided(founding) || founding->self.id == 0)
		return;
	if (now >= founding->offer_at_ms) {
		founding->offer_at_ms = now + FOUNDING_OFFER_INTERVAL_MS;
		founding->offer_due = true;
	}
	if (founding->phase != FOUNDING_IDLE) {
		if (now >= founding->attempt_at_ms)
			back_off(founding, now);
		return;
	}
	if (now >=
	    founding->attempt_at_ms +
		    (founding->has_attempted ? 0 : rank_delay(founding, now)))
		begin_attempt(founding, now);
}

static void make_request(founding_t *founding, founding_msg_t *request)
{
	memset(request, 0, sizeof(*request));
	if (founding->offer_due) {
		founding->offer_due = false;
		request->kind = FOUNDING_MSG_OFFER;
		request->members.items[0] = founding->self;
		request->members.count = 1;
		return;
	}
	request->kind = founding->request;
	request->ballot = founding->ballot;
	if (request->kind == FOUNDING_MSG_ACCEPT)
		request->members = founding->list;
	else if (request->kind == FOUNDING_MSG_DECISION)
		request->members = founding->decided;
	founding->request = 0;
}

/*
 * Returns whether there is a request to send to all other seeds, and sets
 * "request".  If this instance is a seed, it has answered it already.  To be
 * called until it returns false after each tick and each reply.
 */
bool founding_next_request(founding_t *founding, clock_ms_t now,
			   founding_msg_t *request)
{
	founding_msg_t reply;

	if (!founding->offer_due && founding->request == 0)
		return false;
	make_request(founding, request);
	if (founding->own_seed >= 0 &&
	    founding_on_request(founding, request, now, &reply))
		take_reply(founding, &founding->seeds[founding->own_seed],
			   &reply, now);
	return true;
}

/* Returns the list that was agreed on, or NULL if none is known here. */
const raft_members_t *founding_decision(const founding_t *founding)
{
	return is_decided(founding) ? &founding->decided : NULL;
}

/*
 * Returns whether a member of the list may start the group now: the proposer at
 * once, and the others if the proposer has not done so for a while.  All start
 * it with the same entry, so that it is one group even if several do.
 */
bool founding_may_start_group(const founding_t *founding, clock_ms_t now)
{
	return is_decided(founding) &&
	       (founding->decided_here ||
		now - founding->decided_ms >= FOUNDING_TAKEOVER_MS);
}

/* Returns the name of a seed's answer for logs. */
const char *founding_answer_name(uint32_t answer)
{
	switch (answer) {
	case FOUNDING_MSG_PROMISE:
		return "promised";
	case FOUNDING_MSG_ACCEPTED:
		return "accepted";
	case FOUNDING_MSG_REFUSAL:
		return "refused";
	case FOUNDING_MSG_ABSTENTION:
		return "abstains";
	default:
		return "silent";
	}
}

/*
 * Initializes the agreement of an instance that does not vote and is no
 * candidate.  A list has at most "members_max" members.
 */
void founding_init(founding_t *founding, uint32_t members_max,
		   uint32_t random_seed, clock_ms_t now)
{
	memset(founding, 0, sizeof(*founding));
	founding->own_seed = -1;
	founding->members_max = MIN(members_max, RAFT_MEMBERS_MAX);
	founding->random = g_rand_new_with_seed(random_seed);
	founding->attempt_at_ms = now + FOUNDING_DISCOVERY_MS;
	founding->offer_at_ms = now;
}

/* Frees the memory of the agreement. */
void founding_finish(founding_t *founding)
{
	g_rand_free(founding->random);
}

/* Adds a seed once; more than FOUNDING_SEEDS_MAX are ignored. */
void founding_add_seed(founding_t *founding, const char *own_address,
		       const char *address)
{
	founding_seed_t *seed = &founding->seeds[founding->seed_count];

	if (founding->seed_count == FOUNDING_SEEDS_MAX ||
	    find_seed(founding, address) != NULL)
		return;
	if (strcmp(own_address, address) == 0)
		founding->own_seed = (int)founding->seed_count;
	g_strlcpy(seed->address, address, sizeof(seed->address));
	seed->ranked_ms = -FOUNDING_OFFER_VALID_MS;
	founding->seed_count++;
}

/* Removes all seeds. */
void founding_clear_seeds(founding_t *founding)
{
	founding->seed_count = 0;
	founding->own_seed = -1;
}

/*
 * Takes up the votes of an earlier process of this seed; "members" is the list
 * accepted in "accepted".  From now on it votes, bound by them, and proposes in
 * later rounds only.
 */
void founding_restore(founding_t *founding, const founding_ballot_t *promised,
		      const founding_ballot_t *accepted,
		      const raft_members_t *members)
{
	founding->promised = *promised;
	founding->accepted = *accepted;
	founding->accepted_members = *members;
	founding->round_seen = promised->round;
	founding->votes = true;
}

/*
 * Makes this instance a candidate under this id and address; NULL: it is none
 * any more, as it has no disk or belongs to a group.
 */
void founding_set_candidate(founding_t *founding, const raft_member_t *self)
{
	if (self != NULL) {
		founding->self = *self;
		return;
	}
	founding->self.id = 0;
	if (!is_decided(founding)) {
		founding->phase = FOUNDING_IDLE;
		founding->request = 0;
	}
	founding->offer_due = false;
}
