/*
 * A planned replacement of a core machine, and then the loss of one disk: the
 * manifest that was acknowledged has to be readable again, and requests served,
 * within recoveryS.
 */
#include "../stand-2/stand.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/* As the sheet of mandacaru-rota states them. */
#define CATCH_UP_MS 4000
#define RECOVERY_MS 12000
#define CONTACT_MS 3000
/* After the process of the removed machine has ended. */
#define LOSS_AFTER_MS 500
#define DARK_MS 1000
/* Longer than contactMs: for so long the operator reads, at the end. */
#define READ_MS 10000

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

static node_t *entries[2];
static int request_number;

/* Sends "count" requests, one each 100 ms; returns how many are served. */
static int send_requests(int count)
{
	int served = 0;

	for (int i = 0; i < count; i++) {
		const node_t *entry = entries[i % 2];
		response_t response;
		char headers[256];

		snprintf(headers, sizeof(headers),
			 "Host: shop.example\r\n"
			 "X-Wisteriadrift-Request-Id: r%d\r\n"
			 "X-Wisteriadrift-Deadline-Ms: 1500\r\n",
			 ++request_number);
		http_call(entry->ip, front_port, "GET", "/look/1", headers,
			  NULL, 2000, &response);
		note("request r%d at %s: %d", request_number, entry->name,
		     response.status);
		served += response.status == 200;
		response_free(&response);
		pause_ms(100);
	}
	return served;
}

int main(int argc, char **argv)
{
	runner_t runners[2] = { 0 };
	char manifest[2048];
	node_t *core[4];
	int64_t version;
	int before;
	int served;
	char why[256];

	stand_begin(argc > 1 ? argv[1] : ".");
	for (unsigned i = 0; i < 4; i++) {
		char name[32];
		char zone[32];

		snprintf(name, sizeof(name), "core-%u", i + 1);
		snprintf(zone, sizeof(zone), "z%u", i % 3 + 1);
		core[i] = stand_control(name, 10 + i, zone, true);
	}
	entries[0] = stand_entry("entry-1", 30, "z1");
	entries[1] = stand_entry("entry-2", 31, "z2");
	stand_seeds(core, 3);
	for (int i = 0; i < 3; i++)
		node_start(core[i], true);
	for (int i = 0; i < 2; i++)
		node_start(entries[i], true);
	for (unsigned i = 0; i < 2; i++) {
		snprintf(runners[i].id, sizeof(runners[i].id), "i-%u", i + 1);
		snprintf(runners[i].ip, sizeof(runners[i].ip), "%s",
			 stand_ip(50 + i));
		snprintf(runners[i].service, sizeof(runners[i].service),
			 "pedidos");
		snprintf(runners[i].zone, sizeof(runners[i].zone), "z%u",
			 i + 1);
		runner_start(&runners[i]);
	}
	snprintf(manifest, sizeof(manifest), manifest_format, 7);
	if (!operator_put(manifest, 15000) || !wait_ready(entries, 2, 10000))
		return stand_end(COULD_NOT_RUN, "the system does not start");
	pause_ms(1500);
	before = send_requests(20);
	if (before < 15)
		return stand_end(COULD_NOT_RUN, "requests are not served");

	/* Planned work: the new machine first, the old one catchUpS later. */
	node_start(core[3], false);
	pause_ms(CATCH_UP_MS + 500);
	node_signal(core[0], SIGTERM);
	if (!node_wait(core[0], 8500))
		return stand_end(COULD_NOT_RUN, "a stop takes too long");
	pause_ms(LOSS_AFTER_MS);

	snprintf(manifest, sizeof(manifest), manifest_format, 9);
	if (!operator_put(manifest, 4000))
		return stand_end(COULD_NOT_RUN, "the change has no ack");
	if (stand_trouble()) {
		node_signal(core[1], SIGKILL);
		node_wipe(core[1]);
		pause_ms(DARK_MS);
		node_start(core[1], false);
	}
	note("all machines are back");
	pause_ms(RECOVERY_MS);
	served = send_requests(20);
	version = operator_get_any(READ_MS);
	snprintf(why, sizeof(why),
		 "%d of 20 requests served later than recoveryS, %d of 20 "
		 "before; version 9 was acknowledged, %lld is read back in "
		 "%d ms",
		 served, before, (long long)version, READ_MS);
	return stand_end(version == 9 && served * 4 >= 20 ? RULE_HELD
							  : RULE_BROKEN,
			 why);
}
