#ifndef TEST_FUZZ_RAFT_SIM_H
#define TEST_FUZZ_RAFT_SIM_H

/*
 * Simulates replicas of the log: input bytes choose the steps, and each result
 * is checked against a plain list of committed entries, the oracle.  Used by
 * the fuzz target, the unit tests and the test that the oracle detects known
 * faults.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "wisteria/base/err.h"
#include "wisteria/codec/msg.h"
#include "wisteria/control/lease.h"
#include "wisteria/raft/raft.h"
#include "wisteria/raft/raft_log.h"
#include "wisteria/raft/raft_members.h"

#define SIM_NODES_MAX 8
#define SIM_DAEMONS 3
#define SIM_LEASE_MS 1000
/* Hundredths of a local millisecond per ms; clocks differ by at most 1/20. */
#define SIM_CLOCK_RATE 100
#define SIM_CLOCK_FAST_RATE 105
#define SIM_LEASE_BOUND_MS (SIM_LEASE_MS * 106 / 100 + 1)
#define SIM_IN_FLIGHT_MAX 400
#define SIM_STEPS_MAX 1500

/* Faults that a run injects on purpose. */
typedef struct {
	const raft_rules_t *rules;
	bool lease_from_answer; /* lease begins at the answer */
} sim_variant_t;

typedef struct {
	uint64_t term;
	uint64_t vote;
	raft_snapshot_t snapshot;
	GArray *entries;
} sim_disk_t;

/* A save handed out and not synced; owns copies of its data. */
typedef struct {
	raft_save_t save;
	raft_snapshot_t snapshot;
	GArray *entries;
} sim_save_t;

typedef struct {
	uint64_t ticket;
	uint64_t committed; /* committed entries when the read began */
	int daemon;	    /* that renews its lease; negative: a plain read */
	clock_ms_t request_sent_ms;
} sim_read_t;

typedef struct {
	raft_t raft;
	uint64_t id;
	bool up;
	bool paused;
	bool fast;
	clock_ms_t clock_100; /* local time in hundredths of a millisecond */
	sim_disk_t disk;
	GPtrArray *saves; /* of sim_save_t */
	GArray *reads;	  /* of sim_read_t */
	uint64_t applied;
	uint64_t log_hash; /* over all applied entries */
	uint64_t revision; /* number of applied data entries */
	uint32_t start_count;
} sim_node_t;

typedef struct {
	int from;
	uint64_t to;
	GBytes *frame;
} sim_msg_t;

/* An answer to a lease renewal, on its way to the daemon. */
typedef struct {
	int daemon;
	uint64_t revision;
	clock_ms_t request_sent_ms;
} sim_answer_t;

/* A daemon that acts on a revision under a lease. */
typedef struct {
	uint64_t revision;
	clock_ms_t lease_until_ms;
} sim_daemon_t;

typedef struct {
	uint64_t term;
	uint64_t commit_term; /* of the leader that committed it */
	uint64_t log_hash;
	uint64_t revision;
} sim_committed_t;

/* A leader with the terms of its log entries when it was elected. */
typedef struct {
	uint64_t term;
	uint64_t leader;
	uint64_t base_index;
	GArray *entry_terms; /* of uint64_t; base_index + 1 first */
} sim_leader_t;

typedef struct {
	const sim_variant_t *variant;
	const char *violation;
	sim_node_t nodes[SIM_NODES_MAX];
	int count;
	uint64_t next_id;
	uint64_t next_command;
	clock_ms_t now_ms;
	bool partitioned[SIM_NODES_MAX][SIM_NODES_MAX];
	GPtrArray *in_flight; /* of sim_msg_t */
	GArray *answers;      /* of sim_answer_t */
	GArray *committed;    /* of sim_committed_t; index 1 first */
	GArray *accepted_ms;  /* of clock_ms_t; revision 1 first */
	GArray *leaders;      /* of sim_leader_t */
	sim_daemon_t daemons[SIM_DAEMONS];
	GArray *lost; /* ids of replicas that lost their disks */
	uint32_t elections;
} sim_t;

static void sim_fail(sim_t *sim, const char *reason)
{
	if (sim->violation == NULL)
		sim->violation = reason;
}

static void sim_msg_free(gpointer data)
{
	sim_msg_t *msg = data;

	g_bytes_unref(msg->frame);
	g_free(msg);
}

static void sim_save_free(gpointer data)
{
	sim_save_t *save = data;

	if (save->snapshot.data != NULL)
		g_bytes_unref(save->snapshot.data);
	g_array_unref(save->entries);
	g_free(save);
}

static uint64_t sim_hash_entry(uint64_t log_hash, const raft_entry_t *entry)
{
	uint64_t hash = log_hash * 0x9E3779B97F4A7C15u + entry->term * 31 +
			entry->kind * 7 + entry->index;

	return hash ^ ((uint64_t)g_bytes_hash(entry->data) << 17);
}

static uint64_t sim_committed_count(const sim_t *sim)
{
	return sim->committed->len;
}

static const sim_committed_t *sim_committed_at(const sim_t *sim, uint64_t index)
{
	return &g_array_index(sim->committed, sim_committed_t, index - 1);
}

/*
 * Leader completeness (section 5.4.3 of the 2014 paper): an entry that is
 * committed in a term is in the logs of the leaders of later terms.  A leader
 * of an earlier term may lack it: delayed votes can elect that leader after the
 * group has moved on.  It commits nothing, since a quorum has a later term.
 */
static void sim_check_holds(sim_t *sim, const sim_leader_t *leader,
			    uint64_t index)
{
	const sim_committed_t *entry = sim_committed_at(sim, index);
	uint64_t at = index - leader->base_index - 1;

	if (index <= leader->base_index || leader->term < entry->commit_term)
		return;
	if (at >= leader->entry_terms->len ||
	    g_array_index(leader->entry_terms, uint64_t, at) != entry->term)
		sim_fail(sim, "a leader lacks a committed entry");
}

/*
 * Checks a new entry against the leaders of later terms that were elected
 * before it was committed.
 */
static void sim_check_later_leaders(sim_t *sim, uint64_t index)
{
	uint64_t commit_term = sim_committed_at(sim, index)->commit_term;

	for (guint i = 0; i < sim->leaders->len; i++) {
		const sim_leader_t *leader =
			&g_array_index(sim->leaders, sim_leader_t, i);

		if (leader->term > commit_term)
			sim_check_holds(sim, leader, index);
	}
}

/*
 * The oracle: all replicas commit the same entries, without gaps.  The first
 * replica to apply an entry still has the term in which it was committed.
 */
static void sim_check_commit(sim_t *sim, const sim_node_t *node,
			     const raft_entry_t *entry)
{
	const sim_committed_t added = { entry->term, node->raft.term,
					node->log_hash, node->revision };

	if (entry->index <= sim_committed_count(sim)) {
		if (sim_committed_at(sim, entry->index)->log_hash !=
		    node->log_hash)
			sim_fail(sim, "replicas committed different entries");
		return;
	}
	if (entry->index != sim_committed_count(sim) + 1) {
		sim_fail(sim, "a gap in the committed entries");
		return;
	}
	g_array_append_val(sim->committed, added);
	sim_check_later_leaders(sim, entry->index);
	if (entry->kind == RAFT_ENTRY_DATA)
		g_array_append_val(sim->accepted_ms, sim->now_ms);
}

static void sim_restore(sim_t *sim, sim_node_t *node,
			const raft_snapshot_t *snapshot)
{
	uint64_t state[2];
	size_t len = 0;
	const void *data = g_bytes_get_data(snapshot->data, &len);

	if (len != sizeof(state) ||
	    snapshot->index > sim_committed_count(sim)) {
		sim_fail(sim, "a snapshot of uncommitted state");
		return;
	}
	memcpy(state, data, sizeof(state));
	node->applied = snapshot->index;
	node->log_hash = state[0];
	node->revision = state[1];
	if (sim_committed_at(sim, snapshot->index)->log_hash != node->log_hash)
		sim_fail(sim, "a snapshot differs from the committed state");
}

static void sim_apply(sim_t *sim, sim_node_t *node)
{
	raft_apply_t apply;

	while (sim->violation == NULL && raft_next_apply(&node->raft, &apply)) {
		if (apply.snapshot != NULL) {
			sim_restore(sim, node, apply.snapshot);
			continue;
		}
		if (apply.entry == NULL ||
		    apply.entry->index != node->applied + 1) {
			sim_fail(sim, "entries applied out of order");
			return;
		}
		node->applied++;
		if (apply.entry->kind == RAFT_ENTRY_DATA)
			node->revision++;
		node->log_hash = sim_hash_entry(node->log_hash, apply.entry);
		sim_check_commit(sim, node, apply.entry);
	}
}

static void sim_answer_read(sim_t *sim, sim_node_t *node,
			    const sim_read_t *read, uint64_t index)
{
	const sim_answer_t answer = { read->daemon, node->revision,
				      read->request_sent_ms };

	if (index < read->committed)
		sim_fail(sim, "a read misses an entry committed before it");
	if (read->daemon >= 0)
		g_array_append_val(sim->answers, answer);
}

static void sim_finish_reads(sim_t *sim, sim_node_t *node)
{
	raft_read_t result;

	while (raft_next_read(&node->raft, &result)) {
		guint i = 0;

		if (node->applied < result.index) {
			/* A real driver waits for the index; dropped here. */
			result.ticket = 0;
		}
		while (i < node->reads->len) {
			sim_read_t read =
				g_array_index(node->reads, sim_read_t, i);

			if (read.ticket > result.ticket) {
				i++;
				continue;
			}
			g_array_remove_index(node->reads, i);
			sim_answer_read(sim, node, &read, result.index);
		}
	}
}

static void sim_collect_saves(sim_node_t *node)
{
	raft_save_t save;

	while (raft_next_save(&node->raft, &save)) {
		sim_save_t *copy = g_new0(sim_save_t, 1);

		copy->save = save;
		copy->entries = raft_entries_new();
		for (size_t i = 0; i < save.entry_count; i++)
			raft_entries_add(copy->entries, &save.entries[i]);
		if (save.snapshot != NULL) {
			copy->snapshot = *save.snapshot;
			g_bytes_ref(copy->snapshot.data);
		}
		g_ptr_array_add(node->saves, copy);
	}
}

static void sim_collect_messages(sim_t *sim, int from)
{
	raft_message_t *message;

	while ((message = raft_next_message(&sim->nodes[from].raft)) != NULL) {
		msgpack_sbuffer out;
		sim_msg_t *msg;

		if (sim->in_flight->len < SIM_IN_FLIGHT_MAX) {
			msgpack_sbuffer_init(&out);
			msg_encode(MSG_RAFT, &message->msg, &out);
			msg = g_new0(sim_msg_t, 1);
			msg->from = from;
			msg->to = message->msg.to;
			msg->frame = g_bytes_new(out.data, out.size);
			g_ptr_array_add(sim->in_flight, msg);
			msgpack_sbuffer_destroy(&out);
		}
		raft_message_free(message);
	}
}

static sim_leader_t sim_leader_of(const sim_node_t *node)
{
	const raft_log_t *log = &node->raft.log;
	sim_leader_t leader = {
		.term = node->raft.term,
		.leader = node->id,
		.base_index = log->base_index,
		.entry_terms = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
	};

	for (guint i = 0; i < log->entries->len; i++)
		g_array_append_val(
			leader.entry_terms,
			g_array_index(log->entries, raft_entry_t, i).term);
	return leader;
}

static void sim_leader_clear(gpointer data)
{
	g_array_unref(((sim_leader_t *)data)->entry_terms);
}

static void sim_check_leader(sim_t *sim, const sim_node_t *node)
{
	sim_leader_t found;

	if (node->raft.role != RAFT_LEADER)
		return;
	for (guint i = 0; i < sim->leaders->len; i++) {
		const sim_leader_t *known =
			&g_array_index(sim->leaders, sim_leader_t, i);

		if (known->term != node->raft.term)
			continue;
		if (known->leader != node->id)
			sim_fail(sim, "two leaders in one term");
		return;
	}
	found = sim_leader_of(node);
	g_array_append_val(sim->leaders, found);
	sim->elections++;
	for (uint64_t i = 1; i <= sim_committed_count(sim); i++)
		sim_check_holds(sim, &found, i);
}

/* Processes all output of a replica after a step. */
static void sim_drain(sim_t *sim, int at)
{
	sim_node_t *node = &sim->nodes[at];

	if (!node->up)
		return;
	sim_collect_saves(node);
	sim_apply(sim, node);
	sim_finish_reads(sim, node);
	sim_collect_messages(sim, at);
	sim_collect_saves(node);
	sim_check_leader(sim, node);
}

static void sim_disk_write(sim_disk_t *disk, const sim_save_t *save,
			   guint entry_count)
{
	disk->term = save->save.term;
	disk->vote = save->save.vote;
	if (save->save.snapshot != NULL) {
		if (disk->snapshot.data != NULL)
			g_bytes_unref(disk->snapshot.data);
		disk->snapshot = save->snapshot;
		g_bytes_ref(disk->snapshot.data);
		g_array_set_size(disk->entries, 0);
	}
	for (guint i = 0; i < entry_count; i++) {
		const raft_entry_t *entry =
			&g_array_index(save->entries, raft_entry_t, i);
		uint64_t at = entry->index - disk->snapshot.index - 1;

		if (at < disk->entries->len)
			g_array_set_size(disk->entries, (guint)at);
		if (at == disk->entries->len)
			raft_entries_add(disk->entries, entry);
	}
}

static void sim_sync(sim_t *sim, int at, guint count)
{
	sim_node_t *node = &sim->nodes[at];

	for (; count > 0 && node->up && node->saves->len > 0; count--) {
		const sim_save_t *save = g_ptr_array_index(node->saves, 0);
		uint64_t sequence = save->save.sequence;

		sim_disk_write(&node->disk, save, save->entries->len);
		g_ptr_array_remove_index(node->saves, 0);
		raft_saved(&node->raft, sequence);
		sim_drain(sim, at);
	}
}

static clock_ms_t sim_local_ms(const sim_node_t *node)
{
	return node->clock_100 / 100;
}

static void sim_start(sim_t *sim, int at)
{
	sim_node_t *node = &sim->nodes[at];
	const raft_stored_t stored = {
		.term = node->disk.term,
		.vote = node->disk.vote,
		.snapshot = node->disk.snapshot,
		.entries = node->disk.entries,
	};

	raft_init(&node->raft, node->id,
		  (uint32_t)(node->id * 1000 + node->start_count++), &stored,
		  sim_local_ms(node));
	node->raft.rules = sim->variant->rules;
	node->up = true;
	node->paused = false;
	node->applied = 0;
	node->log_hash = 0;
	node->revision = 0;
	sim_drain(sim, at);
}

/*
 * Crashes a replica.  Of its unsynced saves, the first "whole_saves" reach the
 * disk whole, and "torn_entries" entries of the next one.
 */
static void sim_crash(sim_t *sim, int at, guint whole_saves, guint torn_entries)
{
	sim_node_t *node = &sim->nodes[at];

	if (!node->up)
		return;
	for (guint i = 0; i < node->saves->len && i <= whole_saves; i++) {
		const sim_save_t *save = g_ptr_array_index(node->saves, i);
		guint count = save->entries->len;

		if (i == whole_saves && save->save.snapshot != NULL)
			break;
		if (i == whole_saves)
			count = MIN(torn_entries, count);
		if (i < whole_saves || torn_entries > 0)
			sim_disk_write(&node->disk, save, count);
	}
	g_ptr_array_set_size(node->saves, 0);
	g_array_set_size(node->reads, 0);
	raft_finish(&node->raft);
	node->up = false;
}

static void sim_disk_clear(sim_disk_t *disk)
{
	if (disk->snapshot.data != NULL)
		g_bytes_unref(disk->snapshot.data);
	g_array_unref(disk->entries);
	*disk = (sim_disk_t){ .entries = raft_entries_new() };
}

static void sim_wipe(sim_t *sim, int at)
{
	sim_node_t *node = &sim->nodes[at];

	sim_crash(sim, at, 0, 0);
	sim_disk_clear(&node->disk);
	g_array_append_val(sim->lost, node->id);
	node->id = ++sim->next_id;
	sim_start(sim, at);
}

/* Tells a replica which disks are lost. */
static void sim_learn_lost(sim_t *sim, int at)
{
	sim_node_t *node = &sim->nodes[at];

	for (guint i = 0; node->up && i < sim->lost->len; i++)
		raft_record_lost(&node->raft,
				 g_array_index(sim->lost, uint64_t, i));
}

static int sim_find_node(const sim_t *sim, uint64_t id)
{
	for (int i = 0; i < sim->count; i++)
		if (sim->nodes[i].id == id)
			return i;
	return -1;
}

static void sim_deliver_frame(sim_t *sim, int to, GBytes *frame)
{
	size_t len = 0;
	const uint8_t *data = g_bytes_get_data(frame, &len);
	err_t err = ERR_INIT;
	msg_t msg;

	if (!msg_decode(&msg, data, len, &err)) {
		sim_fail(sim, "a message that cannot be decoded");
		return;
	}
	raft_step(&sim->nodes[to].raft, msg.body,
		  sim_local_ms(&sim->nodes[to]));
	msg_finish(&msg);
	sim_drain(sim, to);
}

static void sim_deliver(sim_t *sim, guint at, bool keep)
{
	sim_msg_t *msg;
	GBytes *frame;
	int from;
	int to;

	if (at >= sim->in_flight->len)
		return;
	msg = g_ptr_array_index(sim->in_flight, at);
	to = sim_find_node(sim, msg->to);
	from = msg->from;
	if (to >= 0 && sim->nodes[to].up && sim->nodes[to].paused)
		return;
	frame = g_bytes_ref(msg->frame);
	if (!keep)
		g_ptr_array_remove_index(sim->in_flight, at);
	if (to >= 0 && sim->nodes[to].up && !sim->partitioned[from][to])
		sim_deliver_frame(sim, to, frame);
	g_bytes_unref(frame);
}

static void sim_deliver_all(sim_t *sim)
{
	guint remaining = sim->in_flight->len;
	guint at = 0;

	for (; remaining > 0 && at < sim->in_flight->len; remaining--) {
		guint before = sim->in_flight->len;
		const sim_msg_t *msg = g_ptr_array_index(sim->in_flight, at);
		int to = sim_find_node(sim, msg->to);

		if (to >= 0 && sim->nodes[to].up && sim->nodes[to].paused) {
			at++;
			continue;
		}
		sim_deliver(sim, at, false);
		(void)before;
	}
}

static void sim_check_leases(sim_t *sim)
{
	for (int i = 0; i < SIM_DAEMONS; i++) {
		const sim_daemon_t *daemon = &sim->daemons[i];
		uint64_t next = daemon->revision;
		clock_ms_t accepted;

		if (daemon->lease_until_ms <= sim->now_ms ||
		    next >= sim->accepted_ms->len)
			continue;
		accepted = g_array_index(sim->accepted_ms, clock_ms_t, next);
		if (sim->now_ms - accepted > SIM_LEASE_BOUND_MS)
			sim_fail(sim, "an old revision under a valid lease");
	}
}

static void sim_advance(sim_t *sim, clock_ms_t step)
{
	sim->now_ms += step;
	for (int i = 0; i < sim->count; i++) {
		sim_node_t *node = &sim->nodes[i];

		node->clock_100 += step * (node->fast ? SIM_CLOCK_FAST_RATE
						      : SIM_CLOCK_RATE);
		if (!node->up || node->paused)
			continue;
		raft_tick(&node->raft, sim_local_ms(node));
		sim_drain(sim, i);
	}
	sim_check_leases(sim);
}

static void sim_begin_read(sim_t *sim, int at, int daemon)
{
	sim_node_t *node = &sim->nodes[at];
	sim_read_t read = {
		.committed = sim_committed_count(sim),
		.daemon = daemon,
		.request_sent_ms = sim->now_ms,
	};

	if (!node->up || node->paused)
		return;
	read.ticket = raft_read(&node->raft);
	g_array_append_val(node->reads, read);
	sim_drain(sim, at);
}

static void sim_receive_answer(sim_t *sim, guint at)
{
	sim_answer_t answer;
	sim_daemon_t *daemon;
	clock_ms_t from;

	if (at >= sim->answers->len)
		return;
	answer = g_array_index(sim->answers, sim_answer_t, at);
	g_array_remove_index(sim->answers, at);
	daemon = &sim->daemons[answer.daemon];
	if (answer.revision < daemon->revision)
		return;
	from = sim->variant->lease_from_answer ? sim->now_ms
					       : answer.request_sent_ms;
	daemon->revision = answer.revision;
	daemon->lease_until_ms =
		MAX(daemon->lease_until_ms, lease_end_ms(from, SIM_LEASE_MS));
	sim_check_leases(sim);
}

static void sim_submit(sim_t *sim, uint8_t count)
{
	for (int i = 0; i < sim->count; i++) {
		sim_node_t *node = &sim->nodes[i];

		if (!node->up || node->paused || node->raft.role != RAFT_LEADER)
			continue;
		for (uint8_t n = 0; n <= count % 4; n++) {
			uint64_t command = ++sim->next_command;

			(void)!raft_propose(&node->raft,
					    (const uint8_t *)&command,
					    sizeof(command));
		}
		sim_drain(sim, i);
	}
}

static raft_member_t sim_member(uint64_t id)
{
	raft_member_t member = { .id = id };

	snprintf(member.instance, sizeof(member.instance), "n%u", (unsigned)id);
	return member;
}

static void sim_change_members(sim_t *sim, uint8_t arg)
{
	for (int i = 0; i < sim->count; i++) {
		sim_node_t *node = &sim->nodes[i];
		const raft_members_t *members = &node->raft.members;
		raft_member_change_t change = arg % 3;
		raft_member_t member;
		err_t err = ERR_INIT;
		uint64_t id;

		if (!node->up || node->paused ||
		    node->raft.role != RAFT_LEADER || members->count == 0)
			continue;
		id = change == RAFT_MEMBER_ADD
			     ? sim->nodes[arg / 3 % sim->count].id
			     : members->items[arg / 3 % members->count].id;
		member = sim_member(id);
		(void)!raft_change_member(&node->raft, change, &member, &err);
		sim_drain(sim, i);
	}
}

static void sim_compact(sim_t *sim, int at)
{
	sim_node_t *node = &sim->nodes[at];
	uint64_t state[2] = { node->log_hash, node->revision };
	sim_save_t *save;
	GBytes *data;

	if (!node->up || node->paused || node->saves->len > 0 ||
	    node->applied <= node->raft.snapshot.index)
		return;
	data = g_bytes_new(state, sizeof(state));
	raft_compact(&node->raft, node->applied, data);
	raft_log_drop_through(&node->raft.log, node->applied);
	save = g_new0(sim_save_t, 1);
	save->snapshot = node->raft.snapshot;
	g_bytes_ref(save->snapshot.data);
	save->save = (raft_save_t){
		.term = node->raft.term,
		.vote = node->raft.vote,
		.snapshot = &save->snapshot,
	};
	save->entries = raft_entries_new();
	for (guint i = 0; i < node->raft.log.entries->len; i++)
		raft_entries_add(save->entries,
				 &g_array_index(node->raft.log.entries,
						raft_entry_t, i));
	sim_disk_write(&node->disk, save, save->entries->len);
	sim_save_free(save);
	g_bytes_unref(data);
	sim_drain(sim, at);
}

/* Runs without new faults: delivers messages, syncs saves, advances time. */
static void sim_settle(sim_t *sim, int rounds)
{
	for (int round = 0; round < rounds && sim->violation == NULL; round++) {
		for (int i = 0; i < sim->count; i++)
			if (!sim->nodes[i].paused)
				sim_sync(sim, i, 8);
		sim_deliver_all(sim);
		sim_advance(sim, 20);
	}
}

/* Runs until the first leader has committed in its term. */
static void sim_elect(sim_t *sim)
{
	for (int i = 0; i < 80 && sim_committed_count(sim) < 2; i++)
		sim_settle(sim, 1);
}

typedef void (*sim_step_t)(sim_t *sim, uint8_t arg);

static void step_advance(sim_t *sim, uint8_t arg)
{
	sim_advance(sim, 1 + arg);
}

static void step_deliver(sim_t *sim, uint8_t arg)
{
	sim_deliver(sim, arg, false);
}

static void step_drop(sim_t *sim, uint8_t arg)
{
	if (arg < sim->in_flight->len)
		g_ptr_array_remove_index(sim->in_flight, arg);
}

static void step_duplicate(sim_t *sim, uint8_t arg)
{
	sim_deliver(sim, arg, true);
}

static void step_deliver_to(sim_t *sim, uint8_t arg)
{
	int to = arg % sim->count;
	guint remaining = sim->in_flight->len;
	guint at = 0;

	for (; remaining > 0 && at < sim->in_flight->len; remaining--) {
		const sim_msg_t *msg = g_ptr_array_index(sim->in_flight, at);

		if (msg->to != sim->nodes[to].id || sim->nodes[to].paused)
			at++;
		else
			sim_deliver(sim, at, false);
	}
}

static void step_sync(sim_t *sim, uint8_t arg)
{
	int at = arg % sim->count;

	if (!sim->nodes[at].paused)
		sim_sync(sim, at, 1 + arg / 8);
}

static void step_crash(sim_t *sim, uint8_t arg)
{
	sim_crash(sim, arg % sim->count, arg / 8 % 8, arg / 64);
}

static void step_restart(sim_t *sim, uint8_t arg)
{
	int at = arg % sim->count;

	sim_crash(sim, at, arg / 8 % 8, arg / 64);
	sim_start(sim, at);
}

static void step_wipe(sim_t *sim, uint8_t arg)
{
	if (arg / 8 % 4 == 0)
		sim_wipe(sim, arg % sim->count);
	if (arg / 8 % 4 == 1)
		sim_learn_lost(sim, arg % sim->count);
}

static void step_partition(sim_t *sim, uint8_t arg)
{
	sim->partitioned[arg % sim->count][arg / 8 % sim->count] = true;
}

static void step_isolate(sim_t *sim, uint8_t arg)
{
	int node = arg % sim->count;

	for (int i = 0; i < sim->count; i++) {
		sim->partitioned[node][i] = true;
		sim->partitioned[i][node] = true;
	}
}

static void step_heal(sim_t *sim, uint8_t arg)
{
	(void)arg;
	memset(sim->partitioned, 0, sizeof(sim->partitioned));
}

static void step_pause(sim_t *sim, uint8_t arg)
{
	sim_node_t *node = &sim->nodes[arg % sim->count];

	node->paused = !node->paused;
}

static void step_clock(sim_t *sim, uint8_t arg)
{
	sim_node_t *node = &sim->nodes[arg % sim->count];

	node->fast = !node->fast;
}

static void step_transfer(sim_t *sim, uint8_t arg)
{
	int at = arg % sim->count;

	if (!sim->nodes[at].up || sim->nodes[at].paused)
		return;
	(void)!raft_transfer(&sim->nodes[at].raft, &(raft_id_set_t){ 0 });
	sim_drain(sim, at);
}

static void step_read(sim_t *sim, uint8_t arg)
{
	sim_begin_read(sim, arg % sim->count, -1);
}

static void step_renew(sim_t *sim, uint8_t arg)
{
	sim_begin_read(sim, arg % sim->count, arg / 8 % SIM_DAEMONS);
}

static void step_answer(sim_t *sim, uint8_t arg)
{
	sim_receive_answer(sim, arg % 8);
}

static void step_compact(sim_t *sim, uint8_t arg)
{
	sim_compact(sim, arg % sim->count);
}

static void step_settle(sim_t *sim, uint8_t arg)
{
	sim_settle(sim, arg % 32);
}

static const sim_step_t sim_steps[] = {
	step_advance,	 step_deliver,	 step_drop,    step_duplicate,
	step_deliver_to, step_sync,	 step_crash,   step_restart,
	step_wipe,	 step_partition, step_isolate, step_heal,
	step_pause,	 step_clock,	 sim_submit,   sim_change_members,
	step_transfer,	 step_read,	 step_renew,   step_answer,
	step_compact,	 step_settle,
};

static void sim_begin(sim_t *sim, const sim_variant_t *variant, int count)
{
	raft_members_t members = { .count = (uint32_t)count };

	memset(sim, 0, sizeof(*sim));
	sim->variant = variant;
	sim->count = count;
	sim->next_id = (uint64_t)count;
	sim->in_flight = g_ptr_array_new_with_free_func(sim_msg_free);
	sim->answers = g_array_new(FALSE, FALSE, sizeof(sim_answer_t));
	sim->committed = g_array_new(FALSE, FALSE, sizeof(sim_committed_t));
	sim->accepted_ms = g_array_new(FALSE, FALSE, sizeof(clock_ms_t));
	sim->leaders = g_array_new(FALSE, FALSE, sizeof(sim_leader_t));
	sim->lost = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_set_clear_func(sim->leaders, sim_leader_clear);
	for (int i = 0; i < count; i++) {
		sim_node_t *node = &sim->nodes[i];

		node->id = (uint64_t)i + 1;
		node->disk.entries = raft_entries_new();
		node->saves = g_ptr_array_new_with_free_func(sim_save_free);
		node->reads = g_array_new(FALSE, FALSE, sizeof(sim_read_t));
		members.items[i] = sim_member(node->id);
		members.items[i].voter = true;
		sim_start(sim, i);
	}
	raft_bootstrap(&sim->nodes[0].raft, &members);
	sim_drain(sim, 0);
	/*
	 * Syncs the bootstrap entry: a replica that crashes before that is
	 * blank and bootstraps the group again.
	 */
	sim_sync(sim, 0, 1);
}

static void sim_end(sim_t *sim)
{
	for (int i = 0; i < sim->count; i++) {
		sim_node_t *node = &sim->nodes[i];

		sim_crash(sim, i, 0, 0);
		sim_disk_clear(&node->disk);
		g_array_unref(node->disk.entries);
		g_ptr_array_unref(node->saves);
		g_array_unref(node->reads);
	}
	g_ptr_array_unref(sim->in_flight);
	g_array_unref(sim->answers);
	g_array_unref(sim->committed);
	g_array_unref(sim->accepted_ms);
	g_array_unref(sim->leaders);
	g_array_unref(sim->lost);
}

/*
 * Checks that the group makes progress again after all faults have ended: a
 * new command commits, unless disks were lost or members changed.
 */
static void sim_check_progress(sim_t *sim, bool intact)
{
	uint64_t before;

	if (sim->violation != NULL || !intact)
		return;
	step_heal(sim, 0);
	for (int i = 0; i < sim->count; i++) {
		sim->nodes[i].paused = false;
		if (!sim->nodes[i].up)
			sim_start(sim, i);
	}
	before = sim_committed_count(sim);
	for (int i = 0; i < 25 && sim_committed_count(sim) <= before; i++) {
		sim_settle(sim, 10);
		sim_submit(sim, 0);
	}
	if (sim->violation == NULL && sim_committed_count(sim) <= before)
		sim_fail(sim, "no progress after all faults have ended");
}

/*
 * Runs the steps in "data"; returns the violation found, or NULL.  The first
 * byte chooses 3, 4, 5 or 6 replicas, and whether a leader is elected before
 * the first fault.
 */
G_GNUC_UNUSED static const char *sim_run(const uint8_t *data, size_t size,
					 const sim_variant_t *variant)
{
	sim_t sim;
	bool intact = true;
	size_t steps = 0;

	if (size < 1)
		return NULL;
	sim_begin(&sim, variant,
		  (data[0] % 2 == 0 ? 3 : 5) + (data[0] / 16 % 4 == 1));
	if (data[0] / 2 % 4 != 0)
		sim_elect(&sim);
	for (size_t i = 1;
	     i + 1 < size && sim.violation == NULL && steps < SIM_STEPS_MAX;
	     i += 2, steps++) {
		sim_step_t step = sim_steps[data[i] % ARRAY_SIZE(sim_steps)];

		if (step == step_wipe || step == sim_change_members)
			intact = false;
		step(&sim, data[i + 1]);
	}
	sim_check_progress(&sim, intact);
	if (getenv("RAFT_SIM_TRACE") != NULL)
		fprintf(stderr,
			"steps=%zu committed=%u elections=%u "
			"terms=%" G_GUINT64_FORMAT " violation=%s\n",
			steps, sim.committed->len, sim.elections,
			sim.nodes[0].disk.term,
			sim.violation == NULL ? "-" : sim.violation);
	sim_end(&sim);
	return sim.violation;
}

#endif
