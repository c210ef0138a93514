/*
 * Disks of control instances that are full for some seconds, one after another.
 * A process for which the kernel refuses to let files grow stands for one with a
 * full disk: it sees short writes and failures, as with ENOSPC.
 */
#include "../unit/unit.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include "harness/fleet_rig.h"
#include "harness/harness.h"
#include "harness/http.h"

#define CONTROLS 3
/* Within this time changes are acknowledged while one disk is full. */
#define ACK_MS 4000
#define CHANGES_WHILE_FULL 6
#define CHANGE_INTERVAL_US 500000
/* Writes are tried again each 0.5 s. */
#define RECOVERY_US 1500000

static harness_t harness;
static http_client_t client;
static unsigned version;

typedef struct {
	const char *name;
	fleet_rig_t rig;
	harness_process_t *controls[CONTROLS];
} fleet_t;

static http_request_t *call(const fleet_t *fleet, size_t index,
			    const char *path, const char *body)
{
	const http_params_t params = {
		.url = harness_string(&harness, "http://%s%s",
				      fleet->rig.control_addresses[index],
				      path),
		.body = body,
	};
	http_request_t *request = http_send(&client, &params);

	CU_ASSERT_FATAL(http_wait(&client, request, HARNESS_WAIT_MS));
	return request;
}

/* Returns whether an instance acknowledges the present version. */
static bool is_change_accepted(void *user)
{
	const fleet_t *fleet = user;
	const char *body = harness_string(
		&harness,
		"{\"version\":%u,\"routes\":[],\"services\":[],\"limits\":{}}",
		version);
	bool accepted = false;

	for (size_t i = 0; i < CONTROLS && !accepted; i++) {
		http_request_t *request =
			call(fleet, i, "/wisteriadrift/config/replace", body);

		accepted = request->status == 200;
		http_request_free(&client, request);
	}
	return accepted;
}

/* Returns whether every instance answers reads with the present version. */
static bool is_version_read_everywhere(void *user)
{
	const fleet_t *fleet = user;
	const char *text = harness_string(&harness, "\"version\":%u,", version);
	bool read = true;

	for (size_t i = 0; i < CONTROLS && read; i++) {
		http_request_t *request =
			call(fleet, i, "/wisteriadrift/config/get", NULL);

		read = request->status == 200 &&
		       strstr(request->body->str, text) != NULL;
		http_request_free(&client, request);
	}
	return read;
}

static void change(fleet_t *fleet)
{
	version++;
	CU_ASSERT(harness_wait_until(is_change_accepted, fleet, ACK_MS));
}

static void start_fleet(fleet_t *fleet, const char *name)
{
	fleet->name = name;
	fleet_rig_init(&fleet->rig, &harness, CONTROLS);
	for (size_t i = 0; i < CONTROLS; i++)
		fleet->controls[i] = fleet_rig_start_control(
			&fleet->rig, i,
			harness_string(&harness, "%s-%zu", name, i));
}

static void stop_fleet(fleet_t *fleet)
{
	for (size_t i = 0; i < CONTROLS; i++)
		harness_kill(fleet->controls[i]);
}

/* Lets files of process "pid", 0 for this one, grow up to "bytes". */
static void limit_files(pid_t pid, rlim_t bytes)
{
	struct rlimit limit;

	CU_ASSERT_EQUAL_FATAL(prlimit(pid, RLIMIT_FSIZE, NULL, &limit), 0);
	limit.rlim_cur = bytes;
	CU_ASSERT_EQUAL_FATAL(prlimit(pid, RLIMIT_FSIZE, &limit, NULL), 0);
}

static off_t log_size(fleet_t *fleet, size_t index)
{
	const char *log = harness_string(
		&harness, "%s/log-0000000000000001",
		fleet_rig_data_dir(&fleet->rig, fleet->controls[index]->name));
	struct stat status;

	CU_ASSERT_EQUAL_FATAL(stat(log, &status), 0);
	return status.st_size;
}

/* Fills the disk of instance "index" but for "room" bytes behind its log. */
static void fill_disk(fleet_t *fleet, size_t index, unsigned room)
{
	limit_files(fleet->controls[index]->pid,
		    (rlim_t)log_size(fleet, index) + room);
}

static void free_disk(fleet_t *fleet, size_t index)
{
	limit_files(fleet->controls[index]->pid, RLIM_INFINITY);
}

static void change_while_full(fleet_t *fleet)
{
	for (unsigned i = 0; i < CHANGES_WHILE_FULL; i++) {
		change(fleet);
		g_usleep(CHANGE_INTERVAL_US);
	}
}

/* Expects the last version everywhere, also after a kill of all. */
static void expect_all_is_well(fleet_t *fleet)
{
	change(fleet);
	CU_ASSERT(
		harness_wait_until(is_version_read_everywhere, fleet, ACK_MS));
	for (size_t i = 0; i < CONTROLS; i++)
		CU_ASSERT(harness_is_running(fleet->controls[i]));
	for (size_t i = 0; i < CONTROLS; i++)
		harness_kill(fleet->controls[i]);
	for (size_t i = 0; i < CONTROLS; i++)
		harness_restart(fleet->controls[i]);
	CU_ASSERT(harness_wait_until(is_version_read_everywhere, fleet,
				     HARNESS_WAIT_MS));
	change(fleet);
}

/*
 * Failure: long after the disks have room again, changes are refused or stay
 * unanswered while all processes run.
 */
static void test_full_disks_one_after_another(void)
{
	static const struct {
		size_t index;
		unsigned room; /* bytes: some of them end inside a record */
	} fills[] = { { 0, 0 },	 { 1, 0 },  { 2, 0 },  { 2, 10 },
		      { 0, 50 }, { 1, 30 }, { 0, 200 } };
	fleet_t fleet;

	start_fleet(&fleet, "turn");
	version++;
	CU_ASSERT(harness_wait_until(is_change_accepted, &fleet,
				     HARNESS_WAIT_MS));
	for (size_t i = 0; i < ARRAY_SIZE(fills); i++) {
		off_t size = log_size(&fleet, fills[i].index);

		fill_disk(&fleet, fills[i].index, fills[i].room);
		change_while_full(&fleet);
		CU_ASSERT(log_size(&fleet, fills[i].index) <=
			  size + (off_t)fills[i].room);
		free_disk(&fleet, fills[i].index);
		g_usleep(RECOVERY_US);
		CU_ASSERT(log_size(&fleet, fills[i].index) >
			  size + (off_t)fills[i].room);
	}
	expect_all_is_well(&fleet);
	stop_fleet(&fleet);
}

/* Failure: an instance that starts with a full disk never takes part again. */
static void test_instances_start_with_full_disks(void)
{
	fleet_t fleet;

	start_fleet(&fleet, "restart");
	version++;
	CU_ASSERT(harness_wait_until(is_change_accepted, &fleet,
				     HARNESS_WAIT_MS));
	for (size_t i = 0; i < CONTROLS; i++) {
		off_t size;

		harness_kill(fleet.controls[i]);
		size = log_size(&fleet, i);
		limit_files(0, 0);
		harness_restart(fleet.controls[i]);
		limit_files(0, RLIM_INFINITY);
		change_while_full(&fleet);
		CU_ASSERT(log_size(&fleet, i) <= size);
		free_disk(&fleet, i);
		g_usleep(RECOVERY_US);
		CU_ASSERT(log_size(&fleet, i) > size);
	}
	expect_all_is_well(&fleet);
	stop_fleet(&fleet);
}

static const unit_test_t tests[] = {
	{ "full disks one after another", test_full_disks_one_after_another },
	{ "instances start with full disks",
	  test_instances_start_with_full_disks },
};

int main(void)
{
	int status;

	/* The processes inherit it: a write that would exceed the limit fails. */
	signal(SIGXFSZ, SIG_IGN);
	harness_init(&harness, "full_disk");
	http_client_init(&client);
	status = unit_run("full_disk", tests, ARRAY_SIZE(tests));
	http_client_finish(&client);
	harness_finish(&harness, status == EXIT_SUCCESS);
	return status;
}
