#ifndef REVIEW_STAND_3_STAND_H
#define REVIEW_STAND_3_STAND_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define STAND_CONTROLS 3
#define STAND_ENTRIES 1
#define STAND_NAME_BYTES 64
#define STAND_TEXT_BYTES 16384

/* Exit codes of a case. */
#define STAND_HELD 0
#define STAND_BROKEN 1
#define STAND_CANNOT_RUN 2

/* The processes of a small fleet, on loopback addresses. */
typedef struct {
	char folder[256]; /* temporary */
	char control_ips[STAND_CONTROLS][STAND_NAME_BYTES];
	char entry_ips[STAND_ENTRIES][STAND_NAME_BYTES];
	unsigned control_port;
	unsigned peer_port;
	unsigned front_port;
	unsigned ready_port;
	pid_t controls[STAND_CONTROLS];
	pid_t entries[STAND_ENTRIES];
} stand_fleet_t;

/* A request as a server read it, or an answer as a client did. */
typedef struct {
	char head[STAND_TEXT_BYTES];
	char body[STAND_TEXT_BYTES]; /* its first bytes */
	size_t body_len;
	unsigned status; /* of an answer */
} stand_message_t;

struct stand_server_t;

/*
 * Answers a request that has arrived.  Returns false to close the connection
 * without an answer.
 */
typedef bool (*stand_answer_t)(struct stand_server_t *server,
			       const stand_message_t *request, int fd);

/* A server (runner) that sends heartbeats and answers requests. */
typedef struct stand_server_t {
	const stand_fleet_t *fleet;
	char id[STAND_NAME_BYTES];
	char service[STAND_NAME_BYTES];
	char ip[STAND_NAME_BYTES];
	char address[STAND_NAME_BYTES * 2];
	int64_t born_ms;
	bool omits_fields; /* of heartbeats: "version" and "coldLeftMs" */
	bool is_silent;	   /* sends no heartbeats */
	stand_answer_t answer;
	void *user;
	int listener;
	atomic_uint arrivals;
	atomic_uint runs;
	atomic_uint acknowledged_beats;
	atomic_bool stopping;
	atomic_bool is_down; /* crashed: takes and answers nothing */
	pthread_t accept_thread;
	pthread_t beat_thread;
} stand_server_t;

bool stand_begin(const char *folder);
bool stand_has_trouble(void);
double stand_now_s(void);
int64_t stand_unix_ms(void);
void stand_sleep_ms(unsigned ms);
void stand_record(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
int stand_end(int result, const char *reason);

bool stand_fleet_start(stand_fleet_t *fleet);
bool stand_fleet_runs(const stand_fleet_t *fleet);
void stand_fleet_stop(stand_fleet_t *fleet);
bool stand_stop_control(stand_fleet_t *fleet, unsigned index);
bool stand_start_control(stand_fleet_t *fleet, unsigned index);
bool stand_put_manifest(const stand_fleet_t *fleet, const char *manifest);
bool stand_wait_ready(const stand_fleet_t *fleet, unsigned timeout_ms);

int stand_connect(const char *ip, unsigned port, unsigned timeout_ms);
bool stand_send(int fd, const void *data, size_t len);
bool stand_read_message(int fd, stand_message_t *message, unsigned timeout_ms);
bool stand_find_header(const stand_message_t *message, const char *name,
		       char *value, size_t size);
bool stand_call(const char *ip, unsigned port, const char *method,
		const char *path, const char *body, unsigned timeout_ms,
		stand_message_t *answer);
bool stand_ask(int fd, const char *method, const char *path, const char *id,
	       const char *headers, size_t body_len, stand_message_t *answer);
bool stand_request(int fd, const char *method, const char *path, const char *id,
		   size_t body_len, stand_message_t *answer);

bool stand_server_start(stand_server_t *server);
void stand_server_stop(stand_server_t *server);
void stand_server_crash(stand_server_t *server);
bool stand_server_restart(stand_server_t *server);
bool stand_reply(int fd, unsigned status, const char *request_id,
		 const char *headers, const char *body);
bool stand_serve(stand_server_t *server, const stand_message_t *request,
		 int fd);

#endif
