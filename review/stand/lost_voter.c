/*
 * The settings name other seeds: three machines without a disk.  Then one member
 * loses its disk and is back, empty.  Long after catchUpS another member loses
 * its disk, as the final fault, right after a change was acknowledged.  The
 * operator reads the manifest back.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "stand.h"

#define TRAFFIC_FROM_MS 10000
#define CATCH_UP_MS 4000
#define RECOVERY_MS 12000
#define DOWN_MS 3000
#define FINAL_DOWN_MS 1000

static const char *const core_ips[] = { "127.0.91.1", "127.0.91.2",
					"127.0.91.3" };
static const char *const other_ips[] = { "127.0.92.1", "127.0.92.2",
					 "127.0.92.3" };
static node_t *controls[3], *entries[3], *others[3], *other_entries[3];

static void put(int version)
{
	char manifest[1024];

	snprintf(manifest, sizeof(manifest),
		 "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":"
		 "\"ficu95.example\",\"pathPrefix\":\"/puxa403/\",\"kind\":"
		 "\"idempotent\",\"timeoutMs\":%d,\"goalMs\":300,"
		 "\"priority\":1,\"service\":\"wuno96b\",\"maxAttempts\":2,"
		 "\"allowAnonymous\":true,\"sticky\":false}],\"services\":"
		 "[{\"name\":\"wuno96b\",\"healthPath\":\"/health\","
		 "\"maxConns\":55,\"protocol\":\"h1\",\"tls\":false}],"
		 "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"
		 "4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
		 version, 1000 + version);
	if (operator_put(core_ips[0], manifest, 10000) != 200)
		finish(EXIT_NOT_RUN, "version %d is not acknowledged", version);
	record("operator: version %d is acknowledged", version);
}

/* The machine loses its disk: all its processes are killed, and its data. */
static void wipe(int i, int down_ms)
{
	char command[1200];

	node_signal(controls[i], SIGKILL);
	node_signal(entries[i], SIGKILL);
	node_wait_end(controls[i], 1000);
	node_wait_end(entries[i], 1000);
	snprintf(command, sizeof(command), "rm -rf '%s' && mkdir '%s'",
		 controls[i]->data_dir, controls[i]->data_dir);
	if (system(command) != 0)
		finish(EXIT_NOT_RUN, "cannot empty a data folder");
	record("%s has lost its disk", controls[i]->name);
	sleep_ms(down_ms);
	node_start(controls[i]);
	node_start(entries[i]);
}

int main(int argc, char **argv)
{
	int64_t version = 0;
	int64_t back_ms;

	if (argc != 2)
		return EXIT_NOT_RUN;
	stand_init(argv[1]);
	for (int i = 0; i < 3; i++) {
		char name[16];
		char zone[8];

		snprintf(zone, sizeof(zone), "z%d", i + 1);
		snprintf(name, sizeof(name), "core%d", i + 1);
		controls[i] = node_new(name, core_ips[i], zone, true, true);
		snprintf(name, sizeof(name), "core-entry%d", i + 1);
		entries[i] = node_new(name, core_ips[i], zone, false, false);
		snprintf(name, sizeof(name), "other%d", i + 1);
		others[i] = node_new(name, other_ips[i], zone, true, false);
		snprintf(name, sizeof(name), "other-entry%d", i + 1);
		other_entries[i] =
			node_new(name, other_ips[i], zone, false, false);
	}
	nodes_write_settings(core_ips, 3, true);
	for (int i = 0; i < 3; i++) {
		node_start(controls[i]);
		node_start(entries[i]);
		node_start(others[i]);
		node_start(other_entries[i]);
	}
	put(3);
	sleep_until(TRAFFIC_FROM_MS);
	nodes_write_settings(trouble ? other_ips : core_ips, 3, false);
	for (int i = 0; trouble && i < 3; i++) {
		node_signal(controls[i], SIGHUP);
		node_signal(entries[i], SIGHUP);
		node_signal(others[i], SIGHUP);
		node_signal(other_entries[i], SIGHUP);
	}
	sleep_ms(3000);
	if (trouble)
		wipe(2, DOWN_MS);
	sleep_ms(3 * CATCH_UP_MS);
	put(9);
	if (trouble)
		wipe(1, FINAL_DOWN_MS);
	back_ms = now_ms();
	while (version < 9 && now_ms() < back_ms + 2 * RECOVERY_MS) {
		for (int i = 0; i < 3; i++) {
			int64_t read = operator_get(core_ips[i]);

			version = read > version ? read : version;
		}
		sleep_ms(500);
	}
	for (int i = 0; i < 3; i++)
		record("entry at %s: ready %s", core_ips[i],
		       wait_entry_ready(core_ips[i], 200) ? "yes" : "no");
	for (int i = 0; i < 3; i++)
		if (!node_is_running(controls[i]))
			finish(EXIT_NOT_RUN, "%s has ended", controls[i]->name);
	if (version == 0)
		finish(EXIT_BROKEN,
		       "%d ms after the machine is back no "
		       "instance answers a read of the manifest",
		       2 * RECOVERY_MS);
	if (version < 9)
		finish(EXIT_BROKEN, "version %lld is read back",
		       (long long)version);
	finish(EXIT_HELD,
	       "version 9 is read back %lld ms after the machine "
	       "is back",
	       (long long)(now_ms() - back_ms));
}
