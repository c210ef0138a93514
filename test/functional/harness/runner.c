/*
 * A stand-in for an endpoint on the users' platform: it tells the control
 * instance that it lives and answers one request at a time with a stream of
 * events.  Blocking sockets, two threads.
 */
#include "runner.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "wisteria/net/net.h"

#define HEARTBEAT_US 300000
#define REQUEST_BYTES 8192
#define EVENT_US 20000

static void send_text(int fd, const char *text)
{
	size_t len = strlen(text);

	while (len > 0) {
		ssize_t sent = send(fd, text, len, MSG_NOSIGNAL);

		if (sent <= 0)
			return;
		text += sent;
		len -= (size_t)sent;
	}
}

/* Reads up to the end of the headers and of a body of the stated length. */
static bool read_request(int fd, char request[REQUEST_BYTES])
{
	size_t used = 0;

	for (;;) {
		ssize_t got =
			recv(fd, request + used, REQUEST_BYTES - 1 - used, 0);
		const char *end;
		const char *length;

		if (got <= 0)
			return false;
		used += (size_t)got;
		request[used] = '\0';
		end = strstr(request, "\r\n\r\n");
		if (end == NULL)
			continue;
		length = strcasestr(request, "\r\ncontent-length:");
		if (length == NULL ||
		    used - (size_t)(end + 4 - request) >=
			    strtoul(strchr(length, ':') + 1, NULL, 10))
			return true;
	}
}

/* The value of a header; "" if there is none.  Freed by the caller. */
static char *header_of(const char *request, const char *name)
{
	char *pattern = g_strconcat("\r\n", name, ":", NULL);
	const char *at = strcasestr(request, pattern);
	char *value = g_strdup("");

	if (at != NULL) {
		g_free(value);
		at += strlen(pattern);
		value = g_strstrip(g_strndup(at, strcspn(at, "\r\n")));
	}
	g_free(pattern);
	return value;
}

static void send_event(int fd, unsigned long id)
{
	char *event = g_strdup_printf("id: %lu\ndata: word%lu\n\n", id, id);
	char *chunk = g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

	send_text(fd, chunk);
	g_free(chunk);
	g_free(event);
}

/* Events after "Last-Event-Id", to the end or to where it breaks off. */
static void send_stream(int fd, const char *request, bool cuts)
{
	char *request_id = header_of(request, "X-Wisteriadrift-Request-Id");
	char *last = header_of(request, "Last-Event-Id");
	unsigned long id = last[0] == '\0' ? 0 : strtoul(last, NULL, 10) + 1;
	bool breaks_off = cuts && last[0] == '\0';
	char *head = g_strdup_printf(
		"HTTP/1.1 200 OK\r\n"
		"Content-Type: text/event-stream\r\n"
		"X-Wisteriadrift-Request-Id: %s\r\n"
		"X-Wisteriadrift-Response-Stamp: 1.2.3\r\n"
		"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
		request_id);

	send_text(fd, head);
	for (; id < RUNNER_EVENTS; id++) {
		if (breaks_off && id > RUNNER_CUT_AFTER)
			break;
		send_event(fd, id);
		g_usleep(EVENT_US);
	}
	if (!breaks_off)
		send_text(fd, "0\r\n\r\n");
	g_free(head);
	g_free(last);
	g_free(request_id);
}

static void serve_one(runner_t *runner, int fd)
{
	char request[REQUEST_BYTES];

	if (!read_request(fd, request))
		return;
	if (runner->mode == RUNNER_SHEDS) {
		send_text(fd, "HTTP/1.1 503 Service Unavailable\r\n"
			      "X-Wisteriadrift-Not-Executed: full\r\n"
			      "Content-Length: 0\r\nConnection: close\r\n\r\n");
		return;
	}
	runner->runs++;
	if (runner->mode != RUNNER_DROPS)
		send_stream(fd, request, runner->mode == RUNNER_CUTS);
}

static void *serve(void *user)
{
	runner_t *runner = user;

	while (!runner->stopping) {
		int fd = accept(runner->listener, NULL, NULL);

		if (fd < 0)
			continue;
		serve_one(runner, fd);
		close(fd);
	}
	return NULL;
}

static int connect_to(const char *address)
{
	struct sockaddr_storage to;
	socklen_t len = sizeof(struct sockaddr_in);
	int fd;

	if (!net_parse_address(address, &to, NULL))
		return -1;
	fd = socket(to.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd >= 0 && connect(fd, (struct sockaddr *)&to, len) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Tells the control instance "body" under the endpoint's own path. */
static void tell(const runner_t *runner, const char *what, const char *body)
{
	int fd = connect_to(runner->control);
	char answer[REQUEST_BYTES];
	char *request;

	if (fd < 0)
		return;
	request = g_strdup_printf(
		"POST /wisteriadrift/instances/%s/%s HTTP/1.1\r\n"
		"Host: control\r\nContent-Type: application/json\r\n"
		"Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
		runner->id, what, strlen(body), body);
	send_text(fd, request);
	while (recv(fd, answer, sizeof(answer), 0) > 0)
		continue;
	close(fd);
	g_free(request);
}

static void beat_once(const runner_t *runner, unsigned sequence)
{
	char *body = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\","
		"\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
		"\"coldLeftMs\":0,\"seq\":%u,\"born\":1000}",
		runner->service, runner->address, sequence);

	tell(runner, "heartbeat", body);
	g_free(body);
}

static void *beat(void *user)
{
	runner_t *runner = user;

	for (unsigned sequence = 1; !runner->stopping; sequence++) {
		beat_once(runner, sequence);
		g_usleep(HEARTBEAT_US);
	}
	return NULL;
}

/* Starts a stand-in on a free port of "ip"; ends the test where it cannot. */
void runner_start(runner_t *runner, const char *id, const char *service,
		  const char *ip, const char *control, runner_mode_t mode)
{
	char *any = g_strconcat(ip, ":0", NULL);
	struct sockaddr_storage at;
	socklen_t len = sizeof(struct sockaddr_in);

	*runner = (runner_t){
		.id = id, .service = service, .control = control, .mode = mode
	};
	runner->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (!net_parse_address(any, &at, NULL) ||
	    bind(runner->listener, (struct sockaddr *)&at, len) != 0 ||
	    listen(runner->listener, SOMAXCONN) != 0 ||
	    getsockname(runner->listener, (struct sockaddr *)&at, &len) != 0)
		g_error("stand-in %s cannot listen on %s", id, any);
	snprintf(runner->address, sizeof(runner->address), "%s:%u", ip,
		 ntohs(((struct sockaddr_in *)(void *)&at)->sin_port));
	g_free(any);
	if (pthread_create(&runner->server, NULL, serve, runner) != 0 ||
	    pthread_create(&runner->heart, NULL, beat, runner) != 0)
		g_error("stand-in %s has no threads", id);
}

/* Says that the stand-in leaves and ends its threads. */
void runner_stop(runner_t *runner)
{
	runner->stopping = true;
	shutdown(runner->listener, SHUT_RDWR);
	pthread_join(runner->server, NULL);
	pthread_join(runner->heart, NULL);
	close(runner->listener);
	tell(runner, "deregister", "{}");
}
