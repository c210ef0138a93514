/* Unit tests of the directory of endpoints; all times are in milliseconds. */
#include "unit.h"

#include "wisteria/control/directory.h"

#define EPOCH 7
#define OLDER_EPOCH 5
#define COMPLETE_AT_MS 2500
#define AGENT_TIMEOUT_MS 4000

static void announce(directory_t *directory, const char *instance,
		     const char *endpoint, uint64_t incarnation, clock_ms_t now)
{
	const msg_endpoint_t endpoints[] = { {
		.name = endpoint,
		.instance = instance,
		.incarnation = incarnation,
		.address = "127.0.0.1:1",
		.target = "modelo",
		.accelerator = "a",
		.failure_domain = "recife",
		.region = "nordeste",
	} };
	const msg_announce_t body = {
		.instance = instance,
		.incarnation = incarnation,
		.endpoints = endpoints,
		.endpoint_count = ARRAY_SIZE(endpoints),
	};

	directory_announce(directory, &body, now);
}

/*
 * A control instance that has just started does not replace the directory of
 * another epoch that a daemon has until all agents have had time to announce.
 */
static void test_incomplete_directory_replaces_no_other(void)
{
	directory_t *directory = directory_new(EPOCH, COMPLETE_AT_MS);
	directory_delta_t delta;

	announce(directory, "agent-1", "range-0-0", 1, 100);
	directory_delta(directory, OLDER_EPOCH, 42, COMPLETE_AT_MS - 1, &delta);
	CU_ASSERT_FALSE(delta.full);
	CU_ASSERT_EQUAL(delta.epoch, OLDER_EPOCH);
	CU_ASSERT_EQUAL(delta.version, 42);
	CU_ASSERT_EQUAL(delta.endpoint_count, 0);
	CU_ASSERT_EQUAL(delta.removed_count, 0);
	directory_delta(directory, OLDER_EPOCH, 42, COMPLETE_AT_MS, &delta);
	CU_ASSERT_TRUE(delta.full);
	CU_ASSERT_EQUAL(delta.epoch, EPOCH);
	CU_ASSERT_EQUAL(delta.endpoint_count, 1);
	directory_free(directory);
}

/* A daemon without a directory also gets one that is still incomplete. */
static void test_new_daemon_gets_known_endpoints(void)
{
	directory_t *directory = directory_new(EPOCH, COMPLETE_AT_MS);
	directory_delta_t delta;

	announce(directory, "agent-1", "range-0-0", 1, 100);
	directory_delta(directory, 0, 0, 200, &delta);
	CU_ASSERT_TRUE(delta.full);
	CU_ASSERT_EQUAL(delta.endpoint_count, 1);
	announce(directory, "agent-2", "range-0-1", 1, 300);
	directory_delta(directory, EPOCH, delta.version, 400, &delta);
	CU_ASSERT_FALSE(delta.full);
	CU_ASSERT_EQUAL(delta.endpoint_count, 1);
	CU_ASSERT_STRING_EQUAL(delta.endpoints[0].name, "range-0-1");
	directory_free(directory);
}

static void test_agent_without_heartbeat_is_removed(void)
{
	directory_t *directory = directory_new(EPOCH, 0);
	directory_delta_t delta;
	uint64_t version;

	announce(directory, "agent-1", "range-0-0", 1, 0);
	announce(directory, "agent-2", "range-0-1", 1, 0);
	directory_delta(directory, 0, 0, 0, &delta);
	version = delta.version;
	CU_ASSERT_TRUE(
		directory_record_heartbeat(directory, "agent-1", 1, 1000));
	directory_expire(directory, AGENT_TIMEOUT_MS, AGENT_TIMEOUT_MS);
	directory_delta(directory, EPOCH, version, AGENT_TIMEOUT_MS, &delta);
	CU_ASSERT_FALSE(delta.full);
	CU_ASSERT_EQUAL(delta.endpoint_count, 0);
	CU_ASSERT_EQUAL_FATAL(delta.removed_count, 1);
	CU_ASSERT_STRING_EQUAL(delta.removed[0].text, "range-0-1");
	CU_ASSERT_EQUAL(directory_count(directory), 1);
	directory_free(directory);
}

static void test_earlier_incarnation_is_ignored(void)
{
	directory_t *directory = directory_new(EPOCH, 0);
	directory_delta_t delta;

	announce(directory, "agent-1", "range-0-0", 2, 0);
	announce(directory, "agent-1", "range-9-9", 1, 10);
	CU_ASSERT_FALSE(
		directory_record_heartbeat(directory, "agent-1", 1, 20));
	directory_delta(directory, 0, 0, 20, &delta);
	CU_ASSERT_EQUAL_FATAL(delta.endpoint_count, 1);
	CU_ASSERT_STRING_EQUAL(delta.endpoints[0].name, "range-0-0");
	directory_free(directory);
}

static const unit_test_t tests[] = {
	{ "incomplete directory replaces no other",
	  test_incomplete_directory_replaces_no_other },
	{ "new daemon gets the known endpoints",
	  test_new_daemon_gets_known_endpoints },
	{ "agent without heartbeat is removed",
	  test_agent_without_heartbeat_is_removed },
	{ "earlier incarnation is ignored",
	  test_earlier_incarnation_is_ignored },
};

int main(void)
{
	return unit_run("directory", tests, ARRAY_SIZE(tests));
}
