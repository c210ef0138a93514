#ifndef WISTERIA_HTTP_HTTP_SERVER_H
#define WISTERIA_HTTP_HTTP_SERVER_H

#include <sys/queue.h>
#include <uv.h>

#include "wisteria/base/clock_defs.h"
#include "wisteria/base/err_defs.h"
#include "wisteria/base/macros_defs.h"
#include "wisteria/http/http_reader.h"

struct http_conn_t;
struct http_server_t;

/* Callbacks to the owner of a server; first member of the owner's struct. */
typedef struct http_server_handler_t {
	/* A complete request was read; may be answered now or later. */
	void (*request)(struct http_server_handler_t *self,
			struct http_conn_t *conn);
	/*
	 * The client disconnected before the response was complete; "conn" is
	 * freed afterwards.  Called only if "conn->user" is set.  May be NULL
	 * if the owner answers each request within "request".
	 */
	void (*gone)(struct http_server_handler_t *self,
		     struct http_conn_t *conn);
} http_server_handler_t;

/* Limits on the size and duration of requests. */
typedef struct {
	size_t header_bytes;
	size_t body_bytes;
	clock_ms_t header_ms; /* first byte to end of the headers */
	clock_ms_t idle_ms;   /* between requests */
	/* Of all connections of the server; 0: the default */
	size_t held_bytes; /* of requests until they are answered */
	unsigned connections;
} http_limits_t;

typedef enum {
	HTTP_CONN_READING,    /* waiting for a request or reading it */
	HTTP_CONN_RESPONDING, /* the response is not complete yet */
	HTTP_CONN_LINGERING,  /* write side shut down, waiting for EOF */
	HTTP_CONN_CLOSED
} http_conn_state_t;

/* One connection of a client. */
typedef struct http_conn_t {
	LIST_ENTRY(http_conn_t) entry;
	struct http_server_t *server;
	uv_tcp_t tcp;
	http_reader_t reader;
	http_conn_state_t state;
	void *user;	      /* for the owner, while responding */
	GByteArray *pending;  /* bytes read after the current request */
	clock_ms_t opened_ms; /* when it was accepted */
	clock_ms_t since_ms;  /* start of the interval for timeouts */
	uint64_t read_bytes;  /* of all requests */
	size_t held_bytes;    /* of "reader" and "pending", when last counted */
	size_t unsent_bytes;  /* of responses, since "unsent_since_ms" */
	clock_ms_t unsent_since_ms;
	bool request_started; /* a byte of the next request was read */
	bool head_sent;	      /* of the current response */
	bool ends_with_head;  /* the response has no body */
	bool chunked;
	bool ends_with_close; /* the response has no other end */
	bool close_after;
	bool read_stopped;
	const char *failure; /* why the next tick closes it; NULL: it stays */
	unsigned requests_served;
} http_conn_t;

typedef LIST_HEAD(http_conn_list_t, http_conn_t) http_conn_list_t;

/* A listening socket and its connections, all on one event loop. */
typedef struct http_server_t {
	uv_tcp_t tcp;
	uv_timer_t tick;
	uv_idle_t idle; /* runs while buffered requests wait */
	http_server_handler_t *handler;
	const clock_source_t *clock;
	http_limits_t limits;
	http_conn_list_t conns;
	unsigned conn_count;
	size_t held_bytes; /* of all connections */
	uint64_t accept_count;
	clock_ms_t last_accept_ms;
	bool draining;
	bool is_stopping; /* listening ends soon after "stopping_since_ms" */
	clock_ms_t stopping_since_ms;
} http_server_t;

bool http_server_init(http_server_t *server, uv_loop_t *loop,
		      const char *address, const clock_source_t *clock,
		      const http_limits_t *limits,
		      http_server_handler_t *handler,
		      err_t *err) ATTR_WARN_UNUSED;
void http_server_drain(http_server_t *server) ATTR_NONNULL_ALL;
void http_server_stop_listening(http_server_t *server) ATTR_NONNULL_ALL;
bool http_server_is_listening(const http_server_t *server)
	ATTR_NONNULL_ALL ATTR_WARN_UNUSED;
void http_server_close_idle(http_server_t *server) ATTR_NONNULL_ALL;
void http_server_close(http_server_t *server) ATTR_NONNULL_ALL;

void http_conn_reply(http_conn_t *conn, unsigned status, const char *headers,
		     const void *body, size_t len) ATTR_NONNULL(1, 3);
void http_conn_reply_without_body(http_conn_t *conn, unsigned status,
				  const char *headers,
				  int64_t declared_bytes) ATTR_NONNULL_ALL;
void http_conn_begin(http_conn_t *conn, unsigned status, const char *headers,
		     int64_t content_length) ATTR_NONNULL_ALL;
void http_conn_send(http_conn_t *conn, const void *data,
		    size_t len) ATTR_NONNULL_ALL;
void http_conn_end(http_conn_t *conn) ATTR_NONNULL_ALL;
size_t http_conn_unsent_bytes(const http_conn_t *conn) ATTR_NONNULL_ALL;
void http_conn_abort(http_conn_t *conn) ATTR_NONNULL_ALL;

#endif
