#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
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

ports_t ports;
bool trouble = true;
const char *control_ips[NODES_MAX];
int control_count;

static node_t nodes[NODES_MAX];
static int node_count;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t start_ms;
static char work_dir[256];
static pid_t main_pid;

static int64_t monotonic_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t now_ms(void)
{
	return monotonic_ms() - start_ms;
}

void sleep_ms(int64_t ms)
{
	struct timespec span = { ms / 1000, (ms % 1000) * 1000000 };

	while (ms > 0 && nanosleep(&span, &span) != 0 && errno == EINTR)
		;
}

void sleep_until(int64_t at_ms)
{
	sleep_ms(at_ms - now_ms());
}

void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8lld ", (long long)now_ms());
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

/* Ends all processes that this program started, by their ids. */
static void end_all(void)
{
	if (getpid() != main_pid)
		return;
	for (int i = 0; i < node_count; i++)
		if (nodes[i].pid > 0) {
			kill(nodes[i].pid, SIGKILL);
			waitpid(nodes[i].pid, NULL, 0);
			nodes[i].pid = 0;
		}
}

static void remove_work_dir(void)
{
	char command[400];

	if (getenv("KEEP") != NULL) {
		printf("kept: %s\n", work_dir);
		return;
	}
	snprintf(command, sizeof(command), "rm -rf '%s'", work_dir);
	if (system(command) != 0)
		printf("cannot remove the temporary folder\n");
}

void finish(int code, const char *format, ...)
{
	static const char *const words[] = { "the rule held", "RULE BROKEN",
					     "could not run" };
	char text[512];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	record("result: %s: %s", words[code], text);
	printf("%s: %s\n", words[code], text);
	end_all();
	remove_work_dir();
	fflush(stdout);
	_exit(code);
}

static bool is_free(const char *ip, int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool ok;

	inet_pton(AF_INET, ip, &address.sin_addr);
	ok = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
	close(fd);
	return ok;
}

/* Chooses a block of ports that are free on all interfaces. */
static void choose_ports(void)
{
	int *all = (int *)&ports;
	int count = (int)(sizeof(ports) / sizeof(int));

	for (int attempt = 0; attempt < 200; attempt++) {
		int base = 20000 + rand() % 10000;
		bool ok = true;

		for (int i = 0; ok && i < count; i++)
			ok = is_free("0.0.0.0", base + i);
		if (!ok)
			continue;
		for (int i = 0; i < count; i++)
			all[i] = base + i;
		return;
	}
	finish(EXIT_NOT_RUN, "no free ports");
}

static void on_end_signal(int number)
{
	(void)number;
	end_all();
	_exit(EXIT_NOT_RUN);
}

void stand_init(const char *folder)
{
	char path[512];
	const char *text = getenv("TROUBLE");
	const char *temp = getenv("TMPDIR");

	start_ms = monotonic_ms();
	main_pid = getpid();
	trouble = text == NULL || strcmp(text, "0") != 0;
	srand((unsigned)(start_ms ^ getpid()));
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_end_signal);
	signal(SIGINT, on_end_signal);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record_file = fopen(path, "w");
	if (record_file == NULL) {
		perror(path);
		_exit(EXIT_NOT_RUN);
	}
	snprintf(work_dir, sizeof(work_dir), "%s/review-XXXXXX",
		 temp == NULL ? "/tmp" : temp);
	if (mkdtemp(work_dir) == NULL)
		finish(EXIT_NOT_RUN, "no temporary folder");
	if (access("target/wisteriad", X_OK) != 0)
		finish(EXIT_NOT_RUN, "target/wisteriad is not built");
	choose_ports();
	record("trouble=%d", trouble);
}

/* Processes. */

node_t *node_new(const char *name, const char *ip, const char *zone,
		 bool is_control, bool has_disk)
{
	node_t *node = &nodes[node_count++];

	*node = (node_t){ .is_control = is_control, .has_disk = has_disk };
	snprintf(node->name, sizeof(node->name), "%s", name);
	snprintf(node->ip, sizeof(node->ip), "%s", ip);
	snprintf(node->zone, sizeof(node->zone), "%s", zone);
	snprintf(node->settings, sizeof(node->settings), "%s/%s.yaml", work_dir,
		 name);
	snprintf(node->data_dir, sizeof(node->data_dir), "%s/%s.data", work_dir,
		 name);
	return node;
}

/* The templates deploy/control.yaml and deploy/entry.yaml, filled in. */
void nodes_write_settings(const char *const *seed_ips, int count,
			  bool bootstrap)
{
	for (int i = 0; i < node_count; i++) {
		const node_t *node = &nodes[i];
		FILE *file = fopen(node->settings, "w");

		if (file == NULL)
			finish(EXIT_NOT_RUN, "cannot write settings");
		fprintf(file,
			"instance: \"%s-%s\"\n"
			"failure_domain: \"%s\"\n"
			"region: \"here\"\n"
			"log_level: info\n"
			"metrics_listen: \"%s:%d\"\n"
			"roles: [%s]\n"
			"fleet:\n",
			node->name, node->is_control ? "control" : "entry",
			node->zone, node->ip,
			node->is_control ? ports.metrics : ports.entry_metrics,
			node->is_control ? "fleet_control" : "fleet_entry");
		if (node->is_control)
			fprintf(file, "  control_listen: \"%s:%d\"\n", node->ip,
				ports.control);
		else
			fprintf(file,
				"  front_listen: \"%s:%d\"\n"
				"  ready_listen: \"%s:%d\"\n",
				node->ip, ports.front, node->ip, ports.ready);
		/* Both roles of a machine have the same first port. */
		fprintf(file, "  peer_listen: \"%s:%d\"\n", node->ip,
			ports.peer);
		if (node->is_control && node->has_disk)
			fprintf(file, "  data_dir: \"%s\"\n", node->data_dir);
		if (node->is_control)
			fprintf(file, "  bootstrap: %s\n",
				bootstrap ? "true" : "false");
		fprintf(file, "  seeds:\n");
		for (int j = 0; j < count; j++)
			fprintf(file, "    - \"%s:%d\"\n", seed_ips[j],
				ports.control);
		fprintf(file, "  stop_s: 8\n");
		if (!node->is_control)
			fprintf(file, "  retry_ratio: 0.2\n"
				      "  retry_slack: 206\n"
				      "  retry_window_s: 10\n");
		fclose(file);
		mkdir(node->data_dir, 0700);
	}
}

void node_start(node_t *node)
{
	char log_path[600];
	pid_t parent = getpid();

	snprintf(log_path, sizeof(log_path), "%s/%s.log", work_dir, node->name);
	node->pid = fork();
	if (node->pid < 0)
		finish(EXIT_NOT_RUN, "cannot fork");
	if (node->pid == 0) {
		int log = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(1);
		dup2(log, 1);
		dup2(log, 2);
		close(log);
		signal(SIGPIPE, SIG_DFL);
		execl("target/wisteriad", "target/wisteriad", "--config",
		      node->settings, (char *)NULL);
		_exit(127);
	}
	record("start %s pid=%d", node->name, (int)node->pid);
}

void node_signal(node_t *node, int number)
{
	record("signal %d (%s) to %s", number, strsignal(number), node->name);
	if (node->pid > 0)
		kill(node->pid, number);
}

bool node_wait_end(node_t *node, int64_t timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;
	int status;

	while (node->pid > 0) {
		if (waitpid(node->pid, &status, WNOHANG) == node->pid) {
			record("end of %s: %s %d", node->name,
			       WIFEXITED(status) ? "exit" : "signal",
			       WIFEXITED(status) ? WEXITSTATUS(status)
						 : WTERMSIG(status));
			node->pid = 0;
			return true;
		}
		if (now_ms() >= until)
			return false;
		sleep_ms(5);
	}
	return true;
}

bool node_is_running(node_t *node)
{
	return node->pid > 0 && kill(node->pid, 0) == 0 &&
	       waitpid(node->pid, NULL, WNOHANG) == 0;
}

/* HTTP. */

void answer_free(answer_t *answer)
{
	free(answer->body);
	answer->body = NULL;
}

int channel_open(const char *ip, int port, int64_t timeout_ms)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct pollfd waiting = { .fd = fd, .events = POLLOUT };
	int error = 0;
	socklen_t len = sizeof(error);
	int one = 1;

	inet_pton(AF_INET, ip, &address.sin_addr);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	if (poll(&waiting, 1, (int)timeout_ms) != 1 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0 ||
	    error != 0) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

bool channel_send(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t sent = send(fd, data, len, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		data += sent;
		len -= (size_t)sent;
	}
	return true;
}

bool answer_header(const answer_t *answer, const char *name, char *out,
		   size_t size)
{
	const char *at = answer->headers;
	size_t len = strlen(name);

	while ((at = strstr(at, "\r\n")) != NULL) {
		at += 2;
		if (strncasecmp(at, name, len) == 0 && at[len] == ':') {
			const char *value = at + len + 1;
			size_t value_len;

			value += strspn(value, " ");
			value_len = strcspn(value, "\r\n");
			if (value_len >= size)
				value_len = size - 1;
			memcpy(out, value, value_len);
			out[value_len] = '\0';
			return true;
		}
	}
	return false;
}

/* Reads more bytes into "buffer"; returns false at the end or the deadline. */
static bool read_more(int fd, char **buffer, size_t *len, int64_t until)
{
	struct pollfd waiting = { .fd = fd, .events = POLLIN };
	int64_t left = until - now_ms();
	ssize_t got;

	if (left <= 0 || poll(&waiting, 1, (int)left) != 1)
		return false;
	*buffer = realloc(*buffer, *len + 65537);
	got = recv(fd, *buffer + *len, 65536, 0);
	if (got <= 0)
		return false;
	*len += (size_t)got;
	(*buffer)[*len] = '\0';
	return true;
}

/* Reads an answer with a length, in chunks, or up to the end. */
void channel_read_answer(int fd, int64_t timeout_ms, answer_t *answer)
{
	int64_t until = now_ms() + timeout_ms;
	char *buffer = calloc(1, 1);
	size_t len = 0;
	char *end = NULL;
	char value[64];
	size_t head;

	memset(answer, 0, sizeof(*answer));
	while ((end = strstr(buffer, "\r\n\r\n")) == NULL)
		if (!read_more(fd, &buffer, &len, until)) {
			free(buffer);
			return;
		}
	head = (size_t)(end - buffer) + 4;
	if (sscanf(buffer, "HTTP/1.%*d %d", &answer->status) != 1 ||
	    head >= sizeof(answer->headers)) {
		answer->status = 0;
		free(buffer);
		return;
	}
	memcpy(answer->headers, buffer, head);
	answer->headers[head] = '\0';
	answer->closes =
		answer_header(answer, "Connection", value, sizeof(value)) &&
		strcasecmp(value, "close") == 0;
	answer->body = calloc(1, 1);
	if (answer_header(answer, "Content-Length", value, sizeof(value))) {
		size_t want = strtoul(value, NULL, 10);

		while (len - head < want && read_more(fd, &buffer, &len, until))
			;
		answer->is_complete = len - head >= want;
		answer->body_len = len - head < want ? len - head : want;
		answer->body = realloc(answer->body, answer->body_len + 1);
		memcpy(answer->body, buffer + head, answer->body_len);
		answer->body[answer->body_len] = '\0';
	} else if (answer_header(answer, "Transfer-Encoding", value,
				 sizeof(value))) {
		size_t at = head;

		for (;;) {
			char *line_end;
			size_t size;

			while ((line_end = len > at
						   ? strstr(buffer + at, "\r\n")
						   : NULL) == NULL)
				if (!read_more(fd, &buffer, &len, until))
					goto out;
			size = strtoul(buffer + at, NULL, 16);
			at = (size_t)(line_end - buffer) + 2;
			while (len < at + size + 2)
				if (!read_more(fd, &buffer, &len, until))
					goto out;
			if (size == 0) {
				answer->is_complete = true;
				break;
			}
			answer->body = realloc(answer->body,
					       answer->body_len + size + 1);
			memcpy(answer->body + answer->body_len, buffer + at,
			       size);
			answer->body_len += size;
			answer->body[answer->body_len] = '\0';
			at += size + 2;
		}
	}
out:
	free(buffer);
}

void call(const char *ip, int port, const char *method, const char *path,
	  const char *headers, const char *body, int64_t timeout_ms,
	  answer_t *answer)
{
	int fd = channel_open(ip, port, timeout_ms);
	char *text;

	memset(answer, 0, sizeof(*answer));
	if (fd < 0) {
		answer->status = -1;
		return;
	}
	if (asprintf(&text,
		     "%s %s HTTP/1.1\r\nHost: %s:%d\r\n%sContent-Length: %zu"
		     "\r\n\r\n%s",
		     method, path, ip, port, headers, strlen(body), body) < 0)
		abort();
	if (channel_send(fd, text, strlen(text)))
		channel_read_answer(fd, timeout_ms, answer);
	free(text);
	close(fd);
}

/* The operator. */

int operator_put(const char *ip, const char *manifest, int64_t timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;
	int status = 0;
	char target[64];
	int redirects = 0;

	snprintf(target, sizeof(target), "%s", ip);
	while (now_ms() < until) {
		answer_t answer;
		char location[256];

		call(target, ports.control, "POST",
		     "/wisteriadrift/config/replace",
		     "Content-Type: application/json\r\n", manifest, 1000,
		     &answer);
		status = answer.status;
		record("operator: manifest to %s: %d", target, status);
		if (status == 307 && redirects < 2 &&
		    answer_header(&answer, "Location", location,
				  sizeof(location)) &&
		    sscanf(location, "http://%63[0-9.]", target) == 1) {
			redirects++;
			answer_free(&answer);
			continue;
		}
		answer_free(&answer);
		if (status == 200 || status == 400 || status == 409 ||
		    status == 412 || status == 413 || status == 422)
			return status;
		redirects = 0;
		snprintf(target, sizeof(target), "%s", ip);
		sleep_ms(200);
	}
	return status;
}

int64_t operator_get(const char *ip)
{
	answer_t answer;
	int64_t version = 0;
	const char *at;

	call(ip, ports.control, "GET", "/wisteriadrift/config/get", "", "",
	     3000, &answer);
	if (answer.status == 200 && answer.body != NULL &&
	    (at = strstr(answer.body, "\"version\":")) != NULL)
		version = strtoll(at + 10, NULL, 10);
	record("operator: read at %s: %d, version %lld", ip, answer.status,
	       (long long)version);
	answer_free(&answer);
	return version;
}

bool wait_entry_ready(const char *ip, int64_t timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;

	while (now_ms() < until) {
		answer_t answer;
		int status;

		call(ip, ports.ready, "GET", "/wisteriadrift/ready", "", "",
		     500, &answer);
		status = answer.status;
		answer_free(&answer);
		if (status == 200)
			return true;
		sleep_ms(100);
	}
	return false;
}

/* Runners. */

typedef struct {
	runner_t *runner;
	int fd;
} runner_channel_t;

bool find_header(const char *head, const char *name, char *out, size_t size)
{
	answer_t request;

	snprintf(request.headers, sizeof(request.headers), "%s", head);
	return answer_header(&request, name, out, size);
}

/* Takes an order to hold layers, or reports; returns false if it is neither. */
static bool serve_platform_call(runner_t *runner, int fd, const char *head,
				const char *body)
{
	static const char accepted[] =
		"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n"
		"Connection: close\r\n\r\n";
	const char *from = strstr(body, "\"from\":");
	const char *to = strstr(body, "\"to\":");
	char text[500];
	char report[300];

	if (runner->kind == NULL)
		return false;
	if (strncmp(head, "POST /wisteriadrift/order ", 26) == 0) {
		channel_send(fd, accepted, strlen(accepted));
		if (from != NULL && to != NULL) {
			sleep_ms(200); /* loads the layers */
			runner->first_layer = atoi(from + 7);
			runner->end_layer = atoi(to + 5);
			record("runner %s: holds layers %d-%d", runner->id,
			       (int)runner->first_layer,
			       (int)runner->end_layer);
		}
		return true;
	}
	if (strncmp(head, "GET /wisteriadrift/report ", 26) != 0)
		return false;
	snprintf(report, sizeof(report),
		 "{\"stage\":\"colocated\",\"models\":[],\"busy\":false,"
		 "\"seq\":1,\"queued\":0,\"running\":1,\"kvUsed\":0,"
		 "\"kvTotal\":100000,\"handles\":0,\"pace\":1}");
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		 strlen(report), report);
	channel_send(fd, text, strlen(text));
	return true;
}

static void *serve_channel(void *data)
{
	runner_channel_t channel = *(runner_channel_t *)data;
	runner_t *runner = channel.runner;
	char *buffer = calloc(1, 1);
	size_t len = 0;
	char expected[64] = "";
	char id[80] = "-";
	char value[64];
	char text[600];
	char *end;
	int64_t until = now_ms() + 20000;
	int64_t from;

	free(data);
	while ((end = strstr(buffer, "\r\n\r\n")) == NULL)
		if (!read_more(channel.fd, &buffer, &len, until))
			goto out;
	find_header(buffer, "X-Wisteriadrift-Expect-Instance", expected,
		    sizeof(expected));
	find_header(buffer, "X-Wisteriadrift-Request-Id", id, sizeof(id));
	if (find_header(buffer, "Content-Length", value, sizeof(value))) {
		size_t want =
			(size_t)(end - buffer) + 4 + strtoul(value, NULL, 10);

		while (len < want)
			if (!read_more(channel.fd, &buffer, &len, until))
				goto out;
	}
	if (serve_platform_call(runner, channel.fd, buffer, end + 4))
		goto out;
	if (strcmp(expected, runner->id) != 0) {
		snprintf(text, sizeof(text),
			 "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n"
			 "X-Wisteriadrift-Request-Id: %s\r\n"
			 "X-Wisteriadrift-Not-Executed: 1\r\n"
			 "Connection: close\r\n\r\n",
			 id);
		channel_send(channel.fd, text, strlen(text));
		goto out;
	}
	runner->ran++;
	runner->last_ran_ms = now_ms();
	from = runner->watched_from_ms;
	if (from > 0 && now_ms() > from) {
		runner->ran_while_watched++;
		record("runner %s: runs %s, %lld ms after it must get nothing",
		       runner->id, id, (long long)(now_ms() - from));
	}
	if (runner->run != NULL) {
		runner->run(runner, channel.fd, buffer, id);
		goto out;
	}
	sleep_ms(runner->work_ms);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
		 "Content-Length: 2\r\n"
		 "X-Wisteriadrift-Request-Id: %s\r\n"
		 "X-Wisteriadrift-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1"
		 "\r\n\r\nok",
		 id);
	channel_send(channel.fd, text, strlen(text));
out:
	shutdown(channel.fd, SHUT_WR);
	while (read_more(channel.fd, &buffer, &len, now_ms() + 1000))
		;
	free(buffer);
	close(channel.fd);
	return NULL;
}

static void *serve(void *data)
{
	runner_t *runner = data;

	while (runner->serves) {
		struct pollfd waiting = { .fd = runner->listener,
					  .events = POLLIN };
		runner_channel_t *channel;
		pthread_t thread;
		int fd;

		if (poll(&waiting, 1, 100) != 1)
			continue;
		fd = accept4(runner->listener, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		channel = malloc(sizeof(*channel));
		*channel = (runner_channel_t){ runner, fd };
		if (pthread_create(&thread, NULL, serve_channel, channel) == 0)
			pthread_detach(thread);
	}
	close(runner->listener);
	return NULL;
}

static void *beat(void *data)
{
	runner_t *runner = data;
	unsigned seed = (unsigned)runner->born ^ (unsigned)(uintptr_t)runner;

	while (runner->beats) {
		char path[128];
		char body[768];
		char layers[300] = "";
		int first = (int)(rand_r(&seed) % (unsigned)control_count);

		snprintf(path, sizeof(path),
			 "/wisteriadrift/instances/%s/heartbeat", runner->id);
		if (runner->kind != NULL)
			snprintf(layers, sizeof(layers),
				 ",\"stage\":\"colocated\",\"kind\":\"%s\","
				 "\"models\":[{\"name\":\"daka510000\","
				 "\"version\":1,\"adapters\":[]}],\"layers\":"
				 "{\"from\":%d,\"to\":%d,\"version\":1}",
				 runner->kind, (int)runner->first_layer,
				 (int)runner->end_layer);
		snprintf(body, sizeof(body),
			 "{\"service\":\"%s\",\"address\":\"%s:%d\","
			 "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":6,"
			 "\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":%d,"
			 "\"born\":%lld%s}",
			 runner->service, runner->ip, ports.runner,
			 runner->zone, (int)++runner->seq,
			 (long long)runner->born, layers);
		for (int i = 0; i < 3 && runner->beats; i++) {
			const char *ip =
				control_ips[(first + i) % control_count];
			answer_t answer;
			int status;

			call(ip, ports.control, "POST", path,
			     "Content-Type: application/json\r\n", body, 1000,
			     &answer);
			status = answer.status;
			answer_free(&answer);
			if (status / 100 == 2)
				break;
		}
		for (int i = 0; i < 24 && runner->beats; i++)
			sleep_ms(50); /* heartbeatMs: 1,200 */
	}
	return NULL;
}

runner_t *runner_new(const char *id, const char *service, const char *ip,
		     const char *zone, int work_ms)
{
	runner_t *runner = calloc(1, sizeof(*runner));
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)ports.runner),
	};
	struct timespec time;
	int one = 1;

	clock_gettime(CLOCK_REALTIME, &time);
	snprintf(runner->id, sizeof(runner->id), "%s", id);
	snprintf(runner->service, sizeof(runner->service), "%s", service);
	snprintf(runner->ip, sizeof(runner->ip), "%s", ip);
	snprintf(runner->zone, sizeof(runner->zone), "%s", zone);
	runner->born = (int64_t)time.tv_sec * 1000 + time.tv_nsec / 1000000;
	runner->work_ms = work_ms;
	runner->beats = true;
	runner->serves = true;
	runner->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(runner->listener, SOL_SOCKET, SO_REUSEADDR, &one,
		   sizeof(one));
	inet_pton(AF_INET, ip, &address.sin_addr);
	if (bind(runner->listener, (struct sockaddr *)&address,
		 sizeof(address)) != 0 ||
	    listen(runner->listener, 256) != 0)
		finish(EXIT_NOT_RUN, "runner %s cannot listen", id);
	return runner;
}

void runner_begin(runner_t *runner)
{
	pthread_create(&runner->server, NULL, serve, runner);
	pthread_create(&runner->beater, NULL, beat, runner);
	record("runner %s of %s at %s:%d", runner->id, runner->service,
	       runner->ip, ports.runner);
}

runner_t *runner_start(const char *id, const char *service, const char *ip,
		       const char *zone, int work_ms)
{
	runner_t *runner = runner_new(id, service, ip, zone, work_ms);

	runner_begin(runner);
	return runner;
}

int runner_leave(runner_t *runner, const char *ip, int64_t timeout_ms)
{
	char path[128];
	char body[128];
	answer_t answer;
	int status;

	runner->beats = false;
	pthread_join(runner->beater, NULL);
	snprintf(path, sizeof(path), "/wisteriadrift/instances/%s/deregister",
		 runner->id);
	snprintf(body, sizeof(body), "{\"seq\":%d,\"born\":%lld}",
		 (int)++runner->seq, (long long)runner->born);
	call(ip, ports.control, "POST", path,
	     "Content-Type: application/json\r\n", body, timeout_ms, &answer);
	status = answer.status;
	answer_free(&answer);
	record("runner %s: deregisters at %s: %d", runner->id, ip, status);
	return status;
}

void runner_stop(runner_t *runner)
{
	bool had_beats = runner->beats;

	runner->beats = false;
	runner->serves = false;
	pthread_join(runner->server, NULL);
	if (had_beats)
		pthread_join(runner->beater, NULL);
	record("runner %s ends, ran %lld", runner->id, (long long)runner->ran);
}
