/*
 * Stand-ins of the users' pages for the cases of review 3: the platform, which
 * starts the processes of a small fleet; the operator; clients; and servers,
 * which send heartbeats and answer requests.  Uses blocking sockets and threads.
 */
#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* Longest run of a case. */
#define RUN_S 118
#define BEAT_MS 1200
#define BEAT_ANSWER_MS 1000
#define PUT_TRIES 60
#define PUT_PAUSE_MS 250
#define PUT_ANSWER_MS 3000
#define ANSWER_MS 8000
/* "graceS" of the small deployments. */
#define STOP_MS 8000
#define STOP_CHECK_MS 20
#define PORT_FIRST 21000
#define PORT_COUNT 10000
#define PORT_TRIES 50
#define PORTS_OF_A_FLEET 4

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static double started_s;

static double clock_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

/* Returns the seconds since the case began. */
double stand_now_s(void)
{
	return clock_s() - started_s;
}

/* Returns the time of day in ms, as servers state it in "born". */
int64_t stand_unix_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Sleeps. */
void stand_sleep_ms(unsigned ms)
{
	const struct timespec pause = {
		.tv_sec = ms / 1000,
		.tv_nsec = (long)(ms % 1000) * 1000000,
	};

	nanosleep(&pause, NULL);
}

/* Returns whether the case is to be played with its disruption. */
bool stand_has_trouble(void)
{
	const char *trouble = getenv("TROUBLE");

	return trouble == NULL || strcmp(trouble, "0") != 0;
}

/* Writes a line to the record, with the time. */
void stand_record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%8.3f ", stand_now_s());
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

/* Opens the record in "folder"; returns false if it cannot. */
bool stand_begin(const char *folder)
{
	char path[512];

	started_s = clock_s();
	signal(SIGPIPE, SIG_IGN);
	alarm(RUN_S);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record = fopen(path, "w");
	if (record == NULL) {
		perror(path);
		return false;
	}
	stand_record("begins, trouble=%d", stand_has_trouble());
	return true;
}

/* Writes the result to the record and to standard output, and returns it. */
int stand_end(int result, const char *reason)
{
	static const char *const names[] = {
		[STAND_HELD] = "the rule held",
		[STAND_BROKEN] = "the rule was broken",
		[STAND_CANNOT_RUN] = "the case could not run",
	};

	stand_record("%s: %s", names[result], reason);
	printf("%s: %s\n", names[result], reason);
	return result;
}

/* Connections. */

static bool parse_address(const char *ip, unsigned port,
			  struct sockaddr_in *address)
{
	*address = (struct sockaddr_in){ .sin_family = AF_INET,
					 .sin_port = htons((uint16_t)port) };
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

/* Returns a connected socket, or -1. */
int stand_connect(const char *ip, unsigned port, unsigned timeout_ms)
{
	const struct timeval limit = {
		.tv_sec = timeout_ms / 1000,
		.tv_usec = (long)(timeout_ms % 1000) * 1000,
	};
	const int on = 1;
	struct sockaddr_in address;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || !parse_address(ip, port, &address))
		return -1;
	/* Also limits connect(). */
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Sends all bytes; returns false if the connection is lost. */
bool stand_send(int fd, const void *data, size_t len)
{
	const char *at = data;

	while (len > 0) {
		ssize_t sent = send(fd, at, len, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return false;
		at += sent;
		len -= (size_t)sent;
	}
	return true;
}

/* Reads some bytes; returns 0 at the end, after an error or a timeout. */
static size_t read_some(int fd, char *data, size_t len, double until_s)
{
	struct pollfd state = { .fd = fd, .events = POLLIN };
	double left_s = until_s - stand_now_s();
	ssize_t got;

	if (left_s <= 0 || poll(&state, 1, (int)(left_s * 1000) + 1) <= 0)
		return 0;
	got = recv(fd, data, len, 0);
	return got < 0 ? 0 : (size_t)got;
}

/* Copies the value of a header; returns false if there is none. */
bool stand_find_header(const stand_message_t *message, const char *name,
		       char *value, size_t size)
{
	const char *line = strstr(message->head, "\r\n");
	size_t len = strlen(name);

	while (line != NULL) {
		line += 2;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
			const char *from = line + len + 1;

			from += strspn(from, " \t");
			snprintf(value, size, "%.*s", (int)strcspn(from, "\r"),
				 from);
			return true;
		}
		line = strstr(line, "\r\n");
	}
	return false;
}

/* Reads up to the blank line that ends the head. */
static bool read_head(int fd, stand_message_t *message, double until_s)
{
	size_t used = 0;

	while (used < sizeof(message->head) - 1) {
		if (read_some(fd, message->head + used, 1, until_s) == 0)
			return false;
		message->head[++used] = '\0';
		if (used >= 4 &&
		    strcmp(message->head + used - 4, "\r\n\r\n") == 0)
			return true;
	}
	return false;
}

static bool read_body(int fd, stand_message_t *message, size_t len,
		      double until_s)
{
	char rest[STAND_TEXT_BYTES];

	while (message->body_len < len) {
		size_t kept = message->body_len;
		bool fits = kept < sizeof(message->body) - 1;
		char *to = fits ? message->body + kept : rest;
		size_t room =
			fits ? sizeof(message->body) - 1 - kept : sizeof(rest);
		size_t want = len - kept < room ? len - kept : room;
		size_t got = read_some(fd, to, want, until_s);

		if (got == 0)
			return false;
		message->body_len += got;
	}
	return true;
}

/*
 * Reads a request or an answer whose body has a length.  Returns false if it is
 * not complete in time.
 */
bool stand_read_message(int fd, stand_message_t *message, unsigned timeout_ms)
{
	double until_s = stand_now_s() + timeout_ms / 1000.0;
	char length[32];

	memset(message, 0, sizeof(*message));
	if (!read_head(fd, message, until_s))
		return false;
	if (strncmp(message->head, "HTTP/1.1 ", 9) == 0)
		message->status =
			(unsigned)strtoul(message->head + 9, NULL, 10);
	/* RFC 9110, 6.4.1 */
	if (message->status == 204 || message->status == 304 ||
	    !stand_find_header(message, "Content-Length", length,
			       sizeof(length)))
		return true;
	return read_body(fd, message, strtoul(length, NULL, 10), until_s);
}

/* Makes a call on a connection of its own; false: there was no answer. */
bool stand_call(const char *ip, unsigned port, const char *method,
		const char *path, const char *body, unsigned timeout_ms,
		stand_message_t *answer)
{
	int fd = stand_connect(ip, port, timeout_ms);
	char head[1024];
	bool ok;

	if (fd < 0)
		return false;
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: %s:%u\r\n"
		 "Content-Type: application/json\r\nConnection: close\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 method, path, ip, port, strlen(body));
	ok = stand_send(fd, head, strlen(head)) &&
	     stand_send(fd, body, strlen(body)) &&
	     stand_read_message(fd, answer, timeout_ms);
	close(fd);
	return ok;
}

/* Reads the chunks of a body up to the last one. */
static bool read_chunks(int fd, stand_message_t *message, double until_s)
{
	for (;;) {
		char line[32] = "";
		size_t used = 0;
		size_t len;

		while (used < sizeof(line) - 1 &&
		       (used == 0 || line[used - 1] != '\n')) {
			if (read_some(fd, line + used, 1, until_s) == 0)
				return false;
			line[++used] = '\0';
		}
		len = strtoul(line, NULL, 16);
		if (!read_body(fd, message, message->body_len + len, until_s) ||
		    read_some(fd, line, 1, until_s) == 0 ||
		    read_some(fd, line, 1, until_s) == 0)
			return false;
		if (len == 0)
			return true;
	}
}

/*
 * Sends a client's request, with additional header lines "headers" and a body of
 * "body_len" bytes, on a kept connection, and reads its answer.  Returns false if
 * there was none, or not all of it.
 */
bool stand_ask(int fd, const char *method, const char *path, const char *id,
	       const char *headers, size_t body_len, stand_message_t *answer)
{
	char head[2048];
	char coding[32];
	char *body = calloc(1, body_len + 1);
	bool ok;

	if (body == NULL)
		return false;
	memset(body, 'x', body_len);
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: fixture.example\r\n"
		 "X-Wisteriadrift-Request-Id: %s\r\n"
		 "Authorization: Bearer key-of-tenant\r\n%s"
		 "Content-Length: %zu\r\n\r\n",
		 method, path, id, headers, body_len);
	stand_record("client sends %s: %s %s, %zu bytes", id, method, path,
		     body_len);
	ok = stand_send(fd, head, strlen(head)) &&
	     stand_send(fd, body, body_len) &&
	     stand_read_message(fd, answer, ANSWER_MS);
	if (ok && stand_find_header(answer, "Transfer-Encoding", coding,
				    sizeof(coding)))
		ok = read_chunks(fd, answer,
				 stand_now_s() + ANSWER_MS / 1000.0);
	free(body);
	if (ok)
		stand_record("client gets %s: %u %.60s", id, answer->status,
			     answer->body);
	else
		stand_record("client gets %s: no answer", id);
	return ok;
}

/* Sends a request that waits for three seconds at most; see stand_ask(). */
bool stand_request(int fd, const char *method, const char *path, const char *id,
		   size_t body_len, stand_message_t *answer)
{
	return stand_ask(fd, method, path, id,
			 "X-Wisteriadrift-Deadline-Ms: 3000\r\n", body_len,
			 answer);
}

/* The fleet. */

static bool is_port_free(const char *ip, unsigned port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in address;
	bool ok = parse_address(ip, port, &address) &&
		  bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;

	close(fd);
	return ok;
}

static bool are_ports_free(const stand_fleet_t *fleet, unsigned first)
{
	for (unsigned i = 0; i < PORTS_OF_A_FLEET; i++) {
		for (unsigned j = 0; j < STAND_CONTROLS; j++)
			if (!is_port_free(fleet->control_ips[j], first + i))
				return false;
		for (unsigned j = 0; j < STAND_ENTRIES; j++)
			if (!is_port_free(fleet->entry_ips[j], first + i))
				return false;
	}
	return true;
}

static bool choose_ports(stand_fleet_t *fleet)
{
	unsigned seed = (unsigned)getpid() * 2654435761u + (unsigned)time(NULL);

	for (unsigned i = 0; i < PORT_TRIES; i++) {
		unsigned first = PORT_FIRST + (seed + i * 7919) % PORT_COUNT;

		if (!are_ports_free(fleet, first))
			continue;
		fleet->control_port = first;
		fleet->peer_port = first + 1;
		fleet->front_port = first + 2;
		fleet->ready_port = first + 3;
		return true;
	}
	return false;
}

static bool write_settings(const stand_fleet_t *fleet, const char *name,
			   const char *role, const char *ip,
			   const char *addresses, const char *path)
{
	FILE *out = fopen(path, "w");

	if (out == NULL)
		return false;
	fprintf(out,
		"instance: \"%s\"\nfailure_domain: \"z1\"\nregion: \"r1\"\n"
		"log_level: info\nroles: [%s]\nfleet:\n%s"
		"  peer_listen: \"%s:%u\"\n  bootstrap: true\n  seeds:\n",
		name, role, addresses, ip, fleet->peer_port);
	for (unsigned i = 0; i < STAND_CONTROLS; i++)
		fprintf(out, "    - \"%s:%u\"\n", fleet->control_ips[i],
			fleet->control_port);
	fprintf(out, "  stop_s: 8\n  retry_slack: 206\n"
		     "  retry_window_s: 10\n");
	return fclose(out) == 0;
}

/*
 * Starts the program as the deploy file does, and returns once it has been
 * loaded in place of this one; returns its id, or -1.
 */
static pid_t start_program(const stand_fleet_t *fleet, const char *name,
			   const char *settings)
{
	char log[512];
	int loaded[2];
	char byte;
	pid_t pid;
	int fd;

	if (pipe2(loaded, O_CLOEXEC) != 0)
		return -1;
	pid = fork();
	if (pid != 0) {
		close(loaded[1]);
		while (read(loaded[0], &byte, 1) < 0 && errno == EINTR)
			;
		close(loaded[0]);
		return pid;
	}
	snprintf(log, sizeof(log), "%s/%s.log", fleet->folder, name);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	execl("target/wisteriad", "target/wisteriad", "--config", settings,
	      (char *)NULL);
	_exit(127);
}

static pid_t start_control(const stand_fleet_t *fleet, unsigned index)
{
	const char *ip = fleet->control_ips[index];
	char name[STAND_NAME_BYTES];
	char path[512];
	char data[512];
	char addresses[1024];

	snprintf(name, sizeof(name), "control-%u", index);
	snprintf(path, sizeof(path), "%s/%s.yaml", fleet->folder, name);
	snprintf(data, sizeof(data), "%s/%s-data", fleet->folder, name);
	snprintf(addresses, sizeof(addresses),
		 "  control_listen: \"%s:%u\"\n  data_dir: \"%s\"\n", ip,
		 fleet->control_port, data);
	if ((mkdir(data, 0700) != 0 && errno != EEXIST) ||
	    !write_settings(fleet, name, "fleet_control", ip, addresses, path))
		return -1;
	return start_program(fleet, name, path);
}

static pid_t start_entry(const stand_fleet_t *fleet, unsigned index)
{
	const char *ip = fleet->entry_ips[index];
	char name[STAND_NAME_BYTES];
	char path[512];
	char addresses[1024];

	snprintf(name, sizeof(name), "entry-%u", index);
	snprintf(path, sizeof(path), "%s/%s.yaml", fleet->folder, name);
	snprintf(addresses, sizeof(addresses),
		 "  front_listen: \"%s:%u\"\n  ready_listen: \"%s:%u\"\n"
		 "  retry_ratio: 0.2\n",
		 ip, fleet->front_port, ip, fleet->ready_port);
	if (!write_settings(fleet, name, "fleet_entry", ip, addresses, path))
		return -1;
	return start_program(fleet, name, path);
}

/* Starts the control instances and the entries of a new fleet. */
bool stand_fleet_start(stand_fleet_t *fleet)
{
	const char *base = getenv("TMPDIR");
	bool ok = true;

	memset(fleet, 0, sizeof(*fleet));
	snprintf(fleet->folder, sizeof(fleet->folder), "%s/review-3-XXXXXX",
		 base == NULL ? "/tmp" : base);
	if (mkdtemp(fleet->folder) == NULL)
		return false;
	for (unsigned i = 0; i < STAND_CONTROLS; i++)
		snprintf(fleet->control_ips[i], STAND_NAME_BYTES, "127.%u.0.1",
			 100 + i);
	for (unsigned i = 0; i < STAND_ENTRIES; i++)
		snprintf(fleet->entry_ips[i], STAND_NAME_BYTES, "127.%u.0.1",
			 120 + i);
	if (!choose_ports(fleet))
		return false;
	for (unsigned i = 0; i < STAND_CONTROLS; i++) {
		fleet->controls[i] = start_control(fleet, i);
		ok = ok && fleet->controls[i] > 0;
	}
	for (unsigned i = 0; i < STAND_ENTRIES; i++) {
		fleet->entries[i] = start_entry(fleet, i);
		ok = ok && fleet->entries[i] > 0;
	}
	return ok;
}

/* Returns whether none of the processes has ended. */
bool stand_fleet_runs(const stand_fleet_t *fleet)
{
	bool runs = true;

	for (unsigned i = 0; i < STAND_CONTROLS; i++)
		runs = runs && waitpid(fleet->controls[i], NULL, WNOHANG) == 0;
	for (unsigned i = 0; i < STAND_ENTRIES; i++)
		runs = runs && waitpid(fleet->entries[i], NULL, WNOHANG) == 0;
	return runs;
}

static void end_process(pid_t pid)
{
	if (pid <= 0)
		return;
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
}

static int remove_one(const char *path, const struct stat *status, int type,
		      struct FTW *walk)
{
	(void)status;
	(void)type;
	(void)walk;
	return remove(path);
}

/* Ends the processes and, unless KEEP is set, removes their folder. */
void stand_fleet_stop(stand_fleet_t *fleet)
{
	for (unsigned i = 0; i < STAND_ENTRIES; i++)
		end_process(fleet->entries[i]);
	for (unsigned i = 0; i < STAND_CONTROLS; i++)
		end_process(fleet->controls[i]);
	if (getenv("KEEP") == NULL && fleet->folder[0] != '\0')
		nftw(fleet->folder, remove_one, 8, FTW_DEPTH | FTW_PHYS);
}

/* Stops a control instance with SIGTERM; false: it does not end in time. */
bool stand_stop_control(stand_fleet_t *fleet, unsigned index)
{
	pid_t pid = fleet->controls[index];

	kill(pid, SIGTERM);
	for (unsigned i = 0; i < STOP_MS / STOP_CHECK_MS; i++) {
		if (waitpid(pid, NULL, WNOHANG) == pid) {
			fleet->controls[index] = 0;
			return true;
		}
		stand_sleep_ms(STOP_CHECK_MS);
	}
	return false;
}

/* Starts a control instance that was stopped. */
bool stand_start_control(stand_fleet_t *fleet, unsigned index)
{
	fleet->controls[index] = start_control(fleet, index);
	return fleet->controls[index] > 0;
}

/* Follows one redirection of an answer; returns false if it names none. */
static bool follow(const stand_message_t *answer, char *ip, size_t size,
		   unsigned *port)
{
	char location[256];
	char *from;
	char *colon;

	if (!stand_find_header(answer, "Location", location, sizeof(location)))
		return false;
	from = strstr(location, "//");
	colon = from == NULL ? NULL : strchr(from, ':');
	if (colon == NULL)
		return false;
	*colon = '\0';
	snprintf(ip, size, "%s", from + 2);
	*port = (unsigned)strtoul(colon + 1, NULL, 10);
	return true;
}

/* Offers the manifest to one daemon; follows two redirections. */
static unsigned put_once(const stand_fleet_t *fleet, unsigned index,
			 const char *manifest)
{
	char ip[STAND_NAME_BYTES];
	unsigned port = fleet->control_port;
	stand_message_t answer;

	snprintf(ip, sizeof(ip), "%s", fleet->control_ips[index]);
	for (unsigned i = 0; i < 3; i++) {
		if (!stand_call(ip, port, "POST",
				"/wisteriadrift/config/replace", manifest,
				PUT_ANSWER_MS, &answer))
			return 0;
		if (answer.status != 307 ||
		    !follow(&answer, ip, sizeof(ip), &port))
			return answer.status;
	}
	return 0;
}

/* Sends the manifest, to one daemon after the other, until it is accepted. */
bool stand_put_manifest(const stand_fleet_t *fleet, const char *manifest)
{
	for (unsigned i = 0; i < PUT_TRIES; i++) {
		unsigned status = put_once(fleet, i % STAND_CONTROLS, manifest);

		if (status == 200) {
			stand_record("operator: manifest acknowledged");
			return true;
		}
		if (status == 400) {
			stand_record("operator: manifest refused");
			return false;
		}
		stand_sleep_ms(PUT_PAUSE_MS);
	}
	return false;
}

/* Waits until all entries report that they are ready. */
bool stand_wait_ready(const stand_fleet_t *fleet, unsigned timeout_ms)
{
	double until_s = stand_now_s() + timeout_ms / 1000.0;
	unsigned ready = 0;

	while (ready < STAND_ENTRIES && stand_now_s() < until_s) {
		stand_message_t answer;

		if (stand_call(fleet->entry_ips[ready], fleet->ready_port,
			       "GET", "/wisteriadrift/ready", "", 1000,
			       &answer) &&
		    answer.status == 200)
			ready++;
		else
			stand_sleep_ms(100);
	}
	return ready == STAND_ENTRIES;
}

/* Servers. */

/* Sends an answer with the server's signature; "headers" are whole lines. */
bool stand_reply(int fd, unsigned status, const char *request_id,
		 const char *headers, const char *body)
{
	char text[STAND_TEXT_BYTES];
	int len = snprintf(text, sizeof(text),
			   "HTTP/1.1 %u Answer\r\n"
			   "X-Wisteriadrift-Request-Id: %s\r\n"
			   "X-Wisteriadrift-Response-Stamp: 3e1b.07.5a2\r\n"
			   "%sContent-Length: %zu\r\n\r\n%s",
			   status, request_id, headers, strlen(body), body);

	return stand_send(fd, text, (size_t)len);
}

/* Runs a request and answers 200. */
bool stand_serve(stand_server_t *server, const stand_message_t *request, int fd)
{
	char id[STAND_NAME_BYTES] = "?";
	char body[128];

	stand_find_header(request, "X-Wisteriadrift-Request-Id", id,
			  sizeof(id));
	server->runs++;
	stand_record("server %s runs %s", server->id, id);
	snprintf(body, sizeof(body), "done by %s", server->id);
	return stand_reply(fd, 200, id, "", body);
}

typedef struct {
	stand_server_t *server;
	int fd;
} served_t;

static void *serve_connection(void *data)
{
	served_t *served = data;
	stand_server_t *server = served->server;
	stand_message_t *request = malloc(sizeof(*request));
	char connection[32] = "";

	while (request != NULL &&
	       stand_read_message(served->fd, request, ANSWER_MS)) {
		server->arrivals++;
		if (!server->answer(server, request, served->fd))
			break;
		if (stand_find_header(request, "Connection", connection,
				      sizeof(connection)) &&
		    strcasecmp(connection, "close") == 0)
			break;
	}
	free(request);
	close(served->fd);
	free(served);
	return NULL;
}

static void *accept_connections(void *data)
{
	stand_server_t *server = data;

	while (!server->stopping && !server->is_down) {
		struct pollfd state = { .fd = server->listener,
					.events = POLLIN };
		served_t *served;
		pthread_t thread;
		int fd;

		if (poll(&state, 1, 100) <= 0)
			continue;
		fd = accept4(server->listener, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		served = malloc(sizeof(*served));
		if (served == NULL) {
			close(fd);
			continue;
		}
		*served = (served_t){ .server = server, .fd = fd };
		if (pthread_create(&thread, NULL, serve_connection, served) ==
		    0) {
			pthread_detach(thread);
		} else {
			close(fd);
			free(served);
		}
	}
	return NULL;
}

/* Sends a heartbeat to the first daemon that acknowledges it. */
static void send_beat(stand_server_t *server, unsigned sequence)
{
	const stand_fleet_t *fleet = server->fleet;
	stand_message_t answer;
	char path[256];
	char body[1024];

	snprintf(path, sizeof(path), "/wisteriadrift/instances/%s/heartbeat",
		 server->id);
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\",%s"
		 "\"slots\":6,\"state\":\"ready\",\"seq\":%u,\"born\":%lld}",
		 server->service, server->address,
		 server->omits_fields ? ""
				      : "\"version\":\"v1\",\"coldLeftMs\":0,",
		 sequence, (long long)server->born_ms);
	for (unsigned i = 0; i < STAND_CONTROLS; i++)
		if (stand_call(fleet->control_ips[i], fleet->control_port,
			       "POST", path, body, BEAT_ANSWER_MS, &answer) &&
		    answer.status == 200) {
			server->acknowledged_beats++;
			return;
		}
	stand_record("server %s: heartbeat %u not acknowledged", server->id,
		     sequence);
}

static void *send_beats(void *data)
{
	stand_server_t *server = data;
	unsigned sequence = 0;

	while (!server->stopping && !server->is_silent && !server->is_down) {
		send_beat(server, ++sequence);
		for (unsigned i = 0;
		     i < BEAT_MS / 100 && !server->stopping && !server->is_down;
		     i++)
			stand_sleep_ms(100);
	}
	return NULL;
}

/* Listens at "port"; 0: any free one. */
static bool listen_for_requests(stand_server_t *server, unsigned port)
{
	const int on = 1;
	struct sockaddr_in address;
	socklen_t len = sizeof(address);

	server->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(server->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (!parse_address(server->ip, port, &address) ||
	    bind(server->listener, (struct sockaddr *)&address,
		 sizeof(address)) != 0 ||
	    listen(server->listener, 128) != 0 ||
	    getsockname(server->listener, (struct sockaddr *)&address, &len) !=
		    0)
		return false;
	snprintf(server->address, sizeof(server->address), "%s:%u", server->ip,
		 ntohs(address.sin_port));
	return true;
}

static bool start_threads(stand_server_t *server)
{
	return pthread_create(&server->accept_thread, NULL, accept_connections,
			      server) == 0 &&
	       pthread_create(&server->beat_thread, NULL, send_beats, server) ==
		       0;
}

/*
 * Starts a server; "fleet", "id", "service", "ip" and "answer" are set.  Returns
 * false if it cannot listen.
 */
bool stand_server_start(stand_server_t *server)
{
	server->born_ms = stand_unix_ms();
	if (!listen_for_requests(server, 0))
		return false;
	stand_record("server %s of %s at %s", server->id, server->service,
		     server->address);
	return start_threads(server);
}

/*
 * Ends a server at once: it refuses connections, and what it serves is to be
 * closed by "answer", which looks at "is_down".
 */
void stand_server_crash(stand_server_t *server)
{
	stand_record("server %s crashes", server->id);
	server->is_down = true;
	shutdown(server->listener, SHUT_RDWR);
	close(server->listener);
}

/* Starts a server again that has crashed, as a new boot at its old address. */
bool stand_server_restart(stand_server_t *server)
{
	unsigned port =
		(unsigned)strtoul(strchr(server->address, ':') + 1, NULL, 10);

	pthread_join(server->accept_thread, NULL);
	pthread_join(server->beat_thread, NULL);
	server->born_ms = stand_unix_ms();
	server->is_down = false;
	stand_record("server %s is back", server->id);
	return listen_for_requests(server, port) && start_threads(server);
}

/* Stops a server. */
void stand_server_stop(stand_server_t *server)
{
	server->stopping = true;
	pthread_join(server->accept_thread, NULL);
	pthread_join(server->beat_thread, NULL);
	close(server->listener);
}
