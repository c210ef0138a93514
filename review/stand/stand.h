#ifndef REVIEW_STAND_STAND_H
#define REVIEW_STAND_STAND_H

/*
 * Stand-ins of the platform for the scripts of the review: starts and stops
 * wisteriad processes, speaks HTTP/1.1 as requester and operator, and serves
 * as a runner of a plain service.  All addresses are loopback addresses.
 */

#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define NODES_MAX 24
#define RUNNERS_MAX 16

enum {
	EXIT_HELD = 0,
	EXIT_BROKEN = 1,
	EXIT_NOT_RUN = 2
};

/* Ports, alike on all machines. */
typedef struct {
	int front, ready, control, peer, entry_peer, metrics, entry_metrics,
		runner;
} ports_t;
extern ports_t ports;
extern bool trouble; /* false: TROUBLE=0 */

void stand_init(const char *folder);
int64_t now_ms(void); /* since stand_init() */
void sleep_ms(int64_t ms);
void sleep_until(int64_t at_ms);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
_Noreturn void finish(int code, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Processes. */
typedef struct {
	char name[32];
	char ip[32];
	char zone[8];
	char settings[512];
	char data_dir[512];
	bool is_control;
	bool has_disk;
	pid_t pid;
} node_t;

node_t *node_new(const char *name, const char *ip, const char *zone,
		 bool is_control, bool has_disk);
void nodes_write_settings(const char *const *seed_ips, int count,
			  bool bootstrap);
void node_start(node_t *node);
void node_signal(node_t *node, int number);
/* Waits for the end of the process; returns false after "timeout_ms". */
bool node_wait_end(node_t *node, int64_t timeout_ms);
bool node_is_running(node_t *node);

/* HTTP. */
typedef struct {
	int status; /* 0: no answer; -1: could not connect */
	char headers[4096];
	char *body;
	size_t body_len;
	bool is_complete;
	bool closes;
} answer_t;

void answer_free(answer_t *answer);
int channel_open(const char *ip, int port, int64_t timeout_ms);
bool channel_send(int fd, const char *data, size_t len);
void channel_read_answer(int fd, int64_t timeout_ms, answer_t *answer);
/* Finds the value of a header of a request. */
bool find_header(const char *head, const char *name, char *out, size_t size);
bool answer_header(const answer_t *answer, const char *name, char *out,
		   size_t size);
/* One call on a connection of its own. */
void call(const char *ip, int port, const char *method, const char *path,
	  const char *headers, const char *body, int64_t timeout_ms,
	  answer_t *answer);

/* The operator. */
/* Sends a manifest first to "ip", follows redirects; returns the last status. */
int operator_put(const char *ip, const char *manifest, int64_t timeout_ms);
/* Reads the manifest at "ip" itself; returns its version, 0: a 5xx or none. */
int64_t operator_get(const char *ip);
bool wait_entry_ready(const char *ip, int64_t timeout_ms);

/* A runner of a plain service. */
typedef struct runner_t {
	char id[32];
	char service[32];
	char ip[32];
	char zone[8];
	int64_t born;
	int work_ms;
	int listener;
	_Atomic int64_t ran;
	_Atomic int64_t watched_from_ms; /* 0: off */
	_Atomic int64_t ran_while_watched;
	_Atomic int64_t last_ran_ms;
	atomic_bool beats;
	atomic_bool serves;
	atomic_int seq;
	pthread_t server, beater;
	/* Of a runner of a model: holds layers, and streams its answers. */
	const char *kind; /* NULL: a plain service */
	atomic_int first_layer, end_layer;
	/* Runs a request whose head is "head", on "fd"; NULL: answers "ok". */
	void (*run)(struct runner_t *runner, int fd, const char *head,
		    const char *id);
} runner_t;

extern const char *control_ips[NODES_MAX]; /* the operator's list */
extern int control_count;
runner_t *runner_new(const char *id, const char *service, const char *ip,
		     const char *zone, int work_ms);
void runner_begin(runner_t *runner);
/* Both of these. */
runner_t *runner_start(const char *id, const char *service, const char *ip,
		       const char *zone, int work_ms);
/* Sends the deregistration to "ip"; returns the status. */
int runner_leave(runner_t *runner, const char *ip, int64_t timeout_ms);
void runner_stop(runner_t *runner);

#endif
