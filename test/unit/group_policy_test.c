/* Unit tests of how a group that mends itself changes. */
#include "unit.h"

#include <string.h>

#include <glib.h>

#include "wisteria/control/group_policy.h"

static raft_members_t members;
static group_sight_t sights[RAFT_MEMBERS_MAX];

static void add(uint64_t id, const char *instance, bool voter,
		clock_ms_t silent_ms, bool caught_up)
{
	raft_member_t *member = &members.items[members.count];

	memset(member, 0, sizeof(*member));
	member->id = id;
	member->voter = voter;
	g_strlcpy(member->instance, instance, sizeof(member->instance));
	sights[members.count++] = (group_sight_t){ silent_ms, caught_up };
}

static void three_voters(clock_ms_t third_silent_ms)
{
	members.count = 0;
	add(1, "a", true, 0, true);
	add(2, "b", true, 100, true);
	add(3, "c", true, third_silent_ms, third_silent_ms < 1000);
}

static void test_a_whole_group_stays(void)
{
	group_change_t next;

	three_voters(100);
	CU_ASSERT_FALSE(group_policy_next(&members, sights, &next));
}

/* Without a successor the loss of one of three is waited out. */
static void test_one_of_three_is_kept(void)
{
	group_change_t next;

	three_voters(60000);
	CU_ASSERT_FALSE(group_policy_next(&members, sights, &next));
}

static void test_a_successor_at_another_address(void)
{
	group_change_t next;

	three_voters(60000);
	add(4, "d", false, 100, false);
	CU_ASSERT_FALSE(group_policy_next(&members, sights, &next));
	sights[3].caught_up = true;
	CU_ASSERT_TRUE(group_policy_next(&members, sights, &next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_PROMOTE);
	CU_ASSERT_EQUAL(next.member, 3);
	members.items[3].voter = true;
	CU_ASSERT_TRUE(group_policy_next(&members, sights, &next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_REMOVE);
	CU_ASSERT_EQUAL(next.member, 2);
}

/* An empty disk at the same address: its older self leaves first. */
static void test_a_lost_disk(void)
{
	group_change_t next;

	three_voters(1000);
	add(4, "c", false, 100, true);
	CU_ASSERT_FALSE(group_policy_next(&members, sights, &next));
	sights[2].silent_ms = GROUP_REPLACED_MS;
	CU_ASSERT_TRUE(group_policy_next(&members, sights, &next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_REMOVE);
	CU_ASSERT_EQUAL(next.member, 2);
}

static void test_a_silent_learner_is_dropped(void)
{
	group_change_t next;

	three_voters(100);
	add(4, "d", false, GROUP_LOST_MS, true);
	CU_ASSERT_TRUE(group_policy_next(&members, sights, &next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_REMOVE);
	CU_ASSERT_EQUAL(next.member, 3);
}

/* Of six, two may be lost for long: the rest go on with less to agree. */
static void test_lost_voters_of_a_large_group_leave(void)
{
	group_change_t next;

	three_voters(100);
	add(4, "d", true, 100, true);
	add(5, "e", true, GROUP_LOST_MS, false);
	add(6, "f", true, 2 * GROUP_LOST_MS, false);
	CU_ASSERT_TRUE(group_policy_next(&members, sights, &next));
	CU_ASSERT_EQUAL(next.change, RAFT_MEMBER_REMOVE);
	CU_ASSERT_EQUAL(next.member, 5);
}

static const unit_test_t tests[] = {
	{ "a whole group stays", test_a_whole_group_stays },
	{ "one of three is kept", test_one_of_three_is_kept },
	{ "a successor at another address",
	  test_a_successor_at_another_address },
	{ "a lost disk", test_a_lost_disk },
	{ "a silent learner is dropped", test_a_silent_learner_is_dropped },
	{ "lost voters of a large group leave",
	  test_lost_voters_of_a_large_group_leave },
};

int main(void)
{
	return unit_run("group_policy", tests, ARRAY_SIZE(tests));
}
