/*
 * Case 15: a manifest raises the largest body while clients keep connections
 * open.  They use them again, with bodies that the manifest in force allows.
 */
#define _GNU_SOURCE
#include "stand.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CLIENTS 20
#define BODY_BYTES 100000
#define APPLY_MS 3000
/* More than 5, and one in 500, of all requests break the rule. */
#define REFUSALS_ALLOWED 5

#define MANIFEST(VERSION, BODY) \
	"{\"version\":" VERSION ",\"routes\":[{\"name\":\"r1\"," \
	"\"host\":\"fixture.example\",\"pathPrefix\":\"/book/\"," \
	"\"kind\":\"non_idempotent\",\"timeoutMs\":2500,\"goalMs\":150," \
	"\"priority\":1,\"service\":\"bookings\",\"maxAttempts\":1," \
	"\"allowAnonymous\":false}]," \
	"\"services\":[{\"name\":\"bookings\",\"healthPath\":\"/health\"," \
	"\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}]," \
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":" BODY "," \
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}," \
	"\"tenants\":[{\"name\":\"tenant\"," \
	"\"apiKeys\":[\"key-of-tenant\"],\"priority\":1}]}"

static const char small_limit[] = MANIFEST("1", "65536");
static const char large_limit[] = MANIFEST("2", "4194304");

/* Sends a booking; returns the status, 0 without an answer. */
static unsigned book(int fd, const char *when, unsigned client, size_t bytes)
{
	stand_message_t response;
	char id[STAND_NAME_BYTES];

	snprintf(id, sizeof(id), "%s-%u", when, client);
	return stand_request(fd, "POST", "/book/x", id, bytes, &response)
		       ? response.status
		       : 0;
}

/* Opens a connection and makes a small booking on it. */
static int open_connection(const stand_fleet_t *fleet, unsigned client)
{
	int fd = stand_connect(fleet->entry_ips[0], fleet->front_port, 1000);

	if (fd >= 0 && book(fd, "small", client, 100) == 200)
		return fd;
	return -1;
}

static int play(const stand_fleet_t *fleet)
{
	int kept[CLIENTS];
	unsigned refused = 0;
	unsigned served = 0;
	unsigned served_new = 0;
	char reason[160];

	for (unsigned i = 0; i < CLIENTS; i++) {
		kept[i] = open_connection(fleet, i);
		if (kept[i] < 0)
			return stand_end(STAND_CANNOT_RUN, "not served before");
	}
	if (stand_has_trouble() && !stand_put_manifest(fleet, large_limit))
		return stand_end(STAND_CANNOT_RUN, "no second manifest");
	stand_sleep_ms(APPLY_MS);
	for (unsigned i = 0; i < CLIENTS; i++) {
		unsigned status = book(kept[i], "kept", i, BODY_BYTES);

		served += status == 200;
		refused += status >= 400 && status < 500;
		close(kept[i]);
	}
	for (unsigned i = 0; i < CLIENTS; i++) {
		int fd = open_connection(fleet, i + CLIENTS);

		served_new += fd >= 0 && book(fd, "new", i, BODY_BYTES) == 200;
		close(fd);
	}
	snprintf(reason, sizeof(reason),
		 "of %u large bookings each: %u served and %u refused on kept "
		 "connections, %u served on new ones",
		 CLIENTS, served, refused, served_new);
	return stand_end(refused > REFUSALS_ALLOWED ? STAND_BROKEN : STAND_HELD,
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
	    !stand_put_manifest(&fleet, stand_has_trouble() ? small_limit
							    : large_limit) ||
	    !stand_server_start(&server)) {
		stand_fleet_stop(&fleet);
		return stand_end(STAND_CANNOT_RUN, "the fleet does not start");
	}
	stand_sleep_ms(APPLY_MS);
	if (stand_wait_ready(&fleet, 15000))
		result = play(&fleet);
	else
		stand_end(result, "the fleet is not ready");
	if (!stand_fleet_runs(&fleet))
		stand_record("a process of the fleet has ended");
	stand_server_stop(&server);
	stand_fleet_stop(&fleet);
	return result;
}
