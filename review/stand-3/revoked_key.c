/*
 * Case 14: a manifest takes a key away.  Its client goes on to use it, on a route that
 * also takes callers without a key.
 */
#define _GNU_SOURCE
#include "stand.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define REQUESTS 20
#define REQUEST_PAUSE_MS 50
/* "revokeMs" of the small deployments, and a second. */
#define REVOKE_MS 5000
#define MARGIN_MS 1000
#define SETTLE_MS 2500

#define MANIFEST(VERSION, KEYS) \
	"{\"version\":" VERSION ",\"routes\":[{\"name\":\"r1\"," \
	"\"host\":\"fixture.example\",\"pathPrefix\":\"/open/\"," \
	"\"kind\":\"non_idempotent\",\"timeoutMs\":2500,\"goalMs\":150," \
	"\"priority\":1,\"service\":\"bookings\",\"maxAttempts\":1," \
	"\"allowAnonymous\":true},{\"name\":\"r2\"," \
	"\"host\":\"fixture.example\",\"pathPrefix\":\"/keyed/\"," \
	"\"kind\":\"non_idempotent\",\"timeoutMs\":2500,\"goalMs\":150," \
	"\"priority\":1,\"service\":\"bookings\",\"maxAttempts\":1," \
	"\"allowAnonymous\":false}]," \
	"\"services\":[{\"name\":\"bookings\",\"healthPath\":\"/health\"," \
	"\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}]," \
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304," \
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}," \
	"\"tenants\":[{\"name\":\"tenant\",\"apiKeys\":[" KEYS "]," \
	"\"priority\":1}]}"

static const char with_key[] =
	MANIFEST("1", "\"key-of-tenant\",\"other-key-of-tenant\"");
static const char without_key[] = MANIFEST("2", "\"other-key-of-tenant\"");

/* Sends requests with the key; returns how many are answered with "status". */
static unsigned ask(const stand_fleet_t *fleet, const char *path,
		    const char *when, unsigned status)
{
	unsigned count = 0;

	for (unsigned i = 0; i < REQUESTS; i++) {
		int fd = stand_connect(fleet->entry_ips[0], fleet->front_port,
				       1000);
		char id[STAND_NAME_BYTES];
		stand_message_t response;

		if (fd < 0)
			continue;
		snprintf(id, sizeof(id), "%s-%u", when, i);
		if (stand_request(fd, "POST", path, id, 100, &response))
			count += response.status == status;
		close(fd);
		stand_sleep_ms(REQUEST_PAUSE_MS);
	}
	return count;
}

static int play(const stand_fleet_t *fleet, const stand_server_t *server)
{
	bool is_revoked = stand_has_trouble();
	unsigned before;
	unsigned runs;
	unsigned refused;
	char reason[200];

	before = ask(fleet, "/open/x", "open-before", 200);
	if (before < REQUESTS)
		return stand_end(STAND_CANNOT_RUN, "not served before");
	if (is_revoked && !stand_put_manifest(fleet, without_key))
		return stand_end(STAND_CANNOT_RUN, "no second manifest");
	stand_sleep_ms(REVOKE_MS + MARGIN_MS);
	refused = ask(fleet, "/keyed/x", "keyed-after", 401);
	runs = server->runs;
	ask(fleet, "/open/x", "open-after", 200);
	runs = server->runs - runs;
	snprintf(reason, sizeof(reason),
		 "key %s; of %u requests with it on the route for callers "
		 "without a key too %u ran; on the other route %u were "
		 "answered 401",
		 is_revoked ? "taken away" : "in force", REQUESTS, runs,
		 refused);
	return stand_end(is_revoked && runs > 0 ? STAND_BROKEN : STAND_HELD,
			 reason);
}

int main(int argc, char **argv)
{
	static stand_server_t server;
	stand_fleet_t fleet;
	int result = STAND_CANNOT_RUN;

	if (argc != 2 || !stand_begin(argv[1]))
		return STAND_CANNOT_RUN;
	server = (stand_server_t){ .fleet = &fleet, .answer = stand_serve };
	snprintf(server.id, STAND_NAME_BYTES, "server-1");
	snprintf(server.service, STAND_NAME_BYTES, "bookings");
	snprintf(server.ip, STAND_NAME_BYTES, "127.140.0.1");
	if (!stand_fleet_start(&fleet) ||
	    !stand_put_manifest(&fleet, with_key) ||
	    !stand_server_start(&server)) {
		stand_fleet_stop(&fleet);
		return stand_end(STAND_CANNOT_RUN, "the fleet does not start");
	}
	stand_sleep_ms(SETTLE_MS);
	if (stand_wait_ready(&fleet, 15000))
		result = play(&fleet, &server);
	else
		stand_end(result, "the fleet is not ready");
	if (!stand_fleet_runs(&fleet))
		stand_record("a process of the fleet has ended");
	stand_server_stop(&server);
	stand_fleet_stop(&fleet);
	return result;
}
