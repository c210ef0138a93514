/*
 * The settings name other seeds: the three machines without a disk that serve
 * control.  Then the processes of these are killed at the same moment and are
 * back 2 s later.  From then on everything runs undisturbed, and runners
 * deregister there.  The rule allows them no request from drainMs after the ack.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "stand.h"

#define DRAIN_MS 2000
#define TRAFFIC_FROM_MS 10000
#define CONTACT_MS 3000
#define DOWN_MS 2000
#define ROUNDS 4
#define ROUND_MS 6500
/* A runner serves for drainMs after the ack and a little longer. */
#define SERVES_AFTER_ACK_MS (DRAIN_MS + 3000)
#define RUNNERS 8
#define CLIENTS 9

static const char *const core_ips[] = { "127.0.71.1", "127.0.71.2",
					"127.0.71.3" };
static const char *const other_ips[] = { "127.0.72.1", "127.0.72.2",
					 "127.0.72.3" };
static atomic_bool stopping;
static atomic_long sent, served, refused, failed;

static void *request_for_ever(void *data)
{
	int number = (int)(intptr_t)data;
	const char *ip = core_ips[number % 3];
	int fd = -1;
	unsigned long count = 0;

	while (!stopping) {
		answer_t answer;
		char text[512];

		if (fd < 0)
			fd = channel_open(ip, ports.front, 1000);
		if (fd < 0) {
			sleep_ms(100);
			continue;
		}
		snprintf(text, sizeof(text),
			 "GET /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
			 "X-Wisteriadrift-Request-Id: %04x%012lx\r\n"
			 "X-Wisteriadrift-Deadline-Ms: 1500\r\n\r\n",
			 number + 1, ++count);
		sent++;
		memset(&answer, 0, sizeof(answer));
		if (channel_send(fd, text, strlen(text)))
			channel_read_answer(fd, 2500, &answer);
		if (answer.status == 200 && answer.is_complete)
			served++;
		else if (answer.status == 503)
			refused++;
		else
			failed++;
		if (answer.status == 0 || answer.closes) {
			close(fd);
			fd = -1;
		}
		answer_free(&answer);
		sleep_ms(60);
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

static void put_manifest(void)
{
	static const char manifest[] =
		"{\"version\":3,\"routes\":[{\"name\":\"r-1\",\"host\":"
		"\"ficu95.example\",\"pathPrefix\":\"/puxa403/\",\"kind\":"
		"\"idempotent\",\"timeoutMs\":800,\"goalMs\":300,"
		"\"priority\":1,\"service\":\"wuno96b\",\"maxAttempts\":2,"
		"\"allowAnonymous\":true,\"sticky\":false}],\"services\":"
		"[{\"name\":\"wuno96b\",\"healthPath\":\"/health\","
		"\"maxConns\":130,\"protocol\":\"h1\",\"tls\":false}],"
		"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"
		"4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

	if (operator_put(core_ips[0], manifest, 10000) != 200)
		finish(EXIT_NOT_RUN, "the manifest is not acknowledged");
}

int main(int argc, char **argv)
{
	node_t *controls[3], *entries[3], *others[3], *other_entries[3];
	runner_t *runners[RUNNERS];
	pthread_t clients[CLIENTS];
	int64_t after = 0;
	int acks = 0;

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
		control_ips[control_count++] = core_ips[i];
		control_ips[control_count++] = other_ips[i];
	}
	nodes_write_settings(core_ips, 3, true);
	for (int i = 0; i < 3; i++) {
		node_start(controls[i]);
		node_start(entries[i]);
		node_start(others[i]);
		node_start(other_entries[i]);
	}
	for (int i = 0; i < RUNNERS; i++) {
		char id[32];
		char ip[32];
		char zone[8];

		snprintf(id, sizeof(id), "i-%d", i + 1);
		snprintf(ip, sizeof(ip), "127.0.73.%d", i + 1);
		snprintf(zone, sizeof(zone), "z%d", i % 3 + 1);
		runners[i] = runner_start(id, "wuno96b", ip, zone, 15);
	}
	put_manifest();
	for (int i = 0; i < 3; i++)
		if (!wait_entry_ready(core_ips[i], 10000))
			finish(EXIT_NOT_RUN, "an entry is not ready");
	sleep_until(TRAFFIC_FROM_MS);
	for (intptr_t i = 0; i < CLIENTS; i++)
		pthread_create(&clients[i], NULL, request_for_ever, (void *)i);
	sleep_ms(2000);
	if (trouble) {
		nodes_write_settings(other_ips, 3, false);
		for (int i = 0; i < 3; i++) {
			node_signal(controls[i], SIGHUP);
			node_signal(entries[i], SIGHUP);
			node_signal(others[i], SIGHUP);
			node_signal(other_entries[i], SIGHUP);
		}
		sleep_ms(3000);
		for (int i = 0; i < 3; i++) {
			node_signal(others[i], SIGKILL);
			node_signal(other_entries[i], SIGKILL);
		}
		for (int i = 0; i < 3; i++) {
			node_wait_end(others[i], 1000);
			node_wait_end(other_entries[i], 1000);
		}
		sleep_ms(DOWN_MS);
		for (int i = 0; i < 3; i++) {
			node_start(others[i]);
			node_start(other_entries[i]);
		}
	}
	sleep_ms(2 * CONTACT_MS);
	for (int round = 0; round < ROUNDS; round++) {
		runner_t *leaving = runners[round];
		int64_t ack_ms;

		if (runner_leave(leaving, other_ips[round % 3], 1000) / 100 !=
		    2)
			finish(EXIT_NOT_RUN, "a deregistration has no ack");
		acks++;
		ack_ms = now_ms();
		leaving->watched_from_ms = ack_ms + DRAIN_MS;
		sleep_until(ack_ms + SERVES_AFTER_ACK_MS);
		after += leaving->ran_while_watched;
		record("runner %s: %lld requests later than drainMs after the "
		       "ack, the last one %lld ms after the ack",
		       leaving->id, (long long)leaving->ran_while_watched,
		       (long long)(leaving->last_ran_ms - ack_ms));
		runner_stop(leaving);
		sleep_until(ack_ms + ROUND_MS);
	}
	for (int i = 0; i < 3; i++)
		record("entry at %s: ready %s", other_ips[i],
		       wait_entry_ready(other_ips[i], 200) ? "yes" : "no");
	stopping = true;
	for (int i = 0; i < CLIENTS; i++)
		pthread_join(clients[i], NULL);
	record("requests: sent=%ld served=%ld refused=%ld failed=%ld", sent,
	       served, refused, failed);
	for (int i = 0; i < 3; i++)
		if (!node_is_running(controls[i]) ||
		    !node_is_running(entries[i]))
			finish(EXIT_NOT_RUN, "a process of the core has ended");
	if (served < 500)
		finish(EXIT_NOT_RUN, "only %ld requests were served", served);
	if (after > 0)
		finish(EXIT_BROKEN,
		       "%lld requests reached runners later than drainMs after "
		       "the ack of their deregistration",
		       (long long)after);
	finish(EXIT_HELD, "none of %d runners got a request later than drainMs",
	       acks);
}
