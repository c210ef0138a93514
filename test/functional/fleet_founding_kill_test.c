/*
 * The first start of a fleet of three control instances as processes, of which
 * some or all are killed before they have founded a group and come back as ones
 * that do not start first: there must be a control group afterwards.
 */
#include "../unit/unit.h"

#include <stdlib.h>

#include "harness/fleet_rig.h"
#include "harness/harness.h"
#include "harness/http.h"

#define CONTROLS 3
/* From the start of all; they look for each other for 1.6 s. */
#define START_TO_KILL_MS 1000
/* The moments of the agreement, and of the first entries of the log. */
static const unsigned agreement_ms[] = { 1580, 1620, 1660, 1720, 1900 };
#define KILL_TO_RESTART_US 800000

static harness_t harness;
static http_client_t client;

/* Returns whether an instance accepts a configuration without routes. */
static bool is_change_accepted(void *user)
{
	const fleet_rig_t *rig = user;
	bool accepted = false;

	for (int i = 0; i < CONTROLS && !accepted; i++) {
		const http_params_t params = {
			.url = harness_string(
				&harness,
				"http://%s/wisteriadrift/config/replace",
				rig->control_addresses[i]),
			.body = "{\"version\":3,\"routes\":[],\"services\":[],"
				"\"limits\":{\"maxHeaderBytes\":16384,"
				"\"maxBodyBytes\":1000000,"
				"\"headerTimeoutMs\":5000,"
				"\"idleTimeoutMs\":30000}}",
		};
		http_request_t *request = http_send(&client, &params);

		accepted = http_wait(&client, request, HARNESS_WAIT_MS) &&
			   request->status == 200;
		http_request_free(&client, request);
	}
	return accepted;
}

/* Returns the settings of instance "at", which founds a group if "bootstrap". */
static fleet_rig_control_t control_of(const char *name, int at, bool bootstrap)
{
	return (fleet_rig_control_t){
		.name = harness_string(&harness, "%s-%d", name, at),
		.index = (size_t)at,
		.has_disk = true,
		.bootstrap = bootstrap,
	};
}

static void kill_and_restart(fleet_rig_t *rig, const char *name,
			     harness_process_t *controls[CONTROLS], int kills)
{
	for (int i = 0; i < kills; i++)
		harness_kill(controls[i]);
	g_usleep(KILL_TO_RESTART_US);
	for (int i = 0; i < kills; i++) {
		const fleet_rig_control_t settings = control_of(name, i, false);

		fleet_rig_write_settings(rig, &settings);
		harness_restart(controls[i]);
	}
}

/*
 * Kills the first "kills" instances "kill_ms" after the first start, "times"
 * times, starts them again, and expects a group that accepts a change.
 */
static void play_first_start(const char *name, int kills, unsigned kill_ms,
			     unsigned times)
{
	harness_process_t *controls[CONTROLS];
	fleet_rig_t rig;

	fleet_rig_init(&rig, &harness, CONTROLS);
	for (int i = 0; i < CONTROLS; i++) {
		const fleet_rig_control_t settings = control_of(name, i, true);

		controls[i] = fleet_rig_start_control_as(&rig, &settings);
	}
	for (int i = 0; i < CONTROLS; i++)
		CU_ASSERT(harness_wait_log(controls[i], "event=started",
					   HARNESS_WAIT_MS));
	for (unsigned i = 0; i < times; i++) {
		g_usleep(kill_ms * G_TIME_SPAN_MILLISECOND);
		kill_and_restart(&rig, name, controls, kills);
	}
	CU_ASSERT(
		harness_wait_until(is_change_accepted, &rig, HARNESS_WAIT_MS));
	for (int i = 0; i < CONTROLS; i++)
		harness_kill(controls[i]);
}

static void test_all_instances_killed_during_the_first_start_found_a_group(void)
{
	play_first_start("all", CONTROLS, START_TO_KILL_MS, 1);
}

static void test_two_instances_killed_during_the_first_start_found_a_group(void)
{
	play_first_start("two", CONTROLS - 1, START_TO_KILL_MS, 1);
}

static void test_instances_killed_again_and_again_found_a_group(void)
{
	play_first_start("again", CONTROLS, START_TO_KILL_MS, 3);
}

static void test_instances_killed_while_they_agree_found_a_group(void)
{
	for (size_t i = 0; i < ARRAY_SIZE(agreement_ms); i++)
		play_first_start(harness_string(&harness, "agree%zu", i),
				 CONTROLS, agreement_ms[i], 1);
}

static const unit_test_t tests[] = {
	{ "all instances killed during the first start found a group",
	  test_all_instances_killed_during_the_first_start_found_a_group },
	{ "two instances killed during the first start found a group",
	  test_two_instances_killed_during_the_first_start_found_a_group },
	{ "instances killed again and again found a group",
	  test_instances_killed_again_and_again_found_a_group },
	{ "instances killed while they agree found a group",
	  test_instances_killed_while_they_agree_found_a_group },
};

int main(void)
{
	int status;

	harness_init(&harness, "fleet_founding_kill");
	http_client_init(&client);
	status = unit_run("fleet_founding_kill", tests, ARRAY_SIZE(tests));
	http_client_finish(&client);
	harness_finish(&harness, status == EXIT_SUCCESS);
	return status;
}
