/*
 * Starts, signals and stops the programs under test, and keeps their files in
 * a scratch directory that is removed if the test passes.
 */
#include "harness/harness.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib/gstdio.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include "wisteria/base/clock.h"

#define POLL_INTERVAL_US 5000
#define KILL_WAIT_MS 5000
#define LOG_TAIL_BYTES 1200
#define OPEN_FILE_LIMIT 16384
/* Ports of harness_address(); below those of outgoing connections. */
#define PORT_FIRST 2048u
#define PORT_COUNT 16000u
/* Distance of the first ports of two runs by hand with adjacent pids. */
#define PORTS_PER_RUN 61u

static void find_bin_dir(harness_t *harness)
{
	char path[HARNESS_PATH_BYTES];
	ssize_t len = readlink("/proc/self/exe", path, sizeof(path) - 1);
	char *dir;

	path[len > 0 ? len : 0] = '\0';
	dir = g_path_get_dirname(path);
	g_strlcpy(harness->bin_dir, dir, sizeof(harness->bin_dir));
	g_free(dir);
}

static void raise_open_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = MIN(limit.rlim_max, (rlim_t)OPEN_FILE_LIMIT);
	setrlimit(RLIMIT_NOFILE, &limit);
}

/*
 * Initializes a harness and creates its scratch directory next to the test
 * programs.  The process ID in the name makes it unique per test process.
 */
void harness_init(harness_t *harness, const char *test_name)
{
	const char *ip = g_getenv("WISTERIA_TEST_IP");
	char *dir;

	memset(harness, 0, sizeof(*harness));
	signal(SIGPIPE, SIG_IGN);
	raise_open_file_limit();
	g_strlcpy(harness->ip, ip != NULL ? ip : "127.0.0.1",
		  sizeof(harness->ip));
	find_bin_dir(harness);
	dir = g_strdup_printf("%s/scratch/%s-%d", harness->bin_dir, test_name,
			      (int)getpid());
	if (g_mkdir_with_parents(dir, 0755) != 0)
		g_error("cannot create directory %s: %s", dir,
			g_strerror(errno));
	g_strlcpy(harness->dir, dir, sizeof(harness->dir));
	g_free(dir);
	harness->strings = g_string_chunk_new(4096);
	harness->processes = g_new0(harness_process_t, HARNESS_PROCESSES_MAX);
}

static void print_log_tail(const harness_process_t *process)
{
	char *text = harness_read_file(process->log_path);
	size_t len = strlen(text);
	const char *tail = text;

	if (len > LOG_TAIL_BYTES)
		tail = text + len - LOG_TAIL_BYTES;
	printf("---- log of %s (exit status %d)\n%s\n", process->name,
	       process->exit_status, tail);
	g_free(text);
}

/*
 * Removes a file, or a directory with its content.  A path that does not exist
 * is not an error.
 */
void harness_remove_tree(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *child = g_build_filename(path, name, NULL);

		harness_remove_tree(child);
		g_free(child);
	}
	if (dir != NULL)
		g_dir_close(dir);
	g_remove(path);
}

/*
 * Kills every process that still runs, and frees what the harness holds.  If
 * the test passed, removes the scratch directory; otherwise keeps it and prints
 * the last part of each log.
 */
void harness_finish(harness_t *harness, bool passed)
{
	for (size_t i = 0; i < harness->process_count; i++)
		harness_kill(&harness->processes[i]);
	for (size_t i = 0; !passed && i < harness->process_count; i++)
		print_log_tail(&harness->processes[i]);
	if (passed)
		harness_remove_tree(harness->dir);
	else
		printf("scratch directory kept: %s\n", harness->dir);
	fflush(stdout);
	for (size_t i = 0; i < harness->process_count; i++)
		for (char **arg = harness->processes[i].argv; *arg; arg++)
			g_free(*arg);
	g_free(harness->processes);
	g_string_chunk_free(harness->strings);
}

/* Returns a formatted string that is freed with "harness". */
const char *harness_string(harness_t *harness, const char *format, ...)
{
	va_list args;
	const char *kept;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	kept = g_string_chunk_insert(harness->strings, text);
	g_free(text);
	return kept;
}

/* Returns the path of a file in the scratch directory. */
const char *harness_path(harness_t *harness, const char *name)
{
	return harness_string(harness, "%s/%s", harness->dir, name);
}

/* Returns the path of a program of this build. */
const char *harness_program(harness_t *harness, const char *name)
{
	return harness_string(harness, "%s/%s", harness->bin_dir, name);
}

/* Writes a file in the scratch directory and returns its path. */
const char *harness_write_file(harness_t *harness, const char *name,
			       const char *text)
{
	const char *path = harness_path(harness, name);

	if (!g_file_set_contents(path, text, -1, NULL))
		g_error("cannot write %s", path);
	return path;
}

static bool is_free(const char *ip, unsigned port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool bound;

	if (fd < 0)
		g_error("socket: %s", g_strerror(errno));
	if (inet_pton(AF_INET, ip, &address.sin_addr) != 1)
		g_error("WISTERIA_TEST_IP is not an IPv4 address: %s", ip);
	bound = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
	close(fd);
	return bound;
}

/*
 * Returns an unused IP:PORT that this process has not returned before.  Its port
 * is none that the kernel gives to outgoing connections, which could take it
 * before its process listens, or while that is restarted.
 */
const char *harness_address(harness_t *harness)
{
	static unsigned next;

	/* Runs by hand share an IP; they begin at different ports. */
	if (next == 0)
		next = (unsigned)getpid() * PORTS_PER_RUN;
	for (unsigned i = 0; i < PORT_COUNT; i++) {
		unsigned port = PORT_FIRST + next++ % PORT_COUNT;

		if (is_free(harness->ip, port))
			return harness_string(harness, "%s:%u", harness->ip,
					      port);
	}
	g_error("no free port on %s", harness->ip);
}

/* Runs in the child process; makes only calls that are safe after fork(). */
static void run_program(const harness_process_t *process, int log, pid_t parent)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	/*
	 * Every program gets its own process group: in an orphaned group, a
	 * process that the test has stopped would receive SIGHUP when another
	 * process of the group exits.
	 */
	setpgid(0, 0);
	if (getppid() != parent)
		_exit(127);
	dup2(log, STDOUT_FILENO);
	dup2(log, STDERR_FILENO);
	signal(SIGPIPE, SIG_DFL);
	execv(process->argv[0], process->argv);
	_exit(127);
}

static void spawn(harness_process_t *process)
{
	int log = open(process->log_path,
		       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	pid_t parent = getpid();
	pid_t pid;

	if (log < 0)
		g_error("cannot open %s", process->log_path);
	fflush(stdout);
	pid = fork();
	if (pid < 0)
		g_error("cannot fork: %s", g_strerror(errno));
	if (pid == 0)
		run_program(process, log, parent);
	close(log);
	process->pid = pid;
	process->exit_status = -1;
}

/*
 * Starts a program; argv[0] is its path and NULL ends argv.  Its output goes
 * to NAME.log in the scratch directory.  The kernel kills it if the test dies.
 */
harness_process_t *harness_start(harness_t *harness, const char *name,
				 const char *const argv[])
{
	harness_process_t *process;

	if (harness->process_count == HARNESS_PROCESSES_MAX)
		g_error("more than %d processes", HARNESS_PROCESSES_MAX);
	process = &harness->processes[harness->process_count++];
	g_strlcpy(process->name, name, sizeof(process->name));
	g_snprintf(process->log_path, sizeof(process->log_path), "%s/%s.log",
		   harness->dir, name);
	for (size_t i = 0; i < HARNESS_ARGS_MAX && argv[i] != NULL; i++)
		process->argv[i] = g_strdup(argv[i]);
	spawn(process);
	return process;
}

/*
 * Starts a program again with the same arguments; kills it first if it still
 * runs.
 */
void harness_restart(harness_process_t *process)
{
	harness_kill(process);
	spawn(process);
}

/* Sends a signal to a program; does nothing if it is not running. */
void harness_signal(const harness_process_t *process, int signal)
{
	if (process->pid > 0)
		kill(process->pid, signal);
}

/*
 * Returns whether the program still runs; if it has exited, stores its exit
 * status.
 */
bool harness_is_running(harness_process_t *process)
{
	int status;

	if (process->pid <= 0)
		return false;
	if (waitpid(process->pid, &status, WNOHANG) != process->pid)
		return true;
	process->exit_status = status;
	process->pid = 0;
	return false;
}

static bool has_ended(void *user)
{
	return !harness_is_running(user);
}

/* Waits until a program exits; returns false after "limit_ms". */
bool harness_wait_exit(harness_process_t *process, clock_ms_t limit_ms)
{
	return harness_wait_until(has_ended, process, limit_ms);
}

/* Kills a program with SIGKILL and waits until it has exited. */
void harness_kill(harness_process_t *process)
{
	if (!harness_is_running(process))
		return;
	kill(process->pid, SIGKILL);
	if (!harness_wait_until(has_ended, process, KILL_WAIT_MS))
		g_warning("%s did not exit after SIGKILL", process->name);
}

/*
 * Polls "condition" until it returns true; returns false if it does not within
 * "limit_ms".
 */
bool harness_wait_until(bool (*condition)(void *user), void *user,
			clock_ms_t limit_ms)
{
	clock_ms_t limit = clock_now(&clock_monotonic) + limit_ms;

	while (!condition(user)) {
		if (clock_now(&clock_monotonic) >= limit)
			return false;
		g_usleep(POLL_INTERVAL_US);
	}
	return true;
}

/*
 * Returns the content of a file, or "" if it cannot be read.  The caller frees
 * it with g_free().
 */
char *harness_read_file(const char *path)
{
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return g_strdup("");
	return text;
}

typedef struct {
	const char *path;
	const char *text;
} log_wait_t;

static bool log_contains(void *user)
{
	const log_wait_t *wait = user;
	char *log = harness_read_file(wait->path);
	bool found = strstr(log, wait->text) != NULL;

	g_free(log);
	return found;
}

/*
 * Waits until the program's log contains "text"; returns false if it does not
 * within "limit_ms".
 */
bool harness_wait_log(const harness_process_t *process, const char *text,
		      clock_ms_t limit_ms)
{
	log_wait_t wait = { .path = process->log_path, .text = text };

	return harness_wait_until(log_contains, &wait, limit_ms);
}

typedef struct {
	const char *url;
	long status;
} http_wait_t;

static size_t discard(char *data, size_t size, size_t count, void *user)
{
	(void)data;
	(void)user;
	return size * count;
}

static bool has_http_status(void *user)
{
	const http_wait_t *wait = user;
	CURL *easy = curl_easy_init();
	long status = 0;

	curl_easy_setopt(easy, CURLOPT_URL, wait->url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 1000L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard);
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	return status == wait->status;
}

/*
 * Waits until a GET of "path" at IP:PORT returns "status"; returns false if it
 * does not within "limit_ms".
 */
bool harness_wait_http(const char *address, const char *path, long status,
		       clock_ms_t limit_ms)
{
	char *url = g_strdup_printf("http://%s%s", address, path);
	http_wait_t wait = { .url = url, .status = status };
	bool matched = harness_wait_until(has_http_status, &wait, limit_ms);

	g_free(url);
	return matched;
}

/* Returns the most memory that the process has had, in MB; 0: it has ended. */
unsigned harness_peak_mb(const harness_process_t *process)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)process->pid);
	char *text = NULL;
	const char *peak;
	unsigned kb = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		peak = strstr(text, "VmHWM:");
		if (peak != NULL)
			kb = (unsigned)strtoul(peak + strlen("VmHWM:"), NULL,
					       10);
	}
	g_free(text);
	g_free(path);
	return kb / 1024;
}

/* The next peak is that since this call, see proc(5), "clear_refs". */
void harness_forget_peak(const harness_process_t *process)
{
	char *path = g_strdup_printf("/proc/%d/clear_refs", (int)process->pid);
	FILE *file = fopen(path, "w");

	if (file == NULL || fputs("5", file) < 0 || fclose(file) != 0)
		g_error("cannot write %s", path);
	g_free(path);
}
