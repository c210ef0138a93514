/*
 * The operator takes away the key of the only tenant: the newer manifest has an
 * empty list of tenants.  From revokeMs after its ack on, no request with that
 * key may run, and none with a key that no manifest ever held.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "stand.h"

#define REVOKE_MS 5000
#define TRAFFIC_FROM_MS 10000
#define KEY "n2ctnfzs989anu6wsjnb"
#define FOREIGN_KEY "zzzznfzs989anu6wszzz"

static const char *const ips[] = { "127.0.51.1", "127.0.51.2", "127.0.51.3" };
static unsigned request_count;

static void put(int version, const char *tenants)
{
	char manifest[1024];

	snprintf(manifest, sizeof(manifest),
		 "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":"
		 "\"ficu95.example\",\"pathPrefix\":\"/puxa403/\",\"kind\":"
		 "\"non_idempotent\",\"timeoutMs\":800,\"goalMs\":300,"
		 "\"priority\":1,\"service\":\"wuno96b\",\"maxAttempts\":1,"
		 "\"allowAnonymous\":false,\"sticky\":false}],\"services\":"
		 "[{\"name\":\"wuno96b\",\"healthPath\":\"/health\","
		 "\"maxConns\":130,\"protocol\":\"h1\",\"tls\":false}],"
		 "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"
		 "4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
		 "\"tenants\":%s}",
		 version, tenants);
	record("operator: sends version %d, tenants %s", version, tenants);
	if (operator_put(ips[0], manifest, 10000) != 200)
		finish(EXIT_NOT_RUN, "version %d is not acknowledged", version);
}

/* Sends a booking with "key"; returns whether a runner ran it. */
static bool book(const char *ip, const char *key, const runner_t *runner)
{
	char headers[256];
	answer_t answer;
	int64_t ran = runner->ran;

	snprintf(headers, sizeof(headers),
		 "X-Wisteriadrift-Request-Id: %016x\r\n"
		 "X-Wisteriadrift-Deadline-Ms: 1500\r\n%s%s%s",
		 ++request_count,
		 key[0] == '\0' ? "" : "Authorization: Bearer ", key,
		 key[0] == '\0' ? "" : "\r\n");
	memset(&answer, 0, sizeof(answer));
	{
		int fd = channel_open(ip, ports.front, 1000);
		char text[512];

		snprintf(text, sizeof(text),
			 "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
			 "%sContent-Length: 4\r\nConnection: close\r\n\r\nbook",
			 headers);
		if (fd < 0 || !channel_send(fd, text, strlen(text)))
			finish(EXIT_NOT_RUN, "an entry takes no request");
		channel_read_answer(fd, 2500, &answer);
	}
	record("request %016x at %s, key %s: status %d, runs %lld",
	       request_count, ip, key[0] == '\0' ? "(none)" : key,
	       answer.status, (long long)(runner->ran - ran));
	answer_free(&answer);
	return runner->ran > ran;
}

int main(int argc, char **argv)
{
	node_t *entries[3];
	runner_t *runner;
	int revoked = 0;
	int foreign = 0;
	int allowed = 0;

	if (argc != 2)
		return EXIT_NOT_RUN;
	stand_init(argv[1]);
	for (int i = 0; i < 3; i++) {
		char name[16];
		char zone[8];

		snprintf(zone, sizeof(zone), "z%d", i + 1);
		snprintf(name, sizeof(name), "core%d", i + 1);
		node_new(name, ips[i], zone, true, true);
		snprintf(name, sizeof(name), "entry%d", i + 1);
		entries[i] = node_new(name, ips[i], zone, false, false);
		control_ips[control_count++] = ips[i];
	}
	nodes_write_settings(ips, 3, true);
	for (int i = 0; i < 3; i++) {
		node_start(entries[i] - 1);
		node_start(entries[i]);
	}
	runner = runner_start("i-1", "wuno96b", "127.0.51.9", "z1", 15);
	put(3, "[{\"name\":\"hule930\",\"apiKeys\":[\"" KEY
	       "\"],\"priority\":1}]");
	for (int i = 0; i < 3; i++)
		if (!wait_entry_ready(ips[i], 10000))
			finish(EXIT_NOT_RUN, "an entry is not ready");
	sleep_until(TRAFFIC_FROM_MS);
	for (int i = 0; i < 3; i++) {
		allowed += book(ips[i], KEY, runner);
		foreign += book(ips[i], FOREIGN_KEY, runner);
	}
	if (allowed != 3 || foreign != 0)
		finish(EXIT_NOT_RUN,
		       "before the change: %d of 3 allowed, %d "
		       "with a foreign key",
		       allowed, foreign);
	/* Without trouble the tenant keeps an entry, but no key. */
	put(8, trouble ? "[]"
		       : "[{\"name\":\"hule930\",\"apiKeys\":[],"
			 "\"priority\":1}]");
	sleep_ms(REVOKE_MS + 500);
	for (int round = 0; round < 3; round++)
		for (int i = 0; i < 3; i++) {
			revoked += book(ips[i], KEY, runner);
			foreign += book(ips[i], FOREIGN_KEY, runner);
			foreign += book(ips[i], "", runner);
		}
	if (revoked + foreign > 0)
		finish(EXIT_BROKEN,
		       "over revokeMs after the ack, %d of 9 requests with the "
		       "key that was taken away ran, and %d of 18 with a key "
		       "that no manifest held, or none",
		       revoked, foreign);
	finish(EXIT_HELD, "no request ran over revokeMs after the ack");
}
