/*
 * Stand-ins for the platform, the operator, runners and requesters, and what
 * the cases of this review share: processes, records, HTTP on loopback.
 */
#ifndef REVIEW_STAND_2_STAND_H
#define REVIEW_STAND_2_STAND_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define NODES_MAX 16
#define RUNNERS_MAX 24
#define TEXT_BYTES 256

/* Exit codes of a case. */
enum {
	RULE_HELD,
	RULE_BROKEN,
	COULD_NOT_RUN
};

/* One process of the system on an address of its own. */
typedef struct {
	char name[64];
	char ip[32];
	char zone[32];
	bool is_control;
	bool has_disk;
	char config[TEXT_BYTES];
	char data_dir[TEXT_BYTES];
	pid_t pid; /* 0: not running */
} node_t;

/* The ports are the same on all machines. */
extern int front_port, ready_port, control_port, peer_port;

/* How a runner treats one request. */
typedef struct {
	int delay_ms;		   /* before the head of the answer */
	int status;		   /* 0: 200 */
	const char *extra_headers; /* complete lines, or NULL */
	const char *body;	   /* NULL: a text with the request's id */
	const char *raw;	   /* the bytes of a whole answer, or NULL */
	size_t raw_split; /* how many of them are in the first packets */
	int split_ms;	  /* how much later the others come */
} run_t;

typedef struct runner_t runner_t;
typedef void (*run_hook_t)(runner_t *runner, const char *request_id,
			   const char *head, run_t *run);

struct runner_t {
	char id[64];
	char ip[32];
	int port;
	char service[64];
	char zone[32];
	char state[16];		/* ready, draining */
	char extra[TEXT_BYTES]; /* further fields of heartbeats, or "" */
	int64_t born;		/* Unix ms */
	int64_t seq;
	int heartbeat_ms;
	int slots;
	run_hook_t hook; /* NULL: answers at once */
	volatile bool stopped;
	volatile bool silent; /* sends no heartbeats */
	volatile long runs;
	int listener;
	pthread_t accept_thread;
	pthread_t beat_thread;
};

typedef struct {
	int status; /* 0: no whole answer */
	char head[8192];
	char *body; /* freed by response_free() */
	size_t body_len;
} response_t;

void stand_begin(const char *folder);
bool stand_trouble(void);
int stand_end(int code, const char *why);
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));
int64_t now_ms(void);
int64_t unix_ms(void);
void pause_ms(int ms);

/* The address 127.A.B.number of this run. */
const char *stand_ip(unsigned number);
node_t *stand_control(const char *name, unsigned number, const char *zone,
		      bool has_disk);
node_t *stand_entry(const char *name, unsigned number, const char *zone);
/* The seeds of the processes that are started next. */
void stand_seeds(node_t *const *seeds, int count);
void node_start(node_t *node, bool bootstrap);
void node_signal(node_t *node, int signal_number);
/* Waits until the process has ended; false: it has not. */
bool node_wait(node_t *node, int within_ms);
void node_wipe(node_t *node);

int http_connect(const char *ip, int port, int timeout_ms);
/* Sends bytes and reads one answer; false: there was no whole one. */
bool http_exchange(int fd, const char *request, size_t len, int timeout_ms,
		   response_t *response);
bool http_call(const char *ip, int port, const char *method, const char *path,
	       const char *headers, const char *body, int timeout_ms,
	       response_t *response);
void response_free(response_t *response);

/* Sends a manifest until it is acknowledged, to any of the control nodes. */
bool operator_put(const char *manifest, int within_ms);
/* Reads the manifest once; its version, or 0 without a 200. */
int64_t operator_get(const node_t *node);
/* The same, at all in turn until one answers 200. */
int64_t operator_get_any(int within_ms);
bool entry_is_ready(const node_t *entry);
bool wait_ready(node_t *const *entries, int count, int within_ms);

void runner_start(runner_t *runner);
/* Ends it as a crash does: its channels are reset, it says nothing. */
void runner_crash(runner_t *runner);
bool runner_beat(runner_t *runner, const node_t *node);
/* Sends one heartbeat; 0 or the status of the answer. */
int runner_beat_status(runner_t *runner, const node_t *node);
bool runner_leave(const runner_t *runner, const node_t *node);

#endif
