/*
 * One of three instances with disks is killed during the first start of the
 * system and is back 3.5 s later, no longer with bootstrap.  From then on all
 * run undisturbed.  The operator's first manifest must be acknowledged.
 */
#include <signal.h>
#include <stdio.h>

#include "stand.h"

#define ACK_MS 4000
#define PER_ROUTE_MS 3
#define TRAFFIC_FROM_MS 10000
#define KILL_AT_MS 1000
#define DOWN_MS 3500
/* How long the operator goes on after ackMs. */
#define PERSISTS_MS 50000

static const char *const ips[] = { "127.0.61.1", "127.0.61.2", "127.0.61.3" };
static const char manifest[] =
	"{\"version\":3,\"routes\":[{\"name\":\"r-1\",\"host\":"
	"\"ficu95.example\",\"pathPrefix\":\"/puxa403/\",\"kind\":"
	"\"idempotent\",\"timeoutMs\":800,\"goalMs\":300,\"priority\":1,"
	"\"service\":\"wuno96b\",\"maxAttempts\":2,\"allowAnonymous\":true,"
	"\"sticky\":false}],\"services\":[{\"name\":\"wuno96b\","
	"\"healthPath\":\"/health\",\"maxConns\":55,\"protocol\":\"h1\","
	"\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
	"\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
	"\"idleTimeoutMs\":15000}}";

int main(int argc, char **argv)
{
	node_t *controls[3];
	node_t *entry;
	int64_t sent_ms;
	int64_t ack_ms = -1;
	answer_t ready;

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
	entry = node_new("entry", ips[1], "z2", false, false);
	nodes_write_settings(ips, 3, true);
	for (int i = 0; i < 3; i++)
		node_start(controls[i]);
	node_start(entry);
	sleep_until(KILL_AT_MS);
	if (trouble) {
		node_signal(controls[0], SIGKILL);
		node_wait_end(controls[0], 1000);
		sleep_ms(DOWN_MS);
		nodes_write_settings(ips, 3, false);
		node_start(controls[0]);
	}
	sleep_until(TRAFFIC_FROM_MS);
	sent_ms = now_ms();
	for (int i = 0; ack_ms < 0 && now_ms() < sent_ms + ACK_MS + PERSISTS_MS;
	     i++)
		if (operator_put(ips[i % 3], manifest, 900) == 200)
			ack_ms = now_ms() - sent_ms;
	call(ips[1], ports.ready, "GET", "/wisteriadrift/ready", "", "", 500,
	     &ready);
	record("entry: ready answers %d", ready.status);
	answer_free(&ready);
	for (int i = 0; i < 3; i++)
		if (!node_is_running(controls[i]))
			finish(EXIT_NOT_RUN, "%s has ended", controls[i]->name);
	if (ack_ms < 0)
		finish(EXIT_BROKEN,
		       "the first manifest has no ack after %d ms, with all "
		       "three instances up and undisturbed for 60 s",
		       ACK_MS + PERSISTS_MS);
	if (ack_ms > ACK_MS + PER_ROUTE_MS)
		finish(EXIT_BROKEN,
		       "the first manifest has its ack after %lld "
		       "ms, later than ackMs",
		       (long long)ack_ms);
	finish(EXIT_HELD, "the first manifest has its ack after %lld ms",
	       (long long)ack_ms);
}
