/*
 * Case 11: two of five core machines, the leader among them, are replaced as planned, and
 * then two disks are lost: the manifest that was acknowledged has to be readable
 * again, and requests served, within recoveryS.
 */
#include "../stand-2/stand.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define CORE 5
#define TOLERATED 2
#define ENTRIES 2
#define RUNNERS 2
/* As the sheet of mandacaru-rota-large states them. */
#define CATCH_UP_MS 6000
#define RECOVERY_MS 15000
#define ACK_MS 6000
/* After the second process of a removed machine has ended. */
#define LOSS_AFTER_MS 500
#define DARK_MS 1000
/* Longer than contactMs: for so long the operator reads, at the end. */
#define READ_MS 10000
#define STOP_MS 8500
#define START_MS 15000
#define SETTLE_MS 1500
#define REQUESTS 20
#define REQUEST_PAUSE_MS 100

static const char manifest_format[] =
	"{\"version\":%d,\"routes\":[{\"name\":\"look\","
	"\"host\":\"shop.example\",\"pathPrefix\":\"/look/\","
	"\"kind\":\"idempotent\",\"timeoutMs\":1500,\"goalMs\":300,"
	"\"priority\":1,\"service\":\"pedidos\",\"maxAttempts\":2,"
	"\"allowAnonymous\":true}],\"services\":[{\"name\":\"pedidos\","
	"\"healthPath\":\"/health\",\"maxConns\":130,\"protocol\":\"h1\","
	"\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
	"\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
	"\"idleTimeoutMs\":15000},\"tenants\":[]}";

static node_t *core[CORE];
static node_t *entries[ENTRIES];
static runner_t runners[RUNNERS];

static int send_requests(void)
{
	static int number;
	int served = 0;

	for (int i = 0; i < REQUESTS; i++) {
		const node_t *entry = entries[i % ENTRIES];
		response_t response;
		char headers[256];

		snprintf(headers, sizeof(headers),
			 "Host: shop.example\r\n"
			 "X-Wisteriadrift-Request-Id: r%d\r\n"
			 "X-Wisteriadrift-Deadline-Ms: 1500\r\n",
			 ++number);
		http_call(entry->ip, front_port, "GET", "/look/1", headers,
			  NULL, 2000, &response);
		note("request r%d at %s: %d", number, entry->name,
		     response.status);
		served += response.status == 200;
		response_free(&response);
		pause_ms(REQUEST_PAUSE_MS);
	}
	return served;
}

static void start_core(void)
{
	for (unsigned i = 0; i < CORE; i++) {
		char name[32];
		char zone[32];

		snprintf(name, sizeof(name), "core-%u", i + 1);
		snprintf(zone, sizeof(zone), "z%u", i + 1);
		core[i] = stand_control(name, 10 + i, zone, true);
	}
	stand_seeds(core, CORE);
	for (int i = 0; i < CORE; i++)
		node_start(core[i], true);
}

static void start_entries_and_runners(void)
{
	for (unsigned i = 0; i < ENTRIES; i++) {
		char name[32];
		char zone[32];

		snprintf(name, sizeof(name), "entry-%u", i + 1);
		snprintf(zone, sizeof(zone), "z%u", i + 1);
		entries[i] = stand_entry(name, 30 + i, zone);
		node_start(entries[i], true);
	}
	for (unsigned i = 0; i < RUNNERS; i++) {
		snprintf(runners[i].id, sizeof(runners[i].id), "i-%u", i + 1);
		snprintf(runners[i].ip, sizeof(runners[i].ip), "%s",
			 stand_ip(50 + i));
		snprintf(runners[i].service, sizeof(runners[i].service),
			 "pedidos");
		snprintf(runners[i].zone, sizeof(runners[i].zone), "z%u",
			 i + 1);
		runner_start(&runners[i]);
	}
}

/* Planned work: the new machines first, the old ones stop catchUpS later. */
static void start_successors(void)
{
	for (unsigned i = 0; i < TOLERATED; i++) {
		char name[32];
		char zone[32];
		node_t *node;

		snprintf(name, sizeof(name), "core-%u", CORE + i + 1);
		snprintf(zone, sizeof(zone), "z%u", i + 1);
		node = stand_control(name, 10 + CORE + i, zone, true);
		node_start(node, false);
	}
}

/* Sends a manifest; returns the number of the core machine that acknowledges it
 * itself, or -1. */
static int put_and_find_leader(const char *manifest)
{
	int64_t until = now_ms() + ACK_MS;

	for (int i = 0; now_ms() < until; i = (i + 1) % CORE) {
		response_t response;
		bool is_acknowledged;

		http_call(core[i]->ip, control_port, "POST",
			  "/wisteriadrift/config/replace",
			  "Host: control\r\nContent-Type: application/json\r\n",
			  manifest, 1000, &response);
		is_acknowledged = response.status == 200;
		note("manifest at %s: %d", core[i]->name, response.status);
		response_free(&response);
		if (is_acknowledged)
			return i;
		pause_ms(20);
	}
	return -1;
}

/* Stops the leader and one machine more. */
static bool stop_replaced(int leader)
{
	for (int i = 0; i < TOLERATED; i++)
		node_signal(core[(leader + i) % CORE], SIGTERM);
	for (int i = 0; i < TOLERATED; i++)
		if (!node_wait(core[(leader + i) % CORE], STOP_MS))
			return false;
	return true;
}

/* As many machines as may be lost lose their disks, and come back. */
static void lose_disks(int leader)
{
	for (int i = TOLERATED; i < 2 * TOLERATED; i++) {
		node_t *node = core[(leader + i) % CORE];

		node_signal(node, SIGKILL);
		node_wipe(node);
		note("%s has lost its disk", node->name);
	}
	pause_ms(DARK_MS);
	for (int i = TOLERATED; i < 2 * TOLERATED; i++)
		node_start(core[(leader + i) % CORE], false);
}

int main(int argc, char **argv)
{
	char manifest[2048];
	int64_t version;
	int leader;
	int before;
	int served;
	char why[256];

	stand_begin(argc > 1 ? argv[1] : ".");
	start_core();
	start_entries_and_runners();
	snprintf(manifest, sizeof(manifest), manifest_format, 7);
	if (!operator_put(manifest, START_MS) ||
	    !wait_ready(entries, ENTRIES, START_MS))
		return stand_end(COULD_NOT_RUN, "the system does not start");
	pause_ms(SETTLE_MS);
	before = send_requests();
	if (before * 4 < REQUESTS * 3)
		return stand_end(COULD_NOT_RUN, "requests are not served");

	start_successors();
	pause_ms(CATCH_UP_MS + 500);
	snprintf(manifest, sizeof(manifest), manifest_format, 9);
	leader = put_and_find_leader(manifest);
	if (leader < 0)
		return stand_end(COULD_NOT_RUN, "the change has no ack");
	if (!stop_replaced(leader))
		return stand_end(COULD_NOT_RUN, "a stop takes too long");
	pause_ms(LOSS_AFTER_MS);
	if (stand_trouble())
		lose_disks(leader);
	note("all machines are back");
	pause_ms(RECOVERY_MS);
	served = send_requests();
	version = operator_get_any(READ_MS);
	snprintf(why, sizeof(why),
		 "%d of %d requests served later than recoveryS, %d of %d "
		 "before; version 9 was acknowledged, %lld is read back in "
		 "%d ms",
		 served, REQUESTS, before, REQUESTS, (long long)version,
		 READ_MS);
	return stand_end(version == 9 && served * 4 >= REQUESTS ? RULE_HELD
								: RULE_BROKEN,
			 why);
}
