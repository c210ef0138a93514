/*
 * An entry gets its SIGTERM, as planned, while it forwards streams.  Their runner
 * preempts them for a moment, as runners do when memory runs out, and goes on.
 * The only other runner is full.  All streams must be completed: they end long
 * before graceS, and the pause is shorter than the patience of requesters.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "stand.h"

#define TRAFFIC_FROM_MS 10000
#define STREAMS 3
#define EVENTS 40
#define EVENT_MS 50
#define PREEMPTED_AT_EVENT 20
#define PREEMPTED_MS 1300
/* Requesters abandon a stream after a gap of 2 s. */
#define PATIENCE_MS 2000
#define SIGTERM_AT_MS 500 /* of the streams */

static const char *const ips[] = { "127.0.81.1", "127.0.81.2", "127.0.81.3" };
static const char manifest[] =
	"{\"version\":3,\"routes\":[{\"name\":\"r-1\",\"host\":"
	"\"ficu95.example\",\"pathPrefix\":\"/lohu930/\",\"kind\":\"stream\","
	"\"timeoutMs\":20000,\"goalMs\":500,\"priority\":1,\"service\":"
	"\"huvo11a\",\"maxAttempts\":2,\"allowAnonymous\":true,\"sticky\":true,"
	"\"streamResume\":true,\"gapGoalMs\":200}],\"services\":[{\"name\":"
	"\"huvo11a\",\"healthPath\":\"/health\",\"maxConns\":998,\"protocol\":"
	"\"h1\",\"tls\":false,\"engine\":{\"slots\":192,\"kvCapacity\":100000,"
	"\"kvTokenBytes\":590000,\"linkMbps\":480000.0,\"stride\":2,\"models\":"
	"[{\"name\":\"daka510000\",\"pace\":1.0,\"loadS\":14.0,\"warmupS\":1.0}"
	"],\"step_ms\":0.85,\"per_seq_ms\":0.00382,\"context_per_k\":0.00512,"
	"\"read_per_s\":196000.0,\"pairs_per_m\":0.166,\"chunk\":512,"
	"\"report_lag_ms\":200.0,\"loads_at_once\":6,\"delays\":[],\"usual\":{"
	"\"prompt\":772,\"answer\":172},\"layers\":8,\"layerMb\":1750.0,"
	"\"activationBytes\":29500,\"pipeMbps\":9000.0,\"kinds\":[{\"name\":"
	"\"h100\",\"sizeMb\":72000.0,\"pace\":1.4,\"readFactor\":1.0}]}}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static atomic_int started;

/*
 * Streams EVENTS events.  With trouble memory runs out for all but the oldest
 * stream: the newer ones are preempted once in between.
 */
static void run_stream(runner_t *runner, int fd, const char *head,
		       const char *id)
{
	char text[600];
	char gone;
	bool is_preempted = trouble && ++started > 1;

	(void)head;
	record("runner %s: runs %s%s", runner->id, id,
	       is_preempted ? ", preempted in the middle" : "");
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		 "Transfer-Encoding: chunked\r\n"
		 "X-Wisteriadrift-Request-Id: %s\r\n"
		 "X-Wisteriadrift-Weight-Versions: 1\r\n"
		 "X-Wisteriadrift-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1"
		 "\r\n\r\n",
		 id);
	channel_send(fd, text, strlen(text));
	for (int i = 1; i <= EVENTS; i++) {
		char event[64];

		sleep_ms(is_preempted && i == PREEMPTED_AT_EVENT ? PREEMPTED_MS
								 : EVENT_MS);
		snprintf(event, sizeof(event), "id: %d\ndata: token %d\n\n", i,
			 i);
		snprintf(text, sizeof(text), "%zx\r\n%s\r\n", strlen(event),
			 event);
		if (recv(fd, &gone, 1, MSG_DONTWAIT) == 0 ||
		    !channel_send(fd, text, strlen(text))) {
			record("runner %s: the channel of %s was closed before "
			       "event %d",
			       runner->id, id, i);
			return;
		}
	}
	channel_send(fd, "0\r\n\r\n", 5);
	record("runner %s: has completed %s", runner->id, id);
}

/* This runner is full with the work of other callers. */
static void reject(runner_t *runner, int fd, const char *head, const char *id)
{
	char text[400];

	(void)head;
	record("runner %s: is full, rejects %s", runner->id, id);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
		 "X-Wisteriadrift-Request-Id: %s\r\n"
		 "X-Wisteriadrift-Not-Executed: 1\r\nAt-Server: %s:%d\r\n\r\n",
		 id, runner->ip, ports.runner);
	channel_send(fd, text, strlen(text));
}

typedef struct {
	pthread_t thread;
	char id[20];
	int events;
	int64_t longest_gap_ms;
	bool is_complete;
} stream_t;

/* Reads one stream to its end, as a requester with PATIENCE_MS. */
static void *request_stream(void *data)
{
	stream_t *stream = data;
	int fd = channel_open(ips[0], ports.front, 1000);
	char buffer[65536];
	size_t len = 0;
	int64_t last_ms;

	snprintf(buffer, sizeof(buffer),
		 "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
		 "X-Wisteriadrift-Request-Id: %s\r\n"
		 "X-Wisteriadrift-Model: daka510000\r\n"
		 "X-Wisteriadrift-Token-Count: 800,80\r\n"
		 "X-Wisteriadrift-Prefix-Hash: 5c1e07a2:40,%s:760\r\n"
		 "X-Wisteriadrift-Deadline-Ms: 20000\r\n"
		 "Content-Length: 4\r\n\r\ntext",
		 stream->id, stream->id + 8);
	if (fd < 0 || !channel_send(fd, buffer, strlen(buffer)))
		return NULL;
	last_ms = now_ms();
	for (;;) {
		struct timeval patience = { PATIENCE_MS / 1000, 0 };
		ssize_t got;

		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience,
			   sizeof(patience));
		got = recv(fd, buffer + len, sizeof(buffer) - len - 1, 0);
		if (now_ms() - last_ms > stream->longest_gap_ms)
			stream->longest_gap_ms = now_ms() - last_ms;
		last_ms = now_ms();
		if (got <= 0)
			break;
		len += (size_t)got;
		buffer[len] = '\0';
		if (strstr(buffer, "\r\n0\r\n\r\n") != NULL) {
			stream->is_complete = true;
			break;
		}
	}
	buffer[len] = '\0';
	for (const char *at = buffer; (at = strstr(at, "data: ")) != NULL; at++)
		stream->events++;
	record("requester of %s: %s with %d of %d events, longest gap %lld ms, "
	       "%.12s",
	       stream->id, stream->is_complete ? "complete" : "cut",
	       stream->events, EVENTS, (long long)stream->longest_gap_ms,
	       buffer);
	close(fd);
	return NULL;
}

int main(int argc, char **argv)
{
	static stream_t streams[STREAMS];
	node_t *entries[3];
	runner_t *runners[2];
	int cut = 0;

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
	for (int i = 0; i < 2; i++) {
		char id[16];
		char ip[16];

		snprintf(id, sizeof(id), "i-%d", i + 1);
		snprintf(ip, sizeof(ip), "127.0.81.%d", i + 11);
		runners[i] =
			runner_new(id, "huvo11a", ip, i == 0 ? "z1" : "z2", 0);
		runners[i]->kind = "h100";
		runners[i]->run = i == 0 ? run_stream : reject;
		runner_begin(runners[i]);
	}
	if (operator_put(ips[0], manifest, 10000) != 200)
		finish(EXIT_NOT_RUN, "the manifest is not acknowledged");
	if (!wait_entry_ready(ips[0], 10000))
		finish(EXIT_NOT_RUN, "the entry is not ready");
	sleep_until(TRAFFIC_FROM_MS);
	if (runners[0]->end_layer != 8 || runners[1]->end_layer != 8)
		sleep_ms(5000);
	if (runners[0]->end_layer != 8 || runners[1]->end_layer != 8)
		finish(EXIT_NOT_RUN, "the layers are not placed");
	sleep_ms(2000);
	for (int i = 0; i < STREAMS; i++) {
		snprintf(streams[i].id, sizeof(streams[i].id), "%016x",
			 0x1000 + i);
		pthread_create(&streams[i].thread, NULL, request_stream,
			       &streams[i]);
	}
	sleep_ms(SIGTERM_AT_MS);
	node_signal(entries[0], SIGTERM);
	for (int i = 0; i < STREAMS; i++) {
		pthread_join(streams[i].thread, NULL);
		if (streams[i].events == 0)
			finish(EXIT_NOT_RUN, "a stream has not begun");
		cut += !streams[i].is_complete;
	}
	node_wait_end(entries[0], 10000);
	if (cut > 0)
		finish(EXIT_BROKEN,
		       "%d of %d streams that a sound runner served were cut "
		       "after the SIGTERM",
		       cut, STREAMS);
	finish(EXIT_HELD, "all %d streams are complete", STREAMS);
}
