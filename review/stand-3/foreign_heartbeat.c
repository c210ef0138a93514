/*
 * Case 14: another writer sends one heartbeat for a service that the manifest
 * does not name, with the address of a server of a service that it names.  That
 * server runs on and sends its own heartbeats, which are acknowledged.
 */
#define _GNU_SOURCE
#include "stand.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define REQUESTS 30
#define REQUEST_PAUSE_MS 100
#define APPLY_MS 2500
#define SETTLE_MS 6000
#define LATER_MS 10000

#define MANIFEST(VERSION, MORE_ROUTES, MORE_SERVICES) \
	"{\"version\":" VERSION ",\"routes\":[{\"name\":\"r1\"," \
	"\"host\":\"fixture.example\",\"pathPrefix\":\"/first/\"," \
	"\"kind\":\"idempotent\",\"timeoutMs\":2500,\"goalMs\":150," \
	"\"priority\":1,\"service\":\"first\",\"maxAttempts\":2," \
	"\"allowAnonymous\":false}" MORE_ROUTES "]," \
	"\"services\":[{\"name\":\"first\",\"healthPath\":\"/health\"," \
	"\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}" MORE_SERVICES \
	"]," \
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304," \
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}," \
	"\"tenants\":[{\"name\":\"tenant\"," \
	"\"apiKeys\":[\"key-of-tenant\"],\"priority\":1}]}"

static const char first_manifest[] = MANIFEST("1", "", "");
static const char second_manifest[] =
	MANIFEST("2",
		 ",{\"name\":\"r2\",\"host\":\"fixture.example\","
		 "\"pathPrefix\":\"/added/\",\"kind\":\"idempotent\","
		 "\"timeoutMs\":2500,\"goalMs\":150,\"priority\":1,"
		 "\"service\":\"added\",\"maxAttempts\":2,"
		 "\"allowAnonymous\":false}",
		 ",{\"name\":\"added\",\"healthPath\":\"/health\","
		 "\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}");

/* Sends REQUESTS requests on a route; returns how many are served. */
static unsigned ask(const stand_fleet_t *fleet, const char *path,
		    const char *when)
{
	unsigned served = 0;

	for (unsigned i = 0; i < REQUESTS; i++) {
		int fd = stand_connect(fleet->entry_ips[0], fleet->front_port,
				       1000);
		char id[STAND_NAME_BYTES];
		stand_message_t response;

		if (fd < 0)
			continue;
		snprintf(id, sizeof(id), "%s-%s%u", when, path + 1, i);
		for (char *at = id; *at != '\0'; at++)
			if (*at == '/')
				*at = '-';
		if (stand_request(fd, "GET", path, id, 0, &response))
			served += response.status == 200;
		close(fd);
		stand_sleep_ms(REQUEST_PAUSE_MS);
	}
	return served;
}

/* The heartbeat of another writer. */
static bool send_foreign_beat(const stand_fleet_t *fleet,
			      const stand_server_t *server)
{
	stand_message_t response;
	char body[512];

	snprintf(body, sizeof(body),
		 "{\"service\":\"not-in-the-manifest\",\"address\":\"%s\","
		 "\"zone\":\"z1\",\"version\":\"v9\",\"slots\":1,"
		 "\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,"
		 "\"born\":%lld}",
		 server->address, (long long)stand_unix_ms());
	if (!stand_call(fleet->control_ips[0], fleet->control_port, "POST",
			"/wisteriadrift/instances/other-writer/heartbeat", body,
			1000, &response))
		return false;
	stand_record("another writer sends %s: %u", body, response.status);
	return true;
}

static int play(const stand_fleet_t *fleet, stand_server_t *added)
{
	unsigned first;
	unsigned before;
	unsigned soon;
	unsigned later;
	unsigned beats;
	char reason[256];

	before = ask(fleet, "/added/x", "before");
	if (before < REQUESTS)
		return stand_end(STAND_CANNOT_RUN, "not served before");
	if (stand_has_trouble() && !send_foreign_beat(fleet, added))
		return stand_end(STAND_CANNOT_RUN, "no answer to a heartbeat");
	stand_sleep_ms(SETTLE_MS);
	beats = added->acknowledged_beats;
	first = ask(fleet, "/first/x", "soon");
	soon = ask(fleet, "/added/x", "soon");
	stand_sleep_ms(LATER_MS);
	first += ask(fleet, "/first/x", "later");
	later = ask(fleet, "/added/x", "later");
	snprintf(reason, sizeof(reason),
		 "of %u requests each, served on the route added later: %u "
		 "before, %u and %u after; of %u on the first route: %u; %u "
		 "heartbeats of its server acknowledged meanwhile",
		 REQUESTS, before, soon, later, 2 * REQUESTS, first,
		 added->acknowledged_beats - beats);
	return stand_end((soon + later) * 4 < first ? STAND_BROKEN : STAND_HELD,
			 reason);
}

static bool start_server(stand_server_t *server, const stand_fleet_t *fleet,
			 const char *service, const char *ip)
{
	*server = (stand_server_t){ .fleet = fleet, .answer = stand_serve };
	snprintf(server->id, STAND_NAME_BYTES, "server-of-%s", service);
	snprintf(server->service, STAND_NAME_BYTES, "%s", service);
	snprintf(server->ip, STAND_NAME_BYTES, "%s", ip);
	return stand_server_start(server);
}

int main(int argc, char **argv)
{
	static stand_server_t first;
	static stand_server_t added;
	stand_fleet_t fleet;
	int result = STAND_CANNOT_RUN;

	if (argc != 2 || !stand_begin(argv[1]))
		return STAND_CANNOT_RUN;
	if (!stand_fleet_start(&fleet) ||
	    !stand_put_manifest(&fleet, first_manifest) ||
	    !start_server(&first, &fleet, "first", "127.140.0.1") ||
	    !start_server(&added, &fleet, "added", "127.140.0.2")) {
		stand_fleet_stop(&fleet);
		return stand_end(STAND_CANNOT_RUN, "the fleet does not start");
	}
	if (stand_wait_ready(&fleet, 15000) &&
	    stand_put_manifest(&fleet, second_manifest)) {
		stand_sleep_ms(APPLY_MS);
		result = play(&fleet, &added);
	} else {
		stand_end(result, "the fleet is not ready");
	}
	if (!stand_fleet_runs(&fleet))
		stand_record("a process of the fleet has ended");
	stand_server_stop(&first);
	stand_server_stop(&added);
	stand_fleet_stop(&fleet);
	return result;
}
