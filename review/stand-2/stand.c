#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MIN(a, b) ((a) < (b) ? (a) : (b))

#define RUN_SECONDS_MAX 118
#define PROGRAM "target/wisteriad"

int front_port, ready_port, control_port, peer_port;

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t started_ms;
static char temp_dir[64];
static node_t nodes[NODES_MAX];
static int node_count;
static char seed_lines[1024];
static unsigned net_a, net_b;

int64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t unix_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void pause_ms(int ms)
{
	struct timespec left = { ms / 1000, (long)(ms % 1000) * 1000000 };

	while (nanosleep(&left, &left) != 0 && errno == EINTR)
		;
}

void note(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%8.3f ", (double)(now_ms() - started_ms) / 1000);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

bool stand_trouble(void)
{
	const char *trouble = getenv("TROUBLE");

	return trouble == NULL || strcmp(trouble, "0") != 0;
}

static int remove_entry(const char *path, const struct stat *info, int type,
			struct FTW *walk)
{
	(void)info;
	(void)type;
	(void)walk;
	return remove(path);
}

static void remove_tree(const char *path)
{
	nftw(path, remove_entry, 16, FTW_DEPTH | FTW_PHYS);
}

/* Ends only the processes that this run has started, by their ids. */
static void end_processes(void)
{
	for (int i = 0; i < node_count; i++) {
		if (nodes[i].pid == 0)
			continue;
		kill(nodes[i].pid, SIGCONT);
		kill(nodes[i].pid, SIGKILL);
		waitpid(nodes[i].pid, NULL, 0);
		nodes[i].pid = 0;
	}
}

static void on_end_signal(int signal_number)
{
	(void)signal_number;
	for (int i = 0; i < node_count; i++)
		if (nodes[i].pid != 0)
			kill(nodes[i].pid, SIGKILL);
	_exit(COULD_NOT_RUN);
}

int stand_end(int code, const char *why)
{
	end_processes();
	if (getenv("KEEP") == NULL)
		remove_tree(temp_dir);
	note("%s: %s",
	     code == RULE_HELD	   ? "rule held"
	     : code == RULE_BROKEN ? "rule broken"
				   : "could not run",
	     why);
	printf("%s: %s\n",
	       code == RULE_HELD     ? "rule held"
	       : code == RULE_BROKEN ? "rule broken"
				     : "could not run",
	       why);
	fflush(NULL);
	_exit(code);
}

static bool is_port_free(const char *ip, int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;
	bool ok;

	inet_pton(AF_INET, ip, &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ok = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
	close(fd);
	return ok;
}

/* A port below the range from which outgoing connections are numbered. */
static int free_port(void)
{
	for (;;) {
		int port = 10000 + rand() % 20000;

		if (is_port_free("0.0.0.0", port))
			return port;
	}
}

void stand_begin(const char *folder)
{
	char path[512];
	unsigned seed;

	started_ms = now_ms();
	if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed))
		seed = (unsigned)getpid();
	srand(seed);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record = fopen(path, "w");
	snprintf(temp_dir, sizeof(temp_dir), "/tmp/review-XXXXXX");
	if (record == NULL || mkdtemp(temp_dir) == NULL) {
		fprintf(stderr, "no place for the record\n");
		exit(COULD_NOT_RUN);
	}
	if (access(PROGRAM, X_OK) != 0) {
		fprintf(stderr, "%s is not built\n", PROGRAM);
		exit(COULD_NOT_RUN);
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_end_signal);
	signal(SIGTERM, on_end_signal);
	signal(SIGINT, on_end_signal);
	alarm(RUN_SECONDS_MAX);
	net_a = 16 + (unsigned)rand() % 200;
	net_b = 1 + (unsigned)rand() % 250;
	front_port = free_port();
	ready_port = free_port();
	control_port = free_port();
	peer_port = free_port();
	note("trouble=%d", stand_trouble());
}

const char *stand_ip(unsigned number)
{
	static char text[8][32];
	static int next;

	next = (next + 1) % 8;
	snprintf(text[next], sizeof(text[next]), "127.%u.%u.%u", net_a, net_b,
		 number);
	return text[next];
}

static node_t *add_node(const char *name, unsigned number, const char *zone)
{
	node_t *node = &nodes[node_count++];

	snprintf(node->name, sizeof(node->name), "%s", name);
	snprintf(node->ip, sizeof(node->ip), "%s", stand_ip(number));
	snprintf(node->zone, sizeof(node->zone), "%s", zone);
	snprintf(node->config, sizeof(node->config), "%s/%s.yaml", temp_dir,
		 name);
	snprintf(node->data_dir, sizeof(node->data_dir), "%s/%s-data", temp_dir,
		 name);
	return node;
}

node_t *stand_control(const char *name, unsigned number, const char *zone,
		      bool has_disk)
{
	node_t *node = add_node(name, number, zone);

	node->is_control = true;
	node->has_disk = has_disk;
	return node;
}

node_t *stand_entry(const char *name, unsigned number, const char *zone)
{
	return add_node(name, number, zone);
}

void stand_seeds(node_t *const *seeds, int count)
{
	size_t at = 0;

	seed_lines[0] = '\0';
	for (int i = 0; i < count; i++)
		at += (size_t)snprintf(seed_lines + at, sizeof(seed_lines) - at,
				       "    - \"%s:%d\"\n", seeds[i]->ip,
				       control_port);
}

/* Settings as the templates of the deploy file make them, small figures. */
static void write_settings(const node_t *node, bool bootstrap)
{
	FILE *file = fopen(node->config, "w");

	fprintf(file,
		"instance: \"%s\"\nfailure_domain: \"%s\"\nregion: \"r1\"\n"
		"log_level: info\nmetrics_listen: \"%s:%d\"\nroles: [%s]\n"
		"fleet:\n",
		node->name, node->zone, node->ip,
		node->is_control ? 9465 : 9464,
		node->is_control ? "fleet_control" : "fleet_entry");
	if (node->is_control)
		fprintf(file, "  control_listen: \"%s:%d\"\n", node->ip,
			control_port);
	else
		fprintf(file,
			"  front_listen: \"%s:%d\"\n"
			"  ready_listen: \"%s:%d\"\n",
			node->ip, front_port, node->ip, ready_port);
	fprintf(file, "  peer_listen: \"%s:%d\"\n", node->ip, peer_port);
	if (node->is_control && node->has_disk)
		fprintf(file, "  data_dir: \"%s\"\n", node->data_dir);
	fprintf(file,
		"  bootstrap: %s\n  seeds:\n%s  retry_ratio: 0.2\n"
		"  retry_slack: 206\n  retry_window_s: 10\n  stop_s: 8\n",
		bootstrap ? "true" : "false", seed_lines);
	fclose(file);
}

void node_start(node_t *node, bool bootstrap)
{
	char log_path[TEXT_BYTES + 64];

	write_settings(node, bootstrap);
	if (node->has_disk)
		mkdir(node->data_dir, 0700);
	snprintf(log_path, sizeof(log_path), "%s/%s.log", temp_dir, node->name);
	node->pid = fork();
	if (node->pid == 0) {
		int fd = open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(fd, 1);
		dup2(fd, 2);
		execl(PROGRAM, PROGRAM, "--config", node->config, (char *)NULL);
		_exit(127);
	}
	note("start %s pid=%d bootstrap=%d", node->name, (int)node->pid,
	     bootstrap);
}

void node_signal(node_t *node, int signal_number)
{
	note("signal %d to %s", signal_number, node->name);
	if (node->pid != 0)
		kill(node->pid, signal_number);
	if (signal_number == SIGKILL) {
		waitpid(node->pid, NULL, 0);
		node->pid = 0;
	}
}

bool node_wait(node_t *node, int within_ms)
{
	int64_t until = now_ms() + within_ms;
	int status;

	while (node->pid != 0 && now_ms() < until) {
		if (waitpid(node->pid, &status, WNOHANG) == node->pid) {
			note("%s has ended, status %d", node->name,
			     WIFEXITED(status) ? WEXITSTATUS(status)
					       : -WTERMSIG(status));
			node->pid = 0;
			return true;
		}
		pause_ms(10);
	}
	return node->pid == 0;
}

void node_wipe(node_t *node)
{
	note("%s loses its disk", node->name);
	remove_tree(node->data_dir);
}

int http_connect(const char *ip, int port, int timeout_ms)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd state = { .fd = fd, .events = POLLOUT };
	int error = 0;
	socklen_t len = sizeof(error);
	int on = 1;

	inet_pton(AF_INET, ip, &address.sin_addr);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
	    (errno != EINPROGRESS || poll(&state, 1, timeout_ms) != 1 ||
	     getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0 ||
	     error != 0)) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool send_all(int fd, const char *data, size_t len, int64_t until)
{
	while (len > 0) {
		struct pollfd state = { .fd = fd, .events = POLLOUT };
		ssize_t sent = send(fd, data, len, MSG_NOSIGNAL | MSG_DONTWAIT);

		if (sent > 0) {
			data += sent;
			len -= (size_t)sent;
			continue;
		}
		if (sent < 0 && errno != EAGAIN && errno != EINTR)
			return false;
		if (now_ms() >= until ||
		    poll(&state, 1, (int)(until - now_ms())) < 0)
			return false;
	}
	return true;
}

static const char *find_header(const char *head, const char *name, char *value,
			       size_t size)
{
	size_t len = strlen(name);
	const char *line = strstr(head, "\r\n");

	while (line != NULL && line[2] != '\r' && line[2] != '\0') {
		line += 2;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
			size_t n;

			line += len + 1;
			line += strspn(line, " ");
			n = strcspn(line, "\r\n");
			if (n >= size)
				n = size - 1;
			memcpy(value, line, n);
			value[n] = '\0';
			return value;
		}
		line = strstr(line, "\r\n");
	}
	return NULL;
}

/* Decodes whole chunks in place; false: the last one has not come. */
static bool decode_chunks(char *body, size_t len, size_t *decoded)
{
	size_t at = 0;

	*decoded = 0;
	for (;;) {
		char *end = memmem(body + at, len - at, "\r\n", 2);
		size_t size;

		if (end == NULL)
			return false;
		size = strtoul(body + at, NULL, 16);
		at = (size_t)(end - body) + 2;
		if (at + size + 2 > len)
			return false;
		if (size == 0)
			return true;
		memmove(body + *decoded, body + at, size);
		*decoded += size;
		at += size + 2;
	}
}

void response_free(response_t *response)
{
	free(response->body);
	response->body = NULL;
}

bool http_exchange(int fd, const char *request, size_t len, int timeout_ms,
		   response_t *response)
{
	int64_t until = now_ms() + timeout_ms;
	size_t size = 1 << 16;
	size_t used = 0;
	char *data = malloc(size + 1);
	char value[64];

	memset(response, 0, sizeof(*response));
	if (!send_all(fd, request, len, until)) {
		free(data);
		return false;
	}
	for (;;) {
		struct pollfd state = { .fd = fd, .events = POLLIN };
		int64_t left = until - now_ms();
		char *head_end;
		ssize_t n;
		bool ended;

		if (left <= 0 || poll(&state, 1, (int)left) != 1)
			break;
		if (used == size)
			data = realloc(data, (size *= 2) + 1);
		n = recv(fd, data + used, size - used, MSG_DONTWAIT);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			continue;
		ended = n <= 0;
		used += n > 0 ? (size_t)n : 0;
		data[used] = '\0';
		head_end = memmem(data, used, "\r\n\r\n", 4);
		if (head_end != NULL) {
			size_t head_len = (size_t)(head_end - data) + 4;
			size_t body_len = used - head_len;
			bool whole = false;

			if (head_len >= sizeof(response->head))
				break;
			memcpy(response->head, data, head_len);
			response->head[head_len] = '\0';
			if (find_header(response->head, "Content-Length", value,
					sizeof(value)) != NULL) {
				size_t wanted = strtoul(value, NULL, 10);

				whole = body_len >= wanted;
				body_len = whole ? wanted : body_len;
			} else if (find_header(response->head,
					       "Transfer-Encoding", value,
					       sizeof(value)) != NULL) {
				char *copy = malloc(body_len + 1);
				size_t decoded;

				memcpy(copy, data + head_len, body_len);
				whole = decode_chunks(copy, body_len, &decoded);
				if (whole) {
					memcpy(data + head_len, copy, decoded);
					body_len = decoded;
				}
				free(copy);
			} else {
				whole = n == 0;
			}
			if (whole) {
				response->status = atoi(response->head + 9);
				response->body = malloc(body_len + 1);
				memcpy(response->body, data + head_len,
				       body_len);
				response->body[body_len] = '\0';
				response->body_len = body_len;
				free(data);
				return true;
			}
		}
		if (ended)
			break;
	}
	free(data);
	return false;
}

bool http_call(const char *ip, int port, const char *method, const char *path,
	       const char *headers, const char *body, int timeout_ms,
	       response_t *response)
{
	size_t body_len = body == NULL ? 0 : strlen(body);
	size_t size = strlen(path) + strlen(headers) + body_len + 256;
	char *request = malloc(size);
	int fd = http_connect(ip, port, MIN(timeout_ms, 1000));
	int len;
	bool ok;

	memset(response, 0, sizeof(*response));
	if (fd < 0) {
		free(request);
		return false;
	}
	len = snprintf(request, size,
		       "%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n\r\n%s",
		       method, path, headers, body_len,
		       body == NULL ? "" : body);
	ok = http_exchange(fd, request, (size_t)len, timeout_ms, response);
	close(fd);
	free(request);
	return ok;
}

/* The operator: follows a 307 twice, and moves on after any failure. */
static bool call_control(const node_t *node, const char *method,
			 const char *path, const char *body, int timeout_ms,
			 response_t *response)
{
	char ip[32];
	char headers[128];

	snprintf(ip, sizeof(ip), "%s", node->ip);
	for (int i = 0; i < 3; i++) {
		char location[256];

		snprintf(headers, sizeof(headers),
			 "Host: %s:%d\r\nContent-Type: application/json\r\n",
			 ip, control_port);
		if (!http_call(ip, control_port, method, path, headers, body,
			       timeout_ms, response))
			return false;
		if (response->status != 307 ||
		    find_header(response->head, "Location", location,
				sizeof(location)) == NULL ||
		    sscanf(location, "http://%31[0-9.]", ip) != 1)
			return true;
		response_free(response);
	}
	return false;
}

bool operator_put(const char *manifest, int within_ms)
{
	int64_t until = now_ms() + within_ms;

	for (unsigned i = 0; now_ms() < until; i++) {
		const node_t *node = &nodes[i % (unsigned)node_count];
		response_t response;

		if (!node->is_control || node->pid == 0)
			continue;
		if (call_control(node, "POST", "/wisteriadrift/config/replace",
				 manifest, 1000, &response)) {
			int status = response.status;

			response_free(&response);
			if (status == 200) {
				note("acknowledged at %s: %.20s", node->name,
				     manifest);
				return true;
			}
			if (status == 400) {
				note("refused at %s", node->name);
				return false;
			}
		}
		pause_ms(50);
	}
	return false;
}

int64_t operator_get(const node_t *node)
{
	response_t response;
	int64_t version = 0;
	const char *at;

	if (!call_control(node, "GET", "/wisteriadrift/config/get", NULL, 1000,
			  &response)) {
		note("read at %s: no answer", node->name);
		return 0;
	}
	at = response.status == 200 ? strstr(response.body, "\"version\":")
				    : NULL;
	if (at != NULL)
		version = strtoll(at + 10, NULL, 10);
	note("read at %s: status %d version %lld", node->name, response.status,
	     (long long)version);
	response_free(&response);
	return version;
}

int64_t operator_get_any(int within_ms)
{
	int64_t until = now_ms() + within_ms;

	while (now_ms() < until) {
		for (int i = 0; i < node_count; i++) {
			int64_t version;

			if (!nodes[i].is_control || nodes[i].pid == 0)
				continue;
			version = operator_get(&nodes[i]);
			if (version != 0)
				return version;
		}
		pause_ms(200);
	}
	return 0;
}

bool entry_is_ready(const node_t *entry)
{
	response_t response;
	bool ready =
		http_call(entry->ip, ready_port, "GET", "/wisteriadrift/ready",
			  "Host: ready\r\n", NULL, 1000, &response) &&
		response.status == 200;

	response_free(&response);
	return ready;
}

bool wait_ready(node_t *const *entries, int count, int within_ms)
{
	int64_t until = now_ms() + within_ms;
	int i = 0;

	while (i < count && now_ms() < until) {
		if (entry_is_ready(entries[i]))
			i++;
		else
			pause_ms(50);
	}
	return i == count;
}

/* Runners. */

typedef struct {
	runner_t *runner;
	int fd;
} channel_t;

static void reset_on_close(int fd)
{
	struct linger linger = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void answer(runner_t *runner, int fd, const char *head,
		   const char *request_id)
{
	run_t run = { 0 };
	char body[256];
	char text[2048];
	int len;

	if (runner->hook != NULL)
		runner->hook(runner, request_id, head, &run);
	if (run.delay_ms > 0)
		pause_ms(run.delay_ms);
	if (run.raw != NULL) {
		size_t first =
			run.split_ms > 0 ? run.raw_split : strlen(run.raw);

		send_all(fd, run.raw, first, now_ms() + 5000);
		for (int ms = 0; ms < run.split_ms && !runner->stopped;
		     ms += 10)
			pause_ms(10);
		if (runner->stopped) {
			reset_on_close(fd);
			return;
		}
		send_all(fd, run.raw + first, strlen(run.raw + first),
			 now_ms() + 5000);
		note("runner %s answers %s with a stream", runner->id,
		     request_id);
		return;
	}
	snprintf(body, sizeof(body), "%s of %s",
		 run.body == NULL ? "answer" : run.body, request_id);
	len = snprintf(text, sizeof(text),
		       "HTTP/1.1 %d Status\r\n"
		       "X-Wisteriadrift-Request-Id: %s\r\n"
		       "X-Wisteriadrift-Response-Stamp: stamp.%s.%s\r\n%s"
		       "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		       run.status == 0 ? 200 : run.status, request_id,
		       runner->id, request_id,
		       run.extra_headers == NULL ? "" : run.extra_headers,
		       strlen(body), body);
	send_all(fd, text, (size_t)len, now_ms() + 5000);
	note("runner %s answers %s with %d", runner->id, request_id,
	     run.status == 0 ? 200 : run.status);
}

/* Rejects what is meant for another runner, as the pages say. */
static void refuse(const runner_t *runner, int fd, const char *request_id)
{
	char text[512];
	int len = snprintf(text, sizeof(text),
			   "HTTP/1.1 421 Misdirected\r\n"
			   "X-Wisteriadrift-Request-Id: %s\r\n"
			   "X-Wisteriadrift-Not-Executed: 1\r\n"
			   "Content-Length: 0\r\nConnection: close\r\n\r\n",
			   request_id);

	send_all(fd, text, (size_t)len, now_ms() + 1000);
	note("runner %s rejects %s with 421", runner->id, request_id);
}

static void serve_health(const runner_t *runner, int fd)
{
	char text[256];
	int len = snprintf(text, sizeof(text),
			   "HTTP/1.1 200 OK\r\n"
			   "X-Wisteriadrift-Instance-Id: %s\r\n"
			   "Content-Length: 0\r\nConnection: close\r\n\r\n",
			   runner->id);

	send_all(fd, text, (size_t)len, now_ms() + 1000);
}

static void *serve_channel(void *data)
{
	channel_t channel = *(channel_t *)data;
	runner_t *runner = channel.runner;
	size_t size = 1 << 16;
	size_t used = 0;
	char *text = malloc(size + 1);
	char value[128];
	char expected[128];
	char request_id[128] = "-";
	char *head_end = NULL;
	size_t wanted = 0;

	free(data);
	while (!runner->stopped) {
		struct pollfd state = { .fd = channel.fd, .events = POLLIN };
		ssize_t n;

		if (head_end != NULL && used >= wanted)
			break;
		if (poll(&state, 1, 200) != 1)
			continue;
		if (used == size)
			text = realloc(text, (size *= 2) + 1);
		n = recv(channel.fd, text + used, size - used, 0);
		if (n <= 0)
			goto out;
		used += (size_t)n;
		text[used] = '\0';
		head_end = memmem(text, used, "\r\n\r\n", 4);
		if (head_end != NULL) {
			char *head =
				strndup(text, (size_t)(head_end - text) + 4);

			wanted = (size_t)(head_end - text) + 4;
			if (find_header(head, "Content-Length", value,
					sizeof(value)) != NULL)
				wanted += strtoul(value, NULL, 10);
			free(head);
		}
	}
	if (runner->stopped || head_end == NULL)
		goto out;
	head_end[2] = '\0';
	if (find_header(text, "X-Wisteriadrift-Request-Id", value,
			sizeof(value)) != NULL)
		snprintf(request_id, sizeof(request_id), "%s", value);
	if (strncmp(text, "GET /health", 11) == 0) {
		serve_health(runner, channel.fd);
	} else if (find_header(text, "X-Wisteriadrift-Expect-Instance",
			       expected, sizeof(expected)) != NULL &&
		   strcmp(expected, runner->id) != 0) {
		refuse(runner, channel.fd, request_id);
	} else {
		runner->runs++;
		note("runner %s runs %s", runner->id, request_id);
		answer(runner, channel.fd, text, request_id);
	}
	shutdown(channel.fd, SHUT_WR);
	while (!runner->stopped &&
	       recv(channel.fd, value, sizeof(value), 0) > 0)
		;
out:
	close(channel.fd);
	free(text);
	return NULL;
}

static void *accept_channels(void *data)
{
	runner_t *runner = data;

	while (!runner->stopped) {
		struct pollfd state = { .fd = runner->listener,
					.events = POLLIN };
		struct timeval limit = { .tv_sec = 10 };
		channel_t *channel;
		pthread_t thread;
		int fd;

		if (poll(&state, 1, 50) != 1)
			continue;
		fd = accept4(runner->listener, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		channel = malloc(sizeof(*channel));
		*channel = (channel_t){ runner, fd };
		pthread_create(&thread, NULL, serve_channel, channel);
		pthread_detach(thread);
	}
	close(runner->listener);
	return NULL;
}

int runner_beat_status(runner_t *runner, const node_t *node)
{
	char path[256];
	char body[1024];
	char headers[128];
	response_t response;
	int status;

	snprintf(path, sizeof(path), "/wisteriadrift/instances/%s/heartbeat",
		 runner->id);
	snprintf(headers, sizeof(headers),
		 "Host: %s:%d\r\nContent-Type: application/json\r\n", node->ip,
		 control_port);
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
		 "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
		 "\"coldLeftMs\":0,\"born\":%lld,\"seq\":%lld%s}",
		 runner->service, runner->ip, runner->port, runner->zone,
		 runner->slots, runner->state, (long long)runner->born,
		 (long long)++runner->seq, runner->extra);
	if (!http_call(node->ip, control_port, "POST", path, headers, body,
		       1000, &response))
		return 0;
	status = response.status;
	response_free(&response);
	return status;
}

bool runner_beat(runner_t *runner, const node_t *node)
{
	return runner_beat_status(runner, node) == 200;
}

bool runner_leave(const runner_t *runner, const node_t *node)
{
	char path[256];
	char headers[128];
	char body[64];
	response_t response;
	bool ok;

	snprintf(path, sizeof(path), "/wisteriadrift/instances/%s/deregister",
		 runner->id);
	snprintf(headers, sizeof(headers),
		 "Host: %s:%d\r\nContent-Type: application/json\r\n", node->ip,
		 control_port);
	snprintf(body, sizeof(body), "{\"born\":%lld}",
		 (long long)runner->born);
	ok = http_call(node->ip, control_port, "POST", path, headers, body,
		       1000, &response) &&
	     response.status == 200;
	note("deregister of %s at %s: %d", runner->id, node->name,
	     response.status);
	response_free(&response);
	return ok;
}

static void *send_beats(void *data)
{
	runner_t *runner = data;
	int at = rand();

	while (!runner->stopped) {
		for (int i = 0; !runner->silent && i < node_count; i++) {
			const node_t *node =
				&nodes[(unsigned)at % (unsigned)node_count];

			if (node->is_control && node->pid != 0 &&
			    runner_beat(runner, node))
				break;
			at++;
		}
		for (int ms = 0; ms < runner->heartbeat_ms && !runner->stopped;
		     ms += 50)
			pause_ms(50);
	}
	return NULL;
}

void runner_start(runner_t *runner)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	int on = 1;

	runner->stopped = false;
	runner->seq = 0;
	if (runner->born == 0)
		runner->born = unix_ms();
	if (runner->heartbeat_ms == 0)
		runner->heartbeat_ms = 1200;
	if (runner->slots == 0)
		runner->slots = 6;
	if (runner->state[0] == '\0')
		snprintf(runner->state, sizeof(runner->state), "ready");
	if (runner->port == 0)
		runner->port = free_port();
	address.sin_port = htons((uint16_t)runner->port);
	inet_pton(AF_INET, runner->ip, &address.sin_addr);
	runner->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(runner->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(runner->listener, (struct sockaddr *)&address, len) != 0 ||
	    listen(runner->listener, 128) != 0)
		stand_end(COULD_NOT_RUN, "a runner cannot listen");
	pthread_create(&runner->accept_thread, NULL, accept_channels, runner);
	pthread_create(&runner->beat_thread, NULL, send_beats, runner);
	note("runner %s of %s at %s:%d, born %lld", runner->id, runner->service,
	     runner->ip, runner->port, (long long)runner->born);
}

void runner_crash(runner_t *runner)
{
	note("runner %s ends", runner->id);
	runner->stopped = true;
	pthread_join(runner->accept_thread, NULL);
	pthread_join(runner->beat_thread, NULL);
}
