/*
 * Case 11: two of three core machines are replaced as planned, and seconds later one
 * machine loses its disk: the manifest that was acknowledged has to be readable again, and
 * requests served, within recoveryS.  With a second argument, another form: one machine is
 * replaced as planned, and a second later another one is lost for good and replaced.
 */
#include "../stand-2/stand.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define CORE 3
#define REPLACED 2
#define ENTRIES 2
#define RUNNERS 2
/* As the sheet of mandacaru-rota states them. */
#define CATCH_UP_MS 4000
#define RECOVERY_MS 12000
#define ACK_MS 4000
/* contactMs: between the planned stops. */
#define STOP_GAP_MS 3000
/* From the end of the second stop to the last change. */
#define CHANGE_AFTER_MS 1500
#define DARK_MS 1000
/* The other form: from the end of the stop to the loss, and to the new machine (x). */
#define LOSS_AFTER_MS 1000
#define REPLACE_AFTER_MS 2000
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
static node_t *successors[REPLACED];
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

/* Starts a new machine that serves control, with an empty disk. */
static void start_successor(unsigned i)
{
	char name[32];
	char zone[32];

	snprintf(name, sizeof(name), "core-%u", CORE + i + 1);
	snprintf(zone, sizeof(zone), "z%u", i + 1);
	successors[i] = stand_control(name, 10 + CORE + i, zone, true);
	node_start(successors[i], false);
}

static bool stop_replaced(unsigned i)
{
	node_signal(core[i], SIGTERM);
	if (!node_wait(core[i], STOP_MS))
		return false;
	note("%s has ended and is removed", core[i]->name);
	return true;
}

/* Sends a newer manifest until it is acknowledged. */
static bool change(void)
{
	char manifest[2048];

	snprintf(manifest, sizeof(manifest), manifest_format, 9);
	return operator_put(manifest, ACK_MS);
}

/*
 * One machine loses its disk, and comes back.  Its settings name the machines that serve
 * control by then.
 */
static void lose_disk(void)
{
	node_t *lost = core[REPLACED];
	node_t *seeds[] = { lost, successors[0], successors[1] };

	node_signal(lost, SIGKILL);
	node_wipe(lost);
	note("%s has lost its disk", lost->name);
	pause_ms(DARK_MS);
	stand_seeds(seeds, 3);
	node_start(lost, false);
}

/*
 * Planned work, the new machines first; each has had catchUpS before the next step.
 * Returns why the case can't go on, or NULL.
 */
static const char *replace_two(void)
{
	for (unsigned i = 0; i < REPLACED; i++) {
		start_successor(i);
		pause_ms(CATCH_UP_MS + 500);
	}
	for (unsigned i = 0; i < REPLACED; i++) {
		pause_ms(i == 0 ? 0 : STOP_GAP_MS);
		if (!stop_replaced(i))
			return "a stop takes too long";
	}
	pause_ms(CHANGE_AFTER_MS);
	if (!change())
		return "the change has no ack";
	if (stand_trouble())
		lose_disk();
	return NULL;
}

/* The other form; returns why the case can't go on, or NULL. */
static const char *replace_one(void)
{
	start_successor(0);
	pause_ms(CATCH_UP_MS + 500);
	if (!change())
		return "the change has no ack";
	if (!stop_replaced(0))
		return "a stop takes too long";
	pause_ms(LOSS_AFTER_MS);
	if (stand_trouble()) {
		node_t *seeds[] = { core[2], successors[0] };

		node_signal(core[1], SIGKILL);
		note("%s is lost for good", core[1]->name);
		pause_ms(REPLACE_AFTER_MS);
		stand_seeds(seeds, 2);
		start_successor(1);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	const char *failure;
	char manifest[2048];
	int64_t version;
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

	failure = argc > 2 ? replace_one() : replace_two();
	if (failure != NULL)
		return stand_end(COULD_NOT_RUN, failure);
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
