/*
 * A route's first requests, which share the first part of their prompts, are
 * being read by all runners of a service when three of twenty runners crash.
 * The others serve what they have, and the three are back 3 s later.
 */
#include "../stand-2/stand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RUNNERS 20
#define CRASHED 3 /* a share of .15 */
#define DOWN_MS 3000
#define FIRST_STREAMS 40
/* From the arrival of a stream until its events. */
#define READ_MS 800
#define LATER_S 45
#define LATER_CALLERS 10
#define BOOKING_PAUSE_MS 90

static const char manifest[] =
	"{\"version\":7,\"routes\":[{\"name\":\"book\","
	"\"host\":\"shop.example\",\"pathPrefix\":\"/book/\","
	"\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"goalMs\":300,"
	"\"priority\":1,\"service\":\"pedidos\",\"maxAttempts\":2,"
	"\"allowAnonymous\":true},{\"name\":\"live\","
	"\"host\":\"shop.example\",\"pathPrefix\":\"/live/\","
	"\"kind\":\"stream\",\"timeoutMs\":8000,\"goalMs\":1500,"
	"\"priority\":1,\"service\":\"pedidos\",\"maxAttempts\":3,"
	"\"allowAnonymous\":true,\"streamResume\":true,\"gapGoalMs\":1000}],"
	"\"services\":[{\"name\":\"pedidos\",\"healthPath\":\"/health\","
	"\"maxConns\":130,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}";

static node_t *entries[2];
static runner_t runners[RUNNERS];

typedef struct {
	int asked;
	int served;
} counts_t;

static counts_t first_streams, later_streams, bookings;
static pthread_mutex_t counts_lock = PTHREAD_MUTEX_INITIALIZER;

/* Streams begin READ_MS after their requests; the head comes with the events. */
static void run_request(runner_t *runner, const char *request_id,
			const char *head, run_t *run)
{
	static _Thread_local char raw[4096];
	char events[1024];
	size_t len = 0;

	if (strstr(head, " /live/") == NULL)
		return;
	for (int i = 1; i <= 3; i++)
		len += (size_t)sprintf(events + len,
				       "id: %d\ndata: token %d of %s\n\n", i, i,
				       request_id);
	sprintf(raw,
		"HTTP/1.1 200 OK\r\n"
		"X-Wisteriadrift-Request-Id: %s\r\n"
		"X-Wisteriadrift-Response-Stamp: stamp.%s.%s\r\n"
		"Content-Type: text/event-stream\r\n"
		"Transfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n0\r\n\r\n",
		request_id, runner->id, request_id, len, events);
	run->raw = raw;
	run->raw_split = 0;
	run->split_ms = READ_MS;
}

static void count(counts_t *counts, bool served)
{
	pthread_mutex_lock(&counts_lock);
	counts->asked++;
	counts->served += served;
	pthread_mutex_unlock(&counts_lock);
}

/* Asks for a stream; its prompt has the shared part and one of its own. */
static void stream(int number, counts_t *counts)
{
	char headers[512];
	char path[64];
	response_t response;

	snprintf(path, sizeof(path), "/live/%d", number);
	snprintf(headers, sizeof(headers),
		 "Host: shop.example\r\n"
		 "X-Wisteriadrift-Request-Id: live-%d\r\n"
		 "X-Wisteriadrift-Deadline-Ms: 8000\r\n"
		 "X-Wisteriadrift-Token-Count: 900,80\r\n"
		 "X-Wisteriadrift-Prefix-Hash: 5c1e07a2:800,%08x:100\r\n",
		 number, 0x10000 + number);
	http_call(entries[number % 2]->ip, front_port, "POST", path, headers,
		  "abc", 9000, &response);
	note("stream live-%d: %d", number, response.status);
	count(counts, response.status == 200);
	response_free(&response);
}

static void book(int number)
{
	char headers[512];
	response_t response;

	snprintf(headers, sizeof(headers),
		 "Host: shop.example\r\n"
		 "X-Wisteriadrift-Request-Id: book-%d\r\n"
		 "X-Wisteriadrift-Deadline-Ms: 3000\r\n",
		 number);
	http_call(entries[number % 2]->ip, front_port, "POST", "/book/1",
		  headers, "abc", 4000, &response);
	note("booking book-%d: %d", number, response.status);
	count(&bookings, response.status == 200);
	response_free(&response);
}

static void *ask_first(void *data)
{
	stream((int)(intptr_t)data, &first_streams);
	return NULL;
}

/* One of LATER_CALLERS requesters; each asks once a second. */
static void *ask_later(void *data)
{
	int64_t started = now_ms();

	for (int i = 0; i < LATER_S; i++) {
		int64_t left = started + (int64_t)i * 1000 - now_ms();

		if (left > 0)
			pause_ms((int)left);
		stream(1000 + i * LATER_CALLERS + (int)(intptr_t)data,
		       &later_streams);
	}
	return NULL;
}

static void *book_later(void *data)
{
	int64_t until = now_ms() + LATER_S * 1000;

	(void)data;
	for (int i = 1000; now_ms() < until; i++) {
		book(i);
		pause_ms(BOOKING_PAUSE_MS);
	}
	return NULL;
}

static bool start_system(void)
{
	node_t *core[3];

	for (unsigned i = 0; i < 3; i++) {
		char name[32];
		char zone[32];

		snprintf(name, sizeof(name), "core-%u", i + 1);
		snprintf(zone, sizeof(zone), "z%u", i + 1);
		core[i] = stand_control(name, 10 + i, zone, true);
	}
	entries[0] = stand_entry("entry-1", 30, "z1");
	entries[1] = stand_entry("entry-2", 31, "z2");
	stand_seeds(core, 3);
	for (int i = 0; i < 3; i++)
		node_start(core[i], true);
	for (int i = 0; i < 2; i++)
		node_start(entries[i], true);
	for (unsigned i = 0; i < RUNNERS; i++) {
		runner_t *runner = &runners[i];

		snprintf(runner->id, sizeof(runner->id), "i-%u", i + 1);
		snprintf(runner->ip, sizeof(runner->ip), "%s",
			 stand_ip(50 + i));
		snprintf(runner->service, sizeof(runner->service), "pedidos");
		snprintf(runner->zone, sizeof(runner->zone), "z%u", i % 2 + 1);
		runner->hook = run_request;
		runner_start(runner);
	}
	return operator_put(manifest, 15000) && wait_ready(entries, 2, 10000);
}

/* Three runners, drawn by their numbers alone, end and are back later. */
static void crash_runners(void)
{
	for (int i = 0; i < CRASHED; i++)
		runners[i * 5].stopped = true;
	for (int i = 0; i < CRASHED; i++)
		runner_crash(&runners[i * 5]);
	pause_ms(DOWN_MS);
	for (int i = 0; i < CRASHED; i++) {
		runners[i * 5].born = unix_ms();
		runner_start(&runners[i * 5]);
	}
}

int main(int argc, char **argv)
{
	pthread_t first[FIRST_STREAMS];
	pthread_t later[LATER_CALLERS];
	pthread_t booker;
	char why[512];
	int streams;
	int served;
	double all_share;

	stand_begin(argc > 1 ? argv[1] : ".");
	if (!start_system())
		return stand_end(COULD_NOT_RUN, "the system does not start");
	pause_ms(2500);
	for (int i = 0; i < 20; i++)
		book(i);
	if (bookings.served < bookings.asked)
		return stand_end(COULD_NOT_RUN, "bookings are not served");
	for (int i = 0; i < FIRST_STREAMS; i++) {
		pthread_create(&first[i], NULL, ask_first, (void *)(intptr_t)i);
		pause_ms(5);
	}
	pause_ms(READ_MS / 4);
	if (stand_trouble())
		crash_runners();
	for (int i = 0; i < FIRST_STREAMS; i++)
		pthread_join(first[i], NULL);
	pause_ms(2000);
	for (int i = 0; i < LATER_CALLERS; i++)
		pthread_create(&later[i], NULL, ask_later, (void *)(intptr_t)i);
	pthread_create(&booker, NULL, book_later, NULL);
	for (int i = 0; i < LATER_CALLERS; i++)
		pthread_join(later[i], NULL);
	pthread_join(booker, NULL);
	streams = first_streams.asked + later_streams.asked;
	served = first_streams.served + later_streams.served;
	all_share =
		(double)(served + bookings.served) / (streams + bookings.asked);
	snprintf(why, sizeof(why),
		 "%d of the first %d streams are served, %d of %d later ones, "
		 "and %d of %d bookings",
		 first_streams.served, first_streams.asked,
		 later_streams.served, later_streams.asked, bookings.served,
		 bookings.asked);
	return stand_end((double)served / streams < all_share / 4 ? RULE_BROKEN
								  : RULE_HELD,
			 why);
}
