/*
 * Case 12: one of several servers fails part of its requests with a 503 of its
 * own, after it has run them.  It does not say that it has not run them.  A
 * client to whom 503 is a promise sends its booking again.
 */
#define _GNU_SOURCE
#include "stand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 7
#define BOOKINGS_MAX 1000
/* The server fails 2 requests in 5, for so long. */
#define FAILS 2
#define FAILS_OF 5
#define FAILURE_S 6.5
#define BOOKING_PAUSE_MS 20
#define SETTLE_MS 2500

static atomic_uint applied[BOOKINGS_MAX];
static atomic_uint failed_runs;

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

/* Returns the number of the booking that a request asks for. */
static unsigned booking_of(const stand_message_t *request)
{
	const char *at = strstr(request->head, "/book/");
	unsigned long number =
		at == NULL ? 0 : strtoul(at + strlen("/book/"), NULL, 10);

	return number < BOOKINGS_MAX ? (unsigned)number : 0;
}

static bool answer(stand_server_t *server, const stand_message_t *request,
		   int fd)
{
	const bool *is_failing = server->user;
	char id[STAND_NAME_BYTES] = "?";

	applied[booking_of(request)]++;
	if (!*is_failing || server->arrivals % FAILS_OF >= FAILS)
		return stand_serve(server, request, fd);
	stand_find_header(request, "X-Wisteriadrift-Request-Id", id,
			  sizeof(id));
	failed_runs++;
	stand_record("server %s runs %s and answers 503", server->id, id);
	return stand_reply(fd, 503, id, "", "the run has failed");
}

/* One attempt on a new connection; returns the status, 0 without an answer. */
static unsigned attempt(const stand_fleet_t *fleet, unsigned booking,
			const char *id)
{
	int fd = stand_connect(fleet->entry_ips[0], fleet->front_port, 1000);
	stand_message_t response;
	char path[64];
	bool ok;

	if (fd < 0)
		return 0;
	snprintf(path, sizeof(path), "/book/%u", booking);
	ok = stand_request(fd, "POST", path, id, 100, &response);
	close(fd);
	return ok ? response.status : 0;
}

/*
 * Makes a booking, with one retry after a promise.  Returns whether a promise was
 * wrong: the attempt was answered 503 and had been applied.
 */
static bool book(const stand_fleet_t *fleet, unsigned booking)
{
	char id[STAND_NAME_BYTES];
	unsigned status;
	bool was_wrong;

	snprintf(id, sizeof(id), "booking-%u-first", booking);
	status = attempt(fleet, booking, id);
	if (status != 503)
		return false;
	was_wrong = applied[booking] > 0;
	if (was_wrong)
		stand_record("%s was answered 503 and has run", id);
	snprintf(id, sizeof(id), "booking-%u-again", booking);
	attempt(fleet, booking, id);
	return was_wrong;
}

static int play(const stand_fleet_t *fleet, bool *is_failing)
{
	unsigned wrong = 0;
	unsigned twice = 0;
	unsigned bookings = 0;
	char reason[160];
	double until_s;

	*is_failing = stand_has_trouble();
	until_s = stand_now_s() + FAILURE_S;
	while (stand_now_s() < until_s && bookings + 1 < BOOKINGS_MAX) {
		wrong += book(fleet, ++bookings);
		stand_sleep_ms(BOOKING_PAUSE_MS);
	}
	*is_failing = false;
	for (unsigned i = 1; i <= bookings; i++)
		twice += applied[i] > 1;
	snprintf(reason, sizeof(reason),
		 "%u bookings, %u failed runs, %u attempts answered 503 that "
		 "had run, %u bookings applied twice",
		 bookings, failed_runs, wrong, twice);
	return stand_end(wrong > 0 ? STAND_BROKEN : STAND_HELD, reason);
}

int main(int argc, char **argv)
{
	static stand_server_t servers[SERVERS];
	static bool is_failing[SERVERS];
	stand_fleet_t fleet;
	int result = STAND_CANNOT_RUN;

	if (argc != 2 || !stand_begin(argv[1]))
		return STAND_CANNOT_RUN;
	if (!stand_fleet_start(&fleet) ||
	    !stand_put_manifest(&fleet, manifest)) {
		stand_fleet_stop(&fleet);
		return stand_end(STAND_CANNOT_RUN, "no manifest in force");
	}
	for (unsigned i = 0; i < SERVERS; i++) {
		servers[i] = (stand_server_t){ .fleet = &fleet,
					       .answer = answer,
					       .user = &is_failing[i] };
		snprintf(servers[i].id, STAND_NAME_BYTES, "server-%u", i);
		snprintf(servers[i].service, STAND_NAME_BYTES, "bookings");
		snprintf(servers[i].ip, STAND_NAME_BYTES, "127.140.0.%u",
			 i + 1);
		if (!stand_server_start(&servers[i]))
			return stand_end(STAND_CANNOT_RUN, "no server");
	}
	stand_sleep_ms(SETTLE_MS);
	if (stand_wait_ready(&fleet, 15000) && attempt(&fleet, 0, "try") == 200)
		result = play(&fleet, &is_failing[0]);
	else
		result = stand_end(STAND_CANNOT_RUN, "the fleet is not ready");
	if (!stand_fleet_runs(&fleet))
		stand_record("a process of the fleet has ended");
	for (unsigned i = 0; i < SERVERS; i++)
		stand_server_stop(&servers[i]);
	stand_fleet_stop(&fleet);
	return result;
}
