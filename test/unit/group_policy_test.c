/* Unit tests of the automatic membership changes of an open group. */
#include "unit.h"

#include <string.h>

#include <glib.h>

#include "wisteria/control/group_policy.h"

static raft_members_t members;
static group_member_status_t statuses[RAFT_MEMBERS_MAX];

static void add_member(uint64_t id, const char *instance, bool voter,
		       clock_ms_t silent_ms, bool caught_up)
{
	raft_member_t *member = &members.items[members.count];

	memset(member, 0, sizeof(*member));
	member->id = id;
	member->voter = voter;
	g_strlcpy(member->instance, instance, sizeof(member->instance));
	statuses[members.count++] = (group_member_status_t){
		.silent_ms = silent_ms,
		.caught_up = caught_up,
	};
}

static void init_three_voters(clock_ms_t third_silent_ms)
{
	members.count = 0;
	add_member(1, "a", true, 0, true);
	add_member(2, "b", true, 100, true);
	add_member(3, "c", true, third_silent_ms, third_silent_ms < 1000);
}

static const settings_tolerance_t one_machine = { .machines = 1 };
static const settings_tolerance_t two_machines = { .machines = 2 };

static bool next_change_bearing(const settings_tolerance_t *tolerance,
				group_change_t *next)
{
	return group_policy_next(&members, statuses, tolerance,
				 GROUP_REACHABLE_MS, next);
}

/* Without a spare voter, unless there are six or more. */
static bool next_change(group_change_t *next)
{
	return next_change_bearing(&two_machines, next);
}

static void test_healthy_group_is_unchanged(void)
{
	group_change_t next;

	init_three_voters(100);
	CU_ASSERT_FALSE(next_change(&next));
}

/* A lost voter of three stays a member until a replacement has joined. */
static void test_lost_voter_of_three_is_kept(void)
{
	group_change_t next;

	init_three_voters(60000);
	CU_ASSERT_FALSE(next_change(&next));
}

/* The replacement takes the place of the lost voter. */
static void test_lost_voter_is_replaced(void)
{
	group_change_t next;

	init_three_voters(60000);
	add_member(4, "d", false, 100, false);
	CU_ASSERT_FALSE(next_change(&next));
	statuses[3].caught_up = true;
	CU_ASSERT_TRUE(next_change(&next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_REMOVE);
	CU_ASSERT_EQUAL(next.member, 2);
	members.items[2] = members.items[3];
	statuses[2] = statuses[3];
	members.count = 3;
	CU_ASSERT_TRUE(next_change(&next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_PROMOTE);
	CU_ASSERT_EQUAL(next.member, 2);
}

/* Nor is it promoted beside a voter that may be lost. */
static void test_learner_waits_while_a_voter_may_be_lost(void)
{
	group_change_t next;

	init_three_voters(GROUP_REACHABLE_MS);
	add_member(4, "d", false, 100, true);
	CU_ASSERT_FALSE(next_change(&next));
	statuses[2].silent_ms = GROUP_REPLACE_TIMEOUT_MS - 1;
	CU_ASSERT_FALSE(next_change(&next));
	statuses[2].silent_ms = GROUP_REPLACE_TIMEOUT_MS;
	CU_ASSERT_TRUE(next_change(&next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_REMOVE);
	statuses[2].silent_ms = 0;
	CU_ASSERT_TRUE(next_change(&next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_PROMOTE);
}

static void test_silent_learner_is_not_promoted(void)
{
	group_change_t next;

	init_three_voters(100);
	add_member(4, "d", false, GROUP_REACHABLE_MS, true);
	CU_ASSERT_FALSE(next_change(&next));
}

/* The fourth voter of a group that is silent costs it a tolerable loss. */
static void test_lost_voter_of_even_group_is_removed_soon(void)
{
	group_change_t next;

	init_three_voters(GROUP_REPLACE_TIMEOUT_MS);
	add_member(4, "d", true, 100, true);
	CU_ASSERT_TRUE(next_change(&next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_REMOVE);
	CU_ASSERT_EQUAL(next.member, 2);
	add_member(5, "e", true, 100, true);
	CU_ASSERT_FALSE(next_change(&next));
}

/* The instance's previous id is removed before its new id may vote. */
static void test_instance_that_lost_its_disk_is_replaced(void)
{
	group_change_t next;

	init_three_voters(1000);
	add_member(4, "c", false, 100, true);
	CU_ASSERT_FALSE(next_change(&next));
	statuses[2].silent_ms = GROUP_REPLACE_TIMEOUT_MS;
	CU_ASSERT_TRUE(next_change(&next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_REMOVE);
	CU_ASSERT_EQUAL(next.member, 2);
}

static void test_silent_learner_is_removed(void)
{
	group_change_t next;

	init_three_voters(100);
	add_member(4, "d", false, GROUP_MEMBER_TIMEOUT_MS, true);
	CU_ASSERT_TRUE(next_change(&next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_REMOVE);
	CU_ASSERT_EQUAL(next.member, 3);
}

/*
 * With four of six voters reachable, the lost ones are removed so that the
 * others need a smaller quorum, beginning with the one that is silent longest.
 */
static void test_lost_voters_of_large_group_are_removed(void)
{
	group_change_t next;

	init_three_voters(100);
	add_member(4, "d", true, 100, true);
	add_member(5, "e", true, GROUP_MEMBER_TIMEOUT_MS, false);
	add_member(6, "f", true, 2 * GROUP_MEMBER_TIMEOUT_MS, false);
	CU_ASSERT_TRUE(next_change(&next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_REMOVE);
	CU_ASSERT_EQUAL(next.member, 5);
}

/* Voters of which the first two are gone, or about to go. */
static void init_voters(uint32_t count, bool first_refused, bool second_refused)
{
	init_three_voters(100);
	statuses[0].refused = first_refused;
	statuses[0].silent_ms = GROUP_REFUSED_SILENCE_MS;
	statuses[1].refused = second_refused;
	statuses[1].silent_ms = GROUP_REFUSED_SILENCE_MS;
	for (uint64_t id = 4; id <= count; id++)
		add_member(id, "other", true, 100, true);
}

/* Removes spare voters until none is left; returns the number of voters. */
static uint32_t shrink(const settings_tolerance_t *tolerance)
{
	group_change_t next;

	while (next_change_bearing(tolerance, &next)) {
		CU_ASSERT_EQUAL_FATAL(next.change, RAFT_MEMBER_REMOVE);
		members.count--;
		members.items[next.member] = members.items[members.count];
		statuses[next.member] = statuses[members.count];
	}
	return members.count;
}

/*
 * Failure: two disks lost right after two planned replacements end the group,
 * as the old voters count for 8 s.
 */
static void test_absent_voters_of_seven_are_removed(void)
{
	group_change_t next;

	init_voters(7, true, true);
	statuses[1].silent_ms = 300;
	CU_ASSERT_TRUE(next_change(&next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_REMOVE);
	CU_ASSERT_EQUAL(next.member, 1);
	CU_ASSERT_EQUAL(next.reason, GROUP_REFUSED);
	CU_ASSERT_EQUAL(shrink(&two_machines), 5);
	init_voters(7, false, false);
	CU_ASSERT_FALSE(next_change(&next));
	statuses[2].silent_ms = GROUP_ABSENT_SILENCE_MS;
	CU_ASSERT_TRUE(next_change(&next));
	CU_ASSERT_EQUAL(next.member, 2);
	CU_ASSERT_EQUAL(next.reason, GROUP_ABSENT);
}

/*
 * Failure: a disk lost after two planned replacements ends a group that is to
 * bear one loss, as five voters keep absent ones for 8 s.
 */
static void test_absent_voters_of_five_are_removed_if_three_suffice(void)
{
	init_voters(5, true, true);
	CU_ASSERT_EQUAL(shrink(&one_machine), 3);
	init_voters(5, true, false);
	CU_ASSERT_EQUAL(shrink(&one_machine), 4);
	init_voters(5, true, true);
	CU_ASSERT_EQUAL(shrink(&two_machines), 5);
	init_voters(6, true, true);
	CU_ASSERT_EQUAL(shrink(&two_machines), 5);
}

/* Failure: a split of some seconds leaves too few copies for the next losses. */
static void test_spare_voters_alone_are_removed_early(void)
{
	for (uint32_t losses = 0; losses <= 4; losses++) {
		const settings_tolerance_t tolerance = { .machines = losses };

		for (uint32_t count = 3; count <= 11; count++) {
			uint32_t least = MAX(2 * losses + 1, GROUP_VOTERS_MIN);

			init_voters(count, true, true);
			for (uint32_t i = 2; i < count / 2; i++)
				statuses[i].silent_ms = GROUP_ABSENT_SILENCE_MS;
			CU_ASSERT_TRUE(shrink(&tolerance) >= MIN(count, least));
		}
	}
}

/* Failure: a process that is told to stop counts after its end. */
static void test_spare_voter_that_stops_is_removed(void)
{
	group_change_t next;

	init_voters(4, false, false);
	statuses[0].silent_ms = 0;
	statuses[0].leaving = true;
	CU_ASSERT_FALSE(next_change(&next));
	CU_ASSERT_TRUE(next_change_bearing(&one_machine, &next));
	CU_ASSERT_EQUAL(next.member, 0);
	CU_ASSERT_EQUAL(next.reason, GROUP_LEAVING);
	members.count = 3;
	CU_ASSERT_FALSE(next_change_bearing(&one_machine, &next));
}

/* The one that stops may only be restarted, the silent one may be gone. */
static void test_silent_voter_goes_before_one_that_stops(void)
{
	group_change_t next;

	init_voters(4, false, true);
	statuses[0].silent_ms = 0;
	statuses[0].leaving = true;
	CU_ASSERT_TRUE(next_change_bearing(&one_machine, &next));
	CU_ASSERT_EQUAL(next.member, 1);
}

static void test_learner_that_stops_is_not_promoted(void)
{
	group_change_t next;

	init_three_voters(100);
	add_member(4, "d", false, 100, true);
	statuses[3].leaving = true;
	CU_ASSERT_FALSE(next_change(&next));
}

/* Failure: a voter that was started again is removed before its link is open. */
static void test_refused_voter_that_is_heard_is_kept(void)
{
	group_change_t next;

	init_voters(7, true, true);
	statuses[0].silent_ms = GROUP_REFUSED_SILENCE_MS - 1;
	statuses[1].silent_ms = GROUP_REFUSED_SILENCE_MS - 1;
	CU_ASSERT_FALSE(next_change(&next));
}

/* A lost failure domain or region is the loss of the voters in it. */
static void test_places_count_as_the_machines_in_them(void)
{
	static const char *const domains[] = { "a", "a", "b", "b", "c", "c" };
	static const char *const regions[] = { "n", "n", "n", "n", "s", "s" };
	const settings_tolerance_t one_domain = { .failure_domains = 1 };
	const settings_tolerance_t two_domains = { .failure_domains = 2 };
	const settings_tolerance_t one_region = { .regions = 1 };

	init_voters(6, true, true);
	for (uint32_t i = 0; i < 6; i++) {
		statuses[i].failure_domain = domains[i];
		statuses[i].region = regions[i];
	}
	CU_ASSERT_EQUAL(group_losses_borne(&members, statuses, &one_machine, 0),
			1);
	CU_ASSERT_EQUAL(group_losses_borne(&members, statuses, &one_domain, 0),
			2);
	CU_ASSERT_EQUAL(group_losses_borne(&members, statuses, &two_domains, 0),
			4);
	CU_ASSERT_EQUAL(group_losses_borne(&members, statuses, &one_region, 0),
			3);
	CU_ASSERT_EQUAL(group_losses_borne(&members, statuses, &one_region, 4),
			4);
	CU_ASSERT_TRUE(group_can_spare(&members, statuses, &one_domain, 0));
	CU_ASSERT_FALSE(group_can_spare(&members, statuses, &one_region, 0));
	statuses[2].failure_domain = NULL;
	CU_ASSERT_EQUAL(group_losses_borne(&members, statuses, &one_domain, 0),
			3);
	CU_ASSERT_FALSE(group_can_spare(&members, statuses, &one_domain, 0));
}

/* A voter is removed only if the others were heard from just now. */
static void test_lost_voter_is_kept_while_others_are_quiet(void)
{
	group_change_t next;

	init_three_voters(GROUP_MEMBER_TIMEOUT_MS);
	add_member(4, "d", true, 100, true);
	CU_ASSERT_TRUE(next_change(&next));
	statuses[1].silent_ms = GROUP_REACHABLE_MS;
	CU_ASSERT_FALSE(next_change(&next));
}

/* The time in which the leader was frozen is no silence of the others. */
static void test_frozen_leader_watches_anew(void)
{
	raft_t raft = { .id = 1, .now_ms = 20000, .role = RAFT_LEADER };
	group_watch_t watch = { 0 };

	init_three_voters(0);
	raft.members = members;
	for (uint32_t i = 0; i < members.count; i++)
		raft.progress[i] = (raft_progress_t){
			.id = members.items[i].id,
			.last_heard_ms = 1000,
		};
	for (clock_ms_t now = 1000; now <= 3000; now += 100)
		group_watch_tick(&watch, &raft, now);
	group_watch_statuses(&watch, &raft, statuses);
	CU_ASSERT_EQUAL(statuses[0].silent_ms, 0);
	CU_ASSERT_EQUAL(statuses[1].silent_ms, 2000);
	group_watch_tick(&watch, &raft, 20000);
	group_watch_statuses(&watch, &raft, statuses);
	CU_ASSERT_EQUAL(statuses[1].silent_ms, 0);
}

/* A new leader cannot tell yet whether the learner replaces a lost voter. */
static void test_new_leader_watches_before_it_promotes(void)
{
	raft_t raft = { .id = 1, .role = RAFT_FOLLOWER };
	group_watch_t watch = { 0 };
	group_change_t next;
	clock_ms_t watched_ms;

	init_three_voters(0);
	add_member(4, "d", false, 0, true);
	for (clock_ms_t now = 1000; now <= 5000; now += 100)
		group_watch_tick(&watch, &raft, now);
	CU_ASSERT_EQUAL(group_watch_statuses(&watch, &raft, statuses), 0);
	raft.role = RAFT_LEADER;
	for (clock_ms_t now = 5000; now < 5000 + GROUP_REACHABLE_MS; now += 100)
		group_watch_tick(&watch, &raft, now);
	watched_ms = group_watch_statuses(&watch, &raft, statuses);
	CU_ASSERT_EQUAL(watched_ms, GROUP_REACHABLE_MS - 100);
	CU_ASSERT_FALSE(group_policy_next(&members, statuses, &two_machines,
					  watched_ms, &next));
	CU_ASSERT_TRUE(next_change(&next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_PROMOTE);
}

/* Failure: a voter that was lost before the election counts as reachable. */
static void test_new_leader_promotes_beside_no_lost_voter(void)
{
	raft_t raft = { .id = 1, .role = RAFT_FOLLOWER };
	group_watch_t watch = { 0 };
	group_change_t next;

	init_three_voters(0);
	add_member(4, "d", false, 0, true);
	raft.members = members;
	for (clock_ms_t now = 4000; now <= 5000; now += 100)
		group_watch_tick(&watch, &raft, now);
	raft.role = RAFT_LEADER;
	for (uint32_t i = 0; i < members.count; i++)
		raft.progress[i] = (raft_progress_t){
			.id = members.items[i].id,
			.match = raft.commit,
			.last_heard_ms = 5040,
		};
	for (clock_ms_t now = 5100; now < 5000 + 2 * GROUP_REACHABLE_MS;
	     now += 100) {
		clock_ms_t watched_ms;

		for (uint32_t i = 0; i < members.count; i++)
			if (members.items[i].id != 2)
				raft.progress[i].last_heard_ms = now;
		group_watch_tick(&watch, &raft, now);
		watched_ms = group_watch_statuses(&watch, &raft, statuses);
		CU_ASSERT_FALSE(group_policy_next(
			&members, statuses, &two_machines, watched_ms, &next));
	}
}

/* One learner takes one place, that of the voter that is silent longest. */
static void test_learner_replaces_one_of_two_silent_voters(void)
{
	group_change_t next;

	init_three_voters(GROUP_REPLACE_TIMEOUT_MS);
	add_member(4, "d", true, 100, true);
	add_member(5, "e", true, GROUP_REPLACE_TIMEOUT_MS + 100, true);
	add_member(6, "f", false, 100, true);
	CU_ASSERT_TRUE(next_change(&next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_REMOVE);
	CU_ASSERT_EQUAL(next.member, 4);
	members.items[4] = members.items[5];
	statuses[4] = statuses[5];
	members.count = 5;
	CU_ASSERT_TRUE(next_change(&next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_PROMOTE);
	CU_ASSERT_EQUAL(next.member, 4);
	members.items[4].voter = true;
	CU_ASSERT_FALSE(next_change(&next));
}

/* A returning instance takes its own place, not that of another. */
static void test_learner_with_previous_id_replaces_no_other(void)
{
	group_change_t next;

	init_three_voters(GROUP_REPLACE_TIMEOUT_MS);
	add_member(4, "d", true, 100, true);
	add_member(5, "e", true, 100, true);
	add_member(6, "e", false, 100, true);
	CU_ASSERT_FALSE(next_change(&next));
}

static const unit_test_t tests[] = {
	{ "healthy group is unchanged", test_healthy_group_is_unchanged },
	{ "lost voter of three is kept", test_lost_voter_of_three_is_kept },
	{ "lost voter is replaced", test_lost_voter_is_replaced },
	{ "learner waits while a voter may be lost",
	  test_learner_waits_while_a_voter_may_be_lost },
	{ "silent learner is not promoted",
	  test_silent_learner_is_not_promoted },
	{ "lost voter of even group is removed soon",
	  test_lost_voter_of_even_group_is_removed_soon },
	{ "new leader watches before it promotes",
	  test_new_leader_watches_before_it_promotes },
	{ "learner replaces one of two silent voters",
	  test_learner_replaces_one_of_two_silent_voters },
	{ "learner with previous id replaces no other",
	  test_learner_with_previous_id_replaces_no_other },
	{ "instance that lost its disk is replaced",
	  test_instance_that_lost_its_disk_is_replaced },
	{ "silent learner is removed", test_silent_learner_is_removed },
	{ "lost voters of large group are removed",
	  test_lost_voters_of_large_group_are_removed },
	{ "absent voters of seven are removed",
	  test_absent_voters_of_seven_are_removed },
	{ "absent voters of five are removed if three suffice",
	  test_absent_voters_of_five_are_removed_if_three_suffice },
	{ "spare voters alone are removed early",
	  test_spare_voters_alone_are_removed_early },
	{ "spare voter that stops is removed",
	  test_spare_voter_that_stops_is_removed },
	{ "silent voter goes before one that stops",
	  test_silent_voter_goes_before_one_that_stops },
	{ "learner that stops is not promoted",
	  test_learner_that_stops_is_not_promoted },
	{ "places count as the machines in them",
	  test_places_count_as_the_machines_in_them },
	{ "refused voter that is heard is kept",
	  test_refused_voter_that_is_heard_is_kept },
	{ "lost voter is kept while others are quiet",
	  test_lost_voter_is_kept_while_others_are_quiet },
	{ "new leader promotes beside no lost voter",
	  test_new_leader_promotes_beside_no_lost_voter },
	{ "frozen leader watches anew", test_frozen_leader_watches_anew },
};

int main(void)
{
	return unit_run("group_policy", tests, ARRAY_SIZE(tests));
}
