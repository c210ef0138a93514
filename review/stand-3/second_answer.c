/*
 * Case 13: one of three servers spoils a few of its answers: it sends a second answer,
 * that to another request, behind a complete one.  The complete one has a status
 * without a body, and a length all the same.
 */
#define _GNU_SOURCE
#include "stand.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SERVERS 3
#define CLIENTS 8
/* One of so many answers is spoiled, for so long. */
#define SPOILS_ONE_OF 50
#define SPOIL_S 5.5
#define REQUEST_PAUSE_MS 5
#define SETTLE_MS 2500

typedef struct {
	bool is_spoiling;
	pthread_mutex_t lock;
	char last[STAND_TEXT_BYTES]; /* its last answer */
} spoiler_t;

typedef struct {
	const stand_fleet_t *fleet;
	unsigned number;
	unsigned answers;
	unsigned foreign;
	double until_s;
} client_t;

static atomic_uint spoiled;

static const char manifest[] =
	"{\"version\":1,\"routes\":[{\"name\":\"r1\","
	"\"host\":\"fixture.example\",\"pathPrefix\":\"/read/\","
	"\"kind\":\"idempotent\",\"timeoutMs\":2500,\"goalMs\":150,"
	"\"priority\":1,\"service\":\"lookups\",\"maxAttempts\":2,"
	"\"allowAnonymous\":false}],"
	"\"services\":[{\"name\":\"lookups\",\"healthPath\":\"/health\","
	"\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
	"\"tenants\":[{\"name\":\"tenant\","
	"\"apiKeys\":[\"key-of-tenant\"],\"priority\":1}]}";

/* Answers 204, with the answer to another request behind it. */
static bool spoil(const stand_server_t *server, const char *id,
		  const char *other, int fd)
{
	char text[2 * STAND_TEXT_BYTES];
	int len = snprintf(text, sizeof(text),
			   "HTTP/1.1 204 No Content\r\n"
			   "X-Wisteriadrift-Request-Id: %s\r\n"
			   "X-Wisteriadrift-Response-Stamp: 3e1b.07.5a2\r\n"
			   "Content-Length: %zu\r\n\r\n%s",
			   id, strlen(other), other);

	spoiled++;
	stand_record("server %s answers %s with 204 and a second answer",
		     server->id, id);
	return stand_send(fd, text, (size_t)len);
}

static bool answer(stand_server_t *server, const stand_message_t *request,
		   int fd)
{
	spoiler_t *spoiler = server->user;
	char id[STAND_NAME_BYTES] = "?";
	char other[STAND_TEXT_BYTES];
	char body[128];

	stand_find_header(request, "X-Wisteriadrift-Request-Id", id,
			  sizeof(id));
	snprintf(body, sizeof(body), "for %s", id);
	pthread_mutex_lock(&spoiler->lock);
	strcpy(other, spoiler->last);
	snprintf(spoiler->last, sizeof(spoiler->last),
		 "HTTP/1.1 200 OK\r\nX-Wisteriadrift-Request-Id: %s\r\n"
		 "X-Wisteriadrift-Response-Stamp: 3e1b.07.5a2\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 id, strlen(body), body);
	pthread_mutex_unlock(&spoiler->lock);
	server->runs++;
	if (spoiler->is_spoiling && other[0] != '\0' &&
	    server->arrivals % SPOILS_ONE_OF == 0)
		return spoil(server, id, other, fd);
	return stand_reply(fd, 200, id, "", body);
}

/* Returns whether an answer is not the one to request "id". */
static bool is_foreign(const stand_message_t *response, const char *id)
{
	char named[STAND_NAME_BYTES] = "";
	char body[128];

	stand_find_header(response, "X-Wisteriadrift-Request-Id", named,
			  sizeof(named));
	snprintf(body, sizeof(body), "for %s", id);
	return strcmp(named, id) != 0 ||
	       (response->status == 200 && strcmp(response->body, body) != 0);
}

/* Asks one request after the other on a kept connection. */
static void ask_on_connection(client_t *client)
{
	int fd = stand_connect(client->fleet->entry_ips[0],
			       client->fleet->front_port, 1000);

	while (fd >= 0 && stand_now_s() < client->until_s) {
		char id[STAND_NAME_BYTES];
		stand_message_t response;

		snprintf(id, sizeof(id), "read-%u-%u", client->number,
			 client->answers);
		if (!stand_request(fd, "GET", "/read/x", id, 0, &response))
			break;
		client->answers++;
		if (is_foreign(&response, id)) {
			client->foreign++;
			stand_record("client gets a foreign answer to %s: %s",
				     id, response.body);
			break;
		}
		stand_sleep_ms(REQUEST_PAUSE_MS);
	}
	if (fd >= 0)
		close(fd);
}

static void *ask(void *data)
{
	client_t *client = data;

	while (stand_now_s() < client->until_s)
		ask_on_connection(client);
	return NULL;
}

static int play(const stand_fleet_t *fleet, spoiler_t *spoiler)
{
	client_t clients[CLIENTS];
	pthread_t threads[CLIENTS];
	unsigned answers = 0;
	unsigned foreign = 0;
	char reason[160];

	spoiler->is_spoiling = stand_has_trouble();
	for (unsigned i = 0; i < CLIENTS; i++) {
		clients[i] = (client_t){ .fleet = fleet,
					 .number = i,
					 .until_s = stand_now_s() + SPOIL_S };
		if (pthread_create(&threads[i], NULL, ask, &clients[i]) != 0)
			return stand_end(STAND_CANNOT_RUN, "no thread");
	}
	for (unsigned i = 0; i < CLIENTS; i++) {
		pthread_join(threads[i], NULL);
		answers += clients[i].answers;
		foreign += clients[i].foreign;
	}
	snprintf(reason, sizeof(reason),
		 "%u answers, %u of them spoiled; callers got %u answers to "
		 "other requests",
		 answers, spoiled, foreign);
	return stand_end(foreign > 0 ? STAND_BROKEN : STAND_HELD, reason);
}

int main(int argc, char **argv)
{
	static stand_server_t servers[SERVERS];
	static spoiler_t spoilers[SERVERS];
	stand_fleet_t fleet;
	int result = STAND_CANNOT_RUN;
	bool ok;

	if (argc != 2 || !stand_begin(argv[1]))
		return STAND_CANNOT_RUN;
	ok = stand_fleet_start(&fleet) && stand_put_manifest(&fleet, manifest);
	for (unsigned i = 0; ok && i < SERVERS; i++) {
		pthread_mutex_init(&spoilers[i].lock, NULL);
		servers[i] = (stand_server_t){ .fleet = &fleet,
					       .answer = answer,
					       .user = &spoilers[i] };
		snprintf(servers[i].id, STAND_NAME_BYTES, "server-%u", i);
		snprintf(servers[i].service, STAND_NAME_BYTES, "lookups");
		snprintf(servers[i].ip, STAND_NAME_BYTES, "127.140.0.%u",
			 i + 1);
		ok = stand_server_start(&servers[i]);
	}
	if (!ok) {
		stand_fleet_stop(&fleet);
		return stand_end(STAND_CANNOT_RUN, "the fleet does not start");
	}
	stand_sleep_ms(SETTLE_MS);
	if (stand_wait_ready(&fleet, 15000))
		result = play(&fleet, &spoilers[0]);
	else
		stand_end(result, "the fleet is not ready");
	if (!stand_fleet_runs(&fleet))
		stand_record("a process of the fleet has ended");
	for (unsigned i = 0; i < SERVERS; i++)
		stand_server_stop(&servers[i]);
	stand_fleet_stop(&fleet);
	return result;
}
