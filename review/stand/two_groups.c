/*
 * An instance with a disk is frozen during the first start of the system.
 * Afterwards the operator sends two manifests, and reads the manifest at each
 * instance once the newer one has been acknowledged for configApplyMs.
 */
#include <signal.h>
#include <stdio.h>

#include "stand.h"

#define CONFIG_APPLY_MS 2000
#define TRAFFIC_FROM_MS 10000
#define FREEZE_AT_MS 200
#define FREEZE_MS 4000
/* All machines start within 0.3 s of each other. */
#define OTHERS_START_MS 250

static const char *const ips[] = { "127.0.31.1", "127.0.31.2", "127.0.31.3" };

static void put(const char *ip, int version)
{
	char manifest[1024];
	int status;

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
	status = operator_put(ip, manifest, 8000);
	if (status != 200)
		finish(EXIT_NOT_RUN, "manifest %d at %s: status %d", version,
		       ip, status);
	record("operator: version %d is acknowledged", version);
}

int main(int argc, char **argv)
{
	node_t *controls[3];
	int older = 0;

	if (argc != 2)
		return EXIT_NOT_RUN;
	stand_init(argv[1]);
	for (int i = 0; i < 3; i++) {
		char name[16];
		char zone[8];

		snprintf(name, sizeof(name), "c%d", i + 1);
		snprintf(zone, sizeof(zone), "z%d", i + 1);
		controls[i] = node_new(name, ips[i], zone, true, true);
	}
	nodes_write_settings(ips, 3, true);
	node_start(controls[2]);
	sleep_ms(FREEZE_AT_MS);
	if (trouble)
		node_signal(controls[2], SIGSTOP);
	sleep_ms(OTHERS_START_MS - FREEZE_AT_MS);
	node_start(controls[0]);
	node_start(controls[1]);
	sleep_ms(FREEZE_AT_MS + FREEZE_MS - OTHERS_START_MS);
	if (trouble)
		node_signal(controls[2], SIGCONT);
	sleep_until(TRAFFIC_FROM_MS);
	put(ips[0], 3);
	sleep_ms(1000);
	put(ips[2], 7);
	sleep_ms(CONFIG_APPLY_MS + 500);
	for (int round = 0; round < 5; round++) {
		for (int i = 0; i < 3; i++) {
			int64_t version = operator_get(ips[i]);

			older += version > 0 && version < 7;
		}
		sleep_ms(1000);
	}
	for (int i = 0; i < 3; i++)
		if (!node_is_running(controls[i]))
			finish(EXIT_NOT_RUN, "%s has ended", controls[i]->name);
	if (older > 0)
		finish(EXIT_BROKEN,
		       "%d of 15 reads, over 2 s after the ack of version 7, "
		       "are answered with an older version",
		       older);
	finish(EXIT_HELD, "all reads are answered with version 7 or a 5xx");
}
