/*
 * Case 14: another writer reports a process of its own as a server of a service that the
 * manifest names, in heartbeats in which fields are missing.  Clients make
 * bookings meanwhile.
 */
#define _GNU_SOURCE
#include "stand.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 3
#define BOOKINGS 200
#define BOOKING_PAUSE_MS 25
#define SETTLE_MS 4000

static const char manifest[] =
	"{\"version\":1,\"routes\":[{\"name\":\"r1\","
	"\"host\":\"fixture.example\",\"pathPrefix\":\"/book/\","
	"\"kind\":\"non_idempotent\",\"timeoutMs\":2500,\"goalMs\":150,"
	"\"priority\":1,\"service\":\"bookings\",\"maxAttempts\":1,"
	"\"allowAnonymous\":false}],"
	"\"services\":[{\"name\":\"bookings\",\"healthPath\":\"/health\","
	"\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
	"\"tenants\":[{\"name\":\"tenant\","
	"\"apiKeys\":[\"key-of-tenant\"],\"priority\":1}]}";

/* The process of the other writer takes what it is sent, without a signature. */
static bool take(stand_server_t *server, const stand_message_t *request, int fd)
{
	static const char text[] = "HTTP/1.1 200 OK\r\n"
				   "Content-Length: 5\r\n\r\ntaken";
	char id[STAND_NAME_BYTES] = "?";

	stand_find_header(request, "X-Wisteriadrift-Request-Id", id,
			  sizeof(id));
	server->runs++;
	stand_record("the other writer's process runs %s", id);
	return stand_send(fd, text, strlen(text));
}

static unsigned book(const stand_fleet_t *fleet, unsigned number)
{
	int fd = stand_connect(fleet->entry_ips[0], fleet->front_port, 1000);
	char id[STAND_NAME_BYTES];
	stand_message_t response;
	bool ok;

	if (fd < 0)
		return 0;
	snprintf(id, sizeof(id), "booking-%u", number);
	ok = stand_request(fd, "POST", "/book/x", id, 100, &response);
	close(fd);
	return ok ? response.status : 0;
}

static int play(const stand_fleet_t *fleet, const stand_server_t *other)
{
	unsigned served = 0;
	unsigned failed = 0;
	char reason[160];

	for (unsigned i = 0; i < BOOKINGS; i++) {
		unsigned status = book(fleet, i);

		served += status == 200;
		failed += status != 200 && status != 503;
		stand_sleep_ms(BOOKING_PAUSE_MS);
	}
	snprintf(reason, sizeof(reason),
		 "of %u bookings %u were served and %u failed; %u were run by "
		 "the other writer's process",
		 BOOKINGS, served, failed, other->runs);
	return stand_end(other->runs > 0 ? STAND_BROKEN : STAND_HELD, reason);
}

static bool start_server(stand_server_t *server, const stand_fleet_t *fleet,
			 unsigned number, stand_answer_t answer)
{
	*server = (stand_server_t){ .fleet = fleet, .answer = answer };
	snprintf(server->id, STAND_NAME_BYTES, "server-%u", number);
	snprintf(server->service, STAND_NAME_BYTES, "bookings");
	snprintf(server->ip, STAND_NAME_BYTES, "127.140.0.%u", number);
	return stand_server_start(server);
}

int main(int argc, char **argv)
{
	static stand_server_t servers[SERVERS + 1];
	stand_server_t *other = &servers[SERVERS];
	stand_fleet_t fleet;
	int result = STAND_CANNOT_RUN;
	bool ok;

	if (argc != 2 || !stand_begin(argv[1]))
		return STAND_CANNOT_RUN;
	ok = stand_fleet_start(&fleet) && stand_put_manifest(&fleet, manifest);
	for (unsigned i = 0; ok && i < SERVERS; i++)
		ok = start_server(&servers[i], &fleet, i + 1, stand_serve);
	if (!ok) {
		stand_fleet_stop(&fleet);
		return stand_end(STAND_CANNOT_RUN, "the fleet does not start");
	}
	*other = (stand_server_t){ .omits_fields = true };
	if (!stand_wait_ready(&fleet, 15000))
		return stand_end(result, "the fleet is not ready");
	other->is_silent = !stand_has_trouble();
	other->fleet = &fleet;
	other->answer = take;
	snprintf(other->id, STAND_NAME_BYTES, "other-writer");
	snprintf(other->service, STAND_NAME_BYTES, "bookings");
	snprintf(other->ip, STAND_NAME_BYTES, "127.140.0.9");
	if (!stand_server_start(other))
		return stand_end(result, "no process of the other writer");
	stand_sleep_ms(SETTLE_MS);
	result = play(&fleet, other);
	if (!stand_fleet_runs(&fleet))
		stand_record("a process of the fleet has ended");
	for (unsigned i = 0; i <= SERVERS; i++)
		stand_server_stop(&servers[i]);
	stand_fleet_stop(&fleet);
	return result;
}
