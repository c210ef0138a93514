/* Unit tests of whether a control instance may act as the leader. */
#include "unit.h"

#include <string.h>

#include "wisteria/base/clock.h"
#include "wisteria/fleet/fleet_group.h"

static clock_ms_t now_ms;

static clock_ms_t read_clock(const clock_source_t *self)
{
	(void)self;
	return now_ms;
}

static const clock_source_t test_clock = { .now = read_clock };

/* A leader that has applied its log, which is empty. */
static void make_leader(fleet_control_t *control, net_t *net)
{
	memset(control, 0, sizeof(*control));
	memset(net, 0, sizeof(*net));
	now_ms = 10000;
	net->clock = &test_clock;
	control->net = net;
	control->has_replica = true;
	control->replica.raft.role = RAFT_LEADER;
	control->last_tick_ms = now_ms;
}

/*
 * Failure: a leader that was paused acts before it learns that another one was
 * elected meanwhile: sockets may be read before the first tick.
 */
static void test_paused_leader_does_not_lead(void)
{
	static fleet_control_t control;
	static net_t net;

	make_leader(&control, &net);
	CU_ASSERT_TRUE(fleet_group_leads(&control));
	now_ms += FLEET_PAUSE_MS - 1;
	CU_ASSERT_TRUE(fleet_group_leads(&control));
	now_ms++;
	CU_ASSERT_FALSE(fleet_group_leads(&control));
}

/*
 * Failure: it acts after its first tick, although no quorum has confirmed that
 * it leads, or an answer from before the pause counts as confirmation.
 */
static void test_paused_leader_is_confirmed_first(void)
{
	static fleet_control_t control;
	static net_t net;

	make_leader(&control, &net);
	control.in_doubt = true;
	control.doubt_ticket = 8;
	fleet_group_check_pause(&control, now_ms);
	CU_ASSERT_FALSE(fleet_group_leads(&control));
	fleet_group_confirm(&control, 7);
	CU_ASSERT_FALSE(fleet_group_leads(&control));
	fleet_group_confirm(&control, 8);
	CU_ASSERT_TRUE(fleet_group_leads(&control));
}

static const unit_test_t tests[] = {
	{ "paused leader does not lead", test_paused_leader_does_not_lead },
	{ "paused leader is confirmed first",
	  test_paused_leader_is_confirmed_first },
};

int main(void)
{
	return unit_run("fleet_group", tests, ARRAY_SIZE(tests));
}
