/*
 * Case 15: the first requests of a route share the first part of their prompts and are
 * being read by all twenty servers when three of these crash within a third of a
 * second.  The others serve what they have, and the three are back later.
 */
#define _GNU_SOURCE
#include "stand.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 20
#define CRASHED 3 /* a share of .15 */
#define CRASH_EVERY 5
#define CRASH_AFTER_MS 60
#define CRASH_PAUSE_MS 160
#define DOWN_MS 3000
#define FIRST_STREAMS 40
#define FIRST_PAUSE_MS 5
/* From the head of an answer until its events. */
#define READ_MS 850
#define READ_CHECK_MS 5
#define LATER_S 30
#define LATER_CALLERS 5
#define SETTLE_MS 3000

static const char manifest[] =
	"{\"version\":1,\"routes\":[{\"name\":\"r1\","
	"\"host\":\"fixture.example\",\"pathPrefix\":\"/book/\","
	"\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"goalMs\":300,"
	"\"priority\":1,\"service\":\"both\",\"maxAttempts\":1,"
	"\"allowAnonymous\":false},{\"name\":\"r2\","
	"\"host\":\"fixture.example\",\"pathPrefix\":\"/stream/\","
	"\"kind\":\"stream\",\"timeoutMs\":8000,\"goalMs\":1500,"
	"\"priority\":1,\"service\":\"both\",\"maxAttempts\":3,"
	"\"allowAnonymous\":false,\"streamResume\":true,\"gapGoalMs\":1000}],"
	"\"services\":[{\"name\":\"both\",\"healthPath\":\"/health\","
	"\"maxConns\":130,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
	"\"tenants\":[{\"name\":\"tenant\","
	"\"apiKeys\":[\"key-of-tenant\"],\"priority\":1}]}";

static stand_fleet_t fleet;
static atomic_uint first_served;
static atomic_uint later_asked;
static atomic_uint later_served;
static atomic_uint booked;
static atomic_uint bookings_served;

/* Sends the head, reads the prompt for a while and sends the events. */
static bool stream(stand_server_t *server, const char *id, int fd)
{
	char text[1024];
	char events[512];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nX-Wisteriadrift-Request-Id: %s\r\n"
		 "X-Wisteriadrift-Response-Stamp: 3e1b.07.5a2\r\n"
		 "Content-Type: text/event-stream\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n",
		 id);
	if (!stand_send(fd, text, strlen(text)))
		return false;
	for (unsigned i = 0; i < READ_MS / READ_CHECK_MS; i++) {
		if (server->is_down)
			return false;
		stand_sleep_ms(READ_CHECK_MS);
	}
	snprintf(events, sizeof(events),
		 "id: 1\ndata: one of %s\n\nid: 2\ndata: two of %s\n\n", id,
		 id);
	snprintf(text, sizeof(text), "%zx\r\n%s\r\n0\r\n\r\n", strlen(events),
		 events);
	server->runs++;
	stand_record("server %s streams %s", server->id, id);
	return stand_send(fd, text, strlen(text));
}

static bool answer(stand_server_t *server, const stand_message_t *request,
		   int fd)
{
	char id[STAND_NAME_BYTES] = "?";

	if (server->is_down)
		return false;
	if (strstr(request->head, " /stream/") == NULL)
		return stand_serve(server, request, fd);
	stand_find_header(request, "X-Wisteriadrift-Request-Id", id,
			  sizeof(id));
	return stream(server, id, fd);
}

/* Asks for a stream; its prompt has the shared part and one of its own. */
static bool ask_stream(unsigned number)
{
	int fd = stand_connect(fleet.entry_ips[0], fleet.front_port, 1000);
	char id[STAND_NAME_BYTES];
	char headers[256];
	stand_message_t response;
	bool ok;

	if (fd < 0)
		return false;
	snprintf(id, sizeof(id), "stream-%u", number);
	snprintf(headers, sizeof(headers),
		 "X-Wisteriadrift-Deadline-Ms: 8000\r\n"
		 "X-Wisteriadrift-Token-Count: 900,80\r\n"
		 "X-Wisteriadrift-Prefix-Hash: 5c1e07a2:800,%08x:100\r\n",
		 0x10000 + number);
	ok = stand_ask(fd, "POST", "/stream/x", id, headers, 10, &response) &&
	     response.status == 200;
	close(fd);
	return ok;
}

static bool book(unsigned number)
{
	int fd = stand_connect(fleet.entry_ips[0], fleet.front_port, 1000);
	char id[STAND_NAME_BYTES];
	char path[64];
	stand_message_t response;
	bool ok;

	if (fd < 0)
		return false;
	snprintf(id, sizeof(id), "booking-%u", number);
	snprintf(path, sizeof(path), "/book/%u", number);
	ok = stand_request(fd, "POST", path, id, 10, &response) &&
	     response.status == 200;
	close(fd);
	return ok;
}

static void *ask_first(void *data)
{
	first_served += ask_stream((unsigned)(uintptr_t)data);
	return NULL;
}

/* Asks for a stream and books each second. */
static void *ask_later(void *data)
{
	unsigned first = 1000 * ((unsigned)(uintptr_t)data + 1);

	for (unsigned i = 0; i < LATER_S; i++) {
		double next_s = stand_now_s() + 1;

		later_asked++;
		later_served += ask_stream(first + i);
		booked++;
		bookings_served += book(first + i);
		if (next_s > stand_now_s())
			stand_sleep_ms(
				(unsigned)((next_s - stand_now_s()) * 1000));
	}
	return NULL;
}

static void crash_and_restart(stand_server_t *servers)
{
	for (unsigned i = 0; i < CRASHED; i++) {
		stand_server_crash(&servers[i * CRASH_EVERY]);
		if (i + 1 < CRASHED)
			stand_sleep_ms(CRASH_PAUSE_MS);
	}
	stand_sleep_ms(DOWN_MS);
	for (unsigned i = 0; i < CRASHED; i++)
		stand_server_restart(&servers[i * CRASH_EVERY]);
}

static int play(stand_server_t *servers)
{
	pthread_t first[FIRST_STREAMS];
	pthread_t later[LATER_CALLERS];
	unsigned served;
	unsigned all;
	char reason[256];

	for (uintptr_t i = 0; i < FIRST_STREAMS; i++) {
		pthread_create(&first[i], NULL, ask_first, (void *)i);
		stand_sleep_ms(FIRST_PAUSE_MS);
	}
	stand_sleep_ms(CRASH_AFTER_MS);
	if (stand_has_trouble())
		crash_and_restart(servers);
	for (unsigned i = 0; i < FIRST_STREAMS; i++)
		pthread_join(first[i], NULL);
	stand_sleep_ms(SETTLE_MS);
	for (uintptr_t i = 0; i < LATER_CALLERS; i++)
		pthread_create(&later[i], NULL, ask_later, (void *)i);
	for (unsigned i = 0; i < LATER_CALLERS; i++)
		pthread_join(later[i], NULL);
	served = first_served + later_served;
	all = FIRST_STREAMS + later_asked + booked;
	snprintf(reason, sizeof(reason),
		 "served: %u of the first %u streams, %u of %u later ones, %u "
		 "of %u bookings",
		 first_served, FIRST_STREAMS, later_served, later_asked,
		 bookings_served, booked);
	/* Less than a quarter as often as all requests. */
	return stand_end((double)served / (FIRST_STREAMS + later_asked) * 4 <
					 (double)(served + bookings_served) /
						 all
				 ? STAND_BROKEN
				 : STAND_HELD,
			 reason);
}

int main(int argc, char **argv)
{
	static stand_server_t servers[SERVERS];
	int result = STAND_CANNOT_RUN;
	bool ok;

	if (argc != 2 || !stand_begin(argv[1]))
		return STAND_CANNOT_RUN;
	ok = stand_fleet_start(&fleet) && stand_put_manifest(&fleet, manifest);
	for (unsigned i = 0; ok && i < SERVERS; i++) {
		servers[i] =
			(stand_server_t){ .fleet = &fleet, .answer = answer };
		snprintf(servers[i].id, STAND_NAME_BYTES, "server-%u", i);
		snprintf(servers[i].service, STAND_NAME_BYTES, "both");
		snprintf(servers[i].ip, STAND_NAME_BYTES, "127.140.0.%u",
			 i + 1);
		ok = stand_server_start(&servers[i]);
	}
	if (!ok) {
		stand_fleet_stop(&fleet);
		return stand_end(STAND_CANNOT_RUN, "the fleet does not start");
	}
	stand_sleep_ms(SETTLE_MS);
	if (stand_wait_ready(&fleet, 15000) && book(0))
		result = play(servers);
	else
		stand_end(result, "the fleet is not ready");
	if (!stand_fleet_runs(&fleet))
		stand_record("a process of the fleet has ended");
	for (unsigned i = 0; i < SERVERS; i++)
		stand_server_stop(&servers[i]);
	stand_fleet_stop(&fleet);
	return result;
}
