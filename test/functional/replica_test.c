/*
 * Tests replicas of the log in one process, with loopback connections and data
 * directories on disk: snapshots, restarts from them, sending a snapshot to a
 * replica that lost its disk, and rejoining through members that don't lead.
 */
#include "../unit/unit.h"

#include <stdio.h>
#include <string.h>

#include "harness/harness.h"

#include "wisteria/base/clock.h"
#include "wisteria/control/replica.h"
#include "wisteria/net/listener.h"
#include "wisteria/net/net.h"
#include "wisteria/raft/raft_members.h"

#define MEMBERS 3
#define MEMBERS_MAX 5
#define SEEDS 3
#define SNAPSHOT_ENTRIES 40 /* from one snapshot to the next */
#define ENTRIES 200	    /* proposed by propose_until_snapshots() */

static harness_t harness;

/* A replica whose state is the sum of the numbers that it applied. */
typedef struct {
	conn_handler_t handler;
	replica_machine_t machine;
	net_t *net; /* NULL while stopped */
	listener_t listener;
	replica_t replica;
	settings_t settings;
	settings_control_t control;
	settings_peer_t seeds[SEEDS]; /* used by restart_with_seeds() */
	uint64_t sum;
	uint32_t restored; /* snapshots restored since the start */
} member_t;

typedef struct {
	uv_loop_t loop;
	member_t members[MEMBERS_MAX];
	settings_peer_t voters[MEMBERS_MAX];
	size_t count;
	GPtrArray *closed_nets; /* freed after the loop is closed */
	uint64_t proposed;	/* the last value; the values are 1, 2, ... */
} group_t;

static group_t group;

static void on_opened(conn_handler_t *handler, conn_t *conn)
{
	(void)handler;
	(void)conn;
}

static void on_closed(conn_handler_t *handler, conn_t *conn, const err_t *why)
{
	(void)handler;
	(void)conn;
	(void)why;
}

static void on_message(conn_handler_t *handler, conn_t *conn, const msg_t *msg)
{
	member_t *member = CONTAINER_OF(handler, member_t, handler);

	if (msg->type == MSG_RAFT)
		replica_on_message(&member->replica, conn, msg->body);
}

static member_t *member_of(replica_machine_t *machine)
{
	return CONTAINER_OF(machine, member_t, machine);
}

static void apply(replica_machine_t *machine, uint64_t index, uint64_t term,
		  const uint8_t *data, size_t len)
{
	uint64_t value = 0;

	(void)index;
	(void)term;
	memcpy(&value, data, MIN(len, sizeof(value)));
	member_of(machine)->sum += value;
}

static void snapshot(replica_machine_t *machine, msgpack_sbuffer *out)
{
	msgpack_sbuffer_write(out, (const char *)&member_of(machine)->sum,
			      sizeof(uint64_t));
}

static bool restore(replica_machine_t *machine, const uint8_t *data, size_t len,
		    err_t *err)
{
	member_t *member = member_of(machine);

	(void)err;
	if (len != sizeof(member->sum))
		return false;
	memcpy(&member->sum, data, len);
	member->restored++;
	return true;
}

static void confirmed(replica_machine_t *machine, uint64_t ticket)
{
	(void)machine;
	(void)ticket;
}

static void leader_changed(replica_machine_t *machine)
{
	(void)machine;
}

static void message(replica_machine_t *machine, conn_t *conn, const msg_t *msg)
{
	(void)machine;
	(void)conn;
	(void)msg;
}

static const replica_machine_t callbacks = {
	apply, snapshot, restore, confirmed, leader_changed, message
};

static void start_member(size_t member_index)
{
	static const uint8_t key[NET_KEY_BYTES];
	member_t *member = &group.members[member_index];
	err_t err = ERR_INIT;

	member->sum = 0;
	member->restored = 0;
	member->machine = callbacks;
	member->net = g_new0(net_t, 1);
	net_init(member->net, &group.loop, &clock_monotonic,
		 group.voters[member_index].instance, "rig", 1, key);
	CU_ASSERT_FATAL(listener_init(&member->listener, member->net,
				      group.voters[member_index].address,
				      &member->handler, &err));
	CU_ASSERT_FATAL(replica_init(&member->replica, member->net,
				     &member->settings, &member->machine,
				     &err));
	member->replica.snapshot_entries = SNAPSHOT_ENTRIES;
}

static void stop_member(size_t member_index)
{
	member_t *member = &group.members[member_index];

	replica_close(&member->replica);
	listener_close(&member->listener);
	net_close(member->net);
	/* Run the close callbacks before the replica is freed. */
	for (int i = 0; i < 5; i++)
		uv_run(&group.loop, UV_RUN_NOWAIT);
	replica_finish(&member->replica);
	g_ptr_array_add(group.closed_nets, member->net);
	member->net = NULL;
}

static void start_group_of(const char *name, size_t count, bool open)
{
	memset(&group, 0, sizeof(group));
	group.count = count;
	uv_loop_init(&group.loop);
	group.closed_nets = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; i < group.count; i++) {
		member_t *member = &group.members[i];

		group.voters[i].instance =
			(char *)harness_string(&harness, "%s-%zu", name, i);
		group.voters[i].address = (char *)harness_address(&harness);
		member->handler.opened = on_opened;
		member->handler.closed = on_closed;
		member->handler.message = on_message;
		member->settings.control = &member->control;
		member->control = (settings_control_t){
			.listen = group.voters[i].address,
			.data_dir = (char *)harness_path(
				&harness,
				harness_string(&harness, "%s-data",
					       group.voters[i].instance)),
			.voters = group.voters,
			.voters_count = (unsigned)count,
			.open_group = open,
		};
	}
	for (size_t i = 0; i < count; i++)
		start_member(i);
}

static void start_group(const char *name)
{
	start_group_of(name, MEMBERS, false);
}

static void stop_group(void)
{
	for (size_t i = 0; i < group.count; i++)
		if (group.members[i].net != NULL)
			stop_member(i);
	uv_run(&group.loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&group.loop), 0);
	g_ptr_array_unref(group.closed_nets);
}

static bool run_until(bool (*condition)(void))
{
	clock_ms_t deadline_ms = clock_now(&clock_monotonic) + HARNESS_WAIT_MS;

	while (!condition() && clock_now(&clock_monotonic) < deadline_ms)
		uv_run(&group.loop, UV_RUN_ONCE);
	return condition();
}

static member_t *find_leader(void)
{
	for (size_t i = 0; i < group.count; i++)
		if (group.members[i].net != NULL &&
		    replica_is_ready_leader(&group.members[i].replica))
			return &group.members[i];
	return NULL;
}

static bool has_leader(void)
{
	return find_leader() != NULL;
}

/* Returns whether the running members have applied all proposed values. */
static bool all_have_applied(void)
{
	uint64_t sum = group.proposed * (group.proposed + 1) / 2;

	for (size_t i = 0; i < group.count; i++)
		if (group.members[i].net != NULL && group.members[i].sum != sum)
			return false;
	return true;
}

static void propose_entries(size_t count)
{
	CU_ASSERT_FATAL(run_until(has_leader));
	for (size_t i = 0; i < count; i++) {
		uint64_t value = ++group.proposed;

		CU_ASSERT_NOT_EQUAL(replica_propose(&find_leader()->replica,
						    (const uint8_t *)&value,
						    sizeof(value)),
				    0);
	}
	CU_ASSERT_FATAL(run_until(all_have_applied));
}

static bool all_have_snapshots(void)
{
	for (size_t i = 0; i < group.count; i++)
		if (group.members[i].replica.raft.snapshot.index < ENTRIES / 2)
			return false;
	return true;
}

/*
 * Proposes ENTRIES entries and waits until each member has a snapshot at index
 * ENTRIES / 2 or later.
 */
static void propose_until_snapshots(void)
{
	for (size_t done = 0; done < ENTRIES; done += 10)
		propose_entries(10);
	CU_ASSERT_FATAL(run_until(all_have_snapshots));
}

static void test_restart_from_snapshots(void)
{
	start_group("restart");
	propose_until_snapshots();
	for (size_t i = 0; i < group.count; i++)
		stop_member(i);
	for (size_t i = 0; i < group.count; i++)
		start_member(i);
	propose_entries(5);
	for (size_t i = 0; i < group.count; i++)
		CU_ASSERT_EQUAL(group.members[i].restored, 1);
	stop_group();
}

/* Index of the member whose files are removed. */
static size_t wiped;

static bool wiped_member_is_voter(void)
{
	const member_t *member = &group.members[wiped];

	return has_leader() &&
	       raft_members_is_voter(&find_leader()->replica.raft.members,
				     member->replica.raft.id);
}

static void remove_files(const char *dir_path)
{
	GDir *dir = g_dir_open(dir_path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *path = g_build_filename(dir_path, name, NULL);

		remove(path);
		g_free(path);
	}
	if (dir != NULL)
		g_dir_close(dir);
}

static void test_lost_disk_is_restored_from_snapshot(void)
{
	uint64_t old_id;

	start_group("lost-disk");
	propose_until_snapshots();
	/*
	 * After these entries, the log has more than RAFT_KEEP_ENTRIES before
	 * the last snapshot: the leader has dropped the first ones and must
	 * send the snapshot.
	 */
	propose_entries(RAFT_KEEP_ENTRIES);
	CU_ASSERT_FATAL(run_until(has_leader));
	wiped = find_leader() == &group.members[0] ? 1 : 0;
	old_id = group.members[wiped].replica.raft.id;
	stop_member(wiped);
	remove_files(group.members[wiped].control.data_dir);
	start_member(wiped);
	CU_ASSERT_NOT_EQUAL(group.members[wiped].replica.raft.id, old_id);
	CU_ASSERT_FATAL(run_until(wiped_member_is_voter));
	CU_ASSERT_FATAL(run_until(all_have_applied));
	CU_ASSERT_EQUAL(group.members[wiped].restored, 1);
	CU_ASSERT_EQUAL(find_leader()->replica.raft.members.count, MEMBERS);
	stop_group();
}

static size_t index_of_leader(void)
{
	CU_ASSERT_FATAL(run_until(has_leader));
	return (size_t)(find_leader() - group.members);
}

/*
 * Restarts the wiped member as one that joins a group and knows SEEDS members,
 * none of which leads.  With "is_seed" it is one of them itself.
 */
static void restart_with_seeds(size_t leader, bool is_seed)
{
	member_t *member = &group.members[wiped];
	unsigned count = 0;

	if (is_seed)
		member->seeds[count++] = group.voters[wiped];
	for (size_t i = 0; i < group.count && count < SEEDS; i++)
		if (i != wiped && i != leader)
			member->seeds[count++] = group.voters[i];
	CU_ASSERT_EQUAL_FATAL(count, SEEDS);
	member->control.voters = member->seeds;
	member->control.voters_count = count;
	member->control.join_only = true;
	start_member(wiped);
}

static void check_rejoin(const char *name, bool is_seed)
{
	size_t leader;

	start_group_of(name, MEMBERS_MAX, true);
	propose_entries(5);
	leader = index_of_leader();
	wiped = (leader + 1) % group.count;
	stop_member(wiped);
	remove_files(group.members[wiped].control.data_dir);
	restart_with_seeds(leader, is_seed);
	CU_ASSERT_FATAL(run_until(wiped_member_is_voter));
	CU_ASSERT_FATAL(run_until(all_have_applied));
	CU_ASSERT_EQUAL(find_leader()->replica.raft.members.count, group.count);
	stop_group();
}

/* The leader is none of the members that the empty replica knows. */
static void test_empty_replica_finds_a_leader_that_is_no_seed(void)
{
	check_rejoin("rejoin", false);
}

static void test_empty_seed_finds_a_leader_that_is_no_seed(void)
{
	check_rejoin("rejoin-seed", true);
}

static const unit_test_t tests[] = {
	{ "restart from snapshots", test_restart_from_snapshots },
	{ "lost disk is restored from a snapshot",
	  test_lost_disk_is_restored_from_snapshot },
	{ "empty replica finds a leader that is no seed",
	  test_empty_replica_finds_a_leader_that_is_no_seed },
	{ "empty seed finds a leader that is no seed",
	  test_empty_seed_finds_a_leader_that_is_no_seed },
};

int main(void)
{
	int status;

	harness_init(&harness, "replica");
	status = unit_run("replica", tests, ARRAY_SIZE(tests));
	harness_finish(&harness, status == EXIT_SUCCESS);
	return status;
}
