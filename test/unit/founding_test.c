/*
 * The agreement on the first members of a control group: single steps, and
 * seeded random walks over instances with and without disks that are frozen,
 * killed, late or cut off while messages are lost and disks refuse writes.  A
 * walk fails if two lists are started, or if no member of the list has started
 * the group within FOUNDED_BOUND_MS after the faults, with more than half of the
 * seeds running that have a disk or were never restarted.
 */
#include "unit.h"

#include <stdio.h>
#include <string.h>

#include "wisteria/control/founding.h"
#include "wisteria/raft/raft_members.h"

#define NODES_MAX 7
#define SEEDS_MAX 3
#define MEMBERS_MAX 11
#define TICK_MS 20
#define LATENCY_MAX_MS 60
/* While messages are slow. */
#define SLOW_LATENCY_MAX_MS 400
#define FOUNDED_BOUND_MS 6000
#define WALKS 2000
#define WALK_EVENTS 16

/* A rule that is left out, for a walk that must fail. */
typedef enum {
	FAULT_NONE,
	FAULT_OWN_VOTE_ONLY, /* each candidate is its only seed */
	FAULT_NO_ACCEPT,     /* a list is started as soon as it is proposed */
	FAULT_NO_ADOPTION,   /* promises do not tell what was accepted */
	FAULT_NO_DISK	     /* a seed forgets its votes, and votes again */
} fault_t;

/* What a seed has saved. */
typedef struct {
	founding_store_t store;
	bool is_full;
	bool has_votes;
	founding_ballot_t promised;
	founding_ballot_t accepted;
	raft_members_t members;
} disk_t;

typedef struct {
	founding_t founding;
	uint64_t id;
	bool has_disk;
	disk_t disk;
	bool is_up;
	bool is_frozen;
	bool was_restarted;
	bool has_started; /* the group of "started" */
	raft_members_t started;
	clock_ms_t start_at_ms; /* -1: it has been started */
	uint64_t run;		/* of the process */
} node_t;

/* A message on its way; those of a process that has ended are dropped. */
typedef struct {
	clock_ms_t at_ms;
	int from;
	int to;
	uint64_t from_run;
	uint64_t to_run;
	bool is_reply;
	founding_msg_t msg;
} packet_t;

typedef struct {
	GRand *random;
	node_t nodes[NODES_MAX];
	int count;
	int seeds[SEEDS_MAX];
	int seed_count;
	GArray *packets; /* of packet_t */
	bool cut[NODES_MAX][NODES_MAX];
	int loss_percent;
	clock_ms_t latency_max_ms;
	clock_ms_t now_ms;
	fault_t fault;
	uint32_t kills;
	const char *violation;
} walk_t;

static const char *address_of(int at)
{
	static const char *const addresses[NODES_MAX] = {
		"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1",
		"10.0.0.5:1", "10.0.0.6:1", "10.0.0.7:1",
	};

	return addresses[at];
}

static bool draw_percent(walk_t *walk, int percent)
{
	return g_rand_int_range(walk->random, 0, 100) < percent;
}

static void send_packet(walk_t *walk, int from, int to, bool is_reply,
			const founding_msg_t *msg)
{
	packet_t packet = {
		.at_ms = walk->now_ms +
			 g_rand_int_range(walk->random, 1,
					  (gint32)walk->latency_max_ms),
		.from = from,
		.to = to,
		.from_run = walk->nodes[from].run,
		.to_run = walk->nodes[to].run,
		.is_reply = is_reply,
		.msg = *msg,
	};

	if (!walk->cut[from][to] && !draw_percent(walk, walk->loss_percent))
		g_array_append_val(walk->packets, packet);
}

static bool save_to_disk(founding_store_t *store, const founding_t *founding)
{
	disk_t *disk = CONTAINER_OF(store, disk_t, store);

	if (disk->is_full)
		return false;
	disk->has_votes = true;
	disk->promised = founding->promised;
	disk->accepted = founding->accepted;
	disk->members = founding->accepted_members;
	return true;
}

static bool is_seed(const walk_t *walk, int at)
{
	for (int i = 0; i < walk->seed_count; i++)
		if (walk->seeds[i] == at)
			return true;
	return false;
}

/*
 * Lets a seed with a disk keep its votes.  One that is started again reads them,
 * unless it has a log.  Returns whether it may take part.
 */
static bool restore_votes(walk_t *walk, int at)
{
	static const disk_t empty;
	node_t *node = &walk->nodes[at];
	const disk_t *disk =
		walk->fault == FAULT_NO_DISK ? &empty : &node->disk;

	if (!node->has_disk || node->has_started || !is_seed(walk, at))
		return !node->was_restarted;
	if (node->was_restarted && !node->disk.has_votes)
		return false;
	node->disk.store.save = save_to_disk;
	node->founding.store = &node->disk.store;
	if (node->was_restarted)
		founding_restore(&node->founding, &disk->promised,
				 &disk->accepted, &disk->members);
	else
		(void)save_to_disk(&node->disk.store, &node->founding);
	return true;
}

/* Starts the process of a node; one that is started again has no bootstrap. */
static void start_node(walk_t *walk, int at)
{
	node_t *node = &walk->nodes[at];
	raft_member_t self = { .id = node->id, .voter = true };

	node->was_restarted = node->run > 0;
	node->start_at_ms = -1;
	node->is_up = true;
	node->is_frozen = false;
	node->run++;
	founding_init(&node->founding, MEMBERS_MAX, g_rand_int(walk->random),
		      walk->now_ms);
	for (int i = 0; i < walk->seed_count; i++)
		founding_add_seed(&node->founding, address_of(at),
				  address_of(walk->fault == FAULT_OWN_VOTE_ONLY
						     ? at
						     : walk->seeds[i]));
	node->founding.votes = !node->was_restarted;
	if (!restore_votes(walk, at) || !node->has_disk || node->has_started)
		return;
	g_strlcpy(self.instance, address_of(at), sizeof(self.instance));
	g_strlcpy(self.address, address_of(at), sizeof(self.address));
	founding_set_candidate(&node->founding, &self);
}

/* What it has started may not be on its disk yet. */
static void kill_node(walk_t *walk, int at)
{
	node_t *node = &walk->nodes[at];

	founding_finish(&node->founding);
	node->is_up = false;
	if (draw_percent(walk, 50))
		node->has_started = false;
}

static bool is_same_list(const raft_members_t *a, const raft_members_t *b)
{
	if (a->count != b->count)
		return false;
	for (uint32_t i = 0; i < a->count; i++)
		if (a->items[i].id != b->items[i].id)
			return false;
	return true;
}

static void start_group(walk_t *walk, int at, const raft_members_t *members)
{
	node_t *node = &walk->nodes[at];

	if (raft_members_find(members, node->id) == NULL || node->has_started)
		return;
	for (int i = 0; i < walk->count; i++)
		if (walk->nodes[i].has_started &&
		    !is_same_list(&walk->nodes[i].started, members))
			walk->violation = "two groups are founded";
	node->has_started = true;
	node->started = *members;
}

static void send_requests(walk_t *walk, int at)
{
	founding_t *founding = &walk->nodes[at].founding;
	founding_msg_t request;

	while (founding_next_request(founding, walk->now_ms, &request)) {
		if (walk->fault == FAULT_NO_ACCEPT &&
		    request.kind == FOUNDING_MSG_ACCEPT)
			start_group(walk, at, &request.members);
		for (int i = 0; i < walk->seed_count; i++)
			if (walk->seeds[i] != at)
				send_packet(walk, at, walk->seeds[i], false,
					    &request);
	}
}

static void deliver(walk_t *walk, const packet_t *packet)
{
	node_t *node = &walk->nodes[packet->to];
	founding_msg_t reply;

	if (!node->is_up || node->run != packet->to_run ||
	    walk->nodes[packet->from].run != packet->from_run)
		return;
	if (packet->is_reply)
		founding_on_reply(&node->founding, address_of(packet->from),
				  &packet->msg, walk->now_ms);
	else if (founding_on_request(&node->founding, &packet->msg,
				     walk->now_ms, &reply)) {
		if (walk->fault == FAULT_NO_ADOPTION)
			reply.accepted.round = 0;
		send_packet(walk, packet->to, packet->from, true, &reply);
	}
	send_requests(walk, packet->to);
}

/* Messages to a frozen node wait until it wakes. */
static void deliver_due(walk_t *walk)
{
	guint i = 0;

	while (i < walk->packets->len) {
		packet_t packet = g_array_index(walk->packets, packet_t, i);

		if (packet.at_ms > walk->now_ms ||
		    walk->nodes[packet.to].is_frozen) {
			i++;
			continue;
		}
		g_array_remove_index_fast(walk->packets, i);
		deliver(walk, &packet);
	}
}

/* At its first start a process ends if it can't create its data folder. */
static bool cannot_start(const node_t *node)
{
	return node->run == 0 && node->has_disk && node->disk.is_full;
}

static void tick_node(walk_t *walk, int at)
{
	node_t *node = &walk->nodes[at];
	const raft_members_t *decision;

	if (node->start_at_ms >= 0 && walk->now_ms >= node->start_at_ms &&
	    !cannot_start(node))
		start_node(walk, at);
	if (!node->is_up || node->is_frozen)
		return;
	founding_tick(&node->founding, walk->now_ms);
	send_requests(walk, at);
	decision = founding_decision(&node->founding);
	if (decision != NULL &&
	    founding_may_start_group(&node->founding, walk->now_ms))
		start_group(walk, at, decision);
}

/* The timer of a node that wakes may be due before its sockets are read. */
static void run_for(walk_t *walk, clock_ms_t duration_ms)
{
	clock_ms_t end_ms = walk->now_ms + duration_ms;

	while (walk->now_ms < end_ms) {
		walk->now_ms += TICK_MS;
		for (int i = 0; i < walk->count; i++)
			tick_node(walk, i);
		deliver_due(walk);
	}
}

static void add_node(walk_t *walk, bool has_disk)
{
	node_t *node = &walk->nodes[walk->count];

	node->id = (uint64_t)walk->count + 100;
	node->has_disk = has_disk;
	walk->count++;
}

static void add_seed(walk_t *walk, int at)
{
	walk->seeds[walk->seed_count++] = at;
}

static void begin(walk_t *walk, uint32_t seed)
{
	memset(walk, 0, sizeof(*walk));
	walk->random = g_rand_new_with_seed(seed);
	walk->packets = g_array_new(FALSE, FALSE, sizeof(packet_t));
	walk->now_ms = 10000;
	walk->latency_max_ms = LATENCY_MAX_MS;
}

static void end(walk_t *walk)
{
	for (int i = 0; i < walk->count; i++)
		if (walk->nodes[i].is_up)
			founding_finish(&walk->nodes[i].founding);
	g_array_unref(walk->packets);
	g_rand_free(walk->random);
}

/* Three instances with disks that are the seeds, and are started. */
static void begin_trio(walk_t *walk)
{
	begin(walk, 1);
	for (int i = 0; i < SEEDS_MAX; i++) {
		add_node(walk, true);
		add_seed(walk, i);
	}
	for (int i = 0; i < SEEDS_MAX; i++)
		start_node(walk, i);
}

static int count_started(const walk_t *walk)
{
	int count = 0;

	for (int i = 0; i < walk->count; i++)
		count += walk->nodes[i].has_started;
	return count;
}

/* The lost one may have agreed and gone; the others start the group then. */
static bool is_founded(const walk_t *walk)
{
	for (int i = 0; i < walk->count; i++)
		if (walk->nodes[i].has_started && walk->nodes[i].is_up &&
		    !walk->nodes[i].is_frozen)
			return true;
	return false;
}

static void test_first_of_the_candidates_starts_a_group_of_all(void)
{
	walk_t walk;

	begin_trio(&walk);
	run_for(&walk, FOUNDING_DISCOVERY_MS + 4 * LATENCY_MAX_MS);
	CU_ASSERT_PTR_NULL(walk.violation);
	CU_ASSERT_TRUE(walk.nodes[0].has_started);
	CU_ASSERT_EQUAL(count_started(&walk), 1);
	CU_ASSERT_EQUAL(walk.nodes[0].started.count, 3);
	end(&walk);
}

static void test_members_start_the_same_group_if_the_proposer_does_not(void)
{
	walk_t walk;

	begin_trio(&walk);
	while (founding_decision(&walk.nodes[1].founding) == NULL)
		run_for(&walk, TICK_MS);
	kill_node(&walk, 0);
	run_for(&walk, FOUNDING_TAKEOVER_MS + FOUNDED_BOUND_MS);
	CU_ASSERT_PTR_NULL(walk.violation);
	CU_ASSERT_TRUE(walk.nodes[1].has_started);
	CU_ASSERT_TRUE(walk.nodes[2].has_started);
	end(&walk);
}

static void test_instance_that_wakes_joins_the_agreement(void)
{
	walk_t walk;

	begin_trio(&walk);
	run_for(&walk, 200);
	walk.nodes[2].is_frozen = true;
	run_for(&walk, 4000);
	CU_ASSERT_TRUE(is_founded(&walk));
	CU_ASSERT_EQUAL(walk.nodes[0].started.count, 2);
	walk.nodes[2].is_frozen = false;
	run_for(&walk, FOUNDED_BOUND_MS);
	CU_ASSERT_PTR_NULL(walk.violation);
	CU_ASSERT_FALSE(walk.nodes[2].has_started);
	CU_ASSERT_PTR_NOT_NULL(founding_decision(&walk.nodes[2].founding));
	end(&walk);
}

static void test_loss_of_the_first_delays_the_group_by_its_rank(void)
{
	walk_t walk;

	begin_trio(&walk);
	run_for(&walk, 1000);
	kill_node(&walk, 0);
	run_for(&walk, 600 + FOUNDING_RANK_DELAY_MS + 4 * LATENCY_MAX_MS);
	CU_ASSERT_PTR_NULL(walk.violation);
	CU_ASSERT_TRUE(walk.nodes[1].has_started);
	end(&walk);
}

static void test_seeds_without_disks_vote(void)
{
	walk_t walk;

	begin(&walk, 1);
	add_node(&walk, false);
	add_node(&walk, true);
	add_node(&walk, false);
	add_node(&walk, true);
	for (int i = 0; i < SEEDS_MAX; i++)
		add_seed(&walk, i);
	for (int i = 0; i < walk.count; i++)
		start_node(&walk, i);
	run_for(&walk, FOUNDING_DISCOVERY_MS + 4 * LATENCY_MAX_MS);
	CU_ASSERT_PTR_NULL(walk.violation);
	CU_ASSERT_TRUE(walk.nodes[1].has_started);
	CU_ASSERT_EQUAL(walk.nodes[1].started.count, 2);
	end(&walk);
}

/* Without a majority of votes there is no group, however long it takes. */
static void test_restarted_seeds_without_votes_on_disk_do_not_vote(void)
{
	walk_t walk;

	begin_trio(&walk);
	run_for(&walk, 1000);
	for (int i = 0; i < 2; i++) {
		kill_node(&walk, i);
		walk.nodes[i].disk.has_votes = false;
		start_node(&walk, i);
	}
	run_for(&walk, 60000);
	CU_ASSERT_EQUAL(count_started(&walk), 0);
	CU_ASSERT_STRING_EQUAL(
		founding_answer_name(walk.nodes[2].founding.seeds[0].answer),
		"abstains");
	end(&walk);
}

/* Guards against a new fleet that never gets a group if its seeds restart. */
static void test_restarted_seeds_vote_as_on_disk(void)
{
	for (int kills = 1; kills <= SEEDS_MAX; kills++) {
		walk_t walk;

		begin_trio(&walk);
		run_for(&walk, 1000);
		for (int i = 0; i < kills; i++) {
			kill_node(&walk, i);
			start_node(&walk, i);
		}
		run_for(&walk, FOUNDED_BOUND_MS);
		CU_ASSERT_PTR_NULL(walk.violation);
		CU_ASSERT_TRUE(is_founded(&walk));
		end(&walk);
	}
}

/* Guards against a vote that is lost with the process that has given it. */
static void test_votes_that_cannot_be_saved_are_not_given(void)
{
	founding_t founding;
	founding_msg_t reply;
	disk_t disk = { .store.save = save_to_disk, .is_full = true };
	const founding_msg_t prepare = {
		.kind = FOUNDING_MSG_PREPARE,
		.ballot = { 2, 5 },
	};
	const founding_msg_t accept = {
		.kind = FOUNDING_MSG_ACCEPT,
		.ballot = { 2, 5 },
		.members = { .items = { { .id = 5, .voter = true } },
			     .count = 1 },
	};

	founding_init(&founding, MEMBERS_MAX, 1, 0);
	founding.votes = true;
	founding.store = &disk.store;
	CU_ASSERT_FALSE(founding_on_request(&founding, &prepare, 0, &reply));
	CU_ASSERT_FALSE(founding_on_request(&founding, &accept, 0, &reply));
	disk.is_full = false;
	CU_ASSERT_TRUE(founding_on_request(&founding, &prepare, 0, &reply));
	CU_ASSERT_EQUAL(reply.kind, FOUNDING_MSG_PROMISE);
	/* It may have been accepted elsewhere too. */
	CU_ASSERT_EQUAL(reply.accepted.round, 2);
	CU_ASSERT_EQUAL(disk.accepted.round, 2);
	CU_ASSERT_EQUAL(disk.members.items[0].id, 5);
	founding_finish(&founding);
}

static void test_only_seed_decides_alone(void)
{
	walk_t walk;

	begin(&walk, 1);
	add_node(&walk, true);
	add_seed(&walk, 0);
	start_node(&walk, 0);
	run_for(&walk, FOUNDING_DISCOVERY_MS - TICK_MS);
	CU_ASSERT_EQUAL(count_started(&walk), 0);
	run_for(&walk, 2 * TICK_MS);
	CU_ASSERT_EQUAL(count_started(&walk), 1);
	end(&walk);
}

/* A seed that accepted a list passes it on in the promise to a later one. */
static void test_list_that_was_accepted_is_adopted(void)
{
	founding_t founding;
	founding_msg_t reply;
	founding_msg_t accept = {
		.kind = FOUNDING_MSG_ACCEPT,
		.ballot = { 1, 7 },
		.members = { .items = { { .id = 7, .voter = true } },
			     .count = 1 },
	};
	const founding_msg_t prepare = {
		.kind = FOUNDING_MSG_PREPARE,
		.ballot = { 2, 5 },
	};

	founding_init(&founding, MEMBERS_MAX, 1, 0);
	founding.votes = true;
	CU_ASSERT_TRUE(founding_on_request(&founding, &accept, 0, &reply));
	CU_ASSERT_EQUAL(reply.kind, FOUNDING_MSG_ACCEPTED);
	CU_ASSERT_TRUE(founding_on_request(&founding, &prepare, 0, &reply));
	CU_ASSERT_EQUAL(reply.kind, FOUNDING_MSG_PROMISE);
	CU_ASSERT_EQUAL(reply.accepted.round, 1);
	CU_ASSERT_EQUAL(reply.members.items[0].id, 7);
	CU_ASSERT_TRUE(founding_on_request(&founding, &accept, 0, &reply));
	CU_ASSERT_EQUAL(reply.kind, FOUNDING_MSG_REFUSAL);
	CU_ASSERT_EQUAL(reply.ballot.round, 2);
	founding_finish(&founding);
}

static int draw_node(walk_t *walk)
{
	return g_rand_int_range(walk->random, 0, walk->count);
}

/* Seeds with disks may be killed again and again, the others once. */
#define RUNS_MAX 5

static bool keeps_votes(const walk_t *walk, int at)
{
	return is_seed(walk, at) && walk->nodes[at].has_disk;
}

/*
 * A minority of the seeds for good or without their votes, and any other
 * instance but the last candidate.
 */
static bool may_be_killed(const walk_t *walk, int at, bool for_good)
{
	int lost_seeds = 0;
	int candidates = 0;

	for (int i = 0; i < walk->count; i++) {
		const node_t *node = &walk->nodes[i];
		bool is_lost =
			node->run > 0 && !node->is_up && node->start_at_ms < 0;
		bool takes_part = keeps_votes(walk, i)
					  ? !is_lost
					  : node->run == 0 || (node->run == 1 &&
							       node->is_up);

		lost_seeds += is_seed(walk, i) && !takes_part;
		candidates += node->has_disk && takes_part && i != at;
	}
	if (keeps_votes(walk, at) && !for_good)
		return walk->nodes[at].is_up && walk->nodes[at].run < RUNS_MAX;
	return walk->nodes[at].run == 1 && walk->nodes[at].is_up &&
	       candidates >= 1 &&
	       (!is_seed(walk, at) ||
		lost_seeds + 1 <= (walk->seed_count - 1) / 2);
}

static void event_freeze(walk_t *walk, int at)
{
	walk->nodes[at].is_frozen =
		walk->nodes[at].is_up && !walk->nodes[at].is_frozen;
}

static void event_kill(walk_t *walk, int at)
{
	bool for_good = draw_percent(walk, 50);

	if (!may_be_killed(walk, at, for_good))
		return;
	kill_node(walk, at);
	walk->kills++;
	if (!for_good)
		walk->nodes[at].start_at_ms =
			walk->now_ms + g_rand_int_range(walk->random, 20, 2000);
}

static void event_cut_one_way(walk_t *walk, int at)
{
	walk->cut[at][draw_node(walk)] = true;
}

static void event_cut(walk_t *walk, int at)
{
	for (int i = 0; i < walk->count; i++)
		walk->cut[at][i] = walk->cut[i][at] = true;
}

static void event_lose_messages(walk_t *walk, int at)
{
	(void)at;
	walk->loss_percent = 30;
}

static void event_slow_messages(walk_t *walk, int at)
{
	(void)at;
	walk->latency_max_ms = SLOW_LATENCY_MAX_MS;
}

static void event_fill_disk(walk_t *walk, int at)
{
	walk->nodes[at].disk.is_full = true;
}

static void heal(walk_t *walk)
{
	memset(walk->cut, 0, sizeof(walk->cut));
	walk->loss_percent = 0;
	walk->latency_max_ms = LATENCY_MAX_MS;
	for (int i = 0; i < walk->count; i++)
		walk->nodes[i].is_frozen = walk->nodes[i].disk.is_full = false;
}

static void event_heal(walk_t *walk, int at)
{
	(void)at;
	heal(walk);
}

static void (*const events[])(walk_t *walk, int at) = {
	event_freeze,	     event_freeze,	  event_freeze,
	event_kill,	     event_kill,	  event_cut_one_way,
	event_cut,	     event_lose_messages, event_slow_messages,
	event_slow_messages, event_heal,	  event_kill,
	event_kill,	     event_fill_disk,
};

/* Draws three to seven nodes, their disks, the seeds and who starts late. */
static void draw_fleet(walk_t *walk)
{
	int count = g_rand_int_range(walk->random, 3, NODES_MAX + 1);
	int with_disk = g_rand_int_range(walk->random, 0, count);
	int seeds = g_rand_int_range(walk->random, 0, 4) == 0
			    ? g_rand_int_range(walk->random, 1, SEEDS_MAX + 1)
			    : SEEDS_MAX;

	for (int i = 0; i < count; i++)
		add_node(walk, i == with_disk || draw_percent(walk, 70));
	while (walk->seed_count < seeds) {
		int at = draw_node(walk);

		if (!is_seed(walk, at))
			add_seed(walk, at);
	}
	for (int i = 0; i < count; i++)
		walk->nodes[i].start_at_ms =
			walk->now_ms +
			g_rand_int_range(walk->random, 0,
					 draw_percent(walk, 15) ? 5000 : 300);
}

/* Returns whether an instance is left that may start the group of "list". */
static bool is_member_left(const walk_t *walk, const raft_members_t *list)
{
	for (int i = 0; i < walk->count; i++) {
		const node_t *node = &walk->nodes[i];

		if (node->is_up && node->has_disk &&
		    (node->run == 1 || keeps_votes(walk, i)) &&
		    raft_members_find(list, node->id) != NULL)
			return true;
	}
	return false;
}

/* A list that was or may have been agreed on needs a member that is left. */
static bool can_be_founded(const walk_t *walk)
{
	bool has_candidate = false;

	for (int i = 0; i < walk->count; i++) {
		const node_t *node = &walk->nodes[i];
		const raft_members_t *list;

		if (!node->is_up)
			continue;
		list = founding_decision(&node->founding);
		if (list == NULL && node->founding.accepted.round > 0)
			list = &node->founding.accepted_members;
		if (list != NULL && !is_member_left(walk, list))
			return false;
		has_candidate |= node->founding.self.id != 0 || list != NULL;
	}
	return has_candidate;
}

/* Plays one walk; returns what failed, or NULL. */
static const char *play(uint32_t seed, fault_t fault, uint32_t *kills)
{
	const char *failure;
	walk_t walk;

	begin(&walk, seed);
	walk.fault = fault;
	draw_fleet(&walk);
	run_for(&walk, g_rand_int_range(walk.random, 100, 2000));
	for (int i = 0; i < WALK_EVENTS; i++) {
		events[g_rand_int_range(walk.random, 0, ARRAY_SIZE(events))](
			&walk, draw_node(&walk));
		run_for(&walk, g_rand_int_range(walk.random, 20, 600));
	}
	heal(&walk);
	for (int i = 0; i < walk.count; i++)
		if (walk.nodes[i].start_at_ms >= 0)
			start_node(&walk, i);
	run_for(&walk, FOUNDED_BOUND_MS);
	failure = walk.violation;
	if (failure == NULL && can_be_founded(&walk) && !is_founded(&walk))
		failure = "no group is founded after the faults";
	*kills += walk.kills;
	end(&walk);
	return failure;
}

static void test_random_walks(void)
{
	const char *walks = getenv("FOUNDING_WALKS");
	const char *first = getenv("FOUNDING_WALK_SEED");
	uint32_t seed = first == NULL ? 1 : (uint32_t)atoi(first);
	uint32_t last = seed + (walks == NULL ? WALKS : (uint32_t)atoi(walks));
	uint32_t kills = 0;

	for (; seed < last; seed++) {
		const char *failure = play(seed, FAULT_NONE, &kills);

		if (failure != NULL)
			printf("\n    walk %u: %s", seed, failure);
		CU_ASSERT_PTR_NULL(failure);
	}
	printf("\n    kills=%u ", kills);
}

static void test_walks_detect_rules_that_are_left_out(void)
{
	for (int fault = FAULT_OWN_VOTE_ONLY; fault <= FAULT_NO_DISK; fault++) {
		uint32_t kills = 0;
		int found = 0;

		for (uint32_t seed = 1; seed <= WALKS; seed++)
			found += play(seed, (fault_t)fault, &kills) != NULL;
		printf("\n    fault %d: %d of %d walks fail ", fault, found,
		       WALKS);
		CU_ASSERT(found > 0);
	}
}

static const unit_test_t tests[] = {
	{ "first of the candidates starts a group of all",
	  test_first_of_the_candidates_starts_a_group_of_all },
	{ "members start the same group if the proposer does not",
	  test_members_start_the_same_group_if_the_proposer_does_not },
	{ "instance that wakes joins the agreement",
	  test_instance_that_wakes_joins_the_agreement },
	{ "loss of the first delays the group by its rank",
	  test_loss_of_the_first_delays_the_group_by_its_rank },
	{ "seeds without disks vote", test_seeds_without_disks_vote },
	{ "restarted seeds without votes on disk do not vote",
	  test_restarted_seeds_without_votes_on_disk_do_not_vote },
	{ "restarted seeds vote as on disk",
	  test_restarted_seeds_vote_as_on_disk },
	{ "votes that cannot be saved are not given",
	  test_votes_that_cannot_be_saved_are_not_given },
	{ "only seed decides alone", test_only_seed_decides_alone },
	{ "list that was accepted is adopted",
	  test_list_that_was_accepted_is_adopted },
	{ "random walks", test_random_walks },
	{ "walks detect rules that are left out",
	  test_walks_detect_rules_that_are_left_out },
};

int main(void)
{
	return unit_run("founding", tests, ARRAY_SIZE(tests));
}
